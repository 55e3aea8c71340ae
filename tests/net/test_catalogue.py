"""Malformed lists are rejected; malformed entries are marked as unreadable."""

import pytest
from support.endpoint_lists import host_json, list_json

from plankroute.net.discovery.catalogue import UnreadableEntry, list_from, parse_list
from plankroute.net.process.errors import Rejection


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        {},
        {"rev": 1, "all": True},
        {"rev": "1", "all": True, "targets": []},
        {"rev": 1, "all": 1, "targets": []},
        {"rev": -1, "all": True, "targets": []},
    ],
)
def test_malformed_lists_are_rejected(raw: object) -> None:
    assert isinstance(list_from(raw), Rejection) and isinstance(
        parse_list(b'{"rev":1,"all":tr'), Rejection
    )


@pytest.mark.parametrize(
    "invalid_field",
    [
        {"uid": 7},
        {"uid": "a b"},
        {"uid": "a,b"},
        {"boot_ms": -1},
        {"boot_ms": "x"},
        {"boot_ms": 1e300},
        {"pod_group": None},
        {"capacity_hint": []},
        {"state": 1},
        {"az": 1},
        {"endpoint": None},
    ],
)
def test_malformed_entries_are_unreadable(invalid_field: dict[str, object]) -> None:
    assert isinstance(
        list_from(list_json(host_json("s-1") | invalid_field)).entries[0], UnreadableEntry
    )
