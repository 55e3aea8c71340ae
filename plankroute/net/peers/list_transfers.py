"""Lists that are coming in over links, by the controller that sends them."""

from collections.abc import Callable

from plankroute.cold_start.link_codec import ListProgress, ListStart
from plankroute.cold_start.list_receiver import ListReceiver


class ListTransfers:
    """Receivers by name, and the one that broke off, which goes on wherever the same list comes."""

    def __init__(self, max_bytes: Callable[[], int]) -> None:
        """No transfers yet; `max_bytes`: of one list, which may change between two links."""
        self.max_bytes = max_bytes
        self.receivers: dict[str, ListReceiver] = {}
        self.broken_off: ListReceiver | None = None

    def receiver_of(self, name: str) -> ListReceiver:
        """The receiver of what that controller sends; made with the first frame of its link."""
        receiver = self.receivers.get(name)
        if receiver is None:
            receiver = ListReceiver(self.max_bytes())
            self.receivers[name] = receiver
        return receiver

    def receiver_for_start(self, name: str, announced: ListStart) -> ListReceiver:
        """The receiver of a list that is announced: one that goes on takes what broke off."""
        receiver = self.receiver_of(name)
        if announced.offset and self.broken_off:
            receiver = self.broken_off
            self.receivers[name] = receiver
        return receiver

    def end(self, name: str) -> None:
        """The link has ended; what had come of a complete list is kept for the next one."""
        receiver = self.receivers.pop(name, None)
        if receiver and receiver.progress():
            self.broken_off = receiver

    def progress(self) -> ListProgress | None:
        """What has come of the list that broke off."""
        return self.broken_off.progress() if self.broken_off else None
