"""What a front publishes of itself: versions, bounds, and how it outdoes what others wrongly hold of it."""

from __future__ import annotations

from math import inf

from fernweir.peers.facts.messages import Entry
from fernweir.peers.facts.owner_state import Fact, OwnerState, Tomb
from fernweir.peers.facts.rules import LIMIT, VALUE_MOST, FactError, FactRules, check_key

_NOTHING = "-"
_NO_CLAIM = (-1, -1)


class Own:
    """`held` is what the front publishes, in the shape in which others hold it."""

    def __init__(self, me: str, life: int, rules: FactRules) -> None:
        self.rules = rules
        self.held = self._begun(OwnerState(me, life))
        self._refuted_at = -inf
        self._claimed = _NO_CLAIM  # life and version

    def put(self, now: float, key: str, value: bytes) -> None:
        """FactError if the key, the value, or all together is more than the rules let one owner publish."""
        check_key(key)
        held, rules = self.held, self.rules
        if len(value) > VALUE_MOST:
            raise FactError(f"{key}: {len(value)} bytes are more than {VALUE_MOST}")
        old = held.facts.get(key)
        if old is None and len(held.facts) >= rules.max_keys:
            raise FactError(f"{key}: more than {rules.max_keys} keys")
        grows = len(value) - (len(old.value) if old is not None else -len(key))
        if held.size + grows > rules.max_owner_bytes:
            raise FactError(f"{key}: more than {rules.max_owner_bytes} bytes in all")
        held.put(Fact(key, self._next(), bytes(value), now))

    def drop(self, now: float, key: str) -> bool:
        """False if there is no such fact."""
        held = self.held
        if key not in held.facts:
            return False
        held.drop(key, Tomb(self._next(), now))
        if len(held.tombs) > self.rules.max_tombstones:
            versions = sorted(tomb.version for tomb in held.tombs.values())
            held.raise_floor(versions[len(versions) // 2])
        return True

    def claim(self, entry: Entry) -> None:
        """Somebody holds that much of this front: if it never said so in this life, `refute` is due."""
        claimed = (entry.life, max(entry.seen, entry.floor))
        if claimed > (self.held.life, self.held.known) and entry.life < LIMIT:
            self._claimed = max(self._claimed, claimed)

    def next_deadline(self) -> float | None:
        return self._refuted_at + self.rules.refute_interval_ms if self._claimed > _NO_CLAIM else None

    def refute(self, now: float) -> bool:
        """Goes beyond what is wrongly held of this front, with all it has, every now and then at most.

        So a front that is back under its old life, or was lied about, is heard again.
        """
        due = self.next_deadline()
        if due is None or now < due:
            return False
        old, (life, version) = self.held, self._claimed
        self._claimed = _NO_CLAIM
        if (life, version) <= (old.life, old.known):
            return False
        self._refuted_at = now
        if life > old.life or version > LIMIT // 2:
            self.held = self._begun(OwnerState(old.owner, life + 1))
        else:
            held = OwnerState(old.owner, old.life)
            held.known = held.seen = version + 1
            held.raise_floor(version + 1)  # so that others go through everything from the start
            self.held = self._begun(held)
        for fact in sorted(old.facts.values(), key=lambda one: one.version):
            self.held.put(Fact(fact.key, self._next(), fact.value, fact.at))
        return True

    @staticmethod
    def _begun(held: OwnerState) -> OwnerState:
        """The first record drops a key that never was: so a life that says nothing else is known too."""
        held.known = held.seen = held.known + 1
        held.drop(_NOTHING, Tomb(held.known, 0.0))
        return held

    def _next(self) -> int:
        self.held.known = self.held.seen = self.held.known + 1
        return self.held.known
