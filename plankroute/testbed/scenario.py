"""Base class of the scenarios of failure detection among real controllers, and their results."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any

import msgspec

from plankroute.testbed import checkers
from plankroute.testbed.faults import SECOND, Rule, Script, Step
from plankroute.testbed.plan import JsonObject, Plan
from plankroute.testbed.processes import ControllerProcesses

# Start and end of cuts and partitions, in seconds of the script. They last over four times as long
# as a verdict of failure takes.
CUT_FROM_S = 1.0
CUT_UNTIL_S = 13.0


class ScenarioRun:
    """A run of a scenario, with what was observed.

    Attributes:
        processes: The controllers.
        history: Their reports about each other, and the executed steps.
        members: Number of controllers.
        figures: Figures for the report, by name.
        counters: By member, the counters it returned, if the scenario asked for them.
    """

    def __init__(self, processes: ControllerProcesses) -> None:
        self.processes = processes
        self.history = processes.history
        self.members = processes.plan.members
        self.figures: dict[str, Any] = {}
        self.counters: dict[int, JsonObject] = {}

    def all_but(self, *members: int) -> list[int]:
        """Returns all members except these."""
        return [member for member in range(self.members) if member not in members]

    def all_reported_failed(self, subjects: Iterable[int], observers: Iterable[int]) -> bool:
        """Returns whether each observer has reported that each subject failed."""
        reported = {
            (report.observer, report.subject) for report in self.history.reports_of("failed")
        }
        observers = list(observers)
        return all(
            (observer, subject) in reported
            for subject in subjects
            for observer in observers
            if observer != subject
        )

    def agreement_delay_us(self, from_us: int) -> int | None:
        """Returns the microseconds until all members held each other present, for good.

        Returns None if they do not hold each other present now.
        """
        return checkers.agreed_after_us(self.history, from_us, range(self.members))

    def agreement_delay_s(self, from_us: int) -> float | None:
        """Returns `agreement_delay_us` in seconds, rounded for the report."""
        agreed_us = self.agreement_delay_us(from_us)
        return None if agreed_us is None else round(agreed_us / SECOND, 2)

    def false_failure_objections(self) -> list[str]:
        """Returns an objection for each report of failure made while the subject ran."""
        return [
            f"{report.observer} reported {report.subject} as failed while its process ran"
            for report in checkers.false_failure_reports(self.history)
        ]

    def report_objections(self, *changes: str) -> list[str]:
        """Returns an objection for each report of one of these status changes."""
        return [
            f"{report.observer} reported {report.subject} as {report.change}"
            for report in self.history.reports_of(*changes)
        ]


class Scenario(ABC):
    """A script of faults, the condition on which the run ends, and the checks afterwards."""

    @abstractmethod
    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """Returns the processes and the faults.

        Args:
            members: Number of controllers.
            seed: Seed of the faults.
            full: Whether pauses go on for as long as operators have seen them.
        """

    async def run_extra_actions(self, run: ScenarioRun) -> None:  # noqa: B027 - optional
        """Performs actions that are not steps of the script; by default none."""

    @abstractmethod
    def is_over(self, run: ScenarioRun) -> bool:
        """Returns whether everything that the scenario waits for has happened."""

    @abstractmethod
    def find_objections(self, run: ScenarioRun) -> list[str]:
        """Checks a run, and adds figures to it.

        Returns:
            A description of each violated expectation; empty if there is none.
        """


class Result(msgspec.Struct):
    """The result of a scenario. The field names are keys of the JSON report.

    Attributes:
        name: The scenario's name.
        processes: Number of controllers.
        objections: Violated expectations; empty if the scenario passed.
        figures: Figures of the run, by name.
    """

    name: str
    processes: int
    objections: list[str]
    figures: dict[str, Any]


def make_plan(members: int, seed: int, *rules: Rule, steps: Iterable[Step] = ()) -> Plan:
    """Returns a plan with these faults; its network is set when the scenario runs."""
    return Plan(members, Script(seed, tuple(rules), tuple(steps)), loopback_net=0)
