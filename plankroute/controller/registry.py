"""Proxy registry: joined proxies, the tables as last pushed, and who is bound to them; no decision."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from plankroute.controller.channel import Channel
from plankroute.controller.host_statistics import HostStatistics
from plankroute.controller.scheduler import Actor, Scheduler
from plankroute.events import commands, events


@dataclass(eq=False, slots=True)
class Pushed:
    """Slots of the hosts that some products may use; None: no limit, or for every proxy."""

    number: int
    zones: tuple[int, ...] | None
    kinds: tuple[int, ...] | None
    proxy_zone: int | None
    products: list[int] = field(default_factory=list)
    pushed: dict[int, int] = field(default_factory=dict)

    def admits(self, figures: HostStatistics, place: int) -> bool:
        return (self.zones is None or figures.zone[place] in self.zones) and (
            self.kinds is None or figures.kind[place] in self.kinds
        )

    def held_in(self, proxy_zone: int) -> bool:
        return self.proxy_zone in (None, proxy_zone)

    def lines(self, held: set[int]) -> int:
        """Of a bind to it: the hosts held back, or let back, are lines of their own."""
        return 1 + len(self.pushed) + 2 * len(self.products) + len(self.pushed.keys() & held)

    def set(self, place: int, count: int) -> None:
        self.pushed[place] = count
        if not count:
            del self.pushed[place]


class Change(NamedTuple):
    """A slot that differs from the one pushed."""

    worth: float  # the part of a proxy's txns that it moves
    urgent: bool
    table: Pushed
    place: int
    count: int


class ProxyRegistry(Actor):
    """Joined proxies, those on the tables and those that wait to be bound, the tables, and the channel."""

    def __init__(self, desk: Scheduler, tables: list[Any], channel: Channel) -> None:
        super().__init__(desk)
        self.tables, self.channel = tables, channel
        self.zone_of, self.bound = (
            dict[int, int](),
            set[int](),
        )  # joined proxies; those on the tables
        self.unbound: dict[int, tuple[bool, float]] = {}  # the others: on old tables? rate
        self.olds = set[
            int
        ]()  # those that came on old tables, and may hold back what others held against it
        self.knows: dict[
            int, set[int]
        ] = {}  # by host that is gone, who was told so on the present stream
        self.broken: dict[int, int] = {}  # by proxy, when its stream ended, of late

    def join(self, note: events.ProxyJoined) -> None:
        self.zone_of[note.proxy] = note.zone
        self.unbound[note.proxy] = (not note.fresh, -note.usual_rate)
        if not note.fresh:
            self.olds.add(note.proxy)

    def leave(self, proxy: int) -> None:
        self.bound.discard(proxy)
        self.olds.discard(proxy)
        for told in self.knows.values():
            told.discard(proxy)
        self.zone_of.pop(proxy, None)
        self.unbound.pop(proxy, None)
        self.channel.left(proxy)

    def fresh_zones(self) -> set[int]:
        """Of those who wait on the tables that they began with."""
        return {self.zone_of[proxy] for proxy, (is_old, _) in self.unbound.items() if not is_old}

    def broken_since(self, proxy: int, now: int, span_us: int) -> int:
        """One more ended: of how many proxies within the span. One that joins without end counts once."""
        self.broken = {other: at for other, at in self.broken.items() if at > now - span_us} | {
            proxy: now
        }
        return len(self.broken)

    def users(self, table: Pushed) -> list[int]:
        return [proxy for proxy in self.bound if table.held_in(self.zone_of[proxy])]

    def payers(self, table: Pushed, place: int, once: set[int]) -> list[int]:
        """The table's users, a line each for the host's next; twice to whom it is let back with its first."""
        users, is_first = self.users(table), place in once and place not in table.pushed
        return users + [proxy for proxy in users if is_first and proxy in self.olds]

    def order(self, order: commands.Order, proxies: Iterable[int], lines: int = 1) -> None:
        """Gives the order out; each of the proxies is written so many lines for it."""
        self.desk.out.append(order)
        self.channel.charge(proxies, lines)

    def close(self) -> None:
        """Marks what this batch wrote: the answers tell when it has left the channel."""
        if mark := self.channel.close():
            self.desk.out.append(commands.Mark(mark))

    def naming(self, host: int) -> list[Any]:
        return [table for table in self.tables if host in table.pushed]

    def gone_lines(self, host: int) -> int:
        """Lines that tell who is on a table that names the host, or may be on one."""
        if len(tables := self.naming(host)) > 1:
            return len(self.zone_of)
        untold = self.unbound.keys() - self.knows.get(host, set())
        return len(untold) + sum(len(self.users(table)) for table in tables)

    def tell(self, host: int, proxies: Iterable[int]) -> list[int]:
        """Of the proxies, those that were not told on their present streams; they are from here on."""
        knows = self.knows.setdefault(host, set())
        new = [proxy for proxy in proxies if proxy not in knows]
        knows.update(new)
        return new


def even_cap(rates: list[float], total: float) -> float | None:
    """The cap at which rates, each cut down to it, add up to the total; None where they do without."""
    for place, rate in enumerate(sorted(rates)):
        if (even := total / (len(rates) - place)) <= rate:
            return even
        total -= rate
    return None


def in_whole(exact: dict[int, float]) -> dict[int, int]:
    """Floors, and the ones that are then missing to the largest remainders."""
    counts = {i: int(value) for i, value in exact.items()}
    missing = round(sum(exact.values())) - sum(counts.values())
    for i in sorted(counts, key=lambda i: (counts[i] - exact[i], i))[:missing]:
        counts[i] += 1
    return counts
