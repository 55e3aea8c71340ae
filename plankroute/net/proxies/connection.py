"""One accepted connection: its buffers, the identity of its peer, and when it was last heard of."""

import asyncio
import time

from plankroute.net.proxies.admission import PeerIdentity
from plankroute.net.proxies.line_codec import MAX_FIRST_LINE_BYTES, MAX_LINE_BYTES
from plankroute.net.proxies.line_reader import LineReader
from plankroute.net.proxies.outbound_buffer import OutboundBuffer
from plankroute.net.proxies.ring_buffer import MemoryPool


class Connection:
    """A connection of a proxy, a collector, a monitor, or a peer that is still unidentified.

    Times are those of the monotonic clock, in seconds.
    """

    def __init__(self, writer: asyncio.StreamWriter, pool: MemoryPool) -> None:
        self.identity = PeerIdentity()
        self.line_reader = LineReader(MAX_FIRST_LINE_BYTES, pool)
        self.outbound = OutboundBuffer(writer, pool)
        now = time.monotonic()
        self.connected_at = now
        self.last_heard_at = now
        self.awaiting_ack_since = now  # means something only while an acknowledgement is due
        self.liveness_checks = 0  # since the last sweep

    def allow_long_lines(self) -> None:
        """Its peer is identified: from here on lines may be as long as the protocol allows."""
        self.line_reader.set_max_line_bytes(MAX_LINE_BYTES)

    def is_closing(self) -> bool:
        """Whether the connection is being closed, by either side."""
        return self.outbound.is_closing()

    def expect_ack(self, sequence_number: int) -> None:
        """A message was sent that its peer has to acknowledge."""
        if not self.identity.unacknowledged:
            self.awaiting_ack_since = time.monotonic()
        self.identity.unacknowledged.append(sequence_number)

    def silent_s(self, now: float) -> float:
        """Returns how many seconds an acknowledgement has been due while nothing was heard."""
        if not self.identity.unacknowledged:
            return 0.0
        return now - max(self.last_heard_at, self.awaiting_ack_since)
