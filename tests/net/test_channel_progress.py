"""What acknowledgements show of the channel's progress."""

import pytest

from plankroute.net.proxies.channel_progress import ChannelProgress, is_later
from plankroute.state.channel import MAX_SEQUENCE_NUMBER


def test_progress_towards_a_number_ends_with_the_first_later_one() -> None:
    progress = ChannelProgress(memory_s=60.0)
    assert progress.last_progress_at(5) is None
    for sequence_number, now in ((3, 10.0), (5, 11.0), (5, 12.0), (7, 13.0), (5, 14.0), (3, 15.0)):
        progress.record(sequence_number, now)
    assert [progress.last_progress_at(number) for number in (2, 3, 4, 5, 6, 7, 8)] == [
        None,
        10.0,
        10.0,
        12.0,
        12.0,
        13.0,
        13.0,
    ]


def test_progress_continues_where_sequence_numbers_start_again() -> None:
    progress = ChannelProgress(memory_s=60.0)
    progress.record(MAX_SEQUENCE_NUMBER, 10.0)
    progress.record(1, 11.0)
    assert progress.last_progress_at(MAX_SEQUENCE_NUMBER) == 10.0
    assert progress.last_progress_at(2) == 11.0


def test_the_memory_is_bounded_by_time() -> None:
    progress = ChannelProgress(memory_s=2.0)
    for number in range(1, 100):
        progress.record(number, float(number))
    assert progress.last_progress_at(96) is None and progress.last_progress_at(97) == 97.0


@pytest.mark.parametrize(
    "first, second",
    [(1, 2), (1, 4096), (MAX_SEQUENCE_NUMBER, 1), (MAX_SEQUENCE_NUMBER - 9, 2000)],
)
def test_of_two_numbers_one_is_later(first: int, second: int) -> None:
    assert is_later(second, first) and not is_later(first, second)
    assert not is_later(first, first)
