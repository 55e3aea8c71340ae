"""First weights: the weights before the controller has statistics of its own."""

import math
import random

import pytest
from support.controller_bench import checked_hosts, ready_bench
from support.controller_model import (
    DRAINING,
    SECOND,
    Bench,
    entry,
    full_list,
    host_changes,
    start_facts,
)

from plankroute.controller.controller import Controller
from plankroute.events import commands, events
from plankroute.events.events import HealthCheckOutcome


def test_a_restarted_controller_takes_over_the_weights_of_old_tables() -> None:
    """Guards against equal weights after a restart, although attempts show the weights in use."""
    bench = Bench(start_facts(proxy_count=30, drain_grace_us=7 * SECOND))
    bench.deliver(
        full_list(
            *[entry(100 + i, zone=i % 3, machine_type=i % 2) for i in range(12)],
            entry(200),
            entry(201),
        )
    )
    bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0, False) for p in range(30)])
    for host in (200, 201):
        assert not bench.bound
        bench.deliver(
            *[
                events.HostRequestStats(host, 0, 9 if host % 2 else 3, 0, 2e5, SECOND, None)
                for host in range(100, 112)
            ]
        )
        bench.pass_time(SECOND // 2)
        # As if the channel were busy with withdrawals.
        bench.controller.publisher.flow.round_trip_lines = 100.0
        bench.deliver(host_changes(entry(host, DRAINING)))
        bench.channel_lines_per_s = 0.0
        bench.pass_time(SECOND // 2)
    # The first binds include the weights.
    assert bench.bound and bench.tables[0][101] > 2 * bench.tables[0][100]
    bench.channel_lines_per_s = bench.facts.channel_lines_per_s
    bench.pass_time(SECOND)
    assert len(bench.bound) == 30
    new_bench = ready_bench(proxies=2)
    assert new_bench.bound  # bound at once, since there are no old tables


@pytest.mark.parametrize("weight, health_checks_allowed", [(0.0, True), (0.0, False), (2.0, True)])
def test_first_health_checks_measure_the_speed_of_hosts_without_listed_sizes(
    weight: float, health_checks_allowed: bool
) -> None:
    """Guards against equal weights until the first statistics, seconds after the first requests."""
    bench = Bench(start_facts(health_checks_allowed=health_checks_allowed))
    bench.deliver(
        full_list(*[entry(100 + i, machine_type=i % 2, weight=weight * (1 + i)) for i in range(6)])
    )
    checked = checked_hosts(bench.deliver(events.ProxyJoined(0, 0, 10.0, True)))
    assert checked == (bench.hosts.keys() if health_checks_allowed and not weight else set())
    # Host 100 appears to answer at once.
    took_us = {host: 10_000 + host % 2 * 15_000 for host in checked} | {100: 1}
    bench.deliver(
        *[
            events.HealthCheckResult(host, HealthCheckOutcome.ANSWERED, took_us[host], None)
            for host in checked
        ]
    )
    bench.pass_time(SECOND // 10)
    lines = bench.tables[0]
    assert (
        bench.bound
        and (lines[102] > 1.5 * lines[101]) is bool(checked)
        and lines[100] < 2 * lines[102]
    )


def test_a_first_health_check_without_an_answer_does_not_delay_binds_for_long() -> None:
    bench = Bench(start_facts())
    bench.deliver(full_list(*[entry(100 + i) for i in range(6)]))
    checked = checked_hosts(bench.deliver(events.ProxyJoined(0, 0, 10.0, True)))
    bench.deliver(
        *[
            events.HealthCheckResult(host, HealthCheckOutcome.ANSWERED, 10_000, None)
            for host in checked - {100}
        ]
    )
    bench.pass_time(SECOND // 10)
    assert not bench.bound
    bench.pass_time(SECOND // 4)
    assert bench.bound and 0 < bench.tables[0][100] < bench.tables[0][101]


def test_a_restarted_controller_without_reports_in_time_uses_health_checks() -> None:
    """Guards against equal weights after a restart if the drain grace is too short for reports."""
    bench = Bench(start_facts(drain_grace_us=2 * SECOND))
    bench.deliver(full_list(*[entry(100 + i, machine_type=i % 2) for i in range(6)]))
    checked = checked_hosts(bench.deliver(events.ProxyJoined(0, 0, 10.0, False)))
    took_us = {host: 10_000 + host % 2 * 20_000 for host in checked}
    bench.deliver(
        *[
            events.HealthCheckResult(host, HealthCheckOutcome.ANSWERED, took_us[host], None)
            for host in checked
        ]
    )
    bench.pass_time(2 * SECOND)
    assert checked == set(range(100, 106)) and bench.tables[0][100] > 2 * bench.tables[0][101]


def test_first_weights_use_the_health_checks_that_were_answered_in_time() -> None:
    """Guards against weights that differ by a factor of hundreds between machine types.

    One host answers at once, and fewer than half of the hosts of another machine type have answered
    when binds can wait no longer.
    """
    bench = Bench(start_facts())
    bench.deliver(full_list(*[entry(100 + i, machine_type=i % 2) for i in range(20)]))
    bench.deliver(events.ProxyJoined(0, 0, 10.0, True))
    took_us = {host: 10_000 for host in range(100, 120) if host % 2 == 0 or host < 108} | {100: 1}
    bench.deliver(
        *[
            events.HealthCheckResult(host, HealthCheckOutcome.ANSWERED, took_us[host], None)
            for host in took_us
        ]
    )
    bench.pass_time(SECOND // 2)
    lines = bench.tables[0]
    assert len(lines) == 20 and max(lines.values()) <= 2 * min(lines.values())


def test_a_controller_with_too_few_reports_to_take_weights_over_does_not_wait_forever() -> None:
    bench = Bench(start_facts())
    bench.deliver(full_list(entry(100), entry(101)), events.ProxyJoined(0, 0, 1.0, False))
    bench.deliver(host_changes(entry(100, DRAINING)))  # withdrawn although binds wait
    assert commands.WithdrawHost(100, True) in bench.command_log
    bench.pass_time(7 * SECOND)
    assert bench.bound and bench.tables[0][101] > 0


def test_first_tables_of_many_controllers_do_not_favour_the_same_few_hosts() -> None:
    """Guards against overload by controllers that start together and share their health checks.

    The share that a host gets in the tables of all controllers together is bounded.
    """
    rng, total = random.Random(5), dict.fromkeys(range(100, 160), 0.0)
    took_us = {host: int(math.exp(rng.gauss(9.0, 0.6))) for host in total}
    for seed in range(20):
        bench = Bench(
            start_facts(controller_count=20),
            controller=Controller(start_facts(controller_count=20), seed),
        )
        bench.deliver(
            full_list(*[entry(host, zone=host % 3, started_us=bench.now) for host in total])
        )
        bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0, True) for p in range(4)])
        bench.deliver(
            *[
                events.HealthCheckResult(
                    host, HealthCheckOutcome.ANSWERED, took_us[host], None, age_us=SECOND
                )
                for host in total
                if rng.random() < 0.9
            ]
        )
        bench.pass_time(SECOND)
        lines = bench.tables[0]
        for host, weight in lines.items():
            total[host] += weight / sum(lines.values())
    mean = sum(total.values()) / len(total)
    assert max(total.values()) < 1.6 * mean and min(total.values()) > 0.4 * mean
