"""Kills a process while it writes its snapshot file, and checks what a start would find.

Every second kill is sent while the process is seen within a write; the others at drawn moments.
`python -m plankroute.testbed.write_kills FOLDER` is the process that writes.
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
WRITING_PERIOD_S = 20.0  # a writer that nobody kills ends by itself
FIRST_WRITE_TIMEOUT_S = 20.0
MID_WRITE_TIMEOUT_S = 10.0  # to see the writer within a write: one takes milliseconds
POLL_INTERVAL_S = 0.002
MID_WRITE_POLL_INTERVAL_S = 0.0005
MAX_KILL_DELAY_S = 0.012  # a kill is drawn within the time of some writes
CONCURRENT_WRITERS = 8


def numbered_snapshot(number: int) -> Snapshot:
    """A snapshot in which each host says its number: a mixture of two would show."""
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
    """Writes snapshot after snapshot, with the code that a controller writes with."""
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
    """The number of the snapshot in a file; 0 without one."""
    data = Disk().read(path, MAX_FILE_BYTES)
    stored = decode_file(data, CONTROLLER, 0) if data else None
    return stored.snapshot.list_revision if isinstance(stored, StoredSnapshot) else 0


class WriteKillCounts(msgspec.Struct):
    """What the starts after all kills would have found.

    Attributes:
        kills: Kills sent.
        mixtures: Files that mix two snapshots.
        failed_starts: Files that can't be used.
        missing_files: Starts without a file.
        mid_write: Kills that left a temporary file, half written or not yet renamed.
        took_s: Seconds for all.
    """

    kills: int = 0
    mixtures: int = 0
    failed_starts: int = 0
    missing_files: int = 0
    mid_write: int = 0
    took_s: float = 0.0

    def summary(self) -> str:
        """One line for people."""
        return (
            f"{self.kills} kills in {self.took_s:.0f} s, {self.mid_write} of them in the middle of "
            f"a write; {self.mixtures} mixtures, {self.failed_starts} failed starts, "
            f"{self.missing_files} without a file"
        )


async def kill_writer(
    folder: Path, rng: random.Random, is_mid_write: bool, counts: WriteKillCounts
) -> None:
    """Starts a writer, kills it, and checks the file; the next writer goes on from that file.

    Args:
        folder: Where the writer writes.
        rng: Draws the moment of the kill.
        is_mid_write: Whether the kill waits until the writer is seen within a write.
        counts: What is seen is added there.
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
            await stop_mid_write(process, temporary_file(path))
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
    counts.kills += 1
    if temporary_file(path).exists():
        counts.mid_write += 1
    check_file(path, counts)


async def stop_mid_write(process: asyncio.subprocess.Process, temporary: Path) -> None:
    """Stops a writer whose temporary file is there, so that a kill is sure to meet its write.

    A writer that had finished the write by the time it stood still goes on, and is tried again.
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
    """Whether all threads of a child stand still; does not reap a child that has ended."""
    status = os.waitid(os.P_PID, pid, os.WSTOPPED | os.WNOHANG)
    return status is not None


def temporary_file(path: Path) -> Path:
    """Where a write puts the new content before it is renamed."""
    return path.with_name(path.name + TEMPORARY_SUFFIX)


def inode_of(path: Path) -> int:
    """Which file it is: each write makes another one; 0 without one."""
    try:
        return path.stat().st_ino
    except FileNotFoundError:
        return 0


def check_file(path: Path, counts: WriteKillCounts) -> None:
    """Counts what a start would find: it must be all of one snapshot."""
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
    """Kills writers, several rows of them side by side, each row in a folder of its own."""
    counts = WriteKillCounts()
    began_s = time.monotonic()

    async def run_row(row: int, folder: Path) -> None:
        rng = random.Random(seed * 1000 + row)
        folder.mkdir()
        for number in range(row, kills, CONCURRENT_WRITERS):
            is_mid_write = number // CONCURRENT_WRITERS % 2 == 0
            await kill_writer(folder, rng, is_mid_write, counts)

    with tempfile.TemporaryDirectory(prefix="plankroute-kills-") as top:
        async with asyncio.TaskGroup() as rows:
            for row in range(CONCURRENT_WRITERS):
                rows.create_task(run_row(row, Path(top) / str(row)))
    counts.took_s = time.monotonic() - began_s
    return counts


if __name__ == "__main__":
    write_repeatedly(Path(sys.argv[1]))
