"""Who may keep a connection, and which ids are remembered: fairness between viewers' connections. No I/O.

A node has few descriptors. Media servers and the feed keep their part whatever viewers do. Among viewers a
newcomer is let in before one that says nothing, or that has nothing open, may stay.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

# The platform owes those who send nothing readable a close within 3 s of connecting (DAYS, Bad clients);
# viewers themselves close a connection without a session after 4 s (PROTOCOL, Viewers to front nodes).
HUSH_MS = 2_500.0


class Shares:
    """How the descriptors of one process are divided."""

    def __init__(self, sockets: int) -> None:
        # Honest viewers hold a third of the limit at most (PROTOCOL), so half leaves room for others.
        self.viewers = max(sockets // 2, 1)
        self.servers = max(sockets // 3, 1)
        # What is over of the two serves idle connections to media servers too, but for a twelfth: listening,
        # feed, loop, log, and peers where there are some.
        self.servers_most = max(sockets - self.viewers - sockets // 12, self.servers)

    def per_server(self, servers: int) -> int:
        """Connections to one media server, at least one to place on and one to hear by."""
        return max(self.servers // max(servers, 1), 2)


class Door(Generic[Key]):
    """Viewers' connections by what they have said: nothing yet, something, or with requests open.

    One that was closed counts until it is over: its descriptor is still there, however slowly it is read.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self._fresh: OrderedDict[Key, float] = OrderedDict()  # connected then, nothing readable yet
        self._idle: OrderedDict[Key, float] = OrderedDict()  # spoke last then, nothing open
        self._busy: dict[Key, int] = {}
        self._parting: OrderedDict[Key, float] = OrderedDict()  # closed then, not over yet
        self._halves: OrderedDict[Key, float] = OrderedDict()  # a line begun then has no end yet

    def __len__(self) -> int:
        return len(self._fresh) + len(self._idle) + len(self._busy) + len(self._parting)

    @property
    def full(self) -> bool:
        return len(self) >= self.most

    def first(self) -> Key | None:
        """Who would go first for a newcomer, if anybody would."""
        return next(itertools.chain(self._parting, self._fresh, self._idle), None)

    def arrive(self, key: Key, now: float) -> Key | None:
        """Lets one in; tells whom to close for it, which may be itself."""
        victim: Key | None = None
        if self.full:
            victim = self.first()
            if victim is None:
                return key
            self.leave(victim)
        self._fresh[key] = now
        return victim

    def made(self, key: Key, now: float) -> None:
        """From now on it can be read: its time to say something begins, however long it waited for that."""
        if self._fresh.pop(key, None) is not None:
            self._fresh[key] = now

    def spoke(self, key: Key, now: float) -> None:
        """Something readable came."""
        if (self._fresh.pop(key, None) is not None or key in self._idle) and key not in self._busy:
            self._idle[key] = now
            self._idle.move_to_end(key)

    def opened(self, key: Key) -> None:
        for table in (self._fresh, self._idle):
            table.pop(key, None)
        self._busy[key] = self._busy.get(key, 0) + 1

    def closed(self, key: Key, now: float) -> None:
        """One request less is open."""
        count = self._busy.get(key, 0)
        if count > 1:
            self._busy[key] = count - 1
        elif count == 1:
            del self._busy[key]
            self._idle[key] = now

    def half(self, key: Key, now: float, there: bool) -> None:
        """Whether a line has begun that has not ended."""
        if there:
            self._halves.setdefault(key, now)
        else:
            self._halves.pop(key, None)

    def part(self, key: Key, now: float) -> None:
        """It was closed, and is not over yet. One let go for another is not known here any more."""
        if key in self._fresh or key in self._idle or key in self._busy:
            self.leave(key)
            self._parting[key] = now

    def parting(self) -> list[Key]:
        return list(self._parting)

    def leave(self, key: Key) -> None:
        for table in (self._fresh, self._idle, self._busy, self._parting, self._halves):
            table.pop(key, None)

    def overdue(self, now: float) -> list[Key]:
        """Those that have had their time to say something whole, or to be over."""
        found: dict[Key, None] = {}
        for table in (self._fresh, self._halves, self._parting):
            for key, since in table.items():
                if now - since < HUSH_MS:
                    break
                found[key] = None
        return list(found)


class Patience:
    """When a connection that goes on making mistakes is closed. Honest ones make one now and then."""

    _IN_A_ROW, _WITH_REQUESTS = 3, 64

    def __init__(self) -> None:
        self._row = 0

    def well(self) -> None:
        self._row = 0

    def wrong(self, open_requests: int) -> bool:
        """Counts a mistake; whether it was one too many. What is open is answered first."""
        self._row += 1
        return self._row >= (self._WITH_REQUESTS if open_requests else self._IN_A_ROW)


class Remembered:
    """The last so many ids that were answered or ended: what is said of them again is no mistake."""

    def __init__(self, most: int = 1024) -> None:
        self._most = most
        self._ids: OrderedDict[str, None] = OrderedDict()

    def add(self, id: str) -> None:
        self._ids[id] = None
        if len(self._ids) > self._most:
            self._ids.popitem(last=False)

    def __contains__(self, id: object) -> bool:
        return id in self._ids
