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
        self.index: dict[int, int] = {}
        self.free: list[int] = []  # places of hosts that were removed: not ready, and in no index
        self.ids: list[int] = []
        self.mark: list[int] = []  # from its name: the same at every steward
        # What the list says
        self.state: list[HostState] = []
        self.zone: list[int] = []
        self.kind: list[int] = []
        self.listed: list[float] = []
        # The controller's
        self.weight: list[float] = []
        self.error: list[float | None] = []
        self.integral: list[float] = []
        self.standing: list[float] = []  # the weight that its slot stands for, as pushed
        self.news: list[bool] = []  # heard since the last turn
        self.sums_us = self.burst_us = (
            0  # the clock when the last sums came, and the first of those together
        )
        # Beside the controller
        self.cap: list[float] = []  # the most that an entering host's weight counts for
        self.shut: list[bool] = []
        self.speed: list[float] = []  # probes a second, by the last one that was answered
        self.cut: list[bool] = []  # the last probe did not get through
        self.once = set[
            int
        ]()  # hosts that proxies back from elsewhere may hold back, where binds let back
        self.proxies = 0  # joined
        self.least_move = 0.0  # what a line costs, as a part of a usual slot
        self.dear = False  # writing all slots takes more than a turn's room in the channel
        self.most = 0  # warm hosts listed ready at once, at any time so far
        # Fading sums of the recent past; held is what load reports told
        self.tries: list[float] = []
        self.voided: list[float] = []
        self.time_us: list[float] = []
        self.reports: list[float] = []
        self.held: list[float] = []
        self.faded_us: list[int] = []  # the clock when the sums were last faded
        self.heard_us: list[int] = []  # the clock at the last word

    def add(self, entry: HostEntry) -> int:
        """The place of a host not seen before; it is not ready until its entry is handled."""
        place = self.index[entry.host] = self.free.pop() if self.free else len(self.ids)
        weight = entry.weight or 1.0
        for array, value in (
            (self.ids, entry.host),
            (self.mark, entry.mark or entry.host),
            (self.state, HostState.GONE),
            (self.zone, entry.zone),
            (self.kind, entry.kind),
            (self.listed, weight),
            (self.weight, weight),
            (self.cap, NO_CAP),
            (self.shut, False),
            (self.cut, False),
            (self.speed, 0.0),
            (self.error, None),
            (self.integral, 0.0),
            (self.news, False),
            (self.standing, 0.0),
            (self.tries, 0.0),
            (self.voided, 0.0),
            (self.time_us, 0.0),
            (self.reports, 0.0),
            (self.held, 0.0),
            (self.faded_us, 0),
            (self.heard_us, 0),
        ):
            array[place : place + 1] = [value]
        return place

    def remove(self, host: int) -> int:
        """Its place, which counts nowhere from here."""
        self.free.append(place := self.index.pop(host))
        self.zone[place] = NO_ZONE
        return place

    def ready(self) -> list[int]:
        return [i for i, state in enumerate(self.state) if state is HostState.READY]

    def playing(self) -> list[int]:
        """Hosts that may be sent txns."""
        return [i for i in self.ready() if not self.shut[i] and self.cap[i] > 0]

    def gone_part(self, zone: int) -> float:
        """Of the hosts of a zone that are known, those listed draining or gone."""
        places = [i for i in self.index.values() if self.zone[i] == zone]
        return sum(self.state[i] is not HostState.READY for i in places) / max(1, len(places))

    def counted(self, place: int) -> float:
        return min(self.weight[place], self.cap[place])

    def add_report(self, place: int, report: LoadReport | None) -> None:
        if report and report.inflight is not None and 0 <= report.inflight < NO_CAP:
            self.reports[place] += 1
            self.held[place] += report.inflight

    def rescale(self, places: list[int]) -> None:
        """Their weights to a mean of 1."""
        scale = len(places) / sum(self.weight[i] for i in places)
        for i in places:
            self.weight[i] *= scale

    def hear(self, now: int, apart_us: int) -> None:
        """Sums came: together with those before, if no more time lies between."""
        self.burst_us = now if now - self.sums_us > apart_us else self.burst_us
        self.sums_us = now

    def age(self, place: int, now: int, half_life_us: int) -> None:
        self.fade(place, 0.5 ** ((now - self.faded_us[place]) / half_life_us))
        self.faded_us[place] = now

    def fade(self, place: int, keep: float) -> None:
        for sums in (self.tries, self.voided, self.time_us, self.reports, self.held):
            sums[place] *= keep


def grouped(places: Iterable[int], key: Callable[[int], Any]) -> list[list[int]]:
    """Places that have the same key, group by group."""
    return [list(group) for _, group in groupby(sorted(places, key=key), key)]
