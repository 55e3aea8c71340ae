"""The pause-aware clock and the local health multiplier."""

from plankroute.membership.local_health import LATE_WAKE_US, SETTLE_US, LocalHealth, PauseAwareClock
from plankroute.testbed.faults import SECOND


def test_the_clock_excludes_a_pause_of_the_process() -> None:
    clock = PauseAwareClock()
    before_us = clock.read(SECOND)
    clock.due_us = SECOND + 100_000
    assert clock.read(3 * SECOND) == before_us + 100_000 - SETTLE_US
    clock.due_us = 3 * SECOND + 100_000
    assert (
        clock.read(3 * SECOND + 100_000 + LATE_WAKE_US)
        == before_us + 200_000 + LATE_WAKE_US - SETTLE_US
    )


def test_unconfirmed_suspicions_at_most_double_the_timeout() -> None:
    health = LocalHealth()
    for index in range(1, 10):
        health.add_suspicion(index, 0)
    assert (
        health.timeout_multiplier(set(), SECOND) == 1.0
        and health.timeout_multiplier(set(), 3 * SECOND) == 2.0
    )
    assert health.timeout_multiplier(set(range(1, 9)), 3 * SECOND) == 1.25
    health.clear_suspicion(9)
    assert health.timeout_multiplier(set(range(1, 9)), 3 * SECOND) == 1.0
