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

    Attributes:
        connection: The connection of the set-up, until it ends. None for an adopted session.
        placed_at: When the set-up was written or the session was adopted: monotonic, in milliseconds.
    """

    connection: ServerConnection | None
    placed_at: float

    @property
    def is_connected(self) -> bool:
        """Whether the server can still send on the connection of the set-up."""
        return self.connection is not None and self.connection.is_usable


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

    def is_only_usable(self, connection: ServerConnection) -> bool:
        """Whether the server has no other connection to send on."""
        return not any(other.is_usable for other in self.connections if other is not connection)

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
