"""Encodes snapshots: as a file with a versioned header and a checksum, and as bytes between peers.

A file that can't be used raises no exception. It is returned as a `FileProblem` that says why, as
the controller starts without it.
"""

import struct
from dataclasses import dataclass
from enum import Enum

import msgspec
import xxhash

from plankroute.warm_start.snapshot import Snapshot

MAGIC = b"PKLR"
VERSION = 1
# Magic, version, reserved, length of the body, Unix milliseconds when written, checksum.
HEADER = struct.Struct("!4sHHQQQ")
CHECKSUM = struct.Struct("!Q")
MAX_FILE_BYTES = 1 << 20  # five times the file of 500 hosts
MAX_CLOCK_SKEW_MS = 5_000  # the wall clocks of two machines differ by less
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Snapshot)


class FileProblem(Enum):
    """Why a file can't be used."""

    TRUNCATED = "truncated, or not written by plankroute"
    CORRUPT = "checksum mismatch"
    NEWER_VERSION = "written by a newer version"
    OLDER_VERSION = "written by an older version"
    OTHER_CONTROLLER = "written by another controller"
    TOO_LARGE = "larger than any file that plankroute writes"


# Files that another version or another controller can use: they are set aside, not overwritten.
PRESERVED = frozenset(
    {FileProblem.NEWER_VERSION, FileProblem.OLDER_VERSION, FileProblem.OTHER_CONTROLLER}
)


@dataclass(frozen=True, slots=True)
class StoredSnapshot:
    """A snapshot read from a file.

    Attributes:
        snapshot: What the file holds.
        age_us: Microseconds since it was written; None if unknown because the wall clock has been
            set back since.
    """

    snapshot: Snapshot
    age_us: int | None


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Returns the bytes of a snapshot as they are sent to peers."""
    return ENCODER.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot | None:
    """Returns the snapshot that a peer sent; None if the bytes are not a valid snapshot."""
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None


def checksum(header: bytes, body: bytes) -> int:
    """Returns the checksum of a file.

    It covers the header's other fields too, so that a flipped bit in the version is detected as
    corruption and not taken for another version.
    """
    return xxhash.xxh3_64_intdigest(header[: -CHECKSUM.size] + body)


def encode_file(snapshot: Snapshot, unix_ms: int) -> bytes:
    """Returns the bytes of a snapshot file.

    Args:
        snapshot: The snapshot to store.
        unix_ms: Current Unix time in milliseconds; a negative one is stored as 0.
    """
    body = encode_snapshot(snapshot)
    header = HEADER.pack(MAGIC, VERSION, 0, len(body), max(0, unix_ms), 0)
    return header[: -CHECKSUM.size] + CHECKSUM.pack(checksum(header, body)) + body


def decode_file(data: bytes, controller: str | None, unix_ms: int) -> StoredSnapshot | FileProblem:
    """Decodes a snapshot file.

    Args:
        data: The file's bytes.
        controller: Name of the controller that must have written it; None to accept any.
        unix_ms: Current Unix time in milliseconds.

    Returns:
        The snapshot with its age, or the reason why the file can't be used.
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
    return StoredSnapshot(snapshot, file_age_us(written_ms, unix_ms))


def find_problem(data: bytes) -> FileProblem | None:
    """Returns what is wrong with a file's size, header or checksum; None if nothing is."""
    if len(data) > MAX_FILE_BYTES:
        return FileProblem.TOO_LARGE
    if len(data) < HEADER.size or not data.startswith(MAGIC):
        return FileProblem.TRUNCATED
    _, version, _, body_size, _, expected = HEADER.unpack_from(data)
    header = data[: HEADER.size]
    body = data[HEADER.size :]
    if body_size != len(body):
        return FileProblem.TRUNCATED
    # Checked before the version, as the version of a corrupt file can't be relied on.
    if expected != checksum(header, body):
        return FileProblem.CORRUPT
    if version == VERSION:
        return None
    return FileProblem.NEWER_VERSION if version > VERSION else FileProblem.OLDER_VERSION


def file_age_us(written_ms: int, unix_ms: int) -> int | None:
    """Returns the microseconds since a file was written.

    None if the wall clock has been set back since by more than `MAX_CLOCK_SKEW_MS`; 0 if by less.
    """
    age_ms = unix_ms - written_ms
    if age_ms < -MAX_CLOCK_SKEW_MS:
        return None
    return max(0, age_ms) * 1000
