"""The controller's clock and timers, and a timeout that allows for pauses of this process."""

import asyncio
import heapq
import time
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager

ReadClock = Callable[[], int]  # nanoseconds
# A timer that is so late shows that the process stood still; at work it is late by a few ms.
PAUSE_S = 0.05


@asynccontextmanager
async def tolerant_timeout(seconds: float) -> AsyncGenerator[None, None]:
    """A timeout (TimeoutError) that is extended by as much as its own timer was late.

    Guards against others blamed for a pause of this process: what came meanwhile is read first.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + seconds
    async with asyncio.timeout(None) as timeout:

        def expire_or_extend() -> None:
            late_s = loop.time() - due
            extension_s = min(late_s, seconds) if late_s > PAUSE_S else 0.0
            timeout.reschedule(loop.time() + extension_s)

        handle = loop.call_at(due, expire_or_extend)
        try:
            yield
        finally:
            handle.cancel()


def monotonic_us() -> int:
    """The monotonic clock, in microseconds: for spans, never for moments that others are told."""
    return time.monotonic_ns() // 1000


class Clock:
    """Unix time as it was at the start, and monotonic from there on, in microseconds.

    It never steps: a system time that is set anew moves neither timers nor the age of hosts.
    """

    def __init__(
        self, system_ns: ReadClock = time.time_ns, monotonic_ns: ReadClock = time.monotonic_ns
    ) -> None:
        self.system_ns = system_ns
        self.monotonic_ns = monotonic_ns
        self.offset_us = (system_ns() - monotonic_ns()) // 1000

    def now_us(self) -> int:
        """Returns the time now."""
        return self.monotonic_ns() // 1000 + self.offset_us

    def from_system_us(self, unix_us: int) -> int:
        """Converts a moment of today's system time into one of this clock."""
        return unix_us - (self.system_ns() // 1000 - self.now_us())


class Timers:
    """Pending timers, ordered by when they are due and then by when they were scheduled."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, int]] = []  # due, sequence, token
        self.sequence = 0

    def schedule(self, due_us: int, token: int) -> None:
        """Adds a timer."""
        self.sequence += 1
        heapq.heappush(self.heap, (due_us, self.sequence, token))

    def next_due_us(self) -> int | None:
        """Returns when the first timer is due, or None if there is none."""
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now_us: int) -> list[int]:
        """Removes the timers that are due and returns their tokens."""
        tokens = []
        while self.heap and self.heap[0][0] <= now_us:
            _, _, token = heapq.heappop(self.heap)
            tokens.append(token)
        return tokens
