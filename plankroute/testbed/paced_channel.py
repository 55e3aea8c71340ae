"""A controller's channel to its proxies as operators state it: so many lines a second, in order."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A message in the channel.

    Attributes:
        lines: What it costs, its overhead included.
        is_wanted: Whether the stream that it came on is still open: else it is lost.
        deliver: Puts it into effect.
    """

    lines: float
    is_wanted: Callable[[], bool]
    deliver: Callable[[], None]


class PacedChannel:
    """Carries messages one after another, each at the stated pace.

    Attributes:
        most_waiting: The most lines that ever waited.
    """

    def __init__(self, lines_per_s: float, delay_s: float) -> None:
        """Starts empty.

        Args:
            lines_per_s: Its pace.
            delay_s: From a message's leaving the channel to its effect.
        """
        self.lines_per_s = lines_per_s
        self.delay_s = delay_s
        self.most_waiting = 0.0
        self._queue: deque[QueuedMessage] = deque()
        self._free_at_s = 0.0
        self._is_carrying = False

    def enqueue(self, message: QueuedMessage) -> None:
        """Takes a message whose last byte has come."""
        self._queue.append(message)
        self.most_waiting = max(self.most_waiting, self.waiting_lines())
        if not self._is_carrying:
            self._free_at_s = max(self._free_at_s, asyncio.get_running_loop().time())
            self._carry_next()

    def waiting_lines(self) -> float:
        """Returns the lines that wait for streams that are still open."""
        return sum(message.lines for message in self._queue if message.is_wanted())

    def clear(self) -> None:
        """Drops all that waits: the controller has ended."""
        self._queue.clear()

    def _carry_next(self) -> None:
        while self._queue and not self._queue[0].is_wanted():
            self._queue.popleft()
        self._is_carrying = bool(self._queue)
        if not self._is_carrying:
            return
        # From the end of the message before: timers that are late do not slow the channel down.
        self._free_at_s += self._queue[0].lines / self.lines_per_s
        loop = asyncio.get_running_loop()
        loop.call_at(self._free_at_s, self._finish, self._queue[0])

    def _finish(self, message: QueuedMessage) -> None:
        if self._queue and self._queue[0] is message:
            self._queue.popleft()
            loop = asyncio.get_running_loop()
            loop.call_at(self._free_at_s + self.delay_s, self._deliver, message)
        self._carry_next()

    def _deliver(self, message: QueuedMessage) -> None:
        if message.is_wanted():
            message.deliver()
