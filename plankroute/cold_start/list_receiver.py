"""Receives a list in parts; an interrupted transfer can be resumed over another link."""

from zlib import crc32

from plankroute.cold_start.endpoint_list import NO_REVISION
from plankroute.cold_start.link_codec import ListProgress, ListStart


class ListTransferError(Exception):
    """The received data is not a valid list; the message says why."""


class ListReceiver:
    """Assembles lists from their parts, one after another.

    Attributes:
        max_bytes: A longer list is rejected.
        buffer: The bytes received of the announced list.
        announced: The announcement of the current or last list.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()
        self.announced = ListStart(revision=NO_REVISION, is_complete=False, size=0, checksum=0)

    def progress(self) -> ListProgress | None:
        """Return the received part of a complete list, from which a transfer can be resumed.

        None if no byte has arrived, or if the announced list holds changes.
        """
        if not self.announced.is_complete or not self.buffer:
            return None
        return ListProgress(self.announced.revision, self.announced.checksum, len(self.buffer))

    def start(self, announced: ListStart) -> None:
        """Start to receive the announced list.

        Raises:
            ListTransferError: The size is negative or above `max_bytes`, or the list resumes
                another transfer than the one received so far.
        """
        if not 0 <= announced.size <= self.max_bytes:
            raise ListTransferError("list size is out of range")
        if announced.offset:
            resumed = ListProgress(announced.revision, announced.checksum, announced.offset)
            if resumed != self.progress():
                raise ListTransferError("resumed list differs from received part")
        else:
            self.buffer = bytearray()
        self.announced = announced

    def add(self, part: bytes) -> bytes | None:
        """Add the next part; return the whole list once it is complete, else None.

        Raises:
            ListTransferError: The list is longer than announced, or its checksum does not match.
        """
        if len(self.buffer) + len(part) > self.announced.size:
            self.buffer = bytearray()
            raise ListTransferError("list is longer than announced")
        self.buffer += part
        if len(self.buffer) < self.announced.size:
            return None
        data = bytes(self.buffer)
        self.buffer = bytearray()
        if crc32(data) != self.announced.checksum:
            raise ListTransferError("list checksum mismatch")
        return data
