"""Admission control: limits what proxies admit while answers are late, table by table.

Load is shed early, so that the requests which are admitted are answered in time. No limit falls
below the part of the requests that is served just now. Where proxies heed no limits nothing is
decided.
"""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from plankroute.events import commands, events
from plankroute.events.facts import AdmissionUnit, StartFacts
from plankroute.policy.host_table import HostTable
from plankroute.state.apportionment import even_rate_cap
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.proxy_registry import ProxyRegistry
from plankroute.state.published_table import PublishedTable
from plankroute.state.scheduler import Actor, Scheduler, Tick
from plankroute.units import SECOND_US

# Limits that admit everything, by their unit; the rate is one that no proxy reaches.
OPEN_LIMITS = {AdmissionUnit.NONE: 1.0, AdmissionUnit.SHARE: 1.0, AdmissionUnit.RATE: 1e6}
# A proxy retries only on proof that the first attempt never ran: other retries doubled the load of
# late hosts (docs/design.md).
RETRY_POLICY = commands.RetryPolicy.IF_NOT_EXECUTED
# Mean latency, in latency objectives, beyond which load is shed: a mean near the objective leaves a
# long tail past it. See docs/design.md.
LATE_MEAN = 0.55
# Mean latency below which more is admitted (docs/design.md).
TIMELY_MEAN = 0.45
# Factors a turn on the admitted share: quick enough for a burst, slow enough for late reports. See
# docs/design.md.
DECREASE = 0.7
INCREASE = 1.15
# The least share that is admitted.
MIN_SHARE = 0.1
# Turns until a limit shows in the statistics: a decrease is counted from the share that was then in
# force.
TURNS_OF_DELAY = 4
# Relative changes of a limit that are not worth their lines.
MIN_CHANGE = 0.05
# The least rate a second at a proxy.
MIN_RATE = 0.1


def open_limits(
    tables: Sequence[PublishedTable], unit: AdmissionUnit
) -> list[commands.SetAdmissionLimit]:
    """Returns the commands that start each table with all requests admitted."""
    return [
        commands.SetAdmissionLimit(table.number, None, OPEN_LIMITS[unit], RETRY_POLICY)
        for table in tables
    ]


@dataclass(slots=True)
class TableLoad:
    """What the proxies of a table met since the last turn.

    Attributes:
        shares: Admitted shares of the last turns, the newest last.
        attempts: Attempts.
        failed: Failed attempts.
        latency: Sum of the latencies of served requests, in latency objectives.
    """

    shares: deque[float] = field(
        default_factory=lambda: deque([1.0] * TURNS_OF_DELAY, TURNS_OF_DELAY)
    )
    attempts: float = 0.0
    failed: float = 0.0
    latency: float = 0.0

    def next_share(self, served_share: float) -> float:
        """Returns the share to admit from this turn on.

        Turn by turn: in a decayed sum the many late requests of an overload would outlast it.

        Args:
            served_share: Part of the arrived requests that was served in the last turns.
        """
        share = self.shares[-1]
        share_in_force = self.shares[0]
        attempts = max(1.0, self.attempts)
        success_ratio = 1 - self.failed / attempts
        served = attempts - self.failed
        mean_latency = self.latency / served if served else TIMELY_MEAN
        if mean_latency > LATE_MEAN:
            floor = max(MIN_SHARE, min(1.0, served_share))
            decreased = min(share, share_in_force * min(DECREASE, success_ratio))
            return max(floor, decreased)
        if mean_latency < TIMELY_MEAN:
            return min(1.0, share * INCREASE)
        return share

    def start_turn(self, share: float) -> None:
        """Notes the admitted share and starts the sums of the next turn."""
        self.shares.append(share)
        self.attempts = 0.0
        self.failed = 0.0
        self.latency = 0.0


class AdmissionController(Actor[events.ProxyRequestStats | events.HostRequestStats | Tick]):
    """Sets the admission limits of all tables once a turn."""

    def __init__(
        self,
        scheduler: Scheduler,
        host_table: HostTable,
        facts: StartFacts,
        publisher: ProxyRegistry,
    ) -> None:
        super().__init__(scheduler)
        self.host_table = host_table
        self.publisher = publisher
        self.unit = facts.admission_unit
        self.open_limit = OPEN_LIMITS[self.unit]
        self.tables: list[PublishedTable] = []
        if self.unit is not AdmissionUnit.NONE:
            self.tables = publisher.tables
        self.loads = [TableLoad() for _ in self.tables]
        # Requests of the last turns over all tables: a sum that is halved each turn.
        self.served = 0.0
        self.arrived = 0.0
        self.limits: dict[tuple[int, int], float] = {}  # by table and request class, if ever set
        self.rates: dict[tuple[int, int], float] = {}  # a second, by proxy and request class

    def handle(self, event: events.ProxyRequestStats | events.HostRequestStats | Tick) -> None:
        """Takes in request statistics; sets limits on a turn."""
        match event:
            case events.ProxyRequestStats():
                self.on_proxy_stats(event)
            case events.HostRequestStats():
                self.on_host_stats(event)
            case Tick.TURN:
                self.on_turn()

    def on_proxy_stats(self, stats: events.ProxyRequestStats) -> None:
        """Follows the rate at which requests of a class arrive at a proxy."""
        if stats.span_us <= 0 or not self.tables:
            return
        self.arrived += stats.arrived
        key = (stats.proxy, stats.request_class)
        rate = stats.arrived * SECOND_US / stats.span_us
        self.rates[key] = (self.rates.get(key, rate) + rate) / 2

    def on_host_stats(self, stats: events.HostRequestStats) -> None:
        """Adds what proxies met at a host to the load of their tables.

        A table goes by what its own proxies met: a zone behind a network partition may serve its
        own requests all the same.
        """
        host = self.host_table.index_of[stats.host]
        served = stats.attempts - stats.failed
        self.served += served
        if math.isnan(stats.mean_latency_us) or stats.mean_latency_us >= NO_CAP:
            return  # no latency was measured
        for table, load in zip(self.tables, self.loads, strict=True):
            if table.serves_zone(stats.zone) and table.may_hold(self.host_table, host):
                load.attempts += stats.attempts
                load.failed += stats.failed
                load.latency += (
                    served * stats.mean_latency_us / self.host_table.latency_objective_us
                )

    def on_turn(self) -> None:
        """Sets the limits of all tables."""
        served_share = self.served / max(1.0, self.arrived)
        for table, load in zip(self.tables, self.loads, strict=True):
            share = load.next_share(served_share)
            load.start_turn(share)
            for request_class in table.request_classes:
                self._set_limit(table, request_class, share)
        self.served = self.served / 2
        self.arrived = self.arrived / 2

    def _set_limit(self, table: PublishedTable, request_class: int, share: float) -> None:
        """Has a limit written if it has changed by enough, or admits everything again."""
        limit = self.open_limit
        if share < 1 and self.unit is AdmissionUnit.SHARE:
            limit = share
        elif share < 1:
            limit = self._rate_limit(table, request_class, share)
        key = (table.number, request_class)
        before = self.limits.get(key, self.open_limit)
        has_moved = abs(limit - before) > MIN_CHANGE * before
        has_opened = limit == self.open_limit and before != self.open_limit
        if has_moved or has_opened:
            self.limits[key] = limit
            command = commands.SetAdmissionLimit(
                table.number, (request_class,), limit, RETRY_POLICY
            )
            self.scheduler.put(self.publisher, command)

    def _rate_limit(self, table: PublishedTable, request_class: int, share: float) -> float:
        """Returns the rate at which every proxy is capped; proxies below it lose nothing."""
        rates = [
            self.rates.get((proxy, request_class), 0.0)
            for proxy, zone in self.publisher.zone_of_proxy.items()
            if table.serves_zone(zone)
        ]
        rate_cap = even_rate_cap(rates, share * sum(rates))
        return self.open_limit if rate_cap is None else max(rate_cap, MIN_RATE)
