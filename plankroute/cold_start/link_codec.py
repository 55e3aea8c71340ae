"""Codec of the links between controllers: length-prefixed MessagePack frames.

Frames are arrays with a numeric tag. The order, the types and the defaults of their fields are part
of the protocol; their names are not.
"""

import struct

import msgspec

LINK_VERSION = 2  # of the frames and their meaning; peers with another version are not served
LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 65536  # a part of a list with room to spare
# Bytes of a list in one frame: on a link of 50 KB/s a frame arrives every third of a second.
PART_BYTES = 16384


class ListProgress(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The received part of a list whose transfer was interrupted.

    Attributes:
        revision: Revision of the list.
        checksum: CRC-32 of the whole list.
        received_bytes: Number of bytes received so far.
    """

    revision: int
    checksum: int
    received_bytes: int


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first frame of a follower.

    Attributes:
        version: The follower's `LINK_VERSION`.
        group: The follower's group; followers of another group are not served.
        name: Name of the follower.
        revision: Revision of its list; -1 if it has none.
        heartbeats_only: The follower wants heartbeats but no lists.
        progress: The part of an interrupted list that it has.
    """

    version: int
    group: str
    name: str
    revision: int
    heartbeats_only: bool
    progress: ListProgress | None = None


class ListStart(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Announces a list, whose bytes follow in `ListPart` frames.

    Attributes:
        revision: Revision of the list.
        is_complete: Whether it is the complete list; else it holds changes.
        size: Bytes of the whole list.
        checksum: CRC-32 of the whole list.
        offset: Index of the first byte that follows; above 0 if a transfer is resumed.
    """

    revision: int
    is_complete: bool
    size: int
    checksum: int
    offset: int = 0


class ListPart(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The next bytes of the announced list."""

    data: bytes


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The sender's revision (-1: none) and age of its last contact with the discovery service."""

    revision: int
    age_us: int


class SharedHealthCheck(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One health check.

    Attributes:
        host: Name of the host.
        outcome: Value of the `HealthCheckOutcome`.
        elapsed_us: Duration of the check.
        age_us: Time since the check.
        boot_ms: Unix time of the start of the host that was checked.
    """

    host: str
    outcome: str
    elapsed_us: int
    age_us: int
    boot_ms: float


class HealthCheckResults(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Results of health checks (`probe_sharing.py`)."""

    results: tuple[SharedHealthCheck, ...]


class DrainNoticeFrame(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Hosts that are draining or deleted at a revision, sent ahead of its list.

    Attributes:
        revision: The revision.
        entries: JSON array of the hosts' entries in the list.
    """

    revision: int
    entries: bytes


class WarmStartRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """First frame of a controller that requests snapshots.

    Asks for the receiver's own snapshot, and for the one that was handed over for `name`.
    """

    version: int
    group: str
    name: str


class WarmStartHandover(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """First frame of a controller that shuts down and hands its snapshot over for its next start.

    `name` is the name of both the controller and its successor.
    """

    version: int
    group: str
    name: str


class WarmStartSnapshot(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Announces a snapshot, whose bytes follow in a `ListStart` and `ListPart` frames.

    Attributes:
        name: Name of the controller whose snapshot it is.
        age_us: Time since the snapshot was taken.
    """

    name: str
    age_us: int


Frame = (
    Hello
    | ListStart
    | ListPart
    | Heartbeat
    | HealthCheckResults
    | DrainNoticeFrame
    | WarmStartRequest
    | WarmStartHandover
    | WarmStartSnapshot
)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the frame's bytes, prefixed with their length."""
    body = ENCODER.encode(frame)
    return LENGTH.pack(len(body)) + body


class FrameDecoder:
    """Decodes a stream of bytes into frames.

    Attributes:
        buffer: Bytes of a frame that is not complete yet.
        is_broken: Whether the stream held an invalid frame; later bytes are ignored.
        unread: Decoded frames that are left to the next reader of the stream.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.is_broken = False
        self.unread: list[Frame | None] = []

    def feed(self, data: bytes) -> list[Frame | None]:
        """Return all frames that are complete with these bytes.

        An invalid frame is returned as None; nothing is decoded after it.
        """
        frames: list[Frame | None] = []
        self.buffer += data
        while not self.is_broken and len(self.buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self.buffer)
            if size > MAX_FRAME_BYTES:
                self.mark_broken(frames)
                break
            if len(self.buffer) < LENGTH.size + size:
                break
            body = bytes(self.buffer[LENGTH.size : LENGTH.size + size])
            del self.buffer[: LENGTH.size + size]
            try:
                frames.append(DECODER.decode(body))
            except (msgspec.MsgspecError, RecursionError):
                self.mark_broken(frames)
        return frames

    def take_unread(self) -> list[Frame | None]:
        """Return and clear the decoded frames that were left in `unread`."""
        unread = self.unread
        self.unread = []
        return unread

    def mark_broken(self, frames: list[Frame | None]) -> None:
        """Append None to the frames, and stop decoding."""
        self.is_broken = True
        self.buffer.clear()
        frames.append(None)
