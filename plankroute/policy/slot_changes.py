"""Slot changes: how target slots differ from the published ones, and what each change is worth.

The benefit of a change is the part of a proxy's requests that it moves, times the part by which the
slot moves. It is compared to the price of a line.
"""

from plankroute.events.events import HostState
from plankroute.policy.drains import REMOVED_HOST_TTL_US, Drains
from plankroute.policy.flow_control import FlowControl
from plankroute.policy.host_table import HostTable
from plankroute.policy.slots import SLOTS_PER_HOST, RoutingTable
from plankroute.policy.subsetting import SubsetPolicy
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.published_table import Change

# The benefit grows with the mean latency, in latency objectives, times this factor, to this power.
# Guards against a channel that is busy all day with the small moves of a calm day.
LATENCY_FACTOR = 6.0
LATENCY_EXPONENT = 3
# Factor on the benefit of a host's first slot: the other hosts carry its requests. See
# docs/design.md, what size changes.
NEW_SLOT_FACTOR = 4.0
# Part of the published slot below which the lower slot of a warming host does not wait.
URGENT_FALL = 0.75

SlotInput = list[float] | list[bool] | list[HostState] | list[int] | set[int] | dict[int, int]


class TargetSlots:
    """The slots that the tables should have.

    They are worked out anew only when something has moved that they follow from: the publisher
    looks ten times a second, and most looks find nothing new.
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
        """Has the slots worked out anew when they are next asked for."""
        self._inputs = []

    def current(self) -> list[dict[int, int]]:
        """Returns the slots of each table, by host; notes which hosts are outside the subset."""
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
    """Works out what has changed, how much each change is worth and which are urgent."""

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
        """Returns all changes, table by table; notes in the host table the least that pays."""
        host_table = self.host_table
        class_count = sum(len(table.request_classes) for table in self.tables)
        urgency = self._urgency_by_latency()
        changes: list[Change] = []
        for table, slots in zip(self.tables, self.target.current(), strict=True):
            # Part of all requests that a slot moves.
            slot_part = len(table.request_classes) / class_count / max(1, sum(slots.values()))
            least_change = self.flow.line_price / (slot_part * SLOTS_PER_HOST)
            host_table.min_slot_change = max(host_table.min_slot_change, least_change)
            has_no_warm_host = not self._keeps_warm_host(table, slots)
            for host in slots.keys() | table.published.keys():
                count = slots.get(host, 0)
                if count == table.published.get(host, 0) or host in self.drains.pending:
                    continue
                gain = benefit(table.published.get(host, 0), count, slot_part, urgency)
                is_urgent = self._is_urgent(table, host, count) or has_no_warm_host
                if host in self.drains.withdrawn:
                    is_back = host_table.state[host] is HostState.READY
                    gain = gain if is_back else self._gain_of_withdrawn(host, now)
                    is_urgent = has_no_warm_host and is_back
                changes.append(Change(gain, is_urgent, table, host, count))
        return changes

    def _urgency_by_latency(self) -> float:
        """Returns the factor on all benefits: changes are worth more where answers are late."""
        latency = LATENCY_FACTOR * self.host_table.mean_latency_us
        lateness: float = latency / self.host_table.latency_objective_us
        return max(1.0, lateness**LATENCY_EXPONENT)

    def _keeps_warm_host(self, table: RoutingTable, slots: dict[int, int]) -> bool:
        """Whether a published warm host stays.

        Guards against proxies without an endpoint: if none stays, all changes go out at once.
        """
        return any(
            host in slots and self.host_table.weight_cap[host] == NO_CAP for host in table.published
        )

    def _is_urgent(self, table: RoutingTable, host: int, count: int) -> bool:
        """Whether a host leaves for good, or is warming and loses much of its slot."""
        before = table.published.get(host, 0)
        is_warming = self.host_table.weight_cap[host] < NO_CAP
        has_fallen = is_warming and count < URGENT_FALL * before
        return has_fallen or (not count and host not in self.host_table.outside_subset)

    def _gain_of_withdrawn(self, host: int, now: int) -> float:
        """Returns the gain of removing an unused line: 1 if the host soon expires, else 0."""
        removed_us = now - self.host_table.heard_at_us[host]
        return float(2 * removed_us > REMOVED_HOST_TTL_US)


def benefit(before: int, count: int, slot_part: float, urgency: float) -> float:
    """Returns the benefit of a changed slot; one that falls counts by how far it falls.

    Args:
        before: Published slots of the host.
        count: Slots that it should have.
        slot_part: Part of a proxy's requests that a slot moves.
        urgency: Factor on all benefits.
    """
    strain = max(1.0, before / max(1, count)) if before else NEW_SLOT_FACTOR
    return urgency * (count - before) ** 2 / max(count, before) * slot_part * strain
