"""Parses the notice stream of one server. Free of I/O.

A stream that breaks proves nothing about the sessions at the server. They are known to have ended only if a
connection is refused, or if they are missing in the list of sessions that the server sends when the stream
is opened again.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from fernweir.http.sse import ServerEvent
from fernweir.interface import NoticeKind, Result

_KIND_BY_EVENT = {
    "delivered": NoticeKind.DELIVERED,
    "rung": NoticeKind.RUNG,
    "link": NoticeKind.LINK,
    "uplink": NoticeKind.UPLINK,
}
_RESULT_BY_REASON = {"finished": Result.OK, "left": Result.OK, "broken": Result.RESET, "idle": Result.RESET}


class NoticeError(ValueError):
    """Raised for an event that the protocol does not allow in this form; the event is skipped."""


@dataclass(frozen=True, slots=True)
class SessionNotice:
    """A measurement or a change of one session, as reported by its server."""

    session_id: str
    attempt: int
    kind: NoticeKind
    level: float


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """One session ended at its server."""

    session_id: str
    attempt: int
    result: Result
    reason: str


SessionUpdate = SessionNotice | SessionEnded


class NoticeStreamState:
    """What one server's stream has reported since it was opened."""

    def __init__(self) -> None:
        self.boot = ""
        self.hello_received = False
        self._expected: dict[str, int] = {}

    def on_stream_opened(self, playing: dict[str, int]) -> None:
        """Starts a stream; `playing` has the attempt of each session that plays at the server now."""
        # A session that is set up after this may be missing in the `hello` event without being lost.
        self._expected, self.hello_received = dict(playing), False

    def handle(self, event: ServerEvent) -> list[SessionUpdate]:
        """Returns the updates that an event contains. Raises NoticeError if it is malformed."""
        try:
            body = json.loads(event.data)
        except (ValueError, RecursionError):
            raise NoticeError(f"{event.event}: data is not JSON") from None
        if not isinstance(body, dict):
            raise NoticeError(f"{event.event}: data is not an object")
        if event.event == "hello":
            return self._on_hello(body)
        if event.event not in _KIND_BY_EVENT and event.event != "ended":
            return []
        session_id, attempt = body.get("session"), body.get("attempt")
        if not isinstance(session_id, str) or not isinstance(attempt, int):
            raise NoticeError(f"{event.event}: session or attempt is missing")
        if event.event == "ended":
            reason = str(body.get("reason"))
            return [SessionEnded(session_id, attempt, _RESULT_BY_REASON.get(reason, Result.RESET), reason)]
        level = body.get("level")
        if not isinstance(level, int | float) or isinstance(level, bool) or not 0 <= level < 1e9:
            raise NoticeError(f"{event.event}: level is not a number from 0 to below 1e9")
        return [SessionNotice(session_id, attempt, _KIND_BY_EVENT[event.event], float(level))]

    def _on_hello(self, body: dict[str, object]) -> list[SessionUpdate]:
        sessions = body.get("sessions")
        if not isinstance(sessions, list):
            raise NoticeError("hello: sessions is not a list")
        present = {(pair[0], pair[1]) for pair in sessions if isinstance(pair, list) and len(pair) == 2}
        self.boot, self.hello_received = str(body.get("boot", "")), True
        lost = [
            (session_id, attempt)
            for session_id, attempt in self._expected.items()
            if (session_id, attempt) not in present
        ]
        self._expected = {}
        return [
            SessionEnded(session_id, attempt, Result.RESET, "unknown to its box")
            for session_id, attempt in lost
        ]
