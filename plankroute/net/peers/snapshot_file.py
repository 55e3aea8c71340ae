"""The file in which a controller keeps its snapshot: read at the start, written when it changes.

A file that can't be read, used or written is reported, and the controller goes on without it.
"""

import asyncio
import re
import threading
import time
import zlib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from plankroute.net.process.clock import monotonic_us
from plankroute.net.process.file_store import SET_ASIDE_SUFFIX, Disk, FileWriter
from plankroute.net.process.telemetry import Telemetry
from plankroute.warm_start.codec import (
    MAX_FILE_BYTES,
    PRESERVED,
    FileProblem,
    StoredSnapshot,
    decode_file,
    encode_file,
)
from plankroute.warm_start.core import SnapshotReceived
from plankroute.warm_start.snapshot import Snapshot

# The start waits no longer; a snapshot that is read later is merged when it comes.
READ_TIMEOUT_S = 0.15
# Together with the handover to a peer within the 0.7 s that operators leave after SIGTERM.
FINISH_TIMEOUT_S = 0.3
PLAIN_FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
CLOCK_SET_BACK = "the wall clock was set back since it was written: its age is unknown"

Loaded = StoredSnapshot | FileProblem | OSError | None


def snapshot_file_name(controller: str) -> str:
    """A controller's file in the folder; a name unfit for a file is replaced by its CRC-32."""
    if PLAIN_FILE_NAME.fullmatch(controller):
        return f"{controller}.learned"
    return f"{zlib.crc32(controller.encode()):08x}.learned"


class SnapshotFile:
    """Reads and writes the snapshot file of one controller."""

    def __init__(self, folder: Path, controller: str, telemetry: Telemetry, disk: Disk) -> None:
        self.controller = controller
        self.path = folder / snapshot_file_name(controller)
        self.telemetry = telemetry
        self.disk = disk
        self.writer: FileWriter | None = None
        self.last_requested: object = None  # what was to be written last; None: write in any case

    # Reading

    async def load(self, on_snapshot: Callable[[SnapshotReceived], None]) -> None:
        """Reads the file; returns after `READ_TIMEOUT_S` at the latest.

        Args:
            on_snapshot: Called with what the file holds, be it after the timeout.
        """
        loop = asyncio.get_running_loop()
        loaded: asyncio.Future[Loaded] = loop.create_future()

        def on_loaded(future: asyncio.Future[Loaded]) -> None:
            if not future.cancelled():
                self.take(future.result(), on_snapshot)

        def set_result(result: Loaded) -> None:
            if not loaded.done():
                loaded.set_result(result)

        def read_in_thread() -> None:
            result = self.read()
            with suppress(RuntimeError):  # the loop may have ended meanwhile
                loop.call_soon_threadsafe(set_result, result)

        loaded.add_done_callback(on_loaded)
        # Guards against a disk that hangs: the end of the process would wait for a pool's thread.
        threading.Thread(target=read_in_thread, daemon=True).start()
        await asyncio.wait([loaded], timeout=READ_TIMEOUT_S)

    def read(self) -> Loaded:
        """Reads the file, in a thread; sets aside what is another's, or of another version."""
        try:
            data = self.disk.read(self.path, MAX_FILE_BYTES)
            if data is None:
                return None
            stored = decode_file(data, self.controller, unix_ms())
            if isinstance(stored, FileProblem) and stored in PRESERVED:
                set_aside = self.path.with_name(self.path.name + SET_ASIDE_SUFFIX)
                self.disk.rename(self.path, set_aside)
            return stored
        except OSError as error:
            return error

    def take(self, loaded: Loaded, on_snapshot: Callable[[SnapshotReceived], None]) -> None:
        """Passes a snapshot on, and reports what was read."""
        match loaded:
            case StoredSnapshot(_, None):
                self.reject("unusable", CLOCK_SET_BACK)
            case StoredSnapshot(snapshot, int(age_us)):
                self.telemetry.log.event(
                    "info",
                    "warm_start_file_read",
                    hosts=len(snapshot.hosts),
                    age_s=round(age_us / 1e6, 1),
                )
                on_snapshot(SnapshotReceived("file", snapshot, age_us))
            case FileProblem():
                self.reject("unusable", loaded.value, aside=loaded in PRESERVED)
            case OSError():
                self.reject("unreadable", str(loaded))

    def reject(self, problem: str, why: str, **details: bool) -> None:
        """Counts and logs a file without which the controller starts."""
        self.telemetry.count(f"warm_start.dropped.file_{problem}")
        self.telemetry.log.event(
            "warning", f"warm_start_file_{problem}", why=why, file=str(self.path), **details
        )

    # Writing

    def start_writing(self) -> None:
        """Starts the thread that writes."""
        loop = asyncio.get_running_loop()

        def on_done(size: int, error: OSError | None) -> None:
            with suppress(RuntimeError):  # the loop may have ended meanwhile
                loop.call_soon_threadsafe(self.report_write, size, error)

        self.writer = FileWriter(self.disk, self.path, on_done)

    async def write_periodically(self, interval_s: float, current: Callable[[], Snapshot]) -> None:
        """Writes the current snapshot again and again, until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            self.write(current)

    def write(self, current: Callable[[], Snapshot]) -> None:
        """Requests a write of the current snapshot, if it has changed since the last one."""
        assert self.writer
        began_us = monotonic_us()
        snapshot = current()
        content = (
            snapshot.list_revision,
            snapshot.withdrawn,
            [(host.uid, host.ejected, host.attempts) for host in snapshot.hosts],
        )
        is_empty = not snapshot.hosts and not snapshot.withdrawn
        if is_empty or content == self.last_requested:
            return
        self.last_requested = content
        written_ms = unix_ms()
        self.writer.write(lambda: encode_file(snapshot, written_ms))
        self.telemetry.counts["warm_start.snapshot_us"] = monotonic_us() - began_us

    def report_write(self, size: int, error: OSError | None) -> None:
        """Counts writes; a disk that is full or gone is logged once, the next change is a retry."""
        if error is None:
            self.telemetry.count("warm_start.files_written")
            self.telemetry.counts["warm_start.file_bytes"] = size
            return
        self.last_requested = None
        self.telemetry.count("warm_start.dropped.file_not_written")
        self.telemetry.log_once("warm_start_file_not_written", why=str(error), file=str(self.path))

    def write_last(self, current: Callable[[], Snapshot]) -> None:
        """Requests the last write, be there a change or not; without a writer there is none."""
        if self.writer:
            self.last_requested = None
            self.write(current)

    async def finish(self) -> bool:
        """Waits for the last write, at most `FINISH_TIMEOUT_S`; False: nothing has been written."""
        if self.writer is None:
            return False
        return await asyncio.to_thread(self.writer.finish, FINISH_TIMEOUT_S)


def unix_ms() -> int:
    """The wall clock's time, in milliseconds."""
    return time.time_ns() // 1_000_000
