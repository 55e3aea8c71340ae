"""Types of the messages between members, of the core's events and of its commands.

Messages are encoded as arrays with a numeric tag. The order, types and defaults of their fields are
part of the protocol; the field names are not.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from plankroute.membership.records import MemberRecord

# Messages between members. `gossip` holds piggybacked records.


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests an ack; carries the digest of the sender's table and the sender's own record."""

    sequence_number: int
    table_digest: int
    sender: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ping.

    `bucket_sums` is set if the tables differ and the rate limit allows a comparison, else empty.
    """

    sequence_number: int
    sender: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()
    bucket_sums: bytes = b""


class IndirectPingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to ping the target and to relay the target's ack (SWIM's ping-req)."""

    sequence_number: int
    target_address: str
    sender: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()


class IndirectAck(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The relayed ack of an indirect ping; `target` is the target's own record."""

    sequence_number: int
    target: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Changed records, sent unrequested."""

    records: tuple[MemberRecord, ...]


class ViewExchange(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Part of a table, for anti-entropy.

    `wanted_buckets` holds the numbers, one byte each, of the buckets wanted in return.
    """

    records: tuple[MemberRecord, ...]
    wanted_buckets: bytes = b""


class ViewRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """An operator's request for the table of members, starting at a line number from 0."""

    first_line: int


class ViewLine(msgspec.Struct, frozen=True, array_like=True):
    """One member: its record, the state last notified, and for how long it has had this state."""

    record: MemberRecord
    state: int
    duration_us: int


class ViewResponse(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Part of the answer to a `ViewRequest`; line 0 is the controller's own."""

    total_lines: int
    first_line: int
    lines: tuple[ViewLine, ...]


Message = (
    Ping
    | Ack
    | IndirectPingRequest
    | IndirectAck
    | Gossip
    | ViewExchange
    | ViewRequest
    | ViewResponse
)


# Events that the core takes.


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived from the address `source` ("host:port")."""

    source: str
    message: Message


@dataclass(frozen=True, slots=True)
class TickDue:
    """The time of the last `WakeAt` has come."""


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    """The configured list of seeds changed."""

    seeds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The controller shuts down gracefully."""


Event = MessageReceived | TickDue | SeedsChanged | LeaveRequested


# Commands that the core returns.


class StatusChange(Enum):
    """Changes that the program is notified of. The values are part of log event names."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"
    RECOVERED = "recovered"
    DUPLICATE_NAME = "duplicate_name"  # two live processes have the member's name
    # Changes of this member itself:
    REPORTED_FAILED = "reported_failed"
    NAME_LOST = "name_lost"  # another process keeps the name; this one stops taking part
    ISOLATED = "isolated"
    RECONNECTED = "reconnected"


class Metric(Enum):
    """Counters of the core. The values are part of the counters' names."""

    SUSPICIONS_RAISED = "suspicions_raised"
    ANTI_ENTROPY_EXCHANGES = "anti_entropy_exchanges"
    DROPPED_NAME_LOST = "dropped.name_lost"
    DROPPED_TABLE_FULL = "dropped.table_full"
    DROPPED_STALE_INSTANCE = "dropped.stale_instance"
    DROPPED_INCARNATION_TOO_HIGH = "dropped.incarnation_too_high"
    SUSPICIONS_REFUTED = "suspicions_refuted"
    FAILURES_REFUTED = "failures_refuted"
    NAME_CLAIMED = "name_claimed"
    NAME_LOST = "name_lost"


@dataclass(frozen=True, slots=True)
class NotifyStatus:
    """Notify the program of a change.

    `confirmations`: number of members without an answer, if that is the reason for the change, else
    0.
    """

    change: StatusChange
    record: MemberRecord
    confirmations: int = 0


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send the message to `address` ("host:port")."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Nothing is due before this monotonic time in microseconds; deliver a `TickDue` then."""

    due_us: int


@dataclass(frozen=True, slots=True)
class CountMetric:
    """Add to a counter."""

    metric: Metric
    amount: int = 1


@dataclass(frozen=True, slots=True)
class LeaveCompleted:
    """The leave has been announced; the socket may be closed."""


Command = NotifyStatus | SendMessage | WakeAt | CountMetric | LeaveCompleted
