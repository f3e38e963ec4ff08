"""Synchronizes the rung of each playing session with its server. Free of I/O.

The newest rung wins, and at most one message per session is in flight. A message that is lost would leave
the controller's load estimate wrong for the rest of the session, so it is retried a few times with backoff.
If the server answers that it has no such session, the session ends.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

Key = tuple[str, int]


@dataclass(slots=True)
class _DesiredRung:
    """The newest rung of a session, and the state of its transmission."""

    server: int
    rung: int
    sends: int = 0
    in_flight: bool = False
    retry_at: float | None = None


@dataclass(frozen=True, slots=True)
class Send:
    """A rung to send to a server now."""

    session_id: str
    attempt: int
    server: int
    rung: int


class RungSync:
    """Decides which rungs to send, and when. Times are milliseconds."""

    def __init__(self, *, max_sends: int = 4, backoff_ms: float = 250.0) -> None:
        self._max_sends, self._backoff_ms = max_sends, backoff_ms
        self._desired: dict[Key, _DesiredRung] = {}
        self._retries: list[tuple[float, Key]] = []

    def __len__(self) -> int:
        return len(self._desired)

    def set_rung(self, session_id: str, attempt: int, server: int, rung: int) -> Send | None:
        """Sets a session's rung; returns None while an earlier one is in flight, after which it is sent."""
        desired = self._desired.setdefault((session_id, attempt), _DesiredRung(server, rung))
        desired.rung, desired.sends, desired.retry_at = rung, 0, None
        return self._send((session_id, attempt), desired)

    def on_send_finished(self, now: float, sent: Send, delivered: bool) -> Send | None:
        """Ends one message; returns what to send for this session at once, if anything."""
        key = (sent.session_id, sent.attempt)
        desired = self._desired.get(key)
        if desired is None:
            return None
        desired.in_flight = False
        if desired.rung != sent.rung:
            return self._send(key, desired)
        if delivered or desired.sends >= self._max_sends:
            del self._desired[key]
            return None
        desired.retry_at = now + self._backoff_ms * 2.0 ** (desired.sends - 1)
        heapq.heappush(self._retries, (desired.retry_at, key))
        return None

    def forget(self, session_id: str, attempt: int) -> None:
        """Stops synchronizing a session that has ended."""
        self._desired.pop((session_id, attempt), None)

    def pop_due(self, now: float) -> list[Send]:
        """Returns the rungs whose retry is due."""
        sends = []
        while self._retries and self._retries[0][0] <= now:
            retry_at, key = heapq.heappop(self._retries)
            desired = self._desired.get(key)
            if (
                desired is not None
                and desired.retry_at == retry_at
                and (send := self._send(key, desired)) is not None
            ):
                sends.append(send)
        return sends

    def next_deadline(self) -> float | None:
        """Returns when the next retry is due; None if there is none."""
        return self._retries[0][0] if self._retries else None

    def _send(self, key: Key, desired: _DesiredRung) -> Send | None:
        if desired.in_flight:
            return None
        desired.in_flight, desired.retry_at = True, None
        desired.sends += 1
        return Send(key[0], key[1], desired.server, desired.rung)
