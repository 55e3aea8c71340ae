"""How new records spread: piggybacked on other messages, and at once to a few members.

Bounded in size, number and rate.
"""

from collections.abc import Callable

from plankroute.membership.facts import MAX_DATAGRAM_BYTES
from plankroute.membership.gossip import GossipQueue
from plankroute.membership.member_table import NEVER, MemberTable
from plankroute.membership.messages import Gossip
from plankroute.membership.outbox import Outbox
from plankroute.membership.records import MemberRecord
from plankroute.membership.sampling import MemberSampler
from plankroute.token_bucket import TokenBucket

OVERHEAD_BYTES = 48  # of a datagram, beside its records
# Members that hear of a change at once: it doubles and more at each hop, with a third of datagrams
# lost.
BROADCAST_FANOUT = 3
# Datagrams with new records a second, and at once: beyond, records are piggybacked.
BROADCASTS_PER_SECOND = 20
BROADCAST_BURST = 30
# Between two broadcasts: the records of a storm are gathered, so that each datagram is full.
MIN_BROADCAST_INTERVAL_US = 50_000


class Dissemination:
    """Spreads records of the table."""

    def __init__(
        self,
        table: MemberTable,
        sampler: MemberSampler,
        record_size: Callable[[MemberRecord], int],
        outbox: Outbox,
    ) -> None:
        self.table = table
        self.sampler = sampler
        self.record_size = record_size
        self.outbox = outbox
        self.queue = GossipQueue()
        self.broadcast_budget = TokenBucket(BROADCASTS_PER_SECOND, BROADCAST_BURST)
        self.changed_names: dict[str, None] = {}  # names, in order, for the next broadcast
        self.last_broadcast_us = NEVER

    def announce(self, name: str) -> None:
        """The record of that name has changed: pass it on."""
        self.queue.add(name)
        self.changed_names[name] = None

    def piggyback(
        self, priority_record: MemberRecord | None = None, reserved_bytes: int = 0
    ) -> tuple[MemberRecord, ...]:
        """Records for one datagram, led by the one that its reader has to know.

        Args:
            priority_record: goes before all others, whether or not it is queued.
            reserved_bytes: of the datagram, for what else it carries.
        """
        own_size = self.record_size(self.table.own_record())
        room_bytes = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES - reserved_bytes - own_size
        if priority_record:
            room_bytes -= self.record_size(priority_record)
        queued = self.queue.take(
            len(self.table), room_bytes, self.table.record_of, self.record_size
        )
        return (priority_record, *queued) if priority_record else tuple(queued)

    def broadcast_changes(self, now_us: int) -> None:
        """Send what is new to a few members at once, as many records as fit; the rest rides."""
        if not self.changed_names or now_us - self.last_broadcast_us < MIN_BROADCAST_INTERVAL_US:
            return
        self.last_broadcast_us = now_us
        names = list(self.changed_names)
        self.changed_names = {}
        gossip = Gossip(self.records_that_fit(names))
        for index in self.sampler.sample(self.broadcast_budget.take(now_us, BROADCAST_FANOUT)):
            self.outbox.send(self.table.record_at(index).address, gossip)

    def records_that_fit(self, names: list[str]) -> tuple[MemberRecord, ...]:
        """Records of these names that fit a datagram; one that does not takes up room too."""
        room_bytes = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES
        records = list[MemberRecord]()
        for name in names:
            record = self.table.record_of(name)
            if record is None:
                continue
            room_bytes -= self.record_size(record)
            if room_bytes >= 0:
                records.append(record)
        return tuple(records)

    def send_own_record(self, member_count: int) -> None:
        """Send this member's own record to that many others."""
        for index in self.sampler.sample(member_count):
            gossip = Gossip((self.table.own_record(),))
            self.outbox.send(self.table.record_at(index).address, gossip)
