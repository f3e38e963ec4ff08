"""A simulated list server: boxes and lessons as Server-Sent Events, whole or as changes by version."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from fernweir.http.problem import MEDIA_TYPE, problem
from fernweir.http.server import Exchange, Server
from fernweir.http.sse import KEEP_ALIVE, encode_event
from fernweir.standin.trace import Trace
from fernweir.tokens import ControlClaims, Keyring, TokenError

_KEPT = 256


@dataclass(frozen=True, slots=True)
class Line:
    """One box as the list tells it; `born` is the loop time at which this life began, None for long ago."""

    box: int
    host: str
    port: int
    state: str
    boot: str
    born: float | None
    cell: int
    kind: int
    weight: float


class ListServer:
    """`put` and `drop` change the list; every stream is told at once, unless `held` back."""

    def __init__(
        self, keyring: Keyring, trace: Trace, *, audience: str = "fernweir-box", wall_offset_s: float = 0.0
    ) -> None:
        self.keyring, self.trace, self.audience = keyring, trace, audience
        self.wall_offset_s = wall_offset_s
        self.epoch, self.version = "1", 0
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.lines: dict[int, Line] = {}
        self.lessons: list[dict[str, object]] = []
        self._changes: list[tuple[int, list[Line]]] = []
        self._streams: dict[Exchange, str] = {}
        self._loop = asyncio.get_running_loop()
        self._server: Server | None = None
        self._beat: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        self._server = Server(self._handle)
        await self._server.listen(*self.address)
        self.address = self._server.address
        self._keep_alive()

    def stop(self) -> None:
        """Goes away; the list is kept for a later `start`."""
        if self._server is not None:
            self._server.abort()
            self._server = None
        self._streams.clear()
        if self._beat is not None:
            self._beat.cancel()

    @property
    def url(self) -> str:
        return f"http://{self.address[0]}:{self.address[1]}/boxes"

    def put(self, *lines: Line) -> None:
        """Adds or changes boxes, as one version."""
        self.version += 1
        for line in lines:
            self.lines[line.box] = line
        self._changes.append((self.version, list(lines)))
        del self._changes[:-_KEPT]
        for exchange, front in list(self._streams.items()):
            self._send_changes(exchange, front, self.version - 1, list(lines))

    def tell_whole(self) -> None:
        """Sends the whole list again on every stream, as it is."""
        for exchange, front in list(self._streams.items()):
            self._send_whole(exchange, front)

    def rewind(self, version: int) -> None:
        """Says an older version from now on, as a restored server would."""
        self.version = version
        self._changes.clear()
        self.tell_whole()

    def replace(self, lines: list[Line]) -> None:
        """A new whole list, which may be empty."""
        self.version += 1
        gone = [line for box, line in self.lines.items() if box not in {one.box for one in lines}]
        self.lines = {line.box: line for line in lines}
        self._changes.clear()
        for exchange, front in list(self._streams.items()):
            self._send_whole(exchange, front)
            for line in gone:
                self._told(front, line.box, "gone")

    def _handle(self, exchange: Exchange) -> None:
        try:
            claims = self.keyring.verify(
                exchange.headers.get("authorization").partition(" ")[2],
                ControlClaims,
                audience=self.audience,
                now_s=self._loop.time() + self.wall_offset_s,
            )
        except TokenError as error:
            exchange.respond(401, [("content-type", MEDIA_TYPE)], problem(401, str(error)))
            return
        if exchange.head.target != "/boxes" or exchange.method != "GET":
            exchange.respond(404, [("content-type", MEDIA_TYPE)], problem(404, "no such resource"))
            return
        exchange.on_connection_lost = lambda: self._forget(exchange)
        exchange.stream(200, [("content-type", "text/event-stream"), ("cache-control", "no-store")])
        self._streams[exchange] = claims.front
        epoch, _, text = exchange.headers.get("last-event-id").partition(":")
        since = int(text) if epoch == self.epoch and text.isdigit() else -1
        missed = [(version, lines) for version, lines in self._changes if version > since]
        if since == self.version:
            return
        if 0 <= since < self.version and missed and missed[0][0] == since + 1:
            for version, lines in missed:
                self._send_changes(exchange, claims.front, version - 1, lines)
        else:
            self._send_whole(exchange, claims.front)

    def _forget(self, exchange: Exchange) -> None:
        self._streams.pop(exchange, None)

    def _document(self, lines: list[Line], version: int, base: int | None) -> str:
        now = self._loop.time()
        boxes = []
        for line in lines:
            body: dict[str, object] = {
                "box": line.box, "host": line.host, "port": line.port, "state": line.state,
                "boot": line.boot, "cell": line.cell, "kind": line.kind, "weight": line.weight,
            }  # fmt: skip
            if line.born is not None:
                body["age_s"] = max(now - line.born, 0.0)
            boxes.append(body)
        document: dict[str, object] = {"epoch": self.epoch, "version": version, "boxes": boxes}
        if base is None:
            document["lessons"] = self.lessons
        else:
            document["base"] = base
        return json.dumps(document)

    def _send_whole(self, exchange: Exchange, front: str) -> None:
        text = self._document(list(self.lines.values()), self.version, None)
        exchange.write(encode_event(text, "whole", f"{self.epoch}:{self.version}"))
        for line in self.lines.values():
            self._told(front, line.box, line.state)

    def _send_changes(self, exchange: Exchange, front: str, base: int, lines: list[Line]) -> None:
        text = self._document(lines, base + 1, base)
        exchange.write(encode_event(text, "changes", f"{self.epoch}:{base + 1}"))
        for line in lines:
            self._told(front, line.box, line.state)

    def _told(self, front: str, box: int, state: str) -> None:
        self.trace.write("list.told", front=front, box=box, state=state, version=self.version)

    def _keep_alive(self) -> None:
        for exchange in list(self._streams):
            exchange.write(KEEP_ALIVE)
        self._beat = self._loop.call_later(1.0, self._keep_alive)
