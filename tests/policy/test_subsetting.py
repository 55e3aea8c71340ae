"""Subsetting: tables that hold a subset of the hosts."""

from dataclasses import replace

import pytest
from support.controller_bench import report_requests
from support.controller_model import (
    GONE,
    SECOND,
    Bench,
    entry,
    full_list,
    host_changes,
    start_facts,
)

from plankroute.controller.controller import Controller
from plankroute.events import events


def controllers_with_subsets(count: int, hosts: int, joined: int) -> list[Bench]:
    """Returns controllers that would take half a minute to bind all proxies to all hosts."""
    benches = []
    for rank in range(count):
        facts = start_facts(
            controller_rank=rank,
            controller_count=count,
            proxy_count=count * 60,
            channel_lines_per_s=500.0,
            backlog_cap_lines=40_000,
            drain_grace_us=12 * SECOND,
            max_unbound_us=60 * SECOND,
            health_checks_allowed=False,
        )
        bench = Bench(facts, controller=Controller(facts, rank))
        bench.deliver(
            full_list(*[entry(100 + i, zone=i % 3, machine_type=i % 2) for i in range(hosts)])
        )
        bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0, True) for p in range(joined)])
        bench.pass_time(SECOND)
        benches.append(bench)
    return benches


def test_if_binds_take_too_long_each_host_is_in_the_tables_of_equally_many_controllers() -> None:
    """Guards against proxies that wait for binds all day and use tables that nobody updates."""
    benches = controllers_with_subsets(4, 200, 60)
    held = [set(bench.tables[0]) for bench in benches]
    assert set().union(*held) == set(range(100, 300)) and sum(map(len, held)) <= 204
    assert all({host % 3 for host in hosts} == {0, 1, 2} for hosts in held)
    bench = benches[0]
    before, hosts = set(bench.tables[0]), sorted(bench.tables[0])
    bench.deliver(host_changes(entry(hosts[0], GONE, zone=(hosts[0] - 100) % 3)))
    bench.pass_time(2 * SECOND)
    after = set(bench.tables[0])
    # Only the ends of the arc have moved.
    assert hosts[0] in before - after and len(before ^ after) <= 4


def test_a_controller_with_all_proxies_keeps_its_subset_and_few_hosts_need_no_subset() -> None:
    """Guards against a subset that grows when other controllers are lost.

    Each added host costs a line at every proxy on the table, and makes binds longer just when most
    proxies wait to be bound.
    """
    lone_controller = controllers_with_subsets(4, 200, 60)[0]
    before = set(lone_controller.tables[0])
    assert len(before) == 50
    lone_controller.deliver(*[events.ProxyJoined(p, p % 3, 10.0, False) for p in range(60, 240)])
    lone_controller.pass_time(2 * SECOND)
    assert set(lone_controller.tables[0]) == before
    small = controllers_with_subsets(4, 20, 60)
    assert all(len(bench.tables[0]) == 20 for bench in small)


def test_a_subset_is_as_large_as_can_be_bound_in_time() -> None:
    """Guards against binds that take longer than the drain grace after a restart."""
    shared_facts = start_facts(
        controller_rank=1,
        controller_count=4,
        proxy_count=240,
        channel_lines_per_s=2000.0,
        backlog_cap_lines=40_000,
        drain_grace_us=12 * SECOND,
        max_unbound_us=60 * SECOND,
        health_checks_allowed=False,
    )
    sizes = {}
    for grace_s in (12, 3):
        facts = replace(shared_facts, drain_grace_us=grace_s * SECOND)
        bench = Bench(facts, controller=Controller(facts, 1))
        bench.deliver(full_list(*[entry(100 + n, zone=n % 3) for n in range(200)]))
        bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0, True) for p in range(60)])
        bench.pass_time(4 * SECOND)
        sizes[grace_s] = len(bench.tables[0])
        assert len(bench.bound) == 60
    assert sizes == {12: 100, 3: 50}  # of 200 hosts; binding 60 proxies may take 3 s and 1.3 s


def test_subsets_are_whole_shares_so_that_each_host_is_in_as_many_tables() -> None:
    """Guards against uneven load: some hosts in the tables of two controllers, others of one."""
    sizes = {}
    for count, channel_lines_per_s in ((5, 2000.0), (2, 500.0)):
        held: list[int] = []
        for rank in range(count):
            facts = start_facts(
                controller_rank=rank,
                controller_count=count,
                proxy_count=count * 60,
                health_checks_allowed=False,
                channel_lines_per_s=channel_lines_per_s,
                backlog_cap_lines=40_000,
                drain_grace_us=12 * SECOND,
                max_unbound_us=60 * SECOND,
            )
            bench = Bench(facts, controller=Controller(facts, rank))
            bench.deliver(full_list(*[entry(100 + n, zone=n % 3) for n in range(200)]))
            bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0, True) for p in range(4)])
            bench.pass_time(SECOND)
            held += bench.tables[0]
        sizes[count] = {held.count(host) for host in range(100, 300)}
    assert sizes == {5: {3}, 2: {2}}  # two use no subsets: either may be left with all proxies


def test_hosts_outside_the_subset_are_not_suspected_when_they_have_no_statistics() -> None:
    bench, *_ = controllers_with_subsets(4, 200, 60)
    bench.command_log.clear()
    own_hosts = set(bench.tables[0])
    report_requests(bench, 8, skip=tuple(set(bench.hosts) - own_hosts))
    host_table = bench.controller.host_table
    assert host_table.outside_subset and not any(
        bench.controller.hosts[i].health.is_silent() for i in host_table.outside_subset
    )
    mean = sum(host_table.weight[i] for i in host_table.outside_subset) / len(
        host_table.outside_subset
    )
    assert not any(host_table.ejected) and mean == pytest.approx(1.0, abs=0.01)


def test_a_subset_widens_until_it_holds_enough_warm_hosts() -> None:
    """Guards against tables of all hosts, slow to bind, after half of the hosts were replaced."""
    facts = start_facts(
        controller_rank=1,
        controller_count=5,
        proxy_count=300,
        channel_lines_per_s=500.0,
        backlog_cap_lines=40_000,
        drain_grace_us=12 * SECOND,
        max_unbound_us=60 * SECOND,
        health_checks_allowed=False,
    )
    bench = Bench(facts, controller=Controller(facts, 1))
    started_us = bench.now - SECOND
    bench.deliver(
        full_list(
            *[entry(100 + n, zone=n % 3, started_us=started_us * (n % 2)) for n in range(200)]
        )
    )
    bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0, True) for p in range(60)])
    bench.pass_time(SECOND)
    assert 40 <= len(bench.tables[0]) <= 60


def test_hosts_that_leave_a_moved_subset_are_not_removed_urgently() -> None:
    """Guards against tables with few hosts: old hosts were removed before new ones were added."""
    bench = controllers_with_subsets(4, 200, 60)[0]
    host_table, publisher = bench.controller.host_table, bench.controller.publisher
    before = set(bench.tables[0])
    publisher.subsetting.start = 0.1
    publisher.target.invalidate()  # as if warm hosts had been added and removed
    removals = [
        change for change in publisher.slot_changes.list_changes(bench.now) if not change.count
    ]
    assert (
        10 < len(removals) < 30
        and {host_table.host_ids[change.index] for change in removals} < before
    )
    assert not any(change.urgent for change in removals)
