"""Accounting of the lines in flight in a controller's channel to its proxies.

Operators state the pace of the channel in lines per second. The number of lines queued in the
channel cannot be read anywhere, so it is estimated from that pace and from acknowledgements, which
show which lines have left the channel.
"""

from collections import Counter
from collections.abc import Iterable

from plankroute.state.publishing_status import LineKind

MAX_SEQUENCE_NUMBER = 65535  # set by the protocol; the next number is 1


class Channel:
    """Counts the lines written and not acknowledged, and estimates how many are still queued.

    Messages leave the channel in the order in which they were written. An acknowledgement therefore
    shows that its own message and all earlier batches have left.

    Attributes:
        message_overhead: Lines that each message costs in addition to its content, including the
            request for an acknowledgement.
        sequence_number: Number of the last batch that wrote to any proxy; 0 before the first.
        unacknowledged: Lines written and not acknowledged, whether queued or already sent.
        queued: Estimated lines that have not left the channel, as of the last `advance`.
        batch: Lines of the current batch by proxy, without the message overhead.
        in_flight: Unacknowledged lines by sequence number and proxy, the oldest batch first.
        written: Lines written so far, by kind.
    """

    def __init__(
        self, message_overhead_lines: int, lines_per_us: float, max_acknowledgement_us: float
    ) -> None:
        """Creates an empty channel.

        Args:
            message_overhead_lines: Lines that each message costs in addition to its content and
                the request for an acknowledgement.
            lines_per_us: Pace of the channel, in lines per microsecond.
            max_acknowledgement_us: Longest time from a message leaving the channel to its
                acknowledgement, in microseconds.
        """
        self.message_overhead = message_overhead_lines + 1  # the request for an acknowledgement
        self.sequence_number = 0
        self.unacknowledged = 0
        self.queued = 0.0
        self.batch: dict[int, int] = {}
        self.in_flight: dict[int, dict[int, int]] = {}
        self.written: Counter[LineKind] = Counter()
        self._lines_per_us = lines_per_us
        self._max_in_flight = lines_per_us * max_acknowledgement_us
        self._advanced_us = 0

    def charge(self, proxies: Iterable[int], lines: int, kind: LineKind) -> None:
        """Counts lines that the current batch writes to each of the proxies.

        The first lines of the batch for a proxy also count the message overhead.
        """
        for proxy in proxies:
            overhead = 0 if proxy in self.batch else self.message_overhead
            self.batch[proxy] = self.batch.get(proxy, 0) + lines
            self.unacknowledged += lines + overhead
            self.queued += lines + overhead
            self.written[kind] += lines
            self.written[LineKind.OVERHEAD] += overhead

    def advance(self, now: int) -> None:
        """Updates the estimate in `queued` to the time `now`, in microseconds.

        The estimate falls at the stated pace, within two bounds. It is at most the unacknowledged
        lines, because lines to a closed stream are lost and no longer queued. It is at least the
        unacknowledged lines beyond those that the stated pace can have sent within the longest
        time to an acknowledgement: if there are any, the channel is slower than stated.
        """
        remaining_by_pace = self.queued - (now - self._advanced_us) * self._lines_per_us
        beyond_in_flight = self.unacknowledged - self._max_in_flight
        self.queued = min(self.unacknowledged, max(remaining_by_pace, beyond_in_flight, 0.0))
        self._advanced_us = now

    def close_batch(self) -> int | None:
        """Ends the current batch and starts an empty one.

        Returns:
            The sequence number that the proxies are to acknowledge, or None if the batch wrote to
            no proxy.
        """
        if not self.batch:
            return None
        self.sequence_number = self.sequence_number % MAX_SEQUENCE_NUMBER + 1
        # Numbers are reused after the largest one. An earlier batch that still has this number is
        # no longer waited for.
        self._drop_batch(self.sequence_number)
        self.in_flight[self.sequence_number] = {
            proxy: lines + self.message_overhead for proxy, lines in self.batch.items()
        }
        self.batch = {}
        return self.sequence_number

    def acknowledge(self, proxy: int, sequence_number: int) -> None:
        """Counts a proxy's lines of a batch as acknowledged.

        All earlier batches count as acknowledged by every proxy, because they left the channel
        before. A number that is not in flight is ignored.
        """
        if sequence_number not in self.in_flight:
            return
        while (oldest := next(iter(self.in_flight))) != sequence_number:
            self._drop_batch(oldest)
        self.unacknowledged -= self.in_flight[sequence_number].pop(proxy, 0)

    def disconnect(self, proxy: int) -> None:
        """Removes the lines to a proxy whose stream ended, since it will not acknowledge them."""
        for lines in self.in_flight.values():
            self.unacknowledged -= lines.pop(proxy, 0)
        while self.in_flight:
            oldest = next(iter(self.in_flight))
            if self.in_flight[oldest]:
                break
            del self.in_flight[oldest]  # no proxy is left to acknowledge this batch
        if proxy in self.batch:
            self.unacknowledged -= self.batch.pop(proxy) + self.message_overhead

    def _drop_batch(self, sequence_number: int) -> None:
        """Counts all lines of a batch as acknowledged, if the batch is in flight."""
        self.unacknowledged -= sum(self.in_flight.pop(sequence_number, {}).values())
