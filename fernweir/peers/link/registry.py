"""Which connections there are, which of them is used for a peer, and which must go. Pure.

Of two connections with one peer the first proven is used, so that what is sent keeps its order; but a peer
that calls again long after has lost the first, though this side was not told.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from fernweir.peers.base import Address
from fernweir.peers.link.lanes import Called
from fernweir.peers.link.rules import LinkRules
from fernweir.peers.wire.seal import Seal

if TYPE_CHECKING:
    from fernweir.peers.link.connection import Connection


class Proof(Enum):
    """What is to be done about a connection whose other side was proved."""

    JOINS = "joins"
    STRANGER = "stranger"  # another name than the one that was called
    OLD_LIFE = "old life"


class Due(Enum):
    """What is to be done about a connection as time goes by."""

    NOTHING = "nothing"
    LATE = "late"  # its handshake took too long
    STALLED = "stalled"  # its peer doesn't read
    STUCK = "stuck"  # it was closed, and the last of it is still not out
    IDLE = "idle"


class Registry:
    """`seal` knows the newest life of each name."""

    def __init__(self, rules: LinkRules, seal: Seal) -> None:
        self._rules, self._seal = rules, seal
        self.all: dict[Connection, None] = {}  # oldest first
        self.half: dict[Connection, None] = {}  # accepted and not proven
        self.named: dict[str, Connection] = {}
        self.dialled: dict[Address, Connection] = {}

    def add(self, connection: Connection) -> Connection | None:
        """The half-open connection that must go, if there are too many: the oldest."""
        self.all[connection] = None
        if connection.called is None:
            self.half[connection] = None
            if len(self.half) > self._rules.half_open:
                oldest = next(iter(self.half))
                del self.half[oldest]
                return oldest
        return None

    def prove(self, connection: Connection) -> tuple[Proof, Connection | None]:
        """What it is, and a connection that must go: with an earlier life of the same peer."""
        self.half.pop(connection, None)
        talk = connection.talk
        if isinstance(connection.called, str) and connection.called != talk.peer:
            return Proof.STRANGER, None
        if self._seal.meet(talk.peer, talk.peer_life) is None:
            return Proof.OLD_LIFE, None
        connection.joined = True
        known = self.named.get(talk.peer)
        earlier = known if known is not None and known.talk.peer_life < talk.peer_life else None
        if known is None or earlier is not None or known.closed or self._long_after(known, connection):
            self.named[talk.peer] = connection
        if connection.address is not None:
            self.dialled[connection.address] = connection
        return Proof.JOINS, earlier

    def _long_after(self, known: Connection, connection: Connection) -> bool:
        return connection.since - known.since > self._rules.hello_ms

    def find(self, whom: Called) -> Connection | None:
        """The connection on which a peer is sent to, if there is one."""
        found = self.named.get(whom) if isinstance(whom, str) else self.dialled.get(whom)
        return found if found is not None and found.usable and not self.outlived(found) else None

    def outlived(self, connection: Connection) -> bool:
        """Whether the other side's name is known to live on elsewhere."""
        return connection.talk.peer_life < self._seal.newest(connection.talk.peer)

    def remove(self, connection: Connection) -> None:
        self.all.pop(connection, None)
        self.half.pop(connection, None)
        peer, address = connection.talk.peer, connection.address
        if self.named.get(peer) is connection:
            del self.named[peer]
            for other in self.all:
                if other.usable and other.talk.peer == peer:
                    self.named.setdefault(peer, other)
        if address is not None and self.dialled.get(address) is connection:
            del self.dialled[address]

    def crowded(self) -> Connection | None:
        """The connection not used longest, if there are as many as there may be."""
        usable = [one for one in self.all if one.usable]
        return min(usable, key=lambda one: one.used) if len(usable) >= self._rules.connections else None

    def due(self, connection: Connection, now: float) -> Due:
        rules = self._rules
        if connection.closed:
            return Due.STUCK if now - connection.still_since > rules.stalled_ms else Due.NOTHING
        if not connection.joined:
            return Due.LATE if now - connection.since > rules.hello_ms else Due.NOTHING
        if connection.paused:
            return Due.STALLED if now - connection.still_since > rules.stalled_ms else Due.NOTHING
        # Whoever called closes first, so that seldom both do, or one while the other sends.
        idle_ms = rules.idle_ms * (1 if connection.called is not None else 2)
        return Due.IDLE if now - connection.used > idle_ms or self.outlived(connection) else Due.NOTHING
