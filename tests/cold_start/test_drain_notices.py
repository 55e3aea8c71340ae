"""Drain notices ahead of their list: how long they hold, and how they override host states."""

from hypothesis import given, settings
from hypothesis import strategies as st

from plankroute.cold_start.drain_notices import DrainNotices
from plankroute.events import events
from plankroute.events.events import HostState
from plankroute.net.discovery.catalogue import list_from
from plankroute.net.discovery.directory import Directory
from plankroute.net.peers.drain_notices import DrainNoticeOverlay
from plankroute.net.process.clock import Clock
from plankroute.net.process.telemetry import EventLog, Telemetry
from plankroute.testbed.list_service import target

SECOND = 1_000_000


DRAINS = [(uid, HostState.DRAINING) for uid in "abc"]


def test_a_drain_notice_holds_until_a_list_of_its_revision_arrives() -> None:
    notices = DrainNotices()
    assert notices.receive(
        0, "n1", 7, [*DRAINS, ("d", HostState.READY)], own_revision=5, listed_hosts=10
    ) == [
        "a",
        "b",
        "c",
    ]
    assert not notices.receive(0, "n2", 7, DRAINS, 5, 10)  # already known
    assert not notices.receive(
        0, "n2", 5, [("e", HostState.GONE)], 5, 10
    )  # not newer than the held list
    assert notices.receive(0, "n2", 8, DRAINS[:1], 5, 10) == ["a"]
    assert (
        not notices.on_list(6)
        and notices.on_list(7) == ["b", "c"]
        and notices.on_list(None) == ["a"]
    )
    assert not notices.by_host


def test_notices_of_a_peer_close_at_most_half_of_the_hosts_and_expire() -> None:
    """Guards against false notices that leave proxies no host to choose from."""
    notices = DrainNotices()
    false_notices = [(f"h{host}", HostState.GONE) for host in range(10)]
    assert len(notices.receive(0, "false", 99, false_notices, 5, 10)) == 5 and notices.rejected == 5
    assert notices.receive(SECOND, "n2", 9, [("h0", HostState.DRAINING)], 5, 10) == []
    assert not notices.expire(60 * SECOND) and len(notices.expire(61 * SECOND)) == 5
    notices.receive(0, "false", 99, false_notices, 5, 10)
    notices.receive(0, "n2", 9, [("x", HostState.DRAINING)], 5, 100)
    assert len(notices.retract("false")) == 5 and list(notices.by_host) == ["x"]


def test_drain_notices_override_older_lists_and_yield_to_newer_ones() -> None:
    submitted, telemetry = [], Telemetry(EventLog("n0", lambda line: None))
    directory = Directory(Clock(), ("a",), ("m",), ("p",))
    overlay = DrainNoticeOverlay(directory, telemetry, submitted.append)

    def listed(revision: int, is_complete: bool, **states: str) -> dict[str, str]:
        items = [
            {**target(0, "127.0.0.1:1"), "uid": uid, "state": state}
            for uid, state in states.items()
        ]
        message = list_from({"rev": revision, "all": is_complete, "targets": items})
        return states_of(
            overlay.filter_list(revision, is_complete, directory.apply_list(message)[0])
        )

    def states_of(hosts: events.HostList) -> dict[str, str]:
        return {directory.uid(entry.host): entry.state.value for entry in hosts.entries}

    all_hosts = dict.fromkeys("abcdef", "SERVING")
    listed(5, True, **all_hosts)
    overlay.receive("n1", 7, DRAINS)
    assert states_of(submitted[-1]) == dict.fromkeys("abc", "draining")
    assert (
        listed(6, True, **all_hosts)["a"] == "draining"
    )  # an older list does not settle the notice
    assert listed(6, False, a="SERVING") == {"a": "draining"}
    assert listed(7, False, a="DRAINING") == {
        "a": "draining",
        "b": "ready",
        "c": "ready",
    }  # this list settles the notices on b and c
    overlay.receive("n1", 9, [("d", HostState.GONE)])
    overlay.retract("n1")
    assert states_of(submitted[-1]) == {"d": "ready"} and not overlay.overridden_entries
    overlay.receive("n1", 9, DRAINS[1:])
    assert listed(2, True, **all_hosts) == dict.fromkeys(
        "abcdef", "ready"
    )  # the revisions restarted


@settings(max_examples=80)
@given(
    st.lists(
        st.tuples(
            st.integers(1, 20), st.sampled_from("abcdef"), st.sampled_from(HostState), st.booleans()
        ),
        max_size=30,
    )
)
def test_a_notice_holds_exactly_while_it_is_newer_than_the_list(
    messages: list[tuple[int, str, HostState, bool]],
) -> None:
    """Compares with a simple model: the newest revision of each host's notices and of lists."""
    notices, newest, held = DrainNotices(), {}, 0
    for revision, uid, state, is_list in messages:
        if is_list and revision >= held:
            held = revision
            notices.on_list(revision)
            newest = {host: notified for host, notified in newest.items() if notified > revision}
        elif not is_list and notices.receive(0, "n", revision, [(uid, state)], held, 100):
            newest[uid] = revision
    for uid in "abcdef":
        assert (uid in notices.by_host) == (uid in newest)
        if uid in newest:
            assert (
                notices.by_host[uid].state is not HostState.READY
                and notices.by_host[uid].revision > held
            )
