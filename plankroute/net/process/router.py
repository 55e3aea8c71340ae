"""Route: notes are gathered into a batch, the core decides, its orders go their ways."""

import asyncio
from collections.abc import Callable

from plankroute.controller.controller import Controller
from plankroute.controller.message_builder import MessageBuilder
from plankroute.controller.messages import Message
from plankroute.events import commands, events
from plankroute.net.process.clock import Clock, Timers
from plankroute.net.process.telemetry import Telemetry


class Router:
    """One batch at a time; batches follow no closer than operators state, as in the simulator."""

    def __init__(
        self,
        controller: Controller,
        message_builder: MessageBuilder,
        clock: Clock,
        telemetry: Telemetry,
        gather_us: int,
    ) -> None:
        self.controller, self.message_builder, self.clock, self.telemetry = (
            controller,
            message_builder,
            clock,
            telemetry,
        )
        self.gather_us, self.last_us = gather_us, 0
        self.alarms, self.pending = Timers(), list[events.Event]()
        self.handle: asyncio.TimerHandle | None = None
        self.handle_us = 0
        self.send: Callable[[Message], None] = lambda message: None
        self.probe: Callable[[int], None] = lambda host: None
        self.forget: Callable[[int], None] = lambda host: None
        self.ask: Callable[[commands.PollHostList | commands.SubscribeHostList], None] = (
            lambda command: None
        )

    def put(self, event: events.Event) -> None:
        self.pending.append(event)
        self.wake_at(self.last_us + self.gather_us)

    def wake_at(self, due_us: int) -> None:
        """One timer of the loop serves both waiting notes and the core's timers."""
        if self.handle and self.handle_us <= due_us:
            return
        if self.handle:
            self.handle.cancel()
        loop = asyncio.get_running_loop()
        self.handle_us = due_us
        self.handle = loop.call_later(max(0, due_us - self.clock.now()) / 1e6, self.flush)

    def flush(self) -> None:
        self.handle = None
        now = self.clock.now()
        # Timers first: guards against a note that fails and takes along the timers that the core lives by.
        batch: list[events.Event] = [events.TimerExpired(token) for token in self.alarms.due(now)]
        batch += self.pending
        self.pending = []
        if batch:
            self.last_us = now
            self.work_on(now, batch)
        if (next_us := self.alarms.next_us()) is not None:
            self.wake_at(max(next_us, self.last_us))

    def work_on(self, now: int, batch: list[events.Event]) -> None:
        """A failure is logged with its place; the steward goes on with the next batch."""
        self.telemetry.count("core.batches")
        self.telemetry.count("core.notes", len(batch))
        try:
            for event in batch:
                self.message_builder.observe(event)
            decided = self.controller.deliver(now, batch)
            self.carry_out(now, decided)
            for message in self.message_builder.build(decided):
                self.send(message)
            for command in decided:
                if isinstance(
                    command, commands.ForgetHost
                ):  # last of all: no message can name the host from here
                    self.message_builder.forget(command.host)
                    self.forget(command.host)
        except Exception as error:
            self.telemetry.failed("core", error)

    def carry_out(self, now: int, decided: list[commands.Command]) -> None:
        """What is no message; timers first of all, since the core lives by them."""
        for command in decided:
            match command:
                case commands.SetTimer(after_us, token):
                    self.alarms.set(now + after_us, token)
                case commands.CheckHealth(host):
                    self.probe(host)
                case commands.PollHostList() | commands.SubscribeHostList():
                    self.ask(command)
                case commands.LogMessage(text):
                    self.telemetry.log.event("info", "core", text=text)
                case commands.SendToPeer():
                    self.telemetry.log_once(
                        "unsupported_tell"
                    )  # the protocol has no messages between stewards
