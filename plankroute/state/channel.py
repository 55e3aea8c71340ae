"""Accounting of the lines in flight in a controller's channel to its proxies; no decision.

Lines are the unit in which the operators state the channel's pace. Nobody tells how many of them
wait in the channel; acknowledgements by proxies tell which have left it.
"""

from collections import Counter
from collections.abc import Iterable

from plankroute.state.publishing_status import LineKind

MAX_SEQUENCE_NUMBER = 65535  # by the protocol; 1 follows


class Channel:
    """Lines that were written and not yet acknowledged, and an estimate of those still queued.

    Messages leave the channel in the order in which they were written, so an acknowledgement tells
    of its own message and of all that were written before it.

    Attributes:
        message_overhead: Lines that a message costs beside its own, with its request for an
            acknowledgement.
        sequence_number: Of the last batch that wrote to any proxy; 0 before the first.
        unacknowledged: Lines written and not acknowledged, be they queued or on their way.
        queued: Estimate of the lines that have not left the channel, by the last `advance`.
        batch: Lines of the batch in hand, by proxy, without the overhead.
        in_flight: Unacknowledged lines by sequence number and proxy, the oldest batch first.
        written: Lines written so far, by kind.
    """

    def __init__(self, message_overhead_lines: int, lines_per_us: float, answer_us: float) -> None:
        """Starts empty.

        Args:
            message_overhead_lines: Lines that each message costs beside its own.
            lines_per_us: Pace at which lines leave the channel, per microsecond.
            answer_us: Longest time from a message's leaving the channel to its acknowledgement.
        """
        self.message_overhead = message_overhead_lines + 1  # the request for an acknowledgement
        self.sequence_number = 0
        self.unacknowledged = 0
        self.queued = 0.0
        self.batch: dict[int, int] = {}
        self.in_flight: dict[int, dict[int, int]] = {}
        self.written: Counter[LineKind] = Counter()
        self._lines_per_us = lines_per_us
        self._max_in_flight = lines_per_us * answer_us
        self._advanced_us = 0

    def charge(self, proxies: Iterable[int], lines: int, kind: LineKind) -> None:
        """Counts lines that the batch in hand writes to each of the proxies."""
        for proxy in proxies:
            lines_before = self.batch.get(proxy, 0)
            self.batch[proxy] = lines_before + lines
            overhead = 0 if lines_before else self.message_overhead
            self.unacknowledged += lines + overhead
            self.queued += lines + overhead
            self.written[kind] += lines
            self.written[LineKind.OVERHEAD] += overhead

    def advance(self, now: int) -> None:
        """Updates `queued` to a clock in microseconds.

        Lines leave at the stated pace. Two bounds correct that. Lines to streams that ended are
        lost and wait no longer. And what is not acknowledged beyond all that can be on its way has
        not left yet: the channel is slower than stated.
        """
        by_pace = self.queued - (now - self._advanced_us) * self._lines_per_us
        not_on_the_way = self.unacknowledged - self._max_in_flight
        self.queued = min(self.unacknowledged, max(by_pace, not_on_the_way, 0.0))
        self._advanced_us = now

    def close_batch(self) -> int | None:
        """Ends the batch in hand.

        Returns:
            The sequence number for which it has to request acknowledgements, or None if it writes
            to no proxy.
        """
        if not self.batch:
            return None
        self.sequence_number = self.sequence_number % MAX_SEQUENCE_NUMBER + 1
        # Numbers come round again: what had this one before is not waited for any longer.
        self._settle(self.sequence_number)
        self.in_flight[self.sequence_number] = {
            proxy: lines + self.message_overhead for proxy, lines in self.batch.items()
        }
        self.batch = {}
        return self.sequence_number

    def acknowledge(self, proxy: int, sequence_number: int) -> None:
        """Takes in an acknowledgement; all batches before that one have left the channel too."""
        if sequence_number not in self.in_flight:
            return
        while (oldest := next(iter(self.in_flight))) != sequence_number:
            self._settle(oldest)
        self.unacknowledged -= self.in_flight[sequence_number].pop(proxy, 0)

    def disconnect(self, proxy: int) -> None:
        """Takes off the lines to a proxy whose stream ended; it will acknowledge none of them."""
        for lines in self.in_flight.values():
            self.unacknowledged -= lines.pop(proxy, 0)
        while self.in_flight:
            oldest = next(iter(self.in_flight))
            if self.in_flight[oldest]:
                break
            del self.in_flight[oldest]  # nobody is left to acknowledge it
        if proxy in self.batch:
            self.unacknowledged -= self.batch.pop(proxy) + self.message_overhead

    def _settle(self, sequence_number: int) -> None:
        """Counts all lines of a batch as having left; it need not be one that is in flight."""
        self.unacknowledged -= sum(self.in_flight.pop(sequence_number, {}).values())
