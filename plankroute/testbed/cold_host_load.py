"""Computes the load that proxies put on cold hosts, and finds the hosts that are overloaded.

The load is computed each 100 ms from the tables that real controllers sent to stub proxies. It is
up to the callers to compare the result with their expectations.
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
        warmup_s: Seconds from a host's start until it is warm.
        overload_multiple: A host may receive at most this multiple of its present capacity, on
            average over the window.
        overload_window_s: The window, in seconds.
    """

    start_capacity: float = 0.2
    warmup_s: float = 15.0
    overload_multiple: float = 3.0
    overload_window_s: float = 2.0

    def capacity(self, age_s: float) -> float:
        """Returns the share of its full capacity that a host has at that age."""
        return min(
            1.0,
            self.start_capacity + (1 - self.start_capacity) * max(0.0, age_s) / self.warmup_s,
        )


class TickLoad(NamedTuple):
    """What a host received and what it could serve in one tick.

    The unit is what a warm host serves in a second.
    """

    received: float
    capacity: float


class ColdHostLoad:
    """Accumulates the load on each cold host over time.

    Attributes:
        rate: Requests a second that the proxies of one controller send, in units of what a warm
            host serves in a second.
        boot_s: By host, the monotonic time of its start; None for a host that is already warm.
        max_ratio: By host, the highest ratio of its load to its capacity over a window.
        overloaded_s: By host that was overloaded, the monotonic time at which that happened first.
    """

    def __init__(
        self,
        model: ColdHostModel,
        rate: float,
        boot_s: dict[str, float | None],
        controllers: int,
        proxies: Callable[[], Iterable[StubProxy]],
    ) -> None:
        """Starts without any load.

        Args:
            model: How hosts warm up.
            rate: Requests a second of all proxies, in units of what a warm host serves.
            boot_s: By host, the monotonic time of its start; None for a host that is already warm.
            controllers: Number of controllers, to each of which an equal part of the rate belongs.
            proxies: Returns the proxies that are joined at the time of the call.
        """
        self.model = model
        self.rate = rate / controllers
        self.boot_s = boot_s
        self.proxies = proxies
        self.windows: dict[str, deque[TickLoad]] = {}
        self.max_ratio: dict[str, float] = {}
        self.overloaded_s: dict[str, float] = {}
        self.began_s = time.monotonic()

    async def run(self, for_s: float) -> None:
        """Computes the load each `TICK_S`, until `for_s` seconds after this object was made."""
        while time.monotonic() - self.began_s < for_s:
            await asyncio.sleep(TICK_S)
            self.tick(time.monotonic())

    def tick(self, now_s: float) -> None:
        """Adds the load of one tick, which all proxies put on their hosts."""
        rates: dict[str, float] = {}
        for proxy in self.proxies():
            for name, share in proxy.shares().items():
                rates[name] = rates.get(name, 0.0) + self.rate * share
        for name, rate in rates.items():
            self.add(name, now_s, rate)

    def add(self, name: str, now_s: float, rate: float) -> None:
        """Adds the load of one tick on one host; a host that is already warm is ignored.

        The load in a window that is not yet full is compared with the capacity over a full window,
        since a short burst may use that up.
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
        """Returns figures for the report, under the keys of the report.

        These are the mean and the maximum of load over capacity, and the number of overloaded
        hosts.
        """
        ratios = list(self.max_ratio.values())
        return {
            "over_mean": round(sum(ratios) / max(1, len(ratios)), 2),
            "over_most": round(max(ratios, default=0.0), 2),
            "fallen": len(self.overloaded_s),
        }
