"""Weights: a leaky PID controller adjusts the weight of each host once per turn by its fill.

The method is that of Howard et al., "Control Simulation for an ESnet-JLab FPGA Accelerated
Transport Load Balancer"; docs/design.md states what was adopted, what was changed and why. The
error of a host is the mean fill minus its own fill. Statistics lag behind the published slots, so a
weight is kept close to the slot that is in force.
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

# Gains of the PID controller (docs/design.md, gains). Fill is computed for the current weight, so
# late statistics limit the gains less than in the original method.
PROPORTIONAL_GAIN = 0.12
INTEGRAL_GAIN = 0.01
DERIVATIVE_GAIN = 0.02
# Share of the integral that is removed per turn (leaky integrator).
INTEGRAL_LEAK = 0.10
# Factor from the PID output to a change of weight, in units of the mean weight.
OUTPUT_SCALE = 4
# Additional gain in the first turn if the endpoint list states no host sizes, so that all weights
# have to be learned. It is divided by the number of the turn (docs/design.md, eagerness).
FIRST_TURN_GAIN = 6.0
# Turn number to continue from if weights were taken over from old tables, which are already
# adjusted to the hosts.
TURN_AFTER_OLD_TABLES = 6
# Maximum lead: how far a weight may deviate from its published slot, relative to the slot
# (docs/design.md).
MAX_LEAD = 0.6
# The same if a turn cannot write all slots: a greater lead makes weights oscillate between zones
# (docs/incidents/full-size.md).
MAX_LEAD_CONSTRAINED = 0.3
# Minimum lead, as a multiple of the smallest slot change that is worth its line: with a smaller
# lead, a slot would never change (docs/design.md).
LEAD_OVER_MIN_CHANGE = 1.2
# Fill above which a host without new statistics counts as still overloaded instead of idle. It
# corresponds to a load of three times the mean.
STALLED_FILL = 0.75
# Delay from the start of a round of statistics to the turn that uses them.
LAG_BEHIND_STATS_US = SECOND_US // 10


@dataclass(frozen=True, slots=True)
class TurnScale:
    """Quantities that scale the weight changes of one turn.

    Attributes:
        mean_fill: Mean fill of the hosts that have one.
        mean_weight: Mean weight of the eligible hosts.
        gain: Factor on the PID output and on the lead; above 1 in the first turns if the endpoint
            list states no host sizes.
        lead: Maximum deviation of a weight from its published slot, before the gain.
    """

    mean_fill: float
    mean_weight: float
    gain: float
    lead: float


class WeightController(Actor[Tick]):
    """Adjusts the weights of all eligible hosts once per turn."""

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
        # Random, so that the controllers do not all run their turns at the same time.
        self.first_turn_delay_us = int(TURN_US * (0.5 + scheduler.random() / 2))

    def next_turn_delay_us(self) -> int:
        """Returns the time to the next turn, in microseconds.

        Turns are aligned to run shortly after each round of statistics; otherwise, statistics could
        wait for up to a turn.
        """
        if self.host_table.stats_burst_us <= 0:
            return TURN_US
        half = TURN_US // 2
        behind_us = self.scheduler.now - self.host_table.stats_burst_us - LAG_BEHIND_STATS_US
        return TURN_US - ((behind_us + half) % TURN_US - half)

    def handle(self, event: Tick) -> None:
        """Decides the first weights if proxies wait for them; adjusts the weights on a turn."""
        outside_subset = self.host_table.outside_subset
        eligible = [host for host in self.host_table.eligible() if host not in outside_subset]
        if self.first_weights.is_waiting and eligible:
            self._decide_first_weights(eligible)
        if event is Tick.TURN and not self.first_weights.is_waiting:
            self._adjust_weights(eligible)

    def _decide_first_weights(self, eligible: list[int]) -> None:
        now = self.scheduler.now
        if self.first_weights.try_decide(self.host_table, self.prior, eligible, now):
            self.turns = TURN_AFTER_OLD_TABLES if self.first_weights.from_old_tables else 0

    def _adjust_weights(self, eligible: list[int]) -> None:
        host_table = self.host_table
        fill_of = fills(host_table, self.tables, eligible)
        if not fill_of or not any(host_table.heard_since_turn[host] for host in eligible):
            return
        self.turns += 1
        scale = self._turn_scale(eligible, fill_of)
        for host in eligible:
            # A host without new statistics has an error of 0, so a controller that gets no
            # statistics keeps its weights. The exception is a stalled host, which has no new
            # statistics because it is still stalled.
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
        """Returns the output of the PID controller; the derivative is 0 without new statistics."""
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
        """Returns the new weight: at least the floor and, for a warm host, close to its slot.

        The bound prevents a weight from running away while its slot waits to be written, since the
        statistics are those of the published slot.
        """
        host_table = self.host_table
        adjusted = host_table.weight[host] + OUTPUT_SCALE * scale.mean_weight * scale.gain * output
        weight = max(adjusted, WEIGHT_FLOOR * scale.mean_weight)
        published = host_table.effective_weight[host]
        if host_table.weight_cap[host] != NO_CAP or not published:
            return weight
        lead = 1 + scale.gain * scale.lead
        return min(max(weight, published / lead), published * lead)
