"""Interim binding: binds proxies to small tables if complete ones would exceed the drain grace.

When most controllers fail, their proxies connect to the remaining ones, with tables that may hold
draining or removed hosts. Writing complete tables to all of these proxies would take the channel
longer than the drain grace. Interim tables are so small that all proxies of the fleet can be bound
to them within the part of the grace slack that deferrable lines leave. Afterwards, the proxies are
bound to complete tables.
"""

from collections.abc import Sequence
from dataclasses import replace

from plankroute.events import commands
from plankroute.events.events import HostState
from plankroute.events.facts import AdmissionUnit, StartFacts
from plankroute.policy.admission import RETRY_POLICY
from plankroute.policy.binding import bind, reinstated_by_bind
from plankroute.policy.drains import Drains
from plankroute.policy.first_weights import FirstWeights
from plankroute.policy.flow_control import FlowControl, write_slot
from plankroute.policy.host_table import HostTable
from plankroute.policy.interim_tables import InterimTables
from plankroute.policy.slots import RoutingTable
from plankroute.state.proxy_registry import ProxyRegistry
from plankroute.state.published_table import InterimTable

LimitKey = tuple[int | None, tuple[int, ...] | None]
"""Identifies an admission limit by its table and request classes."""

# Bounds on the number of hosts in an interim table. With fewer, proxies would depend on single
# hosts; with more, proxies could as well wait for complete tables.
MIN_HOSTS = 4
MAX_HOSTS = 24


class InterimBinder:
    """Binds waiting proxies to interim tables, and keeps these tables up to date.

    Attributes:
        is_active: Whether waiting proxies are bound to interim tables. Meanwhile, they get no
            withdrawals.
        tables: The interim tables.
    """

    def __init__(
        self,
        registry: ProxyRegistry,
        bases: list[RoutingTable],
        host_table: HostTable,
        first_weights: FirstWeights,
        drains: Drains,
        flow: FlowControl,
        facts: StartFacts,
    ) -> None:
        self.registry = registry
        self.host_table = host_table
        self.first_weights = first_weights
        self.drains = drains
        self.flow = flow
        self.is_active = False
        # Without limits, proxies admit everything and use their default retry policy.
        needs_limits = (
            facts.admission_unit is not AdmissionUnit.NONE or facts.default_retry != RETRY_POLICY
        )
        self.tables = InterimTables(registry, bases, host_table, drains, needs_limits)
        self.tables.hosts_per_table = self._hosts_per_table_in_grace(facts)
        self._limits: dict[LimitKey, commands.SetAdmissionLimit] = {}
        self._last_batch_us = 0

    def update(self) -> None:
        """Activates if waiting proxies cannot be bound in time; deactivates when none waits."""
        if not self.registry.unbound:
            self.is_active = False
        elif not self.is_active and self._is_needed():
            self.is_active = True
            if not self.registry.interim:
                self._fill_tables()

    def bind_waiting(self) -> None:
        """Binds the waiting proxies that fit, those that have waited longest first."""
        registry = self.registry
        waiting = registry.unbound
        for proxy in sorted(waiting, key=lambda proxy: (waiting[proxy].since_us, proxy)):
            tables = self.tables.tables_for(proxy)
            reinstated = reinstated_by_bind(registry, self.drains.withdrawn, proxy)
            if not bind(registry, self.flow, proxy, tables, reinstated, self.flow.backlog_cap):
                break
            registry.enter_interim_tables(proxy, tables)

    def write_batch(self) -> None:
        """Writes the deferrable changes that fit, if the last batch is long enough ago."""
        registry = self.registry
        now = registry.scheduler.now
        if not registry.interim or now - self._last_batch_us < self.flow.max_batch_delay_us:
            return
        overhead_lines = len(registry.interim) * registry.channel.message_overhead
        budget = self.flow.available_lines(registry, self.flow.allowance) - overhead_lines
        if budget <= 0:
            return
        self._last_batch_us = now
        for change in self.tables.deferrable_changes():
            budget -= write_slot(registry, self.host_table, change, budget)

    def record_limit(self, limit: commands.SetAdmissionLimit) -> None:
        """Records a limit written for a complete table; new interim tables start with it."""
        self._limits[limit.table, limit.request_classes] = limit

    def interim_limits(
        self, limit: commands.SetAdmissionLimit
    ) -> list[tuple[InterimTable, commands.SetAdmissionLimit]]:
        """Returns the limit of a complete table for each of its interim tables."""
        return [
            (table, replace(limit, table=table.number))
            for table in self.registry.interim_tables
            if table.has_limits and table.base.number == limit.table
        ]

    def _hosts_per_table_in_grace(self, facts: StartFacts) -> int:
        """Returns how many hosts an interim table may hold so that all proxies are bound in time.

        Deferrable lines may be queued at the same time, so their share is subtracted.
        """
        bases = self.tables.bases
        bases_of_zone = [
            [base for base in bases if base.serves_zone(zone)] for zone in range(facts.zones)
        ]
        lines_per_proxy = self.flow.urgent_lines_in_grace / max(1, facts.proxy_count)
        host_counts = [
            (lines_per_proxy - self._fixed_lines(bases)) / len(bases)
            for bases in bases_of_zone
            if bases
        ]
        return round(min(MAX_HOSTS, max(MIN_HOSTS, min(host_counts, default=MIN_HOSTS))))

    def _fixed_lines(self, bases: Sequence[RoutingTable]) -> int:
        """Returns the lines of binding a proxy to interim tables of these, without their hosts."""
        return self.registry.channel.message_overhead + sum(
            self.tables.new_table(0, base).fixed_bind_lines() for base in bases
        )

    def _is_needed(self) -> bool:
        """Whether waiting proxies may use removed hosts and cannot be bound in time."""
        registry = self.registry
        bases = self.tables.bases
        if self.first_weights.is_waiting or not any(base.published for base in bases):
            return False
        since_us = min(waiting.since_us for waiting in registry.unbound.values())
        if self.drains.can_bind_in_time(since_us):
            return False
        # If no host was removed, waiting proxies can use their old tables.
        return any(
            self.host_table.state[index] is not HostState.READY
            for index in self.host_table.index_of.values()
        )

    def _fill_tables(self) -> None:
        self.tables.fill()
        for limit in self._limits.values():
            for _, interim_limit in self.interim_limits(limit):
                self.registry.command(interim_limit, [])
