"""Route: notes are gathered into a batch, the core decides, its orders go their ways."""

import asyncio
from collections.abc import Callable

from plankroute.controller.controller import Controller
from plankroute.controller.messages import Message, Player
from plankroute.events import commands, events
from plankroute.net.process.clock import Alarms, Clock
from plankroute.net.process.telemetry import Book


class Router:
    """One batch at a time; batches follow no closer than operators state, as in the simulator."""

    def __init__(
        self, steward: Controller, player: Player, clock: Clock, book: Book, gather_us: int
    ) -> None:
        self.steward, self.player, self.clock, self.book = steward, player, clock, book
        self.gather_us, self.last_us = gather_us, 0
        self.alarms, self.pending = Alarms(), list[events.Note]()
        self.handle: asyncio.TimerHandle | None = None
        self.handle_us = 0
        self.send: Callable[[Message], None] = lambda message: None
        self.probe: Callable[[int], None] = lambda host: None
        self.forget: Callable[[int], None] = lambda host: None
        self.ask: Callable[[commands.AskList | commands.Subscribe], None] = lambda order: None

    def put(self, note: events.Note) -> None:
        self.pending.append(note)
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
        batch: list[events.Note] = [events.TimerDue(token) for token in self.alarms.due(now)]
        batch += self.pending
        self.pending = []
        if batch:
            self.last_us = now
            self.work_on(now, batch)
        if (next_us := self.alarms.next_us()) is not None:
            self.wake_at(max(next_us, self.last_us))

    def work_on(self, now: int, batch: list[events.Note]) -> None:
        """A failure is logged with its place; the steward goes on with the next batch."""
        self.book.count("core.batches")
        self.book.count("core.notes", len(batch))
        try:
            for note in batch:
                self.player.hear(note)
            decided = self.steward.deliver(now, batch)
            self.carry_out(now, decided)
            for message in self.player.play(decided):
                self.send(message)
            for order in decided:
                if isinstance(
                    order, commands.Forget
                ):  # last of all: no message can name the host from here
                    self.player.forget(order.host)
                    self.forget(order.host)
        except Exception as error:
            self.book.failed("core", error)

    def carry_out(self, now: int, decided: list[commands.Order]) -> None:
        """What is no message; timers first of all, since the core lives by them."""
        for order in decided:
            match order:
                case commands.SetTimer(after_us, token):
                    self.alarms.set(now + after_us, token)
                case commands.Probe(host):
                    self.probe(host)
                case commands.AskList() | commands.Subscribe():
                    self.ask(order)
                case commands.Log(text):
                    self.book.log.event("info", "core", text=text)
                case commands.Tell():
                    self.book.say_once(
                        "unsupported_tell"
                    )  # the protocol has no messages between stewards
