"""The endpoint list that a controller holds and forwards, complete or as changes since a revision.

Which controllers are trusted to send lists is decided elsewhere (`watcher_election.py`).
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, TypedDict

import orjson

# Number of changes kept: those of more than an hour of releases. A follower that is further behind
# gets the complete list.
MAX_CHANGES = 4096
NO_REVISION = -1  # no list yet
DELETED = "DELETED"
CLOSED_STATES = frozenset({"DRAINING", DELETED})  # states of a closed host

# An entry as the discovery service wrote it; this module reads only `uid` and `state`.
Entry = dict[str, Any]


class RawList(TypedDict):
    """A list as the discovery service writes it, already validated by the reader."""

    rev: int
    all: bool
    targets: list[Any]


@dataclass(frozen=True, slots=True)
class Change:
    """An entry that was added or changed at a revision."""

    revision: int
    entry: Entry


class EndpointList:
    """Entries by host name; equal complete lists are encoded to the same bytes by all controllers.

    Attributes:
        revision: Revision of the list.
        entries: The entries, by host name.
        changes: The latest changes, oldest first.
        complete_since: `changes` holds all changes after this revision.
        encoded: The cached result of `complete`; None until it is requested.
    """

    def __init__(self) -> None:
        self.revision = NO_REVISION
        self.entries: dict[str, Entry] = {}
        self.changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self.complete_since = NO_REVISION
        self.encoded: bytes | None = None

    def apply(self, raw: RawList) -> None:
        """Apply a list that this controller has accepted; skip entries without a string uid."""
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
        """Replace all entries by those of a complete list."""
        self.entries = {entry["uid"]: entry for entry in entries}
        self.changes.clear()
        self.complete_since = revision

    def apply_changes(self, revision: int, entries: Iterable[Entry]) -> None:
        """Apply the changes of one revision."""
        for entry in entries:
            if len(self.changes) == MAX_CHANGES:
                self.complete_since = self.changes[0].revision
            self.changes.append(Change(revision, entry))
            self.entries[entry["uid"]] = entry
            if entry.get("state") == DELETED:
                del self.entries[entry["uid"]]

    def complete(self) -> bytes:
        """Return the complete list as JSON."""
        if self.encoded is None:
            entries = [self.entries[host] for host in sorted(self.entries)]
            self.encoded = orjson.dumps(
                {"rev": self.revision, "all": True, "targets": entries},
                option=orjson.OPT_SORT_KEYS,
            )
        return self.encoded

    def changes_since(self, revision: int) -> bytes | None:
        """Return the changes after `revision` as JSON; None if the complete list is needed."""
        if not self.knows_changes_since(revision):
            return None
        entries = list(self.newest_entries_since(revision).values())
        return orjson.dumps({"rev": self.revision, "all": False, "targets": entries})

    def knows_changes_since(self, revision: int) -> bool:
        """Whether `changes` holds all changes after `revision`."""
        return self.complete_since <= revision <= self.revision

    def newest_entries_since(self, revision: int) -> dict[str, Entry]:
        """Return the newest entry of each host that changed after `revision`, by host name."""
        return {
            change.entry["uid"]: change.entry
            for change in self.changes
            if change.revision > revision
        }

    def closed_since(self, revision: int) -> list[Entry]:
        """Return the entries of the hosts that were closed after `revision`.

        If changes after `revision` are missing, return those of all hosts that drain now.
        """
        entries = self.entries
        if self.knows_changes_since(revision):
            entries = self.newest_entries_since(revision)
        return [entry for entry in entries.values() if entry.get("state") in CLOSED_STATES]
