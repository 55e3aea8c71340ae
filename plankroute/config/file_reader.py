"""How configuration files are read: the plain way, and the type of a replacement for it."""

from pathlib import Path
from typing import Protocol


class FileReader(Protocol):
    """Returns the bytes of a file, or its first ``max_bytes``. Raises OSError."""

    def __call__(self, path: str | Path, max_bytes: int | None = None, /) -> bytes: ...


def read_file(path: str | Path, max_bytes: int | None = None, /) -> bytes:
    """Reads a file with a plain blocking call."""
    with open(path, "rb") as file:
        return file.read() if max_bytes is None else file.read(max_bytes)
