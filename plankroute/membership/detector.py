"""Whom to probe, when to try again and by which other way, and when silence has lasted too long.

Knows nothing of verdicts: it says who did not answer for the whole patience."""

from dataclasses import dataclass

from plankroute.seeded_random import SeededRandom

# Between tries of a probe: thirteen in the usual patience. With 30% of datagrams lost one probe in 90,000
# then goes unanswered, and 300 members send 1.3 KB/s each; at 350 ms it is one in 500, and the suspicions
# and denials that follow make it 4 KB/s.
TRY_AGAIN_US = 200_000
HELPERS = 1  # members sent on an errand at each try from then on; another one each time
ERRANDS_US = 3 * TRY_AGAIN_US  # tries of its own come first: they cost a quarter, and most often do
SMALL = 6  # members: in a group this small each is probed once a second by each other one
MORE = (
    8  # members, of all, that probe a suspect at once when they hear of it: twice a verdict's votes
)
WATCH_US = 500_000  # between pings of a suspect: it has to hear of the suspicion


@dataclass(slots=True)
class PendingPing:
    """One member that is to answer; all tries bear the same number, and one answer to any of them ends it."""

    place: int
    number: int
    since_us: int
    again_us: int
    is_over: bool = False  # it went unanswered: tries go on, so that the suspect hears of it


@dataclass(frozen=True, slots=True)
class PingTask:
    """Ping the place under that number; `helpers`: how many others are sent there as well."""

    place: int
    number: int
    helpers: int


class FailureDetector:
    """Each member in turn, in an order that is drawn anew each round: the time to a first probe is
    bounded."""

    def __init__(self, probe_us: int, patience_us: int, chance: SeededRandom) -> None:
        self.probe_us, self.patience_us, self.chance = probe_us, patience_us, chance
        self.order: list[int] = []
        self.by_place: dict[int, PendingPing] = {}
        self.by_number: dict[int, PendingPing] = {}
        self.next_us = self.number = 0
        self.urgent: list[int] = []

    def hear_suspected(self, place: int, living: int) -> None:
        """A few look for themselves at once, drawn by each alone.

        Guards against a verdict that waits for chance to bring its voters round, where half of a group is
        gone.
        """
        if place not in self.by_place and self.chance.draw() * living < MORE:
            self.urgent.append(place)

    def draw(self, below: int) -> int:
        return int(self.chance.draw() * below)

    def between_us(self, living: int) -> int:
        return max(self.probe_us, 1_000_000 // max(1, living)) if living < SMALL else self.probe_us

    def due(
        self, now_us: int, living: set[int], slowness: float
    ) -> tuple[list[PingTask], list[int]]:
        """What to ask now, and the places whose patience has just run out."""
        for place in [place for place in self.by_place if place not in living]:
            self.end(place)
        asks, silent = self.try_again(now_us, slowness)
        asks += [
            self.begin(place, now_us)
            for place in dict.fromkeys(self.urgent)
            if place in living and place not in self.by_place
        ]
        self.urgent.clear()
        if now_us >= self.next_us and living:
            self.next_us = max(now_us, self.next_us + self.between_us(len(living)))
            if (place := self.next_place(living)) is not None:
                asks.append(self.begin(place, now_us))
        return asks, silent

    def try_again(self, now_us: int, slowness: float) -> tuple[list[PingTask], list[int]]:
        asks, silent = list[PingTask](), list[int]()
        for probe in self.by_place.values():
            if not probe.is_over and now_us - probe.since_us >= self.patience_us * slowness:
                probe.is_over = True
                silent.append(probe.place)
            if now_us >= probe.again_us:
                probe.again_us = now_us + (WATCH_US if probe.is_over else TRY_AGAIN_US)
                is_errand = not probe.is_over and now_us - probe.since_us >= ERRANDS_US
                asks.append(PingTask(probe.place, probe.number, HELPERS if is_errand else 0))
        return asks, silent

    def next_place(self, living: set[int]) -> int | None:
        """The next in turn that is living and not being asked already."""
        for _ in range(2):
            while self.order:
                if (place := self.order.pop()) in living and place not in self.by_place:
                    return place
            self.order = self.shuffled(sorted(living))
        return None

    def shuffled(self, places: list[int]) -> list[int]:
        for at in range(len(places) - 1, 0, -1):
            other = self.draw(at + 1)
            places[at], places[other] = places[other], places[at]
        return places

    def begin(self, place: int, now_us: int) -> PingTask:
        self.number += 1
        probe = PendingPing(place, self.number, now_us, now_us + TRY_AGAIN_US)
        self.by_place[place] = self.by_number[probe.number] = probe
        return PingTask(place, probe.number, 0)

    def answered(self, number: int) -> int | None:
        """The place that the answer is of; None where nobody was asked under that number."""
        if (probe := self.by_number.get(number)) is None:
            return None
        self.end(probe.place)
        return probe.place

    def end(self, place: int) -> None:
        if probe := self.by_place.pop(place, None):
            del self.by_number[probe.number]
