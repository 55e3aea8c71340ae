"""Integer slots: what a routing table has for each host, from the weights by largest remainders.

Request classes that may use the same hosts share a table. Proxies spread requests over a table in
proportion to its slots. Only changed slots are written, so hosts that stay keep the sum of their
slots: one that comes or goes moves no other's.
"""

from dataclasses import dataclass

from plankroute.events.facts import RequestClassFacts, StartFacts
from plankroute.policy.host_table import HostTable
from plankroute.policy.subsetting import ALL_HOSTS, Subset, hosts_of_subset
from plankroute.state.apportionment import round_preserving_sum
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.published_table import PublishedTable

# Slots of a usual host (docs/design.md): steps of 3% of a usual weight; finer ones cost lines and
# move nothing.
SLOTS_PER_HOST = 32


class RoutingTable(PublishedTable):
    """A table of slots for the hosts that some request classes may use."""

    def slots(
        self, host_table: HostTable, withdrawn: set[int], subset: Subset = ALL_HOSTS
    ) -> dict[int, int]:
        """Returns the slots that the table should have, by host: at least one each.

        Sets the effective weight of the hosts whose slots are published.

        Args:
            host_table: Statistics of all hosts.
            withdrawn: Hosts that are withdrawn, or about to be.
            subset: The part of the hosts that this controller's tables hold.
        """
        weights = {
            host: host_table.capped_weight(host)
            for host in self.hosts(host_table, withdrawn, subset)
        }
        scale = self._slots_per_weight(host_table, weights)
        exact = {host: weight * scale for host, weight in weights.items()}
        for host in self.published.keys() & exact.keys():
            host_table.effective_weight[host] = self.published[host] / scale
        return {host: max(1, count) for host, count in round_preserving_sum(exact).items()}

    def hosts(
        self, host_table: HostTable, withdrawn: set[int], subset: Subset = ALL_HOSTS
    ) -> list[int]:
        """Returns the hosts that the table should hold.

        Guards against a table without hosts, and against all requests on a few hosts or on cold
        ones: where ejected hosts are at least twice as many as warm ones, those within reach are
        used all the same.
        """
        candidates = [
            host
            for host in host_table.ready()
            if host_table.weight_cap[host]
            and host not in withdrawn
            and self.may_hold(host_table, host)
        ]
        if subset.share < 1:
            candidates = hosts_of_subset(host_table, self, candidates, subset)
        hosts = [host for host in candidates if not host_table.ejected[host]]
        ejected = [host for host in candidates if host_table.ejected[host]]
        warm_count = sum(host_table.weight_cap[host] == NO_CAP for host in hosts)
        if 2 * warm_count <= len(ejected):
            hosts += [host for host in ejected if not host_table.unreachable[host]]
        return hosts or ejected

    def _slots_per_weight(self, host_table: HostTable, weights: dict[int, float]) -> float:
        """Returns the scale that keeps the sum of slots of the hosts that stay.

        Where that is off by a factor of two it starts anew, as it does where none stay.
        """
        if not weights:
            return 0.0
        usual = SLOTS_PER_HOST * len(weights) / sum(weights.values())
        staying = [
            host
            for host in weights
            if host in self.published and host_table.weight_cap[host] == NO_CAP
        ]
        if not staying:
            return usual
        published_slots = sum(self.published[host] for host in staying)
        scale = published_slots / sum(weights[host] for host in staying)
        return scale if usual / 2 < scale < 2 * usual else usual


@dataclass(frozen=True, slots=True)
class TableScope:
    """Which hosts a table admits and which proxies it serves; None for all.

    Attributes:
        zones: Zones of its hosts.
        machine_types: Machine types of its hosts.
        proxy_zone: Zone of its proxies.
    """

    zones: tuple[int, ...] | None
    machine_types: tuple[int, ...] | None
    proxy_zone: int | None


def build_tables(facts: StartFacts) -> list[RoutingTable]:
    """Returns one table, and further ones for request classes that may not use every host."""
    tables: dict[TableScope, RoutingTable] = {}
    for request_class, class_facts in enumerate(facts.request_classes):
        for scope in table_scopes(class_facts, facts.zones):
            if scope not in tables:
                tables[scope] = RoutingTable(
                    len(tables), scope.zones, scope.machine_types, scope.proxy_zone
                )
            tables[scope].request_classes.append(request_class)
    return list(tables.values())


def table_scopes(class_facts: RequestClassFacts, zones: int) -> list[TableScope]:
    """Returns the scopes of a request class: one, or one a zone if requests stay in their zone."""
    if not class_facts.stays_in_zone:
        return [TableScope(class_facts.zones, class_facts.machine_types, None)]
    scopes = []
    for zone in range(zones):
        is_open = not class_facts.zones or zone in class_facts.zones
        scopes.append(TableScope((zone,) if is_open else (), class_facts.machine_types, zone))
    return scopes
