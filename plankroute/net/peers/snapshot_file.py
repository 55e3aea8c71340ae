"""The snapshot file of a controller: read at the start, written when the snapshot has changed.

If the file cannot be read, used or written, this is logged and the controller continues without it.
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

# Limit for the wait at the start. If reading takes longer, the snapshot is merged once it is read.
READ_TIMEOUT_S = 0.15
# Operators allow 0.7 s after SIGTERM for the last write and the handover to a peer.
FINISH_TIMEOUT_S = 0.3
PLAIN_FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
CLOCK_SET_BACK = "age unknown: the wall clock was set back after the file was written"

LoadResult = StoredSnapshot | FileProblem | OSError | None


def snapshot_file_name(controller: str) -> str:
    """Returns the name of a controller's snapshot file.

    A controller name that is too long or has characters outside `PLAIN_FILE_NAME` is replaced by
    its CRC-32, so that the file stays in its folder.
    """
    if PLAIN_FILE_NAME.fullmatch(controller):
        return f"{controller}.learned"
    return f"{zlib.crc32(controller.encode()):08x}.learned"


class SnapshotFile:
    """Reads and writes the snapshot file of one controller.

    Attributes:
        path: The file.
        writer: Writes the file in a thread; None before `start_writing`.
        last_requested: Content of the last requested write; None: the next request is carried out
            in any case.
    """

    def __init__(self, folder: Path, controller: str, telemetry: Telemetry, disk: Disk) -> None:
        self.controller = controller
        self.path = folder / snapshot_file_name(controller)
        self.telemetry = telemetry
        self.disk = disk
        self.writer: FileWriter | None = None
        self.last_requested: object = None

    # Reading

    async def load(self, on_snapshot: Callable[[SnapshotReceived], None]) -> None:
        """Reads the file; returns after `READ_TIMEOUT_S` at the latest.

        Args:
            on_snapshot: Called with the snapshot in the file, possibly after the timeout.
        """
        loop = asyncio.get_running_loop()
        loaded: asyncio.Future[LoadResult] = loop.create_future()

        def on_loaded(future: asyncio.Future[LoadResult]) -> None:
            if not future.cancelled():
                self.handle_result(future.result(), on_snapshot)

        def set_result(result: LoadResult) -> None:
            if not loaded.done():
                loaded.set_result(result)

        def read_in_thread() -> None:
            result = self.read()
            with suppress(RuntimeError):  # the event loop may be closed by now
                loop.call_soon_threadsafe(set_result, result)

        loaded.add_done_callback(on_loaded)
        # A daemon thread: if the disk hangs, the process would wait at its end for a pool's thread.
        threading.Thread(target=read_in_thread, daemon=True).start()
        await asyncio.wait([loaded], timeout=READ_TIMEOUT_S)

    def read(self) -> LoadResult:
        """Reads the file; called in a thread.

        A file of another controller or another version is renamed, so that it is not overwritten.

        Returns:
            The snapshot; a `FileProblem` if the file cannot be used; the error if it cannot be
            read or renamed; None if there is no file.
        """
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

    def handle_result(
        self, result: LoadResult, on_snapshot: Callable[[SnapshotReceived], None]
    ) -> None:
        """Passes on the snapshot, or logs why it cannot be used; a missing file is not logged."""
        match result:
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
                self.reject("unusable", result.value, aside=result in PRESERVED)
            case OSError():
                self.reject("unreadable", str(result))

    def reject(self, problem: str, reason: str, **details: bool) -> None:
        """Counts and logs a file that the controller has to start without.

        Args:
            problem: The last part of the log event's and the counter's name.
            reason: Why the file is not used.
            details: Further log fields.
        """
        self.telemetry.count(f"warm_start.dropped.file_{problem}")
        self.telemetry.log.event(
            "warning", f"warm_start_file_{problem}", why=reason, file=str(self.path), **details
        )

    # Writing

    def start_writing(self) -> None:
        """Starts the thread that writes the file."""
        loop = asyncio.get_running_loop()

        def on_done(size: int, error: OSError | None) -> None:
            with suppress(RuntimeError):  # the event loop may be closed by now
                loop.call_soon_threadsafe(self.report_write, size, error)

        self.writer = FileWriter(self.disk, self.path, on_done)

    async def write_periodically(
        self, interval_s: float, current_snapshot: Callable[[], Snapshot]
    ) -> None:
        """Requests a write of the current snapshot after each interval, until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            self.write(current_snapshot)

    def write(self, current_snapshot: Callable[[], Snapshot]) -> None:
        """Requests a write of the current snapshot, if it has changed since the last request.

        Only the list revision, the withdrawn hosts and each host's name, ejection and attempts are
        compared. An empty snapshot is not written.
        """
        assert self.writer
        began_us = monotonic_us()
        snapshot = current_snapshot()
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
        """Counts a finished write; called in the event loop.

        The first failure, for instance of a full or missing disk, is logged. The next write request
        is a retry, whether or not the snapshot has changed.
        """
        if error is None:
            self.telemetry.count("warm_start.files_written")
            self.telemetry.counts["warm_start.file_bytes"] = size
            return
        self.last_requested = None
        self.telemetry.count("warm_start.dropped.file_not_written")
        self.telemetry.log_once("warm_start_file_not_written", why=str(error), file=str(self.path))

    def write_last(self, current_snapshot: Callable[[], Snapshot]) -> None:
        """Requests a last write, even without a change; does nothing if there is no writer."""
        if self.writer:
            self.last_requested = None
            self.write(current_snapshot)

    async def finish(self) -> bool:
        """Waits for the last write, for at most `FINISH_TIMEOUT_S`.

        Returns:
            Whether the write ended in time, with or without an error; False if there is no writer.
        """
        if self.writer is None:
            return False
        return await asyncio.to_thread(self.writer.finish, FINISH_TIMEOUT_S)


def unix_ms() -> int:
    """Returns the wall clock's time as Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
