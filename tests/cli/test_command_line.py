"""The command line: exit statuses, one-line errors, command names of earlier releases."""

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
    """Runs a command; `subprocess.run` kills the process after the timeout."""
    return subprocess.run(
        [sys.executable, "-m", "plankroute", *arguments],
        check=False,
        capture_output=True,
        timeout=30,
        text=True,
        env=environment or {"PATH": "/usr/bin"},
    )


def test_help_lists_the_commands() -> None:
    completed = run_command("--help")
    assert completed.returncode == 0
    assert "members" in completed.stdout


def test_check_lists_the_features_of_a_valid_file() -> None:
    completed = run_command("check", str(EXAMPLE))
    assert completed.returncode == 0
    assert "switches on: membership, coldstart" in completed.stdout


def test_check_of_a_missing_file_prints_one_line_and_exits_with_2() -> None:
    completed = run_command("check", "/nowhere.json")
    assert completed.returncode == 2
    assert completed.stderr.count("\n") == 1


def test_check_without_a_file_is_a_usage_error() -> None:
    assert run_command("check").returncode == 2


def test_check_prints_the_schema() -> None:
    assert run_command("check", "--schema").stdout.encode() == schema_text()


def test_a_bare_start_without_a_configuration_exits_with_2() -> None:
    completed = run_command()
    assert completed.returncode == 2
    assert "GW_CONFIG" in completed.stderr


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("lab trial", "testbed trial"),
        ("lab coldstart", "testbed cold-start"),
        ("lab restart", "testbed warm-restart"),
        ("lab kills", "testbed write-kills"),
    ],
)
def test_command_names_of_earlier_releases_are_accepted(old: str, new: str) -> None:
    by_old_name = run_command(*old.split(), "--help")
    assert by_old_name.returncode == 0
    _, _, old_text = by_old_name.stdout.partition("\n")
    _, _, new_text = run_command(*new.split(), "--help").stdout.partition("\n")
    assert old_text == new_text


def test_an_invalid_feature_file_aborts_the_start(tmp_path: Path) -> None:
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
    feature_file = tmp_path / "features.json"
    feature_file.write_bytes(orjson.dumps({"membership": {"group": "g"}}))
    completed = run_command(
        "run", "--file", str(feature_file), environment={"GW_CONFIG": str(configuration)}
    )
    assert completed.returncode == 2
    assert completed.stderr.splitlines() == [
        f"plankroute: PLANKROUTE_FILE can't be used: {feature_file}: membership.listen: missing"
    ]
