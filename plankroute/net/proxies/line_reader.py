"""Splits received bytes into lines of bounded length."""

from collections.abc import Iterator

from plankroute.net.process.errors import Rejection, RejectionStage
from plankroute.net.proxies.ring_buffer import MemoryPool, RingBuffer

LINE_FEED = 10
LINE_TOO_LONG = "line exceeds the maximum length"


class LineReader:
    """Splits bytes at line feeds; rejects a line that is too long and skips the rest of it.

    Args:
        max_line_bytes: Maximum length of a line without its line feed.
        pool: Memory pool that the buffer allocates from.
    """

    SLICE_BYTES = 4096  # bytes processed per step; the buffer holds at most a line and this

    def __init__(self, max_line_bytes: int, pool: MemoryPool) -> None:
        self.max_line_bytes = max_line_bytes
        self.buffer = RingBuffer(max_line_bytes + self.SLICE_BYTES, pool)
        self.searched_bytes = 0  # buffered bytes known to contain no line feed
        self.is_skipping = False  # whether the rest of a rejected line is being skipped

    def set_max_line_bytes(self, max_line_bytes: int) -> None:
        """Changes the maximum line length for the bytes fed from now on."""
        self.max_line_bytes = max_line_bytes
        self.buffer.max_bytes = max_line_bytes + self.SLICE_BYTES

    def feed(self, received: bytes) -> Iterator[bytes | Rejection]:
        """Adds received bytes and yields the lines that are now complete, without their line feeds.

        Yields one rejection for each line that is too long or for which memory is short.
        """
        for start in range(0, len(received), self.SLICE_BYTES):
            yield from self._feed_piece(received[start : start + self.SLICE_BYTES])

    def _feed_piece(self, piece: bytes) -> Iterator[bytes | Rejection]:
        if self.is_skipping:
            end = piece.find(b"\n")
            if end < 0:
                return
            self.is_skipping = False
            piece = piece[end + 1 :]
        if not self.buffer.size:
            # Complete lines bypass the buffer, which holds only the incomplete last line.
            end = piece.rfind(b"\n")
            if end >= 0:
                yield from map(self._check_length, piece[:end].split(b"\n"))
                piece = piece[end + 1 :]
        if self.buffer.append(piece):
            yield from self._buffered_lines()
        else:
            yield from self._skip_line(piece)

    def _check_length(self, line: bytes) -> bytes | Rejection:
        if len(line) <= self.max_line_bytes:
            return line
        return Rejection(RejectionStage.FRAMING, LINE_TOO_LONG, breaks_framing=True)

    def _skip_line(self, piece: bytes) -> Iterator[bytes | Rejection]:
        """Drops a line that does not fit into the buffer, and handles what follows it.

        Args:
            piece: The next bytes of the line, which may contain its end.
        """
        is_too_long = self.buffer.size + len(piece) > self.buffer.max_bytes
        self.buffer.release()
        self.searched_bytes = 0
        self.is_skipping = True
        reason = LINE_TOO_LONG if is_too_long else "out of line buffer memory"
        yield Rejection(RejectionStage.FRAMING, reason, breaks_framing=is_too_long)
        yield from self._feed_piece(piece)

    def _buffered_lines(self) -> Iterator[bytes | Rejection]:
        while (end := self.buffer.find(LINE_FEED, self.searched_bytes)) >= 0:
            line = self.buffer.take(end + 1)[:-1]
            self.searched_bytes = 0
            yield self._check_length(line)
        self.searched_bytes = self.buffer.size
