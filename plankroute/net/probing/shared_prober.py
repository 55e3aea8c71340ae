"""Health checks shared among controllers: each checks a part of all, and takes others' results.

Who checks which host is `cold_start.probe_sharing`'s to decide; a result of others goes to the
controller as an event with its age.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from plankroute.cold_start.link_codec import HealthCheckResults, SharedHealthCheck
from plankroute.cold_start.probe_sharing import (
    RESULT_WAIT_US,
    SURVEY_MIN_HOSTS,
    SharedResult,
    Survey,
)
from plankroute.events import events
from plankroute.events.events import HealthCheckOutcome
from plankroute.net.probing.prober import HealthChecker
from plankroute.net.process.clock import monotonic_us as now_us
from plankroute.units import SECOND_US

# Results are sent together: a survey's come some milliseconds apart.
GATHER_S = 0.02
MAX_RESULTS_PER_FRAME = 200  # 12 KB


@dataclass(frozen=True, slots=True)
class UnsentResult:
    """A result of this controller's own; `checked_us`: steady time."""

    host: str
    elapsed_us: int
    checked_us: int
    boot_ms: float


class SharedHealthChecker(HealthChecker):
    """`prepare_survey` before the first health check.

    Attributes:
        batch: hosts that were ordered within one turn of the event loop.
        surveyed: hosts of a survey that this controller checks itself.
        awaited: by name, hosts whose result is expected from others.
        unsent: results for the others.
    """

    def prepare_survey(
        self,
        survey: Survey,
        zones: tuple[str, ...],
        live_controllers: Callable[[], dict[str, str]],
        share: Callable[[HealthCheckResults], None],
    ) -> None:
        """Set what the constructor, which is HealthChecker's, does not take.

        Args:
            survey: results that are known.
            zones: names of the zones.
            live_controllers: names of all controllers that are there, with their zones.
            share: sends results to other controllers.
        """
        self.survey = survey
        self.zone_names = zones
        self.live_controllers = live_controllers
        self.share = share
        self.submit_to_controller = self.submit
        self.submit = self.on_own_result
        self.batch: list[int] = []
        self.surveyed = set[int]()
        self.awaited: dict[str, int] = {}
        self.unsent: list[UnsentResult] = []
        self.sending: asyncio.TimerHandle | None = None

    def check(self, host: int) -> None:
        """Order a health check.

        Orders of one batch come one after another: together they show whether it is a survey.
        """
        if not self.batch:
            asyncio.get_running_loop().call_soon(self.start_batch)
        self.batch.append(host)

    def start_batch(self) -> None:
        """Check a few hosts as usual, many as a survey."""
        batch = self.batch
        self.batch = []
        if len(batch) < SURVEY_MIN_HOSTS:
            for host in batch:
                super().check(host)
            return
        self.survey.zones = self.live_controllers()
        self.telemetry.count("survey.hosts", len(batch))
        for host in batch:
            if host in self.directory.hosts:
                self.survey_host(host)
        if self.awaited:
            wait_s = RESULT_WAIT_US / SECOND_US
            asyncio.get_running_loop().call_later(wait_s, self.awaited.clear)

    def survey_host(self, host: int) -> None:
        """Check a host, take a result that is fresh, or wait for another controller's."""
        known = self.directory.hosts[host]
        zone = self.zone_names[known.entry.zone] if known.entry else ""
        if self.survey.is_assigned(known.uid, zone):
            self.surveyed.add(host)
            super().check(host)
            return
        result = self.survey.fresh_result(known.uid, known.boot_ms, now_us())
        if result:
            self.submit_shared(host, result)
        else:
            self.awaited[known.uid] = host

    def submit_shared(self, host: int, result: SharedResult) -> None:
        """Submit a result of another controller with its age."""
        self.telemetry.count("survey.results_used")
        age_us = max(0, now_us() - result.checked_us)
        self.submit_to_controller(
            events.HealthCheckResult(
                host, HealthCheckOutcome.ANSWERED, result.elapsed_us, None, age_us
            )
        )

    def on_own_result(self, event: events.Event) -> None:
        """A health check of this controller's own has ended.

        An answer to a survey is shared. A failure is not: each controller finds that out for itself
        before it believes it.
        """
        if isinstance(event, events.HealthCheckResult) and event.host in self.surveyed:
            self.surveyed.discard(event.host)
            if event.outcome is HealthCheckOutcome.ANSWERED:
                self.queue_result(event.host, event.elapsed_us)
        self.submit_to_controller(event)

    def queue_result(self, host: int, elapsed_us: int) -> None:
        """Keep a result for the others, and send it soon."""
        known = self.directory.hosts.get(host)
        if known is None:
            return
        self.survey.add_result(known.uid, SharedResult(elapsed_us, now_us(), known.boot_ms))
        self.unsent.append(UnsentResult(known.uid, elapsed_us, now_us(), known.boot_ms))
        if self.sending is None:
            loop = asyncio.get_running_loop()
            self.sending = loop.call_later(GATHER_S, self.send_results)

    def send_results(self) -> None:
        """Send all results with their ages: others' clocks know nothing of this one's."""
        self.sending = None
        sent_us = now_us()
        unsent = self.unsent
        self.unsent = []
        for at in range(0, len(unsent), MAX_RESULTS_PER_FRAME):
            chunk = unsent[at : at + MAX_RESULTS_PER_FRAME]
            self.telemetry.count("survey.results_sent", len(chunk))
            self.share(
                HealthCheckResults(
                    tuple(
                        SharedHealthCheck(
                            result.host,
                            HealthCheckOutcome.ANSWERED.value,
                            result.elapsed_us,
                            sent_us - result.checked_us,
                            result.boot_ms,
                        )
                        for result in chunk
                    )
                )
            )

    def on_results(self, frame: HealthCheckResults) -> None:
        """Take others' results: answered ones, of hosts that are listed here."""
        for check in frame.results:
            host = self.directory.ids.get(check.host)
            is_answered = check.outcome == HealthCheckOutcome.ANSWERED.value
            if host is not None and is_answered and check.elapsed_us > 0 and check.age_us >= 0:
                self.take_shared(host, check)

    def take_shared(self, host: int, check: SharedHealthCheck) -> None:
        """Keep the result of another controller, and submit it where it is awaited."""
        result = SharedResult(check.elapsed_us, now_us() - check.age_us, check.boot_ms)
        if not self.survey.add_result(check.host, result) or check.host not in self.awaited:
            return
        boot_ms = self.directory.hosts[host].boot_ms
        if self.survey.fresh_result(check.host, boot_ms, now_us()):
            self.submit_shared(self.awaited.pop(check.host), result)
