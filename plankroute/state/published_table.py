"""Published tables: slots by host as the proxies have them, and changes that are due in them."""

from dataclasses import dataclass, field

from plankroute.state.host_statistics import HostStatistics


@dataclass(eq=False, slots=True)
class PublishedTable:
    """One table as it was last published: how many slots each host has in it.

    Hosts are named by their index in the host statistics.

    Attributes:
        number: The table's number on the wire.
        zones: Zones whose hosts it may hold, or None if it may hold those of any zone.
        machine_types: Machine types that it may hold, or None if it may hold any.
        proxy_zone: The zone whose proxies use it, or None if those of all zones do.
        request_classes: Indexes of the request classes that it is for.
        has_limits: Whether admission limits are written for it.
        published: Slots by host, as last written to the channel; never 0.
    """

    number: int
    zones: tuple[int, ...] | None
    machine_types: tuple[int, ...] | None
    proxy_zone: int | None
    request_classes: list[int] = field(default_factory=list)
    has_limits: bool = True
    published: dict[int, int] = field(default_factory=dict)

    def may_hold(self, hosts: HostStatistics, index: int) -> bool:
        """Whether the table may hold the host, by its zone and machine type."""
        zone_allowed = self.zones is None or hosts.zone[index] in self.zones
        return zone_allowed and (
            self.machine_types is None or hosts.machine_type[index] in self.machine_types
        )

    def serves_zone(self, proxy_zone: int) -> bool:
        """Whether proxies in this zone use the table."""
        return self.proxy_zone is None or self.proxy_zone == proxy_zone

    def bind_lines(self, withdrawn: set[int]) -> int:
        """Returns the most lines that the channel counts for binding a proxy to the table.

        Args:
            withdrawn: Hosts whose withdrawal, or its end, the proxy has to be told of: those that
                the table holds cost a line each beside their slots.
        """
        withdrawal_lines = len(self.published.keys() & withdrawn)
        return self.fixed_bind_lines() + len(self.published) + withdrawal_lines

    def fixed_bind_lines(self) -> int:
        """Returns the lines of a bind beside those of the hosts."""
        bind_line = 1
        # Of each request class: the limit, the retry policy.
        limit_lines = 2 * len(self.request_classes) if self.has_limits else 0
        return bind_line + limit_lines

    def set_slots(self, index: int, count: int) -> None:
        """Notes the slots that were just published for a host; 0 removes it."""
        if count:
            self.published[index] = count
        else:
            self.published.pop(index, None)


@dataclass(eq=False, slots=True, kw_only=True)
class InterimTable(PublishedTable):
    """A small table for proxies that can not be bound to a complete one in time.

    Attributes:
        base: The complete table from whose hosts it has a few.
        users: The proxies that are bound to it.
        rate: Requests a second that these usually get.
    """

    base: PublishedTable
    users: set[int] = field(default_factory=set)
    rate: float = 0.0


@dataclass(slots=True)
class Change:
    """A host's slots in one table that differ from those published.

    Attributes:
        gain: The share of a proxy's requests that it moves, weighed by how much that is worth.
        urgent: It must go as soon as a message can, whatever it is worth.
        table: The table.
        index: The host's index.
        count: The new number of slots; 0 removes the host.
    """

    gain: float
    urgent: bool
    table: PublishedTable
    index: int
    count: int
