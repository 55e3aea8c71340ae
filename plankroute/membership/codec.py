"""The codec of datagrams: a header, then MessagePack. Only here: how messages look on the wire."""

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

VERSION = 1  # of the protocol
HEADER = struct.Struct("!BII")  # version, group, checksum of what follows

# Characters: a record stays far below a datagram (settings are checked against the same limits).
MAX_NAME = 64
MAX_ADDRESS = 64
MAX_ZONE = 64
NUMBER_LIMIT = 1 << 63  # of instance ids and incarnations: MessagePack holds no more
OBSERVER_ID_LIMIT = 1 << 32  # observer ids are CRC-32


class Rejection(Enum):
    """Why a datagram is dropped; the values are part of counter names."""

    SIZE = "size"
    VERSION = "version"
    GROUP = "group"
    CHECKSUM = "checksum"
    MALFORMED = "malformed"


class Codec:
    """Datagrams of one group; another group's are told from noise, and neither is read."""

    def __init__(self, group: str) -> None:
        self.group_checksum = crc32(group.encode())
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)

    def encode(self, message: Message) -> bytes:
        """The datagram of a message."""
        body = self.encoder.encode(message)
        return HEADER.pack(VERSION, self.group_checksum, crc32(body, self.group_checksum)) + body

    def decode(self, data: bytes) -> Message | Rejection:
        """The message of a datagram, or why there is none."""
        if not HEADER.size < len(data) <= MAX_DATAGRAM_BYTES:
            return Rejection.SIZE
        version, group, checksum = HEADER.unpack_from(data)
        body = data[HEADER.size :]
        if version != VERSION:
            return Rejection.VERSION
        if group != self.group_checksum:
            return Rejection.GROUP
        if checksum != crc32(body, group):
            return Rejection.CHECKSUM
        return self.decode_body(body)

    def decode_body(self, body: bytes) -> Message | Rejection:
        """The message behind a header that was checked."""
        try:
            message: Message = self.decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return Rejection.MALFORMED
        if all(is_plausible(record) for record in records_of(message)):
            return message
        return Rejection.MALFORMED

    def record_size(self, record: MemberRecord) -> int:
        """Bytes that the record takes within a datagram."""
        return len(self.encoder.encode(record))


def records_of(message: Message) -> tuple[MemberRecord, ...]:
    """All records that a message carries."""
    match message:
        case Ping() | Ack() | IndirectPingRequest():
            return (message.sender, *message.gossip)
        case IndirectAck():
            return (message.target, *message.gossip)
        case Gossip() | ViewExchange():
            return message.records
        case ViewResponse():
            return tuple(line.record for line in message.lines)
        case ViewRequest():
            return ()


def is_plausible(record: MemberRecord) -> bool:
    """Guards against records that nobody writes: they would hold for good, or fill the table."""
    texts = (record.name, MAX_NAME), (record.address, MAX_ADDRESS), (record.zone, MAX_ZONE)
    numbers = record.instance_id, record.incarnation, record.conflicting_instance_id
    return (
        record.name != ""
        and record.address != ""
        and all(len(text) <= limit and text.isascii() for text, limit in texts)
        and all(0 <= number < NUMBER_LIMIT for number in numbers)
        and all(0 <= observer < OBSERVER_ID_LIMIT for observer in record.confirmed_by)
    )
