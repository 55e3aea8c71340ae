"""The steward's clock: Unix time in whole microseconds as it was at the start, and steady from there; and
time-outs that its own standing still does not use up."""

import asyncio
import heapq
import time
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager

Reading = Callable[[], int]
LATE_S = 0.05  # a timer of ours so late tells that the process stood still; at work it is late by a few ms


@asynccontextmanager
async def patience(seconds: float) -> AsyncGenerator[None, None]:
    """A time-out (TimeoutError) that leaves as long again as its own timer was late.

    Guards against others blamed for a pause of this process: what came meanwhile is read first."""
    loop = asyncio.get_running_loop()
    due = loop.time() + seconds
    async with asyncio.timeout(None) as timeout:

        def look() -> None:
            late = loop.time() - due
            timeout.reschedule(loop.time() + (min(late, seconds) if late > LATE_S else 0.0))

        handle = loop.call_at(due, look)
        try:
            yield
        finally:
            handle.cancel()


def monotonic_us() -> int:
    """The steady clock, in microseconds: for spans, never for moments that others are told."""
    return time.monotonic_ns() // 1000


class Clock:
    """Never steps: a system time that is set anew moves neither timers nor the age of hosts."""

    def __init__(
        self, wall_ns: Reading = time.time_ns, steady_ns: Reading = time.monotonic_ns
    ) -> None:
        self.wall_ns, self.steady_ns = wall_ns, steady_ns
        self.offset_us = (wall_ns() - steady_ns()) // 1000

    def now(self) -> int:
        return self.steady_ns() // 1000 + self.offset_us

    def on_scale(self, unix_us: int) -> int:
        """A moment of today's system time, on the scale of this clock."""
        return unix_us - (self.wall_ns() // 1000 - self.now())


class Timers:
    """Timers by the time they are due, and in the order in which they were set."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, int]] = []
        self.number = 0

    def set(self, due_us: int, token: int) -> None:
        self.number += 1
        heapq.heappush(self.heap, (due_us, self.number, token))

    def next_us(self) -> int | None:
        return self.heap[0][0] if self.heap else None

    def due(self, now_us: int) -> list[int]:
        tokens = []
        while self.heap and self.heap[0][0] <= now_us:
            tokens.append(heapq.heappop(self.heap)[2])
        return tokens
