"""The answering side: a piece of what a question wants of one chain, from what is kept of it here.

Nothing is remembered between pieces: the asker names the place to go on from. Work is bounded in segments
read a piece, so that no question keeps a viewer waiting.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import product
from typing import Any

from msgspec.structs import replace

from fernweir.journal.segment import Query as Wanted
from fernweir.journal.segment import set_bits
from fernweir.peers.acts.block import TICK_MS, Record, Sealed, records
from fernweir.peers.acts.clock import Clocks
from fernweir.peers.acts.copies import Copies
from fernweir.peers.acts.messages import Ask, Cover, Held, Piece, Row, Run, Select
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.segment import Segment
from fernweir.peers.acts.shelf import Shelf
from fernweir.peers.acts.versions import KINDS, Versions
from fernweir.peers.port import AuditEvent

_HEARD = (
    AuditEvent.DRAIN,
    AuditEvent.LEASE,
    AuditEvent.HANDOFF,
    AuditEvent.SHUTOUT,
)  # what a front knew when it acted
_SAMPLES = 16
_SPANS = 64
_HELD = 512
_BLOCKS = 32  # loose blocks that cost what a segment does


def holds(select: Select, one: Record) -> bool:
    """Whether an act is wanted; each field that is given must fit."""
    return (
        (not select.deeds or one.deed in select.deeds)
        and (select.session is None or one.session == select.session)
        and (select.title is None or one.title == select.title)
        and (select.tenant is None or one.tenant == select.tenant)
        and (select.box is None or one.box == select.box)
        and (select.outcome is None or one.outcome == select.outcome)
        and (select.since is None or one.at >= select.since)
        and (select.until is None or one.at <= select.until)
        and (not select.kind or select.value is None or value_of(one.versions, select.kind) == select.value)
    )


def value_of(versions: Versions, kind: str) -> str | int:
    """As a question names it; empty for a kind that there isn't."""
    value: str | int | bytes = getattr(versions, kind) if kind in KINDS else ""
    return value.hex() if isinstance(value, bytes) else value


@dataclass(slots=True)
class _Work:
    """One piece as it grows."""

    rules: ActRules
    rows_left: int
    bytes_left: int
    effort: int
    versions: dict[Versions, int] = field(default_factory=dict)
    rows: list[Row] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)

    @property
    def full(self) -> bool:
        return self.rows_left <= 0 or self.bytes_left <= 0

    def add(self, row: Row) -> None:
        self.rows.append(row)
        self.rows_left -= 1
        self.bytes_left -= sum(_size(one) for one in (row, *row.context))

    def row(self, one: Record) -> Row:
        base = self.versions.get(one.versions)
        if base is None:
            base = self.versions[one.versions] = len(self.versions)
            self.bytes_left -= 120
        return Row(
            one.number, one.row, one.at, one.deed, one.session, one.title, one.tenant, one.box, one.outcome,
            base,
        )  # fmt: skip

    def run(self, value: Any, first: float, last: float, count: int, number: int) -> None:
        """Runs of one value that follow one another are one."""
        if self.runs and self.runs[-1].value == value:
            before = self.runs[-1]
            self.runs[-1] = Run(value, before.first, last, before.count + count, before.number)
        else:
            self.runs.append(Run(value, first, last, count, number))
            self.rows_left -= 1
            self.bytes_left -= 60


def _size(row: Row) -> int:
    return 40 + len(row.session) + len(row.title) + len(row.tenant) + len(row.outcome)


class Answerer:
    """Answers from the store of `copies`; the own chain is sealed first, so that nothing of it is behind."""

    def __init__(self, copies: Copies, clocks: Clocks, rules: ActRules) -> None:
        self.copies, self.clocks, self.rules = copies, clocks, rules
        self.store = copies.store

    def answer(self, now: float, ask: Ask) -> Piece:
        own = (ask.owner, ask.life) == (self.copies.me, self.copies.life)
        if own:
            self.copies.flush(now)
        held = self._held() if ask.listing else ()
        shelf = self.store.shelf(ask.owner, ask.life)
        if shelf is None:
            last = self.copies.chain.number if own else 0
            cover = self._empty(now) if own and not last else None
            return Piece(
                ask.id, ask.owner, ask.life, ask.number, ask.row, _behind(ask.last), 0, False, cover,
                held=held, my_life=self.copies.life,
            )  # fmt: skip
        work = _Work(
            self.rules, min(ask.rows, self.rules.piece_rows), min(ask.bytes, self.rules.piece_bytes),
            self.rules.piece_segments,
        )  # fmt: skip
        stopped = self._walk(shelf, ask, work)
        number, row = stopped if stopped is not None else (_behind(ask.last), 0)
        relation = None if own else self.clocks.relation(ask.owner, ask.life)
        samples = tuple(relation.some(_SAMPLES)) if relation is not None else ()
        return Piece(
            ask.id, ask.owner, ask.life, ask.number, ask.row, number, row, stopped is not None,
            self._cover(shelf), tuple(work.versions), tuple(work.rows), tuple(work.runs), held, samples,
            self.copies.life,
        )  # fmt: skip

    # --- pieces ---

    def _walk(self, shelf: Shelf, ask: Ask, work: _Work) -> tuple[int, int] | None:
        """Goes through the chain from the place asked for; the place where it stopped before its end."""
        select, start = ask.select, (ask.number, ask.row)
        since = (select.since if select.since is not None else -1e17) / TICK_MS
        until = (select.until if select.until is not None else 1e17) / TICK_MS
        spent = 0
        for unit in shelf.units(ask.number):
            first = unit.first if isinstance(unit, Segment) else unit.block.number
            if first > ask.last:
                return None
            low = unit.since if isinstance(unit, Segment) else unit.block.since
            high = unit.until if isinstance(unit, Segment) else unit.block.until
            if high < since - 1 or low > until + 1:
                continue
            if work.full or spent >= work.effort * _BLOCKS:
                return max((first, 0), start)
            stopped, cost = self._unit(shelf, unit, ask, start, work, since <= low and high <= until)
            spent += cost
            if stopped is not None:
                return stopped
        return None

    def _unit(
        self, shelf: Shelf, unit: Segment | Sealed, ask: Ask, start: tuple[int, int], work: _Work,
        inside: bool,
    ) -> tuple[tuple[int, int] | None, int]:  # fmt: skip
        """One segment or block: where it stopped inside, and what it cost in loose blocks."""
        select, cost = ask.select, 1
        if isinstance(unit, Sealed):
            found = iter(records(unit.block))
        else:
            whole = inside and unit.first >= start[0] + (1 if start[1] else 0) and unit.last <= ask.last
            if select.runs and whole:
                values = {value_of(one, select.kind) for one in unit.versions}
                if len(values) == 1:
                    work.run(values.pop(), unit.since * TICK_MS, unit.until * TICK_MS, unit.acts, unit.first)
                    return None, cost
            found, cost = self._in_segment(shelf, unit, select)
        for one in found:
            place = one.number, one.row
            if place < start:
                continue
            if one.number > ask.last:
                break
            if not holds(select, one):
                continue
            if work.full:
                return place, cost
            if select.runs:
                work.run(value_of(one.versions, select.kind), one.at, one.at, 1, one.number)
            elif select.context:
                context, looked_from = self._before(shelf, one, select.context)
                told = tuple(work.row(before) for before in context)
                work.add(replace(work.row(one), context=told, looked_from=looked_from))
            else:
                work.add(work.row(one))
        return None, cost

    def _in_segment(self, shelf: Shelf, unit: Segment, select: Select) -> tuple[Iterator[Record], int]:
        """Acts of a segment that may be wanted, oldest first, with the cost."""
        cost = 1 if unit.index is not None else _BLOCKS
        index = self.store.index(shelf, unit)
        if index is None:
            return iter(()), cost
        bitmap = 0
        for question in _questions(select, unit.versions):
            bitmap |= index.find(question)
        if not bitmap:
            return iter(()), cost
        decoded = self.store.decoded(shelf, unit)
        if decoded is None:
            return iter(()), cost
        return (decoded.record(offset) for offset in set_bits(bitmap, newest_first=False)), cost + _BLOCKS

    def _before(self, shelf: Shelf, act: Record, most: int) -> tuple[list[Record], float | None]:
        """What the front had heard before an act, newest first; and since when that is all of it.

        None: since it began. It ends where a block is missing.
        """
        found: list[Record] = []
        wanted = Select(deeds=_HEARD)
        spent, number, looked_from = 0, act.number, act.at
        units = [one for one in shelf.units(1) if _first(one) <= act.number]
        for unit in reversed(units):
            if spent >= self.rules.piece_segments * _BLOCKS or len(found) > most or _last(unit) < number:
                break
            if isinstance(unit, Sealed):
                rows, spent = records(unit.block), spent + 1
            else:
                some, cost = self._in_segment(shelf, unit, wanted)
                rows, spent = list(some), spent + cost
            mine = [
                one for one in rows if one.deed in _HEARD and (one.number, one.row) < (act.number, act.row)
            ]
            found += reversed(mine)
            number = _first(unit) - 1
            looked_from = (unit.since if isinstance(unit, Segment) else unit.block.since) * TICK_MS
        if len(found) > most:
            return found[:most], found[most - 1].at
        return found, looked_from if number else None

    def _cover(self, shelf: Shelf) -> Cover:
        spans = tuple(shelf.numbers)[-_SPANS:]
        last = shelf.block(shelf.numbers.last)
        first = next(shelf.units(spans[0][0]), None) if spans else None
        since = (first.since if isinstance(first, Segment) else first.block.since) if first is not None else 0
        head = self.copies.heads.newest(shelf.owner, shelf.life)
        known = max(head.number if head is not None else 0, shelf.numbers.last)
        if last is None:
            return Cover(spans, since * TICK_MS, since * TICK_MS, b"", known, False, 0.0, 1e16)
        block = last.block
        return Cover(
            spans,
            since * TICK_MS,
            block.sealed * TICK_MS,
            last.digest,
            known,
            block.final,
            block.wall,
            block.doubt,
        )

    def _empty(self, now: float) -> Cover:
        return Cover((), now, now, b"", 0, False, 0.0, 1e16)

    def _held(self) -> tuple[Held, ...]:
        held = []
        for one in self.store.shelves():
            chain = one.owner, one.life
            if one.numbers and chain != (self.copies.me, self.copies.life):
                wrong = self.copies.accused(*chain)
                held.append(Held(*chain, one.numbers.first, one.numbers.last, wrong))
        return tuple(held[:_HELD])


def _behind(number: int) -> int:
    return min(number + 1, (1 << 53) - 1)


def _first(unit: Segment | Sealed) -> int:
    return unit.first if isinstance(unit, Segment) else unit.block.number


def _last(unit: Segment | Sealed) -> int:
    return unit.last if isinstance(unit, Segment) else unit.block.number


def _questions(select: Select, versions: Sequence[Versions]) -> Iterator[Wanted]:
    """For the journal's index, which takes one value a field: one each for what may be several."""
    equal: dict[str, object] = {
        name: value
        for name in ("title", "tenant", "box", "outcome")
        if (value := getattr(select, name)) is not None
    }
    deeds: list[dict[str, object]] = [{"deed": deed} for deed in select.deeds] or [{}]
    bases: list[dict[str, object]] = [{}]
    if select.kind and select.value is not None:
        bases = [{"versions": one} for one in versions if value_of(one, select.kind) == select.value]
    for deed, base in product(deeds, bases):
        yield Wanted(select.session, {**equal, **deed, **base})
