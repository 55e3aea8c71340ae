"""Interim tables divide all hosts, and follow hosts that leave, are added or warm up."""

import pytest
from support.controller_bench import checked_hosts
from support.controller_model import (
    DRAINING,
    SECOND,
    Bench,
    entry,
    full_list,
    host_changes,
    start_facts,
)

from plankroute.events import commands, events
from plankroute.events.facts import AdmissionUnit
from plankroute.policy.publisher import Publisher
from plankroute.state.published_table import InterimTable

HOSTS = range(100, 220)
JOINING_PROXIES = range(10, 58)


def bench_on_interim_tables(**facts: object) -> Bench:
    """Returns a controller with few proxies, which those of others join while many hosts drain."""
    bench = Bench(
        start_facts(
            **{
                "channel_lines_per_s": 800.0,
                "backlog_cap_lines": 3000,
                "drain_grace_us": 4 * SECOND,
                "max_unbound_us": 8 * SECOND,
                "one_way_delay_us": 100_000,
                "proxy_count": 60,
                "health_checks_allowed": False,
                **facts,
            }
        )
    )
    bench.deliver(full_list(*[entry(host, zone=host % 3) for host in HOSTS]))
    bench.deliver(*[events.ProxyJoined(proxy, proxy % 3, 10.0, True) for proxy in range(4)])
    bench.pass_time(5 * SECOND)
    bench.deliver(host_changes(*[entry(host, DRAINING, host % 3) for host in HOSTS[:50]]))
    bench.pass_time(SECOND)
    bench.deliver(
        *[events.ProxyJoined(proxy, proxy % 3, 5.0 + proxy % 4, False) for proxy in JOINING_PROXIES]
    )
    bench.pass_time(SECOND // 5)
    assert bench.controller.publisher.interim
    return bench


def used_tables(publisher: Publisher) -> list[InterimTable]:
    return [table for table in publisher.interim_tables if table.users]


def hosts_in(bench: Bench, table: InterimTable) -> set[int]:
    return set(bench.tables[table.number])


def test_each_ready_host_is_in_one_interim_table_and_the_load_of_all_is_even() -> None:
    bench = bench_on_interim_tables()
    publisher = bench.controller.publisher
    held_hosts = [host for table in publisher.interim_tables for host in hosts_in(bench, table)]
    assert sorted(held_hosts) == list(HOSTS[50:])
    rates = [table.rate / sum(table.published.values()) for table in publisher.interim_tables]
    assert max(rates) < 1.5 * min(rates)


def test_a_draining_host_leaves_its_interim_table_and_a_new_host_is_added() -> None:
    bench = bench_on_interim_tables()
    publisher = bench.controller.publisher
    drained = min(hosts_in(bench, used_tables(publisher)[0]))
    bench.deliver(
        host_changes(
            entry(drained, DRAINING, drained % 3), entry(999, zone=0, started_us=bench.now)
        )
    )
    bench.pass_time(2 * SECOND)
    holders = [table for table in used_tables(publisher) if 999 in hosts_in(bench, table)]
    assert len(holders) == 1
    assert bench.tables[holders[0].number][999] < max(bench.tables[holders[0].number].values())
    assert not any(drained in hosts_in(bench, table) for table in publisher.interim_tables)


def test_an_interim_table_that_loses_most_of_its_hosts_gets_others() -> None:
    """Guards against proxies without an endpoint."""
    bench = bench_on_interim_tables()
    table = used_tables(bench.controller.publisher)[0]
    drained = hosts_in(bench, table)
    bench.deliver(host_changes(*[entry(host, DRAINING, host % 3) for host in drained]))
    bench.pass_time(SECOND)
    assert len(hosts_in(bench, table) - drained) >= len(drained) // 2


def test_the_last_hosts_of_an_interim_table_stay_if_no_others_are_available() -> None:
    """Guards against proxies without an endpoint when all hosts are ejected together."""
    bench = bench_on_interim_tables()
    host_table = bench.controller.host_table
    for index in host_table.ready():
        host_table.ejected[index] = True
        host_table.unreachable[index] = True
    bench.pass_time(SECOND)
    assert all(hosts_in(bench, table) for table in used_tables(bench.controller.publisher))


def test_a_cold_host_gets_at_most_half_the_slots_of_a_warm_one_in_an_interim_table() -> None:
    bench = bench_on_interim_tables()
    table = used_tables(bench.controller.publisher)[0]
    host = min(hosts_in(bench, table))
    bench.deliver(host_changes(entry(host, zone=host % 3, started_us=bench.now)))
    bench.pass_time(SECOND // 2)
    usual = max(bench.tables[table.number].values())
    assert bench.tables[table.number].get(host, 0.0) <= usual / 2


@pytest.mark.parametrize("unit", [AdmissionUnit.SHARE, AdmissionUnit.RATE])
def test_admission_limits_hold_for_proxies_on_interim_tables(unit: AdmissionUnit) -> None:
    bench = bench_on_interim_tables(admission_unit=unit)
    publisher = bench.controller.publisher
    publisher.handle(commands.SetAdmissionLimit(0, (0,), 0.5, commands.RetryPolicy.IF_NOT_EXECUTED))
    bench.pass_time(2 * SECOND)
    limited = {limit.table for limit in bench.admission_limits if limit.limit == 0.5}
    assert limited >= {0, *(table.number for table in used_tables(publisher))}


def test_all_proxies_of_the_fleet_can_be_bound_in_the_grace_beside_deferrable_lines() -> None:
    bench = bench_on_interim_tables()
    publisher = bench.controller.publisher
    hosts_per_table = publisher.interim_binder.tables.hosts_per_table
    lines = (hosts_per_table + 2 + bench.facts.message_overhead_lines) * bench.facts.proxy_count
    slack_us = bench.facts.drain_grace_us - bench.facts.max_one_way_delay_us
    lines_in_grace = bench.facts.channel_lines_per_s * slack_us / SECOND
    assert lines + publisher.flow.allowance <= lines_in_grace * 1.01


def test_a_proxy_that_leaves_is_on_no_interim_table() -> None:
    bench = bench_on_interim_tables()
    publisher = bench.controller.publisher
    bench.deliver(*[events.ProxyLeft(proxy) for proxy in JOINING_PROXIES])
    assert not publisher.interim and not used_tables(publisher)
    assert not checked_hosts(bench.command_log)
    assert all(abs(table.rate) < 1e-6 for table in publisher.interim_tables)


def test_complete_tables_of_a_subset_serve_an_even_share_if_most_of_the_fleet_has_joined() -> None:
    """Guards against overload of one controller's subset by the requests of the whole fleet."""
    bench = bench_on_interim_tables(controller_count=5, controller_rank=1, proxy_count=120)
    publisher = bench.controller.publisher
    bench.pass_time(30 * SECOND)
    assert len(publisher.bound) == bench.facts.proxy_count // 5
    assert len(publisher.interim) == 4 + len(JOINING_PROXIES) - len(publisher.bound)


def test_complete_tables_of_a_subset_serve_all_proxies_if_few_more_have_joined_than_usual() -> None:
    """Guards against proxies of restarting controllers that stay on interim tables."""
    bench = bench_on_interim_tables(controller_count=5, controller_rank=1, proxy_count=150)
    publisher = bench.controller.publisher
    bench.pass_time(60 * SECOND)
    assert len(publisher.bound) == 4 + len(JOINING_PROXIES) and not publisher.interim


def test_proxies_return_to_complete_tables_that_hold_all_hosts() -> None:
    bench = bench_on_interim_tables()
    publisher = bench.controller.publisher
    bench.pass_time(60 * SECOND)
    assert len(publisher.bound) == 4 + len(JOINING_PROXIES)
    assert not publisher.interim and not used_tables(publisher)


def test_a_cold_host_counts_for_less_in_a_table_with_few_slots_for_its_users() -> None:
    """Guards against overload of a cold host in a table whose other hosts have left."""
    bench = bench_on_interim_tables()
    tables = bench.controller.publisher.interim_binder.tables
    table = used_tables(bench.controller.publisher)[0]
    bench.deliver(
        host_changes(*[entry(900 + n, zone=n % 3, started_us=bench.now) for n in range(20)])
    )
    bench.pass_time(2 * SECOND)
    slots = dict.fromkeys(table.published, 10)
    cold = {host for host in table.published if tables._is_cold(host)}
    assert cold
    usual = table.rate / sum(slots.values())
    assert tables._target_slots_in(table, slots, usual) == slots
    crowded = tables._target_slots_in(table, slots, usual / 2)
    assert {host for host, count in crowded.items() if count == 5} == cold
    assert all(crowded[host] == 10 for host in crowded.keys() - cold)
