"""Actor of one host: updates its statistics, health, warm-up and prior knowledge."""

from plankroute.events import events
from plankroute.events.events import HostState
from plankroute.policy.constants import STATS_HALF_LIFE_US
from plankroute.policy.first_weights import FirstWeights
from plankroute.policy.health import GOOD_CHECKS_TO_READMIT, HostHealth
from plankroute.policy.host_table import HostTable
from plankroute.policy.prior_knowledge import (
    MAX_EJECTED_SHARE,
    MIN_MEASURED_ATTEMPTS,
    PriorKnowledge,
)
from plankroute.policy.warmup import Ramp
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.scheduler import Actor, Scheduler, Tick
from plankroute.units import SECOND_US

# Statistics that arrive no further apart than this belong to the same round of reports.
STATS_BURST_GAP_US = SECOND_US // 4

HostEvent = (
    events.HostEntry
    | events.HostRequestStats
    | events.HealthCheckResult
    | events.HostPriorKnowledge
    | Tick
)


class HostActor(Actor[HostEvent]):
    """Handles the events of one host of the host table.

    Attributes:
        index: Index of the host in the host table.
        health: Health checks and ejection of the host.
        ramp: Warm-up and recovery ramp of the host.
        has_own_knowledge: Whether this controller has observed the host's current process itself.
            Only own observations are passed on to other controllers, prior knowledge is not.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        host_table: HostTable,
        prior: PriorKnowledge,
        first_weights: FirstWeights,
        index: int,
    ) -> None:
        super().__init__(scheduler)
        self.host_table = host_table
        self.prior = prior
        self.first_weights = first_weights
        self.index = index
        self.health = HostHealth(scheduler, host_table, prior, index)
        self.ramp = Ramp()
        self.has_own_knowledge = False
        host_table.decayed_at_us[index] = scheduler.now
        host_table.heard_at_us[index] = scheduler.now

    @property
    def required_checks(self) -> int:
        """Consecutive good health checks that the host's next readmission requires."""
        return self.health.required_checks

    def handle(self, event: HostEvent) -> None:
        """Handles one event of this host, or a tick."""
        match event:
            case events.HostRequestStats():
                self.on_request_stats(event)
            case Tick.CHANGED:
                self.update_cap()
            case Tick.TURN:
                self.on_turn()
            case events.HealthCheckResult():
                self.on_health_check(event)
            case events.HostEntry():
                self.on_entry(event)
            case events.HostPriorKnowledge():
                self.on_prior_knowledge(event)

    def update_cap(self) -> None:
        """Recomputes the cap on the host's weight."""
        cap = self.ramp.weight_cap(self.host_table, self.index, self.scheduler.now)
        self.host_table.weight_cap[self.index] = cap

    def on_entry(self, entry: events.HostEntry) -> None:
        """Applies the host's entry in the endpoint list; resets the host if it has restarted."""
        host_table = self.host_table
        index = self.index
        if entry.state is not host_table.state[index]:
            host_table.heard_at_us[index] = self.scheduler.now
        host_table.zone[index] = entry.zone
        host_table.machine_type[index] = entry.machine_type
        host_table.state[index] = entry.state
        if entry.state is HostState.READY:
            has_restarted = entry.started_us > self.ramp.started_us
            self.ramp.started_us = entry.started_us
            if has_restarted:
                self.reset()
        self.update_cap()

    def reset(self) -> None:
        """Discards the state of the process before a restart, which says nothing of the new one."""
        host_table = self.host_table
        index = self.index
        host_table.scale_sums(index, 0.0)
        host_table.error[index] = None
        host_table.integral[index] = 0.0
        host_table.ejected[index] = False
        host_table.heard_at_us[index] = self.scheduler.now
        self.ramp.readmission_share = 1.0
        self.health.required_checks = GOOD_CHECKS_TO_READMIT
        self.has_own_knowledge = False
        self.prior.discard(index)
        if host_table.mean_weight_by_type:
            host_table.weight[index] = host_table.mean_weight_of_type(index)

    def on_request_stats(self, stats: events.HostRequestStats) -> None:
        """Adds the attempts of proxies at the host to its decayed sums.

        A failed attempt counts as one that took the latency objective: otherwise, a host that fails
        requests quickly would appear idle.
        """
        host_table = self.host_table
        index = self.index
        now = self.scheduler.now
        failed = min(stats.failed, stats.attempts)
        host_table.note_stats_arrival(now, STATS_BURST_GAP_US)
        host_table.decay(index, now, STATS_HALF_LIFE_US)
        host_table.heard_at_us[index] = now
        host_table.heard_since_turn[index] = True
        self.has_own_knowledge = True
        served = 0
        latency_sum_us = 0.0
        if 0 < stats.mean_latency_us < NO_CAP:
            served = stats.attempts - failed
        if served:
            latency_sum_us = served * stats.mean_latency_us
        host_table.attempts[index] += served + failed
        host_table.failed[index] += failed
        host_table.latency_sum_us[index] += (
            latency_sum_us + failed * host_table.latency_objective_us
        )
        if host_table.attempts[index] >= MIN_MEASURED_ATTEMPTS:
            fails_most = 2 * host_table.failed[index] > host_table.attempts[index]
            self.prior.compare(host_table, index, fails_most)
        host_table.add_load_report(index, stats.report)

    def on_health_check(self, result: events.HealthCheckResult) -> None:
        """Handles a health check result; ignores an outdated one of another controller."""
        if result.age_us > STATS_HALF_LIFE_US:
            return
        if self.health.on_check(result):
            self.has_own_knowledge = True

    def on_prior_knowledge(self, event: events.HostPriorKnowledge) -> None:
        """Applies prior knowledge, unless the controller has better knowledge itself.

        Prior knowledge is ignored if the host is not ready, if enough attempts at it have been
        measured, or once prior knowledge of any host has been compared with own findings.
        """
        host_table = self.host_table
        index = self.index
        is_ready = host_table.state[index] is HostState.READY
        is_measured = host_table.attempts[index] >= MIN_MEASURED_ATTEMPTS
        if not is_ready or is_measured or self.prior.compared:
            return
        is_unhealthy = self.prior.record(index, event)
        if self.first_weights.is_decided:
            host_table.weight[index] = self.prior.weights[index]
            host_table.effective_weight[index] = 0.0  # the published slot does not bound it
        was_ejected = is_unhealthy and event.ejected
        if (
            was_ejected
            and not host_table.ejected[index]
            and host_table.may_eject_another(MAX_EJECTED_SHARE)
        ):
            self.health.eject_on_prior_knowledge(event.required_checks)
            self.health.request_check()

    def on_turn(self) -> None:
        """Runs a turn: decays the sums, readmits or ramps up the host, requests a health check."""
        host_table = self.host_table
        index = self.index
        if host_table.state[index] is not HostState.READY:
            return
        host_table.decay(index, self.scheduler.now, STATS_HALF_LIFE_US)
        needs_check = self.health.needs_check()
        if host_table.ejected[index]:
            if self.health.readmit_if_recovered():
                self.ramp.readmit()
        else:
            self.ramp.advance()
            if not needs_check:
                self.health.bad_checks = 0
        self.update_cap()
        if needs_check:
            self.health.request_check()
