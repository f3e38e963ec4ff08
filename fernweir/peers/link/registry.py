"""Tracks the connections, chooses the one that is used for each peer and those that must be closed. Pure.

Of two connections with one peer the first proven is used, so that messages keep their order. A peer that
connects again much later has lost the first connection, even if this side saw no error.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from fernweir.peers.base import Address
from fernweir.peers.link.rules import LinkRules
from fernweir.peers.link.send_queues import PeerTarget
from fernweir.peers.wire.seal import Seal

if TYPE_CHECKING:
    from fernweir.peers.link.connection import Connection


class Proof(Enum):
    """The result of a handshake in which the peer proved its identity."""

    ESTABLISHED = "joins"
    IDENTITY_MISMATCH = "stranger"  # another name than the one that was dialled
    OLD_INCARNATION = "old life"


class Due(Enum):
    """What the periodic sweep has to do with a connection."""

    NOTHING = "nothing"
    HANDSHAKE_TIMEOUT = "late"  # the handshake took too long
    STALLED = "stalled"  # the peer doesn't read
    STUCK = "stuck"  # it was closed, and its last bytes are still not sent
    IDLE = "idle"


class Registry:
    """All connections, indexed by peer name and dialled address.

    `seal` holds the newest incarnation of each name. `name_at` returns the name of the peer that is known to
    have an address now, or None.
    """

    def __init__(
        self, rules: LinkRules, seal: Seal, name_at: Callable[[Address], str | None] = lambda address: None
    ) -> None:
        self._rules, self._seal, self._name_at = rules, seal, name_at
        self.all: dict[Connection, None] = {}  # oldest first
        self.half_open: dict[Connection, None] = {}  # accepted and not proven
        self.by_name: dict[str, Connection] = {}
        self.by_address: dict[Address, Connection] = {}

    def add(self, connection: Connection) -> Connection | None:
        """Adds a connection. Returns the oldest half-open one for eviction if there are too many."""
        self.all[connection] = None
        if connection.dialled_target is None:
            self.half_open[connection] = None
            if len(self.half_open) > self._rules.half_open:
                oldest = next(iter(self.half_open))
                del self.half_open[oldest]
                return oldest
        return None

    def register_proven(self, connection: Connection) -> tuple[Proof, Connection | None]:
        """Returns the verdict, and a connection to close: one to an earlier incarnation of the peer."""
        self.half_open.pop(connection, None)
        conversation = connection.conversation
        if isinstance(connection.dialled_target, str) and connection.dialled_target != conversation.peer:
            return Proof.IDENTITY_MISMATCH, None
        if self._seal.register_sender(conversation.peer, conversation.peer_incarnation) is None:
            return Proof.OLD_INCARNATION, None
        connection.established = True
        known = self.by_name.get(conversation.peer)
        superseded = (
            known
            if known is not None and known.conversation.peer_incarnation < conversation.peer_incarnation
            else None
        )
        if known is None or superseded is not None or known.closed or self._is_reconnect(known, connection):
            self.by_name[conversation.peer] = connection
        if connection.address is not None:
            self.by_address[connection.address] = connection
        return Proof.ESTABLISHED, superseded

    def _is_reconnect(self, known: Connection, connection: Connection) -> bool:
        return connection.opened_at_ms - known.opened_at_ms > self._rules.hello_timeout_ms

    def find(self, target: PeerTarget) -> Connection | None:
        """Returns the connection that is used to send to a peer, if there is one."""
        found = self.by_name.get(target) if isinstance(target, str) else self._find_at(target)
        return found if found is not None and found.is_usable and not self.is_superseded(found) else None

    def _find_at(self, address: Address) -> Connection | None:
        """Returns a connection to the peer that has an address now, which may have been another's before."""
        name = self._name_at(address)
        found = self.by_address.get(address)
        if name is None or (found is not None and found.conversation.peer == name):
            return found
        return self.by_name.get(name)

    def is_superseded(self, connection: Connection) -> bool:
        """Returns whether a newer incarnation of the peer is known."""
        return connection.conversation.peer_incarnation < self._seal.newest_incarnation(
            connection.conversation.peer
        )

    def remove(self, connection: Connection) -> None:
        self.all.pop(connection, None)
        self.half_open.pop(connection, None)
        peer, address = connection.conversation.peer, connection.address
        if self.by_name.get(peer) is connection:
            del self.by_name[peer]
            for other in self.all:
                if other.is_usable and other.conversation.peer == peer:
                    self.by_name.setdefault(peer, other)
        if address is not None and self.by_address.get(address) is connection:
            del self.by_address[address]

    def connection_to_evict(self) -> Connection | None:
        """Returns the least recently used connection if the maximum number is reached."""
        usable = [one for one in self.all if one.is_usable]
        return (
            min(usable, key=lambda one: one.last_used_ms) if len(usable) >= self._rules.connections else None
        )

    def due_action(self, connection: Connection, now: float) -> Due:
        rules = self._rules
        if connection.closed:
            return Due.STUCK if now - connection.stalled_since_ms > rules.stall_timeout_ms else Due.NOTHING
        if not connection.established:
            return (
                Due.HANDSHAKE_TIMEOUT
                if now - connection.opened_at_ms > rules.hello_timeout_ms
                else Due.NOTHING
            )
        if connection.paused:
            return Due.STALLED if now - connection.stalled_since_ms > rules.stall_timeout_ms else Due.NOTHING
        # The dialling side closes first. So both sides rarely close at once, or one while the other sends.
        idle_timeout_ms = rules.idle_timeout_ms * (1 if connection.dialled_target is not None else 2)
        return (
            Due.IDLE
            if now - connection.last_used_ms > idle_timeout_ms or self.is_superseded(connection)
            else Due.NOTHING
        )
