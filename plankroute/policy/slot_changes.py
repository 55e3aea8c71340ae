"""Slot changes: how target slots differ from published ones, and the benefit of each change.

The benefit of a change is the share of a proxy's requests that it moves, multiplied by the relative
size of the change. It is compared with the price of a line.
"""

from plankroute.events.events import HostState
from plankroute.policy.drains import REMOVED_HOST_TTL_US, Drains
from plankroute.policy.flow_control import FlowControl
from plankroute.policy.host_table import HostTable
from plankroute.policy.slots import SLOTS_PER_HOST, RoutingTable
from plankroute.policy.subsetting import SubsetPolicy
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.published_table import Change

# All benefits are multiplied by (LATENCY_FACTOR * mean latency / latency objective) to the power of
# LATENCY_EXPONENT, if that is above 1. While latency is low, small changes are therefore not worth
# their lines and do not keep the channel busy.
LATENCY_FACTOR = 6.0
LATENCY_EXPONENT = 3
# Factor on the benefit of a host's first slots: until they are written, the other hosts serve its
# requests. See docs/design.md, what size changes.
NEW_SLOT_FACTOR = 4.0
# Ratio of target to published slots below which a reduction for a warming host is urgent.
URGENT_REDUCTION_RATIO = 0.75

SlotInput = list[float] | list[bool] | list[HostState] | list[int] | set[int] | dict[int, int]


class TargetSlots:
    """Target slots of the tables, cached until one of their inputs changes.

    The cache saves work because the publisher requests the slots ten times a second, and mostly no
    input has changed in between.
    """

    def __init__(
        self,
        host_table: HostTable,
        tables: list[RoutingTable],
        drains: Drains,
        subsetting: SubsetPolicy,
        flow: FlowControl,
    ) -> None:
        self.host_table = host_table
        self.tables = tables
        self.drains = drains
        self.subsetting = subsetting
        self.flow = flow
        self._inputs: list[SlotInput] = []
        self._slots: list[dict[int, int]] = []

    def invalidate(self) -> None:
        """Discards the cached slots, so that the next request recomputes them."""
        self._inputs = []

    def current(self) -> list[dict[int, int]]:
        """Returns the target slots by host for each table; updates the hosts outside the subset."""
        host_table = self.host_table
        withdrawn = self.drains.withdrawn | self.drains.pending
        inputs: list[SlotInput] = [
            host_table.weight,
            host_table.weight_cap,
            host_table.ejected,
            host_table.unreachable,
            host_table.state,
            host_table.zone,
            host_table.machine_type,
            withdrawn,
        ]
        inputs += [table.published for table in self.tables]
        if inputs == self._inputs:
            return self._slots
        self._inputs = [part.copy() for part in inputs]
        ready = host_table.ready()
        subset = self.subsetting.subset(len(ready), self.flow.grace_slack_us)
        self._slots = [table.slots(host_table, withdrawn, subset) for table in self.tables]
        host_table.outside_subset = set()
        if subset.share < 1:
            host_table.outside_subset = set(ready).difference(*self._slots)
        return self._slots


class SlotChanges:
    """Computes the slot changes, the benefit of each and which are urgent."""

    def __init__(
        self,
        host_table: HostTable,
        tables: list[RoutingTable],
        target: TargetSlots,
        drains: Drains,
        flow: FlowControl,
    ) -> None:
        self.host_table = host_table
        self.tables = tables
        self.target = target
        self.drains = drains
        self.flow = flow

    def list_changes(self, now: int) -> list[Change]:
        """Returns all changes, table by table.

        Also records in the host table the smallest relative change that is worth its line.
        """
        host_table = self.host_table
        class_count = sum(len(table.request_classes) for table in self.tables)
        latency_factor = self._latency_factor()
        targets = self.target.current()
        lacks_warm_host = [
            not self._keeps_warm_host(table, slots)
            for table, slots in zip(self.tables, targets, strict=True)
        ]
        needed = self._needed_hosts(lacks_warm_host)
        changes: list[Change] = []
        for table, slots, has_no_warm_host in zip(
            self.tables, targets, lacks_warm_host, strict=True
        ):
            # Share of all requests that one slot moves.
            slot_share = len(table.request_classes) / class_count / max(1, sum(slots.values()))
            min_change = self.flow.line_price / (slot_share * SLOTS_PER_HOST)
            host_table.min_slot_change = max(host_table.min_slot_change, min_change)
            for host in slots.keys() | table.published.keys():
                count = slots.get(host, 0)
                if count == table.published.get(host, 0) or host in self.drains.pending:
                    continue
                gain = benefit(table.published.get(host, 0), count, slot_share, latency_factor)
                is_urgent = self._is_urgent(table, host, count) or has_no_warm_host
                if host in self.drains.withdrawn:
                    is_back = host_table.state[host] is HostState.READY
                    gain = gain if is_back else self._gain_of_withdrawn(host, now)
                    is_urgent = host in needed
                changes.append(Change(gain, is_urgent, table, host, count))
        return changes

    def _latency_factor(self) -> float:
        """Returns the factor on all benefits, which grows as responses become late; at least 1."""
        latency = LATENCY_FACTOR * self.host_table.mean_latency_us
        lateness: float = latency / self.host_table.latency_objective_us
        return max(1.0, lateness**LATENCY_EXPONENT)

    def _keeps_warm_host(self, table: RoutingTable, slots: dict[int, int]) -> bool:
        """Whether a warm host that is published stays in the table.

        If none stays, all changes are urgent, so that proxies are not left without a host.
        """
        return any(
            host in slots and self.host_table.weight_cap[host] == NO_CAP for host in table.published
        )

    def _needed_hosts(self, lacks_warm_host: list[bool]) -> set[int]:
        """Returns the withdrawn hosts, ready again, that a table without a warm host may hold.

        A host is reinstated once no table holds it. Slots that it has in other tables would keep it
        from the proxies that have no host, so their removal is urgent too.

        Args:
            lacks_warm_host: By table, whether no warm host stays in it.
        """
        lacking = [
            table for table, lacks in zip(self.tables, lacks_warm_host, strict=True) if lacks
        ]
        return {
            host
            for host in self.drains.pending_reinstatements()
            if any(table.may_hold(self.host_table, host) for table in lacking)
        }

    def _is_urgent(self, table: RoutingTable, host: int, count: int) -> bool:
        """Whether a host leaves other than by the subset, or is warming and loses many slots."""
        published = table.published.get(host, 0)
        is_warming = self.host_table.weight_cap[host] < NO_CAP
        has_large_reduction = is_warming and count < URGENT_REDUCTION_RATIO * published
        return has_large_reduction or (not count and host not in self.host_table.outside_subset)

    def _gain_of_withdrawn(self, host: int, now: int) -> float:
        """Returns the gain of removing a withdrawn host: 1 if it expires soon, else 0."""
        removed_us = now - self.host_table.heard_at_us[host]
        return float(2 * removed_us > REMOVED_HOST_TTL_US)


def benefit(published: int, count: int, slot_share: float, latency_factor: float) -> float:
    """Returns the benefit of a slot change.

    A reduction is multiplied by its ratio, and the first slots of a host by NEW_SLOT_FACTOR.

    Args:
        published: Published slots of the host.
        count: Target slots of the host.
        slot_share: Share of a proxy's requests that one slot moves.
        latency_factor: Factor on all benefits.
    """
    change_factor = max(1.0, published / max(1, count)) if published else NEW_SLOT_FACTOR
    return (
        latency_factor
        * (count - published) ** 2
        / max(count, published)
        * slot_share
        * change_factor
    )
