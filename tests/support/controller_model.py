"""A simple model of proxies and channel, against which tests run a controller.

The model applies the controller's commands and raises an AssertionError as soon as a safety rule is
broken. It favors simplicity over speed.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from plankroute.controller.controller import Controller
from plankroute.events import commands, events
from plankroute.events.events import HostState, ListKind
from plankroute.events.facts import (
    AdmissionUnit,
    DeduplicationScope,
    Idempotency,
    PenaltyRates,
    ReportSource,
    RequestClassFacts,
    StartFacts,
)
from support.channel_model import ChannelModel

SECOND = 1_000_000  # microseconds
READY, DRAINING, GONE = HostState.READY, HostState.DRAINING, HostState.GONE
NO_TABLE = -1  # table number of a request class that has no binding


def request_class_facts(**changes: Any) -> RequestClassFacts:  # noqa: ANN401 - fields of all types
    """Returns the facts of a default request class with some fields changed."""
    defaults = RequestClassFacts(
        latency_objective_us=SECOND,
        deadline_us=4 * SECOND,
        value=1.0,
        late_value_share=0.1,
        idempotency=Idempotency.NON_IDEMPOTENT,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=0,
    )
    return replace(defaults, **changes)


def start_facts(**changes: Any) -> StartFacts:  # noqa: ANN401 - fields of all types
    """Returns the start facts of a small site with some fields changed."""
    defaults = StartFacts(
        request_classes=(request_class_facts(),),
        zones=3,
        own_zone=0,
        controller_rank=0,
        controller_count=1,
        proxy_count=6,
        penalty_rates=PenaltyRates(),
        channel_lines_per_s=2000.0,
        message_overhead_lines=6,
        backlog_cap_lines=4000,
        max_messages_per_window=0,
        message_window_us=10 * SECOND,
        bind_reinstates_hosts=False,
        one_way_delay_us=200_000,
        max_one_way_delay_us=500_000,
        max_unbound_us=3 * SECOND,
        drain_grace_us=2 * SECOND,
        warmup_us=15 * SECOND,
        initial_capacity_share=0.2,
        overload_multiple=3.0,
        overload_window_us=2 * SECOND,
        gone_hosts_stay_usable=False,
        list_poll_deadline_us=10 * SECOND,
        admission_unit=AdmissionUnit.NONE,
        default_retry=1,
        retry_wait_factor=1.0,
        health_checks_allowed=True,
        peer_messages_allowed=False,
        report_source=ReportSource.RESPONSES,
        report_period_us=SECOND,
        must_subscribe=False,
        slices=0,
        slices_exclusive=False,
    )
    return replace(defaults, **changes)


def entry(
    host: int,
    state: HostState = READY,
    zone: int = 0,
    machine_type: int = 0,
    weight: float = 1.0,
    started_us: int = 0,
) -> events.HostEntry:
    """Returns an entry of a host list; by default, a ready host of weight 1 in zone 0."""
    return events.HostEntry(host, state, zone, machine_type, 0, weight, started_us)


def full_list(*entries: events.HostEntry) -> events.HostList:
    """Returns a complete host list."""
    return events.HostList(ListKind.FULL, entries)


def host_changes(*entries: events.HostEntry) -> events.HostList:
    """Returns a list of changed hosts; hosts that it does not name are unchanged."""
    return events.HostList(ListKind.CHANGES, entries)


def may_serve(item: events.HostEntry, facts: RequestClassFacts, proxy_zone: int) -> bool:
    """Whether proxies of a zone may send a request class to a host.

    Args:
        item: The list entry of the host.
        facts: The facts of the request class.
        proxy_zone: Zone of the proxies.
    """
    if facts.zones is not None and item.zone not in facts.zones:
        return False
    if facts.machine_types is not None and item.machine_type not in facts.machine_types:
        return False
    return not facts.stays_in_zone or item.zone == proxy_zone


@dataclass(frozen=True, slots=True)
class RunningTimer:
    """A timer that the controller has set.

    Attributes:
        due_us: When it expires, in microseconds.
        token: The token that its `TimerExpired` event carries.
    """

    due_us: int
    token: int


class Bench:
    """A test bench: one controller, its channel, and proxies that follow their messages.

    A command takes effect at once, but its lines wait in the channel. The safety rules are checked
    after each batch of events.

    Attributes:
        facts: The start facts of the controller.
        channel_lines_per_s: Lines that the channel transmits per second; tests change it.
        garbling_proxies: Proxies whose acknowledgements are rejected; tests change it.
        controller: The controller under test.
        now: The clock, in microseconds.
        hosts: The last list entry of each host, by id.
        tables: By table, weight by host.
        admission_limits: All admission limits that were set, in order.
        withdrawn: Hosts that are withdrawn.
        bound: Table by proxy and request class.
        command_log: All commands, in order.
    """

    def __init__(
        self, facts: StartFacts, speed: float = 1.0, controller: Controller | None = None
    ) -> None:
        """Creates a bench without hosts or proxies.

        Args:
            facts: The start facts of the controller.
            speed: Speed of the channel as a multiple of `facts.channel_lines_per_s`.
            controller: The controller under test; by default a new one with these facts.
        """
        self.facts = facts
        self.channel_lines_per_s = facts.channel_lines_per_s * speed
        self.garbling_proxies: set[int] = set()
        self.controller = controller or Controller(facts, 7)
        self.now = 100 * SECOND
        self.hosts: dict[int, events.HostEntry] = {}
        self.tables: dict[int, dict[int, float]] = {}
        self.admission_limits: list[commands.SetAdmissionLimit] = []
        self.withdrawn: set[int] = set()
        self.bound: dict[tuple[int, int], int] = {}
        self.command_log: list[commands.Command] = []
        self._request_classes = range(len(facts.request_classes))
        self._unready_since: dict[int, int] = {}  # by host, when it was listed as not ready
        self._zone_of_proxy: dict[int, int] = {}  # of joined proxies
        self._joined_at: dict[int, int] = {}  # by proxy, when it last joined
        self._served_at: dict[tuple[int, int], int] = {}  # last time, by proxy and class
        self._timers: list[RunningTimer] = []
        self._channel = ChannelModel(facts.message_window_us)

    def deliver(self, *batch: events.Event) -> list[commands.Command]:
        """Delivers a batch of events, applies the resulting commands and checks the rules.

        Returns:
            The commands.
        """
        for event in batch:
            self._observe(event)
        out = self.controller.deliver(self.now, list(batch))
        self.command_log += out
        self._apply(out)
        self._check_rules()
        return out

    def pass_time(self, us: int, step: int = 100_000) -> None:
        """Advances the clock in steps, at each of which timers expire and the channel transmits.

        Args:
            us: How far to advance the clock, in microseconds, rounded up to a whole step.
            step: Length of a step, in microseconds.
        """
        end = self.now + us
        while self.now < end:
            self.now += step
            due = [timer for timer in self._timers if timer.due_us <= self.now]
            self._timers = [timer for timer in self._timers if timer.due_us > self.now]
            expired = [events.TimerExpired(timer.token) for timer in due]
            acknowledged = self._channel.transmit(self.channel_lines_per_s * step / SECOND)
            self.deliver(*expired, *map(self._as_received, acknowledged))

    @property
    def peak_queued_lines(self) -> float:
        """The largest number of lines that ever waited in the channel at the same time."""
        return self._channel.peak_queued_lines

    def usable_weights(self, proxy: int, request_class: int) -> dict[int, float]:
        """Returns the weights of the hosts to which a proxy may send a request class.

        Withdrawn hosts are left out. Without a bound table, no host is usable.

        Args:
            proxy: The proxy.
            request_class: Index of the request class.
        """
        routes = self.tables.get(self.bound.get((proxy, request_class), NO_TABLE), {})
        return {host: weight for host, weight in routes.items() if host not in self.withdrawn}

    # Events

    def _as_received(self, acknowledged: events.Acknowledged) -> events.Event:
        if acknowledged.proxy in self.garbling_proxies:
            return events.AcknowledgementRejected(acknowledged.proxy)
        return acknowledged

    def _observe(self, event: events.Event) -> None:
        match event:
            case events.HostList(kind=ListKind.FAILED):
                pass
            case events.HostList():
                self._observe_list(event)
            case events.ProxyJoined(proxy=proxy, zone=zone):
                self._forget_proxy(proxy)
                self._zone_of_proxy[proxy] = zone
                self._joined_at[proxy] = self.now
            case events.ProxyLeft(proxy=proxy):
                self._forget_proxy(proxy)

    def _observe_list(self, listed: events.HostList) -> None:
        listed_hosts = {item.host: item for item in listed.entries}
        if listed.kind is not ListKind.CHANGES:
            for host, item in self.hosts.items():
                listed_hosts.setdefault(host, replace(item, state=GONE))
        self.hosts |= listed_hosts
        for host, item in self.hosts.items():
            if item.state is READY:
                self._unready_since.pop(host, None)
            else:
                self._unready_since.setdefault(host, self.now)

    def _forget_proxy(self, proxy: int) -> None:
        self._zone_of_proxy.pop(proxy, None)
        self.bound = {key: table for key, table in self.bound.items() if key[0] != proxy}
        self._channel.drop(proxy)

    # Commands

    def _apply(self, out: list[commands.Command]) -> None:
        lines_to: dict[int, int] = {}  # by proxy, lines of this batch's message to it
        sequence_number = None
        for command in out:
            recipients, lines = self._apply_command(command)
            for proxy in recipients:
                written = lines_to.get(proxy, self.facts.message_overhead_lines)
                lines_to[proxy] = written + lines
            if isinstance(command, commands.RequestAcknowledgement):
                sequence_number = command.sequence_number
        self._channel.send(self.now, lines_to, sequence_number)

    def _apply_command(self, command: commands.Command) -> tuple[set[int], int]:
        """Applies a command.

        Returns:
            The proxies that receive lines of the command, and the number of lines for each.
        """
        match command:
            case commands.SetTimer(after_us, token):
                self._timers.append(RunningTimer(self.now + after_us, token))
            case commands.SetRoute():
                self._set_route(command)
                return self._users(command.table), 1
            case commands.WithdrawHost():
                return self._withdraw(command), 1
            case commands.SetAdmissionLimit():
                assert command.limit >= 0
                assert command.retry <= commands.RetryPolicy.IF_NOT_EXECUTED
                self.admission_limits.append(command)
                return self._users(command.table), 1
            case commands.BindProxy():
                return self._bind(command)
            case commands.PingProxy(proxy):
                assert proxy in self._zone_of_proxy, "a proxy that is not joined was pinged"
                return {proxy}, 0
            case commands.RequestAcknowledgement():
                assert 0 <= command.sequence_number < 65536
            case commands.CheckHealth():
                assert command.host in self.hosts
                assert self.facts.health_checks_allowed
        return set(), 0

    def _set_route(self, command: commands.SetRoute) -> None:
        assert command.host in self.hosts
        assert command.weight >= 0
        routes = self.tables.setdefault(command.table, {})
        routes[command.host] = command.weight
        if not command.weight:
            del routes[command.host]

    def _withdraw(self, command: commands.WithdrawHost) -> set[int]:
        assert command.host in self.hosts
        recipients = {proxy for proxy in self._zone_of_proxy if self._may_use(proxy, command.host)}
        if command.withdrawn:
            self.withdrawn.add(command.host)
        else:
            self.withdrawn.discard(command.host)
        return recipients

    def _may_use(self, proxy: int, host: int) -> bool:
        """Whether the proxy may send requests to the host, as far as the controller knows.

        An unbound proxy uses tables that the controller does not know, so it may use any host.
        """
        is_bound = any(
            (proxy, request_class) in self.bound for request_class in self._request_classes
        )
        return not is_bound or any(
            host in self.usable_weights(proxy, request_class)
            for request_class in self._request_classes
        )

    def _bind(self, command: commands.BindProxy) -> tuple[set[int], int]:
        assert command.proxy in self._joined_at
        assert not self.facts.slices
        if command.proxy not in self._zone_of_proxy:
            return set(), 0  # the proxy left in the meantime, so the command has no effect
        for request_class in command.request_classes or self._request_classes:
            self.bound[command.proxy, request_class] = command.table
        return {command.proxy}, 1 + len(self.tables.get(command.table, {}))

    def _users(self, table: int | None) -> set[int]:
        return {proxy for (proxy, _), number in self.bound.items() if number == table}

    # The rules

    def _check_rules(self) -> None:
        """Checks the safety rules, more strictly than stated: with half of their time limits."""
        assert self.peak_queued_lines <= self.facts.backlog_cap_lines, (
            "the queued lines exceed the backlog cap"
        )
        for proxy in self._zone_of_proxy:
            self._check_message_limit(proxy)
            for request_class in self._request_classes:
                self._check_drained_hosts(proxy, request_class)
                self._check_permitted_hosts(proxy, request_class)
                self._check_usable_hosts(proxy, request_class)

    def _check_message_limit(self, proxy: int) -> None:
        limit = self.facts.max_messages_per_window
        sent = self._channel.messages_since(proxy, self._joined_at[proxy])
        assert not limit or sent <= limit, "a proxy got more messages than the limit per window"

    def _check_drained_hosts(self, proxy: int, request_class: int) -> None:
        grace_us = self.facts.drain_grace_us / 2
        for host in self.usable_weights(proxy, request_class):
            if host in self._unready_since:
                known_since = max(self._unready_since[host], self._joined_at[proxy])
                assert self.now - known_since <= grace_us, "a proxy still uses a drained host"

    def _check_permitted_hosts(self, proxy: int, request_class: int) -> None:
        zone = self._zone_of_proxy[proxy]
        for host in self.usable_weights(proxy, request_class):
            class_facts = self.facts.request_classes[request_class]
            assert may_serve(self.hosts[host], class_facts, zone), (
                "a host may not serve the request class"
            )

    def _check_usable_hosts(self, proxy: int, request_class: int) -> None:
        key = (proxy, request_class)
        zone = self._zone_of_proxy[proxy]
        warm_hosts = self._warm_hosts(request_class, zone)
        if self.usable_weights(proxy, request_class) or not warm_hosts or key not in self.bound:
            self._served_at[key] = self.now
        last_served = max(self._joined_at[proxy], self._served_at[key])
        limit_us = self.facts.max_unbound_us / 2
        assert self.now - last_served <= limit_us, "a proxy had no usable host for too long"

    def _warm_hosts(self, request_class: int, zone: int) -> Iterable[int]:
        return [
            host
            for host, item in self.hosts.items()
            if item.state is READY
            and self.now - item.started_us >= self.facts.warmup_us
            and may_serve(item, self.facts.request_classes[request_class], zone)
        ]
