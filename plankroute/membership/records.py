"""The record of one member, and the rule for merging two records of a member.

Decides which record is kept; never decides whether a member is alive.
"""

from enum import IntEnum
from hashlib import blake2b

import msgspec

MAX_CONFIRMATIONS = 4  # kept per suspicion; a failure never needs more (`suspicion.py`)


class MemberState(IntEnum):
    """States of a member; within one incarnation a higher value overrules a lower one."""

    ALIVE = 0
    SUSPECTED = 1
    FAILED = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one member knows of another. Field order and types are the wire format.

    Attributes:
        name: The controller's name.
        address: "host:port" at which the member receives datagrams.
        zone: The controller's zone.
        instance_id: Drawn at random by each process at its start.
        incarnation: Raised only by that process, to refute reports of others about it (SWIM).
        state: Alive, suspected, failed or left.
        confirmed_by: Observer ids of members that had no answer from a suspected member; the
            smallest ones are kept (Lifeguard's independent confirmations). Empty in other states.
        conflicting_instance_id: Instance id of another live process with the same name; 0 if none
            is known.
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
        """Return the precedence: of two records of a name, the one with the higher is kept."""
        return self.incarnation, self.instance_id

    def has_failed_or_left(self) -> bool:
        """Return whether the state is failed or left. A failed member may still refute this."""
        return self.state >= MemberState.FAILED

    def digest(self) -> int:
        """Return a 64-bit hash by which two records of a name are told apart.

        It does not cover the address and the zone.
        """
        text = (
            f"{self.name}\0{self.instance_id}\0{self.incarnation}\0{self.state}"
            f"\0{self.confirmed_by}\0{self.conflicting_instance_id}"
        )
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


def canonical(record: MemberRecord) -> MemberRecord:
    """Return the record with its confirmations in canonical form.

    They are sorted, unique and at most `MAX_CONFIRMATIONS`; only a suspected member has any.
    """
    confirmed_by: tuple[int, ...] = ()
    if record.state is MemberState.SUSPECTED:
        confirmed_by = tuple(sorted(set(record.confirmed_by))[:MAX_CONFIRMATIONS])
    if confirmed_by == record.confirmed_by:
        return record
    return msgspec.structs.replace(record, confirmed_by=confirmed_by)


def merge_records(one: MemberRecord, other: MemberRecord) -> MemberRecord:
    """Return the merge of two canonical records of a name: commutative, associative, idempotent.

    The record with the higher incarnation, then instance id, is kept as it is. If both are equal,
    each field takes the higher of its two values, so that the order and number of merges do not
    matter.
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
