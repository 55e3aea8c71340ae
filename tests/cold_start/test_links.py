"""Frames of links, and drain notices that overtake a list."""

import asyncio

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from plankroute.cold_start.endpoint_list import EndpointList
from plankroute.cold_start.link_codec import (
    LINK_VERSION,
    DrainNoticeFrame,
    FrameDecoder,
    HealthCheckResults,
    Heartbeat,
    Hello,
    ListPart,
    ListProgress,
    ListStart,
    encode_frame,
)
from plankroute.net.peers.link_frames import json_array_chunks
from plankroute.net.peers.link_server import LinkServer
from plankroute.net.process.telemetry import EventLog, Telemetry


def entry(uid: str, state: str = "SERVING") -> dict:
    return {"uid": uid, "state": state}


@given(st.binary(max_size=200), st.integers(1, 50))
def test_frames_are_decoded_however_they_are_cut_and_noise_ends_it(noise: bytes, step: int) -> None:
    frames = [
        Hello(1, "g", "n", 5, False, ListProgress(1, 2, 3)),
        ListStart(5, True, 9, 1),
        ListPart(noise),
        Heartbeat(5, 0),
    ]
    data, decoder = b"".join(map(encode_frame, frames)), FrameDecoder()
    assert [
        f for at in range(0, len(data), step) for f in decoder.feed(data[at : at + step])
    ] == frames
    spoilt = FrameDecoder()
    out = spoilt.feed(b"\xff" + noise + b"\xff" * 8)
    assert out in ([], [None]) and len(spoilt.buffer) <= 70_000


class ListOwner:
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

    def on_health_checks(self, frame: HealthCheckResults) -> None:
        pass


@pytest.mark.parametrize("heartbeats_only", [False, True])
def test_a_drain_overtakes_a_large_list_on_its_link(heartbeats_only: bool) -> None:
    """Guards against a drain that waits until 4 MB have gone over a slow link."""

    async def run() -> list:
        owner = ListOwner(1000, 4000)
        server = LinkServer(owner)
        await server.open("127.253.0.1:0")
        reader, writer = await asyncio.open_connection(*server.server.sockets[0].getsockname())
        writer.write(encode_frame(Hello(LINK_VERSION, "g", "n1", 4, heartbeats_only)))
        decoder, frames = FrameDecoder(), []
        async with asyncio.timeout(30):
            while not any(isinstance(frame, Heartbeat) for frame in frames):
                frames += decoder.feed(await reader.read(4096))
                if (
                    frames and owner.endpoint_list.revision == 5
                ):  # the list, or a first beat, is on its way
                    owner.endpoint_list.apply(
                        {"rev": 6, "all": False, "targets": [entry("h7", "DRAINING")]}
                    )
                    server.on_list_changed()
            while heartbeats_only and not any(
                isinstance(frame, DrainNoticeFrame) for frame in frames
            ):
                frames += decoder.feed(await reader.read(4096))
        writer.transport.abort()
        server.close()
        return frames

    frames = asyncio.run(run())
    drains = [place for place, frame in enumerate(frames) if isinstance(frame, DrainNoticeFrame)]
    parts = [place for place, frame in enumerate(frames) if isinstance(frame, ListPart)]
    assert len(drains) == 1 and frames[drains[0]].revision == 6
    assert orjson.loads(frames[drains[0]].entries) == [entry("h7", "DRAINING")]
    assert not parts if heartbeats_only else len(parts) > 200 and drains[0] < parts[-1] - 50


def test_many_drain_notices_go_in_chunks_that_fit_a_frame() -> None:
    items = [orjson.dumps({**entry(f"h{host}"), "padding": "x" * 900}) for host in range(200)]
    pieces = json_array_chunks([*items, b"y" * 40_000], 32768)
    assert max(map(len, pieces)) <= 32768 and len(pieces) > 4
    told = [item for piece in pieces for item in orjson.loads(piece)]
    assert told == [orjson.loads(item) for item in items]
