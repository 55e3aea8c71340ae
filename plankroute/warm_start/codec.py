"""Encodes snapshots: as a file with a versioned header and a checksum, and as bytes between peers.

A file that can't be used is no exception but a `FileProblem` that says why: the controller starts
without it.
"""

import struct
from dataclasses import dataclass
from enum import Enum

import msgspec
import xxhash

from plankroute.warm_start.snapshot import Snapshot

MAGIC = b"PKLR"
VERSION = 1
# Magic, version, reserved, bytes that follow, Unix milliseconds when written, checksum.
HEADER = struct.Struct("!4sHHQQQ")
CHECKSUM = struct.Struct("!Q")
MAX_FILE_BYTES = 1 << 20  # five times the file of 500 hosts
MAX_CLOCK_SKEW_MS = 5_000  # wall clocks of two machines differ by less
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Snapshot)


class FileProblem(Enum):
    """Why a file can't be used."""

    TRUNCATED = "truncated, or not written by plankroute"
    CORRUPT = "its checksum is wrong"
    NEWER_VERSION = "written by a newer version"
    OLDER_VERSION = "written by an older version"
    OTHER_CONTROLLER = "written by another controller"
    TOO_LARGE = "larger than any that plankroute writes"


# Files of use to somebody else: they are set aside and not overwritten.
PRESERVED = frozenset(
    {FileProblem.NEWER_VERSION, FileProblem.OLDER_VERSION, FileProblem.OTHER_CONTROLLER}
)


@dataclass(frozen=True, slots=True)
class StoredSnapshot:
    """A snapshot read from a file.

    Attributes:
        snapshot: What the file holds.
        age_us: Microseconds since it was written; None: unknown, as the wall clock has been set
            back since.
    """

    snapshot: Snapshot
    age_us: int | None


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """The snapshot as it is sent to peers."""
    return ENCODER.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot | None:
    """The snapshot that a peer sent; None: the bytes are none."""
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None


def checksum(header: bytes, body: bytes) -> int:
    """Covers the header's other fields as well: a flipped version bit is no other version."""
    return xxhash.xxh3_64_intdigest(header[: -CHECKSUM.size] + body)


def encode_file(snapshot: Snapshot, unix_ms: int) -> bytes:
    """The snapshot as a file.

    Args:
        snapshot: What the file is to hold.
        unix_ms: The wall clock's time, in milliseconds.
    """
    body = encode_snapshot(snapshot)
    header = HEADER.pack(MAGIC, VERSION, 0, len(body), max(0, unix_ms), 0)
    return header[: -CHECKSUM.size] + CHECKSUM.pack(checksum(header, body)) + body


def decode_file(data: bytes, controller: str | None, unix_ms: int) -> StoredSnapshot | FileProblem:
    """What a file holds, or why it can't be used.

    Args:
        data: The file's bytes.
        controller: The controller whose file it must be; None: anybody's.
        unix_ms: The wall clock's time now, in milliseconds.
    """
    problem = find_problem(data)
    if problem is not None:
        return problem
    snapshot = decode_snapshot(data[HEADER.size :])
    if snapshot is None:
        return FileProblem.CORRUPT
    if controller is not None and snapshot.controller != controller:
        return FileProblem.OTHER_CONTROLLER
    _, _, _, _, written_ms, _ = HEADER.unpack_from(data)
    return StoredSnapshot(snapshot, age_us_of_file(written_ms, unix_ms))


def find_problem(data: bytes) -> FileProblem | None:
    """What is wrong with a file's size, header or checksum; None: nothing."""
    if len(data) > MAX_FILE_BYTES:
        return FileProblem.TOO_LARGE
    if len(data) < HEADER.size or not data.startswith(MAGIC):
        return FileProblem.TRUNCATED
    _, version, _, body_size, _, expected = HEADER.unpack_from(data)
    header = data[: HEADER.size]
    body = data[HEADER.size :]
    if body_size != len(body):
        return FileProblem.TRUNCATED
    # Before the version: what is corrupt says nothing, not even that it is newer.
    if expected != checksum(header, body):
        return FileProblem.CORRUPT
    if version == VERSION:
        return None
    return FileProblem.NEWER_VERSION if version > VERSION else FileProblem.OLDER_VERSION


def age_us_of_file(written_ms: int, unix_ms: int) -> int | None:
    """Microseconds since a file was written; None: the wall clock has been set back since."""
    age_ms = unix_ms - written_ms
    if age_ms < -MAX_CLOCK_SKEW_MS:
        return None
    return max(0, age_ms) * 1000
