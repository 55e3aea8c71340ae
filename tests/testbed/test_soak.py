"""A short soak test: real controllers under signals, kills, releases and floods."""

import asyncio
import subprocess
import sys

import pytest

from plankroute.testbed.soak import SoakResult, run_soak

SEEDS = (1, 2)
SECONDS = 16.0
FIRST_LOOPBACK_NET = 82  # each seed uses the next one


def test_soak_seeds_break_no_rule() -> None:
    async def run() -> list[SoakResult]:
        return await asyncio.gather(
            *(
                run_soak(seed, SECONDS, FIRST_LOOPBACK_NET + index)
                for index, seed in enumerate(SEEDS)
            )
        )

    for result in asyncio.run(run()):
        assert result.is_good(), result
        assert len(result.faults) >= 4


@pytest.mark.parametrize("seeds", ["3", "5:4", "x:y"])
def test_an_invalid_range_of_seeds_is_rejected(seeds: str) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "plankroute", "testbed", "soak", "--seeds", seeds],
        check=False,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert completed.returncode == 2
    assert "is no range A:B" in completed.stderr
