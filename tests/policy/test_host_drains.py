"""Draining and removed hosts are withdrawn within the drain grace."""

import pytest
from support.controller_bench import large_bench, ready_bench
from support.controller_model import (
    DRAINING,
    GONE,
    SECOND,
    Bench,
    entry,
    full_list,
    host_changes,
    start_facts,
)

from plankroute.controller.controller import Controller
from plankroute.events import commands, events
from plankroute.events.facts import StartFacts
from plankroute.policy.drains import Drains


def test_a_joining_proxy_is_bound_and_no_withdrawal_is_repeated() -> None:
    """Guards against withdrawals that are repeated whenever a proxy joins, and so delay drains."""
    bench, _ = large_bench(3)
    bench.channel_lines_per_s = bench.facts.channel_lines_per_s
    bench.pass_time(8 * SECOND)
    bench.deliver(host_changes(*[entry(100 + i, GONE, i % 3) for i in range(12)]))
    bench.pass_time(4 * SECOND)
    for proxy in range(20):
        bench.command_log.clear()
        bench.deliver(events.ProxyLeft(proxy), events.ProxyJoined(proxy, proxy % 3, 1.0, False))
        bench.pass_time(SECOND // 2)
        assert (proxy, 0) in bench.bound and not [
            o for o in bench.command_log if isinstance(o, commands.WithdrawHost)
        ]


def test_proxies_that_cannot_be_bound_in_time_use_no_removed_host() -> None:
    bench, _ = large_bench(3)
    bench.pass_time(8 * SECOND)
    removed = range(100, 112)
    bench.deliver(host_changes(*[entry(host, GONE, (host - 100) % 3) for host in removed]))
    bench.pass_time(4 * SECOND)
    bench.controller.publisher.flow.grace_slack_us = 2 * SECOND  # binding all proxies takes 3 s
    bench.deliver(
        *[events.ProxyLeft(p) for p in range(100)],
        *[events.ProxyJoined(p, p % 3, 1.0, False) for p in range(100)],
    )
    bench.pass_time(SECOND)
    for proxy in range(100):
        hosts = bench.usable_weights(proxy, 0)
        assert hosts and not hosts.keys() & set(removed)


def test_the_model_rejects_a_controller_that_writes_no_withdrawals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Drains, "withdraw", lambda self, host, room: 0)
    bench = ready_bench()
    bench.deliver(host_changes(entry(100, DRAINING)))
    with pytest.raises(AssertionError, match="drained"):
        bench.pass_time(2 * SECOND)


def drain_facts(drain_grace_s: int = 4) -> StartFacts:
    return start_facts(
        channel_lines_per_s=800.0,
        backlog_cap_lines=6000,
        drain_grace_us=drain_grace_s * SECOND,
        one_way_delay_us=100_000,
        proxy_count=60,
        health_checks_allowed=False,
    )


def drain(bench: Bench, hosts: range) -> None:
    bench.deliver(host_changes(*[entry(host, DRAINING, zone=(host - 100) % 3) for host in hosts]))


def join_from_other_controller(bench: Bench) -> None:
    """Lets forty proxies join within a second, as after the end of another controller."""
    for first in (10, 30):
        bench.deliver(
            *[
                events.ProxyJoined(proxy, proxy % 3, 10.0, False)
                for proxy in range(first, first + 20)
            ]
        )
        bench.pass_time(SECOND // 2)


def test_proxies_that_wait_for_first_weights_are_notified_of_the_newest_drains_first() -> None:
    """Guards against drains that another controller had not written before it ended.

    Its proxies join this controller and still use the draining hosts.
    """
    older, newer = range(150, 180), range(100, 120)
    facts = drain_facts(drain_grace_s=14)
    bench = Bench(facts, controller=Controller(facts, 3))
    bench.deliver(full_list(*[entry(100 + n, zone=n % 3) for n in range(120)]))
    drain(bench, older)
    bench.pass_time(2 * SECOND)
    drain(bench, newer)
    bench.pass_time(SECOND // 5)
    bench.command_log.clear()
    join_from_other_controller(bench)
    withdrawn = [
        command.host
        for command in bench.command_log
        if isinstance(command, commands.WithdrawHost) and command.withdrawn
    ]
    assert set(withdrawn[:20]) == set(newer)
    publisher = bench.controller.publisher
    assert publisher.unbound and all(
        publisher.notified[publisher.host_table.index_of[host]] for host in newer
    )


@pytest.mark.parametrize(
    ("older", "newer"), [(range(150, 180), range(100, 120)), (range(150, 152), range(100, 101))]
)
def test_proxies_of_another_controller_use_no_drained_host_after_a_second(
    older: range, newer: range
) -> None:
    """Guards against drains that another controller had not written before it ended.

    In contrast to the previous test, this controller has decided its first weights.
    """
    facts = drain_facts()
    bench = Bench(facts, controller=Controller(facts, 3))
    bench.deliver(full_list(*[entry(100 + n, zone=n % 3) for n in range(120)]))
    bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0, True) for p in range(4)])
    bench.pass_time(5 * SECOND)
    drain(bench, older)
    bench.pass_time(2 * SECOND)
    drain(bench, newer)
    bench.pass_time(SECOND // 5)
    join_from_other_controller(bench)
    publisher = bench.controller.publisher
    assert not publisher.unbound and publisher.interim
    for proxy in range(10, 50):
        hosts = bench.usable_weights(proxy, 0)
        assert hosts and not hosts.keys() & {*older, *newer}


def test_hosts_that_return_are_reinstated_only_as_the_channel_has_capacity() -> None:
    """Guards against exceeding the backlog cap when a zone returns while many proxies wait."""
    facts = start_facts(
        proxy_count=100,
        backlog_cap_lines=1500,
        channel_lines_per_s=1000.0,
        drain_grace_us=20 * SECOND,
        max_unbound_us=60 * SECOND,
        health_checks_allowed=False,
    )
    bench = Bench(facts, controller=Controller(facts, 3))
    bench.deliver(full_list(*[entry(100 + n, zone=n % 3) for n in range(60)]))
    zone = range(100, 160, 3)
    bench.deliver(host_changes(*[entry(host, GONE) for host in zone]))
    publisher = bench.controller.publisher
    # The proxies wait for the first weights and are notified of withdrawals meanwhile.
    bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0, False) for p in range(100)])
    bench.pass_time(3 * SECOND)
    assert publisher.unbound and publisher.withdrawn
    bench.deliver(host_changes(*[entry(host) for host in zone]))
    bench.pass_time(12 * SECOND)  # the bench fails if the queue exceeds the backlog cap
    assert not publisher.withdrawn
