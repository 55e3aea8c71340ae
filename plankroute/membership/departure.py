"""How this member leaves the group, and how it yields its name to another process."""

import msgspec

from plankroute.membership.dissemination import Dissemination
from plankroute.membership.member_table import OWN_INDEX, MemberTable
from plankroute.membership.messages import Gossip, LeaveCompleted, StatusChange
from plankroute.membership.outbox import Outbox
from plankroute.membership.records import MemberRecord, MemberState

# A leave is announced to that many members at once, on so many ticks; 0.2 s in all.
LEAVE_TICKS = 3
LEAVE_FANOUT = 32
# A process that lost its name says so on so many ticks, then is silent.
YIELD_TICKS = 5
YIELD_FANOUT = 8
NOT_STARTED = -1


class Departure:
    """Announces the end of this member's part in the group.

    Attributes:
        leave_ticks: ticks left to announce the leave.
        yield_ticks: ticks left to announce the lost name.
        has_lost_name: another process has the name; nothing else is sent any more.
    """

    def __init__(self, table: MemberTable, dissemination: Dissemination, outbox: Outbox) -> None:
        self.table = table
        self.dissemination = dissemination
        self.outbox = outbox
        self.leave_ticks = NOT_STARTED
        self.yield_ticks = NOT_STARTED
        self.has_lost_name = False

    def is_leaving(self) -> bool:
        """Whether the leave is being announced."""
        return self.leave_ticks >= 0

    def leave(self) -> None:
        """Begin to announce the leave."""
        if self.has_lost_name:
            self.outbox.add(LeaveCompleted())
            return
        self.leave_ticks = LEAVE_TICKS
        own = self.table.own_record()
        left = msgspec.structs.replace(own, state=MemberState.LEFT, confirmed_by=())
        self.table.store(OWN_INDEX, left)

    def on_leave_tick(self) -> None:
        """Announce the leave once more."""
        self.leave_ticks -= 1
        if self.leave_ticks < 0:
            return
        self.dissemination.send_own_record(LEAVE_FANOUT)
        if self.leave_ticks == 0:
            self.outbox.add(LeaveCompleted())

    def yield_name(self, winner: MemberRecord) -> None:
        """The other process keeps the name; that there were two is announced to all."""
        own_instance = self.table.own_record().instance_id
        conflicting = max(winner.conflicting_instance_id, own_instance)
        record = msgspec.structs.replace(winner, conflicting_instance_id=conflicting)
        self.table.store(OWN_INDEX, record)
        self.outbox.notify(StatusChange.NAME_LOST, self.table.own_record())
        self.yield_ticks = YIELD_TICKS
        self.has_lost_name = True

    def on_yield_tick(self) -> None:
        """Announce the lost name once more, also to the process that has it."""
        self.yield_ticks -= 1
        if self.yield_ticks < 0:
            return
        self.dissemination.send_own_record(YIELD_FANOUT)
        own = self.table.own_record()
        self.outbox.send(own.address, Gossip((own,)))
