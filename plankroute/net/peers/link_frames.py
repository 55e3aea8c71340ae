"""Content of links that is split over several frames: snapshots of hosts, and drain notices.

A snapshot holds what one controller knows about the hosts (`warm_start.snapshot`).
"""

import asyncio
from collections.abc import AsyncIterator
from typing import NamedTuple
from zlib import crc32

from plankroute.cold_start.link_codec import (
    PART_BYTES,
    Frame,
    FrameDecoder,
    ListPart,
    ListStart,
    WarmStartSnapshot,
    encode_frame,
)
from plankroute.cold_start.list_receiver import ListReceiver, ListTransferError

READ_BYTES = 65536  # maximum size of one read from a socket
SNAPSHOT_REVISION = 0  # placeholder in `ListStart`: a snapshot has no revision of its own


class TransferredSnapshot(NamedTuple):
    """A snapshot as received over a link.

    Attributes:
        name: Name of the controller whose snapshot it is.
        age_us: Microseconds between the time the snapshot was taken and the time it was sent.
        data: The encoded snapshot.
    """

    name: str
    age_us: int
    data: bytes


def snapshot_frames(name: str, age_us: int, data: bytes) -> list[bytes]:
    """Encodes a snapshot as frames; as with a list, parts of `data` bound the frame size.

    Args:
        name: Name of the controller whose snapshot it is.
        age_us: Microseconds since the snapshot was taken.
        data: The encoded snapshot.

    Returns:
        The encoded frames in the order in which they are to be sent.
    """
    frames: list[Frame] = [
        WarmStartSnapshot(name, age_us),
        ListStart(SNAPSHOT_REVISION, True, len(data), crc32(data)),
    ]
    frames += [
        ListPart(data[start : start + PART_BYTES]) for start in range(0, len(data), PART_BYTES)
    ]
    return [encode_frame(frame) for frame in frames]


async def read_snapshots(
    reader: asyncio.StreamReader, decoder: FrameDecoder, max_bytes: int
) -> AsyncIterator[TransferredSnapshot]:
    """Yields each snapshot once it is complete, until the stream ends or violates the protocol.

    There is no time limit; the caller has to set one.

    Args:
        reader: The stream to read from.
        decoder: The stream's decoder; its unread frames come first.
        max_bytes: Size limit of a snapshot; a larger one ends the iteration.
    """
    receiver = ListReceiver(max_bytes)
    header = WarmStartSnapshot("", 0)
    frames = decoder.take_unread()
    while True:
        for frame in frames:
            try:
                match frame:
                    case WarmStartSnapshot():
                        header = frame
                    case ListStart(offset=0):
                        receiver.start(frame)
                    case ListPart(part):
                        data = receiver.add(part)
                        if data is not None:
                            yield TransferredSnapshot(header.name, header.age_us, data)
                    case _:
                        return
            except ListTransferError:
                return
        received = await reader.read(READ_BYTES)
        if not received:
            return
        frames = decoder.feed(received)


def json_array_chunks(items: list[bytes], max_bytes: int) -> list[bytes]:
    """Encodes items as JSON arrays of at most `max_bytes` each.

    An item that does not fit into an array by itself is left out: the receiver gets it with the
    endpoint list.

    Args:
        items: Items that are already encoded as JSON.
        max_bytes: Size limit of one array, with its brackets and commas.
    """
    bracket_bytes = 2
    chunks = list[bytes]()
    chunk = list[bytes]()
    size = bracket_bytes
    for item in items:
        if len(item) + bracket_bytes > max_bytes:
            continue
        if size + len(item) + 1 > max_bytes:
            chunks.append(b"[%s]" % b",".join(chunk))
            chunk = []
            size = bracket_bytes
        chunk.append(item)
        size += len(item) + 1
    if chunk:
        chunks.append(b"[%s]" % b",".join(chunk))
    return chunks
