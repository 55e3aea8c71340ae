"""The confirmations that a failure needs, and the suspicion timeout."""

from plankroute.membership import suspicion
from plankroute.testbed.faults import SECOND


def test_smaller_groups_need_fewer_confirmations_and_wait_longer() -> None:
    assert [
        suspicion.confirmations_needed(unsuspected) for unsuspected in (1, 2, 3, 5, 7, 300)
    ] == [
        1,
        1,
        2,
        3,
        4,
        4,
    ]
    timeouts_us = [
        suspicion.suspicion_timeout_us(needed, 10, 12, 3 * SECOND) for needed in (4, 3, 2, 1)
    ]
    assert timeouts_us == [0, SECOND, 2 * SECOND, 3 * SECOND]
    # A minority of the group waits longer.
    assert suspicion.suspicion_timeout_us(4, 4, 12, 3 * SECOND) == 3 * SECOND
    assert not suspicion.is_confirmed_failure(
        4, True, True, 4, SECOND, 0
    ) and suspicion.is_confirmed_failure(5, True, True, 4, SECOND, 0)
