"""The table of all members that one controller knows, in parallel arrays by a dense index.

The table stores records, keeps sums of their digests and looks members up. It makes no decisions.
"""

from collections.abc import Iterator
from typing import NamedTuple
from zlib import crc32

from plankroute.membership.records import MemberRecord, MemberState, canonical, merge_records

# Limits the memory that a peer can use up with forged members.
MAX_MEMBERS = 4096
# Buckets of names for comparing tables: with 1,000 members, the records of one fill a datagram.
BUCKET_COUNT = 32
SUM_BYTES = 8
SUM_MODULUS = 1 << 8 * SUM_BYTES
NEVER = -(1 << 60)  # earlier than any other time
OWN_INDEX = 0  # index of the controller itself


class MergeResult(NamedTuple):
    """The record before and after a merge; `before` is None if the name is new."""

    member_index: int
    before: MemberRecord | None
    after: MemberRecord


class MemberTable:
    """All members by index; index 0 is the controller itself.

    Attributes:
        index_by_name: The index of each member.
        free_indexes: Indexes of removed members, to be reused.
        records: By index, the record; None if the index is free.
        notified_states: By index, the state that the program was last notified of. It may lag
            behind the state in the record.
        notified_since_us: By index, when the notified state was set.
        suspected_since_us: By index, when the current suspicion became known.
        contested_until_us: By index, until when a contested failure waits for a refutation.
        sum_by_bucket: Sums of the record digests of each bucket, for comparing tables.
        total_sum: Sum of the record digests of all buckets.
        living: Indexes notified as alive or suspected, without the controller itself.
        failed: Indexes notified as failed; these members may recover.
        suspected: Indexes whose record is suspected, without the controller itself.
        sorted_living: The sorted `living`, cached until it changes; None if it is not cached.
        version: Incremented whenever `living` changes.
    """

    def __init__(self, own: MemberRecord) -> None:
        self.index_by_name: dict[str, int] = {}
        self.free_indexes: list[int] = []
        self.records: list[MemberRecord | None] = []
        self.notified_states: list[MemberState] = []
        self.notified_since_us: list[int] = []
        self.suspected_since_us: list[int] = []
        self.contested_until_us: list[int] = []
        self.sum_by_bucket = [0] * BUCKET_COUNT
        self.total_sum = 0
        self.living = set[int]()
        self.failed = set[int]()
        self.suspected = set[int]()
        self.sorted_living: list[int] | None = None
        self.version = 0
        self.add(own, 0)

    def __len__(self) -> int:
        """Return the number of known members, including failed ones and the controller itself."""
        return len(self.index_by_name)

    def own_record(self) -> MemberRecord:
        """Return the controller's own record."""
        return self.record_at(OWN_INDEX)

    def record_at(self, index: int) -> MemberRecord:
        """Return the record at an index that is in use."""
        record = self.records[index]
        assert record is not None, "no member has this index"
        return record

    def record_of(self, name: str) -> MemberRecord | None:
        """Return the record of a name; None if the name is not known."""
        index = self.index_by_name.get(name)
        return None if index is None else self.record_at(index)

    def is_full(self) -> bool:
        """Return whether the table has no room for another name."""
        return len(self.index_by_name) >= MAX_MEMBERS

    def add(self, record: MemberRecord, now_us: int) -> int:
        """Add a new name, set its notified state to that of its record, and return its index."""
        index = self.allocate(now_us)
        self.index_by_name[record.name] = index
        self.store(index, record)
        self.set_notified_state(index, record.state, now_us)
        return index

    def allocate(self, now_us: int) -> int:
        """Return a free index whose array elements are reset."""
        if not self.free_indexes:
            self.records.append(None)
            self.notified_states.append(MemberState.ALIVE)
            self.notified_since_us.append(now_us)
            self.suspected_since_us.append(now_us)
            self.contested_until_us.append(NEVER)
            return len(self.records) - 1
        index = self.free_indexes.pop()
        self.records[index] = None
        self.suspected_since_us[index] = now_us
        return index

    def store(self, index: int, record: MemberRecord) -> None:
        """Replace the record at an index, and update the sums and `suspected`.

        The sums leave out members that failed or left.
        """
        bucket = bucket_of(record.name)
        known = self.records[index]
        if known and not known.has_failed_or_left():
            self.add_to_sums(bucket, -known.digest())
        if not record.has_failed_or_left():
            self.add_to_sums(bucket, record.digest())
        self.records[index] = record
        if index != OWN_INDEX and record.state is MemberState.SUSPECTED:
            self.suspected.add(index)
        else:
            self.suspected.discard(index)

    def add_to_sums(self, bucket: int, digest: int) -> None:
        """Add the digest of a record to the sums; a negated digest removes the record."""
        self.sum_by_bucket[bucket] = (self.sum_by_bucket[bucket] + digest) % SUM_MODULUS
        self.total_sum = (self.total_sum + digest) % SUM_MODULUS

    def set_notified_state(self, index: int, state: MemberState, now_us: int) -> None:
        """Set the state that the program is notified of, and update `living` and `failed`."""
        self.notified_states[index] = state
        self.notified_since_us[index] = now_us
        self.contested_until_us[index] = NEVER
        if state is MemberState.FAILED:
            self.failed.add(index)
        else:
            self.failed.discard(index)
        is_living = index != OWN_INDEX and state < MemberState.FAILED
        if (index in self.living) is is_living:
            return
        self.sorted_living = None
        self.version += 1
        if is_living:
            self.living.add(index)
        else:
            self.living.discard(index)

    def living_indexes(self) -> list[int]:
        """Return the living members in the order of their indexes; do not modify the list."""
        if self.sorted_living is None:
            self.sorted_living = sorted(self.living)
        return self.sorted_living

    def merge(self, record: MemberRecord, now_us: int) -> MergeResult | None:
        """Merge a received record; return None if its name is new and the table is full."""
        record = canonical(record)
        index = self.index_by_name.get(record.name)
        if index is None:
            if self.is_full():
                return None
            return MergeResult(self.add(record, now_us), None, record)
        before = self.record_at(index)
        after = merge_records(before, record)
        if after != before:
            self.store(index, after)
        return MergeResult(index, before, after)

    def remove(self, index: int) -> None:
        """Remove a member that failed or left; its index will be reused."""
        name = self.record_at(index).name
        self.set_notified_state(index, MemberState.LEFT, 0)
        self.suspected.discard(index)
        self.records[index] = None
        self.free_indexes.append(index)
        del self.index_by_name[name]

    def failed_or_left_before(self, before_us: int) -> list[int]:
        """Return the indexes of members notified as failed or left before `before_us`."""
        return [
            index
            for index in self.index_by_name.values()
            if index != OWN_INDEX
            and self.notified_states[index] >= MemberState.FAILED
            and self.notified_since_us[index] < before_us
        ]

    def digest(self) -> int:
        """Return the sum of the digests of all members that have not failed or left.

        Tables that agree on these members have equal digests.
        """
        return self.total_sum

    def bucket_sums(self) -> bytes:
        """Return the sums of all buckets, as encoded on the wire."""
        return b"".join(value.to_bytes(SUM_BYTES) for value in self.sum_by_bucket)

    def differing_buckets(self, other_sums: bytes) -> list[int]:
        """Return the buckets whose sums differ; none if `other_sums` has the wrong length."""
        if len(other_sums) != BUCKET_COUNT * SUM_BYTES:
            return []
        return [
            bucket
            for bucket, own_sum in enumerate(self.sum_by_bucket)
            if own_sum != int.from_bytes(other_sums[bucket * SUM_BYTES : (bucket + 1) * SUM_BYTES])
        ]

    def records_in_buckets(self, buckets: set[int]) -> Iterator[MemberRecord]:
        """Return the records of these buckets.

        They include members that failed or left, so that older gossip does not make the receiver
        take such a member for alive again.
        """
        return (
            self.record_at(index)
            for name, index in self.index_by_name.items()
            if bucket_of(name) in buckets
        )


def bucket_of(name: str) -> int:
    """Return the bucket that a name belongs to."""
    return crc32(name.encode()) % BUCKET_COUNT


def observer_id(name: str) -> int:
    """Return a member's id in the confirmations of a suspicion.

    Two names with the same id count as one observer. That can delay a confirmed failure, but never
    cause one too early.
    """
    return crc32(name.encode())
