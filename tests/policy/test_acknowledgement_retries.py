"""Proxies whose acknowledgement was rejected are asked for another one, within limits."""

from support.controller_bench import ready_bench
from support.controller_model import DRAINING, SECOND, Bench, entry, host_changes

from plankroute.events import commands, events

MAX_ACKNOWLEDGEMENT_US = 5 * SECOND // 2  # of `start_facts`: 4000 lines, 2000 a second, 0.5 s


def quiet_bench(**facts: object) -> Bench:
    """Returns a bench whose proxies are bound and have acknowledged all messages."""
    bench = ready_bench(**facts)
    bench.pass_time(5 * SECOND)
    assert not bench.controller.publisher.channel.unacknowledged
    bench.command_log.clear()
    return bench


def pinged(bench: Bench) -> list[int]:
    """Returns the proxies that were pinged, in order."""
    return [
        command.proxy for command in bench.command_log if isinstance(command, commands.PingProxy)
    ]


def test_a_proxy_whose_acknowledgement_was_rejected_is_pinged_until_it_acknowledges() -> None:
    """Guards against a quiet proxy that counts as cut off because its one answer was garbled."""
    bench = quiet_bench()
    bench.garbling_proxies = {1}
    bench.deliver(host_changes(entry(100, DRAINING)))
    bench.pass_time(MAX_ACKNOWLEDGEMENT_US)
    assert pinged(bench) == []  # an acknowledgement of another message could still come
    bench.pass_time(SECOND // 2)
    assert pinged(bench) == [1]
    bench.pass_time(2 * MAX_ACKNOWLEDGEMENT_US)
    assert pinged(bench) == [1, 1, 1]
    bench.garbling_proxies = set()
    bench.pass_time(8 * MAX_ACKNOWLEDGEMENT_US)
    assert pinged(bench) == [1, 1, 1, 1]


def test_lines_whose_acknowledgement_was_rejected_leave_the_accounting() -> None:
    """Guards against lines that count as unacknowledged for good if nothing else is written."""
    bench = quiet_bench()
    bench.garbling_proxies = {0, 1, 2, 3}
    bench.deliver(host_changes(entry(100, DRAINING)))
    bench.pass_time(SECOND)
    channel = bench.controller.publisher.channel
    assert channel.unacknowledged
    bench.garbling_proxies = set()
    bench.pass_time(MAX_ACKNOWLEDGEMENT_US)
    assert channel.unacknowledged == 0


def test_a_proxy_that_acknowledges_a_later_message_is_not_pinged() -> None:
    bench = quiet_bench()
    bench.garbling_proxies = {1}
    bench.deliver(host_changes(entry(100, DRAINING)))
    bench.pass_time(SECOND)
    bench.garbling_proxies = set()
    bench.deliver(host_changes(entry(101, DRAINING, 1, 1)))
    bench.pass_time(8 * MAX_ACKNOWLEDGEMENT_US)
    assert pinged(bench) == []


def test_a_proxy_that_left_or_joined_again_is_not_pinged() -> None:
    bench = quiet_bench()
    bench.deliver(*[events.AcknowledgementRejected(proxy) for proxy in (0, 1, 77)])
    bench.deliver(events.ProxyLeft(0), events.ProxyJoined(1, 1, 10.0, False))
    bench.pass_time(4 * MAX_ACKNOWLEDGEMENT_US)
    assert pinged(bench) == []
    assert not bench.controller.publisher.acknowledgement_rejected_us


def test_pings_leave_the_capacity_that_drains_need() -> None:
    """All proxies garble all answers: pings stop at the allowance, and a drain is written."""
    bench = quiet_bench(proxies=60, hosts=12, proxy_count=60)
    bench.garbling_proxies = set(range(60))
    publisher = bench.controller.publisher
    bench.deliver(*[events.AcknowledgementRejected(proxy) for proxy in range(60)])
    bench.pass_time(60 * SECOND)
    unacknowledged = publisher.channel.unacknowledged
    bench.pass_time(20 * SECOND)
    assert publisher.channel.unacknowledged == unacknowledged < bench.facts.backlog_cap_lines
    assert commands.SetRoute(0, 100, 0.0) in bench.deliver(host_changes(entry(100, DRAINING)))


def test_a_ping_is_written_even_if_the_allowance_is_smaller() -> None:
    """Guards against a site whose drain grace is no longer than its delay, where none would fit."""
    bench = quiet_bench(drain_grace_us=SECOND // 2)
    assert bench.controller.publisher.flow.allowance == 0
    bench.deliver(events.AcknowledgementRejected(1))
    bench.pass_time(MAX_ACKNOWLEDGEMENT_US + SECOND // 2)
    assert pinged(bench) == [1]
