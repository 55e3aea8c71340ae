"""Proxy registry: joined proxies, the tables as last pushed, and who is bound to them; no decision."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from plankroute.events import commands, events
from plankroute.state.channel import Channel
from plankroute.state.host_statistics import HostStatistics
from plankroute.state.scheduler import Actor, Scheduler


@dataclass(eq=False, slots=True)
class PublishedTable:
    """Slots of the hosts that some products may use; None: no limit, or for every proxy."""

    number: int
    zones: tuple[int, ...] | None
    machine_types: tuple[int, ...] | None
    proxy_zone: int | None
    products: list[int] = field(default_factory=list)
    published: dict[int, int] = field(default_factory=dict)

    def admits(self, figures: HostStatistics, index: int) -> bool:
        return (self.zones is None or figures.zone[index] in self.zones) and (
            self.machine_types is None or figures.machine_type[index] in self.machine_types
        )

    def serves_zone(self, proxy_zone: int) -> bool:
        return self.proxy_zone in (None, proxy_zone)

    def lines(self, held: set[int]) -> int:
        """Of a bind to it: the hosts held back, or let back, are lines of their own."""
        return 1 + len(self.published) + 2 * len(self.products) + len(self.published.keys() & held)

    def set(self, index: int, count: int) -> None:
        self.published[index] = count
        if not count:
            del self.published[index]


class Change(NamedTuple):
    """A slot that differs from the one pushed."""

    gain: float  # the part of a proxy's txns that it moves
    urgent: bool
    table: PublishedTable
    index: int
    count: int


class ProxyRegistry(Actor):
    """Joined proxies, those on the tables and those that wait to be bound, the tables, and the channel."""

    def __init__(self, scheduler: Scheduler, tables: list[Any], channel: Channel) -> None:
        super().__init__(scheduler)
        self.tables, self.channel = tables, channel
        self.zone_of_proxy, self.bound = (
            dict[int, int](),
            set[int](),
        )  # joined proxies; those on the tables
        self.unbound: dict[int, tuple[bool, float]] = {}  # the others: on old tables? rate
        self.returning = set[
            int
        ]()  # those that came on old tables, and may hold back what others held against it
        self.notified: dict[
            int, set[int]
        ] = {}  # by host that is gone, who was told so on the present stream
        self.disconnected_at: dict[int, int] = {}  # by proxy, when its stream ended, of late

    def join(self, event: events.ProxyJoined) -> None:
        self.zone_of_proxy[event.proxy] = event.zone
        self.unbound[event.proxy] = (not event.fresh, -event.usual_rate)
        if not event.fresh:
            self.returning.add(event.proxy)

    def leave(self, proxy: int) -> None:
        self.bound.discard(proxy)
        self.returning.discard(proxy)
        for told in self.notified.values():
            told.discard(proxy)
        self.zone_of_proxy.pop(proxy, None)
        self.unbound.pop(proxy, None)
        self.channel.left(proxy)

    def unbound_zones(self) -> set[int]:
        """Of those who wait on the tables that they began with."""
        return {
            self.zone_of_proxy[proxy] for proxy, (is_old, _) in self.unbound.items() if not is_old
        }

    def count_disconnects(self, proxy: int, now: int, span_us: int) -> int:
        """One more ended: of how many proxies within the span. One that joins without end counts once."""
        self.disconnected_at = {
            other: at for other, at in self.disconnected_at.items() if at > now - span_us
        } | {proxy: now}
        return len(self.disconnected_at)

    def users(self, table: PublishedTable) -> list[int]:
        return [proxy for proxy in self.bound if table.serves_zone(self.zone_of_proxy[proxy])]

    def recipients(
        self, table: PublishedTable, index: int, possibly_withdrawn: set[int]
    ) -> list[int]:
        """The table's users, a line each for the host's next; twice to whom it is let back with its first."""
        users, is_first = (
            self.users(table),
            index in possibly_withdrawn and index not in table.published,
        )
        return users + [proxy for proxy in users if is_first and proxy in self.returning]

    def command(self, command: commands.Command, proxies: Iterable[int], lines: int = 1) -> None:
        """Gives the order out; each of the proxies is written so many lines for it."""
        self.scheduler.out.append(command)
        self.channel.charge(proxies, lines)

    def close(self) -> None:
        """Marks what this batch wrote: the answers tell when it has left the channel."""
        if mark := self.channel.close():
            self.scheduler.out.append(commands.RequestAcknowledgement(mark))

    def tables_with(self, host: int) -> list[Any]:
        return [table for table in self.tables if host in table.published]

    def withdrawal_lines(self, host: int) -> int:
        """Lines that tell who is on a table that names the host, or may be on one."""
        if len(tables := self.tables_with(host)) > 1:
            return len(self.zone_of_proxy)
        untold = self.unbound.keys() - self.notified.get(host, set())
        return len(untold) + sum(len(self.users(table)) for table in tables)

    def tell(self, host: int, proxies: Iterable[int]) -> list[int]:
        """Of the proxies, those that were not told on their present streams; they are from here on."""
        notified = self.notified.setdefault(host, set())
        new = [proxy for proxy in proxies if proxy not in notified]
        notified.update(new)
        return new


def even_rate_cap(rates: list[float], total: float) -> float | None:
    """The cap at which rates, each cut down to it, add up to the total; None where they do without."""
    for index, rate in enumerate(sorted(rates)):
        if (even := total / (len(rates) - index)) <= rate:
            return even
        total -= rate
    return None


def round_preserving_sum(exact: dict[int, float]) -> dict[int, int]:
    """Floors, and the ones that are then missing to the largest remainders."""
    counts = {i: int(value) for i, value in exact.items()}
    missing = round(sum(exact.values())) - sum(counts.values())
    for i in sorted(counts, key=lambda i: (counts[i] - exact[i], i))[:missing]:
        counts[i] += 1
    return counts
