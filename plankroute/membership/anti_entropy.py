"""Anti-entropy: compares tables by bucket sums and exchanges the records of differing buckets.

This module decides when and how much is exchanged. Which of two records is kept is decided by
`records.merge_records`.
"""

from collections.abc import Callable, Iterable, Iterator

from plankroute.membership.facts import MAX_DATAGRAM_BYTES
from plankroute.membership.member_table import MemberTable
from plankroute.membership.messages import Metric, ViewExchange
from plankroute.membership.outbox import Outbox
from plankroute.membership.records import MemberRecord
from plankroute.token_bucket import TokenBucket

# Rate and burst of the exchanges that a member starts, and equally of those that it serves.
EXCHANGES_PER_SECOND = 1.0
EXCHANGE_BURST = 2.0
OVERHEAD_BYTES = 96  # of a datagram for its header, tags and wanted buckets
MAX_DATAGRAMS_PER_EXCHANGE = 160  # enough for 4,000 members of 60 bytes each


class AntiEntropy:
    """Compares this member's table with the tables of others, at a bounded rate."""

    def __init__(
        self, table: MemberTable, record_size: Callable[[MemberRecord], int], outbox: Outbox
    ) -> None:
        self.table = table
        self.record_size = record_size
        self.outbox = outbox
        self.compare_budget = TokenBucket(EXCHANGES_PER_SECOND, EXCHANGE_BURST)
        self.serve_budget = TokenBucket(EXCHANGES_PER_SECOND, EXCHANGE_BURST)

    def bucket_sums_for(self, table_digest: int, now_us: int) -> bytes:
        """Return the bucket sums to send to a member, so that it can compare the tables.

        Args:
            table_digest: Digest of the other member's table.
            now_us: The time of the pause-aware clock.

        Returns:
            The sums of this table, as encoded on the wire. Empty if the digests are equal, or if
            the rate limit allows no comparison now.
        """
        if table_digest != self.table.digest() and self.compare_budget.take(now_us):
            return self.table.bucket_sums()
        return b""

    def on_bucket_sums(self, source: str, bucket_sums: bytes) -> None:
        """Send the records of buckets that differ, and request the other member's records."""
        differing = self.table.differing_buckets(bucket_sums)
        if differing:
            self.send_records(source, set(differing), differing)

    def on_wanted_buckets(self, source: str, wanted_buckets: bytes, now_us: int) -> None:
        """Send the records of the buckets that another member requested, within the rate limit."""
        if wanted_buckets and self.serve_budget.take(now_us):
            self.send_records(source, set(wanted_buckets), [])

    def send_records(self, address: str, buckets: set[int], wanted: list[int]) -> None:
        """Send the records of `buckets`, and request those of the `wanted` buckets in return."""
        self.outbox.count(Metric.ANTI_ENTROPY_EXCHANGES)
        records = self.table.records_in_buckets(buckets)
        for exchange in split_into_datagrams(records, wanted, self.record_size):
            self.outbox.send(address, exchange)


def split_into_datagrams(
    records: Iterable[MemberRecord],
    wanted: list[int],
    record_size: Callable[[MemberRecord], int],
) -> Iterator[ViewExchange]:
    """Yield messages that each fit in a datagram, at most `MAX_DATAGRAMS_PER_EXCHANGE`.

    Args:
        records: The records to send. Those beyond the limit are not sent.
        wanted: Buckets requested from the receiver. The first message carries them, and is sent for
            them even if there are no records.
        record_size: Returns the encoded size of a record in bytes.
    """
    room_bytes = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES
    chunk = list[MemberRecord]()
    wanted_buckets = bytes(wanted)
    sent = 0
    for record in records:
        size = record_size(record)
        if size > room_bytes and sent < MAX_DATAGRAMS_PER_EXCHANGE:
            yield ViewExchange(tuple(chunk), wanted_buckets)
            room_bytes = MAX_DATAGRAM_BYTES - OVERHEAD_BYTES
            chunk = []
            wanted_buckets = b""
            sent += 1
        chunk.append(record)
        room_bytes -= size
    if (chunk or wanted_buckets) and sent < MAX_DATAGRAMS_PER_EXCHANGE:
        yield ViewExchange(tuple(chunk), wanted_buckets)
