"""Reading a file before the event loop runs: pipes, limits, and signals that arrive meanwhile."""

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
    """A named pipe that nobody has opened."""
    path = tmp_path / "pipe"
    os.mkfifo(path)
    return path


@pytest.fixture
def raising_handler() -> Iterator[None]:
    """SIGUSR2 raises in the main thread."""

    def interrupt(*_: object) -> None:
        raise InterruptedBySignalError

    previous = signal.signal(signal.SIGUSR2, interrupt)
    yield
    signal.signal(signal.SIGUSR2, previous)


def write_in_two_parts(path: Path, first: bytes, second: bytes) -> threading.Thread:
    """Opens the pipe, once somebody reads it, in a thread of its own."""

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
def test_a_pipe_is_waited_for_and_read_to_its_end(
    pipe: Path, max_bytes: int | None, expected: bytes
) -> None:
    writer = write_in_two_parts(pipe, b"abc", b"def")
    assert read_startup_file(pipe, max_bytes) == expected
    writer.join()


def test_a_file_that_does_not_exist_or_is_a_folder_is_an_error_that_names_it(
    tmp_path: Path,
) -> None:
    with pytest.raises(FileNotFoundError, match="missing"):
        read_startup_file(tmp_path / "missing")
    with pytest.raises(IsADirectoryError, match=tmp_path.name):
        read_startup_file(tmp_path)


def test_a_signal_while_nobody_writes_interrupts_the_read(
    pipe: Path, raising_handler: None
) -> None:
    """The signal is sent by a thread, so that it also arrives just before the system call."""
    for _ in range(50):
        sender = threading.Thread(target=os.kill, args=(os.getpid(), signal.SIGUSR2))
        with pytest.raises(InterruptedBySignalError):
            sender.start()
            read_startup_file(pipe)
        sender.join()


def test_the_wakeup_descriptor_of_before_is_restored(pipe: Path, raising_handler: None) -> None:
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
