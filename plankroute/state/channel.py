"""Accounting of the lines in flight in a controller's channel, as far as answers tell; no decision."""

from collections.abc import Iterable


class Channel:
    """Messages leave one behind another, so an answer to a mark tells of all written before it."""

    def __init__(self, message_overhead_lines: int, lines_per_us: float, answer_us: float) -> None:
        """`answer_us`: the longest time from a message's leaving the channel to its answer."""
        self.message_overhead, self.sequence_number, self.unacknowledged = (
            message_overhead_lines + 1,
            0,
            0,
        )  # each message has a mark's line too
        self.lines_per_us, self.queued, self.at = lines_per_us, 0.0, 0
        self.max_in_flight = lines_per_us * answer_us
        self.sent: dict[int, dict[int, int]] = {}  # by mark, the oldest first: lines to each proxy
        self.batch: dict[int, int] = {}  # lines of this batch's message to each proxy

    def charge(self, proxies: Iterable[int], lines: int) -> None:
        for proxy in proxies:
            before = self.batch.get(proxy, 0)
            self.batch[proxy] = before + lines
            self.unacknowledged += lines if before else lines + self.message_overhead
            self.queued += lines if before else lines + self.message_overhead

    def advance(self, now: int) -> None:
        """Estimates `queued`, the lines that have not left yet; `waiting` holds those in flight as well.

        They leave at the regular pace. Two bounds correct that: lines of streams that ended are lost and wait
        no longer, and what is not answered beyond all that can be in flight has not left a slow channel.
        """
        left = self.queued - (now - self.at) * self.lines_per_us
        self.queued = min(
            self.unacknowledged, max(left, self.unacknowledged - self.max_in_flight, 0.0)
        )
        self.at = now

    def close(self) -> int | None:
        """The mark that this batch is to carry, if it writes to any proxy."""
        if not self.batch:
            return None
        self.sequence_number = self.sequence_number % 65535 + 1
        self.unacknowledged -= sum(self.sent.pop(self.sequence_number, {}).values())
        self.sent[self.sequence_number] = {
            proxy: lines + self.message_overhead for proxy, lines in self.batch.items()
        }
        self.batch = {}
        return self.sequence_number

    def acknowledge(self, proxy: int, sequence_number: int) -> None:
        if sequence_number in self.sent:
            while (first := next(iter(self.sent))) != sequence_number:
                self.unacknowledged -= sum(self.sent.pop(first).values())
            self.unacknowledged -= self.sent[sequence_number].pop(proxy, 0)

    def left(self, proxy: int) -> None:
        for lines in self.sent.values():
            self.unacknowledged -= lines.pop(proxy, 0)
        while self.sent and not next(iter(self.sent.values())):
            del self.sent[next(iter(self.sent))]  # nobody is left to answer
        if proxy in self.batch:
            self.unacknowledged -= self.batch.pop(proxy) + self.message_overhead
