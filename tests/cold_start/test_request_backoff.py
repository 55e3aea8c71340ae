"""When the list service is requested: slots by rank, growing rounds, Retry-After."""

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


def schedulers(controllers: int, rate: float = 20.0, **more: int) -> list[RequestScheduler]:
    facts = {"max_pause_us": 60 * SECOND, "max_retry_after_us": 30 * SECOND} | more
    return [
        RequestScheduler(BackoffFacts(rank, controllers, rate, **facts), rank + 1)
        for rank in range(controllers)
    ]


def busiest(times: list[int]) -> int:
    times = sorted(times)
    return max(sum(at <= other < at + SECOND for other in times) for at in times)


def test_first_requests_of_a_hundred_are_as_fast_as_the_service_and_no_faster() -> None:
    times = [scheduler.deliver(0, Started()).due_us for scheduler in schedulers(100)]
    assert busiest(times) <= 21 and max(times) < 5.5 * SECOND


def test_through_an_outage_each_fails_twice_at_most_and_nobody_waits_long_after_it() -> None:
    """Also the same rounds for all.

    Guards against requests that come all at once when the service is back.
    """
    refused, served = [], []
    for scheduler in schedulers(100):
        due, times = scheduler.deliver(0, Started()).due_us, 0
        while due < 8 * SECOND:
            due, times = scheduler.deliver(due, RequestFailed()).due_us, times + 1
        refused.append(times)
        served.append(due)
    assert max(refused) <= 2 and max(served) < 17 * SECOND and busiest(served) <= 21


def test_rounds_grow_in_a_long_outage_and_shrink_after_a_good_watch() -> None:
    (scheduler,) = schedulers(100)[50:51]
    due, dues = scheduler.deliver(0, Started()).due_us, []
    for _ in range(12):
        due = scheduler.deliver(due, RequestFailed()).due_us
        dues.append(due)
    gaps = [later - sooner for sooner, later in pairwise(dues)]
    assert max(gaps[:2]) < 8 * SECOND and 15 * SECOND < min(gaps[-3:]) <= max(gaps) <= 21.5 * SECOND
    again = (
        scheduler.deliver(due + 100 * SECOND, WatchEnded(100 * SECOND)).due_us - due - 100 * SECOND
    )
    assert 0 < again < 5.5 * SECOND


def test_a_watch_that_ends_everywhere_at_once_is_a_cold_start_too() -> None:
    times = []
    for scheduler in schedulers(100):
        due = scheduler.deliver(0, Started()).due_us
        times.append(scheduler.deliver(60 * SECOND, WatchEnded(60 * SECOND - due)).due_us)
    assert busiest(times) <= 21 and max(times) < 65.5 * SECOND


def test_watches_that_end_at_once_run_out_of_the_retry_budget() -> None:
    """Guards against a service that takes calls and drops them: it sees fewer calls, not more."""
    (scheduler,) = schedulers(2)[:1]
    now, times = 0, []
    for _ in range(40):
        now = scheduler.deliver(now, WatchEnded(1000)).due_us
        times.append(now)
    assert busiest(times) <= RETRY_BURST + 1 and times[-1] > 15 * SECOND


@pytest.mark.parametrize(
    "asked_us, least_s, most_s",
    [(3600 * SECOND, 30, 36), (12 * SECOND, 12, 18), (None, 0, 11), (0, 0, 11)],
)
def test_retry_after_is_heeded_within_its_bound(
    asked_us: int | None, least_s: float, most_s: float
) -> None:
    for scheduler in schedulers(100)[::9]:
        due = scheduler.deliver(0, Started()).due_us
        waits = scheduler.deliver(due, RequestFailed(asked_us)).due_us - due
        assert least_s * SECOND <= waits <= most_s * SECOND


def test_both_forms_of_retry_after_and_nonsense() -> None:
    unix = 784_111_777.0  # Sun, 06 Nov 1994 08:49:37 GMT
    assert parse_retry_after(b"120", unix) == 120 * SECOND
    assert parse_retry_after(b"Sun, 06 Nov 1994 08:49:47 GMT", unix) == 10 * SECOND
    assert parse_retry_after(b"Sun, 06 Nov 1994 08:00:00 GMT", unix) == 0
    for nonsense in (
        None,
        b"",
        b"soon",
        b"-5",
        b"1e9",
        b"99999999999999999999",
        b"\xff\xfe",
        b"Sun, 99 Nov",
    ):
        assert parse_retry_after(nonsense, unix) is None
