"""Obtains the endpoint list from discovery by a watch, renewed when it ends or times out."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import Protocol

from plankroute.events import commands, events
from plankroute.events.events import ListKind
from plankroute.net.discovery.catalogue import (
    MEMBERS,
    EndpointList,
    list_from,
    parse_list,
    watch_target,
)
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.http_client import CALL_ERRORS, Call, CallLimits, Response, fetch
from plankroute.net.process.clock import monotonic_us
from plankroute.net.process.errors import CallFailure, CallProgress, Rejection
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.line_reader import LineReader
from plankroute.net.proxies.ring_buffer import MemoryPool
from plankroute.seeded_random import SeededRandom

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 3.0  # discovery sends at least an empty line every 2 s
# Mean pause before a new watch; actual pauses are 50% to 150% of it. The platform requires that a
# change takes effect within 6 s.
RETRY_PAUSE_S = 0.3
MAX_LOGGED_ENTRIES = 30  # entries of a list in its log event
NO_CONTACT_AGE_US = 1 << 40  # reported as the age before any contact
LIST_FAILED = events.HostList(ListKind.FAILED, ())


class ListFilter(Protocol):
    """Modifies a list before it is passed to the core, for drains known ahead of the list."""

    def __call__(
        self, revision: int, is_complete: bool, listed: events.HostList, /
    ) -> events.HostList:
        """Returns the list to pass to the core."""


class Discovery:
    """Obtains endpoint lists and passes them to the core.

    By default a watch runs all the time. With `is_command_driven`, requests are made only on
    commands of the core, which is informed of failures.

    Args:
        address: Address of discovery, as "host:port".
        max_list_bytes: Maximum size of one list.
        directory: Records the hosts.
        telemetry: Counters and log.
        seed: Seed of the jitter of pauses.
        is_command_driven: Whether to make requests only on commands of the core.
        submit: Passes an event to the core.
    """

    def __init__(
        self,
        address: str,
        max_list_bytes: int,
        directory: Directory,
        telemetry: Telemetry,
        seed: int,
        is_command_driven: bool,
        submit: Callable[[events.Event], None],
    ) -> None:
        self.set_max_list_bytes(max_list_bytes)
        self.address = address
        self.directory = directory
        self.telemetry = telemetry
        self.submit = submit
        self.is_command_driven = is_command_driven
        self.random = SeededRandom(seed)
        self.revision: int | None = None  # None: the complete list is needed next
        self.poll_tasks = set[asyncio.Task[None]]()
        self.watch_task: asyncio.Task[None] | None = None
        self.has_contact = False  # whether discovery has sent something
        self.last_contact_us = 0  # on the monotonic clock
        self.list_filter: ListFilter | None = None

    def start(self, initial_list: object) -> None:
        """Passes the list from the configuration to the core, and starts the watch."""
        message = list_from(initial_list)
        if isinstance(message, Rejection):
            self.telemetry.reject("discovery", f"initial list (known): {message.reason}")
            self.submit(events.HostList(ListKind.CACHED, ()))
        else:
            self.revision = message.revision
            self._publish(message, ListKind.CACHED)
        if not self.is_command_driven:
            self._restart_watch()

    def set_max_list_bytes(self, max_list_bytes: int) -> None:
        """Changes the maximum size of a list, from the next call on."""
        self.limits = CallLimits(CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S, max_list_bytes)

    def change_address(self, address: str) -> None:
        """Changes the address and restarts calls in progress; keeps the list and its revision."""
        self.address = address
        poll_tasks = self.poll_tasks
        self.poll_tasks = set()
        for poll in poll_tasks:
            poll.cancel()
            self._start_poll()
        if self.watch_task and not self.watch_task.done():
            self._restart_watch()

    def request_list(self, command: commands.PollHostList | commands.SubscribeHostList) -> None:
        """Executes a command of the core; subscriptions matter only with `is_command_driven`."""
        match command:
            case commands.PollHostList():
                self._start_poll()
            case commands.SubscribeHostList(on) if self.is_command_driven:
                if on:
                    self._restart_watch()
                elif self.watch_task:
                    self.watch_task.cancel()

    def _restart_watch(self) -> None:
        if self.watch_task:
            self.watch_task.cancel()
        watch = self._watch_once if self.is_command_driven else self.watch_forever
        self.watch_task = asyncio.create_task(watch())

    def _start_poll(self) -> None:
        poll = asyncio.create_task(self._poll_once())
        self.poll_tasks.add(poll)
        poll.add_done_callback(self.poll_tasks.discard)

    async def watch_forever(self) -> None:
        """Runs the watch, and renews it after a pause whenever it ends."""
        while True:
            try:
                await self._watch()
            except Exception as error:
                # A bug here must not stop the watch for good.
                self.telemetry.count("dropped.watches")
                reason = f"{type(error).__name__}: {error}"
                self.telemetry.log.event("error", "discovery_failed", why=reason)
            await asyncio.sleep(RETRY_PAUSE_S * (0.5 + self.random.draw()))

    async def _watch_once(self) -> None:
        await self._watch()
        self.submit(LIST_FAILED)

    async def _poll_once(self) -> None:
        if not await self._poll():
            self.submit(LIST_FAILED)

    async def _poll(self) -> bool:
        """Fetches the complete list once; returns whether that succeeded."""
        response = await fetch(self.address, MEMBERS, self.limits)
        if (
            isinstance(response, Response)
            and response.status == 200
            and self.accept_list(response.body)
        ):
            return True
        self.telemetry.count("dropped.lists")
        self.telemetry.log.event("warning", "list_failed", **response.log_fields())
        return False

    async def _watch(self) -> None:
        """Watches until the response ends, times out or is invalid."""
        if self.revision is None and not await self._poll():
            return
        await self.watch_from(self.revision or 0)

    async def watch_from(self, revision: int) -> Call:
        """Watches once for changes after a revision, logs why it ended and returns the call."""
        call = Call(self.address, watch_target(revision), self.limits)
        failure = CallFailure(CallProgress.RESPONSE_BODY, "response ended")
        try:
            async with aclosing(call.stream_body()) as chunks:
                failure = await self._read_lists(call, chunks) or failure
        except CALL_ERRORS as error:
            failure = call.failure(error)
        finally:
            call.close()
        self.telemetry.count("dropped.watches")
        self.telemetry.log.event(
            "warning", "watch_ended", reached=failure.progress.value, why=failure.reason
        )
        return call

    async def _read_lists(self, call: Call, chunks: AsyncIterator[bytes]) -> CallFailure | None:
        """Accepts the lists of a watch, one per line; returns why it failed, or None at its end."""
        max_line_bytes = self.limits.max_body_bytes
        line_reader = LineReader(max_line_bytes, MemoryPool(2 * max_line_bytes))
        async for chunk in chunks:
            if call.status != 200:
                return CallFailure(call.progress, f"HTTP status {call.status}")
            for line in line_reader.feed(chunk):
                if isinstance(line, Rejection) or (line.strip() and not self.accept_list(line)):
                    return CallFailure(call.progress, "response is not a usable list")
                call.record_progress()
                self.record_contact()
        return None

    def record_contact(self) -> None:
        """Records that discovery sent a complete line.

        Empty lines count, since there may be no changes for hours.
        """
        self.has_contact = True
        self.last_contact_us = monotonic_us()

    def age_us(self) -> int:
        """Returns the microseconds since the last contact, `NO_CONTACT_AGE_US` before the first."""
        return monotonic_us() - self.last_contact_us if self.has_contact else NO_CONTACT_AGE_US

    def accept_list(self, text: bytes) -> bool:
        """Passes a list to the core; returns False if it can't be used and the old one is kept."""
        message = parse_list(text)
        if isinstance(message, Rejection):
            self.telemetry.reject("discovery", message.reason)
            return False
        if not message.is_complete and message.revision < (self.revision or 0):
            # Discovery was reset. Changes alone do not show which hosts are gone.
            self.revision = None
            return False
        self.revision = message.revision
        self._publish(message)
        return True

    def _publish(self, message: EndpointList, kind: ListKind | None = None) -> None:
        listed, rejected = self.directory.apply_list(message, kind)
        if self.list_filter:
            listed = self.list_filter(message.revision, message.is_complete, listed)
        if rejected:
            self.telemetry.reject("discovery", "list has unusable entries", entries=rejected)
        self.telemetry.count("received.lists")
        hosts = [
            [self.directory.uid(entry.host), entry.state.value]
            for entry in listed.entries[:MAX_LOGGED_ENTRIES]
        ]
        self.telemetry.log.event(
            "info", "list", revision=message.revision, kind=listed.kind.value, hosts=hosts
        )
        self.submit(listed)
