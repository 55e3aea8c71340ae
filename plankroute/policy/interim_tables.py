"""Interim tables: small tables that divide all hosts among the proxies that use them.

Each table holds a few hosts, so that binding a proxy takes few lines; together they hold all hosts,
so that the load stays balanced. Hosts stay in their table. Changes are limited to hosts that leave,
hosts that are added, and slots that are far from their target.
"""

import math
from collections.abc import Iterable

from plankroute.events import commands
from plankroute.policy.drains import Drains
from plankroute.policy.host_table import HostTable
from plankroute.policy.slots import SLOTS_PER_HOST, RoutingTable
from plankroute.policy.subsetting import ring_of_hosts
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.proxy_registry import ProxyRegistry
from plankroute.state.published_table import Change, InterimTable

# Ratio of target to published slots, or the inverse, above which a slot is changed. Smaller
# deviations are acceptable because interim tables are used for seconds only.
MAX_SLOT_RATIO = 1.5
# Ratio of published to target slots above which the slots of a cold host are reduced at once.
MAX_COLD_SLOT_RATIO = 1.2
# Ratio of a table's load per slot to the mean load above which the table gets more hosts.
MAX_LOAD_RATIO = 1.5
# Share of its capped weight with which a cold host counts.
COLD_WEIGHT_SHARE = 0.5
# Share of the initial number of hosts below which an interim table gets further hosts.
MIN_HOSTS_SHARE = 0.5


class InterimTables:
    """Fills the interim tables of a registry and computes their changes.

    Attributes:
        hosts_per_table: Number of hosts in an interim table when it is filled.
        has_limits: Whether admission limits are written for the interim tables.
    """

    def __init__(
        self,
        registry: ProxyRegistry,
        bases: list[RoutingTable],
        host_table: HostTable,
        drains: Drains,
        has_limits: bool,
    ) -> None:
        self.registry = registry
        self.bases = bases
        self.host_table = host_table
        self.drains = drains
        self.has_limits = has_limits
        self.hosts_per_table = 1

    def new_table(self, number: int, base: RoutingTable) -> InterimTable:
        """Returns an empty interim table for a complete one."""
        return InterimTable(
            number,
            base.zones,
            base.machine_types,
            base.proxy_zone,
            base.request_classes,
            has_limits=self.has_limits,
            base=base,
        )

    def fill(self) -> None:
        """Divides the hosts of each complete table among new interim tables.

        No proxy uses the new tables yet, so no lines are written.
        """
        registry = self.registry
        for stale in registry.interim_tables:
            registry.command(commands.ClearTable(stale.number), [])
        registry.interim_tables = []
        for base in self.bases:
            slots = self._target_slots(base)
            hosts = [host for host in ring_of_hosts(self.host_table, base) if host in slots]
            count = max(1, math.ceil(len(hosts) / self.hosts_per_table))
            for part in range(count):
                number = len(self.bases) + len(registry.interim_tables)
                table = self.new_table(number, base)
                registry.interim_tables.append(table)
                for host in hosts[part::count]:
                    table.set_slots(host, slots[host])
                    self._command_slots(table, host)

    def tables_for(self, proxy: int) -> list[InterimTable]:
        """Returns, for each complete table of a proxy, the interim table with the least load."""
        zone = self.registry.zone_of_proxy[proxy]
        return [
            min(self._tables_of(base), key=lambda table: (_load_per_slot(table), table.number))
            for base in self.bases
            if base.serves_zone(zone)
        ]

    def urgent_changes(self) -> list[Change]:
        """Returns the changes that must not wait: hosts that leave, and reductions of cold hosts.

        This includes hosts that replace those that leave. Pending withdrawals are left to `Drains`.
        If no other hosts are available, the last hosts of a table stay, so that no table becomes
        empty.
        """
        changes: list[Change] = []
        for base in self._bases_in_use():
            slots = self._target_slots(base)
            tables = self._tables_of(base)
            mean_load = _mean_load_per_slot(tables, slots)
            for table in tables:
                changes += self._urgent_changes_of(table, slots, mean_load)
        return changes

    def deferrable_changes(self) -> list[Change]:
        """Returns the changes that are batched: added hosts, and slots far from their target."""
        changes: list[Change] = []
        for base in self._bases_in_use():
            slots = self._target_slots(base)
            tables = self._tables_of(base)
            mean_load = _mean_load_per_slot(tables, slots)
            changes += self._added_hosts(tables, slots)
            for table in tables:
                target = self._target_slots_in(table, slots, mean_load)
                changes += [
                    Change(0.0, False, table, host, target[host])
                    for host, count in table.published.items()
                    if host in target and _ratio(count, target[host]) > MAX_SLOT_RATIO
                ]
        return changes

    def _target_slots(self, base: RoutingTable) -> dict[int, int]:
        """Returns the target slots of all hosts that a complete table may hold."""
        host_table = self.host_table
        withdrawn = self.drains.withdrawn | self.drains.pending
        weights = {host: self._weight(host) for host in base.hosts(host_table, withdrawn)}
        total = sum(weights.values())
        return {
            host: max(1, round(SLOTS_PER_HOST * len(weights) * weight / total))
            for host, weight in weights.items()
        }

    def _weight(self, host: int) -> float:
        """Returns the capped weight of a host, reduced for a cold host.

        The reduction prevents overload of cold hosts: if the other hosts of a small table are at
        capacity, its proxies concentrate on the one that still answers.
        """
        weight = self.host_table.capped_weight(host)
        return COLD_WEIGHT_SHARE * weight if self._is_cold(host) else weight

    def _tables_of(self, base: RoutingTable) -> list[InterimTable]:
        return [table for table in self.registry.interim_tables if table.base is base]

    def _bases_in_use(self) -> Iterable[RoutingTable]:
        return [base for base in self.bases if any(table.users for table in self._tables_of(base))]

    def _target_slots_in(
        self, table: InterimTable, slots: dict[int, int], mean_load: float
    ) -> dict[int, int]:
        """Returns the target slots of the hosts that stay in one table.

        Cold hosts get fewer slots in a table with few slots for its users, so that they get no more
        requests than at the mean load.
        """
        staying = {host: slots[host] for host in table.published if host in slots}
        load = table.rate / max(1, sum(staying.values()))
        cold_share = min(1.0, mean_load / load) if load else 1.0
        return {
            host: max(1, round(cold_share * count)) if self._is_cold(host) else count
            for host, count in staying.items()
        }

    def _urgent_changes_of(
        self, table: InterimTable, slots: dict[int, int], mean_load: float
    ) -> list[Change]:
        """Returns the urgent changes of one table; see `urgent_changes`."""
        target = self._target_slots_in(table, slots, mean_load)
        added: list[int] = []
        is_overloaded = table.rate > MAX_LOAD_RATIO * mean_load * sum(target.values())
        if len(target) < MIN_HOSTS_SHARE * self.hosts_per_table or is_overloaded:
            spare = [
                host for host in slots if host not in table.published and not self._is_cold(host)
            ]
            first = table.number % max(1, len(spare))  # tables add different hosts
            max_added = max(1, self.hosts_per_table - len(target))
            added = (spare[first:] + spare[:first])[:max_added]
        changes = [Change(0.0, True, table, host, slots[host]) for host in added]
        for host, count in table.published.items():
            if host in target:
                if self._is_cold(host) and count > MAX_COLD_SLOT_RATIO * target[host]:
                    changes.append(Change(0.0, True, table, host, target[host]))
            elif host not in self.drains.pending and (target or added):
                changes.append(Change(0.0, True, table, host, 0))
        return changes

    def _is_cold(self, host: int) -> bool:
        return self.host_table.weight_cap[host] != NO_CAP

    def _added_hosts(self, tables: list[InterimTable], slots: dict[int, int]) -> list[Change]:
        """Returns the changes that add the hosts in no table, each to the most loaded table."""
        held = set().union(*(table.published for table in tables))
        totals = {table.number: sum(table.published.values()) for table in tables}
        changes: list[Change] = []
        for host, count in slots.items():
            if host in held:
                continue
            table = max(
                tables, key=lambda table: (table.rate / max(1, totals[table.number]), table.number)
            )
            totals[table.number] += count
            changes.append(Change(0.0, False, table, host, count))
        return changes

    def _command_slots(self, table: InterimTable, host: int) -> None:
        count = float(table.published[host])
        command = commands.SetRoute(table.number, self.host_table.host_ids[host], count)
        self.registry.command(command, [])


def _load_per_slot(table: InterimTable) -> float:
    """Returns the requests per second that a table's users bring per slot of the table."""
    return table.rate / max(1, sum(table.published.values()))


def _mean_load_per_slot(tables: list[InterimTable], slots: dict[int, int]) -> float:
    """Returns the requests per second per slot, as if each host were in exactly one table."""
    return sum(table.rate for table in tables) / max(1, sum(slots.values()))


def _ratio(one: int, other: int) -> float:
    """Returns the greater count over the smaller one, which counts as at least 1."""
    return max(one, other) / max(1, min(one, other))
