"""The stored facts of one owner, and how records from peers are applied to them.

Deltas are those of Scuttlebutt (van Renesse, Dumitriu, Gough, Thomas 2008): an owner numbers all its changes,
and a delta is a prefix, in order, of the records that the receiver lacks. One number, the highest version
without a gap before it, therefore describes what is known, and a truncated delta is continued from there.

A dropped key leaves a tombstone, which has a version like a fact. An owner that has too many tombstones
discards the older half of them and publishes the version up to which it did so, the floor. A front that had
not reached the floor lacks drops that no peer can send any more. It goes through all records from the start
again, keeps its facts meanwhile, and at the end removes those that it did not receive again.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from fernweir.peers.facts.messages import Entry, Part, Record
from fernweir.peers.facts.rules import MAX_NUMBER, FactRules

_MAX_EARLY = 64


@dataclass(frozen=True, slots=True)
class Fact:
    """A published value. `at` is when its owner put it, by the local clock, without the time in transit."""

    key: str
    version: int
    value: bytes
    at: float


@dataclass(frozen=True, slots=True)
class Tombstone:
    """Marks a dropped key."""

    version: int
    at: float


AllowedKeys = frozenset[str] | None  # keys that may be applied; None for all
Change = Fact | str  # a new fact, or the key of a removed one


class OwnerState:
    """The facts and tombstones of one owner in one life.

    All versions up to `known` are stored here. All versions up to `seen` were examined; it is beyond `known`
    only while the owner is restricted to some keys. Tombstones up to `floor` are discarded, and their drops
    are applied.
    """

    __slots__ = (
        "_code", "_unchecked", "early", "facts", "floor", "known", "life", "owner", "seen", "size", "tombs",
    )  # fmt: skip

    def __init__(self, owner: str, life: int) -> None:
        self.owner, self.life = owner, life
        self.known = self.seen = self.floor = 0
        self.facts: dict[str, Fact] = {}
        self.tombs: dict[str, Tombstone] = {}
        self.early: set[int] = set()  # versions beyond `known` that were pushed
        self.size = 0  # bytes of keys and values
        self._unchecked: set[str] = set()
        self._code = (-1, -1, 0)  # seen, floor, and their checksum

    # --- what is sent to peers ---

    def entry(self) -> Entry:
        """Returns the entry that describes this state to peers."""
        return Entry(self.owner, self.life, self.seen, self.floor)

    def checksum(self) -> int:
        """Returns a hash of the entry, which is equal at all fronts that know the same."""
        if self._code[:2] != (self.seen, self.floor):
            self._code = (self.seen, self.floor, checksum_of(self.entry()))
        return self._code[2]

    def is_behind(self, entry: Entry) -> bool:
        """Whether the sender of the entry knows something that is not known here."""
        mine = (self.life, self.floor, self.seen)
        return (entry.life, entry.floor, entry.seen) > mine and entry.seen > 0

    def first_missing(self, entry: Entry) -> int | None:
        """Returns the version after which the sender of the entry lacks records; None if it lacks nothing."""
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
        """Returns the records after version `since`, in order."""
        found = [
            Record(fact.key, fact.version, age_of(now, fact.at), fact.value)
            for fact in self.facts.values()
            if since < fact.version <= self.known and fact.key not in self._unchecked
        ]
        found += [
            Record(key, tombstone.version, age_of(now, tombstone.at), None)
            for key, tombstone in self.tombs.items()
            if since < tombstone.version <= self.known
        ]
        return sorted(found, key=lambda record: record.version)

    # --- what peers send ---

    def apply_delta(self, now: float, part: Part, allowed: AllowedKeys, rules: FactRules) -> list[Change]:
        """Applies a delta of the same life and returns the changes.

        A delta that does not continue what is known is ignored; the records will be sent again.
        """
        if part.floor < self.floor or not _is_ordered(part):
            return []
        if part.floor > self.floor:
            if self.seen < part.floor:
                if part.since != 0:
                    return []
                self.start_recheck()
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
                changes += self._apply(now, record)
            self.seen = record.version
            if allowed is None:
                self.known = self.seen
        self._absorb_early(allowed)
        return changes + self._finish_recheck()

    def apply_pushed(
        self, now: float, record: Record, allowed: AllowedKeys, rules: FactRules
    ) -> list[Change]:
        """Applies one pushed record of the same life, out of order, and returns the changes."""
        if record.version <= max(self.seen, self.floor) or not self._fits(record, rules):
            return []
        if allowed is not None and record.key not in allowed:
            return []
        changes = self._apply(now, record)
        if changes and len(self.early) < _MAX_EARLY:
            self.early.add(record.version)
            self._absorb_early(allowed)
        return changes

    def adopt_floor(self, entry: Entry) -> None:
        """Discards tombstones as their owner has, if all drops up to the entry's floor are known."""
        if entry.life == self.life and self.floor < entry.floor <= self.known == self.seen:
            self.raise_floor(entry.floor)

    def raise_floor(self, floor: int) -> None:
        """Sets the floor and discards the tombstones up to it."""
        self.floor = floor
        if self.known < floor:
            self.known = 0  # facts that may have been dropped must not be sent to others
        for key in [key for key, tombstone in self.tombs.items() if tombstone.version <= floor]:
            del self.tombs[key]

    def start_recheck(self) -> None:
        """Goes through all records from the start; facts that are not received again are removed then."""
        self.known = self.seen = 0
        self.early.clear()
        self._unchecked = set(self.facts)

    def lift_restriction(self) -> None:
        """Goes back to the last known version, so that records that were skipped are requested again."""
        self.seen = self.known
        if self.known < self.floor:
            self.start_recheck()

    # --- internals ---

    def put(self, fact: Fact) -> None:
        """Stores a fact in place of an older one or a tombstone."""
        old = self.facts.get(fact.key)
        self.size += len(fact.value) - len(old.value) if old is not None else len(fact.key) + len(fact.value)
        self.tombs.pop(fact.key, None)
        self.facts[fact.key] = fact

    def drop(self, key: str, tombstone: Tombstone) -> bool:
        """Stores a tombstone; returns whether there was a fact."""
        old = self.facts.pop(key, None)
        if old is not None:
            self.size -= len(old.key) + len(old.value)
        self.tombs[key] = tombstone
        return old is not None

    def _apply(self, now: float, record: Record) -> list[Change]:
        old, tombstone = self.facts.get(record.key), self.tombs.get(record.key)
        newest = max(
            old.version if old is not None else 0,
            tombstone.version if tombstone is not None else 0,
        )
        if record.version <= newest:
            return []
        self._unchecked.discard(record.key)
        at = now - record.age_ms
        if record.value is None:
            return [record.key] if self.drop(record.key, Tombstone(record.version, at)) else []
        fact = Fact(record.key, record.version, record.value, at)
        self.put(fact)
        return [fact]

    def _fits(self, record: Record, rules: FactRules) -> bool:
        if record.value is None:
            return record.key in self.tombs or len(self.tombs) < 2 * rules.max_tombstones
        old = self.facts.get(record.key)
        if old is None and len(self.facts) >= 2 * rules.max_keys:
            return False
        growth = len(record.value) - (len(old.value) if old is not None else -len(record.key))
        return self.size + growth <= 2 * rules.max_owner_bytes

    def _absorb_early(self, allowed: AllowedKeys) -> None:
        """Counts pushed versions as known when no version before them is missing."""
        if not self.early:
            return
        while allowed is None and self.known + 1 in self.early:
            self.known = self.seen = self.known + 1
        self.early = {version for version in self.early if version > self.known}

    def _finish_recheck(self) -> list[Change]:
        """Removes facts that were not received again, if the recheck has reached its end."""
        if not self._unchecked or self.seen < self.floor:
            return []
        unchecked = [self.facts[key] for key in sorted(self._unchecked) if key in self.facts]
        self._unchecked.clear()
        removed = [fact for fact in unchecked if fact.version <= self.seen]
        for fact in removed:
            del self.facts[fact.key]
            self.size -= len(fact.key) + len(fact.value)
        return [fact.key for fact in removed]


def checksum_of(entry: Entry) -> int:
    """Returns the checksum of an entry, below 2**63."""
    text = f"{entry.life} {entry.seen} {entry.floor} {entry.owner}".encode("utf-8", "surrogatepass")
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> 1


def age_of(now: float, at: float) -> int:
    """Returns the age in ms as it is sent in messages."""
    return min(max(int(now - at), 0), MAX_NUMBER)


def _is_ordered(part: Part) -> bool:
    last, keys = part.since, set()
    for record in part.records:
        if record.version <= last:
            return False
        last = record.version
        keys.add(record.key)
    return len(keys) == len(part.records)
