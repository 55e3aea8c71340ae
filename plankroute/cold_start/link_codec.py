"""The codec of links between controllers: frames of MessagePack behind their length.

Only here: how frames look on the wire. They are arrays with a numeric tag: the order, the types and
the defaults of their fields are the protocol, their names are not.
"""

import struct

import msgspec

LINK_VERSION = 2  # of the frames and of what they mean: others are not read
LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 65536  # a part of a list and little else
# Of a list in one frame: on a link of 50 KB/s one comes each third of a second.
PART_BYTES = 16384


class ListProgress(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What has come of a list whose transfer broke off."""

    revision: int
    checksum: int
    received_bytes: int


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first frame of a follower.

    Attributes:
        version: see `LINK_VERSION`.
        group: another group is not served.
        name: the follower's.
        revision: of its list; -1: none.
        heartbeats_only: it wants no lists.
        progress: of a list that broke off.
    """

    version: int
    group: str
    name: str
    revision: int
    heartbeats_only: bool
    progress: ListProgress | None = None


class ListStart(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A list of `size` bytes follows, from `offset` on; `checksum`: CRC-32 of all of it."""

    revision: int
    is_complete: bool
    size: int
    checksum: int
    offset: int = 0


class ListPart(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The next bytes of the list that was announced."""

    data: bytes


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The revision that is held (-1: none), and the age of the last contact with the service."""

    revision: int
    age_us: int


class SharedHealthCheck(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One health check: the host's name, outcome, time taken, age, and start of the host."""

    host: str
    outcome: str
    elapsed_us: int
    age_us: int
    boot_ms: float


class HealthCheckResults(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Results of health checks (`probe_sharing.py`)."""

    results: tuple[SharedHealthCheck, ...]


class DrainNoticeFrame(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Hosts that are closed at a revision, ahead of its list: a JSON array of its entries."""

    revision: int
    entries: bytes


class WarmStartRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """First frame: asks what is known of the hosts, and what was handed over for `name`."""

    version: int
    group: str
    name: str


class WarmStartHandover(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """First frame of who shuts down, and hands over what it knows for its successor `name`."""

    version: int
    group: str
    name: str


class WarmStartView(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """A view of the hosts follows as a list does: whose, and how long ago it was taken."""

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
    | WarmStartView
)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """The bytes of a frame behind their length."""
    body = ENCODER.encode(frame)
    return LENGTH.pack(len(body)) + body


class FrameDecoder:
    """Bytes as they come to frames.

    Where bytes can't be a frame, None stands in its place, and nothing is read after it.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.is_broken = False
        self.unread: list[Frame | None] = []  # decoded, and left to whoever reads on

    def feed(self, data: bytes) -> list[Frame | None]:
        """All frames that are complete with these bytes."""
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
        """Frames that were decoded and not read yet."""
        unread = self.unread
        self.unread = []
        return unread

    def mark_broken(self, frames: list[Frame | None]) -> None:
        """Nothing is read any more."""
        self.is_broken = True
        self.buffer.clear()
        frames.append(None)
