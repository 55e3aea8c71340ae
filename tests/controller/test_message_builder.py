"""Messages that are built from commands, checked against a simple model of the protocol."""

import random

import pytest
from support.controller_model import DRAINING, entry, full_list

from plankroute.controller.message_builder import MessageBuilder
from plankroute.controller.messages import Message, TableUpdate
from plankroute.events import commands, events
from plankroute.events.commands import RetryPolicy
from plankroute.net.proxies.line_codec import MAX_MESSAGE_PARTS, ROWS_PER_PART, MessageEncoder

REQUEST_CLASSES = ("view", "edit", "pay")
LimitAndRetry = tuple[float, int]


def host_name(host: int) -> str:
    return f"s-{host:08x}"


def joined(proxy: int, fresh: bool = True) -> events.ProxyJoined:
    return events.ProxyJoined(proxy, 0, 10.0, fresh)


def encode(message: Message) -> bytes:
    return MessageEncoder(REQUEST_CLASSES, host_name).encode(message)


class CommandReplay:
    """Reference model: the state of joined proxies that the definitions of the commands require.

    Attributes:
        tables: By table, weight by host.
        limits: Admission limit by table (ALL_TABLES for all) and request class.
        bound: By joined proxy, the table that it is bound to for each request class.
        withdrawn: Hosts that are withdrawn.
    """

    def __init__(self) -> None:
        self.tables: dict[int, dict[int, float]] = {}
        self.limits: dict[tuple[int | None, int], LimitAndRetry] = {}
        self.bound: dict[int, dict[int, int]] = {}
        self.withdrawn: set[int] = set()

    def apply(self, command: commands.Command) -> None:
        match command:
            case commands.SetRoute(table, host, weight):
                self.tables.setdefault(table, {})[host] = weight
            case commands.ClearTable(table):
                self.tables.pop(table, None)
                self.limits = {key: limit for key, limit in self.limits.items() if key[0] != table}
            case commands.WithdrawHost(host, True):
                self.withdrawn.add(host)
            case commands.WithdrawHost(host, False):
                self.withdrawn.discard(host)
            case commands.BindProxy(table, proxy, request_classes) if proxy in self.bound:
                for request_class in selected(request_classes):
                    self.bound[proxy][request_class] = table
            case commands.SetAdmissionLimit(limited_table, request_classes, limit, retry):
                for request_class in selected(request_classes):
                    self.limits[limited_table, request_class] = (limit, int(retry))

    def usable_hosts(self, proxy: int, request_class: int) -> dict[int, float]:
        """Returns the weights of the hosts to which the proxy may send a request class."""
        routes = self.tables.get(self.bound[proxy][request_class], {})
        return {
            host: weight for host, weight in routes.items() if weight and host not in self.withdrawn
        }

    def limit(self, proxy: int, request_class: int) -> LimitAndRetry | None:
        own = self.limits.get((self.bound[proxy].get(request_class, -1), request_class))
        common = self.limits.get((commands.ALL_TABLES, request_class))
        if own and common:
            return min(own[0], common[0]), own[1]
        return own or common


def selected(request_classes: tuple[int, ...] | None) -> tuple[int, ...]:
    return tuple(range(len(REQUEST_CLASSES))) if request_classes is None else request_classes


class ModelProxy:
    """Model of a proxy, which applies the messages that it receives.

    As in the protocol, withdrawals stay in force when its stream ends.

    Attributes:
        routes: By request class, weight by host.
        limits: Admission limit by request class.
        withdrawn: Hosts to which it sends nothing.
        has_ordered_table: Whether it was sent a table since its process started.
        acknowledgements: Sequence numbers that it was asked to acknowledge.
        message_count: Messages received; a message in several parts counts once.
    """

    def __init__(self) -> None:
        self.routes: dict[str, dict[str, float]] = {name: {} for name in REQUEST_CLASSES}
        self.limits: dict[str, LimitAndRetry] = {}
        self.withdrawn: set[str] = set()
        self.has_ordered_table = False
        self.acknowledgements: list[int] = []
        self.message_count = 0

    def read(self, data: bytes) -> int:
        """Applies received messages, and returns the lines that the channel counts for them."""
        return sum(self._read_line(line) for line in data.decode().split("\r\n")[:-1])

    def _read_line(self, line: str) -> int:
        kind, *words = line.split(" ")
        fields = dict(word.split("=") for word in words)
        assert kind == "push"
        assert len(fields) == len(words)
        request_classes = fields["for"].split("+") if "for" in fields else list(REQUEST_CLASSES)
        rows = [row.split(":") for row in fields["rows"].split(",")] if "rows" in fields else []
        withdrawn = hosts_of(fields, "drop")
        reinstated = hosts_of(fields, "undrop")
        self.has_ordered_table |= "replace" in fields
        for name in request_classes:
            if "replace" in fields:
                self.routes[name] = {}
                self.limits.pop(name, None)
            for host, weight in rows:
                self.routes[name][host] = float(weight)
            if "gate" in fields:
                self.limits[name] = (float(fields["gate"]), int(fields["again"]))
        self.withdrawn = (self.withdrawn | set(withdrawn)) - set(reinstated)
        if "stamp" in fields:
            self.acknowledgements.append(int(fields["stamp"]))
        if "part" not in fields:
            self.message_count += 1
        single_lines = sum(name in fields for name in ("replace", "gate", "stamp"))
        return len(rows) + len(withdrawn) + len(reinstated) + single_lines

    def usable_hosts(self, request_class: int) -> dict[str, float]:
        routes = self.routes[REQUEST_CLASSES[request_class]]
        return {
            host: weight for host, weight in routes.items() if weight and host not in self.withdrawn
        }


def hosts_of(fields: dict[str, str], name: str) -> list[str]:
    return [host for host in fields.get(name, "").split(",") if host]


class ControllerSide:
    """Message builder and encoder of one controller, with the reference model of its commands."""

    def __init__(self) -> None:
        self.message_builder = MessageBuilder(len(REQUEST_CLASSES))
        self.encoder = MessageEncoder(REQUEST_CLASSES, host_name)
        self.replay = CommandReplay()

    def join(self, number: int, proxy: ModelProxy) -> None:
        self.message_builder.observe(joined(number, fresh=not proxy.has_ordered_table), 0)
        self.replay.bound[number] = {}

    def leave(self, number: int) -> None:
        self.message_builder.observe(events.ProxyLeft(number), 0)
        del self.replay.bound[number]

    def command(self, batch: list[commands.Command], proxies: dict[int, ModelProxy]) -> None:
        """Sends a batch, and checks that the proxies then match the reference model."""
        for command in batch:
            self.replay.apply(command)
        for message in self.message_builder.build(batch):
            lines = proxies[message.proxy].read(self.encoder.encode(message))
            assert lines == message.line_count()
        for number, bound in self.replay.bound.items():
            for request_class in bound:
                self.check(number, proxies[number], request_class)

    def check(self, number: int, proxy: ModelProxy, request_class: int) -> None:
        wanted = self.replay.usable_hosts(number, request_class)
        by_name = {host_name(host): weight for host, weight in wanted.items()}
        assert proxy.usable_hosts(request_class) == by_name
        limit = proxy.limits.get(REQUEST_CLASSES[request_class])
        assert limit == self.replay.limit(number, request_class)


def random_command(rng: random.Random, drained: list[int]) -> commands.Command:
    table = rng.randrange(3)
    host = rng.randrange(8)
    choices: list[commands.Command] = [
        commands.SetRoute(table, host, float(rng.randrange(4))),
        commands.SetRoute(table, host, float(rng.randrange(1, 4))),
        commands.BindProxy(table, rng.randrange(4), random_request_classes(rng)),
        commands.SetAdmissionLimit(
            rng.choice([table, commands.ALL_TABLES]),
            random_request_classes(rng),
            rng.choice([0.25, 0.5, 1.0]),
            rng.choice([RetryPolicy.NEVER, RetryPolicy.IF_NOT_EXECUTED]),
        ),
    ]
    if drained:
        choices.append(commands.WithdrawHost(rng.choice(drained), rng.random() < 0.5))
    else:
        choices.append(commands.ClearTable(table))
    if rng.random() < 0.2:
        choices.append(commands.ClearTable(table))
    else:
        choices.append(commands.SetRoute(table, host, 1.0))
    return rng.choice(choices)


def random_request_classes(rng: random.Random) -> tuple[int, ...] | None:
    return rng.choice([None, (0,), (1, 2), (0, 1, 2)])


def random_commands(rng: random.Random, drained: list[int]) -> list[commands.Command]:
    return [random_command(rng, drained) for _ in range(rng.randrange(1, 7))]


@pytest.mark.parametrize("seed", range(60))
def test_proxies_follow_the_commands_of_their_controller(seed: int) -> None:
    """Guards against withdrawals that survive a move to another controller.

    Proxies move at random between two controllers, and keep their withdrawn hosts as they do.
    """
    rng = random.Random(seed)
    sides = (ControllerSide(), ControllerSide())
    proxies = {number: ModelProxy() for number in range(4)}
    side_of: dict[int, ControllerSide] = {}
    drained: list[int] = []
    for _ in range(60):
        number, roll = rng.randrange(4), rng.random()
        if roll < 0.1 and len(drained) < 6:
            drained.append(rng.randrange(8))
            for side in sides:
                side.message_builder.observe(full_list(entry(drained[-1], DRAINING)), 0)
        elif roll < 0.3:
            if number in side_of:
                side_of[number].leave(number)
            side_of[number] = rng.choice(sides)
            if rng.random() < 0.3:
                proxies[number] = ModelProxy()  # its process is restarted
            side_of[number].join(number, proxies[number])
        else:
            side = rng.choice(sides)
            side.command(random_commands(rng, drained), proxies)


def messages_for(*batch: commands.Command, fresh: bool = True) -> list[Message]:
    message_builder = MessageBuilder(len(REQUEST_CLASSES))
    message_builder.observe(joined(0, fresh), 0)
    message_builder.observe(joined(1, fresh), 0)
    return message_builder.build(batch)


def test_a_bind_is_a_complete_table_with_its_limit_and_sequence_number() -> None:
    (message,) = messages_for(
        commands.SetAdmissionLimit(0, None, 1.0, RetryPolicy.IF_NOT_EXECUTED),
        commands.SetRoute(0, 7, 3.0),
        commands.SetRoute(0, 8, 1.5),
        commands.BindProxy(0, 1),
        commands.RequestAcknowledgement(905),
    )
    assert encode(message) == (
        b"push replace=1 rows=s-00000007:3,s-00000008:1.5 gate=1 again=1 stamp=905\r\n"
    )
    # One line each for the bind, the two routes, the limit and the sequence number
    assert message.line_count() == 5


def test_commands_reach_only_proxies_that_use_the_table() -> None:
    batch = [commands.BindProxy(0, 1), commands.SetRoute(0, 7, 3.0)]
    messages = messages_for(*batch, commands.RequestAcknowledgement(1))
    assert [message.proxy for message in messages] == [1]


def test_a_sequence_number_reaches_all_proxies_if_the_command_says_so() -> None:
    batch = [commands.BindProxy(0, 1), commands.SetRoute(0, 7, 3.0)]
    messages = messages_for(*batch, commands.RequestAcknowledgement(1, all_proxies=True))
    assert {message.proxy: message.sequence_number for message in messages} == {0: 1, 1: 1}


def test_a_ping_is_a_message_with_nothing_but_the_sequence_number() -> None:
    pings = [commands.PingProxy(1), commands.PingProxy(7)]  # 7 is not joined
    (message,) = messages_for(*pings, commands.RequestAcknowledgement(905))
    assert message.proxy == 1 and message.line_count() == 1
    assert encode(message) == b"push stamp=905\r\n"


def test_a_withdrawal_reaches_only_proxies_that_may_have_a_route_to_the_host() -> None:
    message_builder = MessageBuilder(1)
    for proxy in (0, 1, 2):
        message_builder.observe(joined(proxy), 0)
    message_builder.build(
        [
            commands.SetRoute(0, 7, 1.0),
            commands.SetRoute(1, 8, 1.0),
            commands.BindProxy(0, 0),
            commands.BindProxy(1, 1),
        ]
    )
    messages = message_builder.build([commands.WithdrawHost(7, True)])
    assert {message.proxy for message in messages} == {0, 2}


def test_a_host_reinstated_while_out_of_the_table_is_reinstated_with_its_next_route() -> None:
    """Guards against a host that stays withdrawn for good.

    The proxy is not told of the reinstatement while its table lacks the host, so the message with
    the next route to the host has to carry it.
    """
    message_builder = MessageBuilder(1)
    message_builder.observe(joined(0), 0)
    message_builder.build(
        [commands.SetRoute(0, 7, 1.0), commands.SetRoute(0, 8, 1.0), commands.BindProxy(0, 0)]
    )
    message_builder.build([commands.WithdrawHost(7, True), commands.SetRoute(0, 7, 0.0)])
    assert message_builder.build([commands.WithdrawHost(7, False)]) == []
    (message,) = message_builder.build([commands.SetRoute(0, 7, 2.0)])
    assert message.withdrawn == {7: False}
    assert message.updates[0].routes == {7: 2.0}


def test_an_update_too_long_for_one_part_is_split_into_several_parts() -> None:
    routes = {host: 1.0 for host in range(2 * ROWS_PER_PART + 1)}
    data = encode(Message(0, [TableUpdate((0, 1, 2), True, routes)], {}, 5))
    assert [b"part=1" in line for line in data.split(b"\r\n")] == [True, True, False, False]
    proxy = ModelProxy()
    assert proxy.read(data) == len(routes) + 2
    assert len(proxy.routes["edit"]) == len(routes)
    assert proxy.message_count == 1


def test_updates_beyond_the_maximum_number_of_parts_go_into_a_second_message() -> None:
    routes = {host: 1.0 for host in range(2 * ROWS_PER_PART + 1)}
    proxy = ModelProxy()
    proxy.read(encode(Message(0, [TableUpdate((0, 1, 2), True, routes)], {}, 5)))
    updates = [TableUpdate((0,), routes={host: 1.0}) for host in range(MAX_MESSAGE_PARTS + 1)]
    proxy.read(encode(Message(0, updates, {}, 6)))
    assert proxy.message_count == 3
    assert len(proxy.routes["view"]) == len(routes)
