"""What a start without a feature file imports."""

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


def test_a_bare_start_imports_nothing_of_what_is_switched_off() -> None:
    """Guards against a listener, a library or memory that `run` did not have before."""
    environment = {name: value for name, value in os.environ.items() if name != "PLANKROUTE_FILE"}
    done = subprocess.run(
        [sys.executable, "-c", LIST_IMPORTS],
        check=False,
        capture_output=True,
        timeout=30,
        text=True,
        env=environment,
    )
    assert done.returncode == 0, done.stderr
    modules = done.stdout.split()
    assert "plankroute.net.process.service" in modules
    prefixes = [f"plankroute.{package}" for package in OPTIONAL_PACKAGES]
    switched_off = [
        module
        for module in modules
        if module.split(".")[0] in OPTIONAL_LIBRARIES or module.startswith(tuple(prefixes))
    ]
    assert not switched_off
