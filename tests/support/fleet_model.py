"""A plain model of proxies that come to one controller with tables of others, message by message.

Commands become messages as on sockets. A message takes effect when its last line has left the
channel and the longest one-way delay has passed; its proxy holds what it had until then.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from plankroute.controller.controller import Controller
from plankroute.controller.message_builder import MessageBuilder
from plankroute.controller.messages import Message
from plankroute.events import commands, events
from plankroute.events.events import HostState
from plankroute.events.facts import StartFacts
from support.controller_model import SECOND

STEP_US = SECOND // 20


@dataclass(slots=True)
class ModelProxy:
    """A joined proxy.

    Attributes:
        joined_us: When it joined.
        routes: By request class, weight by host.
        withdrawn: Hosts that it keeps out of use.
        served_us: When each request class last had a host to pick.
    """

    joined_us: int
    routes: list[dict[int, float]]
    withdrawn: set[int] = field(default_factory=set)
    served_us: list[int] = field(default_factory=list)

    def apply(self, message: Message) -> None:
        for update in message.updates:
            for request_class in update.request_classes:
                if update.complete:
                    self.routes[request_class] = {}
                self.routes[request_class] |= update.routes
                for host, weight in update.routes.items():
                    if not weight:
                        self.routes[request_class].pop(host, None)
        for host, is_withdrawn in message.withdrawn.items():
            if is_withdrawn:
                self.withdrawn.add(host)
            else:
                self.withdrawn.discard(host)

    def usable_hosts(self, request_class: int) -> set[int]:
        return self.routes[request_class].keys() - self.withdrawn


@dataclass(slots=True)
class InFlight:
    """A message in the channel, or on its way.

    Attributes:
        proxy: The proxy and its stream, by when it joined: a later stream gets nothing of it.
        lines_left: Lines that have not left the channel.
        due_us: When it takes effect; 0 while lines are left.
    """

    proxy: tuple[int, int]
    message: Message
    lines_left: float
    due_us: int = 0


class FleetModel:
    """One controller, its channel and its proxies; fails at the first break of a rule.

    Attributes:
        pace: Pace of the channel as a part of the stated one; the rules' times grow as it falls.
        lines_written: Lines of all messages so far, with their overhead.
        longest_use_us: The longest that a removed host stayed in use at a proxy after the proxy's
            controller was notified, or the proxy joined.
    """

    def __init__(self, facts: StartFacts, pace: float = 1.0, seed: int = 7) -> None:
        self.facts = facts
        self.pace = pace
        self.now = 100 * SECOND
        self.controller = Controller(facts, seed)
        self.proxies: dict[int, ModelProxy] = {}
        self.lines_written = 0.0
        self.longest_use_us = 0
        self._builder = MessageBuilder(len(facts.request_classes))
        self._classes = range(len(facts.request_classes))
        self._timers: list[tuple[int, int]] = []
        self._channel: list[InFlight] = []
        self._on_the_way: list[InFlight] = []
        self._removed_us: dict[int, int] = {}
        self._started_us: dict[int, int] = {}

    def join(self, proxies: Iterable[int], old_hosts: Iterable[int]) -> None:
        """Proxies join that hold these hosts in tables of another controller."""
        hosts = dict.fromkeys(old_hosts, 1.0)
        batch: list[events.Event] = []
        for proxy in proxies:
            self.proxies[proxy] = ModelProxy(
                self.now,
                [dict(hosts) for _ in self._classes],
                served_us=[self.now for _ in self._classes],
            )
            batch.append(events.ProxyJoined(proxy, proxy % self.facts.zones, 10.0, False))
        self.deliver(*batch)

    def deliver(self, *batch: events.Event) -> None:
        """Delivers a batch of events and puts the messages that follow into the channel."""
        for event in batch:
            self._builder.observe(event)
            if isinstance(event, events.HostList):
                self._observe_list(event)
        out = self.controller.deliver(self.now, batch)
        for command in out:
            if isinstance(command, commands.SetTimer):
                self._timers.append((self.now + command.after_us, command.token))
        for message in self._builder.build(out):
            self._send(message)
        waiting = sum(one.lines_left for one in self._channel)
        assert waiting <= self.facts.backlog_cap_lines, "the queue grew past its limit"

    def pass_time(self, us: int) -> None:
        """Lets time pass in steps, and checks the rules after each."""
        end = self.now + us
        while self.now < end:
            self.now += STEP_US
            due = [token for at, token in self._timers if at <= self.now]
            self._timers = [timer for timer in self._timers if timer[0] > self.now]
            self._carry(self.facts.channel_lines_per_s * self.pace * STEP_US / SECOND)
            self.deliver(*map(events.TimerExpired, due), *self._arrivals())
            self._check_rules()

    def _observe_list(self, listed: events.HostList) -> None:
        for item in listed.entries:
            if item.state is HostState.READY:
                self._removed_us.pop(item.host, None)
                self._started_us[item.host] = item.started_us
            else:
                self._removed_us.setdefault(item.host, self.now)
                self._started_us.pop(item.host, None)

    def _send(self, message: Message) -> None:
        lines = message.line_count() + self.facts.message_overhead_lines
        self.lines_written += lines
        stream = (message.proxy, self.proxies[message.proxy].joined_us)
        self._channel.append(InFlight(stream, message, lines))

    def _carry(self, capacity: float) -> None:
        while self._channel and capacity > 0:
            first = self._channel[0]
            carried = min(capacity, first.lines_left)
            capacity -= carried
            first.lines_left -= carried
            if first.lines_left <= 0:
                first.due_us = self.now + self.facts.max_one_way_delay_us
                self._on_the_way.append(self._channel.pop(0))

    def _arrivals(self) -> list[events.Event]:
        """Applies the messages that are due; returns their acknowledgements."""
        arrived = [one for one in self._on_the_way if one.due_us <= self.now]
        self._on_the_way = [one for one in self._on_the_way if one.due_us > self.now]
        acknowledged: list[events.Event] = []
        for one in arrived:
            number, joined_us = one.proxy
            proxy = self.proxies[number]
            if proxy.joined_us != joined_us:
                continue
            proxy.apply(one.message)
            if one.message.sequence_number is not None:
                acknowledged.append(events.Acknowledged(number, one.message.sequence_number, 0))
        return acknowledged

    # The rules

    def _check_rules(self) -> None:
        has_warm_host = any(
            self.now - started_us >= self.facts.warmup_us
            for started_us in self._started_us.values()
        )
        for number, proxy in self.proxies.items():
            for request_class in self._classes:
                usable_hosts = proxy.usable_hosts(request_class)
                self._check_drains(number, proxy, usable_hosts)
                if usable_hosts or not has_warm_host:
                    proxy.served_us[request_class] = self.now
                unserved_us = self.now - proxy.served_us[request_class]
                assert unserved_us <= self.facts.max_unbound_us / self.pace, f"{number}: no host"

    def _check_drains(self, number: int, proxy: ModelProxy, usable_hosts: set[int]) -> None:
        for host in usable_hosts & self._removed_us.keys():
            used_us = self.now - max(self._removed_us[host], proxy.joined_us)
            self.longest_use_us = max(self.longest_use_us, used_us)
            assert used_us <= self.facts.drain_grace_us / self.pace, (
                f"proxy {number} uses host {host} {used_us / SECOND:.2f} s after its removal"
            )
