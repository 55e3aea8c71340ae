"""The words behind `python -m plankroute`. Exit codes: 0 good, 1 a check failed, 2 a mistake in what was
given."""

import os
import sys
from pathlib import Path

import click

from plankroute.config.feature_file import FeatureFileError, read_feature_file, schema_text

GOOD, FAILED, MISTAKE = 0, 1, 2
FILE = click.Path(exists=False, dir_okay=False, path_type=Path)


class Mistake(click.ClickException):
    """One line, and the exit code of a mistake in what was given."""

    exit_code = MISTAKE


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli_group() -> None:
    """plankroute: a steward that publishes routing tables to a fleet of proxies.

    Without a word behind it, it is `run`, told by GW_CONFIG what it is.
    """


@cli_group.command()
@click.option(
    "--file",
    "path",
    type=FILE,
    envvar="PLANKROUTE_FILE",
    help="Our own JSON file (deploy/plankroute.example.json); without one all it switches on is off.",
)
def run(path: Path | None) -> None:
    """One real steward, as operators start it; GW_CONFIG names its configuration."""
    from plankroute.net.process.service import OWN_FILE, main

    if path is not None:
        os.environ[OWN_FILE] = str(path)
    sys.exit(main())


@cli_group.command()
@click.argument("path", metavar="FILE", type=FILE, required=False)
@click.option("--schema", is_flag=True, help="Print the file's JSON Schema instead.")
def check(path: Path | None, schema: bool) -> None:
    """Is FILE, our own JSON file, one that a steward can use?"""
    if schema:
        click.echo(schema_text(), nl=False)
        return
    if path is None:
        raise Mistake("check: which FILE?")
    own = checked(path)
    on = [name for name in own.__struct_fields__ if getattr(own, name) is not None]
    click.echo(f"{path}: good; switches on: {', '.join(on) or 'nothing'}")


def checked(path: Path):
    try:
        return read_feature_file(path)
    except FeatureFileError as error:
        raise Mistake(str(error)) from error


@cli_group.command()
@click.argument("address", required=False)
@click.option("--group", help="The group's name, with ADDRESS.")
@click.option(
    "--file",
    "path",
    type=FILE,
    envvar="PLANKROUTE_FILE",
    help="Our own JSON file, instead of ADDRESS and --group.",
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object, for machines.")
@click.option(
    "--wait", default=1.0, show_default=True, help="Seconds to wait for each part of the answer."
)
def members(
    address: str | None, group: str | None, path: Path | None, as_json: bool, wait: float
) -> None:
    """Who is there? Asks the steward at ADDRESS (its membership address, on this machine)."""
    from plankroute.cli.members import as_json_text, as_table, ask

    if address is None and path is not None:
        part = checked(path).membership
        if part is None:
            raise Mistake(f"{path}: no membership section")
        address, group = part.listen, part.group
    if address is None or group is None:
        raise Mistake("members: ADDRESS with --group, or --file")
    try:
        lines = ask(address, group, wait)
    except ValueError as error:
        raise Mistake(str(error)) from error
    if lines is None:
        click.echo(f"{address}: no answer from a member of group {group}", err=True)
        sys.exit(FAILED)
    click.echo(as_json_text(lines) if as_json else as_table(lines))


@cli_group.group()
def state() -> None:
    """What a steward has learned of hosts, in its file or as it runs."""


@state.command("show")
@click.argument("where", metavar="FILE|ADDRESS")
@click.option("--group", help="The group's name, with ADDRESS (where the steward takes links).")
@click.option("--json", "as_json", is_flag=True, help="One JSON object, for machines.")
@click.option(
    "--limit",
    "limit_s",
    default=900.0,
    show_default=True,
    help="Seconds after which news count for nothing, as `learned.limit_s` has it.",
)
def state_show(where: str, group: str | None, as_json: bool, limit_s: float) -> None:
    """What is kept, how old it is, and what it would count for now."""
    from plankroute.cli.state import (
        Unread,
        as_json_text,
        as_table,
        from_address,
        from_file,
        is_address,
    )

    if is_address(where) and not Path(where).exists():
        if group is None:
            raise Mistake("state show: ADDRESS needs --group")
        found = from_address(where, group)
    else:
        found = from_file(Path(where))
    if isinstance(found, Unread):
        click.echo(f"{where}: {found.why}", err=True)
        sys.exit(FAILED)
    for one in found:
        click.echo(as_json_text(one, limit_s) if as_json else as_table(one, limit_s))


@state.command("check")
@click.argument("path", metavar="FILE", type=FILE)
def state_check(path: Path) -> None:
    """Would a steward of the name that FILE holds start from it?"""
    from plankroute.cli.state import Unread, from_file

    found = from_file(path)
    if isinstance(found, Unread):
        click.echo(f"{path}: {found.why}", err=True)
        sys.exit(FAILED)
    view = found[0].view
    click.echo(
        f"{path}: good; {view.name}, {len(view.hosts)} hosts, list of revision {view.revision}"
    )


@cli_group.group()
def lab() -> None:
    """Measurements and trials of the laboratory; nothing here touches a running steward."""


@lab.command("membership")
@click.option(
    "--members",
    "sizes",
    multiple=True,
    type=click.IntRange(2, 2000),
    default=(12, 300),
    show_default=True,
    help="Sizes of groups in simulated time; may be given again.",
)
@click.option(
    "--seeds", default=3, show_default=True, type=click.IntRange(1, 100), help="Runs of each kind."
)
@click.option(
    "--minutes", default=1.0, show_default=True, help="Simulated length of the runs with losses."
)
@click.option(
    "--ways",
    default="plankroute,heartbeats,swim,lifeguard",
    show_default=True,
    help="Ways to compare, by comma.",
)
@click.option(
    "--parts",
    default="killed,lossy,paused,healed,load",
    show_default=True,
    help="What to measure, by comma.",
)
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True, help="Processes at once.")
@click.option("--json", "out", type=FILE, help="Write all figures there as well.")
def lab_membership(
    sizes: tuple[int, ...],
    seeds: int,
    minutes: float,
    ways: str,
    parts: str,
    jobs: int,
    out: Path | None,
) -> None:
    """The chosen way of membership beside the plain ones: the same seeds, faults and figures."""
    from plankroute.testbed.membership_benchmark import KINDS, WAYS, measure, table

    asked, wanted = ways.split(","), parts.split(",")
    if unknown := [name for name in asked if name not in WAYS] + [
        name for name in wanted if name not in KINDS
    ]:
        raise Mistake(
            f"not known: {', '.join(unknown)}; ways: {', '.join(WAYS)}; parts: {', '.join(KINDS)}"
        )
    figures = measure(sizes, seeds, minutes, asked, wanted, jobs, progress=sys.stderr.isatty())
    click.echo(table(figures))
    if out:
        out.write_bytes(figures.to_json())
    if figures.failed():
        sys.exit(FAILED)


@lab.command("trial")
@click.option(
    "--scenario", "names", multiple=True, help="One of the scenarios by name; may be given again."
)
@click.option("--processes", default=12, show_default=True, type=click.IntRange(4, 300))
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--full", is_flag=True, help="Pauses for 39 s, as operators have seen them, instead of 13 s."
)
@click.option("--json", "as_json", is_flag=True)
def lab_trial(names: tuple[str, ...], processes: int, seed: int, full: bool, as_json: bool) -> None:
    """Real stewards on loopback with faulty links between them: scenarios, histories, verdicts."""
    import asyncio

    from plankroute.testbed.scenarios import SCENARIOS, report, run_all

    if unknown := [name for name in names if name not in SCENARIOS]:
        raise Mistake(f"not known: {', '.join(unknown)}; scenarios: {', '.join(SCENARIOS)}")
    results = asyncio.run(run_all(names or tuple(SCENARIOS), processes, seed, full))
    click.echo(report(results, as_json))
    if any(result.objections for result in results):
        sys.exit(FAILED)


@lab.command("coldstart")
@click.option("--stewards", default=30, show_default=True, type=click.IntRange(2, 300))
@click.option("--hosts", default=500, show_default=True, type=click.IntRange(1, 2000))
@click.option(
    "--rate", default=20.0, show_default=True, help="Calls that the list service answers a second."
)
@click.option(
    "--outage",
    default=0.0,
    show_default=True,
    help="Seconds for which the service is down at first.",
)
@click.option(
    "--peers/--alone", default=True, show_default=True, help="Whether stewards talk to each other."
)
@click.option(
    "--today/--no-today",
    default=True,
    show_default=True,
    help="A start without our own file beside it.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "out", type=FILE, help="Write what was seen there.")
@click.option("--report", type=FILE, help="Write a page with curves there (HTML).")
def lab_coldstart(
    stewards: int,
    hosts: int,
    rate: float,
    outage: float,
    peers: bool,
    today: bool,
    seed: int,
    out: Path | None,
    report: Path | None,
) -> None:
    """A whole site starts at one moment: real stewards, a list service, hosts that count their probes."""
    import asyncio

    import msgspec

    from plankroute.testbed import cold_start_report as coldreport
    from plankroute.testbed.cold_start import Case, down_until, run_case

    rows = []
    for way in ["peers" if peers else "alone"] + ["today"] * today:
        if sys.stderr.isatty():
            click.echo(f"{way}: {stewards} stewards ...", err=True)
        rows.append(
            asyncio.run(
                run_case(
                    Case(way, stewards, hosts, down_until(outage, rate), seed, with_hosts=True)
                )
            )
        )
    click.echo(coldreport.table(rows))
    if out:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(rows), indent=2) + b"\n")
    if report:
        report.write_text(coldreport.page(rows))
    if any(seen.last_s is None for seen in rows if seen.way != "today"):
        sys.exit(FAILED)


@lab.command("restart")
@click.option(
    "--ways", default="nothing,snapshot,peer,both,wrong", show_default=True, help="By comma."
)
@click.option("--hosts", default=50, show_default=True, type=click.IntRange(5, 500))
@click.option(
    "--bad", default=0.2, show_default=True, help="Part of the hosts that void all they get."
)
@click.option(
    "--warm", "warm_s", default=20.0, show_default=True, help="Seconds before the restart."
)
@click.option("--seeds", default=1, show_default=True, type=click.IntRange(1, 20))
@click.option(
    "--kill/--term",
    "is_killed",
    default=False,
    show_default=True,
    help="SIGKILL instead of SIGTERM.",
)
@click.option(
    "--proxies-too/--proxies-stay",
    default=False,
    show_default=True,
    help="Whether the proxies restart with it and hold nothing.",
)
@click.option(
    "--probes-fail/--probes-good",
    default=True,
    show_default=True,
    help="Whether hosts that void all answer probes with an error.",
)
@click.option("--json", "out", type=FILE, help="Write what was seen there.")
@click.option("--report", type=FILE, help="Write a page with curves there (HTML).")
def lab_restart(
    ways: str,
    hosts: int,
    bad: float,
    warm_s: float,
    seeds: int,
    is_killed: bool,
    proxies_too: bool,
    probes_fail: bool,
    out: Path | None,
    report: Path | None,
) -> None:
    """What the restart of a steward costs, with nothing known and with what was learned before."""
    import asyncio

    import msgspec

    from plankroute.testbed import warm_restart as restart
    from plankroute.testbed.traffic import Mix

    asked = tuple(ways.split(","))
    if unknown := [way for way in asked if way not in restart.WAYS]:
        raise Mistake(f"not known: {', '.join(unknown)}; ways: {', '.join(restart.WAYS)}")
    rows = []
    for seed in range(1, seeds + 1):
        if sys.stderr.isatty():
            click.echo(f"seed {seed} of {seeds}: {warm_s + restart.LOOK_S:.0f} s ...", err=True)
        rows.append(
            asyncio.run(
                restart.run_ways(
                    asked,
                    hosts=hosts,
                    bad_part=bad,
                    warm_s=warm_s,
                    seed=seed,
                    is_killed=is_killed,
                    proxies_too=proxies_too,
                    mix=Mix(probes_fail=probes_fail),
                )
            )
        )
    summed = restart.summed(rows)
    click.echo(restart.table(summed))
    if out:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(rows), indent=2) + b"\n")
    if report:
        report.write_text(restart.page(summed))


@lab.command("kills")
@click.option("--kills", default=1000, show_default=True, type=click.IntRange(1, 10_000))
@click.option("--seed", default=1, show_default=True)
def lab_kills(kills: int, seed: int) -> None:
    """kill -9 at drawn points while a steward's file is written again and again, each followed by a start."""
    import asyncio

    from plankroute.testbed.write_kills import run_kills

    seen = asyncio.run(run_kills(kills, seed))
    click.echo(seen.said())
    if seen.mixtures or seen.failed:
        sys.exit(FAILED)


def cli() -> int:
    cli_group(prog_name="plankroute")
    return GOOD
