"""Faults of cold starts that scripts can't express: a watcher that lies, a cut way to discovery."""

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
EMPTY_PARTS = 200  # that a lying watcher goes on with, one each tenth of a second
READ_BYTES = 65536
POLL_INTERVAL_S = 0.05


class MisbehavingWatcher:
    """Takes a watcher's place, and sends what can't be, something else to each that follows it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.served = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one link; the one that follows it is to end it."""
        self.served += 1
        lies = self.lies()
        try:
            for data in lies[self.served % len(lies)]:
                writer.write(data)
            for _ in range(EMPTY_PARTS):
                writer.write(encode_frame(ListPart(b"")))
                await writer.drain()
                await asyncio.sleep(0.1)
        except (OSError, asyncio.CancelledError):
            pass  # the link was ended, or the testbed ends
        finally:
            writer.transport.abort()

    def lies(self) -> list[list[bytes]]:
        """What can't be: revisions, sizes, order, and frames that are none."""
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
    """Stands between discovery and some controllers; for some time nothing comes through.

    Attributes:
        address: The address of discovery.
    """

    def __init__(self, start: ColdStart, from_s: float, until_s: float) -> None:
        self.start = start
        self.address = ""
        self.from_s = from_s
        self.until_s = until_s
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str) -> str:
        """Opens it; returns its address."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        ip, port = self.server.sockets[0].getsockname()
        return f"{ip}:{port}"

    def close(self) -> None:
        """Ends all."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def is_cut(self) -> bool:
        """Whether nothing comes through now."""
        script_us = self.start.processes.script_us()
        return script_us is not None and self.from_s <= script_us / SECOND < self.until_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Passes one call on."""
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
            pass  # an end is gone, or the testbed ends
        finally:
            for end in (writer, far_writer):
                if end:
                    end.transport.abort()
                    self.writers.discard(end)
