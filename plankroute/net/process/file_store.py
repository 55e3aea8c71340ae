"""One file that is always a whole one: written beside and renamed, all synced, in a thread of its own.

Knows nothing of what it keeps; whatever fails is counted and said once, and the steward goes on."""

import os
import stat
import threading
from collections.abc import Callable
from pathlib import Path

BESIDE, ASIDE = ".new", ".aside"
MODE = 0o600


class Disk:
    """What is asked of the system; tests put one in its place that loses what was not synced."""

    def write(self, path: Path, data: bytes) -> None:
        """Raises OSError. The bytes are on the disk when it returns; follows no link."""
        file = os.open(
            path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC, MODE
        )
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(file, rest) :]
            os.fsync(file)
        finally:
            os.close(file)

    def rename(self, path: Path, to: Path) -> None:
        """Raises OSError. The name is on the disk when it returns."""
        os.rename(path, to)
        folder = os.open(to.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def read(self, path: Path, most: int) -> bytes | None:
        """At most so many bytes and one more; None: there is no such file. Raises OSError.

        Guards against a pipe in its place, which would hold up the start for good."""
        try:
            file = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_NOFOLLOW | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        try:
            if not stat.S_ISREG(os.fstat(file).st_mode):
                raise OSError(f"{path.name} is no file")
            pieces, left = [], most + 1
            while left and (piece := os.read(file, left)):
                pieces.append(piece)
                left -= len(piece)
            return b"".join(pieces)
        finally:
            os.close(file)


def replace(disk: Disk, path: Path, data: bytes) -> None:
    """Raises OSError. Whoever reads it meets what was there before, or all of this; never a mixture."""
    beside = path.with_name(path.name + BESIDE)
    disk.write(beside, data)
    disk.rename(beside, path)


class Saver:
    """Writes the newest of what it is given; what came meanwhile is passed over. The loop never waits for it.

    `done` is called in the thread, with the bytes written, or with the error."""

    def __init__(self, disk: Disk, path: Path, done: Callable[[int, OSError | None], None]) -> None:
        self.disk, self.path, self.done = disk, path, done
        self.make: Callable[[], bytes] = bytes
        self.wanted, self.idle = threading.Event(), threading.Event()
        self.idle.set()
        self.is_ending = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def want(self, make: Callable[[], bytes]) -> None:
        """`make` is called in the thread: what it uses must not change any more."""
        self.make = make
        self.idle.clear()
        self.wanted.set()

    def run(self) -> None:
        while True:
            self.wanted.wait()
            self.wanted.clear()
            if self.is_ending:
                return
            data = self.make()
            try:
                replace(self.disk, self.path, data)
                self.done(len(data), None)
            except OSError as error:
                self.done(0, error)
            if not self.wanted.is_set():
                self.idle.set()

    def finish(self, seconds: float) -> bool:
        """Waits for what is being written, no longer than that; False: it did not come to its end."""
        finished = self.idle.wait(seconds)
        self.is_ending = True
        self.wanted.set()
        return finished
