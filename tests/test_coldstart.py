"""A start of many stewards: the list service called alone, then through peers; cores first, then real
processes."""

import asyncio
from collections import Counter
from zlib import crc32

import msgspec
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plankroute.cold_start.backoff import (
    RETRY_BURST,
    BackoffFacts,
    RequestFailed,
    RequestScheduler,
    Started,
    WatchEnded,
)
from plankroute.cold_start.drain_notices import DrainNotices
from plankroute.cold_start.election_messages import (
    Connect,
    Disconnect,
    ElectionFacts,
    HeartbeatReceived,
    LinkClosed,
    ListUpdated,
    LiveControllersChanged,
    ReportTransition,
    SetWatch,
    Transition,
)
from plankroute.cold_start.endpoint_list import EndpointList
from plankroute.cold_start.link_codec import (
    LINK_VERSION,
    DrainNoticeFrame,
    FrameDecoder,
    Heartbeat,
    Hello,
    ListPart,
    ListProgress,
    ListStart,
    encode_frame,
)
from plankroute.cold_start.list_receiver import ListReceiver, ListTransferError
from plankroute.cold_start.probe_sharing import (
    SharedResult,
    Survey,
    assigned_controllers,
    is_sampled,
)
from plankroute.cold_start.rendezvous import rendezvous_order
from plankroute.cold_start.retry_after import parse_retry_after
from plankroute.cold_start.watcher_election import WatcherElection
from plankroute.events import events
from plankroute.events.events import HostState
from plankroute.net.discovery.backoff_watch import BackoffDiscovery
from plankroute.net.discovery.catalogue import list_from
from plankroute.net.discovery.directory import Directory
from plankroute.net.peers.drain_notices import DrainNoticeOverlay
from plankroute.net.peers.link_frames import json_array_chunks
from plankroute.net.peers.link_server import LinkServer
from plankroute.net.process.clock import Clock
from plankroute.net.process.telemetry import EventLog, Telemetry
from plankroute.testbed.cold_start import Case, down_until, run_case
from plankroute.testbed.cold_start_cases import CASES, run_cold
from plankroute.testbed.list_service import Behaviour, Mode, Phase, target

SECOND = 1_000_000


def callers(stewards: int, rate: float = 20.0, **more) -> list[RequestScheduler]:
    facts = {"max_pause_us": 60 * SECOND, "max_retry_after_us": 30 * SECOND} | more
    return [
        RequestScheduler(BackoffFacts(rank, stewards, rate, **facts), rank + 1)
        for rank in range(stewards)
    ]


def busiest(times: list[int]) -> int:
    times = sorted(times)
    return max(sum(at <= other < at + SECOND for other in times) for at in times)


def test_first_calls_of_a_hundred_are_as_fast_as_the_service_and_no_faster():
    times = [caller.deliver(0, Started()).due_us for caller in callers(100)]
    assert busiest(times) <= 21 and max(times) < 5.5 * SECOND


def test_through_an_outage_each_is_refused_twice_at_most_and_nobody_waits_long_after_it():
    """Also the same row of rounds for all: guards against calls that come all at once when the service is
    back."""
    refused, served = [], []
    for caller in callers(100):
        due, times = caller.deliver(0, Started()).due_us, 0
        while due < 8 * SECOND:
            due, times = caller.deliver(due, RequestFailed()).due_us, times + 1
        refused.append(times)
        served.append(due)
    assert max(refused) <= 2 and max(served) < 17 * SECOND and busiest(served) <= 21


def test_pauses_grow_in_a_long_outage_and_shrink_after_a_good_watch():
    (caller,) = callers(100)[50:51]
    due, dues = caller.deliver(0, Started()).due_us, []
    for _ in range(12):
        due = caller.deliver(due, RequestFailed()).due_us
        dues.append(due)
    gaps = [later - sooner for sooner, later in zip(dues, dues[1:], strict=False)]
    assert max(gaps[:2]) < 8 * SECOND and 15 * SECOND < min(gaps[-3:]) <= max(gaps) <= 21.5 * SECOND
    again = caller.deliver(due + 100 * SECOND, WatchEnded(100 * SECOND)).due_us - due - 100 * SECOND
    assert 0 < again < 5.5 * SECOND


def test_a_watch_that_breaks_everywhere_at_once_is_a_cold_start_too():
    times = []
    for caller in callers(100):
        due = caller.deliver(0, Started()).due_us
        times.append(caller.deliver(60 * SECOND, WatchEnded(60 * SECOND - due)).due_us)
    assert busiest(times) <= 21 and max(times) < 65.5 * SECOND


def test_watches_that_break_at_once_run_out_of_their_budget():
    """Guards against a service that takes calls and drops them: it sees fewer calls, not more."""
    (caller,) = callers(2)[:1]
    now, times = 0, []
    for _ in range(40):
        now = caller.deliver(now, WatchEnded(1000)).due_us
        times.append(now)
    assert busiest(times) <= RETRY_BURST + 1 and times[-1] > 15 * SECOND


@pytest.mark.parametrize(
    "asked_us, least_s, most_s",
    [(3600 * SECOND, 30, 36), (12 * SECOND, 12, 18), (None, 0, 11), (0, 0, 11)],
)
def test_retry_after_is_heeded_within_its_bound(asked_us, least_s, most_s):
    for caller in callers(100)[::9]:
        due = caller.deliver(0, Started()).due_us
        waits = caller.deliver(due, RequestFailed(asked_us)).due_us - due
        assert least_s * SECOND <= waits <= most_s * SECOND


def test_both_forms_of_retry_after_and_nonsense():
    unix = 784_111_777.0  # Sun, 06 Nov 1994 08:49:37 GMT
    assert parse_retry_after(b"120", unix) == 120 * SECOND
    assert parse_retry_after(b"Sun, 06 Nov 1994 08:49:47 GMT", unix) == 10 * SECOND
    assert parse_retry_after(b"Sun, 06 Nov 1994 08:00:00 GMT", unix) == 0
    for nonsense in (
        None,
        b"",
        b"soon",
        b"-5",
        b"1e9",
        b"99999999999999999999",
        b"\xff\xfe",
        b"Sun, 99 Nov",
    ):
        assert parse_retry_after(nonsense, unix) is None


ALONE = {
    "good": Behaviour(20.0),
    "down for eight seconds": down_until(8.0, 20.0),
    "one call in three": Behaviour(40.0, "1", (Phase(0.0, Mode.ONE_IN_THREE),)),
    "hangs after the head": Behaviour(20.0, "1", (Phase(0.0, Mode.HANG), Phase(2.0))),
    "half a list": Behaviour(20.0, "1", (Phase(0.0, Mode.HALF), Phase(2.0))),
    "restarts in the middle": Behaviour(20.0, "1", (Phase(0.0), Phase(0.4, restart=True))),
    "asks for an hour": Behaviour(20.0, "3600", (Phase(0.0, Mode.BUSY), Phase(1.0))),
    "asks for nonsense": Behaviour(20.0, "soon; very", (Phase(0.0, Mode.BUSY), Phase(1.0))),
}
STEWARDS = 12


@pytest.fixture(scope="module")
def alone():
    async def run():
        return await asyncio.gather(
            *(
                run_case(
                    Case(
                        "alone",
                        STEWARDS,
                        500,
                        behaviour,
                        net=100 + place,
                        limit_s=60.0,
                        own={"retry_after_most_s": 3.0},
                    )
                )
                for place, behaviour in enumerate(ALONE.values())
            )
        )

    return dict(zip(ALONE, asyncio.run(run()), strict=True))


@pytest.mark.parametrize("name", ALONE)
def test_real_stewards_get_their_list_through_a_service_in_trouble(alone, name):
    seen = alone[name]
    assert seen.served == STEWARDS, f"{seen.served} serve"
    assert seen.busiest <= 20 * 1.5
    if name == "good":
        assert seen.calls <= 1.3 * STEWARDS and not seen.refused
    if name == "asks for an hour":
        assert seen.calls <= 3 * STEWARDS


# The list through peers


def entry(uid: str, state: str = "SERVING") -> dict:
    return {"uid": uid, "state": state}


@settings(max_examples=60)
@given(
    st.lists(
        st.lists(
            st.tuples(
                st.sampled_from("abcdefg"), st.sampled_from(["SERVING", "DRAINING", "DELETED"])
            ),
            max_size=4,
        ),
        max_size=12,
    ),
    st.integers(0, 12),
)
def test_what_has_changed_since_a_revision_brings_any_older_list_up(steps, behind):
    held, older = EndpointList(), EndpointList()
    held.apply({"rev": 5, "all": True, "targets": [entry(uid) for uid in "abc"]})
    older.apply(orjson.loads(held.complete()))
    for number, step in enumerate(steps):
        change = {"rev": 6 + number, "all": False, "targets": [entry(*one) for one in step]}
        held.apply(change)
        if number < behind:
            older.apply(change)
    assert (since := held.changes_since(older.revision)) is not None
    older.apply(orjson.loads(since))
    assert (
        older.complete() == held.complete()
        and held.changes_since(4) is None
        and held.changes_since(99) is None
    )


def test_a_list_that_broke_off_goes_on_at_another_and_a_bad_one_is_left():
    data = EndpointList().complete() * 400
    incoming = ListReceiver(len(data))
    whole = ListStart(7, True, len(data), crc32(data))
    rest = msgspec.structs.replace(whole, offset=100)
    incoming.start(whole)
    assert incoming.add(data[:100]) is None
    assert incoming.progress() == ListProgress(7, crc32(data), 100)
    with pytest.raises(ListTransferError, match="^resumes another list$"):
        incoming.start(msgspec.structs.replace(rest, revision=8))
    incoming.start(rest)
    assert incoming.add(data[100:]) == data
    with pytest.raises(ListTransferError, match="^too large$"):
        incoming.start(ListStart(7, True, len(data) + 1, 1))
    incoming.start(ListStart(7, True, 4, 1))
    with pytest.raises(ListTransferError, match="^longer than announced$"):
        incoming.add(b"xxxxx")
    incoming.start(ListStart(7, True, 4, 1))
    with pytest.raises(ListTransferError, match="^wrong checksum$"):
        incoming.add(b"xxxx")


@given(st.binary(max_size=200), st.integers(1, 50))
def test_frames_come_out_as_they_went_in_however_they_are_cut_and_noise_ends_it(noise, step):
    frames = [
        Hello(1, "g", "n", 5, False, ListProgress(1, 2, 3)),
        ListStart(5, True, 9, 1),
        ListPart(noise),
        Heartbeat(5, 0),
    ]
    data, cutter = b"".join(map(encode_frame, frames)), FrameDecoder()
    assert [
        f for at in range(0, len(data), step) for f in cutter.feed(data[at : at + step])
    ] == frames
    spoilt = FrameDecoder()
    out = spoilt.feed(b"\xff" + noise + b"\xff" * 8)
    assert out in ([], [None]) and len(spoilt.buffer) <= 70_000


class Stage:
    """One steward that follows, and the hands of the test on its time."""

    def __init__(self, others: int = 9, name: str = "") -> None:
        names = [f"n{number}" for number in range(others + 1)]
        self.watchers = rendezvous_order(names, "g")[:3]
        self.me = name or next(one for one in names if one not in self.watchers)
        self.core = WatcherElection(ElectionFacts(self.me, "g", len(names), 3, 2 * SECOND))
        self.now, self.names = 0, frozenset(names) - {self.me}
        self.done = self.core.deliver(0, [LiveControllersChanged(self.names)])

    def main(self) -> str:
        return next(name for name, link in self.core.followed.links.items() if not link.heartbeats_only)

    def witness(self) -> str:
        return next(name for name, link in self.core.followed.links.items() if link.heartbeats_only)

    def say(self, seconds: float, *said: HeartbeatReceived) -> list:
        """The same words each quarter of a second for so long."""
        out = []
        for _ in range(int(seconds * 4)):
            self.now += SECOND // 4
            out += self.core.deliver(self.now, [*said])
        return out


def test_everyone_finds_the_same_watchers_and_one_that_goes_moves_nobody_else():
    names = [f"n{number}" for number in range(50)]
    order = rendezvous_order(names, "g")
    assert rendezvous_order(reversed(names), "g") == order
    assert rendezvous_order([name for name in names if name != order[1]], "g") == [
        order[0],
        *order[2:],
    ]
    firsts = Counter(rendezvous_order(order[:3], name)[0] for name in names)
    assert min(firsts.values()) > 5  # followers are spread over the watchers


def test_nobody_calls_the_service_while_nobody_knows_anybody():
    core = WatcherElection(ElectionFacts("n0", "g", 300, 3, 2 * SECOND))
    assert not core.deliver(0, []) and not core.deliver(
        SECOND // 4, [LiveControllersChanged(frozenset({"n1"}))]
    )
    core.deliver(SECOND // 2, [LiveControllersChanged(frozenset())])
    out = [action for at in range(3, 24) for action in core.deliver(at * SECOND // 4, [])]
    assert out == [
        ReportTransition(Transition.INDEPENDENT),
        SetWatch(True, None),
    ]  # alone: in rounds by rank


def test_a_watcher_that_stalls_is_left_for_the_next_and_nobody_at_all_for_the_service():
    stage = Stage()
    main, witness = stage.main(), stage.witness()
    assert not stage.say(4, HeartbeatReceived(main, 5, 0), HeartbeatReceived(witness, 5, 0))
    out = stage.say(3, HeartbeatReceived(witness, 5, 0))
    assert (
        Disconnect(main) in out
        and stage.main() not in (main, witness)
        and SetWatch(True, None) not in out
    )
    out = stage.say(14)
    assert SetWatch(True, None) in out
    out = stage.say(2, HeartbeatReceived(stage.main(), 5, 0))
    assert SetWatch(False, None) in out


def test_an_old_relay_is_left_and_a_service_that_began_anew_believed():
    stage = Stage()
    main, witness = stage.main(), stage.witness()
    stage.core.deliver(stage.now, [ListUpdated(50, False)])
    out = stage.say(1, HeartbeatReceived(main, 40, 60 * SECOND), HeartbeatReceived(witness, 50, 0))
    assert Disconnect(main) in out and not [
        a for a in out if isinstance(a, Connect) and a.full_list
    ]
    stage = Stage()
    main, witness = stage.main(), stage.witness()
    stage.core.deliver(stage.now, [ListUpdated(50, False)])
    out = stage.say(4, HeartbeatReceived(main, 2, 0), HeartbeatReceived(witness, 2, 0))
    assert Connect(main, False, True) in out


def test_one_alone_that_says_less_is_checked_with_the_service_and_so_is_one_that_claims_more():
    for words in ((2, None), (900, 50)):
        stage = Stage()
        main, witness = stage.main(), stage.witness()
        stage.core.deliver(stage.now, [ListUpdated(50, False)])
        said = [HeartbeatReceived(main, words[0], 0)] + (
            [HeartbeatReceived(witness, words[1], 0)] if words[1] else []
        )
        if not words[1]:
            stage.core.deliver(stage.now, [LinkClosed(witness)])
            stage.core.followed.avoided_until_us = dict.fromkeys(set(stage.watchers) - {main}, 1 << 60)
        assert SetWatch(True, None) in stage.say(6, *said)
        out = stage.core.deliver(stage.now, [ListUpdated(50, True)])
        assert (ReportTransition(Transition.LEFT_AHEAD, main) in out) is (words[0] == 900)


def test_each_host_is_probed_by_as_many_as_stated_its_own_zone_first():
    zones = {f"n{number}": "abc"[number % 3] for number in range(30)}
    asked = Counter()
    for host in range(200):
        probers = assigned_controllers(f"h{host}", "a", zones, 3)
        assert probers == assigned_controllers(f"h{host}", "a", dict(reversed(zones.items())), 3)
        assert len(set(probers)) == 3 and all(zones[name] == "a" for name in probers)
        asked.update(probers)
    assert max(asked.values()) < 2 * 600 / 10
    assert (
        len(assigned_controllers("h", "d", zones, 3)) == 3
        and len(assigned_controllers("h", "a", {"n0": "b"}, 3)) == 1
    )
    drawn = [
        sum(is_sampled(f"n{name}", f"h{host}", 3, 300) for name in range(300))
        for host in range(100)
    ]
    assert 2 < sum(drawn) / 100 < 4


def test_results_count_by_their_age_and_by_the_start_of_the_host():
    survey = Survey("n0", 3, 10)
    assert survey.keep("h", SharedResult(9000, 10 * SECOND, 5.0)) and not survey.keep(
        "h", SharedResult(1, 9 * SECOND, 5.0)
    )
    assert survey.fresh_result("h", 5.0, 11 * SECOND) and not survey.fresh_result(
        "h", 5.0, 13 * SECOND
    )
    assert not survey.fresh_result("h", 6.0, 11 * SECOND)  # another start: another host
    assert survey.keep("h", SharedResult(1, 9 * SECOND, 6.0)) and survey.fresh_result(
        "h", 6.0, 10 * SECOND
    )
    assert not survey.fresh_result("x", 0.0, 0)


@pytest.mark.parametrize("way", ["peers", "alone"])
def test_a_survey_of_all_hosts_is_shared_out(way):
    """Real stewards, stand-in hosts that count, a proxy for each: today's way probes each host once a
    steward."""
    seen = asyncio.run(
        run_case(Case(way, 10, 60, Behaviour(20.0), net=160 + (way == "alone"), with_hosts=True))
    )
    assert seen.served == 10 and seen.notes["connections_most"] <= 10
    assert 2 <= seen.notes["probes_a_host_mean"] <= 4.5
    if way == "peers":
        assert seen.notes["probes_a_host_most"] <= 5


# Drains ahead of the list


DRAINS = [(uid, HostState.DRAINING) for uid in "abc"]


def test_a_drain_told_ahead_holds_until_a_list_of_its_revision_says_otherwise():
    early = DrainNotices()
    assert early.receive(
        0, "n1", 7, [*DRAINS, ("d", HostState.READY)], own_revision=5, listed_hosts=10
    ) == [
        "a",
        "b",
        "c",
    ]
    assert not early.receive(0, "n2", 7, DRAINS, 5, 10)  # known already
    assert not early.receive(0, "n2", 5, [("e", HostState.GONE)], 5, 10)  # the list held says more
    assert early.receive(0, "n2", 8, DRAINS[:1], 5, 10) == ["a"]
    assert not early.on_list(6) and early.on_list(7) == ["b", "c"] and early.on_list(None) == ["a"]
    assert not early.by_host


def test_a_peer_can_close_half_of_the_hosts_ahead_of_a_list_and_only_for_a_while():
    """Guards against a liar that leaves proxies nobody to pick."""
    early = DrainNotices()
    lies = [(f"h{host}", HostState.GONE) for host in range(10)]
    assert len(early.receive(0, "liar", 99, lies, 5, 10)) == 5 and early.rejected == 5
    assert early.receive(SECOND, "n2", 9, [("h0", HostState.DRAINING)], 5, 10) == []
    assert not early.expire(60 * SECOND) and len(early.expire(61 * SECOND)) == 5
    early.receive(0, "liar", 99, lies, 5, 10)
    early.receive(0, "n2", 9, [("x", HostState.DRAINING)], 5, 100)
    assert len(early.retract("liar")) == 5 and list(early.by_host) == ["x"]


def test_what_was_told_ahead_lies_over_lists_and_gives_way_to_the_lists_own_word():
    told, telemetry = [], Telemetry(EventLog("n0", lambda line: None))
    directory = Directory(Clock(), ("a",), ("m",), ("p",))
    ahead = DrainNoticeOverlay(directory, telemetry, told.append)

    def listed(revision: int, whole: bool, **states: str) -> dict[str, str]:
        items = [
            {**target(0, "127.0.0.1:1"), "uid": uid, "state": state}
            for uid, state in states.items()
        ]
        said = list_from({"rev": revision, "all": whole, "targets": items})
        return states_of(ahead.filter_list(revision, whole, directory.apply_list(said)[0]))

    def states_of(note: events.HostList) -> dict[str, str]:
        return {directory.uid(entry.host): entry.state.value for entry in note.entries}

    everybody = dict.fromkeys("abcdef", "SERVING")
    listed(5, True, **everybody)
    ahead.receive("n1", 7, DRAINS)
    assert states_of(told[-1]) == dict.fromkeys("abc", "draining")
    assert listed(6, True, **everybody)["a"] == "draining"  # an older list opens nobody
    assert listed(6, False, a="SERVING") == {"a": "draining"}
    assert listed(7, False, a="DRAINING") == {
        "a": "draining",
        "b": "ready",
        "c": "ready",
    }  # those were lies
    ahead.receive("n1", 9, [("d", HostState.GONE)])
    ahead.retract("n1")
    assert states_of(told[-1]) == {"d": "ready"} and not ahead.listed
    ahead.receive("n1", 9, DRAINS[1:])
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
def test_no_host_is_open_that_the_newest_word_heard_has_closed(words):
    """A plain model beside it: of each host the newest word, from early drains and from lists alike."""
    early, newest, held = DrainNotices(), {}, 0
    for revision, uid, state, is_list in words:
        if is_list and revision >= held:
            held = revision
            early.on_list(revision)
            newest = {host: at for host, at in newest.items() if at > revision}
        elif not is_list:
            if early.receive(0, "n", revision, [(uid, state)], held, 100):
                newest[uid] = revision
    for uid in "abcdef":
        assert (uid in early.by_host) == (uid in newest)
        if uid in newest:
            assert (
                early.by_host[uid].state is not HostState.READY
                and early.by_host[uid].revision > held
            )


class HoldsList:
    """Owner of links, and what it holds."""

    group, name = "g", "n0"

    def __init__(self, hosts: int, padding: int) -> None:
        self.telemetry, self.endpoint_list = (
            Telemetry(EventLog("n0", lambda line: None)),
            EndpointList(),
        )
        targets = [{**entry(f"h{host}"), "padding": "x" * padding} for host in range(hosts)]
        self.endpoint_list.apply({"rev": 5, "all": True, "targets": targets})

    def age_us(self) -> int:
        return 0

    def on_health_checks(self, frame) -> None:
        pass


@pytest.mark.parametrize("light", [False, True])
def test_a_drain_overtakes_a_large_list_on_its_link(light):
    """Guards against a drain that waits until 4 MB have gone over a slow link."""

    async def run() -> list:
        owner = HoldsList(1000, 4000)
        server = LinkServer(owner)
        await server.open("127.253.0.1:0")
        reader, writer = await asyncio.open_connection(*server.server.sockets[0].getsockname())
        writer.write(encode_frame(Hello(LINK_VERSION, "g", "n1", 4, light)))
        cutter, frames = FrameDecoder(), []
        async with asyncio.timeout(30):
            while not any(isinstance(frame, Heartbeat) for frame in frames):
                frames += cutter.feed(await reader.read(4096))
                if (
                    frames and owner.endpoint_list.revision == 5
                ):  # the list, or a first beat, is on its way
                    owner.endpoint_list.apply(
                        {"rev": 6, "all": False, "targets": [entry("h7", "DRAINING")]}
                    )
                    server.on_list_changed()
            while light and not any(isinstance(frame, DrainNoticeFrame) for frame in frames):
                frames += cutter.feed(await reader.read(4096))
        writer.transport.abort()
        server.close()
        return frames

    frames = asyncio.run(run())
    drains = [place for place, frame in enumerate(frames) if isinstance(frame, DrainNoticeFrame)]
    parts = [place for place, frame in enumerate(frames) if isinstance(frame, ListPart)]
    assert len(drains) == 1 and frames[drains[0]].revision == 6
    assert orjson.loads(frames[drains[0]].entries) == [entry("h7", "DRAINING")]
    assert not parts if light else len(parts) > 200 and drains[0] < parts[-1] - 50


def test_many_drains_go_in_pieces_that_fit_a_frame():
    items = [orjson.dumps({**entry(f"h{host}"), "padding": "x" * 900}) for host in range(200)]
    pieces = json_array_chunks([*items, b"y" * 40_000], 32768)
    assert max(map(len, pieces)) <= 32768 and len(pieces) > 4
    told = [item for piece in pieces for item in orjson.loads(piece)]
    assert told == [orjson.loads(item) for item in items]


def test_a_steward_that_stood_still_does_not_find_all_others_late():
    """Guards against hundreds that go to the service together because they were starved of their cores."""
    stage = Stage()
    said = [HeartbeatReceived(stage.main(), 5, 0), HeartbeatReceived(stage.witness(), 5, 0)]
    stage.say(3, *said)
    for _ in range(4):  # beats two seconds apart, with the others' words waiting behind them
        stage.now += 2 * SECOND
        assert not [
            a for a in stage.core.deliver(stage.now, []) if isinstance(a, Disconnect | SetWatch)
        ]
        stage.core.deliver(stage.now, [*said])
    stage.say(3)
    assert SetWatch(True, None) in stage.say(14)  # it is awake, and they are silent


def test_watchers_that_have_all_lost_the_service_are_no_word():
    """Guards against a group whose three watchers are cut off from the list service while others are not."""
    stage = Stage()
    said = [HeartbeatReceived(stage.main(), 50, 0), HeartbeatReceived(stage.witness(), 50, 0)]
    assert SetWatch(True, None) not in stage.say(6, *said)
    out = stage.say(6, *(HeartbeatReceived(one.name, 50, 11 * SECOND) for one in said))
    assert SetWatch(True, None) in out and SetWatch(False, None) in stage.say(2, *said)


AT_ONCE = 6  # of ten processes each: with all at once the machine itself was what they met


@pytest.fixture(scope="module")
def through_peers():
    async def run():
        room = asyncio.Semaphore(AT_ONCE)

        async def one(name: str, net: int):
            async with room:
                return await run_cold(name, net)

        return await asyncio.gather(*(one(name, 140 + place) for place, name in enumerate(CASES)))

    return dict(zip(CASES, asyncio.run(run()), strict=True))


@pytest.mark.parametrize("name", CASES)
def test_real_stewards_take_the_list_from_each_other_through_faults(through_peers, name):
    assert not through_peers[name][0]


@pytest.mark.parametrize(
    "answer, expected",
    [
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\n\r\n", WatchEnded),
        (b"HTTP/1.1 503 Busy\r\nRetry-After: 7\r\nContent-Length: 5\r\n\r\nbusy\n", RequestFailed),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n{"re\r\n', RequestFailed),
    ],
)
def test_a_watch_that_had_nothing_to_tell_is_no_refusal(answer, expected):
    """Guards against pauses that grow though the service is well, and a 503's body taken for its word."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    async def scene():
        async with asyncio.timeout(20), await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            careful = BackoffDiscovery(
                f"127.0.0.1:{port}",
                1 << 20,
                Directory(Clock(), ("a",), ("m",), ()),
                Telemetry(EventLog("n", [].append)),
                1,
                False,
                [].append,
            )
            careful.prepare(BackoffFacts(0, 1, 20.0, SECOND, SECOND), SECOND, 1)
            careful.revision = 5
            return await careful.request_once()

    event = asyncio.run(scene())
    assert isinstance(event, expected)
    assert not isinstance(event, RequestFailed) or event.retry_after_us in (None, 7 * SECOND)
