"""Imports of a bare start, a start without a feature file."""

import os
import subprocess
import sys

OPTIONAL_PACKAGES = (
    "cli",
    "testbed",
    "membership",
    "cold_start",
    "warm_start",
    "config.feature_file",
    "net.peers",
    "net.process.optional_features",
)
OPTIONAL_LIBRARIES = ("click", "msgspec", "xxhash")

LIST_IMPORTS = """
import sys
import plankroute.__main__
import plankroute.net.process.service as service
service.read_features()
print(*sorted(sys.modules))
"""


def test_a_bare_start_imports_no_optional_features() -> None:
    """Guards against optional features that cost a bare start listeners, libraries or memory."""
    environment = {name: value for name, value in os.environ.items() if name != "PLANKROUTE_FILE"}
    completed = subprocess.run(
        [sys.executable, "-c", LIST_IMPORTS],
        check=False,
        capture_output=True,
        timeout=30,
        text=True,
        env=environment,
    )
    assert completed.returncode == 0, completed.stderr
    modules = completed.stdout.split()
    assert "plankroute.net.process.service" in modules
    prefixes = [f"plankroute.{package}" for package in OPTIONAL_PACKAGES]
    imported_optional = [
        module
        for module in modules
        if module.split(".")[0] in OPTIONAL_LIBRARIES or module.startswith(tuple(prefixes))
    ]
    assert not imported_optional
