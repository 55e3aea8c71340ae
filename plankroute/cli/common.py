"""What all commands share: exit codes, arguments, and mistakes as one line."""

from pathlib import Path

import click

from plankroute.config.feature_file import FeatureFile, FeatureFileError, read_feature_file

EXIT_GOOD = 0
EXIT_FAILED = 1  # a check failed, or nobody answered
EXIT_USAGE = 2  # what was given can't be used

FILE_PATH = click.Path(exists=False, dir_okay=False, path_type=Path)
FEATURE_FILE_VARIABLE = "PLANKROUTE_FILE"


# Names of earlier releases, still understood but not listed.
OLD_COMMAND_NAMES = {
    "lab": "testbed",
    "coldstart": "cold-start",
    "restart": "warm-restart",
    "kills": "write-kills",
}


class CommandGroup(click.Group):
    """A group that understands old names of its commands."""

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of that name, be it an old one."""
        return super().get_command(ctx, OLD_COMMAND_NAMES.get(cmd_name, cmd_name))


class UsageMistake(click.ClickException):
    """One line on standard error, and the exit status of a mistake in what was given."""

    exit_code = EXIT_USAGE


def load_feature_file(path: Path) -> FeatureFile:
    """Reads the feature file.

    Raises:
        UsageMistake: It can't be used.
    """
    try:
        return read_feature_file(path)
    except FeatureFileError as error:
        raise UsageMistake(str(error)) from error


def reject_unknown(named: list[str], known: dict[str, list[str]]) -> None:
    """Checks names that were given.

    Args:
        named: What was given.
        known: By kind, what there is.

    Raises:
        UsageMistake: A name is of no kind.
    """
    all_known = {name for names in known.values() for name in names}
    unknown = [name for name in named if name not in all_known]
    if unknown:
        choices = "; ".join(f"{kind}: {', '.join(names)}" for kind, names in known.items())
        raise UsageMistake(f"not known: {', '.join(unknown)}; {choices}")
