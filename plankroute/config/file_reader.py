"""Reading of configuration files: a blocking reader, and the type of its replacements."""

from pathlib import Path
from typing import Protocol


class FileReader(Protocol):
    """A function that reads a file."""

    def __call__(self, path: str | Path, max_bytes: int | None = None, /) -> bytes:
        """Returns the content of a file, or its first `max_bytes` bytes.

        Raises:
            OSError: The file can't be read.
        """
        ...


def read_file(path: str | Path, max_bytes: int | None = None, /) -> bytes:
    """Returns the content of a file, or its first `max_bytes` bytes, with a blocking call.

    Raises:
        OSError: The file can't be read.
    """
    with open(path, "rb") as file:
        return file.read() if max_bytes is None else file.read(max_bytes)
