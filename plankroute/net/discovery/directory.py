"""Names of the outside and the small ids of the inside: hosts, zones, kinds, products."""

from dataclasses import dataclass

from plankroute.events import events
from plankroute.events.events import HostState, ListKind
from plankroute.net.discovery.catalogue import EntrySaid, ListSaid
from plankroute.net.process.clock import Clock


@dataclass(slots=True)
class Known:
    """A host that discovery has listed, until the core has forgotten it; its id is never another's."""

    uid: str
    address: str
    boot_ms: float = 0.0
    started_us: int = 0
    entry: events.HostEntry | None = None  # as last read


MARK_BYTES = 64  # of a name: no fleet's differ later


def mark_of(uid: str) -> int:
    """Of a host's name, the same at every steward, and ordered as names are."""
    return int.from_bytes(uid.encode("ascii")[:MARK_BYTES].ljust(MARK_BYTES, b"\0"))


def places(names: tuple[str, ...]) -> dict[str, int]:
    return {name: place for place, name in enumerate(names)}


class Directory:
    def __init__(
        self,
        clock: Clock,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        products: tuple[str, ...],
    ) -> None:
        self.clock = clock
        self.zones, self.kinds, self.products = places(zones), places(kinds), places(products)
        self.hosts: dict[int, Known] = {}
        self.ids: dict[str, int] = {}
        self.next_id = 0

    def uid(self, host: int) -> str:
        return self.hosts[host].uid

    def forget(self, host: int) -> None:
        del self.ids[self.hosts.pop(host).uid]

    def apply_list(
        self, listed: ListSaid, kind: ListKind | None = None
    ) -> tuple[events.HostList, int]:
        """The list by ids, and how many entries could not be taken.

        Such an entry leaves its host as it was: a full list must not drop a host for it.
        """
        entries: dict[int, events.HostEntry] = {}
        refused = 0
        for said in listed.entries:
            if (
                said.uid not in self.ids
                and isinstance(said, EntrySaid)
                and said.state is HostState.GONE
            ):
                continue  # never listed here, or forgotten: nothing to tell
            entry = self.entry(said) if isinstance(said, EntrySaid) else None
            refused += entry is None
            if entry is None and said.uid in self.ids:
                entry = self.hosts[self.ids[said.uid]].entry
            if entry is not None:
                entries[entry.host] = entry
        kind = kind or (ListKind.FULL if listed.whole else ListKind.CHANGES)
        return events.HostList(kind, tuple(entries.values())), refused

    def entry(self, said: EntrySaid) -> events.HostEntry | None:
        if said.zone not in self.zones or said.kind not in self.kinds:
            return None
        if said.uid not in self.ids:
            self.ids[said.uid] = self.next_id
            self.hosts[self.next_id] = Known(said.uid, said.address)
            self.next_id += 1
        known = self.hosts[self.ids[said.uid]]
        known.address = said.address
        if (
            known.boot_ms != said.boot_ms
        ):  # worked out once a start: no host may seem to start again
            known.boot_ms = said.boot_ms
            known.started_us = (
                max(1, self.clock.on_scale(round(said.boot_ms * 1000))) if said.boot_ms else 0
            )
        known.entry = events.HostEntry(
            self.ids[said.uid],
            said.state,
            self.zones[said.zone],
            self.kinds[said.kind],
            said.cell,
            said.weight,
            known.started_us,
            mark_of(said.uid),
        )
        return known.entry
