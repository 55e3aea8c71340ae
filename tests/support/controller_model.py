"""A slow, plain model of proxies, channel and rules: it applies a steward's orders and objects to breaks."""

from dataclasses import replace

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

SECOND = 1_000_000
READY, DRAINING, GONE = HostState.READY, HostState.DRAINING, HostState.GONE


def product(**changes) -> RequestClassFacts:
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


def start_facts(**changes) -> StartFacts:
    plain = StartFacts(
        request_classes=(product(),),
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
        only_draining_is_binding=False,
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
    kind: int = 0,
    weight: float = 1.0,
    started_us: int = 0,
) -> events.HostEntry:
    return events.HostEntry(host, state, zone, kind, 0, weight, started_us)


def full(*entries: events.HostEntry) -> events.HostList:
    return events.HostList(ListKind.FULL, entries)


def changes(*entries: events.HostEntry) -> events.HostList:
    return events.HostList(ListKind.CHANGES, entries)


class Bench:
    """One steward, its channel of a given speed, and proxies that do as their messages say."""

    def __init__(
        self, facts: StartFacts, speed: float = 1.0, controller: Controller | None = None
    ) -> None:
        self.facts, self.rate = facts, facts.channel_lines_per_s * speed
        self.controller = controller or Controller(facts, 7)
        self.now, self.timers = 100 * SECOND, []
        self.hosts: dict[int, events.HostEntry] = {}
        self.told: dict[int, int] = {}  # since when the steward knows that a host is not ready
        self.lines: dict[int, dict[int, float]] = {}
        self.levels: list[commands.SetAdmissionLimit] = []
        self.withdrawn: set[int] = set()
        self.joined: dict[int, int] = {}  # proxy: zone
        self.since: dict[int, int] = {}
        self.bound: dict[tuple[int, int], int] = {}  # proxy and product: table
        self.queue: list[list] = []  # proxy, lines left, mark
        self.most_waiting, self.sent = 0, []
        self.bare_since: dict[tuple[int, int], int] = {}  # the last time that it was not
        self.log: list[commands.Command] = []

    def give(self, *batch: events.Event) -> list[commands.Command]:
        for note in batch:
            self.learn(note)
        out = self.controller.deliver(self.now, list(batch))
        self.log += out
        self.obey(out)
        self.check()
        return out

    def learn(self, note: events.Event) -> None:
        match note:
            case events.HostList(kind=kind, entries=entries) if kind is not ListKind.FAILED:
                named = {item.host: item for item in entries}
                if kind is not ListKind.CHANGES:
                    for host, old in self.hosts.items():
                        named.setdefault(host, replace(old, state=GONE))
                self.hosts |= named
                for host, item in self.hosts.items():
                    if item.state is READY:
                        self.told.pop(host, None)
                    else:
                        self.told.setdefault(host, self.now)
            case events.ProxyJoined(proxy=proxy, zone=zone):
                self.forget(proxy)
                self.joined[proxy], self.since[proxy] = zone, self.now
            case events.ProxyLeft(proxy=proxy):
                self.forget(proxy)

    def forget(self, proxy: int) -> None:
        self.joined.pop(proxy, None)
        self.bound = {key: table for key, table in self.bound.items() if key[0] != proxy}
        self.queue = [item for item in self.queue if item[0] != proxy]

    def users(self, table: int | None) -> set[int]:
        return {proxy for (proxy, _), number in self.bound.items() if number == table}

    def obey(self, out: list[commands.Command]) -> None:
        """The orders' standing effect at once, their lines through the channel."""
        cost: dict[int, int] = {}
        mark = None
        for order in out:
            users: set[int] = set()
            lines = 1
            match order:
                case commands.SetTimer(after_us, token):
                    self.timers.append((self.now + after_us, token))
                case commands.SetRoute(table, host, weight):
                    assert host in self.hosts and weight >= 0
                    held = self.lines.setdefault(table, {})
                    held[host] = weight
                    if not weight:
                        del held[host]
                    users = self.users(table)
                case commands.WithdrawHost(host, out_):
                    assert host in self.hosts
                    products = range(len(self.facts.request_classes))
                    users = {
                        p
                        for p in self.joined
                        if not any((p, i) in self.bound for i in products)
                        or host in {h for i in products for h in self.picks(p, i)}
                    }
                    (self.withdrawn.add if out_ else self.withdrawn.discard)(host)
                case commands.SetAdmissionLimit(table, _, level, retry):
                    assert level >= 0 and retry <= commands.RetryPolicy.IF_NOT_EXECUTED
                    self.levels.append(order)
                    users = self.users(table)
                case commands.BindProxy(table, proxy, products):
                    assert proxy in self.since and not self.facts.slices
                    if proxy not in self.joined:
                        continue  # it left meanwhile: nothing happens
                    for place in products or range(len(self.facts.request_classes)):
                        self.bound[proxy, place] = table
                    users, lines = {proxy}, 1 + len(self.lines.get(table, {}))
                case commands.RequestAcknowledgement(sequence_number):
                    assert 0 <= sequence_number < 65536
                    mark = sequence_number
                case commands.CheckHealth(host):
                    assert host in self.hosts and self.facts.health_checks_allowed
            for proxy in users:
                cost[proxy] = cost.get(proxy, self.facts.message_overhead_lines) + lines
        self.queue += [[proxy, lines + (mark is not None), mark] for proxy, lines in cost.items()]
        self.sent = [
            (at, proxy) for at, proxy in self.sent if at > self.now - self.facts.message_window_us
        ]
        self.sent += [(self.now, proxy) for proxy in cost]
        self.most_waiting = max(self.most_waiting, sum(item[1] for item in self.queue))

    def pass_time(self, us: int, step: int = 100_000) -> None:
        end = self.now + us
        while self.now < end:
            self.now += step
            due = [token for at, token in self.timers if at <= self.now]
            self.timers = [(at, token) for at, token in self.timers if at > self.now]
            answers = self.drain(self.rate * step / SECOND)
            self.give(*[events.TimerExpired(token) for token in due], *answers)

    def drain(self, room: float) -> list[events.Event]:
        answers: list[events.Event] = []
        while self.queue and room > 0:
            sent = min(room, self.queue[0][1])
            room -= sent
            self.queue[0][1] -= sent
            if self.queue[0][1] <= 0:
                proxy, _, mark = self.queue.pop(0)
                if mark is not None:
                    answers.append(events.Acknowledged(proxy, mark, 0))
        return answers

    def open_to(self, place: int, zone: int, host: int) -> bool:
        item, facts = self.hosts[host], self.facts.request_classes[place]
        return (
            (facts.zones is None or item.zone in facts.zones)
            and (facts.machine_types is None or item.machine_type in facts.machine_types)
            and (not facts.stays_in_zone or item.zone == zone)
        )

    def picks(self, proxy: int, place: int) -> dict[int, float]:
        lines = self.lines.get(self.bound.get((proxy, place), -1), {})
        return {host: weight for host, weight in lines.items() if host not in self.withdrawn}

    def warm(self, host: int) -> bool:
        item = self.hosts[host]
        return item.state is READY and self.now - item.started_us >= self.facts.warmup_us

    def check(self) -> None:
        """Stricter than the rules: orders must settle in half of the time that they allow."""
        grace = self.facts.drain_grace_us / 2
        assert self.most_waiting <= self.facts.backlog_cap_lines, "the queue grew past its limit"
        for proxy, zone in self.joined.items():
            written = sum(at >= self.since[proxy] and to == proxy for at, to in self.sent)
            assert (
                not self.facts.max_messages_per_window
                or written <= self.facts.max_messages_per_window
            ), "too many messages"
            for place in range(len(self.facts.request_classes)):
                picks = self.picks(proxy, place)
                told = {h: max(self.told[h], self.since[proxy]) for h in picks if h in self.told}
                late = [h for h, at in told.items() if self.now - at > grace]
                assert not late, "a drained host is still picked"
                assert all(self.open_to(place, zone, host) for host in picks), (
                    "a product where it may not go"
                )
                ready = [
                    host
                    for host in self.hosts
                    if self.warm(host) and self.open_to(place, zone, host)
                ]
                if picks or not ready or (proxy, place) not in self.bound:
                    self.bare_since[proxy, place] = self.now
                bare = self.now - max(self.since[proxy], self.bare_since[proxy, place])
                assert bare <= self.facts.max_unbound_us / 2, "a proxy has nobody to pick"
