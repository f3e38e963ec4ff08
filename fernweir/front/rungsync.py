"""Brings each playing session's rung to its box: the newest wins, one message out a session; free of I/O.

A rung that was lost on the way would leave the module's account wrong for the rest of the session, so it
is sent again after a pause, a few times; a box that says it knows no such session ends it.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

Key = tuple[str, int]


@dataclass(slots=True)
class _Wish:
    server: int
    rung: int
    tries: int = 0
    out: bool = False
    again_at: float | None = None


@dataclass(frozen=True, slots=True)
class Send:
    jti: str
    attempt: int
    server: int
    rung: int


class RungSync:
    """`due` gives what to send now. Times are milliseconds."""

    def __init__(self, *, tries: int = 4, pause_ms: float = 250.0) -> None:
        self._tries, self._pause_ms = tries, pause_ms
        self._wishes: dict[Key, _Wish] = {}
        self._later: list[tuple[float, Key]] = []

    def __len__(self) -> int:
        return len(self._wishes)

    def want(self, jti: str, attempt: int, server: int, rung: int) -> Send | None:
        """A new rung; None while an earlier one is out, after which this one goes."""
        wish = self._wishes.setdefault((jti, attempt), _Wish(server, rung))
        wish.rung, wish.tries, wish.again_at = rung, 0, None
        return self._send((jti, attempt), wish)

    def done(self, now: float, sent: Send, arrived: bool) -> Send | None:
        """The end of one message; what to send next for this session, if anything at once."""
        key = (sent.jti, sent.attempt)
        wish = self._wishes.get(key)
        if wish is None:
            return None
        wish.out = False
        if wish.rung != sent.rung:
            return self._send(key, wish)
        if arrived or wish.tries >= self._tries:
            del self._wishes[key]
            return None
        wish.again_at = now + self._pause_ms * 2.0 ** (wish.tries - 1)
        heapq.heappush(self._later, (wish.again_at, key))
        return None

    def forget(self, jti: str, attempt: int) -> None:
        self._wishes.pop((jti, attempt), None)

    def due(self, now: float) -> list[Send]:
        found = []
        while self._later and self._later[0][0] <= now:
            at, key = heapq.heappop(self._later)
            wish = self._wishes.get(key)
            if wish is not None and wish.again_at == at and (send := self._send(key, wish)) is not None:
                found.append(send)
        return found

    def next_due(self) -> float | None:
        return self._later[0][0] if self._later else None

    def _send(self, key: Key, wish: _Wish) -> Send | None:
        if wish.out:
            return None
        wish.out, wish.again_at = True, None
        wish.tries += 1
        return Send(key[0], key[1], wish.server, wish.rung)
