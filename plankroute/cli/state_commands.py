"""The command group `state`, which shows and checks a controller's prior knowledge of hosts."""

import sys
from pathlib import Path

import click

from plankroute.cli.common import EXIT_FAILED, FILE_PATH, CommandUsageError


@click.group()
def state() -> None:
    """Show a controller's prior knowledge of hosts, from its file or from the running process."""


@state.command("show")
@click.argument("where", metavar="FILE|ADDRESS")
@click.option(
    "--group", help="Name of the group; required with ADDRESS, the controller's link address."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--limit",
    "max_age_s",
    default=900.0,
    show_default=True,
    help="Age in seconds from which knowledge is ignored; `learned.limit_s` of the feature file.",
)
def state_show(where: str, group: str | None, as_json: bool, max_age_s: float) -> None:
    """Show what is known of each host, how old it is, and its effect on a start now."""
    from plankroute.cli.state import (
        StateError,
        as_json_text,
        as_table,
        ask_controller,
        is_address,
        read_snapshot_file,
    )

    is_file = not is_address(where) or Path(where).exists()
    if not is_file and group is None:
        raise CommandUsageError("state show: ADDRESS requires --group")
    try:
        found = [read_snapshot_file(Path(where))] if is_file else ask_controller(where, group or "")
    except StateError as error:
        click.echo(f"{where}: {error}", err=True)
        sys.exit(EXIT_FAILED)
    for snapshot in found:
        to_text = as_json_text if as_json else as_table
        click.echo(to_text(snapshot, max_age_s))


@state.command("check")
@click.argument("path", metavar="FILE", type=FILE_PATH)
def state_check(path: Path) -> None:
    """Check whether the controller that wrote FILE can start from it."""
    from plankroute.cli.state import StateError, read_snapshot_file

    try:
        snapshot = read_snapshot_file(path).snapshot
    except StateError as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(EXIT_FAILED)
    click.echo(
        f"{path}: good; {snapshot.controller}, {len(snapshot.hosts)} hosts, "
        f"list of revision {snapshot.list_revision}"
    )
