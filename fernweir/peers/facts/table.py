"""What is held of all owners: whose facts are taken, in which life, what is refused, how long it is kept."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fernweir.peers.base import Event, Outbox
from fernweir.peers.facts.local_state import Own
from fernweir.peers.facts.messages import Entry, Part, Record
from fernweir.peers.facts.owner_state import Change, Fact, OwnerState
from fernweir.peers.facts.rules import FactRules


@dataclass(frozen=True, slots=True)
class Changed(Event):
    """A fact of an owner is new here."""

    owner: str
    life: int
    fact: Fact


@dataclass(frozen=True, slots=True)
class Dropped(Event):
    """A fact is gone: its owner dropped it, or began a new life without it."""

    owner: str
    life: int
    key: str


@dataclass(frozen=True, slots=True)
class Gone(Event):
    """Nothing is kept of an owner any more."""

    owner: str


class Table:
    """Bounded by the peers: of anybody else nothing is taken, and what is held goes after `keep_ms`."""

    def __init__(self, own: Own, rules: FactRules, out: Outbox) -> None:
        self.own, self.rules = own, rules
        self.me = own.held.owner
        self.names: tuple[str, ...] = ()  # peers, without this front
        self._peers: frozenset[str] = frozenset((self.me,))
        self._held: dict[str, OwnerState] = {}
        self._left: dict[str, float] = {}  # owners that are no peers any more: since when
        self._refused: dict[str, frozenset[str]] = {}
        self._out = out

    # --- who the peers are ---

    def set_peers(self, now: float, names: Iterable[str]) -> frozenset[str]:
        """Returns those that are new."""
        listed = sorted(set(names) - {self.me})[: self.rules.max_owners - 1]
        before, self._peers = self._peers, frozenset((self.me, *listed))
        self.names = tuple(listed)
        for owner in before - self._peers:
            if owner in self._held:
                self._left[owner] = now
        for owner in self._peers:
            self._left.pop(owner, None)
        return self._peers - before

    def restrict_owners(self, owners: Mapping[str, frozenset[str]]) -> None:
        before, self._refused = self._refused, dict(owners)
        for owner, allowed in before.items():
            held = self._held.get(owner)
            if held is not None and owners.get(owner) != allowed:
                held.admit()

    def is_peer(self, name: str) -> bool:
        return name in self._peers

    def takes(self, owner: str) -> bool:
        """Whether anything of it may be taken: it is a peer, or was one until lately."""
        return owner in self._peers or owner in self._left

    # --- what is held ---

    def get(self, owner: str) -> OwnerState | None:
        return self.own.held if owner == self.me else self._held.get(owner)

    def owners(self) -> list[str]:
        held = (*self._held.values(), self.own.held)
        return sorted(one.owner for one in held if one.facts)

    def live(self) -> list[OwnerState]:
        """Of peers and this front, what is held and compared with others."""
        return [self.own.held, *(held for owner, held in self._held.items() if owner in self._peers)]

    # --- what comes ---

    def delta(self, now: float, part: Part) -> bool:
        """Takes what is new of it; whether more is known than before."""
        held = self._in_life(part.owner, part.life, may_begin=part.since == 0)
        if held is None:
            return False
        before = held.entry()
        self._tell(held, held.take(now, part, self._refused.get(part.owner), self.rules))
        return held.entry() != before

    def news(self, now: float, owner: str, life: int, record: Record) -> bool:
        """Whether it was news."""
        held = self._in_life(owner, life, may_begin=True)
        if held is None:
            return False
        changes = held.hear(now, record, self._refused.get(owner), self.rules)
        self._tell(held, changes)
        return bool(changes)

    def lacks(self, entry: Entry) -> Entry | None:
        """What is known of its owner here, if whoever sent the entry knows more."""
        if not self.takes(entry.owner):
            return None
        held = self._held.get(entry.owner) or OwnerState(entry.owner, 0)
        held.told_floor(entry)
        return held.entry() if held.behind(entry) else None

    def forget_gone(self, now: float) -> list[str]:
        gone = [owner for owner, since in self._left.items() if now >= since + self.rules.keep_ms]
        for owner in gone:
            del self._left[owner], self._held[owner]
            self._out.add(Gone(owner))
        return gone

    def next_deadline(self) -> float | None:
        return min((since + self.rules.keep_ms for since in self._left.values()), default=None)

    def _in_life(self, owner: str, life: int, may_begin: bool) -> OwnerState | None:
        """What is held of an owner in that life; a later life than the one held replaces all of it."""
        held = self._held.get(owner)
        if owner == self.me or not self.takes(owner):
            return None
        if held is None or held.life < life:
            if not may_begin:
                return None
            if held is not None:
                self._tell(held, sorted(held.facts))
            held = self._held[owner] = OwnerState(owner, life)
        return held if held.life == life else None

    def _tell(self, held: OwnerState, changes: Iterable[Change]) -> None:
        for change in changes:
            if isinstance(change, Fact):
                self._out.add(Changed(held.owner, held.life, change))
            else:
                self._out.add(Dropped(held.owner, held.life, change))
