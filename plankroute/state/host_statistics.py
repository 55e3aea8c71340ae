"""Host statistics in parallel arrays under a small dense index; storage only, no decision."""

from collections.abc import Callable, Iterable
from itertools import groupby
from typing import Any, Protocol, TypeVar

from plankroute.events.events import HostEntry, HostState, LoadReport

NO_CAP = float("inf")  # the weight cap of a host that is not limited
NO_ZONE = -1  # the zone at an index that no host has

ValueT = TypeVar("ValueT")


class Sortable(Protocol):
    """A key that can be sorted."""

    def __lt__(self, other: Any, /) -> bool:  # noqa: ANN401 - what a key compares with is its own matter
        """Whether this key comes before the other."""
        ...


KeyT = TypeVar("KeyT", bound=Sortable)


class HostStatistics:
    """Arrays of figures, one element a host, and figures of all hosts together.

    Host ids are mapped to an index where events come in; an index of a removed host is used again.
    Times are on the controller's clock, in microseconds. Attempts, failures, latencies and reports
    are exponentially decayed sums of the recent past: `decayed_at_us` is when each was last scaled.

    Attributes:
        index_of: Index by host id, in the order in which hosts were added.
        free_indices: Indexes of removed hosts. These are not ready and in no zone.
        host_ids: Host id.
        name_order: Order of the hosts' names, the same at every controller.
        state: State in the host list.
        zone: Zone in the host list.
        machine_type: Machine type in the host list.
        listed_weight: Weight in the host list, 1 where that states none.
        weight: Weight by the control loop; 1 is a usual host.
        error: Control error of the last turn, or None before the first.
        integral: Sum of past control errors.
        effective_weight: The weight that the published slots stand for.
        heard_since_turn: Request statistics came since the last turn.
        weight_cap: The most that the weight of a host that warms up counts for, or NO_CAP.
        ejected: Taken out of use for its health.
        unreachable: The last health check did not get through.
        health_check_rate: Health checks a second, by the last one that was answered.
        attempts: Sum of attempts.
        failed: Sum of failed attempts.
        latency_sum_us: Sum of the attempts' latencies.
        reports: Sum of load reports.
        in_flight_sum: Sum of the requests in flight that load reports told.
        decayed_at_us: When the host's sums were last decayed.
        heard_at_us: When anything was last heard of the host.
        last_stats_us: When request statistics last came, of any host.
        stats_burst_us: When the first of the request statistics came that came together last.
        possibly_withdrawn: Hosts that proxies back from other controllers may keep withdrawn, where
            binding a proxy ends that.
        proxies: Number of joined proxies that are not on interim tables.
        interim_routes: Hosts in the tables of the others, summed over these.
        min_slot_change: What a line costs, as a share of a host's usual slots.
        channel_constrained: Writing all slots takes more than a turn's room in the channel.
        max_warm_count: The most hosts that were ready and warm at once, at any time so far.
    """

    def __init__(self) -> None:
        self.index_of: dict[int, int] = {}
        self.free_indices: list[int] = []
        # Identity
        self.host_ids: list[int] = []
        self.name_order: list[int] = []
        # From the host list
        self.state: list[HostState] = []
        self.zone: list[int] = []
        self.machine_type: list[int] = []
        self.listed_weight: list[float] = []
        # The control loop's
        self.weight: list[float] = []
        self.error: list[float | None] = []
        self.integral: list[float] = []
        self.effective_weight: list[float] = []
        self.heard_since_turn: list[bool] = []
        # Health and warm-up
        self.weight_cap: list[float] = []
        self.ejected: list[bool] = []
        self.unreachable: list[bool] = []
        self.health_check_rate: list[float] = []
        # Decayed sums
        self.attempts: list[float] = []
        self.failed: list[float] = []
        self.latency_sum_us: list[float] = []
        self.reports: list[float] = []
        self.in_flight_sum: list[float] = []
        self.decayed_at_us: list[int] = []
        self.heard_at_us: list[int] = []
        # Of all hosts together
        self.last_stats_us = 0
        self.stats_burst_us = 0
        self.possibly_withdrawn: set[int] = set()
        self.proxies = 0
        self.interim_routes = 0
        self.min_slot_change = 0.0
        self.channel_constrained = False
        self.max_warm_count = 0

    def add(self, entry: HostEntry) -> int:
        """Adds a host not seen before; it counts as gone until its entry is handled.

        Returns:
            Its index.
        """
        index = self.free_indices.pop() if self.free_indices else len(self.host_ids)
        self.index_of[entry.host] = index
        weight = entry.listed_weight or 1.0
        _store(self.host_ids, index, entry.host)
        _store(self.name_order, index, entry.name_order or entry.host)

        _store(self.state, index, HostState.GONE)
        _store(self.zone, index, entry.zone)
        _store(self.machine_type, index, entry.machine_type)
        _store(self.listed_weight, index, weight)

        _store(self.weight, index, weight)
        _store(self.error, index, None)
        _store(self.integral, index, 0.0)
        _store(self.effective_weight, index, 0.0)
        _store(self.heard_since_turn, index, False)

        _store(self.weight_cap, index, NO_CAP)
        _store(self.ejected, index, False)
        _store(self.unreachable, index, False)
        _store(self.health_check_rate, index, 0.0)

        _store(self.attempts, index, 0.0)
        _store(self.failed, index, 0.0)
        _store(self.latency_sum_us, index, 0.0)
        _store(self.reports, index, 0.0)
        _store(self.in_flight_sum, index, 0.0)
        _store(self.decayed_at_us, index, 0)
        _store(self.heard_at_us, index, 0)
        return index

    def remove(self, host: int) -> int:
        """Removes a host (by id) that is not ready.

        Returns:
            The index that it had, which is free from now on.
        """
        index = self.index_of.pop(host)
        self.free_indices.append(index)
        self.zone[index] = NO_ZONE
        return index

    def ready(self) -> list[int]:
        """Returns the hosts that are listed ready."""
        return [index for index, state in enumerate(self.state) if state is HostState.READY]

    def eligible(self) -> list[int]:
        """Returns the hosts that may be sent requests: ready, not ejected, not capped to 0."""
        return [
            index
            for index in self.ready()
            if not self.ejected[index] and self.weight_cap[index] > 0
        ]

    def removed_share(self, zone: int) -> float:
        """Returns the share of a zone's known hosts that are listed draining or gone."""
        states = [self.state[index] for index in self.index_of.values() if self.zone[index] == zone]
        removed = sum(state is not HostState.READY for state in states)
        return removed / max(1, len(states))

    def capped_weight(self, index: int) -> float:
        """Returns a host's weight, at most its cap."""
        return min(self.weight[index], self.weight_cap[index])

    def add_load_report(self, index: int, report: LoadReport | None) -> None:
        """Adds a load report to a host's sums, if it tells the requests in flight."""
        if report is None or report.in_flight is None:
            return
        if 0 <= report.in_flight < NO_CAP:
            self.reports[index] += 1
            self.in_flight_sum[index] += report.in_flight

    def normalise_weights(self, indexes: list[int]) -> None:
        """Scales the weights of these hosts to a mean of 1."""
        scale = len(indexes) / sum(self.weight[index] for index in indexes)
        for index in indexes:
            self.weight[index] *= scale

    def note_stats_arrival(self, now: int, apart_us: int) -> None:
        """Notes that request statistics came.

        Args:
            now: Clock in microseconds.
            apart_us: They belong together with those before if no more time lies between.
        """
        if now - self.last_stats_us > apart_us:
            self.stats_burst_us = now
        self.last_stats_us = now

    def decay(self, index: int, now: int, half_life_us: int) -> None:
        """Decays a host's sums up to now, exponentially with the half-life."""
        self.scale_sums(index, 0.5 ** ((now - self.decayed_at_us[index]) / half_life_us))
        self.decayed_at_us[index] = now

    def scale_sums(self, index: int, keep: float) -> None:
        """Scales a host's sums to the part that is kept of them."""
        self.attempts[index] *= keep
        self.failed[index] *= keep
        self.latency_sum_us[index] *= keep
        self.reports[index] *= keep
        self.in_flight_sum[index] *= keep


def group_by(indexes: Iterable[int], key: Callable[[int], KeyT]) -> list[list[int]]:
    """Groups hosts that have the same key, the groups in the order of their keys."""
    return [list(group) for _, group in groupby(sorted(indexes, key=key), key)]


def _store(array: list[ValueT], index: int, value: ValueT) -> None:
    """Sets the element of a host; appends it if the index is the next one."""
    if index < len(array):
        array[index] = value
    else:
        array.append(value)
