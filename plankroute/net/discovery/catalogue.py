"""Decodes the endpoint lists of discovery from JSON into typed values.

This module defines the paths, field names and states of discovery's API.
"""

from dataclasses import dataclass
from typing import Any

import orjson

from plankroute.events.events import HostState
from plankroute.events.settings import positive_or_zero
from plankroute.net.process.errors import Rejection, RejectionStage
from plankroute.units import MAX_UNIX_MS

MEMBERS = "/catalog/members"
STATES = {"SERVING": HostState.READY, "DRAINING": HostState.DRAINING, "DELETED": HostState.GONE}
CELL_LIMIT = 2**16  # exclusive; far above the cells of any fleet
FORBIDDEN_NAME_CHARACTERS = frozenset(" ,:=+\r\n")  # they are syntax in lines to proxies


@dataclass(frozen=True, slots=True)
class ListEntry:
    """A host entry of an endpoint list.

    Attributes:
        uid: Name of the host.
        address: Address for health checks, as "host:port".
        zone: Name of its zone.
        machine_type: Name of its machine type.
        cell: Number of its cell within the zone.
        state: Whether it serves, drains or is deleted.
        weight: Its listed capacity; 0 if the listed value is negative or not finite.
        boot_ms: Unix time of its last start, in milliseconds; 0 if that was long ago.
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
    """An entry that can't be decoded.

    Attributes:
        uid: Name of the host, or None if the name is invalid too.
    """

    uid: str | None


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list as discovery sent it.

    Attributes:
        revision: Revision number, which increases from list to list.
        is_complete: Whether the list holds all hosts; otherwise it holds only changed ones.
        entries: Host entries.
    """

    revision: int
    is_complete: bool
    entries: tuple[ListEntry | UnreadableEntry, ...]


def watch_target(after: int) -> str:
    """Returns the request target of a watch for changes after a revision."""
    return f"{MEMBERS}?watch=1&after={after}"


def parse_list(text: bytes) -> EndpointList | Rejection:
    """Decodes an endpoint list from JSON text."""
    try:
        return list_from(orjson.loads(text))
    except orjson.JSONDecodeError:
        return Rejection(RejectionStage.PARSING, "list is not valid JSON")


def list_from(raw: object) -> EndpointList | Rejection:
    """Converts decoded JSON into an endpoint list, or returns a rejection."""
    if not isinstance(raw, dict) or not isinstance(raw.get("targets"), list):
        return Rejection(RejectionStage.PARSING, "value is not an endpoint list")
    revision = raw.get("rev")
    is_complete = raw.get("all")
    # bool is a subclass of int; a boolean is not a valid revision.
    if type(revision) is not int or revision < 0 or not isinstance(is_complete, bool):
        return Rejection(RejectionStage.PARSING, "list lacks a valid revision or completeness flag")
    return EndpointList(revision, is_complete, tuple(_entry_from(raw) for raw in raw["targets"]))


def _entry_from(raw: object) -> ListEntry | UnreadableEntry:
    uid = raw.get("uid") if isinstance(raw, dict) else None
    if not isinstance(raw, dict) or not isinstance(uid, str) or not _is_valid_name(uid):
        return UnreadableEntry(None)
    try:
        entry = _parse_entry(uid, raw)
    except (TypeError, ValueError, KeyError, OverflowError):
        return UnreadableEntry(uid)
    if 0 <= entry.boot_ms <= MAX_UNIX_MS and 0 <= entry.cell < CELL_LIMIT:
        return entry
    return UnreadableEntry(uid)


def _is_valid_name(uid: str) -> bool:
    return bool(uid) and uid.isascii() and not FORBIDDEN_NAME_CHARACTERS & set(uid)


def _parse_entry(uid: str, raw: dict[str, Any]) -> ListEntry:
    """Raises TypeError, ValueError, KeyError or OverflowError if a field is missing or invalid."""
    return ListEntry(
        uid=uid,
        address=_string(raw["endpoint"]),
        zone=_string(raw["az"]),
        machine_type=_string(raw["model"]),
        cell=int(raw["pod_group"]),
        state=STATES[raw["state"]],
        weight=positive_or_zero(float(raw["capacity_hint"])),
        boot_ms=float(raw["boot_ms"]),
    )


def _string(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("value is not a string")
    return value
