"""Warm-up: the cap on the weight of a host that has just started or was readmitted.

A host that starts has a part of its capacity, which rises linearly over the warm-up time of the
settings. A readmitted host enters with a quarter of its weight, which rises turn by turn.

Guards against a host that is overloaded as it starts: where attempts fail, proxies flock to the
host that still answers (herd effect). Harm: a host that warms up faster could take more.
"""

from dataclasses import dataclass

from plankroute.policy.host_table import HostTable
from plankroute.state.host_statistics import NO_CAP

# Share of its weight with which a host is readmitted: the design's value.
READMISSION_SHARE = 0.25
# Factor a turn by which that share rises.
READMISSION_GROWTH = 1.5
# Weight of the failure ratio's third power against the herd effect: it takes a third off at a half
# failed, three quarters at nine tenths. With 2.5 warming hosts were overloaded in simulated days.
HERD_FACTOR = 4.0
# Failure ratio at which all requests soon flock to a new host, whatever else holds (docs/design.md,
# cold caps).
OVERLOAD_FAILURE_RATIO = 0.5
# The same where answers are late already (docs/design.md, cold caps).
LATE_OVERLOAD_FAILURE_RATIO = 0.3
# Answers are late from this part of the latency objective on.
LATE_PART_OF_OBJECTIVE = 0.8
# Attempts a second of one proxy at one host, from which on proxies shun failing hosts and so flock
# to others (docs/design.md, cold caps).
MIN_RATE_FOR_HERD = 0.3
# The least part of its type's usual weight that a capped host keeps.
MIN_CAPACITY_SHARE = 0.01


@dataclass(slots=True)
class Ramp:
    """Where a host is on its way to its full weight.

    Attributes:
        started_us: When the host's process started; 0 where that is long ago.
        readmission_share: Share of its weight since it was readmitted; 1 if it was not.
    """

    started_us: int = 0
    readmission_share: float = 1.0

    def readmit(self) -> None:
        """Starts the ramp of a host that was ejected."""
        self.readmission_share = READMISSION_SHARE

    def advance(self) -> None:
        """Goes on by one turn."""
        self.readmission_share = min(1.0, self.readmission_share * READMISSION_GROWTH)

    def weight_cap(self, host_table: HostTable, index: int, now: int) -> float:
        """Returns the most that the host's weight counts for; 0 keeps it out of the tables."""
        age_us = max(0, now - self.started_us)
        is_cold = self.started_us > 0 and age_us < host_table.warmup_us
        share = self.readmission_share
        if is_cold:
            initial = host_table.initial_capacity_share
            share = min(share, initial + (1 - initial) * age_us / host_table.warmup_us)
        if share >= 1:
            return NO_CAP
        if is_cold and is_overloaded(host_table, share):
            return 0.0
        failed = host_table.failure_ratio
        bearable = share * (1 - failed) / (1 + HERD_FACTOR * failed**3)
        return max(MIN_CAPACITY_SHARE, bearable) * host_table.mean_weight_of_type(index)


def is_overloaded(host_table: HostTable, share: float) -> bool:
    """Whether the other hosts are overloaded, so that a cold host would be too.

    Args:
        host_table: Statistics of all hosts.
        share: Share of its capacity that a cold host has.
    """
    warm_half = host_table.max_warm_count / 2
    capacity_of_warming = share * host_table.warming_count
    if capacity_of_warming >= max(host_table.warm_count, warm_half):
        return False  # together the warming hosts bear what one alone would not
    are_most_warm_lost = host_table.warm_count + capacity_of_warming < warm_half
    return are_most_warm_lost or host_table.failure_ratio > overload_threshold(host_table)


def overload_threshold(host_table: HostTable) -> float:
    """Returns the failure ratio beyond which proxies flock to a new host."""
    late_us = LATE_PART_OF_OBJECTIVE * host_table.latency_objective_us
    is_late = host_table.mean_latency_us > late_us
    if is_late and host_table.attempt_rate_per_proxy > MIN_RATE_FOR_HERD:
        return LATE_OVERLOAD_FAILURE_RATIO
    return OVERLOAD_FAILURE_RATIO
