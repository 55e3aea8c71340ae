"""kill -9 at drawn points while a steward's file is written again and again: the process that writes, the
points, and the starts that follow. `python -m plankroute.testbed.write_kills FOLDER` is the one that writes."""

import asyncio
import os
import random
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec

from plankroute.net.peers.warm_start import file_name
from plankroute.net.process.file_store import Disk, Saver
from plankroute.testbed.processes import die_with_the_lab
from plankroute.warm_start.codec import MOST_BYTES, Kept, read_file, write_file
from plankroute.warm_start.facts import HostFacts, View

NAME, HOSTS = "n0000", 500
WRITES_FOR_S = 20.0  # at most: whoever writes ends by itself
BEGINS_S = 20.0  # for its first file to be there
POINTS_S = 0.012  # a kill is drawn within some writings' time
AT_ONCE = 8


def view_of(number: int) -> View:
    """All facts of one view say its number: a mixture of two would show."""
    facts = tuple(
        HostFacts(f"s-{host:05d}", 0.0, 1.0, float(number), 0.0, 20_000.0, False, 2, 0)
        for host in range(HOSTS)
    )
    return View(NAME, number, 0, facts, ())


def write_on(folder: Path) -> None:
    """As fast as it goes, through the very parts that a steward writes with."""
    written, end = threading.Event(), time.monotonic() + WRITES_FOR_S
    path = folder / file_name(NAME)
    before = Disk().read(path, MOST_BYTES)
    kept = read_file(before, NAME, 0) if before else None
    number = kept.view.revision if isinstance(kept, Kept) else 0
    saver = Saver(Disk(), path, lambda size, error: written.set())
    while time.monotonic() < end:
        number += 1
        saver.want(lambda view=view_of(number): write_file(view, 0))  # type: ignore[misc]
        written.wait()
        written.clear()


class KillsSeen(msgspec.Struct):
    kills: int = 0
    mixtures: int = 0
    failed: int = 0
    none: int = 0  # no file at all: the kill came before the first one
    halves: int = 0  # kills that left a file beside, half written or not yet renamed
    took_s: float = 0.0

    def said(self) -> str:
        return (
            f"{self.kills} kills in {self.took_s:.0f} s, {self.halves} of them in the middle of a "
            f"writing; {self.mixtures} mixtures, {self.failed} failed starts, {self.none} without a file"
        )


async def one_kill(folder: Path, chance: random.Random, seen: KillsSeen) -> None:
    """The file goes on from kill to kill, as a steward's would."""
    path = folder / file_name(NAME)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "plankroute.testbed.write_kills",
        str(folder),
        preexec_fn=die_with_the_lab,
        env={**os.environ, "PYTHONPATH": ":".join(sys.path), "PYTHONDONTWRITEBYTECODE": "1"},
    )
    before, end = stamp(path), time.monotonic() + BEGINS_S
    while stamp(path) == before and time.monotonic() < end:
        await asyncio.sleep(0.002)
    await asyncio.sleep(chance.random() * POINTS_S)
    process.send_signal(signal.SIGKILL)
    await process.wait()
    seen.kills += 1
    seen.halves += any(name.endswith(".new") for name in os.listdir(folder))
    judge(path, seen)


def stamp(path: Path) -> int:
    try:
        return path.stat().st_ino
    except FileNotFoundError:
        return 0


def judge(path: Path, seen: KillsSeen) -> None:
    """What a start would meet: the previous whole state, or none."""
    data = Disk().read(path, MOST_BYTES)
    if data is None:
        seen.none += 1
        return
    kept = read_file(data, NAME, 0)
    if not isinstance(kept, Kept):
        seen.failed += 1
        return
    numbers = {facts.attempts for facts in kept.view.hosts}
    seen.mixtures += numbers != {float(kept.view.revision)} or len(kept.view.hosts) != HOSTS


async def run_kills(kills: int, seed: int) -> KillsSeen:
    """Several rows of kills side by side, each in a folder of its own."""
    seen, began_s = KillsSeen(), time.monotonic()
    with tempfile.TemporaryDirectory(prefix="plankroute-kills-") as top:

        async def row(number: int) -> None:
            folder, chance = Path(top) / str(number), random.Random(seed * 1000 + number)
            folder.mkdir()
            for _ in range(kills // AT_ONCE + (number < kills % AT_ONCE)):
                await one_kill(folder, chance, seen)

        await asyncio.gather(*(row(number) for number in range(AT_ONCE)))
    seen.took_s = time.monotonic() - began_s
    return seen


if __name__ == "__main__":
    write_on(Path(sys.argv[1]))
