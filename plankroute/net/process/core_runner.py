"""Runs the core: gathers events into batches, lets it decide, and carries out its commands."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from plankroute.controller.controller import Controller
from plankroute.controller.message_builder import MessageBuilder
from plankroute.controller.messages import Message
from plankroute.events import commands, events
from plankroute.net.process.clock import Clock, Timers
from plankroute.net.process.publishing_log import PublishingLog
from plankroute.net.process.telemetry import Telemetry


def _ignore(_: object) -> None:
    """Stands in for an output that is not connected."""


@dataclass(slots=True)
class CoreOutputs:
    """Where commands of the core go.

    Attributes:
        send_message: Sends a message to its proxy.
        check_health: Starts a health check of a host.
        request_list: Polls the endpoint list, or subscribes to it.
        forget_host: Frees what is kept of a host.
    """

    send_message: Callable[[Message], None] = _ignore
    check_health: Callable[[int], None] = _ignore
    request_list: Callable[[commands.PollHostList | commands.SubscribeHostList], None] = _ignore
    forget_host: Callable[[int], None] = _ignore


class CoreRunner:
    """Runs one batch at a time; batches follow no closer than operators state."""

    def __init__(
        self,
        controller: Controller,
        message_builder: MessageBuilder,
        clock: Clock,
        telemetry: Telemetry,
        min_batch_interval_us: int,
    ) -> None:
        self.controller = controller
        self.message_builder = message_builder
        self.clock = clock
        self.telemetry = telemetry
        self.min_batch_interval_us = min_batch_interval_us
        self.outputs = CoreOutputs()
        self.publishing_log = PublishingLog(telemetry)
        self.last_batch_us = 0
        self.timers = Timers()
        self.pending = list[events.Event]()
        self.handle: asyncio.TimerHandle | None = None
        self.handle_due_us = 0

    def submit(self, event: events.Event) -> None:
        """Hands the core an event, which goes into the next batch."""
        self.pending.append(event)
        self._wake_at(self.last_batch_us + self.min_batch_interval_us)

    def _wake_at(self, due_us: int) -> None:
        """One timer of the event loop serves both pending events and the core's timers."""
        if self.handle:
            if self.handle_due_us <= due_us:
                return
            self.handle.cancel()
        loop = asyncio.get_running_loop()
        self.handle_due_us = due_us
        delay_us = max(0, due_us - self.clock.now_us())
        self.handle = loop.call_later(delay_us / 1e6, self.flush)

    def flush(self) -> None:
        """Runs what is pending and due as a batch, now."""
        self.handle = None
        now_us = self.clock.now_us()
        # Timers first: guards against an event that fails and takes along the timers that the core
        # lives by.
        batch: list[events.Event] = [
            events.TimerExpired(token) for token in self.timers.pop_due(now_us)
        ]
        batch += self.pending
        self.pending = []
        if batch:
            self.last_batch_us = now_us
            self.run_batch(now_us, batch)
        next_due_us = self.timers.next_due_us()
        if next_due_us is not None:
            self._wake_at(max(next_due_us, self.last_batch_us))

    def run_batch(self, now_us: int, batch: list[events.Event]) -> None:
        """Runs a batch; a failure is logged with its place, and the next one runs all the same."""
        self.telemetry.count("core.batches")
        self.telemetry.count("core.events", len(batch))
        try:
            for event in batch:
                self.message_builder.observe(event)
            decided = self.controller.deliver(now_us, batch)
            self._carry_out(now_us, decided)
            for message in self.message_builder.build(decided):
                self.outputs.send_message(message)
            self._forget_hosts(decided)
            self.publishing_log.report(now_us, self.controller.publisher.status)
        except Exception as error:
            self.telemetry.record_failure("core", error)

    def _carry_out(self, now_us: int, decided: list[commands.Command]) -> None:
        """Carries out the commands that become no messages."""
        for command in decided:
            match command:
                case commands.SetTimer(after_us, token):
                    self.timers.schedule(now_us + after_us, token)
                case commands.CheckHealth(host):
                    self.outputs.check_health(host)
                case commands.PollHostList() | commands.SubscribeHostList():
                    self.outputs.request_list(command)
                case commands.LogMessage(text):
                    self.telemetry.log.event("info", "core", text=text)
                case commands.SendToPeer():
                    # The protocol has no messages between controllers.
                    self.telemetry.log_once("unsupported_peer_message")

    def _forget_hosts(self, decided: list[commands.Command]) -> None:
        """Last of all: from here on no message can name the hosts."""
        for command in decided:
            if isinstance(command, commands.ForgetHost):
                self.message_builder.forget(command.host)
                self.outputs.forget_host(command.host)
