"""Builds the policy of one controller from its parts; the entry point reaches every part from here."""

from dataclasses import dataclass

from plankroute.events.facts import StartFacts
from plankroute.policy.admission import Levels
from plankroute.policy.host import Host
from plankroute.policy.host_table import HostTable
from plankroute.policy.publisher import Publisher
from plankroute.policy.time_constants import SECOND_US
from plankroute.policy.weights import Balancer
from plankroute.state.scheduler import Scheduler

# A poll of the host list that failed is repeated after this delay: a guess, well before the list counts as old.
LIST_RETRY_DELAY_US = 2 * SECOND_US
# How often the publisher looks for work between turns; the value and its reasons stand with the publisher.
PUBLISHER_PULSE_US = Publisher.PULSE_US


@dataclass(frozen=True, slots=True)
class Policy:
    """The parts that decide; all of them share one scheduler and one host table.

    Attributes:
        scheduler: Clock, random numbers and the commands that go out.
        host_table: Statistics of all hosts.
        publisher: Keeps the routing tables and writes them to the proxies.
        weights: Moves the weights of hosts once a turn.
        admission: Sets the admission limits once a turn.
    """

    scheduler: Scheduler
    host_table: HostTable
    publisher: Publisher
    weights: Balancer
    admission: Levels

    def add_host(self, index: int) -> Host:
        """Returns a new actor for the host with this index of the host table."""
        return Host(self.scheduler, self.host_table, index)


def build_policy(scheduler: Scheduler, facts: StartFacts) -> Policy:
    """Builds all parts in the order in which they draw random numbers and give first commands."""
    host_table = HostTable(facts)
    publisher = Publisher(scheduler, host_table, facts)
    weights = Balancer(scheduler, host_table, publisher.tables)
    admission = Levels(scheduler, host_table, facts, publisher)
    return Policy(scheduler, host_table, publisher, weights, admission)
