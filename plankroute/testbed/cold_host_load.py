"""What all proxies together bring to stand-in hosts that start cold; one that gets too much falls over.

Reckoned from the tables that real stewards wrote to stand-in proxies, each 100 ms; it judges nothing."""

import asyncio
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable

import msgspec

from plankroute.testbed.hosts import Proxy

TICK_S = 0.1


class ColdFacts(msgspec.Struct, frozen=True):
    """As the settings state it: part of its powers that a host has at its start, time until it is warm, the
    multiple of what it can do just now that no host may get over the window."""

    share: float = 0.2
    cold_s: float = 15.0
    multiple: float = 3.0
    window_s: float = 2.0

    def powers(self, age_s: float) -> float:
        return min(1.0, self.share + (1 - self.share) * max(0.0, age_s) / self.cold_s)


class ColdLoad:
    """`rate`: txns a second of all proxies, in units of what one warm host can do; `boots`: by host's name,
    when it started (steady seconds); None: long ago."""

    def __init__(
        self,
        facts: ColdFacts,
        rate: float,
        boots: dict[str, float | None],
        stewards: int,
        proxies: Callable[[], Iterable[Proxy]],
    ) -> None:
        self.facts, self.boots, self.proxies = facts, boots, proxies
        self.rate = rate / stewards  # of each steward's proxies, be they bound or not
        self.past: dict[str, deque[tuple[float, float]]] = {}
        self.most: Counter[str] = Counter()  # by host, the most it got, over what it could do
        self.fallen: dict[str, float] = {}
        self.began_s = time.monotonic()

    async def run(self, for_s: float) -> None:
        """Ends by itself."""
        while time.monotonic() - self.began_s < for_s:
            await asyncio.sleep(TICK_S)
            self.tick(time.monotonic())

    def tick(self, now_s: float) -> None:
        brought = Counter[str]()
        for proxy in self.proxies():
            for name, share in proxy.shares().items():
                brought[name] += self.rate * share
        for name, rate in brought.items():
            self.bring(name, now_s, rate)

    def bring(self, name: str, now_s: float, rate: float) -> None:
        """A window that has not passed yet counts as a whole one: a short burst may spend it."""
        boot_s, facts = self.boots[name], self.facts
        if boot_s is None:
            return
        past = self.past.setdefault(name, deque())
        past.append((rate * TICK_S, facts.powers(now_s - boot_s) * TICK_S))
        while len(past) > facts.window_s / TICK_S:
            past.popleft()
        got, able = sum(one for one, _ in past), facts.powers(now_s - boot_s) * facts.window_s
        self.most[name] = max(self.most[name], got / able)
        if got / able > facts.multiple:
            self.fallen.setdefault(name, now_s)

    def notes(self) -> dict[str, object]:
        """For the report: mean and most of what hosts got over what they could do, and how many fell."""
        figures = list(self.most.values())
        return {
            "over_mean": round(sum(figures) / max(1, len(figures)), 2),
            "over_most": round(max(figures, default=0.0), 2),
            "fallen": len(self.fallen),
        }
