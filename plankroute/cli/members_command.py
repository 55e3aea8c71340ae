"""The command `members`, which shows which controllers are alive."""

import sys
from pathlib import Path

import click

from plankroute.cli.common import (
    EXIT_FAILED,
    FEATURE_FILE_VARIABLE,
    FILE_PATH,
    CommandUsageError,
    load_feature_file,
)


@click.command()
@click.argument("address", required=False)
@click.option("--group", help="Name of the group; required with ADDRESS.")
@click.option(
    "--file",
    "path",
    type=FILE_PATH,
    envvar=FEATURE_FILE_VARIABLE,
    help="Feature file of the controller, instead of ADDRESS and --group.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--wait", default=1.0, show_default=True, help="Seconds to wait for each part of the answer."
)
def members(
    address: str | None, group: str | None, path: Path | None, as_json: bool, wait: float
) -> None:
    """Show the controllers that the controller at ADDRESS knows, and which of them are alive.

    ADDRESS is its membership address and must be on this machine.
    """
    from plankroute.cli.members import as_json_text, as_table, request_members

    if address is None and path is not None:
        section = load_feature_file(path).membership
        if section is None:
            raise CommandUsageError(f"{path}: no membership section")
        address = section.listen
        group = section.group
    if address is None or group is None:
        raise CommandUsageError("members: give ADDRESS and --group, or --file")
    try:
        lines = request_members(address, group, wait)
    except ValueError as error:
        raise CommandUsageError(str(error)) from error
    if lines is None:
        click.echo(f"{address}: no answer from a member of group {group}", err=True)
        sys.exit(EXIT_FAILED)
    click.echo(as_json_text(lines) if as_json else as_table(lines))
