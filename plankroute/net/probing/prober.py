"""Health checks of hosts over HTTP, if permitted; each check results in at most one event."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from plankroute.events import events
from plankroute.events.events import HealthCheckOutcome, LoadReport
from plankroute.events.facts import ReportSource, StartFacts
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.http_client import CallLimits, Response, fetch
from plankroute.net.process.clock import Clock, tolerant_timeout
from plankroute.net.process.errors import CallFailure, CallProgress
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.line_codec import parse_load_report

# Minimum time between the starts of two checks. If many started at once, the measured times would
# include the controller's own work.
START_INTERVAL_S = 0.002
MAX_BODY_BYTES = 4096  # a load report is one line


@dataclass(frozen=True, slots=True)
class CheckedProcess:
    """Identifies the process that a health check was sent to, by its address and start time."""

    address: str
    boot_ms: float


class HealthChecker:
    """Runs health checks and submits their results to the core.

    Each check opens a new connection, which costs half a millisecond. Persistent connections would
    be idle most of the time.

    Args:
        facts: Whether health checks are permitted, and whether responses carry load reports.
        directory: Names and addresses of hosts.
        clock: The controller's clock.
        telemetry: Counters and log.
        connect_timeout_us: Timeout for establishing the connection, in microseconds. The response
            may take twice as long, since hosts serve health checks like requests.
        capacity: Returns how many checks may run concurrently; each needs a file descriptor.
        submit: Passes an event to the core.
    """

    def __init__(
        self,
        facts: StartFacts,
        directory: Directory,
        clock: Clock,
        telemetry: Telemetry,
        connect_timeout_us: int,
        capacity: Callable[[], int],
        submit: Callable[[events.Event], None],
    ) -> None:
        self.directory = directory
        self.clock = clock
        self.telemetry = telemetry
        self.submit = submit
        self.capacity = capacity
        self.target = "/ping" if facts.report_source is ReportSource.NONE else "/_load"
        self.limits = CallLimits(
            connect_timeout_us / 1e6, 2 * connect_timeout_us / 1e6, MAX_BODY_BYTES
        )
        self.running: dict[int, asyncio.Task[None]] = {}
        self.queued: dict[int, None] = {}  # a dict used as an ordered set of host ids
        self.start_timer: asyncio.TimerHandle | None = None  # while set, no check starts
        self.health_checks_allowed = facts.health_checks_allowed

    def check(self, host: int) -> None:
        """Queues a health check, which starts once there is capacity.

        The check is dropped if health checks are not permitted, or if one of the same host is
        queued or running.
        """
        if not self.health_checks_allowed or host in self.running or host in self.queued:
            self.telemetry.count("dropped.health_checks")
            return
        self.queued[host] = None
        self._start_next()

    def close(self) -> None:
        """Drops queued checks and starts no more.

        A check that started while the event loop shuts down would not be cancelled.
        """
        self.health_checks_allowed = False
        self.queued.clear()

    def _start_next(self) -> None:
        """Starts the next queued check if there is capacity and the start interval has passed.

        The capacity depends on the open connections, since proxies have priority. One check may
        always run.
        """
        if self.start_timer or not self.queued or len(self.running) >= max(1, self.capacity()):
            return
        host = next(iter(self.queued))
        del self.queued[host]
        if host in self.directory.hosts:
            self.running[host] = asyncio.create_task(self._run(host))
        self.start_timer = asyncio.get_running_loop().call_later(
            START_INTERVAL_S, self._on_start_timer
        )

    def _on_start_timer(self) -> None:
        self.start_timer = None
        self._start_next()

    async def _run(self, host: int) -> None:
        started_us = self.clock.now_us()
        known = self.directory.hosts[host]
        checked = CheckedProcess(known.address, known.boot_ms)
        self.telemetry.count("sent.health_checks")
        try:
            result = await self._call(checked.address)
        finally:
            del self.running[host]
            self._start_next()
        is_same_host = self.directory.hosts.get(host) is known
        if not is_same_host or checked != CheckedProcess(known.address, known.boot_ms):
            # The result is of the previous process of the host and says nothing about the new one.
            self.telemetry.count("dropped.late_health_checks")
            return
        self._report(host, result, started_us)

    async def _call(self, address: str) -> Response | CallFailure:
        """Makes the call with a timeout for the whole of it, in case the response trickles."""
        try:
            async with tolerant_timeout(self.limits.connect_timeout_s + self.limits.idle_timeout_s):
                return await fetch(address, self.target, self.limits)
        except TimeoutError as error:
            return CallFailure(CallProgress.REQUEST_SENT, str(error), timed_out=True)

    def _report(self, host: int, result: Response | CallFailure, started_us: int) -> None:
        outcome = outcome_of(result)
        report = load_report_of(result)
        self.telemetry.count(f"health_checks.{outcome.name.lower()}")
        if report:
            self.telemetry.count_load_report(report)
        if outcome is not HealthCheckOutcome.ANSWERED:
            self.telemetry.log.event(
                "info",
                "health_check_failed",
                host=self.directory.uid(host),
                outcome=outcome.value,
                **result.log_fields(),
            )
        if isinstance(result, Response):
            # Excludes the round trip, so that distant hosts do not appear slow.
            elapsed_us = result.served_us
        else:
            elapsed_us = self.clock.now_us() - started_us
        self.submit(events.HealthCheckResult(host, outcome, elapsed_us, report))


def outcome_of(result: Response | CallFailure) -> HealthCheckOutcome:
    """Returns the health check outcome that the result of a call stands for."""
    if isinstance(result, Response):
        return HealthCheckOutcome.ANSWERED if result.status == 200 else HealthCheckOutcome.ERROR
    if result.progress is CallProgress.NOT_CONNECTED:
        return HealthCheckOutcome.UNREACHABLE
    # The connection was up, so the host was reachable even if the call failed later.
    return HealthCheckOutcome.TIMED_OUT if result.timed_out else HealthCheckOutcome.ERROR


def load_report_of(result: Response | CallFailure) -> LoadReport | None:
    """Returns the load report in a response with status 200, or None if there is none."""
    if isinstance(result, Response) and result.status == 200:
        return parse_load_report(result.body)
    return None
