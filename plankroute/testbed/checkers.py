"""Judges histories: the same functions for simulated runs, logs of real processes, and tests."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from plankroute.testbed.faults import Act
from plankroute.testbed.history import History, StatusReport

PRESENT = ("joined", "recovered")  # status changes after which a member counts as there
VERDICTS = ("failed", "left", *PRESENT)  # suspicions are none
# Microseconds after a process has ended in which news of it may still be on their way.
NEWS_ON_THEIR_WAY_US = 3_000_000


class Span(NamedTuple):
    """When a process ran, in microseconds of the history's clock."""

    start_us: int
    end_us: int


def lives(history: History, member: int) -> list[Span]:
    """When the member's processes ran; one that was told to leave counts as alive until then."""
    spans: list[Span] = []
    start_us = 0
    is_alive = True
    for step in history.executed_steps:
        if step.member != member:
            continue
        if step.act in (Act.KILL.value, Act.LEAVE.value) and is_alive:
            spans.append(Span(start_us, step.at_us))
            is_alive = False
        elif step.act == Act.START.value:
            start_us = step.at_us
            is_alive = True
    if is_alive:
        spans.append(Span(start_us, history.ends_us))
    return spans


def was_alive(history: History, member: int, at_us: int) -> bool:
    """Whether a process of the member ran at that time."""
    return any(span.start_us <= at_us < span.end_us for span in lives(history, member))


def false_failure_reports(history: History, excused: Iterable[int] = ()) -> list[StatusReport]:
    """Reports of failure while the subject's process ran.

    Args:
        history: What is judged; a paused process counts as running.
        excused: Members that were cut off, as observers and as subjects.
    """
    excused = set(excused)
    return [
        report
        for report in history.reports_of("failed")
        if report.subject not in excused
        and report.observer not in excused
        and was_alive(history, report.subject, report.at_us)
    ]


def detection_us(
    history: History, member: int, killed_us: int, survivors: Iterable[int], change: str = "failed"
) -> dict[int, int | None]:
    """By survivor, how long after the kill it reported the change; None where it never did."""
    first: dict[int, int | None] = dict.fromkeys(survivors)
    for report in history.reports_of(change):
        if report.subject != member or report.at_us < killed_us:
            continue
        if report.observer in first and first[report.observer] is None:
            first[report.observer] = report.at_us - killed_us
    return first


def verdict_changes(history: History, from_us: int, until_us: int) -> Counter[tuple[int, int]]:
    """By observer and subject, how often the verdict changed in that time."""
    return Counter(
        (report.observer, report.subject)
        for report in history.reports_of(*VERDICTS)
        if from_us <= report.at_us < until_us
    )


def verdicts_at(history: History, at_us: int) -> dict[tuple[int, int], str]:
    """By observer and subject, the last verdict reported until then."""
    return {
        (report.observer, report.subject): report.change
        for report in history.reports_of(*VERDICTS)
        if report.at_us <= at_us
    }


def disputed_subjects(
    history: History, at_us: int, observers: Iterable[int], subjects: Iterable[int]
) -> list[int]:
    """Subjects on whom the observers disagree at that time: there, or not there."""
    verdicts = verdicts_at(history, at_us)
    observers = list(observers)
    disagreed: list[int] = []
    for subject in subjects:
        opinions = {
            verdicts.get((observer, subject)) in PRESENT
            for observer in observers
            if observer != subject
        }
        if len(opinions) > 1:
            disagreed.append(subject)
    return disagreed


def agreed_after_us(history: History, from_us: int, alive: Iterable[int]) -> int | None:
    """How long after that time all living members held all living ones for there, for good.

    Returns:
        Microseconds; None: they did not at the end.
    """
    alive = set(alive)
    verdicts = verdicts_at(history, from_us)
    missing = {
        (observer, subject)
        for observer in alive
        for subject in alive
        if observer != subject and verdicts.get((observer, subject)) not in PRESENT
    }
    agreed_us: int | None = None if missing else 0
    for report in history.reports_of(*VERDICTS):
        if report.at_us <= from_us or report.observer not in alive or report.subject not in alive:
            continue
        pair = report.observer, report.subject
        if report.change in PRESENT:
            missing.discard(pair)
        else:
            missing.add(pair)
        if missing:
            agreed_us = None
        elif agreed_us is None:
            agreed_us = report.at_us - from_us
    return agreed_us


def stale_presence_reports(history: History) -> list[StatusReport]:
    """Reports that a member is there while no process of its ran, nor had run shortly before."""
    return [
        report
        for report in history.reports_of(*PRESENT)
        if not any(
            span.start_us <= report.at_us < span.end_us + NEWS_ON_THEIR_WAY_US
            for span in lives(history, report.subject)
        )
    ]
