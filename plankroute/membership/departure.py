"""Announces that this member leaves the group, or that it yields its name to another process."""

import msgspec

from plankroute.membership.dissemination import Dissemination
from plankroute.membership.member_table import OWN_INDEX, MemberTable
from plankroute.membership.messages import Gossip, LeaveCompleted, StatusChange
from plankroute.membership.outbox import Outbox
from plankroute.membership.records import MemberRecord, MemberState

# A leave is announced on each of this many ticks to this many members, within 0.2 s in all.
LEAVE_TICKS = 3
LEAVE_FANOUT = 32
# A process that lost its name announces this on each of so many ticks, then sends nothing more.
YIELD_TICKS = 5
YIELD_FANOUT = 8
NOT_STARTED = -1


class Departure:
    """Announces that this member no longer takes part in the group.

    Attributes:
        leave_ticks: Number of ticks on which the leave is still to be announced; negative before a
            leave and after its end.
        yield_ticks: Number of ticks on which the lost name is still to be announced; negative
            before the name is lost and after the announcements.
        has_lost_name: Another process keeps the name; only these announcements, and answers to
            operators, are still sent.
    """

    def __init__(self, table: MemberTable, dissemination: Dissemination, outbox: Outbox) -> None:
        self.table = table
        self.dissemination = dissemination
        self.outbox = outbox
        self.leave_ticks = NOT_STARTED
        self.yield_ticks = NOT_STARTED
        self.has_lost_name = False

    def is_leaving(self) -> bool:
        """Return whether the leave is being announced."""
        return self.leave_ticks >= 0

    def leave(self) -> None:
        """Start to announce the leave.

        If the name is lost, there is nothing to announce and the leave completes at once.
        """
        if self.has_lost_name:
            self.outbox.add(LeaveCompleted())
            return
        self.leave_ticks = LEAVE_TICKS
        own = self.table.own_record()
        left = msgspec.structs.replace(own, state=MemberState.LEFT, confirmed_by=())
        self.table.store(OWN_INDEX, left)

    def on_leave_tick(self) -> None:
        """Announce the leave again; after the last announcement the leave is completed."""
        self.leave_ticks -= 1
        if self.leave_ticks < 0:
            return
        self.dissemination.send_own_record(LEAVE_FANOUT)
        if self.leave_ticks == 0:
            self.outbox.add(LeaveCompleted())

    def yield_name(self, winner: MemberRecord) -> None:
        """Give up the name to the process of the record `winner`.

        From then on the winner's record is announced, with a conflicting instance id, so that all
        members learn that two processes had the name.
        """
        own_instance = self.table.own_record().instance_id
        conflicting = max(winner.conflicting_instance_id, own_instance)
        record = msgspec.structs.replace(winner, conflicting_instance_id=conflicting)
        self.table.store(OWN_INDEX, record)
        self.outbox.notify(StatusChange.NAME_LOST, self.table.own_record())
        self.yield_ticks = YIELD_TICKS
        self.has_lost_name = True

    def on_yield_tick(self) -> None:
        """Announce the lost name again, to random members and to the process that keeps it."""
        self.yield_ticks -= 1
        if self.yield_ticks < 0:
            return
        self.dissemination.send_own_record(YIELD_FANOUT)
        own = self.table.own_record()
        self.outbox.send(own.address, Gossip((own,)))
