"""Sends bytes to a peer at the pace at which it reads, without holding up any other."""

import asyncio

from plankroute.net.proxies.line_codec import MAX_LINE_BYTES
from plankroute.net.proxies.ring_buffer import MemoryPool, RingBuffer

# For a slow reader: one longest message while another is under way.
MAX_WAITING_BYTES = 2 * MAX_LINE_BYTES
# Handed to the transport at once, which holds no more than as many again.
WRITE_BYTES = 16384


class OutboundBuffer:
    """What waits to be written to one peer, and the task that writes it."""

    def __init__(self, writer: asyncio.StreamWriter, pool: MemoryPool) -> None:
        self.writer = writer
        self.waiting = RingBuffer(MAX_WAITING_BYTES, pool)
        self.has_data = asyncio.Event()
        writer.transport.set_write_buffer_limits(high=WRITE_BYTES)

    def send(self, data: bytes) -> bool:
        """Writes or buffers all of the data, or nothing (False): no room, or it is closing.

        Data goes straight to the kernel where nothing waits before it: hundreds of proxies need no
        task switch each.
        """
        transport = self.writer.transport
        if transport.is_closing():
            return False
        if (
            not self.waiting.size
            and len(data) <= WRITE_BYTES
            and not transport.get_write_buffer_size()
        ):
            self.writer.write(data)
            return True
        if not self.waiting.append(data):
            return False
        self.has_data.set()
        return True

    async def write_forever(self) -> None:
        """Writes what waits, until it is cancelled or the connection breaks."""
        try:
            while True:
                await self.has_data.wait()
                self.has_data.clear()
                while data := self.waiting.take(WRITE_BYTES):
                    self.writer.write(data)
                    await self.writer.drain()
        except OSError:
            pass  # the reading side of the connection meets its end and reports it

    def is_closing(self) -> bool:
        """Whether the connection is being closed, by either side."""
        return self.writer.transport.is_closing()

    def abort(self) -> None:
        """Closes the connection at once; what waits is dropped."""
        self.writer.transport.abort()

    def send_and_close(self, last_line: bytes) -> None:
        """Sends what waits and the last line, then closes; does not wait for a slow reader."""
        transport = self.writer.transport
        if transport.is_closing():
            return
        self.writer.write(self.waiting.take(self.waiting.size) + last_line)
        if transport.get_write_buffer_size():
            transport.abort()
        else:
            transport.close()

    def close(self) -> None:
        """Releases the buffer and closes the connection."""
        self.waiting.release()
        self.writer.close()
