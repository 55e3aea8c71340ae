"""Maps names outside the core to the small numbers within it: hosts, zones, types, classes."""

from dataclasses import dataclass
from typing import NamedTuple

from plankroute.events import events
from plankroute.events.events import HostState, ListKind
from plankroute.net.discovery.catalogue import EndpointList, ListEntry
from plankroute.net.process.clock import Clock

ORDER_KEY_BYTES = 64  # of a host's name: no fleet's names differ later


@dataclass(slots=True)
class KnownHost:
    """A host that discovery has listed, until the core has forgotten it; its id is never another's.

    Attributes:
        uid: Its name.
        address: Where health checks reach it.
        boot_ms: Unix time of its last start, 0 for long ago.
        started_us: The same on the controller's clock.
        entry: As last read.
    """

    uid: str
    address: str
    boot_ms: float = 0.0
    started_us: int = 0
    entry: events.HostEntry | None = None


class AppliedList(NamedTuple):
    """A list by the core's ids, and how many entries could not be taken."""

    listed: events.HostList
    rejected: int


def name_order_key(uid: str) -> int:
    """Returns a number that is the same at every controller, and ordered as names are."""
    return int.from_bytes(uid.encode("ascii")[:ORDER_KEY_BYTES].ljust(ORDER_KEY_BYTES, b"\0"))


def _index_by_name(names: tuple[str, ...]) -> dict[str, int]:
    return {name: index for index, name in enumerate(names)}


class Directory:
    """Maps names to numbers; hosts get theirs in the order in which they are first listed.

    Args:
        clock: The controller's clock.
        zones: Names by index, as are the next two.
        machine_types: Of hosts.
        request_classes: Of requests.
    """

    def __init__(
        self,
        clock: Clock,
        zones: tuple[str, ...],
        machine_types: tuple[str, ...],
        request_classes: tuple[str, ...],
    ) -> None:
        self.clock = clock
        self.zones = _index_by_name(zones)
        self.machine_types = _index_by_name(machine_types)
        self.request_classes = _index_by_name(request_classes)
        self.hosts: dict[int, KnownHost] = {}
        self.ids: dict[str, int] = {}
        self.next_id = 0

    def uid(self, host: int) -> str:
        """Returns a host's name."""
        return self.hosts[host].uid

    def forget(self, host: int) -> None:
        """Frees a host's id, which is not used again."""
        del self.ids[self.hosts.pop(host).uid]

    def apply_list(self, message: EndpointList, kind: ListKind | None = None) -> AppliedList:
        """Records the hosts of a list and returns it by their ids.

        An entry that can't be taken leaves its host as it was: the list must not drop it for that.

        Args:
            message: The list.
            kind: What the core is told that it is; None: as the list says.
        """
        entries: dict[int, events.HostEntry] = {}
        rejected = 0
        for listed in message.entries:
            if self._is_unknown_and_gone(listed):
                continue
            entry = self._update_host(listed) if isinstance(listed, ListEntry) else None
            if entry is None:
                rejected += 1
                if listed.uid in self.ids:
                    entry = self.hosts[self.ids[listed.uid]].entry
            if entry is not None:
                entries[entry.host] = entry
        if kind is None:
            kind = ListKind.FULL if message.is_complete else ListKind.CHANGES
        return AppliedList(events.HostList(kind, tuple(entries.values())), rejected)

    def _is_unknown_and_gone(self, listed: object) -> bool:
        """Never listed here, or forgotten: there is nothing to tell."""
        return (
            isinstance(listed, ListEntry)
            and listed.uid not in self.ids
            and listed.state is HostState.GONE
        )

    def _update_host(self, listed: ListEntry) -> events.HostEntry | None:
        """Records a host; None where its zone or machine type is not known."""
        if listed.zone not in self.zones or listed.machine_type not in self.machine_types:
            return None
        host = self._id_of(listed)
        known = self.hosts[host]
        known.address = listed.address
        # Computed once a start: no host may seem to start again when the system time is set.
        if known.boot_ms != listed.boot_ms:
            known.boot_ms = listed.boot_ms
            known.started_us = self._started_us(listed.boot_ms)
        known.entry = events.HostEntry(
            host,
            listed.state,
            self.zones[listed.zone],
            self.machine_types[listed.machine_type],
            listed.cell,
            listed.weight,
            known.started_us,
            name_order_key(listed.uid),
        )
        return known.entry

    def _id_of(self, listed: ListEntry) -> int:
        if listed.uid not in self.ids:
            self.ids[listed.uid] = self.next_id
            self.hosts[self.next_id] = KnownHost(listed.uid, listed.address)
            self.next_id += 1
        return self.ids[listed.uid]

    def _started_us(self, boot_ms: float) -> int:
        if not boot_ms:
            return 0
        return max(1, self.clock.from_system_us(round(boot_ms * 1000)))
