"""When this controller requests the list: first, again after a failure, and when a watch has ended.

Backoff with jitter (AWS Builders' Library, "Timeouts, retries, and backoff with jitter") within
time slots by rank. Decides for this controller alone, by what is configured and what it met; never
by what others are believed to do.
"""

from dataclasses import dataclass

from plankroute.seeded_random import SeededRandom
from plankroute.token_bucket import TokenBucket
from plankroute.units import SECOND_US

# Of a round: requests come a little slower than the service can answer.
ROUND_SLACK = 1.05
# The shortest round, of a small group: between requests to a service in trouble.
MIN_ROUND_US = SECOND_US // 2
# Rounds of the same length come first: most outages are over by then.
STEADY_ROUNDS = 3
ROUND_GROWTH = 1.5
# Rounds grow up to that many base lengths, as far as the configured longest pause allows.
MAX_GROWTH = 4
# Retries beyond one a round: watches that end soon after they came up.
RETRY_BURST = 3


@dataclass(frozen=True, slots=True)
class BackoffFacts:
    """Settings; times are microseconds.

    Attributes:
        rank: this controller's place among all, from 0.
        controller_count: how many there are at most.
        requests_per_second: what the list service answers, of all controllers together.
        max_pause_us: longest round of requests to a service that fails.
        max_retry_after_us: what a Retry-After may ask for at most.
    """

    rank: int
    controller_count: int
    requests_per_second: float
    max_pause_us: int
    max_retry_after_us: int

    def base_round_us(self) -> int:
        """The time in which the service answers one request of each controller."""
        seconds = self.controller_count / self.requests_per_second * ROUND_SLACK
        return max(MIN_ROUND_US, int(seconds * SECOND_US))


@dataclass(frozen=True, slots=True)
class Started:
    """The controller has started."""


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """A request brought no list: refused, broken, cut short or silent.

    `retry_after_us`: how long the service asks to wait.
    """

    retry_after_us: int | None = None


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """A watch that had brought a list has ended after that long."""

    lasted_us: int


Event = Started | RequestFailed | WatchEnded


@dataclass(frozen=True, slots=True)
class RequestAt:
    """Send the next request at that steady time."""

    due_us: int


class RequestScheduler:
    """Time is cut into rounds; this controller has one slot in each by its rank, with jitter.

    Guards against hundreds of requests at once, at the start and again when the service is back:
    each controller has a moment of its own in each round, and all together send no faster than the
    service is configured to answer. Harm: a watch that ends for one controller alone is renewed up
    to a round later.
    """

    def __init__(self, facts: BackoffFacts, seed: int) -> None:
        self.facts = facts
        self.random = SeededRandom(seed)
        self.base_round_us = facts.base_round_us()
        self.round_start_us = 0
        self.round_us = self.base_round_us
        self.failed_rounds = 0
        self.retry_budget = TokenBucket(SECOND_US / self.base_round_us, RETRY_BURST)

    def deliver(self, now_us: int, event: Event) -> RequestAt:
        """When the next request is due after that event."""
        match event:
            case Started():
                return RequestAt(self.restart_rounds(now_us))
            case RequestFailed(retry_after_us):
                self.failed_rounds += 1
                wait_us = min(retry_after_us or 0, self.facts.max_retry_after_us)
                return self.retry(now_us, now_us + wait_us)
            case WatchEnded(lasted_us) if lasted_us < self.base_round_us:
                # A service that accepts watches and drops them is in trouble too.
                self.failed_rounds += 1
                return self.retry(now_us, now_us)
            case WatchEnded():
                self.failed_rounds = 0
                return self.retry(now_us, now_us, self.restart_rounds(now_us))

    def restart_rounds(self, now_us: int) -> int:
        """Begin rounds anew: at the start, or when a watch ended, most likely for all at once.

        Returns:
            This controller's moment in the first round.
        """
        self.round_start_us = now_us
        self.round_us = self.base_round_us
        self.failed_rounds = 0
        return self.slot_us()

    def slot_us(self) -> int:
        """A moment within this controller's slot of the present round."""
        count = self.facts.controller_count
        position = (self.facts.rank % count + self.random.draw()) / count
        return self.round_start_us + int(position * self.round_us)

    def retry(self, now_us: int, not_before_us: int, due_us: int = 0) -> RequestAt:
        """In a round to come, as late as was asked for, as the budget of retries allows."""
        not_before_us = max(not_before_us, now_us + self.retry_budget.wait_us(now_us))
        while due_us <= now_us or due_us < not_before_us:
            self.round_start_us += self.round_us
            self.round_us = self.next_round_us()
            due_us = self.slot_us()
        self.retry_budget.take(now_us)
        return RequestAt(due_us)

    def next_round_us(self) -> int:
        """The length of the next round; it grows with the rounds that failed."""
        growing_rounds = max(0, self.failed_rounds - STEADY_ROUNDS + 1)
        grown_us = self.base_round_us * ROUND_GROWTH**growing_rounds
        limit_us = min(grown_us, MAX_GROWTH * self.base_round_us, self.facts.max_pause_us)
        return int(max(self.base_round_us, limit_us))
