"""Property tests draw the same examples each time, and no slow machine decides a verdict.

Tests that are known to fail for a real fault stand in KNOWN-RED.txt: they run, have to fail, are printed."""

import re
from pathlib import Path
from typing import NamedTuple

import pytest
from hypothesis import settings

settings.register_profile("same each time", derandomize=True, database=None, deadline=None)
settings.load_profile("same each time")

KNOWN_RED = "KNOWN-RED.txt"  # at the root; a line: tests/test_x.py::test_y | cause | issue 23
MOST_RED = 3
LINE = re.compile(r"(\S.*?) \| (\S.*) \| (issue \d+)")
SAID = pytest.StashKey[list["Red"]]()


class Red(NamedTuple):
    test: str
    cause: str
    issue: str


def known_red(root: Path) -> list[Red]:
    if not (path := root / KNOWN_RED).exists():
        return []
    lines = path.read_text().splitlines()
    if len(lines) > MOST_RED:
        raise pytest.UsageError(f"{KNOWN_RED}: {len(lines)} lines, {MOST_RED} at most")
    read = [LINE.fullmatch(line) for line in lines]
    for number, match in enumerate(read, 1):
        if match is None:
            raise pytest.UsageError(f"{KNOWN_RED}: line {number} is not 'test | cause | issue N'")
    return [Red(*match.groups()) for match in read if match]


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed, by_id = known_red(config.rootpath), {item.nodeid: item for item in items}
    whole = (
        config.args_source is not pytest.Config.ArgsSource.ARGS
    )  # else a test may be there, not asked for
    for red in listed:
        if item := by_id.get(red.test):
            item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True))
        elif whole:
            raise pytest.UsageError(f"{KNOWN_RED}: there is no test {red.test}")
    config.stash[SAID] = listed


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    if listed := config.stash.get(SAID, []):
        terminalreporter.section("known red")
        for red in listed:
            terminalreporter.line(f"{red.test}: {red.cause} ({red.issue})")
