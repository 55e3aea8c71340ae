"""The fleet rules report each violation, and the paced channel keeps its rate."""

import asyncio
import random

from plankroute.testbed.fleet_rules import FleetRules, RuleName, RuleParameters
from plankroute.testbed.paced_channel import PacedChannel, QueuedMessage
from plankroute.testbed.roaming_proxies import RoamingProxy, line_count

PARAMETERS = RuleParameters(
    drain_grace_s=3.0,
    max_unbound_s=5.0,
    warmup_s=10.0,
    start_capacity=0.25,
    overload_multiple=3.0,
    overload_window_s=2.0,
    backlog_cap=100,
    host_capacity=10.0,
    proxy_rate=20.0,
)


def make_rules(*hosts: str) -> tuple[FleetRules, RoamingProxy, PacedChannel]:
    """Returns rules for one proxy, which joined at 100 s and uses these hosts, all warm."""
    channel = PacedChannel(lines_per_s=100.0, delay_s=0.0)
    proxy = RoamingProxy(0, [("", 0)], [channel], random.Random(1))
    proxy.controller = 0
    proxy.joined_s = 100.0
    proxy.weights = dict.fromkeys(hosts, 1.0)
    rules = FleetRules(PARAMETERS, [proxy], [channel])
    for host in hosts:
        rules.host_started(host, 0.0)
    return rules, proxy, channel


def check_at(rules: FleetRules, *times_s: float) -> set[RuleName]:
    """Checks the rules at these times; returns all rules violated so far."""
    for time_s in times_s:
        rules.check(time_s)
    return set(rules.violations.first)


def test_a_removed_host_in_use_violates_drain_after_the_grace_and_its_slack() -> None:
    rules, proxy, _ = make_rules("h1", "h2")
    rules.host_removed("h1", 50.0)  # before the proxy joined: its time counts from 100 s
    assert not check_at(rules, 103.2)
    assert check_at(rules, 103.4) == {RuleName.DRAIN}
    assert rules.violations.counts[RuleName.DRAIN] == 1
    proxy.drained.add("h1")
    check_at(rules, 110.0)
    assert rules.violations.counts[RuleName.DRAIN] == 1


def test_a_proxy_without_a_host_violates_lost_where_a_warm_host_is_ready() -> None:
    rules, proxy, _ = make_rules("h1")
    proxy.weights = {"h1": 0.0}
    assert not check_at(rules, 100.0, 105.2)
    assert check_at(rules, 105.4) == {RuleName.LOST}


def test_a_proxy_without_a_host_violates_nothing_where_all_hosts_are_cold() -> None:
    rules, proxy, _ = make_rules("h1")
    proxy.weights = {}
    rules.host_started("h1", 99.0)
    assert not check_at(rules, 100.0, 108.0)


def test_a_cold_host_violates_overload_when_it_receives_too_much_for_too_long() -> None:
    rules, _, _ = make_rules("h1")
    rules.host_started("h1", 100.0)  # may receive 7.5 requests a second, receives 20
    assert not check_at(rules, 100.0, 102.2)
    assert check_at(rules, 102.4) == {RuleName.OVERLOAD}


def test_a_retry_policy_that_repeats_effects_violates_duplicate() -> None:
    rules, proxy, _ = make_rules("h1")
    proxy.note_retry_policy(["push", "gate=1", "again=1"])
    assert not check_at(rules, 100.0)
    proxy.note_retry_policy(["push", "gate=1", "again=2"])
    assert check_at(rules, 100.0) == {RuleName.DUPLICATE}


def test_lines_over_the_cap_violate_backlog() -> None:
    async def run() -> set[RuleName]:
        rules, _, channel = make_rules("h1")
        for _ in range(2):
            channel.enqueue(QueuedMessage(51.0, lambda: True, lambda: None))
        return check_at(rules, 100.0)

    assert asyncio.run(run()) == {RuleName.BACKLOG}


def test_messages_take_effect_in_order_at_the_channel_s_rate_and_lost_ones_take_no_time() -> None:
    async def run() -> tuple[list[str], float]:
        channel = PacedChannel(lines_per_s=1000.0, delay_s=0.01)
        loop = asyncio.get_running_loop()
        delivered: list[str] = []
        done = asyncio.Event()

        def deliver(name: str) -> None:
            delivered.append(name)
            if name == "last":
                done.set()

        began_s = loop.time()
        channel.enqueue(QueuedMessage(100.0, lambda: True, lambda: deliver("first")))
        channel.enqueue(QueuedMessage(60_000.0, lambda: False, lambda: deliver("lost")))
        channel.enqueue(QueuedMessage(50.0, lambda: True, lambda: deliver("last")))
        assert channel.waiting_lines() == 150.0
        await asyncio.wait_for(done.wait(), 30.0)
        return delivered, loop.time() - began_s

    delivered, took_s = asyncio.run(run())
    assert delivered == ["first", "last"]
    assert took_s >= 0.15


def test_lines_are_counted_as_the_channel_counts_them() -> None:
    words = [
        "push",
        "replace=1",
        "rows=a:1,b:2",
        "gate=1",
        "again=1",
        "drop=c",
        "undrop=d,e",
        "stamp=7",
        "part=1",
    ]
    assert line_count(words) == 1 + 2 + 1 + 1 + 2 + 1
