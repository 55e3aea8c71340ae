"""The deploy file lists all policy modules, and only paths that exist."""

import tomllib
from pathlib import Path

DEPLOY = tomllib.loads(Path("deploy/balancer.toml").read_text())


def test_all_policy_modules_are_listed() -> None:
    modules = {str(path) for path in Path("plankroute/policy").glob("*.py")}
    assert set(DEPLOY["policy"]) == modules - {"plankroute/policy/__init__.py"}


def test_all_node_paths_exist() -> None:
    assert all(Path(path).exists() for path in DEPLOY["node"])
