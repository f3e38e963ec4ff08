"""Viewers: connections to the front node that send JSON lines and record what arrives."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
from contextlib import suppress
from typing import Any

from harness.node import Address
from harness.record import Record


class ViewerConnection:
    """One connection from viewers.

    Attributes:
        messages: The time and content of each message that arrived.
        is_ended: Whether the front node has closed or the connection broke.
    """

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.messages: list[tuple[float, dict[str, Any]]] = []
        self.is_ended = False
        self._arrived = asyncio.Condition()
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def open(self, address: Address) -> None:
        """Connects."""
        reader, self._writer = await asyncio.open_connection(*address, limit=2**22)
        self.record.write(self.name, "connected")
        self._task = asyncio.create_task(self._read(reader))

    def send(self, message: dict[str, Any]) -> float:
        """Writes a message. Returns the time."""
        assert self._writer is not None
        shown = {key: value for key, value in message.items() if key != "sdp"}
        self.record.write(self.name, f"-> node  {json.dumps(shown, separators=(',', ':'))}")
        self._writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")
        return self.record.now()

    def set_up(self, title: str, left: str = "3000", kind: str = "briefing", **extras: str) -> str:
        """Sends a set-up with a new id, which is returned."""
        session = os.urandom(8).hex()
        self.send(set_up_message(session, title, left, kind, **extras))
        return session

    async def wait_for(self, session: str, kinds: tuple[str, ...], seconds: float) -> dict[str, Any] | None:
        """Returns the first message about a session of one of the types, or None if none comes in time."""

        def found() -> dict[str, Any] | None:
            fits = (m for _, m in self.messages if m["id"] == session and m["type"] in kinds)
            return next(fits, None)

        with suppress(TimeoutError):
            async with asyncio.timeout(seconds), self._arrived:
                await self._arrived.wait_for(lambda: found() is not None or self.is_ended)
        return found()

    def reset(self) -> None:
        """Ends the connection with a reset."""
        assert self._writer is not None
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.record.write(self.name, "connection reset")
        self._writer.transport.abort()

    async def close(self) -> None:
        """Closes in order."""
        if self._writer is not None:
            self._writer.close()
        if self._task is not None:
            await self._task

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with suppress(OSError):
            while line := await reader.readline():
                message = json.loads(line)
                self.messages.append((self.record.now(), message))
                shown = {key: value for key, value in message.items() if key != "sdp"}
                self.record.write(self.name, f"<- node  {json.dumps(shown)} ({len(line)} bytes)")
                async with self._arrived:
                    self._arrived.notify_all()
        self.is_ended = True
        self.record.write(self.name, "connection ended")
        async with self._arrived:
            self._arrived.notify_all()


def set_up_message(session: str, title: str, left: str, kind: str, **extras: str) -> dict[str, Any]:
    """Returns a set-up; extras replace the usual ones."""
    values = {"home": "0", "copies": "1", "top": "4", "viewer": os.urandom(8).hex()} | extras
    fields = {
        "class": kind, "left": left, "key": title,
        "extras": ";".join(f"{name}:{value}" for name, value in values.items()),
    }  # fmt: skip
    description = f"{session}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
    return {"type": "setup", "id": session, "fields": fields, "sdp": description}
