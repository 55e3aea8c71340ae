"""An atomic file store: a file is written beside the old one, synced and renamed, in a thread.

Knows nothing of what it stores. A write that fails is reported; the next one is another attempt.
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
    """The file operations in use; tests replace it by one that loses what was not synced."""

    def write(self, path: Path, data: bytes) -> None:
        """Writes a file and syncs it; follows no symbolic link.

        Raises:
            OSError: The bytes may not be on the disk.
        """
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC
        file = os.open(path, flags, FILE_MODE)
        try:
            rest = memoryview(data)
            while rest:
                written = os.write(file, rest)
                rest = rest[written:]
            os.fsync(file)
        finally:
            os.close(file)

    def rename(self, path: Path, target: Path) -> None:
        """Renames a file and syncs its folder.

        Raises:
            OSError: The new name may not be on the disk.
        """
        os.rename(path, target)
        folder = os.open(target.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def read(self, path: Path, max_bytes: int) -> bytes | None:
        """Reads at most `max_bytes` and one more; None: there is no such file.

        Guards against a named pipe in the file's place, which would block the start for good.

        Raises:
            OSError: It can't be read, or is no regular file.
        """
        flags = os.O_RDONLY | os.O_NONBLOCK | os.O_NOFOLLOW | os.O_CLOEXEC
        try:
            file = os.open(path, flags)
        except FileNotFoundError:
            return None
        try:
            if not stat.S_ISREG(os.fstat(file).st_mode):
                raise OSError(f"{path.name} is no regular file")
            return read_up_to(file, max_bytes + 1)
        finally:
            os.close(file)


def read_up_to(file: int, max_bytes: int) -> bytes:
    """Reads a file descriptor to its end, or that many bytes of it."""
    pieces: list[bytes] = []
    left = max_bytes
    while left:
        piece = os.read(file, left)
        if not piece:
            break
        pieces.append(piece)
        left -= len(piece)
    return b"".join(pieces)


def replace_file(disk: Disk, path: Path, data: bytes) -> None:
    """Replaces a file: a reader meets all of the old content or all of the new, never a mixture.

    Raises:
        OSError: The old content is still there.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    disk.write(temporary, data)
    disk.rename(temporary, path)


class FileWriter:
    """Writes the newest content it was given, in a thread of its own; the event loop never waits.

    Content that is replaced before its turn is skipped. `on_done` is called in the thread, with the
    bytes written or with the error.
    """

    def __init__(self, disk: Disk, path: Path, on_done: WriteDone) -> None:
        self.disk = disk
        self.path = path
        self.on_done = on_done
        self.encode: Callable[[], bytes] = bytes
        self.requested = threading.Event()
        self.idle = threading.Event()
        self.idle.set()
        self.is_ending = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def write(self, encode: Callable[[], bytes]) -> None:
        """Requests a write; `encode` runs in the thread: what it uses must not change any more."""
        self.encode = encode
        self.idle.clear()
        self.requested.set()

    def run(self) -> None:
        """The thread's work."""
        while True:
            self.requested.wait()
            self.requested.clear()
            if self.is_ending:
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
        """Waits for the last write, and ends the thread; False: the write took longer than that."""
        finished = self.idle.wait(timeout_s)
        self.is_ending = True
        self.requested.set()
        return finished
