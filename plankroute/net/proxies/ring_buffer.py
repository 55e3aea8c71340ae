"""A bounded ring buffer of bytes: one a direction for each connection."""


class Pool:
    """Bytes that all rings together may hold: many large peers must not add up to a memory kill."""

    def __init__(self, most: int) -> None:
        self.most = self.left = most

    def allow(self, most: int) -> None:
        """Less than is held does no harm: nothing grows until enough was given back."""
        self.left += most - self.most
        self.most = most


class Ring:
    """Grows up to its bound as it is needed, and gives the room back when it runs empty."""

    FIRST = 1024  # bytes: a few lines; most connections never need more

    def __init__(self, most: int, pool: Pool) -> None:
        self.most, self.pool = most, pool
        self.data, self.start, self.size = bytearray(), 0, 0

    def put(self, piece: bytes) -> bool:
        """Takes all of the piece, or nothing of it where it does not fit."""
        if self.size + len(piece) > len(self.data) and not self.grow(self.size + len(piece)):
            return False
        at = (self.start + self.size) % len(self.data) if self.data else 0
        straight = min(len(piece), len(self.data) - at)
        self.data[at : at + straight] = piece[:straight]
        self.data[: len(piece) - straight] = piece[straight:]
        self.size += len(piece)
        return True

    def grow(self, needed: int) -> bool:
        size = max(self.FIRST, len(self.data))
        while size < needed:
            size *= 2
        size = min(size, self.most)
        if needed > size or size - len(self.data) > self.pool.left:
            return False
        held = self.peek(self.size)
        self.pool.left -= size - len(self.data)
        self.data = bytearray(size)
        self.data[: len(held)] = held
        self.start = 0
        return True

    def peek(self, count: int) -> bytes:
        end = self.start + min(count, self.size)
        return bytes(self.data[self.start : end] + self.data[: max(0, end - len(self.data))])

    def take(self, count: int) -> bytes:
        piece = self.peek(count)
        self.size -= len(piece)
        self.start = (self.start + len(piece)) % len(self.data) if self.size else 0
        if not self.size and len(self.data) > self.FIRST:
            self.release()
        return piece

    def find(self, byte: int, skip: int) -> int:
        """How far from the start the byte stands, or -1; the first `skip` bytes are known to lack it."""
        wrap = len(self.data) - self.start
        if skip < wrap:
            at = self.data.find(byte, self.start + skip, self.start + min(self.size, wrap))
            if at >= 0:
                return at - self.start
        at = self.data.find(byte, max(0, skip - wrap), max(0, self.size - wrap))
        return at + wrap if at >= 0 else -1

    def release(self) -> None:
        """Gives all room back: what was held is dropped."""
        self.pool.left += len(self.data)
        self.data, self.start, self.size = bytearray(), 0, 0
