"""Limits that keep client connections fair: descriptors, admission, error tolerance, recent ids. No I/O.

A node has few file descriptors. Media servers and the feed keep their part whatever clients do. Among clients
a new connection is admitted in preference to one that has sent nothing, or that has no request open.

All times are monotonic and in milliseconds.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

# A client that sends nothing readable must be disconnected within 3 s of connecting (DAYS, Bad clients);
# viewers themselves close a connection without a session after 4 s (PROTOCOL, Viewers to front nodes).
IDLE_TIMEOUT_MS = 2_500.0

_MAX_RECENT_IDS = 1024


class DescriptorQuota:
    """How the file descriptors of one process are divided.

    Attributes:
        client_connections: The most connections of clients.
        server_connections: The connections to all media servers together that are always available.
        max_server_connections: The most connections to all media servers, idle ones included.
    """

    def __init__(self, sockets: int) -> None:
        # Well-behaved viewers use at most a third of the limit (PROTOCOL); half also admits other clients.
        self.client_connections = max(sockets // 2, 1)
        self.server_connections = max(sockets // 3, 1)
        # What remains of the two also serves idle connections to media servers, except for a twelfth: the
        # listening socket, feed, event loop, log, and peers where there are some.
        reserved = sockets // 12
        self.max_server_connections = max(
            sockets - self.client_connections - reserved, self.server_connections
        )

    def connections_per_server(self, server_count: int) -> int:
        """Returns the most connections to one server: at least one for set-ups and one for its messages."""
        return max(self.server_connections // max(server_count, 1), 2)


class ConnectionAdmission(Generic[Key]):
    """Decides which client connections may stay, by what they have sent.

    Each admitted connection is silent (nothing readable yet), idle (no request open), has open requests, or
    is closing. A closing one counts until it has ended: its descriptor is in use however slowly it is read.

    Attributes:
        max_connections: The most connections at a time.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._silent: OrderedDict[Key, float] = OrderedDict()  # since when it can be read
        self._idle: OrderedDict[Key, float] = OrderedDict()  # time of its last message
        self._open_requests: dict[Key, int] = {}
        self._closing: OrderedDict[Key, float] = OrderedDict()  # since when
        self._partial_lines: OrderedDict[Key, float] = OrderedDict()  # when its unfinished line began

    def __len__(self) -> int:
        return len(self._silent) + len(self._idle) + len(self._open_requests) + len(self._closing)

    @property
    def is_full(self) -> bool:
        """Whether a new connection is admitted only if another is evicted."""
        return len(self) >= self.max_connections

    def eviction_candidate(self) -> Key | None:
        """Returns the connection that would be evicted first for a new one, if any may be."""
        return next(itertools.chain(self._closing, self._silent, self._idle), None)

    def admit(self, key: Key, now: float) -> Key | None:
        """Admits a new connection, if need be in place of another.

        Returns:
            The connection to close for it, which is the new one itself if no other may be evicted.
        """
        evicted: Key | None = None
        if self.is_full:
            evicted = self.eviction_candidate()
            if evicted is None:
                return key
            self.remove(evicted)
        self._silent[key] = now
        return evicted

    def on_connection_made(self, key: Key, now: float) -> None:
        """Restarts the idle timeout: the connection can be read only now, however long it waited for that."""
        if self._silent.pop(key, None) is not None:
            self._silent[key] = now

    def on_message_received(self, key: Key, now: float) -> None:
        """Records that a readable message came."""
        was_silent = self._silent.pop(key, None) is not None
        if (was_silent or key in self._idle) and key not in self._open_requests:
            self._idle[key] = now
            self._idle.move_to_end(key)

    def on_request_opened(self, key: Key) -> None:
        """Records that one more request of the connection is open."""
        self._silent.pop(key, None)
        self._idle.pop(key, None)
        self._open_requests[key] = self._open_requests.get(key, 0) + 1

    def on_request_finished(self, key: Key, now: float) -> None:
        """Records that one request less is open."""
        count = self._open_requests.get(key, 0)
        if count > 1:
            self._open_requests[key] = count - 1
        elif count == 1:
            del self._open_requests[key]
            self._idle[key] = now

    def set_partial_line(self, key: Key, now: float, is_partial: bool) -> None:
        """Records whether a line of the connection has begun and not ended."""
        if is_partial:
            self._partial_lines.setdefault(key, now)
        else:
            self._partial_lines.pop(key, None)

    def on_connection_closing(self, key: Key, now: float) -> None:
        """Records that the connection was closed and has not ended. An evicted one is unknown by then."""
        if key in self._silent or key in self._idle or key in self._open_requests:
            self.remove(key)
            self._closing[key] = now

    def closing_connections(self) -> list[Key]:
        """Returns the connections that were closed and have not ended, the longest first."""
        return list(self._closing)

    def remove(self, key: Key) -> None:
        """Forgets a connection that has ended or was evicted."""
        for table in (self._silent, self._idle, self._open_requests, self._closing, self._partial_lines):
            table.pop(key, None)

    def timed_out_connections(self, now: float) -> list[Key]:
        """Returns those that were silent, in the middle of a line, or closing for `IDLE_TIMEOUT_MS`."""
        found: dict[Key, None] = {}
        for table in (self._silent, self._partial_lines, self._closing):
            for key, since in table.items():
                if now - since < IDLE_TIMEOUT_MS:
                    break
                found[key] = None
        return list(found)


class ErrorTolerance:
    """When a connection that keeps sending invalid messages is closed.

    A few errors are tolerated, as well-behaved clients make one at times.
    """

    _MAX_CONSECUTIVE_ERRORS = 3
    _MAX_ERRORS_WITH_OPEN_REQUESTS = 64

    def __init__(self) -> None:
        self._consecutive_errors = 0

    def record_success(self) -> None:
        """Records a valid message."""
        self._consecutive_errors = 0

    def record_error(self, open_requests: int) -> bool:
        """Records an invalid message.

        Args:
            open_requests: How many requests are open: with some, more errors are tolerated, so that they
                are answered first.

        Returns:
            Whether it was one error too many.
        """
        self._consecutive_errors += 1
        limit = self._MAX_ERRORS_WITH_OPEN_REQUESTS if open_requests else self._MAX_CONSECUTIVE_ERRORS
        return self._consecutive_errors >= limit


class RecentIds:
    """The last ids that were answered or ended: another message for one of them is no error."""

    def __init__(self, max_ids: int = _MAX_RECENT_IDS) -> None:
        self._max_ids = max_ids
        self._ids: OrderedDict[str, None] = OrderedDict()

    def add(self, session_id: str) -> None:
        """Adds an id; beyond the bound the oldest is forgotten."""
        self._ids[session_id] = None
        if len(self._ids) > self._max_ids:
            self._ids.popitem(last=False)

    def __contains__(self, session_id: object) -> bool:
        return session_id in self._ids
