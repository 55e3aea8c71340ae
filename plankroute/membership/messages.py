"""What members say to each other, what reaches the core and what it wants done: types only."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from plankroute.membership.records import Record

# Between members. `rumours`: records that ride along.


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for an answer; `digest` of the sender's view, `me` its own record."""

    number: int
    digest: int
    me: Record
    rumours: tuple[Record, ...] = ()


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """To a ping; `sums`: by bucket, where the views differ and may be compared now."""

    number: int
    me: Record
    rumours: tuple[Record, ...] = ()
    sums: bytes = b""


class Errand(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a third member to ping `target`, an address, and to hand on its answer."""

    number: int
    target: str
    me: Record
    rumours: tuple[Record, ...] = ()


class Handed(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The answer that an errand brought: `record` is the target's own."""

    number: int
    record: Record
    rumours: tuple[Record, ...] = ()


class News(msgspec.Struct, frozen=True, array_like=True, tag=5):
    rumours: tuple[Record, ...]


class Piece(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A part of a view; `want`: the numbers of the buckets that the sender wants in return."""

    records: tuple[Record, ...]
    want: bytes = b""


class ViewAsked(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """An operator's question: who is there, from that line on?"""

    first: int


class Line(msgspec.Struct, frozen=True, array_like=True):
    """One member as the program was told; `for_us`: how long it has stood so."""

    record: Record
    told: int
    for_us: int


class ViewPiece(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A part of the answer: `total` lines there are in all, the steward's own first."""

    total: int
    first: int
    lines: tuple[Line, ...]


Said = Ping | Answer | Errand | Handed | News | Piece | ViewAsked | ViewPiece


# Into the core.


@dataclass(frozen=True, slots=True)
class Heard:
    source: str
    said: Said


@dataclass(frozen=True, slots=True)
class BeatDue:
    pass


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    seeds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LeaveAsked:
    pass


Event = Heard | BeatDue | SeedsChanged | LeaveAsked


# Out of the core.


class Change(Enum):
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
class Told:
    """For the rest of the program. `voters`: how many had no answer, where that was the reason."""

    change: Change
    record: Record
    voters: int = 0


@dataclass(frozen=True, slots=True)
class Send:
    address: str
    said: Said


@dataclass(frozen=True, slots=True)
class Rest:
    """Nothing is due before that time."""

    until_us: int


@dataclass(frozen=True, slots=True)
class Counted:
    name: str
    by: int = 1


@dataclass(frozen=True, slots=True)
class Finished:
    """The leave is said; the socket may go."""


Action = Told | Send | Rest | Counted | Finished
