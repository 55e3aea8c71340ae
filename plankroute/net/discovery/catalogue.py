"""The codec of discovery's lists: JSON to what was said. Only here: discovery's words."""

from dataclasses import dataclass
from typing import Any

import orjson

from plankroute.events.events import HostState
from plankroute.events.settings import finite
from plankroute.net.process.errors import Refused, Stage

MEMBERS = "/catalog/members"
STATES = {"SERVING": HostState.READY, "DRAINING": HostState.DRAINING, "DELETED": HostState.GONE}
MOST_UNIX_MS = 1e14  # the year 5138: what lies beyond is nonsense
MOST_CELL = 2**16  # no fleet has as many
NOT_IN_NAMES = frozenset(" ,:=+\r\n")  # they would break a line on a stream


@dataclass(frozen=True, slots=True)
class EntrySaid:
    """A host as it is listed; boot_ms: Unix time of its last start, 0 for long ago."""

    uid: str
    address: str
    zone: str
    kind: str
    cell: int
    state: HostState
    weight: float
    boot_ms: float


@dataclass(frozen=True, slots=True)
class Unread:
    """An entry that can't be read; its uid, where at least that can be."""

    uid: str | None


@dataclass(frozen=True, slots=True)
class ListSaid:
    revision: int
    whole: bool
    entries: tuple[EntrySaid | Unread, ...]


def watch_target(after: int) -> str:
    return f"{MEMBERS}?watch=1&after={after}"


def read_list(text: bytes) -> ListSaid | Refused:
    try:
        return list_from(orjson.loads(text))
    except orjson.JSONDecodeError:
        return Refused(Stage.READ, "no JSON")


def list_from(raw: Any) -> ListSaid | Refused:
    if not isinstance(raw, dict) or not isinstance(raw.get("targets"), list):
        return Refused(Stage.READ, "no list")
    revision, whole = raw.get("rev"), raw.get("all")
    if type(revision) is not int or revision < 0 or not isinstance(whole, bool):
        return Refused(Stage.READ, "a list without its revision")
    return ListSaid(revision, whole, tuple(entry_from(item) for item in raw["targets"]))


def entry_from(item: Any) -> EntrySaid | Unread:
    uid = item.get("uid") if isinstance(item, dict) else None
    if not isinstance(uid, str) or not uid or not uid.isascii() or NOT_IN_NAMES & set(uid):
        return Unread(None)
    try:
        address, zone, kind = (text(item[name]) for name in ("endpoint", "az", "model"))
        said = EntrySaid(
            uid,
            address,
            zone,
            kind,
            int(item["pod_group"]),
            STATES[item["state"]],
            finite(float(item["capacity_hint"])),
            float(item["boot_ms"]),
        )
    except (TypeError, ValueError, KeyError, OverflowError):
        return Unread(uid)
    return said if 0 <= said.boot_ms <= MOST_UNIX_MS and 0 <= said.cell < MOST_CELL else Unread(uid)


def text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("no text")
    return value
