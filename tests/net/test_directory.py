"""Hosts keep their ids and start times; the id of a forgotten host is not reused."""

from support.controller_model import DRAINING, GONE, READY, SECOND
from support.endpoint_lists import directory_of, host_json, list_json, new_directory

from plankroute.controller.message_builder import MessageBuilder
from plankroute.events import commands, events
from plankroute.events.events import ListKind
from plankroute.net.discovery.catalogue import list_from
from plankroute.net.process.clock import Clock


def test_hosts_keep_their_ids_and_unreadable_entries_leave_them_as_they_were() -> None:
    directory = new_directory(Clock(lambda: 10**18, lambda: 5 * 10**9))
    members = host_json("s-1", boot_ms=999_999_000_000), host_json("s-2", az="b")
    first, rejected = directory.apply_list(list_from(list_json(*members)))
    assert rejected == 0 and first.kind is ListKind.FULL
    assert [(e.host, e.zone, e.started_us) for e in first.entries] == [
        (0, 0, 999_999_000_000_000),
        (1, 1, 0),
    ]
    second, rejected = directory.apply_list(
        list_from(
            list_json(
                host_json("s-2", state="??"),
                host_json("s-1", state="DRAINING"),
                host_json("s-3", az="zz"),
                {},
                whole=False,
            )
        )
    )
    assert rejected == 3 and second.kind is ListKind.CHANGES
    assert [(e.host, e.state) for e in second.entries] == [(1, READY), (0, DRAINING)]
    gone, _ = directory.apply_list(
        list_from(list_json(host_json("s-1", state="DELETED"), whole=False))
    )
    assert [(e.host, e.state) for e in gone.entries] == [(0, GONE)]


def test_a_step_of_the_system_time_moves_neither_the_clock_nor_a_start_time() -> None:
    """Otherwise a host would appear to restart or to start in the future."""
    system_ns = [10**18]
    monotonic_ns = [0]
    clock = Clock(lambda: system_ns[0], lambda: monotonic_ns[0])
    directory = new_directory(clock)
    boot_ms = 10**12 - 2000
    listed, _ = directory.apply_list(list_from(list_json(host_json("s-1", boot_ms=boot_ms))))
    started_us = listed.entries[0].started_us
    assert clock.now_us() - started_us == 2 * SECOND
    before = clock.now_us()
    system_ns[0] -= 3600 * 10**9
    monotonic_ns[0] = 10**9
    assert clock.now_us() == before + SECOND
    old_host = host_json("s-1", boot_ms=boot_ms)
    new_host = host_json("s-2", boot_ms=system_ns[0] / 1e6 - 500)
    listed, _ = directory.apply_list(list_from(list_json(old_host, new_host)))
    again, new = listed.entries
    assert again.started_us == started_us and clock.now_us() - new.started_us == SECOND // 2


def test_a_forgotten_host_that_is_listed_again_is_a_new_one() -> None:
    directory = directory_of("s-1", "s-2")
    message_builder = MessageBuilder(1)
    for proxy in (0, 1):
        message_builder.observe(events.ProxyJoined(proxy, 0, 9.0, True), 0)
    message_builder.build(
        [commands.SetRoute(0, 1, 1.0), commands.BindProxy(0, 0), commands.WithdrawHost(0, True)]
    )
    directory.forget(0)
    message_builder.forget(0)
    listed, rejected = directory.apply_list(
        list_from(list_json(host_json("s-1", boot_ms=5), rev=42, whole=False))
    )
    message_builder.observe(listed, 61 * SECOND)  # hosts are forgotten after a minute
    assert (
        [each.host for each in listed.entries] == [2] and not rejected and directory.uid(2) == "s-1"
    )
    messages = message_builder.build([commands.SetRoute(0, 2, 1.0), commands.BindProxy(0, 1)])
    withdrawn = {message.proxy: message.withdrawn for message in messages}
    assert withdrawn == {0: {}, 1: {2: False}}  # proxy 1 may still have it withdrawn
    listed, rejected = directory.apply_list(
        list_from(list_json(host_json("s-9", "DELETED"), rev=43, whole=False))
    )
    assert not listed.entries and not rejected and "s-9" not in directory.ids
