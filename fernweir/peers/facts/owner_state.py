"""What is held of one owner, and how what comes from peers is taken into it.

Deltas are those of Scuttlebutt (van Renesse, Dumitriu, Gough, Thomas 2008): an owner numbers all its changes,
and what is sent of it is a prefix, in order, of what the receiver lacks. So one number, the highest version
without a gap before it, says what is known, and what was cut short goes on from there.

A dropped key leaves a tombstone, a version like another. Owners forget the older half of theirs when there
are too many, and say up to which version, the floor. Who had not got that far misses drops that nobody can
tell it any more: it goes through everything from the start again, keeps what it has meanwhile, and lets go
at the end what it was not told again.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from fernweir.peers.facts.messages import Entry, Part, Record
from fernweir.peers.facts.rules import LIMIT, FactRules

_EARLY_MOST = 64


@dataclass(frozen=True, slots=True)
class Fact:
    """`at`: own clock, when its owner put it, not counting its time on the way."""

    key: str
    version: int
    value: bytes
    at: float


@dataclass(frozen=True, slots=True)
class Tomb:
    version: int
    at: float


Allowed = frozenset[str] | None  # keys that may be taken; None for all
Change = Fact | str  # a fact that is new, or the key of one that is gone


class OwnerState:
    """`known`: all up to there is here. `seen`: all up to there was looked at; beyond `known` only while
    the owner is refused. `floor`: drops up to there are forgotten, and counted in.
    """

    __slots__ = (
        "_code", "_unchecked", "early", "facts", "floor", "known", "life", "owner", "seen", "size", "tombs",
    )  # fmt: skip

    def __init__(self, owner: str, life: int) -> None:
        self.owner, self.life = owner, life
        self.known = self.seen = self.floor = 0
        self.facts: dict[str, Fact] = {}
        self.tombs: dict[str, Tomb] = {}
        self.early: set[int] = set()  # versions beyond `known`, that news told
        self.size = 0  # of keys and values
        self._unchecked: set[str] = set()
        self._code = (-1, -1, 0)  # seen, floor, and their code

    # --- what it can tell ---

    def entry(self) -> Entry:
        return Entry(self.owner, self.life, self.seen, self.floor)

    def code(self) -> int:
        """A hash of the entry, alike wherever the same is known."""
        if self._code[:2] != (self.seen, self.floor):
            self._code = (self.seen, self.floor, code_of(self.entry()))
        return self._code[2]

    def behind(self, entry: Entry) -> bool:
        """Whether whoever sent the entry knows something that is not known here."""
        mine = (self.life, self.floor, self.seen)
        return (entry.life, entry.floor, entry.seen) > mine and entry.seen > 0

    def since(self, entry: Entry) -> int | None:
        """From where on to send to who knows that much; None if there is nothing to tell it."""
        if self.known == 0 or self.life < entry.life:
            return None
        if self.life > entry.life:
            return 0
        if entry.floor > self.floor:
            return None
        if entry.floor < self.floor and entry.seen < self.floor:
            return 0
        return entry.seen if entry.seen < self.known else None

    def records(self, now: float, since: int) -> list[Record]:
        found = [
            Record(fact.key, fact.version, age_of(now, fact.at), fact.value)
            for fact in self.facts.values()
            if since < fact.version <= self.known and fact.key not in self._unchecked
        ]
        found += [
            Record(key, tomb.version, age_of(now, tomb.at), None)
            for key, tomb in self.tombs.items()
            if since < tomb.version <= self.known
        ]
        return sorted(found, key=lambda record: record.version)

    # --- what it is told ---

    def take(self, now: float, part: Part, allowed: Allowed, rules: FactRules) -> list[Change]:
        """A delta of the same life. What doesn't join on to what is known is left; it will come again."""
        if part.floor < self.floor or not _in_order(part):
            return []
        if part.floor > self.floor:
            if self.seen < part.floor:
                if part.since != 0:
                    return []
                self.recheck()
            self.raise_floor(part.floor)
        if part.since > self.seen:
            return []
        changes: list[Change] = []
        for record in part.records:
            if record.version <= self.seen:
                continue
            self._unchecked.discard(record.key)
            if allowed is None or record.key in allowed:
                if not self._fits(record, rules):
                    break
                changes += self._set(now, record)
            self.seen = record.version
            if allowed is None:
                self.known = self.seen
        self._settle(allowed)
        return changes + self._let_go()

    def hear(self, now: float, record: Record, allowed: Allowed, rules: FactRules) -> list[Change]:
        """News: one record out of turn, of the same life."""
        if record.version <= max(self.seen, self.floor) or not self._fits(record, rules):
            return []
        if allowed is not None and record.key not in allowed:
            return []
        changes = self._set(now, record)
        if changes and len(self.early) < _EARLY_MOST:
            self.early.add(record.version)
            self._settle(allowed)
        return changes

    def told_floor(self, entry: Entry) -> None:
        """Who knows all drops up to a floor may forget them as their owner has."""
        if entry.life == self.life and self.floor < entry.floor <= self.known == self.seen:
            self.raise_floor(entry.floor)

    def raise_floor(self, floor: int) -> None:
        self.floor = floor
        if self.known < floor:
            self.known = 0  # what may hold things that were dropped is nothing to tell others
        for key in [key for key, tomb in self.tombs.items() if tomb.version <= floor]:
            del self.tombs[key]

    def recheck(self) -> None:
        self.known = self.seen = 0
        self.early.clear()
        self._unchecked = set(self.facts)

    def admit(self) -> None:
        """It is refused no longer: what was passed over is asked for again."""
        self.seen = self.known
        if self.known < self.floor:
            self.recheck()

    # --- pieces ---

    def put(self, fact: Fact) -> None:
        old = self.facts.get(fact.key)
        self.size += len(fact.value) - len(old.value) if old is not None else len(fact.key) + len(fact.value)
        self.tombs.pop(fact.key, None)
        self.facts[fact.key] = fact

    def drop(self, key: str, tomb: Tomb) -> bool:
        old = self.facts.pop(key, None)
        if old is not None:
            self.size -= len(old.key) + len(old.value)
        self.tombs[key] = tomb
        return old is not None

    def _set(self, now: float, record: Record) -> list[Change]:
        old, tomb = self.facts.get(record.key), self.tombs.get(record.key)
        newest = max(old.version if old is not None else 0, tomb.version if tomb is not None else 0)
        if record.version <= newest:
            return []
        self._unchecked.discard(record.key)
        at = now - record.age
        if record.value is None:
            return [record.key] if self.drop(record.key, Tomb(record.version, at)) else []
        fact = Fact(record.key, record.version, record.value, at)
        self.put(fact)
        return [fact]

    def _fits(self, record: Record, rules: FactRules) -> bool:
        if record.value is None:
            return record.key in self.tombs or len(self.tombs) < 2 * rules.max_tombstones
        old = self.facts.get(record.key)
        if old is None and len(self.facts) >= 2 * rules.max_keys:
            return False
        grows = len(record.value) - (len(old.value) if old is not None else -len(record.key))
        return self.size + grows <= 2 * rules.max_owner_bytes

    def _settle(self, allowed: Allowed) -> None:
        """Versions that news told count as known when nothing is missing before them."""
        if not self.early:
            return
        while allowed is None and self.known + 1 in self.early:
            self.known = self.seen = self.known + 1
        self.early = {version for version in self.early if version > self.known}

    def _let_go(self) -> list[Change]:
        """At the end of a check, what was not told again is gone."""
        if not self._unchecked or self.seen < self.floor:
            return []
        held = [self.facts[key] for key in sorted(self._unchecked) if key in self.facts]
        self._unchecked.clear()
        gone = [fact for fact in held if fact.version <= self.seen]
        for fact in gone:
            del self.facts[fact.key]
            self.size -= len(fact.key) + len(fact.value)
        return [fact.key for fact in gone]


def code_of(entry: Entry) -> int:
    text = f"{entry.life} {entry.seen} {entry.floor} {entry.owner}".encode("utf-8", "surrogatepass")
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> 1


def age_of(now: float, at: float) -> int:
    return min(max(int(now - at), 0), LIMIT)


def _in_order(part: Part) -> bool:
    last, keys = part.since, set()
    for record in part.records:
        if record.version <= last:
            return False
        last = record.version
        keys.add(record.key)
    return len(keys) == len(part.records)
