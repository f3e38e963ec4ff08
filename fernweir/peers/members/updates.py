"""Processing of updates on other fronts: whether one is newer, what it changes, and which events follow.

An update that declares a member dead is not accepted at once if the member is healthy by this front's own
view. It counts as an accusation first, so that a part of the fleet that lost contact to the rest does not
spread false deaths when the partition heals.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from fernweir.peers.base import Event
from fernweir.peers.members.events import Cleared, Died, Joined, Left, Suspected
from fernweir.peers.members.gossip import GossipQueue
from fernweir.peers.members.messages import Record, State
from fernweir.peers.members.suspicion import Suspicions
from fernweir.peers.members.table import MemberTable


class StatusUpdates:
    """`refused` counts updates on unknown names that were dropped because the table was full."""

    __slots__ = ("_me", "_queue", "_report", "_suspicions", "_table", "refused")

    def __init__(
        self,
        me: str,
        table: MemberTable,
        suspicions: Suspicions,
        queue: GossipQueue,
        report: Callable[[Event], None],
    ) -> None:
        self._me = me
        self._table = table
        self._suspicions = suspicions
        self._queue = queue
        self._report = report
        self.refused = 0

    def on_record(self, now: float, record: Record, spread: bool = True) -> bool:
        """Handles an update on another front. Returns whether it started a suspicion."""
        known = self._table.record_of(record.name)
        if record.state is State.DEAD and known is not None and known.living and known.life == record.life:
            ripe = known.incarnation == record.incarnation and self._suspicions.has_run_half(now, record.name)
            if not ripe:
                record = msgspec.structs.replace(record, state=State.SUSPECT)
        if known is not None and record.key <= known.key:
            if record.key == known.key and record.state is State.SUSPECT:
                self._confirm(record, spread)
            return False
        if not self._table.ensure_capacity(now, record.name):
            self.refused += 1
            return False
        self._table.put(now, record)
        if spread:
            self._queue.add(record)
        if record.state is State.SUSPECT:
            self._suspicions.add(now, record.name, record.accuser, len(self._table.living) + 1)
        else:
            self._suspicions.remove(record.name)
        self._report_change(known, record)
        return record.state is State.SUSPECT

    def _confirm(self, record: Record, spread: bool) -> None:
        accuser = record.accuser
        if accuser != self._me:
            accuser_record = self._table.record_of(accuser)
            if accuser_record is None or not accuser_record.living or accuser == record.name:
                return
        if self._suspicions.confirm(record.name, accuser) and spread:
            self._queue.add(record)

    def _report_change(self, previous: Record | None, current: Record) -> None:
        name = current.name
        if previous is not None and previous.living and previous.life != current.life:
            self._report(Died(name, previous.life))
            previous = None
        previous_state = previous.state if previous is not None and previous.living else None
        if previous_state is None and current.living:
            self._report(Joined(name, current.life))
        if current.state is State.SUSPECT and previous_state is not State.SUSPECT:
            self._report(Suspected(name))
        elif current.state is State.ALIVE and previous_state is State.SUSPECT:
            self._report(Cleared(name))
        elif current.state is State.DEAD and previous_state is not None:
            self._report(Died(name, current.life))
        elif current.state is State.LEFT and previous_state is not None:
            self._report(Left(name, current.life))
