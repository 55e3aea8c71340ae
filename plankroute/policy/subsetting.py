"""Deterministic subsetting: which part of the hosts the tables of one controller hold.

Binding a proxy takes a line for each host of its table. Where binding all proxies to whole tables
would take too long, a controller's table holds an arc of a ring of the hosts. From the field's
deterministic subsetting (SRE book); it follows from the settings and the endpoint list alone, never
from who is believed to live or how many proxies came: a table that widens costs a line a host at
every proxy on it, just when most wait.
"""

import math
from dataclasses import dataclass

from plankroute.events.facts import StartFacts
from plankroute.policy.host_table import HostTable
from plankroute.state.host_statistics import NO_CAP, group_by
from plankroute.state.published_table import PublishedTable
from plankroute.units import SECOND_US

# Time in which all binds are to be written at most.
MAX_BIND_US = 3 * SECOND_US
# The same as a part of what the drain grace leaves after the longest one-way delay.
MAX_BIND_SHARE_OF_GRACE = 0.5
# Warm hosts that a subset holds at least: with fewer, proxies would hang on single hosts.
MIN_WARM_HOSTS = 24
# Even shares of the fleet's proxies that may use one subset: controllers that restart one after
# another leave the others with somewhat over one.
MAX_EVEN_SHARES = 2
# Controllers from which on there are subsets: of two, either may be left with all proxies, which
# half of the hosts would not bear.
MIN_CONTROLLERS = 3


@dataclass(frozen=True, slots=True)
class Subset:
    """An arc of the ring of hosts.

    Attributes:
        share: Share of the hosts that the arc holds.
        start: Where on the ring it starts, from 0 to under 1.
    """

    share: float = 1.0
    start: float = 0.0


ALL_HOSTS = Subset()


class SubsetPolicy:
    """How large the subset of one controller is, and where it starts.

    Attributes:
        start: Where the controller's arc starts on the ring.
    """

    def __init__(self, facts: StartFacts, message_overhead: int, lines_per_us: float) -> None:
        """Keeps what the sizes follow from.

        Args:
            facts: Start-up facts.
            message_overhead: Lines that each message takes beside its content.
            lines_per_us: Pace of the channel.
        """
        self.start = facts.controller_rank % facts.controller_count / facts.controller_count
        self._proxies = facts.proxy_count
        self._controllers = facts.controller_count
        self._message_overhead = message_overhead
        self._lines_per_us = lines_per_us

    def subset(self, ready_hosts: int, grace_slack_us: float) -> Subset:
        """Returns the controller's subset of this many hosts."""
        return Subset(self.share(ready_hosts, grace_slack_us), self.start)

    def share(self, ready_hosts: int, grace_slack_us: float) -> float:
        """Returns the share of the hosts that can be bound in time.

        It is a multiple of one share a controller, so that each host is in as many tables as any
        other.

        Args:
            ready_hosts: Hosts listed ready.
            grace_slack_us: What the drain grace leaves after the longest one-way delay.
        """
        if self._controllers < MIN_CONTROLLERS:
            return 1.0
        max_bind_us = min(MAX_BIND_US, MAX_BIND_SHARE_OF_GRACE * grace_slack_us)
        bindable_part = max_bind_us / max(1.0, self.bind_us(1.0, ready_hosts))
        shares = max(1, math.ceil(bindable_part * self._controllers))
        return min(1.0, shares / self._controllers)

    def max_users(self, ready_hosts: int, grace_slack_us: float, joined: int) -> float:
        """Returns how many proxies may use tables with a subset of this many hosts.

        All of them, unless far more have joined than the subset is meant for: then an even share
        of the fleet's, as more would overload its hosts while the others idle.

        Args:
            ready_hosts: Hosts listed ready.
            grace_slack_us: What the drain grace leaves after the longest one-way delay.
            joined: Proxies that have joined.
        """
        even_share = self._proxies / self._controllers
        is_subset = self.share(ready_hosts, grace_slack_us) < 1
        return even_share if is_subset and joined > MAX_EVEN_SHARES * even_share else math.inf

    def bind_us(self, share: float, ready_hosts: int) -> float:
        """Returns the time to bind an even share of all proxies to this share of the hosts."""
        lines = share * ready_hosts + self._message_overhead
        return self._proxies / self._controllers * lines / self._lines_per_us


def hosts_of_subset(
    host_table: HostTable, table: PublishedTable, candidates: list[int], subset: Subset
) -> list[int]:
    """Returns those of the candidates that are in a subset, in ascending order.

    The arcs of controllers lie beside each other, so that each host is in as many tables as any
    other, and a host that comes or goes moves the ends of the arcs alone. All candidates are
    returned where the subset would hold over a half of the warm ones: it would save little.

    Args:
        host_table: Statistics of all hosts.
        table: The table that the hosts are for.
        candidates: Hosts that may be in the table.
        subset: The controller's arc.
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
    """Returns the hosts that a table admits in an order that is the same at every controller.

    The hosts of each zone and machine type are spread evenly over the ring, in the order of their
    names.
    """
    admitted = [host for host in host_table.ready() if table.may_hold(host_table, host)]
    admitted.sort(key=lambda host: host_table.name_order[host])
    groups = group_by(admitted, lambda host: (host_table.zone[host], host_table.machine_type[host]))
    positions = [
        ((place + 0.5) / len(hosts), group_number, host)
        for group_number, hosts in enumerate(groups)
        for place, host in enumerate(hosts)
    ]
    return [host for _, _, host in sorted(positions)]
