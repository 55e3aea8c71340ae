"""One steward's view of all others: records and figures in parallel arrays under a dense index.

Keeps, sums up and finds; decides nothing."""

from collections.abc import Iterator
from zlib import crc32

from plankroute.membership.records import MemberRecord, MemberState, canonical, merge_records

MAX_MEMBERS = (
    4096  # four times the largest group that was measured; a liar can make a view no longer
)
BUCKETS = 32  # of the sums by which views are compared: at 1,000 members one fills about a datagram
SUM_BYTES = 8
NEVER = -(1 << 60)


class MemberTable:
    """Place 0 is the steward itself. `told` is what the program was told, which may lag behind the record."""

    def __init__(self, own: MemberRecord) -> None:
        self.index: dict[str, int] = {}
        self.free: list[int] = []
        self.records: list[MemberRecord | None] = []
        self.told: list[MemberState] = []
        self.since_us: list[int] = []  # when it was told so
        self.suspected_us: list[int] = []  # when the standing suspicion was first known
        self.contested_us: list[int] = []  # until when an unforeseen verdict waits for its denial
        self.sums, self.total = [0] * BUCKETS, 0  # of digests: by bucket, and of all
        self.living_places = set[int]()  # told alive or suspected, the steward itself left out
        self.gone_places = set[int]()  # told gone: they may come back
        self.suspected_places = set[int]()  # whose record is suspected
        self.drawable: list[int] | None = None  # the living in order, until somebody comes or goes
        self.version = 0  # rises when somebody comes or goes
        self.add(own, 0)

    def __len__(self) -> int:
        return len(self.index)

    def own(self) -> MemberRecord:
        return self.at(0)

    def at(self, place: int) -> MemberRecord:
        record = self.records[place]
        assert record is not None, "a place that nobody has"
        return record

    def is_full(self) -> bool:
        return len(self.index) >= MAX_MEMBERS

    def add(self, record: MemberRecord, now_us: int) -> int:
        """A name not seen before; told as what its record says."""
        place = self.index[record.name] = self.free.pop() if self.free else len(self.records)
        for array, value in (
            (self.records, None),
            (self.told, record.standing),
            (self.since_us, now_us),
            (self.suspected_us, now_us),
            (self.contested_us, NEVER),
        ):
            array[place : place + 1] = [value]
        self.put(place, record)
        self.tell(place, record.standing, now_us)
        return place

    def put(self, place: int, record: MemberRecord) -> None:
        """The record of a place, and what follows from it for the sums."""
        bucket = bucket_of(record.name)
        for known, sign in ((self.records[place], -1), (record, 1)):
            if known and not known.is_final():
                change = sign * known.digest()
                self.sums[bucket] = (self.sums[bucket] + change) % (1 << 8 * SUM_BYTES)
                self.total = (self.total + change) % (1 << 8 * SUM_BYTES)
        self.records[place] = record
        if place and record.standing is MemberState.SUSPECTED:
            self.suspected_places.add(place)
        else:
            self.suspected_places.discard(place)

    def tell(self, place: int, standing: MemberState, now_us: int) -> None:
        self.told[place], self.since_us[place] = standing, now_us
        (self.gone_places.add if standing is MemberState.GONE else self.gone_places.discard)(place)
        self.contested_us[place] = NEVER
        if (place in self.living_places) is (
            is_living := place > 0 and standing < MemberState.GONE
        ):
            return
        self.drawable = None
        self.version += 1
        (self.living_places.add if is_living else self.living_places.discard)(place)

    def living(self) -> list[int]:
        """In the order of their places."""
        if self.drawable is None:
            self.drawable = sorted(self.living_places)
        return self.drawable

    def merge(
        self, record: MemberRecord, now_us: int
    ) -> tuple[int, MemberRecord | None, MemberRecord] | None:
        """Place, record before and record now; None where there is no room for one more name."""
        record = canonical(record)
        place = self.index.get(record.name)
        if place is None:
            return None if self.is_full() else (self.add(record, now_us), None, record)
        before = self.at(place)
        after = merge_records(before, record)
        if after != before:
            self.put(place, after)
        return place, before, after

    def forget(self, place: int) -> None:
        name = self.at(place).name
        self.tell(place, MemberState.LEFT, 0)
        self.suspected_places.discard(place)
        self.records[place] = None
        self.free.append(place)
        del self.index[name]

    def long_final(self, before_us: int) -> list[int]:
        """Places of those gone or left since before that time."""
        return [
            place
            for place in self.index.values()
            if place and self.told[place] >= MemberState.GONE and self.since_us[place] < before_us
        ]

    def digest(self) -> int:
        """Of all that are not gone or left; equal views have equal ones."""
        return self.total

    def bucket_sums(self) -> bytes:
        return b"".join(value.to_bytes(SUM_BYTES) for value in self.sums)

    def differing(self, sums: bytes) -> list[int]:
        """Numbers of the buckets in which another's view is not this one; none where the sums can't be
        read."""
        if len(sums) != BUCKETS * SUM_BYTES:
            return []
        mine = self.bucket_sums()
        return [
            bucket
            for bucket in range(BUCKETS)
            if mine[(at := bucket * SUM_BYTES) : at + SUM_BYTES] != sums[at : at + SUM_BYTES]
        ]

    def in_buckets(self, buckets: set[int]) -> Iterator[MemberRecord]:
        """Those gone or left come too: they keep old rumours from bringing anybody back."""
        return (self.at(place) for name, place in self.index.items() if bucket_of(name) in buckets)


def bucket_of(name: str) -> int:
    return crc32(name.encode()) % BUCKETS


def observer_id(name: str) -> int:
    """A voter's mark: names that share one are one voter, which makes a verdict later, never sooner."""
    return crc32(name.encode())
