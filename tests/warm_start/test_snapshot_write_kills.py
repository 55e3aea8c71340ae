"""SIGKILL while the snapshot file is written."""

import asyncio

from plankroute.testbed.write_kills import run_kills


def test_two_hundred_kills_during_writes_leave_no_mixed_or_missing_file() -> None:
    counts = asyncio.run(run_kills(200, 1))
    assert counts.kills == 200
    assert counts.mixtures == 0
    assert counts.failed_starts == 0
    assert counts.missing_files == 0
    assert counts.mid_write > 10, "no kill hit a write: the run shows nothing"
