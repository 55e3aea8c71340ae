"""Weights: a leaky PID controller on fill moves the weight of each host once a turn.

The method is Howard et al., "Control Simulation for an ESnet-JLab FPGA Accelerated Transport Load
Balancer"; docs/design.md has what is kept of it, what is changed and why. The error of a host is
the mean fill less its own fill. Statistics trail the published slots, so a weight stays near the
slot that is in force.
"""

from dataclasses import dataclass

from plankroute.policy.constants import TURN_US, WEIGHT_FLOOR
from plankroute.policy.fill import fills
from plankroute.policy.first_weights import FirstWeights
from plankroute.policy.host_table import HostTable
from plankroute.policy.prior_knowledge import PriorKnowledge
from plankroute.state.host_statistics import NO_CAP
from plankroute.state.published_table import PublishedTable
from plankroute.state.scheduler import Actor, Scheduler, Tick
from plankroute.units import SECOND_US

# Gains of the PID controller (docs/design.md, gains). Fill is that of the present weight, so late
# statistics bound the gains less than in the source of the method.
PROPORTIONAL_GAIN = 0.12
INTEGRAL_GAIN = 0.01
DERIVATIVE_GAIN = 0.02
# Part of the integral that leaks away a turn: the design's value.
INTEGRAL_LEAK = 0.10
# Factor from the controller's output to weight, in mean weights: the design's value.
OUTPUT_SCALE = 4
# Additional gain in the first turn where the list gives no sizes, so that all is to be learned; it
# falls with the number of the turn (docs/design.md, eagerness).
FIRST_TURN_GAIN = 6.0
# Turn to go on from where weights were taken over from old tables: those have learned already.
TURN_AFTER_OLD_TABLES = 6
# How far a weight may be ahead of its published slot, as a part of it (docs/design.md).
MAX_LEAD = 0.6
# The same where a turn can not write all slots: a longer lead makes weights swing between zones
# (docs/incidents/full-size.md).
MAX_LEAD_CONSTRAINED = 0.3
# The lead covers the least change that is worth its line times this: a shorter one would keep a
# slot forever. See docs/design.md.
LEAD_OVER_MIN_CHANGE = 1.2
# Fill from which on a host that falls silent counts as still overloaded and not as idle: a stress
# of three times the mean.
STALLED_FILL = 0.75
# Turns keep this far behind the statistics that come together.
LAG_BEHIND_STATS_US = SECOND_US // 10


@dataclass(frozen=True, slots=True)
class TurnScale:
    """What the weights of a turn are scaled by.

    Attributes:
        mean_fill: Mean fill of the hosts that have one.
        mean_weight: Mean weight of the eligible hosts.
        gain: Factor on gains and leads; over 1 in the first turns.
        lead: How far a weight may be ahead of its published slot, before the gain.
    """

    mean_fill: float
    mean_weight: float
    gain: float
    lead: float


class WeightController(Actor[Tick]):
    """Moves the weights of all eligible hosts once a turn."""

    def __init__(
        self,
        scheduler: Scheduler,
        host_table: HostTable,
        tables: list[PublishedTable],
        prior: PriorKnowledge,
        first_weights: FirstWeights,
    ) -> None:
        super().__init__(scheduler)
        self.host_table = host_table
        self.tables = tables
        self.prior = prior
        self.first_weights = first_weights
        self.turns = 0
        # Controllers should not take their turns in step.
        self.first_us = int(TURN_US * (0.5 + scheduler.random() / 2))

    def pause_us(self) -> int:
        """Returns the time to the next turn.

        Guards against statistics that wait up to a turn: turns keep just behind those that come
        together.
        """
        if self.host_table.stats_burst_us <= 0:
            return TURN_US
        half = TURN_US // 2
        behind_us = self.scheduler.now - self.host_table.stats_burst_us - LAG_BEHIND_STATS_US
        return TURN_US - ((behind_us + half) % TURN_US - half)

    def handle(self, event: Tick) -> None:
        """Decides the first weights if proxies wait for them; moves the weights on a turn."""
        outside_subset = self.host_table.outside_subset
        eligible = [host for host in self.host_table.eligible() if host not in outside_subset]
        if self.first_weights.is_waiting and eligible:
            self._decide_first_weights(eligible)
        if event is Tick.TURN and not self.first_weights.is_waiting:
            self._move_weights(eligible)

    def _decide_first_weights(self, eligible: list[int]) -> None:
        now = self.scheduler.now
        if self.first_weights.try_decide(self.host_table, self.prior, eligible, now):
            self.turns = TURN_AFTER_OLD_TABLES if self.first_weights.from_old_tables else 0

    def _move_weights(self, eligible: list[int]) -> None:
        host_table = self.host_table
        fill_of = fills(host_table, self.tables, eligible)
        if not fill_of or not any(host_table.heard_since_turn[host] for host in eligible):
            return
        self.turns += 1
        scale = self._turn_scale(eligible, fill_of)
        for host in eligible:
            # No statistics, no error: hosts without new ones count as average, so the weights
            # of a controller that hears nothing stay. A stalled host is silent because it still is
            # stalled.
            fill = fill_of.get(host)
            is_stalled = fill is not None and fill > STALLED_FILL
            error = 0.0
            if fill is not None and (host_table.heard_since_turn[host] or is_stalled):
                error = scale.mean_fill - fill
            output = self._pid_output(host, error)
            host_table.weight[host] = self._bounded_weight(host, output, scale)
        host_table.normalise_weights(eligible)

    def _turn_scale(self, eligible: list[int], fill_of: dict[int, float]) -> TurnScale:
        host_table = self.host_table
        mean_fill = sum(fill_of.values()) / len(fill_of)
        mean_weight = sum(host_table.weight[host] for host in eligible) / len(eligible)
        has_listed_sizes = len({host_table.listed_weight[host] for host in eligible}) > 1
        gain = 1.0 if has_listed_sizes else 1 + FIRST_TURN_GAIN / self.turns
        lead = MAX_LEAD_CONSTRAINED if host_table.channel_constrained else MAX_LEAD
        lead = max(lead, LEAD_OVER_MIN_CHANGE * host_table.min_slot_change)
        return TurnScale(mean_fill, mean_weight, gain, lead)

    def _pid_output(self, host: int, error: float) -> float:
        """Returns the controller's output; only new statistics have a derivative."""
        host_table = self.host_table
        change = 0.0
        host_table.integral[host] = host_table.integral[host] * (1 - INTEGRAL_LEAK) + error
        if host_table.heard_since_turn[host]:
            previous = host_table.error[host]
            if previous is not None:
                change = error - previous
            host_table.error[host] = error
            host_table.heard_since_turn[host] = False
        return (
            PROPORTIONAL_GAIN * error
            + INTEGRAL_GAIN * host_table.integral[host]
            + DERIVATIVE_GAIN * change
        )

    def _bounded_weight(self, host: int, output: float, scale: TurnScale) -> float:
        """Returns the new weight, within the floor and, for a warm host, near its published slot.

        Guards against a weight that runs on while its slot waits: statistics are of the published
        slot.
        """
        host_table = self.host_table
        moved = host_table.weight[host] + OUTPUT_SCALE * scale.mean_weight * scale.gain * output
        weight = max(moved, WEIGHT_FLOOR * scale.mean_weight)
        published = host_table.effective_weight[host]
        if host_table.weight_cap[host] != NO_CAP or not published:
            return weight
        lead = 1 + scale.gain * scale.lead
        return min(max(weight, published / lead), published * lead)
