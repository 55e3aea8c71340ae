"""The connection to one follower: a controller that receives the endpoint list from this one."""

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

# Four heartbeats fit into the default stall timeout (`stall_ms`, 2 s), after which a follower
# disconnects.
HEARTBEAT_INTERVAL_S = 0.5
# Limit for the kernel to accept one frame. Three list parts have to arrive within the reader's
# stall timeout; a link of 50 KB/s carries three per second (see `PART_BYTES`).
WRITE_TIMEOUT_S = 5.0
MAX_DRAIN_NOTICE_BYTES = 32768  # size of the host entries in one frame
MAX_RESULTS = 256  # health check results in one frame


class LinkOwner(Protocol):
    """What a link needs of the owner of all links, which is `SharedDiscovery`."""

    group: str
    name: str
    telemetry: Telemetry
    endpoint_list: EndpointList

    def age_us(self) -> int:
        """Returns the microseconds since the discovery service last sent something."""

    def on_health_checks(self, frame: HealthCheckResults) -> None:
        """Handles health check results of another controller."""


class FollowerConnection:
    """Sends lists, drain notices, health check results and heartbeats to one follower.

    Attributes:
        hello: The follower's first frame.
        revision: Revision of the follower's list.
        progress: Received part of a complete list whose transfer to the follower was interrupted.
        notified_revision: Revision up to which the follower knows of drains, by list or by notice.
        has_updates: Set when there is something to send.
        results: Health check results to send.
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
        """Queues results; beyond `MAX_RESULTS` the oldest are dropped."""
        self.results = (self.results + results)[-MAX_RESULTS:]
        self.has_updates.set()

    async def send_updates(self, read_task: asyncio.Task[None]) -> None:
        """Sends updates as they come and heartbeats in between, until `read_task` ends.

        Raises:
            OSError: The link broke.
            TimeoutError: The follower accepts no data any more.
        """
        while not read_task.done():
            endpoint_list = self.owner.endpoint_list
            self.has_updates.clear()
            await self.send_drain_notices(endpoint_list)
            is_outdated = endpoint_list.revision >= 0 and self.revision != endpoint_list.revision
            if is_outdated and not self.hello.heartbeats_only:
                await self.send_list(endpoint_list)
            if self.results:
                results = tuple(self.results)
                self.results = []
                await self.send(HealthCheckResults(results))
            await self.send(Heartbeat(endpoint_list.revision, self.owner.age_us()))
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self.has_updates.wait()
            except TimeoutError:
                pass

    async def send_list(self, endpoint_list: EndpointList) -> None:
        """Sends the changes since the follower's revision, or the complete list.

        The complete list is sent where not all of these changes are known any more. If the follower
        already has a part of exactly this list, the transfer resumes after that part.
        """
        telemetry = self.owner.telemetry
        revision = endpoint_list.revision
        data = endpoint_list.changes_since(self.revision)
        is_complete = data is None
        if data is None:
            data = endpoint_list.complete()
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
        for start in range(offset, len(data), PART_BYTES):
            await self.send(ListPart(data[start : start + PART_BYTES]))
            await self.send_drain_notices(endpoint_list)
        self.revision = revision

    async def send_drain_notices(self, endpoint_list: EndpointList) -> None:
        """Sends notices of draining or deleted hosts ahead of the list that has these states.

        On a slow link a drain would otherwise wait behind a large list. Notices are sent between
        the parts of a list, and also to followers that receive heartbeats but no lists (this
        controller is their witness).
        """
        if endpoint_list.revision == self.notified_revision or endpoint_list.revision < 0:
            return
        revision = endpoint_list.revision
        entries = endpoint_list.closed_since(self.notified_revision)
        self.notified_revision = revision
        if not entries:
            return
        if not self.hello.heartbeats_only and endpoint_list.knows_changes_since(self.revision):
            return  # the list of changes is sent next and is as short as the notices
        encoded = [orjson.dumps(entry) for entry in entries]
        for chunk in json_array_chunks(encoded, MAX_DRAIN_NOTICE_BYTES):
            self.owner.telemetry.count("links.drain_notices_sent")
            await self.send(DrainNoticeFrame(revision, chunk))

    async def send(self, frame: Frame) -> None:
        """Sends a frame, and waits until the write buffer is low enough for the next one.

        Raises:
            OSError: The link broke.
            TimeoutError: The follower accepts no data any more.
        """
        data = encode_frame(frame)
        self.owner.telemetry.count("links.bytes_sent", len(data))
        self.writer.write(data)
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self.writer.drain()
