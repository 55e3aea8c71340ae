"""How configuration files are read: the plain way, and the type of a replacement for it."""

from pathlib import Path
from typing import Protocol


class FileReader(Protocol):
    """A function that reads a file."""

    def __call__(self, path: str | Path, max_bytes: int | None = None, /) -> bytes:
        """The bytes of a file, or its first `max_bytes`.

        Raises:
            OSError: It can't be read.
        """
        ...


def read_file(path: str | Path, max_bytes: int | None = None, /) -> bytes:
    """Reads a file with a plain blocking call.

    Raises:
        OSError: It can't be read.
    """
    with open(path, "rb") as file:
        return file.read() if max_bytes is None else file.read(max_bytes)
