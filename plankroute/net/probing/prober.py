"""Probes to hosts, where they are permitted: each call becomes one note on how it ended."""

import asyncio
from collections.abc import Callable

from plankroute.events import events
from plankroute.events.events import HealthCheckOutcome, LoadReport
from plankroute.events.facts import ReportSource, StartFacts
from plankroute.net.discovery.directory import Directory
from plankroute.net.discovery.http_client import Answer, Limits, fetch
from plankroute.net.process.clock import Clock, patience
from plankroute.net.process.errors import CallFailed, Reached
from plankroute.net.process.telemetry import Telemetry
from plankroute.net.proxies.line_codec import read_report

PACE_S = (
    0.002  # between calls: of thirty at once each would be timed by the steward's own work for all
)
MOST_BODY = 4096  # bytes: a report is one line


class HealthChecker:
    """A connection a probe, closed after it: kept ones would lie idle, new ones cost half a millisecond."""

    def __init__(
        self,
        facts: StartFacts,
        directory: Directory,
        clock: Clock,
        telemetry: Telemetry,
        dial_us: int,
        at_once: Callable[[], int],
        submit: Callable[[events.Event], None],
    ) -> None:
        self.directory, self.clock, self.telemetry, self.submit = (
            directory,
            clock,
            telemetry,
            submit,
        )
        self.at_once = at_once  # a descriptor each
        self.target = "/ping" if facts.report_source is ReportSource.NONE else "/_load"
        # Hosts serve probes like txns: an answer may take twice as long as a connection.
        self.limits = Limits(dial_us / 1e6, 2 * dial_us / 1e6, MOST_BODY)
        self.busy: dict[int, asyncio.Task[None]] = {}
        self.waiting = dict[int, None]()
        self.paced: asyncio.TimerHandle | None = None  # until the next may begin
        self.health_checks_allowed = facts.health_checks_allowed

    def check(self, host: int) -> None:
        if not self.health_checks_allowed or host in self.busy or host in self.waiting:
            self.telemetry.count("dropped.probes")
            return
        self.waiting[host] = None
        self.start()

    def close(self) -> None:
        """Guards against probes that begin while the loop ends, where nobody cancels them."""
        self.health_checks_allowed = False
        self.waiting.clear()

    def start(self) -> None:
        """One after another, as many as there is room for: streams come first."""
        if self.paced or not self.waiting or len(self.busy) >= max(1, self.at_once()):
            return
        host = next(iter(self.waiting))
        del self.waiting[host]
        if host in self.directory.hosts:
            self.busy[host] = asyncio.create_task(self.call(host))
        self.paced = asyncio.get_running_loop().call_later(PACE_S, self.go_on)

    def go_on(self) -> None:
        self.paced = None
        self.start()

    async def call(self, host: int) -> None:
        asked_us, known = self.clock.now(), self.directory.hosts[host]
        asked = known.address, known.boot_ms
        self.telemetry.count("sent.probes")
        try:
            async with patience(self.limits.dial_s + self.limits.quiet_s):
                answer = await fetch(known.address, self.target, self.limits)
        except TimeoutError as error:
            answer = CallFailed(Reached.ASKED, str(error), timed_out=True)
        finally:
            del self.busy[host]
            self.start()
        if self.directory.hosts.get(host) is not known or asked != (known.address, known.boot_ms):
            # Guards against a word of the process before that is held against, or for, the new one.
            self.telemetry.count("dropped.late_probes")
            return
        outcome, report = judge_call(answer)
        self.telemetry.count(f"answered.probes.{outcome.name.lower()}")
        if report:
            self.telemetry.count_report(report)
        if outcome is not HealthCheckOutcome.ANSWERED:
            self.telemetry.log.event(
                "info", "probe_bad", host=known.uid, outcome=outcome.value, how=str(answer)
            )
        # Guards against far hosts taken for slow ones.
        elapsed_us = answer.served_us if isinstance(answer, Answer) else self.clock.now() - asked_us
        self.submit(events.HealthCheckResult(host, outcome, elapsed_us, report))


def judge_call(answer: Answer | CallFailed) -> tuple[HealthCheckOutcome, LoadReport | None]:
    """How the call ended, in the words of the notes."""
    if isinstance(answer, CallFailed):
        if answer.reached is Reached.NOTHING:
            return HealthCheckOutcome.UNREACHABLE, None
        # Guards against a connection that broke taken for a host out of reach: it was there.
        return HealthCheckOutcome.TIMED_OUT if answer.timed_out else HealthCheckOutcome.ERROR, None
    if answer.status != 200:
        return HealthCheckOutcome.ERROR, None
    return HealthCheckOutcome.ANSWERED, read_report(answer.body)
