"""Take in: bytes as they come are cut into lines."""

from collections.abc import Iterator

from plankroute.net.process.errors import Refused, Stage
from plankroute.net.proxies.ring_buffer import Pool, Ring

LF = 10


class LineCutter:
    """Cuts at line ends; a line that is too long is refused and passed over up to its end."""

    SLICE = 4096  # bytes taken at once: the ring never holds more than a line and this

    def __init__(self, most: int, pool: Pool) -> None:
        self.most, self.ring = most, Ring(most + self.SLICE, pool)
        self.searched, self.skipping = 0, False

    def allow(self, most: int) -> None:
        """Other lines from here on."""
        self.most, self.ring.most = most, most + self.SLICE

    def feed(self, piece: bytes) -> Iterator[bytes | Refused]:
        for at in range(0, len(piece), self.SLICE):
            slice_ = piece[at : at + self.SLICE]
            if not self.ring.size and not self.skipping and (end := slice_.rfind(b"\n")) >= 0:
                # What is whole already needs no room; the ring holds what is not.
                yield from map(self.checked, slice_[:end].split(b"\n"))
                slice_ = slice_[end + 1 :]
            if not self.ring.put(slice_):
                yield from self.pass_over(slice_)
            yield from self.lines()

    def checked(self, line: bytes) -> bytes | Refused:
        return line if len(line) <= self.most else Refused(Stage.TAKE_IN, "line too long", True)

    def pass_over(self, piece: bytes) -> Iterator[Refused]:
        """No room for it: what is held of the line is dropped, the rest of it skipped."""
        too_long = self.ring.size + len(piece) > self.ring.most
        self.ring.release()
        self.searched = 0
        if not self.skipping:
            self.skipping = True
            yield Refused(
                Stage.TAKE_IN, "line too long" if too_long else "no room left for lines", too_long
            )
        if (end := piece.find(b"\n")) >= 0:
            self.ring.put(piece[end:])  # its end stays, so that skipping ends there

    def lines(self) -> Iterator[bytes | Refused]:
        while (end := self.ring.find(LF, self.searched)) >= 0:
            line, self.searched = self.ring.take(end + 1)[:-1], 0
            if self.skipping:
                self.skipping = False
            else:
                yield self.checked(line)
        self.searched = self.ring.size
        if self.skipping:
            self.ring.release()
            self.searched = 0
