"""Health checks shared among controllers: each checks some hosts and uses the results of others.

`cold_start.probe_sharing` decides which controllers check which host. A result of another
controller is submitted to the core as an event that carries its age.
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

# Delay before sending, to batch results; those of a survey arrive some milliseconds apart.
SEND_DELAY_S = 0.02
MAX_RESULTS_PER_FRAME = 200  # a frame of 12 KB


@dataclass(frozen=True, slots=True)
class UnsentResult:
    """A result of this controller that has not been sent to others yet.

    Attributes:
        host: Name of the host.
        elapsed_us: Duration of the health check in microseconds.
        checked_us: When the check ended, on the monotonic clock in microseconds.
        boot_ms: Unix time of the host's last start, in milliseconds.
    """

    host: str
    elapsed_us: int
    checked_us: int
    boot_ms: float


class SharedHealthChecker(HealthChecker):
    """Runs health checks and, in a survey, shares results with other controllers.

    Call `prepare_survey` before the first health check.

    Attributes:
        batch: Ids of hosts whose checks were ordered within one iteration of the event loop.
        surveyed: Ids of hosts in a survey that this controller checks itself.
        awaited: Host ids by name, where the result is expected from another controller.
        unsent: Results to send to the other controllers.
    """

    def prepare_survey(
        self,
        survey: Survey,
        zones: tuple[str, ...],
        live_controllers: Callable[[], dict[str, str]],
        share: Callable[[HealthCheckResults], None],
    ) -> None:
        """Sets what the constructor inherited from HealthChecker does not take.

        Args:
            survey: Assigns hosts to controllers and stores known results.
            zones: Zone names by index.
            live_controllers: Returns the zone names of all live controllers by controller name.
            share: Sends results to other controllers.
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
        self.send_timer: asyncio.TimerHandle | None = None

    def check(self, host: int) -> None:
        """Orders a health check.

        Orders of one event loop iteration form a batch. Its size shows whether it is a survey.
        """
        if not self.batch:
            asyncio.get_running_loop().call_soon(self.start_batch)
        self.batch.append(host)

    def start_batch(self) -> None:
        """Starts the checks of a batch, as a survey if it has enough hosts."""
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
        """Checks a host, uses a fresh result, or waits for the result of another controller.

        Args:
            host: Id of a host in the directory.
        """
        known = self.directory.hosts[host]
        zone = self.zone_names[known.entry.zone] if known.entry else ""
        if self.survey.is_assigned(known.uid, zone):
            self.surveyed.add(host)
            super().check(host)
            return
        result = self.survey.fresh_result(known.uid, known.boot_ms, now_us())
        if result:
            self.submit_shared_result(host, result)
        else:
            self.awaited[known.uid] = host

    def submit_shared_result(self, host: int, result: SharedResult) -> None:
        """Submits a result of another controller with its age."""
        self.telemetry.count("survey.results_used")
        age_us = max(0, now_us() - result.checked_us)
        self.submit_to_controller(
            events.HealthCheckResult(
                host, HealthCheckOutcome.ANSWERED, result.elapsed_us, None, age_us
            )
        )

    def on_own_result(self, event: events.Event) -> None:
        """Handles the end of one of this controller's own health checks.

        An answered check of a survey is shared with others. A failed one is not, because each
        controller must confirm a failure by its own checks.
        """
        if isinstance(event, events.HealthCheckResult) and event.host in self.surveyed:
            self.surveyed.discard(event.host)
            if event.outcome is HealthCheckOutcome.ANSWERED:
                self.queue_result(event.host, event.elapsed_us)
        self.submit_to_controller(event)

    def queue_result(self, host: int, elapsed_us: int) -> None:
        """Stores a result and schedules its sending; does nothing if the host is not listed."""
        known = self.directory.hosts.get(host)
        if known is None:
            return
        self.survey.add_result(known.uid, SharedResult(elapsed_us, now_us(), known.boot_ms))
        self.unsent.append(UnsentResult(known.uid, elapsed_us, now_us(), known.boot_ms))
        if self.send_timer is None:
            loop = asyncio.get_running_loop()
            self.send_timer = loop.call_later(SEND_DELAY_S, self.send_results)

    def send_results(self) -> None:
        """Sends unsent results with their ages, since monotonic clocks differ among controllers."""
        self.send_timer = None
        sent_us = now_us()
        unsent = self.unsent
        self.unsent = []
        for start in range(0, len(unsent), MAX_RESULTS_PER_FRAME):
            chunk = unsent[start : start + MAX_RESULTS_PER_FRAME]
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
        """Handles results of another controller; ignores failed checks and unknown hosts."""
        for check in frame.results:
            host = self.directory.ids.get(check.host)
            is_answered = check.outcome == HealthCheckOutcome.ANSWERED.value
            if host is not None and is_answered and check.elapsed_us > 0 and check.age_us >= 0:
                self.store_shared_result(host, check)

    def store_shared_result(self, host: int, check: SharedHealthCheck) -> None:
        """Stores a result of another controller, and submits it if it is awaited and fresh."""
        result = SharedResult(check.elapsed_us, now_us() - check.age_us, check.boot_ms)
        if not self.survey.add_result(check.host, result) or check.host not in self.awaited:
            return
        boot_ms = self.directory.hosts[host].boot_ms
        if self.survey.fresh_result(check.host, boot_ms, now_us()):
            self.submit_shared_result(self.awaited.pop(check.host), result)
