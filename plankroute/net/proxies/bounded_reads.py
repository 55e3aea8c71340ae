"""A stream protocol whose connections hold little unprocessed input."""

import asyncio

READ_BYTES = 8192  # more than the lines that are handled in one turn
# Limit of a stream reader. Reading pauses while more than twice as much is unprocessed, so a reader
# holds 16 KiB at most.
READER_LIMIT_BYTES = READ_BYTES // 2


class BoundedReadProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """A `StreamReaderProtocol` that reads at most `READ_BYTES` before the reader's task runs.

    The transport would otherwise read up to 256 KiB of each connection at a time: hundreds of
    connections could exceed the memory limit together, and the lines of one could delay the others.
    """

    # Shared by all connections: what was read is copied to the reader before the next read.
    _buffer = bytearray(READ_BYTES)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer to read into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes the bytes that were read to the stream reader."""
        self.data_received(bytes(self._buffer[:nbytes]))
