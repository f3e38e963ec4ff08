"""The record of a run: what was sent, answered and run, with the time since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes one line for each event to `record.txt`.

    Args:
        path: The file, which is replaced.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def write(self, party: str, text: str) -> None:
        """Adds a line."""
        self._file.write(f"{self.now():9.3f} {party:<12} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
