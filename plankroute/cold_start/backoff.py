"""Schedules requests to the discovery service: the first, retries, and those after a watch ends.

Backoff with jitter (AWS Builders' Library, "Timeouts, retries, and backoff with jitter") within
time slots by rank. The schedule depends only on the settings and on the outcomes of this
controller's own requests, never on assumptions about what other controllers do.
"""

from dataclasses import dataclass

from plankroute.seeded_random import SeededRandom
from plankroute.token_bucket import TokenBucket
from plankroute.units import SECOND_US

# Lengthens each round by 5%, so that all controllers together request less often than the service
# can answer.
ROUND_SLACK = 1.05
# Shortest round: keeps a small group from requesting too often from a service that fails.
MIN_ROUND_US = SECOND_US // 2
# Number of consecutive failures from which on rounds grow; most outages end sooner.
FAILURES_UNTIL_GROWTH = 3
ROUND_GROWTH = 1.5
# Longest round as a multiple of the base round; `max_pause_us` may limit it further.
MAX_GROWTH = 4
# Capacity of the retry budget, which refills by one retry per base round. It limits the requests
# after watches that end soon after they were opened.
RETRY_BURST = 3


@dataclass(frozen=True, slots=True)
class BackoffFacts:
    """Settings of the backoff; times are in microseconds.

    Attributes:
        rank: Index of this controller among all controllers, from 0.
        controller_count: Maximum number of controllers.
        requests_per_second: Requests that the discovery service answers per second, summed over all
            controllers.
        max_pause_us: Longest round while requests fail.
        max_retry_after_us: Upper bound of the wait that a Retry-After field can ask for.
    """

    rank: int
    controller_count: int
    requests_per_second: float
    max_pause_us: int
    max_retry_after_us: int

    def base_round_us(self) -> int:
        """Return the time in which the service can answer one request of each controller."""
        seconds = self.controller_count / self.requests_per_second * ROUND_SLACK
        return max(MIN_ROUND_US, int(seconds * SECOND_US))


@dataclass(frozen=True, slots=True)
class Started:
    """The controller has started."""


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """A request returned no list: it was refused, broken, truncated or not answered.

    Attributes:
        retry_after_us: How long the service asked to wait; None if it did not ask.
    """

    retry_after_us: int | None = None


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """A watch that had returned a list has ended.

    Attributes:
        lasted_us: Microseconds from the request to the end of the watch.
    """

    lasted_us: int


Event = Started | RequestFailed | WatchEnded


@dataclass(frozen=True, slots=True)
class RequestAt:
    """Command: send the next request at monotonic time `due_us`."""

    due_us: int


class RequestScheduler:
    """Schedules requests in rounds, in which each controller has one slot by rank, with jitter.

    Guards against hundreds of simultaneous requests at the start and when the service recovers:
    each controller has its own slot in each round, so that all controllers together stay within
    the configured request rate. The cost: a watch that ends for one controller alone is renewed up
    to one round later.
    """

    def __init__(self, facts: BackoffFacts, seed: int) -> None:
        self.facts = facts
        self.random = SeededRandom(seed)
        self.base_round_us = facts.base_round_us()
        self.round_start_us = 0
        self.round_us = self.base_round_us
        self.consecutive_failures = 0
        self.retry_budget = TokenBucket(SECOND_US / self.base_round_us, RETRY_BURST)

    def deliver(self, now_us: int, event: Event) -> RequestAt:
        """Handle an event and return when the next request is due.

        Args:
            now_us: Monotonic time.
            event: How the previous request ended, or that the controller has started.
        """
        match event:
            case Started():
                return RequestAt(self.restart_rounds(now_us))
            case RequestFailed(retry_after_us):
                self.consecutive_failures += 1
                wait_us = min(retry_after_us or 0, self.facts.max_retry_after_us)
                return self.retry(now_us, now_us + wait_us)
            case WatchEnded(lasted_us) if lasted_us < self.base_round_us:
                # A service that accepts watches and soon drops them counts as failing.
                self.consecutive_failures += 1
                return self.retry(now_us, now_us)
            case WatchEnded():
                self.consecutive_failures = 0
                return self.retry(now_us, now_us, self.restart_rounds(now_us))

    def restart_rounds(self, now_us: int) -> int:
        """Start a new sequence of rounds, at the start or after a watch has ended.

        A watch most likely ends for all controllers at once, so that their rounds start together.

        Returns:
            The monotonic time of this controller's request in the first round.
        """
        self.round_start_us = now_us
        self.round_us = self.base_round_us
        self.consecutive_failures = 0
        return self.slot_us()

    def slot_us(self) -> int:
        """Return a random time within this controller's slot of the current round."""
        count = self.facts.controller_count
        position = (self.facts.rank % count + self.random.draw()) / count
        return self.round_start_us + int(position * self.round_us)

    def retry(self, now_us: int, not_before_us: int, due_us: int = 0) -> RequestAt:
        """Schedule the next request in this controller's slot of a later round.

        Args:
            now_us: Monotonic time.
            not_before_us: Earliest time of the request; the retry budget may delay it further.
            due_us: Time that is used if it is late enough; 0 to use a later round in any case.
        """
        not_before_us = max(not_before_us, now_us + self.retry_budget.wait_us(now_us))
        while due_us <= now_us or due_us < not_before_us:
            self.round_start_us += self.round_us
            self.round_us = self.next_round_us()
            due_us = self.slot_us()
        self.retry_budget.take(now_us)
        return RequestAt(due_us)

    def next_round_us(self) -> int:
        """Return the length of the next round, which grows with consecutive failures.

        It is never shorter than the base round, even if `max_pause_us` is.
        """
        growing_rounds = max(0, self.consecutive_failures - FAILURES_UNTIL_GROWTH + 1)
        grown_us = self.base_round_us * ROUND_GROWTH**growing_rounds
        limit_us = min(grown_us, MAX_GROWTH * self.base_round_us, self.facts.max_pause_us)
        return int(max(self.base_round_us, limit_us))
