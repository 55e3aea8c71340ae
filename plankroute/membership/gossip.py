"""The queue of records that ride on other messages (SWIM's piggybacking), of bounded length."""

import math
from collections.abc import Callable

from plankroute.membership.records import MemberRecord

# Each record rides this often per doubling of the group; tables that differ after it are compared
# by anti-entropy (docs/membership.md).
TRANSMISSIONS_PER_DOUBLING = 1
MAX_RECORDS_PER_DATAGRAM = 16  # what fits at the usual record size; fewer make a storm last
MAX_QUEUED_RECORDS = 1024  # a larger change is left to the comparison of tables


class GossipQueue:
    """By name, how often its newest record was sent; those sent least go first."""

    def __init__(self) -> None:
        self.transmissions: dict[str, int] = {}

    def add(self, name: str) -> None:
        """The record of that name is new: it goes to the end of those never sent."""
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
        """Records that fit into `room_bytes`; each leaves the queue when it was sent often."""
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
