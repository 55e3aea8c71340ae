"""Framing of the input and output streams; all integers and floats are little-endian.

A batch is a header (number, count of the bytes that follow), the clock and the event records. A
reply is a header (number, count of the bytes that follow, count of records) and the command
records.
"""

import struct
from typing import BinaryIO, NamedTuple

BATCH_HEADER = struct.Struct("<II")
CLOCK = struct.Struct("<d")
REPLY_HEADER = struct.Struct("<III")
RECORD_COUNT_SIZE = 4  # bytes; a reply's byte count includes the record count in its header


class WireError(Exception):
    """The input violates the simulator's protocol specification."""


class Batch(NamedTuple):
    """One batch of events.

    Attributes:
        number: Number of the batch, which the reply repeats.
        clock_ms: Time of all its events, in milliseconds.
        records: The concatenated event records.
    """

    number: int
    clock_ms: float
    records: bytes


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Reads `size` bytes, or fewer if the input ends before."""
    parts: list[bytes] = []
    missing = size
    while missing:
        part = stream.read(missing)
        if not part:
            break
        parts.append(part)
        missing -= len(part)
    return b"".join(parts)


def read_batch(stream: BinaryIO) -> Batch | None:
    """Reads the next batch.

    Returns:
        The batch, or None at the end of input.

    Raises:
        WireError: The input ends within a batch, or a batch is too short to hold its clock.
    """
    header = read_exactly(stream, BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError(f"input ends within a batch header ({len(header)} bytes)")
    number, length = BATCH_HEADER.unpack(header)
    if length < CLOCK.size:
        raise WireError(f"batch {number} is too short to hold its clock ({length} bytes)")
    body = read_exactly(stream, length)
    if len(body) < length:
        raise WireError(f"input ends within batch {number} ({len(body)} of {length} bytes)")
    (clock_ms,) = CLOCK.unpack_from(body)
    return Batch(number, clock_ms, body[CLOCK.size :])


def write_reply(stream: BinaryIO, number: int, records: list[bytes]) -> None:
    """Writes the reply to a batch and flushes the stream.

    Args:
        stream: The output.
        number: Number of the batch.
        records: The command records.
    """
    body = b"".join(records)
    header = REPLY_HEADER.pack(number, RECORD_COUNT_SIZE + len(body), len(records))
    stream.write(header + body)
    stream.flush()
