"""Hosts that were removed and return are reinstated where proxies have no other host."""

import pytest
from support.controller_model import (
    DRAINING,
    GONE,
    SECOND,
    entry,
    full_list,
    host_changes,
    request_class_facts,
    start_facts,
)
from support.fleet_model import FleetModel

from plankroute.events import events

HOSTS = range(100, 130)
LOST = [host for host in HOSTS if host % 3 == 0]  # all hosts of zone 0
LOST_S = 5
WARMUP_S = 8
IN_ZONE_CLASS = 1  # the request class that stays in its zone, and so has a table for each zone


def host_entry(host: int, **changes: object) -> events.HostEntry:
    return entry(host, zone=host % 3, **changes)


def running_fleet(proxies: int) -> FleetModel:
    """Returns a fleet that is bound to complete tables, with nothing queued.

    Its channel has a short grace slack: for more than 57 proxies, the overhead of a message to all
    of them takes more than half of the allowance of deferrable changes.
    """
    facts = start_facts(
        request_classes=(request_class_facts(), request_class_facts(stays_in_zone=True)),
        controller_count=2,
        proxy_count=2 * proxies,
        channel_lines_per_s=1900.0,
        message_overhead_lines=4,
        backlog_cap_lines=3800,
        bind_reinstates_hosts=True,
        one_way_delay_us=500_000,
        max_one_way_delay_us=1_250_000,
        max_unbound_us=2_100_000,
        drain_grace_us=2 * SECOND,
        warmup_us=WARMUP_S * SECOND,
        health_checks_allowed=False,
    )
    fleet = FleetModel(facts)
    fleet.deliver(full_list(*map(host_entry, HOSTS)))
    fleet.join(range(proxies), HOSTS)
    fleet.pass_time(15 * SECOND)
    publisher = fleet.controller.publisher
    assert len(publisher.bound) == proxies and not publisher.channel.unacknowledged
    return fleet


def proxies_without_host(fleet: FleetModel) -> list[int]:
    return [
        number for number, proxy in fleet.proxies.items() if not proxy.usable_hosts(IN_ZONE_CLASS)
    ]


# A zone that was lost and warm again stayed withdrawn for good, and its proxies had no host for a
# class that stays in its zone: the slots that another table kept were never removed.
@pytest.mark.parametrize("proxies", [20, 57, 58, 60, 100])
def test_a_lost_zone_that_returns_serves_its_proxies_again(proxies: int) -> None:
    fleet = running_fleet(proxies)
    fleet.deliver(host_changes(*[host_entry(host, state=GONE) for host in LOST]))
    fleet.pass_time(LOST_S * SECOND)
    assert proxies_without_host(fleet)
    fleet.deliver(host_changes(*[host_entry(host, started_us=fleet.now) for host in LOST]))
    # The fleet fails if a proxy has no host for too long while a warm one may serve it.
    fleet.pass_time((WARMUP_S + 5) * SECOND)
    assert not proxies_without_host(fleet)
    assert not fleet.controller.publisher.withdrawn


# Hosts that restart one after another stay withdrawn on an idle channel, since the removal of their
# slots is a deferrable change that never fits.
def test_hosts_that_restart_one_after_another_are_reinstated_within_a_minute() -> None:
    fleet = running_fleet(60)
    for host in LOST:
        fleet.deliver(host_changes(host_entry(host, state=GONE)))
        fleet.pass_time(SECOND)
        fleet.deliver(host_changes(host_entry(host, started_us=fleet.now)))
        fleet.pass_time(SECOND)
    fleet.pass_time(60 * SECOND)
    assert not proxies_without_host(fleet)
    assert not fleet.controller.publisher.status().pending_reinstatements


def test_a_host_that_drains_while_a_zone_returns_is_withdrawn_within_the_grace() -> None:
    fleet = running_fleet(60)
    fleet.deliver(host_changes(*[host_entry(host, state=GONE) for host in LOST]))
    fleet.pass_time(LOST_S * SECOND)
    fleet.deliver(host_changes(*[host_entry(host, started_us=fleet.now) for host in LOST]))
    for step in range(4):
        # The fleet fails if a proxy uses a draining host after the grace.
        fleet.pass_time(SECOND // 4)
        fleet.deliver(host_changes(host_entry(101 + 3 * step, state=DRAINING)))
    fleet.pass_time((WARMUP_S + 5) * SECOND)
    assert not proxies_without_host(fleet)
