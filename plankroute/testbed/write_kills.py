"""Kills a process while it writes its snapshot file, and checks the file that a start would read.

Half of the kills are sent while a write is observed to be in progress, the others at random times.
`python -m plankroute.testbed.write_kills FOLDER` is the writing process.
"""

import asyncio
import os
import random
import signal
import sys
import tempfile
import threading
import time
from functools import partial
from pathlib import Path

import msgspec

from plankroute.net.peers.snapshot_file import snapshot_file_name
from plankroute.net.process.file_store import TEMPORARY_SUFFIX, Disk, FileWriter
from plankroute.testbed.processes import die_with_parent
from plankroute.warm_start.codec import MAX_FILE_BYTES, StoredSnapshot, decode_file, encode_file
from plankroute.warm_start.snapshot import HostKnowledge, Snapshot

CONTROLLER = "n0000"
HOSTS = 500  # of each snapshot
WRITING_PERIOD_S = 20.0  # a writer that is not killed ends after this time
FIRST_WRITE_TIMEOUT_S = 20.0
MID_WRITE_TIMEOUT_S = 10.0  # to observe a write in progress; a write takes milliseconds
POLL_INTERVAL_S = 0.002
MID_WRITE_POLL_INTERVAL_S = 0.0005
MAX_KILL_DELAY_S = 0.012  # random delay of a kill; covers several writes
CONCURRENT_WRITERS = 8


def numbered_snapshot(number: int) -> Snapshot:
    """Returns a snapshot with this number in each host, so that a mixture of two is detected."""
    hosts = tuple(
        HostKnowledge(
            uid=f"s-{host:05d}",
            boot_ms=0.0,
            weight=1.0,
            attempts=float(number),
            failed=0.0,
            mean_latency_us=20_000.0,
            ejected=False,
            required_checks=2,
            age_us=0,
        )
        for host in range(HOSTS)
    )
    return Snapshot(CONTROLLER, number, 0, hosts, ())


def write_repeatedly(folder: Path) -> None:
    """Writes snapshots with increasing numbers, with the same code as a controller."""
    written = threading.Event()
    end_s = time.monotonic() + WRITING_PERIOD_S
    path = folder / snapshot_file_name(CONTROLLER)
    number = last_number(path)
    writer = FileWriter(Disk(), path, lambda size, error: written.set())
    while time.monotonic() < end_s:
        number += 1
        writer.write(partial(encode_file, numbered_snapshot(number), 0))
        written.wait()
        written.clear()


def last_number(path: Path) -> int:
    """Returns the number of the snapshot in a file; 0 if there is no usable one."""
    data = Disk().read(path, MAX_FILE_BYTES)
    stored = decode_file(data, CONTROLLER, 0) if data else None
    return stored.snapshot.list_revision if isinstance(stored, StoredSnapshot) else 0


class WriteKillCounts(msgspec.Struct):
    """Counts of kills, and of the files that a start after each of them would have read.

    Attributes:
        kills: Number of kills.
        mixtures: Number of files that mix two snapshots.
        failed_starts: Number of unusable files.
        missing_files: Number of kills after which there was no file.
        mid_write: Number of kills that left a temporary file, partly written or not renamed yet.
        took_s: Duration of the run in seconds.
    """

    kills: int = 0
    mixtures: int = 0
    failed_starts: int = 0
    missing_files: int = 0
    mid_write: int = 0
    took_s: float = 0.0

    def summary(self) -> str:
        """Returns a readable summary in one line."""
        return (
            f"{self.kills} kills in {self.took_s:.0f} s, {self.mid_write} of them in the middle of "
            f"a write; {self.mixtures} mixtures, {self.failed_starts} failed starts, "
            f"{self.missing_files} without a file"
        )


async def kill_writer(
    folder: Path, rng: random.Random, is_mid_write: bool, counts: WriteKillCounts
) -> None:
    """Starts a writer, kills it, and checks the file, from which the next writer continues.

    Args:
        folder: The folder of the snapshot file.
        rng: Chooses the delay of the kill.
        is_mid_write: Whether the kill waits until a write is observed to be in progress.
        counts: The counts to add to.
    """
    path = folder / snapshot_file_name(CONTROLLER)
    previous_inode = inode_of(path)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "plankroute.testbed.write_kills",
        str(folder),
        preexec_fn=die_with_parent,
        env={**os.environ, "PYTHONPATH": ":".join(sys.path), "PYTHONDONTWRITEBYTECODE": "1"},
    )
    try:
        end_s = time.monotonic() + FIRST_WRITE_TIMEOUT_S
        while inode_of(path) == previous_inode and time.monotonic() < end_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        await asyncio.sleep(rng.random() * MAX_KILL_DELAY_S)
        if is_mid_write:
            await suspend_mid_write(process, temporary_file(path))
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
    counts.kills += 1
    if temporary_file(path).exists():
        counts.mid_write += 1
    check_file(path, counts)


async def suspend_mid_write(process: asyncio.subprocess.Process, temporary: Path) -> None:
    """Suspends a writer while its temporary file exists, so that a kill interrupts a write.

    If the writer has finished the write by the time it is suspended, it is resumed and the attempt
    is repeated. Returns without a suspended writer after `MID_WRITE_TIMEOUT_S`.
    """
    end_s = time.monotonic() + MID_WRITE_TIMEOUT_S
    while time.monotonic() < end_s:
        if not temporary.exists():
            await asyncio.sleep(MID_WRITE_POLL_INTERVAL_S)
            continue
        process.send_signal(signal.SIGSTOP)
        while not is_stopped(process.pid) and time.monotonic() < end_s:
            await asyncio.sleep(MID_WRITE_POLL_INTERVAL_S)
        if temporary.exists():
            return
        process.send_signal(signal.SIGCONT)


def is_stopped(pid: int) -> bool:
    """Returns whether a child process has been suspended; does not reap one that has ended.

    A suspended process has stopped all of its threads.
    """
    status = os.waitid(os.P_PID, pid, os.WSTOPPED | os.WNOHANG)
    return status is not None


def temporary_file(path: Path) -> Path:
    """Returns the path of the temporary file, which is renamed to `path` at the end of a write."""
    return path.with_name(path.name + TEMPORARY_SUFFIX)


def inode_of(path: Path) -> int:
    """Returns the inode number, which changes with each write; 0 if there is no file."""
    try:
        return path.stat().st_ino
    except FileNotFoundError:
        return 0


def check_file(path: Path, counts: WriteKillCounts) -> None:
    """Checks that a start would read one complete snapshot; adds any other result to `counts`."""
    data = Disk().read(path, MAX_FILE_BYTES)
    if data is None:
        counts.missing_files += 1
        return
    stored = decode_file(data, CONTROLLER, 0)
    if not isinstance(stored, StoredSnapshot):
        counts.failed_starts += 1
        return
    snapshot = stored.snapshot
    numbers = {host.attempts for host in snapshot.hosts}
    if numbers != {float(snapshot.list_revision)} or len(snapshot.hosts) != HOSTS:
        counts.mixtures += 1


async def run_kills(kills: int, seed: int) -> WriteKillCounts:
    """Kills this number of writers; several workers do so in parallel, each in its own folder."""
    counts = WriteKillCounts()
    began_s = time.monotonic()

    async def run_worker(worker: int, folder: Path) -> None:
        rng = random.Random(seed * 1000 + worker)
        folder.mkdir()
        for number in range(worker, kills, CONCURRENT_WRITERS):
            is_mid_write = number // CONCURRENT_WRITERS % 2 == 0
            await kill_writer(folder, rng, is_mid_write, counts)

    with tempfile.TemporaryDirectory(prefix="plankroute-kills-") as top:
        async with asyncio.TaskGroup() as workers:
            for worker in range(CONCURRENT_WRITERS):
                workers.create_task(run_worker(worker, Path(top) / str(worker)))
    counts.took_s = time.monotonic() - began_s
    return counts


if __name__ == "__main__":
    write_repeatedly(Path(sys.argv[1]))
