"""One host: its entry in the list, warm-up and health."""

from typing import Any

from plankroute.events import events
from plankroute.events.events import HealthCheckOutcome, HostState
from plankroute.policy.host_table import HostTable
from plankroute.policy.time_constants import LN_2, MEMORY_US, SECOND_US
from plankroute.policy.weights import Balancer
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.scheduler import Actor, Scheduler, Tick


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
