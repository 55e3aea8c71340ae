"""Progress of the channel, as acknowledgements from all proxies show it."""

from collections import deque
from dataclasses import dataclass

from plankroute.state.channel import MAX_SEQUENCE_NUMBER


@dataclass(slots=True)
class _Step:
    """An acknowledgement that showed progress of the channel.

    Attributes:
        sequence_number: The newest sequence number that any proxy had acknowledged by then.
        at: When it was last acknowledged before a newer one, in seconds.
    """

    sequence_number: int
    at: float


class ChannelProgress:
    """When the channel was last known to be still sending the messages up to a sequence number.

    Messages leave the channel in the order of their sequence numbers, whichever proxy they are for.
    While acknowledgements of a number or of earlier ones arrive, later messages may still be queued
    in the channel: on a slow channel for longer than any acknowledgement normally takes.

    Times are seconds on the monotonic clock.

    Args:
        memory_s: Time for which acknowledgements are kept, in seconds.
    """

    def __init__(self, memory_s: float) -> None:
        self.memory_s = memory_s
        self._steps: deque[_Step] = deque()

    def record(self, sequence_number: int, now: float) -> None:
        """Records an acknowledgement that arrived now.

        An acknowledgement of an earlier number than one before shows nothing: the channel had
        already sent that message.
        """
        while self._steps and now - self._steps[0].at > self.memory_s:
            self._steps.popleft()
        if not self._steps or is_later(sequence_number, self._steps[-1].sequence_number):
            self._steps.append(_Step(sequence_number, now))
        elif sequence_number == self._steps[-1].sequence_number:
            self._steps[-1].at = now

    def last_progress_at(self, sequence_number: int) -> float | None:
        """Returns when the channel last made progress towards the end of a batch of messages.

        Args:
            sequence_number: Number of the batch.

        Returns:
            The time of the last acknowledgement that arrived for this number or an earlier one,
            before any later number was acknowledged; None if none is kept.
        """
        for step in reversed(self._steps):
            if not is_later(step.sequence_number, sequence_number):
                return step.at
        return None


def is_later(sequence_number: int, other: int) -> bool:
    """Returns whether a sequence number was assigned after another one.

    Numbers are reused after the largest one, so the two must be less than half of them apart.
    """
    return 0 < (sequence_number - other) % MAX_SEQUENCE_NUMBER <= MAX_SEQUENCE_NUMBER // 2
