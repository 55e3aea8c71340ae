"""Drain notices ahead of the list, and how they lie over it."""

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


def test_a_drain_notice_holds_until_a_list_of_its_revision_says_otherwise() -> None:
    notices = DrainNotices()
    assert notices.receive(
        0, "n1", 7, [*DRAINS, ("d", HostState.READY)], own_revision=5, listed_hosts=10
    ) == [
        "a",
        "b",
        "c",
    ]
    assert not notices.receive(0, "n2", 7, DRAINS, 5, 10)  # known already
    assert not notices.receive(
        0, "n2", 5, [("e", HostState.GONE)], 5, 10
    )  # the list held says more
    assert notices.receive(0, "n2", 8, DRAINS[:1], 5, 10) == ["a"]
    assert (
        not notices.on_list(6)
        and notices.on_list(7) == ["b", "c"]
        and notices.on_list(None) == ["a"]
    )
    assert not notices.by_host


def test_a_peer_can_close_half_of_the_hosts_and_only_for_a_while() -> None:
    """Guards against false notices that leave proxies nobody to pick."""
    notices = DrainNotices()
    false_notices = [(f"h{host}", HostState.GONE) for host in range(10)]
    assert len(notices.receive(0, "false", 99, false_notices, 5, 10)) == 5 and notices.rejected == 5
    assert notices.receive(SECOND, "n2", 9, [("h0", HostState.DRAINING)], 5, 10) == []
    assert not notices.expire(60 * SECOND) and len(notices.expire(61 * SECOND)) == 5
    notices.receive(0, "false", 99, false_notices, 5, 10)
    notices.receive(0, "n2", 9, [("x", HostState.DRAINING)], 5, 100)
    assert len(notices.retract("false")) == 5 and list(notices.by_host) == ["x"]


def test_drain_notices_lie_over_lists_and_give_way_to_the_lists_own_state() -> None:
    submitted, telemetry = [], Telemetry(EventLog("n0", lambda line: None))
    directory = Directory(Clock(), ("a",), ("m",), ("p",))
    overlay = DrainNoticeOverlay(directory, telemetry, submitted.append)

    def listed(revision: int, whole: bool, **states: str) -> dict[str, str]:
        items = [
            {**target(0, "127.0.0.1:1"), "uid": uid, "state": state}
            for uid, state in states.items()
        ]
        said = list_from({"rev": revision, "all": whole, "targets": items})
        return states_of(overlay.filter_list(revision, whole, directory.apply_list(said)[0]))

    def states_of(note: events.HostList) -> dict[str, str]:
        return {directory.uid(entry.host): entry.state.value for entry in note.entries}

    everybody = dict.fromkeys("abcdef", "SERVING")
    listed(5, True, **everybody)
    overlay.receive("n1", 7, DRAINS)
    assert states_of(submitted[-1]) == dict.fromkeys("abc", "draining")
    assert listed(6, True, **everybody)["a"] == "draining"  # an older list opens nobody
    assert listed(6, False, a="SERVING") == {"a": "draining"}
    assert listed(7, False, a="DRAINING") == {
        "a": "draining",
        "b": "ready",
        "c": "ready",
    }  # those notices were false
    overlay.receive("n1", 9, [("d", HostState.GONE)])
    overlay.retract("n1")
    assert states_of(submitted[-1]) == {"d": "ready"} and not overlay.overridden_entries
    overlay.receive("n1", 9, DRAINS[1:])
    assert listed(2, True, **everybody) == dict.fromkeys(
        "abcdef", "ready"
    )  # the service began anew


@settings(max_examples=80)
@given(
    st.lists(
        st.tuples(
            st.integers(1, 20), st.sampled_from("abcdef"), st.sampled_from(HostState), st.booleans()
        ),
        max_size=30,
    )
)
def test_no_host_is_open_that_the_newest_notice_or_list_has_closed(
    words: list[tuple[int, str, HostState, bool]],
) -> None:
    """A plain model beside it: of each host the newest revision, of notices and of lists."""
    notices, newest, held = DrainNotices(), {}, 0
    for revision, uid, state, is_list in words:
        if is_list and revision >= held:
            held = revision
            notices.on_list(revision)
            newest = {host: at for host, at in newest.items() if at > revision}
        elif not is_list and notices.receive(0, "n", revision, [(uid, state)], held, 100):
            newest[uid] = revision
    for uid in "abcdef":
        assert (uid in notices.by_host) == (uid in newest)
        if uid in newest:
            assert (
                notices.by_host[uid].state is not HostState.READY
                and notices.by_host[uid].revision > held
            )
