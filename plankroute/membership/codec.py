"""Encodes and decodes datagrams: a header with a checksum, then the message in MessagePack."""

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

VERSION = 1  # protocol version
HEADER = struct.Struct("!BII")  # version, group checksum, checksum of the body

# Limits in characters. They keep a record far smaller than a datagram; settings are validated
# against the same limits.
MAX_NAME_LENGTH = 64
MAX_ADDRESS_LENGTH = 64
MAX_ZONE_LENGTH = 64
# Instance ids and incarnations are below this limit, to fit a signed 64-bit MessagePack integer.
NUMBER_LIMIT = 1 << 63
OBSERVER_ID_LIMIT = 1 << 32  # observer ids are CRC-32 checksums


class Rejection(Enum):
    """Why a datagram is dropped. The values are part of counter names."""

    SIZE = "size"
    VERSION = "version"
    GROUP = "group"
    CHECKSUM = "checksum"
    MALFORMED = "malformed"


class Codec:
    """Encodes and decodes the datagrams of one group.

    Datagrams of another group are rejected like corrupt ones, but with a reason of their own.
    """

    def __init__(self, group: str) -> None:
        self.group_checksum = crc32(group.encode())
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)

    def encode(self, message: Message) -> bytes:
        """Return the datagram that carries the message."""
        body = self.encoder.encode(message)
        return HEADER.pack(VERSION, self.group_checksum, crc32(body, self.group_checksum)) + body

    def decode(self, data: bytes) -> Message | Rejection:
        """Return the message of a datagram, or the reason to drop the datagram."""
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
        """Return the message in a body whose header was valid, or `MALFORMED`."""
        try:
            message: Message = self.decoder.decode(body)
        except (msgspec.MsgspecError, RecursionError):
            return Rejection.MALFORMED
        if all(is_plausible(record) for record in records_of(message)):
            return message
        return Rejection.MALFORMED

    def record_size(self, record: MemberRecord) -> int:
        """Return the bytes that the record takes up in a datagram."""
        return len(self.encoder.encode(record))


def records_of(message: Message) -> tuple[MemberRecord, ...]:
    """Return all records that a message carries."""
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
    """Return whether every field of the record is within the limits that real members keep.

    A forged record beyond these limits could never be overruled, or would fill the table.
    """
    texts = (
        (record.name, MAX_NAME_LENGTH),
        (record.address, MAX_ADDRESS_LENGTH),
        (record.zone, MAX_ZONE_LENGTH),
    )
    numbers = record.instance_id, record.incarnation, record.conflicting_instance_id
    return (
        record.name != ""
        and record.address != ""
        and all(len(text) <= limit and text.isascii() for text, limit in texts)
        and all(0 <= number < NUMBER_LIMIT for number in numbers)
        and all(0 <= observer < OBSERVER_ID_LIMIT for observer in record.confirmed_by)
    )
