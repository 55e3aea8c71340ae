"""Judges histories. The same functions judge simulated runs, logs of real processes, and tests."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from plankroute.testbed.faults import Act
from plankroute.testbed.history import Entry, History

VERDICTS = ("failed", "left", "recovered", "joined")


class Span(NamedTuple):
    """From one end of a member's life to the other."""

    start_us: int
    end_us: int


def lives(history: History, member: int) -> list[Span]:
    """When the member's processes ran; one that was told to leave counts as alive until then."""
    spans, start = list[Span](), 0
    alive = True
    for done in history.done:
        if done.member != member:
            continue
        if done.act in (Act.KILL.value, Act.LEAVE.value) and alive:
            spans.append(Span(start, done.at_us))
            alive = False
        elif done.act == Act.START.value:
            start, alive = done.at_us, True
    return spans + ([Span(start, history.ends_us)] if alive else [])


def was_alive(history: History, member: int, at_us: int) -> bool:
    return any(span.start_us <= at_us < span.end_us for span in lives(history, member))


def wrongly_gone(history: History, excused: Iterable[int] = ()) -> list[Entry]:
    """Members called gone while their process ran (paused ones run on); those excused were cut off."""
    out = set(excused)
    return [
        entry
        for entry in history.of("failed")
        if entry.subject not in out
        and entry.observer not in out
        and was_alive(history, entry.subject, entry.at_us)
    ]


def detection_us(
    history: History, member: int, killed_us: int, survivors: Iterable[int], change: str = "failed"
) -> dict[int, int | None]:
    """By survivor, how long after the kill it was told; None where it never was."""
    first: dict[int, int | None] = {survivor: None for survivor in survivors}
    for entry in history.of(change):
        if (
            entry.subject == member
            and entry.at_us >= killed_us
            and first.get(entry.observer, 0) is None
        ):
            first[entry.observer] = entry.at_us - killed_us
    return first


def verdict_changes(history: History, from_us: int, until_us: int) -> Counter[tuple[int, int]]:
    """By observer and subject, how often the verdict changed in that time; suspicions are none."""
    return Counter(
        (entry.observer, entry.subject)
        for entry in history.of(*VERDICTS)
        if from_us <= entry.at_us < until_us
    )


def standing_at(history: History, at_us: int) -> dict[tuple[int, int], str]:
    """By observer and subject, the last verdict that was told until then."""
    return {
        (entry.observer, entry.subject): entry.change
        for entry in history.of(*VERDICTS)
        if entry.at_us <= at_us
    }


def disagreeing(
    history: History, at_us: int, observers: Iterable[int], subjects: Iterable[int]
) -> list[int]:
    """Subjects of whom the observers do not all hold the same: there, or not there."""
    held, observers = standing_at(history, at_us), list(observers)
    return [
        subject
        for subject in subjects
        if len(
            {
                held.get((observer, subject)) in ("joined", "recovered")
                for observer in observers
                if observer != subject
            }
        )
        > 1
    ]


def agreed_after_us(history: History, from_us: int, alive: Iterable[int]) -> int | None:
    """How long after that time all living members held all living ones for there, for good; None: not at the
    end."""
    alive = set(alive)
    held = standing_at(history, from_us)
    missing = {
        (one, other)
        for one in alive
        for other in alive
        if one != other and held.get((one, other)) not in ("joined", "recovered")
    }
    agreed: int | None = 0 if not missing else None
    for entry in history.of(*VERDICTS):
        pair = entry.observer, entry.subject
        if entry.at_us <= from_us or pair[0] not in alive or pair[1] not in alive:
            continue
        (missing.discard if entry.change in ("joined", "recovered") else missing.add)(pair)
        if missing:
            agreed = None
        elif agreed is None:
            agreed = entry.at_us - from_us
    return agreed


def resurrected(history: History) -> list[Entry]:
    """Members said to be back or joined while no process of theirs ran (a beat for what was under way)."""
    slack_us = 3_000_000
    return [
        entry
        for entry in history.of("joined", "recovered")
        if not any(
            span.start_us <= entry.at_us < span.end_us + slack_us
            for span in lives(history, entry.subject)
        )
    ]
