"""One controller that follows this one: what is sent to it, and when."""

import asyncio
from typing import Protocol
from zlib import crc32

import orjson

from plankroute.cold_start.endpoint_list import EndpointList
from plankroute.cold_start.link_codec import (
    PART_BYTES,
    DrainNoticeFrame,
    Frame,
    HealthCheckResults,
    Heartbeat,
    Hello,
    ListPart,
    ListProgress,
    ListStart,
    SharedHealthCheck,
    encode_frame,
)
from plankroute.net.peers.link_frames import json_array_chunks
from plankroute.net.process.telemetry import Telemetry

# Between heartbeats: four in the shortest time after which a controller is left.
HEARTBEAT_S = 0.5
# For one part to be taken by the kernel: three of them in the stall time-out of who reads it.
WRITE_TIMEOUT_S = 5.0
MAX_DRAIN_NOTICE_BYTES = 32768  # of entries in one frame
MAX_RESULTS = 256  # of health checks in one frame


class LinkOwner(Protocol):
    """Who has the links: `peers.shared_discovery`."""

    group: str
    name: str
    telemetry: Telemetry
    endpoint_list: EndpointList

    def age_us(self) -> int:
        """Age of the last contact with the list service."""

    def on_health_checks(self, frame: HealthCheckResults) -> None:
        """Take results of another controller."""


class FollowerConnection:
    """One controller that follows this one.

    Attributes:
        revision: of the follower's list.
        progress: of a list that broke off before.
        notified_revision: up to which it has heard of drains, be it without the list.
        has_updates: set when there is something to send.
        results: health checks to send.
    """

    def __init__(self, owner: LinkOwner, writer: asyncio.StreamWriter, hello: Hello) -> None:
        self.owner = owner
        self.writer = writer
        self.hello = hello
        self.revision = hello.revision
        self.progress: ListProgress | None = hello.progress
        self.notified_revision = hello.revision
        self.has_updates = asyncio.Event()
        self.results: list[SharedHealthCheck] = []

    def add_results(self, results: list[SharedHealthCheck]) -> None:
        """Send these results soon; the oldest go where there are too many."""
        self.results = (self.results + results)[-MAX_RESULTS:]
        self.has_updates.set()

    async def send_updates(self, reading: asyncio.Task[None]) -> None:
        """Lists as they change, heartbeats in between, until the other end goes."""
        while not reading.done():
            held = self.owner.endpoint_list
            self.has_updates.clear()
            await self.send_drain_notices(held)
            is_outdated = held.revision >= 0 and self.revision != held.revision
            if is_outdated and not self.hello.heartbeats_only:
                await self.send_list(held)
            if self.results:
                results = tuple(self.results)
                self.results = []
                await self.send(HealthCheckResults(results))
            await self.send(Heartbeat(held.revision, self.owner.age_us()))
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await self.has_updates.wait()
            except TimeoutError:
                pass

    async def send_list(self, held: EndpointList) -> None:
        """Changes, if they are all known; else the complete list, from where it had broken off."""
        telemetry = self.owner.telemetry
        revision = held.revision
        data = held.changes_since(self.revision)
        is_complete = data is None
        if data is None:
            data = held.complete()
        checksum = crc32(data)
        offset = 0
        if is_complete and self.progress:
            progress = self.progress
            if (progress.revision, progress.checksum) == (revision, checksum):
                offset = min(progress.received_bytes, len(data))
                telemetry.count("links.lists_resumed")
        telemetry.count("links.complete_lists_sent" if is_complete else "links.changes_sent")
        self.progress = None
        await self.send(ListStart(revision, is_complete, len(data), checksum, offset))
        for at in range(offset, len(data), PART_BYTES):
            await self.send(ListPart(data[at : at + PART_BYTES]))
            await self.send_drain_notices(held)
        self.revision = revision

    async def send_drain_notices(self, held: EndpointList) -> None:
        """Send drains ahead of the list that holds them.

        Guards against a drain that waits behind a large list on a slow link: it goes between its
        parts, and over the links of witnesses, which carry no lists.
        """
        if held.revision == self.notified_revision or held.revision < 0:
            return
        revision = held.revision
        entries = held.closed_since(self.notified_revision)
        self.notified_revision = revision
        if not entries:
            return
        if not self.hello.heartbeats_only and held.knows_changes_since(self.revision):
            return  # the changes themselves come next, and are as short
        encoded = [orjson.dumps(entry) for entry in entries]
        for chunk in json_array_chunks(encoded, MAX_DRAIN_NOTICE_BYTES):
            self.owner.telemetry.count("links.drain_notices_sent")
            await self.send(DrainNoticeFrame(revision, chunk))

    async def send(self, frame: Frame) -> None:
        """Send a frame.

        Raises:
            TimeoutError: the other end takes nothing any more.
        """
        data = encode_frame(frame)
        self.owner.telemetry.count("links.bytes_sent", len(data))
        self.writer.write(data)
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self.writer.drain()
