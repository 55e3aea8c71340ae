"""Links between stewards, over TCP: lists handed on in order and resumed where they broke, beats, probes'
results.

Sockets and bounds only; whom to follow is `coldstart.follow`'s to decide."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from typing import Protocol
from zlib import crc32

import orjson

from plankroute.cold_start.endpoint_list import EndpointList, ListReceiver
from plankroute.cold_start.link_codec import (
    LINK_VERSION,
    PART_BYTES,
    DrainNoticeFrame,
    Frame,
    FrameDecoder,
    HealthCheckResults,
    Heartbeat,
    Hello,
    ListPart,
    ListStart,
    WarmStartHandover,
    WarmStartRequest,
    WarmStartView,
    encode_frame,
)
from plankroute.net.process.address import host_and_port
from plankroute.net.process.telemetry import Telemetry

BEAT_S = 0.5  # between beats: four in the shortest time after which somebody is left
HELLO_S, DIAL_S = 2.0, 1.0
STUCK_S = 5.0  # for one part to be taken by the kernel: three of them in the stall of who reads it
MOST_LINKS = (
    512  # taken at once: two of each of 300 stewards over three watchers, and more than twice that
)
WAITING_BYTES = 65536  # for the kernel: a part being written, and the next
UNSENT_BYTES = (
    PART_BYTES  # of a list that is handed out: what waits there a drain can't overtake any more
)
MOST_DRAINS = 32768  # bytes of entries in one frame
READ_AT_ONCE = 65536
MOST_RESULTS = 256  # of probes in one frame


class Views(Protocol):
    """Who knows what is learned of hosts, and keeps it for others: `net.learned`."""

    most: int

    def for_another(self, name: str) -> list[tuple[str, int, bytes]]: ...
    def keep(self, name: str, data: bytes) -> None: ...


class Owner(Protocol):
    """Who has the links: `net.shared`."""

    group: str
    name: str
    telemetry: Telemetry
    held: EndpointList

    def age_us(self) -> int: ...
    def heard_results(self, frame: HealthCheckResults) -> None: ...


class Served:
    """One that follows this steward."""

    def __init__(self, writer: asyncio.StreamWriter, hello: Hello) -> None:
        self.writer, self.hello = writer, hello
        self.revision, self.partial = hello.revision, hello.partial
        self.told = hello.revision  # up to which it has heard of drains, be it without the list
        self.wake = asyncio.Event()
        self.results: list[tuple[str, str, int, int, float]] = []


class LinkServer:
    def __init__(self, owner: Owner) -> None:
        self.owner, self.server = owner, None
        self.served: dict[Served, None] = {}
        self.taken = 0
        self.views: Views | None = None  # where what is learned is told to others

    async def open(self, address: str) -> None:
        """Raises OSError."""
        listening = socket.socket()
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind(host_and_port(address))
            self.server = await asyncio.start_server(self.serve, sock=listening, backlog=MOST_LINKS)
        except OSError:
            listening.close()
            raise

    def close(self) -> None:
        if self.server:
            self.server.close()
        for served in list(self.served):
            served.writer.transport.abort()

    def changed(self) -> None:
        for served in self.served:
            served.wake.set()

    def share(
        self, results: list[tuple[str, str, int, int, float]], but: Served | None = None
    ) -> None:
        for served in self.served:
            if served is not but:
                served.results = (served.results + results)[-MOST_RESULTS:]
                served.wake.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        telemetry, served = self.owner.telemetry, None
        self.taken += 1
        try:
            if self.taken > MOST_LINKS:
                telemetry.count("links.dropped.full")
                return
            cutter = FrameDecoder()
            if (hello := await self.hello(reader, cutter)) is None:
                telemetry.count("links.dropped.hello")
                return
            if not isinstance(hello, Hello):
                await self.serve_views(hello, reader, writer, cutter)
                return
            writer.transport.set_write_buffer_limits(high=UNSENT_BYTES, low=0)
            writer.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES
            )
            served = Served(writer, hello)
            self.served[served] = None
            telemetry.count("links.served")
            reading = asyncio.create_task(self.read(reader, cutter, served))
            try:
                await self.give(served, reading)
            finally:
                reading.cancel()
        except (OSError, TimeoutError) as error:
            telemetry.count(
                "links.dropped.stuck" if isinstance(error, TimeoutError) else "links.broke"
            )
        except asyncio.CancelledError:
            pass  # the steward ends: nobody waits for this task
        finally:
            self.taken -= 1
            if served:
                self.served.pop(served, None)
            writer.transport.abort()

    async def serve_views(
        self,
        first: WarmStartRequest | WarmStartHandover,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cutter: FrameDecoder,
    ) -> None:
        """What is learned of hosts, asked for or left here; in `STUCK_S`, whole or not at all."""
        assert self.views
        async with asyncio.timeout(STUCK_S):
            if isinstance(first, WarmStartHandover):
                async for _, _, data in read_views(reader, cutter, self.views.most):
                    self.views.keep(first.name, data)
                return
            for name, age_us, data in self.views.for_another(first.name):
                for frame in view_frames(name, age_us, data):
                    writer.write(frame)
                    await writer.drain()
            writer.close()
            await writer.wait_closed()

    async def hello(
        self, reader: asyncio.StreamReader, cutter: FrameDecoder
    ) -> Hello | WarmStartRequest | WarmStartHandover | None:
        """Guards against strangers, other versions and other groups: they have said nothing of use by
        then."""
        async with asyncio.timeout(HELLO_S):
            frames: list[Frame | None] = []
            while not frames:
                if not (data := await reader.read(READ_AT_ONCE)):
                    return None
                frames = cutter.feed(data)
        first = frames[0]
        cutter.waiting += frames[1:]
        is_one = isinstance(first, Hello) or (
            self.views is not None and isinstance(first, WarmStartRequest | WarmStartHandover)
        )
        good = is_one and first.version == LINK_VERSION and first.group == self.owner.group
        return first if good else None  # type: ignore[return-value]

    async def read(
        self, reader: asyncio.StreamReader, cutter: FrameDecoder, served: Served
    ) -> None:
        frames, cutter.waiting = cutter.waiting, []
        while True:
            for frame in frames:
                if not isinstance(frame, HealthCheckResults):
                    return
                self.owner.heard_results(frame)
                self.share(list(frame.results[:MOST_RESULTS]), served)
            if not (data := await reader.read(READ_AT_ONCE)):
                return
            frames = cutter.feed(data)

    async def give(self, served: Served, reading: asyncio.Task[None]) -> None:
        """Lists as they change, beats in between, until the other end goes."""
        while not reading.done():
            held = self.owner.held
            served.wake.clear()
            await self.tell_drains(served, held)
            if not served.hello.light and held.revision >= 0 and served.revision != held.revision:
                await self.give_list(served, held)
            if served.results:
                results, served.results = served.results, []
                await self.write(served, HealthCheckResults(tuple(results)))
            await self.write(served, Heartbeat(held.revision, self.owner.age_us()))
            try:
                async with asyncio.timeout(BEAT_S):
                    await served.wake.wait()
            except TimeoutError:
                pass

    async def give_list(self, served: Served, held: EndpointList) -> None:
        """Changes, if they are all known; else the whole list, from where it had broken off."""
        data, is_whole = held.since(served.revision), False
        if data is None:
            data, is_whole = held.whole(), True
        check, offset, revision = crc32(data), 0, held.revision
        if is_whole and served.partial and served.partial[:2] == (revision, check):
            offset = min(served.partial[2], len(data))
            self.owner.telemetry.count("links.resumed")
        self.owner.telemetry.count("links.lists" if is_whole else "links.changes")
        served.partial = None
        await self.write(served, ListStart(revision, is_whole, len(data), check, offset))
        for at in range(offset, len(data), PART_BYTES):
            await self.write(served, ListPart(data[at : at + PART_BYTES]))
            await self.tell_drains(served, held)
        served.revision = revision

    async def tell_drains(self, served: Served, held: EndpointList) -> None:
        """Guards against a drain that waits behind a large list on a slow link: it goes between its parts,
        and over the links of witnesses, which carry no lists."""
        if held.revision == served.told or held.revision < 0:
            return
        revision, items = held.revision, held.closings(served.told)
        served.told = revision
        if not items or (not served.hello.light and held.since(served.revision) is not None):
            return  # the changes themselves come next, and are as short
        for targets in json_array_chunks([orjson.dumps(item) for item in items], MOST_DRAINS):
            self.owner.telemetry.count("links.drains")
            await self.write(served, DrainNoticeFrame(revision, targets))

    async def write(self, served: Served, frame: Frame) -> None:
        """Raises TimeoutError where the other end takes nothing any more."""
        data = encode_frame(frame)
        self.owner.telemetry.count("links.sent_bytes", len(data))
        served.writer.write(data)
        async with asyncio.timeout(STUCK_S):
            await served.writer.drain()


def view_frames(name: str, age_us: int, data: bytes) -> list[bytes]:
    """A view as frames; in parts, so that no frame is longer than any other."""
    parts = [ListPart(data[at : at + PART_BYTES]) for at in range(0, len(data), PART_BYTES)]
    return [
        encode_frame(frame)
        for frame in (
            WarmStartView(name, age_us),
            ListStart(0, True, len(data), crc32(data)),
            *parts,
        )
    ]


async def read_views(
    reader: asyncio.StreamReader, cutter: FrameDecoder, most: int
) -> AsyncIterator[tuple[str, int, bytes]]:
    """Whole views alone: what breaks off, is too large or spoilt ends it. Bounded in time by its callers."""
    incoming, of = ListReceiver(most), WarmStartView("", 0)
    frames, cutter.waiting = cutter.waiting, []
    while True:
        for frame in frames:
            match frame:
                case WarmStartView():
                    of = frame
                case ListStart(revision, whole, size, check, 0):
                    if incoming.begin(revision, whole, size, check, 0):
                        return
                case ListPart(data):
                    view, objection = incoming.add(data)
                    if objection:
                        return
                    if view is not None:
                        yield of.name, of.age_us, view
                case _:
                    return
        if not (data := await reader.read(READ_AT_ONCE)):
            return
        frames = cutter.feed(data)


def json_array_chunks(items: list[bytes], most: int) -> list[bytes]:
    """JSON arrays of them, none longer than that; an item that is, by itself, comes with the list."""
    pieces, piece, size = [], list[bytes](), 2
    for item in items:
        if len(item) + 2 > most:
            continue
        if size + len(item) + 1 > most:
            pieces.append(b"[%s]" % b",".join(piece))
            piece, size = [], 2
        piece.append(item)
        size += len(item) + 1
    return pieces + [b"[%s]" % b",".join(piece)] * bool(piece)


class LinkClient:
    """A link to one that is followed, from its dialling to its end."""

    def __init__(
        self,
        owner: Owner,
        name: str,
        address: tuple[str, int],
        own_host: str,
        hello: Hello,
        hear: Callable[[str, Frame], str | None],
        end: Callable[["LinkClient", str], None],
    ) -> None:
        self.owner, self.name, self.address, self.hello = owner, name, address, hello
        self.hear, self.end = hear, end
        self.own_host = own_host  # from the address at which others know this steward
        self.writer: asyncio.StreamWriter | None = None
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        why = "ended"
        try:
            async with asyncio.timeout(DIAL_S):
                reader, self.writer = await asyncio.open_connection(
                    *self.address, local_addr=(self.own_host, 0)
                )
            self.writer.transport.set_write_buffer_limits(high=WAITING_BYTES)
            self.writer.write(encode_frame(self.hello))
            cutter = FrameDecoder()
            while data := await reader.read(READ_AT_ONCE):
                for frame in cutter.feed(data):
                    if objection := self.hear(self.name, frame) if frame else "unreadable":
                        why = objection
                        return
        except (OSError, TimeoutError) as error:
            why = f"{type(error).__name__}: {error}".strip(": ")
        except asyncio.CancelledError:
            why = ""  # hung up: nobody needs to hear
        finally:
            if self.writer:
                self.writer.transport.abort()
            if why:
                self.end(self, why)

    def say(self, frame: Frame) -> None:
        """Dropped where the link is not up, or holds too much already."""
        if (
            self.writer
            and not self.writer.is_closing()
            and (self.writer.transport.get_write_buffer_size() < WAITING_BYTES)
        ):
            self.writer.write(encode_frame(frame))

    def hang(self) -> None:
        self.task.cancel()
