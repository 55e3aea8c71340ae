"""When this steward calls the list service: first, again after a refusal, and when a watch has broken.

Decides for this steward alone, by what is stated and what it met; never by what others are believed to do."""

from dataclasses import dataclass
from email.utils import parsedate_to_datetime

from plankroute.seeded_random import SeededRandom
from plankroute.token_bucket import TokenBucket

SECOND_US = 1_000_000
SLACK = 1.05  # of a round: calls come a little slower than the service can answer
LEAST_ROUND_US = (
    SECOND_US // 2
)  # a small group's: half a second between calls to a service in trouble
STEADY_ROUNDS, GROWTH = 3, 1.5  # rounds of the same length first: most outages are over by then
LONGEST = 4  # rounds grow up to that many windows, as far as the stated longest pause allows
BURST = 3  # calls beyond one a round: watches that break soon after they came up


@dataclass(frozen=True, slots=True)
class BackoffFacts:
    """What is stated: times are microseconds."""

    rank: int
    controller_count: int
    calls_a_second: float
    pause_most_us: int
    retry_after_most_us: int

    def window_us(self) -> int:
        """In which the service answers one call of each steward."""
        return max(
            LEAST_ROUND_US, int(self.controller_count / self.calls_a_second * SLACK * SECOND_US)
        )


@dataclass(frozen=True, slots=True)
class Started:
    """The steward has started."""


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """A call brought no list: refused, broken, cut short or silent. `retry_after_us`: how long it asks to
    wait."""

    retry_after_us: int | None = None


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """A watch that had brought a list has ended after that long."""

    lasted_us: int


Event = Started | RequestFailed | WatchEnded


@dataclass(frozen=True, slots=True)
class RequestAt:
    due_us: int


class RequestScheduler:
    """Time is cut into rounds, in each of which this steward has one place by its rank, with some jitter.

    Guards against hundreds that call at once, at the start and again when the service is back: each has a
    moment of its own in each round, and all together call no faster than the service states that it
    answers. Harm: a watch that breaks for one steward alone is renewed up to a round later.
    """

    def __init__(self, facts: BackoffFacts, seed: int) -> None:
        self.facts, self.chance = facts, SeededRandom(seed)
        self.window_us = facts.window_us()
        self.round_us, self.length_us, self.rounds = 0, self.window_us, 0
        self.repeats = TokenBucket(SECOND_US / self.window_us, BURST)

    def deliver(self, now_us: int, event: Event) -> RequestAt:
        match event:
            case Started():
                return RequestAt(self.begin(now_us))
            case RequestFailed(retry_after_us):
                self.rounds += 1
                asked_us = min(retry_after_us or 0, self.facts.retry_after_most_us)
                return self.repeat(now_us, now_us + asked_us)
            case WatchEnded(lasted_us):
                if (
                    lasted_us < self.window_us
                ):  # a service that takes calls and drops them is in trouble too
                    self.rounds += 1
                    return self.repeat(now_us, now_us)
                self.rounds = 0
                return self.repeat(now_us, now_us, self.begin(now_us))

    def begin(self, now_us: int) -> int:
        """A new row of rounds: the start, or a break that most likely all met at the same moment."""
        self.round_us, self.length_us, self.rounds = now_us, self.window_us, 0
        return self.moment()

    def moment(self) -> int:
        """Within the present round, by rank: the others' are beside it, not on it."""
        facts = self.facts
        place = (facts.rank % facts.controller_count + self.chance.draw()) / facts.controller_count
        return self.round_us + int(place * self.length_us)

    def repeat(self, now_us: int, not_before_us: int, due_us: int = 0) -> RequestAt:
        """In a round to come, as late as was asked for, and only as the budget of repeats allows."""
        not_before_us = max(not_before_us, now_us + self.repeats.wait_us(now_us))
        while due_us <= now_us or due_us < not_before_us:
            self.round_us += self.length_us
            self.length_us = self.next_length_us()
            due_us = self.moment()
        self.repeats.take(now_us)
        return RequestAt(due_us)

    def next_length_us(self) -> int:
        grown = self.window_us * GROWTH ** max(0, self.rounds - STEADY_ROUNDS + 1)
        return int(
            max(self.window_us, min(grown, LONGEST * self.window_us, self.facts.pause_most_us))
        )


def retry_after_us(text: bytes | None, unix_s: float) -> int | None:
    """Both forms of RFC 9110, section 10.2.3: seconds, or a date of the day's clock; None where it says
    neither."""
    if text is None:
        return None
    said = text.decode("ascii", "replace").strip()
    if said.isdigit() and len(said) < 10:
        return int(said) * SECOND_US
    try:
        return max(0, int((parsedate_to_datetime(said).timestamp() - unix_s) * SECOND_US))
    except (TypeError, ValueError, OverflowError):
        return None
