"""Times of requests to the discovery service: slots by rank, growing rounds, Retry-After."""

from itertools import pairwise

import pytest

from plankroute.cold_start.backoff import (
    RETRY_BURST,
    BackoffFacts,
    RequestFailed,
    RequestScheduler,
    Started,
    WatchEnded,
)
from plankroute.cold_start.retry_after import parse_retry_after

SECOND = 1_000_000


def schedulers(controllers: int, rate: float = 20.0, **overrides: int) -> list[RequestScheduler]:
    facts = {"max_pause_us": 60 * SECOND, "max_retry_after_us": 30 * SECOND} | overrides
    return [
        RequestScheduler(BackoffFacts(rank, controllers, rate, **facts), rank + 1)
        for rank in range(controllers)
    ]


def max_requests_per_second(times: list[int]) -> int:
    times = sorted(times)
    return max(sum(at <= other < at + SECOND for other in times) for at in times)


def test_first_requests_of_a_hundred_controllers_use_the_service_rate_and_no_more() -> None:
    times = [scheduler.deliver(0, Started()).due_us for scheduler in schedulers(100)]
    assert max_requests_per_second(times) <= 21 and max(times) < 5.5 * SECOND


def test_in_an_outage_each_controller_fails_at_most_twice_and_is_served_soon_after() -> None:
    """Guards against simultaneous requests when the service recovers: all use the same rounds."""
    refused, served = [], []
    for scheduler in schedulers(100):
        due, times = scheduler.deliver(0, Started()).due_us, 0
        while due < 8 * SECOND:
            due, times = scheduler.deliver(due, RequestFailed()).due_us, times + 1
        refused.append(times)
        served.append(due)
    assert max(refused) <= 2 and max(served) < 17 * SECOND and max_requests_per_second(served) <= 21


def test_rounds_grow_in_a_long_outage_and_are_reset_by_a_successful_watch() -> None:
    (scheduler,) = schedulers(100)[50:51]
    due, dues = scheduler.deliver(0, Started()).due_us, []
    for _ in range(12):
        due = scheduler.deliver(due, RequestFailed()).due_us
        dues.append(due)
    gaps = [later - sooner for sooner, later in pairwise(dues)]
    assert max(gaps[:2]) < 8 * SECOND and 15 * SECOND < min(gaps[-3:]) <= max(gaps) <= 21.5 * SECOND
    wait_after_watch_us = (
        scheduler.deliver(due + 100 * SECOND, WatchEnded(100 * SECOND)).due_us - due - 100 * SECOND
    )
    assert 0 < wait_after_watch_us < 5.5 * SECOND


def test_watches_of_all_controllers_that_end_together_are_renewed_at_the_service_rate() -> None:
    times = []
    for scheduler in schedulers(100):
        due = scheduler.deliver(0, Started()).due_us
        times.append(scheduler.deliver(60 * SECOND, WatchEnded(60 * SECOND - due)).due_us)
    assert max_requests_per_second(times) <= 21 and max(times) < 65.5 * SECOND


def test_watches_that_end_immediately_exhaust_the_retry_budget() -> None:
    """Guards against ever more requests to a service that accepts watches and drops them."""
    (scheduler,) = schedulers(2)[:1]
    now, times = 0, []
    for _ in range(40):
        now = scheduler.deliver(now, WatchEnded(1000)).due_us
        times.append(now)
    assert max_requests_per_second(times) <= RETRY_BURST + 1 and times[-1] > 15 * SECOND


@pytest.mark.parametrize(
    "asked_us, min_wait_s, max_wait_s",
    [(3600 * SECOND, 30, 36), (12 * SECOND, 12, 18), (None, 0, 11), (0, 0, 11)],
)
def test_retry_after_is_honoured_up_to_its_limit(
    asked_us: int | None, min_wait_s: float, max_wait_s: float
) -> None:
    for scheduler in schedulers(100)[::9]:
        due = scheduler.deliver(0, Started()).due_us
        wait_us = scheduler.deliver(due, RequestFailed(asked_us)).due_us - due
        assert min_wait_s * SECOND <= wait_us <= max_wait_s * SECOND


def test_retry_after_is_parsed_as_seconds_or_date_and_otherwise_rejected() -> None:
    unix = 784_111_777.0  # Sun, 06 Nov 1994 08:49:37 GMT
    assert parse_retry_after(b"120", unix) == 120 * SECOND
    assert parse_retry_after(b"Sun, 06 Nov 1994 08:49:47 GMT", unix) == 10 * SECOND
    assert parse_retry_after(b"Sun, 06 Nov 1994 08:00:00 GMT", unix) == 0
    for invalid in (
        None,
        b"",
        b"soon",
        b"-5",
        b"1e9",
        b"99999999999999999999",
        b"\xff\xfe",
        b"Sun, 99 Nov",
    ):
        assert parse_retry_after(invalid, unix) is None
