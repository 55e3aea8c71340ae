"""What members say to each other, what reaches the core and what it wants done: types only."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from plankroute.membership.records import MemberRecord

# Between members. `rumours`: records that ride along.


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for an answer; `digest` of the sender's view, `me` its own record."""

    number: int
    digest: int
    me: MemberRecord
    rumours: tuple[MemberRecord, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """To a ping; `sums`: by bucket, where the views differ and may be compared now."""

    number: int
    me: MemberRecord
    rumours: tuple[MemberRecord, ...] = ()
    sums: bytes = b""


class IndirectPingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a third member to ping `target`, an address, and to hand on its answer."""

    number: int
    target: str
    me: MemberRecord
    rumours: tuple[MemberRecord, ...] = ()


class IndirectAck(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The answer that an errand brought: `record` is the target's own."""

    number: int
    record: MemberRecord
    rumours: tuple[MemberRecord, ...] = ()


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=5):
    rumours: tuple[MemberRecord, ...]


class ViewExchange(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A part of a view; `want`: the numbers of the buckets that the sender wants in return."""

    records: tuple[MemberRecord, ...]
    want: bytes = b""


class ViewRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """An operator's question: who is there, from that line on?"""

    first: int


class ViewLine(msgspec.Struct, frozen=True, array_like=True):
    """One member as the program was told; `for_us`: how long it has stood so."""

    record: MemberRecord
    told: int
    for_us: int


class ViewResponse(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A part of the answer: `total` lines there are in all, the steward's own first."""

    total: int
    first: int
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


# Into the core.


@dataclass(frozen=True, slots=True)
class MessageReceived:
    source: str
    said: Message


@dataclass(frozen=True, slots=True)
class TickDue:
    pass


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    seeds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    pass


Event = MessageReceived | TickDue | SeedsChanged | LeaveRequested


# Out of the core.


class StatusChange(Enum):
    JOINED = "joined"
    SUSPECTED = "suspected"
    GONE = "gone"
    LEFT = "left"
    BACK = "back"
    DOUBLED = "doubled"  # two live processes under its name
    # Of the steward itself
    CALLED_GONE = "called_gone"
    DISPLACED = "displaced"  # its name is another's: it takes no part any more
    ALONE = "alone"
    IN_COMPANY = "in_company"


@dataclass(frozen=True, slots=True)
class NotifyStatus:
    """For the rest of the program. `voters`: how many had no answer, where that was the reason."""

    change: StatusChange
    record: MemberRecord
    voters: int = 0


@dataclass(frozen=True, slots=True)
class SendMessage:
    address: str
    said: Message


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Nothing is due before that time."""

    until_us: int


@dataclass(frozen=True, slots=True)
class CountMetric:
    name: str
    by: int = 1


@dataclass(frozen=True, slots=True)
class LeaveCompleted:
    """The leave is said; the socket may go."""


Command = NotifyStatus | SendMessage | WakeAt | CountMetric | LeaveCompleted
