"""Health checks of hosts over HTTP, where they are permitted: each call becomes one event."""

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

# Between starts: of many calls at once the controller's own work would be timed.
PACE_S = 0.002
MAX_BODY_BYTES = 4096  # a report is one line


@dataclass(frozen=True, slots=True)
class CheckedProcess:
    """The process that a health check was sent to; another address or start is another process."""

    address: str
    boot_ms: float


class HealthChecker:
    """Checks each host on a new connection, which costs half a ms; kept ones would lie idle.

    Args:
        facts: Whether checks are permitted, and whether they bring load reports.
        directory: Addresses of hosts.
        clock: The controller's clock.
        telemetry: Counters and log.
        connect_timeout_us: Until a connection is up; a response may take twice as long, since hosts
            serve checks like requests.
        capacity: Returns how many checks may be under way, each of which takes a descriptor.
        submit: Hands an event to the core.
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
        self.waiting: dict[int, None] = {}  # an ordered set
        self.pace_timer: asyncio.TimerHandle | None = None  # until the next may begin
        self.health_checks_allowed = facts.health_checks_allowed

    def check(self, host: int) -> None:
        """Starts a health check once there is room, unless one of the host is under way."""
        if not self.health_checks_allowed or host in self.running or host in self.waiting:
            self.telemetry.count("dropped.health_checks")
            return
        self.waiting[host] = None
        self._start_next()

    def close(self) -> None:
        """Guards against checks that begin while the loop ends, where nobody cancels them."""
        self.health_checks_allowed = False
        self.waiting.clear()

    def _start_next(self) -> None:
        """Starts one after another, as many as there is room for: proxies come first."""
        if self.pace_timer or not self.waiting or len(self.running) >= max(1, self.capacity()):
            return
        host = next(iter(self.waiting))
        del self.waiting[host]
        if host in self.directory.hosts:
            self.running[host] = asyncio.create_task(self._run(host))
        self.pace_timer = asyncio.get_running_loop().call_later(PACE_S, self._on_pace_timer)

    def _on_pace_timer(self) -> None:
        self.pace_timer = None
        self._start_next()

    async def _run(self, host: int) -> None:
        began_us = self.clock.now_us()
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
            # Guards against an answer of the previous process that is held against, or for, the new
            # one.
            self.telemetry.count("dropped.late_health_checks")
            return
        self._report(host, result, began_us)

    async def _call(self, address: str) -> Response | CallFailure:
        """Bounds the call as a whole, however its response drips."""
        try:
            async with tolerant_timeout(self.limits.connect_timeout_s + self.limits.idle_timeout_s):
                return await fetch(address, self.target, self.limits)
        except TimeoutError as error:
            return CallFailure(CallProgress.REQUEST_SENT, str(error), timed_out=True)

    def _report(self, host: int, result: Response | CallFailure, began_us: int) -> None:
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
            elapsed_us = result.served_us  # guards against far hosts taken for slow ones
        else:
            elapsed_us = self.clock.now_us() - began_us
        self.submit(events.HealthCheckResult(host, outcome, elapsed_us, report))


def outcome_of(result: Response | CallFailure) -> HealthCheckOutcome:
    """Returns what the end of a call says of the host."""
    if isinstance(result, Response):
        return HealthCheckOutcome.ANSWERED if result.status == 200 else HealthCheckOutcome.ERROR
    if result.progress is CallProgress.NOT_CONNECTED:
        return HealthCheckOutcome.UNREACHABLE
    # Guards against a connection that broke taken for a host out of reach: it was there.
    return HealthCheckOutcome.TIMED_OUT if result.timed_out else HealthCheckOutcome.ERROR


def load_report_of(result: Response | CallFailure) -> LoadReport | None:
    """Returns the load report that came with a good response, if any."""
    if isinstance(result, Response) and result.status == 200:
        return parse_load_report(result.body)
    return None
