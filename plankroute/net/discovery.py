"""Discovery: the list of hosts, by a watch that is renewed whenever it ends or falls silent."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from plankroute.interface import notes, orders
from plankroute.interface.notes import ListKind
from plankroute.net.book import Book
from plankroute.net.catalogue import MEMBERS, ListSaid, list_from, read_list, watch_target
from plankroute.net.directory import Directory
from plankroute.net.errors import CallFailed, Reached, Refused
from plankroute.net.http import FAILURES, Answer, Call, Limits, fetch
from plankroute.net.intake import LineCutter
from plankroute.net.ring import Pool

MOST_LIST = 16 << 20  # bytes: some ten thousand hosts
LIMITS = Limits(dial_s=1.0, quiet_s=3.0, most_body=MOST_LIST)  # a sign of life comes every 2 s
AGAIN_S = (0.2, 0.5)  # pause before a new try, drawn anew: a list may count as told 6 s after it was due
MOST_LOGGED = 30  # entries of a list
LIST_FAILED = notes.HostList(ListKind.FAILED, ())


class Discovery:
    """Watches by itself where lists are pushed; else as the core orders, which then hears of failures."""

    def __init__(self, address: tuple[str, int], directory: Directory, book: Book, seed: int,
                 by_order: bool, put: Callable[[notes.Note], None]) -> None:
        self.address, self.directory, self.book, self.put = "%s:%d" % address, directory, book, put
        self.by_order, self.chance = by_order, random.Random(seed)
        self.revision = 0
        self.tasks = set[asyncio.Task[None]]()
        self.watching: asyncio.Task[None] | None = None

    def start(self, known: Any) -> None:
        """The list handed over at the start goes to the core first."""
        said = list_from(known)
        if isinstance(said, Refused):
            self.book.refuse("discovery", f"known: {said.why}")
            said = ListSaid(0, True, ())
        self.revision = said.revision
        self.note(said, ListKind.CACHED)
        if not self.by_order:
            self.watching = asyncio.create_task(self.watch_always())

    def obey(self, order: orders.AskList | orders.Subscribe) -> None:
        match order:
            case orders.AskList():
                self.keep(asyncio.create_task(self.ask()))
            case orders.Subscribe(on):
                if self.watching and self.by_order:
                    self.watching.cancel()
                    self.watching = None
                if on and self.watching is None:
                    self.watching = asyncio.create_task(self.watch_once())

    def keep(self, task: asyncio.Task[None]) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def watch_always(self) -> None:
        while True:
            await self.watch()
            await asyncio.sleep(self.chance.uniform(*AGAIN_S))

    async def watch_once(self) -> None:
        await self.watch()
        self.put(LIST_FAILED)

    async def ask(self) -> None:
        answer = await fetch(self.address, MEMBERS, LIMITS)
        body = answer.body if isinstance(answer, Answer) and answer.status == 200 else b""
        if not body or not self.take(body):
            self.book.count("dropped.lists")
            self.book.log.event("warning", "list_failed", why=str(answer)[:200])
            self.put(LIST_FAILED)

    async def watch(self) -> None:
        """Until it ends: by its end, its silence, or by what can't be read."""
        call = Call(self.address, watch_target(self.revision), LIMITS)
        cutter = LineCutter(MOST_LIST, Pool(2 * MOST_LIST))
        why = CallFailed(Reached.BODY, "ended")
        try:
            async for piece in call.pieces():
                if call.status != 200:
                    why = CallFailed(call.reached, f"status {call.status}")
                    break
                if not all(self.line(line) for line in cutter.feed(piece)):
                    why = CallFailed(call.reached, "what came can't be read")
                    break
        except FAILURES as error:
            why = call.failed(error)
        finally:
            call.close()
        self.book.count("dropped.watches")
        self.book.log.event("warning", "watch_ended", reached=why.reached.value, why=why.why)

    def line(self, line: bytes | Refused) -> bool:
        return not isinstance(line, Refused) and (not line.strip() or self.take(line))

    def take(self, text: bytes) -> bool:
        """A list goes to the core; False where it can't be read, and the old one stays."""
        said = read_list(text)
        if isinstance(said, Refused):
            self.book.refuse("discovery", said.why)
            return False
        if not said.whole and said.revision < self.revision:
            self.revision = 0  # the list began anew: the next watch brings it whole
            return False
        self.revision = said.revision
        self.note(said)
        return True

    def note(self, said: ListSaid, kind: ListKind | None = None) -> None:
        listed, refused = self.directory.note(said, kind)
        if refused:
            self.book.refuse("discovery", "entries that can't be taken", entries=refused)
        self.book.count("taken.lists")
        self.book.log.event("info", "list", revision=said.revision, kind=listed.kind.value, hosts=[
            [self.directory.uid(entry.host), entry.state.value] for entry in listed.entries[:MOST_LOGGED]])
        self.put(listed)
