"""All decisions of a steward: Steward(facts, seed), then deliver(clock_us, notes) -> orders, once a batch.

Facts, notes and orders are the types in plankroute/interface; actors.py holds the loop, figures.py the hosts'
arrays. The design (docs/design.md) sets the ordinary tables: a leaky PID on fill moves each host's weight
every turn; weights become integer slots of one shared table, and only changed slots are pushed. Beside it:
1. Cold hosts: a host just started, or let back in, is capped and rises as it warms.
2. Health: a host that voids its txns or is silent is probed, shut out, and let back by degrees.
3. Drains: hosts that drain or are gone are withdrawn before all else.
4. Channel: lines count as waiting until a proxy has applied them; ordinary ones wait while many do.
5. Levels: where they are heeded, txns are declined early while answers come too late.
6. Slices: where keys fall into slices, each slice in charge keeps one open host.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from itertools import groupby
from typing import Any

from plankroute.actors import Actor, Desk
from plankroute.figures import NO_CAP, Figures
from plankroute.interface import notes, orders
from plankroute.interface.facts import LevelUnit, ReportWay, StartFacts
from plankroute.interface.notes import HostState, ListKind, Outcome

SECOND_US = 1_000_000


class Beat(Enum):
    """Notes between parts: another turn is due; hosts came, went or moved, so tables follow."""

    TURN, CHANGED = 1, 2


class Fleet(Figures):
    """The host figures, and what is judged from them for all hosts at once."""

    def ready(self) -> list[int]:
        return [i for i, state in enumerate(self.state) if state is HostState.READY]

    def playing(self) -> list[int]:
        """Hosts that may be sent txns."""
        return [i for i in self.ready() if not self.shut[i] and self.cap[i] > 0]

    def counted(self, place: int) -> float:
        return min(self.weight[place], self.cap[place])

    def a_try(self, sums: list[float]) -> float:
        """Such a sum's part in a try, over all hosts listed ready."""
        tried = [i for i in self.ready() if self.tries[i] > 0]
        return sum(sums[i] for i in tried) / sum(self.tries[i] for i in tried) if tried else 0.0

    def kin_mean(self, place: int) -> float:
        """The usual weight of its kind, be they shut; of one not known warm the least: it may be small."""
        warm = [(self.kind[i], self.weight[i]) for i in self.ready() if self.cap[i] == NO_CAP and i != place]
        kin = [weight for kind, weight in warm if kind == self.kind[place]]
        return sum(kin) / len(kin) if kin else min((weight for _, weight in warm), default=1.0)


@dataclass(frozen=True, slots=True)
class HostTerms:
    """What every host is judged by, derived from the start facts."""

    cold_us: int
    cold_share: float
    may_probe: bool
    probe_always: bool  # load reports come no other way
    void_us: float  # a voided txn counts as one that took this long


MEMORY_US = 3 * SECOND_US  # half-life of sums: older say little, and the noise of two or three averages out


class Host(Actor):
    """One host: its place in the list, whether it is cold, what is heard of it, and its health."""

    VOIDED_EXCESS, LEAST_VOIDED = 0.25, 3.0  # over the fleet's part, and in txns: together beyond chance
    SILENT_TRIES = 4.0  # expected without a word: by chance one time in fifty, and it only asks a probe
    BAD_PROBES, GOOD_PROBES, MOST_PROBES = 2, 2, 32  # in a row, to shut a suspect and to let it back
    MOST_SHUT = 0.67  # of all hosts: two zones of three may be out of reach; fewer left would only drown
    ENTRY, RISE = 0.25, 1.5  # the design's quarter for a host that comes back, then half as much again a turn
    FLOCK = 2.5  # takes a quarter off at a half voided, two thirds at nine tenths; without it hosts fell
    # Parts voided at which all txns soon flock to a new host: in any fleet, and in one that answers so late.
    DROWNING, TIPPING, LATE = 0.5, 0.35, 0.8

    def __init__(self, desk: Desk, fleet: Fleet, place: int, terms: HostTerms) -> None:
        super().__init__(desk)
        self.fleet, self.place, self.terms = fleet, place, terms
        self.started_us, self.share = 0, 1.0
        self.faded_us = self.shut_us = fleet.heard_us[place] = desk.now
        self.good_probes, self.bad_probes, self.needed = 0, 0, self.GOOD_PROBES
        self.work = {notes.HostEntry: self.on_entry, notes.HostSums: self.on_sums,
                     notes.ProbeResult: self.on_probe, Beat: self.on_turn}

    def handle(self, note: Any) -> None:
        self.warm() if note is Beat.CHANGED else self.work[type(note)](note)

    def on_entry(self, entry: notes.HostEntry) -> None:
        fleet, i = self.fleet, self.place
        fleet.zone[i], fleet.kind[i], fleet.state[i] = entry.zone, entry.kind, entry.state
        if entry.state is HostState.READY:
            restarted, self.started_us = entry.started_us > self.started_us, entry.started_us
            if restarted:
                # A new process: what was heard of the old one, and held against it, no longer counts.
                fleet.fade(i, 0.0)
                fleet.error[i], fleet.integral[i], fleet.shut[i] = None, 0.0, False
                self.share, self.needed, fleet.heard_us[i] = 1.0, self.GOOD_PROBES, self.desk.now
                fleet.weight[i] = fleet.kin_mean(i)
        self.warm()

    def warm(self) -> None:
        """Cold hosts get the part of their kind's weight that they are sure to bear, less what may rush in.

        Guards against a host pushed over as it starts, whoever else sends there. Where tries are voided, more
        come to a weight than hosts can answer, and proxies shun the others and flock to what is left; many
        can share that rush, few can not. Harm: a fast warmer could take more.
        """
        fleet, i, share, least = self.fleet, self.place, self.share, self.terms.cold_share
        age = max(0, self.desk.now - self.started_us)
        if cold := 0 < self.started_us and age < self.terms.cold_us:
            share = min(share, least + (1 - least) * age / self.terms.cold_us)
        warm = [fleet.cap[j] == NO_CAP for j in fleet.ready()]
        able, rescue = warm.count(True), share * warm.count(False)
        fleet.most = max(fleet.most, able)
        if share >= 1:
            fleet.cap[i] = NO_CAP
            return
        voided = fleet.a_try(fleet.voided)
        bound = self.TIPPING if fleet.a_try(fleet.time_us) > self.LATE * self.terms.void_us else self.DROWNING
        half = fleet.most / 2
        drowning = rescue < max(able, half) and (voided > bound or able + rescue < half)
        bears = max(0.01, share * (1 - voided) / (1 + self.FLOCK * voided**3))
        fleet.cap[i] = 0.0 if cold and drowning else bears * fleet.kin_mean(i)

    def fade(self) -> None:
        self.fleet.fade(self.place, 0.5 ** ((self.desk.now - self.faded_us) / MEMORY_US))
        self.faded_us = self.desk.now

    def on_sums(self, sums: notes.HostSums) -> None:
        """Guards against hosts that void txns fast and so look empty: each counts as late."""
        fleet, i, voided = self.fleet, self.place, min(sums.voided, sums.tries)
        self.fade()
        fleet.heard_us[i], fleet.news[i] = self.desk.now, True
        good = sums.tries - voided if sums.mean_us > 0 else 0
        fleet.tries[i] += good + voided
        fleet.voided[i] += voided
        fleet.time_us[i] += good * sums.mean_us + voided * self.terms.void_us
        self.on_report(sums.report)

    def on_report(self, report: notes.LoadReport | None) -> None:
        if report and report.inflight is not None:
            self.fleet.reports[self.place] += 1
            self.fleet.held[self.place] += report.inflight

    def on_probe(self, probe: notes.ProbeResult) -> None:
        if probe.outcome is Outcome.ANSWERED:
            self.good_probes, self.bad_probes = self.good_probes + 1, 0
            self.on_report(probe.report)
        elif probe.outcome is not Outcome.TURNED_AWAY:
            self.good_probes, self.bad_probes = 0, self.bad_probes + 1
            self.consider_shutting()

    def consider_shutting(self) -> None:
        enough = self.bad_probes >= (1 if self.silent() else self.BAD_PROBES)
        if self.place in self.fleet.playing() and enough and self.suspect() and self.spared():
            self.fleet.shut[self.place], self.shut_us = True, self.desk.now

    def on_turn(self, _: Beat) -> None:
        fleet, i = self.fleet, self.place
        if fleet.state[i] is not HostState.READY:
            return
        self.fade()
        suspect = not fleet.shut[i] and self.suspect()
        if fleet.shut[i]:
            self.consider_return()
        else:
            self.share = min(1.0, self.share * self.RISE)
            if not suspect and not self.terms.probe_always:
                self.bad_probes = 0
        self.warm()
        if self.terms.may_probe and (self.terms.probe_always or suspect or fleet.shut[i]):
            self.desk.out.append(orders.Probe(fleet.ids[i]))

    def suspect(self) -> bool:
        """By symptom, whatever the cause: it voids txns, or says nothing where others are heard."""
        fleet, i = self.fleet, self.place
        excess = fleet.voided[i] - (fleet.a_try(fleet.voided) + self.VOIDED_EXCESS) * fleet.tries[i]
        return (excess > 0 and fleet.voided[i] >= self.LEAST_VOIDED) or self.silent()

    def silent(self) -> bool:
        """No word for a time in which most others spoke and a host of its weight is tried often."""
        fleet, i = self.fleet, self.place
        others = [j for j in fleet.playing() if j != i and fleet.tries[j] > 0]
        if not others:
            return False
        tries = sum(fleet.tries[j] for j in others) / sum(fleet.weight[j] for j in others)
        per_us = tries * fleet.counted(i) * 0.693 / MEMORY_US
        last_us = sorted(fleet.heard_us[j] for j in others)[len(others) // 2]
        return (last_us - fleet.heard_us[i]) * per_us > self.SILENT_TRIES

    def spared(self) -> bool:
        """The rest can do without it."""
        ready = self.fleet.ready()
        return sum(self.fleet.shut[i] for i in ready) + 1 <= self.MOST_SHUT * len(ready)

    def consider_return(self) -> None:
        """After good probes in a row; where none may be sent, after as many turns."""
        fleet, i = self.fleet, self.place
        waited = self.desk.now - self.shut_us > self.needed * SECOND_US
        if self.good_probes >= self.needed or (waited and not self.terms.may_probe):
            fleet.shut[i], self.share, fleet.heard_us[i] = False, self.ENTRY, self.desk.now
            fleet.fade(i, 0.0)
            self.needed = min(self.MOST_PROBES, self.needed * 2)


def grouped(hosts: Iterable[int], key: Callable[[int], Any]) -> list[list[int]]:
    return [list(group) for _, group in groupby(sorted(hosts, key=key), key)]


class Balancer(Actor):
    """The design's controller: a leaky PID on fill moves each host's weight."""

    TURN_US = SECOND_US
    KP, KI, KD, LEAK = 0.12, 0.01, 0.02, 0.10  # fill is at the present weight: lateness bounds them less
    EAGER = 6.0  # where the list tells no sizes, all is to be learnt: more gain at first, double at turn 6
    FLOOR = 0.05
    SLOWNESS, DRAIN = 0.3, 0.45  # surcharges for slow hosts and for queues; more made queues swing
    AT_ONCE = 3.0  # txns a usual host works on before any waits; with more in hand these tell its powers
    PRIOR_TRIES = 3.0  # shrinks a host's mean time to its kind's while few tries are counted

    def __init__(self, desk: Desk, fleet: Fleet, tables: list["Table"]) -> None:
        super().__init__(desk)
        self.fleet, self.tables, self.turns = fleet, tables, 0

    def handle(self, note: Any) -> None:
        fleet, playing = self.fleet, self.fleet.playing()
        fills = self.fills(playing)
        if not fills:
            return
        mean_fill = sum(fills.values()) / len(fills)
        mean = sum(fleet.weight[i] for i in playing) / len(playing)
        self.turns += 1
        eager = 1 + self.EAGER / self.turns if len({fleet.listed[i] for i in playing}) == 1 else 1.0
        for i in playing:
            # No news, no error: unheard hosts count as average, so a blind steward's weights stay.
            error = mean_fill - fills[i] if fleet.news[i] and i in fills else 0.0
            before, change = fleet.error[i], 0.0
            fleet.integral[i] = fleet.integral[i] * (1 - self.LEAK) + error
            if fleet.news[i]:
                change = error - before if before is not None else 0.0
                fleet.error[i], fleet.news[i] = error, False
            c = self.KP * error + self.KI * fleet.integral[i] + self.KD * change
            fleet.weight[i] = max(fleet.weight[i] + 4 * mean * eager * c, self.FLOOR * mean)
        scale = len(playing) / sum(fleet.weight[i] for i in playing)
        for i in playing:
            fleet.weight[i] *= scale

    def fills(self, playing: list[int]) -> dict[int, float]:
        """0 to 1: the part of a host's powers that its present weight takes, against the mean."""
        fleet, times = self.fleet, self.times(playing)
        if not times:
            return {}
        size = sum(fleet.listed[i] for i in playing) / len(playing)
        stress = {}
        held = {i: fleet.held[i] / fleet.reports[i] for i in times if fleet.reports[i] > 0.1}
        for hosts in grouped(times, lambda i: tuple(table.admits(fleet, i) for table in self.tables)):
            # Hosts open to the same products: others have another mix of work, and other tries a weight.
            usual = sum(times[i] for i in hosts) / len(hosts)
            pace = self.pace(hosts, times, held)
            for i in hosts:
                at_once = self.AT_ONCE * fleet.listed[i] / size
                crowd = max(1.0, held.get(i, 0.0) / at_once)
                stress[i] = (pace * fleet.weight[i] * times[i] / at_once * crowd ** (self.DRAIN - 1)
                             * (times[i] / usual) ** self.SLOWNESS)
        mean = sum(stress.values()) / len(stress)
        return {i: value / (value + mean) for i, value in stress.items()}

    def pace(self, hosts: list[int], times: dict[int, float], held: dict[int, float]) -> float:
        """Txns a weight and time: by what hosts hold from all proxies, so stewards do not part ways."""
        fleet, told = self.fleet, [i for i in hosts if held.get(i, 0.0) > 0]
        if told:
            return sum(held[i] for i in told) / sum(fleet.counted(i) * times[i] for i in told)
        tries = max(1.0, sum(fleet.tries[i] for i in hosts)) / MEMORY_US  # no reports: this steward's alone
        return tries / sum(fleet.counted(i) for i in hosts)

    def times(self, playing: list[int]) -> dict[int, float]:
        """Each host's mean time, shrunk to its kind's; none for kinds that are not heard."""
        fleet, times = self.fleet, dict[int, float]()
        for kin in grouped(playing, lambda i: fleet.kind[i]):
            tries = sum(fleet.tries[i] for i in kin)
            if tries > 0.5:
                prior = sum(fleet.time_us[i] for i in kin) / tries
                for i in kin:
                    times[i] = ((fleet.time_us[i] + prior * self.PRIOR_TRIES)
                                / (fleet.tries[i] + self.PRIOR_TRIES))
        return times


class Table:
    """Slots of the hosts that some products may use, as last pushed; proxy_zone None: for every proxy."""

    SLOTS_A_HOST = 32  # steps of 3% of a usual weight: finer ones cost lines and move nothing

    def __init__(self, number: int, zones: frozenset[int] | None, kinds: frozenset[int] | None,
                 proxy_zone: int | None) -> None:
        self.number, self.zones, self.kinds, self.proxy_zone = number, zones, kinds, proxy_zone
        self.products: list[int] = []
        self.pushed: dict[int, int] = {}

    def admits(self, fleet: Fleet, place: int) -> bool:
        return ((self.zones is None or fleet.zone[place] in self.zones)
                and (self.kinds is None or fleet.kind[place] in self.kinds))

    def held_in(self, proxy_zone: int) -> bool:
        return self.proxy_zone in (None, proxy_zone)

    def slots(self, fleet: Fleet) -> dict[int, int]:
        """Floor of each share, the missing ones to the largest remainders; each open host keeps one."""
        hosts = [i for i in fleet.playing() if self.admits(fleet, i)]
        suspects = [i for i in fleet.ready() if fleet.shut[i] and fleet.cap[i] and self.admits(fleet, i)]
        if 2 * sum(fleet.cap[i] == NO_CAP for i in hosts) <= len(suspects):
            # Guards against a bare proxy, and against all txns on a few hosts, or on ones still cold.
            hosts += suspects
        weights = {i: fleet.counted(i) for i in hosts}
        total, sum_w = self.SLOTS_A_HOST * len(weights), sum(weights.values())
        exact = {i: weight * total / sum_w for i, weight in weights.items()}
        slots = {i: int(value) for i, value in exact.items()}
        missing = total - sum(slots.values())
        for i in sorted(slots, key=lambda i: (slots[i] - exact[i], i))[:missing]:
            slots[i] += 1
        return {i: max(1, count) for i, count in slots.items()}


def tables_for(facts: StartFacts) -> list[Table]:
    """One shared table; a further one only for products that may not use every host."""
    tables: dict[tuple[Any, ...], Table] = {}
    for place, product in enumerate(facts.products):
        kinds = None if product.kinds is None else frozenset(product.kinds)
        zones = None if product.zones is None else frozenset(product.zones)
        for proxy_zone in range(facts.zones) if product.own_zone else (None,):
            open_to = zones if proxy_zone is None else frozenset((proxy_zone,)) & (zones or {proxy_zone})
            key = (open_to, kinds, proxy_zone)
            tables.setdefault(key, Table(len(tables), *key)).products.append(place)
    return list(tables.values())


def mean_sla_us(facts: StartFacts) -> float:
    return max(1.0, sum(product.sla_us for product in facts.products) / max(1, len(facts.products)))


class Publisher(Actor):
    """Keeps the tables, puts proxies on them, and writes to the channel no more than it can take."""

    ORDINARY_PART = 0.35  # of the limit may be unanswered; what the rules demand has the rest
    # Lets all in; another try only on proof that the first never ran: others doubled the load of late hosts.
    OPEN = {LevelUnit.NONE: 1.0, LevelUnit.SHARE: 1.0, LevelUnit.RATE: 1e6}
    RETRY = orders.Retry.UNRUN

    def __init__(self, desk: Desk, fleet: Fleet, facts: StartFacts) -> None:
        super().__init__(desk)
        self.fleet, self.serial = fleet, 0
        self.head, self.allowance = facts.head_lines, self.ORDINARY_PART * facts.queue_cap
        self.tables = [] if facts.slices else tables_for(facts)
        self.most, self.window_us = facts.messages_most, facts.messages_window_us
        self.sent_us: dict[int, deque[int]] = {}  # when each proxy was written to, where that is limited
        self.zone_of: dict[int, int] = {}  # of joined proxies
        self.bound, self.withdrawn = set[int](), set[int]()
        self.unanswered: dict[int, deque[tuple[int, int]]] = {}
        self.charges: dict[int, int] = {}  # lines of this batch's message to each proxy
        self.levels: dict[Any, orders.SetLevel] = {}  # not yet written: a newer one replaces an older
        for table in self.tables:
            desk.out.append(orders.SetLevel(table.number, None, self.OPEN[facts.level_unit], self.RETRY))

    def handle(self, note: Any) -> None:
        match note:
            case notes.HostEntry():
                self.withdraw(note)
            case notes.ProxyJoined():
                self.on_left(note.proxy)
                self.zone_of[note.proxy], self.unanswered[note.proxy] = note.zone, deque()
                self.sent_us[note.proxy] = deque(maxlen=self.most)
                self.bind_waiting()
            case notes.ProxyLeft():
                self.on_left(note.proxy)
            case notes.Applied():
                waiting = self.unanswered.get(note.proxy, deque())
                while waiting and waiting[0][0] <= note.serial:
                    waiting.popleft()
            case orders.SetLevel():
                self.levels[note.table, note.products] = note
            case Beat.CHANGED:
                self.publish()
                self.bind_waiting()

    def on_left(self, proxy: int) -> None:
        self.bound.discard(proxy)
        for known in (self.zone_of, self.unanswered, self.charges, self.sent_us):
            known.pop(proxy, None)

    def order(self, order: orders.Order, proxies: list[int], lines: int = 1) -> None:
        self.desk.out.append(order)
        for proxy in proxies:
            self.charges[proxy] = self.charges.get(proxy, self.head) + lines

    def withdraw(self, entry: notes.HostEntry) -> None:
        """At once and for every joined proxy, whatever tables it holds."""
        i = self.fleet.index[entry.host]
        out = self.fleet.state[i] is not HostState.READY
        if out != (i in self.withdrawn):
            (self.withdrawn.add if out else self.withdrawn.discard)(i)
            self.order(orders.Withdraw(entry.host, out), list(self.zone_of))

    def crowded(self) -> bool:
        lines = sum(lines for queue in self.unanswered.values() for _, lines in queue)
        recent = max((sum(at > self.desk.now - self.window_us for at in sent)
                      for sent in self.sent_us.values()), default=0)
        return lines + sum(self.charges.values()) > self.allowance or 0 < self.most <= 2 * recent

    def publish(self) -> None:
        """Changed slots only; in a crowded channel those that shut or cap a host, all if none is left."""
        fleet, crowded = self.fleet, self.crowded()
        for table in self.tables:
            slots = table.slots(fleet)
            users = self.users(table)
            waits = crowded and any(i in slots and fleet.cap[i] == NO_CAP for i in table.pushed)
            for i in sorted(slots.keys() | table.pushed.keys()):
                count, before = slots.get(i, 0), table.pushed.get(i, 0)
                if count == before or (waits and count and not (count < before and fleet.cap[i] < NO_CAP)):
                    continue
                self.order(orders.SetLine(table.number, fleet.ids[i], float(count)), users)
                table.pushed[i] = count
            table.pushed = {i: count for i, count in table.pushed.items() if count}
        while self.levels and not crowded:
            level = self.levels.pop(next(iter(self.levels)))
            self.order(level, self.users(self.tables[level.table]))

    def users(self, table: Table) -> list[int]:
        return [proxy for proxy, zone in self.zone_of.items() if proxy in self.bound and table.held_in(zone)]

    def bind_waiting(self) -> None:
        """Each proxy once a stream, and never to tables without lines."""
        for proxy in sorted(self.zone_of.keys() - self.bound) if any(t.pushed for t in self.tables) else ():
            self.bound.add(proxy)
            for table in self.tables:
                if table.held_in(self.zone_of[proxy]):
                    products = tuple(table.products) if len(self.tables) > 1 else None
                    lines = 1 + len(table.pushed) + 2 * len(table.products) + len(self.withdrawn)
                    self.order(orders.Bind(table.number, proxy, products), [proxy], lines)

    def close(self) -> None:
        """Marks what this batch wrote; the answers tell when it has left the channel."""
        if self.charges:
            self.serial = self.serial % 65535 + 1  # as far as a mark counts
            self.desk.out.append(orders.Mark(self.serial))
        for proxy, lines in self.charges.items():
            if self.serial == 1:
                self.unanswered[proxy].clear()
            self.unanswered[proxy].append((self.serial, lines + 1))
            self.sent_us[proxy].append(self.desk.now)
        self.charges.clear()


class Levels(Actor):
    """Declines early while answers are late: table by table, so zone by zone where products stay in one.

    Guards against overload of any cause; does harm where answers are late though hosts are not full.
    """

    HIGH, LOW = 0.55, 0.45  # of the SLA time: a mean beyond it leaves a long tail past it
    FALL, RISE, LEAST = 0.7, 1.15, 0.1  # a turn: quick enough for a burst, slow enough for late reports
    LAG = 4  # turns until an order shows in the sums: a fall is counted from the share then in force
    STEP = 0.05  # smaller moves are not worth their lines

    def __init__(self, desk: Desk, fleet: Fleet, facts: StartFacts, publisher: Publisher) -> None:
        super().__init__(desk)
        self.fleet, self.publisher, self.unit = fleet, publisher, facts.level_unit
        self.tables = publisher.tables if self.unit is not LevelUnit.NONE else []  # nobody heeds any
        self.sla_us, self.zone_of = mean_sla_us(facts), dict[int, int]()
        self.share = [1.0] * len(self.tables)
        self.past = [deque([1.0] * self.LAG, self.LAG) for _ in self.tables]
        self.late, self.voided, self.tries = ([0.0] * len(self.tables) for _ in range(3))
        self.sent: dict[tuple[int, int], float] = {}
        self.rates: dict[tuple[int, int], float] = {}  # txns a second, by proxy and product

    def handle(self, note: Any) -> None:
        match note:
            case notes.ProxyJoined():
                self.zone_of[note.proxy] = note.zone
            case notes.ProxyLeft():
                self.zone_of.pop(note.proxy, None)
            case notes.ProxyTraffic() if note.span_us > 0:
                key, rate = (note.proxy, note.product), note.arrived * SECOND_US / note.span_us
                self.rates[key] = (self.rates.get(key, rate) + rate) / 2
            case notes.HostSums():
                host = self.fleet.index[note.host]
                for place, table in enumerate(self.tables):
                    # By what its own proxies met: a zone behind a cut may serve its own all the same.
                    if table.held_in(note.zone) and table.admits(self.fleet, host):
                        self.tries[place] += note.tries
                        self.voided[place] += note.voided
                        self.late[place] += (note.tries - note.voided) * note.mean_us / self.sla_us
            case Beat.TURN:
                for place, table in enumerate(self.tables):
                    self.follow(place, table)

    def follow(self, place: int, table: Table) -> None:
        """Turn by turn: in a sum by txns the many late ones of an overload would outlast it."""
        share, tries, past = self.share[place], self.tries[place], self.past[place]
        past.append(share)
        good = 1 - self.voided[place] / max(1, tries)
        late = self.late[place] / max(1, tries) + 1 - good
        if late > self.HIGH:
            share = max(self.LEAST, min(share, past[0] * min(self.FALL, good)))
        elif late < self.LOW:
            share = min(1.0, share * self.RISE)
        self.share[place] = share
        self.late[place] = self.voided[place] = self.tries[place] = 0
        for product in table.products:
            self.set_level(table, product, share)

    def set_level(self, table: Table, product: int, share: float) -> None:
        open_ = level = Publisher.OPEN[self.unit]
        if share < 1:
            level = share if self.unit is LevelUnit.SHARE else self.rate_for(table, product, share)
        before = self.sent.get((table.number, product), open_)
        if abs(level - before) > self.STEP * before or level == open_ != before:
            self.sent[table.number, product] = level
            self.desk.put(self.publisher, orders.SetLevel(table.number, (product,), level, Publisher.RETRY))

    def rate_for(self, table: Table, product: int, share: float) -> float:
        """The rate at each proxy by which the share of all comes in: the small ones keep theirs whole."""
        rates = sorted(self.rates.get((proxy, product), 0.0) for proxy, zone in self.zone_of.items()
                       if table.held_in(zone))
        left = share * sum(rates)
        for place, rate in enumerate(rates):
            if (even := left / (len(rates) - place)) <= rate:
                return max(even, 0.1)
            left -= rate
        return Publisher.OPEN[self.unit]


class Slices(Actor):
    """Where keys fall into slices: each one in charge keeps an open host; the rest stays as it is."""

    def __init__(self, desk: Desk, fleet: Fleet) -> None:
        super().__init__(desk)
        self.fleet, self.lines = fleet, dict[int, set[int]]()

    def handle(self, note: Any) -> None:
        match note:
            case notes.SliceCharge(slice=number, given=given):
                self.lines.pop(number, None)
                if given:
                    self.lines[number] = set()
            case notes.SliceLine(slice=number, host=host):
                if number in self.lines and host in self.fleet.index:
                    self.lines[number].add(self.fleet.index[host])
            case Beat.CHANGED:
                self.settle()

    def settle(self) -> None:
        fleet, playing = self.fleet, self.fleet.playing()
        held = {i: sum(i in lines for lines in self.lines.values()) for i in playing}
        for number, lines in self.lines.items():
            if playing and not any(fleet.state[i] is HostState.READY for i in lines):
                best = min(playing, key=lambda i: (fleet.cap[i] < NO_CAP, held[i] / fleet.weight[i], i))
                held[best] += 1
                self.desk.out.append(orders.SetLine(number, fleet.ids[best], 1.0))
                self.lines[number] = {best}


class Steward:
    """The door: notes come in by id, orders go out; in between one loop empties the inboxes."""

    TURN, ASK = 1, 2
    ASK_AGAIN_US = 2 * SECOND_US  # well before an unanswered list counts as known

    def __init__(self, facts: StartFacts, seed: int) -> None:
        self.desk, self.fleet, self.hosts = Desk(seed), Fleet(), list[Host]()
        self.publisher = publisher = Publisher(self.desk, self.fleet, facts)
        self.balancer = Balancer(self.desk, self.fleet, publisher.tables)
        self.levels = levels = Levels(self.desk, self.fleet, facts, publisher)
        self.slices = Slices(self.desk, self.fleet)
        self.readers: dict[type, tuple[Actor, ...]] = {
            notes.ProxyJoined: (publisher, levels), notes.ProxyLeft: (publisher, levels),
            notes.Applied: (publisher,), notes.ProxyTraffic: (levels,), notes.HostSums: (levels,),
            notes.SliceCharge: (self.slices,), notes.SliceLine: (self.slices,)}
        self.ask = orders.Subscribe(True) if facts.must_subscribe else orders.AskList()
        self.must_subscribe, self.started = facts.must_subscribe, False
        self.terms = HostTerms(facts.cold_us, facts.cold_share, facts.may_probe,
                               facts.reports is ReportWay.PROBES, mean_sla_us(facts))

    def deliver(self, clock_us: int, batch: list[notes.Note]) -> list[orders.Order]:
        desk, changed = self.desk, False
        desk.now = clock_us
        if not self.started:
            self.started = True
            first = int(Balancer.TURN_US * (0.5 + desk.chance() / 2))  # stewards should not turn in step
            desk.out += [orders.SetTimer(first, self.TURN)] + [self.ask] * self.must_subscribe
        for note in batch:
            changed = self.route(note) or changed
            desk.run()
        if changed:
            for part in (self.publisher, self.slices):
                desk.put(part, Beat.CHANGED)
            desk.run()
        self.publisher.close()
        out, desk.out = desk.out, []
        return out

    def route(self, note: notes.Note) -> bool:
        """Hands a note to the parts concerned; tells whether tables may have to follow."""
        match note:
            case notes.HostList():
                self.on_list(note)
                return True
            case notes.TimerDue():
                return self.on_timer(note.token)
            case notes.HostSums() | notes.ProbeResult():
                if note.host not in self.fleet.index:
                    return False
                self.desk.put(self.hosts[self.fleet.index[note.host]], note)
        for part in self.readers.get(type(note), ()):
            self.desk.put(part, note)
        return isinstance(note, (notes.SliceCharge, notes.SliceLine, notes.ProbeResult))

    def on_list(self, listed: notes.HostList) -> None:
        if listed.kind is ListKind.FAILED:
            self.desk.out.append(orders.SetTimer(self.ASK_AGAIN_US, self.ASK))
            return
        fleet = self.fleet
        entries = {entry.host: entry for entry in listed.entries}
        if listed.kind is not ListKind.CHANGES:
            for host, i in fleet.index.items():
                entries.setdefault(host, notes.HostEntry(host, HostState.GONE, fleet.zone[i], fleet.kind[i],
                                                         0, 0.0, 0))
        for host, entry in entries.items():
            if host not in fleet.index:
                self.hosts.append(Host(self.desk, fleet, fleet.add(entry), self.terms))
            for part in (self.hosts[fleet.index[host]], self.publisher):
                self.desk.put(part, entry)
        for part in self.hosts:
            self.desk.put(part, Beat.CHANGED)

    def on_timer(self, token: int) -> bool:
        if token == self.ASK:
            self.desk.out.append(self.ask)
        elif token == self.TURN:
            self.desk.out.append(orders.SetTimer(Balancer.TURN_US, self.TURN))
            for part in (*self.hosts, self.balancer, self.levels):
                self.desk.put(part, Beat.TURN)
        return token == self.TURN
