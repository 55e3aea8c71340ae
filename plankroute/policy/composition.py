"""Builds the policy of one controller from its components, for the entry point."""

from dataclasses import dataclass

from plankroute.events.facts import StartFacts
from plankroute.policy import flow_control
from plankroute.policy.admission import AdmissionController
from plankroute.policy.first_weights import FirstWeights
from plankroute.policy.host import HostActor
from plankroute.policy.host_table import HostTable
from plankroute.policy.prior_knowledge import PriorKnowledge
from plankroute.policy.publisher import Publisher
from plankroute.policy.weights import WeightController
from plankroute.state.scheduler import Scheduler
from plankroute.units import SECOND_US

# Delay before a failed poll of the endpoint list is repeated. It is well below the time after which
# the list counts as outdated.
LIST_RETRY_DELAY_US = 2 * SECOND_US
# Interval at which the publisher checks for pending work between turns; see `flow_control`.
PUBLISHER_INTERVAL_US = flow_control.POLL_INTERVAL_US


@dataclass(frozen=True, slots=True)
class Policy:
    """The components of a policy, which share one scheduler and one host table.

    Attributes:
        scheduler: Clock, random numbers and outgoing commands.
        host_table: Statistics of all hosts.
        prior: Prior knowledge of hosts.
        first_weights: Decides the first weights.
        publisher: Maintains the routing tables and writes them to the proxies.
        weights: Adjusts the weights of hosts once per turn.
        admission: Sets the admission limits once per turn.
    """

    scheduler: Scheduler
    host_table: HostTable
    prior: PriorKnowledge
    first_weights: FirstWeights
    publisher: Publisher
    weights: WeightController
    admission: AdmissionController

    def add_host(self, index: int) -> HostActor:
        """Returns a new actor for the host with this index of the host table."""
        return HostActor(self.scheduler, self.host_table, self.prior, self.first_weights, index)


def build_policy(scheduler: Scheduler, facts: StartFacts) -> Policy:
    """Builds the components in the order of their random draws and initial commands."""
    host_table = HostTable(facts)
    prior = PriorKnowledge()
    first_weights = FirstWeights()
    publisher = Publisher(scheduler, host_table, first_weights, facts)
    weights = WeightController(scheduler, host_table, publisher.tables, prior, first_weights)
    admission = AdmissionController(scheduler, host_table, facts, publisher)
    return Policy(
        scheduler=scheduler,
        host_table=host_table,
        prior=prior,
        first_weights=first_weights,
        publisher=publisher,
        weights=weights,
        admission=admission,
    )
