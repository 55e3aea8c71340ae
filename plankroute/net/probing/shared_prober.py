"""Probes shared among stewards: of a survey of all hosts each steward asks its part, and takes the others'
results.

Who asks is `coldstart.probers`'s to decide; a result of others goes to the core as a note with its age."""

import asyncio
from collections.abc import Callable
from typing import Any

from plankroute.cold_start.link_codec import HealthCheckResults
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

GATHER_S = 0.02  # results are told together: a survey's come some milliseconds apart
MOST_TOLD = 200  # in one frame: 12 KB


class SharedHealthChecker(HealthChecker):
    """`prepare_survey` before the first probe."""

    def prepare_survey(
        self,
        survey: Survey,
        zones: tuple[str, ...],
        living: Callable[[], dict[str, str]],
        tell: Callable[[HealthCheckResults], None],
    ) -> None:
        self.survey, self.zone_names, self.living, self.tell = survey, zones, living, tell
        self.to_core, self.submit = self.submit, self.on_result
        self.batch: list[int] = []
        self.surveyed = set[int]()
        self.awaited: dict[str, int] = {}
        self.untold: list[tuple[str, str, int, int, float]] = []
        self.handle: asyncio.TimerHandle | None = None

    def check(self, host: int) -> None:
        """Orders of one batch come one after another: together they show whether it is a survey."""
        if not self.batch:
            asyncio.get_running_loop().call_soon(self.sort)
        self.batch.append(host)

    def sort(self) -> None:
        batch, self.batch = self.batch, []
        if len(batch) < SURVEY_MIN_HOSTS:
            for host in batch:
                super().check(host)
            return
        self.survey.zones = self.living()
        self.telemetry.count("survey.hosts", len(batch))
        for host in batch:
            if host in self.directory.hosts:
                self.ask(host)
        if self.awaited:
            asyncio.get_running_loop().call_later(RESULT_WAIT_US / 1e6, self.awaited.clear)

    def ask(self, host: int) -> None:
        known = self.directory.hosts[host]
        zone = self.zone_names[known.entry.zone] if known.entry else ""
        if self.survey.is_mine(known.uid, zone):
            self.surveyed.add(host)
            super().check(host)
        elif result := self.survey.fresh(known.uid, known.boot_ms, now_us()):
            self.note(host, result)
        else:
            self.awaited[known.uid] = host

    def note(self, host: int, result: SharedResult) -> None:
        self.telemetry.count("survey.taken")
        age_us = max(0, now_us() - result.at_us)
        self.to_core(
            events.HealthCheckResult(
                host, HealthCheckOutcome.ANSWERED, result.elapsed_us, None, age_us
            )
        )

    def on_result(self, note: Any) -> None:
        """Of a probe of its own; an answer to a survey is told to the others. What failed is not: each
        steward
        finds that out for itself before it believes it."""
        if isinstance(note, events.HealthCheckResult) and note.host in self.surveyed:
            self.surveyed.discard(note.host)
            known = self.directory.hosts.get(note.host)
            if known and note.outcome is HealthCheckOutcome.ANSWERED:
                self.survey.keep(known.uid, SharedResult(note.elapsed_us, now_us(), known.boot_ms))
                self.untold.append(
                    (known.uid, note.outcome.value, note.elapsed_us, now_us(), known.boot_ms)
                )
                if self.handle is None:
                    self.handle = asyncio.get_running_loop().call_later(GATHER_S, self.tell_all)
        self.to_core(note)

    def tell_all(self) -> None:
        """Times become ages: the clocks of others know nothing of this one's."""
        self.handle, now = None, now_us()
        untold, self.untold = self.untold, []
        for at in range(0, len(untold), MOST_TOLD):
            self.telemetry.count("survey.told", len(untold[at : at + MOST_TOLD]))
            self.tell(
                HealthCheckResults(
                    tuple(
                        (uid, outcome, took, now - told, configuration)
                        for uid, outcome, took, told, configuration in untold[at : at + MOST_TOLD]
                    )
                )
            )

    def hear(self, frame: HealthCheckResults) -> None:
        """Others' results: answered ones, of hosts that are listed here."""
        for uid, outcome, elapsed_us, age_us, boot_ms in frame.results:
            host = self.directory.ids.get(uid)
            if (
                host is None
                or outcome != HealthCheckOutcome.ANSWERED.value
                or elapsed_us <= 0
                or age_us < 0
            ):
                continue
            result = SharedResult(elapsed_us, now_us() - age_us, boot_ms)
            if (
                self.survey.keep(uid, result)
                and uid in self.awaited
                and self.survey.fresh(uid, self.directory.hosts[host].boot_ms, now_us())
            ):
                self.note(self.awaited.pop(uid), result)
