"""Connections at the steward's address: taken, read line by line, and ended."""

import asyncio
import time
from collections.abc import Callable

from plankroute.interface import notes
from plankroute.net.address import host_and_port
from plankroute.net.admit import Admission, Role
from plankroute.net.book import Book
from plankroute.net.errors import Refused
from plankroute.net.peers import Peer
from plankroute.net.ring import Pool
from plankroute.net.streams import Streams
from plankroute.net.wire import ALIVE, Asked, CollectorSaid, HostSaid, Said, read_line

READ_AT_ONCE = 65536  # bytes
ALL_RINGS = 48 << 20  # bytes of all rings together: a quarter of a small machine
BACKLOG = 512
MOST_STRANGERS = 128  # connections that have not yet said who they are: the oldest goes first
STRANGER_S = 10.0  # how long one may take: a hello comes in pieces at worst
QUIET_COLLECTOR_S = 60.0  # reports come each second or so; a late one must not cost the connection
SPARE_DESCRIPTORS = 96  # for discovery, probes, the log and files


class Listener:
    def __init__(self, admission: Admission, streams: Streams, book: Book, descriptors: int,
                 put: Callable[[notes.Note], None]) -> None:
        self.admission, self.streams, self.book, self.put = admission, streams, book, put
        self.allow(descriptors)
        self.pool = Pool(ALL_RINGS)
        self.peers = dict[Peer, None]()  # the oldest first
        self.server: asyncio.Server | None = None

    def allow(self, descriptors: int) -> None:
        self.most = max(MOST_STRANGERS, descriptors - SPARE_DESCRIPTORS)

    async def open(self, address: str) -> None:
        self.server = await asyncio.start_server(self.serve, *host_and_port(address), backlog=BACKLOG,
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
        except asyncio.CancelledError:
            why = "the steward ends"  # nothing waits for this task: its end is the connection's
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
            self.streams.hear(peer)
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
            self.streams.join(peer, note)
        elif note is not None:
            self.put(note)

    def replace_collector(self, peer: Peer) -> None:
        """One that a cut has silenced never ends by itself: it goes when its zone's collector is back."""
        late, zone = time.monotonic() - QUIET_COLLECTOR_S, peer.party.zone
        for old in [old for old in self.peers if old is not peer and old.party.role is Role.COLLECTOR]:
            if old.party.zone == zone and old.heard < late:
                self.book.count("dropped.collectors")
                old.outlet.reset()

    def end(self, peer: Peer, why: str) -> None:
        self.peers.pop(peer, None)
        self.streams.end(peer, why)
        if peer.party.role is Role.COLLECTOR:
            self.book.log.event("info", "collector_left", why=why)
        peer.cutter.ring.release()
        peer.outlet.close()

    def make_room(self) -> None:
        """The oldest stranger goes where they are many, so that proxies and collectors always get in."""
        if len(self.peers) <= MOST_STRANGERS:
            return
        strangers = self.strangers()
        if len(strangers) > MOST_STRANGERS or (strangers and len(self.peers) > self.most):
            self.drop_stranger(strangers[0])

    def sweep(self) -> None:
        """Ends strangers who have said nothing for too long, and looks for silent streams."""
        self.streams.look()
        late = time.monotonic() - STRANGER_S
        for peer in self.strangers():
            if peer.heard < late:
                self.drop_stranger(peer)

    def strangers(self) -> list[Peer]:
        """Without those that are ending: many come at once, and each is to make room for one."""
        return [peer for peer in self.peers if peer.is_stranger() and not peer.is_ending()]

    def drop_stranger(self, peer: Peer) -> None:
        self.book.count("dropped.strangers")
        peer.outlet.reset()
