"""Accounting of a controller's channel: the estimate of the lines that are still queued."""

from plankroute.state.channel import Channel
from plankroute.state.publishing_status import LineKind

SECOND_US = 1_000_000


def channel_with(lines: int, proxies: range) -> Channel:
    """Returns a channel after one message to each of the proxies.

    Its pace is 1000 lines per second, and acknowledgements take at most half a second.
    """
    channel = Channel(
        message_overhead_lines=4, lines_per_us=1e-3, max_acknowledgement_us=SECOND_US / 2
    )
    channel.charge(proxies, lines, LineKind.SLOT)
    channel.close_batch()
    return channel


def test_queued_lines_leave_at_the_stated_pace() -> None:
    channel = channel_with(lines=95, proxies=range(10))
    assert channel.queued == channel.unacknowledged == 1000
    channel.advance(SECOND_US // 4)
    assert channel.queued == 750


def test_lines_to_streams_that_ended_are_no_longer_queued() -> None:
    """Guards against an estimate that stays high for good after many proxies left at once.

    The controller would then write nothing but urgent changes.
    """
    channel = channel_with(lines=995, proxies=range(10))
    for proxy in range(9):
        channel.disconnect(proxy)
    channel.advance(0)
    assert channel.queued == channel.unacknowledged == 1000


def test_a_channel_slower_than_stated_keeps_lines_queued() -> None:
    """Guards against a slow channel that is filled to its backlog cap, so that drains wait."""
    channel = channel_with(lines=95, proxies=range(10))
    channel.advance(20 * SECOND_US)
    assert channel.queued == 500  # at the stated pace only half of the 1000 lines can be in flight
    channel.acknowledge(9, channel.sequence_number)
    channel.advance(21 * SECOND_US)
    assert channel.queued == 400


def test_a_message_without_content_costs_its_overhead_once() -> None:
    channel = channel_with(lines=0, proxies=range(1))
    assert channel.unacknowledged == 5
    channel.charge([3], 0, LineKind.OVERHEAD)
    channel.charge([3], 2, LineKind.SLOT)
    assert channel.unacknowledged == 5 + 7 and channel.written[LineKind.OVERHEAD] == 10
