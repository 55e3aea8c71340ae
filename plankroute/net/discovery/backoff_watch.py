"""Discovery called with care: one call a round instead of as many as fail, the watch alone, Retry-After
heeded.

When is `coldstart.calls`'s to decide; here are the sockets, the clock, log lines and counters."""

import asyncio
import time
from typing import Any

from plankroute.cold_start.backoff import (
    BackoffFacts,
    Event,
    RequestFailed,
    RequestScheduler,
    Started,
    WatchEnded,
    retry_after_us,
)
from plankroute.net.discovery.http_client import Call
from plankroute.net.discovery.watch import Discovery
from plankroute.net.process.clock import monotonic_us as now_us

LOOK_S = 0.5  # between looks at how old the list is


class BackoffDiscovery(Discovery):
    """`list_old_us`: without a word for so long, what is listed is said to be old."""

    def prepare(self, facts: BackoffFacts, list_old_us: int, seed: int) -> None:
        self.caller, self.list_old_us = RequestScheduler(facts, seed), list_old_us
        self.last_contact_us, self.is_old, self.times_heard = now_us(), False, 0
        self.looking: asyncio.Task[None] | None = None

    def start(self, known: Any) -> None:
        super().start(known)
        self.looking = asyncio.create_task(self.look())

    def close(self) -> None:
        for task in (self.looking, self.watching):
            if task:
                task.cancel()

    async def watch_forever(self) -> None:
        await self.call_on(self.caller, Started())

    async def call_on(self, caller: RequestScheduler, event: Event) -> None:
        """Call after call, each when the caller says after how the one before ended."""
        while True:
            due_us = caller.deliver(now_us(), event).due_us
            await asyncio.sleep(max(0, due_us - now_us()) / 1e6)
            event = await self.call_once()

    async def call_once(self) -> Event:
        """One watch from the revision that is held, to its end. A list held is never asked for whole
        again."""
        self.telemetry.count("sent.calls")
        before, began_us, call = self.times_heard, now_us(), None
        try:
            call = await self.watch_from(self.revision or 0)
        except Exception as error:  # an error of ours must not leave the steward without a list
            self.telemetry.log.event(
                "error", "discovery_failed", why=f"{type(error).__name__}: {error}"
            )
        if self.times_heard > before:
            return WatchEnded(now_us() - began_us)
        self.telemetry.count("refused.calls")
        return RequestFailed(self.asked_to_wait(call))

    def asked_to_wait(self, call: Call | None) -> int | None:
        text = call.retry_after if call else None
        asked = retry_after_us(text, time.time())
        if text is not None:
            self.telemetry.count("dropped.retry_after" if asked is None else "taken.retry_after")
        return asked

    def record_contact(self) -> None:
        super().record_contact()
        self.times_heard += 1
        self.mend_age()

    def mend_age(self) -> None:
        """Said to be old, and no longer so."""
        if self.is_old and now_us() - self.last_contact_us < self.list_old_us:
            self.is_old = False
            self.telemetry.log.event("info", "list_fresh", revision=self.revision)

    async def look(self) -> None:
        """What came late may mean drains that were missed: said openly, and nothing more can be done."""
        while True:
            await asyncio.sleep(LOOK_S)
            if not self.is_old and now_us() - self.last_contact_us > self.list_old_us:
                self.is_old = True
                self.telemetry.count("list_old")
                self.telemetry.log.event(
                    "warning",
                    "list_old",
                    revision=self.revision,
                    for_s=round((now_us() - self.last_contact_us) / 1e6, 1),
                )
