"""The commands of `python -m plankroute`.

Exit status: 0 success, 1 a check failed or no controller answered, 2 invalid arguments or files.
"""

import click

from plankroute.cli.common import EXIT_GOOD, CommandGroup
from plankroute.cli.members_command import members
from plankroute.cli.run_commands import check, run
from plankroute.cli.state_commands import state
from plankroute.cli.testbed_commands import testbed


@click.group(cls=CommandGroup, context_settings={"help_option_names": ["-h", "--help"]})
def cli_group() -> None:
    """plankroute: a controller that publishes routing tables to a fleet of proxies.

    Without arguments it runs a controller, like `run`; the environment variable GW_CONFIG names the
    configuration file.
    """


for command in (run, check, members, state, testbed):
    cli_group.add_command(command)


def cli() -> int:
    """Runs the command line; returns the exit status."""
    cli_group(prog_name="plankroute")
    return EXIT_GOOD
