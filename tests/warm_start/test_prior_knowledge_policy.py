"""Effects of prior knowledge on the policy, whether it is right, wrong or implausible."""

import random

import pytest
from support.controller_bench import checked_hosts, ready_bench, report_requests, run_random_events
from support.controller_model import (
    READY,
    SECOND,
    Bench,
    entry,
    full_list,
    host_changes,
    start_facts,
)

from plankroute.events import events
from plankroute.events.commands import Command
from plankroute.events.events import HealthCheckOutcome


def prior_knowledge(
    host: int, unhealthy: bool = False, weight: float = 1.0, age_us: int = SECOND
) -> events.HostPriorKnowledge:
    return events.HostPriorKnowledge(
        host,
        weight,
        attempts=40.0,
        failed=40.0 if unhealthy else 0.0,
        mean_latency_us=20_000.0,
        ejected=unhealthy,
        required_checks=8 if unhealthy else 2,
        health_age_us=age_us,
        capacity_age_us=age_us,
    )


def listed_hosts(count: int = 10) -> events.HostList:
    """Hosts 100, 101, ... over three zones."""
    return full_list(*[entry(100 + place, zone=place % 3) for place in range(count)])


def health_check(host: int, outcome: HealthCheckOutcome) -> events.HealthCheckResult:
    return events.HealthCheckResult(host, outcome, 10_000, None)


def joining_proxies(fresh: bool) -> list[events.ProxyJoined]:
    return [events.ProxyJoined(proxy, proxy % 3, 10.0, fresh) for proxy in range(4)]


def started(*known: events.HostPriorKnowledge, hosts: int = 10, fresh: bool = True) -> Bench:
    """A controller that got list and prior knowledge, then proxies, then health check results."""
    bench = Bench(start_facts())
    bench.deliver(listed_hosts(hosts), *known)
    checked = checked_hosts(bench.deliver(*joining_proxies(fresh)))
    unhealthy = {host.host for host in known if host.ejected}
    bench.deliver(
        *[
            health_check(
                host,
                HealthCheckOutcome.ERROR if host in unhealthy else HealthCheckOutcome.ANSWERED,
            )
            for host in sorted(checked | unhealthy)
        ]
    )
    bench.pass_time(SECOND // 2)
    return bench


def test_an_unhealthy_host_starts_ejected_and_checked_and_a_healthy_one_near_its_weight() -> None:
    bench = started(*[prior_knowledge(100 + i, i == 3, 1.3 if i < 3 else 0.8) for i in range(10)])
    lines = bench.tables[0]
    assert 103 not in lines and lines[100] > 1.4 * lines[105]
    assert 103 in checked_hosts(bench.command_log)
    for _ in range(12):  # after recovery, successive good health checks readmit it gradually
        bench.pass_time(SECOND)
        bench.deliver(health_check(103, HealthCheckOutcome.ANSWERED))
    assert bench.tables[0][103] > 0


def test_knowledge_that_is_a_day_old_has_hardly_any_effect() -> None:
    old = 86_400 * SECOND
    bench = started(
        *[prior_knowledge(100 + i, i == 3, 0.1 if i < 5 else 1.4, old) for i in range(10)]
    )
    lines = bench.tables[0]
    assert max(lines.values()) - min(lines.values()) <= 1 and 103 in lines


def test_wrong_knowledge_leaves_the_first_weights_as_without_knowledge() -> None:
    """Guards against an outdated file that takes failing hosts for healthy ones and vice versa."""
    without_knowledge = Bench(start_facts())
    without_knowledge.deliver(listed_hosts())
    with_wrong_knowledge = Bench(start_facts())
    with_wrong_knowledge.deliver(
        listed_hosts(),
        *[prior_knowledge(100 + i, i < 2, 1.4 if i > 7 else 1.0) for i in range(10)],
    )
    for bench in (without_knowledge, with_wrong_knowledge):
        bench.deliver(*joining_proxies(fresh=True))
        bench.deliver(
            *[
                health_check(
                    100 + i, HealthCheckOutcome.ERROR if i > 7 else HealthCheckOutcome.ANSWERED
                )
                for i in range(10)
            ]
        )
        bench.pass_time(SECOND // 2)
    assert with_wrong_knowledge.tables[0] == pytest.approx(without_knowledge.tables[0], rel=0.05)
    assert not with_wrong_knowledge.controller.policy.prior.weights


def test_knowledge_that_all_hosts_are_unhealthy_ejects_at_most_a_third() -> None:
    bench = started(*[prior_knowledge(100 + i, True) for i in range(10)])
    assert len(bench.tables[0]) >= 6
    assert sum(bench.controller.host_table.ejected) <= 3


def test_with_published_tables_prior_knowledge_may_only_lower_a_weight() -> None:
    """Guards against requests to an avoided host that wrong knowledge records as healthy."""
    bench = Bench(start_facts())
    bench.deliver(
        listed_hosts(),
        prior_knowledge(109, False, 1.4),
        prior_knowledge(101, False, 0.3),
    )
    bench.deliver(*joining_proxies(fresh=False))
    bench.deliver(
        *[
            events.HostRequestStats(100 + i, 0, 0 if i == 9 else 30, 0, 20_000.0, SECOND, None)
            for i in range(10)
        ]
    )
    bench.pass_time(SECOND)
    lines = bench.tables[0]
    assert lines[109] < lines[100] / 2
    assert lines[101] < lines[100] / 2


def test_own_observations_override_prior_knowledge() -> None:
    bench = ready_bench()
    report_requests(bench, 3)
    before = dict(bench.tables[0])
    bench.deliver(prior_knowledge(101, True, 0.05))
    assert bench.tables[0] == before
    assert not any(bench.controller.host_table.ejected)


def test_a_restart_of_a_host_discards_its_prior_knowledge() -> None:
    bench = started(prior_knowledge(103, True))
    bench.deliver(host_changes(entry(103, READY, zone=0, started_us=bench.now)))
    host_table = bench.controller.host_table
    assert not host_table.ejected[host_table.index_of[103]]
    assert not bench.controller.policy.prior.weights


def random_knowledge(rng: random.Random) -> events.HostPriorKnowledge:
    """Random prior knowledge, plausible or not."""
    return events.HostPriorKnowledge(
        rng.randrange(95, 125),
        rng.choice([0.0, 1e9, rng.random()]),
        rng.choice([0.0, 40.0]),
        rng.choice([0.0, 40.0]),
        rng.random() * 1e6,
        rng.random() < 0.7,
        rng.randrange(1000),
        rng.randrange(90 * SECOND),
        rng.randrange(90 * SECOND),
    )


@pytest.mark.parametrize("seed", range(8))
def test_no_prior_knowledge_breaks_a_rule_of_the_protocol(seed: int) -> None:
    """The bench asserts the rules at each step, with random knowledge in each batch of events."""

    class BenchWithRandomKnowledge(Bench):
        def deliver(self, *batch: events.Event) -> list[Command]:
            rng = random.Random(self.now + seed)
            known = [random_knowledge(rng) for _ in range(6)]
            return super().deliver(*known, *batch)

    bench = BenchWithRandomKnowledge(start_facts(health_checks_allowed=seed % 2 == 0))
    run_random_events(bench, random.Random(seed), 40)


def test_only_own_observations_are_passed_on() -> None:
    bench = started(prior_knowledge(103, True), prior_knowledge(104, False, 0.5))
    assert not list(bench.controller.prior_knowledge())
    report_requests(bench, 3, failed=lambda host: 8 if host == 105 else 0, skip=(103,))
    observed = {host.host: host for host in bench.controller.prior_knowledge()}
    assert 103 not in observed
    assert observed[105].failed > 3
    assert observed[104].weight > 0
