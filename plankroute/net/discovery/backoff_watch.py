"""Discovery with backoff: one request per round, not one per failure, and support for Retry-After.

`cold_start.backoff` decides when to send requests. This module provides the sockets, the clock, the
log events and the counters.
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

AGE_CHECK_INTERVAL_S = 0.5


class BackoffDiscovery(Discovery):
    """Watches the discovery service with backoff.

    Call `prepare` before `start`.
    """

    def prepare(self, facts: BackoffFacts, list_old_us: int, seed: int) -> None:
        """Sets what the constructor inherited from Discovery does not take.

        Args:
            facts: Settings of the backoff.
            list_old_us: Time without contact after which the list counts as old, in microseconds.
            seed: Seed of the jitter.
        """
        self.scheduler = RequestScheduler(facts, seed)
        self.list_old_us = list_old_us
        self.last_contact_us = now_us()
        self.is_old = False
        self.contact_count = 0
        self.age_check_task: asyncio.Task[None] | None = None

    def start(self, initial_list: object) -> None:
        """Starts with the list from the configuration, and starts to check the age of the list."""
        super().start(initial_list)
        self.age_check_task = asyncio.create_task(self.check_age())

    def close(self) -> None:
        """Cancels the watch and the age check."""
        for task in (self.age_check_task, self.watch_task):
            if task:
                task.cancel()

    async def watch_forever(self) -> None:
        """Requests the list repeatedly, scheduled by the configured rank."""
        await self.request_forever(self.scheduler, Started())

    async def request_forever(self, scheduler: RequestScheduler, event: Event) -> None:
        """Requests the list repeatedly, at the times that a scheduler sets.

        Args:
            scheduler: Returns when the next request is due, given how the previous one ended.
            event: The first event for the scheduler.
        """
        while True:
            due_us = scheduler.deliver(now_us(), event).due_us
            await asyncio.sleep(max(0, due_us - now_us()) / SECOND_US)
            event = await self.request_once()

    async def request_once(self) -> Event:
        """Runs one watch from the current revision until it ends.

        The complete list is not requested again while the controller holds a list.

        Returns:
            WatchEnded if the service sent a complete line, RequestFailed otherwise.
        """
        self.telemetry.count("list_requests.sent")
        contact_count_before = self.contact_count
        started_us = now_us()
        call = None
        try:
            call = await self.watch_from(self.revision or 0)
        except Exception as error:  # a bug here must not stop the requests
            self.telemetry.log.event(
                "error", "discovery_failed", why=f"{type(error).__name__}: {error}"
            )
        if self.contact_count > contact_count_before:
            return WatchEnded(now_us() - started_us)
        self.telemetry.count("list_requests.failed")
        return RequestFailed(self.retry_after_us(call))

    def retry_after_us(self, call: Call | None) -> int | None:
        """Returns the wait that the response asks for, in microseconds.

        Returns None if there is no response, no Retry-After header, or an invalid one.
        """
        header = call.retry_after if call else None
        wait_us = parse_retry_after(header, time.time())
        if header is not None:
            outcome = "invalid" if wait_us is None else "heeded"
            self.telemetry.count(f"list_requests.retry_after_{outcome}")
        return wait_us

    def record_contact(self) -> None:
        """Records that the service sent something, which makes the list fresh."""
        super().record_contact()
        self.contact_count += 1
        self.mark_list_fresh()

    def mark_list_fresh(self) -> None:
        """Logs that the list is fresh again, if it was old and the last contact is recent."""
        if self.is_old and now_us() - self.last_contact_us < self.list_old_us:
            self.is_old = False
            self.telemetry.log.event("info", "list_fresh", revision=self.revision)

    async def check_age(self) -> None:
        """Logs a warning when contact has been lost for so long that the list counts as old.

        Drains may have been missed by then, and the controller can do no more than warn.
        """
        while True:
            await asyncio.sleep(AGE_CHECK_INTERVAL_S)
            if not self.is_old and now_us() - self.last_contact_us > self.list_old_us:
                self.is_old = True
                self.telemetry.count("list_old")
                self.telemetry.log.event(
                    "warning",
                    "list_old",
                    revision=self.revision,
                    for_s=round((now_us() - self.last_contact_us) / SECOND_US, 1),
                )
