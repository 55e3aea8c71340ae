"""Merges observations of one host from several sources, separately for health and for capacity.

Observations are chosen by rank, not by the last write. Each of the two kinds is a join-semilattice:
merging in any order, any number of times, gives the same result (conflict-free replicated data
types, Shapiro et al. 2011). How much the merged observations count is decided by the policy.
"""

import math
from dataclasses import dataclass

from plankroute.warm_start.snapshot import HostKnowledge


@dataclass(frozen=True, slots=True)
class Observation:
    """What one source knows of a host.

    Attributes:
        knowledge: The observed values.
        observed_at_us: When they were observed, on this controller's monotonic clock.
    """

    knowledge: HostKnowledge
    observed_at_us: int

    def health_rank_us(self, half_life_us: int) -> float:
        """Returns the rank by which health observations are compared, as a time in microseconds.

        An observation of bad health counts as one half-life more recent. Guards against a failing
        host whose failures one of two controllers has not seen yet: an observation of good health
        from the same time must not override one of bad health. The cost: a host that has recovered
        is avoided for up to a half-life longer, or until its health checks succeed.
        """
        if self.knowledge.is_unhealthy():
            return self.observed_at_us + half_life_us
        return self.observed_at_us

    def capacity_rank_us(self, half_life_us: int) -> float:
        """Returns the rank by which capacity observations are compared, as a time in microseconds.

        Twice the attempts count as much as being one half-life more recent.
        """
        return self.observed_at_us + half_life_us * math.log2(1.0 + self.knowledge.attempts)


@dataclass(frozen=True, slots=True)
class MergedKnowledge:
    """Merged knowledge of a host since one of its starts.

    Attributes:
        health: The observation from which the health is taken.
        capacity: The observation from which weight, attempts and latency are taken.
    """

    health: Observation
    capacity: Observation

    def boot_ms(self) -> float:
        """Returns the Unix time of the start of the host that the knowledge is about."""
        return self.health.knowledge.boot_ms


def from_observation(observation: Observation) -> MergedKnowledge:
    """Returns the merged knowledge that consists of a single observation."""
    return MergedKnowledge(observation, observation)


def tie_breaker(observation: Observation) -> tuple[float, ...]:
    """Returns a key that orders observations of equal rank.

    Any total order will do, as long as all controllers use the same one.
    """
    knowledge = observation.knowledge
    return (
        observation.observed_at_us,
        knowledge.ejected,
        knowledge.failed,
        knowledge.attempts,
        knowledge.required_checks,
        knowledge.weight,
        knowledge.mean_latency_us,
    )


def merge(one: MergedKnowledge, other: MergedKnowledge, half_life_us: int) -> MergedKnowledge:
    """Returns the higher-ranked of two observations for health, and likewise for capacity.

    If they are about different starts of the host, only the knowledge of the later start is kept.

    Args:
        one: Knowledge of the host.
        other: Further knowledge of the same host.
        half_life_us: The half-life that the ranks use.
    """
    if one.boot_ms() != other.boot_ms():
        return max(one, other, key=MergedKnowledge.boot_ms)

    def health_key(observation: Observation) -> tuple[float, tuple[float, ...]]:
        return observation.health_rank_us(half_life_us), tie_breaker(observation)

    def capacity_key(observation: Observation) -> tuple[float, tuple[float, ...]]:
        return observation.capacity_rank_us(half_life_us), tie_breaker(observation)

    return MergedKnowledge(
        health=max(one.health, other.health, key=health_key),
        capacity=max(one.capacity, other.capacity, key=capacity_key),
    )
