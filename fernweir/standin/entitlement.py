"""A simulated entitlement server: the lease desk over HTTP, scriptable to fail."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import parse_qsl, unquote

from fernweir.http.problem import MEDIA_TYPE, problem
from fernweir.http.server import Exchange, Server
from fernweir.standin.leases import DeskAnswer, DeskLease, LeaseDesk
from fernweir.standin.trace import Trace
from fernweir.tokens import ControlClaims, Keyring, SessionClaims, TokenError


class EntitlementServer:
    """`silent` answers nothing; `lost_share` does the work and answers nothing; `slow_ms` is added."""

    def __init__(
        self, desk: LeaseDesk, keyring: Keyring, trace: Trace, *, wall_offset_s: float = 0.0, seed: int = 1
    ) -> None:
        self.desk, self.keyring, self.trace = desk, keyring, trace
        self.silent = False
        self.lost_share = 0.0
        self.slow_ms = 0.0
        self.key_set = '{"keys": []}'
        self.key_set_asked = 0
        self.opaque: dict[
            str, dict[str, object]
        ] = {}  # tokens without claims of their own: what they stand for
        self.inactive: set[str] = set()  # persons whose tokens were taken back
        self.introspected = 0
        self.doctor: Callable[[dict[str, Any]], None] = lambda page: None  # falsifies what `use` says
        self.page = 500
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self._offset = wall_offset_s
        self._dice = Random(f"entitlement {seed}")
        self._loop = asyncio.get_running_loop()
        desk.watch = self._tell
        self._server: Server | None = None

    @property
    def url(self) -> str:
        return f"http://{self.address[0]}:{self.address[1]}"

    async def start(self) -> None:
        self._server = Server(self._handle)
        await self._server.listen(*self.address)
        self.address = self._server.address

    def stop(self) -> None:
        if self._server is not None:
            self._server.abort()
            self._server = None

    def _tell(self, what: str, lease: DeskLease, used: int, limit: int) -> None:
        self.trace.write(
            f"seat.{what}", lease=lease.id, front=lease.front, session=lease.session,
            place="/".join(lease.place), used=used, limit=limit,
        )  # fmt: skip

    def _handle(self, exchange: Exchange) -> None:
        if self.silent:
            return
        self._loop.call_later(self.slow_ms / 1000.0, self._serve, exchange)

    def _serve(self, exchange: Exchange) -> None:
        if exchange.connection_lost:
            return
        if exchange.head.target == "/jwks" and exchange.method == "GET":
            self.key_set_asked += 1
            tag = f'"{hash(self.key_set)}"'
            fresh = exchange.headers.get("if-none-match") != tag
            fields = [("etag", tag), ("content-type", "application/jwk-set+json")]
            exchange.respond(200 if fresh else 304, fields, self.key_set.encode() if fresh else b"")
            return
        try:
            token = exchange.headers.get("authorization").partition(" ")[2]
            front = self.keyring.verify(
                token, ControlClaims, audience="fernweir-box", now_s=self._loop.time() + self._offset
            ).front
        except TokenError as error:
            exchange.respond(401, [("content-type", MEDIA_TYPE)], problem(401, str(error)))
            return
        now = self._loop.time() * 1000.0
        if exchange.head.target == "/introspect" and exchange.method == "POST":
            self._introspect(exchange)
            return
        if exchange.head.target.partition("?")[0] == "/use" and exchange.method == "GET":
            after = dict(parse_qsl(exchange.head.target.partition("?")[2])).get("after", "")
            self._use(now, exchange, front, after)
            return
        path = [unquote(part) for part in exchange.head.target.strip("/").split("/")]
        key = exchange.headers.get("idempotency-key").strip('"')
        try:
            answer = self._work(now, exchange, path, key, front)
        except (ValueError, KeyError, TypeError):
            exchange.respond(400, [("content-type", MEDIA_TYPE)], problem(400, "malformed request"))
            return
        if answer is None:
            exchange.respond(404, [("content-type", MEDIA_TYPE)], problem(404, "no such resource"))
        elif self._dice.random() >= self.lost_share:
            self._answer(exchange, answer)

    def _introspect(self, exchange: Exchange) -> None:
        """RFC 7662: of a token that isn't known or good nothing is said but that it is not active."""
        self.introspected += 1
        token = dict(parse_qsl(exchange.body.decode("latin-1"))).get("token", "")
        said: dict[str, object] = {}
        if token in self.opaque:
            said = {"active": True, **self.opaque[token]}
        else:
            try:
                now_s = self._loop.time() + self._offset
                claims = self.keyring.verify(token, SessionClaims, audience="fernweir-front", now_s=now_s)
                said = {"active": True, **claims.model_dump(exclude_none=True)}
            except TokenError:
                pass
        if said.get("sub") in self.inactive or not said:
            said = {"active": False}
        if self._dice.random() >= self.lost_share:
            exchange.respond(200, [("content-type", "application/json")], json.dumps(said).encode())

    def _use(self, now: float, exchange: Exchange, front: str, after: str) -> None:
        self.desk.expire(now)
        held = self.desk.held_by(front)
        rest = [one for one in held if one.id > after]
        page: dict[str, Any] = {
            "fence": self.desk.fence,
            "total": len(held),
            "leases": [
                {"lease": one.id, "key": one.key, "session": one.session, "fence": one.fence}
                for one in rest[: self.page]
            ],
            "places": [
                {"tenant": place[0], "lesson": place[1], "class": place[2], "used": self.desk.used(place)}
                for place in sorted({one.place for one in held})
            ],
        }
        if len(rest) > self.page:
            page["next"] = rest[self.page - 1].id
        self.doctor(page)
        exchange.respond(200, [("content-type", "application/json")], json.dumps(page).encode())

    def _work(
        self, now: float, exchange: Exchange, path: list[str], key: str, front: str
    ) -> DeskAnswer | None:
        if exchange.method == "DELETE" and path[0] == "keys" and len(path) == 2:
            return self.desk.release(now, path[1])
        if exchange.method != "POST" or path[0] != "leases" or not key:
            return None
        body = json.loads(exchange.body)
        if len(path) == 3 and path[2] == "renew":
            return self.desk.renew(now, path[1], int(body["fence"]), str(body["session"]))
        place = (str(body["tenant"]), str(body["lesson"]), str(body["class"]))
        asked_at = float(body["asked_at_ms"])
        return self.desk.ask(now, key, front, str(body["session"]), str(body["person"]), place, asked_at)

    def _answer(self, exchange: Exchange, answer: DeskAnswer) -> None:
        if answer.status == 200:
            body = {"lease": answer.lease, "fence": answer.fence, "expires_in_ms": answer.ttl_ms}
            text = json.dumps(body).encode() if answer.lease else b""
            exchange.respond(200, [("content-type", "application/json")], text)
        else:
            wait = [("retry-after", str(max(round(answer.retry_after_ms / 1000.0), 1)))]
            fields = [("content-type", MEDIA_TYPE), *(wait if answer.status == 409 else [])]
            exchange.respond(answer.status, fields, problem(answer.status, "see the status"))
