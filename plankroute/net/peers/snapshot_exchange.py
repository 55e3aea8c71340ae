"""Snapshots between controllers: requested at the start, served, handed over at the end."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from plankroute.cold_start.link_codec import (
    LINK_VERSION,
    FrameDecoder,
    WarmStartHandover,
    WarmStartRequest,
    encode_frame,
)
from plankroute.cold_start.rendezvous import rendezvous_order
from plankroute.net.peers.link_frames import read_views, view_frames
from plankroute.net.process.clock import monotonic_us
from plankroute.net.process.telemetry import Telemetry
from plankroute.warm_start.codec import MAX_FILE_BYTES, decode_snapshot, encode_snapshot
from plankroute.warm_start.core import SnapshotReceived
from plankroute.warm_start.snapshot import Snapshot

# By then a controller's own requests say more than a snapshot.
ASKING_PERIOD_S = 10.0
MEMBERSHIP_CHECK_INTERVAL_S = 0.05  # between looks for a living member that can be asked
# Together with the file's last write within the 0.7 s that operators leave after SIGTERM.
HANDOVER_TIMEOUT_S = 0.3
# Snapshots held for others: a rolling restart ends controllers one after another.
MAX_HANDOVERS = 16

Address = tuple[str, int]
RunTask = Callable[[Coroutine[None, None, None]], None]
EncodedSnapshot = tuple[str, int, bytes]  # as the links carry it: controller, age in us, bytes


@dataclass(frozen=True, slots=True)
class Peer:
    """A living controller.

    Attributes:
        name: Its name.
        address: Where its links are.
    """

    name: str
    address: Address


@dataclass(frozen=True, slots=True)
class Handover:
    """What a controller handed over as it ended.

    Attributes:
        received_us: When, on the monotonic clock.
        data: The encoded snapshot.
    """

    received_us: int
    data: bytes


class SnapshotExchange:
    """Asks peers, answers them, and hands over to one.

    Attributes:
        max_view_bytes: The largest snapshot that is read from a link, in bytes.
        peers: Living controllers, in the order in which they are asked.
        handovers: What others handed over here, by their names, oldest first.
    """

    def __init__(
        self,
        controller: str,
        group: str,
        own_host: str,
        telemetry: Telemetry,
        current: Callable[[], Snapshot],
        on_snapshot: Callable[[SnapshotReceived], None],
    ) -> None:
        self.controller = controller
        self.group = group
        self.own_host = own_host
        self.telemetry = telemetry
        self.current = current
        self.on_snapshot = on_snapshot
        self.max_view_bytes = MAX_FILE_BYTES
        self.handovers: dict[str, Handover] = {}
        self.peers: Callable[[], list[Peer]] = list

    # Serving others; the names are those of the protocol `ViewStore` of the link server.

    def views_for(self, name: str) -> list[EncodedSnapshot]:
        """What is known here, and what the asking controller handed over here as it last ended."""
        snapshots = [(self.controller, 0, encode_snapshot(self.current()))]
        handover = self.handovers.get(name)
        if handover is not None:
            snapshots.append((name, monotonic_us() - handover.received_us, handover.data))
        self.telemetry.count("warm_start.requests_served")
        return snapshots

    def keep_handover(self, name: str, data: bytes) -> None:
        """Holds the newest handover of a controller, of `MAX_HANDOVERS` controllers at most."""
        snapshot = decode_snapshot(data)
        if snapshot is None or snapshot.controller != name:
            self.telemetry.count("warm_start.dropped.handover_received")
            return
        self.handovers.pop(name, None)
        if len(self.handovers) >= MAX_HANDOVERS:
            oldest = next(iter(self.handovers))
            del self.handovers[oldest]
        self.handovers[name] = Handover(monotonic_us(), data)
        self.telemetry.count("warm_start.handovers_received")

    # Asking

    async def ask_peers(self, count: int, timeout_s: float, run_task: RunTask) -> None:
        """Asks up to that many living peers, each once, as soon as membership knows them.

        The controller serves meanwhile; answers are merged when they come.

        Args:
            count: How many peers are asked.
            timeout_s: Limit of one peer's whole answer.
            run_task: Runs a request beside the others, none of which ends with another's failure.
        """
        asked: set[str] = set()
        end_s = time.monotonic() + ASKING_PERIOD_S
        while len(asked) < count and time.monotonic() < end_s:
            unasked = [peer for peer in self.peers() if peer.name not in asked]
            for peer in unasked[: count - len(asked)]:
                asked.add(peer.name)
                run_task(self.ask(peer, timeout_s))
            await asyncio.sleep(MEMBERSHIP_CHECK_INTERVAL_S)

    async def ask(self, peer: Peer, timeout_s: float) -> None:
        """Asks one peer for its snapshots; of an answer that breaks off, whole snapshots count."""
        snapshots: list[EncodedSnapshot] = []
        why = ""
        began_us = monotonic_us()
        try:
            async with asyncio.timeout(timeout_s):
                await self.read_answer(peer, snapshots)
        except (OSError, TimeoutError) as error:
            why = f"{type(error).__name__}: {error}".strip(": ")
        self.telemetry.count("warm_start.requests_sent")
        self.telemetry.log.event(
            "info",
            "warm_start_peer_asked",
            other=peer.name,
            views=len(snapshots),
            why=why,
            took_ms=(monotonic_us() - began_us) // 1000,
        )
        for source, age_us, data in snapshots:
            snapshot = decode_snapshot(data)
            if snapshot is None or snapshot.controller != source:
                self.telemetry.count("warm_start.dropped.snapshot")
                continue
            # It was on its way for at most as long as the whole call.
            age_with_call_us = age_us + monotonic_us() - began_us
            self.on_snapshot(SnapshotReceived(source, snapshot, age_with_call_us))

    async def read_answer(self, peer: Peer, snapshots: list[EncodedSnapshot]) -> None:
        """Adds each snapshot that comes whole to `snapshots`.

        Raises:
            OSError: The link could not be opened, or broke.
        """
        reader, writer = await self.connect(peer.address)
        try:
            writer.write(encode_frame(WarmStartRequest(LINK_VERSION, self.group, self.controller)))
            async for snapshot in read_views(reader, FrameDecoder(), self.max_view_bytes):
                snapshots.append(snapshot)
        finally:
            writer.transport.abort()

    async def connect(self, address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a link from this controller's own address."""
        return await asyncio.open_connection(*address, local_addr=(self.own_host, 0))

    # Handing over

    async def hand_over(self) -> str:
        """Hands the snapshot over to the first peer; returns its name, "" if none has it."""
        peers = self.peers()
        if not peers:
            return ""
        peer = peers[0]
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                await self.send_handover(peer)
        except (OSError, TimeoutError) as error:
            self.telemetry.count("warm_start.dropped.handover_sent")
            self.telemetry.log.event(
                "warning",
                "warm_start_handover_failed",
                other=peer.name,
                why=f"{type(error).__name__}: {error}",
            )
            return ""
        return peer.name

    async def send_handover(self, peer: Peer) -> None:
        """Sends the snapshot to a peer, and waits until the kernel has taken it.

        Raises:
            OSError: The link could not be opened, or broke.
        """
        _, writer = await self.connect(peer.address)
        data = encode_snapshot(self.current())
        writer.write(encode_frame(WarmStartHandover(LINK_VERSION, self.group, self.controller)))
        await writer.drain()
        for frame in view_frames(self.controller, 0, data):
            writer.write(frame)
            await writer.drain()
        writer.close()
        await writer.wait_closed()


def asking_order(names: list[str], controller: str) -> list[str]:
    """Whom a controller asks, and hands over to: by rendezvous hashing over its own name."""
    return rendezvous_order([name for name in names if name != controller], controller)
