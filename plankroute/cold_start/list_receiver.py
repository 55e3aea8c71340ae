"""A list that comes in parts; where its link broke it goes on at the next one that has the same."""

from zlib import crc32

from plankroute.cold_start.endpoint_list import NO_REVISION
from plankroute.cold_start.link_codec import ListProgress, ListStart


class ListTransferError(Exception):
    """What came can't be a list; the text says why."""


class ListReceiver:
    """Collects the parts of one list after another."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()
        self.announced = ListStart(revision=NO_REVISION, is_complete=False, size=0, checksum=0)

    def progress(self) -> ListProgress | None:
        """What is there of a complete list, for who can go on with it; None where nothing is."""
        if not self.announced.is_complete or not self.buffer:
            return None
        return ListProgress(self.announced.revision, self.announced.checksum, len(self.buffer))

    def start(self, announced: ListStart) -> None:
        """A list is announced.

        Raises:
            ListTransferError: it can't be taken.
        """
        if not 0 <= announced.size <= self.max_bytes:
            raise ListTransferError("too large")
        if announced.offset:
            rest_of = ListProgress(announced.revision, announced.checksum, announced.offset)
            if rest_of != self.progress():
                raise ListTransferError("resumes another list")
        else:
            self.buffer = bytearray()
        self.announced = announced

    def add(self, part: bytes) -> bytes | None:
        """The list, once all of it is there.

        Raises:
            ListTransferError: it is longer than announced, or damaged.
        """
        if len(self.buffer) + len(part) > self.announced.size:
            self.buffer = bytearray()
            raise ListTransferError("longer than announced")
        self.buffer += part
        if len(self.buffer) < self.announced.size:
            return None
        data = bytes(self.buffer)
        self.buffer = bytearray()
        if crc32(data) != self.announced.checksum:
            raise ListTransferError("wrong checksum")
        return data
