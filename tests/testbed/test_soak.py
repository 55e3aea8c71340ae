"""A short soak: real controllers under signals, kills, releases and floods."""

import asyncio
import subprocess
import sys

import pytest

from plankroute.testbed.soak import SoakResult, run_soak

SEEDS = (1, 2)
SECONDS = 16.0
NET = 82  # and the next ones


def test_seeds_of_the_soak_break_no_rule() -> None:
    async def run() -> list[SoakResult]:
        return await asyncio.gather(
            *(run_soak(seed, SECONDS, NET + place) for place, seed in enumerate(SEEDS))
        )

    for result in asyncio.run(run()):
        assert result.is_good(), result
        assert len(result.faults) >= 4


@pytest.mark.parametrize("seeds", ["3", "5:4", "x:y"])
def test_a_wrong_range_of_seeds_is_refused(seeds: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "plankroute", "testbed", "soak", "--seeds", seeds],
        check=False,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 2
    assert "is no range A:B" in done.stderr
