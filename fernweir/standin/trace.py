"""Writes the trace: one JSON record a line, with the time in milliseconds of a clock all processes share."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import IO


class Trace:
    """`clock` gives seconds; on one machine the loop's monotonic clock is the same in all processes."""

    def __init__(self, file: IO[str] | None, clock: Callable[[], float]) -> None:
        self._file, self._clock = file, clock
        self._next = 0
        self.records: list[dict[str, object]] | None = None

    def keep(self) -> list[dict[str, object]]:
        """Keeps records in memory too, for tests."""
        self.records = []
        return self.records

    def number(self) -> int:
        """A fresh number for a request or a set-up."""
        self._next += 1
        return self._next

    def write(self, kind: str, **fields: object) -> None:
        record: dict[str, object] = {"t": round(self._clock() * 1000.0, 3), "kind": kind, **fields}
        if self.records is not None:
            self.records.append(record)
        if self._file is not None:
            self._file.write(json.dumps(record, separators=(",", ":")) + "\n")

    def close(self) -> None:
        """What comes after the end of the day is not written."""
        self._file = None
