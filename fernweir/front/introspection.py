"""Sends token introspection requests (RFC 7662) to the entitlement server for the DASH service.

The decisions are those of `fernweir.entitlement.introspect`; this module adds HTTP and timers.
"""

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
    """An introspection response of RFC 7662, section 2.2; only `active` is required.

    All other members are claims of the token.
    """

    model_config = ConfigDict(strict=True, frozen=True, extra="allow")

    active: bool
    exp: int | float | None = None


def read_introspection(reply: Reply, now_s: float) -> IntrospectionResult:
    """Returns the result of an introspection request.

    A response that cannot be read gives UNKNOWN, so that it never makes a token active.
    """
    if reply.outcome is not Outcome.ANSWERED or reply.status != 200:
        return IntrospectionResult(IntrospectionStatus.UNKNOWN)
    try:
        introspection = Introspection.model_validate_json(reply.body)
    except ValidationError:
        return IntrospectionResult(IntrospectionStatus.UNKNOWN)
    if not introspection.active:
        return IntrospectionResult(IntrospectionStatus.INACTIVE)
    remaining_ms = float("inf") if introspection.exp is None else (introspection.exp - now_s) * 1000.0
    if remaining_ms <= 0.0:
        # The server calls it active, but its expiry has passed: the stricter of the two decides.
        return IntrospectionResult(IntrospectionStatus.INACTIVE)
    return IntrospectionResult(
        IntrospectionStatus.ACTIVE,
        introspection.model_dump(exclude={"active"}, exclude_none=True),
        remaining_ms,
    )


class IntrospectionClient:
    """Looks up tokens at the introspection endpoint, and notifies those who wait for the decisions.

    Attributes:
        dispatcher: The dispatcher.
        introspector: Caches results and decides when a request is sent.
        all_tokens: Whether tokens with a valid signature are introspected too, or only opaque ones.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: Pool,
        introspector: Introspector,
        url: str,
        token: Callable[[], str],
        wall_s: Callable[[], float],
        *,
        all_tokens: bool,
    ) -> None:
        parts = urlsplit(url)
        self._origin, self._target = (parts.hostname or "", parts.port or 80), parts.path or "/"
        self.dispatcher, self.introspector, self.all_tokens = dispatcher, introspector, all_tokens
        self._pool, self._token, self._wall_s = pool, token, wall_s
        self._waiters: dict[int, Callable[[IntrospectionDecision], None]] = {}
        self._next_waiter_number = itertools.count(1)
        self._wake_up: asyncio.TimerHandle | None = None
        self._is_step_scheduled = self._is_stopped = False

    def __len__(self) -> int:
        return len(self._waiters)

    def look_up(
        self, token: str, within_ms: float, on_decision: Callable[[IntrospectionDecision], None]
    ) -> int:
        """Looks up a token, and returns the number with which the caller may withdraw.

        `on_decision` is called exactly once, unless `withdraw` is called before.
        """
        number, now = next(self._next_waiter_number), self.dispatcher.now()
        self._waiters[number] = on_decision
        self.introspector.look_up(now, number, token, now + within_ms)
        self._schedule_step()
        return number

    def withdraw(self, number: int) -> None:
        """Withdraws a look-up: its callback is not called any more."""
        if self._waiters.pop(number, None) is not None:
            self.introspector.withdraw(number)

    def shutdown(self) -> None:
        """Answers all who wait now, because the front stops."""
        self.introspector.shutdown()
        self._step()

    def stop(self) -> None:
        """Stops at once; callbacks that have not been called are not called any more."""
        self._is_stopped = True
        if self._wake_up is not None:
            self._wake_up.cancel()

    def _schedule_step(self) -> None:
        if not self._is_step_scheduled and not self._is_stopped:
            self._is_step_scheduled = True
            self.dispatcher.loop.call_soon(self._step)

    def _step(self) -> None:
        self._is_step_scheduled = False
        if self._is_stopped:
            return
        now = self.dispatcher.now()
        for effect in self.introspector.take_effects(now):
            if isinstance(effect, IntrospectionRequest):
                self._send(effect)
            elif (on_decision := self._waiters.pop(effect.waiter, None)) is not None:
                on_decision(effect)
        if self._wake_up is not None:
            self._wake_up.cancel()
        deadline = self.introspector.next_deadline(now)
        if deadline is not None:
            self._wake_up = self.dispatcher.loop.call_at(
                max(deadline, now + 1.0) / 1000.0, self._schedule_step
            )

    def _send(self, request: IntrospectionRequest) -> None:
        def on_reply(reply: Reply) -> None:
            self.introspector.on_reply(
                self.dispatcher.now(), request.number, read_introspection(reply, self._wall_s())
            )
            self._schedule_step()

        self._pool.request(
            self._origin,
            "POST",
            self._target,
            on_reply,
            headers=[
                ("authorization", f"Bearer {self._token()}"),
                ("content-type", "application/x-www-form-urlencoded"),
                ("accept", "application/json"),
            ],
            body=f"token={quote(request.token, safe='')}&token_type_hint=access_token".encode(),
            timeout_s=request.timeout_ms / 1000.0,
        )
