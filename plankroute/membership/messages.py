"""Messages between members, events into the core and commands out of it: types only.

Messages are arrays with a numeric tag on the wire: the order, the types and the defaults of their
fields are the protocol, their names are not.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from plankroute.membership.records import MemberRecord

# Between members. `gossip`: records that ride along.


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for an ack; carries the digest of the sender's table and the sender's own record."""

    sequence_number: int
    table_digest: int
    sender: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ping; `bucket_sums` where the tables differ and may be compared now, else empty."""

    sequence_number: int
    sender: MemberRecord
    gossip: tuple[MemberRecord, ...] = ()
    bucket_sums: bytes = b""


class IndirectPingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a third member to ping the target and to relay its ack (SWIM's ping-req)."""

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
    """Records that are new, sent without being asked for."""

    records: tuple[MemberRecord, ...]


class ViewExchange(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A part of a table (anti-entropy); `wanted_buckets`: numbers of those wanted in return."""

    records: tuple[MemberRecord, ...]
    wanted_buckets: bytes = b""


class ViewRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """An operator's question: who is there, from that line on?"""

    first_line: int


class ViewLine(msgspec.Struct, frozen=True, array_like=True):
    """One member as the program was notified; `duration_us`: how long it has been in that state."""

    record: MemberRecord
    state: int
    duration_us: int


class ViewResponse(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A part of the answer; the controller's own line is the first of all."""

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


# Events, into the core.


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message came from that address ("host:port")."""

    source: str
    message: Message


@dataclass(frozen=True, slots=True)
class TickDue:
    """The time that the last `WakeAt` named has come."""


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    """The list of seeds was configured anew."""

    seeds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The controller shuts down gracefully."""


Event = MessageReceived | TickDue | SeedsChanged | LeaveRequested


# Commands, out of the core.


class StatusChange(Enum):
    """What the rest of the program is notified of; the values are part of log event names."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    FAILED = "failed"
    LEFT = "left"
    RECOVERED = "recovered"
    DUPLICATE_NAME = "duplicate_name"  # two live processes under its name
    # Of this member itself:
    REPORTED_FAILED = "reported_failed"
    NAME_LOST = "name_lost"  # another process has its name: it takes no part any more
    ISOLATED = "isolated"
    RECONNECTED = "reconnected"


class Metric(Enum):
    """Counters of the core; the values are part of their names."""

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
    """For the rest of the program.

    `confirmations`: how many members had no answer, where that was the reason.
    """

    change: StatusChange
    record: MemberRecord
    confirmations: int = 0


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send the message to that address ("host:port")."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Nothing is due before that steady time."""

    due_us: int


@dataclass(frozen=True, slots=True)
class CountMetric:
    """Add to a counter."""

    metric: Metric
    amount: int = 1


@dataclass(frozen=True, slots=True)
class LeaveCompleted:
    """The leave is announced; the socket may be closed."""


Command = NotifyStatus | SendMessage | WakeAt | CountMetric | LeaveCompleted
