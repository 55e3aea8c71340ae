"""How many confirmations a failure needs, and how long a suspicion stands."""

from plankroute.membership import suspicion
from plankroute.testbed.faults import SECOND


def test_fewer_confirmations_are_needed_where_fewer_can_confirm_and_they_take_longer() -> None:
    assert [suspicion.confirmations_needed(left) for left in (1, 2, 3, 5, 7, 300)] == [
        1,
        1,
        2,
        3,
        4,
        4,
    ]
    waits = [suspicion.suspicion_timeout_us(needed, 10, 12, 3 * SECOND) for needed in (4, 3, 2, 1)]
    assert waits == [0, SECOND, 2 * SECOND, 3 * SECOND]
    assert suspicion.suspicion_timeout_us(4, 4, 12, 3 * SECOND) == 3 * SECOND  # a small part
    assert not suspicion.is_confirmed_failure(
        4, True, True, 4, SECOND, 0
    ) and suspicion.is_confirmed_failure(5, True, True, 4, SECOND, 0)
