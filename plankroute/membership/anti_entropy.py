"""Views are compared by sums and exchanged where they differ, in pieces that fit datagrams. Decides when and
how much; never which record stands."""

from collections.abc import Callable, Iterable, Iterator

from plankroute.membership.facts import MAX_DATAGRAM_BYTES
from plankroute.membership.messages import ViewExchange
from plankroute.membership.records import MemberRecord

RATE, BURST = (
    1.0,
    2.0,
)  # exchanges a second that a member begins, and that it serves, with what may pile up
HEAD_BYTES = 96  # of a datagram: header, tags, wanted buckets
MOST_PIECES = 160  # of one exchange: four thousand members of sixty bytes


def pieces(
    records: Iterable[MemberRecord], want: list[int], size: Callable[[MemberRecord], int]
) -> Iterator[ViewExchange]:
    """The first one says what is wanted in return; there is one even where there is no record."""
    room, chunk, wanted, given = (
        MAX_DATAGRAM_BYTES - HEAD_BYTES,
        list[MemberRecord](),
        bytes(want),
        0,
    )
    for record in records:
        needs = size(record)
        if needs > room and given < MOST_PIECES:
            yield ViewExchange(tuple(chunk), wanted)
            room, chunk, wanted, given = MAX_DATAGRAM_BYTES - HEAD_BYTES, [], b"", given + 1
        chunk.append(record)
        room -= needs
    if (chunk or wanted) and given < MOST_PIECES:
        yield ViewExchange(tuple(chunk), wanted)
