"""Connections at the steward's address: who is who, and what ends them."""

import asyncio
import time
from collections.abc import Callable

from plankroute.interface import notes
from plankroute.net.admit import Admission, Party, Role
from plankroute.net.book import Book
from plankroute.net.errors import Refused
from plankroute.net.intake import LineCutter
from plankroute.net.relay import Outlet
from plankroute.net.ring import Pool
from plankroute.net.wire import ALIVE, MOST_LINE, Asked, CollectorSaid, HostSaid, Said, read_line

READ_AT_ONCE = 65536  # bytes
ALL_RINGS = 48 << 20  # bytes of all rings together: a quarter of a small machine
BACKLOG = 512
MOST_STRANGERS = 128  # connections that have not yet said who they are: the oldest goes first
STRANGER_S = 10.0  # how long one may take: a hello comes in pieces at worst
QUIET_COLLECTOR_S = 60.0  # reports come each second or so; a late one must not cost the connection
SPARE_DESCRIPTORS = 96  # for discovery, probes, the log and files


class Peer:
    """One connection: a ring a direction, and what its other end has said to be."""

    def __init__(self, writer: asyncio.StreamWriter, pool: Pool) -> None:
        self.party, self.cutter = Party(), LineCutter(MOST_LINE, pool)
        self.outlet, self.heard = Outlet(writer, pool), time.monotonic()  # or its start, until it speaks

    def is_stranger(self) -> bool:
        return self.party.role in (Role.STRANGER, Role.ASKER)

    def is_ending(self) -> bool:
        return self.outlet.writer.transport.is_closing()


class Listener:
    """Takes connections, reads their lines and keeps the streams by proxy."""

    def __init__(self, admission: Admission, book: Book, descriptors: int,
                 put: Callable[[notes.Note], None]) -> None:
        self.admission, self.book, self.put = admission, book, put
        self.most = max(MOST_STRANGERS, descriptors - SPARE_DESCRIPTORS)
        self.pool = Pool(ALL_RINGS)
        self.peers = dict[Peer, None]()  # the oldest first
        self.streams: dict[int, Peer] = {}  # by proxy
        self.server: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=BACKLOG,
                                                 limit=READ_AT_ONCE, reuse_address=True)

    def close(self) -> None:
        if self.server:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A connection from its start to its end; nothing that goes wrong with it goes further."""
        peer = Peer(writer, self.pool)
        self.book.count("taken.connections")
        self.peers[peer] = None
        self.make_room()
        pump = asyncio.create_task(peer.outlet.pump())
        why = "ended"
        try:
            while data := await reader.read(READ_AT_ONCE):
                self.book.count("taken.bytes", len(data))
                self.read(peer, data)
        except OSError as error:
            why = str(error)
        except Exception as error:
            why = f"{type(error).__name__}: {error}"
            self.book.count("dropped.connections")
            self.book.log.event("error", "connection_failed", why=why)
        finally:
            pump.cancel()
            self.end(peer, why)

    def read(self, peer: Peer, data: bytes) -> None:
        """Nothing counts that comes from a connection that was ended, or whose proxy has a new stream."""
        if not peer.is_stranger():
            peer.heard = time.monotonic()
        for line in peer.cutter.feed(data):
            if peer.is_ending():
                return
            said = line if isinstance(line, Refused) else read_line(line)
            if isinstance(said, Refused):
                self.refuse(peer, said)
            elif isinstance(note := self.admission.admit(peer.party, said), Refused):
                self.refuse(peer, note)
            else:
                self.accept(peer, said, note)

    def refuse(self, peer: Peer, what: Refused) -> None:
        """A stranger's connection ends with it; a stream or a collector goes on with its next line."""
        self.book.refuse(what.stage.value, what.why, role=peer.party.role.value, proxy=peer.party.proxy)
        if peer.is_stranger():
            peer.outlet.reset()

    def accept(self, peer: Peer, said: Said, note: notes.Note | None) -> None:
        self.book.count(f"taken.{type(said).__name__.removesuffix('Said').lower()}")
        if isinstance(said, HostSaid) and said.report:
            self.book.count_report(said.report)
        if isinstance(said, Asked):
            peer.outlet.send(ALIVE)
        if isinstance(said, CollectorSaid):
            self.replace_collector(peer)
        if isinstance(note, notes.ProxyJoined):
            self.join(peer, note.proxy)
        if note is not None:
            self.put(note)

    def join(self, peer: Peer, proxy: int) -> None:
        """A new stream may come before the old one is seen to end: that end is then no leaving."""
        if old := self.streams.get(proxy):
            self.put(notes.ProxyLeft(proxy))
            old.outlet.reset()
        self.streams[proxy] = peer
        self.admission.joined.add(proxy)
        self.book.log.event("info", "proxy_joined", proxy=proxy, again=old is not None)

    def replace_collector(self, peer: Peer) -> None:
        """One that a cut has silenced never ends by itself: it goes when its zone's collector is back."""
        late, zone = time.monotonic() - QUIET_COLLECTOR_S, peer.party.zone
        for old in [old for old in self.peers if old is not peer and old.party.role is Role.COLLECTOR]:
            if old.party.zone == zone and old.heard < late:
                self.book.count("dropped.collectors")
                old.outlet.reset()

    def end(self, peer: Peer, why: str) -> None:
        self.peers.pop(peer, None)
        proxy = peer.party.proxy
        if proxy is not None and self.streams.get(proxy) is peer:
            del self.streams[proxy]
            self.admission.joined.discard(proxy)
            self.put(notes.ProxyLeft(proxy))
            self.book.log.event("info", "proxy_left", proxy=proxy, why=why)
        elif peer.party.role is Role.COLLECTOR:
            self.book.log.event("info", "collector_left", why=why)
        peer.cutter.ring.release()
        peer.outlet.close()

    def make_room(self) -> None:
        """The oldest stranger goes where they are many, so that proxies and collectors always get in."""
        if len(self.peers) <= MOST_STRANGERS:
            return
        strangers = [peer for peer in self.peers if peer.is_stranger()]
        if len(strangers) > MOST_STRANGERS or (strangers and len(self.peers) > self.most):
            self.drop_stranger(strangers[0])

    def sweep(self) -> None:
        """Ends those who have said nothing for too long."""
        late = time.monotonic() - STRANGER_S
        for peer in [peer for peer in self.peers if peer.is_stranger() and peer.heard < late]:
            self.drop_stranger(peer)

    def drop_stranger(self, peer: Peer) -> None:
        self.book.count("dropped.strangers")
        peer.outlet.reset()
