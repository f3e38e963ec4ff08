"""The facts that this front publishes: their versions, their limits, and how false claims are refuted."""

from __future__ import annotations

from math import inf

from fernweir.peers.facts.messages import Entry
from fernweir.peers.facts.owner_state import Fact, OwnerState, Tombstone
from fernweir.peers.facts.rules import MAX_NUMBER, MAX_VALUE_BYTES, FactError, FactRules, check_key

_INITIAL_KEY = "-"
_NO_CLAIM = (-1, -1)


class LocalState:
    """The published facts. `state` has the same form in which other fronts store them."""

    def __init__(self, me: str, life: int, rules: FactRules) -> None:
        self.rules = rules
        self.state = self._with_initial_record(OwnerState(me, life))
        self._refuted_at = -inf
        self._highest_claim = _NO_CLAIM  # life and version

    def put(self, now: float, key: str, value: bytes) -> None:
        """Publishes a fact.

        Raises:
            FactError: The key, the value, or all facts together exceed the limits of one owner.
        """
        check_key(key)
        state, rules = self.state, self.rules
        if len(value) > MAX_VALUE_BYTES:
            raise FactError(
                f"value of fact {key!r} has {len(value)} bytes, at most {MAX_VALUE_BYTES} are allowed"
            )
        old = state.facts.get(key)
        if old is None and len(state.facts) >= rules.max_keys:
            raise FactError(f"cannot publish fact {key!r}: limit of {rules.max_keys} keys")
        growth = len(value) - (len(old.value) if old is not None else -len(key))
        if state.size + growth > rules.max_owner_bytes:
            raise FactError(
                f"cannot publish fact {key!r}: limit of {rules.max_owner_bytes} bytes for all facts"
            )
        state.put(Fact(key, self._next_version(), bytes(value), now))

    def drop(self, now: float, key: str) -> bool:
        """Drops a fact; returns False if there is no such fact."""
        state = self.state
        if key not in state.facts:
            return False
        state.drop(key, Tombstone(self._next_version(), now))
        if len(state.tombs) > self.rules.max_tombstones:
            versions = sorted(tombstone.version for tombstone in state.tombs.values())
            state.raise_floor(versions[len(versions) // 2])
        return True

    def on_claim(self, entry: Entry) -> None:
        """Schedules `refute` if a peer's entry of this front is beyond what it published in this life."""
        claim = (entry.life, max(entry.seen, entry.floor))
        if claim > (self.state.life, self.state.known) and entry.life < MAX_NUMBER:
            self._highest_claim = max(self._highest_claim, claim)

    def next_deadline(self) -> float | None:
        """Returns when `refute` is due, or None."""
        return self._refuted_at + self.rules.refute_interval_ms if self._highest_claim > _NO_CLAIM else None

    def refute(self, now: float) -> bool:
        """Publishes all facts again with versions above false claims, once per `refute_interval_ms` at most.

        Peers then accept again the facts of a front that restarted under its old life, or about which false
        entries were sent. Returns whether anything was published.
        """
        due = self.next_deadline()
        if due is None or now < due:
            return False
        old, (life, version) = self.state, self._highest_claim
        self._highest_claim = _NO_CLAIM
        if (life, version) <= (old.life, old.known):
            return False
        self._refuted_at = now
        if life > old.life or version > MAX_NUMBER // 2:
            self.state = self._with_initial_record(OwnerState(old.owner, life + 1))
        else:
            state = OwnerState(old.owner, old.life)
            state.known = state.seen = version + 1
            state.raise_floor(version + 1)  # makes the others go through all records from the start
            self.state = self._with_initial_record(state)
        for fact in sorted(old.facts.values(), key=lambda fact: fact.version):
            self.state.put(Fact(fact.key, self._next_version(), fact.value, fact.at))
        return True

    @staticmethod
    def _with_initial_record(state: OwnerState) -> OwnerState:
        """Adds the drop of a key that was never put, so that peers learn of a life without any facts."""
        state.known = state.seen = state.known + 1
        state.drop(_INITIAL_KEY, Tombstone(state.known, 0.0))
        return state

    def _next_version(self) -> int:
        self.state.known = self.state.seen = self.state.known + 1
        return self.state.known
