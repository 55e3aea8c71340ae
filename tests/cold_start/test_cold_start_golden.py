"""Recorded bytes of each frame between controllers, and recorded decisions of election and backoff.

Guards against a rename that changes a field on the wire, and against a change in the order of
random draws or of iteration.
"""

from hashlib import blake2b

import pytest

from plankroute.cold_start.backoff import (
    BackoffFacts,
    RequestFailed,
    RequestScheduler,
    Started,
    WatchEnded,
)
from plankroute.cold_start.election_messages import (
    Command,
    Connect,
    Disconnect,
    ElectionFacts,
    Event,
    FrameReceived,
    HeartbeatReceived,
    LinkClosed,
    ListUpdated,
    LiveControllersChanged,
    ReportTransition,
    SetWatch,
    TickDue,
    Transition,
)
from plankroute.cold_start.link_codec import (
    DrainNoticeFrame,
    Frame,
    FrameDecoder,
    HealthCheckResults,
    Heartbeat,
    Hello,
    ListPart,
    ListProgress,
    ListStart,
    SharedHealthCheck,
    WarmStartHandover,
    WarmStartRequest,
    WarmStartSnapshot,
    encode_frame,
)
from plankroute.cold_start.watcher_election import WatcherElection
from plankroute.seeded_random import SeededRandom

SECOND = 1_000_000
# The digests were recorded when these transitions had other values.
RECORDED_AS = {
    Transition.INDEPENDENT: "on_its_own",
    Transition.LIST_RESTARTED: "began_anew",
    Transition.LEFT_STALE: "left_old",
}
FRAMES: dict[str, tuple[Frame, str]] = {
    "hello": (
        Hello(2, "g", "n1", 5, False, ListProgress(7, 8, 9)),
        "0000000e970102a167a26e3105c293070809",
    ),
    "hello without a partial list": (
        Hello(2, "g", "n1", -1, True),
        "0000000b970102a167a26e31ffc3c0",
    ),
    "list start": (ListStart(5, True, 900, 77, 16), "00000009960205c3cd03844d10"),
    "list part": (ListPart(b"part"), "000000089203c40470617274"),
    "heartbeat": (Heartbeat(5, 250_000), "00000008930405ce0003d090"),
    "health check results": (
        HealthCheckResults((SharedHealthCheck("h1", "answered", 900, 40, 5.5),)),
        "0000001d92059195a26831a8616e737765726564cd038428cb4016000000000000",
    ),
    "drain notice": (
        DrainNoticeFrame(6, b'[{"uid":"h1","state":"DRAINING"}]'),
        "00000026930606c4215b7b22756964223a226831222c227374617465223a22445241494e494e47227d5d",
    ),
    "warm start request": (WarmStartRequest(2, "g", "n1"), "00000008940702a167a26e31"),
    "warm start handover": (WarmStartHandover(2, "g", "n1"), "00000008940802a167a26e31"),
    "warm start snapshot": (WarmStartSnapshot("n1", 40), "000000069309a26e3128"),
}


@pytest.mark.parametrize("kind", FRAMES)
def test_the_bytes_of_each_frame_are_unchanged(kind: str) -> None:
    frame, recorded = FRAMES[kind]
    assert encode_frame(frame).hex() == recorded
    assert FrameDecoder().feed(bytes.fromhex(recorded)) == [frame]


def recorded_form(command: Command) -> tuple[object, ...]:
    """The form of a command in the digests, whose words were recorded under earlier names."""
    match command:
        case Connect(name, heartbeats_only, full_list):
            return "dial", name, heartbeats_only, full_list
        case Disconnect(name):
            return "hang", name
        case SetWatch(is_enabled, watcher_rank):
            return "watch", is_enabled, watcher_rank
        case ReportTransition(transition, name):
            return "noted", RECORDED_AS.get(transition, transition.value), name


def random_event(rng: SeededRandom, names: list[str], connected: list[str]) -> Event:
    def pick(options: list[str]) -> str:
        return options[int(rng.draw() * len(options))]

    kind = int(rng.draw() * 12)
    if kind == 0:
        return LiveControllersChanged(frozenset(name for name in names[1:] if rng.draw() < 0.9))
    if kind == 1:
        return ListUpdated(int(rng.draw() * 5), rng.draw() < 0.3)
    if kind == 2:
        return LinkClosed(pick(connected or names))
    if kind == 3:
        return FrameReceived(pick(connected or names))
    if kind == 4:
        return TickDue()
    age_us = int(rng.draw() * 14 * SECOND) if rng.draw() < 0.3 else 0
    return HeartbeatReceived(pick(connected or names), int(rng.draw() * 5) - 1, age_us)


def commands_digest(seed: int) -> tuple[str, int, int]:
    """Digest and number of all commands over random events, and the number of their kinds."""
    rng, digest, count, kinds = SeededRandom(seed), blake2b(digest_size=16), 0, set[object]()
    names = [f"n{number}" for number in range(9)]
    election = WatcherElection(ElectionFacts("n0", "g", 9, 3, 2 * SECOND))
    now_us = 0
    for _ in range(4000):
        now_us += int(rng.draw() * SECOND // 3) + (rng.draw() < 0.01) * 3 * SECOND
        connected = list(election.followed.links)
        events = [random_event(rng, names, connected) for _ in range(int(rng.draw() * 3))]
        for command in election.deliver(now_us, events):
            form = recorded_form(command)
            digest.update(repr((now_us, *form)).encode())
            count += 1
            kinds.add((form[0], form[1] if form[0] == "noted" else ""))
    return digest.hexdigest(), count, len(kinds)


RECORDED = {
    1: ("21b2bab06de6aa18d03d27fb4470b6e1", 875, 10),
    2: ("09c7ade46d134edae266ca508a041db5", 923, 10),
    3: ("0afee5d3b6882bde992ef70aa7dc554f", 901, 10),
}


@pytest.mark.parametrize("seed", RECORDED)
def test_the_same_events_give_the_same_commands(seed: int) -> None:
    assert commands_digest(seed) == RECORDED[seed]


def test_the_same_seed_gives_the_same_request_times() -> None:
    rng, digest = SeededRandom(4), blake2b(digest_size=16)
    for rank in range(20):
        scheduler = RequestScheduler(
            BackoffFacts(rank, 20, 4.0, 60 * SECOND, 30 * SECOND), rank + 1
        )
        due_us = scheduler.deliver(0, Started()).due_us
        for _ in range(50):
            event: Started | RequestFailed | WatchEnded = RequestFailed()
            drawn = rng.draw()
            if drawn < 0.2:
                event = RequestFailed(int(rng.draw() * 40 * SECOND))
            elif drawn < 0.5:
                event = WatchEnded(int(rng.draw() * 20 * SECOND))
            due_us = scheduler.deliver(due_us, event).due_us
            digest.update(repr(due_us).encode())
    assert digest.hexdigest() == "1c8662c786bfd31ec6f9bd6ef99e1da1"
