"""Endpoint lists that are being received over links."""

from collections.abc import Callable

from plankroute.cold_start.link_codec import ListProgress, ListStart
from plankroute.cold_start.list_receiver import ListReceiver


class ListTransfers:
    """Keeps one receiver for each link, and resumes an interrupted transfer on another link.

    Attributes:
        max_bytes: Returns the size limit of a list.
        receivers: By name of the sending controller.
        interrupted: The receiver of the last interrupted transfer of a complete list. Any
            controller that sends the rest of the same list can complete it.
    """

    def __init__(self, max_bytes: Callable[[], int]) -> None:
        """Starts without transfers.

        Args:
            max_bytes: Returns the size limit of a list. It is read once for each link, as the
                setting may change between two links.
        """
        self.max_bytes = max_bytes
        self.receivers: dict[str, ListReceiver] = {}
        self.interrupted: ListReceiver | None = None

    def receiver_of(self, name: str) -> ListReceiver:
        """Returns the receiver for a controller's lists; creates it at the link's first frame."""
        receiver = self.receivers.get(name)
        if receiver is None:
            receiver = ListReceiver(self.max_bytes())
            self.receivers[name] = receiver
        return receiver

    def receiver_for_start(self, name: str, announced: ListStart) -> ListReceiver:
        """Returns the receiver for an announced list.

        If the announcement resumes a transfer, this is the receiver of the interrupted one, which
        has the first part of the list.
        """
        receiver = self.receiver_of(name)
        if announced.offset and self.interrupted:
            receiver = self.interrupted
            self.receivers[name] = receiver
        return receiver

    def end(self, name: str) -> None:
        """Ends a link's transfer; the received part of a complete list is kept for another link."""
        receiver = self.receivers.pop(name, None)
        if receiver and receiver.progress():
            self.interrupted = receiver

    def progress(self) -> ListProgress | None:
        """Returns how much of an interrupted list was received; None if there is none."""
        return self.interrupted.progress() if self.interrupted else None
