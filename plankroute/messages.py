"""Plays a batch's orders into one message a proxy, as the wire's page says; it judges nothing.

A proxy knows only what reached it on its stream; tables, levels and hosts held back are kept here as ordered,
so that a proxy that is bound gets the whole of them and the others get what changes.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from plankroute.interface import notes, orders
from plankroute.interface.notes import HostState
from plankroute.interface.orders import ALL_TABLES

Level = tuple[float, orders.Retry]


@dataclass(slots=True)
class Part:
    """Lines and a level for some products; `whole`: the lines replace the table and its levels."""

    products: tuple[int, ...]
    whole: bool = False
    lines: dict[int, float] = field(default_factory=dict)
    level: Level | None = None


@dataclass(slots=True)
class Message:
    """What one proxy is sent in one batch; `held`: by host, whether it is held back from now on."""

    proxy: int
    parts: list[Part]
    held: dict[int, bool]
    mark: int | None

    def cost(self) -> int:
        """Lines that the channel counts for it, its head left out."""
        parts = sum(part.whole + len(part.lines) + (part.level is not None) for part in self.parts)
        return parts + len(self.held) + (self.mark is not None)


@dataclass(slots=True)
class Draft:
    """A message while orders are played: by product, as later orders overtake earlier ones."""

    whole: set[int] = field(default_factory=set)
    lines: dict[int, dict[int, float]] = field(default_factory=dict)
    levels: dict[int, Level] = field(default_factory=dict)
    held: dict[int, bool] = field(default_factory=dict)

    def replace(self, product: int, lines: dict[int, float], level: Level | None) -> None:
        self.whole.add(product)
        self.lines[product] = dict(lines)
        self.levels.pop(product, None)
        if level:
            self.levels[product] = level

    def set_line(self, product: int, host: int, weight: float) -> None:
        lines = self.lines.setdefault(product, {})
        lines[host] = weight
        if not weight and product in self.whole:
            del lines[host]

    def parts(self) -> list[Part]:
        """Products with the same lines share a part; levels that differ within it have parts of their own."""
        shared: dict[tuple, list[int]] = {}
        for product in sorted(self.whole | self.lines.keys()):
            key = (product in self.whole, tuple(self.lines.get(product, {}).items()))
            shared.setdefault(key, []).append(product)
        parts, said = [], set[int]()
        for (whole, lines), products in shared.items():
            levels = {self.levels.get(product) for product in products}
            level = levels.pop() if len(levels) == 1 else None
            said.update(products if level else ())
            parts.append(Part(tuple(products), whole, dict(lines), level))
        alone: dict[Level, list[int]] = {}
        for product in sorted(self.levels.keys() - said):
            alone.setdefault(self.levels[product], []).append(product)
        return parts + [Part(tuple(products), level=level) for level, products in alone.items()]


@dataclass(slots=True)
class Stream:
    """A joined proxy. `told`: by host, what it was told on this stream; nothing else is certain.

    A proxy keeps hosts held back across streams: one that was not fresh may still hold back any host that
    this or another steward ever had reason to hold back.
    """

    fresh: bool
    tables: dict[int, int] = field(default_factory=dict)  # by product
    told: dict[int, bool] = field(default_factory=dict)


class Player:
    """Tables, levels and hosts held back as ordered, and what each joined proxy has of them."""

    def __init__(self, products: int) -> None:
        self.products = range(products)
        self.streams: dict[int, Stream] = {}
        self.tables: dict[int, dict[int, float]] = {}
        self.levels: dict[tuple[int | None, int], Level] = {}
        self.held_back, self.once_held = set[int](), set[int]()
        self.drafts: dict[int, Draft] = {}

    def hear(self, note: notes.Note) -> None:
        match note:
            case notes.ProxyJoined():
                self.streams[note.proxy] = Stream(note.fresh)
            case notes.ProxyLeft():
                self.streams.pop(note.proxy, None)
            case notes.HostList():
                self.once_held.update(entry.host for entry in note.entries
                                      if entry.state is not HostState.READY or entry.started_us)

    def forget(self, host: int) -> None:
        """Nobody is told of it any more; who was told to hold it back is no longer certain of anything."""
        self.held_back.discard(host)
        self.once_held.discard(host)
        for stream in self.streams.values():
            stream.fresh = not stream.told.pop(host, False) and stream.fresh

    def play(self, batch: Iterable[orders.Order]) -> list[Message]:
        self.drafts, mark = {}, None
        for order in batch:
            match order:
                case orders.SetLine():
                    self.set_line(order)
                case orders.Bind():
                    self.bind(order)
                case orders.Withdraw():
                    self.withdraw(order)
                case orders.SetLevel():
                    self.set_level(order)
                case orders.ClearTable():
                    self.clear(order.table)
                case orders.Mark():
                    mark = order
        if mark and mark.everyone:
            for proxy in self.streams:
                self.draft(proxy)
        return [self.message(proxy, draft, mark) for proxy, draft in self.drafts.items()]

    def message(self, proxy: int, draft: Draft, mark: orders.Mark | None) -> Message:
        for product in self.products:
            table = self.streams[proxy].tables.get(product)
            if (ALL_TABLES, product) in self.levels and (level := self.level(table, product)):
                draft.levels[product] = level  # these go with every message
        return Message(proxy, draft.parts(), draft.held, mark.serial if mark else None)

    def draft(self, proxy: int) -> Draft:
        return self.drafts.setdefault(proxy, Draft())

    def users(self, table: int) -> Iterable[tuple[int, list[int]]]:
        """Proxies on the table, each with the products for which it is."""
        for proxy, stream in self.streams.items():
            if products := [product for product, number in stream.tables.items() if number == table]:
                yield proxy, products

    def set_line(self, order: orders.SetLine) -> None:
        lines = self.tables.setdefault(order.table, {})
        lines[order.host] = order.weight
        if not order.weight:
            del lines[order.host]
        for proxy, products in self.users(order.table):
            for product in products:
                self.draft(proxy).set_line(product, order.host, order.weight)
            if order.weight:
                self.agree(proxy, order.host)

    def bind(self, order: orders.Bind) -> None:
        stream, lines = self.streams.get(order.proxy), self.tables.get(order.table, {})
        if stream is None:
            return
        for product in self.products if order.products is None else order.products:
            stream.tables[product] = order.table
            self.draft(order.proxy).replace(product, lines, self.level(order.table, product))
        for host in lines:
            self.agree(order.proxy, host)

    def agree(self, proxy: int, host: int) -> None:
        """A bound proxy follows this steward's word alone on the hosts of its tables."""
        stream, want = self.streams[proxy], host in self.held_back
        unsure = not stream.fresh and host in self.once_held
        if want != stream.told.get(host, not want if unsure else False):
            self.tell(proxy, host, want)

    def tell(self, proxy: int, host: int, out: bool) -> None:
        self.streams[proxy].told[host] = self.draft(proxy).held[host] = out

    def withdraw(self, order: orders.Withdraw) -> None:
        self.once_held.add(order.host)
        (self.held_back.add if order.out else self.held_back.discard)(order.host)
        for proxy, stream in self.streams.items():
            unbound = any(product not in stream.tables for product in self.products)  # on tables not known
            may_send = unbound or any(order.host in self.tables.get(t, {}) for t in stream.tables.values())
            if may_send and stream.told.get(order.host) is not order.out:
                self.tell(proxy, order.host, order.out)

    def set_level(self, order: orders.SetLevel) -> None:
        products = self.products if order.products is None else order.products
        for product in products:
            self.levels[order.table, product] = order.level, order.retry
        if order.table is ALL_TABLES:
            for proxy in self.streams:
                self.draft(proxy)
            return
        for proxy, held in self.users(order.table):
            for product in set(held).intersection(products):
                if level := self.level(order.table, product):
                    self.draft(proxy).levels[product] = level

    def level(self, table: int | None, product: int) -> Level | None:
        """Where a level is set for the table and for all, the lower holds, and the table's own retry."""
        own, common = self.levels.get((table, product)), self.levels.get((ALL_TABLES, product))
        return (min(own[0], common[0]), own[1]) if own and common else own or common

    def clear(self, table: int) -> None:
        self.tables[table] = {}
        self.levels = {key: level for key, level in self.levels.items() if key[0] != table}
        for proxy, products in self.users(table):
            for product in products:
                self.draft(proxy).replace(product, {}, self.level(table, product))
