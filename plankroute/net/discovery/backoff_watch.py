"""Discovery with backoff: one request a round instead of as many as fail, and Retry-After heeded.

When is `cold_start.backoff`'s to decide; here are the sockets, the clock, log lines and counters.
"""

import asyncio
import time

from plankroute.cold_start.backoff import (
    BackoffFacts,
    Event,
    RequestFailed,
    RequestScheduler,
    Started,
    WatchEnded,
)
from plankroute.cold_start.retry_after import parse_retry_after
from plankroute.net.discovery.http_client import Call
from plankroute.net.discovery.watch import Discovery
from plankroute.net.process.clock import monotonic_us as now_us
from plankroute.units import SECOND_US

AGE_CHECK_S = 0.5  # between looks at how old the list is


class BackoffDiscovery(Discovery):
    """Watches the list service; `prepare` before `start`."""

    def prepare(self, facts: BackoffFacts, list_old_us: int, seed: int) -> None:
        """Set what the constructor, which is Discovery's, does not take.

        Args:
            facts: settings of the backoff.
            list_old_us: without contact for so long, the list is said to be old.
            seed: of the jitter.
        """
        self.scheduler = RequestScheduler(facts, seed)
        self.list_old_us = list_old_us
        self.last_contact_us = now_us()
        self.is_old = False
        self.contacts = 0
        self.checking_age: asyncio.Task[None] | None = None

    def start(self, initial_list: object) -> None:
        """Start with the list that came with the configuration."""
        super().start(initial_list)
        self.checking_age = asyncio.create_task(self.check_age())

    def close(self) -> None:
        """End all requests."""
        for task in (self.checking_age, self.watching):
            if task:
                task.cancel()

    async def watch_forever(self) -> None:
        """Request after request, by the configured rank."""
        await self.request_forever(self.scheduler, Started())

    async def request_forever(self, scheduler: RequestScheduler, event: Event) -> None:
        """Each request when the scheduler says after how the one before ended."""
        while True:
            due_us = scheduler.deliver(now_us(), event).due_us
            await asyncio.sleep(max(0, due_us - now_us()) / SECOND_US)
            event = await self.request_once()

    async def request_once(self) -> Event:
        """One watch from the revision that is held, to its end.

        A list that is held is never asked for as a whole again.
        """
        self.telemetry.count("list_requests.sent")
        contacts_before = self.contacts
        started_us = now_us()
        call = None
        try:
            call = await self.watch_from(self.revision or 0)
        except Exception as error:  # an error of ours must not leave the controller without a list
            self.telemetry.log.event(
                "error", "discovery_failed", why=f"{type(error).__name__}: {error}"
            )
        if self.contacts > contacts_before:
            return WatchEnded(now_us() - started_us)
        self.telemetry.count("list_requests.failed")
        return RequestFailed(self.retry_after_us(call))

    def retry_after_us(self, call: Call | None) -> int | None:
        """How long the service asks to wait, if it does."""
        field = call.retry_after if call else None
        wait_us = parse_retry_after(field, time.time())
        if field is not None:
            outcome = "invalid" if wait_us is None else "heeded"
            self.telemetry.count(f"list_requests.retry_after_{outcome}")
        return wait_us

    def record_contact(self) -> None:
        """The service has said something."""
        super().record_contact()
        self.contacts += 1
        self.clear_old()

    def clear_old(self) -> None:
        """Say that the list is no longer old, if it was said to be."""
        if self.is_old and now_us() - self.last_contact_us < self.list_old_us:
            self.is_old = False
            self.telemetry.log.event("info", "list_fresh", revision=self.revision)

    async def check_age(self) -> None:
        """Say that the list is old: drains may have been missed, and nothing more can be done."""
        while True:
            await asyncio.sleep(AGE_CHECK_S)
            if not self.is_old and now_us() - self.last_contact_us > self.list_old_us:
                self.is_old = True
                self.telemetry.count("list_old")
                self.telemetry.log.event(
                    "warning",
                    "list_old",
                    revision=self.revision,
                    for_s=round((now_us() - self.last_contact_us) / SECOND_US, 1),
                )
