"""Decoding of link frames, and drain notices that overtake a list."""

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
from plankroute.net.peers.frame_handler import decode_closed_hosts
from plankroute.net.peers.link_client import LinkError
from plankroute.net.peers.link_frames import json_array_chunks
from plankroute.net.peers.link_server import LinkServer
from plankroute.net.process.telemetry import EventLog, Telemetry


def entry(uid: str, state: str = "SERVING") -> dict:
    return {"uid": uid, "state": state}


@given(st.binary(max_size=200), st.integers(1, 50))
def test_frames_are_decoded_from_any_chunks_and_invalid_bytes_stop_decoding(
    noise: bytes, step: int
) -> None:
    frames = [
        Hello(1, "g", "n", 5, False, ListProgress(1, 2, 3)),
        ListStart(5, True, 9, 1),
        ListPart(noise),
        Heartbeat(5, 0),
    ]
    data, decoder = b"".join(map(encode_frame, frames)), FrameDecoder()
    assert [
        frame for at in range(0, len(data), step) for frame in decoder.feed(data[at : at + step])
    ] == frames
    broken = FrameDecoder()
    decoded = broken.feed(b"\xff" + noise + b"\xff" * 8)
    assert decoded in ([], [None]) and len(broken.buffer) <= 70_000


def test_a_frame_with_invalid_utf8_stops_decoding() -> None:
    """Guards against an exception from bytes that a peer sends: a group that is not UTF-8."""
    body = b"\x94\x08\x02\xa1\x80\xa1A"
    decoder = FrameDecoder()
    assert decoder.feed(len(body).to_bytes(4) + body) == [None] and decoder.is_broken


def test_a_drain_notice_with_invalid_utf8_raises_link_error() -> None:
    """Guards against another exception than the one that closes the link."""
    with pytest.raises(LinkError):
        decode_closed_hosts(b'[{"uid": "\x80", "state": "DRAINING"}]')


class StubLinkOwner:
    """Stub of the `LinkOwner` of a link server, with a list of padded entries."""

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
def test_a_drain_notice_overtakes_a_large_list(heartbeats_only: bool) -> None:
    """Guards against a drain that waits until a list of 4 MB has been sent over a slow link."""

    async def run() -> list:
        owner = StubLinkOwner(1000, 4000)
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
                ):  # the list or a first heartbeat is on its way
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
    drains = [index for index, frame in enumerate(frames) if isinstance(frame, DrainNoticeFrame)]
    parts = [index for index, frame in enumerate(frames) if isinstance(frame, ListPart)]
    assert len(drains) == 1 and frames[drains[0]].revision == 6
    assert orjson.loads(frames[drains[0]].entries) == [entry("h7", "DRAINING")]
    assert not parts if heartbeats_only else len(parts) > 200 and drains[0] < parts[-1] - 50


def test_many_drain_notices_are_split_into_chunks_that_fit_a_frame() -> None:
    items = [orjson.dumps({**entry(f"h{host}"), "padding": "x" * 900}) for host in range(200)]
    chunks = json_array_chunks([*items, b"y" * 40_000], 32768)
    assert max(map(len, chunks)) <= 32768 and len(chunks) > 4
    received = [item for chunk in chunks for item in orjson.loads(chunk)]
    assert received == [orjson.loads(item) for item in items]
