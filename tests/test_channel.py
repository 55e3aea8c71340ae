"""The books of a controller's channel: what waits in it, as far as acknowledgements tell."""

from plankroute.state.channel import Channel

SECOND = 1_000_000


def channel_with(lines: int, proxies: range) -> Channel:
    """A thousand lines a second, answers after half a second at most, one message to each proxy."""
    channel = Channel(message_overhead_lines=4, lines_per_us=1e-3, answer_us=SECOND / 2)
    channel.charge(proxies, lines)
    channel.close()
    return channel


def test_queued_lines_leave_at_the_regular_pace():
    channel = channel_with(lines=95, proxies=range(10))
    assert channel.queued == channel.unacknowledged == 1000
    channel.advance(SECOND // 4)
    assert channel.queued == 750


def test_lines_to_streams_that_ended_are_queued_no_longer():
    """Guards against a queue that stays full for good, so that nothing ordinary is written, after many
    proxies have left at once."""
    channel = channel_with(lines=995, proxies=range(10))
    for proxy in range(9):
        channel.left(proxy)
    channel.advance(0)
    assert channel.queued == channel.unacknowledged == 1000


def test_a_channel_slower_than_stated_keeps_lines_queued():
    """Guards against a slow channel that is filled to its cap, so that drains wait behind ordinary lines."""
    channel = channel_with(lines=95, proxies=range(10))
    channel.advance(20 * SECOND)
    assert channel.queued == 500  # of a thousand without an answer half can be in flight
    channel.acknowledge(9, channel.sequence_number)
    channel.advance(21 * SECOND)
    assert channel.queued == 400
