"""What a scenario of failure detection among real controllers is, and the run of one."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any

import msgspec

from plankroute.testbed import checkers
from plankroute.testbed.faults import SECOND, Rule, Script, Step
from plankroute.testbed.plan import JsonObject, Plan
from plankroute.testbed.processes import ControllerProcesses

CUT_FROM_S = 1.0  # when cuts and partitions begin
CUT_UNTIL_S = 13.0  # and end: they last over four times what a verdict takes


class Trial:
    """A scenario that runs, for its judge.

    Attributes:
        processes: The controllers.
        history: What they report about each other.
        members: How many there are.
        notes: Figures for the report.
        counters: By member, what it has counted, where the scenario asked for it.
    """

    def __init__(self, processes: ControllerProcesses) -> None:
        self.processes = processes
        self.history = processes.history
        self.members = processes.plan.members
        self.notes: dict[str, Any] = {}
        self.counters: dict[int, JsonObject] = {}

    def all_but(self, *members: int) -> list[int]:
        """All members but these."""
        return [member for member in range(self.members) if member not in members]

    def failed_for_all(self, subjects: Iterable[int], observers: Iterable[int]) -> bool:
        """Whether each observer has reported that each subject failed."""
        reported = {(entry.observer, entry.subject) for entry in self.history.of("failed")}
        observers = list(observers)
        return all(
            (observer, subject) in reported
            for subject in subjects
            for observer in observers
            if observer != subject
        )

    def agreed_us(self, from_us: int) -> int | None:
        """How long after that time all agreed that all are there; None: they do not."""
        return checkers.agreed_after_us(self.history, from_us, range(self.members))

    def agreed_s(self, from_us: int) -> float | None:
        """The same in seconds, for the report."""
        agreed_us = self.agreed_us(from_us)
        return None if agreed_us is None else round(agreed_us / SECOND, 2)

    def false_failures(self) -> list[str]:
        """Objections to reports of failure while the subject ran."""
        return [
            f"{entry.observer} called {entry.subject} failed, which ran"
            for entry in checkers.wrongly_gone(self.history)
        ]

    def reported(self, *changes: str) -> list[str]:
        """Objections to all reports of these changes."""
        return [
            f"{entry.observer}: {entry.change} of {entry.subject}"
            for entry in self.history.of(*changes)
        ]


class Scenario(ABC):
    """A script, a wait for what has to come, and a judge."""

    @abstractmethod
    def plan(self, members: int, seed: int, full: bool) -> Plan:
        """The processes and what befalls them.

        Args:
            members: How many controllers.
            seed: Seed of the faults.
            full: Whether it takes as long as operators have seen it.
        """

    async def act(self, trial: Trial) -> None:  # noqa: B027 - most scenarios need none
        """What is done beside the script's steps."""

    @abstractmethod
    def is_over(self, trial: Trial) -> bool:
        """Whether all that has to come has come."""

    @abstractmethod
    def judge(self, trial: Trial) -> list[str]:
        """Objections to what was seen; notes figures."""


class Result(msgspec.Struct):
    """What came of a scenario.

    Attributes:
        name: The scenario's name.
        processes: How many controllers ran.
        objections: What is wrong; none: it is good.
        figures: Notes of the judge.
    """

    name: str
    processes: int
    objections: list[str]
    figures: dict[str, Any]


def plan_of(members: int, seed: int, *rules: Rule, steps: Iterable[Step] = ()) -> Plan:
    """A plan with these faults; its addresses are chosen when it runs."""
    return Plan(members, Script(seed, tuple(rules), tuple(steps)), loopback_net=0)
