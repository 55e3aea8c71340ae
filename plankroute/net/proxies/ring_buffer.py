"""A bounded ring buffer of bytes, and the memory pool that all ring buffers share."""


class MemoryPool:
    """The number of bytes that all ring buffers together may allocate.

    Without this bound, many connections with long lines could lead to an out-of-memory kill.

    Args:
        capacity: Size of the pool in bytes.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.available = capacity

    def resize(self, capacity: int) -> None:
        """Changes the capacity.

        If the new capacity is below the allocated size, no buffer can grow until enough memory has
        been released.
        """
        self.available += capacity - self.capacity
        self.capacity = capacity


class RingBuffer:
    """A FIFO buffer that grows on demand and releases its memory when it becomes empty.

    A buffer of the initial size keeps its memory.

    Args:
        max_bytes: Maximum size of the buffer.
        pool: Memory pool that the buffer allocates from.
    """

    INITIAL_BYTES = 1024  # a few lines; enough for most connections

    def __init__(self, max_bytes: int, pool: MemoryPool) -> None:
        self.max_bytes = max_bytes
        self.pool = pool
        self.data = bytearray()
        self.start = 0
        self.size = 0

    def append(self, chunk: bytes) -> bool:
        """Appends all of the bytes; returns False and appends nothing if they do not fit."""
        needed = self.size + len(chunk)
        if needed > len(self.data) and not self._grow(needed):
            return False
        end = (self.start + self.size) % len(self.data) if self.data else 0
        bytes_to_wrap = min(len(chunk), len(self.data) - end)
        self.data[end : end + bytes_to_wrap] = chunk[:bytes_to_wrap]
        self.data[: len(chunk) - bytes_to_wrap] = chunk[bytes_to_wrap:]
        self.size = needed
        return True

    def _grow(self, needed: int) -> bool:
        capacity = max(self.INITIAL_BYTES, len(self.data))
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
        """Returns up to `count` bytes from the start without removing them."""
        end = self.start + min(count, self.size)
        return bytes(self.data[self.start : end] + self.data[: max(0, end - len(self.data))])

    def take(self, count: int) -> bytes:
        """Removes and returns up to `count` bytes from the start."""
        chunk = self.peek(count)
        self.size -= len(chunk)
        self.start = (self.start + len(chunk)) % len(self.data) if self.size else 0
        if not self.size and len(self.data) > self.INITIAL_BYTES:
            self.release()
        return chunk

    def find(self, byte: int, skip: int) -> int:
        """Returns the offset of the first occurrence of a byte from the start, or -1.

        Args:
            byte: The byte value to look for.
            skip: Number of bytes at the start that are not searched.
        """
        bytes_to_wrap = len(self.data) - self.start
        if skip < bytes_to_wrap:
            position = self.data.find(
                byte, self.start + skip, self.start + min(self.size, bytes_to_wrap)
            )
            if position >= 0:
                return position - self.start
        position = self.data.find(
            byte, max(0, skip - bytes_to_wrap), max(0, self.size - bytes_to_wrap)
        )
        return position + bytes_to_wrap if position >= 0 else -1

    def release(self) -> None:
        """Discards the content and returns all memory to the pool."""
        self.pool.available += len(self.data)
        self.data = bytearray()
        self.start = 0
        self.size = 0
