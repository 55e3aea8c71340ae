"""Prior knowledge of hosts: what an earlier run of this controller, or another controller, knew.

It moves where the controller starts from and no more: own request statistics know better. Hosts
that fail every request would otherwise get their full share again after a restart. Harm: a host
that recovered meanwhile waits for its health checks, or grows back from a small weight.
"""

from dataclasses import dataclass, field

from plankroute.events import events
from plankroute.policy.constants import MAX_FIRST_WEIGHT, WEIGHT_FLOOR
from plankroute.state.host_statistics import HostStatistics
from plankroute.units import SECOND_US

# Half-life of what was known; faults of hosts last about so long.
PRIOR_HALF_LIFE_US = 60 * SECOND_US
# Knowledge of a fault counts while more than this of its certainty is left: one half-life.
MIN_CERTAINTY = 0.5
# Share of the ready hosts that prior knowledge alone may eject; beyond it the knowledge is wrong.
MAX_EJECTED_SHARE = 1 / 3
# Attempts, as a decayed sum, from which on own statistics of a host are compared to prior knowledge
# and stand above it: as many as make a host suspect by its failures.
MIN_MEASURED_ATTEMPTS = 3.0
# Contradictions from which on all prior knowledge is dropped if they outnumber the confirmations; a
# single one may be chance.
MIN_CONTRADICTIONS = 2


@dataclass(slots=True)
class PriorKnowledge:
    """Prior knowledge by host index, and how it compared to what the controller found out.

    Attributes:
        weights: Weights to start from.
        unhealthy: Hosts that were known to fail.
        ejected: Hosts that are ejected on prior knowledge alone.
        compared: Hosts whose prior knowledge has been compared.
        confirmations: Comparisons that confirmed it.
        contradictions: Comparisons that contradicted it.
    """

    weights: dict[int, float] = field(default_factory=dict)
    unhealthy: set[int] = field(default_factory=set)
    ejected: set[int] = field(default_factory=set)
    compared: set[int] = field(default_factory=set)
    confirmations: int = 0
    contradictions: int = 0

    def record(self, index: int, event: events.HostPriorKnowledge) -> bool:
        """Keeps the knowledge of a host; returns whether the host counts as unhealthy."""
        health_certainty = 0.5 ** (event.health_age_us / PRIOR_HALF_LIFE_US)
        capacity_certainty = 0.5 ** (event.capacity_age_us / PRIOR_HALF_LIFE_US)
        was_unhealthy = event.ejected or 2 * event.failed > event.attempts
        is_unhealthy = health_certainty > MIN_CERTAINTY and was_unhealthy
        if is_unhealthy:
            self.unhealthy.add(index)
            weight = WEIGHT_FLOOR
        else:
            self.unhealthy.discard(index)
            weight = min(MAX_FIRST_WEIGHT, max(WEIGHT_FLOOR, event.weight))
        self.weights[index] = weight**capacity_certainty
        return is_unhealthy

    def discard(self, index: int) -> None:
        """Drops what is known of a host that has restarted."""
        self.weights.pop(index, None)
        self.ejected.discard(index)

    def compare(self, statistics: HostStatistics, index: int, is_unhealthy: bool) -> None:
        """Compares prior knowledge of a host to what the controller found out itself.

        A healthy host that was known as healthy proves nothing. Guards against wrong knowledge: all
        of it stands or falls together.
        """
        confirms = is_unhealthy == (index in self.unhealthy)
        is_evidence = is_unhealthy or not confirms
        if index in self.weights and index not in self.compared and is_evidence:
            self.compared.add(index)
            if confirms:
                self.confirmations += 1
            else:
                self.contradictions += 1
        if self.contradictions >= MIN_CONTRADICTIONS and self.contradictions > self.confirmations:
            self._drop_all(statistics)

    def _drop_all(self, statistics: HostStatistics) -> None:
        """Puts hosts where they would have started without prior knowledge."""
        for host in self.ejected:
            statistics.ejected[host] = False
        for host in self.weights:
            statistics.weight[host] = statistics.listed_weight[host]
            statistics.effective_weight[host] = 0.0
        self.weights = {}
        self.ejected = set()
