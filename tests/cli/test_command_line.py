"""The command line: exit statuses, one line for each mistake, names of earlier releases."""

import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from plankroute.config.feature_file import schema_text

EXAMPLE = Path("deploy/plankroute.example.json")


def run_command(
    *arguments: str, environment: dict[str, str] | None = None
) -> subprocess.CompletedProcess[str]:
    """`subprocess.run` kills the process if it takes longer than the limit."""
    return subprocess.run(
        [sys.executable, "-m", "plankroute", *arguments],
        check=False,
        capture_output=True,
        timeout=30,
        text=True,
        env=environment or {"PATH": "/usr/bin"},
    )


def test_help_lists_the_commands() -> None:
    done = run_command("--help")
    assert done.returncode == 0
    assert "members" in done.stdout


def test_check_names_the_features_of_a_good_file() -> None:
    done = run_command("check", str(EXAMPLE))
    assert done.returncode == 0
    assert "switches on: membership, coldstart" in done.stdout


def test_check_of_a_missing_file_is_one_line_and_status_2() -> None:
    done = run_command("check", "/nowhere.json")
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1


def test_check_without_a_file_is_a_usage_mistake() -> None:
    assert run_command("check").returncode == 2


def test_check_prints_the_schema() -> None:
    assert run_command("check", "--schema").stdout.encode() == schema_text()


def test_a_bare_start_without_a_configuration_is_status_2() -> None:
    done = run_command()
    assert done.returncode == 2
    assert "GW_CONFIG" in done.stderr


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("lab trial", "testbed trial"),
        ("lab coldstart", "testbed cold-start"),
        ("lab restart", "testbed warm-restart"),
        ("lab kills", "testbed write-kills"),
    ],
)
def test_a_command_is_understood_by_the_name_of_earlier_releases(old: str, new: str) -> None:
    by_old_name = run_command(*old.split(), "--help")
    assert by_old_name.returncode == 0
    _, _, old_text = by_old_name.stdout.partition("\n")
    _, _, new_text = run_command(*new.split(), "--help").stdout.partition("\n")
    assert old_text == new_text


def test_a_feature_file_that_cannot_be_used_stops_the_start(tmp_path: Path) -> None:
    configuration = tmp_path / "config.json"
    configuration.write_bytes(
        orjson.dumps(
            {
                "name": "n",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:9",
                "seed": "1",
                "settings": {"dcs": ["a"], "machineTypes": [], "classes": []},
            }
        )
    )
    feature_file = tmp_path / "own.json"
    feature_file.write_bytes(orjson.dumps({"membership": {"group": "g"}}))
    done = run_command(
        "run", "--file", str(feature_file), environment={"GW_CONFIG": str(configuration)}
    )
    assert done.returncode == 2
    assert done.stderr.splitlines() == [
        f"plankroute: PLANKROUTE_FILE can't be used: {feature_file}: membership.listen: missing"
    ]
