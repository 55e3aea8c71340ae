"""Warm-up: caps the weight of a host that has just started or was readmitted.

A host starts with a share of its capacity, which rises linearly over the warm-up time of the
settings. A readmitted host starts with a quarter of its weight, which rises every turn.

The cap prevents overload of a starting host: where attempts fail, proxies concentrate on the hosts
that still answer (herd effect). The drawback is that a host which warms up faster could take more.
"""

from dataclasses import dataclass

from plankroute.policy.host_table import HostTable
from plankroute.state.host_statistics import NO_CAP

# Share of its weight with which a host is readmitted.
READMISSION_SHARE = 0.25
# Factor by which that share rises per turn.
READMISSION_GROWTH = 1.5
# Factor on the cubed failure ratio, which reduces the cap against the herd effect: by a third at a
# failure ratio of 0.5, by three quarters at 0.9. With 2.5, warming hosts were overloaded in
# simulated days.
HERD_FACTOR = 4.0
# Failure ratio above which all requests soon concentrate on a new host, whatever the latency and
# the request rate (docs/design.md, cold caps).
OVERLOAD_FAILURE_RATIO = 0.5
# The same while responses are late (docs/design.md, cold caps).
LATE_OVERLOAD_FAILURE_RATIO = 0.3
# Responses count as late if the mean latency exceeds this share of the latency objective.
LATE_SHARE_OF_OBJECTIVE = 0.8
# Attempts per second of one proxy at one host above which proxies avoid failing hosts, and so
# concentrate on others (docs/design.md, cold caps).
MIN_RATE_FOR_HERD = 0.3
# Minimum cap of a host, as a share of the mean weight of its machine type.
MIN_CAPACITY_SHARE = 0.01


@dataclass(slots=True)
class Ramp:
    """Progress of a host towards its full weight.

    Attributes:
        started_us: When the host's process started; 0 if that is long ago.
        readmission_share: Share of its weight that the host has regained since its readmission; 1
            if it was not readmitted.
    """

    started_us: int = 0
    readmission_share: float = 1.0

    def readmit(self) -> None:
        """Starts the recovery ramp of a host that was ejected."""
        self.readmission_share = READMISSION_SHARE

    def advance(self) -> None:
        """Advances the recovery ramp by one turn."""
        self.readmission_share = min(1.0, self.readmission_share * READMISSION_GROWTH)

    def weight_cap(self, host_table: HostTable, index: int, now: int) -> float:
        """Returns the cap on the host's weight: NO_CAP if warm, 0 to keep it out of the tables."""
        age_us = max(0, now - self.started_us)
        is_cold = self.started_us > 0 and age_us < host_table.warmup_us
        share = self.readmission_share
        if is_cold:
            initial_share = host_table.initial_capacity_share
            share = min(share, initial_share + (1 - initial_share) * age_us / host_table.warmup_us)
        if share >= 1:
            return NO_CAP
        if is_cold and is_overloaded(host_table, share):
            return 0.0
        failure_ratio = host_table.failure_ratio
        safe_share = share * (1 - failure_ratio) / (1 + HERD_FACTOR * failure_ratio**3)
        return max(MIN_CAPACITY_SHARE, safe_share) * host_table.mean_weight_of_type(index)


def is_overloaded(host_table: HostTable, share: float) -> bool:
    """Whether the other hosts are overloaded, so that a cold host would be too.

    Args:
        host_table: Statistics of all hosts.
        share: Share of its capacity that a cold host has.
    """
    warm_half = host_table.max_warm_count / 2
    capacity_of_warming = share * host_table.warming_count
    if capacity_of_warming >= max(host_table.warm_count, warm_half):
        return False  # together, the warming hosts can take a load that would overload one of them
    lost_most_warm_hosts = host_table.warm_count + capacity_of_warming < warm_half
    return lost_most_warm_hosts or host_table.failure_ratio > overload_threshold(host_table)


def overload_threshold(host_table: HostTable) -> float:
    """Returns the failure ratio above which proxies concentrate on a new host."""
    late_us = LATE_SHARE_OF_OBJECTIVE * host_table.latency_objective_us
    is_late = host_table.mean_latency_us > late_us
    if is_late and host_table.attempt_rate_per_proxy > MIN_RATE_FOR_HERD:
        return LATE_OVERLOAD_FAILURE_RATIO
    return OVERLOAD_FAILURE_RATIO
