"""Atomic replacement of files from a background thread.

New content is written to a temporary file in the same folder, synced and renamed over the old
file. The content is opaque bytes. A write that fails is reported and not retried; the next
requested write starts from scratch.
"""

import os
import stat
import threading
from collections.abc import Callable
from pathlib import Path

TEMPORARY_SUFFIX = ".new"
SET_ASIDE_SUFFIX = ".aside"
FILE_MODE = 0o600

WriteDone = Callable[[int, OSError | None], None]


class Disk:
    """File operations; tests substitute a disk that loses data that was not synced."""

    def write(self, path: Path, data: bytes) -> None:
        """Writes and syncs a file; refuses to follow a symbolic link.

        Raises:
            OSError: The data may not have reached the disk.
        """
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC
        file = os.open(path, flags, FILE_MODE)
        try:
            unwritten = memoryview(data)
            while unwritten:
                written = os.write(file, unwritten)
                unwritten = unwritten[written:]
            os.fsync(file)
        finally:
            os.close(file)

    def rename(self, path: Path, target: Path) -> None:
        """Renames a file and syncs its folder.

        Raises:
            OSError: The rename may not have reached the disk.
        """
        os.rename(path, target)
        folder = os.open(target.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def read(self, path: Path, max_bytes: int) -> bytes | None:
        """Reads a regular file.

        Opens without blocking and rejects other file types: a named pipe in the file's place would
        block the start of the controller forever.

        Returns:
            The first `max_bytes` + 1 bytes, so that a caller can detect a file that is too large;
            None if the file does not exist.

        Raises:
            OSError: The file can't be read or is not a regular file.
        """
        flags = os.O_RDONLY | os.O_NONBLOCK | os.O_NOFOLLOW | os.O_CLOEXEC
        try:
            file = os.open(path, flags)
        except FileNotFoundError:
            return None
        try:
            if not stat.S_ISREG(os.fstat(file).st_mode):
                raise OSError(f"{path.name} is not a regular file")
            return read_up_to(file, max_bytes + 1)
        finally:
            os.close(file)


def read_up_to(file: int, max_bytes: int) -> bytes:
    """Reads a file descriptor up to its end or `max_bytes`, whichever comes first."""
    chunks: list[bytes] = []
    remaining = max_bytes
    while remaining:
        chunk = os.read(file, remaining)
        if not chunk:
            break
        chunks.append(chunk)
        remaining -= len(chunk)
    return b"".join(chunks)


def replace_file(disk: Disk, path: Path, data: bytes) -> None:
    """Replaces a file atomically: a reader sees all of the old content or all of the new content.

    Raises:
        OSError: A step failed. The old content is still in place, unless only the sync of the
            folder after the rename failed.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    disk.write(temporary, data)
    disk.rename(temporary, path)


class FileWriter:
    """Writes a file in a background thread, so that the event loop never blocks on the disk.

    A write that is requested while another one is pending replaces the pending one.

    Args:
        disk: File operations.
        path: The file to replace.
        on_done: Called in the thread after each write, with the number of bytes written and None,
            or with 0 and the error.
    """

    def __init__(self, disk: Disk, path: Path, on_done: WriteDone) -> None:
        self.disk = disk
        self.path = path
        self.on_done = on_done
        self.encode: Callable[[], bytes] = bytes
        self.requested = threading.Event()
        self.idle = threading.Event()
        self.idle.set()
        self.is_stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def write(self, encode: Callable[[], bytes]) -> None:
        """Requests a write of what `encode` returns.

        `encode` runs in the thread, so that the data it reads must not change after this call.
        """
        self.encode = encode
        self.idle.clear()
        self.requested.set()

    def run(self) -> None:
        """Main loop of the thread: performs requested writes until `finish`."""
        while True:
            self.requested.wait()
            self.requested.clear()
            if self.is_stopping:
                return
            data = self.encode()
            try:
                replace_file(self.disk, self.path, data)
                self.on_done(len(data), None)
            except OSError as error:
                self.on_done(0, error)
            if not self.requested.is_set():
                self.idle.set()

    def finish(self, timeout_s: float) -> bool:
        """Waits for pending writes and ends the thread.

        Returns:
            False if the writes were not finished within `timeout_s`.
        """
        finished = self.idle.wait(timeout_s)
        self.is_stopping = True
        self.requested.set()
        return finished
