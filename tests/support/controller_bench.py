"""Test benches in common states, and functions that deliver typical events to them."""

import math
import random
from collections.abc import Callable

from plankroute.events import commands, events
from plankroute.events.events import HealthCheckOutcome, ListKind
from plankroute.events.facts import PenaltyRates
from support.controller_model import (
    DRAINING,
    GONE,
    READY,
    SECOND,
    Bench,
    entry,
    full_list,
    host_changes,
    start_facts,
)


def ready_bench(hosts: int = 6, proxies: int = 4, **facts: object) -> Bench:
    """Returns a bench with listed hosts that answered their health checks and joined proxies.

    Host ids start at 100. Hosts cycle through three zones and two machine types. `facts` replaces
    fields of the start facts.
    """
    bench = Bench(start_facts(**facts))
    bench.deliver(
        full_list(*[entry(100 + i, zone=i % 3, machine_type=i % 2) for i in range(hosts)])
    )
    checked = checked_hosts(
        bench.deliver(*[events.ProxyJoined(p, p % 3, 10.0, True) for p in range(proxies)])
    )
    bench.deliver(
        *[
            events.HealthCheckResult(host, HealthCheckOutcome.ANSWERED, 10_000, None)
            for host in checked
        ]
    )
    bench.pass_time(SECOND // 10)
    return bench


def report_requests(
    bench: Bench,
    turns: int,
    time_ms: Callable[[int], float] = lambda host: 200.0,
    failed: Callable[[int], int] = lambda host: 0,
    attempts: int = 8,
    skip: tuple[int, ...] = (),
    in_flight: float = 2.0,
) -> None:
    """Reports request statistics of the ready hosts once a turn, and lets each turn pass.

    Args:
        bench: The bench that receives the statistics.
        turns: Number of turns, of one second each.
        time_ms: Returns the mean latency of a host, in milliseconds.
        failed: Returns the number of failed attempts at a host per turn.
        attempts: Number of attempts per host and turn.
        skip: Hosts for which nothing is reported.
        in_flight: Number of requests in flight that each load report states.
    """
    for _ in range(turns):
        bench.deliver(
            *[
                events.HostRequestStats(
                    host,
                    0,
                    attempts,
                    failed(host),
                    time_ms(host) * 1000,
                    SECOND,
                    events.LoadReport(in_flight=in_flight),
                )
                for host, item in bench.hosts.items()
                if item.state is READY and host not in skip
            ]
        )
        bench.pass_time(SECOND)


def checked_hosts(out: list[commands.Command]) -> set[int]:
    """Returns the hosts whose health check the commands request."""
    return {command.host for command in out if isinstance(command, commands.CheckHealth)}


def large_bench(seed: int, channel_line_penalty: float = 0.02) -> tuple[Bench, random.Random]:
    """Returns a bench on which one controller serves all 100 proxies, and its random generator.

    Depending on the seed, the channel runs at 0.7 of its stated speed. A bind takes about 50 lines.

    Args:
        seed: Seed of the generator.
        channel_line_penalty: Penalty rate for one line of the channel.
    """
    rng = random.Random(seed)
    facts = start_facts(
        proxy_count=100,
        backlog_cap_lines=4000,
        drain_grace_us=7 * SECOND,
        max_unbound_us=12 * SECOND,
        penalty_rates=PenaltyRates(channel_line=channel_line_penalty),
    )
    bench = Bench(facts, speed=rng.choice([1.0, 0.7]))
    bench.deliver(full_list(*[entry(100 + i, zone=i % 3) for i in range(60)]))
    bench.deliver(*[events.ProxyJoined(p, p % 3, rng.uniform(1, 9), True) for p in range(100)])
    return bench, rng


def unexpected_events(rng: random.Random) -> list[events.Event]:
    """Returns events with unknown ids, impossible counts, and numbers that are not finite."""
    return [
        events.HostRequestStats(9999, 0, 3, 1, 1.0, 0, None),
        events.HostRequestStats(100, 2, 0, 5, 0.0, 0, None),
        events.Acknowledged(77, 3, 0),
        events.AcknowledgementRejected(79),
        events.ProxyLeft(78),
        events.TimerExpired(rng.randrange(9)),
        events.PeerMessage(1, b"?"),
        events.HealthCheckResult(9999, HealthCheckOutcome.TIMED_OUT, 1, None),
        events.ProxyRequestStats(50, 0, 0, 0, 0),
        events.HostRequestStats(101, 0, 1, 9, 1e12, 1, events.LoadReport()),
        events.HostRequestStats(100, 0, 4, 0, math.nan, 1, events.LoadReport(in_flight=math.nan)),
        events.HostRequestStats(100, 1, 4, 0, math.inf, 1, events.LoadReport(in_flight=math.inf)),
    ]


def run_random_events(bench: Bench, rng: random.Random, steps: int) -> None:
    """Delivers random events for a number of steps.

    Hosts are added, drained, removed and restarted; proxies join and leave; reports and health
    checks have random results, arrive irregularly, and may be invalid.
    """
    zones = {100 + i: rng.randrange(3) for i in range(rng.randint(1, 9))}
    bench.deliver(
        events.HostList(ListKind.CACHED, tuple(entry(h, zone=z) for h, z in zones.items()))
    )
    for _ in range(steps):
        host, proxy = rng.choice(list(zones)), rng.randrange(bench.facts.proxy_count)
        match rng.randrange(9):
            case 0:
                bench.deliver(host_changes(entry(host, rng.choice([DRAINING, GONE]), zones[host])))
            case 1:
                bench.deliver(host_changes(entry(host, READY, zones[host], started_us=bench.now)))
            case 2:
                zones.setdefault(host + 10, rng.randrange(3))
                bench.deliver(
                    host_changes(entry(host + 10, READY, zones[host + 10], started_us=bench.now))
                )
            case 3:
                bench.deliver(
                    *[
                        events.ProxyJoined(p, p % 3, 1.0, False)
                        for p in range(bench.facts.proxy_count)
                    ]
                )
            case 4:
                bench.deliver(
                    events.ProxyJoined(proxy, proxy % 3, 1.0, True), events.ProxyLeft(proxy)
                )
            case 5:
                kept = rng.sample(list(zones), rng.randrange(len(zones) + 1))
                bench.deliver(full_list(*[entry(h, READY, zones[h]) for h in kept]))
            case 6:
                bench.deliver(*unexpected_events(rng))
            case _:
                report_requests(
                    bench,
                    rng.randint(1, 3),
                    time_ms=lambda _: math.exp(rng.gauss(5.5, 1.0)),
                    failed=lambda _: rng.choice([0, 0, 0, 8]),
                    in_flight=rng.uniform(0, 20),
                )
                bench.deliver(
                    *[
                        events.HealthCheckResult(
                            h, rng.choice(list(HealthCheckOutcome)), 1000, None
                        )
                        for h in zones
                    ]
                )
