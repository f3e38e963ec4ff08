"""A front's own record: its life and incarnation, and what it does about another one with its name.

Suspicion of oneself is refuted by a higher incarnation (SWIM). A life heard for the own name that is at
least the own one belongs either to an earlier process, and then the own life is raised above it; or to
another front that lives. Of two the one with the lower life gives way: it never raises its life while the
other lives, so that names do not flap.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from fernweir.peers.base import Address, Event
from fernweir.peers.members.events import Clash, Joined, Me
from fernweir.peers.members.messages import INCARNATION_MOST, LIFE_MOST, Record, State
from fernweir.peers.members.rules import MemberRules

VERDICT = 4  # periods for which a rival that others declared dead must be silent to us too


@dataclass(slots=True)
class Rival:
    """Who seems to live with the own name, as the newest record has it. `since`: its last sign of life, or
    when it was first heard of. `verdict`: when others declared it dead.
    """

    record: Record
    since: float
    ask_at: float
    verdict: float | None = None
    seq: int = -1


class Identity:
    """`displaced`: another front with this name lives and has the higher life. `publish` takes records."""

    __slots__ = ("_publish", "_rules", "_tell", "_told", "displaced", "record", "refuted", "rival")

    def __init__(
        self, me: Me, rules: MemberRules, publish: Callable[[Record], None], tell: Callable[[Event], None]
    ) -> None:
        host, port = me.address
        record = Record(me.name, State.ALIVE, me.life, 0, host, port, *me.formats)
        self.record = msgspec.convert(
            msgspec.to_builtins(record), Record
        )  # a ValueError if others refused it
        self._rules = rules
        self._publish = publish
        self._tell = tell
        self._told: tuple[Address, int] | None = None
        self.rival: Rival | None = None
        self.displaced = False
        self.refuted = 0

    def hear(self, now: float, record: Record) -> None:
        """A statement on the own name."""
        own = self.record
        if not own.living:
            return
        if record.address == own.address:
            if record.life > own.life:
                self._raise(record.life + 1)
            elif record.key > own.key:
                self._refute(record)
        elif record.life >= own.life:
            tie = record.life == own.life and own.address > record.address
            if tie or (self.rival is None and not record.living):
                self._raise(record.life + 1)
            else:
                self._contest(now, record)

    def _refute(self, record: Record) -> None:
        self.refuted += 1
        if record.incarnation == INCARNATION_MOST:
            self._raise(record.life + 1)
            return
        self._set(msgspec.structs.replace(self.record, incarnation=record.incarnation + 1))

    def _raise(self, life: int) -> None:
        """A life above all heard; beyond the bound of the field nothing can be said."""
        if life > LIFE_MOST:
            return
        self.rival, self.displaced = None, False
        self._set(msgspec.structs.replace(self.record, life=life, incarnation=0))
        self._tell(Joined(self.record.name, life))

    def _set(self, record: Record) -> None:
        self.record = record
        self._publish(record)

    def leave(self) -> None:
        self._set(msgspec.structs.replace(self.record, state=State.LEFT))

    def _contest(self, now: float, record: Record) -> None:
        rival = self.rival
        if rival is None or rival.record.life < record.life:
            self.rival = Rival(record, now, now, None if record.living else now)
        elif rival.record.key <= record.key:
            rival.record = record
            if record.living:
                rival.verdict = None
            elif rival.verdict is None:
                rival.verdict = rival.ask_at = now

    def ask(self, now: float, number: int, alone: bool) -> Address | None:
        """Whom to ping under this number, if it is time to ask the rival for a sign of life.

        Declared dead by others, and silent to us as well for `VERDICT` periods, it has lost its claim.
        Without their verdict silence to us is no death, so we give way; unless we are alone, and it was
        silent for `contest`.
        """
        rival = self.rival
        if rival is None or now < rival.ask_at:
            return None
        if rival.verdict is not None and now - rival.verdict >= VERDICT * self._rules.period:
            self._raise(rival.record.life + 1)
            return None
        if now - rival.since >= self._rules.contest:
            if alone:
                self._raise(rival.record.life + 1)
                return None
            self._give_way(rival)
        often = rival.verdict is not None or not self.displaced
        rival.ask_at = now + (self._rules.period if often else self._rules.rejoin_every)
        rival.seq = number
        return rival.record.address

    def stood(self, now: float) -> None:
        """This process stood still: a rival's silence counts from now."""
        if self.rival is not None:
            self.rival.since = now
            self.rival.verdict = now if self.rival.verdict is not None else None

    def answered(self, now: float, seq: int, life: int) -> None:
        """The rival's own answer: it lives."""
        if self.rival is not None and seq == self.rival.seq and life >= self.record.life:
            self.rival.since, self.rival.verdict = now, None
            self._give_way(self.rival)

    def asked_by(self, record: Record) -> None:
        """A ping came from a front with the own name and, as it stands, the lower life."""
        if record.address != self.record.address and record.life < self.record.life:
            self._clash(record.address, record.life)

    def _give_way(self, rival: Rival) -> None:
        self.displaced = True
        self._clash(rival.record.address, rival.record.life)

    def _clash(self, address: Address, life: int) -> None:
        if self._told != (address, life):
            self._told = (address, life)
            self._tell(Clash(self.record.name, address))

    def due(self) -> float:
        return self.rival.ask_at if self.rival is not None else math.inf
