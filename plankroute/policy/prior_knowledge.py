"""Prior knowledge of hosts, from an earlier run of this controller or from another controller.

Prior knowledge only sets the starting point; the controller's own request statistics take
precedence. Without it, hosts that fail every request would get their full share again after a
restart. The drawback is that a host which has recovered in the meantime has to pass its health
checks first, or grows from a small weight.
"""

from dataclasses import dataclass, field

from plankroute.events import events
from plankroute.policy.constants import MAX_FIRST_WEIGHT, WEIGHT_FLOOR
from plankroute.state.host_statistics import HostStatistics
from plankroute.units import SECOND_US

# Half-life of the certainty of prior knowledge; host faults last about this long.
PRIOR_HALF_LIFE_US = 60 * SECOND_US
# Knowledge of a fault counts while its certainty is above this value, which is for one half-life.
MIN_CERTAINTY = 0.5
# Maximum share of the ready hosts that may be ejected by prior knowledge alone. Knowledge that
# would eject more is assumed to be wrong.
MAX_EJECTED_SHARE = 1 / 3
# Attempts, as a decayed sum, from which on own statistics of a host take precedence over prior
# knowledge and are compared with it. As many failed attempts are required to suspect a host.
MIN_MEASURED_ATTEMPTS = 3.0
# Minimum number of contradictions at which all prior knowledge is dropped, if they outnumber the
# confirmations. A single contradiction may be due to chance.
MIN_CONTRADICTIONS = 2


@dataclass(slots=True)
class PriorKnowledge:
    """Prior knowledge by host index, and how well it agrees with the controller's own findings.

    Attributes:
        weights: Weights to start from.
        unhealthy: Hosts that were known to fail.
        ejected: Hosts that are ejected on prior knowledge alone.
        compared: Hosts whose prior knowledge has been compared with own findings.
        confirmations: Number of comparisons that confirmed the prior knowledge.
        contradictions: Number of comparisons that contradicted it.
    """

    weights: dict[int, float] = field(default_factory=dict)
    unhealthy: set[int] = field(default_factory=set)
    ejected: set[int] = field(default_factory=set)
    compared: set[int] = field(default_factory=set)
    confirmations: int = 0
    contradictions: int = 0

    def record(self, index: int, event: events.HostPriorKnowledge) -> bool:
        """Stores the knowledge of a host; returns whether the host counts as unhealthy."""
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
        """Discards the knowledge of a host that has restarted."""
        self.weights.pop(index, None)
        self.ejected.discard(index)

    def compare(self, statistics: HostStatistics, index: int, is_unhealthy: bool) -> None:
        """Compares the prior knowledge of a host with own findings, once per host.

        A healthy host that was known as healthy is no evidence, so it is not counted. If
        contradictions outnumber confirmations, all prior knowledge is dropped as wrong.
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
        """Drops all prior knowledge; hosts get the state that they would have started with."""
        for host in self.ejected:
            statistics.ejected[host] = False
        for host in self.weights:
            statistics.weight[host] = statistics.listed_weight[host]
            statistics.effective_weight[host] = 0.0
        self.weights = {}
        self.ejected = set()
