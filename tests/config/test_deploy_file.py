"""The operators' deploy file names what is there."""

import tomllib
from pathlib import Path

DEPLOY = tomllib.loads(Path("deploy/balancer.toml").read_text())


def test_every_module_of_the_policy_is_named() -> None:
    modules = {str(path) for path in Path("plankroute/policy").glob("*.py")}
    assert set(DEPLOY["policy"]) == modules - {"plankroute/policy/__init__.py"}


def test_every_path_of_the_node_exists() -> None:
    assert all(Path(path).exists() for path in DEPLOY["node"])
