"""Runs a case: its time limit, its exit status and the end of all that it started."""

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standin.record import Record

LIMIT_S = 110.0
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class CannotRunError(Exception):
    """The case could not run, for a reason that says nothing of the rule."""


def run_case(script: str, case: Callable[[Record, Path, bool], Awaitable[bool]]) -> None:
    """Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    Args:
        script: The `__file__` of the case, beside which `record.txt` is written.
        case: Runs the case with a record, a temporary folder and whether the disruption is on;
            returns whether the rule held.
    """
    record = Record(Path(script).resolve().parent / "record.txt")
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    record.say("with the disruption" if is_disrupted else "without the disruption")

    async def limited(folder: Path) -> bool:
        async with asyncio.timeout(LIMIT_S):
            return await case(record, folder, is_disrupted)

    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            status = HELD if asyncio.run(limited(Path(folder))) else BROKEN
        except Exception:
            record.say(traceback.format_exc())
            status = COULD_NOT_RUN
    record.say(("the rule held", "THE RULE WAS BROKEN", "the case could not run")[status])
    sys.exit(status)
