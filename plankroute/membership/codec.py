"""The codec of datagrams: header, then MessagePack. Only here: how what members say looks on the wire."""

import struct
from enum import Enum
from zlib import crc32

import msgspec

from plankroute.membership.facts import MOST_DATAGRAM
from plankroute.membership.messages import (
    Answer,
    Errand,
    Handed,
    News,
    Piece,
    Ping,
    Said,
    ViewAsked,
    ViewPiece,
)
from plankroute.membership.records import Record

VERSION = 1
HEADER = struct.Struct("!BII")  # version, group, check of what follows
MOST_NAME, MOST_ADDRESS, MOST_ZONE = 64, 64, 64  # characters: a record stays far below a datagram
MOST_NUMBER = 1 << 63  # of lives and incarnations: MessagePack holds no more


class Unread(Enum):
    """Why a datagram goes no further."""

    SIZE = "size"
    VERSION = "version"
    GROUP = "group"
    CHECK = "check"
    FORM = "form"


class Codec:
    """Of one group; another group's datagrams are told from noise, and neither is read."""

    def __init__(self, group: str) -> None:
        self.group = crc32(group.encode())
        self.encoder, self.decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Said)

    def write(self, said: Said) -> bytes:
        body = self.encoder.encode(said)
        return HEADER.pack(VERSION, self.group, crc32(body, self.group)) + body

    def read(self, data: bytes) -> Said | Unread:
        if not HEADER.size < len(data) <= MOST_DATAGRAM:
            return Unread.SIZE
        version, group, check = HEADER.unpack_from(data)
        body = data[HEADER.size :]
        if version != VERSION:
            return Unread.VERSION
        if group != self.group:
            return Unread.GROUP
        if check != crc32(body, group):
            return Unread.CHECK
        try:
            said = self.decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return Unread.FORM
        return said if all(can_be(record) for record in records_of(said)) else Unread.FORM

    def size(self, record: Record) -> int:
        """Bytes that it takes within a datagram."""
        return len(self.encoder.encode(record))


def records_of(said: Said) -> tuple[Record, ...]:
    match said:
        case Ping() | Answer() | Errand():
            return (said.me, *said.rumours)
        case Handed():
            return (said.record, *said.rumours)
        case News():
            return said.rumours
        case Piece():
            return said.records
        case ViewPiece():
            return tuple(line.record for line in said.lines)
        case ViewAsked():
            return ()


def can_be(record: Record) -> bool:
    """Guards against records that nobody writes: they would stand for good, or fill what is kept."""
    texts = (record.name, MOST_NAME), (record.address, MOST_ADDRESS), (record.zone, MOST_ZONE)
    numbers = record.life, record.incarnation, record.rival
    return (
        record.name != ""
        and record.address != ""
        and all(len(text) <= most and text.isascii() for text, most in texts)
        and all(0 <= number < MOST_NUMBER for number in numbers)
        and all(0 <= mark < 1 << 32 for mark in record.voters)
    )
