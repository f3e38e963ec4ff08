"""A holder: gets leases of channels from a majority of keepers, keeps them, and stops believing by itself.

A lease counts from when it was first asked for, by the holder's clock, for less than any keeper's span can
last. Each call begins by dropping what has lapsed, so that a process that stood still knows at its first.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from fernweir.peers.base import Effect, Message, Outbox
from fernweir.peers.lease.acquisition import Getting
from fernweir.peers.lease.events import Lease
from fernweir.peers.lease.held_leases import Keeping
from fernweir.peers.lease.messages import Extended, Granted, Item, Promised, Refused, Released
from fernweir.peers.lease.pending_releases import Partings
from fernweir.peers.lease.rules import FLOOR_MOST, KeeperSet, LeaseRules, everyone, ordered


class Holder:
    """`life` must differ from that of every earlier process of this name.

    A message to the own name goes to the own keeper's `on_message`, as any other; its answer comes back here.
    """

    def __init__(self, me: str, life: int, rules: LeaseRules, seed: int, sets: Iterable[KeeperSet]) -> None:
        self._life = life
        self._rules = rules
        self._sets = ordered(sets)
        self._out = Outbox()
        self._getting = Getting(life, rules, Random(f"lease {me} {life} {seed}"), self._out)
        self._keeping = Keeping(life, rules, self._out)
        self._partings = Partings(life, rules, self._out)
        self._getting.sets = self._keeping.sets = self._sets

    # --- what the front asks ---

    def want(self, now: float, channel: str, floor: int = 0) -> None:
        """Asks for the channel until `Got`, under a fence above `floor`, the highest that is known.

        To be called again with what a box answered if it knows a higher one, also while the lease is held.
        Raises OverflowError above `channels_most`.
        """
        self._keeping.lapse(now)
        floor = min(floor, FLOOR_MOST)
        leases, wants = self._keeping.leases, self._getting.wants
        held = leases.get(channel)
        if held is not None and held.fence > floor:
            return
        if channel not in wants and len(wants) + len(leases) >= self._rules.channels_most:
            raise OverflowError(f"more than {self._rules.channels_most} channels at one holder")
        self._getting.want(now, channel, floor)

    def release(self, now: float, channel: str) -> None:
        """The channel is not wanted any more; if it is held, it is not from now on, and free for others."""
        self._part(now, channel, "", "released")

    def hand(self, now: float, channel: str, to: str) -> None:
        """As `release`; for `reserve_ms` keepers grant the channel to the front `to` only, if it wants it."""
        self._part(now, channel, to, "handed")

    def holds(self, now: float, channel: str) -> Lease | None:
        """The lease, if it is believed at this moment by the own clock."""
        lease = self._keeping.leases.get(channel)
        return lease if lease is not None and now < lease.until else None

    def held(self, now: float) -> list[Lease]:
        return [lease for lease in self._keeping.leases.values() if now < lease.until]

    def change(self, now: float, sets: Iterable[KeeperSet]) -> bool:
        """The keepers in force are these from now on. What is held stays, renewed by them. False if old."""
        self._keeping.lapse(now)
        found = ordered(sets)
        if found == self._sets or found[-1].version < self._sets[-1].version:
            return False
        self._sets = found
        self._getting.change(now, found)
        self._keeping.change(now, found)
        self._finish(now)
        return True

    # --- the part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        self._keeping.lapse(now)
        if sender not in everyone(self._sets) or getattr(message, "life", self._life) != self._life:
            return
        match message:
            case Promised():
                self._getting.promised(now, sender, message)
            case Granted():
                self._getting.granted(now, sender, message)
            case Refused():
                self._getting.refused(now, sender, message)
            case Extended():
                self._keeping.extended(now, sender, message)
            case Released():
                self._partings.released(sender, message)
            case _:
                pass
        self._finish(now)

    def tick(self, now: float) -> None:
        self._keeping.lapse(now)
        self._getting.tick(now)
        self._keeping.tick(now)
        self._partings.tick(now)
        self._finish(now)

    def next_deadline(self) -> float | None:
        dues = (*self._getting.dues(), *self._keeping.dues(), *self._partings.dues())
        return min(dues, default=None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- between the three ---

    def _part(self, now: float, channel: str, to: str, why: str) -> None:
        self._keeping.lapse(now)
        asked = self._getting.drop(channel)
        lease = self._keeping.end(channel, why)
        fence = max(asked, lease.fence if lease is not None else 0)
        if fence:
            self._partings.say(now, self._sets, [Item(channel, 0, fence)], to, self._rules.lease_ms)

    def _finish(self, now: float) -> None:
        """What was won is kept; what was granted in vain is undone, unless an older lease is locked by it."""
        won, self._getting.won = self._getting.won, []
        for lease in won:
            self._keeping.add(lease)
        undo, self._getting.undo = self._getting.undo, []
        undo = [item for item in undo if item.channel not in self._keeping.leases]
        if undo:
            self._partings.say(now, self._sets, undo, "", self._rules.attempt_ms)
        self._getting.flush()
