"""How news spreads: records that ride on what is sent anyway, and at once to a few. Bounded in size, number,
rate."""

import math
from collections.abc import Callable

from plankroute.membership.records import MemberRecord

TIMES = 1  # each rumour rides that often a doubling of the group; views that differ after it are compared
MOST_RIDING = 16  # rumours on a datagram: what fits of the usual length; fewer make a storm last
MOST_WAITING = 1024  # rumours kept: a larger change is left to the comparison of views
AT_ONCE = 3  # members that hear of news at once: a doubling and more a hop, with a third of datagrams lost
RATE, BURST = 20, 30  # datagrams with news a second, and at once: beyond, rumours ride
GAP_US = (
    50_000  # between two such sends: a storm's news are gathered, so that each datagram is full
)


class GossipQueue:
    """By name, how often the newest record of it has ridden; those that rode least go first."""

    def __init__(self) -> None:
        self.rode: dict[str, int] = {}

    def add(self, name: str) -> None:
        self.rode.pop(name, None)  # it goes to the end of those that never rode
        if len(self.rode) >= MOST_WAITING:
            del self.rode[max(self.rode, key=self.rode.__getitem__)]
        self.rode[name] = 0

    def take(
        self,
        members: int,
        room: int,
        record: Callable[[str], MemberRecord | None],
        size: Callable[[MemberRecord], int],
    ) -> list[MemberRecord]:
        """Records that fit into `room` bytes; each is let go when it rode often enough."""
        if not self.rode:
            return []
        most, out = TIMES * math.ceil(math.log2(members + 2)), list[MemberRecord]()
        for name in sorted(self.rode, key=self.rode.__getitem__)[:MOST_RIDING]:
            if (known := record(name)) is None:
                del self.rode[name]
                continue
            room -= size(known)
            if room < 0:
                break
            out.append(known)
            self.rode[name] += 1
            if self.rode[name] >= most:
                del self.rode[name]
        return out
