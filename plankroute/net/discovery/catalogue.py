"""The codec of discovery's lists, from JSON to typed values; words of discovery stand only here."""

from dataclasses import dataclass
from typing import Any

import orjson

from plankroute.events.events import HostState
from plankroute.events.settings import positive_or_zero
from plankroute.net.process.errors import Rejection, RejectionStage
from plankroute.units import MAX_UNIX_MS

MEMBERS = "/catalog/members"
STATES = {"SERVING": HostState.READY, "DRAINING": HostState.DRAINING, "DELETED": HostState.GONE}
MAX_CELL = 2**16  # no fleet has as many cells
NOT_IN_NAMES = frozenset(" ,:=+\r\n")  # they would break a line to a proxy


@dataclass(frozen=True, slots=True)
class ListEntry:
    """A host as it is listed.

    Attributes:
        uid: Its name.
        address: Where health checks reach it.
        zone: Name of its zone.
        machine_type: Name of its machine type.
        cell: Number of the cell within its zone.
        state: Whether it serves.
        weight: Its listed capacity.
        boot_ms: Unix time of its last start, 0 for long ago.
    """

    uid: str
    address: str
    zone: str
    machine_type: str
    cell: int
    state: HostState
    weight: float
    boot_ms: float


@dataclass(frozen=True, slots=True)
class UnreadableEntry:
    """An entry that can't be read; its uid, where at least that can be."""

    uid: str | None


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list as discovery sent it.

    Attributes:
        revision: Its number; a later list has a higher one.
        is_complete: All hosts are in it; else those that have changed.
        entries: Its hosts.
    """

    revision: int
    is_complete: bool
    entries: tuple[ListEntry | UnreadableEntry, ...]


def watch_target(after: int) -> str:
    """Returns the target of a watch for changes after a revision."""
    return f"{MEMBERS}?watch=1&after={after}"


def parse_list(text: bytes) -> EndpointList | Rejection:
    """Parses a list in JSON."""
    try:
        return list_from(orjson.loads(text))
    except orjson.JSONDecodeError:
        return Rejection(RejectionStage.PARSING, "no JSON")


def list_from(raw: object) -> EndpointList | Rejection:
    """Returns the list in what was parsed from JSON."""
    if not isinstance(raw, dict) or not isinstance(raw.get("targets"), list):
        return Rejection(RejectionStage.PARSING, "no list")
    revision = raw.get("rev")
    is_complete = raw.get("all")
    # A boolean is an int, too: it is no revision.
    if type(revision) is not int or revision < 0 or not isinstance(is_complete, bool):
        return Rejection(RejectionStage.PARSING, "a list without its revision")
    return EndpointList(revision, is_complete, tuple(_entry_from(raw) for raw in raw["targets"]))


def _entry_from(raw: object) -> ListEntry | UnreadableEntry:
    uid = raw.get("uid") if isinstance(raw, dict) else None
    if not isinstance(raw, dict) or not isinstance(uid, str) or not _is_name(uid):
        return UnreadableEntry(None)
    try:
        entry = _parse_entry(uid, raw)
    except (TypeError, ValueError, KeyError, OverflowError):
        return UnreadableEntry(uid)
    if 0 <= entry.boot_ms <= MAX_UNIX_MS and 0 <= entry.cell < MAX_CELL:
        return entry
    return UnreadableEntry(uid)


def _is_name(uid: str) -> bool:
    return bool(uid) and uid.isascii() and not NOT_IN_NAMES & set(uid)


def _parse_entry(uid: str, raw: dict[str, Any]) -> ListEntry:
    """Raises TypeError, ValueError, KeyError or OverflowError where a field can't be read."""
    return ListEntry(
        uid=uid,
        address=_text(raw["endpoint"]),
        zone=_text(raw["az"]),
        machine_type=_text(raw["model"]),
        cell=int(raw["pod_group"]),
        state=STATES[raw["state"]],
        weight=positive_or_zero(float(raw["capacity_hint"])),
        boot_ms=float(raw["boot_ms"]),
    )


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("no text")
    return value
