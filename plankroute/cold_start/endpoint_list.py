"""The endpoint list as it is held and handed on: complete, or what has changed since a revision.

Decides nothing about whom to believe (`watcher_election.py`).
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, TypedDict

import orjson

# Kept: more than an hour of releases; who is further behind gets the complete list.
MAX_CHANGES = 4096
NO_REVISION = -1  # no list yet
DELETED = "DELETED"
CLOSED_STATES = frozenset({"DRAINING", DELETED})

# An entry as the list service wrote it: only `uid` and `state` are read here.
Entry = dict[str, Any]


class RawList(TypedDict):
    """A list as the service writes it; its form was checked by who read it."""

    rev: int
    all: bool
    targets: list[Any]


@dataclass(frozen=True, slots=True)
class Change:
    """An entry that was new, or other than before, at a revision."""

    revision: int
    entry: Entry


class EndpointList:
    """Entries by host name; a complete list has the same bytes wherever it is held."""

    def __init__(self) -> None:
        self.revision = NO_REVISION
        self.entries: dict[str, Entry] = {}
        self.changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self.complete_since = NO_REVISION  # changes after that revision are all there
        self.encoded: bytes | None = None  # cached until the next list

    def apply(self, raw: RawList) -> None:
        """Take a list that this controller has come to believe."""
        entries = [
            item
            for item in raw["targets"]
            if isinstance(item, dict) and isinstance(item.get("uid"), str)
        ]
        if raw["all"]:
            self.replace_all(raw["rev"], entries)
        else:
            self.apply_changes(raw["rev"], entries)
        self.revision = raw["rev"]
        self.encoded = None

    def replace_all(self, revision: int, entries: Iterable[Entry]) -> None:
        """Take a complete list."""
        self.entries = {entry["uid"]: entry for entry in entries}
        self.changes.clear()
        self.complete_since = revision

    def apply_changes(self, revision: int, entries: Iterable[Entry]) -> None:
        """Take the changes of one revision."""
        for entry in entries:
            if len(self.changes) == MAX_CHANGES:
                self.complete_since = self.changes[0].revision
            self.changes.append(Change(revision, entry))
            self.entries[entry["uid"]] = entry
            if entry.get("state") == DELETED:
                del self.entries[entry["uid"]]

    def complete(self) -> bytes:
        """The complete list as JSON."""
        if self.encoded is None:
            entries = [self.entries[host] for host in sorted(self.entries)]
            self.encoded = orjson.dumps(
                {"rev": self.revision, "all": True, "targets": entries},
                option=orjson.OPT_SORT_KEYS,
            )
        return self.encoded

    def changes_since(self, revision: int) -> bytes | None:
        """What brings a list of that revision up to this one, as JSON.

        None where only the complete list does.
        """
        if not self.knows_changes_since(revision):
            return None
        entries = list(self.newest_since(revision).values())
        return orjson.dumps({"rev": self.revision, "all": False, "targets": entries})

    def knows_changes_since(self, revision: int) -> bool:
        """Whether all changes after that revision are there."""
        return self.complete_since <= revision <= self.revision

    def newest_since(self, revision: int) -> dict[str, Entry]:
        """By host name, the newest change after that revision."""
        return {
            change.entry["uid"]: change.entry
            for change in self.changes
            if change.revision > revision
        }

    def closed_since(self, revision: int) -> list[Entry]:
        """Entries that close a host since then; where changes are missing, all that drain now."""
        entries = self.entries
        if self.knows_changes_since(revision):
            entries = self.newest_since(revision)
        return [entry for entry in entries.values() if entry.get("state") in CLOSED_STATES]
