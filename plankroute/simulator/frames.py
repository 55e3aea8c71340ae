"""Frames on the byte streams: a header, then records; batches in, replies out."""

import struct
from typing import BinaryIO

BATCH_HEAD = struct.Struct("<II")
CLOCK = struct.Struct("<d")
REPLY_HEAD = struct.Struct("<III")


class WireError(Exception):
    """What came in is not what the wire's page describes."""


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    parts, missing = [], size
    while missing:
        part = stream.read(missing)
        if not part:
            break
        parts.append(part)
        missing -= len(part)
    return b"".join(parts)


def read_batch(stream: BinaryIO) -> tuple[int, float, bytes] | None:
    """The next batch as (number, clock in ms, records); None at the end of input."""
    head = read_exactly(stream, BATCH_HEAD.size)
    if not head:
        return None
    if len(head) < BATCH_HEAD.size:
        raise WireError(f"input ends within a batch header ({len(head)} bytes)")
    number, length = BATCH_HEAD.unpack(head)
    if length < CLOCK.size:
        raise WireError(f"batch {number} is {length} bytes long, too short for its clock")
    body = read_exactly(stream, length)
    if len(body) < length:
        raise WireError(f"input ends within batch {number} ({len(body)} of {length} bytes)")
    return number, CLOCK.unpack_from(body)[0], body[CLOCK.size :]


def write_reply(stream: BinaryIO, number: int, records: list[bytes]) -> None:
    body = b"".join(records)
    stream.write(REPLY_HEAD.pack(number, len(body) + 4, len(records)) + body)
    stream.flush()
