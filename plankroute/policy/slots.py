"""Integer slots: converts host weights into routing tables by the largest remainder method.

Request classes that may use the same hosts share a table. Proxies distribute requests over the
hosts of a table in proportion to their slots. Only changed slots are written, so the slots of the
hosts that stay keep their sum: a host that is added or removed does not change the slots of others.
"""

from dataclasses import dataclass

from plankroute.events.facts import RequestClassFacts, StartFacts
from plankroute.policy.host_table import HostTable
from plankroute.policy.subsetting import ALL_HOSTS, Subset, hosts_of_subset
from plankroute.state.apportionment import round_preserving_sum
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.published_table import PublishedTable

# Slots of a host of mean weight (docs/design.md). A slot is 3% of the mean weight; a finer
# resolution would cost lines without moving requests.
SLOTS_PER_HOST = 32


class RoutingTable(PublishedTable):
    """A complete routing table: slots of all hosts that its request classes may use."""

    def slots(
        self, host_table: HostTable, withdrawn: set[int], subset: Subset = ALL_HOSTS
    ) -> dict[int, int]:
        """Returns the target slots by host, at least one for each host of the table.

        Also sets the effective weight of each host that has published slots: the weight that these
        slots represent.

        Args:
            host_table: Statistics of all hosts.
            withdrawn: Withdrawn hosts and those with a pending withdrawal.
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

        Ejected hosts are left out, with two exceptions that prevent an empty table and keep
        requests from concentrating on a few hosts or on cold ones. If there are at least twice as
        many ejected hosts as warm ones, the ejected hosts that are reachable are added. If the
        table would still be empty, it holds all ejected hosts.
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
        """Returns the factor from weight to slots that preserves the slot sum of staying hosts.

        Staying hosts are the warm hosts that are already published. If there are none, or if the
        factor deviates by a factor of two or more from the default of SLOTS_PER_HOST slots for the
        mean weight, returns the default. Returns 0 if there are no weights.
        """
        if not weights:
            return 0.0
        default_scale = SLOTS_PER_HOST * len(weights) / sum(weights.values())
        staying = [
            host
            for host in weights
            if host in self.published and host_table.weight_cap[host] == NO_CAP
        ]
        if not staying:
            return default_scale
        published_slots = sum(self.published[host] for host in staying)
        scale = published_slots / sum(weights[host] for host in staying)
        return scale if default_scale / 2 < scale < 2 * default_scale else default_scale


@dataclass(frozen=True, slots=True)
class TableScope:
    """The hosts that a table admits and the proxies that it serves; None means no restriction.

    Attributes:
        zones: Zones of its hosts.
        machine_types: Machine types of its hosts.
        proxy_zone: Zone of its proxies.
    """

    zones: tuple[int, ...] | None
    machine_types: tuple[int, ...] | None
    proxy_zone: int | None


def build_tables(facts: StartFacts) -> list[RoutingTable]:
    """Returns the complete tables, one for each distinct scope of the request classes."""
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
    """Returns the scopes of a request class: one, or one per zone if requests stay in zone."""
    if not class_facts.stays_in_zone:
        return [TableScope(class_facts.zones, class_facts.machine_types, None)]
    scopes = []
    for zone in range(zones):
        is_open = not class_facts.zones or zone in class_facts.zones
        scopes.append(TableScope((zone,) if is_open else (), class_facts.machine_types, zone))
    return scopes
