"""The bounded table of members, with tombstones and checksums of its parts to compare two tables.

Of two records of a name the one with the higher key (life, incarnation, state) is valid. Tables that received
the same records are therefore the same, in whatever order and however often they were received.
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
    """A record, and since when (own clock, ms) this front has known the state."""

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


def _fingerprint(record: Record) -> int:
    text = f"{record.life}:{record.incarnation}:{record.name}".encode("utf-8", "surrogatepass")
    return int.from_bytes(blake2b(text, digest_size=4).digest(), "big")


class MemberTable:
    """`rows` has all members including this front, dead ones for a time; `living` the names of living others.

    `new_names` collects the names added to `living` until the prober empties it.
    """

    __slots__ = (
        "_dead_since",
        "_max_members",
        "_me",
        "_positions",
        "_tombstones",
        "checksums",
        "living",
        "new_names",
        "rows",
    )

    def __init__(self, me: str, max_members: int) -> None:
        self._me = me
        self._max_members = max_members
        self.rows: dict[str, Member] = {}
        self.living: list[str] = []
        self.new_names: list[str] = []
        self._positions: dict[str, int] = {}
        self._dead_since: dict[str, float] = {}  # dead or left, oldest first
        self._tombstones: dict[str, Member] = {}  # oldest first
        self.checksums = [0] * PARTS

    def record_of(self, name: str) -> Record | None:
        """Returns the newest record of a name, also that of a tombstone."""
        member = self.rows.get(name) or self._tombstones.get(name)
        return member.record if member is not None else None

    def ensure_capacity(self, now: float, name: str) -> bool:
        """Whether the table can store this name. If it is full, the member dead for longest is removed."""
        if name in self.rows or len(self.rows) < self._max_members:
            return True
        if not self._dead_since:
            return False
        self._make_tombstone(now, next(iter(self._dead_since)))
        return True

    def put(self, now: float, record: Record) -> None:
        """Sets a member's row. The caller ensures the capacity and that the record is newer."""
        name = record.name
        old = self.rows.get(name)
        part = part_of(name)
        if old is not None and old.record.living:
            self.checksums[part] ^= _fingerprint(old.record)
        if record.living:
            self.checksums[part] ^= _fingerprint(record)
        self.rows[name] = Member(record, now)
        self._tombstones.pop(name, None)
        self._dead_since.pop(name, None)
        if not record.living:
            self._dead_since[name] = now
        if name != self._me:
            self._set_living(name, record.living)

    def _set_living(self, name: str, living: bool) -> None:
        position = self._positions.get(name)
        if living and position is None:
            self._positions[name] = len(self.living)
            self.living.append(name)
            self.new_names.append(name)
        elif not living and position is not None:
            last = self.living.pop()
            del self._positions[name]
            if last != name:
                self.living[position] = last
                self._positions[last] = position

    def _make_tombstone(self, now: float, name: str) -> None:
        del self._dead_since[name]
        self._tombstones[name] = Member(self.rows.pop(name).record, now)
        if len(self._tombstones) > self._max_members:
            del self._tombstones[next(iter(self._tombstones))]

    def sweep(self, now: float, forget: float, tombstone: float) -> None:
        """Turns dead members into tombstones after `forget`, and removes tombstones after `tombstone`."""
        while self._dead_since and now - self._dead_since[name := next(iter(self._dead_since))] >= forget:
            self._make_tombstone(now, name)
        while (
            self._tombstones
            and now - self._tombstones[name := next(iter(self._tombstones))].since >= tombstone
        ):
            del self._tombstones[name]

    def sample(self, rng: Random, count: int, exclude: str = "") -> list[Record]:
        """Returns up to `count` different living others, drawn with equal probability."""
        names = rng.sample(self.living, min(count + 1, len(self.living)))
        return [self.rows[name].record for name in names if name != exclude][:count]

    def dead_records(self) -> list[Record]:
        """Returns members declared dead, not those that left: only the former may live behind a partition."""
        rows = [self.rows[name].record for name in self._dead_since]
        rows += [member.record for member in self._tombstones.values()]
        return [record for record in rows if record.state is State.DEAD]

    def records_in_parts(self, numbers: Iterable[int]) -> list[Record]:
        """Returns all records of some parts, tombstones included."""
        wanted = frozenset(numbers)
        found = [member.record for member in self.rows.values() if part_of(member.name) in wanted]
        found += [member.record for member in self._tombstones.values() if part_of(member.name) in wanted]
        return found

    def differing_parts(self, checksums: tuple[int, ...]) -> tuple[int, ...]:
        """Returns the parts in which another table differs; all parts if it sent no checksums."""
        if len(checksums) != PARTS:
            return tuple(range(PARTS))
        return tuple(number for number in range(PARTS) if checksums[number] != self.checksums[number])
