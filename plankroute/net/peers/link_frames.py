"""What links carry besides single frames: views of hosts, and drain notices cut to frames."""

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
    WarmStartView,
    encode_frame,
)
from plankroute.cold_start.list_receiver import ListReceiver, ListTransferError

READ_BYTES = 65536  # from a socket at once
VIEW_REVISION = 0  # views of hosts have none


class ReceivedView(NamedTuple):
    """A view of hosts: whose, how long ago it was taken, and its bytes."""

    name: str
    age_us: int
    data: bytes


def view_frames(name: str, age_us: int, data: bytes) -> list[bytes]:
    """A view as frames; in parts, so that no frame is longer than any other."""
    frames: list[Frame] = [
        WarmStartView(name, age_us),
        ListStart(VIEW_REVISION, True, len(data), crc32(data)),
    ]
    frames += [ListPart(data[at : at + PART_BYTES]) for at in range(0, len(data), PART_BYTES)]
    return [encode_frame(frame) for frame in frames]


async def read_views(
    reader: asyncio.StreamReader, decoder: FrameDecoder, max_bytes: int
) -> AsyncIterator[ReceivedView]:
    """Complete views as they come, until the stream ends or says what can't be.

    Not bounded in time: callers do that.

    Args:
        reader: the stream.
        decoder: may hold frames that came before and were not read.
        max_bytes: a larger view is not taken.
    """
    receiver = ListReceiver(max_bytes)
    header = WarmStartView("", 0)
    frames = decoder.take_unread()
    while True:
        for frame in frames:
            try:
                match frame:
                    case WarmStartView():
                        header = frame
                    case ListStart(offset=0):
                        receiver.start(frame)
                    case ListPart(part):
                        data = receiver.add(part)
                        if data is not None:
                            yield ReceivedView(header.name, header.age_us, data)
                    case _:
                        return
            except ListTransferError:
                return
        received = await reader.read(READ_BYTES)
        if not received:
            return
        frames = decoder.feed(received)


def json_array_chunks(items: list[bytes], max_bytes: int) -> list[bytes]:
    """JSON arrays of encoded items, none longer than that.

    An item that is too long by itself is left out: it comes with the list.
    """
    brackets = 2
    chunks = list[bytes]()
    chunk = list[bytes]()
    size = brackets
    for item in items:
        if len(item) + brackets > max_bytes:
            continue
        if size + len(item) + 1 > max_bytes:
            chunks.append(b"[%s]" % b",".join(chunk))
            chunk = []
            size = brackets
        chunk.append(item)
        size += len(item) + 1
    if chunk:
        chunks.append(b"[%s]" % b",".join(chunk))
    return chunks
