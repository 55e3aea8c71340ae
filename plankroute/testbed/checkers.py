"""Functions that evaluate a history, of a simulated run or of real processes alike."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from plankroute.testbed.faults import Act
from plankroute.testbed.history import History, StatusReport

PRESENCE_CHANGES = ("joined", "recovered")  # an observer counts the subject as present after these
VERDICTS = ("failed", "left", *PRESENCE_CHANGES)  # a suspicion is not a verdict
# A report that a member is present may still arrive for this long after the member's process ended.
LATE_REPORT_LIMIT_US = 3_000_000


class ProcessRun(NamedTuple):
    """The time during which a process ran, in microseconds of the history's clock."""

    start_us: int
    end_us: int


def process_runs(history: History, member: int) -> list[ProcessRun]:
    """Returns the times at which processes of a member ran, oldest first.

    The first process runs from time 0. A process that is told to leave counts as running until
    then, and the last one until the end of the history unless it was killed or told to leave.
    """
    runs: list[ProcessRun] = []
    start_us = 0
    is_alive = True
    for step in history.executed_steps:
        if step.member != member:
            continue
        if step.act in (Act.KILL.value, Act.LEAVE.value) and is_alive:
            runs.append(ProcessRun(start_us, step.at_us))
            is_alive = False
        elif step.act == Act.START.value:
            start_us = step.at_us
            is_alive = True
    if is_alive:
        runs.append(ProcessRun(start_us, history.ends_us))
    return runs


def was_alive(history: History, member: int, at_us: int) -> bool:
    """Returns whether a process of the member ran at that time."""
    return any(run.start_us <= at_us < run.end_us for run in process_runs(history, member))


def false_failure_reports(history: History, excluded: Iterable[int] = ()) -> list[StatusReport]:
    """Returns the reports of failure that were made while the subject's process ran.

    Args:
        history: The history to check. A paused process counts as running.
        excluded: Members whose reports, and reports about whom, are left out. Used for members
            that were cut off from the others.
    """
    excluded = set(excluded)
    return [
        report
        for report in history.reports_of("failed")
        if report.subject not in excluded
        and report.observer not in excluded
        and was_alive(history, report.subject, report.at_us)
    ]


def detection_us(
    history: History, member: int, killed_us: int, survivors: Iterable[int], change: str = "failed"
) -> dict[int, int | None]:
    """Returns how long after an act on a member each survivor first reported the change.

    Args:
        history: The history to search.
        member: The subject of the reports.
        killed_us: Time of the kill or leave; earlier reports are ignored.
        survivors: The observers to look for.
        change: The status change that they have to report.

    Returns:
        Microseconds by survivor; None for a survivor that never reported the change.
    """
    first: dict[int, int | None] = dict.fromkeys(survivors)
    for report in history.reports_of(change):
        if report.subject != member or report.at_us < killed_us:
            continue
        if report.observer in first and first[report.observer] is None:
            first[report.observer] = report.at_us - killed_us
    return first


def verdict_changes(history: History, from_us: int, until_us: int) -> Counter[tuple[int, int]]:
    """Returns, by observer and subject, the number of verdicts reported from `from_us` on.

    Verdicts at `until_us` or later do not count.
    """
    return Counter(
        (report.observer, report.subject)
        for report in history.reports_of(*VERDICTS)
        if from_us <= report.at_us < until_us
    )


def verdicts_at(history: History, at_us: int) -> dict[tuple[int, int], str]:
    """Returns, by observer and subject, the last verdict reported up to and including that time."""
    return {
        (report.observer, report.subject): report.change
        for report in history.reports_of(*VERDICTS)
        if report.at_us <= at_us
    }


def disputed_subjects(
    history: History, at_us: int, observers: Iterable[int], subjects: Iterable[int]
) -> list[int]:
    """Returns the subjects that some observers held present and others did not, at that time."""
    verdicts = verdicts_at(history, at_us)
    observers = list(observers)
    disputed: list[int] = []
    for subject in subjects:
        opinions = {
            verdicts.get((observer, subject)) in PRESENCE_CHANGES
            for observer in observers
            if observer != subject
        }
        if len(opinions) > 1:
            disputed.append(subject)
    return disputed


def agreed_after_us(history: History, from_us: int, alive: Iterable[int]) -> int | None:
    """Returns how long it took until all living members held each other present, for good.

    Args:
        history: The history to search.
        from_us: Time from which the delay counts.
        alive: The living members.

    Returns:
        Microseconds from `from_us` to the start of the agreement that lasted to the end of the
        history; None if there was no agreement at the end.
    """
    alive = set(alive)
    verdicts = verdicts_at(history, from_us)
    missing = {
        (observer, subject)
        for observer in alive
        for subject in alive
        if observer != subject and verdicts.get((observer, subject)) not in PRESENCE_CHANGES
    }
    agreed_us: int | None = None if missing else 0
    for report in history.reports_of(*VERDICTS):
        if report.at_us <= from_us or report.observer not in alive or report.subject not in alive:
            continue
        pair = report.observer, report.subject
        if report.change in PRESENCE_CHANGES:
            missing.discard(pair)
        else:
            missing.add(pair)
        if missing:
            agreed_us = None
        elif agreed_us is None:
            agreed_us = report.at_us - from_us
    return agreed_us


def stale_presence_reports(history: History) -> list[StatusReport]:
    """Returns the reports that a member is present, made long after its last process had ended.

    Reports within `LATE_REPORT_LIMIT_US` after the end of a process are not stale.
    """
    return [
        report
        for report in history.reports_of(*PRESENCE_CHANGES)
        if not any(
            run.start_us <= report.at_us < run.end_us + LATE_REPORT_LIMIT_US
            for run in process_runs(history, report.subject)
        )
    ]
