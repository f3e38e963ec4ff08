"""Asks the entitlement server about tokens (RFC 7662) for the DASH service. A thin shell."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from urllib.parse import quote, urlsplit

from pydantic import BaseModel, ConfigDict, ValidationError

from fernweir.entitlement.introspect import (
    IntrospectionDecision,
    IntrospectionRequest,
    IntrospectionResult,
    IntrospectionStatus,
    Introspector,
)
from fernweir.front.dispatcher import Dispatcher
from fernweir.http.client import Outcome, Pool, Reply


class Introspection(BaseModel):
    """RFC 7662, section 2.2: `active` is required, and all else is the token's own claims."""

    model_config = ConfigDict(strict=True, frozen=True, extra="allow")

    active: bool
    exp: int | float | None = None


def read_introspection(reply: Reply, now_s: float) -> IntrospectionResult:
    """What a reply says of a token. One that can't be read says nothing: never that it is active."""
    if reply.outcome is not Outcome.ANSWERED or reply.status != 200:
        return IntrospectionResult(IntrospectionStatus.UNKNOWN)
    try:
        said = Introspection.model_validate_json(reply.body)
    except ValidationError:
        return IntrospectionResult(IntrospectionStatus.UNKNOWN)
    if not said.active:
        return IntrospectionResult(IntrospectionStatus.INACTIVE)
    left = float("inf") if said.exp is None else (said.exp - now_s) * 1000.0
    if left <= 0.0:
        return IntrospectionResult(
            IntrospectionStatus.INACTIVE
        )  # active and lapsed: the token's own word is the stricter
    return IntrospectionResult(
        IntrospectionStatus.ACTIVE, said.model_dump(exclude={"active"}, exclude_none=True), left
    )


class IntrospectionClient:
    """`all_tokens`: also those whose signature is good here are asked about; else only opaque ones."""

    def __init__(
        self,
        core: Dispatcher,
        pool: Pool,
        judge: Introspector,
        url: str,
        token: Callable[[], str],
        wall_s: Callable[[], float],
        *,
        all_tokens: bool,
    ) -> None:
        parts = urlsplit(url)
        self._origin, self._target = (parts.hostname or "", parts.port or 80), parts.path or "/"
        self.core, self.judge, self.all_tokens = core, judge, all_tokens
        self._pool, self._token, self._wall_s = pool, token, wall_s
        self._waiters: dict[int, Callable[[IntrospectionDecision], None]] = {}
        self._numbers = itertools.count(1)
        self._wake: asyncio.TimerHandle | None = None
        self._kicked = self._stopped = False

    def __len__(self) -> int:
        return len(self._waiters)

    def look_up(self, token: str, within_ms: float, done: Callable[[IntrospectionDecision], None]) -> int:
        """`done` is called exactly once unless `withdraw` comes first; the number is for that."""
        number, now = next(self._numbers), self.core.now()
        self._waiters[number] = done
        self.judge.look_up(now, number, token, now + within_ms)
        self._kick()
        return number

    def withdraw(self, number: int) -> None:
        if self._waiters.pop(number, None) is not None:
            self.judge.withdraw(number)

    def shutdown(self) -> None:
        """The front stops: whoever waits is answered now."""
        self.judge.shutdown()
        self._run()

    def stop(self) -> None:
        self._stopped = True
        if self._wake is not None:
            self._wake.cancel()

    def _kick(self) -> None:
        if not self._kicked and not self._stopped:
            self._kicked = True
            self.core.loop.call_soon(self._run)

    def _run(self) -> None:
        self._kicked = False
        if self._stopped:
            return
        now = self.core.now()
        for command in self.judge.take_effects(now):
            if isinstance(command, IntrospectionRequest):
                self._send(command)
            elif (done := self._waiters.pop(command.waiter, None)) is not None:
                done(command)
        if self._wake is not None:
            self._wake.cancel()
        due = self.judge.next_deadline(now)
        if due is not None:
            self._wake = self.core.loop.call_at(max(due, now + 1.0) / 1000.0, self._kick)

    def _send(self, question: IntrospectionRequest) -> None:
        def done(reply: Reply) -> None:
            self.judge.on_reply(self.core.now(), question.number, read_introspection(reply, self._wall_s()))
            self._kick()

        self._pool.request(
            self._origin,
            "POST",
            self._target,
            done,
            headers=[
                ("authorization", f"Bearer {self._token()}"),
                ("content-type", "application/x-www-form-urlencoded"),
                ("accept", "application/json"),
            ],
            body=f"token={quote(question.token, safe='')}&token_type_hint=access_token".encode(),
            timeout_s=question.timeout_ms / 1000.0,
        )
