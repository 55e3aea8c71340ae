"""Published tables: the slots of each host as last written to the proxies, and slot changes."""

from dataclasses import dataclass, field

from plankroute.state.host_statistics import HostStatistics


@dataclass(eq=False, slots=True)
class PublishedTable:
    """A table as last published: the number of slots of each host.

    Hosts are identified by their index in the host statistics.

    Attributes:
        number: Number of the table in commands.
        zones: Zones whose hosts the table may hold, or None for all zones.
        machine_types: Machine types that the table may hold, or None for all types.
        proxy_zone: Zone whose proxies use the table, or None if the proxies of all zones do.
        request_classes: Indexes of the request classes that the table serves.
        has_limits: Whether admission limits are written for the table.
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
        """Returns whether the host's zone and machine type are allowed in the table."""
        zone_allowed = self.zones is None or hosts.zone[index] in self.zones
        return zone_allowed and (
            self.machine_types is None or hosts.machine_type[index] in self.machine_types
        )

    def serves_zone(self, proxy_zone: int) -> bool:
        """Returns whether the proxies of a zone use the table."""
        return self.proxy_zone is None or self.proxy_zone == proxy_zone

    def bind_lines(self, withdrawn: set[int]) -> int:
        """Returns the most lines that the channel counts for binding a proxy to the table.

        The message overhead is not included.

        Args:
            withdrawn: Hosts that the proxy has to be told are withdrawn or reinstated. Each of
                them that the table holds costs a line in addition to its slots.
        """
        withdrawal_lines = len(self.published.keys() & withdrawn)
        return self.fixed_bind_lines() + len(self.published) + withdrawal_lines

    def fixed_bind_lines(self) -> int:
        """Returns the lines that a bind costs whatever hosts the table holds."""
        bind_line = 1
        # Two lines per request class: the limit and the retry policy.
        limit_lines = 2 * len(self.request_classes) if self.has_limits else 0
        return bind_line + limit_lines

    def set_slots(self, index: int, count: int) -> None:
        """Records the slots that were published for a host; 0 removes the host."""
        if count:
            self.published[index] = count
        else:
            self.published.pop(index, None)


@dataclass(eq=False, slots=True, kw_only=True)
class InterimTable(PublishedTable):
    """A small table for proxies that cannot be bound to a complete table in time.

    Attributes:
        base: The complete table from which it takes some of the hosts.
        users: The proxies that are bound to it.
        rate: Sum of the users' usual rates, in requests per second.
    """

    base: PublishedTable
    users: set[int] = field(default_factory=set)
    rate: float = 0.0


@dataclass(slots=True)
class Change:
    """A change of a host's slots in one table that is not published yet.

    Attributes:
        gain: Benefit of the change: the share of a proxy's requests that it moves, weighted by how
            much moving them is worth.
        urgent: Whether the change must go with the next possible message, whatever its gain.
        table: The table.
        index: The host's index in the host statistics.
        count: The new number of slots; 0 removes the host.
    """

    gain: float
    urgent: bool
    table: PublishedTable
    index: int
    count: int
