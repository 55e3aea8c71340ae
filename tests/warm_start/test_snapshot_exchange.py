"""Exchange of snapshots between controllers, with scripted peers."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
import pytest
from support.controller_model import SECOND
from support.host_snapshots import HEALTHY, UNHEALTHY, snapshot_of

from plankroute.cold_start.link_codec import ListPart, ListStart, WarmStartSnapshot, encode_frame
from plankroute.net.peers.link_frames import snapshot_frames
from plankroute.net.peers.snapshot_exchange import Peer, SnapshotExchange
from plankroute.net.process.telemetry import EventLog, Telemetry
from plankroute.warm_start.codec import decode_snapshot, encode_snapshot
from plankroute.warm_start.core import SnapshotReceived

Answer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def new_exchange(received: list[SnapshotReceived]) -> SnapshotExchange:
    telemetry = Telemetry(EventLog("n0", lambda line: None))
    return SnapshotExchange("n0", "g", "127.0.0.1", telemetry, snapshot_of, received.append)


@dataclass(frozen=True)
class RequestResult:
    received: list[SnapshotReceived]
    took_s: float


async def ask_peer(answer: Answer) -> RequestResult:
    """Sends one request, with a time limit of 400 ms, to a peer with the given behaviour."""
    received: list[SnapshotReceived] = []
    exchange = new_exchange(received)
    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        began_s = time.monotonic()
        await exchange.ask(Peer("n1", server.sockets[0].getsockname()), 0.4)
        return RequestResult(received, time.monotonic() - began_s)
    finally:
        server.close()


MANY_HOSTS = [msgspec.structs.replace(HEALTHY, uid=f"h{host}") for host in range(900)]
ALL_FRAMES = snapshot_frames("n1", 5, encode_snapshot(snapshot_of(HEALTHY, *MANY_HOSTS)))


@pytest.mark.parametrize(
    ("frames", "closes", "snapshots"),
    [
        pytest.param(ALL_FRAMES, True, 1, id="sends all"),
        pytest.param(ALL_FRAMES[:-1], True, 0, id="closes before the last part"),
        pytest.param(ALL_FRAMES[:-1], False, 0, id="pauses before the last part"),
        pytest.param([], False, 0, id="sends nothing"),
        pytest.param([], True, 0, id="closes without an answer"),
        pytest.param(
            [*ALL_FRAMES[:-1], encode_frame(ListPart(b"x" * 9000))],
            False,
            0,
            id="sends too large a part",
        ),
        pytest.param(
            [
                encode_frame(WarmStartSnapshot("n1", 0)),
                encode_frame(ListStart(0, True, 1 << 40, 1)),
            ],
            False,
            0,
            id="announces a terabyte",
        ),
        pytest.param([b"\xff" * 50], False, 0, id="sends invalid bytes"),
        pytest.param(
            [*snapshot_frames("n1", 0, b"no view at all")], True, 0, id="sends an invalid snapshot"
        ),
        pytest.param(
            [*snapshot_frames("n9", 0, encode_snapshot(snapshot_of(HEALTHY)))],
            True,
            0,
            id="sends a snapshot under another controller's name",
        ),
    ],
)
def test_a_faulty_peer_is_given_up_in_time_and_an_incomplete_answer_is_dropped(
    frames: list[bytes], closes: bool, snapshots: int
) -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for frame in frames:
            writer.write(frame)
        if closes:
            writer.close()
        else:
            await reader.read()

    result = asyncio.run(ask_peer(answer))
    assert len(result.received) == snapshots
    assert result.took_s < 3.0
    if snapshots:
        assert result.received[0].source == "n1"
        assert 5 <= result.received[0].age_us < 3 * SECOND


def test_handovers_are_bounded_and_the_newest_of_each_controller_is_kept() -> None:
    exchange = new_exchange([])
    for number in range(40):
        name = f"n{number}"
        exchange.keep_handover(name, encode_snapshot(snapshot_of(HEALTHY, controller=name)))
    exchange.keep_handover("n39", encode_snapshot(snapshot_of(UNHEALTHY, controller="n39")))
    exchange.keep_handover("n38", encode_snapshot(snapshot_of(UNHEALTHY, controller="somebody")))
    exchange.keep_handover("n37", b"noise")
    assert len(exchange.handovers) == 16
    newest = decode_snapshot(exchange.handovers["n39"].data)
    assert newest
    assert newest.hosts == (UNHEALTHY,)
    unchanged = decode_snapshot(exchange.handovers["n38"].data)
    assert unchanged
    assert unchanged.hosts == (HEALTHY,)
