"""Connections at the steward's address: a ring buffer a direction, and what ends them."""

import asyncio
import time
from collections.abc import Callable

from plankroute.net.admit import Admission, Party, Role
from plankroute.net.book import Book
from plankroute.net.errors import Refused
from plankroute.net.intake import LineCutter
from plankroute.net.ring import Pool, Ring
from plankroute.net.wire import ALIVE, MOST_LINE, Asked, Said, read_line
from plankroute.interface import notes

READ_AT_ONCE = 65536  # bytes
MOST_WAITING = 2 * MOST_LINE  # bytes to a slow reader: one longest message while another is under way
WRITE_AT_ONCE = 16384  # bytes handed to the transport, which holds no more than as many again
ALL_RINGS = 48 << 20  # bytes of all rings together: a quarter of a small machine
BACKLOG = 512
MOST_STRANGERS = 128  # connections that have not yet said who they are: the oldest goes first
STRANGER_S = 10.0  # how long one may take: a hello comes in pieces at worst
SPARE_DESCRIPTORS = 64  # for discovery, probes, the log and files


class Peer:
    """One connection; its party is what it has said to be."""

    def __init__(self, writer: asyncio.StreamWriter, pool: Pool) -> None:
        self.writer, self.party = writer, Party()
        self.cutter, self.out = LineCutter(MOST_LINE, pool), Ring(MOST_WAITING, pool)
        self.wake, self.since = asyncio.Event(), time.monotonic()
        writer.transport.set_write_buffer_limits(high=WRITE_AT_ONCE)

    def send(self, data: bytes) -> bool:
        if self.writer.transport.is_closing() or not self.out.put(data):
            return False
        self.wake.set()
        return True

    async def pump(self) -> None:
        """Relay: out of the ring as fast as the peer reads, holding up nobody else."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while data := self.out.take(WRITE_AT_ONCE):
                self.writer.write(data)
                await self.writer.drain()

    def reset(self) -> None:
        self.writer.transport.abort()


class Listener:
    """Takes connections, reads their lines and keeps count of who is who."""

    def __init__(self, admission: Admission, book: Book, descriptors: int,
                 put: Callable[[notes.Note], None]) -> None:
        self.admission, self.book, self.put = admission, book, put
        self.most = max(MOST_STRANGERS, descriptors - SPARE_DESCRIPTORS)
        self.pool = Pool(ALL_RINGS)
        self.peers = dict[Peer, None]()  # the oldest first
        self.streams: dict[int, Peer] = {}  # by proxy
        self.server: asyncio.Server | None = None

    async def open(self, address: tuple[str, int]) -> None:
        self.server = await asyncio.start_server(self.serve, *address, backlog=BACKLOG,
                                                 limit=READ_AT_ONCE, reuse_address=True)

    def close(self) -> None:
        if self.server:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(writer, self.pool)
        self.book.count("taken.connections")
        self.peers[peer] = None
        self.make_room()
        pump = asyncio.create_task(peer.pump())
        try:
            while data := await reader.read(READ_AT_ONCE):
                self.book.count("taken.bytes", len(data))
                self.read(peer, data)
        except OSError as error:
            self.book.count("taken.resets")
            self.book.log.event("debug", "connection_broke", why=str(error), role=peer.party.role.value)
        except Exception as error:  # whatever it is, it ends here
            self.book.log.event("error", "connection_failed", why=f"{type(error).__name__}: {error}")
            self.book.count("dropped.connections")
        finally:
            pump.cancel()
            self.end(peer)

    def read(self, peer: Peer, data: bytes) -> None:
        for line in peer.cutter.feed(data):
            said = line if isinstance(line, Refused) else read_line(line)
            note = said if isinstance(said, Refused) else self.admission.admit(peer.party, said)
            if isinstance(said, Asked):
                peer.send(ALIVE)
            if isinstance(note, Refused):
                self.refuse(peer, note)
            else:
                self.accept(peer, said, note)

    def refuse(self, peer: Peer, what: Refused) -> None:
        """A stranger's connection ends with it; a stream or a collector goes on with its next line."""
        self.book.refuse(what.stage.value, what.why, role=peer.party.role.value, proxy=peer.party.proxy)
        if peer.party.role in (Role.STRANGER, Role.ASKER):
            peer.reset()

    def accept(self, peer: Peer, said: Said, note: notes.Note | None) -> None:
        self.book.count(f"taken.{type(said).__name__}")
        if isinstance(note, notes.ProxyJoined):
            self.join(peer, note.proxy)
        if note is not None:
            self.put(note)

    def join(self, peer: Peer, proxy: int) -> None:
        """A new stream may come before the old one is seen to end: that end is then no leaving."""
        if old := self.streams.get(proxy):
            self.put(notes.ProxyLeft(proxy))
            old.reset()
        self.streams[proxy] = peer
        self.admission.joined[proxy] = peer.party
        self.book.log.event("info", "proxy_joined", proxy=proxy, again=old is not None)

    def end(self, peer: Peer) -> None:
        self.peers.pop(peer, None)
        proxy = peer.party.proxy
        if proxy is not None and self.streams.get(proxy) is peer:
            del self.streams[proxy], self.admission.joined[proxy]
            self.put(notes.ProxyLeft(proxy))
            self.book.log.event("info", "proxy_left", proxy=proxy)
        peer.cutter.ring.release()
        peer.out.release()
        peer.writer.close()

    def strangers(self) -> list[Peer]:
        return [peer for peer in self.peers if peer.party.role in (Role.STRANGER, Role.ASKER)]

    def make_room(self) -> None:
        """The oldest stranger goes where they are many, so that proxies and collectors always get in."""
        strangers = self.strangers() if len(self.peers) > MOST_STRANGERS else []
        if len(strangers) > MOST_STRANGERS or (strangers and len(self.peers) > self.most):
            self.book.count("dropped.strangers")
            strangers[0].reset()

    def sweep(self) -> None:
        """Ends those who have said nothing for too long."""
        late = time.monotonic() - STRANGER_S
        for peer in self.strangers():
            if peer.since < late:
                self.book.count("dropped.strangers")
                peer.reset()
