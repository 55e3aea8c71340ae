"""Reads a file before the event loop runs without missing a signal that arrives meanwhile.

A handler installed with :func:`signal.signal` runs between two instructions of the interpreter. A
signal that arrives after the interpreter's last check and before a blocking system call is only
recorded: the call is not interrupted, and a process that reads a pipe without a writer never ends.
This module therefore blocks in ``poll`` on both the file and the interpreter's wakeup descriptor.
The C-level handler writes to that descriptor, so that ``poll`` returns whenever a signal arrives.
"""

import os
import select
import signal
import stat
from collections.abc import Iterator
from contextlib import contextmanager
from io import FileIO
from pathlib import Path

CHUNK_BYTES = 1 << 16


def read_startup_file(path: str | Path, max_bytes: int | None = None) -> bytes:
    """Reads a file to its end, or its first ``max_bytes`` bytes; only for the main thread.

    Raises:
        OSError: The file cannot be opened or read.
        BaseException: Any exception that a signal handler raises while this function waits.
    """
    with FileIO(path, "rb", opener=_open_nonblocking) as file:
        if stat.S_ISREG(os.fstat(file.fileno()).st_mode):
            return file.read() if max_bytes is None else file.read(max_bytes) or b""
        with _signal_wakeup() as wakeup:
            return _read_when_ready(file, wakeup, max_bytes)


def _open_nonblocking(path: str, flags: int) -> int:
    """Opens a file without blocking on a pipe whose other end is not open."""
    return os.open(path, flags | os.O_NONBLOCK)


@contextmanager
def _signal_wakeup() -> Iterator[int]:
    """Yields a descriptor that becomes readable with each signal that has a handler."""
    reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
    previous = signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
    try:
        yield reader
    finally:
        signal.set_wakeup_fd(previous)
        os.close(writer)
        os.close(reader)


def _read_when_ready(file: FileIO, wakeup: int, max_bytes: int | None) -> bytes:
    poller = select.poll()
    poller.register(file, select.POLLIN)
    poller.register(wakeup, select.POLLIN)
    chunks: list[bytes] = []
    remaining = max_bytes
    while remaining is None or remaining > 0:
        ready = {descriptor for descriptor, _ in poller.poll()}
        if wakeup in ready:
            os.read(wakeup, CHUNK_BYTES)  # the Python handler has already run and raised nothing
        if file.fileno() not in ready:
            continue
        chunk = file.read(CHUNK_BYTES if remaining is None else min(remaining, CHUNK_BYTES))
        if chunk is None:
            continue  # another reader has consumed the data
        if not chunk:
            break
        chunks.append(chunk)
        if remaining is not None:
            remaining -= len(chunk)
    return b"".join(chunks)
