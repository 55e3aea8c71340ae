"""Weight controller: the weights of hosts follow their fill."""

import pytest
from support.controller_bench import ready_bench, report_requests
from support.controller_model import (
    SECOND,
    Bench,
    entry,
    full_list,
    request_class_facts,
    start_facts,
)

from plankroute.events import events


def test_weight_moves_from_slow_hosts_to_fast_ones() -> None:
    bench = ready_bench()
    before = dict(bench.tables[0])
    report_requests(bench, 12, time_ms=lambda host: 600.0 if host == 100 else 200.0)
    assert bench.tables[0][100] < before[100] / 2
    assert sum(bench.tables[0].values()) == pytest.approx(sum(before.values()), abs=3)


def test_a_turn_without_new_statistics_leaves_the_control_error_unchanged() -> None:
    """Guards against a derivative that is computed from stale statistics."""
    bench = ready_bench()
    report_requests(bench, 4, time_ms=lambda host: 400.0 if host == 100 else 200.0)
    host_table = bench.controller.host_table
    assert not any(host_table.heard_since_turn)
    errors = list(host_table.error)
    bench.pass_time(3 * SECOND)
    assert host_table.error == errors


def test_a_controller_without_statistics_keeps_its_weights() -> None:
    bench = ready_bench()
    report_requests(bench, 2, time_ms=lambda host: 900.0 if host == 100 else 200.0)
    bench.pass_time(2 * SECOND)  # its changed slots are written
    host_table = bench.controller.host_table
    host_table.integral[:] = [0.0] * len(host_table.integral)
    before = list(host_table.weight)
    bench.pass_time(3 * SECOND)
    assert host_table.weight == pytest.approx(before)


def test_turns_run_shortly_after_a_round_of_statistics() -> None:
    """Guards against statistics that wait for up to a turn."""
    bench = ready_bench()
    report_requests(bench, 4)
    bench.deliver(
        *[events.HostRequestStats(host, 0, 8, 0, 200_000.0, SECOND, None) for host in bench.hosts]
    )
    assert all(bench.controller.host_table.heard_since_turn)
    bench.pass_time(SECOND // 5)
    assert not any(bench.controller.host_table.heard_since_turn)


def test_load_from_other_controllers_is_included_in_fill() -> None:
    bench = Bench(
        start_facts(
            request_classes=(request_class_facts(), request_class_facts(stays_in_zone=True))
        )
    )
    bench.deliver(
        full_list(*[entry(100 + i, zone=i % 3) for i in range(9)]),
        events.ProxyJoined(0, 1, 10.0, True),
    )
    # This controller's proxy brings few requests to zone 0, whose hosts have three times as many
    # requests in flight as the others.
    for _ in range(8):
        bench.deliver(
            *[
                events.HostRequestStats(
                    h,
                    0,
                    3 if e.zone == 0 else 9,
                    0,
                    200e3,
                    SECOND,
                    events.LoadReport(in_flight=2.7 if e.zone == 0 else 0.9),
                )
                for h, e in bench.hosts.items()
            ]
        )
        bench.pass_time(SECOND)
    assert bench.tables[0][100] < bench.tables[0][101]


def test_a_host_that_fails_fast_gains_no_weight() -> None:
    bench = ready_bench()
    before = bench.tables[0][101]
    report_requests(
        bench,
        8,
        time_ms=lambda host: 20.0 if host == 101 else 200.0,
        failed=lambda host: 4 if host == 101 else 0,
    )
    assert bench.tables[0][101] < before / 2


def test_hosts_open_to_fewer_request_classes_are_not_starved() -> None:
    bench = Bench(
        start_facts(request_classes=(request_class_facts(), request_class_facts(zones=(0, 1))))
    )
    bench.deliver(full_list(*[entry(100 + i, zone=i % 3) for i in range(6)]))
    bench.deliver(events.ProxyJoined(0, 0, 10.0, True))
    # Zone 2 gets a third of the attempts, with longer latency, and has fewer requests in flight.
    for _ in range(10):
        bench.deliver(
            *[
                events.HostRequestStats(
                    h,
                    0,
                    3 if e.zone == 2 else 9,
                    0,
                    300e3 if e.zone == 2 else 150e3,
                    SECOND,
                    events.LoadReport(in_flight=0.9 if e.zone == 2 else 1.35),
                )
                for h, e in bench.hosts.items()
            ]
        )
        bench.pass_time(SECOND)
    assert bench.tables[0][102] > bench.tables[0][100]


def test_a_stalled_host_that_is_silent_does_not_count_as_idle() -> None:
    """Guards against a host that answers no request, so has no statistics, but keeps its weight."""
    bench = ready_bench(hosts=9)
    report_requests(bench, 6)
    report_requests(bench, 1, time_ms=lambda host: 9000.0 if host == 100 else 200.0)
    host_table, before = bench.controller.host_table, bench.controller.host_table.weight[0]
    host_table.integral[0] = 0.0
    report_requests(bench, 1, skip=(100,))
    assert host_table.weight[0] < 0.9 * before
