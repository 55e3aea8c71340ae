"""Our own JSON file and the command line: one line for each mistake, a schema that is current."""

import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from plankroute.config.feature_file import SCHEMA, FeatureFileError, read_feature_file, schema_text

PART = {"group": "g", "listen": "10.0.0.4:3001"}
EXAMPLE = Path("deploy/plankroute.example.json")


def test_the_schema_is_current_and_the_example_good():
    assert SCHEMA.read_bytes() == schema_text(), (
        "python -m plankroute check --schema > deploy/plankroute.schema.json"
    )
    own = read_feature_file(EXAMPLE)
    assert own.membership and own.membership.patience_ms == 2600 and len(own.membership.seeds) == 3


@pytest.mark.parametrize(
    "told, line",
    [
        ({"membership": {"listen": "10.0.0.4:1"}}, "membership.group: missing"),
        ({"membership": PART | {"colour": 1}}, "membership.colour: unknown key"),
        ({"colour": 1}, "colour: unknown key"),
        (
            {"membership": PART | {"patience_ms": 1}},
            "membership.patience_ms: expected `int` >= 500",
        ),
        (
            {"membership": PART | {"listen": "10.0.0.4:70000"}},
            "membership.listen: '10.0.0.4:70000' is no address",
        ),
        (
            {"membership": PART | {"seeds": ["a.example:1"]}},
            "membership.seeds[0]: expected `str` matching",
        ),
        (
            {"coldstart": {"links": {"listen": "10.0.0.4:1"}}},
            "coldstart.links: needs a membership section",
        ),
        ([], "the file: expected `object`, got `array`"),
    ],
)
def test_a_mistake_is_one_line_with_the_path_of_its_key(tmp_path, told, line):
    path = tmp_path / "own.json"
    path.write_bytes(orjson.dumps(told))
    with pytest.raises(FeatureFileError) as caught:
        read_feature_file(path)
    assert str(caught.value).startswith(f"{path}: {line}") and "\n" not in str(caught.value)


def command(*words: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "plankroute", *words],
        capture_output=True,
        timeout=30,
        text=True,
        env={"PATH": "/usr/bin"},
    )


def test_the_command_line_without_gw_config(tmp_path):
    helped, good, bad = (
        command("--help"),
        command("check", str(EXAMPLE)),
        command("check", "/nowhere.json"),
    )
    assert helped.returncode == 0 and "members" in helped.stdout
    assert good.returncode == 0 and "switches on: membership, coldstart" in good.stdout
    assert bad.returncode == 2 and bad.stderr.count("\n") == 1
    assert (
        command("check").returncode == 2
        and command("check", "--schema").stdout.encode() == schema_text()
    )
    bare = command()
    assert bare.returncode == 2 and "GW_CONFIG" in bare.stderr


def test_a_file_that_cannot_be_used_stops_the_start(tmp_path):
    config, own = tmp_path / "config.json", tmp_path / "own.json"
    config.write_bytes(
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
    own.write_bytes(orjson.dumps({"membership": {"group": "g"}}))
    done = subprocess.run(
        [sys.executable, "-m", "plankroute", "run", "--file", str(own)],
        capture_output=True,
        timeout=30,
        text=True,
        env={"GW_CONFIG": str(config)},
    )
    assert done.returncode == 2 and done.stderr.splitlines() == [
        f"plankroute: PLANKROUTE_FILE can't be used: {own}: membership.listen: missing"
    ]
