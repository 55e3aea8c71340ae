"""Anti-entropy: tables are compared by sums and exchanged where they differ, in datagrams.

Decides when and how much is exchanged; never which record holds.
"""

from collections.abc import Callable, Iterable, Iterator

from plankroute.membership.facts import MAX_DATAGRAM_BYTES
from plankroute.membership.member_table import MemberTable
from plankroute.membership.messages import Metric, ViewExchange
from plankroute.membership.outbox import Outbox
from plankroute.membership.records import MemberRecord
from plankroute.token_bucket import TokenBucket

# Exchanges a second that a member begins, and that it serves, with what may pile up.
EXCHANGES_PER_SECOND = 1.0
EXCHANGE_BURST = 2.0
OVERHEAD_BYTES = 96  # of a datagram: header, tags, wanted buckets
MAX_DATAGRAMS_PER_EXCHANGE = 160  # of one exchange: four thousand members of sixty bytes


class AntiEntropy:
    """Compares this member's table with those of others, at a bounded rate."""

    def __init__(
        self, table: MemberTable, record_size: Callable[[MemberRecord], int], outbox: Outbox
    ) -> None:
        self.table = table
        self.record_size = record_size
        self.outbox = outbox
        self.compare_budget = TokenBucket(EXCHANGES_PER_SECOND, EXCHANGE_BURST)
        self.serve_budget = TokenBucket(EXCHANGES_PER_SECOND, EXCHANGE_BURST)

    def bucket_sums_for(self, table_digest: int, now_us: int) -> bytes:
        """This table's sums for a member whose digest differs; empty where nothing is compared."""
        if table_digest != self.table.digest() and self.compare_budget.take(now_us):
            return self.table.bucket_sums()
        return b""

    def on_bucket_sums(self, source: str, bucket_sums: bytes) -> None:
        """Send what differs, and ask for the other's records of the same buckets."""
        differing = self.table.differing_buckets(bucket_sums)
        if differing:
            self.send_records(source, set(differing), differing)

    def on_wanted_buckets(self, source: str, wanted_buckets: bytes, now_us: int) -> None:
        """Send the records of the buckets that another member asks for."""
        if wanted_buckets and self.serve_budget.take(now_us):
            self.send_records(source, set(wanted_buckets), [])

    def send_records(self, address: str, buckets: set[int], wanted: list[int]) -> None:
        """Send the records of these buckets; `wanted`: buckets asked for in return."""
        self.outbox.count(Metric.ANTI_ENTROPY_EXCHANGES)
        records = self.table.records_in_buckets(buckets)
        for exchange in split_into_datagrams(records, wanted, self.record_size):
            self.outbox.send(address, exchange)


def split_into_datagrams(
    records: Iterable[MemberRecord],
    wanted: list[int],
    record_size: Callable[[MemberRecord], int],
) -> Iterator[ViewExchange]:
    """Messages that fit datagrams.

    The first one says what is wanted in return; there is one even where there is no record.
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
