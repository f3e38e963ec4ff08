"""A front's own record with its life and incarnation, and the resolution of name clashes.

A front refutes a suspicion of itself by a higher incarnation (SWIM). A received life of its own name that is
not lower than its own belongs either to an earlier process, in which case the front raises its life above it,
or to another front that is alive. Of two living fronts the one with the lower life yields: it does not raise
its life while the other is alive, so that the name does not flap.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from fernweir.peers.base import Address, Event
from fernweir.peers.members.events import Clash, Joined, Me
from fernweir.peers.members.messages import MAX_INCARNATION, MAX_LIFE, Record, State
from fernweir.peers.members.rules import MemberRules

VERDICT_PERIODS = 4  # for which a rival that others declared dead must also be silent to this front


@dataclass(slots=True)
class Rival:
    """Another front that seems to be alive with this front's name, by its newest record.

    `last_seen` is its last sign of life or the time of the first record. `declared_dead_at` is when others
    declared it dead.
    """

    record: Record
    last_seen: float
    probe_at: float
    declared_dead_at: float | None = None
    seq: int = -1


class Identity:
    """The own record, which is passed to `publish` when it changes.

    `displaced` is true while another living front has this name and a higher life.
    """

    __slots__ = (
        "_publish",
        "_report",
        "_reported_clash",
        "_rules",
        "displaced",
        "record",
        "refuted",
        "rival",
    )

    def __init__(
        self, me: Me, rules: MemberRules, publish: Callable[[Record], None], report: Callable[[Event], None]
    ) -> None:
        host, port = me.address
        record = Record(me.name, State.ALIVE, me.life, 0, host, port, *me.formats)
        self.record = msgspec.convert(
            msgspec.to_builtins(record), Record
        )  # raises ValueError for a record that others would refuse
        self._rules = rules
        self._publish = publish
        self._report = report
        self._reported_clash: tuple[Address, int] | None = None
        self.rival: Rival | None = None
        self.displaced = False
        self.refuted = 0

    def on_record(self, now: float, record: Record) -> None:
        """Handles an update on the own name."""
        own = self.record
        if not own.living:
            return
        if record.address == own.address:
            if record.life > own.life:
                self._raise_life(record.life + 1)
            elif record.key > own.key:
                self._refute(record)
        elif record.life >= own.life:
            tie = record.life == own.life and own.address > record.address
            if tie or (self.rival is None and not record.living):
                self._raise_life(record.life + 1)
            else:
                self._contest_name(now, record)

    def _refute(self, record: Record) -> None:
        self.refuted += 1
        if record.incarnation == MAX_INCARNATION:
            self._raise_life(record.life + 1)
            return
        self._replace_record(msgspec.structs.replace(self.record, incarnation=record.incarnation + 1))

    def _raise_life(self, life: int) -> None:
        """Raises the own life above all received ones, unless it would exceed the bound of the field."""
        if life > MAX_LIFE:
            return
        self.rival, self.displaced = None, False
        self._replace_record(msgspec.structs.replace(self.record, life=life, incarnation=0))
        self._report(Joined(self.record.name, life))

    def _replace_record(self, record: Record) -> None:
        self.record = record
        self._publish(record)

    def leave(self) -> None:
        self._replace_record(msgspec.structs.replace(self.record, state=State.LEFT))

    def _contest_name(self, now: float, record: Record) -> None:
        rival = self.rival
        if rival is None or rival.record.life < record.life:
            self.rival = Rival(record, now, now, None if record.living else now)
        elif rival.record.key <= record.key:
            rival.record = record
            if record.living:
                rival.declared_dead_at = None
            elif rival.declared_dead_at is None:
                rival.declared_dead_at = rival.probe_at = now

    def address_to_probe(self, now: float, seq: int, alone: bool) -> Address | None:
        """Returns the address of the rival if it is time to ping it with this number.

        A rival loses the name if others declared it dead and it has not answered this front for
        `VERDICT_PERIODS` either. Without a declaration by others a missing answer does not prove its death,
        so this front yields, unless it is alone and the rival was silent for `contest_ms`.
        """
        rival = self.rival
        if rival is None or now < rival.probe_at:
            return None
        if (
            rival.declared_dead_at is not None
            and now - rival.declared_dead_at >= VERDICT_PERIODS * self._rules.period_ms
        ):
            self._raise_life(rival.record.life + 1)
            return None
        if now - rival.last_seen >= self._rules.contest_ms:
            if alone:
                self._raise_life(rival.record.life + 1)
                return None
            self._yield_name(rival)
        is_frequent = rival.declared_dead_at is not None or not self.displaced
        rival.probe_at = now + (self._rules.period_ms if is_frequent else self._rules.rejoin_interval_ms)
        rival.seq = seq
        return rival.record.address

    def on_stall(self, now: float) -> None:
        """This process was suspended: the silence of a rival counts from now."""
        if self.rival is not None:
            self.rival.last_seen = now
            self.rival.declared_dead_at = now if self.rival.declared_dead_at is not None else None

    def on_rival_answered(self, now: float, seq: int, life: int) -> None:
        """The rival answered a ping, so it is alive."""
        if self.rival is not None and seq == self.rival.seq and life >= self.record.life:
            self.rival.last_seen, self.rival.declared_dead_at = now, None
            self._yield_name(self.rival)

    def on_ping_from_namesake(self, record: Record) -> None:
        """Another front with this name sent a ping; reports a clash if its life is lower."""
        if record.address != self.record.address and record.life < self.record.life:
            self._report_clash(record.address, record.life)

    def _yield_name(self, rival: Rival) -> None:
        self.displaced = True
        self._report_clash(rival.record.address, rival.record.life)

    def _report_clash(self, address: Address, life: int) -> None:
        if self._reported_clash != (address, life):
            self._reported_clash = (address, life)
            self._report(Clash(self.record.name, address))

    def next_deadline(self) -> float:
        return self.rival.probe_at if self.rival is not None else math.inf
