"""All decisions of a steward: Steward(facts, seed), then deliver(clock_us, notes) -> orders, once a batch.

Facts, notes and orders are the types in plankroute/interface. The design (docs/design.md) sets the ordinary
tables: a leaky PID on fill moves each host's weight every turn; weights become integer slots of one shared
table, and only changed slots are pushed. Beside it stand, in this file's order:
1. Cold hosts: a host just started, or let back in, is capped and rises as it warms.
2. Health: a host that voids txns or answers none is shut out, probed, and let back by degrees.
3. Drains: hosts that drain or are gone are withdrawn before all else.
4. Channel: lines count as waiting until a proxy says it applied them; ordinary ones wait when many do.
5. Further tries: only where a repeat is harmless for the product.
6. Slices: where keys fall into slices, each slice in charge keeps one open host.
"""

import zlib
from collections import deque
from dataclasses import dataclass
from typing import Any

from plankroute.interface import notes, orders
from plankroute.interface.facts import LevelUnit, ProductFacts, Repeat, ReportWay, Scope, StartFacts
from plankroute.interface.notes import HostState, ListKind, Outcome

SECOND_US = 1_000_000
NO_CAP = float("inf")


@dataclass(frozen=True, slots=True)
class Turn:
    """Another turn is due."""


@dataclass(frozen=True, slots=True)
class Republish:
    """Hosts opened, shut or changed their cap: tables follow without waiting for the turn."""


class Actor:
    """A part with an inbox; the loop hands it one note at a time."""

    def __init__(self, desk: "Desk") -> None:
        self.desk, self.inbox = desk, deque[Any]()

    def handle(self, note: Any) -> None:
        raise NotImplementedError


class Desk:
    """What all parts of one steward share: the clock, the loop, the host arrays and the outgoing orders."""

    def __init__(self, facts: StartFacts, seed: int) -> None:
        self.now, self.seed, self.draws = 0, seed, 0
        self.ready: deque[Actor] = deque()
        self.out: list[orders.Order] = []
        self.figures = Figures(facts)

    def put(self, actor: Actor, note: Any) -> None:
        actor.inbox.append(note)
        self.ready.append(actor)

    def run(self) -> None:
        while self.ready:
            actor = self.ready.popleft()
            actor.handle(actor.inbox.popleft())

    def chance(self) -> float:
        self.draws += 1
        return zlib.crc32(f"{self.seed}:{self.draws}".encode()) / 2**32


class Figures:
    """Parallel arrays of host figures under a dense index; ids stay at the door."""

    def __init__(self, facts: StartFacts) -> None:
        self.in_force = False  # a proxy holds our tables: before that, a load tells nothing of our weights
        self.index: dict[int, int] = {}
        self.ids: list[int] = []
        self.state: list[HostState] = []
        self.zone: list[int] = []
        self.kind: list[int] = []
        self.started: list[int] = []
        self.weight: list[float] = []
        self.cap: list[float] = []
        self.shut: list[bool] = []
        self.error: list[float | None] = []
        self.integral: list[float] = []
        self.news: list[bool] = []
        self.tries: list[float] = []
        self.voided: list[float] = []
        self.timed: list[float] = []
        self.time_sum: list[float] = []
        self.listed: list[float] = []
        self.held: list[float] = []
        self.held_sum: list[float] = []
        self.util: list[float | None] = []
        self.util_weight: list[float] = []

    def add(self, entry: notes.HostEntry) -> int:
        place = self.index[entry.host] = len(self.ids)
        self.ids.append(entry.host)
        for array, value in (
                (self.state, HostState.GONE), (self.zone, entry.zone), (self.kind, entry.kind),
                (self.started, entry.started_us), (self.weight, entry.weight or 1.0), (self.cap, NO_CAP),
                (self.shut, False), (self.error, None), (self.integral, 0.0), (self.news, False),
                (self.tries, 0.0), (self.voided, 0.0), (self.timed, 0.0), (self.time_sum, 0.0),
                (self.listed, entry.weight or 1.0), (self.held, 0.0), (self.held_sum, 0.0), (self.util, None), (self.util_weight, 1.0)):
            array.append(value)
        return place

    def playing(self) -> list[int]:
        """Hosts that may be sent txns."""
        return [i for i, state in enumerate(self.state) if state is HostState.READY and not self.shut[i]]

    def good_part(self) -> float:
        """The part of the fleet's tries that were answered well."""
        tries = sum(self.tries)
        return max(0.02, 1 - sum(self.voided) / tries) if tries > 0 else 1.0

    def kin_mean(self, place: int) -> float:
        """The usual weight of hosts of this kind: the best guess for one that is not heard yet."""
        kin = [self.weight[i] for i in self.playing() if self.kind[i] == self.kind[place]
               and self.cap[i] == NO_CAP and i != place]
        return sum(kin) / len(kin) if kin else 1.0


class Host(Actor):
    """One host: its place in the list, whether it is cold, what is heard of it, and its health."""

    # Sums older than about three seconds say little of now; two periods' worth of noise still averages out.
    MEMORY_US = 3 * SECOND_US
    # Of an excess over the fleet: a quarter voided is far beyond chance, and losing the host costs less.
    VOIDED_EXCESS = 0.25
    LEAST_VOIDED = 3.0
    # Expected tries without a word before a host is asked: by chance alone, one in some hundred times.
    SILENT_TRIES = 6.0
    # A probe that no core came round to: the host is past full, else only the calm answers would count.
    SILENT_UTIL = 1.5
    # Good probes in a row before a return; doubled at each relapse.
    GOOD_PROBES = 4
    # At most this part of a table's hosts is shut at once, so that the rest does not drown.
    MOST_SHUT = 0.34

    def __init__(self, desk: Desk, place: int, facts: tuple[int, float, bool, bool]) -> None:
        super().__init__(desk)
        self.place, self.figures = place, desk.figures
        self.cold_us, self.cold_share, self.may_probe, self.always_ask = facts
        self.heard_us = self.faded_us = desk.now
        self.good_probes, self.needed_probes, self.bad_probes = 0, self.GOOD_PROBES, 0
        self.return_share = 1.0
        self.shut_us = 0

    def handle(self, note: Any) -> None:
        match note:
            case notes.HostEntry():
                self.on_entry(note)
            case notes.HostSums():
                self.on_sums(note)
            case notes.ProbeResult():
                self.on_probe(note)
            case Turn():
                self.on_turn()

    def on_entry(self, entry: notes.HostEntry) -> None:
        fig, i = self.figures, self.place
        restarted = entry.started_us > fig.started[i] or (
            fig.state[i] is HostState.GONE and entry.started_us + self.cold_us > self.desk.now)
        fig.zone[i], fig.kind[i], fig.started[i] = entry.zone, entry.kind, entry.started_us
        fig.state[i] = entry.state
        if entry.state is HostState.READY and restarted:
            self.forget()
        self.warm()

    def forget(self) -> None:
        """A new process: what was heard of the old one, and held against it, no longer counts."""
        fig, i = self.figures, self.place
        fig.tries[i] = fig.voided[i] = fig.timed[i] = fig.time_sum[i] = fig.integral[i] = 0.0
        fig.held[i] = fig.held_sum[i] = 0.0
        fig.error[i] = fig.util[i] = None
        fig.shut[i] = False
        self.return_share, self.needed_probes, self.heard_us = 1.0, self.GOOD_PROBES, self.desk.now
        fig.weight[i] = fig.kin_mean(i)

    def warm(self) -> None:
        """Cold hosts get the part of their kind's weight that they are sure to have, so no budget is near.

        Guards against a host pushed over as it starts, whoever else sends there. Where most tries are voided
        at once, tries come many times as fast as hosts can work, so the part shrinks by as much. Does harm
        only where a fast warmer could take more.
        """
        fig, i = self.figures, self.place
        age = self.desk.now - fig.started[i]
        share = self.return_share
        if fig.started[i] and age < self.cold_us:
            share = min(share, self.cold_share + (1 - self.cold_share) * max(0, age) / self.cold_us)
        fig.cap[i] = NO_CAP if share >= 1 else share * fig.kin_mean(i) * fig.good_part()

    def fade(self) -> None:
        fig, i = self.figures, self.place
        keep = 0.5 ** ((self.desk.now - self.faded_us) / self.MEMORY_US)
        self.faded_us = self.desk.now
        for array in (fig.tries, fig.voided, fig.timed, fig.time_sum, fig.held, fig.held_sum):
            array[i] *= keep

    def on_sums(self, sums: notes.HostSums) -> None:
        fig, i = self.figures, self.place
        self.fade()
        self.heard_us, fig.news[i] = self.desk.now, True
        good = max(0, sums.tries - sums.voided)
        fig.tries[i] += sums.tries
        fig.voided[i] += min(sums.voided, sums.tries)
        if good and sums.mean_us > 0:
            fig.timed[i] += good
            fig.time_sum[i] += good * sums.mean_us
        self.on_report(sums.report)

    def on_report(self, report: notes.LoadReport | None) -> None:
        fig, i = self.figures, self.place
        if report is not None and report.inflight is not None:
            self.figures.held[self.place] += 1
            self.figures.held_sum[self.place] += report.inflight
        if report is not None and report.util is not None:
            self.on_util(report.util)

    def on_util(self, util: float) -> None:
        fig, i = self.figures, self.place
        if fig.in_force:
            part = 1.0 if fig.util[i] is None else 0.3
            fig.util[i] = (fig.util[i] or 0.0) * (1 - part) + part * util
            fig.util_weight[i] = fig.util_weight[i] * (1 - part) + part * min(fig.weight[i], fig.cap[i])
            fig.news[i] = True

    def on_probe(self, probe: notes.ProbeResult) -> None:
        if probe.outcome is Outcome.ANSWERED:
            self.good_probes, self.bad_probes = self.good_probes + 1, 0
            self.on_report(probe.report)
        elif probe.outcome is not Outcome.TURNED_AWAY:
            self.good_probes, self.bad_probes = 0, self.bad_probes + 1
            if self.always_ask and probe.outcome is Outcome.SILENT:
                self.on_util(self.SILENT_UTIL)

    def on_turn(self) -> None:
        fig, i = self.figures, self.place
        if fig.state[i] is not HostState.READY:
            return
        self.fade()
        if fig.shut[i]:
            self.consider_return()
        elif self.failing():
            self.shut()
        elif self.return_share < 1:
            self.return_share = min(1.0, self.return_share * 1.5)
        self.warm()
        if self.may_probe and (self.always_ask or fig.shut[i] or self.silent()):
            self.desk.out.append(orders.Probe(fig.ids[i]))

    def failing(self) -> bool:
        """By symptom, whatever the cause: it voids txns, or says nothing where others are heard."""
        fig, i = self.figures, self.place
        tries, voided = sum(fig.tries), sum(fig.voided)
        usual = voided / tries if tries else 0.0
        if fig.voided[i] >= self.LEAST_VOIDED and fig.voided[i] > (usual + self.VOIDED_EXCESS) * fig.tries[i]:
            usual_us = sum(fig.time_sum) / max(sum(fig.timed), 1.0)
            fast = 0 < fig.time_sum[i] < 1.5 * usual_us * fig.timed[i]
            return fast or self.bad_probes > 0
        return self.silent() and self.bad_probes > 1

    def silent(self) -> bool:
        """No word for a time in which a host of its weight is tried often, while the fleet is heard."""
        fig, i = self.figures, self.place
        mates = [j for j in fig.playing() if j != i and fig.tries[j] > 0]
        if len(mates) * 2 < len(fig.playing()):
            return False
        rate = sum(fig.tries[j] for j in mates) / max(sum(fig.weight[j] for j in mates), 1e-9)
        per_us = rate * min(fig.weight[i], fig.cap[i]) * 0.693 / self.MEMORY_US
        return (self.desk.now - self.heard_us) * per_us > self.SILENT_TRIES

    def shut(self) -> None:
        fig, i = self.figures, self.place
        ready = [j for j, state in enumerate(fig.state) if state is HostState.READY]
        kin = [j for j in ready if fig.zone[j] == fig.zone[i]]
        for group in (ready, kin):
            if sum(fig.shut[j] for j in group) + 1 > self.MOST_SHUT * len(group):
                return
        fig.shut[i], self.good_probes, self.shut_us = True, 0, self.desk.now

    def consider_return(self) -> None:
        """Back by degrees; without probes, by time."""
        waited = self.desk.now - self.shut_us > 3 * self.needed_probes * SECOND_US
        if self.good_probes >= self.needed_probes or (not self.may_probe and waited):
            fig, i = self.figures, self.place
            fig.shut[i] = False
            fig.tries[i] = fig.voided[i] = 0.0
            self.heard_us, self.return_share = self.desk.now, 0.25
            self.needed_probes = min(32, self.needed_probes * 2)


class Balancer(Actor):
    """The design's controller: a leaky PID on fill for each host, then weights into slots."""

    TURN_US = SECOND_US
    # Fill is projected to the present weight, so a turn's delay does not bound these as it would a raw one.
    KP, KI, KD, LEAK = 0.2, 0.01, 0.02, 0.10
    FLOOR = 0.05
    # A slower host also keeps its txns nearer to the SLA time: half of that enters, by measure on all sites.
    SLOWNESS = 0.3
    # Txns that a usual host works on before any waits; with more in hand, what it holds tells what it can do.
    AT_ONCE = 3.0
    # Shrinks a host's mean time to its kind's while few txns are timed.
    PRIOR_TXNS = 3.0

    def __init__(self, desk: Desk, tables: list["Table"]) -> None:
        super().__init__(desk)
        self.figures, self.tables = desk.figures, tables

    def handle(self, note: Any) -> None:
        """A turn is the only note that it gets."""
        fig = self.figures
        playing = fig.playing()
        fills = self.fills(playing)
        if not fills:
            return
        mean_fill = sum(fills.values()) / len(fills)
        mean = sum(fig.weight[i] for i in playing) / len(playing)
        for i in playing:
            error = mean_fill - fills.get(i, mean_fill)
            change = error - fig.error[i] if fig.news[i] and fig.error[i] is not None else 0.0
            fig.integral[i] = fig.integral[i] * (1 - self.LEAK) + error
            if fig.news[i]:
                fig.error[i], fig.news[i] = error, False
            c = self.KP * error + self.KI * fig.integral[i] + self.KD * change
            fig.weight[i] = max(fig.weight[i] + 4 * mean * c, self.FLOOR * mean)
        scale = len(playing) / sum(fig.weight[i] for i in playing)
        for i in playing:
            fig.weight[i] *= scale

    def fills(self, playing: list[int]) -> dict[int, float]:
        """0 to 1: what a host is to hold at its present weight, against the mean; unheard: left out."""
        fig = self.figures
        times = self.times(playing)
        size = sum(fig.listed[i] for i in playing) / max(1, len(playing))
        pace = self.pace(times)
        stress = {}
        for i in playing:
            if (util := fig.util[i]) is not None:
                stress[i] = util * fig.weight[i] / fig.util_weight[i]
            elif i in times:
                at_once = max(self.AT_ONCE * fig.listed[i] / size, fig.held_sum[i] / max(fig.held[i], 0.01))
                rate, usual_us = pace[self.group(i)]
                slowness = (times[i] / usual_us) ** self.SLOWNESS
                stress[i] = fig.weight[i] * rate * times[i] * slowness / at_once
        if not stress:
            return {}
        mean = sum(stress.values()) / len(stress)
        return {i: value / (value + mean) for i, value in stress.items()}

    def group(self, place: int) -> tuple[bool, ...]:
        return tuple(table.admits(self.figures, place) for table in self.tables)

    def pace(self, times: dict[int, float]) -> dict[tuple[bool, ...], tuple[float, float]]:
        """Tries a weight, and mean time, of hosts open to the same products: others have another mix."""
        fig = self.figures
        members: dict[tuple[bool, ...], list[int]] = {}
        for i in times:
            members.setdefault(self.group(i), []).append(i)
        return {group: (max(1.0, sum(fig.tries[i] for i in hosts))
                        / sum(min(fig.weight[i], fig.cap[i]) for i in hosts),
                        sum(times[i] for i in hosts) / len(hosts)) for group, hosts in members.items()}

    def times(self, playing: list[int]) -> dict[int, float]:
        """Each heard host's mean time, shrunk to its kind's."""
        fig = self.figures
        by_kind: dict[int, list[float]] = {}
        for i in playing:
            pool = by_kind.setdefault(fig.kind[i], [0.0, 0.0])
            pool[0] += fig.time_sum[i]
            pool[1] += fig.timed[i]
        times = {}
        for i in playing:
            total, count = by_kind[fig.kind[i]]
            if count > 0.5:
                prior = total / count
                times[i] = (fig.time_sum[i] + prior * self.PRIOR_TXNS) / (fig.timed[i] + self.PRIOR_TXNS)
        return times


class Table:
    """Slots of the hosts that some products may use, as last pushed; proxy_zone None: for every proxy."""

    SLOTS_A_HOST = 32  # steps of about 3% of a usual weight: finer ones cost lines and move nothing

    def __init__(self, number: int, zones: frozenset[int] | None, kinds: frozenset[int] | None,
                 proxy_zone: int | None) -> None:
        self.number, self.zones, self.kinds, self.proxy_zone = number, zones, kinds, proxy_zone
        self.products: list[int] = []
        self.pushed: dict[int, int] = {}

    def admits(self, fig: Figures, place: int) -> bool:
        return ((self.zones is None or fig.zone[place] in self.zones)
                and (self.kinds is None or fig.kind[place] in self.kinds))

    def slots(self, fig: Figures) -> dict[int, int]:
        """Floor of each share, the missing ones to the largest remainders; each open host keeps one."""
        open_hosts = [i for i in fig.playing() if self.admits(fig, i)]
        if not open_hosts:
            return {}
        weights = {i: min(fig.weight[i], fig.cap[i]) for i in open_hosts}
        total, sum_w = self.SLOTS_A_HOST * len(open_hosts), sum(weights.values())
        exact = {i: weight * total / sum_w for i, weight in weights.items()}
        slots = {i: int(value) for i, value in exact.items()}
        missing = total - sum(slots.values())
        for i in sorted(open_hosts, key=lambda i: (slots[i] - exact[i], i))[:missing]:
            slots[i] += 1
        return {i: max(1, count) for i, count in slots.items()}


def tables_for(facts: StartFacts) -> list[Table]:
    """One shared table; a further one only for products that may not use every host."""
    tables: dict[tuple[Any, ...], Table] = {}
    for place, product in enumerate(facts.products):
        for proxy_zone in range(facts.zones) if product.own_zone else (None,):
            zones = frozenset(product.zones) if product.zones is not None else None
            if proxy_zone is not None:
                zones = frozenset((proxy_zone,)) & (frozenset((proxy_zone,)) if zones is None else zones)
            kinds = frozenset(product.kinds) if product.kinds is not None else None
            key = (zones, kinds, proxy_zone)
            table = tables.setdefault(key, Table(len(tables), *key))
            table.products.append(place)
    return list(tables.values())


def retry_for(product: ProductFacts) -> orders.Retry:
    """A further try after any failure only where a repeat does no harm anywhere in the shared table."""
    harmless = product.repeat is Repeat.INQUIRY or (
        product.repeat is Repeat.REFERENCED and product.scope is Scope.ALL
        and product.repeat_window_us >= product.expiry_us)
    return orders.Retry.UNRUN


class Publisher(Actor):
    """Keeps the tables, puts proxies on them, and writes to the channel no more than it can take."""

    # Ordinary lines wait while this part of the limit is unanswered; what rules demand has the rest.
    ORDINARY_PART = 0.35
    FULL_LEVEL = {LevelUnit.NONE: 1.0, LevelUnit.SHARE: 1.0, LevelUnit.RATE: 1e6}  # lets everything in

    def __init__(self, desk: Desk, facts: StartFacts) -> None:
        super().__init__(desk)
        self.figures = desk.figures
        self.head, self.allowance = facts.head_lines, self.ORDINARY_PART * facts.queue_cap
        self.only_draining_binds = facts.only_draining_binds
        self.tables = [] if facts.slices else tables_for(facts)
        self.zone_of: dict[int, int] = {}
        self.bound: set[int] = set()
        self.unanswered: dict[int, deque[tuple[int, int]]] = {}
        self.charges: dict[int, int] = {}
        self.serial = 0
        self.withdrawn: set[int] = set()
        level = self.FULL_LEVEL[facts.level_unit]
        for table in self.tables:
            for place in table.products:
                retry = retry_for(facts.products[place])
                desk.out.append(orders.SetLevel(table.number, (place,), level, retry))

    def handle(self, note: Any) -> None:
        match note:
            case notes.HostEntry():
                self.withdraw(note)
            case notes.ProxyJoined():
                self.zone_of[note.proxy] = note.zone
                self.bound.discard(note.proxy)
                self.unanswered[note.proxy] = deque()
                self.bind_waiting()
            case notes.ProxyLeft():
                for known in (self.zone_of, self.unanswered, self.charges):
                    known.pop(note.proxy, None)
                self.bound.discard(note.proxy)
            case notes.Applied():
                self.figures.in_force = True
                waiting = self.unanswered.get(note.proxy, deque())
                while waiting and waiting[0][0] <= note.serial:
                    waiting.popleft()
            case Republish():
                self.publish()
                self.bind_waiting()

    def withdraw(self, entry: notes.HostEntry) -> None:
        """At once and for every joined proxy, whatever tables it holds."""
        i = self.figures.index[entry.host]
        out = self.figures.state[i] is not HostState.READY
        if out == (i in self.withdrawn):
            return
        (self.withdrawn.add if out else self.withdrawn.discard)(i)
        self.desk.out.append(orders.Withdraw(entry.host, out))
        for proxy in self.zone_of:
            self.charge(proxy, 1)

    def charge(self, proxy: int, lines: int) -> None:
        self.charges[proxy] = self.charges.get(proxy, self.head) + lines

    def waiting_lines(self) -> int:
        return (sum(lines for queue in self.unanswered.values() for _, lines in queue)
                + sum(self.charges.values()))

    def publish(self) -> None:
        """Changed slots only; while many lines are unanswered, only those that shut or cap a host."""
        fig = self.figures
        crowded = self.waiting_lines() > self.allowance
        for table in self.tables:
            slots = table.slots(fig)
            if not slots:
                continue  # nobody is open to these products: a line to a host that is back soon does no harm
            users = [p for p in self.bound if self.uses(p, table)]
            for i in sorted(slots.keys() | table.pushed.keys()):
                count, before = slots.get(i, 0), table.pushed.get(i, 0)
                if count == before or (crowded and count and not (count < before and fig.cap[i] < NO_CAP)):
                    continue
                self.desk.out.append(orders.SetLine(table.number, fig.ids[i], float(count)))
                for proxy in users:
                    self.charge(proxy, 1)
                if count:
                    table.pushed[i] = count
                else:
                    del table.pushed[i]

    def uses(self, proxy: int, table: Table) -> bool:
        return table.proxy_zone is None or table.proxy_zone == self.zone_of[proxy]

    def bind_waiting(self) -> None:
        """Each proxy once a stream, and never to a table without lines while hosts are open."""
        if self.tables and not any(table.pushed for table in self.tables):
            return
        for proxy in self.zone_of:
            if proxy in self.bound:
                continue
            self.bound.add(proxy)
            for table in self.tables:
                if self.uses(proxy, table):
                    products = tuple(table.products) if len(self.tables) > 1 else None
                    self.desk.out.append(orders.Bind(table.number, proxy, products))
                    self.charge(proxy, 1 + len(table.pushed) + len(table.products) + len(self.withdrawn))

    def close(self) -> None:
        """Marks what this batch wrote, so that its answer tells when the lines have left the channel."""
        if not self.charges:
            return
        self.serial = self.serial % 65535 + 1
        if self.serial == 1:
            for queue in self.unanswered.values():
                queue.clear()
        self.desk.out.append(orders.Mark(self.serial))
        for proxy, lines in self.charges.items():
            self.unanswered[proxy].append((self.serial, lines + 1))
        self.charges.clear()


class Slices(Actor):
    """Where keys fall into slices: each one in charge keeps an open host; the rest stays as it is."""

    def __init__(self, desk: Desk) -> None:
        super().__init__(desk)
        self.figures = desk.figures
        self.lines: dict[int, dict[int, float]] = {}

    def handle(self, note: Any) -> None:
        fig = self.figures
        match note:
            case notes.SliceCharge(slice, given):
                self.lines.pop(slice, None)
                if given:
                    self.lines[slice] = {}
            case notes.SliceLine(slice, host, weight):
                if slice in self.lines and host in fig.index:
                    self.lines[slice][fig.index[host]] = weight
            case Republish():
                self.settle()

    def settle(self) -> None:
        fig = self.figures
        playing = fig.playing()
        held = {i: 0 for i in playing}
        for lines in self.lines.values():
            for i in lines:
                held[i] = held.get(i, 0) + 1
        for slice, lines in self.lines.items():
            if any(i in playing for i in lines) or not playing:
                continue
            best = min(playing, key=lambda i: (fig.cap[i] < NO_CAP, held[i] / fig.weight[i], i))
            held[best] += 1
            self.desk.out.append(orders.SetLine(slice, fig.ids[best], 1.0))
            self.lines[slice] = {best: 1.0}


class Steward:
    """The door: notes come in by id, orders go out; one loop empties the inboxes in between."""

    TURN, ASK = 1, 2
    ASK_AGAIN_US = 2 * SECOND_US  # a list that did not answer is asked again well within any time set for it

    def __init__(self, facts: StartFacts, seed: int) -> None:
        self.desk = Desk(facts, seed)
        self.figures = self.desk.figures
        self.publisher = Publisher(self.desk, facts)
        self.slices = Slices(self.desk)
        self.balancer = Balancer(self.desk, self.publisher.tables)
        self.hosts: list[Host] = []
        self.products = len(facts.products)
        self.must_subscribe = facts.must_subscribe
        by_probe = facts.reports is ReportWay.PROBES
        self.host_facts = (max(1, facts.cold_us), facts.cold_share, facts.may_probe, by_probe)
        self.started = False

    def deliver(self, clock_us: int, batch: list[notes.Note]) -> list[orders.Order]:
        desk = self.desk
        desk.now = clock_us
        if not self.started:
            self.start()
        changed = False
        for note in batch:
            changed = self.route(note) or changed
            desk.run()
        if changed:
            self.republish()
        self.publisher.close()
        out, desk.out = desk.out, []
        return out

    def start(self) -> None:
        self.started = True
        first = int(Balancer.TURN_US * (0.5 + self.desk.chance() / 2))  # stewards should not turn in step
        self.desk.out.append(orders.SetTimer(first, self.TURN))
        if self.must_subscribe:
            self.desk.out.append(orders.Subscribe(True))

    def republish(self) -> None:
        self.desk.put(self.publisher, Republish())
        self.desk.put(self.slices, Republish())
        self.desk.run()

    def route(self, note: notes.Note) -> bool:
        """Hands a note to the part concerned; tells whether the tables may have to follow."""
        desk, index = self.desk, self.figures.index
        match note:
            case notes.HostList():
                self.on_list(note)
                return True
            case notes.ProxyJoined() | notes.ProxyLeft() | notes.Applied():
                desk.put(self.publisher, note)
            case notes.HostSums() | notes.ProbeResult():
                if note.host in index:
                    desk.put(self.hosts[index[note.host]], note)
            case notes.SliceCharge() | notes.SliceLine():
                desk.put(self.slices, note)
                return True
            case notes.TimerDue(token):
                return self.on_timer(token)
        return False

    def on_list(self, listed: notes.HostList) -> None:
        if listed.kind is ListKind.FAILED:
            self.desk.out.append(orders.SetTimer(self.ASK_AGAIN_US, self.ASK))
            return
        entries = {entry.host: entry for entry in listed.entries}
        if listed.kind is not ListKind.CHANGES:
            for host, i in self.figures.index.items():
                if host not in entries:
                    entries[host] = notes.HostEntry(host, HostState.GONE, self.figures.zone[i],
                                                    self.figures.kind[i], 0, 0.0, self.figures.started[i])
        for host, entry in entries.items():
            if host not in self.figures.index:
                self.hosts.append(Host(self.desk, self.figures.add(entry), self.host_facts))
            self.desk.put(self.hosts[self.figures.index[host]], entry)
            self.desk.put(self.publisher, entry)

    def on_timer(self, token: int) -> bool:
        if token == self.ASK:
            self.desk.out.append(orders.Subscribe(True) if self.must_subscribe else orders.AskList())
        if token != self.TURN:
            return False
        self.desk.out.append(orders.SetTimer(Balancer.TURN_US, self.TURN))
        for host in self.hosts:
            self.desk.put(host, Turn())
        self.desk.put(self.balancer, Turn())
        return True
