"""Merges what several sources know of one host, by kind of fact and never by last writer.

Each kind of fact is a point of a join-semilattice: merging in any order, any number of times, gives
the same result (conflict-free replicated data types, Shapiro et al. 2011). What the merged facts
count for is decided by the policy, not here.
"""

import math
from dataclasses import dataclass

from plankroute.warm_start.snapshot import HostKnowledge


@dataclass(frozen=True, slots=True)
class Observation:
    """What one source knows of a host.

    Attributes:
        knowledge: The facts.
        observed_at_us: When they were observed, on this controller's monotonic clock.
    """

    knowledge: HostKnowledge
    observed_at_us: int

    def health_rank_us(self, half_life_us: int) -> float:
        """Freshness of its word on health; bad news count as one half-life fresher.

        Guards against a host in trouble that one of two controllers has not met yet: good news of
        the same time must not overrule bad news. The cost: a host that recovered is avoided for a
        half-life longer, or until its health checks are good.
        """
        if self.knowledge.is_unhealthy():
            return self.observed_at_us + half_life_us
        return self.observed_at_us

    def capacity_rank_us(self, half_life_us: int) -> float:
        """Freshness of its word on capacity; twice the attempts make up for one half-life."""
        return self.observed_at_us + half_life_us * math.log2(1.0 + self.knowledge.attempts)


@dataclass(frozen=True, slots=True)
class MergedKnowledge:
    """What is known of one start of one host.

    Attributes:
        health: The observation whose word on health stands.
        capacity: The observation whose word on weight and latency stands.
    """

    health: Observation
    capacity: Observation

    def boot_ms(self) -> float:
        """Which start of the host this is about."""
        return self.health.knowledge.boot_ms


def from_observation(observation: Observation) -> MergedKnowledge:
    """What is known after a single observation."""
    return MergedKnowledge(observation, observation)


def tie_breaker(observation: Observation) -> tuple[float, ...]:
    """Orders observations of equal rank; any total order does if all controllers use the same."""
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
    """The better word of two on each kind of fact.

    A later start of the host is another host: nothing of the earlier one is kept.

    Args:
        one: What is known of the host.
        other: What else is known of it.
        half_life_us: The half-life by which ranks are compared.
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
