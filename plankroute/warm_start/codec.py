"""The codec of views: as a file with a versioned header and a check sum, and as bytes between stewards.

Only here: how they look. What can't be used is a value that says why."""

import struct
from dataclasses import dataclass
from enum import Enum

import msgspec
import xxhash

from plankroute.warm_start.facts import View

MAGIC, VERSION = b"PKLR", 1
HEADER = struct.Struct(
    "!4sHHQQQ"
)  # magic, version, none, bytes that follow, Unix ms when written, check sum
MOST_BYTES = 1 << 20  # of a file: five times 500 hosts; what is longer is none of ours
AHEAD_MS = (
    5_000  # of the clock of the day: two machines' may differ; further ahead it was set back since
)
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(View)


class Unusable(Enum):
    """Why a file is none; `NEWER`, `OLDER`, `OTHERS` are set aside and kept."""

    CUT = "cut short, or not written by us"
    SPOILT = "its check sum is wrong"
    NEWER = "written by a newer version"
    OLDER = "written by an older version"
    OTHERS = "another steward's"
    LARGE = "larger than any of ours"


KEPT = frozenset({Unusable.NEWER, Unusable.OLDER, Unusable.OTHERS})


@dataclass(frozen=True, slots=True)
class Kept:
    """`age_us`: since it was written; None: the clock of the day has been set back since, nobody knows."""

    view: View
    age_us: int | None


def write_view(view: View) -> bytes:
    return ENCODER.encode(view)


def read_view(data: bytes) -> View | None:
    """None where it is no view."""
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None


def check_of(head: bytes, body: bytes) -> int:
    """Over the header's other fields as well: a flipped version is no other version."""
    return xxhash.xxh3_64_intdigest(head[:-8] + body)


def write_file(view: View, unix_ms: int) -> bytes:
    body = write_view(view)
    head = HEADER.pack(MAGIC, VERSION, 0, len(body), max(0, unix_ms), 0)
    return head[:-8] + struct.pack("!Q", check_of(head, body)) + body


def read_file(data: bytes, name: str | None, unix_ms: int) -> Kept | Unusable:
    """`name`: of the steward whose it must be; None: anybody's. The check sum comes before the version:
    what is spoilt says nothing, not even that it is newer."""
    if len(data) > MOST_BYTES:
        return Unusable.LARGE
    if len(data) < HEADER.size or data[:4] != MAGIC:
        return Unusable.CUT
    _, version, _, size, written_ms, check = HEADER.unpack_from(data)
    head, body = data[: HEADER.size], data[HEADER.size :]
    if size != len(body):
        return Unusable.CUT
    if check != check_of(head, body):
        return Unusable.SPOILT
    if version != VERSION:
        return Unusable.NEWER if version > VERSION else Unusable.OLDER
    if (view := read_view(body)) is None:
        return Unusable.SPOILT
    if name is not None and view.name != name:
        return Unusable.OTHERS
    age_ms = unix_ms - written_ms
    return Kept(view, None if age_ms < -AHEAD_MS else max(0, age_ms) * 1000)
