"""The bounded queue of records that are piggybacked on other messages (SWIM)."""

import math
from collections.abc import Callable

from plankroute.membership.records import MemberRecord

# Each record is sent this many times per doubling of the group size. Anti-entropy repairs tables
# that still differ afterwards (docs/membership.md).
TRANSMISSIONS_PER_DOUBLING = 1
# What fits at the usual record size. With fewer records, many changes at once take long to spread.
MAX_RECORDS_PER_DATAGRAM = 16
MAX_QUEUED_RECORDS = 1024  # changes of more members are left to anti-entropy


class GossipQueue:
    """Names of the records to send; those sent least often come first.

    Attributes:
        transmissions: By name, how often the newest record was sent.
    """

    def __init__(self) -> None:
        self.transmissions: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Queue the record of that name as not yet sent, behind the other unsent ones.

        If the queue is full, the record that was sent most often is dropped.
        """
        self.transmissions.pop(name, None)
        if len(self.transmissions) >= MAX_QUEUED_RECORDS:
            most_sent = max(self.transmissions, key=self.transmissions.__getitem__)
            del self.transmissions[most_sent]
        self.transmissions[name] = 0

    def take(
        self,
        member_count: int,
        room_bytes: int,
        record_of: Callable[[str], MemberRecord | None],
        record_size: Callable[[MemberRecord], int],
    ) -> list[MemberRecord]:
        """Return the next records to send, and count them as sent.

        A record leaves the queue once it was sent often enough for the size of the group.

        Args:
            member_count: Number of members in the table.
            room_bytes: Limit of the records' total size.
            record_of: Returns the record of a name; None if the name is no longer known.
            record_size: Returns the encoded size of a record in bytes.
        """
        if not self.transmissions:
            return []
        limit = TRANSMISSIONS_PER_DOUBLING * math.ceil(math.log2(member_count + 2))
        taken = list[MemberRecord]()
        names = sorted(self.transmissions, key=self.transmissions.__getitem__)
        for name in names[:MAX_RECORDS_PER_DATAGRAM]:
            record = record_of(name)
            if record is None:
                del self.transmissions[name]
                continue
            room_bytes -= record_size(record)
            if room_bytes < 0:
                break
            taken.append(record)
            self.transmissions[name] += 1
            if self.transmissions[name] >= limit:
                del self.transmissions[name]
        return taken
