"""Decides about received records of this member's own name: refute, claim, or give up the name.

Each process decides for itself. Of two processes with one name, at most one keeps it.
"""

from dataclasses import dataclass
from enum import Enum, auto

import msgspec

from plankroute.membership.records import MemberRecord, MemberState, merge_records

# How long after its start a process may claim a name that another instance seems to hold. It is
# longer than a group takes to form.
CLAIM_WINDOW_US = 10_000_000
MAX_INCARNATION = (1 << 62) - 1  # no member reaches a higher one by counting up


class ClaimOutcome(Enum):
    """What a received record of this member's own name leads to."""

    UNCHANGED = auto()
    STALE_INSTANCE = auto()  # the record is of an instance that this one has overruled
    REFUTED_SUSPICION = auto()  # the own incarnation is raised above the one received
    REFUTED_FAILURE = auto()  # the same, for a report that this instance failed
    CLAIMED = auto()
    LOST = auto()
    INCARNATION_TOO_HIGH = auto()  # it can't be overruled, and this instance never sent it


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """The outcome, and the own record from now on."""

    outcome: ClaimOutcome
    own: MemberRecord


class NameClaim:
    """Decides whether this process keeps its name; it claims it at most once, soon after its start.

    Two processes that start together each claim the name once with a higher incarnation. At the
    next conflict one of them loses the name, so it does not change hands forever.
    """

    def __init__(self, started_us: int) -> None:
        self.started_us = started_us
        self.has_claimed = False

    def on_record(self, own: MemberRecord, heard: MemberRecord, now_us: int) -> ClaimDecision:
        """Decide about `heard`, a received record of this member's name."""
        if heard.incarnation > MAX_INCARNATION:
            return ClaimDecision(ClaimOutcome.INCARNATION_TOO_HIGH, own)
        if heard.instance_id == own.instance_id:
            return decide_same_instance(own, heard)
        if heard.precedence() < own.precedence():
            return ClaimDecision(ClaimOutcome.STALE_INSTANCE, own)
        if heard.has_failed_or_left():
            return ClaimDecision(ClaimOutcome.REFUTED_SUSPICION, refuting_record(own, heard))
        if not self.has_claimed and now_us - self.started_us < CLAIM_WINDOW_US:
            self.has_claimed = True
            return ClaimDecision(ClaimOutcome.CLAIMED, refuting_record(own, heard))
        return ClaimDecision(ClaimOutcome.LOST, own)


def decide_same_instance(own: MemberRecord, heard: MemberRecord) -> ClaimDecision:
    """Decide about a received record of this process itself, with the same instance id."""
    if heard.incarnation < own.incarnation:
        return ClaimDecision(ClaimOutcome.UNCHANGED, own)
    if heard.state is MemberState.ALIVE and heard.incarnation == own.incarnation:
        conflicting = msgspec.structs.replace(
            own, conflicting_instance_id=heard.conflicting_instance_id
        )
        return ClaimDecision(ClaimOutcome.UNCHANGED, merge_records(own, conflicting))
    outcome = ClaimOutcome.REFUTED_SUSPICION
    if heard.has_failed_or_left():
        outcome = ClaimOutcome.REFUTED_FAILURE
    return ClaimDecision(outcome, refuting_record(own, heard))


def refuting_record(own: MemberRecord, heard: MemberRecord) -> MemberRecord:
    """Return the own record as alive, with an incarnation one above that of `heard` (SWIM)."""
    return msgspec.structs.replace(
        own, incarnation=heard.incarnation + 1, state=MemberState.ALIVE, confirmed_by=()
    )
