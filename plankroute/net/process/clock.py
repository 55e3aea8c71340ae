"""The controller's clock and timers, and a timeout that tolerates pauses of this process."""

import asyncio
import heapq
import time
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager

ReadClock = Callable[[], int]  # nanoseconds
# A timer that fires later than this indicates that the process was paused; in normal operation
# timers are late by a few ms.
MIN_PAUSE_S = 0.05


@asynccontextmanager
async def tolerant_timeout(seconds: float) -> AsyncGenerator[None, None]:
    """Limits the time of a block; extends the limit if this process was paused at the deadline.

    The extension equals the delay of the timer. Without it, a pause of this process would count as
    a timeout of the remote side, although the data may have arrived meanwhile and wait to be read.

    Args:
        seconds: The limit, and also the upper bound of the extension.

    Raises:
        TimeoutError: The block took longer than the limit and its extension.
    """
    loop = asyncio.get_running_loop()
    due = loop.time() + seconds
    async with asyncio.timeout(None) as timeout:

        def expire_or_extend() -> None:
            late_s = loop.time() - due
            extension_s = min(late_s, seconds) if late_s > MIN_PAUSE_S else 0.0
            timeout.reschedule(loop.time() + extension_s)

        handle = loop.call_at(due, expire_or_extend)
        try:
            yield
        finally:
            handle.cancel()


def monotonic_us() -> int:
    """Returns the monotonic clock in microseconds; for durations, never for shared timestamps."""
    return time.monotonic_ns() // 1000


class Clock:
    """A clock in microseconds: Unix time when it was created, advanced by the monotonic clock.

    It never steps, so that a change of the system time affects neither timers nor the age of hosts.

    Args:
        system_ns: Returns the system's Unix time in nanoseconds.
        monotonic_ns: Returns the system's monotonic time in nanoseconds.
    """

    def __init__(
        self, system_ns: ReadClock = time.time_ns, monotonic_ns: ReadClock = time.monotonic_ns
    ) -> None:
        self.system_ns = system_ns
        self.monotonic_ns = monotonic_ns
        self.offset_us = (system_ns() - monotonic_ns()) // 1000

    def now_us(self) -> int:
        """Returns the current time of this clock in microseconds."""
        return self.monotonic_ns() // 1000 + self.offset_us

    def from_system_us(self, unix_us: int) -> int:
        """Converts a Unix time of the current system clock, in microseconds, to this clock."""
        return unix_us - (self.system_ns() // 1000 - self.now_us())


class Timers:
    """Pending timers, ordered by due time and, for equal due times, by the order of scheduling."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, int]] = []  # due_us, sequence, token
        self.sequence = 0

    def schedule(self, due_us: int, token: int) -> None:
        """Adds a timer; `token` is what `pop_due` returns for it."""
        self.sequence += 1
        heapq.heappush(self.heap, (due_us, self.sequence, token))

    def next_due_us(self) -> int | None:
        """Returns the due time of the earliest timer, or None if no timer is pending."""
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now_us: int) -> list[int]:
        """Removes all timers that are due and returns their tokens in due order."""
        tokens = []
        while self.heap and self.heap[0][0] <= now_us:
            _, _, token = heapq.heappop(self.heap)
            tokens.append(token)
        return tokens
