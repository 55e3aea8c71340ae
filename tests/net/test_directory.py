"""Hosts keep their ids and their starts; a forgotten host's id is not used again."""

from support.controller_model import DRAINING, GONE, READY, SECOND
from support.endpoint_lists import directory_of, host_json, list_json, new_directory

from plankroute.controller.message_builder import MessageBuilder
from plankroute.events import commands, events
from plankroute.events.events import ListKind
from plankroute.net.discovery.catalogue import list_from
from plankroute.net.process.clock import Clock


def test_hosts_keep_their_ids_and_unreadable_entries_leave_them_as_they_were() -> None:
    known = new_directory(Clock(lambda: 10**18, lambda: 5 * 10**9))
    members = host_json("s-1", boot_ms=999_999_000_000), host_json("s-2", az="b")
    first, refused = known.apply_list(list_from(list_json(*members)))
    assert refused == 0 and first.kind is ListKind.FULL
    assert [(e.host, e.zone, e.started_us) for e in first.entries] == [
        (0, 0, 999_999_000_000_000),
        (1, 1, 0),
    ]
    second, refused = known.apply_list(
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
    assert refused == 3 and second.kind is ListKind.CHANGES
    assert [(e.host, e.state) for e in second.entries] == [(1, READY), (0, DRAINING)]
    gone, _ = known.apply_list(list_from(list_json(host_json("s-1", state="DELETED"), whole=False)))
    assert [(e.host, e.state) for e in gone.entries] == [(0, GONE)]


def test_the_clock_never_steps_and_a_host_starts_once() -> None:
    """Guards against a host that seems to start again, or in the future, as the time is set."""
    wall, steady = [10**18], [0]
    clock = Clock(lambda: wall[0], lambda: steady[0])
    known, boot_ms = new_directory(clock), 10**12 - 2000
    started = (
        known.apply_list(list_from(list_json(host_json("s-1", boot_ms=boot_ms))))[0]
        .entries[0]
        .started_us
    )
    assert clock.now_us() - started == 2 * SECOND
    before, wall[0], steady[0] = clock.now_us(), wall[0] - 3600 * 10**9, 10**9
    assert clock.now_us() == before + SECOND
    again, new = known.apply_list(
        list_from(
            list_json(
                host_json("s-1", boot_ms=boot_ms), host_json("s-2", boot_ms=wall[0] / 1e6 - 500)
            )
        )
    )[0].entries
    assert again.started_us == started and clock.now_us() - new.started_us == SECOND // 2


def test_a_forgotten_host_that_is_listed_again_is_a_new_one() -> None:
    known, message_builder = directory_of("s-1", "s-2"), MessageBuilder(1)
    for proxy in (0, 1):
        message_builder.observe(events.ProxyJoined(proxy, 0, 9.0, True))
    message_builder.build(
        [commands.SetRoute(0, 1, 1.0), commands.BindProxy(0, 0), commands.WithdrawHost(0, True)]
    )
    known.forget(0)
    message_builder.forget(0)
    listed, refused = known.apply_list(
        list_from(list_json(host_json("s-1", boot_ms=5), rev=42, whole=False))
    )
    message_builder.observe(listed)
    assert [each.host for each in listed.entries] == [2] and not refused and known.uid(2) == "s-1"
    told = {
        m.proxy: m.withdrawn
        for m in message_builder.build([commands.SetRoute(0, 2, 1.0), commands.BindProxy(0, 1)])
    }
    assert told == {0: {}, 1: {2: False}}  # proxy 1 may hold it back yet
    listed, refused = known.apply_list(
        list_from(list_json(host_json("s-9", "DELETED"), rev=43, whole=False))
    )
    assert not listed.entries and not refused and "s-9" not in known.ids
