"""Frames on the byte streams, all little-endian: batches in, replies out.

A batch is a header (number, bytes that follow), the clock and the records of events; a reply is a
header (number, bytes that follow, count of records) and the records of commands.
"""

import struct
from typing import BinaryIO, NamedTuple

BATCH_HEADER = struct.Struct("<II")
CLOCK = struct.Struct("<d")
REPLY_HEADER = struct.Struct("<III")
RECORD_COUNT_SIZE = 4  # of the reply's header, counted with the bytes that follow


class WireError(Exception):
    """The input is not what the wire's description promises."""


class Batch(NamedTuple):
    """One batch of events.

    Attributes:
        number: The number that the reply repeats.
        clock_ms: The clock at which all its events happen, in milliseconds.
        records: The records of events, one behind another.
    """

    number: int
    clock_ms: float
    records: bytes


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Reads so many bytes; fewer only where the input ends."""
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
        WireError: The input ends within a batch, or a batch is too short for its clock.
    """
    header = read_exactly(stream, BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError(f"input ends within a batch header ({len(header)} bytes)")
    number, length = BATCH_HEADER.unpack(header)
    if length < CLOCK.size:
        raise WireError(f"batch {number} is {length} bytes long, too short for its clock")
    body = read_exactly(stream, length)
    if len(body) < length:
        raise WireError(f"input ends within batch {number} ({len(body)} of {length} bytes)")
    (clock_ms,) = CLOCK.unpack_from(body)
    return Batch(number, clock_ms, body[CLOCK.size :])


def write_reply(stream: BinaryIO, number: int, records: list[bytes]) -> None:
    """Writes the reply to the batch of that number and flushes the stream."""
    body = b"".join(records)
    header = REPLY_HEADER.pack(number, RECORD_COUNT_SIZE + len(body), len(records))
    stream.write(header + body)
    stream.flush()
