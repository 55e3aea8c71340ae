"""What is learned of hosts, kept for later lives and told to other stewards: file, peers, timers, log lines.

What counts, and whose word stands, is `learned.core`'s to decide."""

import asyncio
import re
import threading
import time
import zlib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

from plankroute.cold_start.link_codec import (
    LINK_VERSION,
    FrameDecoder,
    WarmStartHandover,
    WarmStartRequest,
    encode_frame,
)
from plankroute.cold_start.rendezvous import rendezvous_order
from plankroute.config.feature_file import WarmStartSection
from plankroute.controller.controller import Controller
from plankroute.events import events
from plankroute.events.events import HostState
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.watch import Discovery
from plankroute.net.peers.drain_notices import DrainNoticeOverlay
from plankroute.net.peers.link_frames import read_views, view_frames
from plankroute.net.process.clock import monotonic_us as now_us
from plankroute.net.process.file_store import ASIDE, Disk, Saver
from plankroute.net.process.telemetry import Telemetry
from plankroute.warm_start.codec import (
    KEPT,
    MOST_BYTES,
    Kept,
    Unusable,
    read_file,
    read_view,
    write_file,
    write_view,
)
from plankroute.warm_start.core import (
    Action,
    Close,
    Learned,
    LearnedFacts,
    Listed,
    Noted,
    Teach,
    ViewCame,
)
from plankroute.warm_start.facts import HostFacts, View

READ_S = 0.15  # at the start, for the file: what comes later is taken when it comes
LAST_S = 0.3  # at the end, for the file, and as long for a peer: operators leave 0.7 s
LOOK_S = 0.05  # between looks for a living member to ask
ASK_FOR_S = 10.0  # from the start on: by then own txns know better
KEPT_NAMES = 16  # of stewards that left something here: a rolling restart ends one after another
PLAIN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
WORDS = {HostState.DRAINING: "DRAINING", HostState.GONE: "DELETED"}


def file_name(name: str) -> str:
    """Of a steward's file in the folder; a name that is none for a file goes by its check sum."""
    return (name if PLAIN.fullmatch(name) else f"{zlib.crc32(name.encode()):08x}") + ".learned"


class WarmStartService:
    """Keeps, tells and takes what is learned. `peers`: living members in the order in which they are asked,
    with their links' addresses."""

    def __init__(
        self,
        part: WarmStartSection,
        name: str,
        group: str,
        own_host: str,
        telemetry: Telemetry,
        put: Callable[[events.Event], None],
        disk: Disk | None = None,
    ) -> None:
        self.part, self.name, self.group, self.own_host, self.telemetry, self.put = (
            part,
            name,
            group,
            own_host,
            telemetry,
            put,
        )
        self.core = Learned(LearnedFacts(int(part.limit_s * 1e6)))
        self.disk, self.most = disk or Disk(), MOST_BYTES
        self.path = Path(part.folder) / file_name(name) if part.folder else None
        self.saver: Saver | None = None
        self.left: dict[str, tuple[int, bytes]] = {}  # by name, when it was left here, and what
        self.saved: object = None
        self.tasks = set[asyncio.Task[None]]()
        self.peers: Callable[[], list[tuple[str, tuple[str, int]]]] = list

    def attach(
        self,
        controller: Controller,
        directory: Directory,
        discovery: Discovery,
        ahead: DrainNoticeOverlay,
    ) -> None:
        """Before the first list."""
        self.controller, self.directory, self.discovery, self.ahead = (
            controller,
            directory,
            discovery,
            ahead,
        )
        ahead.after_list = lambda: self.work(
            self.listed()
        )  # hosts may have come of which more was told

    # The start

    async def recall(self) -> None:
        """The file, before the first proxy can join; no longer than `READ_S`."""
        if self.path is None:
            return
        loop, reading = asyncio.get_running_loop(), asyncio.get_running_loop().create_future()
        reading.add_done_callback(self.have_read)

        def read() -> None:
            kept = self.read()
            with suppress(RuntimeError):  # the loop has ended meanwhile
                loop.call_soon_threadsafe(lambda: reading.done() or reading.set_result(kept))

        # No thread of a pool, which the end would wait for: a disk that hangs must not hold it up.
        threading.Thread(target=read, daemon=True).start()
        await asyncio.wait([reading], timeout=READ_S)

    def start(self) -> None:
        if self.path and self.part.every_s:
            loop = asyncio.get_running_loop()

            def done(size: int, error: OSError | None) -> None:
                with suppress(RuntimeError):  # the loop has ended meanwhile
                    loop.call_soon_threadsafe(self.wrote, size, error)

            self.saver = Saver(self.disk, self.path, done)
            self.keep_task(self.save_always())
        if self.part.ask_peers:
            self.keep_task(self.ask_at_start())

    def keep_task(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def read(self) -> Kept | Unusable | OSError | None:
        """In a thread. What is another's, or of another version, is set aside: not ours to overwrite."""
        assert self.path
        try:
            data = self.disk.read(self.path, MOST_BYTES)
            if data is None:
                return None
            kept = read_file(data, self.name, time.time_ns() // 1_000_000)
            if isinstance(kept, Unusable) and kept in KEPT:
                self.disk.rename(self.path, self.path.with_name(self.path.name + ASIDE))
            return kept
        except OSError as error:
            return error

    def have_read(self, reading: "asyncio.Future[Kept | Unusable | OSError | None]") -> None:
        if reading.cancelled() or (kept := reading.result()) is None:
            return
        match kept:
            case Kept(view, age_us) if age_us is not None:
                age_s = round(age_us / 1e6, 1)
                self.telemetry.log.event("info", "learned_read", hosts=len(view.hosts), age_s=age_s)
                self.work(ViewCame("file", view, age_us))
            case Kept():
                self.refuse(
                    "unusable",
                    "the clock of the day was set back since: nobody knows how old it is",
                )
            case Unusable():
                self.refuse("unusable", kept.value, aside=kept in KEPT)
            case OSError():
                self.refuse("unread", str(kept))

    def refuse(self, what: str, why: str, **facts: object) -> None:
        self.telemetry.count(f"learned.dropped.{what}")
        self.telemetry.log.event(
            "warning", f"learned_{what}", why=why, file=str(self.path), **facts
        )

    # What counts

    def work(self, event: ViewCame | Listed) -> None:
        now = now_us()
        actions: list[Action] = []
        if isinstance(event, ViewCame):
            actions += self.core.deliver(now, self.listed())
        for action in actions + self.core.deliver(now, event):
            self.carry_out(action)

    def listed(self) -> Listed:
        return Listed(
            {
                known.uid: known.boot_ms
                for known in self.directory.hosts.values()
                if known.entry and known.entry.state is not HostState.GONE
            }
        )

    def carry_out(self, action: Action) -> None:
        match action:
            case Teach(uid, known, health_age_us, capacity_age_us) if uid in self.directory.ids:
                health, powers = known.health.facts, known.powers.facts
                self.telemetry.count("learned.told")
                host = self.directory.ids[uid]
                self.put(
                    events.HostPriorKnowledge(
                        host,
                        powers.weight,
                        powers.attempts,
                        health.failed,
                        powers.mean_latency_us,
                        health.is_shut,
                        health.required_checks,
                        health_age_us,
                        capacity_age_us,
                    )
                )
            case Close(source, revision, closed):
                self.ahead.receive(source, revision, closed)
            case Noted(source, taken, old, beaten):
                for name, number in (("taken", taken), ("old", old), ("beaten", beaten)):
                    self.telemetry.count(f"learned.{name}", number)
                self.telemetry.log.event(
                    "info", "learned", source=source, taken=taken, old=old, beaten=beaten
                )

    def view(self) -> View:
        """What is known now; figures alone, so that a thread may write them down."""
        hosts, own = self.directory.hosts, []
        for told in self.controller.learned():
            known = hosts[told.host]
            own.append(
                HostFacts(
                    known.uid,
                    known.boot_ms,
                    told.weight,
                    told.attempts,
                    told.failed,
                    told.mean_latency_us,
                    told.ejected,
                    told.required_checks,
                    max(0, told.health_age_us),
                )
            )
        closed = tuple(
            (known.uid, WORDS[known.entry.state])
            for known in hosts.values()
            if known.entry and known.entry.state in WORDS
        )
        plain = View(
            self.name,
            -1 if self.discovery.revision is None else self.discovery.revision,
            self.discovery.age_us(),
            tuple(own),
            closed,
        )
        return self.core.view(now_us(), plain)

    # The file

    async def save_always(self) -> None:
        while True:
            await asyncio.sleep(self.part.every_s)
            self.save()

    def save(self) -> None:
        """If something has changed."""
        assert self.saver
        began_us, view = now_us(), self.view()
        mark = (
            view.revision,
            view.closed,
            [(facts.uid, facts.is_shut, facts.attempts) for facts in view.hosts],
        )
        if mark == self.saved or not (view.hosts or view.closed):
            return
        self.saved, unix_ms = mark, time.time_ns() // 1_000_000
        self.saver.want(lambda: write_file(view, unix_ms))
        self.telemetry.counts["learned.loop_us"] = now_us() - began_us

    def wrote(self, size: int, error: OSError | None) -> None:
        """A disk that is full, gone or not ours: said once, counted; the next change is another try."""
        if error is None:
            self.telemetry.count("learned.files")
            self.telemetry.counts["learned.file_bytes"] = size
            return
        self.saved = None
        self.telemetry.count("learned.dropped.unwritten")
        self.telemetry.log_once("learned_unwritten", why=str(error), file=str(self.path))

    # Peers

    def for_another(self, name: str) -> list[tuple[str, int, bytes]]:
        """What is known here, and what an earlier life of the one that asks has left here."""
        out = [(self.name, 0, write_view(self.view()))]
        if name in self.left:
            at_us, data = self.left[name]
            out.append((name, now_us() - at_us, data))
        self.telemetry.count("learned.asked")
        return out

    def keep(self, name: str, data: bytes) -> None:
        """The newest of each name; of the oldest name nothing stays where there are too many."""
        if (view := read_view(data)) is None or view.name != name:
            self.telemetry.count("learned.dropped.left")
            return
        self.left.pop(name, None)
        if len(self.left) >= KEPT_NAMES:
            del self.left[next(iter(self.left))]
        self.left[name] = now_us(), data
        self.telemetry.count("learned.left_here")

    async def ask_at_start(self) -> None:
        """One or two that live, each once; the steward serves meanwhile, and takes what they say when it
        comes."""
        asked, end_s = set[str](), time.monotonic() + ASK_FOR_S
        while len(asked) < self.part.ask_peers and time.monotonic() < end_s:
            waiting = [peer for peer in self.peers() if peer[0] not in asked]
            for name, address in waiting[: self.part.ask_peers - len(asked)]:
                asked.add(name)
                self.keep_task(self.ask(name, address))
            await asyncio.sleep(LOOK_S)

    async def ask(self, name: str, address: tuple[str, int]) -> None:
        """Half an answer is none."""
        views, why = list[tuple[str, int, bytes]](), ""
        began_us = now_us()
        try:
            async with asyncio.timeout(self.part.ask_ms / 1e3):
                reader, writer = await self.dial(address)
                try:
                    writer.write(
                        encode_frame(WarmStartRequest(LINK_VERSION, self.group, self.name))
                    )
                    async for view in read_views(reader, FrameDecoder(), self.most):
                        views.append(view)
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError) as error:
            why = f"{type(error).__name__}: {error}".strip(": ")
        self.telemetry.count("learned.asks")
        self.telemetry.log.event(
            "info",
            "learned_asked",
            other=name,
            views=len(views),
            why=why,
            took_ms=(now_us() - began_us) // 1000,
        )
        for source, age_us, data in views:
            if (view := read_view(data)) is not None and view.name == source:
                # On its way at most as long as the whole call.
                self.work(ViewCame(source, view, age_us + now_us() - began_us))
            else:
                self.telemetry.count("learned.dropped.view")

    async def dial(
        self, address: tuple[str, int]
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*address, local_addr=(self.own_host, 0))

    # The end

    async def hand_over(self) -> None:
        """To the file and to a peer, each within `LAST_S`."""
        for task in list(self.tasks):
            task.cancel()
        if self.saver:
            self.saved = None
            self.save()
        left, written = await asyncio.gather(self.leave_with_peer(), self.finish_file())
        self.telemetry.log.event("info", "learned_handed_over", file=written, peer=left)

    async def finish_file(self) -> bool:
        return await asyncio.to_thread(self.saver.finish, LAST_S) if self.saver else False

    async def leave_with_peer(self) -> str:
        for name, address in self.peers()[:1] if self.part.ask_peers else ():
            try:
                async with asyncio.timeout(LAST_S):
                    _, writer = await self.dial(address)
                    data = write_view(self.view())
                    for frame in (
                        encode_frame(WarmStartHandover(LINK_VERSION, self.group, self.name)),
                        *view_frames(self.name, 0, data),
                    ):
                        writer.write(frame)
                        await writer.drain()
                    writer.close()
                    await writer.wait_closed()
                return name
            except (OSError, TimeoutError) as error:
                self.telemetry.count("learned.dropped.handing")
                self.telemetry.log.event(
                    "warning",
                    "learned_not_handed",
                    other=name,
                    why=f"{type(error).__name__}: {error}",
                )
        return ""


def in_order(names: list[str], name: str) -> list[str]:
    """By rendezvous over a steward's own name: whom it asks at its start, and leaves things with at last."""
    return rendezvous_order([other for other in names if other != name], name)
