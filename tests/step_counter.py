"""Counts the steps of Python code, so that a test can bound the work of a call without measuring time."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType
from typing import Any


class StepCounter:
    """The number of bytecode instructions that a block has executed, in all functions that it called.

    It is the same in each run, and it grows with the number of servers that a loop visits.
    """

    def __init__(self) -> None:
        self.steps = 0

    def on_event(self, frame: FrameType, event: str, argument: Any) -> Any:
        """Handles an event of the interpreter's tracing."""
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        self.steps += event == "opcode"
        return self.on_event


@contextmanager
def count_steps() -> Iterator[StepCounter]:
    """Counts the steps of the block."""
    counter, previous = StepCounter(), sys.gettrace()
    sys.settrace(counter.on_event)
    try:
        yield counter
    finally:
        sys.settrace(previous)
