"""State of one accepted connection: buffers, peer identity and timestamps."""

import asyncio
import time

from plankroute.net.proxies.admission import PeerIdentity
from plankroute.net.proxies.line_codec import MAX_FIRST_LINE_BYTES, MAX_LINE_BYTES
from plankroute.net.proxies.line_reader import LineReader
from plankroute.net.proxies.outbound_buffer import OutboundBuffer
from plankroute.net.proxies.ring_buffer import MemoryPool


class Connection:
    """An accepted connection from a proxy, a collector, a monitor or an unidentified peer.

    Timestamps are seconds on the monotonic clock.
    """

    def __init__(self, writer: asyncio.StreamWriter, pool: MemoryPool) -> None:
        self.identity = PeerIdentity()
        self.line_reader = LineReader(MAX_FIRST_LINE_BYTES, pool)
        self.outbound = OutboundBuffer(writer, pool)
        now = time.monotonic()
        self.connected_at = now
        self.last_received_at = now
        self.awaiting_ack_since = now  # valid only while an acknowledgement is due
        self.liveness_checks = 0  # received since the last sweep

    def allow_long_lines(self) -> None:
        """Raises the line limit to the protocol maximum, once the peer has identified itself."""
        self.line_reader.set_max_line_bytes(MAX_LINE_BYTES)

    def is_closing(self) -> bool:
        """Returns whether the connection is being closed, by either side."""
        return self.outbound.is_closing()

    def expect_ack(self, sequence_number: int) -> None:
        """Records that a message was sent that the peer must acknowledge."""
        if not self.identity.unacknowledged:
            self.awaiting_ack_since = time.monotonic()
        self.identity.unacknowledged.append(sequence_number)

    def ack_silence_s(self, now: float) -> float:
        """Returns for how many seconds an acknowledgement has been due with no data received.

        Returns 0 if no acknowledgement is due.

        Args:
            now: The current time on the monotonic clock, in seconds.
        """
        if not self.identity.unacknowledged:
            return 0.0
        return now - max(self.last_received_at, self.awaiting_ack_since)
