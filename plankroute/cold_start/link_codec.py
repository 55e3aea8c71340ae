"""The codec of links between stewards: frames of MessagePack behind their length. Only here: how they
look."""

import struct

import msgspec

LINK_VERSION = 2  # of the frames and of what they mean: others are not heard
LENGTH = struct.Struct("!I")
MOST_FRAME = 65536  # bytes: a part of a list and little else
PART_BYTES = 16384  # of a list in one frame: on a link of 50 KB/s one comes each third of a second


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first frame, from who dials. `partial`: revision, check sum and bytes there of a list that broke
    off."""

    version: int
    group: str
    name: str
    revision: int
    light: bool
    partial: tuple[int, int, int] | None = None


class ListStart(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A list of `size` bytes follows, from `offset` on; `check`: of the whole."""

    revision: int
    whole: bool
    size: int
    check: int
    offset: int = 0


class ListPart(msgspec.Struct, frozen=True, array_like=True, tag=3):
    data: bytes


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """What is held, and how old the word from the service is; -1: no list."""

    revision: int
    age_us: int


class HealthCheckResults(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """What probes of hosts have told: name, outcome, time taken, age, start of the host (`probers.py`)."""

    results: tuple[tuple[str, str, int, int, float], ...]


class DrainNoticeFrame(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Hosts that are closed at a revision, ahead of the list that holds it: a JSON array of its entries."""

    revision: int
    targets: bytes


class WarmStartRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The first frame of who wants to know what is known of the hosts, and what was left here for `name`."""

    version: int
    group: str
    name: str


class WarmStartHandover(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The first frame of who is about to end, and leaves what it knows for its successor of that name."""

    version: int
    group: str
    name: str


class WarmStartView(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """A view follows, as a list does (`Begin`, `Part`): whose, and how long ago it was written down."""

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
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    body = ENCODER.encode(frame)
    return LENGTH.pack(len(body)) + body


class FrameDecoder:
    """Bytes as they come to frames; None in their place where they can't be any, after which nothing is
    read."""

    def __init__(self) -> None:
        self.held, self.is_spoilt = bytearray(), False
        self.waiting: list[Frame | None] = []  # cut, and yet to be read by whoever reads on

    def feed(self, data: bytes) -> list[Frame | None]:
        out: list[Frame | None] = []
        self.held += data
        while not self.is_spoilt and len(self.held) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self.held)
            if size > MOST_FRAME:
                self.spoil(out)
            elif len(self.held) < LENGTH.size + size:
                break
            else:
                body = bytes(self.held[LENGTH.size : LENGTH.size + size])
                del self.held[: LENGTH.size + size]
                try:
                    out.append(DECODER.decode(body))
                except (msgspec.MsgspecError, RecursionError):
                    self.spoil(out)
        return out

    def spoil(self, out: list[Frame | None]) -> None:
        self.is_spoilt = True
        self.held.clear()
        out.append(None)
