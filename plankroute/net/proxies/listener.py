"""Connections at the steward's address: taken, read line by line, and ended."""

import asyncio
import socket
import time
from collections.abc import Callable

from plankroute.events import events
from plankroute.net.process.address import host_and_port
from plankroute.net.process.errors import Refused
from plankroute.net.process.resource_limits import ResourceLimits
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.admission import Admission, Role
from plankroute.net.proxies.connection import Peer
from plankroute.net.proxies.line_codec import (
    ALIVE,
    ERROR,
    AppliedSaid,
    Asked,
    CollectorSaid,
    HelloSaid,
    HostSaid,
    Said,
    TrafficSaid,
    read_line,
)
from plankroute.net.proxies.ring_buffer import Pool
from plankroute.net.proxies.sessions import Streams

READ_AT_ONCE = 16384  # bytes: a collector's second of lines
TAKEN_BYTES = (
    65536  # the kernel's buffer of a connection: what one read may bring, times hundreds of them
)
BACKLOG = 512  # connections that wait in the kernel: hundreds come at once
AT_ONCE = (
    16  # are taken before others are read: each is heard before many younger ones could push it out
)
STRANGER_S = 1.5  # from connecting: joinings come within a second, in pieces at worst
MOST_ASKED = 32  # signs of life between two sweeps: who asks on without end is turned away
TAKEN = {
    kind: f"taken.{kind.__name__.removesuffix('Said').lower()}"
    for kind in (Asked, AppliedSaid, CollectorSaid, HelloSaid, HostSaid, TrafficSaid)
}
QUIET_COLLECTOR_S = 60.0  # reports come each second or so; a late one must not cost the connection
MOST_COLLECTORS = 4  # of a zone: it has one, and one or two that a cut or a restart has left behind


class Listener:
    def __init__(
        self,
        admission: Admission,
        streams: Streams,
        telemetry: Telemetry,
        room: ResourceLimits,
        put: Callable[[events.Event], None],
    ) -> None:
        self.admission, self.streams, self.telemetry, self.put = admission, streams, telemetry, put
        self.room, self.pool = room, Pool(room.ring_bytes)
        self.peers = dict[Peer, None]()
        # Of them, the oldest first: who has said nothing yet, and who has but asked for a sign of life.
        self.strangers, self.askers = dict[Peer, None](), dict[Peer, None]()
        self.server: asyncio.Server | None = None

    def allow(self, room: ResourceLimits) -> None:
        self.room = room
        self.pool.allow(room.ring_bytes)

    async def open(self, address: str) -> None:
        listening = socket.socket()
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, TAKEN_BYTES // 2
            )  # it is doubled
            listening.bind(host_and_port(address))
            self.server = await asyncio.start_server(
                self.serve, sock=listening, backlog=AT_ONCE, limit=READ_AT_ONCE
            )
            listening.listen(BACKLOG)
        except OSError:
            listening.close()
            raise

    def close(self) -> None:
        if self.server:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A connection from its start to its end; nothing that goes wrong with it goes further."""
        peer = Peer(writer, self.pool)
        self.telemetry.count("taken.connections")
        self.peers[peer] = self.strangers[peer] = None
        self.make_room()
        pump = asyncio.create_task(peer.outlet.pump())
        why = "ended"
        try:
            while data := await reader.read(READ_AT_ONCE):
                self.telemetry.count("taken.bytes", len(data))
                self.read(peer, data)
        except OSError as error:
            why = str(error)
        except asyncio.CancelledError:
            why = "the steward ends"  # nothing waits for this task: its end is the connection's
        except Exception as error:
            why = f"{type(error).__name__}: {error}"
            self.telemetry.count("dropped.connections")
            self.telemetry.log.event("error", "connection_failed", why=why)
        finally:
            pump.cancel()
            self.end(peer, why)

    def read(self, peer: Peer, data: bytes) -> None:
        """Nothing counts that comes from a connection that was ended, or whose proxy has a new stream."""
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
        """It costs a stranger the connection, and a stream or a collector where nothing can follow it."""
        self.telemetry.refuse(
            what.stage.value, what.why, role=peer.party.role.value, proxy=peer.party.proxy
        )
        if peer.is_stranger():
            peer.outlet.turn_away(ERROR)
        elif what.is_end:
            # Guards against a proxy that counts as left and stays so, on a stream that is of no more use.
            self.telemetry.count("dropped.unreadable")
            peer.outlet.reset()
            self.streams.end(peer, what.why)

    def accept(self, peer: Peer, said: Said, note: events.Event | None) -> None:
        self.telemetry.count(TAKEN[type(said)])
        if isinstance(said, HostSaid) and said.report:
            self.telemetry.count_report(said.report)
        if isinstance(said, Asked):
            self.answer(peer)
        if isinstance(said, CollectorSaid):
            self.replace_collector(peer)
        if not peer.is_stranger():
            self.take_off(peer)
            peer.join()
        if isinstance(note, events.ProxyJoined):
            self.streams.join(peer, note)
        elif note is not None:
            self.put(note)

    def answer(self, peer: Peer) -> None:
        """One that does nothing but ask moves to the end of those that stay: the quiet ones go first."""
        peer.outlet.send(ALIVE)
        if not peer.is_stranger():
            return
        self.take_off(peer)
        self.askers[peer] = None
        peer.times_asked += 1
        if peer.times_asked > MOST_ASKED:
            self.turn_away(peer)
        elif len(self.askers) > self.room.askers:
            self.turn_away(next(iter(self.askers)))

    def replace_collector(self, peer: Peer) -> None:
        """One that a cut has silenced never ends by itself: it goes when its zone's collector is back.

        Guards against a flood of collectors, too, that leaves proxies no room: those that never brought sums
        go first, then the one that has been quiet for longest."""
        late, zone = time.monotonic() - QUIET_COLLECTOR_S, peer.party.zone
        others = [
            old
            for old in self.peers
            if old is not peer
            and old.party.role is Role.COLLECTOR
            and old.party.zone == zone
            and not old.is_ending()
        ]
        others.sort(key=lambda old: (old.party.has_told, old.heard))
        for place, old in enumerate(others):
            if old.heard < late or len(others) - place >= MOST_COLLECTORS:
                self.telemetry.count("dropped.collectors")
                old.outlet.reset()

    def end(self, peer: Peer, why: str) -> None:
        self.drop(peer)
        self.streams.end(peer, why)
        if peer.party.role is Role.COLLECTOR:
            self.telemetry.log.event("info", "collector_left", why=why)
        peer.cutter.ring.release()
        peer.outlet.close()

    def drop(self, peer: Peer) -> None:
        """It takes no room any more."""
        self.peers.pop(peer, None)
        self.take_off(peer)

    def take_off(self, peer: Peer) -> None:
        """Off the lists of those that are yet to say who they are."""
        self.strangers.pop(peer, None)
        self.askers.pop(peer, None)

    def make_room(self) -> None:
        """Where descriptors are few those that have but asked go first, then strangers, the oldest first.

        Guards against proxies back from a cut that are turned away unheard, for the room is full of their
        own old streams: these count as left, and go before the last few strangers. Harm: one that only stood
        still dials again."""
        if len(self.peers) <= self.room.peers:
            return
        few = len(self.strangers) <= AT_ONCE
        if not self.askers and few and (silent := self.streams.oldest_silent()):
            self.telemetry.count("dropped.silent_streams")
            self.drop(silent)
            silent.outlet.reset()
        elif waiting := self.askers or self.strangers:
            self.turn_away(next(iter(waiting)))

    def room_for_probes(self) -> int:
        return self.room.probes + max(0, self.room.peers - len(self.peers)) // 2

    def sweep(self) -> None:
        """Ends strangers whose time is over, and looks for silent streams."""
        self.streams.look()
        late = time.monotonic() - STRANGER_S
        for peer in [peer for peer in self.strangers if peer.since < late]:
            self.turn_away(peer)
        for peer in self.askers:
            peer.times_asked = 0

    def turn_away(self, peer: Peer) -> None:
        """It no longer counts, though its connection's end is still to run: each is to make room for one."""
        self.drop(peer)
        self.telemetry.count("dropped.strangers")
        peer.outlet.turn_away(ERROR)
