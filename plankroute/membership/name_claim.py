"""What this member does about sayings of its own name: deny, claim the name, or give it up.

Decides for its own process alone; at most one of two processes under a name goes on."""

from enum import Enum

import msgspec

from plankroute.membership.records import MemberRecord, MemberState, merge_records

CLAIM_US = (
    10_000_000  # after its start a process may claim a name that another life still seems to hold
)
MOST_INCARNATION = (1 << 62) - 1  # what lies beyond was never counted up to


class ClaimOutcome(Enum):
    NOTHING = "nothing"
    OLD_LIFE = "old_life"  # of a life that this one has overruled
    DENIED = "denied"  # this one's record is raised above what was said
    CALLED_GONE = "called_gone"  # the same, and what was said is that it is gone
    CLAIMED = "claimed"
    DISPLACED = "displaced"
    BEYOND = "beyond"  # it can't be overruled, and was never said by this life


class NameClaim:
    """One claim a process, soon after its start: two that start together raise each other once, then one
    yields."""

    def __init__(self, born_us: int) -> None:
        self.born_us, self.claimed = born_us, False

    def hear(
        self, own: MemberRecord, said: MemberRecord, now_us: int
    ) -> tuple[ClaimOutcome, MemberRecord]:
        """What was said of this member's name; the own record as it stands from now on."""
        if said.incarnation > MOST_INCARNATION:
            return ClaimOutcome.BEYOND, own
        if said.life == own.life:
            return self.hear_own(own, said)
        if said.key() < own.key():
            return ClaimOutcome.OLD_LIFE, own
        if said.is_final():
            return ClaimOutcome.DENIED, raised(own, said)
        if not self.claimed and now_us - self.born_us < CLAIM_US:
            self.claimed = True
            return ClaimOutcome.CLAIMED, raised(own, said)
        return ClaimOutcome.DISPLACED, own

    def hear_own(self, own: MemberRecord, said: MemberRecord) -> tuple[ClaimOutcome, MemberRecord]:
        if said.incarnation < own.incarnation:
            return ClaimOutcome.NOTHING, own
        if said.standing is MemberState.ALIVE and said.incarnation == own.incarnation:
            return ClaimOutcome.NOTHING, merge_records(
                own, msgspec.structs.replace(own, rival=said.rival)
            )
        reply = ClaimOutcome.CALLED_GONE if said.is_final() else ClaimOutcome.DENIED
        return reply, raised(own, said)


def raised(own: MemberRecord, said: MemberRecord) -> MemberRecord:
    """Above what was said, and alive."""
    return msgspec.structs.replace(
        own, incarnation=said.incarnation + 1, standing=MemberState.ALIVE, voters=()
    )
