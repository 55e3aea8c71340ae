"""Flow control: what is written and what waits while the channel is busy."""

import math
import random

import pytest
from support.controller_bench import large_bench, ready_bench, report_requests
from support.controller_model import (
    DRAINING,
    GONE,
    READY,
    SECOND,
    Bench,
    entry,
    full_list,
    host_changes,
    start_facts,
)

from plankroute.controller.controller import Controller
from plankroute.events import commands, events
from plankroute.state.publishing_status import LineKind


def test_deferrable_lines_wait_for_acknowledgements_but_drains_do_not() -> None:
    bench = ready_bench(backlog_cap_lines=400)
    bench.channel_lines_per_s = 0.0
    report_requests(
        bench, 20, time_ms=lambda host: random.Random(host + bench.now).uniform(50, 900)
    )
    assert bench.peak_queued_lines <= 400
    assert commands.SetRoute(0, 100, 0.0) in bench.deliver(host_changes(entry(100, DRAINING)))


@pytest.mark.parametrize("grace_s", [2, 4, 30])
def test_after_a_restart_all_proxies_are_bound_within_the_drain_grace(
    grace_s: int,
) -> None:
    """Guards against the use of hosts that were removed before the restart.

    The endpoint list does not name them any longer, so they cannot be withdrawn: old tables that
    hold them have to be replaced within the drain grace.
    """
    facts = start_facts(proxy_count=30, drain_grace_us=grace_s * SECOND)
    bench = Bench(facts)
    bench.deliver(full_list(*[entry(100 + i, zone=i % 3) for i in range(12)]))
    bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0, False) for p in range(30)])
    bench.pass_time(SECOND // 2)
    assert not bench.bound  # first weights are not decided yet
    bench.pass_time(min(grace_s, 7) * SECOND - SECOND // 2)
    assert len(bench.bound) == 30


def test_a_table_longer_than_the_bind_allowance_is_still_bound() -> None:
    """Guards against proxies that are never bound, with 500 hosts and 2,000 lines per second."""
    bench = Bench(
        start_facts(
            one_way_delay_us=0, max_one_way_delay_us=0, drain_grace_us=3 * SECOND, proxy_count=9
        )
    )
    bench.deliver(full_list(*[entry(100 + i, zone=i % 3) for i in range(500)]))
    bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0, True) for p in range(9)])
    bench.pass_time(8 * SECOND)
    assert len(bench.bound) == 9 and bench.peak_queued_lines <= 2 * 520


@pytest.mark.parametrize("seed", range(3))
def test_no_rule_is_broken_when_many_hosts_change_and_proxies_reconnect(seed: int) -> None:
    bench, rng = large_bench(seed)
    for _ in range(6):
        host = rng.randrange(100, 150)
        match rng.randrange(3):
            case 0:
                bench.deliver(
                    host_changes(*[entry(host + i, GONE, (host + i - 100) % 3) for i in range(10)])
                )
            case 1:
                bench.deliver(
                    host_changes(
                        *[
                            entry(host + i, READY, (host + i - 100) % 3, started_us=bench.now)
                            for i in range(10)
                        ]
                    )
                )
            case _:
                rejoining = rng.sample(range(100), 50)
                bench.deliver(*[events.ProxyLeft(p) for p in rejoining])
                bench.deliver(*[events.ProxyJoined(p, p % 3, 1.0, False) for p in rejoining])
        report_requests(bench, 2, time_ms=lambda _: math.exp(rng.gauss(5.5, 1.0)))
    bench.pass_time(10 * SECOND)
    assert len(bench.bound) == 100


def test_proxies_are_bound_while_slots_change_and_hosts_are_removed() -> None:
    """Guards against proxies without an endpoint, when slot changes fill the channel every turn."""
    facts = start_facts(
        channel_lines_per_s=600.0,
        backlog_cap_lines=6000,
        drain_grace_us=20 * SECOND,
        one_way_delay_us=400_000,
        proxy_count=60,
        health_checks_allowed=False,
    )
    bench = Bench(facts, controller=Controller(facts, 3))
    bench.deliver(full_list(*[entry(100 + n, zone=n % 3) for n in range(60)]))
    bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0 / (1 + p), True) for p in range(40)])
    drained = []
    for turn in range(14):
        if turn in (2, 4):
            drained += range(100 + 9 * (turn // 2 - 1), 109 + 9 * (turn // 2 - 1))
            bench.deliver(
                host_changes(*[entry(host, DRAINING, zone=(host - 100) % 3) for host in drained])
            )
        bench.deliver(
            *[
                events.HostRequestStats(
                    host, 0, 40, 0, 200_000 * (1 + (host + turn) % 7), SECOND, None
                )
                for host in range(100, 160)
                if host not in drained
            ]
        )
        bench.pass_time(SECOND)
    assert not bench.controller.publisher.unbound


def test_a_busy_channel_delays_an_ejection_by_at_most_a_turn() -> None:
    """Guards against ejected hosts that stay in tables for a third of a long drain grace."""
    facts = start_facts(
        proxy_count=100,
        backlog_cap_lines=40_000,
        drain_grace_us=30 * SECOND,
        max_unbound_us=60 * SECOND,
    )
    bench = Bench(facts)
    bench.deliver(full_list(*[entry(100 + i, zone=i % 3) for i in range(60)]))
    bench.deliver(*[events.ProxyJoined(p, p % 3, 5.0, True) for p in range(100)])
    bench.pass_time(8 * SECOND)
    publisher = bench.controller.publisher
    # As if a message had just been written and its lines were still queued.
    publisher.flow.round_trip_lines, publisher.last_message_us = 0.0, bench.now
    publisher.channel.charge([0], 1, LineKind.SLOT)
    bench.controller.host_table.ejected[0] = True
    bench.pass_time(SECOND // 2)
    assert 100 in bench.tables[0]
    bench.pass_time(SECOND)
    assert 100 not in bench.tables[0]
