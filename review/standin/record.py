"""The record of one run: what was sent, answered and run, with seconds since the start."""

import time
from pathlib import Path


class Record:
    """Writes `record.txt`, one line an event.

    Attributes:
        path: The file.
    """

    def __init__(self, path: Path) -> None:
        """Opens the file and starts the clock."""
        self.path = path
        self.started_at = time.monotonic()
        self._file = path.open("w", buffering=1)

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Adds a line to the file."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Adds a line to the file and prints it."""
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)
