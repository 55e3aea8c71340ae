"""Weights of started and readmitted hosts rise to their full value."""

from support.controller_bench import ready_bench, report_requests
from support.controller_model import (
    GONE,
    SECOND,
    entry,
    host_changes,
    request_class_facts,
)


def test_a_cold_host_starts_low_and_falls_while_all_hosts_are_overloaded() -> None:
    bench = ready_bench()
    report_requests(bench, 3)
    bench.deliver(host_changes(entry(200, started_us=bench.now)))
    bench.pass_time(SECOND)
    usual = bench.tables[0][101]
    assert bench.tables[0][200] <= 0.3 * usual
    report_requests(bench, 5)
    risen = bench.tables[0][200]
    assert 0.3 * usual < risen < 0.9 * usual
    report_requests(bench, 3, failed=lambda host: 5)
    assert 0 < bench.tables[0][200] < risen
    report_requests(bench, 5, failed=lambda host: 8)
    assert 200 not in bench.tables[0] and len(bench.tables[0]) == 6


def test_a_cold_host_gets_few_slots_while_others_of_its_type_are_ejected_or_unknown() -> None:
    for machine_type in (1, 7):  # hosts 101, 103 and 105 are of machine type 1, none of type 7
        bench = ready_bench()
        report_requests(bench, 8, time_ms=lambda host: 900.0 if host % 2 else 100.0)
        slots_before = bench.tables[0][101]
        for index in (1, 3):
            bench.controller.host_table.ejected[index] = machine_type == 1
        bench.deliver(host_changes(entry(200, machine_type=machine_type, started_us=bench.now)))
        bench.pass_time(SECOND)
        assert bench.tables[0][200] <= slots_before


def test_a_few_cold_hosts_do_not_replace_all_warm_hosts() -> None:
    bench = ready_bench(hosts=12)
    report_requests(bench, 3)
    bench.deliver(host_changes(entry(200, started_us=bench.now), entry(201, started_us=bench.now)))
    bench.deliver(
        host_changes(*[entry(100 + i, GONE, zone=i % 3, machine_type=i % 2) for i in range(12)])
    )
    bench.pass_time(2 * SECOND)
    assert not bench.usable_weights(0, 0)
    bench.pass_time(15 * SECOND)
    assert set(bench.usable_weights(0, 0)) == {200, 201}


def test_many_cold_hosts_get_slots_in_an_overload_where_a_single_one_does_not() -> None:
    for cold_count, has_slots in ((1, False), (12, True)):
        bench = ready_bench()
        report_requests(bench, 6, failed=lambda host: 6)
        started_us = bench.now - 9 * SECOND
        bench.deliver(
            host_changes(
                *[entry(200 + i, zone=i % 3, started_us=started_us) for i in range(cold_count)]
            )
        )
        bench.pass_time(SECOND)
        assert (200 in bench.tables[0]) == has_slots


def test_a_cold_host_keeps_its_slots_in_an_overload_with_few_attempts_per_proxy() -> None:
    bench = ready_bench(proxies=60)
    report_requests(bench, 3)
    bench.deliver(host_changes(entry(200, started_us=bench.now)))
    report_requests(bench, 6, time_ms=lambda host: 1500.0, failed=lambda host: 3)
    assert 0 < bench.tables[0][200] < bench.tables[0][101] / 2
    report_requests(
        bench, 5, failed=lambda host: 8
    )  # at this failure ratio, cold hosts would be overloaded
    assert 200 not in bench.tables[0]


def test_a_host_that_restarts_in_place_is_cold_again() -> None:
    bench = ready_bench()
    bench.deliver(host_changes(entry(100, GONE)))
    assert 100 not in bench.tables[0]
    bench.deliver(host_changes(entry(100, started_us=bench.now - SECOND)))
    bench.pass_time(2 * SECOND)
    assert bench.tables[0][100] < bench.tables[0][101] / 2


def test_a_warm_host_that_is_readmitted_keeps_its_slots_in_an_overload() -> None:
    bench = ready_bench(hosts=4, request_classes=(request_class_facts(stays_in_zone=True),))
    report_requests(bench, 6, failed=lambda host: 8)
    bench.controller.hosts[0].ramp.readmission_share = 0.25
    bench.deliver(host_changes(entry(100)))
    bench.deliver(host_changes(entry(103, GONE)))
    bench.pass_time(SECOND)
    assert set(bench.usable_weights(0, 0)) == {100}
