"""What this member does about records of its own name: refute, claim the name, or give it up.

Decides for its own process alone; at most one of two processes under a name goes on.
"""

from dataclasses import dataclass
from enum import Enum, auto

import msgspec

from plankroute.membership.records import MemberRecord, MemberState, merge_records

# After its start a process may claim a name that another instance still seems to hold. Longer than
# a group takes to come together.
CLAIM_WINDOW_US = 10_000_000
MAX_INCARNATION = (1 << 62) - 1  # what lies beyond was never counted up to


class ClaimOutcome(Enum):
    """What a record of this member's own name means."""

    UNCHANGED = auto()
    STALE_INSTANCE = auto()  # of an instance that this one has overruled
    REFUTED_SUSPICION = auto()  # this one's record is raised above what was heard
    REFUTED_FAILURE = auto()  # the same, and what was heard is that it failed
    CLAIMED = auto()
    LOST = auto()
    INCARNATION_TOO_HIGH = auto()  # it can't be overruled, and this instance never sent it


@dataclass(frozen=True, slots=True)
class ClaimDecision:
    """The outcome, and the own record as it stands from now on."""

    outcome: ClaimOutcome
    own: MemberRecord


class NameClaim:
    """One claim a process, soon after its start.

    Two that start together raise each other's incarnation once, then one yields.
    """

    def __init__(self, started_us: int) -> None:
        self.started_us = started_us
        self.has_claimed = False

    def on_record(self, own: MemberRecord, heard: MemberRecord, now_us: int) -> ClaimDecision:
        """Decide about a record of this member's name that was heard."""
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
    """Decide about a record of this very process."""
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
    """The own record, alive, with an incarnation above the one that was heard (SWIM)."""
    return msgspec.structs.replace(
        own, incarnation=heard.incarnation + 1, state=MemberState.ALIVE, confirmed_by=()
    )
