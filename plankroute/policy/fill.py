"""Fill: how much of a host's capacity its current weight uses, relative to the other hosts.

In the original method, fill is queue length divided by capacity. Here hosts differ, the lengths of
their queues are unknown and statistics arrive seconds late, so fill is derived as follows:

- The capacity of a host is the number of requests in flight, or the host's concurrency if that is
  greater, divided by its mean latency.
- The load of a host is the request rate that its current weight attracts, divided by its capacity.
- The fill of a host is load / (load + mean load), which is between 0 and 1.

Capacity hardly depends on the weight, so late reports do not make the control loop oscillate
(docs/design.md).
"""

from plankroute.policy.constants import PRIOR_ATTEMPTS, STATS_HALF_LIFE_US
from plankroute.policy.host_table import HostTable
from plankroute.state.host_statistics import group_by
from plankroute.state.published_table import PublishedTable

# Exponent of the penalty for slow hosts: applies to the host's latency over the mean latency of its
# group (docs/design.md).
LATENCY_PENALTY_EXPONENT = 0.3
# Exponent of the penalty for queues: applies to the requests in flight over the concurrency. A
# greater exponent makes queue lengths oscillate (docs/design.md).
QUEUE_PENALTY_EXPONENT = 0.45
# Requests that a host of mean listed weight processes concurrently. If more are in flight, their
# number determines the host's capacity.
MEAN_CONCURRENCY = 3.0
# Minimum attempts, as a decayed sum, for the mean latency of a machine type to count as known.
MIN_TYPE_ATTEMPTS = 0.5
# Minimum load reports, as a decayed sum, for the requests in flight at a host to count as known.
MIN_REPORTS = 0.1


def fills(
    host_table: HostTable, tables: list[PublishedTable], eligible: list[int]
) -> dict[int, float]:
    """Returns the fill by host, for the eligible hosts whose machine type has statistics."""
    latencies = mean_latencies(host_table, eligible)
    if not latencies:
        return {}
    mean_listed_weight = sum(host_table.listed_weight[host] for host in eligible) / len(eligible)
    in_flight = {
        host: host_table.in_flight_sum[host] / host_table.reports[host]
        for host in latencies
        if host_table.reports[host] > MIN_REPORTS
    }
    load: dict[int, float] = {}
    # Hosts are compared within groups that serve the same request classes: other groups process
    # another mix of requests, and get another number of attempts per weight.
    for hosts in group_by(
        latencies, lambda host: tuple(table.may_hold(host_table, host) for table in tables)
    ):
        group_latency = sum(latencies[host] for host in hosts) / len(hosts)
        request_rate = rate_per_weight(host_table, hosts, latencies, in_flight)
        for host in hosts:
            concurrency = MEAN_CONCURRENCY * host_table.listed_weight[host] / mean_listed_weight
            queue_ratio = max(1.0, in_flight.get(host, 0.0) / concurrency)
            latency_penalty = (latencies[host] / group_latency) ** LATENCY_PENALTY_EXPONENT
            utilization = request_rate * host_table.weight[host] * latencies[host] / concurrency
            load[host] = utilization * queue_ratio ** (QUEUE_PENALTY_EXPONENT - 1) * latency_penalty
    mean_load = sum(load.values()) / len(load)
    return {host: value / (value + mean_load) for host, value in load.items()}


def rate_per_weight(
    host_table: HostTable,
    hosts: list[int],
    latencies: dict[int, float],
    in_flight: dict[int, float],
) -> float:
    """Returns the requests per microsecond that a weight of 1 attracts.

    Derived from the requests in flight that hosts report: these come from the proxies of all
    controllers, so that the weights of controllers do not drift apart. If no host reports any, it
    is derived from the attempts of this controller's proxies alone.
    """
    reporting = [host for host in hosts if in_flight.get(host, 0.0) > 0]
    if reporting:
        weighted_latency = sum(
            host_table.capped_weight(host) * latencies[host] for host in reporting
        )
        return sum(in_flight[host] for host in reporting) / weighted_latency
    attempts = max(1.0, sum(host_table.attempts[host] for host in hosts))
    return attempts / STATS_HALF_LIFE_US / sum(host_table.capped_weight(host) for host in hosts)


def mean_latencies(host_table: HostTable, eligible: list[int]) -> dict[int, float]:
    """Returns the mean latency by host, in microseconds, shrunk towards that of its machine type.

    Hosts of a machine type without statistics are left out.
    """
    latencies: dict[int, float] = {}
    for hosts in group_by(eligible, lambda host: host_table.machine_type[host]):
        attempts = sum(host_table.attempts[host] for host in hosts)
        if attempts <= MIN_TYPE_ATTEMPTS:
            continue
        type_latency = sum(host_table.latency_sum_us[host] for host in hosts) / attempts
        for host in hosts:
            latency_sum = host_table.latency_sum_us[host] + type_latency * PRIOR_ATTEMPTS
            latencies[host] = latency_sum / (host_table.attempts[host] + PRIOR_ATTEMPTS)
    return latencies
