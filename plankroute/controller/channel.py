"""Accounting of the lines in flight in a controller's channel, as far as answers tell; no decision."""

from collections.abc import Iterable


class Channel:
    """Messages leave one behind another, so an answer to a mark tells of all written before it."""

    def __init__(self, head_lines: int, lines_a_us: float, answer_us: float) -> None:
        """`answer_us`: the longest time from a message's leaving the channel to its answer."""
        self.head, self.serial, self.waiting = (
            head_lines + 1,
            0,
            0,
        )  # each message has a mark's line too
        self.lines_a_us, self.queued, self.at = lines_a_us, 0.0, 0
        self.most_in_flight = lines_a_us * answer_us
        self.sent: dict[int, dict[int, int]] = {}  # by mark, the oldest first: lines to each proxy
        self.batch: dict[int, int] = {}  # lines of this batch's message to each proxy

    def charge(self, proxies: Iterable[int], lines: int) -> None:
        for proxy in proxies:
            before = self.batch.get(proxy, 0)
            self.batch[proxy] = before + lines
            self.waiting += lines if before else lines + self.head
            self.queued += lines if before else lines + self.head

    def pass_time(self, now: int) -> None:
        """Estimates `queued`, the lines that have not left yet; `waiting` holds those in flight as well.

        They leave at the regular pace. Two bounds correct that: lines of streams that ended are lost and wait
        no longer, and what is not answered beyond all that can be in flight has not left a slow channel.
        """
        left = self.queued - (now - self.at) * self.lines_a_us
        self.queued = min(self.waiting, max(left, self.waiting - self.most_in_flight, 0.0))
        self.at = now

    def close(self) -> int | None:
        """The mark that this batch is to carry, if it writes to any proxy."""
        if not self.batch:
            return None
        self.serial = self.serial % 65535 + 1
        self.waiting -= sum(self.sent.pop(self.serial, {}).values())
        self.sent[self.serial] = {proxy: lines + self.head for proxy, lines in self.batch.items()}
        self.batch = {}
        return self.serial

    def answered(self, proxy: int, serial: int) -> None:
        if serial in self.sent:
            while (first := next(iter(self.sent))) != serial:
                self.waiting -= sum(self.sent.pop(first).values())
            self.waiting -= self.sent[serial].pop(proxy, 0)

    def left(self, proxy: int) -> None:
        for lines in self.sent.values():
            self.waiting -= lines.pop(proxy, 0)
        while self.sent and not next(iter(self.sent.values())):
            del self.sent[next(iter(self.sent))]  # nobody is left to answer
        if proxy in self.batch:
            self.waiting -= self.batch.pop(proxy) + self.head
