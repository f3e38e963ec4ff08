"""The log of a node: one line an event on standard error, and no more lines a second than can be read."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from typing import TextIO

_MAX_LINES_PER_SECOND = 50


class NodeLog:
    """The methods of a structured logger that the front uses, without its packages."""

    def __init__(
        self, name: str, stream: TextIO | None = None, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self._name, self._stream, self._wall_clock = name, stream or sys.stderr, wall_clock
        self._second, self._lines_this_second, self._lines_left_out = 0, 0, 0

    def info(self, event: str, **fields: object) -> None:
        self._write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        self._write("warning", event, fields)

    def error(self, event: str, **fields: object) -> None:
        self._write("error", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        now = self._wall_clock()
        if int(now) != self._second:
            if self._lines_left_out:
                fields = {**fields, "lines_left_out": self._lines_left_out}
            self._second, self._lines_this_second, self._lines_left_out = int(now), 0, 0
        if self._lines_this_second >= _MAX_LINES_PER_SECOND and level != "error":
            self._lines_left_out += 1
            return
        self._lines_this_second += 1
        line = {"at": round(now, 3), "node": self._name, "level": level, "event": event, **fields}
        with suppress(OSError):  # whoever read it is gone, or its disk is full: no request is to pay for that
            print(json.dumps(line, default=str), file=self._stream, flush=True)
