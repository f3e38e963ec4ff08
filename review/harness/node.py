"""Starts a front node with the `run` line of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

from harness.record import Record

ROOT = Path(__file__).resolve().parents[2]
Address = tuple[str, int]
_TEST_INTERVAL_S = 0.05
_MAX_TESTS = 400
_SOCKETS = 256  # the descriptor limit in the configuration


def free_address() -> Address:
    """Returns a loopback address with a free port, on a host of this process's own."""
    high, low = divmod(os.getpid() % 62_500, 250)
    with socket.socket() as probe:
        probe.bind((f"127.80.{high + 1}.{low + 1}", 0))
        host, port = probe.getsockname()
    return host, port


def text_of(address: Address) -> str:
    """Returns an address as the platform writes it."""
    return f"{address[0]}:{address[1]}"


class FrontNode:
    """One front node in a process of its own.

    Args:
        record: The record of the run.
        settings: The settings object of the configuration.
        standard_error: Where the node writes its log. By default the record gets the lines.
    """

    def __init__(
        self, record: Record, settings: dict[str, Any], standard_error: int = asyncio.subprocess.PIPE
    ) -> None:
        self.address = free_address()
        self._record = record
        self._settings = settings
        self._standard_error = standard_error
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._config = Path(self._folder.name) / "config.json"
        self._process: asyncio.subprocess.Process | None = None
        self._log_task: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """The process id of the node."""
        assert self._process is not None
        return self._process.pid

    def configure(self, feed: Address, events: list[dict[str, Any]]) -> None:
        """Writes the configuration, as at a start or before SIGHUP."""
        body = {
            "name": "n3", "listen": text_of(self.address), "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": _SOCKETS}, "feed": text_of(feed),
            "known": {"n": events[-1]["n"], "events": events}, "settings": self._settings,
        }  # fmt: skip
        fresh = self._config.with_suffix(".new")
        fresh.write_text(json.dumps(body))
        fresh.replace(self._config)

    async def start(self) -> None:
        """Starts the process and waits until a test on its address passes."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ["PATH"], "TMPDIR": self._folder.name, "ROUTER_NAME": "n3",
            "ROUTER_LISTEN": text_of(self.address), "ROUTER_CONFIG": str(self._config),
        }  # fmt: skip
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stderr=self._standard_error
        )
        if self._process.stderr is not None:
            self._log_task = asyncio.create_task(self._copy_log(self._process.stderr))
        for _ in range(_MAX_TESTS):
            if await self._passes_test():
                self._record.write("platform", f"node n3 is ready, pid {self.pid}")
                return
            await asyncio.sleep(_TEST_INTERVAL_S)
        raise RuntimeError("the node does not become ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the program that `run` started."""
        assert self._process is not None
        self._record.write("platform", f"{number.name} to node")
        self._process.send_signal(number)

    async def stop(self) -> None:
        """Ends the process, if it still runs, and removes its folder."""
        if self._process is not None and self._process.returncode is None:
            with suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()
        if self._log_task is not None:
            await self._log_task
        self._folder.cleanup()

    async def _passes_test(self) -> bool:
        assert self._process is not None
        if self._process.returncode is not None:
            raise RuntimeError("the node has exited")
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(b'{"type":"ping","id":"00000000000000aa","fields":{},"cause":0}\n')
            async with asyncio.timeout(2.0):
                line = await reader.readline()
            return bool(line) and json.loads(line).get("cause") == 1
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def _copy_log(self, log: asyncio.StreamReader) -> None:
        while line := await log.readline():
            self._record.write("node log", line.decode(errors="replace").rstrip())
