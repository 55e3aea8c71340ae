"""Hosts that start, or are readmitted, rise to their full weight."""

from support.controller_bench import feed, ready_bench
from support.controller_model import (
    GONE,
    SECOND,
    changes,
    entry,
    product,
)


def test_a_cold_host_enters_low_rises_and_falls_while_all_are_overloaded() -> None:
    bench = ready_bench()
    feed(bench, 3)
    bench.give(changes(entry(200, started_us=bench.now)))
    bench.pass_time(SECOND)
    usual = bench.lines[0][101]
    assert bench.lines[0][200] <= 0.3 * usual
    feed(bench, 5)
    risen = bench.lines[0][200]
    assert 0.3 * usual < risen < 0.9 * usual
    feed(bench, 3, failed=lambda host: 5)
    assert 0 < bench.lines[0][200] < risen
    feed(bench, 5, failed=lambda host: 8)
    assert 200 not in bench.lines[0] and len(bench.lines[0]) == 6


def test_a_cold_host_stays_small_while_others_of_its_type_are_ejected_or_unknown() -> None:
    for kind in (1, 7):  # hosts 101, 103, 105 are of kind 1, nobody of kind 7
        bench = ready_bench()
        feed(bench, 8, time_ms=lambda host: 900.0 if host % 2 else 100.0)
        small = bench.lines[0][101]
        for place in (1, 3):
            bench.controller.host_table.ejected[place] = kind == 1
        bench.give(changes(entry(200, kind=kind, started_us=bench.now)))
        bench.pass_time(SECOND)
        assert bench.lines[0][200] <= small


def test_a_few_cold_hosts_do_not_take_over_for_all_the_others() -> None:
    bench = ready_bench(hosts=12)
    feed(bench, 3)
    bench.give(changes(entry(200, started_us=bench.now), entry(201, started_us=bench.now)))
    bench.give(changes(*[entry(100 + i, GONE, zone=i % 3, kind=i % 2) for i in range(12)]))
    bench.pass_time(2 * SECOND)
    assert not bench.picks(0, 0)
    bench.pass_time(15 * SECOND)
    assert set(bench.picks(0, 0)) == {200, 201}


def test_many_cold_hosts_may_share_what_few_may_not() -> None:
    for fresh, taken in ((1, False), (12, True)):
        bench = ready_bench()
        feed(bench, 6, failed=lambda host: 6)
        started_us = bench.now - 9 * SECOND
        bench.give(
            changes(*[entry(200 + i, zone=i % 3, started_us=started_us) for i in range(fresh)])
        )
        bench.pass_time(SECOND)
        assert (200 in bench.lines[0]) == taken


def test_a_cold_host_keeps_its_slot_in_an_overload_where_proxies_hardly_shun_hosts() -> None:
    bench = ready_bench(proxies=60)
    feed(bench, 3)
    bench.give(changes(entry(200, started_us=bench.now)))
    feed(bench, 6, time_ms=lambda host: 1500.0, failed=lambda host: 3)
    assert 0 < bench.lines[0][200] < bench.lines[0][101] / 2
    feed(bench, 5, failed=lambda host: 8)  # so much may come to all that the cold ones fall
    assert 200 not in bench.lines[0]


def test_a_restart_in_place_is_cold_again() -> None:
    bench = ready_bench()
    bench.give(changes(entry(100, GONE)))
    assert 100 not in bench.lines[0]
    bench.give(changes(entry(100, started_us=bench.now - SECOND)))
    bench.pass_time(2 * SECOND)
    assert bench.lines[0][100] < bench.lines[0][101] / 2


def test_a_warm_host_that_is_readmitted_keeps_its_slot_in_an_overload() -> None:
    bench = ready_bench(hosts=4, request_classes=(product(stays_in_zone=True),))
    feed(bench, 6, failed=lambda host: 8)
    bench.controller.hosts[0].ramp.readmission_share = 0.25
    bench.give(changes(entry(100)))
    bench.give(changes(entry(103, GONE)))
    bench.pass_time(SECOND)
    assert set(bench.picks(0, 0)) == {100}
