"""A model of proxies that join one controller while they hold tables of other controllers.

Commands are combined into one message per proxy, as on sockets. A message takes effect when its
last line has left the channel and the longest one-way delay has passed; until then its proxy keeps
the routes and withdrawals that it had.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from plankroute.controller.controller import Controller
from plankroute.controller.message_builder import MessageBuilder
from plankroute.controller.messages import Message
from plankroute.events import commands, events
from plankroute.events.events import HostState
from plankroute.events.facts import StartFacts
from support.controller_model import SECOND, may_serve

STEP_US = SECOND // 20


@dataclass(slots=True)
class ModelProxy:
    """A joined proxy.

    Attributes:
        zone: Its zone.
        joined_us: When it joined, in microseconds.
        routes: By request class, weight by host.
        withdrawn: Hosts that are withdrawn at this proxy.
        served_us: By request class, when it last had a usable host, in microseconds.
        has_ordered_table: Whether it was sent a table since its process started.
    """

    zone: int
    joined_us: int
    routes: list[dict[int, float]]
    withdrawn: set[int] = field(default_factory=set)
    served_us: list[int] = field(default_factory=list)
    has_ordered_table: bool = False

    def apply(self, message: Message) -> None:
        """Applies the table updates and withdrawals of a message."""
        for update in message.updates:
            for request_class in update.request_classes:
                if update.complete:
                    self.has_ordered_table = True
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
        """Returns the hosts to which the proxy may send a request class."""
        return self.routes[request_class].keys() - self.withdrawn


@dataclass(slots=True)
class InFlightMessage:
    """A message that waits in the channel or is on its way to the proxy.

    Attributes:
        stream: The proxy and when it joined, which identifies its stream. A message is lost if the
            proxy has joined again since.
        message: The message.
        lines_left: Number of its lines that have not left the channel yet.
        due_us: When it takes effect, in microseconds; 0 while lines are left.
    """

    stream: tuple[int, int]
    message: Message
    lines_left: float
    due_us: int = 0


class FleetModel:
    """One controller, its channel and its proxies.

    Raises an AssertionError as soon as a safety rule is broken.

    Attributes:
        facts: The start facts of the controller.
        pace: Speed of the channel as a share of `facts.channel_lines_per_s`. The time limits of the
            rules are divided by it.
        now: The clock, in microseconds.
        controller: The controller under test.
        proxies: The joined proxies, by id.
        lines_written: Number of lines of all messages so far, message overhead included.
        longest_use_us: The longest time for which a proxy used a removed host, in microseconds,
            counted from the later of the host's removal from the list and the proxy's joining.
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
        self._channel: list[InFlightMessage] = []
        self._in_transit: list[InFlightMessage] = []
        self._removed_at_us: dict[int, int] = {}
        self._ready: dict[int, events.HostEntry] = {}

    def join(
        self,
        proxies: Iterable[int],
        old_hosts: Iterable[int],
        fresh: bool = False,
        withdrawn: Iterable[int] = (),
    ) -> None:
        """Lets proxies join.

        Args:
            proxies: The proxies.
            old_hosts: Hosts in the tables that they hold.
            fresh: Whether these are their initial tables, and not those of another controller.
            withdrawn: Hosts that they keep withdrawn by command of another controller.
        """
        hosts = dict.fromkeys(old_hosts, 1.0)
        batch: list[events.Event] = []
        for proxy in proxies:
            zone = proxy % self.facts.zones
            self.proxies[proxy] = ModelProxy(
                zone,
                self.now,
                [dict(hosts) for _ in self._classes],
                set(withdrawn),
                [self.now for _ in self._classes],
                has_ordered_table=not fresh,
            )
            batch.append(events.ProxyJoined(proxy, zone, 10.0, fresh))
        self.deliver(*batch)

    def leave(self, number: int) -> ModelProxy:
        """Lets the stream of a proxy end; returns the proxy."""
        self.deliver(events.ProxyLeft(number))
        return self.proxies.pop(number)

    def rejoin(self, number: int, proxy: ModelProxy) -> None:
        """Lets a proxy whose stream ended join again, with what it held then."""
        proxy.joined_us = self.now
        proxy.served_us = [self.now for _ in self._classes]
        self.proxies[number] = proxy
        is_fresh = not proxy.has_ordered_table
        self.deliver(events.ProxyJoined(number, proxy.zone, 10.0, is_fresh))

    def deliver(self, *batch: events.Event) -> None:
        """Delivers a batch of events and puts the resulting messages into the channel."""
        for event in batch:
            self._builder.observe(event, self.now)
            if isinstance(event, events.HostList):
                self._observe_list(event)
        out = self.controller.deliver(self.now, batch)
        for command in out:
            if isinstance(command, commands.SetTimer):
                self._timers.append((self.now + command.after_us, command.token))
        for message in self._builder.build(out):
            self._send(message)
        waiting = sum(message.lines_left for message in self._channel)
        assert waiting <= self.facts.backlog_cap_lines, "the queued lines exceed the backlog cap"

    def pass_time(self, us: int) -> None:
        """Advances the clock by at least `us` in steps, and checks the rules after each step."""
        end = self.now + us
        while self.now < end:
            self.now += STEP_US
            due = [token for at, token in self._timers if at <= self.now]
            self._timers = [timer for timer in self._timers if timer[0] > self.now]
            self._transmit(self.facts.channel_lines_per_s * self.pace * STEP_US / SECOND)
            self.deliver(*map(events.TimerExpired, due), *self._arrivals())
            self._check_rules()

    def _observe_list(self, listed: events.HostList) -> None:
        for item in listed.entries:
            if item.state is HostState.READY:
                self._removed_at_us.pop(item.host, None)
                self._ready[item.host] = item
            else:
                self._removed_at_us.setdefault(item.host, self.now)
                self._ready.pop(item.host, None)

    def _send(self, message: Message) -> None:
        lines = message.line_count() + self.facts.message_overhead_lines
        self.lines_written += lines
        stream = (message.proxy, self.proxies[message.proxy].joined_us)
        self._channel.append(InFlightMessage(stream, message, lines))

    def _transmit(self, capacity: float) -> None:
        while self._channel and capacity > 0:
            first = self._channel[0]
            transmitted = min(capacity, first.lines_left)
            capacity -= transmitted
            first.lines_left -= transmitted
            if first.lines_left <= 0:
                first.due_us = self.now + self.facts.max_one_way_delay_us
                self._in_transit.append(self._channel.pop(0))

    def _arrivals(self) -> list[events.Event]:
        """Applies the messages that are due.

        Returns:
            Their acknowledgements.
        """
        arrived = [item for item in self._in_transit if item.due_us <= self.now]
        self._in_transit = [item for item in self._in_transit if item.due_us > self.now]
        acknowledged: list[events.Event] = []
        for item in arrived:
            number, joined_us = item.stream
            proxy = self.proxies.get(number)
            if proxy is None or proxy.joined_us != joined_us:
                continue
            proxy.apply(item.message)
            if item.message.sequence_number is not None:
                acknowledged.append(events.Acknowledged(number, item.message.sequence_number, 0))
        return acknowledged

    # The rules

    def _check_rules(self) -> None:
        zones_with_warm_host = [
            {zone for zone in range(self.facts.zones) if self._has_warm_host(request_class, zone)}
            for request_class in self._classes
        ]
        for number, proxy in self.proxies.items():
            for request_class in self._classes:
                usable_hosts = proxy.usable_hosts(request_class)
                self._check_drains(number, proxy, usable_hosts)
                if usable_hosts or proxy.zone not in zones_with_warm_host[request_class]:
                    proxy.served_us[request_class] = self.now
                unserved_us = self.now - proxy.served_us[request_class]
                assert unserved_us <= self.facts.max_unbound_us / self.pace, (
                    f"proxy {number} had no usable host for too long"
                )

    def _has_warm_host(self, request_class: int, proxy_zone: int) -> bool:
        """Whether a warm host may serve a request class of the proxies of a zone."""
        class_facts = self.facts.request_classes[request_class]
        return any(
            self.now - item.started_us >= self.facts.warmup_us
            and may_serve(item, class_facts, proxy_zone)
            for item in self._ready.values()
        )

    def _check_drains(self, number: int, proxy: ModelProxy, usable_hosts: set[int]) -> None:
        for host in usable_hosts & self._removed_at_us.keys():
            used_us = self.now - max(self._removed_at_us[host], proxy.joined_us)
            self.longest_use_us = max(self.longest_use_us, used_us)
            assert used_us <= self.facts.drain_grace_us / self.pace, (
                f"proxy {number} uses host {host} {used_us / SECOND:.2f} s after its removal"
            )
