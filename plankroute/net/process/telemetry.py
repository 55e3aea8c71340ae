"""Counters, and a structured log of JSON lines whose writes never block the event loop."""

import os
import signal
import threading
import time
import traceback
from collections import Counter, deque
from collections.abc import Callable

import orjson

from plankroute.events.events import LoadReport

# Limits of the lines that wait for a slow reader and of the lines of one event name per second, so
# that a frequent event can't fill the log. Lines beyond a limit are dropped and counted.
MAX_QUEUED_LINES = 1000
MAX_LINES_PER_SECOND = 20


class EventLog:
    """A structured log whose lines are written by a background thread, the only one that may block.

    Args:
        controller: Name of the controller; a field of each line.
        write: Writes one line; called in the background thread.
    """

    def __init__(self, controller: str, write: Callable[[bytes], object]) -> None:
        self.controller = controller
        self.write = write
        self.queue: deque[bytes] = deque()
        self.has_lines = threading.Event()
        self.queued = 0
        self.written = 0
        self.dropped = 0
        self.current_second = 0  # Unix time in seconds that `events_this_second` refers to
        self.events_this_second: Counter[str] = Counter()
        threading.Thread(target=self._write_forever, daemon=True).start()

    def event(self, level: str, event: str, **fields: object) -> None:
        """Queues a line, or counts it as dropped if a limit is exceeded.

        Args:
            level: Severity: "info", "warning" or "error".
            event: Name of the event, by which the rate is limited.
            **fields: Further fields of the line.
        """
        now = time.time()
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.events_this_second = Counter()
        self.events_this_second[event] += 1
        is_rate_limited = self.events_this_second[event] > MAX_LINES_PER_SECOND
        if is_rate_limited or len(self.queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        line = {
            "time": round(now, 6),
            "level": level,
            "controller": self.controller,
            "event": event,
            **fields,
        }
        self.queue.append(orjson.dumps(line, default=str) + b"\n")
        self.queued += 1
        self.has_lines.set()

    def _write_forever(self) -> None:
        # Signals are to be delivered to the thread of the event loop.
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

    def finish(self, timeout_s: float) -> None:
        """Waits until all queued lines are written, but at most `timeout_s`."""
        deadline = time.monotonic() + timeout_s
        while self.written < self.queued and time.monotonic() < deadline:
            time.sleep(0.005)


def to_stderr(line: bytes) -> None:
    """Writes a line to standard error, in as many system calls as needed."""
    while line:
        line = line[os.write(2, line) :]


class Telemetry:
    """The counters, by name, and the event log."""

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.counts: Counter[str] = Counter()
        self.logged_once = set[str]()

    def count(self, name: str, by: int = 1) -> None:
        """Increments a counter."""
        self.counts[name] += by

    def record_failure(self, part: str, error: Exception) -> None:
        """Counts and logs an unexpected exception, with the function and line that raised it.

        Args:
            part: The part of the controller that failed; prefix of the counter and event name.
            error: The exception, which the caller has caught.
        """
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.count(f"{part}.failed")
        self.log.event(
            "error",
            f"{part}_failed",
            why=f"{type(error).__name__}: {error}",
            place=f"{frame.name}:{frame.lineno}",
        )

    def reject(self, stage: str, reason: str, **fields: object) -> None:
        """Counts and logs input that is rejected at a stage of its processing."""
        self.counts[f"rejected.{stage}"] += 1
        self.log.event("warning", "rejected", stage=stage, why=reason, **fields)

    def log_once(self, event: str, **fields: object) -> None:
        """Logs the first occurrence of an event as a warning, and counts every occurrence."""
        self.counts[event] += 1
        if event not in self.logged_once:
            self.logged_once.add(event)
            self.log.event("warning", event, **fields)

    def count_load_report(self, report: LoadReport) -> None:
        """Counts a load report of a host; one without any known field counts as dropped.

        Without the count it would go unnoticed that decisions are made without load reports.
        """
        if report == LoadReport():
            self.log_once("dropped.load_reports")
        else:
            self.counts["received.load_reports"] += 1

    def log_counters(self) -> None:
        """Logs the values of all counters."""
        counters = dict(sorted(self.counts.items()))
        self.log.event("info", "counters", log_dropped=self.log.dropped, **counters)
