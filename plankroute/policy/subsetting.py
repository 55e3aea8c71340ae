"""Deterministic subsetting: which part of the hosts the tables of one controller hold.

Binding a proxy takes a line for each host of its table. If binding all proxies to tables of all
hosts would take too long, the tables of a controller hold an arc of a ring of the hosts. The method
is deterministic subsetting (SRE book). A subset depends on the settings and the endpoint list
alone, not on which controllers are alive or how many proxies have joined: enlarging a table costs a
line per added host at every proxy that uses the table, just when most proxies wait to be bound.
"""

import math
from dataclasses import dataclass

from plankroute.events.facts import StartFacts
from plankroute.policy.host_table import HostTable
from plankroute.state.host_statistics import NO_CAP, group_by
from plankroute.state.published_table import PublishedTable
from plankroute.units import SECOND_US

# Maximum time in which all binds have to be written.
MAX_BIND_US = 3 * SECOND_US
# The same limit as a share of the grace slack; the smaller one applies.
MAX_BIND_SHARE_OF_GRACE = 0.5
# Minimum number of warm hosts in a subset: with fewer, proxies would depend on single hosts.
MIN_WARM_HOSTS = 24
# Maximum number of even shares of the fleet's proxies that may use one subset. While controllers
# restart one after another, each of the others serves slightly more than one share.
MAX_EVEN_SHARES = 2
# Minimum number of controllers for subsetting: with two, either may be left with all proxies, whose
# load would exceed the capacity of half of the hosts.
MIN_CONTROLLERS = 3


@dataclass(frozen=True, slots=True)
class Subset:
    """An arc of the ring of hosts.

    Attributes:
        share: Share of the hosts that the arc holds.
        start: Where on the ring the arc starts, as a share from 0 to below 1.
    """

    share: float = 1.0
    start: float = 0.0


ALL_HOSTS = Subset()


class SubsetPolicy:
    """Determines the size and the start of one controller's subset.

    Attributes:
        start: Where the controller's arc starts on the ring, as a share from 0 to below 1.
    """

    def __init__(self, facts: StartFacts, message_overhead: int, lines_per_us: float) -> None:
        """Stores the inputs of the subset size.

        Args:
            facts: The start facts.
            message_overhead: Lines that each message costs in addition to its content.
            lines_per_us: Pace of the channel, in lines per microsecond.
        """
        self.start = facts.controller_rank % facts.controller_count / facts.controller_count
        self._proxies = facts.proxy_count
        self._controllers = facts.controller_count
        self._message_overhead = message_overhead
        self._lines_per_us = lines_per_us

    def subset(self, ready_hosts: int, grace_slack_us: float) -> Subset:
        """Returns the subset of the controller for this number of ready hosts."""
        return Subset(self.share(ready_hosts, grace_slack_us), self.start)

    def share(self, ready_hosts: int, grace_slack_us: float) -> float:
        """Returns the share of the hosts in the subset, so that all binds are written in time.

        The share is a multiple of 1 / number of controllers, rounded up, so that each host is in
        the tables of equally many controllers. It is 1 with fewer than MIN_CONTROLLERS controllers.

        Args:
            ready_hosts: Number of hosts listed ready.
            grace_slack_us: Drain grace minus the longest one-way delay.
        """
        if self._controllers < MIN_CONTROLLERS:
            return 1.0
        max_bind_us = min(MAX_BIND_US, MAX_BIND_SHARE_OF_GRACE * grace_slack_us)
        bindable_share = max_bind_us / max(1.0, self.bind_us(1.0, ready_hosts))
        shares = max(1, math.ceil(bindable_share * self._controllers))
        return min(1.0, shares / self._controllers)

    def max_users(self, ready_hosts: int, grace_slack_us: float, joined: int) -> float:
        """Returns the maximum number of proxies that may use the complete tables.

        There is no limit unless the tables hold a subset and far more proxies have joined than the
        subset is meant for. Then the limit is an even share of the fleet's proxies, because more
        would overload the hosts of the subset while other hosts are idle.

        Args:
            ready_hosts: Number of hosts listed ready.
            grace_slack_us: Drain grace minus the longest one-way delay.
            joined: Number of proxies that have joined.
        """
        even_share = self._proxies / self._controllers
        is_subset = self.share(ready_hosts, grace_slack_us) < 1
        return even_share if is_subset and joined > MAX_EVEN_SHARES * even_share else math.inf

    def bind_us(self, share: float, ready_hosts: int) -> float:
        """Returns the time to bind an even share of all proxies to this share of the hosts.

        The time is in microseconds.
        """
        lines = share * ready_hosts + self._message_overhead
        return self._proxies / self._controllers * lines / self._lines_per_us


def hosts_of_subset(
    host_table: HostTable, table: PublishedTable, candidates: list[int], subset: Subset
) -> list[int]:
    """Returns the candidates that are in a subset, in ascending order.

    The arcs of the controllers start at equal distances on the ring, so that each host is in the
    tables of equally many controllers. A host that is added or removed only shifts the ends of the
    arcs. An arc is extended until it holds at least MIN_WARM_HOSTS warm hosts. If that is more than
    half of the warm candidates, all candidates are returned, since a subset would save little. They
    are also returned if the arc would hold all warm candidates.

    Args:
        host_table: Statistics of all hosts.
        table: The table that the hosts are for.
        candidates: Hosts that may be in the table.
        subset: The controller's subset.
    """
    ring = ring_of_hosts(host_table, table)
    first = int(subset.start * len(ring))
    ring = ring[first:] + ring[:first]
    allowed = set(candidates)
    warm = [
        host
        for host in ring
        if host in allowed
        and host_table.weight_cap[host] == NO_CAP
        and not host_table.ejected[host]
    ]
    size = math.ceil(subset.share * len(warm))
    if size < MIN_WARM_HOSTS and len(warm) < 2 * MIN_WARM_HOSTS:
        return candidates
    if size >= len(warm):
        return candidates
    last_warm = warm[max(size, MIN_WARM_HOSTS) - 1]
    arc = ring[: ring.index(last_warm) + 1]
    return sorted(allowed.intersection(arc))


def ring_of_hosts(host_table: HostTable, table: PublishedTable) -> list[int]:
    """Returns the hosts that a table admits, in an order that is the same at every controller.

    The hosts of each zone and machine type are distributed evenly over the ring, in the order of
    their names.
    """
    admitted = [host for host in host_table.ready() if table.may_hold(host_table, host)]
    admitted.sort(key=lambda host: host_table.name_order[host])
    groups = group_by(admitted, lambda host: (host_table.zone[host], host_table.machine_type[host]))
    positions = [
        ((rank + 0.5) / len(hosts), group_number, host)
        for group_number, hosts in enumerate(groups)
        for rank, host in enumerate(hosts)
    ]
    return [host for _, _, host in sorted(positions)]
