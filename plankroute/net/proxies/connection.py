"""A connection's other end: a ring a direction, and what it has said to be."""

import asyncio
import time

from plankroute.net.proxies.admission import Party, Role
from plankroute.net.proxies.line_codec import MOST_JOINING, MOST_LINE
from plankroute.net.proxies.line_reader import LineCutter
from plankroute.net.proxies.outbound_buffer import Outlet
from plankroute.net.proxies.ring_buffer import Pool


class Peer:
    def __init__(self, writer: asyncio.StreamWriter, pool: Pool) -> None:
        self.party, self.cutter, self.outlet = (
            Party(),
            LineCutter(MOST_JOINING, pool),
            Outlet(writer, pool),
        )
        self.since = self.heard = self.asked = time.monotonic()
        self.times_asked = 0  # for a sign of life, since the last sweep

    def is_stranger(self) -> bool:
        return self.party.role in (Role.STRANGER, Role.ASKER)

    def join(self) -> None:
        """From here on its lines may be as long as the protocol has them."""
        self.cutter.allow(MOST_LINE)

    def is_ending(self) -> bool:
        return self.outlet.writer.transport.is_closing()

    def expect(self, mark: int) -> None:
        """A mark was written, which is to be answered."""
        if not self.party.marks:
            self.asked = time.monotonic()
        self.party.marks.append(mark)

    def owes_for(self, now: float) -> float:
        """Seconds for which an answer has been due without any word."""
        return now - max(self.heard, self.asked) if self.party.marks else 0.0
