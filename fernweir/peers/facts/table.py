"""The stored facts of all owners: which owners are accepted, in which life and with which keys."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fernweir.peers.base import Event, Outbox
from fernweir.peers.facts.local_state import LocalState
from fernweir.peers.facts.messages import Entry, Part, Record
from fernweir.peers.facts.owner_state import Change, Fact, OwnerState
from fernweir.peers.facts.rules import FactRules


@dataclass(frozen=True, slots=True)
class Changed(Event):
    """A fact of an owner is new at this front."""

    owner: str
    life: int
    fact: Fact


@dataclass(frozen=True, slots=True)
class Dropped(Event):
    """A fact was removed: its owner dropped it, or started a new life without it."""

    owner: str
    life: int
    key: str


@dataclass(frozen=True, slots=True)
class Gone(Event):
    """All facts of an owner were removed, as it is no longer a peer."""

    owner: str


class OwnerTable:
    """The states of this front and of its peers.

    The number of peers limits its size: nothing is accepted from other owners, and the facts of an owner that
    is no longer a peer are removed after `keep_ms`.
    """

    def __init__(self, local: LocalState, rules: FactRules, out: Outbox) -> None:
        self.local, self.rules = local, rules
        self.me = local.state.owner
        self.peer_names: tuple[str, ...] = ()  # without this front
        self._peers: frozenset[str] = frozenset((self.me,))
        self._states: dict[str, OwnerState] = {}
        self._departed_at: dict[str, float] = {}  # when owners stopped to be peers
        self._allowed_keys: dict[str, frozenset[str]] = {}
        self._out = out

    # --- peers ---

    def set_peers(self, now: float, names: Iterable[str]) -> frozenset[str]:
        """Sets the peers and returns the new ones."""
        listed = sorted(set(names) - {self.me})[: self.rules.max_owners - 1]
        before, self._peers = self._peers, frozenset((self.me, *listed))
        self.peer_names = tuple(listed)
        for owner in before - self._peers:
            if owner in self._states:
                self._departed_at[owner] = now
        for owner in self._peers:
            self._departed_at.pop(owner, None)
        return self._peers - before

    def restrict_owners(self, owners: Mapping[str, frozenset[str]]) -> None:
        """Accepts only these keys from these owners; replaces all earlier restrictions."""
        before, self._allowed_keys = self._allowed_keys, dict(owners)
        for owner, allowed in before.items():
            state = self._states.get(owner)
            if state is not None and owners.get(owner) != allowed:
                state.lift_restriction()

    def is_peer(self, name: str) -> bool:
        """Whether a name is that of a peer or of this front."""
        return name in self._peers

    def is_accepted(self, owner: str) -> bool:
        """Whether facts of an owner are accepted: it is a peer, or was one until recently."""
        return owner in self._peers or owner in self._departed_at

    # --- stored facts ---

    def get(self, owner: str) -> OwnerState | None:
        """Returns the state of an owner, also of this front, or None."""
        return self.local.state if owner == self.me else self._states.get(owner)

    def owners(self) -> list[str]:
        """Returns the owners that have facts, sorted."""
        states = (*self._states.values(), self.local.state)
        return sorted(state.owner for state in states if state.facts)

    def compared_states(self) -> list[OwnerState]:
        """Returns the states of this front and its peers, which are compared with those of other fronts."""
        return [
            self.local.state,
            *(state for owner, state in self._states.items() if owner in self._peers),
        ]

    # --- records and entries from peers ---

    def apply_delta(self, now: float, part: Part) -> bool:
        """Applies the new records of a part; returns whether more is known than before."""
        state = self._state_in_life(part.owner, part.life, may_begin=part.since == 0)
        if state is None:
            return False
        before = state.entry()
        self._report(state, state.apply_delta(now, part, self._allowed_keys.get(part.owner), self.rules))
        return state.entry() != before

    def apply_pushed(self, now: float, owner: str, life: int, record: Record) -> bool:
        """Applies a pushed record; returns whether it was new."""
        state = self._state_in_life(owner, life, may_begin=True)
        if state is None:
            return False
        changes = state.apply_pushed(now, record, self._allowed_keys.get(owner), self.rules)
        self._report(state, changes)
        return bool(changes)

    def entry_if_behind(self, entry: Entry) -> Entry | None:
        """Returns the entry of the same owner here, if the sender of `entry` knows more; otherwise None."""
        if not self.is_accepted(entry.owner):
            return None
        state = self._states.get(entry.owner) or OwnerState(entry.owner, 0)
        state.adopt_floor(entry)
        return state.entry() if state.is_behind(entry) else None

    def remove_departed(self, now: float) -> list[str]:
        """Removes the facts of owners that have not been peers for `keep_ms`, and returns these owners."""
        expired = [owner for owner, since in self._departed_at.items() if now >= since + self.rules.keep_ms]
        for owner in expired:
            del self._departed_at[owner], self._states[owner]
            self._out.add(Gone(owner))
        return expired

    def next_deadline(self) -> float | None:
        """Returns when `remove_departed` is due, or None."""
        return min((since + self.rules.keep_ms for since in self._departed_at.values()), default=None)

    def _state_in_life(self, owner: str, life: int, may_begin: bool) -> OwnerState | None:
        """Returns the state of an owner in that life; a later life replaces the state of an earlier one."""
        state = self._states.get(owner)
        if owner == self.me or not self.is_accepted(owner):
            return None
        if state is None or state.life < life:
            if not may_begin:
                return None
            if state is not None:
                self._report(state, sorted(state.facts))
            state = self._states[owner] = OwnerState(owner, life)
        return state if state.life == life else None

    def _report(self, state: OwnerState, changes: Iterable[Change]) -> None:
        for change in changes:
            if isinstance(change, Fact):
                self._out.add(Changed(state.owner, state.life, change))
            else:
                self._out.add(Dropped(state.owner, state.life, change))
