"""All decisions of a controller; its entry point is controller.Controller.deliver(clock_us, notes) -> orders.

A leaky PID on fill moves each host's weight every turn (docs/design.md), and only changed slots are pushed:
1. Cold hosts: a host just started, or let back in, is capped and rises as it warms.
2. Health: a host that voids its txns or is silent is probed, shut out, and let back by degrees.
3. Drains: hosts that drain or are gone are withdrawn before all else.
4. Channel: what a message, and a table, may hold follows from its pace; slots that move most go first.
5. Levels: where they are heeded, txns are declined early while answers come too late.
6. First weights: by what old tables bring each host, the speed of probes, and what was learned before.
"""

import math
from collections import deque
from collections.abc import Iterable, Iterator
from statistics import fmean, median
from typing import Any

from plankroute.controller.channel import Channel
from plankroute.controller.host_statistics import NO_CAP, HostStatistics, grouped
from plankroute.controller.registry import Change, ProxyRegistry, Pushed, even_cap, in_whole
from plankroute.controller.scheduler import Actor, Scheduler, Tick
from plankroute.events import commands, events
from plankroute.events.events import HostState, Outcome
from plankroute.events.facts import LevelUnit, ReportWay, StartFacts

SECOND_US = 1_000_000
ASK_AGAIN_US = 2 * SECOND_US  # for a list that failed: well before it counts as known
MEMORY_US = (
    3 * SECOND_US
)  # half-life of sums: older say little, and the noise of two or three averages out
LN_2 = 0.693  # such a sum holds what comes in MEMORY_US / LN_2


class Fleet(HostStatistics):
    """The host figures, and what is judged from them for all hosts at once: looked at once a turn or list."""

    def __init__(self, facts: StartFacts) -> None:
        super().__init__()
        self.cold_us, self.cold_share, self.may_probe = (
            facts.cold_us,
            facts.cold_share,
            facts.may_probe,
        )
        self.probe_always = (
            facts.may_probe and facts.reports is ReportWay.PROBES
        )  # reports come no other way
        self.sla_us = max(
            1.0, fmean([product.sla_us for product in facts.products] or [1])
        )  # of a void
        self.voided_part = self.time_part = self.tries_a_weight = self.crowding = (
            0.0  # over all listed ready
        )
        self.best_part = self.learn_most_us = (
            0.0  # voided by the best third; binds' longest wait for weights
        )
        self.able = self.entering = self.last_us = self.alarm_us = 0
        self.learning_us: int | None = (
            0  # 0: nobody joined yet; since when binds wait for weights; None: not
        )
        self.old = (
            False  # those who wait hold tables that another steward, or an earlier life, has taught
        )
        self.kin: dict[int, float] = {}  # by kind, the usual weight of its warm hosts, be they shut
        # Learned before this start: weights, hosts in trouble, those shut by it alone; and its proofs
        self.told, self.told_bad, self.on_news = dict[int, float](), set[int](), set[int]()
        self.judged, self.right, self.wrong = set[int](), 0, 0
        self.outside_subset = set[int]()  # left to other controllers (`subset_share`)

    def look(self) -> None:
        ready, heard = self.ready(), [i for i in self.playing() if self.tries[i] > 0]
        tries = sum(self.tries[i] for i in ready) or 1.0
        self.voided_part = sum(self.voided[i] for i in ready) / tries
        open_to = sum(i not in self.outside_subset for i in ready)
        self.crowding = tries * LN_2 * SECOND_US / MEMORY_US / max(1, self.proxies * open_to)
        self.time_part = sum(self.time_us[i] for i in ready) / tries
        self.tries_a_weight = sum(self.tries[i] for i in heard) / (
            sum(self.weight[i] for i in heard) or 1.0
        )
        # By the best third, since two zones of three may be out of reach.
        best = sorted(heard, key=lambda i: self.voided[i] / self.tries[i])[
            : max(1, len(heard) // 3)
        ]
        self.best_part = sum(self.voided[i] for i in best) / (
            sum(self.tries[i] for i in best) or 1.0
        )
        self.last_us = sorted(self.heard_us[i] for i in heard)[len(heard) * 2 // 3] if heard else 0
        warm = [i for i in ready if self.cap[i] == NO_CAP]
        self.able, self.entering = len(warm), len(ready) - len(warm)
        self.most = max(self.most, self.able)
        self.kin = {
            self.kind[kin[0]]: sum(self.weight[i] for i in kin) / len(kin)
            for kin in grouped(warm, lambda i: self.kind[i])
        }

    def judge(
        self, place: int, bad: bool
    ) -> None:  # guards against wrong news: all stand or fall together
        as_told = bad == (place in self.told_bad)
        if place in self.told and place not in self.judged and (bad or not as_told):
            self.judged.add(place)
            self.right, self.wrong = self.right + as_told, self.wrong + (not as_told)
        if (
            self.wrong >= 2 and self.wrong > self.right
        ):  # all is as it would have started without them
            for i in self.on_news:
                self.shut[i] = False
            for i in self.told:
                self.weight[i], self.standing[i] = self.listed[i], 0.0
            self.told, self.on_news = {}, set()

    def kin_mean(self, place: int) -> float:  # of a kind not known warm the least: it may be small
        return self.kin.get(self.kind[place], min(self.kin.values(), default=1.0))

    def probes(self, places: Iterable[int]) -> list[commands.Order]:
        return [commands.Probe(self.ids[i]) for i in places if self.may_probe]


class Host(Actor):
    """One host: its place in the list, whether it is cold, what is heard of it, and its health."""

    VOIDED_EXCESS, LEAST_VOIDED = (
        0.25,
        3.0,
    )  # over the best hosts' part, and in txns: together beyond chance
    STRAINED = (
        3.0  # times the best hosts' part: where all void much a host that voids more is but fuller
    )
    SILENT_TRIES = (
        4.0  # expected without a word: by chance one time in fifty, and it only asks a probe
    )
    BAD_PROBES, GOOD_PROBES, MOST_PROBES = (
        2,
        2,
        32,
    )  # in a row, to shut a suspect and to let it back
    MOST_SHUT = (
        0.75  # of all hosts: two zones of three may be out of reach; fewer left would only drown
    )
    ALARM_US = (
        3 * SECOND_US
    )  # after streams broke together: one probe that does not get through is enough
    ENTRY, RISE = (
        0.25,
        1.5,
    )  # the design's quarter for a host that comes back, then half as much again a turn
    FLOCK = 4.0  # takes a third off at a half voided, three quarters at nine tenths; with less hosts fell
    # Parts voided at which all txns soon flock to a new host: in any fleet, and in one that answers so late.
    DROWNING, TIPPING, LATE = 0.5, 0.3, 0.8
    NEWS_US = (
        60 * SECOND_US
    )  # half-life of what was learned before: troubles of hosts last about so long
    MOST_NEWS = 1 / 3  # of the hosts may be shut by it alone: beyond, it is the news that are wrong
    SHUNS = 0.3  # tries a second that a proxy makes at a host: with fewer it hardly shuns any, and none flock

    def __init__(self, desk: Scheduler, fleet: Fleet, place: int) -> None:
        super().__init__(desk)
        self.fleet, self.place, self.started_us, self.share = fleet, place, 0, 1.0
        self.shut_us = fleet.faded_us[place] = fleet.heard_us[place] = desk.now
        self.good_probes, self.bad_probes, self.needed = 0, 0, self.GOOD_PROBES
        self.found_out = False  # by this steward: what it was told of a host it does not tell on
        self.work = {
            events.HostEntry: self.on_entry,
            events.HostSums: self.on_sums,
            events.ProbeResult: self.on_probe,
            events.HostLearned: self.on_learned,
            Tick: self.on_turn,
        }

    def handle(self, note: Any) -> None:
        self.warm() if note is Tick.CHANGED else self.work[type(note)](note)

    def on_entry(self, entry: events.HostEntry) -> None:
        fleet, i = self.fleet, self.place
        if entry.state is not fleet.state[i]:
            fleet.heard_us[i] = self.desk.now
        fleet.zone[i], fleet.kind[i], fleet.state[i] = entry.zone, entry.kind, entry.state
        if entry.state is HostState.READY:
            restarted, self.started_us = entry.started_us > self.started_us, entry.started_us
            if restarted:
                # A new process: what was heard of the old one, and held against it, no longer counts.
                fleet.fade(i, 0.0)
                fleet.error[i], fleet.integral[i], fleet.shut[i] = None, 0.0, False
                self.share, self.needed, fleet.heard_us[i] = 1.0, self.GOOD_PROBES, self.desk.now
                self.found_out = False
                fleet.told.pop(i, None)
                fleet.on_news.discard(i)
                fleet.weight[i] = fleet.kin_mean(i) if fleet.kin else fleet.weight[i]
        self.warm()

    def warm(self) -> None:
        """Guards against a host pushed over as it starts: where tries are voided, proxies flock to it.

        Harm: a fast warmer could take more.
        """
        fleet, i, share = self.fleet, self.place, self.share
        age = max(0, self.desk.now - self.started_us)
        if cold := 0 < self.started_us and age < fleet.cold_us:
            share = min(share, fleet.cold_share + (1 - fleet.cold_share) * age / fleet.cold_us)
        if share >= 1:
            fleet.cap[i] = NO_CAP
            return
        voided, half, rescue = fleet.voided_part, fleet.most / 2, share * fleet.entering
        bound = self.TIPPING if fleet.time_part > self.LATE * fleet.sla_us else self.DROWNING
        rush = voided > (bound if fleet.crowding > self.SHUNS else self.DROWNING)
        drowning = rescue < max(fleet.able, half) and (rush or fleet.able + rescue < half)
        bears = max(0.01, share * (1 - voided) / (1 + self.FLOCK * voided**3))
        fleet.cap[i] = 0.0 if cold and drowning else bears * fleet.kin_mean(i)

    def on_sums(self, sums: events.HostSums) -> None:
        """Guards against hosts that void txns fast and so look empty: each counts as late."""
        fleet, i, voided = self.fleet, self.place, min(sums.voided, sums.tries)
        fleet.hear(self.desk.now, SECOND_US // 4)  # which come together set the turns
        fleet.age(i, self.desk.now, MEMORY_US)
        fleet.heard_us[i], fleet.news[i], self.found_out = self.desk.now, True, True
        good = sums.tries - voided if 0 < sums.mean_us < NO_CAP else 0
        fleet.tries[i] += good + voided
        fleet.voided[i] += voided
        fleet.time_us[i] += (good * sums.mean_us if good else 0.0) + voided * fleet.sla_us
        if fleet.tries[i] >= self.LEAST_VOIDED:
            fleet.judge(i, 2 * fleet.voided[i] > fleet.tries[i])
        fleet.add_report(i, sums.report)

    def on_probe(self, probe: events.ProbeResult) -> None:
        if probe.age_us > MEMORY_US:
            return  # another steward's, from another time
        if probe.outcome is Outcome.ANSWERED:
            self.good_probes, self.bad_probes, self.fleet.cut[self.place] = (
                self.good_probes + 1,
                0,
                False,
            )
            self.fleet.add_report(self.place, probe.report)
            self.fleet.speed[self.place] = SECOND_US / max(1, probe.took_us)
        elif probe.outcome is not Outcome.TURNED_AWAY:
            self.good_probes, self.bad_probes = 0, self.bad_probes + 1
            self.fleet.cut[self.place] = probe.outcome is Outcome.UNREACHED
            self.fleet.judge(self.place, True)
            self.consider_shutting()

    def consider_shutting(self) -> None:
        fleet, i = self.fleet, self.place
        cut = fleet.cut[i] and self.desk.now - fleet.alarm_us < self.ALARM_US
        enough = self.bad_probes >= (1 if cut or self.silent() else self.BAD_PROBES)
        spared = sum(fleet.shut[i] for i in fleet.ready()) + 1 <= self.MOST_SHUT * len(
            fleet.ready()
        )
        usual = (
            fleet.best_part if fleet.cut[i] else fleet.voided_part
        )  # in an overload probes get through
        if enough and spared and i in fleet.playing() and (cut or self.suspect(usual)):
            fleet.shut[i], self.shut_us, self.found_out = True, self.desk.now, True
            fleet.on_news.discard(i)
        elif not enough and i in fleet.playing() and self.suspect(fleet.best_part):
            self.desk.out += fleet.probes([i])  # no second one that waits for the turn

    def on_learned(self, told: events.HostLearned) -> None:
        """Guards against a start that is blind: hosts that void everything would get their full part again.

        It moves where the steward starts from, no more: own txns know better. Harm: a host that got well
        meanwhile waits for its probes, or grows back from a small weight.
        """
        fleet, i = self.fleet, self.place
        if (
            fleet.state[i] is not HostState.READY
            or fleet.tries[i] >= self.LEAST_VOIDED
            or fleet.judged
        ):
            return
        sure, known = (
            0.5 ** (age / self.NEWS_US) for age in (told.health_age_us, told.powers_age_us)
        )
        bad = sure > 0.5 and (told.shut or 2 * told.voided > told.tries)
        (fleet.told_bad.add if bad else fleet.told_bad.discard)(i)
        weight = Balancer.FLOOR if bad else min(Balancer.OWN_MOST, max(Balancer.FLOOR, told.weight))
        fleet.told[i] = weight**known
        if fleet.learning_us is None:
            fleet.weight[i], fleet.standing[i] = fleet.told[i], 0.0  # no slot holds the weight back
        ready = fleet.ready() if told.shut and bad and not fleet.shut[i] else []
        if ready and sum(fleet.shut[j] for j in ready) + 1 <= self.MOST_NEWS * len(ready):
            fleet.shut[i], self.shut_us = True, self.desk.now
            fleet.on_news.add(i)
            self.needed = min(self.MOST_PROBES, max(self.GOOD_PROBES, told.needed))
            self.desk.out += fleet.probes([i])

    def on_turn(self, _: Tick) -> None:
        fleet, i = self.fleet, self.place
        if fleet.state[i] is not HostState.READY:
            return
        fleet.age(i, self.desk.now, MEMORY_US)
        ask = fleet.probe_always or fleet.shut[i] or self.suspect(fleet.best_part)
        if fleet.shut[i]:
            self.consider_return()
        else:
            self.share = min(1.0, self.share * self.RISE)
            self.bad_probes *= ask
        self.warm()
        self.desk.out += fleet.probes([i] if ask else ())

    def suspect(self, usual: float) -> bool:  # by symptom, whatever the cause
        fleet, i = self.fleet, self.place
        excess = fleet.voided[i] - (self.STRAINED * usual + self.VOIDED_EXCESS) * fleet.tries[i]
        return (excess > 0 and fleet.voided[i] >= self.LEAST_VOIDED) or self.silent()

    def silent(self) -> bool:  # while others spoke, and a host of its weight is tried often
        fleet, i = self.fleet, self.place
        per_us = fleet.tries_a_weight * fleet.counted(i) * LN_2 / MEMORY_US
        expected = per_us * (fleet.last_us - fleet.heard_us[i])
        return i not in fleet.outside_subset and expected > self.SILENT_TRIES

    def consider_return(
        self,
    ) -> None:  # after good probes in a row; where none may be sent, as many turns
        fleet, i = self.fleet, self.place
        waited = self.desk.now - self.shut_us > self.needed * SECOND_US
        if self.good_probes >= self.needed or (waited and not fleet.may_probe):
            fleet.shut[i], self.share, fleet.heard_us[i] = False, self.ENTRY, self.desk.now
            fleet.on_news.discard(i)
            fleet.fade(i, 0.0)
            self.needed = min(self.MOST_PROBES, self.needed * 2)


class Balancer(Actor):
    """The design's controller: a leaky PID on fill moves each host's weight."""

    TURN_US = SECOND_US
    KP, KI, KD, LEAK = (
        0.12,
        0.01,
        0.02,
        0.10,
    )  # fill is at the present weight: lateness bounds them less
    EAGER = 6.0  # where the list tells no sizes, all is to be learnt: more gain at first, double at turn 6
    FLOOR = 0.05
    LEAD, DEAR_LEAD = 0.6, 0.3  # of a slot; where a turn can't write all: at 0.6 zones swung
    PAYS = 1.2  # times the least move that is worth its line: a shorter lead would keep the slot for good
    SLOWNESS, DRAIN = 0.3, 0.45  # surcharges for slow hosts and for queues; more made queues swing
    AT_ONCE = (
        3.0  # txns a usual host works on before any waits; with more in hand these tell its powers
    )
    JAMMED = 0.75  # fill: a stress of three times the mean; a late report is then no idle host
    PRIOR_TRIES = (
        3.0  # shrinks a host's mean time, or weight, to its kind's while few tries are counted
    )
    PROBED_US = SECOND_US // 4  # a probe that takes longer tells nothing of speed
    OWN_LEAST, OWN_MOST = (
        0.7,
        1.4,
    )  # of its kind's: single probes are off by twice, some answer at once
    SHUNNED = (
        0.3  # of the mean tries that old tables bring a host: less, and who wrote them shunned it
    )
    ENOUGH, SETTLED = 8.0, 6  # tries a host to take over; its turn by then

    def __init__(self, desk: Scheduler, fleet: Fleet, tables: list["Table"]) -> None:
        super().__init__(desk)
        self.fleet, self.tables, self.turns = fleet, tables, 0
        self.first_us = int(
            self.TURN_US * (0.5 + desk.chance() / 2)
        )  # stewards should not turn in step

    def pause_us(self) -> int:
        """Guards against news that wait up to a turn: turns keep a tenth of a second behind sums."""
        half, late = self.TURN_US // 2, self.desk.now - self.fleet.burst_us - self.TURN_US // 10
        late = (late + half) % self.TURN_US - half
        return self.TURN_US - late * (self.fleet.burst_us > 0)

    def handle(self, note: Any) -> None:
        fleet, playing = (
            self.fleet,
            [i for i in self.fleet.playing() if i not in self.fleet.outside_subset],
        )
        if fleet.learning_us and playing:
            self.take_over(playing)
        fills = {} if fleet.learning_us or note is Tick.CHANGED else self.fills(playing)
        if not fills or not any(fleet.news[i] for i in playing):
            return
        mean_fill = sum(fills.values()) / len(fills)
        mean = sum(fleet.weight[i] for i in playing) / len(playing)
        self.turns += 1
        eager = 1 + self.EAGER / self.turns if len({fleet.listed[i] for i in playing}) == 1 else 1.0
        for i in playing:
            # No news, no error: unheard hosts count as average, so a blind steward's weights stay.
            said = fleet.news[i] or fills.get(i, 0.0) > self.JAMMED  # silent, for it still is
            error = mean_fill - fills[i] if said and i in fills else 0.0
            before, change = fleet.error[i], 0.0
            fleet.integral[i] = fleet.integral[i] * (1 - self.LEAK) + error
            if fleet.news[i]:
                change = error - before if before is not None else 0.0
                fleet.error[i], fleet.news[i] = error, False
            c = self.KP * error + self.KI * fleet.integral[i] + self.KD * change
            weight = max(fleet.weight[i] + 4 * mean * eager * c, self.FLOOR * mean)
            held = fleet.standing[i] if fleet.cap[i] == NO_CAP else 0.0
            if held:
                # Guards against a weight that runs on while its slot waits: the news are of the slot.
                lead = max(
                    self.DEAR_LEAD if fleet.dear else self.LEAD, self.PAYS * fleet.least_move
                )
                weight = min(max(weight, held / (1 + eager * lead)), held * (1 + eager * lead))
            fleet.weight[i] = weight
        fleet.rescale(playing)

    def take_over(self, playing: list[int]) -> None:
        """Guards against even weights: old tables show in the tries they bring, speed in the first probes."""
        fleet, waited = self.fleet, self.desk.now - self.fleet.learning_us
        late = waited > (fleet.learn_most_us if fleet.old else self.PROBED_US)
        fleet.old &= not late or sum(fleet.tries[i] for i in playing) >= len(
            playing
        )  # else by probes
        shown = fleet.tries if fleet.old else fleet.speed
        mean = sum(shown[i] for i in playing) / len(playing) or 1.0
        if late or (mean >= self.ENOUGH if fleet.old else all(shown[i] for i in playing)):
            fleet.learning_us, self.turns = None, self.SETTLED * fleet.old
            for i in list(fleet.told) if fleet.old else ():  # old tables show who was shunned
                fleet.judge(i, shown[i] < self.SHUNNED * mean)
            playing = fleet.playing()
            typical = median([shown[i] for i in playing if shown[i]] or [1.0])
            for kin in grouped(playing, lambda i: fleet.kind[i]) if any(shown) else ():
                usual = median(
                    [shown[i] for i in kin if shown[i]] or [typical]
                )  # not all answer in time
                kind = (sum(shown[i] for i in kin) + self.PRIOR_TRIES) / (
                    mean * len(kin) + self.PRIOR_TRIES
                )
                for i in kin:
                    fleet.standing[i] = 0.0  # no slot holds the weight back
                    own = (
                        max(self.OWN_LEAST, min(self.OWN_MOST, (shown[i] / usual) ** 0.5))
                        * usual
                        / typical
                    )
                    by_tries = (
                        kind * (shown[i] + self.PRIOR_TRIES) / (kind * mean + self.PRIOR_TRIES)
                    )
                    fleet.weight[i] = by_tries if fleet.old else own
                    if i in fleet.told:  # beside old tables it may only lower a weight
                        fleet.weight[i] = min(
                            fleet.told[i], fleet.weight[i] if fleet.old else NO_CAP
                        )
            fleet.rescale(playing)

    def fills(self, playing: list[int]) -> dict[int, float]:
        """0 to 1: the part of a host's powers that its present weight takes, against the mean."""
        fleet, times = self.fleet, self.times(playing)
        if not times:
            return {}
        size = sum(fleet.listed[i] for i in playing) / len(playing)
        stress = {}
        held = {i: fleet.held[i] / fleet.reports[i] for i in times if fleet.reports[i] > 0.1}
        for hosts in grouped(
            times, lambda i: tuple(table.admits(fleet, i) for table in self.tables)
        ):
            # Hosts open to the same products: others have another mix of work, and other tries a weight.
            usual = sum(times[i] for i in hosts) / len(hosts)
            pace = self.pace(hosts, times, held)
            for i in hosts:
                at_once = self.AT_ONCE * fleet.listed[i] / size
                crowd = max(1.0, held.get(i, 0.0) / at_once)
                stress[i] = (
                    pace
                    * fleet.weight[i]
                    * times[i]
                    / at_once
                    * crowd ** (self.DRAIN - 1)
                    * (times[i] / usual) ** self.SLOWNESS
                )
        mean = sum(stress.values()) / len(stress)
        return {i: value / (value + mean) for i, value in stress.items()}

    def pace(self, hosts: list[int], times: dict[int, float], held: dict[int, float]) -> float:
        """Txns a weight and time: by what hosts hold from all proxies, so stewards do not part ways."""
        fleet, told = self.fleet, [i for i in hosts if held.get(i, 0.0) > 0]
        if told:
            return sum(held[i] for i in told) / sum(fleet.counted(i) * times[i] for i in told)
        tries = (
            max(1.0, sum(fleet.tries[i] for i in hosts)) / MEMORY_US
        )  # no reports: this steward's alone
        return tries / sum(fleet.counted(i) for i in hosts)

    def times(
        self, playing: list[int]
    ) -> dict[int, float]:  # shrunk to their kind's; none for kinds unheard
        fleet, few, times = self.fleet, self.PRIOR_TRIES, dict[int, float]()
        for kin in grouped(playing, lambda i: fleet.kind[i]):
            tries = sum(fleet.tries[i] for i in kin)
            if tries > 0.5:
                prior = sum(fleet.time_us[i] for i in kin) / tries
                for i in kin:
                    times[i] = (fleet.time_us[i] + prior * few) / (fleet.tries[i] + few)
        return times


class Table(Pushed):
    SLOTS_A_HOST = 32  # steps of 3% of a usual weight: finer ones cost lines and move nothing
    LEAST_HOSTS = 24  # warm ones in a table of a part: fewer would hang on single hosts

    def subset(self, fleet: Fleet, able: list[int], part: float, start: float) -> list[int]:
        """An arc of a ring: stewards' arcs lie beside each other, so each host is in as many tables as any
        other, and one that comes or goes moves the arc's ends alone; each zone's kinds are spread evenly."""
        listed = sorted(
            (i for i in fleet.ready() if self.admits(fleet, i)), key=lambda i: fleet.mark[i]
        )
        kins = grouped(
            listed, lambda i: (fleet.zone[i], fleet.kind[i])
        )  # the same at every steward
        ring = [
            i
            for *_, i in sorted(
                ((n + 0.5) / len(kin), k, i)
                for k, kin in enumerate(kins)
                for n, i in enumerate(kin)
            )
        ]
        ring = ring[(at := int(start * len(ring))) :] + ring[:at]
        open_to = set(able)
        warm = [i for i in ring if i in open_to and fleet.cap[i] == NO_CAP and not fleet.shut[i]]
        most, least = math.ceil(part * len(warm)), self.LEAST_HOSTS
        if len(warm) < 2 * least > 2 * most or most >= len(warm):
            return able  # widened to over a half it would save little
        most = max(most, least)
        return sorted(open_to.intersection(ring[: ring.index(warm[most - 1]) + 1]))

    def slots(
        self, fleet: Fleet, out: set[int], part: float = 1.0, start: float = 0.0
    ) -> dict[int, int]:
        """Floor of each share, the missing ones to the largest remainders; each open host keeps one."""
        able = [i for i in fleet.ready() if fleet.cap[i] and i not in out and self.admits(fleet, i)]
        able = self.subset(fleet, able, part, start) if part < 1 else able
        hosts, suspects = [i for i in able if not fleet.shut[i]], [i for i in able if fleet.shut[i]]
        if 2 * sum(fleet.cap[i] == NO_CAP for i in hosts) <= len(suspects):
            # Guards against a bare proxy, and against all txns on a few hosts, or on ones still cold.
            hosts += [i for i in suspects if not fleet.cut[i]]
        hosts = hosts or suspects
        weights = {i: fleet.counted(i) for i in hosts}
        # Those that stay keep their slots together, so that one that comes or goes moves no other's.
        stay = [i for i in hosts if i in self.pushed and fleet.cap[i] == NO_CAP]
        scale = sum(self.pushed[i] for i in stay) / sum(weights[i] for i in stay) if stay else 0.0
        usual = self.SLOTS_A_HOST * len(hosts) / sum(weights.values()) if hosts else 0.0
        if not usual / 2 < scale < 2 * usual:
            scale = usual
        exact = {i: weight * scale for i, weight in weights.items()}
        for i in self.pushed.keys() & exact.keys():
            fleet.standing[i] = self.pushed[i] / scale
        return {i: max(1, count) for i, count in in_whole(exact).items()}


def tables_for(
    facts: StartFacts,
) -> list[Table]:  # one; others for products that may not use every host
    tables: dict[tuple[Any, ...], Table] = {}
    for place, product in enumerate(facts.products):
        for zone in range(facts.zones) if product.own_zone else (None,):
            open_to = (
                product.zones
                if zone is None
                else (zone,)
                if zone in (product.zones or (zone,))
                else ()
            )
            key = (open_to, product.kinds, zone)
            tables.setdefault(key, Table(len(tables), *key)).products.append(place)
    return list(tables.values())


class Publisher(ProxyRegistry):
    """Keeps the tables, puts proxies on them, and writes to the channel no more than it can take."""

    PULSE_US = SECOND_US // 10  # well within any grace, and shorter than a message's way
    ORDINARY_PART, GRACE_PART = (
        0.5,
        0.4,
    )  # of the limit, of the grace may be queued: the rest is for drains
    BIND_PART = 0.45  # binds leave room for slots: those who come later find the table right
    WORTH_US = (
        3 * SECOND_US // 2
    )  # a moved txn gains a tenth or so, for the time that a slot stands
    URGE = 6.0  # of the SLA time; guards against a channel busy all day with the small moves of a calm fleet
    NEW = 4.0  # times a slot's worth for a host without any: the others carry its txns
    FALLEN = 0.75  # a cold host's slot below this part of the pushed one does not wait
    LEARN_US = (
        5 * SECOND_US
    )  # for first weights, if binds then fit the grace: old tables name lost hosts
    IN_TIME = 0.75  # of the grace left after the longest way: binds that fit need no withdrawals before them
    BIND_US, BIND_SHARE = (
        3 * SECOND_US,
        0.5,
    )  # for all binds, at most; of what the grace leaves, at most
    BURST = 0.1  # of the streams, within a second: more than break by themselves
    LOST = (
        0.1  # of a zone's hosts: the few of a standing table, drawn from it, may all be among them
    )
    KEEP_US = (
        60 * SECOND_US
    )  # for hosts that are gone: proxies back from the longest cuts may name them yet
    OPEN = {LevelUnit.NONE: 1.0, LevelUnit.SHARE: 1.0, LevelUnit.RATE: 1e6}
    RETRY = (
        commands.Retry.UNRUN
    )  # on proof that the first never ran: others doubled the load of late hosts

    def __init__(self, desk: Scheduler, fleet: Fleet, facts: StartFacts) -> None:
        self.lines_a_us, tables = facts.lines_per_s / SECOND_US, tables_for(facts)
        channel = Channel(facts.head_lines, self.lines_a_us, facts.way_most_us + self.PULSE_US)
        super().__init__(
            desk, [] if facts.slices else tables, channel
        )  # the store keeps those of slices
        self.fleet, self.limit = fleet, facts.queue_cap
        self.spare_us = max(0, facts.grace_us - facts.way_most_us)
        in_grace = self.GRACE_PART * self.spare_us * self.lines_a_us
        self.allowance = min(self.ORDINARY_PART * self.limit, in_grace)
        self.round = (2 * self.PULSE_US + 2 * facts.way_us) * self.lines_a_us  # lines
        self.bind_allowance = min(self.allowance * self.BIND_PART, self.round)
        a_second = max(1.0, facts.lines_per_s * facts.stewards)  # lines, of all stewards
        self.line_price = facts.prices.order * facts.proxies / a_second * SECOND_US / self.WORTH_US
        most, self.most_gap_us = facts.messages_most, facts.grace_us / 3
        self.least_gap_us = facts.messages_window_us / max(1, most - 1) if most else 0.0
        self.written_us = self.told_us = self.owed_us = -facts.messages_window_us
        self.withdrawn, self.due, self.refused = (
            set[int](),
            set[int](),
            False,
        )  # hosts; those to take out yet
        self.proxies, self.stewards = facts.proxies, facts.stewards
        self.start = facts.steward % facts.stewards / facts.stewards  # of its arc of the hosts
        self.seen, self.found, self.bare = (
            list[Any](),
            list[dict[int, int]](),
            False,
        )  # slots, their causes
        self.untold_us: int | None = None  # since when proxies wait that were not told who is gone
        self.levels: dict[
            Any, commands.SetLevel
        ] = {}  # not yet written: a newer one replaces an older
        for table in self.tables:
            desk.out.append(
                commands.SetLevel(table.number, None, self.OPEN[facts.level_unit], self.RETRY)
            )

    def handle(self, note: Any) -> None:
        match note:
            case events.HostEntry():
                i = self.fleet.index[note.host]
                if self.fleet.state[i] is HostState.READY:
                    self.due.discard(i)
                elif i not in self.withdrawn and self.gone_lines(i):
                    self.due.add(i)
            case events.ProxyJoined():
                self.leave(note.proxy)
                self.join(note)
                self.untold_us = self.untold_us or self.desk.now
                if self.fleet.learning_us == 0:
                    self.fleet.old, sized = not note.fresh, len(set(self.fleet.listed)) > 1
                    learns = self.fleet.old or self.fleet.may_probe and not sized
                    self.fleet.learning_us = self.desk.now if learns else None
                    binds_us = self.bind_us(self.subset_share())
                    self.fleet.learn_most_us = min(self.LEARN_US, self.spare_us - binds_us)
                    self.desk.out += self.fleet.probes(self.fleet.playing() if learns else ())
            case events.ProxyLeft():
                self.leave(note.proxy)
                self.count_broken(note.proxy)
            case events.Applied():
                self.channel.answered(note.proxy, note.serial)
            case commands.SetLevel():
                self.levels[note.table, note.products] = note
            case Tick():
                self.channel.pass_time(self.desk.now)
                self.bare = any(
                    self.fleet.gone_part(zone) > self.LOST for zone in self.fresh_zones()
                )
                self.lift()
                self.owe()
                self.write(note is Tick.TURN)
                self.bind_waiting()

    def count_broken(
        self, proxy: int
    ) -> None:  # together they may tell of a cut, before sums: all are asked
        fleet, now = self.fleet, self.desk.now
        broken = self.broken_since(proxy, now, SECOND_US)
        if broken > max(2, self.BURST * len(self.zone_of)) and now - fleet.alarm_us > SECOND_US:
            fleet.alarm_us = now
            self.desk.out += fleet.probes(fleet.playing())

    def write(self, turn: bool) -> None:
        """What the rules demand as soon as a message can go; the rest in the turns that can afford it."""
        fleet, joined, heads = self.fleet, len(self.zone_of), len(self.zone_of) * self.channel.head
        whole = sum(len(self.users(table)) * len(table.pushed) for table in self.tables) + heads
        fleet.proxies, fleet.dear, fleet.least_move = joined, whole > self.allowance, 0.0
        since, room = self.desk.now - self.written_us, self.limit - self.channel.waiting - heads
        # A busy channel gathers orders under fewer heads; first drains go at once, refused ones when all fit.
        fits = self.refused and sum(map(self.gone_lines, self.due)) <= room
        at_once = fits or (self.due and self.desk.now - self.told_us >= self.most_gap_us)
        changes = sorted(self.changes(), key=lambda change: (-change.worth, change.place))
        shut = any(change.urgent and fleet.shut[change.place] for change in changes)
        gap_us = (
            min(self.most_gap_us, Balancer.TURN_US) if shut else self.most_gap_us
        )  # bad hosts: a turn
        busy = self.channel.waiting > self.round and since < gap_us
        if since < self.least_gap_us or (busy and not at_once):
            return
        for host in sorted(self.due, key=lambda i: (not self.naming(i), -fleet.heard_us[i], i)):
            self.told_us = self.desk.now
            room -= self.tell_gone(host, room)
        self.refused = bool(self.due)
        for change in (c for c in changes if c.urgent):
            room -= self.set_line(change, room)
        if self.channel.batch or (turn and since >= 2 * self.least_gap_us and not self.bare):
            room = min(room, self.room(self.allowance) - heads)
            self.write_ordinary([c for c in changes if not c.urgent], room)
        if self.channel.batch:
            self.written_us = self.desk.now

    def subset_share(self) -> float:
        """Of the hosts that a table holds: as many as an even share of proxies can be bound to in time; whole
        shares, so that each host is in as many tables; all for two controllers: either may be left alone."""
        in_time = min(self.BIND_US, self.BIND_SHARE * self.spare_us) / max(1.0, self.bind_us(1.0))
        shares = max(1, math.ceil(in_time * self.stewards))
        return min(1.0, shares / self.stewards) if self.stewards > 2 else 1.0

    def bind_us(
        self, part: float
    ) -> float:  # to bind an even share of all proxies to this part of the hosts
        lines = part * len(self.fleet.ready()) + self.channel.head
        return self.proxies / self.stewards * lines / self.lines_a_us

    def all_slots(self) -> list[dict[int, int]]:
        """As found last, while nothing that they follow from has moved: ten looks a second, one turn."""
        fleet, out = self.fleet, self.withdrawn | self.due
        seen = [
            fleet.weight,
            fleet.cap,
            fleet.shut,
            fleet.cut,
            fleet.state,
            fleet.zone,
            fleet.kind,
            out,
        ]
        seen += [table.pushed for table in self.tables]
        if seen != self.seen:
            self.seen, part = [figures.copy() for figures in seen], self.subset_share()
            self.found = [table.slots(fleet, out, part, self.start) for table in self.tables]
            fleet.outside_subset = set(fleet.ready()).difference(*self.found) if part < 1 else set()
        return self.found

    def changes(
        self,
    ) -> Iterator[Change]:  # worth more where a slot is to fall: txns there are late already
        fleet, products = self.fleet, sum(len(table.products) for table in self.tables)
        urge = max(1.0, (self.URGE * fleet.time_part / fleet.sla_us) ** 3)
        for table, slots in zip(self.tables, self.all_slots()):
            part = len(table.products) / products / max(1, sum(slots.values()))
            fleet.least_move = max(fleet.least_move, self.line_price / (part * table.SLOTS_A_HOST))
            # Guards against a bare proxy: if no warm host is left in the table all goes out at once.
            bare = not any(i in slots and fleet.cap[i] == NO_CAP for i in table.pushed)
            for i in slots.keys() | table.pushed.keys():
                count, before = slots.get(i, 0), table.pushed.get(i, 0)
                if count != before and i not in self.due:
                    fallen = fleet.cap[i] < NO_CAP and count < self.FALLEN * before
                    strain = max(1.0, before / max(1, count)) if before else self.NEW
                    worth = urge * (count - before) ** 2 / max(count, before) * part * strain
                    urgent = bare or fallen or (not count and i not in fleet.outside_subset)
                    if (
                        i in self.withdrawn
                    ):  # nobody sends there: last, sooner if it is back or long gone
                        back, late = (
                            fleet.state[i] is HostState.READY,
                            self.desk.now - fleet.heard_us[i],
                        )
                        worth, urgent = (
                            worth * back or float(2 * late > self.KEEP_US),
                            bare and back,
                        )
                    yield Change(worth, urgent, table, i, count)

    def write_ordinary(self, changes: list[Change], room: float) -> None:
        """Levels, then the slots that move most, as there is room, if together they are worth their heads."""
        head = 0 if self.channel.batch else self.channel.head
        worth = [c for c in changes if c.worth > self.line_price or c.place in self.withdrawn]
        if room < len(self.bound) * min(head, len(worth) + len(self.levels)):
            return  # a later message holds more lines a head
        for key, level in list(self.levels.items()):
            if room >= len(users := self.users(self.tables[level.table])):
                room -= len(users)
                self.order(self.levels.pop(key), users)
        if (
            sum(c.worth - self.line_price for c in worth) > self.line_price * head
            or self.channel.batch
        ):
            for change in worth:
                room -= self.set_line(change, room)

    def set_line(
        self, change: Change, room: float
    ) -> int:  # the lines it took: none where there is no room
        table, payers = change.table, self.payers(change.table, change.place, self.fleet.once)
        if len(payers) > room:
            return 0
        table.set(change.place, change.count)
        self.order(
            commands.SetLine(table.number, self.fleet.ids[change.place], float(change.count)),
            payers,
        )
        return len(payers)

    def tell_gone(self, host: int, room: float) -> int:
        """Its line goes; proxies on other tables, and all where several name it, are told: a line a proxy."""
        tables, lines = self.naming(host), self.gone_lines(host)
        if lines > room:
            return 0  # it has to wait for answers
        self.due.discard(host)
        if len(tables) == 1:
            self.set_line(Change(0.0, True, tables[0], host, 0), room)
        if told := self.tell(host, self.zone_of if len(tables) > 1 else self.unbound):
            self.order(commands.Withdraw(self.fleet.ids[host], True), told)
            self.withdrawn.add(host)
        return lines

    def owe(self) -> None:
        """Who joins may name hosts that are gone: binds settle it, withdrawals where these take too long."""
        fleet, now = self.fleet, self.desk.now
        self.untold_us = self.untold_us if self.unbound else None
        if self.untold_us is not None and now - self.owed_us >= self.most_gap_us:
            a_bind = self.channel.head + sum(table.lines(set()) for table in self.tables)
            in_time = (self.IN_TIME * self.spare_us - (now - self.untold_us)) * self.lines_a_us
            if fleet.learning_us or self.channel.waiting + len(self.unbound) * a_bind > in_time:
                self.due.update(
                    i for i in fleet.index.values() if fleet.state[i] is not HostState.READY
                )
                self.untold_us, self.owed_us = None, now

    def long_gone(self) -> list[int]:  # hosts of which nothing is kept from here
        fleet, late = self.fleet, self.desk.now - self.KEEP_US
        return [
            host
            for host, i in fleet.index.items()
            if fleet.state[i] is HostState.GONE and fleet.heard_us[i] < late and not self.naming(i)
        ]

    def lift(self) -> None:
        """Once no table names it; a cold host stays out while proxies on older tables may name it too."""
        for i in sorted(self.withdrawn):
            fits = len(self.unbound) * (self.channel.head + 1) <= self.room(self.allowance)
            back = self.fleet.state[i] is HostState.READY and not self.naming(i) and fits
            if back and (self.fleet.cap[i] == NO_CAP or not self.unbound):
                self.withdrawn.discard(i)
                self.knows.pop(i, None)
                self.order(commands.Withdraw(self.fleet.ids[i], False), self.unbound)

    def room(
        self, most_queued: float
    ) -> float:  # for what can wait: a drain's message must always fit
        most = max(self.bind_allowance, self.limit - len(self.zone_of) * (self.channel.head + 1))
        return min(most_queued - self.channel.queued, most - self.channel.waiting)

    def bind_waiting(self) -> None:
        """Each proxy once a stream, and never to tables without lines; fresh ones, and large ones, first."""
        for change in () if self.bound or self.fleet.learning_us else list(self.changes()):
            self.set_line(
                change, NO_CAP
            )  # nobody pays for them yet, and binds are to carry the newest
        filled = any(t.pushed for t in self.tables) and not self.fleet.learning_us
        most = (self.bind_allowance, self.allowance)[self.bare]  # proxies may be bare: slots wait
        out = (
            self.withdrawn,
            self.withdrawn | self.fleet.once,
        )  # lines more: for who is fresh, and is not
        for proxy in sorted(self.unbound, key=lambda p: (*self.unbound[p], p)) if filled else ():
            tables = [table for table in self.tables if table.held_in(self.zone_of[proxy])]
            costs = [table.lines(out[proxy in self.olds]) for table in tables]
            needs = sum(costs) + self.channel.head
            # Guards against a table longer than binds may queue, which would never go; alone it does.
            if needs > self.room(max(most, min(needs, self.allowance))):
                break
            del self.unbound[proxy]
            self.bound.add(proxy)
            for table, lines in zip(tables, costs):
                products = tuple(table.products) if len(self.tables) > 1 else None
                self.order(commands.Bind(table.number, proxy, products), [proxy], lines)


class Levels(Actor):
    """Declines early while answers are late, table by table; lets in no less than is settled just now."""

    HIGH, LOW = 0.55, 0.45  # of the SLA time: a mean beyond it leaves a long tail past it
    FALL, RISE, LEAST = (
        0.7,
        1.15,
        0.1,
    )  # a turn: quick enough for a burst, slow enough for late reports
    LAG = (
        4  # turns until an order shows in the sums: a fall is counted from the share then in force
    )
    STEP = 0.05  # smaller moves are not worth their lines

    def __init__(
        self, desk: Scheduler, fleet: Fleet, facts: StartFacts, publisher: Publisher
    ) -> None:
        super().__init__(desk)
        self.fleet, self.publisher, self.unit = fleet, publisher, facts.level_unit
        self.tables = (
            publisher.tables if self.unit is not LevelUnit.NONE else []
        )  # nobody heeds any
        self.past = [
            deque([1.0] * self.LAG, self.LAG) for _ in self.tables
        ]  # shares, the newest last
        self.late, self.voided, self.tries = ([0.0] * len(self.tables) for _ in range(3))
        self.settled = self.arrived = 0.0  # txns of the last turns, over all tables
        self.sent: dict[tuple[int, int], float] = {}
        self.rates: dict[tuple[int, int], float] = {}  # txns a second, by proxy and product

    def handle(self, note: Any) -> None:
        match note:
            case events.ProxyTraffic() if note.span_us > 0 and self.tables:
                self.arrived += note.arrived
                key, rate = (note.proxy, note.product), note.arrived * SECOND_US / note.span_us
                self.rates[key] = (self.rates.get(key, rate) + rate) / 2
            case events.HostSums():
                host, self.settled = (
                    self.fleet.index[note.host],
                    self.settled + note.tries - note.voided,
                )
                for place, table in enumerate(self.tables):
                    # By what its own proxies met: a zone behind a cut may serve its own all the same.
                    if (
                        table.held_in(note.zone)
                        and table.admits(self.fleet, host)
                        and note.mean_us < NO_CAP
                    ):
                        self.tries[place] += note.tries
                        self.voided[place] += note.voided
                        self.late[place] += (
                            (note.tries - note.voided) * note.mean_us / self.fleet.sla_us
                        )
            case Tick.TURN:
                for place, table in enumerate(self.tables):
                    self.follow(place, table)
                self.settled, self.arrived = self.settled / 2, self.arrived / 2

    def follow(self, place: int, table: Table) -> None:
        """Turn by turn: in a sum by txns the many late ones of an overload would outlast it."""
        past, tries = self.past[place], max(1.0, self.tries[place])
        share, before, good = past[-1], past[0], 1 - self.voided[place] / tries
        settled = tries - self.voided[place]
        late = self.late[place] / settled if settled else self.LOW
        if late > self.HIGH:
            least = max(self.LEAST, min(1.0, self.settled / max(1.0, self.arrived)))
            share = max(least, min(share, before * min(self.FALL, good)))
        elif late < self.LOW:
            share = min(1.0, share * self.RISE)
        past.append(share)
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
            self.desk.put(
                self.publisher, commands.SetLevel(table.number, (product,), level, Publisher.RETRY)
            )

    def rate_for(
        self, table: Table, product: int, share: float
    ) -> float:  # small proxies keep theirs whole
        joined = self.publisher.zone_of.items()
        rates = [
            self.rates.get((proxy, product), 0.0) for proxy, zone in joined if table.held_in(zone)
        ]
        cap = even_cap(rates, share * sum(rates))
        return Publisher.OPEN[self.unit] if cap is None else max(cap, 0.1)
