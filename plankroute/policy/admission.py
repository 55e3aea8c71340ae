"""Admission limits."""

from collections import deque
from typing import Any

from plankroute.events import commands, events
from plankroute.events.facts import AdmissionUnit, StartFacts
from plankroute.policy.host_table import HostTable
from plankroute.policy.publisher import Publisher
from plankroute.policy.slots import Table
from plankroute.policy.time_constants import SECOND_US
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.proxy_registry import (
    even_rate_cap,
)
from plankroute.state.scheduler import Actor, Scheduler, Tick


class Levels(Actor):
    """Declines early while answers are late, table by table; lets in no less than is settled just now."""

    HIGH, LOW = 0.55, 0.45  # of the SLA time: a mean beyond it leaves a long tail past it
    FALL, RISE, LEAST = (
        0.7,
        1.15,
        0.1,
    )  # a turn: quick enough for a burst, slow enough for late reports
    LAG = (
        4  # turns until an order shows in the sums: a fall is counted from the share then in force
    )
    STEP = 0.05  # smaller moves are not worth their lines

    def __init__(
        self, scheduler: Scheduler, host_table: HostTable, facts: StartFacts, publisher: Publisher
    ) -> None:
        super().__init__(scheduler)
        self.host_table, self.publisher, self.unit = host_table, publisher, facts.admission_unit
        self.tables = (
            publisher.tables if self.unit is not AdmissionUnit.NONE else []
        )  # nobody heeds any
        self.past = [
            deque([1.0] * self.LAG, self.LAG) for _ in self.tables
        ]  # shares, the newest last
        self.late, self.failed, self.attempts = ([0.0] * len(self.tables) for _ in range(3))
        self.settled = self.arrived = 0.0  # txns of the last turns, over all tables
        self.sent: dict[tuple[int, int], float] = {}
        self.rates: dict[tuple[int, int], float] = {}  # txns a second, by proxy and product

    def handle(self, event: Any) -> None:
        match event:
            case events.ProxyRequestStats() if event.span_us > 0 and self.tables:
                self.arrived += event.arrived
                key, rate = (event.proxy, event.product), event.arrived * SECOND_US / event.span_us
                self.rates[key] = (self.rates.get(key, rate) + rate) / 2
            case events.HostRequestStats():
                host, self.settled = (
                    self.host_table.index_of[event.host],
                    self.settled + event.attempts - event.failed,
                )
                for index, table in enumerate(self.tables):
                    # By what its own proxies met: a zone behind a cut may serve its own all the same.
                    if (
                        table.serves_zone(event.zone)
                        and table.admits(self.host_table, host)
                        and event.mean_latency_us < NO_CAP
                    ):
                        self.attempts[index] += event.attempts
                        self.failed[index] += event.failed
                        self.late[index] += (
                            (event.attempts - event.failed)
                            * event.mean_latency_us
                            / self.host_table.latency_objective_us
                        )
            case Tick.TURN:
                for index, table in enumerate(self.tables):
                    self.follow(index, table)
                self.settled, self.arrived = self.settled / 2, self.arrived / 2

    def follow(self, index: int, table: Table) -> None:
        """Turn by turn: in a sum by txns the many late ones of an overload would outlast it."""
        past, attempts = self.past[index], max(1.0, self.attempts[index])
        share, before, good = past[-1], past[0], 1 - self.failed[index] / attempts
        settled = attempts - self.failed[index]
        late = self.late[index] / settled if settled else self.LOW
        if late > self.HIGH:
            least = max(self.LEAST, min(1.0, self.settled / max(1.0, self.arrived)))
            share = max(least, min(share, before * min(self.FALL, good)))
        elif late < self.LOW:
            share = min(1.0, share * self.RISE)
        past.append(share)
        self.late[index] = self.failed[index] = self.attempts[index] = 0
        for product in table.products:
            self.set_level(table, product, share)

    def set_level(self, table: Table, product: int, share: float) -> None:
        open_ = level = Publisher.OPEN[self.unit]
        if share < 1:
            level = (
                share if self.unit is AdmissionUnit.SHARE else self.rate_for(table, product, share)
            )
        before = self.sent.get((table.number, product), open_)
        if abs(level - before) > self.STEP * before or level == open_ != before:
            self.sent[table.number, product] = level
            self.scheduler.put(
                self.publisher,
                commands.SetAdmissionLimit(table.number, (product,), level, Publisher.RETRY),
            )

    def rate_for(
        self, table: Table, product: int, share: float
    ) -> float:  # small proxies keep theirs whole
        joined = self.publisher.zone_of_proxy.items()
        rates = [
            self.rates.get((proxy, product), 0.0)
            for proxy, zone in joined
            if table.serves_zone(zone)
        ]
        weight_cap = even_rate_cap(rates, share * sum(rates))
        return Publisher.OPEN[self.unit] if weight_cap is None else max(weight_cap, 0.1)
