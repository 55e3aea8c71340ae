"""Names of the outside and the small ids of the inside: hosts, zones, kinds, products; discovery's lists."""

from dataclasses import dataclass
from typing import Any

from plankroute.interface import notes
from plankroute.interface.notes import HostState, ListKind
from plankroute.net.clock import Clock
from plankroute.start import finite

STATES = {"SERVING": HostState.READY, "DRAINING": HostState.DRAINING, "DELETED": HostState.GONE}
MOST_UNIX_MS = 1e14  # the year 5138: what lies beyond is nonsense


@dataclass(slots=True)
class Known:
    """A host that discovery has listed; its id is its place and stays for this life of the steward."""

    uid: str
    address: str
    boot_ms: float = 0.0
    started_us: int = 0


def places(names: tuple[str, ...]) -> dict[str, int]:
    return {name: place for place, name in enumerate(names)}


class Directory:
    def __init__(self, clock: Clock, zones: tuple[str, ...], kinds: tuple[str, ...],
                 products: tuple[str, ...]) -> None:
        self.clock = clock
        self.zones, self.kinds, self.products = places(zones), places(kinds), places(products)
        self.hosts: list[Known] = []
        self.ids: dict[str, int] = {}
        self.last: dict[int, notes.HostEntry] = {}  # as last read, for entries that can't be
        self.refused = 0  # entries that couldn't be read

    def uid(self, host: int) -> str:
        return self.hosts[host].uid

    def address(self, host: int) -> str:
        return self.hosts[host].address

    def read(self, raw: Any, kind: ListKind | None = None) -> tuple[int, notes.HostList] | None:
        """Revision and list of one of discovery's answers; None where it is none.

        An entry that can't be read leaves its host as it was: a full list must not drop a host for it.
        """
        if not isinstance(raw, dict) or not isinstance(raw.get("targets"), list):
            return None
        revision = raw.get("rev")
        if not isinstance(revision, int) or not isinstance(raw.get("all"), bool):
            return None
        entries: dict[int, notes.HostEntry] = {}
        for item in raw["targets"]:
            if entry := self.entry(item):
                entries[entry.host] = self.last[entry.host] = entry
        kind = kind or (ListKind.FULL if raw["all"] else ListKind.CHANGES)
        return revision, notes.HostList(kind, tuple(entries.values()))

    def entry(self, item: Any) -> notes.HostEntry | None:
        try:
            uid, state = item["uid"], STATES[item["state"]]
            zone, kind, cell = self.zones[item["az"]], self.kinds[item["model"]], int(item["pod_group"])
            weight, boot_ms = finite(float(item["capacity_hint"])), float(item["boot_ms"])
            if not uid or not uid.isascii() or set(uid) & set(" ,:=\r\n") or not 0 <= boot_ms <= MOST_UNIX_MS:
                raise ValueError
            known = self.known(uid, item["endpoint"] + "")
        except (TypeError, ValueError, KeyError, AttributeError, OverflowError):
            self.refused += 1
            return self.old(item)
        if known.boot_ms != boot_ms:  # worked out once a start: a host must not seem to start again
            known.boot_ms, known.started_us = boot_ms, max(1, self.clock.on_scale(round(boot_ms * 1000)))
        return notes.HostEntry(self.ids[uid], state, zone, kind, cell, weight, known.started_us)

    def known(self, uid: str, address: str) -> Known:
        if uid not in self.ids:
            self.ids[uid] = len(self.hosts)
            self.hosts.append(Known(uid, address))
        known = self.hosts[self.ids[uid]]
        known.address = address
        return known

    def old(self, item: Any) -> notes.HostEntry | None:
        uid = item.get("uid") if isinstance(item, dict) else None
        return self.last.get(self.ids[uid]) if isinstance(uid, str) and uid in self.ids else None
