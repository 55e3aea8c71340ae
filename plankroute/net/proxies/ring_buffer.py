"""A bounded ring buffer of bytes, and the memory that all ring buffers share."""


class MemoryPool:
    """Bytes that all ring buffers together may allocate.

    Guards against many connections with long lines that add up to an out-of-memory kill.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.available = capacity

    def resize(self, capacity: int) -> None:
        """Changes the capacity.

        It may become less than is allocated: nothing grows then until enough has been released.
        """
        self.available += capacity - self.capacity
        self.capacity = capacity


class RingBuffer:
    """Grows up to its bound as needed, and releases its memory when it runs empty."""

    FIRST_BYTES = 1024  # a few lines; most connections never need more

    def __init__(self, max_bytes: int, pool: MemoryPool) -> None:
        self.max_bytes = max_bytes
        self.pool = pool
        self.data = bytearray()
        self.start = 0
        self.size = 0

    def append(self, piece: bytes) -> bool:
        """Appends all of the piece, or nothing of it where it does not fit (False)."""
        needed = self.size + len(piece)
        if needed > len(self.data) and not self._grow(needed):
            return False
        end = (self.start + self.size) % len(self.data) if self.data else 0
        until_wrap = min(len(piece), len(self.data) - end)
        self.data[end : end + until_wrap] = piece[:until_wrap]
        self.data[: len(piece) - until_wrap] = piece[until_wrap:]
        self.size = needed
        return True

    def _grow(self, needed: int) -> bool:
        capacity = max(self.FIRST_BYTES, len(self.data))
        while capacity < needed:
            capacity *= 2
        capacity = min(capacity, self.max_bytes)
        growth = capacity - len(self.data)
        if needed > capacity or growth > self.pool.available:
            return False
        content = self.peek(self.size)
        self.pool.available -= growth
        self.data = bytearray(capacity)
        self.data[: len(content)] = content
        self.start = 0
        return True

    def peek(self, count: int) -> bytes:
        """Returns up to `count` bytes from the start, which stay in the buffer."""
        end = self.start + min(count, self.size)
        return bytes(self.data[self.start : end] + self.data[: max(0, end - len(self.data))])

    def take(self, count: int) -> bytes:
        """Removes and returns up to `count` bytes from the start."""
        piece = self.peek(count)
        self.size -= len(piece)
        self.start = (self.start + len(piece)) % len(self.data) if self.size else 0
        if not self.size and len(self.data) > self.FIRST_BYTES:
            self.release()
        return piece

    def find(self, byte: int, skip: int) -> int:
        """Returns the distance of the byte from the start, or -1.

        Args:
            byte: The value to look for.
            skip: So many bytes at the start are known to lack it.
        """
        until_wrap = len(self.data) - self.start
        if skip < until_wrap:
            position = self.data.find(
                byte, self.start + skip, self.start + min(self.size, until_wrap)
            )
            if position >= 0:
                return position - self.start
        position = self.data.find(byte, max(0, skip - until_wrap), max(0, self.size - until_wrap))
        return position + until_wrap if position >= 0 else -1

    def release(self) -> None:
        """Drops the content and returns all memory to the pool."""
        self.pool.available += len(self.data)
        self.data = bytearray()
        self.start = 0
        self.size = 0
