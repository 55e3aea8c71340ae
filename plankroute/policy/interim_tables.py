"""Interim tables: small tables that share out all hosts among the proxies that use them.

Each holds a few hosts, so that binding a proxy takes few lines; together they hold all hosts, so
that the load stays even. Hosts keep their table: what changes are hosts that leave, hosts that
come, and slots that are far off.
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

# A slot is changed once it is off by this factor: interim tables are used for seconds.
MAX_SLOT_RATIO = 1.5
# The published slot of a cold host is changed at once when it is too large by this factor.
MAX_COLD_SLOT_RATIO = 1.2
# Load of a table over the mean from which on it gets more hosts.
MAX_LOAD_RATIO = 1.5
# Part of its weight with which a cold host counts.
COLD_WEIGHT_SHARE = 0.5
# Part of its first rows that an interim table keeps as hosts leave it; below that it gets others.
MIN_ROWS_KEPT = 0.5


class InterimTables:
    """Fills the interim tables of a registry and works out their changes.

    Attributes:
        rows: Hosts in an interim table as it is filled.
        has_limits: Whether admission limits are written for them.
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
        self.rows = 1

    def new_table(self, number: int, base: RoutingTable) -> InterimTable:
        """Returns an interim table of a complete one, without hosts."""
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
        """Shares out the hosts of each complete table over new interim tables.

        Nobody uses them yet, so that takes no line.
        """
        registry = self.registry
        for stale in registry.interim_tables:
            registry.command(commands.ClearTable(stale.number), [])
        registry.interim_tables = []
        for base in self.bases:
            slots = self._target_slots(base)
            hosts = [host for host in ring_of_hosts(self.host_table, base) if host in slots]
            count = max(1, math.ceil(len(hosts) / self.rows))
            for part in range(count):
                number = len(self.bases) + len(registry.interim_tables)
                table = self.new_table(number, base)
                registry.interim_tables.append(table)
                for host in hosts[part::count]:
                    table.set_slots(host, slots[host])
                    self._command_slots(table, host)

    def tables_for(self, proxy: int) -> list[InterimTable]:
        """Returns an interim table for each complete one of a proxy: the one with least load."""
        zone = self.registry.zone_of_proxy[proxy]
        return [
            min(self._tables_of(base), key=lambda table: (_load(table), table.number))
            for base in self.bases
            if base.serves_zone(zone)
        ]

    def urgent_changes(self) -> list[Change]:
        """Returns the changes that do not wait: hosts that leave, and cold hosts' slots that fall.

        Hosts that drain are left to the drains. Guards against a table without hosts: where no
        others can be had the last ones stay.
        """
        changes: list[Change] = []
        for base in self._bases_in_use():
            slots = self._target_slots(base)
            tables = self._tables_of(base)
            mean_load = _mean_load(tables, slots)
            for table in tables:
                changes += self._leaving(table, slots, mean_load)
        return changes

    def ordinary_changes(self) -> list[Change]:
        """Returns the changes that gather: hosts that come, and slots that are far off."""
        changes: list[Change] = []
        for base in self._bases_in_use():
            slots = self._target_slots(base)
            tables = self._tables_of(base)
            mean_load = _mean_load(tables, slots)
            changes += self._coming(tables, slots)
            for table in tables:
                wanted = self._slots_in(table, slots, mean_load)
                changes += [
                    Change(0.0, False, table, host, wanted[host])
                    for host, count in table.published.items()
                    if host in wanted and _ratio(count, wanted[host]) > MAX_SLOT_RATIO
                ]
        return changes

    def _target_slots(self, base: RoutingTable) -> dict[int, int]:
        """Returns the slots of all hosts that a complete table might hold."""
        host_table = self.host_table
        withdrawn = self.drains.withdrawn | self.drains.pending
        weights = {host: self._weight(host) for host in base.hosts(host_table, withdrawn)}
        total = sum(weights.values())
        return {
            host: max(1, round(SLOTS_PER_HOST * len(weights) * weight / total))
            for host, weight in weights.items()
        }

    def _weight(self, host: int) -> float:
        """Returns a host's weight; that of a cold one counts in part.

        Guards against cold hosts that are overloaded: where the others of a small table are full,
        its proxies flock to the one that still answers.
        """
        weight = self.host_table.capped_weight(host)
        return COLD_WEIGHT_SHARE * weight if self._is_cold(host) else weight

    def _tables_of(self, base: RoutingTable) -> list[InterimTable]:
        return [table for table in self.registry.interim_tables if table.base is base]

    def _bases_in_use(self) -> Iterable[RoutingTable]:
        return [base for base in self.bases if any(table.users for table in self._tables_of(base))]

    def _slots_in(
        self, table: InterimTable, slots: dict[int, int], mean_load: float
    ) -> dict[int, int]:
        """Returns the slots that the hosts of one table should have in it.

        Guards against cold hosts in a table with few slots for its users: there a cold host counts
        for less, so that it gets no more requests than it would at the mean load.
        """
        staying = {host: slots[host] for host in table.published if host in slots}
        load = table.rate / max(1, sum(staying.values()))
        part = min(1.0, mean_load / load) if load else 1.0
        return {
            host: max(1, round(part * count)) if self._is_cold(host) else count
            for host, count in staying.items()
        }

    def _leaving(
        self, table: InterimTable, slots: dict[int, int], mean_load: float
    ) -> list[Change]:
        wanted = self._slots_in(table, slots, mean_load)
        added: list[int] = []
        is_overloaded = table.rate > MAX_LOAD_RATIO * mean_load * sum(wanted.values())
        if len(wanted) < MIN_ROWS_KEPT * self.rows or is_overloaded:
            spare = [
                host for host in slots if host not in table.published and not self._is_cold(host)
            ]
            first = table.number % max(1, len(spare))  # tables borrow different hosts
            missing = max(1, self.rows - len(wanted))
            added = (spare[first:] + spare[:first])[:missing]
        changes = [Change(0.0, True, table, host, slots[host]) for host in added]
        for host, count in table.published.items():
            if host in wanted:
                if self._is_cold(host) and count > MAX_COLD_SLOT_RATIO * wanted[host]:
                    changes.append(Change(0.0, True, table, host, wanted[host]))
            elif host not in self.drains.pending and (wanted or added):
                changes.append(Change(0.0, True, table, host, 0))
        return changes

    def _is_cold(self, host: int) -> bool:
        return self.host_table.weight_cap[host] != NO_CAP

    def _coming(self, tables: list[InterimTable], slots: dict[int, int]) -> list[Change]:
        """Shares out the hosts that no table holds, to those with most load a slot first."""
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


def _load(table: InterimTable) -> float:
    """Returns the requests a second that a table's users bring for each of its slots."""
    return table.rate / max(1, sum(table.published.values()))


def _mean_load(tables: list[InterimTable], slots: dict[int, int]) -> float:
    """Returns the requests a second for each slot, if every host had its slots in one table."""
    return sum(table.rate for table in tables) / max(1, sum(slots.values()))


def _ratio(one: int, other: int) -> float:
    return max(one, other) / max(1, min(one, other))
