"""What a front makes of a statement on another one: whether it holds, what it changes, who is told.

Death is not believed at once of one that seems well here: it counts as an accusation first, so that a part
of the fleet that lost sight of the rest does not kill by hearsay when the two meet again.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from fernweir.peers.base import Event
from fernweir.peers.members.events import Cleared, Died, Joined, Left, Suspected
from fernweir.peers.members.gossip import Queue
from fernweir.peers.members.messages import Record, State
from fernweir.peers.members.suspicion import Suspicions
from fernweir.peers.members.table import Roster


class News:
    """`refused` counts statements on unknown names for which the table had no room."""

    __slots__ = ("_me", "_queue", "_roster", "_suspicions", "_tell", "refused")

    def __init__(
        self, me: str, roster: Roster, suspicions: Suspicions, queue: Queue, tell: Callable[[Event], None]
    ) -> None:
        self._me = me
        self._roster = roster
        self._suspicions = suspicions
        self._queue = queue
        self._tell = tell
        self.refused = 0

    def hear(self, now: float, record: Record, spread: bool = True) -> bool:
        """True if a suspicion began by it. The record is of another front's name."""
        known = self._roster.known(record.name)
        if record.state is State.DEAD and known is not None and known.living and known.life == record.life:
            ripe = known.incarnation == record.incarnation and self._suspicions.ripe(now, record.name)
            if not ripe:
                record = msgspec.structs.replace(record, state=State.SUSPECT)
        if known is not None and record.key <= known.key:
            if record.key == known.key and record.state is State.SUSPECT:
                self._confirm(record, spread)
            return False
        if not self._roster.room(now, record.name):
            self.refused += 1
            return False
        self._roster.put(now, record)
        if spread:
            self._queue.add(record)
        if record.state is State.SUSPECT:
            self._suspicions.begin(now, record.name, record.by, len(self._roster.living) + 1)
        else:
            self._suspicions.end(record.name)
        self._changed(known, record)
        return record.state is State.SUSPECT

    def _confirm(self, record: Record, spread: bool) -> None:
        by = record.by
        if by != self._me:
            accuser = self._roster.known(by)
            if accuser is None or not accuser.living or by == record.name:
                return
        if self._suspicions.confirm(record.name, by) and spread:
            self._queue.add(record)

    def _changed(self, old: Record | None, new: Record) -> None:
        name = new.name
        if old is not None and old.living and old.life != new.life:
            self._tell(Died(name, old.life))
            old = None
        was = old.state if old is not None and old.living else None
        if was is None and new.living:
            self._tell(Joined(name, new.life))
        if new.state is State.SUSPECT and was is not State.SUSPECT:
            self._tell(Suspected(name))
        elif new.state is State.ALIVE and was is State.SUSPECT:
            self._tell(Cleared(name))
        elif new.state is State.DEAD and was is not None:
            self._tell(Died(name, new.life))
        elif new.state is State.LEFT and was is not None:
            self._tell(Left(name, new.life))
