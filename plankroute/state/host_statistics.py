"""Host statistics in parallel arrays under a small dense index; storage only, no decision."""

from collections.abc import Callable, Iterable
from itertools import groupby
from typing import Any

from plankroute.events.events import HostEntry, HostState, LoadReport

NO_CAP = float("inf")
NO_ZONE = -1


class HostStatistics:
    """One index a host: ids are mapped at the entry point; the index of a removed host is another's next."""

    def __init__(self) -> None:
        self.index_of: dict[int, int] = {}
        self.free_indices: list[
            int
        ] = []  # places of hosts that were removed: not ready, and in no index
        self.host_ids: list[int] = []
        self.name_order: list[int] = []  # from its name: the same at every steward
        # What the list says
        self.state: list[HostState] = []
        self.zone: list[int] = []
        self.machine_type: list[int] = []
        self.listed_weight: list[float] = []
        # The controller's
        self.weight: list[float] = []
        self.error: list[float | None] = []
        self.integral: list[float] = []
        self.effective_weight: list[float] = []  # the weight that its slot stands for, as pushed
        self.heard_since_turn: list[bool] = []  # heard since the last turn
        self.last_stats_us = self.stats_burst_us = (
            0  # the clock when the last sums came, and the first of those together
        )
        # Beside the controller
        self.weight_cap: list[float] = []  # the most that an entering host's weight counts for
        self.ejected: list[bool] = []
        self.probe_speed: list[float] = []  # probes a second, by the last one that was answered
        self.unreachable: list[bool] = []  # the last probe did not get through
        self.possibly_withdrawn = set[
            int
        ]()  # hosts that proxies back from elsewhere may hold back, where binds let back
        self.proxies = 0  # joined
        self.min_slot_change = 0.0  # what a line costs, as a part of a usual slot
        self.channel_constrained = (
            False  # writing all slots takes more than a turn's room in the channel
        )
        self.most = 0  # warm hosts listed ready at once, at any time so far
        # Fading sums of the recent past; held is what load reports told
        self.attempts: list[float] = []
        self.failed: list[float] = []
        self.latency_sum_us: list[float] = []
        self.reports: list[float] = []
        self.in_flight_sum: list[float] = []
        self.decayed_at_us: list[int] = []  # the clock when the sums were last faded
        self.heard_at_us: list[int] = []  # the clock at the last word

    def add(self, entry: HostEntry) -> int:
        """The place of a host not seen before; it is not ready until its entry is handled."""
        index = self.index_of[entry.host] = (
            self.free_indices.pop() if self.free_indices else len(self.host_ids)
        )
        weight = entry.listed_weight or 1.0
        for array, value in (
            (self.host_ids, entry.host),
            (self.name_order, entry.name_order or entry.host),
            (self.state, HostState.GONE),
            (self.zone, entry.zone),
            (self.machine_type, entry.machine_type),
            (self.listed_weight, weight),
            (self.weight, weight),
            (self.weight_cap, NO_CAP),
            (self.ejected, False),
            (self.unreachable, False),
            (self.probe_speed, 0.0),
            (self.error, None),
            (self.integral, 0.0),
            (self.heard_since_turn, False),
            (self.effective_weight, 0.0),
            (self.attempts, 0.0),
            (self.failed, 0.0),
            (self.latency_sum_us, 0.0),
            (self.reports, 0.0),
            (self.in_flight_sum, 0.0),
            (self.decayed_at_us, 0),
            (self.heard_at_us, 0),
        ):
            array[index : index + 1] = [value]
        return index

    def remove(self, host: int) -> int:
        """Its place, which counts nowhere from here."""
        self.free_indices.append(index := self.index_of.pop(host))
        self.zone[index] = NO_ZONE
        return index

    def ready(self) -> list[int]:
        return [i for i, state in enumerate(self.state) if state is HostState.READY]

    def eligible(self) -> list[int]:
        """Hosts that may be sent txns."""
        return [i for i in self.ready() if not self.ejected[i] and self.weight_cap[i] > 0]

    def removed_share(self, zone: int) -> float:
        """Of the hosts of a zone that are known, those listed draining or gone."""
        places = [i for i in self.index_of.values() if self.zone[i] == zone]
        return sum(self.state[i] is not HostState.READY for i in places) / max(1, len(places))

    def capped_weight(self, index: int) -> float:
        return min(self.weight[index], self.weight_cap[index])

    def add_load_report(self, index: int, report: LoadReport | None) -> None:
        if report and report.in_flight is not None and 0 <= report.in_flight < NO_CAP:
            self.reports[index] += 1
            self.in_flight_sum[index] += report.in_flight

    def normalise_weights(self, places: list[int]) -> None:
        """Their weights to a mean of 1."""
        scale = len(places) / sum(self.weight[i] for i in places)
        for i in places:
            self.weight[i] *= scale

    def note_stats_arrival(self, now: int, apart_us: int) -> None:
        """Sums came: together with those before, if no more time lies between."""
        self.stats_burst_us = now if now - self.last_stats_us > apart_us else self.stats_burst_us
        self.last_stats_us = now

    def decay(self, index: int, now: int, half_life_us: int) -> None:
        self.scale_sums(index, 0.5 ** ((now - self.decayed_at_us[index]) / half_life_us))
        self.decayed_at_us[index] = now

    def scale_sums(self, index: int, keep: float) -> None:
        for sums in (
            self.attempts,
            self.failed,
            self.latency_sum_us,
            self.reports,
            self.in_flight_sum,
        ):
            sums[index] *= keep


def group_by(places: Iterable[int], key: Callable[[int], Any]) -> list[list[int]]:
    """Places that have the same key, group by group."""
    return [list(group) for _, group in groupby(sorted(places, key=key), key)]
