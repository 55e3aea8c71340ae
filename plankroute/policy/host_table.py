"""Host statistics, with the aggregates that single hosts are compared with."""

from collections.abc import Iterable
from statistics import fmean

from plankroute.events import commands
from plankroute.events.facts import ReportSource, StartFacts
from plankroute.policy.constants import LN_2, STATS_HALF_LIFE_US
from plankroute.state.host_statistics import NO_CAP, HostStatistics, group_by
from plankroute.units import SECOND_US

# One host in this many counts as best: two zones of three may be unreachable.
BEST_HOSTS_DIVISOR = 3


class HostTable(HostStatistics):
    """Statistics of single hosts, and aggregates of all hosts.

    The aggregates are recomputed once per turn and after each update of the endpoint list.

    Attributes:
        warmup_us: Time for which a host counts as cold after its start.
        initial_capacity_share: Share of its capacity that a host has at its start.
        health_checks_allowed: Whether the settings permit health checks.
        always_health_check: Whether every host is checked each turn, because load reports are only
            available from health checks.
        latency_objective_us: Mean latency objective of the request classes; a failed attempt counts
            as one that took this long.
        failure_ratio: Failed attempts divided by attempts, over all hosts listed ready.
        best_failure_ratio: The same over the third of the eligible hosts that fails least.
        mean_latency_us: Mean latency of attempts at hosts listed ready.
        attempts_per_weight: Attempts, as a decayed sum, that a weight of 1 attracts.
        attempt_rate_per_proxy: Attempts per second of one proxy at one host.
        others_heard_at_us: Time since which at least a third of the eligible hosts with attempts
            have reported statistics.
        warm_count: Hosts listed ready without a weight cap.
        warming_count: Hosts listed ready with a weight cap.
        mean_weight_by_type: Mean weight of the warm hosts, ejected ones included, by machine type.
        mass_disconnect_at_us: Time of the last mass disconnect; 0 if there was none.
        outside_subset: Hosts listed ready that are not in this controller's subset.
    """

    def __init__(self, facts: StartFacts) -> None:
        super().__init__()
        self.warmup_us = facts.warmup_us
        self.initial_capacity_share = facts.initial_capacity_share
        self.health_checks_allowed = facts.health_checks_allowed
        self.always_health_check = (
            facts.health_checks_allowed and facts.report_source is ReportSource.HEALTH_CHECKS
        )
        objectives_us = [request.latency_objective_us for request in facts.request_classes]
        self.latency_objective_us = max(1.0, fmean(objectives_us or [1]))
        self.failure_ratio = 0.0
        self.best_failure_ratio = 0.0
        self.mean_latency_us = 0.0
        self.attempts_per_weight = 0.0
        self.attempt_rate_per_proxy = 0.0
        self.others_heard_at_us = 0
        self.warm_count = 0
        self.warming_count = 0
        self.mean_weight_by_type: dict[int, float] = {}
        self.mass_disconnect_at_us = 0
        self.outside_subset: set[int] = set()

    def refresh(self) -> None:
        """Recomputes the aggregates from the statistics of single hosts."""
        ready = self.ready()
        self._refresh_from_ready(ready)
        self._refresh_from_reporting([host for host in self.eligible() if self.attempts[host] > 0])
        self._refresh_weights_by_type(ready)

    def mean_weight_of_type(self, index: int) -> float:
        """Returns the mean weight of the warm hosts of a host's machine type.

        For a type without warm hosts, returns the smallest mean of any type, because the hosts may
        be small; if no host is warm, returns 1.
        """
        smallest = min(self.mean_weight_by_type.values(), default=1.0)
        return self.mean_weight_by_type.get(self.machine_type[index], smallest)

    def may_eject_another(self, max_share: float) -> bool:
        """Whether the ejected share of the ready hosts stays within the limit with one more."""
        ready = self.ready()
        ejected = sum(self.ejected[host] for host in ready)
        return ejected + 1 <= max_share * len(ready)

    def health_checks(self, hosts: Iterable[int]) -> list[commands.Command]:
        """Returns commands to check these hosts; none if the settings forbid health checks."""
        if not self.health_checks_allowed:
            return []
        return [commands.CheckHealth(self.host_ids[host]) for host in hosts]

    def _refresh_from_ready(self, ready: list[int]) -> None:
        attempts = sum(self.attempts[host] for host in ready) or 1.0
        in_subset = sum(host not in self.outside_subset for host in ready)
        attempts_per_s = attempts * LN_2 * SECOND_US / STATS_HALF_LIFE_US
        self.failure_ratio = sum(self.failed[host] for host in ready) / attempts
        routes = self.proxies * in_subset + self.interim_routes
        self.attempt_rate_per_proxy = attempts_per_s / max(1, routes)
        self.mean_latency_us = sum(self.latency_sum_us[host] for host in ready) / attempts

    def _refresh_from_reporting(self, reporting: list[int]) -> None:
        attempts = sum(self.attempts[host] for host in reporting)
        self.attempts_per_weight = attempts / (sum(self.weight[host] for host in reporting) or 1.0)
        by_failure_ratio = sorted(
            reporting, key=lambda host: self.failed[host] / self.attempts[host]
        )
        best = by_failure_ratio[: max(1, len(reporting) // BEST_HOSTS_DIVISOR)]
        best_attempts = sum(self.attempts[host] for host in best) or 1.0
        self.best_failure_ratio = sum(self.failed[host] for host in best) / best_attempts
        heard_at_us = sorted(self.heard_at_us[host] for host in reporting)
        self.others_heard_at_us = heard_at_us[len(reporting) * 2 // 3] if reporting else 0

    def _refresh_weights_by_type(self, ready: list[int]) -> None:
        warm = [host for host in ready if self.weight_cap[host] == NO_CAP]
        self.warm_count = len(warm)
        self.warming_count = len(ready) - len(warm)
        self.max_warm_count = max(self.max_warm_count, self.warm_count)
        self.mean_weight_by_type = {
            self.machine_type[hosts[0]]: sum(self.weight[host] for host in hosts) / len(hosts)
            for hosts in group_by(warm, lambda host: self.machine_type[host])
        }
