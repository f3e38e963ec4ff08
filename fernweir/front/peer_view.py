"""What peers see of a front: its number of sessions, its decisions, and the endpoint list that it received.

This is the part of `peers.port.Port` that fronts of all protocols share. Fronts with channels extend it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from fernweir.front.commands import SessionRequest
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.session_manager import SessionPhase, SessionRecord
from fernweir.interface import EndpointListKind, EndpointListUpdate, ServerState
from fernweir.peers.port import AuditEvent, AuditRecord, FrontLimits, Listener


class ServerList(Protocol):
    """The endpoint list as a front stores it."""

    def list_rows(self) -> list[tuple[int, Any]]:
        """Returns its content without version numbers: equal at all fronts that received the same list."""

    def changed_rows(self, update: EndpointListUpdate) -> list[tuple[int, Any]]:
        """Returns those rows of the content that an update, just applied, may have changed."""

    def draining(self) -> set[int]:
        """Returns the servers that are draining."""

    def named(self, server: int) -> tuple[int, str]:
        """Returns a server's number in audit records, below 2^31, and a suffix that identifies the server."""


class PeerView:
    """Implements the shared part of `peers.port.Port`, and observes the session manager.

    Args:
        core: The dispatcher.
        server_list: The endpoint list.
        wall_ms: Returns the wall time in milliseconds.
    """

    def __init__(self, core: Dispatcher, server_list: ServerList, wall_ms: Callable[[], float]) -> None:
        self._core, self._list, self._wall_ms = core, server_list, wall_ms
        self._listener: Listener | None = None
        self._draining: set[int] = set()
        self._list_received_at_ms: float | None = None  # wall time of the last list
        core.sessions.observer = self

    # --- queries and orders of peers ---

    def set_listener(self, listener: Listener) -> None:
        """Sets the listener, and notifies it of the list that was received before, if there is one."""
        self._listener = listener
        # A listener of a later incarnation of the peers' part has not received the list.
        if self._list_received_at_ms is not None:
            listener.on_endpoint_list(self._core.now(), self._list.list_rows(), self._list_received_at_ms)

    def session_count(self) -> int:
        """Returns the number of sessions."""
        return self._core.sessions.session_count

    def sessions_in_flight(self) -> list[str]:
        """Returns the ids of the sessions with an attempt in flight."""
        return [
            session_id
            for session_id, record in self._core.sessions.records().items()
            if record.phase is SessionPhase.IN_FLIGHT
        ]

    def has_session(self, session: str) -> bool:
        """Whether the session is stored here, in any phase."""
        return self._core.sessions.session(session) is not None

    def limits(self) -> FrontLimits:
        """Returns the rates of rungs in the class with the highest rates, and the retry budget."""
        settings = self._core.sessions.settings
        max_multiplier = max((one.rate_multiplier for one in settings.classes), default=1.0)
        budget = settings.retry_budget
        rungs = tuple(rate * max_multiplier for rate in settings.rung_rates_kbyte_s) or (0.0,)
        return (
            FrontLimits(rungs)
            if budget is None
            else FrontLimits(rungs, budget.window_ms, budget.min_retries, budget.retry_ratio)
        )

    def block_new_sessions(self, why: str, wait_ms: float) -> None:
        """Rejects new sessions with this reason and Retry-After; an empty reason accepts them again."""
        self._core.sessions.new_sessions_blocked = (why, wait_ms) if why else None

    # --- notifications of the session manager (`SessionObserver`) ---

    def on_attempt_started(self, now: float, record: SessionRecord) -> None:
        """Reports the attempt to the listener."""
        self._report(now, AuditEvent.SETUP, record)

    def on_session_updated(self, now: float, record: SessionRecord) -> None:
        """Does nothing: only fronts with channels report it."""

    def on_session_moved(self, now: float, record: SessionRecord) -> None:
        """Reports the migration to the listener."""
        self._report(now, AuditEvent.MOVE, record)

    def on_request_rejected(self, now: float, request: SessionRequest, reason: str) -> None:
        """Reports the rejection to the listener."""
        if self._listener is not None:
            act = AuditRecord(
                now,
                AuditEvent.REFUSED,
                request.session_id,
                request.title_name,
                request.tenant,
                outcome=reason,
            )
            self._listener.on_audit_record(act)

    def on_session_closed(self, now: float, record: SessionRecord, reason: str) -> None:
        """Does nothing: only fronts with channels report it."""

    def on_endpoint_list(self, now: float, update: EndpointListUpdate) -> None:
        """Reports the list to the listener, and each server that has begun to drain."""
        self._list_received_at_ms = self._wall_ms()
        new_drains = self._update_draining(update)
        if self._listener is None:
            return
        self._report_list(self._listener, now, update, self._list_received_at_ms)
        for server in sorted(new_drains):
            number, suffix = self._list.named(server)
            self._listener.on_audit_record(
                AuditRecord(now, AuditEvent.DRAIN, box=number, outcome=f"heard{suffix}")
            )

    def _report_list(
        self, listener: Listener, now: float, update: EndpointListUpdate, received_at_ms: float
    ) -> None:
        """Reports the rows that an update changed; visits the other ones only after a complete list."""
        if update.kind is not EndpointListKind.DELTA:
            listener.on_endpoint_list(now, self._list.list_rows(), received_at_ms)
            return
        states = _last_states(update)
        removed = [server for server, state in states.items() if state is ServerState.REMOVED]
        listener.on_endpoint_list_changed(now, self._list.changed_rows(update), removed, received_at_ms)

    def _update_draining(self, update: EndpointListUpdate) -> set[int]:
        """Updates the set of draining servers; returns those that have begun to drain."""
        if update.kind is not EndpointListKind.DELTA:
            previous, self._draining = self._draining, self._list.draining()
            return self._draining - previous
        states = _last_states(update)
        draining = {server for server, state in states.items() if state is ServerState.DRAINING}
        new_drains = draining - self._draining
        self._draining.difference_update(states)
        self._draining |= draining
        return new_drains

    def _report(self, now: float, deed: AuditEvent, record: SessionRecord) -> None:
        if self._listener is not None:
            request, (number, suffix) = record.request, self._list.named(record.server)
            outcome = f"try {record.attempt}{suffix}"
            self._listener.on_audit_record(
                AuditRecord(
                    now,
                    deed,
                    request.session_id,
                    request.title_name,
                    request.tenant,
                    number,
                    outcome=outcome,
                )
            )


def _last_states(update: EndpointListUpdate) -> dict[int, ServerState]:
    """Returns the state that each server of an update has after it."""
    return {entry.server: entry.state for entry in update.entries}
