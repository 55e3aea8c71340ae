"""Admission control: limits what proxies admit while responses are late, table by table.

Load is shed early, so that the admitted requests are answered in time. No limit falls below the
share of requests that is currently served. If proxies do not support limits, none are set.
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

# Limits that admit everything, by unit; no proxy reaches the rate.
OPEN_LIMITS = {AdmissionUnit.NONE: 1.0, AdmissionUnit.SHARE: 1.0, AdmissionUnit.RATE: 1e6}
# A proxy retries only if the first attempt was certainly not executed: other retries doubled the
# load of late hosts (docs/design.md).
RETRY_POLICY = commands.RetryPolicy.IF_NOT_EXECUTED
# Mean latency, as a share of the latency objective, above which load is shed: if the mean is close
# to the objective, a long tail of responses exceeds it (docs/design.md).
DECREASE_LATENCY = 0.55
# Mean latency, as a share of the latency objective, below which more is admitted (docs/design.md).
INCREASE_LATENCY = 0.45
# Factors per turn on the admitted share: fast enough for a burst of requests, slow enough for
# reports that arrive late (docs/design.md).
DECREASE_FACTOR = 0.7
INCREASE_FACTOR = 1.15
# Minimum admitted share.
MIN_SHARE = 0.1
# Turns until the effect of a limit shows in the statistics. A decrease is relative to the share
# that was set this many turns ago, which the statistics reflect.
FEEDBACK_DELAY_TURNS = 4
# Relative changes of a limit up to this size are not worth their lines.
MIN_CHANGE = 0.05
# Minimum rate limit of a proxy, in requests per second.
MIN_RATE = 0.1


def open_limits(
    tables: Sequence[PublishedTable], unit: AdmissionUnit
) -> list[commands.SetAdmissionLimit]:
    """Returns the commands that initialize each table to admit all requests."""
    return [
        commands.SetAdmissionLimit(table.number, None, OPEN_LIMITS[unit], RETRY_POLICY)
        for table in tables
    ]


@dataclass(slots=True)
class TableLoad:
    """Load of the proxies of one table since the last turn.

    Attributes:
        shares: Admitted shares of the last turns, the newest last.
        attempts: Number of attempts.
        failed: Number of failed attempts.
        latency: Sum of the latencies of served requests, in units of the latency objective.
    """

    shares: deque[float] = field(
        default_factory=lambda: deque([1.0] * FEEDBACK_DELAY_TURNS, FEEDBACK_DELAY_TURNS)
    )
    attempts: float = 0.0
    failed: float = 0.0
    latency: float = 0.0

    def next_share(self, served_share: float) -> float:
        """Returns the share to admit from this turn on.

        Only statistics of the last turn count: in a decayed sum, the many late requests of an
        overload would still count after the overload has ended.

        Args:
            served_share: Served requests divided by arrived requests, over the last turns.
        """
        share = self.shares[-1]
        share_in_force = self.shares[0]
        attempts = max(1.0, self.attempts)
        success_ratio = 1 - self.failed / attempts
        served = attempts - self.failed
        mean_latency = self.latency / served if served else INCREASE_LATENCY
        if mean_latency > DECREASE_LATENCY:
            floor = max(MIN_SHARE, min(1.0, served_share))
            decreased = min(share, share_in_force * min(DECREASE_FACTOR, success_ratio))
            return max(floor, decreased)
        if mean_latency < INCREASE_LATENCY:
            return min(1.0, share * INCREASE_FACTOR)
        return share

    def start_turn(self, share: float) -> None:
        """Records the admitted share and resets the sums for the next turn."""
        self.shares.append(share)
        self.attempts = 0.0
        self.failed = 0.0
        self.latency = 0.0


class AdmissionController(Actor[events.ProxyRequestStats | events.HostRequestStats | Tick]):
    """Sets the admission limits of all tables once per turn."""

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
        # Requests of the last turns over all tables, as sums that are halved each turn.
        self.served = 0.0
        self.arrived = 0.0
        # By table and request class; only the limits that were set at least once.
        self.limits: dict[tuple[int, int], float] = {}
        # Requests per second, by proxy and request class.
        self.rates: dict[tuple[int, int], float] = {}

    def handle(self, event: events.ProxyRequestStats | events.HostRequestStats | Tick) -> None:
        """Handles request statistics; sets the limits on a turn."""
        match event:
            case events.ProxyRequestStats():
                self.on_proxy_stats(event)
            case events.HostRequestStats():
                self.on_host_stats(event)
            case Tick.TURN:
                self.on_turn()

    def on_proxy_stats(self, stats: events.ProxyRequestStats) -> None:
        """Updates the rate at which requests of a class arrive at a proxy."""
        if stats.span_us <= 0 or not self.tables:
            return
        self.arrived += stats.arrived
        key = (stats.proxy, stats.request_class)
        rate = stats.arrived * SECOND_US / stats.span_us
        self.rates[key] = (self.rates.get(key, rate) + rate) / 2

    def on_host_stats(self, stats: events.HostRequestStats) -> None:
        """Adds the attempts of proxies at a host to the load of their tables.

        The load of a table includes the attempts of its own proxies only: a zone behind a network
        partition may still serve the requests of its own proxies.
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
        """Updates the limits of all tables."""
        served_share = self.served / max(1.0, self.arrived)
        for table, load in zip(self.tables, self.loads, strict=True):
            share = load.next_share(served_share)
            load.start_turn(share)
            for request_class in table.request_classes:
                self._set_limit(table, request_class, share)
        self.served = self.served / 2
        self.arrived = self.arrived / 2

    def _set_limit(self, table: PublishedTable, request_class: int, share: float) -> None:
        """Sends a limit to the publisher if it changed enough, or if it admits everything again."""
        limit = self.open_limit
        if share < 1 and self.unit is AdmissionUnit.SHARE:
            limit = share
        elif share < 1:
            limit = self._rate_limit(table, request_class, share)
        key = (table.number, request_class)
        previous = self.limits.get(key, self.open_limit)
        has_moved = abs(limit - previous) > MIN_CHANGE * previous
        has_opened = limit == self.open_limit and previous != self.open_limit
        if has_moved or has_opened:
            self.limits[key] = limit
            command = commands.SetAdmissionLimit(
                table.number, (request_class,), limit, RETRY_POLICY
            )
            self.scheduler.put(self.publisher, command)

    def _rate_limit(self, table: PublishedTable, request_class: int, share: float) -> float:
        """Returns the rate limit of every proxy; proxies with a lower rate are not limited."""
        rates = [
            self.rates.get((proxy, request_class), 0.0)
            for proxy, zone in self.publisher.zone_of_proxy.items()
            if table.serves_zone(zone)
        ]
        rate_cap = even_rate_cap(rates, share * sum(rates))
        return self.open_limit if rate_cap is None else max(rate_cap, MIN_RATE)
