"""First weights: the weights of hosts before the controller has statistics of its own.

Where the first proxy joins on tables of another controller, or of an earlier run, the weights
follow the attempts that those tables bring each host: they were right. Otherwise, where the
endpoint list gives no sizes, every host is checked once, and the weights follow the speed of the
answers. Proxies are bound after that. Guards against even weights until the first reports come,
seconds after the first requests.
"""

from dataclasses import dataclass
from statistics import median

from plankroute.policy.constants import MAX_FIRST_WEIGHT, PRIOR_ATTEMPTS
from plankroute.policy.host_table import HostTable
from plankroute.policy.prior_knowledge import PriorKnowledge
from plankroute.state.host_statistics import group_by
from plankroute.units import SECOND_US

# Longest wait for reports on old tables, if binding then still fits the drain grace: old tables
# name lost hosts.
MAX_WAIT_US = 5 * SECOND_US
# Longest wait for the answers to health checks: a slower check shows no speed.
CHECKS_WAIT_US = SECOND_US // 4
# Attempts a host that are enough to take weights over from old tables.
ENOUGH_ATTEMPTS = 8.0
# The least that a single host counts for relative to its machine type: see MAX_FIRST_WEIGHT.
MIN_RELATIVE_SPEED = 0.7
# Part of the mean attempts below which whoever wrote the old tables shunned a host.
SHUNNED_ATTEMPTS_SHARE = 0.3


@dataclass(slots=True)
class FirstWeights:
    """How far the first weights are.

    Attributes:
        since_us: Since when proxies wait for the first weights; 0 while no proxy has joined, None
            once the weights are decided.
        timeout_us: How long they wait for reports on old tables at most.
        from_old_tables: Whether the first proxy joined on tables that an earlier run or another
            controller has written.
    """

    since_us: int | None = 0
    timeout_us: float = 0.0
    from_old_tables: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether proxies wait for the first weights."""
        return bool(self.since_us)

    @property
    def is_decided(self) -> bool:
        """Whether the weights are decided, or there is nothing to decide them by."""
        return self.since_us is None

    @property
    def is_before_first_proxy(self) -> bool:
        """Whether no proxy has joined yet."""
        return self.since_us == 0

    def begin(
        self, host_table: HostTable, now: int, has_old_tables: bool, binding_slack_us: float
    ) -> bool:
        """Begins as the first proxy joins; returns whether there is anything to wait for.

        Args:
            host_table: Statistics of all hosts.
            now: Present time.
            has_old_tables: Whether the proxy holds tables of an earlier run or another controller.
            binding_slack_us: What the drain grace leaves beside the time that it takes to bind all
                proxies.
        """
        has_listed_sizes = len(set(host_table.listed_weight)) > 1
        can_check = host_table.health_checks_allowed and not has_listed_sizes
        self.from_old_tables = has_old_tables
        self.timeout_us = min(MAX_WAIT_US, binding_slack_us)
        waits = has_old_tables or can_check
        self.since_us = now if waits else None
        return waits

    def try_decide(
        self, host_table: HostTable, prior: PriorKnowledge, eligible: list[int], now: int
    ) -> bool:
        """Sets the first weights if enough is known or the wait is over; returns whether it did."""
        assert self.since_us is not None
        timeout_us = self.timeout_us if self.from_old_tables else CHECKS_WAIT_US
        is_late = now - self.since_us > timeout_us
        attempts = sum(host_table.attempts[host] for host in eligible)
        if is_late and attempts < len(eligible):
            self.from_old_tables = False  # next to nothing was reported: by the health checks
        shown = host_table.attempts if self.from_old_tables else host_table.health_check_rate
        mean = sum(shown[host] for host in eligible) / len(eligible) or 1.0
        if self.from_old_tables:
            is_known = mean >= ENOUGH_ATTEMPTS
        else:
            is_known = all(shown[host] for host in eligible)
        if not (is_late or is_known):
            return False
        self.since_us = None
        self._compare_prior(host_table, prior, shown, mean)
        eligible = host_table.eligible()
        if any(shown):
            self._set_weights(host_table, prior, eligible, shown, mean)
        host_table.normalise_weights(eligible)
        return True

    def _compare_prior(
        self, host_table: HostTable, prior: PriorKnowledge, shown: list[float], mean: float
    ) -> None:
        """Compares prior knowledge to old tables: these show which hosts were shunned."""
        if not self.from_old_tables:
            return
        for host in list(prior.weights):
            prior.compare(host_table, host, shown[host] < SHUNNED_ATTEMPTS_SHARE * mean)

    def _set_weights(
        self,
        host_table: HostTable,
        prior: PriorKnowledge,
        eligible: list[int],
        shown: list[float],
        mean: float,
    ) -> None:
        typical_speed = median([shown[host] for host in eligible if shown[host]] or [1.0])
        for hosts in group_by(eligible, lambda host: host_table.machine_type[host]):
            if self.from_old_tables:
                weights = weights_by_attempts(hosts, shown, mean)
            else:
                weights = weights_by_speed(hosts, shown, typical_speed)
            for host, weight in weights.items():
                host_table.effective_weight[host] = 0.0  # no published slot holds the weight back
                host_table.weight[host] = weight
                if host not in prior.weights:
                    continue
                host_table.weight[host] = prior.weights[host]
                if self.from_old_tables:
                    # Beside old tables prior knowledge may only lower a weight.
                    host_table.weight[host] = min(prior.weights[host], weight)


def weights_by_attempts(hosts: list[int], attempts: list[float], mean: float) -> dict[int, float]:
    """Returns weights by the attempts that old tables bring the hosts of a machine type.

    Args:
        hosts: Hosts of one machine type.
        attempts: Attempts by host.
        mean: Mean attempts of all hosts.
    """
    type_attempts = sum(attempts[host] for host in hosts)
    type_weight = (type_attempts + PRIOR_ATTEMPTS) / (mean * len(hosts) + PRIOR_ATTEMPTS)
    return {
        host: type_weight
        * (attempts[host] + PRIOR_ATTEMPTS)
        / (type_weight * mean + PRIOR_ATTEMPTS)
        for host in hosts
    }


def weights_by_speed(
    hosts: list[int], speed: list[float], typical_speed: float
) -> dict[int, float]:
    """Returns weights by the speed at which hosts of a machine type answered health checks.

    A type counts by its median speed, a host by the root of its own within bounds: single checks
    are off by a factor of two. Not all hosts answer in time.

    Args:
        hosts: Hosts of one machine type.
        speed: Checks a second by host; 0 for no answer.
        typical_speed: Median speed of all hosts that answered.
    """
    usual_speed = median([speed[host] for host in hosts if speed[host]] or [typical_speed])
    weights = {}
    for host in hosts:
        relative_speed = min(MAX_FIRST_WEIGHT, (speed[host] / usual_speed) ** 0.5)
        weights[host] = max(MIN_RELATIVE_SPEED, relative_speed) * usual_speed / typical_speed
    return weights
