"""The server's end of links, over TCP: lists handed on in order and resumed where they broke off.

Sockets and bounds only; who follows whom is decided in `cold_start.watcher_election`.
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
from plankroute.net.peers.link_frames import READ_BYTES, read_views, view_frames
from plankroute.net.process.address import host_and_port

HELLO_TIMEOUT_S = 2.0
# Links at once: two of each of 300 controllers over three watchers, and more than twice that.
MAX_LINKS = 512
# Of a list that is handed out: a drain notice can't overtake what waits there any more.
MAX_UNSENT_BYTES = PART_BYTES

FirstFrame = Hello | WarmStartRequest | WarmStartHandover


class ViewStore(Protocol):
    """Who knows what is learned of hosts, and keeps it for others: `peers.warm_start`."""

    max_view_bytes: int

    def views_for(self, name: str) -> list[tuple[str, int, bytes]]:
        """Views for that controller: whose, age in microseconds, bytes."""

    def keep_handover(self, name: str, data: bytes) -> None:
        """Keep a view for the successor of that name."""


class LinkServer:
    """Accepts links, and serves followers and those that ask for views of hosts."""

    def __init__(self, owner: LinkOwner) -> None:
        self.owner = owner
        self.server: asyncio.Server | None = None
        self.followers: dict[FollowerConnection, None] = {}
        self.open_links = 0
        self.views: ViewStore | None = None  # None: no views are told

    async def open(self, address: str) -> None:
        """Listen.

        Raises:
            OSError: the address is in use, or not of this machine.
        """
        listening = socket.socket()
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind(host_and_port(address))
            self.server = await asyncio.start_server(self.serve, sock=listening, backlog=MAX_LINKS)
        except OSError:
            listening.close()
            raise

    def close(self) -> None:
        """Stop listening, and end all links."""
        if self.server:
            self.server.close()
        for follower in list(self.followers):
            follower.writer.transport.abort()

    def on_list_changed(self) -> None:
        """The list has changed: followers are served at once."""
        for follower in self.followers:
            follower.has_updates.set()

    def share(
        self, results: list[SharedHealthCheck], excluded: FollowerConnection | None = None
    ) -> None:
        """Send health checks to all followers but one."""
        for follower in self.followers:
            if follower is not excluded:
                follower.add_results(results)

    # One link

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one link to its end."""
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
            pass  # the controller ends: nobody waits for this task
        finally:
            self.open_links -= 1
            writer.transport.abort()

    async def serve_accepted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a link by what its first frame asks for."""
        decoder = FrameDecoder()
        first = await self.read_first(reader, decoder)
        match first:
            case None:
                self.owner.telemetry.count("links.rejected.hello")
            case Hello():
                await self.serve_follower(first, reader, writer, decoder)
            case WarmStartRequest() | WarmStartHandover():
                await self.serve_views(first, reader, writer, decoder)

    async def read_first(
        self, reader: asyncio.StreamReader, decoder: FrameDecoder
    ) -> FirstFrame | None:
        """The first frame; None where it is not one that opens a link.

        Guards against strangers, other versions and other groups: they have said nothing of use by
        then.
        """
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            frames: list[Frame | None] = []
            while not frames:
                data = await reader.read(READ_BYTES)
                if not data:
                    return None
                frames = decoder.feed(data)
        first = frames[0]
        decoder.unread += frames[1:]
        if not isinstance(first, Hello | WarmStartRequest | WarmStartHandover):
            return None
        if not isinstance(first, Hello) and self.views is None:
            return None
        is_known = first.version == LINK_VERSION and first.group == self.owner.group
        return first if is_known else None

    async def serve_views(
        self,
        first: WarmStartRequest | WarmStartHandover,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        decoder: FrameDecoder,
    ) -> None:
        """Views of hosts, asked for or handed over; whole or not at all within the time-out."""
        assert self.views
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            if isinstance(first, WarmStartHandover):
                async for view in read_views(reader, decoder, self.views.max_view_bytes):
                    self.views.keep_handover(first.name, view.data)
                return
            for name, age_us, data in self.views.views_for(first.name):
                for frame in view_frames(name, age_us, data):
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
        """Send lists, heartbeats and results, and take results, until the follower goes."""
        writer.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES, low=0)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES
        )
        follower = FollowerConnection(self.owner, writer, hello)
        self.followers[follower] = None
        self.owner.telemetry.count("links.accepted")
        reading = asyncio.create_task(self.read_results(reader, decoder, follower))
        try:
            await follower.send_updates(reading)
        finally:
            reading.cancel()
            self.followers.pop(follower, None)

    async def read_results(
        self, reader: asyncio.StreamReader, decoder: FrameDecoder, follower: FollowerConnection
    ) -> None:
        """Take and share the follower's health checks; any other frame ends the link."""
        frames = decoder.take_unread()
        while True:
            for frame in frames:
                if not isinstance(frame, HealthCheckResults):
                    return
                self.owner.on_health_checks(frame)
                self.share(list(frame.results[:MAX_RESULTS]), follower)
            data = await reader.read(READ_BYTES)
            if not data:
                return
            frames = decoder.feed(data)
