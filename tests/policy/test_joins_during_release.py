"""Most controllers are killed during a release, and their proxies join a remaining one."""

import random
from typing import Any

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
from plankroute.events.facts import AdmissionUnit

HOSTS = 200
PROXIES = 240
CONTROLLERS = 5
BATCH = 30  # number of hosts that are replaced at a time
OLD_TABLE_SIZE = 100  # number of hosts in the tables that joining proxies hold


PLAIN_CLASSES = (request_class_facts(), request_class_facts(), request_class_facts())
SITE_FACTS: dict[str, dict[str, Any]] = {
    "one table": {"request_classes": PLAIN_CLASSES},
    "with limits": {"request_classes": PLAIN_CLASSES, "admission_unit": AdmissionUnit.SHARE},
    "two tables": {
        "request_classes": (request_class_facts(), request_class_facts(stays_in_zone=True))
    },
}


def build_fleet(site: str, pace: float, seed: int) -> FleetModel:
    """Returns a small fleet with the operators' channel pace: nine lines per proxy and second."""
    facts = start_facts(
        **SITE_FACTS[site],
        controller_count=CONTROLLERS,
        controller_rank=2,
        proxy_count=PROXIES,
        channel_lines_per_s=2100.0,
        backlog_cap_lines=6300,
        bind_reinstates_hosts=True,
        one_way_delay_us=184_000,
        max_one_way_delay_us=460_000,
        max_unbound_us=5_200_000,
        drain_grace_us=3_700_000,
        health_checks_allowed=False,
    )
    return FleetModel(facts, pace, seed)


def host_entry(host: int, started_us: int = 0) -> events.HostEntry:
    return entry(host, zone=host % 3, started_us=started_us)


class Release:
    """Replaces hosts batch by batch; each batch is listed draining first and removed later."""

    def __init__(self, fleet: FleetModel) -> None:
        self.fleet = fleet
        self.next_new = 1000
        self.next_old = 0

    def step(self) -> None:
        """Drains a batch, removes the one before the last, and lists its replacement."""
        first = self.next_old
        self.next_old += BATCH
        drained = [entry(host, DRAINING, host % 3) for host in range(first, first + BATCH)]
        removed = [
            entry(host, GONE, host % 3)
            for host in range(first - 2 * BATCH, first - BATCH)
            if host >= 0
        ]
        new = range(self.next_new, self.next_new + BATCH)
        self.next_new += BATCH
        started_us = self.fleet.now
        self.fleet.deliver(
            host_changes(*drained, *removed, *[host_entry(host, started_us) for host in new])
        )


@pytest.mark.parametrize(
    ("site", "pace", "seed"),
    [
        ("one table", 1.0, 0),
        ("one table", 1.0, 1),
        ("one table", 0.5, 2),
        ("with limits", 1.0, 3),
        ("two tables", 1.0, 4),
        ("two tables", 0.5, 5),
    ],
)
def test_proxies_of_killed_controllers_use_no_drained_host_after_the_grace(
    site: str, pace: float, seed: int
) -> None:
    """Guards against drained hosts in old tables while withdrawals and binds delay each other."""
    rng = random.Random(seed)
    fleet = build_fleet(site, pace, seed)
    fleet.deliver(full_list(*[host_entry(host) for host in range(HOSTS)]))
    own = range(PROXIES // CONTROLLERS)
    fleet.join(own, range(HOSTS))
    fleet.pass_time(int(8 * SECOND / pace))
    release = Release(fleet)
    release.step()
    fleet.pass_time(rng.randrange(1, 3) * SECOND)
    others = list(range(len(own), PROXIES))
    rng.shuffle(others)
    while others:  # in about 1.5 s; each batch holds another controller's subset
        old_hosts = rng.sample(range(HOSTS), OLD_TABLE_SIZE)
        fleet.join([others.pop() for _ in range(min(12, len(others)))], old_hosts)
        fleet.pass_time(SECOND // 10)
        if len(others) == PROXIES // 2:
            release.step()
    for _ in range(2):
        fleet.pass_time(int(rng.uniform(1.5, 2.5) * SECOND / pace))
        release.step()
    publisher = fleet.controller.publisher
    while len(publisher.bound) < len(own):  # complete tables serve an even share of the proxies
        fleet.pass_time(SECOND)
        assert fleet.now < 200 * SECOND
    fleet.pass_time(5 * SECOND)
    assert len(publisher.bound) + len(publisher.interim) == PROXIES
