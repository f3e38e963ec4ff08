"""Starts the front that serves DASH, with the project's own simulated media server and list server."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import hmac
import json
import os
import tempfile
import time
from contextlib import suppress
from pathlib import Path

from harness.case import NotRunnableError
from harness.node import ROOT, Address, free_address, text_of
from harness.record import Record

# Environments with the packages of requirements.txt: that of review/build.sh, and that of scripts/test.
PYTHONS = (ROOT / ".venv-run/bin/python", ROOT / ".venv-ci/bin/python")
TITLE = "lesson-1"
_ISSUER, _AUDIENCE = "rehearsal", "fernweir-front"
_READY_TESTS, _READY_INTERVAL_S = 200, 0.05


class DashFront:
    """One front, one simulated media server and one list server, each in a process of its own.

    Args:
        record: The record of the run.
        entitlement: The address of the entitlement server.
    """

    def __init__(self, record: Record, entitlement: Address) -> None:
        self.address = free_address()
        self._record = record
        self._entitlement = entitlement
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._path = Path(self._folder.name)
        self._secret = os.urandom(32)
        self._processes: list[asyncio.subprocess.Process] = []
        self._front: asyncio.subprocess.Process | None = None
        self._logs: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts all three and waits until the front answers."""
        if not any(python.exists() for python in PYTHONS):
            raise NotRunnableError("the packages of requirements.txt are not installed")
        box, list_server = free_address(), free_address()
        key = {"kty": "oct", "kid": "k1", "alg": "HS256", "k": _encode(self._secret)}
        (self._path / "keys.json").write_text(json.dumps({"keys": [key]}))
        boxes = {"box": 1, "host": box[0], "port": box[1], "state": "ready", "cell": 0}
        lessons = {"title": TITLE, "cell": 0, "copies": 1}
        (self._path / "list.json").write_text(json.dumps({"boxes": [boxes], "lessons": [lessons]}))
        (self._path / "front.ini").write_text(self._settings(list_server))
        keys = str(self._path / "keys.json")
        await self._run("box", "standin", "box", "--keys", keys, "--listen", text_of(box))
        listen = ("--listen", text_of(list_server))
        await self._run("list", "standin", "list", str(self._path / "list.json"), "--keys", keys, *listen)
        for address in (box, list_server):
            await self._wait_until_listening(address)
        await self.start_front()

    async def start_front(self) -> None:
        """Starts the front, again after a kill."""
        self._front = await self._run("front", "serve", str(self._path / "front.ini"))
        await self._wait_until_listening(self.address)
        self._record.write("platform", f"the front listens, pid {self._front.pid}")

    async def kill_front(self) -> None:
        """Kills the front outright."""
        assert self._front is not None
        self._record.write("platform", f"SIGKILL to the front, pid {self._front.pid}")
        self._front.kill()
        await self._front.wait()

    async def ask(self, session: str, seconds: float = 4.0) -> int:
        """Asks for the lesson with a session token. Returns the status, or 0 if none came in time."""
        target = f"/lessons/{TITLE}/manifest.mpd"
        self._record.write("viewer", f"-> front GET {target}, session {session}")
        status = 0
        with suppress(OSError, TimeoutError, IndexError, ValueError):
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(*self.address)
                head = f"GET {target} HTTP/1.1\r\nhost: {text_of(self.address)}\r\nconnection: close\r\n"
                writer.write(f"{head}authorization: Bearer {self._token(session)}\r\n\r\n".encode())
                status = int((await reader.readline()).split()[1])
                writer.close()
        self._record.write("viewer", f"<- front {status or 'no answer'}, session {session}")
        return status

    async def stop(self) -> None:
        """Ends all processes."""
        for process in self._processes:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        await asyncio.gather(*self._logs)
        self._folder.cleanup()

    async def _run(self, name: str, *arguments: str) -> asyncio.subprocess.Process:
        python = next(python for python in PYTHONS if python.exists())
        process = await asyncio.create_subprocess_exec(
            str(python), "-B", "-m", "fernweir", *arguments, cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert process.stderr is not None
        self._processes.append(process)
        self._logs.append(asyncio.create_task(self._copy_log(f"{name} log", process.stderr)))
        return process

    async def _wait_until_listening(self, address: Address) -> None:
        for _ in range(_READY_TESTS):
            with suppress(OSError):
                _, writer = await asyncio.open_connection(*address)
                writer.close()
                return
            await asyncio.sleep(_READY_INTERVAL_S)
        raise NotRunnableError(f"nothing listens at {text_of(address)}")

    async def _copy_log(self, name: str, log: asyncio.StreamReader) -> None:
        while line := await log.readline():
            self._record.write(name, line.decode(errors="replace").rstrip()[:300])

    def _token(self, session: str) -> str:
        now = int(time.time())
        claims = {
            "iss": _ISSUER, "aud": _AUDIENCE, "iat": now, "exp": now + 3600, "sub": f"person-{session}",
            "jti": session, "title": TITLE, "cls": "training", "top": 4,
        }  # fmt: skip
        header = {"alg": "HS256", "kid": "k1", "typ": "JWT"}
        signed = ".".join(_encode(json.dumps(part).encode()) for part in (header, claims))
        return f"{signed}.{_encode(hmac.digest(self._secret, signed.encode(), hashlib.sha256))}"

    def _settings(self, list_server: Address) -> str:
        return f"""
[front]
name = front-1
listen = {text_of(self.address)}
ordinal = 0
fronts = 3
seed = 7
[list]
url = http://{text_of(list_server)}/boxes
cache = kept-list.json
[tokens]
keys = keys.json
sign-with = k1
issuer = {_ISSUER}
audience = {_AUDIENCE}
[entitlement]
url = http://{text_of(self._entitlement)}
ledger = seats
call-time = 500 ms
longest-lease = 20 s
reclaim = 2 s
[fleet]
cells = 1
racks = 1
streams = 30
link = 12 MB/s
uplink = 67 MB/s
[ladder]
rates = 150 kB/s, 300 kB/s, 500 kB/s, 800 kB/s, 1.2 MB/s
worths = 0.25, 0.5, 0.7, 0.9, 1
switch-cost = 500 ms
[reports]
fields = x0, x1
tell = 2 s
seen-after = 300 ms
[rules]
attempts = 3
retry-after-max = 1 s
drain-grace = 1 s
[class.training]
aim = 800 ms
deadline = 2 s
gain = 1
top-rung = 4
when-silent = play
"""


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()
