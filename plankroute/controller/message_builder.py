"""Plays a batch's orders into one message a proxy, as the wire's page says; it judges nothing.

A proxy knows only what reached it on its stream; tables, levels and hosts held back are kept here as ordered,
so that a proxy that is bound gets the whole of them and the others get what changes.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from plankroute.controller.messages import AdmissionLimit, Message, TableUpdate
from plankroute.events import commands, events
from plankroute.events.commands import ALL_TABLES
from plankroute.events.events import HostState


@dataclass(slots=True)
class Draft:
    """A message while orders are played: by product, as later orders overtake earlier ones."""

    whole: set[int] = field(default_factory=set)
    lines: dict[int, dict[int, float]] = field(default_factory=dict)
    levels: dict[int, AdmissionLimit] = field(default_factory=dict)

    def copy(self) -> "Draft":
        return Draft(
            set(self.whole),
            {product: dict(lines) for product, lines in self.lines.items()},
            dict(self.levels),
        )

    def replace(self, product: int, lines: dict[int, float], level: AdmissionLimit | None) -> None:
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

    def parts(self) -> list[TableUpdate]:
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
            parts.append(TableUpdate(tuple(products), whole, dict(lines), level))
        alone: dict[AdmissionLimit, list[int]] = {}
        for product in sorted(self.levels.keys() - said):
            alone.setdefault(self.levels[product], []).append(product)
        return parts + [
            TableUpdate(tuple(products), admission_limit=level) for level, products in alone.items()
        ]


Tables = tuple[int | None, ...]  # by product; None: on a table that is not known


@dataclass(slots=True)
class ProxyStream:
    """A joined proxy. `told`: by host, what it was told on this stream; nothing else is certain.

    A proxy keeps hosts held back across streams: one that was not fresh may still hold back any host that
    this or another steward ever had reason to hold back.
    """

    fresh: bool
    tables: Tables
    notified: dict[int, bool] = field(default_factory=dict)


class MessageBuilder:
    """Tables, levels and hosts held back as ordered, and what each joined proxy has of them.

    Proxies on the same tables share one draft, so that a line ordered for hundreds is played, and written,
    once; those that are bound in a batch have drafts of their own in it.
    """

    def __init__(self, products: int) -> None:
        self.products = range(products)
        self.streams: dict[int, ProxyStream] = {}
        self.groups: dict[Tables, dict[int, None]] = {}  # proxies by the tables that they are on
        self.tables: dict[int, dict[int, float]] = {}
        self.levels: dict[tuple[int | None, int], AdmissionLimit] = {}
        self.withdrawn_hosts, self.ever_withdrawn = set[int](), set[int]()
        # Of the batch: drafts by tables and by proxy, hosts held back by proxy, who is written to, in order
        self.shared: dict[Tables, Draft] = {}
        self.own: dict[int, Draft] = {}
        self.withdrawn: dict[int, dict[int, bool]] = {}
        self.concerned: dict[int, None] = {}

    def observe(self, event: events.Event) -> None:
        match event:
            case events.ProxyJoined():
                self.leave(event.proxy)
                self.streams[event.proxy] = ProxyStream(event.fresh, (None,) * len(self.products))
                self.group(event.proxy)
            case events.ProxyLeft():
                self.leave(event.proxy)
            case events.HostList():
                self.ever_withdrawn.update(
                    entry.host
                    for entry in event.entries
                    if entry.state is not HostState.READY or entry.started_us
                )

    def group(self, proxy: int) -> None:
        self.groups.setdefault(self.streams[proxy].tables, {})[proxy] = None

    def leave(self, proxy: int) -> None:
        if stream := self.streams.pop(proxy, None):
            self.ungroup(proxy, stream.tables)

    def ungroup(self, proxy: int, tables: Tables) -> None:
        del self.groups[tables][proxy]
        if not self.groups[tables]:
            del self.groups[tables]

    def forget(self, host: int) -> None:
        """Nobody is told of it any more; who was told to hold it back is no longer certain of anything."""
        self.withdrawn_hosts.discard(host)
        self.ever_withdrawn.discard(host)
        for stream in self.streams.values():
            stream.fresh = not stream.notified.pop(host, False) and stream.fresh

    def build(self, batch: Iterable[commands.Command]) -> list[Message]:
        self.shared, self.own, self.withdrawn, self.concerned, mark = {}, {}, {}, {}, None
        for command in batch:
            match command:
                case commands.SetRoute():
                    self.set_line(command)
                case commands.BindProxy():
                    self.bind(command)
                case commands.WithdrawHost():
                    self.withdraw(command)
                case commands.SetAdmissionLimit():
                    self.set_level(command)
                case commands.ClearTable():
                    self.clear(command.table)
                case commands.RequestAcknowledgement():
                    mark = command
        if mark and mark.all_proxies:
            self.concerned |= dict.fromkeys(self.streams)
        return self.messages(mark.sequence_number if mark else None)

    def messages(self, mark: int | None) -> list[Message]:
        """Proxies with the same parts hold the very same list of them: it is written once."""
        parts: dict[Tables, list[TableUpdate]] = {}
        out = []
        for proxy in self.concerned:
            tables = self.streams[proxy].tables
            if proxy in self.own:
                said = self.with_common(tables, self.own[proxy]).parts()
            elif (said := parts.get(tables)) is None:
                said = parts[tables] = self.with_common(
                    tables, self.shared.get(tables, Draft())
                ).parts()
            out.append(Message(proxy, said, self.withdrawn.get(proxy, {}), mark))
        return out

    def with_common(self, tables: Tables, draft: Draft) -> Draft:
        """Levels for all tables go with every message."""
        for product, table in zip(self.products, tables):
            if (ALL_TABLES, product) in self.levels and (level := self.level(table, product)):
                draft.levels[product] = level
        return draft

    def drafts(self, table: int) -> Iterable[tuple[Draft, list[int]]]:
        """Of all proxies on the table, each with the products for which they are."""
        for tables, proxies in self.groups.items():
            if table in tables:
                if tables not in self.shared:
                    self.shared[tables] = Draft()
                    self.concerned |= proxies
                yield self.shared[tables], self.products_on(table, tables)
        for proxy, draft in self.own.items():
            if table in (tables := self.streams[proxy].tables):
                yield draft, self.products_on(table, tables)

    def products_on(self, table: int, tables: Tables) -> list[int]:
        return [product for product, number in enumerate(tables) if number == table]

    def set_line(self, command: commands.SetRoute) -> None:
        lines = self.tables.setdefault(command.table, {})
        lines[command.host] = command.weight
        if not command.weight:
            del lines[command.host]
        for draft, products in self.drafts(command.table):
            for product in products:
                draft.set_line(product, command.host, command.weight)
        for tables, proxies in self.groups.items() if command.weight else ():
            if command.table in tables:
                for proxy in proxies:
                    self.agree(proxy, command.host)

    def bind(self, command: commands.BindProxy) -> None:
        """From here on in this batch its message is its own; what its group was ordered before is in it."""
        stream, lines = self.streams.get(command.proxy), self.tables.get(command.table, {})
        if stream is None:
            return
        before, tables = stream.tables, list(stream.tables)
        if (draft := self.own.get(command.proxy)) is None:
            draft = self.own[command.proxy] = self.shared.get(before, Draft()).copy()
        self.concerned[command.proxy] = None
        for product in self.products if command.products is None else command.products:
            tables[product] = command.table
            draft.replace(product, lines, self.level(command.table, product))
        self.ungroup(command.proxy, before)
        stream.tables = tuple(tables)
        self.group(command.proxy)
        for host in lines:
            self.agree(command.proxy, host)

    def agree(self, proxy: int, host: int) -> None:
        """A bound proxy follows this steward's word alone on the hosts of its tables."""
        stream, want = self.streams[proxy], host in self.withdrawn_hosts
        unsure = not stream.fresh and host in self.ever_withdrawn
        if want != stream.notified.get(host, not want if unsure else False):
            self.tell(proxy, host, want)

    def tell(self, proxy: int, host: int, out: bool) -> None:
        self.streams[proxy].notified[host] = out
        self.withdrawn.setdefault(proxy, {})[host] = out
        self.concerned[proxy] = None

    def withdraw(self, command: commands.WithdrawHost) -> None:
        self.ever_withdrawn.add(command.host)
        (self.withdrawn_hosts.add if command.withdrawn else self.withdrawn_hosts.discard)(
            command.host
        )
        for tables, proxies in self.groups.items():
            # Those on tables not known may send there too.
            if None in tables or any(
                command.host in self.tables.get(table, {}) for table in tables
            ):
                for proxy in proxies:
                    if self.streams[proxy].notified.get(command.host) is not command.withdrawn:
                        self.tell(proxy, command.host, command.withdrawn)

    def set_level(self, command: commands.SetAdmissionLimit) -> None:
        products = self.products if command.products is None else command.products
        for product in products:
            self.levels[command.table, product] = AdmissionLimit(command.limit, command.retry)
        if command.table is ALL_TABLES:
            self.concerned |= dict.fromkeys(self.streams)
            return
        for draft, withdrawn in self.drafts(command.table):
            for product in set(withdrawn).intersection(products):
                if level := self.level(command.table, product):
                    draft.levels[product] = level

    def level(self, table: int | None, product: int) -> AdmissionLimit | None:
        """Where a level is set for the table and for all, the lower holds, and the table's own retry."""
        own, common = self.levels.get((table, product)), self.levels.get((ALL_TABLES, product))
        return AdmissionLimit(min(own[0], common[0]), own[1]) if own and common else own or common

    def clear(self, table: int) -> None:
        self.tables[table] = {}
        self.levels = {key: level for key, level in self.levels.items() if key[0] != table}
        for draft, products in self.drafts(table):
            for product in products:
                draft.replace(product, {}, self.level(table, product))
