"""The stream of notes from one box: what it must look like, and what its silence or end means.

`NotesState` is free of I/O: it reads events and says what they tell. A stream that breaks proves nothing
of the sessions; what does is a refused connection, or the box's own list of what it holds when the stream
comes back.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from fernweir.http.sse import ServerEvent
from fernweir.interface import NoticeKind, Result

_KINDS = {
    "delivered": NoticeKind.DELIVERED,
    "rung": NoticeKind.RUNG,
    "link": NoticeKind.LINK,
    "uplink": NoticeKind.UPLINK,
}
_ENDS = {"finished": Result.OK, "left": Result.OK, "broken": Result.RESET, "idle": Result.RESET}


class NotesError(ValueError):
    """An event that the protocol doesn't know in this form; it is passed over."""


@dataclass(frozen=True, slots=True)
class Told:
    """A note on one session."""

    jti: str
    attempt: int
    kind: NoticeKind
    level: float


@dataclass(frozen=True, slots=True)
class Over:
    """One session ended at the box."""

    jti: str
    attempt: int
    result: Result
    why: str


News = Told | Over


class NotesState:
    """What one box's stream has said. `asked` takes the sessions that play there as the stream is opened."""

    def __init__(self) -> None:
        self.boot = ""
        self.greeted = False
        self._asked: dict[str, int] = {}

    def asked(self, playing: dict[str, int]) -> None:
        # A session set up after this may be missing in the greeting without being lost.
        self._asked, self.greeted = dict(playing), False

    def take(self, event: ServerEvent) -> list[News]:
        """What an event tells. NotesError if it can't be read."""
        try:
            body = json.loads(event.data)
        except (ValueError, RecursionError):
            raise NotesError(f"{event.event}: not JSON") from None
        if not isinstance(body, dict):
            raise NotesError(f"{event.event}: not an object")
        if event.event == "hello":
            return self._hello(body)
        if event.event not in _KINDS and event.event != "ended":
            return []
        jti, attempt = body.get("session"), body.get("attempt")
        if not isinstance(jti, str) or not isinstance(attempt, int):
            raise NotesError(f"{event.event}: without session and attempt")
        if event.event == "ended":
            why = str(body.get("reason"))
            return [Over(jti, attempt, _ENDS.get(why, Result.RESET), why)]
        level = body.get("level")
        if not isinstance(level, int | float) or isinstance(level, bool) or not 0 <= level < 1e9:
            raise NotesError(f"{event.event}: level is no number")
        return [Told(jti, attempt, _KINDS[event.event], float(level))]

    def _hello(self, body: dict[str, object]) -> list[News]:
        held = body.get("sessions")
        if not isinstance(held, list):
            raise NotesError("hello: without sessions")
        there = {(one[0], one[1]) for one in held if isinstance(one, list) and len(one) == 2}
        self.boot, self.greeted = str(body.get("boot", "")), True
        lost = [(jti, attempt) for jti, attempt in self._asked.items() if (jti, attempt) not in there]
        self._asked = {}
        return [Over(jti, attempt, Result.RESET, "unknown to its box") for jti, attempt in lost]
