"""The command group `testbed`: measurements and fault injection with real controllers."""

import asyncio
import os
import sys
from pathlib import Path

import click
import msgspec

from plankroute.cli.common import EXIT_FAILED, FILE_PATH, CommandGroup, reject_unknown


@click.group(cls=CommandGroup)
def testbed() -> None:
    """Run measurements and fault-injection trials; controllers in operation are not affected."""


def write_json(path: Path, rows: object) -> None:
    """Writes results as indented JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(rows), indent=2) + b"\n")


def show_progress(text: str) -> None:
    """Prints a progress line to standard error if that is a terminal."""
    if sys.stderr.isatty():
        click.echo(text, err=True)


@testbed.command("membership")
@click.option(
    "--members",
    "sizes",
    multiple=True,
    type=click.IntRange(2, 2000),
    default=(12, 300),
    show_default=True,
    help="Size of a group in simulated time; may be repeated.",
)
@click.option(
    "--seeds", default=3, show_default=True, type=click.IntRange(1, 100), help="Runs of each case."
)
@click.option(
    "--minutes",
    default=1.0,
    show_default=True,
    help="Simulated length of the runs with packet loss.",
)
@click.option(
    "--ways",
    default="plankroute,heartbeats,swim,lifeguard",
    show_default=True,
    help="Failure detectors to compare, separated by commas.",
)
@click.option(
    "--parts",
    default="killed,lossy,paused,healed,load",
    show_default=True,
    help="Cases to measure, separated by commas.",
)
@click.option(
    "--jobs",
    default=os.cpu_count() or 1,
    show_default=True,
    help="Maximum number of parallel processes.",
)
@click.option("--json", "json_path", type=FILE_PATH, help="Write all figures to this file as well.")
def membership(
    sizes: tuple[int, ...],
    seeds: int,
    minutes: float,
    ways: str,
    parts: str,
    jobs: int,
    json_path: Path | None,
) -> None:
    """Compare failure detectors with the same seeds and faults, in simulated time."""
    from plankroute.testbed.membership_benchmark import DETECTORS, KINDS, measure, table

    chosen_ways = ways.split(",")
    chosen_parts = parts.split(",")
    reject_unknown(chosen_ways, {"ways": list(DETECTORS)})
    reject_unknown(chosen_parts, {"parts": list(KINDS)})
    figures = measure(
        sizes, seeds, minutes, chosen_ways, chosen_parts, jobs, progress=sys.stderr.isatty()
    )
    click.echo(table(figures))
    if json_path:
        json_path.write_bytes(figures.to_json())
    if figures.failed():
        sys.exit(EXIT_FAILED)


@testbed.command("trial")
@click.option("--scenario", "names", multiple=True, help="Name of a scenario; may be repeated.")
@click.option(
    "--processes",
    default=12,
    show_default=True,
    type=click.IntRange(4, 300),
    help="Controllers in each scenario.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the injected faults.")
@click.option(
    "--full",
    is_flag=True,
    help="Pause processes for 39 s, which operators have observed, instead of 13 s.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def trial(names: tuple[str, ...], processes: int, seed: int, full: bool, as_json: bool) -> None:
    """Run real controllers on loopback with faulty links, and check their behaviour."""
    from plankroute.testbed.scenarios import SCENARIOS, report, run_all

    reject_unknown(list(names), {"scenarios": list(SCENARIOS)})
    results = asyncio.run(run_all(names or tuple(SCENARIOS), processes, seed, full))
    click.echo(report(results, as_json))
    if any(result.objections for result in results):
        sys.exit(EXIT_FAILED)


@testbed.command("cold-start")
@click.option(
    "--controllers",
    default=30,
    show_default=True,
    type=click.IntRange(2, 300),
    help="Controllers that start.",
)
@click.option(
    "--hosts",
    default=500,
    show_default=True,
    type=click.IntRange(1, 2000),
    help="Hosts in the endpoint list.",
)
@click.option(
    "--rate",
    default=20.0,
    show_default=True,
    help="Calls per second that the discovery service answers.",
)
@click.option(
    "--outage",
    default=0.0,
    show_default=True,
    help="Seconds for which the discovery service is down at the start.",
)
@click.option(
    "--peers/--alone",
    default=True,
    show_default=True,
    help="Whether controllers are linked to each other.",
)
@click.option(
    "--today/--no-today",
    default=True,
    show_default=True,
    help="Also run a start without a feature file, for comparison.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of all random choices.")
@click.option("--json", "json_path", type=FILE_PATH, help="Write all figures to this file as well.")
@click.option("--report", "report_path", type=FILE_PATH, help="Write an HTML page with curves.")
def cold_start(  # noqa: PLR0913, PLR0917 - a parameter for each option
    controllers: int,
    hosts: int,
    rate: float,
    outage: float,
    peers: bool,
    today: bool,
    seed: int,
    json_path: Path | None,
    report_path: Path | None,
) -> None:
    """Start all controllers of a site at once, and count calls and health checks."""
    from plankroute.testbed import cold_start_report
    from plankroute.testbed.cold_start import ColdStartCase, down_until, run_case

    ways = ["peers" if peers else "alone"]
    if today:
        ways.append("today")
    rows = []
    for way in ways:
        show_progress(f"{way}: {controllers} controllers ...")
        case = ColdStartCase(
            way, controllers, hosts, down_until(outage, rate), seed, with_hosts=True
        )
        rows.append(asyncio.run(run_case(case)))
    click.echo(cold_start_report.table(rows))
    if json_path:
        write_json(json_path, rows)
    if report_path:
        report_path.write_text(cold_start_report.page(rows))
    if any(result.last_s is None for result in rows if result.variant != "today"):
        sys.exit(EXIT_FAILED)


@testbed.command("warm-restart")
@click.option(
    "--ways",
    default="nothing,snapshot,peer,both,wrong",
    show_default=True,
    help="Sources of prior knowledge to compare, separated by commas.",
)
@click.option(
    "--hosts",
    default=50,
    show_default=True,
    type=click.IntRange(5, 500),
    help="Hosts in the endpoint list.",
)
@click.option(
    "--bad", default=0.2, show_default=True, help="Fraction of the hosts that fail all requests."
)
@click.option(
    "--warm", "warm_s", default=20.0, show_default=True, help="Seconds before the restart."
)
@click.option(
    "--seeds", default=1, show_default=True, type=click.IntRange(1, 20), help="Runs of each case."
)
@click.option(
    "--kill/--term",
    "is_killed",
    default=False,
    show_default=True,
    help="End the controller by SIGKILL instead of SIGTERM.",
)
@click.option(
    "--proxies-too/--proxies-stay",
    default=False,
    show_default=True,
    help="Restart the proxies as well, with empty tables.",
)
@click.option(
    "--probes-fail/--probes-good",
    default=True,
    show_default=True,
    help="Whether hosts that fail all requests also fail health checks.",
)
@click.option("--json", "json_path", type=FILE_PATH, help="Write all figures to this file as well.")
@click.option("--report", "report_path", type=FILE_PATH, help="Write an HTML page with curves.")
def warm_restart(  # noqa: PLR0913, PLR0917 - a parameter for each option
    ways: str,
    hosts: int,
    bad: float,
    warm_s: float,
    seeds: int,
    is_killed: bool,
    proxies_too: bool,
    probes_fail: bool,
    json_path: Path | None,
    report_path: Path | None,
) -> None:
    """Measure the cost of a controller restart with and without prior knowledge."""
    from plankroute.testbed import warm_restart as restart
    from plankroute.testbed import warm_restart_report as report
    from plankroute.testbed.traffic import TrafficSettings

    chosen_ways = tuple(ways.split(","))
    reject_unknown(list(chosen_ways), {"ways": list(restart.KNOWLEDGE_SOURCES)})
    rows = []
    for seed in range(1, seeds + 1):
        show_progress(f"seed {seed} of {seeds}: {warm_s + restart.COUNTING_PERIOD_S:.0f} s ...")
        common = restart.Trial(
            hosts=hosts,
            failing_share=bad,
            warm_s=warm_s,
            seed=seed,
            traffic_settings=TrafficSettings(probes_fail=probes_fail),
            is_killed=is_killed,
            restarts_proxies=proxies_too,
        )
        rows.append(asyncio.run(restart.run_each_source(chosen_ways, common)))
    summed = report.summed(rows)
    click.echo(report.table(summed))
    if json_path:
        write_json(json_path, rows)
    if report_path:
        report_path.write_text(report.page(summed))


@testbed.command("soak")
@click.option(
    "--seeds",
    "seed_range",
    default="1:3",
    show_default=True,
    metavar="A:B",
    help="Seeds from A to B, both included, run one after another.",
)
@click.option(
    "--seconds",
    default=25.0,
    show_default=True,
    type=click.FloatRange(10.0, 3600.0),
    help="Duration of each run.",
)
@click.option(
    "--net",
    default=90,
    show_default=True,
    type=click.IntRange(1, 249),
    help="Number of the loopback network; concurrent soaks need different ones.",
)
@click.option("--json", "json_path", type=FILE_PATH, help="Write all results to this file as well.")
def soak(seed_range: str, seconds: float, net: int, json_path: Path | None) -> None:
    """Run real controllers under signals, kills, releases and floods, and check invariants."""
    from plankroute.testbed.soak import run_soak

    results = []
    for seed in parse_seeds(seed_range):
        result = asyncio.run(run_soak(seed, seconds, net))
        results.append(result)
        click.echo(result.summary())
        for what in [*result.rules_broken.values(), *result.problems]:
            click.echo(f"  {what}")
        if not result.is_good():
            click.echo(
                f"  again: python -m plankroute testbed soak --seeds {seed}:{seed} "
                f"--seconds {seconds:g}"
            )
    good = sum(result.is_good() for result in results)
    click.echo(f"{good} of {len(results)} seeds good")
    if json_path:
        write_json(json_path, results)
    if good < len(results):
        sys.exit(EXIT_FAILED)


def parse_seeds(text: str) -> range:
    """Parses a range of seeds `A:B`, both included.

    Raises:
        click.BadParameter: The text is not a range of this form.
    """
    first, separator, last = text.partition(":")
    if not separator or not first.isdigit() or not last.isdigit() or int(last) < int(first):
        raise click.BadParameter(f"{text!r} is no range A:B", param_hint="--seeds")
    return range(int(first), int(last) + 1)


@testbed.command("write-kills")
@click.option(
    "--kills",
    default=1000,
    show_default=True,
    type=click.IntRange(1, 10_000),
    help="Kills to send.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the times of the kills.")
def write_kills(kills: int, seed: int) -> None:
    """Repeatedly kill a process while it writes its snapshot file, and check the file."""
    from plankroute.testbed.write_kills import run_kills

    counts = asyncio.run(run_kills(kills, seed))
    click.echo(counts.summary())
    if counts.mixtures or counts.failed_starts:
        sys.exit(EXIT_FAILED)
