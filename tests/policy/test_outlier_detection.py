"""Suspected hosts are checked, ejected and readmitted."""

from dataclasses import replace

import pytest
from support.controller_bench import feed, probes, ready_bench
from support.controller_model import (
    SECOND,
)

from plankroute.events import events
from plankroute.events.events import HealthCheckOutcome
from plankroute.policy.health import HostHealth


def test_late_reports_of_all_hosts_eject_none() -> None:
    bench = ready_bench()
    feed(bench, 4)
    bench.log.clear()
    bench.pass_time(10 * SECOND)
    assert not probes(bench.log) and len(bench.lines[0]) == 6


def test_a_silent_host_is_checked_ejected_and_readmitted_by_degrees() -> None:
    bench = ready_bench(hosts=9)
    feed(bench, 4)
    bench.log.clear()
    feed(bench, 2, skip=(100,))
    assert probes(bench.log) == {100}
    bench.give(events.HealthCheckResult(100, HealthCheckOutcome.TIMED_OUT, 500_000, None))
    bench.pass_time(SECOND // 4)
    assert 100 not in bench.lines[0]
    for _ in range(4):
        bench.give(events.HealthCheckResult(100, HealthCheckOutcome.ANSWERED, 20_000, None))
    bench.pass_time(1_100_000)
    assert 0 < bench.lines[0][100] <= bench.lines[0][101] / 2


def test_a_suspect_is_checked_again_at_once_and_no_more_than_it_takes() -> None:
    bench = ready_bench(hosts=9)
    feed(bench, 6)
    for host in bench.hosts:
        bench.give(
            events.HostRequestStats(host, 0, 9, 9 if host == 100 else 0, 200_000.0, SECOND, None)
        )
    bad = events.HealthCheckResult(100, HealthCheckOutcome.ERROR, 1000, None)
    assert probes(bench.give(bad)) == {100} and not bench.controller.host_table.ejected[0]
    assert not probes(bench.give(bad)) and bench.controller.host_table.ejected[0]
    assert not probes(bench.give(replace(bad, host=101)))  # no suspect


def test_half_of_the_hosts_may_fall_silent_but_no_more_than_three_quarters_are_ejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bench = ready_bench(hosts=12)
    feed(bench, 3)
    for _ in range(4):
        bench.give(
            *[
                events.HealthCheckResult(host, HealthCheckOutcome.TIMED_OUT, 500_000, None)
                for host in range(100, 106)
            ]
        )
        feed(bench, 1, skip=tuple(range(100, 106)))
    assert bench.lines[0].keys() == set(range(106, 112))
    ejected = bench.controller.host_table.ejected
    monkeypatch.setattr(HostHealth, "is_suspect", lambda self, reference_ratio: True)
    for others, spared in ((9, False), (8, True)):
        ejected[:] = [True] * others + [False] * (12 - others)
        bench.give(
            *[events.HealthCheckResult(109, HealthCheckOutcome.TIMED_OUT, 500_000, None)] * 2
        )
        assert ejected[9] is spared


def test_a_mass_disconnect_checks_all_hosts_and_ejects_unreachable_ones_at_once() -> None:
    """Guards against a cut that only sums tell of, seconds late."""
    bench = ready_bench(hosts=12, proxies=12)
    feed(bench, 3)
    assert not probes(bench.give(events.ProxyLeft(0)))  # one alone tells nothing
    bench.pass_time(2 * SECOND)
    asked = probes(bench.give(*[events.ProxyLeft(p) for p in range(1, 8)]))
    assert asked == set(range(100, 112))
    near = {host for host in asked if bench.hosts[host].zone == 0}
    bench.give(
        *[
            events.HealthCheckResult(
                host,
                HealthCheckOutcome.ANSWERED if host in near else HealthCheckOutcome.UNREACHABLE,
                1000,
                None,
            )
            for host in asked
        ]
    )
    bench.pass_time(SECOND // 5)
    assert bench.lines[0].keys() == near


def test_two_zones_of_three_that_fail_everything_are_told_from_the_one_that_serves() -> None:
    bench = ready_bench(hosts=12)
    far = {host for host, item in bench.hosts.items() if item.zone}
    feed(bench, 3)
    for _ in range(3):
        feed(bench, 1, failed=lambda host: 8 if host in far else 0)
        asked = probes(bench.log[-40:])
        bench.give(
            *[
                events.HealthCheckResult(host, HealthCheckOutcome.UNREACHABLE, 1000, None)
                for host in asked
            ]
        )
    bench.pass_time(SECOND)
    assert bench.lines[0].keys() == bench.hosts.keys() - far


def test_an_old_health_check_of_another_controller_counts_for_nothing() -> None:
    bench = ready_bench()
    speed = list(bench.controller.host_table.health_check_rate)
    bench.give(
        events.HealthCheckResult(100, HealthCheckOutcome.ANSWERED, 1000, None, age_us=60 * SECOND)
    )
    assert bench.controller.host_table.health_check_rate == speed
    bench.give(
        events.HealthCheckResult(100, HealthCheckOutcome.ANSWERED, 1000, None, age_us=SECOND)
    )
    assert bench.controller.host_table.health_check_rate != speed
