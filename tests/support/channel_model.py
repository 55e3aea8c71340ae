"""A model of a controller's channel to its proxies: a first-in, first-out queue of lines."""

from dataclasses import dataclass

from plankroute.events import events


@dataclass(slots=True)
class QueuedMessage:
    """A message that waits in the channel.

    Attributes:
        proxy: The recipient.
        lines_left: Number of its lines that have not left the channel yet.
        sequence_number: Sequence number that the proxy acknowledges once all lines have left; None
            if the message requests no acknowledgement.
    """

    proxy: int
    lines_left: float
    sequence_number: int | None


@dataclass(frozen=True, slots=True)
class SentMessage:
    """A message that the controller wrote.

    Attributes:
        at_us: When it was written, in microseconds.
        proxy: The recipient.
    """

    at_us: int
    proxy: int


class ChannelModel:
    """The messages that wait in the channel, and those written within the message window.

    Attributes:
        peak_queued_lines: The largest number of lines that ever waited at the same time.
    """

    def __init__(self, message_window_us: int) -> None:
        """Creates an empty channel.

        Args:
            message_window_us: Length of the window for which written messages are remembered.
        """
        self.peak_queued_lines = 0.0
        self._message_window_us = message_window_us
        self._queue: list[QueuedMessage] = []
        self._recent_messages: list[SentMessage] = []

    def send(self, now: int, lines_to: dict[int, int], sequence_number: int | None) -> None:
        """Queues one message for each proxy.

        Args:
            now: Clock in microseconds.
            lines_to: By proxy, the number of lines of its message, message overhead included.
            sequence_number: Sequence number that the proxies are to acknowledge, which takes one
                more line in each message; None to request no acknowledgement.
        """
        acknowledgement_lines = 0 if sequence_number is None else 1
        for proxy, lines in lines_to.items():
            message = QueuedMessage(proxy, lines + acknowledgement_lines, sequence_number)
            self._queue.append(message)
        window_start = now - self._message_window_us
        self._recent_messages = [
            sent for sent in self._recent_messages if sent.at_us > window_start
        ]
        self._recent_messages += [SentMessage(now, proxy) for proxy in lines_to]
        waiting = sum(message.lines_left for message in self._queue)
        self.peak_queued_lines = max(self.peak_queued_lines, waiting)

    def transmit(self, capacity: float) -> list[events.Acknowledged]:
        """Removes up to `capacity` lines from the head of the queue.

        Returns:
            The acknowledgements of the messages whose last line has left.
        """
        acknowledged: list[events.Acknowledged] = []
        while self._queue and capacity > 0:
            message = self._queue[0]
            transmitted = min(capacity, message.lines_left)
            capacity -= transmitted
            message.lines_left -= transmitted
            if message.lines_left > 0:
                continue
            del self._queue[0]
            if message.sequence_number is not None:
                acknowledged.append(events.Acknowledged(message.proxy, message.sequence_number, 0))
        return acknowledged

    def drop(self, proxy: int) -> None:
        """Drops the queued messages of a proxy whose stream ended."""
        self._queue = [message for message in self._queue if message.proxy != proxy]

    def messages_since(self, proxy: int, start_us: int) -> int:
        """Counts the messages that were written to a proxy at or after a time.

        Messages that were older than the message window at the last `send` are not counted.
        """
        return sum(sent.at_us >= start_us and sent.proxy == proxy for sent in self._recent_messages)
