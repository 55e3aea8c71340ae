"""First weights: the weights of hosts before the controller has statistics of its own.

If the first proxy joins with tables of another controller or of an earlier run, the weights are
derived from the attempts that these old tables bring to each host, since old tables are already
adjusted to the hosts. Otherwise, if the endpoint list states no host sizes, the health of every
host is checked once and the weights are derived from the durations of the checks. Proxies are bound
afterwards. Without first weights, all weights would be equal until the first reports arrive,
seconds after the first requests.
"""

from dataclasses import dataclass
from statistics import median

from plankroute.policy.constants import MAX_FIRST_WEIGHT, PRIOR_ATTEMPTS
from plankroute.policy.host_table import HostTable
from plankroute.policy.prior_knowledge import PriorKnowledge
from plankroute.state.host_statistics import group_by
from plankroute.units import SECOND_US

# Longest wait for reports on old tables. It is shorter if binding would otherwise exceed the drain
# grace, because old tables may hold removed hosts.
MAX_REPORTS_WAIT_US = 5 * SECOND_US
# Longest wait for the results of health checks: the duration of a slower check does not indicate
# the speed of the host.
MAX_CHECKS_WAIT_US = SECOND_US // 4
# Mean attempts per host at which weights are taken over from old tables without further waiting.
MIN_MEAN_ATTEMPTS = 8.0
# Minimum speed of a host relative to its machine type, for the reasons given at MAX_FIRST_WEIGHT.
MIN_RELATIVE_SPEED = 0.7
# Share of the mean attempts below which a host counts as avoided by old tables.
AVOIDED_ATTEMPTS_SHARE = 0.3


@dataclass(slots=True)
class FirstWeights:
    """Decides the first weights, and records whether proxies still wait for them.

    Attributes:
        since_us: Time at which proxies began to wait for the first weights; 0 while no proxy has
            joined, None once the weights are decided.
        timeout_us: Longest wait for reports on old tables.
        from_old_tables: Whether the weights are derived from old tables: the first proxy joined
            with tables that an earlier run or another controller had written.
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
        """Whether the weights are decided, or there is nothing to derive them from."""
        return self.since_us is None

    @property
    def is_before_first_proxy(self) -> bool:
        """Whether no proxy has joined yet."""
        return self.since_us == 0

    def begin(
        self, host_table: HostTable, now: int, has_old_tables: bool, binding_slack_us: float
    ) -> bool:
        """Begins when the first proxy joins; returns whether proxies have to wait.

        Args:
            host_table: Statistics of all hosts.
            now: Current time, in microseconds.
            has_old_tables: Whether the proxy holds tables of an earlier run or another controller.
            binding_slack_us: The grace slack minus the time that it takes to bind all proxies.
        """
        has_listed_sizes = len(set(host_table.listed_weight)) > 1
        can_check = host_table.health_checks_allowed and not has_listed_sizes
        self.from_old_tables = has_old_tables
        self.timeout_us = min(MAX_REPORTS_WAIT_US, binding_slack_us)
        waits = has_old_tables or can_check
        self.since_us = now if waits else None
        return waits

    def try_decide(
        self, host_table: HostTable, prior: PriorKnowledge, eligible: list[int], now: int
    ) -> bool:
        """Sets the first weights if enough is known or the wait timed out; returns whether set."""
        assert self.since_us is not None
        timeout_us = self.timeout_us if self.from_old_tables else MAX_CHECKS_WAIT_US
        has_timed_out = now - self.since_us > timeout_us
        attempts = sum(host_table.attempts[host] for host in eligible)
        if has_timed_out and attempts < len(eligible):
            self.from_old_tables = False  # hardly any reports: uses the health checks instead
        measured = host_table.attempts if self.from_old_tables else host_table.health_check_rate
        mean = sum(measured[host] for host in eligible) / len(eligible) or 1.0
        if self.from_old_tables:
            is_known = mean >= MIN_MEAN_ATTEMPTS
        else:
            is_known = all(measured[host] for host in eligible)
        if not (has_timed_out or is_known):
            return False
        self.since_us = None
        self._compare_prior(host_table, prior, measured, mean)
        eligible = host_table.eligible()
        if any(measured):
            self._set_weights(host_table, prior, eligible, measured, mean)
        host_table.normalise_weights(eligible)
        return True

    def _compare_prior(
        self, host_table: HostTable, prior: PriorKnowledge, measured: list[float], mean: float
    ) -> None:
        """Compares prior knowledge with old tables, which show which hosts were avoided."""
        if not self.from_old_tables:
            return
        for host in list(prior.weights):
            prior.compare(host_table, host, measured[host] < AVOIDED_ATTEMPTS_SHARE * mean)

    def _set_weights(
        self,
        host_table: HostTable,
        prior: PriorKnowledge,
        eligible: list[int],
        measured: list[float],
        mean: float,
    ) -> None:
        typical_speed = median([measured[host] for host in eligible if measured[host]] or [1.0])
        for hosts in group_by(eligible, lambda host: host_table.machine_type[host]):
            if self.from_old_tables:
                weights = weights_by_attempts(hosts, measured, mean)
            else:
                weights = weights_by_speed(hosts, measured, typical_speed)
            for host, weight in weights.items():
                host_table.effective_weight[host] = 0.0  # the published slot does not bound it
                host_table.weight[host] = weight
                if host not in prior.weights:
                    continue
                host_table.weight[host] = prior.weights[host]
                if self.from_old_tables:
                    # If there are old tables, prior knowledge may only lower a weight.
                    host_table.weight[host] = min(prior.weights[host], weight)


def weights_by_attempts(hosts: list[int], attempts: list[float], mean: float) -> dict[int, float]:
    """Returns weights derived from the attempts that old tables bring to hosts of a machine type.

    The weight of a host and that of its machine type are shrunk towards the mean. The effect
    decreases with the number of attempts.

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
    """Returns weights derived from the speed at which hosts of a machine type answered checks.

    A machine type is weighted by its median speed. Within the type, a host is weighted by the
    square root of its relative speed, within bounds, because a single check can be off by a factor
    of two. Hosts that did not answer in time get the lower bound.

    Args:
        hosts: Hosts of one machine type.
        speed: Health checks per second by host; 0 if the host did not answer.
        typical_speed: Median speed of all hosts that answered.
    """
    type_speed = median([speed[host] for host in hosts if speed[host]] or [typical_speed])
    weights = {}
    for host in hosts:
        relative_speed = min(MAX_FIRST_WEIGHT, (speed[host] / type_speed) ** 0.5)
        weights[host] = max(MIN_RELATIVE_SPEED, relative_speed) * type_speed / typical_speed
    return weights
