"""Limits, counters and observers of a session manager."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fernweir.front.commands import SessionRequest
from fernweir.front.session_record import SessionRecord
from fernweir.interface import Action, EndpointListUpdate, Event

BatchObserver = Callable[[float, list[Event], list[Action]], None]
"""Is called with the time of a batch in milliseconds, its events and the controller's actions."""


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Limits of a session manager.

    Attributes:
        reply_margin_ms: Part of each viewer's wait that is reserved for delivering the reply.
        unclaimed_session_ttl_ms: How long a session that was set up for a viewer who disconnected is kept
            for the viewer's return. With 0 viewers do not return to sessions, and an attempt that no viewer
            waits for is released at once.
        max_remembered_viewers: How many viewers of ended sessions are remembered by their keys.
        blocked_retry_after_ms: Retry-After of requests that an operator's order rejects.
        entitlement_wait_ratio: Part of a viewer's wait that the entitlement check may take; an attempt must
            fit into the rest.
    """

    reply_margin_ms: float = 40.0
    unclaimed_session_ttl_ms: float = 2_000.0
    max_remembered_viewers: int = 65_536
    blocked_retry_after_ms: float = 5_000.0
    entitlement_wait_ratio: float = 0.5


@dataclass(slots=True)
class SessionMetrics:
    """Counters of a session manager since its start.

    Attributes:
        plays: Replies that a session plays.
        rejected: Replies that reject a request, except those sent because the front is stopping.
        failed: Replies that a request failed.
        joined: Requests that joined a session that was stored already.
        conflicts: Requests that used the id of another session.
        set_ups: Attempts that were sent.
        released: Releases that were sent.
        batches: Batches of events that the controller has handled.
    """

    plays: int = 0
    rejected: int = 0
    failed: int = 0
    joined: int = 0
    conflicts: int = 0
    set_ups: int = 0
    released: int = 0
    batches: int = 0


class SessionObserver(Protocol):
    """Is notified of what happens to sessions, in order; a front without peers has none.

    `now` is the time in milliseconds of the session manager's clock.
    """

    def on_attempt_started(self, now: float, record: SessionRecord) -> None:
        """An attempt is being sent to a server."""

    def on_session_updated(self, now: float, record: SessionRecord) -> None:
        """The session plays, or its rung or its number of informed viewers has changed."""

    def on_session_moved(self, now: float, record: SessionRecord) -> None:
        """The session is about to end because it moves to another server."""

    def on_request_rejected(self, now: float, request: SessionRequest, reason: str) -> None:
        """A request got a reply other than that its session plays."""

    def on_session_closed(self, now: float, record: SessionRecord, reason: str) -> None:
        """The session is no longer stored, whether it had played or not."""

    def on_endpoint_list(self, now: float, update: EndpointListUpdate) -> None:
        """The endpoint list has changed, as it was received, before operators' orders."""
