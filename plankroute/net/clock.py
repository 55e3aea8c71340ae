"""The steward's clock: Unix time in whole microseconds as it was at the start, and steady from there."""

import heapq
import time
from collections.abc import Callable

Reading = Callable[[], int]


def steady_us() -> int:
    """The steady clock, in microseconds: for spans, never for moments that others are told."""
    return time.monotonic_ns() // 1000


class Clock:
    """Never steps: a system time that is set anew moves neither timers nor the age of hosts."""

    def __init__(self, wall_ns: Reading = time.time_ns, steady_ns: Reading = time.monotonic_ns) -> None:
        self.wall_ns, self.steady_ns = wall_ns, steady_ns
        self.offset_us = (wall_ns() - steady_ns()) // 1000

    def now(self) -> int:
        return self.steady_ns() // 1000 + self.offset_us

    def on_scale(self, unix_us: int) -> int:
        """A moment of today's system time, on the scale of this clock."""
        return unix_us - (self.wall_ns() // 1000 - self.now())


class Alarms:
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
