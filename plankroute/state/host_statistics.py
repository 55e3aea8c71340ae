"""Host statistics, stored in parallel arrays with a small dense index per host."""

from collections.abc import Callable, Iterable
from itertools import groupby
from typing import Any, Protocol, TypeVar

from plankroute.events.events import HostEntry, HostState, LoadReport

NO_CAP = float("inf")  # weight cap of a host whose weight is not limited
NO_ZONE = -1  # zone at the index of a removed host

ValueT = TypeVar("ValueT")


class Sortable(Protocol):
    """A type whose values can be sorted."""

    def __lt__(self, other: Any, /) -> bool:  # noqa: ANN401 - the key type decides
        """Returns whether this key sorts before the other."""
        ...


KeyT = TypeVar("KeyT", bound=Sortable)


class HostStatistics:
    """Arrays with one element per host, and figures over all hosts.

    Host ids are mapped to an index when events arrive. The index of a removed host is reused. Times
    are on the controller's clock, in microseconds. Attempts, failures, latencies and load reports
    are exponentially decayed sums; `decayed_at_us` is when the sums of a host were last decayed.

    Attributes:
        index_of: Index by host id, in the order in which hosts were added.
        free_indexes: Indexes of removed hosts, which are not ready and in no zone.
        host_ids: Host id.
        name_order: Sort key of the host's name, the same at every controller.
        state: State in the endpoint list.
        zone: Zone in the endpoint list.
        machine_type: Machine type in the endpoint list.
        listed_weight: Weight in the endpoint list, 1 where the list states none.
        weight: Weight set by the control loop; the mean is 1.
        error: Control error of the last turn with statistics, or None before the first.
        integral: Decayed sum of past control errors.
        effective_weight: Weight that the published slots represent. 0 if no slots are published, or
            if they must not bound `weight`.
        heard_since_turn: Whether request statistics arrived since the last turn.
        weight_cap: The most that the host's weight counts for while it warms up, or NO_CAP.
        ejected: Whether the host is out of use because of its health.
        unreachable: Whether the last health check got no connection. A rejected check does not
            change it.
        health_check_rate: Reciprocal of the time that the last answered health check took, per
            second.
        attempts: Sum of attempts.
        failed: Sum of failed attempts.
        latency_sum_us: Sum of the latencies of attempts.
        reports: Sum of load reports, each counted as 1.
        in_flight_sum: Sum of the requests in flight stated by load reports.
        decayed_at_us: When the host's sums were last decayed.
        heard_at_us: When the host was last heard of, for example by statistics or a change of its
            state.
        last_stats_us: When request statistics of any host last arrived.
        stats_burst_us: When the first request statistics of the latest burst arrived.
        proxies: Number of joined proxies that are not on interim tables.
        interim_routes: Number of hosts in interim tables, counted once per proxy on the table.
        min_slot_change: Price of a line as a share of a host's usual number of slots.
        channel_constrained: Whether writing every slot to every proxy would exceed the allowance
            of the channel.
        max_warm_count: Largest number of hosts that were ready and warm at the same time so far.
    """

    def __init__(self) -> None:
        self.index_of: dict[int, int] = {}
        self.free_indexes: list[int] = []
        # Identity
        self.host_ids: list[int] = []
        self.name_order: list[int] = []
        # From the endpoint list
        self.state: list[HostState] = []
        self.zone: list[int] = []
        self.machine_type: list[int] = []
        self.listed_weight: list[float] = []
        # From the control loop
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
        # Over all hosts
        self.last_stats_us = 0
        self.stats_burst_us = 0
        self.proxies = 0
        self.interim_routes = 0
        self.min_slot_change = 0.0
        self.channel_constrained = False
        self.max_warm_count = 0

    def add(self, entry: HostEntry) -> int:
        """Adds a host with the state GONE, which lasts until the host's actor handles its entry.

        Args:
            entry: The entry of a host that is not in the table.

        Returns:
            The index of the host.
        """
        index = self.free_indexes.pop() if self.free_indexes else len(self.host_ids)
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
        """Removes a host that is not ready.

        Args:
            host: Id of the host.

        Returns:
            The index that the host had, which may now be reused.
        """
        index = self.index_of.pop(host)
        self.free_indexes.append(index)
        self.zone[index] = NO_ZONE
        return index

    def ready(self) -> list[int]:
        """Returns the indexes of the hosts that are listed ready."""
        return [index for index, state in enumerate(self.state) if state is HostState.READY]

    def eligible(self) -> list[int]:
        """Returns the indexes of hosts that may get requests: ready, not ejected, cap above 0."""
        return [
            index
            for index in self.ready()
            if not self.ejected[index] and self.weight_cap[index] > 0
        ]

    def removed_share(self, zone: int) -> float:
        """Returns the share of a zone's hosts in the table that are draining or gone.

        For a zone without hosts this is 0.
        """
        states = [self.state[index] for index in self.index_of.values() if self.zone[index] == zone]
        removed = sum(state is not HostState.READY for state in states)
        return removed / max(1, len(states))

    def capped_weight(self, index: int) -> float:
        """Returns the host's weight, or its cap if that is lower."""
        return min(self.weight[index], self.weight_cap[index])

    def add_load_report(self, index: int, report: LoadReport | None) -> None:
        """Adds a load report to a host's sums.

        A report without a finite, non-negative number of requests in flight is ignored.
        """
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

    def note_stats_arrival(self, now: int, max_gap_us: int) -> None:
        """Records when request statistics arrived, and whether they start a new burst.

        Args:
            now: Time of arrival, in microseconds.
            max_gap_us: Longest time between consecutive arrivals of the same burst.
        """
        if now - self.last_stats_us > max_gap_us:
            self.stats_burst_us = now
        self.last_stats_us = now

    def decay(self, index: int, now: int, half_life_us: int) -> None:
        """Decays a host's sums exponentially up to `now`.

        Args:
            index: The host.
            now: Time in microseconds.
            half_life_us: Half-life of the sums, in microseconds.
        """
        self.scale_sums(index, 0.5 ** ((now - self.decayed_at_us[index]) / half_life_us))
        self.decayed_at_us[index] = now

    def scale_sums(self, index: int, factor: float) -> None:
        """Multiplies a host's sums by a factor; 0 clears them."""
        self.attempts[index] *= factor
        self.failed[index] *= factor
        self.latency_sum_us[index] *= factor
        self.reports[index] *= factor
        self.in_flight_sum[index] *= factor


def group_by(indexes: Iterable[int], key: Callable[[int], KeyT]) -> list[list[int]]:
    """Groups hosts by key.

    Returns:
        The hosts of each group, in the order of the groups' keys.
    """
    return [list(group) for _, group in groupby(sorted(indexes, key=key), key)]


def _store(array: list[ValueT], index: int, value: ValueT) -> None:
    """Sets the element at an index, or appends it if the index is the length of the array."""
    if index < len(array):
        array[index] = value
    else:
        array.append(value)
