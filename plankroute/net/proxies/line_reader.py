"""Cuts received bytes into lines of bounded length."""

from collections.abc import Iterator

from plankroute.net.process.errors import Rejection, RejectionStage
from plankroute.net.proxies.ring_buffer import MemoryPool, RingBuffer

LINE_FEED = 10
LINE_TOO_LONG = "line too long"


class LineReader:
    """Cuts at line feeds; a line that is too long is rejected and skipped up to its end."""

    SLICE_BYTES = 4096  # taken at once: the buffer never holds more than a line and this

    def __init__(self, max_line_bytes: int, pool: MemoryPool) -> None:
        self.max_line_bytes = max_line_bytes
        self.buffer = RingBuffer(max_line_bytes + self.SLICE_BYTES, pool)
        self.searched_bytes = 0  # of the buffer: they hold no line feed
        self.is_skipping = False  # the rest of a line that was rejected

    def set_max_line_bytes(self, max_line_bytes: int) -> None:
        """Changes the bound of lines from here on."""
        self.max_line_bytes = max_line_bytes
        self.buffer.max_bytes = max_line_bytes + self.SLICE_BYTES

    def feed(self, received: bytes) -> Iterator[bytes | Rejection]:
        """Yields the lines that are complete now, without their line feeds."""
        for start in range(0, len(received), self.SLICE_BYTES):
            piece = received[start : start + self.SLICE_BYTES]
            if not self.buffer.size and not self.is_skipping:
                # Complete lines need no room; the buffer holds only what is incomplete.
                end = piece.rfind(b"\n")
                if end >= 0:
                    yield from map(self._checked, piece[:end].split(b"\n"))
                    piece = piece[end + 1 :]
            if not self.buffer.append(piece):
                yield from self._skip(piece)
            yield from self._buffered_lines()

    def _checked(self, line: bytes) -> bytes | Rejection:
        if len(line) <= self.max_line_bytes:
            return line
        return Rejection(RejectionStage.FRAMING, LINE_TOO_LONG, breaks_framing=True)

    def _skip(self, piece: bytes) -> Iterator[Rejection]:
        """There is no room: drops what is buffered of the line and skips the rest of it."""
        is_too_long = self.buffer.size + len(piece) > self.buffer.max_bytes
        self.buffer.release()
        self.searched_bytes = 0
        if not self.is_skipping:
            self.is_skipping = True
            reason = LINE_TOO_LONG if is_too_long else "no room left for lines"
            yield Rejection(RejectionStage.FRAMING, reason, breaks_framing=is_too_long)
        end = piece.find(b"\n")
        if end >= 0:
            self.buffer.append(piece[end:])  # with the line feed, at which skipping ends

    def _buffered_lines(self) -> Iterator[bytes | Rejection]:
        while (end := self.buffer.find(LINE_FEED, self.searched_bytes)) >= 0:
            line = self.buffer.take(end + 1)[:-1]
            self.searched_bytes = 0
            if self.is_skipping:
                self.is_skipping = False
            else:
                yield self._checked(line)
        self.searched_bytes = self.buffer.size
        if self.is_skipping:
            self.buffer.release()
            self.searched_bytes = 0
