"""The commands `run`, which runs a controller, and `check`, which validates a feature file."""

import os
import sys
from pathlib import Path

import click

from plankroute.cli.common import (
    FEATURE_FILE_VARIABLE,
    FILE_PATH,
    CommandUsageError,
    load_feature_file,
)
from plankroute.config.feature_file import FeatureFile, schema_text


@click.command()
@click.option(
    "--file",
    "path",
    type=FILE_PATH,
    envvar=FEATURE_FILE_VARIABLE,
    help="Feature file (see deploy/plankroute.example.json); without one, all optional features "
    "are off.",
)
def run(path: Path | None) -> None:
    """Run one controller.

    The environment variable GW_CONFIG names the configuration file.
    """
    from plankroute.net.process.service import main

    if path is not None:
        os.environ[FEATURE_FILE_VARIABLE] = str(path)
    sys.exit(main())


@click.command()
@click.argument("path", metavar="FILE", type=FILE_PATH, required=False)
@click.option("--schema", is_flag=True, help="Print the JSON Schema of feature files instead.")
def check(path: Path | None, schema: bool) -> None:
    """Check whether a controller can use FILE as its feature file."""
    if schema:
        click.echo(schema_text(), nl=False)
        return
    if path is None:
        raise CommandUsageError("check: FILE is required")
    sections = sections_of(load_feature_file(path))
    click.echo(f"{path}: good; switches on: {', '.join(sections) or 'nothing'}")


def sections_of(feature_file: FeatureFile) -> list[str]:
    """Returns the names of the sections that a feature file contains."""
    return [
        name for name in feature_file.__struct_fields__ if getattr(feature_file, name) is not None
    ]
