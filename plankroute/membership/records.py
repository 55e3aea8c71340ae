"""What is known of one member, and the rule by which two such records are merged.

Decides which record holds; never who is alive.
"""

from enum import IntEnum
from hashlib import blake2b

import msgspec

MAX_CONFIRMATIONS = 4  # kept of a suspicion: as many as a failure ever needs (`suspicion.py`)


class MemberState(IntEnum):
    """States of a member; a later one overrules an earlier one of the same incarnation."""

    ALIVE = 0
    SUSPECTED = 1
    FAILED = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """One member as somebody knows it. Field order and types are those of the wire.

    Attributes:
        name: the controller's name.
        address: "host:port" at which it takes datagrams.
        zone: its zone.
        instance_id: drawn by each process at its start.
        incarnation: raised by that process alone, to refute what is said of it (SWIM).
        state: alive, suspected, failed or left.
        confirmed_by: the smallest observer ids of those that had no answer from it, while it is
            suspected (Lifeguard's independent confirmations).
        conflicting_instance_id: the instance of another live process under the same name; 0 if
            none has shown itself.
    """

    name: str
    address: str
    zone: str
    instance_id: int
    incarnation: int
    state: MemberState = MemberState.ALIVE
    confirmed_by: tuple[int, ...] = ()
    conflicting_instance_id: int = 0

    def precedence(self) -> tuple[int, int]:
        """Of two records of a name the one with the higher precedence holds."""
        return self.incarnation, self.instance_id

    def has_failed_or_left(self) -> bool:
        """Whether the member failed or left."""
        return self.state >= MemberState.FAILED

    def digest(self) -> int:
        """64 bits that tell this record from any other one of the name."""
        text = (
            f"{self.name}\0{self.instance_id}\0{self.incarnation}\0{self.state}"
            f"\0{self.confirmed_by}\0{self.conflicting_instance_id}"
        )
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


def canonical(record: MemberRecord) -> MemberRecord:
    """Confirmations belong to a suspicion alone: sorted, each once, no more than are kept."""
    confirmed_by: tuple[int, ...] = ()
    if record.state is MemberState.SUSPECTED:
        confirmed_by = tuple(sorted(set(record.confirmed_by))[:MAX_CONFIRMATIONS])
    if confirmed_by == record.confirmed_by:
        return record
    return msgspec.structs.replace(record, confirmed_by=confirmed_by)


def merge_records(one: MemberRecord, other: MemberRecord) -> MemberRecord:
    """The record that holds when both are known of a name: commutative, associative, idempotent.

    The higher incarnation (then instance) holds alone; within one incarnation each field takes its
    own upper bound, so the order and number of merges do not matter. Both have to be canonical.
    """
    if one.precedence() != other.precedence():
        return one if one.precedence() > other.precedence() else other
    if one == other:
        return one
    state = max(one.state, other.state)
    confirmed_by: tuple[int, ...] = ()
    if state is MemberState.SUSPECTED:
        confirmed_by = tuple(sorted({*one.confirmed_by, *other.confirmed_by})[:MAX_CONFIRMATIONS])
    return MemberRecord(
        one.name,
        max(one.address, other.address),
        max(one.zone, other.zone),
        one.instance_id,
        one.incarnation,
        state,
        confirmed_by,
        max(one.conflicting_instance_id, other.conflicting_instance_id),
    )
