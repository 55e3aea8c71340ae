"""Exit codes, argument types and error handling that all commands share."""

from pathlib import Path

import click

from plankroute.config.feature_file import FeatureFile, FeatureFileError, read_feature_file

EXIT_GOOD = 0
EXIT_FAILED = 1  # a check failed, or no controller answered
EXIT_USAGE = 2  # invalid arguments or files

FILE_PATH = click.Path(exists=False, dir_okay=False, path_type=Path)
FEATURE_FILE_VARIABLE = "PLANKROUTE_FILE"


# Names in earlier releases, still accepted but not listed in the help.
COMMAND_ALIASES = {
    "lab": "testbed",
    "coldstart": "cold-start",
    "restart": "warm-restart",
    "kills": "write-kills",
}


class CommandGroup(click.Group):
    """A command group that also accepts the names in `COMMAND_ALIASES`."""

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the command with this name or alias, or None if there is none."""
        return super().get_command(ctx, COMMAND_ALIASES.get(cmd_name, cmd_name))


class CommandUsageError(click.ClickException):
    """An invalid argument or file; exits with `EXIT_USAGE` and one line on standard error."""

    exit_code = EXIT_USAGE


def load_feature_file(path: Path) -> FeatureFile:
    """Reads the feature file.

    Raises:
        CommandUsageError: The file can't be read or is invalid.
    """
    try:
        return read_feature_file(path)
    except FeatureFileError as error:
        raise CommandUsageError(str(error)) from error


def reject_unknown(names: list[str], known: dict[str, list[str]]) -> None:
    """Rejects names that are not among the known ones.

    Args:
        names: The names to check.
        known: The known names by category; the error message lists them.

    Raises:
        CommandUsageError: A name is in no category.
    """
    all_known = {name for group in known.values() for name in group}
    unknown = [name for name in names if name not in all_known]
    if unknown:
        choices = "; ".join(f"{kind}: {', '.join(group)}" for kind, group in known.items())
        raise CommandUsageError(f"unknown: {', '.join(unknown)}; {choices}")
