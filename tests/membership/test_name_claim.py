"""A new instance claims the name of an old one."""

import msgspec

from plankroute.membership.name_claim import ClaimOutcome, NameClaim
from plankroute.membership.records import MemberRecord
from plankroute.testbed.faults import SECOND


def test_a_new_instance_claims_the_name_despite_an_earlier_wall_clock() -> None:
    """Guards against a restart with a wall clock that is one hour behind.

    The first incarnation is then lower than that of the old instance, and has to be raised.
    """
    claim = NameClaim(0)
    own, old = MemberRecord("n", "a:1", "z", 7, 1000), MemberRecord("n", "a:1", "z", 3, 4600)
    decision = claim.on_record(own, old, SECOND)
    raised = decision.own
    assert decision.outcome is ClaimOutcome.CLAIMED
    assert raised.incarnation == 4601 and raised.instance_id == 7
    newer = msgspec.structs.replace(old, instance_id=9, incarnation=9000)
    assert claim.on_record(raised, newer, SECOND).outcome is ClaimOutcome.LOST
    assert claim.on_record(raised, old, SECOND).outcome is ClaimOutcome.STALE_INSTANCE
