"""Maps names of hosts, zones, machine types and request classes to the ids that the core uses."""

from dataclasses import dataclass
from typing import NamedTuple

from plankroute.events import events
from plankroute.events.events import HostState, ListKind
from plankroute.net.discovery.catalogue import EndpointList, ListEntry
from plankroute.net.process.clock import Clock

ORDER_KEY_BYTES = 64  # length of a name prefix; host names of a fleet differ within it


@dataclass(slots=True)
class KnownHost:
    """A host that discovery has listed and that the core has not forgotten yet.

    Attributes:
        uid: Name of the host.
        address: Address for health checks, as "host:port".
        boot_ms: Unix time of its last start, in milliseconds; 0 if that was long ago.
        started_us: The last start on the controller's clock, in microseconds; 0 if long ago.
        entry: The last valid entry, or None if there is none yet.
    """

    uid: str
    address: str
    boot_ms: float = 0.0
    started_us: int = 0
    entry: events.HostEntry | None = None


class AppliedList(NamedTuple):
    """A list converted to ids of the core.

    Attributes:
        listed: The list for the core.
        rejected: Number of entries that could not be used.
    """

    listed: events.HostList
    rejected: int


def name_order_key(uid: str) -> int:
    """Returns a sort key that orders hosts by name, identically on all controllers."""
    return int.from_bytes(uid.encode("ascii")[:ORDER_KEY_BYTES].ljust(ORDER_KEY_BYTES, b"\0"))


def _index_by_name(names: tuple[str, ...]) -> dict[str, int]:
    return {name: index for index, name in enumerate(names)}


class Directory:
    """Maps names to ids.

    Host ids are assigned in the order in which hosts are first listed, and never reused.

    Args:
        clock: The controller's clock.
        zones: Zone names by index.
        machine_types: Machine type names by index.
        request_classes: Request class names by index.
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
        """Returns the name of a host; raises KeyError if the id is not known."""
        return self.hosts[host].uid

    def forget(self, host: int) -> None:
        """Removes a host; its id is not reused."""
        del self.ids[self.hosts.pop(host).uid]

    def apply_list(self, message: EndpointList, kind: ListKind | None = None) -> AppliedList:
        """Records the hosts of a list and converts the list to ids.

        If an entry can't be used, the previous entry of its host is returned instead, so that a
        known host is not dropped from a complete list because of an invalid entry.

        Args:
            message: The list.
            kind: The kind of list to report to the core; None derives it from the list.
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
        """Returns whether a deleted host has no id, so that there is nothing to report."""
        return (
            isinstance(listed, ListEntry)
            and listed.uid not in self.ids
            and listed.state is HostState.GONE
        )

    def _update_host(self, listed: ListEntry) -> events.HostEntry | None:
        """Records a host; returns None if its zone or machine type is not known."""
        if listed.zone not in self.zones or listed.machine_type not in self.machine_types:
            return None
        host = self._id_for(listed)
        known = self.hosts[host]
        known.address = listed.address
        # Computed once per start, so that a change of the system time does not look like a restart.
        if known.boot_ms != listed.boot_ms:
            known.boot_ms = listed.boot_ms
            known.started_us = self._start_time_us(listed.boot_ms)
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

    def _id_for(self, listed: ListEntry) -> int:
        if listed.uid not in self.ids:
            self.ids[listed.uid] = self.next_id
            self.hosts[self.next_id] = KnownHost(listed.uid, listed.address)
            self.next_id += 1
        return self.ids[listed.uid]

    def _start_time_us(self, boot_ms: float) -> int:
        if not boot_ms:
            return 0
        return max(1, self.clock.from_system_us(round(boot_ms * 1000)))
