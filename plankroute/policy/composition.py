"""Builds the policy of one controller from its parts, for the entry point."""

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

# Delay before a poll of the endpoint list that failed is repeated, well before the list counts as
# known to be out of date.
LIST_RETRY_DELAY_US = 2 * SECOND_US
# How often the publisher looks for work between turns; flow control says why.
PUBLISHER_PULSE_US = flow_control.POLL_INTERVAL_US


@dataclass(frozen=True, slots=True)
class Policy:
    """The parts that decide; all of them share one scheduler and one host table.

    Attributes:
        scheduler: Clock, random numbers and the commands that go out.
        host_table: Statistics of all hosts.
        prior: Prior knowledge of hosts.
        first_weights: How far the first weights are.
        publisher: Keeps the routing tables and writes them to the proxies.
        weights: Moves the weights of hosts once a turn.
        admission: Sets the admission limits once a turn.
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
    """Builds all parts in the order in which they draw random numbers and give first commands."""
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
