"""Buffers outbound bytes of a peer, so that a slow reader does not delay other peers."""

import asyncio

from plankroute.net.proxies.line_codec import MAX_LINE_BYTES
from plankroute.net.proxies.ring_buffer import MemoryPool, RingBuffer

# Lets a slow reader have one message of maximum length pending while another one is being written.
MAX_PENDING_BYTES = 2 * MAX_LINE_BYTES
# Chunk size of writes, and high-water mark of the transport's own buffer.
WRITE_CHUNK_BYTES = 16384


class OutboundBuffer:
    """Bytes pending to be written to one peer.

    Args:
        writer: Stream writer of the connection.
        pool: Memory pool that the buffer allocates from.
    """

    def __init__(self, writer: asyncio.StreamWriter, pool: MemoryPool) -> None:
        self.writer = writer
        self.pending = RingBuffer(MAX_PENDING_BYTES, pool)
        self.has_data = asyncio.Event()
        writer.transport.set_write_buffer_limits(high=WRITE_CHUNK_BYTES)

    def send(self, data: bytes) -> bool:
        """Writes or buffers all of the data.

        If nothing is pending, small data goes straight to the transport. This saves a task switch
        for each of hundreds of proxies.

        Returns:
            False if nothing was taken, because the buffer is full or the connection is closing.
        """
        transport = self.writer.transport
        if transport.is_closing():
            return False
        if (
            not self.pending.size
            and len(data) <= WRITE_CHUNK_BYTES
            and not transport.get_write_buffer_size()
        ):
            self.writer.write(data)
            return True
        if not self.pending.append(data):
            return False
        self.has_data.set()
        return True

    async def write_forever(self) -> None:
        """Writes pending bytes until it is cancelled or the connection breaks."""
        try:
            while True:
                await self.has_data.wait()
                self.has_data.clear()
                while data := self.pending.take(WRITE_CHUNK_BYTES):
                    self.writer.write(data)
                    await self.writer.drain()
        except OSError:
            pass  # the task that reads the connection reports the error

    def is_closing(self) -> bool:
        """Returns whether the connection is being closed, by either side."""
        return self.writer.transport.is_closing()

    def abort(self) -> None:
        """Closes the connection at once and drops pending bytes."""
        self.writer.transport.abort()

    def send_and_close(self, last_line: bytes) -> None:
        """Writes pending bytes and a last line, then closes the connection.

        Aborts the connection if the transport can't write everything at once, instead of waiting
        for a slow reader.
        """
        transport = self.writer.transport
        if transport.is_closing():
            return
        self.writer.write(self.pending.take(self.pending.size) + last_line)
        if transport.get_write_buffer_size():
            transport.abort()
        else:
            transport.close()

    def close(self) -> None:
        """Releases the buffer and closes the connection."""
        self.pending.release()
        self.writer.close()
