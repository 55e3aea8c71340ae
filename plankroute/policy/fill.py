"""Fill: which part of its capacity a host's present weight takes, compared to the other hosts.

The source of the method has queue length over capacity. Here hosts are unlike, their queues are
unknown and statistics come seconds late. A host's capacity is the requests in flight at it, or
those that it works on at once if fewer wait, over its mean latency. Its stress is the rate that its
present weight brings over that capacity; its fill is stress over stress plus the mean stress, so 0
to 1. Capacity hardly depends on the weight, so late reports do not make the loop swing
(docs/design.md).
"""

from plankroute.policy.constants import PRIOR_ATTEMPTS, STATS_HALF_LIFE_US
from plankroute.policy.host_table import HostTable
from plankroute.state.host_statistics import group_by
from plankroute.state.published_table import PublishedTable

# Surcharge for slow hosts, as a power of the latency relative to the usual one (docs/design.md).
SLOWNESS_EXPONENT = 0.3
# Surcharge for queues, as a power of the requests in flight over the concurrency; a greater one
# makes queues swing (docs/design.md).
QUEUE_EXPONENT = 0.45
# Requests that a usual host works on before any waits. With more in flight these show its capacity.
USUAL_CONCURRENCY = 3.0
# Least attempts, as a decayed sum, at which a machine type's latency is known.
MIN_TYPE_ATTEMPTS = 0.5
# Least load reports, as a decayed sum, that show the requests in flight.
MIN_REPORTS = 0.1


def fills(
    host_table: HostTable, tables: list[PublishedTable], eligible: list[int]
) -> dict[int, float]:
    """Returns the fill of the eligible hosts whose machine type has statistics, by host."""
    latencies = mean_latencies(host_table, eligible)
    if not latencies:
        return {}
    mean_listed_weight = sum(host_table.listed_weight[host] for host in eligible) / len(eligible)
    in_flight = {
        host: host_table.in_flight_sum[host] / host_table.reports[host]
        for host in latencies
        if host_table.reports[host] > MIN_REPORTS
    }
    stress: dict[int, float] = {}
    # Hosts that serve the same request classes: others have another mix of work, and other attempts
    # a weight.
    for hosts in group_by(
        latencies, lambda host: tuple(table.may_hold(host_table, host) for table in tables)
    ):
        usual_latency = sum(latencies[host] for host in hosts) / len(hosts)
        request_rate = rate_per_weight(host_table, hosts, latencies, in_flight)
        for host in hosts:
            concurrency = USUAL_CONCURRENCY * host_table.listed_weight[host] / mean_listed_weight
            queueing = max(1.0, in_flight.get(host, 0.0) / concurrency)
            slowness = (latencies[host] / usual_latency) ** SLOWNESS_EXPONENT
            utilisation = request_rate * host_table.weight[host] * latencies[host] / concurrency
            stress[host] = utilisation * queueing ** (QUEUE_EXPONENT - 1) * slowness
    mean_stress = sum(stress.values()) / len(stress)
    return {host: value / (value + mean_stress) for host, value in stress.items()}


def rate_per_weight(
    host_table: HostTable,
    hosts: list[int],
    latencies: dict[int, float],
    in_flight: dict[int, float],
) -> float:
    """Returns the requests a microsecond that a weight of one brings.

    By the requests in flight that hosts report, which come from all proxies, so that controllers do
    not drift apart; without reports by the attempts of this controller's proxies alone.
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
    """Returns the mean latency of hosts in microseconds, shrunk to their machine type's.

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
