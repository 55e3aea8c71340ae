"""Disseminates changed records: by broadcasts to a few members and piggybacked on other messages.

Size, number and rate of the datagrams are bounded.
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

OVERHEAD_BYTES = 48  # of a datagram without its records
# Members that a change is sent to at once. Even with a third of the datagrams lost, the number of
# members that know of the change more than doubles at each hop.
BROADCAST_FANOUT = 3
# Rate and burst of broadcast datagrams. Records beyond them are only piggybacked.
BROADCASTS_PER_SECOND = 20
BROADCAST_BURST = 30
# Between two broadcasts. Many changes in a short time are collected, so that datagrams are full.
MIN_BROADCAST_INTERVAL_US = 50_000


class Dissemination:
    """Sends records of the table to other members."""

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
        self.changed_names: dict[str, None] = {}  # ordered set of names for the next broadcast
        self.last_broadcast_us = NEVER

    def announce(self, name: str) -> None:
        """Queue the changed record of that name for the next broadcast and for piggybacking."""
        self.queue.add(name)
        self.changed_names[name] = None

    def piggyback(
        self, priority_record: MemberRecord | None = None, reserved_bytes: int = 0
    ) -> tuple[MemberRecord, ...]:
        """Take records to piggyback on one datagram, leaving room for this member's own record.

        Args:
            priority_record: A record that the receiver has to know; it comes first, whether or not
                it is queued.
            reserved_bytes: Bytes of the datagram for its other contents.

        Returns:
            The priority record, if any, and as many queued records as fit.
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
        """Send changed records to a few random members, at most once per minimum interval.

        One datagram's worth of records is sent; the others are only piggybacked.
        """
        if not self.changed_names or now_us - self.last_broadcast_us < MIN_BROADCAST_INTERVAL_US:
            return
        self.last_broadcast_us = now_us
        names = list(self.changed_names)
        self.changed_names = {}
        gossip = Gossip(self.records_that_fit(names))
        for index in self.sampler.sample(self.broadcast_budget.take(now_us, BROADCAST_FANOUT)):
            self.outbox.send(self.table.record_at(index).address, gossip)

    def records_that_fit(self, names: list[str]) -> tuple[MemberRecord, ...]:
        """Return the records of these names, up to the first that does not fit in the datagram."""
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
        """Send this member's own record to `member_count` random living members."""
        for index in self.sampler.sample(member_count):
            gossip = Gossip((self.table.own_record(),))
            self.outbox.send(self.table.record_at(index).address, gossip)
