"""Outlier detection: suspected hosts are checked, ejected and readmitted."""

from dataclasses import replace

import pytest
from support.controller_bench import checked_hosts, ready_bench, report_requests
from support.controller_model import (
    SECOND,
)

from plankroute.events import events
from plankroute.events.events import HealthCheckOutcome
from plankroute.policy.health import HostHealth


def test_no_host_is_ejected_when_reports_of_all_hosts_are_late() -> None:
    bench = ready_bench()
    report_requests(bench, 4)
    bench.command_log.clear()
    bench.pass_time(10 * SECOND)
    assert not checked_hosts(bench.command_log) and len(bench.tables[0]) == 6


def test_a_silent_host_is_checked_ejected_and_readmitted_with_a_low_weight() -> None:
    bench = ready_bench(hosts=9)
    report_requests(bench, 4)
    bench.command_log.clear()
    report_requests(bench, 2, skip=(100,))
    assert checked_hosts(bench.command_log) == {100}
    bench.deliver(events.HealthCheckResult(100, HealthCheckOutcome.TIMED_OUT, 500_000, None))
    bench.pass_time(SECOND // 4)
    assert 100 not in bench.tables[0]
    for _ in range(4):
        bench.deliver(events.HealthCheckResult(100, HealthCheckOutcome.ANSWERED, 20_000, None))
    bench.pass_time(1_100_000)
    assert 0 < bench.tables[0][100] <= bench.tables[0][101] / 2


def test_a_suspected_host_is_checked_again_at_once_until_it_is_ejected() -> None:
    bench = ready_bench(hosts=9)
    report_requests(bench, 6)
    for host in bench.hosts:
        bench.deliver(
            events.HostRequestStats(host, 0, 9, 9 if host == 100 else 0, 200_000.0, SECOND, None)
        )
    bad = events.HealthCheckResult(100, HealthCheckOutcome.ERROR, 1000, None)
    assert checked_hosts(bench.deliver(bad)) == {100} and not bench.controller.host_table.ejected[0]
    assert not checked_hosts(bench.deliver(bad)) and bench.controller.host_table.ejected[0]
    assert not checked_hosts(bench.deliver(replace(bad, host=101)))  # host 101 is not suspected


def test_half_of_the_hosts_may_be_ejected_but_no_more_than_three_quarters(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bench = ready_bench(hosts=12)
    report_requests(bench, 3)
    for _ in range(4):
        bench.deliver(
            *[
                events.HealthCheckResult(host, HealthCheckOutcome.TIMED_OUT, 500_000, None)
                for host in range(100, 106)
            ]
        )
        report_requests(bench, 1, skip=tuple(range(100, 106)))
    assert bench.tables[0].keys() == set(range(106, 112))
    ejected = bench.controller.host_table.ejected
    monkeypatch.setattr(HostHealth, "is_suspect", lambda self, reference_ratio: True)
    for ejected_count, is_ejected in ((9, False), (8, True)):
        ejected[:] = [True] * ejected_count + [False] * (12 - ejected_count)
        bench.deliver(
            *[events.HealthCheckResult(109, HealthCheckOutcome.TIMED_OUT, 500_000, None)] * 2
        )
        assert ejected[9] is is_ejected


def test_a_mass_disconnect_checks_all_hosts_and_ejects_unreachable_ones_at_once() -> None:
    """Guards against a network partition that only shows in decayed sums, seconds later."""
    bench = ready_bench(hosts=12, proxies=12)
    report_requests(bench, 3)
    assert not checked_hosts(
        bench.deliver(events.ProxyLeft(0))
    )  # a single disconnect is no mass disconnect
    bench.pass_time(2 * SECOND)
    checked = checked_hosts(bench.deliver(*[events.ProxyLeft(p) for p in range(1, 8)]))
    assert checked == set(range(100, 112))
    near = {host for host in checked if bench.hosts[host].zone == 0}
    bench.deliver(
        *[
            events.HealthCheckResult(
                host,
                HealthCheckOutcome.ANSWERED if host in near else HealthCheckOutcome.UNREACHABLE,
                1000,
                None,
            )
            for host in checked
        ]
    )
    bench.pass_time(SECOND // 5)
    assert bench.tables[0].keys() == near


def test_two_zones_that_fail_all_requests_are_ejected_and_the_third_zone_stays() -> None:
    bench = ready_bench(hosts=12)
    far = {host for host, entry in bench.hosts.items() if entry.zone}
    report_requests(bench, 3)
    for _ in range(3):
        report_requests(bench, 1, failed=lambda host: 8 if host in far else 0)
        checked = checked_hosts(bench.command_log[-40:])
        bench.deliver(
            *[
                events.HealthCheckResult(host, HealthCheckOutcome.UNREACHABLE, 1000, None)
                for host in checked
            ]
        )
    bench.pass_time(SECOND)
    assert bench.tables[0].keys() == bench.hosts.keys() - far


def test_an_outdated_health_check_of_another_controller_is_ignored() -> None:
    bench = ready_bench()
    previous_rates = list(bench.controller.host_table.health_check_rate)
    bench.deliver(
        events.HealthCheckResult(100, HealthCheckOutcome.ANSWERED, 1000, None, age_us=60 * SECOND)
    )
    assert bench.controller.host_table.health_check_rate == previous_rates
    bench.deliver(
        events.HealthCheckResult(100, HealthCheckOutcome.ANSWERED, 1000, None, age_us=SECOND)
    )
    assert bench.controller.host_table.health_check_rate != previous_rates
