"""Datagrams that are noise go no further."""

from plankroute.membership.codec import HEADER, Codec, Rejection
from plankroute.membership.messages import Gossip
from plankroute.membership.records import MemberRecord


def test_noise_is_rejected_by_its_kind() -> None:
    codec, other = Codec("g"), Codec("h")
    good = codec.encode(Gossip((MemberRecord("n", "a:1", "z", 1, 1),)))
    forged = codec.encode(Gossip((MemberRecord("n" * 65, "a:1", "z", 1, 1),)))
    assert codec.decode(good) == Gossip((MemberRecord("n", "a:1", "z", 1, 1),))
    assert codec.decode(other.encode(Gossip(()))) is Rejection.GROUP
    assert codec.decode(bytes([2]) + good[1:]) is Rejection.VERSION
    assert (
        codec.decode(good[:-1]) is Rejection.CHECKSUM
        and codec.decode(good[: HEADER.size]) is Rejection.SIZE
    )
    assert codec.decode(b"\0" * 65507) is Rejection.SIZE and codec.decode(b"") is Rejection.SIZE
    assert codec.decode(forged) is Rejection.MALFORMED
    for at in range(len(good)):
        assert isinstance(
            codec.decode(good[:at] + bytes([good[at] ^ 1]) + good[at + 1 :]), Rejection
        )
