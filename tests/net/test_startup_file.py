"""Reading a file before the event loop runs: pipes, limits, signals during the read."""

import os
import signal
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from plankroute.net.process.startup_file import read_startup_file


class InterruptedBySignalError(Exception):
    """Raised by the handler under test."""


@pytest.fixture
def pipe(tmp_path: Path) -> Path:
    """A named pipe that is not open at either end."""
    path = tmp_path / "pipe"
    os.mkfifo(path)
    return path


@pytest.fixture
def raising_handler() -> Iterator[None]:
    """Installs a handler of SIGUSR2 that raises `InterruptedBySignalError`."""

    def interrupt(*_: object) -> None:
        raise InterruptedBySignalError

    previous = signal.signal(signal.SIGUSR2, interrupt)
    yield
    signal.signal(signal.SIGUSR2, previous)


def write_in_two_parts(path: Path, first: bytes, second: bytes) -> threading.Thread:
    """Writes to a pipe in a thread, which blocks until the pipe has a reader."""

    def write() -> None:
        with open(path, "wb", buffering=0) as file:
            file.write(first)
            file.write(second)

    thread = threading.Thread(target=write)
    thread.start()
    return thread


@pytest.mark.parametrize(
    ("max_bytes", "expected"), [(None, b"abcdef"), (4, b"abcd"), (9, b"abcdef")]
)
def test_a_regular_file_is_read_up_to_the_limit(
    tmp_path: Path, max_bytes: int | None, expected: bytes
) -> None:
    (path := tmp_path / "file").write_bytes(b"abcdef")
    assert read_startup_file(path, max_bytes) == expected


@pytest.mark.parametrize(
    ("max_bytes", "expected"), [(None, b"abcdef"), (4, b"abcd"), (9, b"abcdef")]
)
def test_a_pipe_is_read_up_to_the_limit_once_data_arrives(
    pipe: Path, max_bytes: int | None, expected: bytes
) -> None:
    writer = write_in_two_parts(pipe, b"abc", b"def")
    assert read_startup_file(pipe, max_bytes) == expected
    writer.join()


def test_a_missing_file_or_a_folder_raises_an_error_with_its_path(
    tmp_path: Path,
) -> None:
    with pytest.raises(FileNotFoundError, match="missing"):
        read_startup_file(tmp_path / "missing")
    with pytest.raises(IsADirectoryError, match=tmp_path.name):
        read_startup_file(tmp_path)


def test_a_signal_interrupts_the_read_of_a_pipe_without_data(
    pipe: Path, raising_handler: None
) -> None:
    """Guards against a start that hangs on a signal received just before the blocking call.

    A thread sends the signal, so that it arrives at varying moments.
    """
    for _ in range(50):
        sender = threading.Thread(target=os.kill, args=(os.getpid(), signal.SIGUSR2))
        with pytest.raises(InterruptedBySignalError):
            sender.start()
            read_startup_file(pipe)
        sender.join()


def test_the_previous_wakeup_descriptor_is_restored(pipe: Path, raising_handler: None) -> None:
    reader, writer = os.pipe2(os.O_NONBLOCK)
    previous = signal.set_wakeup_fd(writer)
    try:
        with pytest.raises(InterruptedBySignalError):
            threading.Timer(0.0, os.kill, (os.getpid(), signal.SIGUSR2)).start()
            read_startup_file(pipe)
        assert signal.set_wakeup_fd(writer) == writer
    finally:
        signal.set_wakeup_fd(previous)
        os.close(reader)
        os.close(writer)
