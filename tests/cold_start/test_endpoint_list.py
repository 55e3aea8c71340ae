"""The endpoint list by changes, and lists that are received in parts."""

from zlib import crc32

import msgspec
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plankroute.cold_start.endpoint_list import EndpointList
from plankroute.cold_start.link_codec import ListProgress, ListStart
from plankroute.cold_start.list_receiver import ListReceiver, ListTransferError


def entry(uid: str, state: str = "SERVING") -> dict:
    return {"uid": uid, "state": state}


@settings(max_examples=60)
@given(
    st.lists(
        st.lists(
            st.tuples(
                st.sampled_from("abcdefg"), st.sampled_from(["SERVING", "DRAINING", "DELETED"])
            ),
            max_size=4,
        ),
        max_size=12,
    ),
    st.integers(0, 12),
)
def test_changes_since_a_revision_update_any_older_list(
    steps: list[list[tuple[str, str]]], applied_steps: int
) -> None:
    held, older = EndpointList(), EndpointList()
    held.apply({"rev": 5, "all": True, "targets": [entry(uid) for uid in "abc"]})
    older.apply(orjson.loads(held.complete()))
    for number, step in enumerate(steps):
        change = {"rev": 6 + number, "all": False, "targets": [entry(*one) for one in step]}
        held.apply(change)
        if number < applied_steps:
            older.apply(change)
    since = held.changes_since(older.revision)
    assert since is not None
    older.apply(orjson.loads(since))
    assert (
        older.complete() == held.complete()
        and held.changes_since(4) is None
        and held.changes_since(99) is None
    )


def test_an_interrupted_list_is_resumed_and_an_invalid_one_is_rejected() -> None:
    data = EndpointList().complete() * 400
    receiver = ListReceiver(len(data))
    complete = ListStart(7, True, len(data), crc32(data))
    rest = msgspec.structs.replace(complete, offset=100)
    receiver.start(complete)
    assert receiver.add(data[:100]) is None
    assert receiver.progress() == ListProgress(7, crc32(data), 100)
    with pytest.raises(ListTransferError, match=r"^resumed list differs from received part$"):
        receiver.start(msgspec.structs.replace(rest, revision=8))
    receiver.start(rest)
    assert receiver.add(data[100:]) == data
    with pytest.raises(ListTransferError, match=r"^list size is out of range$"):
        receiver.start(ListStart(7, True, len(data) + 1, 1))
    receiver.start(ListStart(7, True, 4, 1))
    with pytest.raises(ListTransferError, match=r"^list is longer than announced$"):
        receiver.add(b"xxxxx")
    receiver.start(ListStart(7, True, 4, 1))
    with pytest.raises(ListTransferError, match=r"^list checksum mismatch$"):
        receiver.add(b"xxxx")
