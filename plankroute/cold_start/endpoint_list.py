"""The list of hosts as it is held and handed on: whole, or what has changed since a revision. Decides nothing
about whom to believe (`follow.py`)."""

from collections import deque
from typing import Any
from zlib import crc32

import orjson

MOST_CHANGES = (
    4096  # kept: more than an hour of releases; who is further behind gets the whole list
)
DELETED = "DELETED"
CLOSED = frozenset({"DRAINING", DELETED})


class EndpointList:
    """Entries as the list service wrote them, by name; a whole list has the same bytes wherever it is
    held."""

    def __init__(self) -> None:
        self.revision = -1  # -1: no list yet
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: deque[tuple[int, dict[str, Any]]] = deque(maxlen=MOST_CHANGES)
        self.complete_from = -1  # changes after that revision are all there
        self.cached: tuple[int, bytes] | None = None

    def take(self, raw: dict[str, Any]) -> None:
        """A list that this steward has come to believe; its form was checked."""
        targets = [
            item
            for item in raw["targets"]
            if isinstance(item, dict) and isinstance(item.get("uid"), str)
        ]
        if raw["all"]:
            self.entries = {item["uid"]: item for item in targets}
            self.changes.clear()
            self.complete_from = raw["rev"]
        for item in targets if not raw["all"] else ():
            if len(self.changes) == MOST_CHANGES:
                self.complete_from = self.changes[0][0]
            self.changes.append((raw["rev"], item))
            self.entries[item["uid"]] = item
            if item.get("state") == DELETED:
                del self.entries[item["uid"]]
        self.revision, self.cached = raw["rev"], None

    def whole(self) -> bytes:
        if self.cached is None:
            entries = [self.entries[uid] for uid in sorted(self.entries)]
            self.cached = (
                self.revision,
                orjson.dumps(
                    {"rev": self.revision, "all": True, "targets": entries},
                    option=orjson.OPT_SORT_KEYS,
                ),
            )
        return self.cached[1]

    def since(self, revision: int) -> bytes | None:
        """What brings a list of that revision up to this one; None where only the whole list does."""
        if not self.complete_from <= revision <= self.revision:
            return None
        targets = list(self.newest(revision).values())
        return orjson.dumps({"rev": self.revision, "all": False, "targets": targets})

    def newest(self, revision: int) -> dict[str, dict[str, Any]]:
        return {item["uid"]: item for at, item in self.changes if at > revision}

    def closings(self, revision: int) -> list[dict[str, Any]]:
        """Entries that close a host since then; where changes are not all known, all that drain now."""
        known = self.complete_from <= revision <= self.revision
        newest = self.newest(revision) if known else self.entries
        return [item for item in newest.values() if item.get("state") in CLOSED]


class ListReceiver:
    """A list that comes in parts; where its link broke it goes on at the next one that has the same."""

    def __init__(self, most: int) -> None:
        self.most, self.data = most, bytearray()
        self.revision, self.size, self.check, self.is_whole = -1, 0, 0, False

    def partial(self) -> tuple[int, int, int] | None:
        """Revision, check sum and bytes that are there of a whole list, for who can go on with it."""
        return (self.revision, self.check, len(self.data)) if self.is_whole and self.data else None

    def begin(
        self, revision: int, is_whole: bool, size: int, check: int, offset: int
    ) -> str | None:
        """Why it can't be taken, if so."""
        if not 0 <= size <= self.most:
            return "too large"
        if offset and (revision, check, offset) != self.partial():
            return "goes on with another one"
        if not offset:
            self.data = bytearray()
        self.revision, self.is_whole, self.size, self.check = revision, is_whole, size, check
        return None

    def add(self, part: bytes) -> tuple[bytes | None, str | None]:
        """The list, once it is there; or why it can't be one."""
        if len(self.data) + len(part) > self.size:
            self.data = bytearray()
            return None, "more than was announced"
        self.data += part
        if len(self.data) < self.size:
            return None, None
        data, self.data = bytes(self.data), bytearray()
        return (data, None) if crc32(data) == self.check else (None, "spoilt on its way")
