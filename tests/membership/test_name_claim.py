"""The claim of a name by a new instance."""

import msgspec

from plankroute.membership.name_claim import ClaimOutcome, NameClaim
from plankroute.membership.records import MemberRecord
from plankroute.testbed.faults import SECOND


def test_the_wall_clock_of_a_new_instance_does_not_matter() -> None:
    """An hour back at a restart: its first record is below the old one's, and is raised."""
    claim = NameClaim(0)
    own, old = MemberRecord("n", "a:1", "z", 7, 1000), MemberRecord("n", "a:1", "z", 3, 4600)
    decision = claim.on_record(own, old, SECOND)
    raised = decision.own
    assert decision.outcome is ClaimOutcome.CLAIMED
    assert raised.incarnation == 4601 and raised.instance_id == 7
    newer = msgspec.structs.replace(old, instance_id=9, incarnation=9000)
    assert claim.on_record(raised, newer, SECOND).outcome is ClaimOutcome.LOST
    assert claim.on_record(raised, old, SECOND).outcome is ClaimOutcome.STALE_INSTANCE
