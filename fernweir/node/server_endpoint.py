"""The state of one media server at a node: its address, connections, attempts and sessions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fernweir.node.config import Address
from fernweir.node.frames import Frame
from fernweir.node.limits import RecentIds
from fernweir.node.liveness import LivenessMonitor
from fernweir.node.release_queue import ReleaseQueue

if TYPE_CHECKING:
    from fernweir.node.attempts import Attempt
    from fernweir.node.health_checks import HealthCheck
    from fernweir.node.server_connection import ServerConnection

MAX_FAILED_ATTEMPTS = 32
"""How many failed attempts per connection, and per server, are kept to recognise late messages."""


@dataclass(slots=True)
class PlacedSession:
    """A session that a server may carry.

    Times are monotonic, in milliseconds.

    Attributes:
        connection: The connection of the set-up, until it ends. None for an adopted session.
        placed_at: When the set-up was written or the session was adopted.
        carrier: A connection to the process that carries the session, which may have ended; that of the
            set-up at first. None if no such connection is known.
        heard_at: When that process last sent a message about the session, or the session was placed.
    """

    connection: ServerConnection | None
    placed_at: float
    carrier: ServerConnection | None = field(init=False)
    heard_at: float = field(init=False)

    def __post_init__(self) -> None:
        """Starts with the connection of the set-up, which leads to the process that carries the session."""
        self.carrier = self.connection
        self.heard_at = self.placed_at

    @property
    def is_connected(self) -> bool:
        """Whether the server can still send on the connection of the set-up."""
        return self.connection is not None and self.connection.is_usable

    @property
    def has_open_carrier(self) -> bool:
        """Whether the process that carries the session can be reached on a known connection."""
        return self.carrier is not None and self.carrier.is_usable

    @property
    def last_evidence_at(self) -> float:
        """When the process that carries the session was last known to run."""
        if self.carrier is None:
            return self.heard_at
        return max(self.heard_at, self.carrier.liveness.last_received_at)


@dataclass(eq=False)
class ServerEndpoint:
    """The state that this node holds for one media server.

    Attributes:
        server: The number of the server.
        address: The address of the server on the endpoint list.
        liveness: Monitors whether the server is alive.
        connections: The connections that have not ended, oldest first.
        attempts: The set-ups in flight, by session.
        placed_sessions: The sessions that the server may carry, by session.
        health_checks: The health checks in flight, by their identifier.
        failed_attempts: Sessions whose attempts failed at this server recently.
        release_queue: The messages that wait for a connection.
        is_displaced: Whether a new connection to the address may reach another server: this one was removed
            from the endpoint list, or the list has given its address to another one.
        is_refusing: Whether the last connect was refused while connections to its process were open. It may
            play on without a listener.
    """

    server: int
    address: Address
    liveness: LivenessMonitor
    connections: list[ServerConnection] = field(default_factory=list)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    placed_sessions: dict[str, PlacedSession] = field(default_factory=dict)
    health_checks: dict[str, HealthCheck] = field(default_factory=dict)
    failed_attempts: RecentIds = field(default_factory=lambda: RecentIds(MAX_FAILED_ATTEMPTS))
    release_queue: ReleaseQueue = field(default_factory=ReleaseQueue)
    is_displaced: bool = False
    is_refusing: bool = False

    @property
    def is_connecting(self) -> bool:
        """Whether a connection is being established."""
        return any(connection.state.is_connecting for connection in self.connections)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in flight to the server and it carries no session."""
        return not (self.placed_sessions or self.attempts or self.health_checks)

    @property
    def broken_attempts(self) -> list[Attempt]:
        """The attempts whose connection broke and that wait until it is known whether the server is alive."""
        return [attempt for attempt in self.attempts.values() if attempt.break_reason]

    def is_last_for_sessions(self, connection: ServerConnection, now: float) -> bool:
        """Whether sessions need a connection, as no other is known to lead to their process or the server."""
        if not self.placed_sessions:
            return False
        carriers = {session.carrier for session in self.placed_sessions.values() if session.has_open_carrier}
        others = [other for other in self.connections if other is not connection and other.is_usable]
        if connection in carriers:
            return not any(other in carriers and other.may_replace(connection, now) for other in others)
        return not others

    def on_session_message(self, session_id: str, connection: ServerConnection, now: float) -> None:
        """Records a message about a session, which shows that its process is at the other end.

        The same process carries the sessions with the same known connection to it, which may be open and
        silent after a partition, and those without one if this session had none either.
        """
        session = self.placed_sessions.get(session_id)
        if session is None or session_id in connection.failed_attempts:
            return
        session.heard_at = now
        former = session.carrier
        had_open_carrier = session.has_open_carrier
        if former is connection:
            return
        for other in self.placed_sessions.values():
            if other.carrier is former or not (had_open_carrier or other.has_open_carrier):
                other.carrier = connection

    @property
    def is_cut_off(self) -> bool:
        """Whether only open connections are certain to lead to the server, and no new one."""
        return self.is_displaced or self.is_refusing

    @property
    def has_open_carrier(self) -> bool:
        """Whether the process that carries some session can be reached on a known connection."""
        return any(session.has_open_carrier for session in self.placed_sessions.values())

    def depends_on(self, connection: ServerConnection) -> bool:
        """Whether some session would be lost with a connection, as no new one would reach its process."""
        return self.is_cut_off and any(
            session.carrier is connection for session in self.placed_sessions.values()
        )

    def drain_connections(self) -> None:
        """Drains all connections, as the server has dropped them, possibly without closing them."""
        for connection in self.connections:
            connection.state.drain()

    def releases_on_broken_connections(self, now: float) -> list[Frame]:
        """Returns the releases that may be lost because their connections have broken since."""
        return [
            frame
            for connection in self.connections
            if not connection.is_usable
            for frame in connection.unconfirmed_releases(now)
        ]
