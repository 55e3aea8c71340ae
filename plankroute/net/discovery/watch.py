"""Discovery: the list of hosts, by a watch that is renewed whenever it ends or falls silent."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import Any

from plankroute.events import commands, events
from plankroute.events.events import ListKind
from plankroute.net.discovery.catalogue import MEMBERS, ListSaid, list_from, read_list, watch_target
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.http_client import FAILURES, Answer, Call, Limits, fetch
from plankroute.net.process.clock import monotonic_us
from plankroute.net.process.errors import CallFailed, Reached, Refused
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.line_reader import LineCutter
from plankroute.net.proxies.ring_buffer import Pool
from plankroute.seeded_random import SeededRandom

DIAL_S, QUIET_S = 1.0, 3.0  # a sign of life comes every 2 s
AGAIN_S = (
    0.3  # pause before a new try, by half either way: a list may count as told 6 s after it was due
)
MOST_LOGGED = 30  # entries of a list
MOST_TEXT = 200  # characters of what came instead
Over = Callable[
    [int, bool, events.HostList], events.HostList
]  # revision, whole, and what the core is to hear
NO_WORD_US = 1 << 40  # the age of a word that never came
LIST_FAILED = events.HostList(ListKind.FAILED, ())


class Discovery:
    """Watches by itself where lists are pushed; else as the core orders, which then hears of failures."""

    def __init__(
        self,
        address: str,
        most_list: int,
        directory: Directory,
        telemetry: Telemetry,
        seed: int,
        by_order: bool,
        submit: Callable[[events.Event], None],
    ) -> None:
        self.allow(most_list)
        self.address, self.directory, self.telemetry, self.submit = (
            address,
            directory,
            telemetry,
            submit,
        )
        self.by_order, self.chance = by_order, SeededRandom(seed)
        self.revision: int | None = None  # None: the next call is to bring the whole list
        self.asking = set[asyncio.Task[None]]()
        self.watching: asyncio.Task[None] | None = None
        self.has_contact, self.last_contact_us = (
            False,
            0,
        )  # of discovery itself, and when: steady microseconds
        self.list_filter: Over | None = (
            None  # what knows of drains ahead of lists, where that is switched on
        )

    def start(self, known: Any) -> None:
        """The list handed over at the start goes to the core first."""
        said = list_from(known)
        if isinstance(said, Refused):
            self.telemetry.refuse("discovery", f"known: {said.why}")
            self.submit(events.HostList(ListKind.CACHED, ()))
        else:
            self.revision = said.revision
            self.note(said, ListKind.CACHED)
        if not self.by_order:
            self.watch_anew()

    def allow(self, most_list: int) -> None:
        """Bytes of a list; from the next call on."""
        self.limits = Limits(DIAL_S, QUIET_S, most_list)

    def move(self, address: str) -> None:
        """Calls under way end here and begin anew there; what the list was is kept, and its revision."""
        self.address = address
        asking, self.asking = self.asking, set()
        for task in asking:
            task.cancel()
            self.ask_anew()
        if self.watching and not self.watching.done():
            self.watch_anew()

    def watch_anew(self) -> None:
        if self.watching:
            self.watching.cancel()
        watch = self.watch_once if self.by_order else self.watch_forever
        self.watching = asyncio.create_task(watch())

    def ask_anew(self) -> None:
        task = asyncio.create_task(self.ask_once())
        self.asking.add(task)
        task.add_done_callback(self.asking.discard)

    def obey(self, order: commands.PollHostList | commands.SubscribeHostList) -> None:
        match order:
            case commands.PollHostList():
                self.ask_anew()
            case commands.SubscribeHostList(on) if self.by_order:
                if on:
                    self.watch_anew()
                elif self.watching:
                    self.watching.cancel()

    async def watch_forever(self) -> None:
        while True:
            try:
                await self.watch()
            except Exception as error:  # an error of ours must not leave the steward without a list
                self.telemetry.count("dropped.watches")
                self.telemetry.log.event(
                    "error", "discovery_failed", why=f"{type(error).__name__}: {error}"
                )
            await asyncio.sleep(AGAIN_S * (0.5 + self.chance.draw()))

    async def watch_once(self) -> None:
        await self.watch()
        self.submit(LIST_FAILED)

    async def ask_once(self) -> None:
        if not await self.ask():
            self.submit(LIST_FAILED)

    async def ask(self) -> bool:
        """The whole list, once."""
        answer = await fetch(self.address, MEMBERS, self.limits)
        if isinstance(answer, Answer) and answer.status == 200 and self.accept_list(answer.body):
            return True
        self.telemetry.count("dropped.lists")
        self.telemetry.log.event("warning", "list_failed", why=str(answer)[:MOST_TEXT])
        return False

    async def watch(self) -> None:
        """Until it ends: by its end, its silence, or by what can't be read."""
        if self.revision is None and not await self.ask():
            return
        await self.watch_from(self.revision or 0)

    async def watch_from(self, revision: int) -> Call:
        """The call, whose end is logged."""
        call = Call(self.address, watch_target(revision), self.limits)
        why = CallFailed(Reached.BODY, "ended")
        try:
            async with aclosing(call.pieces()) as pieces:
                why = await self.follow(call, pieces) or why
        except FAILURES as error:
            why = call.failed(error)
        finally:
            call.close()
        self.telemetry.count("dropped.watches")
        self.telemetry.log.event("warning", "watch_ended", reached=why.reached.value, why=why.why)
        return call

    async def follow(self, call: Call, pieces: AsyncIterator[bytes]) -> CallFailed | None:
        most = self.limits.max_body_bytes
        cutter = LineCutter(most, Pool(2 * most))
        async for piece in pieces:
            if call.status != 200:
                return CallFailed(call.reached, f"status {call.status}")
            for line in cutter.feed(piece):
                if isinstance(line, Refused) or (line.strip() and not self.accept_list(line)):
                    return CallFailed(call.reached, "what came can't be used")
                call.renew()
                self.record_contact()
        return None

    def record_contact(self) -> None:
        """A whole line came, an empty one too: nothing may have changed for hours."""
        self.has_contact, self.last_contact_us = True, monotonic_us()

    def age_us(self) -> int:
        """How old discovery's word is here."""
        return monotonic_us() - self.last_contact_us if self.has_contact else NO_WORD_US

    def accept_list(self, text: bytes) -> bool:
        """A list goes to the core; False where it can't be used, and the old one stays."""
        said = read_list(text)
        if isinstance(said, Refused):
            self.telemetry.refuse("discovery", said.why)
            return False
        if not said.whole and said.revision < (self.revision or 0):
            self.revision = None  # the list began anew: changes alone would not tell what is gone
            return False
        self.revision = said.revision
        self.note(said)
        return True

    def note(self, said: ListSaid, kind: ListKind | None = None) -> None:
        listed, refused = self.directory.apply_list(said, kind)
        if self.list_filter:
            listed = self.list_filter(said.revision, said.whole, listed)
        if refused:
            self.telemetry.refuse("discovery", "entries that can't be taken", entries=refused)
        self.telemetry.count("taken.lists")
        self.telemetry.log.event(
            "info",
            "list",
            revision=said.revision,
            kind=listed.kind.value,
            hosts=[
                [self.directory.uid(entry.host), entry.state.value]
                for entry in listed.entries[:MOST_LOGGED]
            ],
        )
        self.submit(listed)
