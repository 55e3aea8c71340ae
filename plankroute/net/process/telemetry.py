"""Book: counters, and a log of one JSON line an event whose blocked reader never holds up the steward."""

import os
import signal
import threading
import time
import traceback
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import orjson

from plankroute.events.events import LoadReport

WAITING_LINES = 1000  # log lines held for a slow reader; more are dropped and counted
LINES_A_SECOND = 20  # of one event: the rest are counted, so that a storm can't fill the log


class EventLog:
    """Lines are handed to a thread of their own, which alone may be blocked."""

    def __init__(self, name: str, write: Callable[[bytes], Any]) -> None:
        self.name, self.write = name, write
        self.lines: deque[bytes] = deque()
        self.ready, self.taken, self.passed = threading.Event(), 0, 0
        self.said: Counter[str] = Counter()
        self.second, self.dropped = 0, 0
        threading.Thread(target=self.pass_on, daemon=True).start()

    def event(self, level: str, event: str, **facts: Any) -> None:
        now = time.time()
        if int(now) != self.second:
            self.second, self.said = int(now), Counter()
        self.said[event] += 1
        if self.said[event] > LINES_A_SECOND or len(self.lines) >= WAITING_LINES:
            self.dropped += 1
            return
        said = {
            "time": round(now, 6),
            "level": level,
            "steward": self.name,
            "event": event,
            **facts,
        }
        self.lines.append(orjson.dumps(said, default=str) + b"\n")
        self.taken += 1
        self.ready.set()

    def pass_on(self) -> None:
        signal.pthread_sigmask(
            signal.SIG_BLOCK, signal.valid_signals()
        )  # they are the loop's thread's
        while True:
            self.ready.wait()
            self.ready.clear()
            while self.lines:
                try:
                    self.write(self.lines.popleft())
                except OSError:
                    self.dropped += 1
                self.passed += 1

    def finish(self, seconds: float) -> None:
        """Waits for what is written, no longer than that."""
        end = time.monotonic() + seconds
        while self.passed < self.taken and time.monotonic() < end:
            time.sleep(0.005)


def to_stderr(line: bytes) -> None:
    while line:
        line = line[os.write(2, line) :]


class Telemetry:
    """What was taken in, sent, answered and dropped, by name."""

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.counts: Counter[str] = Counter()
        self.once = set[str]()

    def count(self, name: str, by: int = 1) -> None:
        self.counts[name] += by

    def failed(self, part: str, error: Exception) -> None:
        """An error of ours, with its place; the part goes on."""
        place = traceback.extract_tb(error.__traceback__)[-1]
        self.count(f"{part}.failed")
        self.log.event(
            "error",
            f"{part}_failed",
            why=f"{type(error).__name__}: {error}",
            place=f"{place.name}:{place.lineno}",
        )

    def refuse(self, stage: str, why: str, **facts: Any) -> None:
        """A line or entry that goes no further."""
        self.counts[f"dropped.{stage}"] += 1
        self.log.event("warning", "refused", stage=stage, why=why, **facts)

    def log_once(self, event: str, **facts: Any) -> None:
        """What would come again and again: said once, then counted."""
        self.counts[event] += 1
        if event not in self.once:
            self.once.add(event)
            self.log.event("warning", event, **facts)

    def count_report(self, report: LoadReport) -> None:
        """Guards against reports whose names nobody knows: the steward would steer without them, unseen."""
        if report == LoadReport():
            self.log_once("dropped.reports")
        else:
            self.counts["taken.reports"] += 1

    def print(self) -> None:
        self.log.event(
            "info", "counters", log_dropped=self.log.dropped, **dict(sorted(self.counts.items()))
        )
