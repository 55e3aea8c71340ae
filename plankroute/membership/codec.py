"""The codec of datagrams: header, then MessagePack. Only here: how what members say looks on the wire."""

import struct
from enum import Enum
from zlib import crc32

import msgspec

from plankroute.membership.facts import MAX_DATAGRAM_BYTES
from plankroute.membership.messages import (
    Ack,
    Gossip,
    IndirectAck,
    IndirectPingRequest,
    Message,
    Ping,
    ViewExchange,
    ViewRequest,
    ViewResponse,
)
from plankroute.membership.records import MemberRecord

VERSION = 1
HEADER = struct.Struct("!BII")  # version, group, check of what follows
MOST_NAME, MOST_ADDRESS, MOST_ZONE = 64, 64, 64  # characters: a record stays far below a datagram
MOST_NUMBER = 1 << 63  # of lives and incarnations: MessagePack holds no more


class Rejection(Enum):
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
        self.encoder, self.decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)

    def write(self, said: Message) -> bytes:
        body = self.encoder.encode(said)
        return HEADER.pack(VERSION, self.group, crc32(body, self.group)) + body

    def read(self, data: bytes) -> Message | Rejection:
        if not HEADER.size < len(data) <= MAX_DATAGRAM_BYTES:
            return Rejection.SIZE
        version, group, check = HEADER.unpack_from(data)
        body = data[HEADER.size :]
        if version != VERSION:
            return Rejection.VERSION
        if group != self.group:
            return Rejection.GROUP
        if check != crc32(body, group):
            return Rejection.CHECK
        try:
            said = self.decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return Rejection.FORM
        return said if all(can_be(record) for record in records_of(said)) else Rejection.FORM

    def size(self, record: MemberRecord) -> int:
        """Bytes that it takes within a datagram."""
        return len(self.encoder.encode(record))


def records_of(said: Message) -> tuple[MemberRecord, ...]:
    match said:
        case Ping() | Ack() | IndirectPingRequest():
            return (said.me, *said.rumours)
        case IndirectAck():
            return (said.record, *said.rumours)
        case Gossip():
            return said.rumours
        case ViewExchange():
            return said.records
        case ViewResponse():
            return tuple(line.record for line in said.lines)
        case ViewRequest():
            return ()


def can_be(record: MemberRecord) -> bool:
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
