"""What peers see of any shell that has a `Core`: how loaded it is, what it does, what list it was told.

The part of `peers.port.Port` that fronts of all protocols share. Who has channels adds to it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from fernweir.front.commands import SessionRequest
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.session_manager import SessionPhase, SessionRecord
from fernweir.interface import EndpointListUpdate
from fernweir.peers.port import AuditEvent, AuditRecord, FrontLimits, Listener


class Boxes(Protocol):
    """The list of boxes, as a front holds it."""

    def list_rows(self) -> list[tuple[int, Any]]:
        """Its content, alike at every front that was told the same: no feed's number is in it."""

    def draining(self) -> set[int]:
        """Boxes that drain by it."""

    def named(self, box: int) -> tuple[int, str]:
        """A box's number in acts, below 2^31, and what they say besides to tell which it is."""


class Acting:
    """The host's observer, too. `wall_ms` gives wall time now."""

    def __init__(self, core: Dispatcher, boxes: Boxes, wall_ms: Callable[[], float]) -> None:
        self._core, self._list, self._wall_ms = core, boxes, wall_ms
        self._listener: Listener | None = None
        self._draining: set[int] = set()
        self._told_at: float | None = None  # wall ms of the last list
        core.sessions.observer = self

    # --- what peers ask ---

    def set_listener(self, listener: Listener) -> None:
        self._listener = listener
        if self._told_at is not None:  # one that lives on under a later life knows no list
            listener.on_endpoint_list(self._core.now(), self._list.list_rows(), self._told_at)

    def session_count(self) -> int:
        return self._core.sessions.session_count

    def sessions_in_flight(self) -> list[str]:
        return [
            jti for jti, held in self._core.sessions.records().items() if held.phase is SessionPhase.IN_FLIGHT
        ]

    def has_session(self, session: str) -> bool:
        return self._core.sessions.session(session) is not None

    def limits(self) -> FrontLimits:
        settings = self._core.sessions.settings
        dearest = max((one.rate_multiplier for one in settings.classes), default=1.0)
        budget = settings.retry_budget
        rungs = tuple(rate * dearest for rate in settings.rung_rates_kbyte_s) or (0.0,)
        return (
            FrontLimits(rungs)
            if budget is None
            else FrontLimits(rungs, budget.window_ms, budget.min_retries, budget.retry_ratio)
        )

    def block_new_sessions(self, why: str, wait_ms: float) -> None:
        self._core.sessions.new_sessions_blocked = (why, wait_ms) if why else None

    # --- what happens here (host.Observer) ---

    def on_attempt_started(self, now: float, held: SessionRecord) -> None:
        self._act(now, AuditEvent.SETUP, held)

    def on_session_updated(self, now: float, held: SessionRecord) -> None:
        """Of use to who has channels only, as is `over`."""

    def on_session_moved(self, now: float, held: SessionRecord) -> None:
        self._act(now, AuditEvent.MOVE, held)

    def on_request_rejected(self, now: float, ask: SessionRequest, why: str) -> None:
        if self._listener is not None:
            act = AuditRecord(
                now, AuditEvent.REFUSED, ask.session_id, ask.title_name, ask.tenant, outcome=why
            )
            self._listener.on_audit_record(act)

    def on_session_closed(self, now: float, held: SessionRecord, why: str) -> None: ...

    def on_endpoint_list(self, now: float, update: EndpointListUpdate) -> None:
        draining, self._told_at = self._list.draining(), self._wall_ms()
        if self._listener is not None:
            self._listener.on_endpoint_list(now, self._list.list_rows(), self._told_at)
            for box in sorted(draining - self._draining):
                number, name = self._list.named(box)
                self._listener.on_audit_record(
                    AuditRecord(now, AuditEvent.DRAIN, box=number, outcome=f"heard{name}")
                )
        self._draining = draining

    def _act(self, now: float, deed: AuditEvent, held: SessionRecord) -> None:
        if self._listener is not None:
            ask, (number, name) = held.request, self._list.named(held.server)
            outcome = f"try {held.attempt}{name}"
            self._listener.on_audit_record(
                AuditRecord(now, deed, ask.session_id, ask.title_name, ask.tenant, number, outcome=outcome)
            )
