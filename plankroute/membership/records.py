"""What is said of one steward, and the rule by which two such sayings become one. Decides which saying
stands; never who is alive."""

from enum import IntEnum
from hashlib import blake2b

import msgspec

MAX_CONFIRMATIONS = 4  # kept of a suspicion: as many as a verdict ever needs (`suspicion.py`)


class MemberState(IntEnum):
    """A later one overrules an earlier one of the same life and incarnation."""

    ALIVE = 0
    SUSPECTED = 1
    GONE = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """One steward as somebody has it.

    `address`: "host:port" at which it takes datagrams. `life`: drawn by each process at its start.
    `incarnation`: raised by that process alone, to overrule what is said of it. `voters`: the smallest marks
    of those that had no answer from it, while it is suspected. `rival`: the life of another live process
    under the same name, 0 if none showed itself.
    """

    name: str
    address: str
    zone: str
    life: int
    incarnation: int
    standing: MemberState = MemberState.ALIVE
    voters: tuple[int, ...] = ()
    rival: int = 0

    def key(self) -> tuple[int, int]:
        """Which saying of which life this is: the higher one stands."""
        return self.incarnation, self.life

    def is_final(self) -> bool:
        return self.standing >= MemberState.GONE

    def digest(self) -> int:
        """64 bits that tell this record from any other one of the name."""
        said = f"{self.name}\0{self.life}\0{self.incarnation}\0{self.standing}\0{self.voters}\0{self.rival}"
        return int.from_bytes(blake2b(said.encode(), digest_size=8).digest())


def canonical(record: MemberRecord) -> MemberRecord:
    """Voters belong to a suspicion alone: sorted, each once, no more than are kept."""
    voters: tuple[int, ...] = ()
    if record.standing is MemberState.SUSPECTED:
        voters = tuple(sorted(set(record.voters))[:MAX_CONFIRMATIONS])
    return record if voters == record.voters else msgspec.structs.replace(record, voters=voters)


def merge_records(one: MemberRecord, other: MemberRecord) -> MemberRecord:
    """The record that stands when both were said of a name: commutative, associative, idempotent.

    The higher incarnation (then life) stands alone; within one life and incarnation each part takes its own
    upper bound, so the order and number of sayings do not matter. Both have to be canonical.
    """
    if one.key() != other.key():
        return one if one.key() > other.key() else other
    if one == other:
        return one
    standing = max(one.standing, other.standing)
    voters: tuple[int, ...] = ()
    if standing is MemberState.SUSPECTED:
        voters = tuple(sorted({*one.voters, *other.voters})[:MAX_CONFIRMATIONS])
    return MemberRecord(
        one.name,
        max(one.address, other.address),
        max(one.zone, other.zone),
        one.life,
        one.incarnation,
        standing,
        voters,
        max(one.rival, other.rival),
    )
