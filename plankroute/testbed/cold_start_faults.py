"""Faults of cold starts beyond fault scripts: a misbehaving watcher, discovery out of reach."""

import asyncio
import random

from plankroute.cold_start.link_codec import (
    LINK_VERSION,
    Heartbeat,
    Hello,
    ListPart,
    ListStart,
    encode_frame,
)
from plankroute.testbed.cold_start import ColdStart
from plankroute.testbed.faults import SECOND
from plankroute.testbed.processes import GROUP_NAME

IMPOSSIBLE_REVISION = 10**9
EMPTY_PARTS = 200  # that a misbehaving watcher sends after the invalid frames, ten per second
READ_BYTES = 65536
POLL_INTERVAL_S = 0.05


class MisbehavingWatcher:
    """Replaces a watcher, and sends its followers invalid frames, different ones on each link.

    Attributes:
        links_served: Number of links that were accepted.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.links_served = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends invalid frames, then empty list parts, until the follower closes the link."""
        self.links_served += 1
        invalid_streams = self.invalid_streams()
        try:
            for data in invalid_streams[self.links_served % len(invalid_streams)]:
                writer.write(data)
            for _ in range(EMPTY_PARTS):
                writer.write(encode_frame(ListPart(b"")))
                await writer.drain()
                await asyncio.sleep(0.1)
        except (OSError, asyncio.CancelledError):
            pass  # the follower has closed the link, or the testbed is closing
        finally:
            writer.transport.abort()

    def invalid_streams(self) -> list[list[bytes]]:
        """Returns sequences of frames with invalid revisions, sizes, order or encoding."""
        return [
            [
                encode_frame(Heartbeat(IMPOSSIBLE_REVISION, 0)),
                encode_frame(ListStart(IMPOSSIBLE_REVISION, True, 10**9, 1)),
            ],
            [encode_frame(ListStart(5, False, 10, 7)), encode_frame(ListPart(b"x" * 11))],
            [encode_frame(Heartbeat(3, 0))],
            [encode_frame(Hello(LINK_VERSION, GROUP_NAME, "x", 1, True)), b"\xff\xff\xff\xff"],
        ]


class InterruptedRelay:
    """A relay between some controllers and discovery that forwards nothing during a period.

    Attributes:
        address: The address of discovery, as `host:port`.
        from_s: Start of the interruption, in seconds from the start of the script.
        until_s: End of the interruption, in seconds from the start of the script.
    """

    def __init__(self, start: ColdStart, from_s: float, until_s: float) -> None:
        self.start = start
        self.address = ""
        self.from_s = from_s
        self.until_s = until_s
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str) -> str:
        """Opens the relay on an IP address; returns its address as `host:port`."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        ip, port = self.server.sockets[0].getsockname()
        return f"{ip}:{port}"

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def is_cut(self) -> bool:
        """Returns whether the relay is interrupted now."""
        script_us = self.start.processes.script_us()
        return script_us is not None and self.from_s <= script_us / SECOND < self.until_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forwards one call; during the interruption it waits and keeps connections open."""
        far_writer: asyncio.StreamWriter | None = None
        try:
            host, _, port = self.address.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self.writers |= {writer, far_writer}
            if not self.is_cut():
                far_writer.write(await reader.readuntil(b"\r\n\r\n"))
            while data := await far_reader.read(READ_BYTES):
                while self.is_cut():
                    await asyncio.sleep(POLL_INTERVAL_S)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # an end has closed its connection, or the testbed is closing
        finally:
            for end in (writer, far_writer):
                if end:
                    end.transport.abort()
                    self.writers.discard(end)
