"""The log of a node: one JSON object per line on standard error, with a limit on lines per second."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from typing import TextIO

_MAX_LINES_PER_SECOND = 50


class NodeLog:
    """Implements the methods of a structured logger that the front uses, without third-party packages.

    After 50 lines within a second only errors are written. The next line contains the number of omitted lines
    in `lines_left_out`.

    Args:
        node_name: The node name that every line contains.
        stream: The stream to write to; standard error by default.
        wall_clock: Returns the Unix time in seconds.
    """

    def __init__(
        self, node_name: str, stream: TextIO | None = None, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self._node_name = node_name
        self._stream = stream or sys.stderr
        self._wall_clock = wall_clock
        self._current_second = 0
        self._lines_this_second = 0
        self._lines_left_out = 0

    def info(self, event: str, **fields: object) -> None:
        """Writes a line about normal operation."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Writes a line about an unexpected condition that the node can handle."""
        self._write("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Writes a line about a fault, regardless of the limit."""
        self._write("error", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        now_s = self._wall_clock()
        if int(now_s) != self._current_second:
            if self._lines_left_out:
                fields = {**fields, "lines_left_out": self._lines_left_out}
            self._begin_second(int(now_s))
        if self._lines_this_second >= _MAX_LINES_PER_SECOND and level != "error":
            self._lines_left_out += 1
            return
        self._lines_this_second += 1
        line = {"at": round(now_s, 3), "node": self._node_name, "level": level, "event": event, **fields}
        # A failed write, such as to a closed pipe or a full disk, must not fail any request.
        with suppress(OSError):
            print(json.dumps(line, default=str), file=self._stream, flush=True)

    def _begin_second(self, second: int) -> None:
        self._current_second = second
        self._lines_this_second = 0
        self._lines_left_out = 0
