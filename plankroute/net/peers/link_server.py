"""The server side of links: accepts TCP connections from other controllers.

Serves followers, and controllers that request or hand over snapshots. Who follows whom is
decided in `cold_start.watcher_election`.
"""

import asyncio
import socket
from typing import Protocol

from plankroute.cold_start.link_codec import (
    LINK_VERSION,
    PART_BYTES,
    Frame,
    FrameDecoder,
    HealthCheckResults,
    Hello,
    SharedHealthCheck,
    WarmStartHandover,
    WarmStartRequest,
)
from plankroute.net.peers.follower_connection import (
    MAX_RESULTS,
    WRITE_TIMEOUT_S,
    FollowerConnection,
    LinkOwner,
)
from plankroute.net.peers.link_frames import READ_BYTES, read_snapshots, snapshot_frames
from plankroute.net.process.address import host_and_port

HELLO_TIMEOUT_S = 2.0
# Links at the same time. 300 controllers with two links each, spread over three watchers, make 200
# for each watcher; the limit is more than twice that.
MAX_LINKS = 512
# Data waiting to be sent to a follower: one part of a list. The limit is low because a drain notice
# cannot overtake data that is already waiting.
MAX_UNSENT_BYTES = PART_BYTES

FirstFrame = Hello | WarmStartRequest | WarmStartHandover


class SnapshotStore(Protocol):
    """Provides snapshots and stores handovers; implemented by `SnapshotExchange`.

    Attributes:
        max_snapshot_bytes: Size limit of a snapshot that is read from a link.
    """

    max_snapshot_bytes: int

    def snapshots_for(self, name: str) -> list[tuple[str, int, bytes]]:
        """Returns the snapshots to send to a controller.

        Each has the name of the controller whose snapshot it is, its age in microseconds and the
        encoded snapshot.
        """

    def keep_handover(self, name: str, data: bytes) -> None:
        """Stores the snapshot that a controller hands over for its successor of the same name."""


class LinkServer:
    """Accepts links and serves them by their first frame.

    Attributes:
        followers: The followers that are connected, in the order in which they connected.
        open_links: Number of accepted connections that have not ended.
        snapshot_store: Provides snapshots; None: links that request or hand over snapshots are
            rejected.
    """

    def __init__(self, owner: LinkOwner) -> None:
        self.owner = owner
        self.server: asyncio.Server | None = None
        self.followers: dict[FollowerConnection, None] = {}
        self.open_links = 0
        self.snapshot_store: SnapshotStore | None = None

    async def open(self, address: str) -> None:
        """Starts to listen.

        Args:
            address: The address to listen at, as "host:port".

        Raises:
            OSError: The address is in use, or does not belong to this machine.
        """
        listening_socket = socket.socket()
        try:
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening_socket.bind(host_and_port(address))
            self.server = await asyncio.start_server(
                self.serve, sock=listening_socket, backlog=MAX_LINKS
            )
        except OSError:
            listening_socket.close()
            raise

    def close(self) -> None:
        """Stops listening and ends the links of all followers."""
        if self.server:
            self.server.close()
        for follower in list(self.followers):
            follower.writer.transport.abort()

    def on_list_changed(self) -> None:
        """Wakes the sending of updates to all followers."""
        for follower in self.followers:
            follower.has_updates.set()

    def share_results(
        self, results: list[SharedHealthCheck], excluded: FollowerConnection | None = None
    ) -> None:
        """Queues health check results for all followers except `excluded`."""
        for follower in self.followers:
            if follower is not excluded:
                follower.add_results(results)

    # One link

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one link until it ends, and counts why it ended early."""
        telemetry = self.owner.telemetry
        self.open_links += 1
        try:
            if self.open_links > MAX_LINKS:
                telemetry.count("links.rejected.too_many")
                return
            await self.serve_accepted(reader, writer)
        except TimeoutError:
            telemetry.count("links.timed_out")
        except OSError:
            telemetry.count("links.broken")
        except asyncio.CancelledError:
            pass  # the controller is shutting down, and nothing awaits this task
        finally:
            self.open_links -= 1
            writer.transport.abort()

    async def serve_accepted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a link by its first frame.

        Raises:
            OSError: The link broke.
            TimeoutError: The other end sent or accepted data too slowly.
        """
        decoder = FrameDecoder()
        first_frame = await self.read_first_frame(reader, decoder)
        match first_frame:
            case None:
                self.owner.telemetry.count("links.rejected.hello")
            case Hello():
                await self.serve_follower(first_frame, reader, writer, decoder)
            case WarmStartRequest() | WarmStartHandover():
                await self.serve_snapshots(first_frame, reader, writer, decoder)

    async def read_first_frame(
        self, reader: asyncio.StreamReader, decoder: FrameDecoder
    ) -> FirstFrame | None:
        """Reads the first frame; frames after it stay in `decoder.unread`.

        Returns:
            The frame; None if the stream ends before it, or if it does not open a link, is of
            another protocol version or another group, or concerns snapshots while
            `snapshot_store` is None. The caller then closes the link before any other data from it
            is used.

        Raises:
            OSError: The link broke.
            TimeoutError: No frame came within `HELLO_TIMEOUT_S`.
        """
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            frames: list[Frame | None] = []
            while not frames:
                data = await reader.read(READ_BYTES)
                if not data:
                    return None
                frames = decoder.feed(data)
        first_frame = frames[0]
        decoder.unread += frames[1:]
        if not isinstance(first_frame, Hello | WarmStartRequest | WarmStartHandover):
            return None
        if not isinstance(first_frame, Hello) and self.snapshot_store is None:
            return None
        is_compatible = (
            first_frame.version == LINK_VERSION and first_frame.group == self.owner.group
        )
        return first_frame if is_compatible else None

    async def serve_snapshots(
        self,
        first_frame: WarmStartRequest | WarmStartHandover,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        decoder: FrameDecoder,
    ) -> None:
        """Sends the requested snapshots, or receives the snapshots that are handed over.

        Raises:
            OSError: The link broke.
            TimeoutError: The whole exchange took longer than `WRITE_TIMEOUT_S`. Snapshots that were
                handed over completely by then are kept.
        """
        assert self.snapshot_store
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            if isinstance(first_frame, WarmStartHandover):
                async for snapshot in read_snapshots(
                    reader, decoder, self.snapshot_store.max_snapshot_bytes
                ):
                    self.snapshot_store.keep_handover(first_frame.name, snapshot.data)
                return
            for name, age_us, data in self.snapshot_store.snapshots_for(first_frame.name):
                for frame in snapshot_frames(name, age_us, data):
                    writer.write(frame)
                    await writer.drain()
            writer.close()
            await writer.wait_closed()

    # Followers

    async def serve_follower(
        self,
        hello: Hello,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        decoder: FrameDecoder,
    ) -> None:
        """Sends updates to a follower and receives its health check results until the link ends.

        Raises:
            OSError: The link broke.
            TimeoutError: The follower accepts no data any more.
        """
        writer.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES, low=0)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES
        )
        follower = FollowerConnection(self.owner, writer, hello)
        self.followers[follower] = None
        self.owner.telemetry.count("links.accepted")
        read_task = asyncio.create_task(self.read_results(reader, decoder, follower))
        try:
            await follower.send_updates(read_task)
        finally:
            read_task.cancel()
            self.followers.pop(follower, None)

    async def read_results(
        self, reader: asyncio.StreamReader, decoder: FrameDecoder, follower: FollowerConnection
    ) -> None:
        """Receives a follower's health check results and shares them with the other followers.

        Returns when the follower closes the link, or sends a frame of any other type.
        """
        frames = decoder.take_unread()
        while True:
            for frame in frames:
                if not isinstance(frame, HealthCheckResults):
                    return
                self.owner.on_health_checks(frame)
                self.share_results(list(frame.results[:MAX_RESULTS]), follower)
            data = await reader.read(READ_BYTES)
            if not data:
                return
            frames = decoder.feed(data)
