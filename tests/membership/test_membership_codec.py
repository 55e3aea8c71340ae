"""Invalid datagrams are rejected with the reason."""

from zlib import crc32

from plankroute.membership.codec import HEADER, VERSION, Codec, Rejection
from plankroute.membership.messages import Gossip
from plankroute.membership.records import MemberRecord


def test_invalid_datagrams_are_rejected_with_the_reason() -> None:
    codec, other_codec = Codec("g"), Codec("h")
    datagram = codec.encode(Gossip((MemberRecord("n", "a:1", "z", 1, 1),)))
    oversized_name = codec.encode(Gossip((MemberRecord("n" * 65, "a:1", "z", 1, 1),)))
    assert codec.decode(datagram) == Gossip((MemberRecord("n", "a:1", "z", 1, 1),))
    assert codec.decode(other_codec.encode(Gossip(()))) is Rejection.GROUP
    assert codec.decode(bytes([2]) + datagram[1:]) is Rejection.VERSION
    assert (
        codec.decode(datagram[:-1]) is Rejection.CHECKSUM
        and codec.decode(datagram[: HEADER.size]) is Rejection.SIZE
    )
    assert codec.decode(b"\0" * 65507) is Rejection.SIZE and codec.decode(b"") is Rejection.SIZE
    assert codec.decode(oversized_name) is Rejection.MALFORMED
    for position in range(len(datagram)):
        assert isinstance(
            codec.decode(
                datagram[:position] + bytes([datagram[position] ^ 1]) + datagram[position + 1 :]
            ),
            Rejection,
        )


def test_a_datagram_with_invalid_utf8_is_malformed() -> None:
    """Guards against an exception from a datagram of the group: a name that is not UTF-8."""
    codec = Codec("g")
    message = Gossip((MemberRecord("nn", "a:1", "z", 1, 1),))
    body = codec.encoder.encode(message).replace(b"\xa2nn", b"\xa2\x80\x80")
    checksum = crc32(body, codec.group_checksum)
    datagram = HEADER.pack(VERSION, codec.group_checksum, checksum) + body
    assert codec.decode(datagram) is Rejection.MALFORMED
