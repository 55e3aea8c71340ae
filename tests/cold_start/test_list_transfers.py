"""Lists over links: which receiver assembles them, and with which size limit."""

from zlib import crc32

import pytest

from plankroute.cold_start.link_codec import ListProgress, ListStart
from plankroute.cold_start.list_receiver import ListTransferError
from plankroute.net.peers.list_transfers import ListTransfers

LIST = b"x" * 100


def test_an_interrupted_list_is_resumed_over_another_link() -> None:
    transfers = ListTransfers(lambda: len(LIST))
    start = ListStart(7, True, len(LIST), crc32(LIST))
    transfers.receiver_for_start("n1", start).start(start)
    assert transfers.receiver_of("n1").add(LIST[:60]) is None and transfers.progress() is None
    transfers.end("n1")
    assert transfers.progress() == ListProgress(7, crc32(LIST), 60)
    rest = ListStart(7, True, len(LIST), crc32(LIST), 60)
    transfers.receiver_for_start("n2", rest).start(rest)
    assert transfers.receiver_of("n2").add(LIST[60:]) == LIST


def test_a_link_keeps_the_size_limit_of_its_first_frame() -> None:
    """Guards against a size limit that is read once for all links, although it may change."""
    limits = [50, 200]
    transfers = ListTransfers(lambda: limits[0])
    start = ListStart(7, True, len(LIST), crc32(LIST))
    receiver = transfers.receiver_of("n1")
    del limits[0]
    with pytest.raises(ListTransferError, match=r"^list size is out of range$"):
        receiver.start(start)
    assert transfers.receiver_for_start("n1", start) is receiver
    transfers.receiver_for_start("n2", start).start(start)
    assert transfers.receiver_of("n2").add(LIST) == LIST
