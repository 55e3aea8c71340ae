"""Relay: bytes to a peer at the pace at which it reads, holding up nobody else."""

import asyncio

from plankroute.net.proxies.line_codec import MOST_LINE
from plankroute.net.proxies.ring_buffer import Pool, Ring

MOST_WAITING = (
    2 * MOST_LINE
)  # bytes to a slow reader: one longest message while another is under way
WRITE_AT_ONCE = 16384  # bytes handed to the transport, which holds no more than as many again


class Outlet:
    """The ring of what waits for one peer, and the task that empties it."""

    def __init__(self, writer: asyncio.StreamWriter, pool: Pool) -> None:
        self.writer, self.ring, self.wake = writer, Ring(MOST_WAITING, pool), asyncio.Event()
        writer.transport.set_write_buffer_limits(high=WRITE_AT_ONCE)

    def send(self, data: bytes) -> bool:
        """Straight to the kernel where nothing waits before it: hundreds of proxies need no turn of a task
        each."""
        transport = self.writer.transport
        if transport.is_closing():
            return False
        if (
            not self.ring.size
            and len(data) <= WRITE_AT_ONCE
            and not transport.get_write_buffer_size()
        ):
            self.writer.write(data)
            return True
        if not self.ring.put(data):
            return False
        self.wake.set()
        return True

    async def pump(self) -> None:
        try:
            while True:
                await self.wake.wait()
                self.wake.clear()
                while data := self.ring.take(WRITE_AT_ONCE):
                    self.writer.write(data)
                    await self.writer.drain()
        except OSError:
            pass  # the reading side of the connection sees its end and tells of it

    def reset(self) -> None:
        self.writer.transport.abort()

    def turn_away(self, words: bytes) -> None:
        """Last words and the end; one that does not read what it is sent is not waited for."""
        transport = self.writer.transport
        if not transport.is_closing():
            self.writer.write(self.ring.take(self.ring.size) + words)
            transport.abort() if transport.get_write_buffer_size() else transport.close()

    def close(self) -> None:
        self.ring.release()
        self.writer.close()
