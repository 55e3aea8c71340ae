"""The endpoint list from discovery, by a watch that is renewed whenever it ends or falls silent."""

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
IDLE_TIMEOUT_S = 3.0  # discovery sends a sign of life every 2 s
# The pause before a new watch, by half either way. The platform allows 6 s for a change.
RETRY_PAUSE_S = 0.3
MAX_LOGGED_ENTRIES = 30  # of a list
NEVER_US = 1 << 40  # the age of a list that never came
LIST_FAILED = events.HostList(ListKind.FAILED, ())


class ListFilter(Protocol):
    """Changes a list on its way to the core; it knows of drains ahead of lists."""

    def __call__(
        self, revision: int, is_complete: bool, listed: events.HostList, /
    ) -> events.HostList:
        """Returns what the core is to be told."""


class Discovery:
    """Watches by itself where lists are pushed; else as the core orders, which hears of failures.

    Args:
        address: Of discovery.
        max_list_bytes: Of one list.
        directory: Records the hosts.
        telemetry: Counters and log.
        seed: Of the random part of pauses.
        by_order: It calls only as the core orders.
        submit: Hands an event to the core.
    """

    def __init__(
        self,
        address: str,
        max_list_bytes: int,
        directory: Directory,
        telemetry: Telemetry,
        seed: int,
        by_order: bool,
        submit: Callable[[events.Event], None],
    ) -> None:
        self.set_max_list_bytes(max_list_bytes)
        self.address = address
        self.directory = directory
        self.telemetry = telemetry
        self.submit = submit
        self.by_order = by_order
        self.random = SeededRandom(seed)
        self.revision: int | None = None  # None: the next call is to bring the complete list
        self.polls = set[asyncio.Task[None]]()
        self.watching: asyncio.Task[None] | None = None
        self.has_contact = False  # discovery has sent something
        self.last_contact_us = 0  # on the monotonic clock
        self.list_filter: ListFilter | None = None

    def start(self, initial_list: object) -> None:
        """Hands the core the list that came with the configuration, and starts to watch."""
        message = list_from(initial_list)
        if isinstance(message, Rejection):
            self.telemetry.reject("discovery", f"known: {message.reason}")
            self.submit(events.HostList(ListKind.CACHED, ()))
        else:
            self.revision = message.revision
            self._publish(message, ListKind.CACHED)
        if not self.by_order:
            self._restart_watch()

    def set_max_list_bytes(self, max_list_bytes: int) -> None:
        """Changes the bound of a list, from the next call on."""
        self.limits = CallLimits(CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S, max_list_bytes)

    def move(self, address: str) -> None:
        """Moves calls under way to a new address; the list and its revision are kept."""
        self.address = address
        polls = self.polls
        self.polls = set()
        for poll in polls:
            poll.cancel()
            self._start_poll()
        if self.watching and not self.watching.done():
            self._restart_watch()

    def request_list(self, command: commands.PollHostList | commands.SubscribeHostList) -> None:
        """Carries out a command of the core."""
        match command:
            case commands.PollHostList():
                self._start_poll()
            case commands.SubscribeHostList(on) if self.by_order:
                if on:
                    self._restart_watch()
                elif self.watching:
                    self.watching.cancel()

    def _restart_watch(self) -> None:
        if self.watching:
            self.watching.cancel()
        watch = self._watch_once if self.by_order else self.watch_forever
        self.watching = asyncio.create_task(watch())

    def _start_poll(self) -> None:
        poll = asyncio.create_task(self._poll_once())
        self.polls.add(poll)
        poll.add_done_callback(self.polls.discard)

    async def watch_forever(self) -> None:
        """Renews the watch whenever it ends."""
        while True:
            try:
                await self._watch()
            except Exception as error:
                # An error of this program must not leave the controller without a list.
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
        """Fetches the complete list, once; False where it did not come."""
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
        """Watches until the response ends, falls silent or can't be read."""
        if self.revision is None and not await self._poll():
            return
        await self.watch_from(self.revision or 0)

    async def watch_from(self, revision: int) -> Call:
        """Watches once for changes after a revision; returns the call, whose end is logged."""
        call = Call(self.address, watch_target(revision), self.limits)
        failure = CallFailure(CallProgress.RESPONSE_BODY, "ended")
        try:
            async with aclosing(call.pieces()) as pieces:
                failure = await self._follow(call, pieces) or failure
        except CALL_ERRORS as error:
            failure = call.failure(error)
        finally:
            call.close()
        self.telemetry.count("dropped.watches")
        self.telemetry.log.event(
            "warning", "watch_ended", reached=failure.progress.value, why=failure.reason
        )
        return call

    async def _follow(self, call: Call, pieces: AsyncIterator[bytes]) -> CallFailure | None:
        """Takes the lists of a watch, a line each; returns why it is of no further use, if so."""
        max_line_bytes = self.limits.max_body_bytes
        line_reader = LineReader(max_line_bytes, MemoryPool(2 * max_line_bytes))
        async for piece in pieces:
            if call.status != 200:
                return CallFailure(call.progress, f"status {call.status}")
            for line in line_reader.feed(piece):
                if isinstance(line, Rejection) or (line.strip() and not self.accept_list(line)):
                    return CallFailure(call.progress, "what came can't be used")
                call.record_progress()
                self.record_contact()
        return None

    def record_contact(self) -> None:
        """A complete line came, an empty one too: nothing may have changed for hours."""
        self.has_contact = True
        self.last_contact_us = monotonic_us()

    def age_us(self) -> int:
        """Returns how long ago discovery sent something."""
        return monotonic_us() - self.last_contact_us if self.has_contact else NEVER_US

    def accept_list(self, text: bytes) -> bool:
        """Hands a list to the core; False where it can't be used, and the old one stays."""
        message = parse_list(text)
        if isinstance(message, Rejection):
            self.telemetry.reject("discovery", message.reason)
            return False
        if not message.is_complete and message.revision < (self.revision or 0):
            # Discovery began anew: changes alone would not tell what is gone.
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
            self.telemetry.reject("discovery", "entries that can't be taken", entries=rejected)
        self.telemetry.count("received.lists")
        hosts = [
            [self.directory.uid(entry.host), entry.state.value]
            for entry in listed.entries[:MAX_LOGGED_ENTRIES]
        ]
        self.telemetry.log.event(
            "info", "list", revision=message.revision, kind=listed.kind.value, hosts=hosts
        )
        self.submit(listed)
