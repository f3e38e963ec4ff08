"""Limits for client connections: descriptor quota, admission, error tolerance, recent ids. No I/O.

A node has few file descriptors. A part of them is reserved for media servers and the feed, whatever clients
do. A new client connection takes precedence over one that has sent nothing or that has no open request.

All times are monotonic and in milliseconds.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

# A client that sends no valid message must be disconnected within 3 s of connecting (DAYS, Bad clients).
# Viewers themselves close a connection without a session after 4 s (PROTOCOL, Viewers to front nodes).
IDLE_TIMEOUT_MS = 2_500.0

_MAX_RECENT_IDS = 1024


class DescriptorQuota:
    """Divides the file descriptors of one process.

    Attributes:
        client_connections: The maximum number of client connections.
        server_connections: The number of connections to all media servers that is guaranteed to be available.
        max_server_connections: The maximum number of connections to all media servers, including idle ones.
    """

    def __init__(self, sockets: int) -> None:
        # Well-behaved viewers use at most a third of the limit (PROTOCOL); half also admits other clients.
        self.client_connections = max(sockets // 2, 1)
        self.server_connections = max(sockets // 3, 1)
        # The rest is also available for idle connections to media servers, except for a twelfth, which is
        # reserved for the listening socket, the feed, the event loop, the log, and peers, if there are any.
        reserved = sockets // 12
        self.max_server_connections = max(
            sockets - self.client_connections - reserved, self.server_connections
        )

    def connections_per_server(self, server_count: int) -> int:
        """Returns the connection limit per server: at least one for set-ups and one for its messages."""
        return max(self.server_connections // max(server_count, 1), 2)


class ConnectionAdmission(Generic[Key]):
    """Decides which client connections may stay open, based on what they have sent.

    Each admitted connection is silent (no valid message yet), idle (no open request), has open requests, or
    is closing. A closing connection counts until it has ended, since its descriptor remains in use however
    slowly the client reads.

    Attributes:
        max_connections: The maximum number of connections at a time.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._silent: OrderedDict[Key, float] = OrderedDict()  # since when the connection can be read
        self._idle: OrderedDict[Key, float] = OrderedDict()  # time of the last message
        self._open_requests: dict[Key, int] = {}
        self._closing: OrderedDict[Key, float] = OrderedDict()  # since when it is closing
        self._partial_lines: OrderedDict[Key, float] = OrderedDict()  # when the partial line began

    def __len__(self) -> int:
        return len(self._silent) + len(self._idle) + len(self._open_requests) + len(self._closing)

    @property
    def is_full(self) -> bool:
        """Whether a new connection can only be admitted by evicting another one."""
        return len(self) >= self.max_connections

    def eviction_candidate(self) -> Key | None:
        """Returns the connection that would be evicted next, or None if none may be evicted."""
        return next(itertools.chain(self._closing, self._silent, self._idle), None)

    def admit(self, key: Key, now: float) -> Key | None:
        """Admits a new connection, evicting another one if necessary.

        Returns:
            The connection to close, if any: an evicted one, or the new one itself if none may be evicted.
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
        """Restarts the idle timeout, since the connection can be read only from now on."""
        if self._silent.pop(key, None) is not None:
            self._silent[key] = now

    def on_message_received(self, key: Key, now: float) -> None:
        """Records that a valid message was received."""
        was_silent = self._silent.pop(key, None) is not None
        if (was_silent or key in self._idle) and key not in self._open_requests:
            self._idle[key] = now
            self._idle.move_to_end(key)

    def on_request_opened(self, key: Key) -> None:
        """Records that the connection has one more open request."""
        self._silent.pop(key, None)
        self._idle.pop(key, None)
        self._open_requests[key] = self._open_requests.get(key, 0) + 1

    def on_request_finished(self, key: Key, now: float) -> None:
        """Records that the connection has one open request less."""
        count = self._open_requests.get(key, 0)
        if count > 1:
            self._open_requests[key] = count - 1
        elif count == 1:
            del self._open_requests[key]
            self._idle[key] = now

    def set_partial_line(self, key: Key, now: float, is_partial: bool) -> None:
        """Records whether the last line received on the connection is incomplete."""
        if is_partial:
            self._partial_lines.setdefault(key, now)
        else:
            self._partial_lines.pop(key, None)

    def on_connection_closing(self, key: Key, now: float) -> None:
        """Records that the connection is closing. Ignores evicted connections, which are already removed."""
        if key in self._silent or key in self._idle or key in self._open_requests:
            self.remove(key)
            self._closing[key] = now

    def closing_connections(self) -> list[Key]:
        """Returns the closing connections, the one that has been closing longest first."""
        return list(self._closing)

    def remove(self, key: Key) -> None:
        """Removes a connection that has ended or was evicted."""
        for table in (self._silent, self._idle, self._open_requests, self._closing, self._partial_lines):
            table.pop(key, None)

    def timed_out_connections(self, now: float) -> list[Key]:
        """Returns the connections that were silent, within a line, or closing for `IDLE_TIMEOUT_MS`."""
        found: dict[Key, None] = {}
        for table in (self._silent, self._partial_lines, self._closing):
            for key, since in table.items():
                if now - since < IDLE_TIMEOUT_MS:
                    break
                found[key] = None
        return list(found)


class ErrorTolerance:
    """Decides when a connection that sends invalid messages is closed.

    A few errors are tolerated, since well-behaved clients make some occasionally.
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
            open_requests: How many requests are open. If there are any, more errors are tolerated, so that
                the open requests are answered first.

        Returns:
            Whether the limit is reached and the connection should be closed.
        """
        self._consecutive_errors += 1
        limit = self._MAX_ERRORS_WITH_OPEN_REQUESTS if open_requests else self._MAX_CONSECUTIVE_ERRORS
        return self._consecutive_errors >= limit


class RecentIds:
    """The ids that were answered or ended most recently. Further messages for them are not errors."""

    def __init__(self, max_ids: int = _MAX_RECENT_IDS) -> None:
        self._max_ids = max_ids
        self._ids: OrderedDict[str, None] = OrderedDict()

    def add(self, session_id: str) -> None:
        """Adds an id, and removes the oldest one if there are more than `max_ids`."""
        self._ids[session_id] = None
        if len(self._ids) > self._max_ids:
            self._ids.popitem(last=False)

    def __contains__(self, session_id: object) -> bool:
        return session_id in self._ids
