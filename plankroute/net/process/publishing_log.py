"""Logs once a second what waits to be published, and which lines fill the channel."""

from collections import Counter
from collections.abc import Callable

from plankroute.net.process.telemetry import Telemetry
from plankroute.state.publishing_status import LineKind, PublishingStatus
from plankroute.units import SECOND_US

REPORT_INTERVAL_US = SECOND_US


class PublishingLog:
    """Logs while proxies or hosts wait, and once more after that has ended.

    Hosts wait to be withdrawn, or to be reinstated.

    Counters are updated once per interval in any case.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self.telemetry = telemetry
        self._last_read_us = -REPORT_INTERVAL_US
        self._written_before: Counter[LineKind] = Counter()
        self._was_waiting = False

    def report(self, now_us: int, read_status: Callable[[], PublishingStatus]) -> None:
        """Reads the status, updates the counters and logs, at most once per interval.

        Args:
            now_us: The controller clock's time, in microseconds.
            read_status: Returns the current status; called at most once per interval.
        """
        if now_us - self._last_read_us < REPORT_INTERVAL_US:
            return
        self._last_read_us = now_us
        status = read_status()
        is_waiting = bool(
            status.waiting_proxies
            or status.interim_proxies
            or status.pending_withdrawals
            or status.pending_reinstatements
        )
        if is_waiting or self._was_waiting:
            self._log(status)
        self._was_waiting = is_waiting
        self._written_before = status.written_lines
        for kind in LineKind:
            self.telemetry.counts[f"channel.lines.{kind.value}"] = status.written_lines[kind]
        if status.overdue_proxies:
            self.telemetry.count("proxies.overdue_s", status.overdue_proxies)

    def _log(self, status: PublishingStatus) -> None:
        written = {
            f"{kind.value}_lines": status.written_lines[kind] - self._written_before[kind]
            for kind in LineKind
        }
        self.telemetry.log.event(
            "warning" if status.overdue_proxies else "info",
            "publishing",
            bound=status.bound_proxies,
            interim=status.interim_proxies,
            waiting=status.waiting_proxies,
            longest_wait_ms=status.longest_wait_us // 1000,
            overdue=status.overdue_proxies,
            pending_withdrawals=status.pending_withdrawals,
            pending_reinstatements=status.pending_reinstatements,
            queued_lines=status.queued_lines,
            unacknowledged_lines=status.unacknowledged_lines,
            **written,
        )
