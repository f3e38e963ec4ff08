"""One front as a process: started, killed, halted, woken, told to stop; each is written to the trace."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from enum import Enum
from pathlib import Path

from fernweir.http.client import Origin
from fernweir.standin.trace import Trace

_START_S = 60.0
_STOP_S = 30.0


class Life(Enum):
    DOWN = "down"
    STARTING = "starting"
    UP = "up"
    STILL = "still"
    STOPPING = "stopping"


class FrontProcess:
    """`number` is from 1. Orders that don't fit its state are passed over and give False."""

    def __init__(self, number: int, settings: Path, origin: Origin, trace: Trace) -> None:
        self.number, self.name = number, f"front-{number}"
        self.settings, self.origin, self.trace = settings, origin, trace
        self.life = Life.DOWN
        self.log = settings.with_suffix(".log")
        self.exits: list[int] = []  # codes of planned stops
        self.unasked: list[int] = []  # codes of ends that nobody ordered
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        return self._process.pid if self._process is not None else 0

    async def start(self) -> bool:
        """Starts it and waits until it listens. RuntimeError if it does not."""
        if self.life is not Life.DOWN:
            return False
        self.life = Life.STARTING
        with open(self.log, "ab") as log:
            # The pipe ends with this process, and the front with the pipe, however this process ends.
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "fernweir", "serve", "--until-eof", str(self.settings),
                stdin=subprocess.PIPE, stdout=log, stderr=log,
            )  # fmt: skip
        async with asyncio.timeout(_START_S):
            while not await self._listens():
                if self._process.returncode is not None:
                    self.life = Life.DOWN
                    raise RuntimeError(f"{self.name} ended at once: {self.last_words()}")
                await asyncio.sleep(0.02)
        self.life = Life.UP
        self.trace.write("front.up", front=self.name)
        self._watch = asyncio.ensure_future(self._ended(self._process))
        return True

    async def _listens(self) -> bool:
        try:
            transport, _ = await asyncio.get_running_loop().create_connection(asyncio.Protocol, *self.origin)
        except OSError:
            return False
        transport.abort()
        return True

    async def _ended(self, process: asyncio.subprocess.Process) -> None:
        """An end that nobody ordered is written down as what it is."""
        code = await process.wait()
        if self.life in (Life.UP, Life.STILL):
            self.life = Life.DOWN
            self.unasked.append(code)
            self.trace.write("front.down", front=self.name)

    async def kill(self) -> bool:
        """SIGKILL, which a halted process hears too."""
        if self._process is None or self.life not in (Life.UP, Life.STILL):
            return False
        self.life = Life.DOWN
        self.trace.write("front.down", front=self.name)
        self._process.kill()
        await self._process.wait()
        return True

    def halt(self) -> bool:
        if self._process is None or self.life is not Life.UP:
            return False
        self.life = Life.STILL
        self.trace.write("front.stop", front=self.name)
        self._process.send_signal(signal.SIGSTOP)
        return True

    def wake(self) -> bool:
        if self._process is None or self.life is not Life.STILL:
            return False
        self._process.send_signal(signal.SIGCONT)
        self.trace.write("front.cont", front=self.name)
        self.life = Life.UP
        return True

    async def terminate(self) -> bool:
        """SIGTERM, and waits for its end; the exit code says whether all that was taken was answered."""
        if self._process is None or self.life is not Life.UP:
            return False
        self.life = Life.STOPPING
        self.trace.write("front.term", front=self.name)
        self._process.terminate()
        try:
            async with asyncio.timeout(_STOP_S):
                code = await self._process.wait()
        except TimeoutError:
            self._process.kill()
            code = await self._process.wait()
        self.trace.write("front.down", front=self.name, planned=True)
        self.exits.append(code)
        self.life = Life.DOWN
        return True

    async def end(self) -> None:
        """Whatever its state, it is gone after this."""
        if self._watch is not None:
            self._watch.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        self.life = Life.DOWN

    def last_words(self, most: int = 400) -> str:
        try:
            return self.log.read_text(errors="replace")[-most:].strip()
        except OSError:
            return "it has no log"
