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

from plankroute.events import commands, events
from plankroute.events.events import HealthCheckOutcome, HostState
from plankroute.events.facts import AdmissionUnit, ReportSource, StartFacts
from plankroute.state.apportionment import even_rate_cap, round_preserving_sum
from plankroute.state.channel import Channel
from plankroute.state.host_statistics import NO_CAP, HostStatistics, group_by
from plankroute.state.proxy_registry import ProxyRegistry
from plankroute.state.published_table import Change, PublishedTable
from plankroute.state.scheduler import Actor, Scheduler, Tick

SECOND_US = 1_000_000
ASK_AGAIN_US = 2 * SECOND_US  # for a list that failed: well before it counts as known
MEMORY_US = (
    3 * SECOND_US
)  # half-life of sums: older say little, and the noise of two or three averages out
LN_2 = 0.693  # such a sum holds what comes in MEMORY_US / LN_2


class HostTable(HostStatistics):
    """The host figures, and what is judged from them for all hosts at once: looked at once a turn or list."""

    def __init__(self, facts: StartFacts) -> None:
        super().__init__()
        self.warmup_us, self.initial_capacity_share, self.health_checks_allowed = (
            facts.warmup_us,
            facts.initial_capacity_share,
            facts.health_checks_allowed,
        )
        self.always_health_check = (
            facts.health_checks_allowed and facts.report_source is ReportSource.HEALTH_CHECKS
        )  # reports come no other way
        self.latency_objective_us = max(
            1.0, fmean([product.latency_objective_us for product in facts.request_classes] or [1])
        )  # of a void
        self.failure_ratio = self.mean_latency_us = self.attempts_per_weight = (
            self.attempt_rate_per_proxy
        ) = 0.0  # over all listed ready
        self.best_failure_ratio = self.first_weights_timeout_us = (
            0.0  # voided by the best third; binds' longest wait for weights
        )
        self.able = self.warming_count = self.last_heard_us = self.disconnect_alarm_us = 0
        self.first_weights_since_us: int | None = (
            0  # 0: nobody joined yet; since when binds wait for weights; None: not
        )
        self.old = (
            False  # those who wait hold tables that another steward, or an earlier life, has taught
        )
        self.kin: dict[int, float] = {}  # by kind, the usual weight of its warm hosts, be they shut
        # Learned before this start: weights, hosts in trouble, those shut by it alone; and its proofs
        self.told, self.prior_unhealthy, self.ejected_on_prior = (
            dict[int, float](),
            set[int](),
            set[int](),
        )
        self.judged, self.right, self.wrong = set[int](), 0, 0
        self.outside_subset = set[int]()  # left to other controllers (`subset_share`)

    def refresh(self) -> None:
        ready, heard = self.ready(), [i for i in self.eligible() if self.attempts[i] > 0]
        attempts = sum(self.attempts[i] for i in ready) or 1.0
        self.failure_ratio = sum(self.failed[i] for i in ready) / attempts
        open_to = sum(i not in self.outside_subset for i in ready)
        self.attempt_rate_per_proxy = (
            attempts * LN_2 * SECOND_US / MEMORY_US / max(1, self.proxies * open_to)
        )
        self.mean_latency_us = sum(self.latency_sum_us[i] for i in ready) / attempts
        self.attempts_per_weight = sum(self.attempts[i] for i in heard) / (
            sum(self.weight[i] for i in heard) or 1.0
        )
        # By the best third, since two zones of three may be out of reach.
        best = sorted(heard, key=lambda i: self.failed[i] / self.attempts[i])[
            : max(1, len(heard) // 3)
        ]
        self.best_failure_ratio = sum(self.failed[i] for i in best) / (
            sum(self.attempts[i] for i in best) or 1.0
        )
        self.last_heard_us = (
            sorted(self.heard_at_us[i] for i in heard)[len(heard) * 2 // 3] if heard else 0
        )
        warm = [i for i in ready if self.weight_cap[i] == NO_CAP]
        self.able, self.warming_count = len(warm), len(ready) - len(warm)
        self.most = max(self.most, self.able)
        self.kin = {
            self.machine_type[kin[0]]: sum(self.weight[i] for i in kin) / len(kin)
            for kin in group_by(warm, lambda i: self.machine_type[i])
        }

    def judge_prior(
        self, index: int, bad: bool
    ) -> None:  # guards against wrong news: all stand or fall together
        as_told = bad == (index in self.prior_unhealthy)
        if index in self.told and index not in self.judged and (bad or not as_told):
            self.judged.add(index)
            self.right, self.wrong = self.right + as_told, self.wrong + (not as_told)
        if (
            self.wrong >= 2 and self.wrong > self.right
        ):  # all is as it would have started without them
            for i in self.ejected_on_prior:
                self.ejected[i] = False
            for i in self.told:
                self.weight[i], self.effective_weight[i] = self.listed_weight[i], 0.0
            self.told, self.ejected_on_prior = {}, set()

    def usual_weight_of_type(
        self, index: int
    ) -> float:  # of a kind not known warm the least: it may be small
        return self.kin.get(self.machine_type[index], min(self.kin.values(), default=1.0))

    def health_checks(self, places: Iterable[int]) -> list[commands.Command]:
        return [
            commands.CheckHealth(self.host_ids[i]) for i in places if self.health_checks_allowed
        ]


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

    def __init__(self, scheduler: Scheduler, host_table: HostTable, index: int) -> None:
        super().__init__(scheduler)
        self.host_table, self.index, self.started_us, self.share = host_table, index, 0, 1.0
        self.shut_us = host_table.decayed_at_us[index] = host_table.heard_at_us[index] = (
            scheduler.now
        )
        self.good_probes, self.bad_probes, self.required_checks = 0, 0, self.GOOD_PROBES
        self.found_out = False  # by this steward: what it was told of a host it does not tell on
        self.work = {
            events.HostEntry: self.on_entry,
            events.HostRequestStats: self.on_sums,
            events.HealthCheckResult: self.on_probe,
            events.HostPriorKnowledge: self.on_learned,
            Tick: self.on_turn,
        }

    def handle(self, event: Any) -> None:
        self.warm() if event is Tick.CHANGED else self.work[type(event)](event)

    def on_entry(self, entry: events.HostEntry) -> None:
        host_table, i = self.host_table, self.index
        if entry.state is not host_table.state[i]:
            host_table.heard_at_us[i] = self.scheduler.now
        host_table.zone[i], host_table.machine_type[i], host_table.state[i] = (
            entry.zone,
            entry.machine_type,
            entry.state,
        )
        if entry.state is HostState.READY:
            restarted, self.started_us = entry.started_us > self.started_us, entry.started_us
            if restarted:
                # A new process: what was heard of the old one, and held against it, no longer counts.
                host_table.scale_sums(i, 0.0)
                host_table.error[i], host_table.integral[i], host_table.ejected[i] = (
                    None,
                    0.0,
                    False,
                )
                self.share, self.required_checks, host_table.heard_at_us[i] = (
                    1.0,
                    self.GOOD_PROBES,
                    self.scheduler.now,
                )
                self.found_out = False
                host_table.told.pop(i, None)
                host_table.ejected_on_prior.discard(i)
                host_table.weight[i] = (
                    host_table.usual_weight_of_type(i) if host_table.kin else host_table.weight[i]
                )
        self.warm()

    def warm(self) -> None:
        """Guards against a host pushed over as it starts: where tries are voided, proxies flock to it.

        Harm: a fast warmer could take more.
        """
        host_table, i, share = self.host_table, self.index, self.share
        age = max(0, self.scheduler.now - self.started_us)
        if cold := 0 < self.started_us and age < host_table.warmup_us:
            share = min(
                share,
                host_table.initial_capacity_share
                + (1 - host_table.initial_capacity_share) * age / host_table.warmup_us,
            )
        if share >= 1:
            host_table.weight_cap[i] = NO_CAP
            return
        failed, half, rescue = (
            host_table.failure_ratio,
            host_table.most / 2,
            share * host_table.warming_count,
        )
        bound = (
            self.TIPPING
            if host_table.mean_latency_us > self.LATE * host_table.latency_objective_us
            else self.DROWNING
        )
        rush = failed > (bound if host_table.attempt_rate_per_proxy > self.SHUNS else self.DROWNING)
        drowning = rescue < max(host_table.able, half) and (rush or host_table.able + rescue < half)
        bears = max(0.01, share * (1 - failed) / (1 + self.FLOCK * failed**3))
        host_table.weight_cap[i] = (
            0.0 if cold and drowning else bears * host_table.usual_weight_of_type(i)
        )

    def on_sums(self, sums: events.HostRequestStats) -> None:
        """Guards against hosts that void txns fast and so look empty: each counts as late."""
        host_table, i, failed = self.host_table, self.index, min(sums.failed, sums.attempts)
        host_table.note_stats_arrival(
            self.scheduler.now, SECOND_US // 4
        )  # which come together set the turns
        host_table.decay(i, self.scheduler.now, MEMORY_US)
        host_table.heard_at_us[i], host_table.heard_since_turn[i], self.found_out = (
            self.scheduler.now,
            True,
            True,
        )
        good = sums.attempts - failed if 0 < sums.mean_latency_us < NO_CAP else 0
        host_table.attempts[i] += good + failed
        host_table.failed[i] += failed
        host_table.latency_sum_us[i] += (
            good * sums.mean_latency_us if good else 0.0
        ) + failed * host_table.latency_objective_us
        if host_table.attempts[i] >= self.LEAST_VOIDED:
            host_table.judge_prior(i, 2 * host_table.failed[i] > host_table.attempts[i])
        host_table.add_load_report(i, sums.report)

    def on_probe(self, probe: events.HealthCheckResult) -> None:
        if probe.age_us > MEMORY_US:
            return  # another steward's, from another time
        if probe.outcome is HealthCheckOutcome.ANSWERED:
            self.good_probes, self.bad_probes, self.host_table.unreachable[self.index] = (
                self.good_probes + 1,
                0,
                False,
            )
            self.host_table.add_load_report(self.index, probe.report)
            self.host_table.probe_speed[self.index] = SECOND_US / max(1, probe.elapsed_us)
        elif probe.outcome is not HealthCheckOutcome.REJECTED:
            self.good_probes, self.bad_probes = 0, self.bad_probes + 1
            self.host_table.unreachable[self.index] = (
                probe.outcome is HealthCheckOutcome.UNREACHABLE
            )
            self.host_table.judge_prior(self.index, True)
            self.consider_shutting()

    def consider_shutting(self) -> None:
        host_table, i = self.host_table, self.index
        unreachable = (
            host_table.unreachable[i]
            and self.scheduler.now - host_table.disconnect_alarm_us < self.ALARM_US
        )
        enough = self.bad_probes >= (1 if unreachable or self.silent() else self.BAD_PROBES)
        spared = sum(host_table.ejected[i] for i in host_table.ready()) + 1 <= self.MOST_SHUT * len(
            host_table.ready()
        )
        usual = (
            host_table.best_failure_ratio if host_table.unreachable[i] else host_table.failure_ratio
        )  # in an overload probes get through
        if (
            enough
            and spared
            and i in host_table.eligible()
            and (unreachable or self.suspect(usual))
        ):
            host_table.ejected[i], self.shut_us, self.found_out = True, self.scheduler.now, True
            host_table.ejected_on_prior.discard(i)
        elif (
            not enough
            and i in host_table.eligible()
            and self.suspect(host_table.best_failure_ratio)
        ):
            self.scheduler.out += host_table.health_checks(
                [i]
            )  # no second one that waits for the turn

    def on_learned(self, told: events.HostPriorKnowledge) -> None:
        """Guards against a start that is blind: hosts that void everything would get their full part again.

        It moves where the steward starts from, no more: own txns know better. Harm: a host that got well
        meanwhile waits for its probes, or grows back from a small weight.
        """
        host_table, i = self.host_table, self.index
        if (
            host_table.state[i] is not HostState.READY
            or host_table.attempts[i] >= self.LEAST_VOIDED
            or host_table.judged
        ):
            return
        sure, known = (
            0.5 ** (age / self.NEWS_US) for age in (told.health_age_us, told.capacity_age_us)
        )
        bad = sure > 0.5 and (told.ejected or 2 * told.failed > told.attempts)
        (host_table.prior_unhealthy.add if bad else host_table.prior_unhealthy.discard)(i)
        weight = Balancer.FLOOR if bad else min(Balancer.OWN_MOST, max(Balancer.FLOOR, told.weight))
        host_table.told[i] = weight**known
        if host_table.first_weights_since_us is None:
            host_table.weight[i], host_table.effective_weight[i] = (
                host_table.told[i],
                0.0,
            )  # no slot holds the weight back
        ready = host_table.ready() if told.ejected and bad and not host_table.ejected[i] else []
        if ready and sum(host_table.ejected[j] for j in ready) + 1 <= self.MOST_NEWS * len(ready):
            host_table.ejected[i], self.shut_us = True, self.scheduler.now
            host_table.ejected_on_prior.add(i)
            self.required_checks = min(
                self.MOST_PROBES, max(self.GOOD_PROBES, told.required_checks)
            )
            self.scheduler.out += host_table.health_checks([i])

    def on_turn(self, _: Tick) -> None:
        host_table, i = self.host_table, self.index
        if host_table.state[i] is not HostState.READY:
            return
        host_table.decay(i, self.scheduler.now, MEMORY_US)
        ask = (
            host_table.always_health_check
            or host_table.ejected[i]
            or self.suspect(host_table.best_failure_ratio)
        )
        if host_table.ejected[i]:
            self.consider_return()
        else:
            self.share = min(1.0, self.share * self.RISE)
            self.bad_probes *= ask
        self.warm()
        self.scheduler.out += host_table.health_checks([i] if ask else ())

    def suspect(self, usual: float) -> bool:  # by symptom, whatever the cause
        host_table, i = self.host_table, self.index
        excess = (
            host_table.failed[i]
            - (self.STRAINED * usual + self.VOIDED_EXCESS) * host_table.attempts[i]
        )
        return (excess > 0 and host_table.failed[i] >= self.LEAST_VOIDED) or self.silent()

    def silent(self) -> bool:  # while others spoke, and a host of its weight is tried often
        host_table, i = self.host_table, self.index
        per_us = host_table.attempts_per_weight * host_table.capped_weight(i) * LN_2 / MEMORY_US
        expected = per_us * (host_table.last_heard_us - host_table.heard_at_us[i])
        return i not in host_table.outside_subset and expected > self.SILENT_TRIES

    def consider_return(
        self,
    ) -> None:  # after good probes in a row; where none may be sent, as many turns
        host_table, i = self.host_table, self.index
        waited = self.scheduler.now - self.shut_us > self.required_checks * SECOND_US
        if self.good_probes >= self.required_checks or (
            waited and not host_table.health_checks_allowed
        ):
            host_table.ejected[i], self.share, host_table.heard_at_us[i] = (
                False,
                self.ENTRY,
                self.scheduler.now,
            )
            host_table.ejected_on_prior.discard(i)
            host_table.scale_sums(i, 0.0)
            self.required_checks = min(self.MOST_PROBES, self.required_checks * 2)


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

    def __init__(self, scheduler: Scheduler, host_table: HostTable, tables: list["Table"]) -> None:
        super().__init__(scheduler)
        self.host_table, self.tables, self.turns = host_table, tables, 0
        self.first_us = int(
            self.TURN_US * (0.5 + scheduler.random() / 2)
        )  # stewards should not turn in step

    def pause_us(self) -> int:
        """Guards against news that wait up to a turn: turns keep a tenth of a second behind sums."""
        half, late = (
            self.TURN_US // 2,
            self.scheduler.now - self.host_table.stats_burst_us - self.TURN_US // 10,
        )
        late = (late + half) % self.TURN_US - half
        return self.TURN_US - late * (self.host_table.stats_burst_us > 0)

    def handle(self, event: Any) -> None:
        host_table, eligible = (
            self.host_table,
            [i for i in self.host_table.eligible() if i not in self.host_table.outside_subset],
        )
        if host_table.first_weights_since_us and eligible:
            self.take_over(eligible)
        fills = (
            {}
            if host_table.first_weights_since_us or event is Tick.CHANGED
            else self.fills(eligible)
        )
        if not fills or not any(host_table.heard_since_turn[i] for i in eligible):
            return
        mean_fill = sum(fills.values()) / len(fills)
        mean = sum(host_table.weight[i] for i in eligible) / len(eligible)
        self.turns += 1
        eager = (
            1 + self.EAGER / self.turns
            if len({host_table.listed_weight[i] for i in eligible}) == 1
            else 1.0
        )
        for i in eligible:
            # No news, no error: unheard hosts count as average, so a blind steward's weights stay.
            said = (
                host_table.heard_since_turn[i] or fills.get(i, 0.0) > self.JAMMED
            )  # silent, for it still is
            error = mean_fill - fills[i] if said and i in fills else 0.0
            before, change = host_table.error[i], 0.0
            host_table.integral[i] = host_table.integral[i] * (1 - self.LEAK) + error
            if host_table.heard_since_turn[i]:
                change = error - before if before is not None else 0.0
                host_table.error[i], host_table.heard_since_turn[i] = error, False
            c = self.KP * error + self.KI * host_table.integral[i] + self.KD * change
            weight = max(host_table.weight[i] + 4 * mean * eager * c, self.FLOOR * mean)
            held = host_table.effective_weight[i] if host_table.weight_cap[i] == NO_CAP else 0.0
            if held:
                # Guards against a weight that runs on while its slot waits: the news are of the slot.
                lead = max(
                    self.DEAR_LEAD if host_table.channel_constrained else self.LEAD,
                    self.PAYS * host_table.min_slot_change,
                )
                weight = min(max(weight, held / (1 + eager * lead)), held * (1 + eager * lead))
            host_table.weight[i] = weight
        host_table.normalise_weights(eligible)

    def take_over(self, eligible: list[int]) -> None:
        """Guards against even weights: old tables show in the tries they bring, speed in the first probes."""
        host_table, waited = (
            self.host_table,
            self.scheduler.now - self.host_table.first_weights_since_us,
        )
        late = waited > (host_table.first_weights_timeout_us if host_table.old else self.PROBED_US)
        host_table.old &= not late or sum(host_table.attempts[i] for i in eligible) >= len(
            eligible
        )  # else by probes
        shown = host_table.attempts if host_table.old else host_table.probe_speed
        mean = sum(shown[i] for i in eligible) / len(eligible) or 1.0
        if late or (mean >= self.ENOUGH if host_table.old else all(shown[i] for i in eligible)):
            host_table.first_weights_since_us, self.turns = None, self.SETTLED * host_table.old
            for i in (
                list(host_table.told) if host_table.old else ()
            ):  # old tables show who was shunned
                host_table.judge_prior(i, shown[i] < self.SHUNNED * mean)
            eligible = host_table.eligible()
            typical = median([shown[i] for i in eligible if shown[i]] or [1.0])
            for kin in (
                group_by(eligible, lambda i: host_table.machine_type[i]) if any(shown) else ()
            ):
                usual = median(
                    [shown[i] for i in kin if shown[i]] or [typical]
                )  # not all answer in time
                kind = (sum(shown[i] for i in kin) + self.PRIOR_TRIES) / (
                    mean * len(kin) + self.PRIOR_TRIES
                )
                for i in kin:
                    host_table.effective_weight[i] = 0.0  # no slot holds the weight back
                    own = (
                        max(self.OWN_LEAST, min(self.OWN_MOST, (shown[i] / usual) ** 0.5))
                        * usual
                        / typical
                    )
                    by_tries = (
                        kind * (shown[i] + self.PRIOR_TRIES) / (kind * mean + self.PRIOR_TRIES)
                    )
                    host_table.weight[i] = by_tries if host_table.old else own
                    if i in host_table.told:  # beside old tables it may only lower a weight
                        host_table.weight[i] = min(
                            host_table.told[i], host_table.weight[i] if host_table.old else NO_CAP
                        )
            host_table.normalise_weights(eligible)

    def fills(self, eligible: list[int]) -> dict[int, float]:
        """0 to 1: the part of a host's powers that its present weight takes, against the mean."""
        host_table, times = self.host_table, self.times(eligible)
        if not times:
            return {}
        size = sum(host_table.listed_weight[i] for i in eligible) / len(eligible)
        stress = {}
        held = {
            i: host_table.in_flight_sum[i] / host_table.reports[i]
            for i in times
            if host_table.reports[i] > 0.1
        }
        for hosts in group_by(
            times, lambda i: tuple(table.admits(host_table, i) for table in self.tables)
        ):
            # Hosts open to the same products: others have another mix of work, and other tries a weight.
            usual = sum(times[i] for i in hosts) / len(hosts)
            pace = self.pace(hosts, times, held)
            for i in hosts:
                at_once = self.AT_ONCE * host_table.listed_weight[i] / size
                crowd = max(1.0, held.get(i, 0.0) / at_once)
                stress[i] = (
                    pace
                    * host_table.weight[i]
                    * times[i]
                    / at_once
                    * crowd ** (self.DRAIN - 1)
                    * (times[i] / usual) ** self.SLOWNESS
                )
        mean = sum(stress.values()) / len(stress)
        return {i: value / (value + mean) for i, value in stress.items()}

    def pace(self, hosts: list[int], times: dict[int, float], held: dict[int, float]) -> float:
        """Txns a weight and time: by what hosts hold from all proxies, so stewards do not part ways."""
        host_table, told = self.host_table, [i for i in hosts if held.get(i, 0.0) > 0]
        if told:
            return sum(held[i] for i in told) / sum(
                host_table.capped_weight(i) * times[i] for i in told
            )
        attempts = (
            max(1.0, sum(host_table.attempts[i] for i in hosts)) / MEMORY_US
        )  # no reports: this steward's alone
        return attempts / sum(host_table.capped_weight(i) for i in hosts)

    def times(
        self, eligible: list[int]
    ) -> dict[int, float]:  # shrunk to their kind's; none for kinds unheard
        host_table, few, times = self.host_table, self.PRIOR_TRIES, dict[int, float]()
        for kin in group_by(eligible, lambda i: host_table.machine_type[i]):
            attempts = sum(host_table.attempts[i] for i in kin)
            if attempts > 0.5:
                prior = sum(host_table.latency_sum_us[i] for i in kin) / attempts
                for i in kin:
                    times[i] = (host_table.latency_sum_us[i] + prior * few) / (
                        host_table.attempts[i] + few
                    )
        return times


class Table(PublishedTable):
    SLOTS_A_HOST = 32  # steps of 3% of a usual weight: finer ones cost lines and move nothing
    LEAST_HOSTS = 24  # warm ones in a table of a part: fewer would hang on single hosts

    def subset(
        self, host_table: HostTable, able: list[int], part: float, start: float
    ) -> list[int]:
        """An arc of a ring: stewards' arcs lie beside each other, so each host is in as many tables as any
        other, and one that comes or goes moves the arc's ends alone; each zone's kinds are spread evenly."""
        listed_weight = sorted(
            (i for i in host_table.ready() if self.admits(host_table, i)),
            key=lambda i: host_table.name_order[i],
        )
        kins = group_by(
            listed_weight, lambda i: (host_table.zone[i], host_table.machine_type[i])
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
        warm = [
            i
            for i in ring
            if i in open_to and host_table.weight_cap[i] == NO_CAP and not host_table.ejected[i]
        ]
        most, least = math.ceil(part * len(warm)), self.LEAST_HOSTS
        if len(warm) < 2 * least > 2 * most or most >= len(warm):
            return able  # widened to over a half it would save little
        most = max(most, least)
        return sorted(open_to.intersection(ring[: ring.index(warm[most - 1]) + 1]))

    def slots(
        self, host_table: HostTable, out: set[int], part: float = 1.0, start: float = 0.0
    ) -> dict[int, int]:
        """Floor of each share, the missing ones to the largest remainders; each open host keeps one."""
        able = [
            i
            for i in host_table.ready()
            if host_table.weight_cap[i] and i not in out and self.admits(host_table, i)
        ]
        able = self.subset(host_table, able, part, start) if part < 1 else able
        hosts, suspects = (
            [i for i in able if not host_table.ejected[i]],
            [i for i in able if host_table.ejected[i]],
        )
        if 2 * sum(host_table.weight_cap[i] == NO_CAP for i in hosts) <= len(suspects):
            # Guards against a bare proxy, and against all txns on a few hosts, or on ones still cold.
            hosts += [i for i in suspects if not host_table.unreachable[i]]
        hosts = hosts or suspects
        weights = {i: host_table.capped_weight(i) for i in hosts}
        # Those that stay keep their slots together, so that one that comes or goes moves no other's.
        stay = [i for i in hosts if i in self.published and host_table.weight_cap[i] == NO_CAP]
        scale = (
            sum(self.published[i] for i in stay) / sum(weights[i] for i in stay) if stay else 0.0
        )
        usual = self.SLOTS_A_HOST * len(hosts) / sum(weights.values()) if hosts else 0.0
        if not usual / 2 < scale < 2 * usual:
            scale = usual
        exact = {i: weight * scale for i, weight in weights.items()}
        for i in self.published.keys() & exact.keys():
            host_table.effective_weight[i] = self.published[i] / scale
        return {i: max(1, count) for i, count in round_preserving_sum(exact).items()}


def tables_for(
    facts: StartFacts,
) -> list[Table]:  # one; others for products that may not use every host
    tables: dict[tuple[Any, ...], Table] = {}
    for index, product in enumerate(facts.request_classes):
        for zone in range(facts.zones) if product.stays_in_zone else (None,):
            open_to = (
                product.zones
                if zone is None
                else (zone,)
                if zone in (product.zones or (zone,))
                else ()
            )
            key = (open_to, product.machine_types, zone)
            tables.setdefault(key, Table(len(tables), *key)).products.append(index)
    return list(tables.values())


class Publisher(ProxyRegistry[Table]):
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
    OPEN = {AdmissionUnit.NONE: 1.0, AdmissionUnit.SHARE: 1.0, AdmissionUnit.RATE: 1e6}
    RETRY = (
        commands.RetryPolicy.IF_NOT_EXECUTED
    )  # on proof that the first never ran: others doubled the load of late hosts

    def __init__(self, scheduler: Scheduler, host_table: HostTable, facts: StartFacts) -> None:
        self.lines_per_us, tables = facts.channel_lines_per_s / SECOND_US, tables_for(facts)
        channel = Channel(
            facts.message_overhead_lines,
            self.lines_per_us,
            facts.max_one_way_delay_us + self.PULSE_US,
        )
        super().__init__(
            scheduler, [] if facts.slices else tables, channel
        )  # the store keeps those of slices
        self.host_table, self.limit = host_table, facts.backlog_cap_lines
        self.spare_us = max(0, facts.drain_grace_us - facts.max_one_way_delay_us)
        in_grace = self.GRACE_PART * self.spare_us * self.lines_per_us
        self.allowance = min(self.ORDINARY_PART * self.limit, in_grace)
        self.round = (2 * self.PULSE_US + 2 * facts.one_way_delay_us) * self.lines_per_us  # lines
        self.bind_allowance = min(self.allowance * self.BIND_PART, self.round)
        a_second = max(
            1.0, facts.channel_lines_per_s * facts.controller_count
        )  # lines, of all stewards
        self.line_price = (
            facts.penalty_rates.command_line
            * facts.proxy_count
            / a_second
            * SECOND_US
            / self.WORTH_US
        )
        most, self.most_gap_us = facts.max_messages_per_window, facts.drain_grace_us / 3
        self.least_gap_us = facts.message_window_us / max(1, most - 1) if most else 0.0
        self.written_us = self.told_us = self.owed_us = -facts.message_window_us
        self.withdrawn, self.due, self.refused = (
            set[int](),
            set[int](),
            False,
        )  # hosts; those to take out yet
        self.proxies, self.stewards = facts.proxy_count, facts.controller_count
        self.start = (
            facts.controller_rank % facts.controller_count / facts.controller_count
        )  # of its arc of the hosts
        self.seen, self.found, self.bare = (
            list[Any](),
            list[dict[int, int]](),
            False,
        )  # slots, their causes
        self.untold_us: int | None = None  # since when proxies wait that were not told who is gone
        self.levels: dict[
            Any, commands.SetAdmissionLimit
        ] = {}  # not yet written: a newer one replaces an older
        for table in self.tables:
            scheduler.out.append(
                commands.SetAdmissionLimit(
                    table.number, None, self.OPEN[facts.admission_unit], self.RETRY
                )
            )

    def handle(self, event: Any) -> None:
        match event:
            case events.HostEntry():
                i = self.host_table.index_of[event.host]
                if self.host_table.state[i] is HostState.READY:
                    self.due.discard(i)
                elif i not in self.withdrawn and self.withdrawal_lines(i):
                    self.due.add(i)
            case events.ProxyJoined():
                self.leave(event.proxy)
                self.join(event)
                self.untold_us = self.untold_us or self.scheduler.now
                if self.host_table.first_weights_since_us == 0:
                    self.host_table.old, sized = (
                        not event.fresh,
                        len(set(self.host_table.listed_weight)) > 1,
                    )
                    learns = (
                        self.host_table.old or self.host_table.health_checks_allowed and not sized
                    )
                    self.host_table.first_weights_since_us = self.scheduler.now if learns else None
                    binds_us = self.bind_us(self.subset_share())
                    self.host_table.first_weights_timeout_us = min(
                        self.LEARN_US, self.spare_us - binds_us
                    )
                    self.scheduler.out += self.host_table.health_checks(
                        self.host_table.eligible() if learns else ()
                    )
            case events.ProxyLeft():
                self.leave(event.proxy)
                self.count_broken(event.proxy)
            case events.Acknowledged():
                self.channel.acknowledge(event.proxy, event.sequence_number)
            case commands.SetAdmissionLimit():
                self.levels[event.table, event.products] = event
            case Tick():
                self.channel.advance(self.scheduler.now)
                self.bare = any(
                    self.host_table.removed_share(zone) > self.LOST for zone in self.unbound_zones()
                )
                self.lift()
                self.owe()
                self.write(event is Tick.TURN)
                self.bind_waiting()

    def count_broken(
        self, proxy: int
    ) -> None:  # together they may tell of a cut, before sums: all are asked
        host_table, now = self.host_table, self.scheduler.now
        broken = self.count_disconnects(proxy, now, SECOND_US)
        if (
            broken > max(2, self.BURST * len(self.zone_of_proxy))
            and now - host_table.disconnect_alarm_us > SECOND_US
        ):
            host_table.disconnect_alarm_us = now
            self.scheduler.out += host_table.health_checks(host_table.eligible())

    def write(self, turn: bool) -> None:
        """What the rules demand as soon as a message can go; the rest in the turns that can afford it."""
        host_table, joined, heads = (
            self.host_table,
            len(self.zone_of_proxy),
            len(self.zone_of_proxy) * self.channel.message_overhead,
        )
        whole = sum(len(self.users(table)) * len(table.published) for table in self.tables) + heads
        host_table.proxies, host_table.channel_constrained, host_table.min_slot_change = (
            joined,
            whole > self.allowance,
            0.0,
        )
        since, room = (
            self.scheduler.now - self.written_us,
            self.limit - self.channel.unacknowledged - heads,
        )
        # A busy channel gathers orders under fewer heads; first drains go at once, refused ones when all fit.
        fits = self.refused and sum(map(self.withdrawal_lines, self.due)) <= room
        at_once = fits or (self.due and self.scheduler.now - self.told_us >= self.most_gap_us)
        changes = sorted(self.changes(), key=lambda change: (-change.gain, change.index))
        ejected = any(change.urgent and host_table.ejected[change.index] for change in changes)
        gap_us = (
            min(self.most_gap_us, Balancer.TURN_US) if ejected else self.most_gap_us
        )  # bad hosts: a turn
        busy = self.channel.unacknowledged > self.round and since < gap_us
        if since < self.least_gap_us or (busy and not at_once):
            return
        for host in sorted(
            self.due, key=lambda i: (not self.tables_with(i), -host_table.heard_at_us[i], i)
        ):
            self.told_us = self.scheduler.now
            room -= self.tell_gone(host, room)
        self.refused = bool(self.due)
        for change in (c for c in changes if c.urgent):
            room -= self.set_line(change, room)
        if self.channel.batch or (turn and since >= 2 * self.least_gap_us and not self.bare):
            room = min(room, self.room(self.allowance) - heads)
            self.write_ordinary([c for c in changes if not c.urgent], room)
        if self.channel.batch:
            self.written_us = self.scheduler.now

    def subset_share(self) -> float:
        """Of the hosts that a table holds: as many as an even share of proxies can be bound to in time; whole
        shares, so that each host is in as many tables; all for two controllers: either may be left alone."""
        in_time = min(self.BIND_US, self.BIND_SHARE * self.spare_us) / max(1.0, self.bind_us(1.0))
        shares = max(1, math.ceil(in_time * self.stewards))
        return min(1.0, shares / self.stewards) if self.stewards > 2 else 1.0

    def bind_us(
        self, part: float
    ) -> float:  # to bind an even share of all proxies to this part of the hosts
        lines = part * len(self.host_table.ready()) + self.channel.message_overhead
        return self.proxies / self.stewards * lines / self.lines_per_us

    def all_slots(self) -> list[dict[int, int]]:
        """As found last, while nothing that they follow from has moved: ten looks a second, one turn."""
        host_table, out = self.host_table, self.withdrawn | self.due
        seen = [
            host_table.weight,
            host_table.weight_cap,
            host_table.ejected,
            host_table.unreachable,
            host_table.state,
            host_table.zone,
            host_table.machine_type,
            out,
        ]
        seen += [table.published for table in self.tables]
        if seen != self.seen:
            self.seen, part = [figures.copy() for figures in seen], self.subset_share()
            self.found = [table.slots(host_table, out, part, self.start) for table in self.tables]
            host_table.outside_subset = (
                set(host_table.ready()).difference(*self.found) if part < 1 else set()
            )
        return self.found

    def changes(
        self,
    ) -> Iterator[Change]:  # worth more where a slot is to fall: txns there are late already
        host_table, products = self.host_table, sum(len(table.products) for table in self.tables)
        urge = max(
            1.0, (self.URGE * host_table.mean_latency_us / host_table.latency_objective_us) ** 3
        )
        for table, slots in zip(self.tables, self.all_slots()):
            part = len(table.products) / products / max(1, sum(slots.values()))
            host_table.min_slot_change = max(
                host_table.min_slot_change, self.line_price / (part * table.SLOTS_A_HOST)
            )
            # Guards against a bare proxy: if no warm host is left in the table all goes out at once.
            bare = not any(
                i in slots and host_table.weight_cap[i] == NO_CAP for i in table.published
            )
            for i in slots.keys() | table.published.keys():
                count, before = slots.get(i, 0), table.published.get(i, 0)
                if count != before and i not in self.due:
                    fallen = host_table.weight_cap[i] < NO_CAP and count < self.FALLEN * before
                    strain = max(1.0, before / max(1, count)) if before else self.NEW
                    gain = urge * (count - before) ** 2 / max(count, before) * part * strain
                    urgent = bare or fallen or (not count and i not in host_table.outside_subset)
                    if (
                        i in self.withdrawn
                    ):  # nobody sends there: last, sooner if it is back or long gone
                        back, late = (
                            host_table.state[i] is HostState.READY,
                            self.scheduler.now - host_table.heard_at_us[i],
                        )
                        gain, urgent = (
                            gain * back or float(2 * late > self.KEEP_US),
                            bare and back,
                        )
                    yield Change(gain, urgent, table, i, count)

    def write_ordinary(self, changes: list[Change], room: float) -> None:
        """Levels, then the slots that move most, as there is room, if together they are worth their heads."""
        message_overhead = 0 if self.channel.batch else self.channel.message_overhead
        gain = [c for c in changes if c.gain > self.line_price or c.index in self.withdrawn]
        if room < len(self.bound) * min(message_overhead, len(gain) + len(self.levels)):
            return  # a later message holds more lines a head
        for key, level in list(self.levels.items()):
            if room >= len(users := self.users(self.tables[level.table])):
                room -= len(users)
                self.command(self.levels.pop(key), users)
        if (
            sum(c.gain - self.line_price for c in gain) > self.line_price * message_overhead
            or self.channel.batch
        ):
            for change in gain:
                room -= self.set_line(change, room)

    def set_line(
        self, change: Change, room: float
    ) -> int:  # the lines it took: none where there is no room
        table, recipients = (
            change.table,
            self.recipients(change.table, change.index, self.host_table.possibly_withdrawn),
        )
        if len(recipients) > room:
            return 0
        table.set(change.index, change.count)
        self.command(
            commands.SetRoute(
                table.number, self.host_table.host_ids[change.index], float(change.count)
            ),
            recipients,
        )
        return len(recipients)

    def tell_gone(self, host: int, room: float) -> int:
        """Its line goes; proxies on other tables, and all where several name it, are told: a line a proxy."""
        tables, lines = self.tables_with(host), self.withdrawal_lines(host)
        if lines > room:
            return 0  # it has to wait for answers
        self.due.discard(host)
        if len(tables) == 1:
            self.set_line(Change(0.0, True, tables[0], host, 0), room)
        if told := self.tell(host, self.zone_of_proxy if len(tables) > 1 else self.unbound):
            self.command(commands.WithdrawHost(self.host_table.host_ids[host], True), told)
            self.withdrawn.add(host)
        return lines

    def owe(self) -> None:
        """Who joins may name hosts that are gone: binds settle it, withdrawals where these take too long."""
        host_table, now = self.host_table, self.scheduler.now
        self.untold_us = self.untold_us if self.unbound else None
        if self.untold_us is not None and now - self.owed_us >= self.most_gap_us:
            a_bind = self.channel.message_overhead + sum(
                table.lines(set()) for table in self.tables
            )
            in_time = (self.IN_TIME * self.spare_us - (now - self.untold_us)) * self.lines_per_us
            if (
                host_table.first_weights_since_us
                or self.channel.unacknowledged + len(self.unbound) * a_bind > in_time
            ):
                self.due.update(
                    i
                    for i in host_table.index_of.values()
                    if host_table.state[i] is not HostState.READY
                )
                self.untold_us, self.owed_us = None, now

    def long_gone(self) -> list[int]:  # hosts of which nothing is kept from here
        host_table, late = self.host_table, self.scheduler.now - self.KEEP_US
        return [
            host
            for host, i in host_table.index_of.items()
            if host_table.state[i] is HostState.GONE
            and host_table.heard_at_us[i] < late
            and not self.tables_with(i)
        ]

    def lift(self) -> None:
        """Once no table names it; a cold host stays out while proxies on older tables may name it too."""
        for i in sorted(self.withdrawn):
            fits = len(self.unbound) * (self.channel.message_overhead + 1) <= self.room(
                self.allowance
            )
            back = self.host_table.state[i] is HostState.READY and not self.tables_with(i) and fits
            if back and (self.host_table.weight_cap[i] == NO_CAP or not self.unbound):
                self.withdrawn.discard(i)
                self.notified.pop(i, None)
                self.command(
                    commands.WithdrawHost(self.host_table.host_ids[i], False), self.unbound
                )

    def room(
        self, most_queued: float
    ) -> float:  # for what can wait: a drain's message must always fit
        most = max(
            self.bind_allowance,
            self.limit - len(self.zone_of_proxy) * (self.channel.message_overhead + 1),
        )
        return min(most_queued - self.channel.queued, most - self.channel.unacknowledged)

    def bind_waiting(self) -> None:
        """Each proxy once a stream, and never to tables without lines; fresh ones, and large ones, first."""
        for change in (
            () if self.bound or self.host_table.first_weights_since_us else list(self.changes())
        ):
            self.set_line(
                change, NO_CAP
            )  # nobody pays for them yet, and binds are to carry the newest
        filled = (
            any(t.published for t in self.tables) and not self.host_table.first_weights_since_us
        )
        most = (self.bind_allowance, self.allowance)[self.bare]  # proxies may be bare: slots wait
        out = (
            self.withdrawn,
            self.withdrawn | self.host_table.possibly_withdrawn,
        )  # lines more: for who is fresh, and is not
        for proxy in sorted(self.unbound, key=lambda p: (*self.unbound[p], p)) if filled else ():
            tables = [
                table for table in self.tables if table.serves_zone(self.zone_of_proxy[proxy])
            ]
            costs = [table.lines(out[proxy in self.returning]) for table in tables]
            needs = sum(costs) + self.channel.message_overhead
            # Guards against a table longer than binds may queue, which would never go; alone it does.
            if needs > self.room(max(most, min(needs, self.allowance))):
                break
            del self.unbound[proxy]
            self.bound.add(proxy)
            for table, lines in zip(tables, costs):
                products = tuple(table.products) if len(self.tables) > 1 else None
                self.command(commands.BindProxy(table.number, proxy, products), [proxy], lines)


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
        self, scheduler: Scheduler, host_table: HostTable, facts: StartFacts, publisher: Publisher
    ) -> None:
        super().__init__(scheduler)
        self.host_table, self.publisher, self.unit = host_table, publisher, facts.admission_unit
        self.tables = (
            publisher.tables if self.unit is not AdmissionUnit.NONE else []
        )  # nobody heeds any
        self.past = [
            deque([1.0] * self.LAG, self.LAG) for _ in self.tables
        ]  # shares, the newest last
        self.late, self.failed, self.attempts = ([0.0] * len(self.tables) for _ in range(3))
        self.settled = self.arrived = 0.0  # txns of the last turns, over all tables
        self.sent: dict[tuple[int, int], float] = {}
        self.rates: dict[tuple[int, int], float] = {}  # txns a second, by proxy and product

    def handle(self, event: Any) -> None:
        match event:
            case events.ProxyRequestStats() if event.span_us > 0 and self.tables:
                self.arrived += event.arrived
                key, rate = (event.proxy, event.product), event.arrived * SECOND_US / event.span_us
                self.rates[key] = (self.rates.get(key, rate) + rate) / 2
            case events.HostRequestStats():
                host, self.settled = (
                    self.host_table.index_of[event.host],
                    self.settled + event.attempts - event.failed,
                )
                for index, table in enumerate(self.tables):
                    # By what its own proxies met: a zone behind a cut may serve its own all the same.
                    if (
                        table.serves_zone(event.zone)
                        and table.admits(self.host_table, host)
                        and event.mean_latency_us < NO_CAP
                    ):
                        self.attempts[index] += event.attempts
                        self.failed[index] += event.failed
                        self.late[index] += (
                            (event.attempts - event.failed)
                            * event.mean_latency_us
                            / self.host_table.latency_objective_us
                        )
            case Tick.TURN:
                for index, table in enumerate(self.tables):
                    self.follow(index, table)
                self.settled, self.arrived = self.settled / 2, self.arrived / 2

    def follow(self, index: int, table: Table) -> None:
        """Turn by turn: in a sum by txns the many late ones of an overload would outlast it."""
        past, attempts = self.past[index], max(1.0, self.attempts[index])
        share, before, good = past[-1], past[0], 1 - self.failed[index] / attempts
        settled = attempts - self.failed[index]
        late = self.late[index] / settled if settled else self.LOW
        if late > self.HIGH:
            least = max(self.LEAST, min(1.0, self.settled / max(1.0, self.arrived)))
            share = max(least, min(share, before * min(self.FALL, good)))
        elif late < self.LOW:
            share = min(1.0, share * self.RISE)
        past.append(share)
        self.late[index] = self.failed[index] = self.attempts[index] = 0
        for product in table.products:
            self.set_level(table, product, share)

    def set_level(self, table: Table, product: int, share: float) -> None:
        open_ = level = Publisher.OPEN[self.unit]
        if share < 1:
            level = (
                share if self.unit is AdmissionUnit.SHARE else self.rate_for(table, product, share)
            )
        before = self.sent.get((table.number, product), open_)
        if abs(level - before) > self.STEP * before or level == open_ != before:
            self.sent[table.number, product] = level
            self.scheduler.put(
                self.publisher,
                commands.SetAdmissionLimit(table.number, (product,), level, Publisher.RETRY),
            )

    def rate_for(
        self, table: Table, product: int, share: float
    ) -> float:  # small proxies keep theirs whole
        joined = self.publisher.zone_of_proxy.items()
        rates = [
            self.rates.get((proxy, product), 0.0)
            for proxy, zone in joined
            if table.serves_zone(zone)
        ]
        weight_cap = even_rate_cap(rates, share * sum(rates))
        return Publisher.OPEN[self.unit] if weight_cap is None else max(weight_cap, 0.1)
