"""The table of members: bounded, with tombstones, and sums over its parts by which two tables are compared.

Of two records of a name the one with the higher key (life, incarnation, state) holds, so that tables that
heard the same are the same, in whatever order and however often they heard it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random
from zlib import crc32

from fernweir.peers.base import Address
from fernweir.peers.members.messages import PARTS, Record, State


@dataclass(frozen=True, slots=True)
class Member:
    """A record, and since when (own clock, ms) this state is known here."""

    record: Record
    since: float

    @property
    def name(self) -> str:
        return self.record.name

    @property
    def state(self) -> State:
        return self.record.state

    @property
    def life(self) -> int:
        return self.record.life

    @property
    def incarnation(self) -> int:
        return self.record.incarnation

    @property
    def address(self) -> Address:
        return self.record.address

    @property
    def formats(self) -> tuple[int, int]:
        return (self.record.low, self.record.high)


def part_of(name: str) -> int:
    return crc32(name.encode("utf-8", "surrogatepass")) % PARTS


def _print(record: Record) -> int:
    said = f"{record.life}:{record.incarnation}:{record.name}".encode("utf-8", "surrogatepass")
    return int.from_bytes(blake2b(said, digest_size=4).digest(), "big")


class Roster:
    """`rows` has all members with oneself, dead ones for a time; `living` the living others.

    `fresh` gets the names that came to `living`, until somebody empties it.
    """

    __slots__ = ("_gone", "_graves", "_me", "_most", "_places", "fresh", "living", "rows", "sums")

    def __init__(self, me: str, most: int) -> None:
        self._me = me
        self._most = most
        self.rows: dict[str, Member] = {}
        self.living: list[str] = []
        self.fresh: list[str] = []
        self._places: dict[str, int] = {}
        self._gone: dict[str, float] = {}  # dead or left, oldest first
        self._graves: dict[str, Member] = {}  # tombstones, oldest first
        self.sums = [0] * PARTS

    def known(self, name: str) -> Record | None:
        """The newest record, a tombstone's too."""
        member = self.rows.get(name) or self._graves.get(name)
        return member.record if member is not None else None

    def room(self, now: float, name: str) -> bool:
        """Whether a row for this name can be had; the one longest dead makes room."""
        if name in self.rows or len(self.rows) < self._most:
            return True
        if not self._gone:
            return False
        self._bury(now, next(iter(self._gone)))
        return True

    def put(self, now: float, record: Record) -> None:
        """Sets a member's row; the caller has seen to room and that the record is newer."""
        name = record.name
        old = self.rows.get(name)
        part = part_of(name)
        if old is not None and old.record.living:
            self.sums[part] ^= _print(old.record)
        if record.living:
            self.sums[part] ^= _print(record)
        self.rows[name] = Member(record, now)
        self._graves.pop(name, None)
        self._gone.pop(name, None)
        if not record.living:
            self._gone[name] = now
        if name != self._me:
            self._place(name, record.living)

    def _place(self, name: str, living: bool) -> None:
        place = self._places.get(name)
        if living and place is None:
            self._places[name] = len(self.living)
            self.living.append(name)
            self.fresh.append(name)
        elif not living and place is not None:
            last = self.living.pop()
            del self._places[name]
            if last != name:
                self.living[place] = last
                self._places[last] = place

    def _bury(self, now: float, name: str) -> None:
        del self._gone[name]
        self._graves[name] = Member(self.rows.pop(name).record, now)
        if len(self._graves) > self._most:
            del self._graves[next(iter(self._graves))]

    def sweep(self, now: float, forget: float, tombstone: float) -> None:
        """Dead members become tombstones, and those go, each after its time."""
        while self._gone and now - self._gone[name := next(iter(self._gone))] >= forget:
            self._bury(now, name)
        while self._graves and now - self._graves[name := next(iter(self._graves))].since >= tombstone:
            del self._graves[name]

    def draw(self, dice: Random, count: int, but: str = "") -> list[Record]:
        """Up to `count` different living others, drawn evenly."""
        names = dice.sample(self.living, min(count + 1, len(self.living)))
        return [self.rows[name].record for name in names if name != but][:count]

    def dead(self) -> list[Record]:
        """Those declared dead, who may be alive behind a cut; not those that left."""
        rows = [self.rows[name].record for name in self._gone]
        rows += [member.record for member in self._graves.values()]
        return [record for record in rows if record.state is State.DEAD]

    def parts(self, numbers: Iterable[int]) -> list[Record]:
        """All records of some parts, tombstones too."""
        wanted = frozenset(numbers)
        found = [member.record for member in self.rows.values() if part_of(member.name) in wanted]
        found += [member.record for member in self._graves.values() if part_of(member.name) in wanted]
        return found

    def differing(self, sums: tuple[int, ...]) -> tuple[int, ...]:
        """The parts in which another table differs; all, if it gave no sums."""
        if len(sums) != PARTS:
            return tuple(range(PARTS))
        return tuple(number for number in range(PARTS) if sums[number] != self.sums[number])
