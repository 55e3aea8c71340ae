"""A slow, plain model of proxies, channel and rules, which a controller is run against.

It applies the controller's commands and fails at the first break of a rule.
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
NO_TABLE = -1


def request_class_facts(**changes: Any) -> RequestClassFacts:  # noqa: ANN401 - fields of all types
    """A plain request class with some fields changed."""
    plain = RequestClassFacts(
        latency_objective_us=SECOND,
        deadline_us=4 * SECOND,
        value=1.0,
        late_value_share=0.1,
        idempotency=Idempotency.NON_IDEMPOTENT,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=0,
    )
    return replace(plain, **changes)


def start_facts(**changes: Any) -> StartFacts:  # noqa: ANN401 - fields of all types
    """Facts of a small site with some fields changed."""
    plain = StartFacts(
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
    return replace(plain, **changes)


def entry(
    host: int,
    state: HostState = READY,
    zone: int = 0,
    machine_type: int = 0,
    weight: float = 1.0,
    started_us: int = 0,
) -> events.HostEntry:
    """An entry of a host list; `kind` is the machine type."""
    return events.HostEntry(host, state, zone, machine_type, 0, weight, started_us)


def full_list(*entries: events.HostEntry) -> events.HostList:
    """A whole host list."""
    return events.HostList(ListKind.FULL, entries)


def host_changes(*entries: events.HostEntry) -> events.HostList:
    """Changes of a host list."""
    return events.HostList(ListKind.CHANGES, entries)


@dataclass(frozen=True, slots=True)
class RunningTimer:
    """A timer that the controller has set."""

    due_us: int
    token: int


class Bench:
    """One controller, its channel of a given speed, and proxies that do as their messages say.

    What a command sets holds at once, but its lines go through the channel.

    Attributes:
        facts: What the controller was told at its start.
        rate: Lines that the channel carries a second; tests change it.
        controller: The controller under test.
        now: The clock, in microseconds.
        hosts: The last entry of each host, by id.
        lines: By table, weight by host.
        levels: All admission limits that were set, in their order.
        withdrawn: Hosts that are withdrawn.
        bound: Table by proxy and request class.
        log: All commands, in their order.
    """

    def __init__(
        self, facts: StartFacts, speed: float = 1.0, controller: Controller | None = None
    ) -> None:
        """Starts the controller.

        Args:
            facts: What it is told.
            speed: Pace of the channel as a multiple of what the facts state.
            controller: One to use instead.
        """
        self.facts = facts
        self.channel_lines_per_s = facts.channel_lines_per_s * speed
        self.controller = controller or Controller(facts, 7)
        self.now = 100 * SECOND
        self.hosts: dict[int, events.HostEntry] = {}
        self.tables: dict[int, dict[int, float]] = {}
        self.admission_limits: list[commands.SetAdmissionLimit] = []
        self.withdrawn: set[int] = set()
        self.bound: dict[tuple[int, int], int] = {}
        self.command_log: list[commands.Command] = []
        self._request_classes = range(len(facts.request_classes))
        self._unready_since: dict[int, int] = {}  # by host: since when the controller knows
        self._zone_of_proxy: dict[int, int] = {}  # joined proxies
        self._joined_at: dict[int, int] = {}  # by proxy, its last joining
        self._endpoints_seen_at: dict[tuple[int, int], int] = {}  # by proxy and request class
        self._timers: list[RunningTimer] = []
        self._channel = ChannelModel(facts.message_window_us)

    def deliver(self, *batch: events.Event) -> list[commands.Command]:
        """Delivers a batch, applies the commands and checks the rules; returns the commands."""
        for event in batch:
            self._observe(event)
        out = self.controller.deliver(self.now, list(batch))
        self.command_log += out
        self._apply(out)
        self._check_rules()
        return out

    def pass_time(self, us: int, step: int = 100_000) -> None:
        """Lets time pass in steps: timers expire, and the channel carries lines."""
        end = self.now + us
        while self.now < end:
            self.now += step
            due = [timer for timer in self._timers if timer.due_us <= self.now]
            self._timers = [timer for timer in self._timers if timer.due_us > self.now]
            expired = [events.TimerExpired(timer.token) for timer in due]
            acknowledged = self._channel.carry(self.channel_lines_per_s * step / SECOND)
            self.deliver(*expired, *acknowledged)

    @property
    def peak_queued_lines(self) -> float:
        """The most lines that ever waited in the channel."""
        return self._channel.peak_queued_lines

    def usable_weights(self, proxy: int, place: int) -> dict[int, float]:
        """Weights of the hosts that a proxy may send a request class (by index) to."""
        routes = self.tables.get(self.bound.get((proxy, place), NO_TABLE), {})
        return {host: weight for host, weight in routes.items() if host not in self.withdrawn}

    # Events

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
        named = {item.host: item for item in listed.entries}
        if listed.kind is not ListKind.CHANGES:
            for host, item in self.hosts.items():
                named.setdefault(host, replace(item, state=GONE))
        self.hosts |= named
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
        lines_to: dict[int, int] = {}  # lines of this batch's message to each proxy
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
        """Applies a command; returns the proxies it writes to, and the lines to each of them."""
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
        """Whether the proxy is on unknown tables, or may send to the host by its tables."""
        is_bound = any((proxy, place) in self.bound for place in self._request_classes)
        return not is_bound or any(
            host in self.usable_weights(proxy, place) for place in self._request_classes
        )

    def _bind(self, command: commands.BindProxy) -> tuple[set[int], int]:
        assert command.proxy in self._joined_at
        assert not self.facts.slices
        if command.proxy not in self._zone_of_proxy:
            return set(), 0  # it left meanwhile: nothing happens
        for place in command.request_classes or self._request_classes:
            self.bound[command.proxy, place] = command.table
        return {command.proxy}, 1 + len(self.tables.get(command.table, {}))

    def _users(self, table: int | None) -> set[int]:
        return {proxy for (proxy, _), number in self.bound.items() if number == table}

    # The rules

    def _check_rules(self) -> None:
        """Stricter than the rules: commands must settle in half of the time that they allow."""
        assert self.peak_queued_lines <= self.facts.backlog_cap_lines, (
            "the queue grew past its limit"
        )
        for proxy in self._zone_of_proxy:
            self._check_message_limit(proxy)
            for place in self._request_classes:
                self._check_drained_hosts(proxy, place)
                self._check_allowed_hosts(proxy, place)
                self._check_endpoints_left(proxy, place)

    def _check_message_limit(self, proxy: int) -> None:
        limit = self.facts.max_messages_per_window
        sent = self._channel.messages_since(proxy, self._joined_at[proxy])
        assert not limit or sent <= limit, "too many messages"

    def _check_drained_hosts(self, proxy: int, place: int) -> None:
        grace_us = self.facts.drain_grace_us / 2
        for host in self.usable_weights(proxy, place):
            if host in self._unready_since:
                known_since = max(self._unready_since[host], self._joined_at[proxy])
                assert self.now - known_since <= grace_us, "a drained host is still picked"

    def _check_allowed_hosts(self, proxy: int, place: int) -> None:
        zone = self._zone_of_proxy[proxy]
        for host in self.usable_weights(proxy, place):
            assert self._may_serve(host, place, zone), "a request class where it may not go"

    def _check_endpoints_left(self, proxy: int, place: int) -> None:
        key = (proxy, place)
        zone = self._zone_of_proxy[proxy]
        could_serve = self._warm_hosts(place, zone)
        if self.usable_weights(proxy, place) or not could_serve or key not in self.bound:
            self._endpoints_seen_at[key] = self.now
        last_seen = max(self._joined_at[proxy], self._endpoints_seen_at[key])
        limit_us = self.facts.max_unbound_us / 2
        assert self.now - last_seen <= limit_us, "a proxy has nobody to pick"

    def _warm_hosts(self, place: int, zone: int) -> Iterable[int]:
        return [
            host
            for host, item in self.hosts.items()
            if item.state is READY
            and self.now - item.started_us >= self.facts.warmup_us
            and self._may_serve(host, place, zone)
        ]

    def _may_serve(self, host: int, place: int, proxy_zone: int) -> bool:
        """Whether the request class may go from proxies of this zone to the host."""
        item = self.hosts[host]
        facts = self.facts.request_classes[place]
        if facts.zones is not None and item.zone not in facts.zones:
            return False
        if facts.machine_types is not None and item.machine_type not in facts.machine_types:
            return False
        return not facts.stays_in_zone or item.zone == proxy_zone
