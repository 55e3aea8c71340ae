"""Orders played into messages, beside a plain replay of what the wire's page says that orders mean."""

import random

import pytest
from support.controller_model import DRAINING, entry, full

from plankroute.controller.message_builder import MessageBuilder
from plankroute.controller.messages import Message, TableUpdate
from plankroute.events import commands, events
from plankroute.events.commands import RetryPolicy
from plankroute.net.proxies.line_codec import MAX_MESSAGE_PARTS, ROWS_PER_PART, MessageEncoder

PRODUCTS = ("view", "edit", "pay")


def uid(host: int) -> str:
    return f"s-{host:08x}"


def joined(proxy: int, fresh: bool = True) -> events.ProxyJoined:
    return events.ProxyJoined(proxy, 0, 10.0, fresh)


class Replay:
    """What joined proxies do by the orders' own meaning, one order after another."""

    def __init__(self) -> None:
        self.tables: dict[int, dict[int, float]] = {}
        self.levels: dict[tuple[int | None, int], tuple[float, int]] = {}
        self.bound: dict[int, dict[int, int]] = {}
        self.held = set[int]()

    def obey(self, order: commands.Command) -> None:
        match order:
            case commands.SetRoute(table, host, weight):
                self.tables.setdefault(table, {})[host] = weight
            case commands.ClearTable(table):
                self.tables.pop(table, None)
                self.levels = {key: level for key, level in self.levels.items() if key[0] != table}
            case commands.WithdrawHost(host, out):
                (self.held.add if out else self.held.discard)(host)
            case commands.BindProxy(table, proxy, products) if proxy in self.bound:
                for product in range(len(PRODUCTS)) if products is None else products:
                    self.bound[proxy][product] = table
            case commands.SetAdmissionLimit(table, products, level, retry):
                for product in range(len(PRODUCTS)) if products is None else products:
                    self.levels[table, product] = (level, int(retry))

    def picks(self, proxy: int, product: int) -> dict[int, float]:
        lines = self.tables.get(self.bound[proxy][product], {})
        return {host: weight for host, weight in lines.items() if weight and host not in self.held}

    def level(self, proxy: int, product: int) -> tuple[float, int] | None:
        tables = (self.bound[proxy].get(product, -1), None)
        own, common = (self.levels.get((table, product)) for table in tables)
        return (min(own[0], common[0]), own[1]) if own and common else own or common


class Proxy:
    """A proxy as the protocol has it: rows and levels by product; hosts shut out outlive streams."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, float]] = {name: {} for name in PRODUCTS}
        self.levels: dict[str, tuple[float, int]] = {}
        self.shut, self.stamps, self.messages = set[str](), list[int](), 0

    def read(self, data: bytes) -> int:
        """Applies what came, and returns the lines that the channel counts for it."""
        lines = 0
        for line in data.decode().split("\r\n")[:-1]:
            kind, *words = line.split(" ")
            said = dict(word.split("=") for word in words)
            assert kind == "push" and len(said) == len(words)
            names = said["for"].split("+") if "for" in said else PRODUCTS
            for name in names if "replace" in said else ():
                self.rows[name] = {}
                self.levels.pop(name, None)
            rows = [row.split(":") for row in said["rows"].split(",")] if "rows" in said else []
            for name in names:
                for host, weight in rows:
                    self.rows[name][host] = float(weight)
                if "gate" in said:
                    self.levels[name] = (float(said["gate"]), int(said["again"]))
            shut, back = (
                [h for h in said.get(key, "").split(",") if h] for key in ("drop", "undrop")
            )
            self.shut = (self.shut | set(shut)) - set(back)
            self.stamps += [int(said["stamp"])] if "stamp" in said else []
            self.messages += "part" not in said
            lines += len(rows) + len(shut) + len(back)
            lines += sum(key in said for key in ("replace", "gate", "stamp"))
        return lines

    def picks(self, product: int) -> dict[str, float]:
        rows = self.rows[PRODUCTS[product]]
        return {host: weight for host, weight in rows.items() if weight and host not in self.shut}


class Side:
    """One steward's player and writer, beside the replay of its orders."""

    def __init__(self) -> None:
        self.message_builder, self.replay, self.writer = (
            MessageBuilder(len(PRODUCTS)),
            Replay(),
            MessageEncoder(PRODUCTS, uid),
        )

    def join(self, number: int, proxy: Proxy, fresh: bool) -> None:
        self.message_builder.observe(joined(number, fresh))
        self.replay.bound[number] = {}
        if fresh:
            proxy.shut.clear()

    def leave(self, number: int) -> None:
        self.message_builder.observe(events.ProxyLeft(number))
        del self.replay.bound[number]

    def order(self, batch: list[commands.Command], proxies: dict[int, Proxy]) -> list[Message]:
        for order in batch:
            self.replay.obey(order)
        messages = self.message_builder.build(batch)
        for message in messages:
            assert proxies[message.proxy].read(self.writer.encode(message)) == message.line_count()
        for number, bound in self.replay.bound.items():
            for product in bound:
                wanted = {
                    uid(host): weight for host, weight in self.replay.picks(number, product).items()
                }
                assert proxies[number].picks(product) == wanted
                assert proxies[number].levels.get(PRODUCTS[product]) == self.replay.level(
                    number, product
                )
        return messages


def some_orders(chance: random.Random, drained: list[int]) -> list[commands.Command]:
    def products() -> tuple[int, ...] | None:
        return chance.choice([None, (0,), (1, 2), (0, 1, 2)])

    def one() -> commands.Command:
        table, host = chance.randrange(3), chance.randrange(8)
        return chance.choice(
            [
                commands.SetRoute(table, host, float(chance.randrange(4))),
                commands.SetRoute(table, host, float(chance.randrange(1, 4))),
                commands.BindProxy(table, chance.randrange(4), products()),
                commands.SetAdmissionLimit(
                    chance.choice([table, None]),
                    products(),
                    chance.choice([0.25, 0.5, 1.0]),
                    chance.choice([RetryPolicy.NEVER, RetryPolicy.IF_NOT_EXECUTED]),
                ),
                commands.WithdrawHost(chance.choice(drained or [host]), chance.random() < 0.5)
                if drained
                else commands.ClearTable(table),
                commands.ClearTable(table)
                if chance.random() < 0.2
                else commands.SetRoute(table, host, 1.0),
            ]
        )

    return [one() for _ in range(chance.randrange(1, 7))]


@pytest.mark.parametrize("seed", range(60))
def test_proxies_do_by_their_messages_what_the_orders_mean(seed):
    """Two stewards, between which proxies move with what they hold back."""
    chance, sides, proxies = random.Random(seed), (Side(), Side()), {n: Proxy() for n in range(4)}
    at: dict[int, Side | None] = dict.fromkeys(proxies)
    drained: list[int] = []
    for _ in range(60):
        number, roll = chance.randrange(4), chance.random()
        if roll < 0.1 and len(drained) < 6:
            drained.append(chance.randrange(8))
            for side in sides:
                side.message_builder.observe(full(entry(drained[-1], DRAINING)))
        elif roll < 0.3:
            if old := at[number]:
                old.leave(number)
            at[number] = chance.choice(sides)
            at[number].join(number, proxies[number], fresh=chance.random() < 0.3)
        else:
            chance.choice(sides).order(some_orders(chance, drained), proxies)


def messages_for(*batch: commands.Command, fresh: bool = True) -> list[Message]:
    message_builder = MessageBuilder(len(PRODUCTS))
    message_builder.observe(joined(0, fresh))
    message_builder.observe(joined(1, fresh))
    return message_builder.build(batch)


def test_a_bind_is_a_whole_table_with_its_level_hosts_held_back_and_mark():
    (message,) = messages_for(
        commands.SetAdmissionLimit(0, None, 1.0, RetryPolicy.IF_NOT_EXECUTED),
        commands.SetRoute(0, 7, 3.0),
        commands.SetRoute(0, 8, 1.5),
        commands.BindProxy(0, 1),
        commands.RequestAcknowledgement(905),
    )
    assert MessageEncoder(PRODUCTS, uid).encode(message) == (
        b"push replace=1 rows=s-00000007:3,s-00000008:1.5 gate=1 again=1 stamp=905\r\n"
    )
    assert (
        message.line_count() == 5
    )  # the bind's line, two lines, a level and the mark, as the wire counts


def test_orders_reach_only_proxies_that_use_the_table_and_marks_everyone_if_so_ordered():
    batch = [commands.BindProxy(0, 1), commands.SetRoute(0, 7, 3.0)]
    assert [m.proxy for m in messages_for(*batch, commands.RequestAcknowledgement(1))] == [1]
    assert {
        m.proxy: m.sequence_number
        for m in messages_for(*batch, commands.RequestAcknowledgement(1, all_proxies=True))
    } == {
        0: 1,
        1: 1,
    }


def test_a_host_is_held_back_only_where_its_lines_are_or_may_be():
    message_builder = MessageBuilder(1)
    for proxy in (0, 1, 2):
        message_builder.observe(joined(proxy))
    message_builder.build(
        [
            commands.SetRoute(0, 7, 1.0),
            commands.SetRoute(1, 8, 1.0),
            commands.BindProxy(0, 0),
            commands.BindProxy(1, 1),
        ]
    )
    assert {m.proxy for m in message_builder.build([commands.WithdrawHost(7, True)])} == {0, 2}


def test_a_host_let_back_while_out_of_the_table_is_let_back_with_its_next_line():
    """Guards against a host that stays shut out for good: the proxy keeps what it was told."""
    message_builder = MessageBuilder(1)
    message_builder.observe(joined(0))
    message_builder.build(
        [commands.SetRoute(0, 7, 1.0), commands.SetRoute(0, 8, 1.0), commands.BindProxy(0, 0)]
    )
    message_builder.build([commands.WithdrawHost(7, True), commands.SetRoute(0, 7, 0.0)])
    assert message_builder.build([commands.WithdrawHost(7, False)]) == []
    (message,) = message_builder.build([commands.SetRoute(0, 7, 2.0)])
    assert message.withdrawn == {7: False} and message.updates[0].routes == {7: 2.0}


def test_what_does_not_fit_one_message_goes_on_in_parts():
    lines = {host: 1.0 for host in range(2 * ROWS_PER_PART + 1)}
    data = MessageEncoder(PRODUCTS, uid).encode(
        Message(0, [TableUpdate((0, 1, 2), True, lines)], {}, 5)
    )
    assert [b"part=1" in line for line in data.split(b"\r\n")] == [True, True, False, False]
    proxy = Proxy()
    assert proxy.read(data) == len(lines) + 2
    assert len(proxy.rows["edit"]) == len(lines) and proxy.messages == 1
    many = Message(
        0, [TableUpdate((0,), routes={host: 1.0}) for host in range(MAX_MESSAGE_PARTS + 1)], {}, 6
    )
    proxy.read(MessageEncoder(PRODUCTS, uid).encode(many))
    assert proxy.messages == 3 and len(proxy.rows["view"]) == len(lines)
