"""Counters, and a log of one JSON line for each event that never blocks the controller."""

import os
import signal
import threading
import time
import traceback
from collections import Counter, deque
from collections.abc import Callable

import orjson

from plankroute.events.events import LoadReport

# What a slow reader may leave waiting, and what one event may write, so that a storm of it can't
# fill the log. The rest is counted.
MAX_QUEUED_LINES = 1000
MAX_LINES_PER_SECOND = 20


class EventLog:
    """Lines are handed to a thread of their own, which alone may be blocked.

    Args:
        controller: Name of the controller, which is in each line.
        write: Writes one line; called in the thread.
    """

    def __init__(self, controller: str, write: Callable[[bytes], object]) -> None:
        self.controller = controller
        self.write = write
        self.queue: deque[bytes] = deque()
        self.has_lines = threading.Event()
        self.queued = 0
        self.written = 0
        self.dropped = 0
        self.second = 0  # Unix time, to which `events_this_second` belongs
        self.events_this_second: Counter[str] = Counter()
        threading.Thread(target=self._write_forever, daemon=True).start()

    def event(self, level: str, event: str, **facts: object) -> None:
        """Queues a line, or counts it as dropped where there are too many."""
        now = time.time()
        if int(now) != self.second:
            self.second = int(now)
            self.events_this_second = Counter()
        self.events_this_second[event] += 1
        is_storm = self.events_this_second[event] > MAX_LINES_PER_SECOND
        if is_storm or len(self.queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        line = {
            "time": round(now, 6),
            "level": level,
            "controller": self.controller,
            "event": event,
            **facts,
        }
        self.queue.append(orjson.dumps(line, default=str) + b"\n")
        self.queued += 1
        self.has_lines.set()

    def _write_forever(self) -> None:
        # Signals are for the thread of the loop.
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        while True:
            self.has_lines.wait()
            self.has_lines.clear()
            while self.queue:
                try:
                    self.write(self.queue.popleft())
                except OSError:
                    self.dropped += 1
                self.written += 1

    def finish(self, seconds: float) -> None:
        """Waits until all lines are written, no longer than that."""
        end = time.monotonic() + seconds
        while self.written < self.queued and time.monotonic() < end:
            time.sleep(0.005)


def to_stderr(line: bytes) -> None:
    """Writes all of the line, in as many system calls as it takes."""
    while line:
        line = line[os.write(2, line) :]


class Telemetry:
    """Counters by name, and the log."""

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.counts: Counter[str] = Counter()
        self.logged_once = set[str]()

    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter."""
        self.counts[name] += by

    def record_failure(self, part: str, error: Exception) -> None:
        """Counts and logs an error of this program, with its place; the part goes on."""
        place = traceback.extract_tb(error.__traceback__)[-1]
        self.count(f"{part}.failed")
        self.log.event(
            "error",
            f"{part}_failed",
            why=f"{type(error).__name__}: {error}",
            place=f"{place.name}:{place.lineno}",
        )

    def reject(self, stage: str, reason: str, **facts: object) -> None:
        """Counts and logs a line or an entry that goes no further."""
        self.counts[f"rejected.{stage}"] += 1
        self.log.event("warning", "rejected", stage=stage, why=reason, **facts)

    def log_once(self, event: str, **facts: object) -> None:
        """Logs what would come again and again the first time, and counts it each time."""
        self.counts[event] += 1
        if event not in self.logged_once:
            self.logged_once.add(event)
            self.log.event("warning", event, **facts)

    def count_load_report(self, report: LoadReport) -> None:
        """Counts a host's load report.

        Guards against reports whose names nobody knows: decisions would do without them, unseen.
        """
        if report == LoadReport():
            self.log_once("dropped.load_reports")
        else:
            self.counts["received.load_reports"] += 1

    def print(self) -> None:
        """Logs all counters."""
        counters = dict(sorted(self.counts.items()))
        self.log.event("info", "counters", log_dropped=self.log.dropped, **counters)
