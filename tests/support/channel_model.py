"""A plain model of a controller's channel to its proxies, one line behind another."""

from dataclasses import dataclass

from plankroute.events import events


@dataclass(slots=True)
class QueuedMessage:
    """A message in the channel.

    Attributes:
        proxy: The recipient.
        lines_left: Lines of it that have not left yet.
        sequence_number: What the proxy acknowledges when all of it has left, if anything.
    """

    proxy: int
    lines_left: float
    sequence_number: int | None


@dataclass(frozen=True, slots=True)
class SentMessage:
    """A message that the controller wrote."""

    at_us: int
    proxy: int


class ChannelModel:
    """Messages that wait in the channel, and those written of late.

    Attributes:
        most_waiting: The most lines that ever waited.
    """

    def __init__(self, message_window_us: int) -> None:
        """Starts empty; `message_window_us` is how long messages count as written of late."""
        self.peak_queued_lines = 0.0
        self._message_window_us = message_window_us
        self._queue: list[QueuedMessage] = []
        self._sent: list[SentMessage] = []

    def send(self, now: int, lines_to: dict[int, int], sequence_number: int | None) -> None:
        """Writes a message of so many lines to each proxy.

        Args:
            now: Clock in microseconds.
            lines_to: Lines by proxy, with the overhead of a message.
            sequence_number: What the proxies acknowledge, a line more; or None.
        """
        acknowledgement_lines = 0 if sequence_number is None else 1
        for proxy, lines in lines_to.items():
            message = QueuedMessage(proxy, lines + acknowledgement_lines, sequence_number)
            self._queue.append(message)
        window_start = now - self._message_window_us
        self._sent = [sent for sent in self._sent if sent.at_us > window_start]
        self._sent += [SentMessage(now, proxy) for proxy in lines_to]
        waiting = sum(message.lines_left for message in self._queue)
        self.peak_queued_lines = max(self.peak_queued_lines, waiting)

    def carry(self, capacity: float) -> list[events.Event]:
        """Lets so many lines leave; returns the acknowledgements of messages that left whole."""
        acknowledged: list[events.Event] = []
        while self._queue and capacity > 0:
            message = self._queue[0]
            carried = min(capacity, message.lines_left)
            capacity -= carried
            message.lines_left -= carried
            if message.lines_left > 0:
                continue
            del self._queue[0]
            if message.sequence_number is not None:
                acknowledged.append(events.Acknowledged(message.proxy, message.sequence_number, 0))
        return acknowledged

    def drop(self, proxy: int) -> None:
        """Drops what waits for a proxy whose stream ended."""
        self._queue = [message for message in self._queue if message.proxy != proxy]

    def messages_since(self, proxy: int, start_us: int) -> int:
        """Counts the messages written of late to a proxy, from a clock on."""
        return sum(sent.at_us >= start_us and sent.proxy == proxy for sent in self._sent)
