"""The snapshot file on disks that lose power, are full, hang, or hold something else."""

import asyncio
import os
import random
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest
from support.host_snapshots import HEALTHY, snapshot_of

from plankroute.config.feature_file import WarmStartSection
from plankroute.events import events
from plankroute.net.peers.snapshot_file import (
    FINISH_TIMEOUT_S,
    READ_TIMEOUT_S,
    snapshot_file_name,
)
from plankroute.net.peers.warm_start import WarmStartService
from plankroute.net.process.file_store import Disk, FileWriter, replace_file
from plankroute.net.process.telemetry import EventLog, Telemetry
from plankroute.warm_start.codec import MAX_FILE_BYTES

OLD, NEW = b"before" * 10, b"after!" * 20


class PowerCut(Exception):  # noqa: N818 - an event of the scenario, not an error of the code
    """The simulated machine has lost power."""


class LossyDisk(Disk):
    """An in-memory disk that loses power once it has executed a number of steps.

    Synced content survives a power cut; of unsynced content a random prefix does.

    Attributes:
        last_step: Number of steps before the power cut.
        synced: Contents that survive a power cut, by path.
        visible: Contents as the running system sees them, by path.
    """

    def __init__(self, rng: random.Random, last_step: int) -> None:
        self.rng = rng
        self.last_step = last_step
        self.steps = 0
        self.synced: dict[Path, bytes] = {}
        self.visible: dict[Path, bytes] = {}

    def step(self) -> None:
        self.steps += 1
        if self.steps > self.last_step:
            raise PowerCut

    def write(self, path: Path, data: bytes, sync: bool = True) -> None:
        self.visible[path] = b""
        self.step()
        self.visible[path] = data
        self.step()
        if sync:
            self.synced[path] = data
        else:
            self.synced[path] = data[: self.rng.randrange(len(data))]
        self.step()

    def rename(self, path: Path, target: Path) -> None:
        self.visible[target] = self.visible.pop(path)
        reaches_disk_before_sync = self.rng.random() < 0.5
        if reaches_disk_before_sync:
            self.synced[target] = self.synced.pop(path)
            self.step()
            return
        self.step()
        self.synced[target] = self.synced.pop(path)


def write_synced(disk: LossyDisk, path: Path) -> None:
    replace_file(disk, path, NEW)


def write_without_sync(disk: LossyDisk, path: Path) -> None:
    """A faulty writer, which the lossy disk has to detect."""
    disk.write(path.with_name("x"), NEW, sync=False)
    disk.rename(path.with_name("x"), path)


def contents_after_power_cuts(
    write: Callable[[LossyDisk, Path], None], seed: int
) -> set[bytes | None]:
    """The contents of the file after a power cut at each of the steps."""
    path = Path("/d/n1.learned")
    contents: set[bytes | None] = set()
    for last_step in range(8):
        disk = LossyDisk(random.Random(seed), last_step)
        disk.visible[path] = OLD
        disk.synced[path] = OLD
        with suppress(PowerCut):
            write(disk, path)
        contents.add(disk.synced.get(path))
    return contents


@pytest.mark.parametrize("seed", range(50))
def test_a_power_cut_at_any_step_leaves_either_the_old_or_the_new_content(
    seed: int,
) -> None:
    assert contents_after_power_cuts(write_synced, seed) == {OLD, NEW}


def test_the_lossy_disk_detects_a_writer_that_does_not_sync() -> None:
    contents = [contents_after_power_cuts(write_without_sync, seed) for seed in range(50)]
    assert set().union(*contents) - {OLD, NEW}


def test_a_full_disk_is_reported_and_the_next_write_is_tried_again(tmp_path: Path) -> None:
    class FullDisk(Disk):
        is_full = True

        def write(self, path: Path, data: bytes) -> None:
            if self.is_full:
                raise OSError(28, "No space left on device")
            super().write(path, data)

    done: list[tuple[int, int | None]] = []
    disk = FullDisk()

    def on_done(size: int, error: OSError | None) -> None:
        done.append((size, error.errno if error else None))

    writer = FileWriter(disk, tmp_path / "f", on_done)
    writer.write(lambda: b"one")
    assert writer.idle.wait(10)
    assert done == [(0, 28)]
    disk.is_full = False
    writer.write(lambda: b"two")
    assert writer.finish(10)
    assert done[-1] == (3, None)
    assert (tmp_path / "f").read_bytes() == b"two"


def test_a_file_of_two_gigabytes_a_pipe_and_a_symlink_do_not_block_reading(tmp_path: Path) -> None:
    with open(tmp_path / "large", "wb") as file:
        file.truncate(2 << 30)
    data = Disk().read(tmp_path / "large", MAX_FILE_BYTES)
    assert data is not None
    assert len(data) == MAX_FILE_BYTES + 1
    os.mkfifo(tmp_path / "pipe")
    os.symlink(tmp_path / "large", tmp_path / "link")
    for name in ("pipe", "link"):
        with pytest.raises(OSError):
            Disk().read(tmp_path / name, MAX_FILE_BYTES)
    assert Disk().read(tmp_path / "none", 1) is None


def test_the_file_name_of_a_controller_never_leaves_the_folder() -> None:
    assert "/" not in snapshot_file_name("../../etc/x")
    assert snapshot_file_name("n1") == "n1.learned"


def test_a_hanging_disk_delays_neither_start_nor_shutdown(tmp_path: Path) -> None:
    """Guards against a shutdown that waits for a thread which is blocked by the disk."""
    released = threading.Event()
    durations_s: list[float] = []

    class HangingDisk(Disk):
        def read(self, path: Path, max_bytes: int) -> bytes | None:
            released.wait(20)
            return None

        def write(self, path: Path, data: bytes) -> None:
            released.wait(20)

    async def run() -> None:
        put: list[events.Event] = []
        section = WarmStartSection(folder=str(tmp_path))
        telemetry = Telemetry(EventLog("n0", lambda line: None))
        service = WarmStartService(
            section, "n0", "g", "127.0.0.1", telemetry, put.append, HangingDisk()
        )
        service.snapshot = lambda: snapshot_of(HEALTHY)  # type: ignore[method-assign] # no controller
        began_s = time.monotonic()
        await service.load_snapshot_file()
        durations_s.append(time.monotonic() - began_s)
        service.start()
        began_s = time.monotonic()
        await service.hand_over()
        durations_s.append(time.monotonic() - began_s)

    began_s = time.monotonic()
    try:
        asyncio.run(run())
        durations_s.append(time.monotonic() - began_s - sum(durations_s))
    finally:
        released.set()
    start_s, hand_over_s, rest_s = durations_s
    assert start_s < READ_TIMEOUT_S + 1.0
    assert hand_over_s < FINISH_TIMEOUT_S + 1.0
    assert rest_s < 1.0
