"""The core of the warm start: ages, restarts of hosts, withdrawals."""

import msgspec
import pytest
from support.controller_model import GONE, SECOND
from support.host_snapshots import HEALTHY, UNHEALTHY, snapshot_of

from plankroute.events.events import HostState
from plankroute.warm_start.codec import decode_snapshot, encode_snapshot
from plankroute.warm_start.core import (
    AnnounceWithdrawals,
    Event,
    HostsListed,
    ProvidePriorKnowledge,
    ReportMerge,
    SnapshotReceived,
    WarmStart,
    WarmStartSettings,
)
from plankroute.warm_start.snapshot import MAX_HOSTS


@pytest.fixture
def core() -> WarmStart:
    return new_core()


def new_core(max_age_us: int = 900 * SECOND) -> WarmStart:
    return WarmStart(WarmStartSettings(max_age_us))


def provided(core: WarmStart, now_us: int, *events: Event) -> list[ProvidePriorKnowledge]:
    """The commands that provide prior knowledge to the policy after these events."""
    commands = [command for event in events for command in core.deliver(now_us, event)]
    return [command for command in commands if isinstance(command, ProvidePriorKnowledge)]


@pytest.mark.parametrize(
    ("max_age_us", "age_us", "is_provided"),
    [
        (0, 0, False),
        (900 * SECOND, 899 * SECOND, True),
        (900 * SECOND, 900 * SECOND, False),
        (900 * SECOND, 86_400 * SECOND, False),
    ],
)
def test_knowledge_older_than_the_limit_is_ignored(
    max_age_us: int, age_us: int, is_provided: bool
) -> None:
    core = new_core(max_age_us)
    received = SnapshotReceived("file", snapshot_of(UNHEALTHY), age_us)
    commands = provided(core, 10**12, HostsListed({"h": 5.0}), received)
    assert bool(commands) is is_provided


def test_knowledge_of_a_host_is_not_provided_after_its_restart(core: WarmStart) -> None:
    received = SnapshotReceived("file", snapshot_of(UNHEALTHY), 0)
    assert not provided(core, SECOND, received, HostsListed({"h": 6.0}))


def test_knowledge_of_a_host_listed_later_is_provided_once_when_it_is_listed(
    core: WarmStart,
) -> None:
    received = SnapshotReceived("file", snapshot_of(UNHEALTHY), 0)
    assert not provided(core, SECOND, received, HostsListed({}))
    (command,) = provided(core, 2 * SECOND, HostsListed({"h": 5.0}))
    assert command.known.health.knowledge == UNHEALTHY
    assert command.health_age_us == SECOND
    assert not provided(core, 3 * SECOND, HostsListed({"h": 5.0}))


def test_an_observation_of_a_minute_ago_is_superseded_by_one_of_two_seconds_ago(
    core: WarmStart,
) -> None:
    old = msgspec.structs.replace(UNHEALTHY, age_us=62 * SECOND)
    from_peer = SnapshotReceived("n1", snapshot_of(old), 0)
    commands = provided(
        core,
        1000 * SECOND,
        HostsListed({"h": 5.0}),
        SnapshotReceived("file", snapshot_of(HEALTHY), 2 * SECOND),
        from_peer,
    )
    assert [command.known.health.knowledge.ejected for command in commands] == [False]
    reports = [
        command
        for command in core.deliver(1000 * SECOND, from_peer)
        if isinstance(command, ReportMerge)
    ]
    assert reports == [ReportMerge("n1", accepted=0, expired=0, superseded=1)]


def test_withdrawals_of_each_peer_are_announced_with_their_revision(core: WarmStart) -> None:
    one = snapshot_of(revision=9, withdrawn=[("x", "DRAINING")])
    other = snapshot_of(revision=8, withdrawn=[("x", "SERVING"), ("y", "DELETED")])
    drains = AnnounceWithdrawals("n1", 9, (("x", HostState.DRAINING),))
    assert drains in core.deliver(0, SnapshotReceived("n1", one, 0))
    deletions = AnnounceWithdrawals("n2", 8, (("y", GONE),))
    assert deletions in core.deliver(0, SnapshotReceived("n2", other, 0))


def test_withdrawals_of_a_list_older_than_the_limit_are_not_announced(core: WarmStart) -> None:
    """Guards against withdrawals in a list that comes from another discovery service."""
    old = SnapshotReceived("file", snapshot_of(withdrawn=[("x", "DRAINING")]), 10**15)
    assert not any(isinstance(command, AnnounceWithdrawals) for command in core.deliver(0, old))


def test_restarts_do_not_reset_the_age_of_knowledge() -> None:
    """Guards against repeated restarts after which old knowledge is passed on as recent."""
    now_us = 10**12
    data = encode_snapshot(snapshot_of(msgspec.structs.replace(UNHEALTHY, age_us=0)))
    for restart in range(5):
        core = new_core()
        snapshot = decode_snapshot(data)
        assert snapshot
        core.deliver(now_us, SnapshotReceived("file", snapshot, 0))
        now_us += 100 * SECOND
        data = encode_snapshot(core.snapshot(now_us, snapshot_of()))
        stored = decode_snapshot(data)
        assert stored
        assert stored.hosts[0].age_us == (restart + 1) * 100 * SECOND


def test_host_names_that_are_too_long_to_store_do_not_affect_other_hosts(
    core: WarmStart,
) -> None:
    """Guards against a snapshot that is rejected as a whole for one entry when it is read."""
    name = "h" * 300  # a name that the endpoint list may hold
    long_named = msgspec.structs.replace(UNHEALTHY, uid=name)
    withdrawn = [(name, "DRAINING"), ("y", "DELETED")]
    own = snapshot_of(UNHEALTHY, long_named, withdrawn=withdrawn)
    stored = decode_snapshot(encode_snapshot(core.snapshot(0, own)))
    assert stored == snapshot_of(UNHEALTHY, withdrawn=[("y", "DELETED")])


def test_a_snapshot_with_too_many_withdrawn_hosts_stays_readable(core: WarmStart) -> None:
    withdrawn = [(f"h{host}", "DELETED") for host in range(MAX_HOSTS + 1)]
    own = snapshot_of(HEALTHY, withdrawn=withdrawn)
    stored = decode_snapshot(encode_snapshot(core.snapshot(0, own)))
    assert stored == snapshot_of(HEALTHY, withdrawn=withdrawn[:MAX_HOSTS])
