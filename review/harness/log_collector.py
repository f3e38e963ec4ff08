"""The platform's log collector: a process that reads a node's standard error and writes it to a file."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
from contextlib import suppress

from harness.record import Record


class LogCollector:
    """A process of its own, so that it can be stopped and continued.

    Args:
        record: The record of the run.

    Attributes:
        write_end: The pipe that becomes the node's standard error.
    """

    def __init__(self, record: Record) -> None:
        self.write_end = -1
        self._record = record
        self._file = tempfile.TemporaryFile()  # noqa: SIM115 - closed in `stop`
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        read_end, self.write_end = os.pipe()
        self._process = await asyncio.create_subprocess_exec("cat", stdin=read_end, stdout=self._file)
        os.close(read_end)

    def stand_still(self) -> None:
        """Stops reading."""
        self._send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Reads again."""
        self._send_signal(signal.SIGCONT)

    def count_lines(self) -> int:
        """Returns how many lines were collected so far."""
        self._file.seek(0)
        return self._file.read().count(b"\n")

    async def stop(self) -> None:
        """Ends the process after the node has ended."""
        if self._process is None:
            return
        self.go_on()
        os.close(self.write_end)
        await self._process.wait()
        self._record.write("collector", f"{self.count_lines()} lines in all")
        self._file.close()

    def _send_signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._record.write("collector", f"{number.name} to the log collector")
        with suppress(ProcessLookupError):
            self._process.send_signal(number)
