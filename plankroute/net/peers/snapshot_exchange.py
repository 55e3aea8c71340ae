"""Exchange of snapshots between controllers.

A controller requests snapshots when it starts, serves them to others while it runs, and hands its
own over when it shuts down.
"""

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
from plankroute.net.peers.link_frames import read_snapshots, snapshot_frames
from plankroute.net.process.clock import monotonic_us
from plankroute.net.process.telemetry import Telemetry
from plankroute.warm_start.codec import MAX_FILE_BYTES, decode_snapshot, encode_snapshot
from plankroute.warm_start.core import SnapshotReceived
from plankroute.warm_start.snapshot import Snapshot

# After this time, what a controller has observed itself is more informative than a snapshot.
ASKING_PERIOD_S = 10.0
MEMBERSHIP_CHECK_INTERVAL_S = 0.05  # between checks for live members that were not asked yet
# Operators allow 0.7 s after SIGTERM for the handover and the last write of the snapshot file.
HANDOVER_TIMEOUT_S = 0.3
# Handovers kept for other controllers. A few are enough: a rolling restart stops controllers one
# after another.
MAX_HANDOVERS = 16

Address = tuple[str, int]
RunTask = Callable[[Coroutine[None, None, None]], None]
EncodedSnapshot = tuple[str, int, bytes]  # controller, age in microseconds, encoded snapshot


@dataclass(frozen=True, slots=True)
class Peer:
    """A live controller.

    Attributes:
        name: Its name.
        address: The host and port at which it accepts links.
    """

    name: str
    address: Address


@dataclass(frozen=True, slots=True)
class Handover:
    """The snapshot that a controller handed over when it shut down.

    Attributes:
        received_us: Monotonic time of its receipt.
        data: The encoded snapshot.
    """

    received_us: int
    data: bytes


class SnapshotExchange:
    """Requests snapshots from peers, serves them to peers, and hands over to one peer.

    Attributes:
        controller: Name of this controller.
        own_host: Local address of outgoing links.
        current_snapshot: Returns the snapshot of this controller.
        on_snapshot: Called with each snapshot that a peer sent.
        max_snapshot_bytes: Size limit of a snapshot that is read from a link.
        handovers: Snapshots that other controllers handed over, by controller, oldest first.
        peers: Returns the live controllers in the order in which they are asked; none by default.
    """

    def __init__(
        self,
        controller: str,
        group: str,
        own_host: str,
        telemetry: Telemetry,
        current_snapshot: Callable[[], Snapshot],
        on_snapshot: Callable[[SnapshotReceived], None],
    ) -> None:
        self.controller = controller
        self.group = group
        self.own_host = own_host
        self.telemetry = telemetry
        self.current_snapshot = current_snapshot
        self.on_snapshot = on_snapshot
        self.max_snapshot_bytes = MAX_FILE_BYTES
        self.handovers: dict[str, Handover] = {}
        self.peers: Callable[[], list[Peer]] = list

    # Serving others: implements the protocol `SnapshotStore` of the link server.

    def snapshots_for(self, name: str) -> list[EncodedSnapshot]:
        """Returns the snapshots to send to a controller that requests them.

        These are this controller's own snapshot and, if there is one, the snapshot that the
        requesting controller handed over when it last shut down.

        Args:
            name: Name of the requesting controller.
        """
        snapshots = [(self.controller, 0, encode_snapshot(self.current_snapshot()))]
        handover = self.handovers.get(name)
        if handover is not None:
            snapshots.append((name, monotonic_us() - handover.received_us, handover.data))
        self.telemetry.count("warm_start.requests_served")
        return snapshots

    def keep_handover(self, name: str, data: bytes) -> None:
        """Stores the newest handover of a controller; counts and drops an invalid one.

        Handovers of at most `MAX_HANDOVERS` controllers are kept; beyond that, the oldest is
        dropped.
        """
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

    # Requesting

    async def ask_peers(self, count: int, timeout_s: float, run_task: RunTask) -> None:
        """Requests snapshots from live peers, once from each, as soon as membership knows them.

        Ends after `ASKING_PERIOD_S` if fewer peers than wanted were found. The controller serves
        proxies meanwhile; a response is merged when it arrives.

        Args:
            count: The number of peers to ask.
            timeout_s: Limit for the whole response of one peer.
            run_task: Starts a task for each request, so that a failed request does not affect the
                others.
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
        """Requests the snapshots of one peer, and logs the outcome.

        If the response is interrupted, the snapshots that arrived completely are still used.
        """
        snapshots: list[EncodedSnapshot] = []
        failure = ""
        began_us = monotonic_us()
        try:
            async with asyncio.timeout(timeout_s):
                await self.read_response(peer, snapshots)
        except (OSError, TimeoutError) as error:
            failure = f"{type(error).__name__}: {error}".strip(": ")
        self.telemetry.count("warm_start.requests_sent")
        self.telemetry.log.event(
            "info",
            "warm_start_peer_asked",
            other=peer.name,
            views=len(snapshots),
            why=failure,
            took_ms=(monotonic_us() - began_us) // 1000,
        )
        for source, age_us, data in snapshots:
            snapshot = decode_snapshot(data)
            if snapshot is None or snapshot.controller != source:
                self.telemetry.count("warm_start.dropped.snapshot")
                continue
            # The transfer took at most as long as the whole request.
            age_with_transfer_us = age_us + monotonic_us() - began_us
            self.on_snapshot(SnapshotReceived(source, snapshot, age_with_transfer_us))

    async def read_response(self, peer: Peer, snapshots: list[EncodedSnapshot]) -> None:
        """Requests a peer's snapshots, and adds each complete one to `snapshots`.

        Raises:
            OSError: The link could not be opened, or it broke.
        """
        reader, writer = await self.connect(peer.address)
        try:
            writer.write(encode_frame(WarmStartRequest(LINK_VERSION, self.group, self.controller)))
            async for snapshot in read_snapshots(reader, FrameDecoder(), self.max_snapshot_bytes):
                snapshots.append(snapshot)
        finally:
            writer.transport.abort()

    async def connect(self, address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a link with `own_host` as its local address.

        Raises:
            OSError: The link could not be opened.
        """
        return await asyncio.open_connection(*address, local_addr=(self.own_host, 0))

    # Handing over

    async def hand_over(self) -> str:
        """Hands this controller's snapshot over to the first peer.

        Returns:
            The name of the peer; "" if there is none, or if the handover failed.
        """
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
        """Sends the snapshot to a peer, and waits until the kernel has accepted all of it.

        Raises:
            OSError: The link could not be opened, or it broke.
        """
        _, writer = await self.connect(peer.address)
        data = encode_snapshot(self.current_snapshot())
        writer.write(encode_frame(WarmStartHandover(LINK_VERSION, self.group, self.controller)))
        await writer.drain()
        for frame in snapshot_frames(self.controller, 0, data):
            writer.write(frame)
            await writer.drain()
        writer.close()
        await writer.wait_closed()


def asking_order(names: list[str], controller: str) -> list[str]:
    """Returns the other controllers in the order in which a controller asks them.

    The controller hands over to the first one. The order is by rendezvous hashing over the
    controller's own name.
    """
    return rendezvous_order([name for name in names if name != controller], controller)
