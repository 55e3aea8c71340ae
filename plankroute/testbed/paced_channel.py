"""A simulated channel from a controller to its proxies, with a limited rate and in-order delivery.

The operators' settings state its rate in lines per second.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A message in the channel.

    Attributes:
        lines: Cost of the message in lines, with the message overhead.
        is_wanted: Returns whether the stream of the message is still open; otherwise the message
            is dropped.
        deliver: Called at the time at which the message takes effect at the proxy.
    """

    lines: float
    is_wanted: Callable[[], bool]
    deliver: Callable[[], None]


class PacedChannel:
    """Delivers messages one after another at a limited rate.

    Attributes:
        max_waiting_lines: The most lines that have waited at the same time.
    """

    def __init__(self, lines_per_s: float, delay_s: float) -> None:
        """Starts with an empty queue.

        Args:
            lines_per_s: Rate of the channel.
            delay_s: Delay from the time a message has left the channel until it is delivered.
        """
        self.lines_per_s = lines_per_s
        self.delay_s = delay_s
        self.max_waiting_lines = 0.0
        self._queue: deque[QueuedMessage] = deque()
        self._free_at_s = 0.0
        self._is_sending = False

    def enqueue(self, message: QueuedMessage) -> None:
        """Adds a message, which has been received completely, to the queue."""
        self._queue.append(message)
        self.max_waiting_lines = max(self.max_waiting_lines, self.waiting_lines())
        if not self._is_sending:
            self._free_at_s = max(self._free_at_s, asyncio.get_running_loop().time())
            self._send_next()

    def waiting_lines(self) -> float:
        """Returns the queued lines, without messages whose stream has ended."""
        return sum(message.lines for message in self._queue if message.is_wanted())

    def clear(self) -> None:
        """Drops all queued messages, for a controller that has ended."""
        self._queue.clear()

    def _send_next(self) -> None:
        while self._queue and not self._queue[0].is_wanted():
            self._queue.popleft()
        self._is_sending = bool(self._queue)
        if not self._is_sending:
            return
        # Counted from the end of the previous message, so that late timers do not lower the rate.
        self._free_at_s += self._queue[0].lines / self.lines_per_s
        loop = asyncio.get_running_loop()
        loop.call_at(self._free_at_s, self._finish, self._queue[0])

    def _finish(self, message: QueuedMessage) -> None:
        if self._queue and self._queue[0] is message:
            self._queue.popleft()
            loop = asyncio.get_running_loop()
            loop.call_at(self._free_at_s + self.delay_s, self._deliver, message)
        self._send_next()

    def _deliver(self, message: QueuedMessage) -> None:
        if message.is_wanted():
            message.deliver()
