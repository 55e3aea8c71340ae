"""Computes the load that proxies bring to cold hosts; a host that gets too much falls over.

Computed each 100 ms from the tables that real controllers sent to stub proxies. Judges nothing.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from plankroute.testbed.hosts import StubProxy

TICK_S = 0.1


class ColdHostModel(msgspec.Struct, frozen=True):
    """How a host warms up, as the platform's settings state it.

    Attributes:
        start_capacity: Share of its full capacity that a host has at its start.
        warmup_s: Seconds until it is warm.
        overload_multiple: No host may get more than this multiple of its present capacity over
            the window.
        overload_window_s: The window, in seconds.
    """

    start_capacity: float = 0.2
    warmup_s: float = 15.0
    overload_multiple: float = 3.0
    overload_window_s: float = 2.0

    def capacity(self, age_s: float) -> float:
        """Share of its full capacity at that age."""
        return min(
            1.0, self.start_capacity + (1 - self.start_capacity) * max(0.0, age_s) / self.warmup_s
        )


class TickLoad(NamedTuple):
    """What a host got, and what it could serve, in one tick."""

    received: float
    capacity: float


class ColdHostLoad:
    """Adds up what hosts get.

    Attributes:
        rate: Requests a second of one controller's proxies, in units of what a warm host serves.
        boot_s: By host, the steady time of its start; None: long ago.
        max_ratio: By host, the most it got, over its capacity.
        overloaded_s: By host that fell over, when.
    """

    def __init__(
        self,
        model: ColdHostModel,
        rate: float,
        boot_s: dict[str, float | None],
        controllers: int,
        proxies: Callable[[], Iterable[StubProxy]],
    ) -> None:
        self.model = model
        self.rate = rate / controllers
        self.boot_s = boot_s
        self.proxies = proxies
        self.windows: dict[str, deque[TickLoad]] = {}
        self.max_ratio: dict[str, float] = {}
        self.overloaded_s: dict[str, float] = {}
        self.began_s = time.monotonic()

    async def run(self, for_s: float) -> None:
        """Computes loads for that long."""
        while time.monotonic() - self.began_s < for_s:
            await asyncio.sleep(TICK_S)
            self.tick(time.monotonic())

    def tick(self, now_s: float) -> None:
        """Adds one tick of all proxies."""
        rates: dict[str, float] = {}
        for proxy in self.proxies():
            for name, share in proxy.shares().items():
                rates[name] = rates.get(name, 0.0) + self.rate * share
        for name, rate in rates.items():
            self.add(name, now_s, rate)

    def add(self, name: str, now_s: float, rate: float) -> None:
        """Adds one tick of one host.

        A window that is not over yet counts as a whole one: a short burst may use it up.
        """
        boot_s = self.boot_s[name]
        if boot_s is None:
            return
        capacity = self.model.capacity(now_s - boot_s)
        window = self.windows.setdefault(name, deque())
        window.append(TickLoad(rate * TICK_S, capacity * TICK_S))
        while len(window) > self.model.overload_window_s / TICK_S:
            window.popleft()
        received = sum(tick.received for tick in window)
        ratio = received / (capacity * self.model.overload_window_s)
        self.max_ratio[name] = max(self.max_ratio.get(name, 0), ratio)
        if ratio > self.model.overload_multiple:
            self.overloaded_s.setdefault(name, now_s)

    def notes(self) -> dict[str, object]:
        """For the report: mean and maximum of load over capacity, and how many hosts fell over."""
        ratios = list(self.max_ratio.values())
        return {
            "over_mean": round(sum(ratios) / max(1, len(ratios)), 2),
            "over_most": round(max(ratios, default=0.0), 2),
            "fallen": len(self.overloaded_s),
        }
