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
IDLE_TIMEOUT_MS = 2_500.0


class DescriptorQuota:
    """How the descriptors of one process are divided."""

    def __init__(self, sockets: int) -> None:
        # Honest viewers hold a third of the limit at most (PROTOCOL), so half leaves room for others.
        self.client_connections = max(sockets // 2, 1)
        self.server_connections = max(sockets // 3, 1)
        # What is over of the two serves idle connections to media servers too, but for a twelfth: listening,
        # feed, loop, log, and peers where there are some.
        self.max_server_connections = max(
            sockets - self.client_connections - sockets // 12, self.server_connections
        )

    def connections_per_server(self, servers: int) -> int:
        """Connections to one media server, at least one to place on and one to hear by."""
        return max(self.server_connections // max(servers, 1), 2)


class ConnectionAdmission(Generic[Key]):
    """Viewers' connections by what they have said: nothing yet, something, or with requests open.

    One that was closed counts until it is over: its descriptor is still there, however slowly it is read.
    """

    def __init__(self, most: int) -> None:
        self.max_connections = most
        self._silent: OrderedDict[Key, float] = OrderedDict()  # connected then, nothing readable yet
        self._idle: OrderedDict[Key, float] = OrderedDict()  # spoke last then, nothing open
        self._open_requests: dict[Key, int] = {}
        self._closing: OrderedDict[Key, float] = OrderedDict()  # closed then, not over yet
        self._partial_lines: OrderedDict[Key, float] = OrderedDict()  # a line begun then has no end yet

    def __len__(self) -> int:
        return len(self._silent) + len(self._idle) + len(self._open_requests) + len(self._closing)

    @property
    def is_full(self) -> bool:
        return len(self) >= self.max_connections

    def eviction_candidate(self) -> Key | None:
        """Who would go first for a newcomer, if anybody would."""
        return next(itertools.chain(self._closing, self._silent, self._idle), None)

    def admit(self, key: Key, now: float) -> Key | None:
        """Lets one in; tells whom to close for it, which may be itself."""
        victim: Key | None = None
        if self.is_full:
            victim = self.eviction_candidate()
            if victim is None:
                return key
            self.remove(victim)
        self._silent[key] = now
        return victim

    def on_connection_made(self, key: Key, now: float) -> None:
        """From now on it can be read: its time to say something begins, however long it waited for that."""
        if self._silent.pop(key, None) is not None:
            self._silent[key] = now

    def on_message_received(self, key: Key, now: float) -> None:
        """Something readable came."""
        if (self._silent.pop(key, None) is not None or key in self._idle) and key not in self._open_requests:
            self._idle[key] = now
            self._idle.move_to_end(key)

    def on_request_opened(self, key: Key) -> None:
        for table in (self._silent, self._idle):
            table.pop(key, None)
        self._open_requests[key] = self._open_requests.get(key, 0) + 1

    def on_request_finished(self, key: Key, now: float) -> None:
        """One request less is open."""
        count = self._open_requests.get(key, 0)
        if count > 1:
            self._open_requests[key] = count - 1
        elif count == 1:
            del self._open_requests[key]
            self._idle[key] = now

    def set_partial_line(self, key: Key, now: float, there: bool) -> None:
        """Whether a line has begun that has not ended."""
        if there:
            self._partial_lines.setdefault(key, now)
        else:
            self._partial_lines.pop(key, None)

    def on_connection_closing(self, key: Key, now: float) -> None:
        """It was closed, and is not over yet. One let go for another is not known here any more."""
        if key in self._silent or key in self._idle or key in self._open_requests:
            self.remove(key)
            self._closing[key] = now

    def closing_connections(self) -> list[Key]:
        return list(self._closing)

    def remove(self, key: Key) -> None:
        for table in (self._silent, self._idle, self._open_requests, self._closing, self._partial_lines):
            table.pop(key, None)

    def timed_out_connections(self, now: float) -> list[Key]:
        """Those that have had their time to say something whole, or to be over."""
        found: dict[Key, None] = {}
        for table in (self._silent, self._partial_lines, self._closing):
            for key, since in table.items():
                if now - since < IDLE_TIMEOUT_MS:
                    break
                found[key] = None
        return list(found)


class ErrorTolerance:
    """When a connection that goes on making mistakes is closed. Honest ones make one now and then."""

    _MAX_CONSECUTIVE_ERRORS, _MAX_ERRORS_WITH_OPEN_REQUESTS = 3, 64

    def __init__(self) -> None:
        self._consecutive_errors = 0

    def record_success(self) -> None:
        self._consecutive_errors = 0

    def record_error(self, open_requests: int) -> bool:
        """Counts a mistake; whether it was one too many. What is open is answered first."""
        self._consecutive_errors += 1
        return self._consecutive_errors >= (
            self._MAX_ERRORS_WITH_OPEN_REQUESTS if open_requests else self._MAX_CONSECUTIVE_ERRORS
        )


class RecentIds:
    """The last so many ids that were answered or ended: what is said of them again is no mistake."""

    def __init__(self, most: int = 1024) -> None:
        self._max_ids = most
        self._ids: OrderedDict[str, None] = OrderedDict()

    def add(self, id: str) -> None:
        self._ids[id] = None
        if len(self._ids) > self._max_ids:
            self._ids.popitem(last=False)

    def __contains__(self, id: object) -> bool:
        return id in self._ids
