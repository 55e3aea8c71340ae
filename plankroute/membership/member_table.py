"""One controller's table of all members: records and times in parallel arrays under a dense index.

Keeps, sums up and finds; decides nothing.
"""

from collections.abc import Iterator
from typing import NamedTuple
from zlib import crc32

from plankroute.membership.records import MemberRecord, MemberState, canonical, merge_records

# Guards against a peer that invents members.
MAX_MEMBERS = 4096
BUCKET_COUNT = 32  # of the sums by which tables are compared: at 1,000 members one fills a datagram
SUM_BYTES = 8
SUM_MODULUS = 1 << 8 * SUM_BYTES
NEVER = -(1 << 60)  # a time before every other one
OWN_INDEX = 0  # of the controller itself


class MergeResult(NamedTuple):
    """What a merge has done; `before` is None where the name is new."""

    member_index: int
    before: MemberRecord | None
    after: MemberRecord


class MemberTable:
    """All members by index; index 0 is the controller itself.

    Attributes:
        index_by_name: the index of each member.
        records: by index; None where the index is free.
        notified_states: what the program was told of it, which may lag behind the record.
        notified_since_us: since when.
        suspected_since_us: when the suspicion that stands was first known.
        contested_until_us: until when an unforeseen failure waits for its refutation.
        living: indexes notified as alive or suspected, the controller itself left out.
        failed: indexes notified as failed; they may come back.
        suspected: indexes whose record is suspected.
        version: rises when a member comes or goes.
    """

    def __init__(self, own: MemberRecord) -> None:
        self.index_by_name: dict[str, int] = {}
        self.free_indexes: list[int] = []
        self.records: list[MemberRecord | None] = []
        self.notified_states: list[MemberState] = []
        self.notified_since_us: list[int] = []
        self.suspected_since_us: list[int] = []
        self.contested_until_us: list[int] = []
        self.sum_by_bucket = [0] * BUCKET_COUNT  # of the digests of records, by bucket
        self.total_sum = 0  # of all of them
        self.living = set[int]()
        self.failed = set[int]()
        self.suspected = set[int]()
        self.sorted_living: list[int] | None = None  # cached until a member comes or goes
        self.version = 0
        self.add(own, 0)

    def __len__(self) -> int:
        """All members that are known, failed ones and the controller itself among them."""
        return len(self.index_by_name)

    def own_record(self) -> MemberRecord:
        """The controller's own record."""
        return self.record_at(OWN_INDEX)

    def record_at(self, index: int) -> MemberRecord:
        """The record at an index that is in use."""
        record = self.records[index]
        assert record is not None, "an index that no member has"
        return record

    def record_of(self, name: str) -> MemberRecord | None:
        """The record of a name; None where it is not known."""
        index = self.index_by_name.get(name)
        return None if index is None else self.record_at(index)

    def is_full(self) -> bool:
        """Whether no name can be added."""
        return len(self.index_by_name) >= MAX_MEMBERS

    def add(self, record: MemberRecord, now_us: int) -> int:
        """Add a name not known before, notified as what its record says; its index."""
        index = self.allocate(now_us)
        self.index_by_name[record.name] = index
        self.store(index, record)
        self.set_notified_state(index, record.state, now_us)
        return index

    def allocate(self, now_us: int) -> int:
        """An index that is free, with its columns cleared."""
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
        """Replace the record at an index, and what follows from it for the sums."""
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
        """Add the digest of a record, or take it away where it is negative."""
        self.sum_by_bucket[bucket] = (self.sum_by_bucket[bucket] + digest) % SUM_MODULUS
        self.total_sum = (self.total_sum + digest) % SUM_MODULUS

    def set_notified_state(self, index: int, state: MemberState, now_us: int) -> None:
        """The program is told that the member is in that state."""
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
        """Living members in the order of their indexes. The list must not be changed."""
        if self.sorted_living is None:
            self.sorted_living = sorted(self.living)
        return self.sorted_living

    def merge(self, record: MemberRecord, now_us: int) -> MergeResult | None:
        """Merge a record that was heard; None where there is no room for one more name."""
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
        """Forget a member that failed or left; its index is used again."""
        name = self.record_at(index).name
        self.set_notified_state(index, MemberState.LEFT, 0)
        self.suspected.discard(index)
        self.records[index] = None
        self.free_indexes.append(index)
        del self.index_by_name[name]

    def failed_or_left_before(self, before_us: int) -> list[int]:
        """Indexes of those notified as failed or left since before that time."""
        return [
            index
            for index in self.index_by_name.values()
            if index != OWN_INDEX
            and self.notified_states[index] >= MemberState.FAILED
            and self.notified_since_us[index] < before_us
        ]

    def digest(self) -> int:
        """Of all members that have not failed or left; equal tables have equal ones."""
        return self.total_sum

    def bucket_sums(self) -> bytes:
        """The sums of all buckets, as they go on the wire."""
        return b"".join(value.to_bytes(SUM_BYTES) for value in self.sum_by_bucket)

    def differing_buckets(self, other_sums: bytes) -> list[int]:
        """Buckets in which another's table is not this one; none where the sums can't be read."""
        if len(other_sums) != BUCKET_COUNT * SUM_BYTES:
            return []
        return [
            bucket
            for bucket, own_sum in enumerate(self.sum_by_bucket)
            if own_sum != int.from_bytes(other_sums[bucket * SUM_BYTES : (bucket + 1) * SUM_BYTES])
        ]

    def records_in_buckets(self, buckets: set[int]) -> Iterator[MemberRecord]:
        """Records of these buckets.

        Those of members that failed or left come too: they keep old gossip from bringing a member
        back.
        """
        return (
            self.record_at(index)
            for name, index in self.index_by_name.items()
            if bucket_of(name) in buckets
        )


def bucket_of(name: str) -> int:
    """The bucket of the sums that a name belongs to."""
    return crc32(name.encode()) % BUCKET_COUNT


def observer_id(name: str) -> int:
    """A member's id in the confirmations of a suspicion.

    Names that share one count as one observer, which makes a failure later, never sooner.
    """
    return crc32(name.encode())
