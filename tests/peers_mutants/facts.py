"""Mistakes in facts and transfers."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_OWNER_STATE = "fernweir/peers/facts/owner_state.py"
_TABLE = "fernweir/peers/facts/table.py"
_PACKING = "fernweir/peers/facts/packing.py"
_PUSH = "fernweir/peers/facts/push.py"
_OUTGOING = "fernweir/peers/facts/outgoing.py"
_INCOMING = "fernweir/peers/facts/incoming.py"

MUTANTS: list[Mutant] = [
    Mutant(
        "a delta is taken though what was sent before it was lost",
        _OWNER_STATE,
        "        if part.since > self.seen:\n            return []\n",
        "",
        seeds=400,
        faults=2,
    ),
    Mutant(
        "news beyond a gap counts as all that was before it",
        _OWNER_STATE,
        "self.known + 1 in self.early",
        "self.early and self.known < max(self.early)",
        seeds=20,
    ),
    Mutant(
        "an older value overwrites a newer one that news told",
        _OWNER_STATE,
        "if record.version <= newest:",
        "if record.version == newest:",
        seeds=20,
        faults=2,
    ),
    Mutant(
        "drops whose tombstones are forgotten are never made good",
        _OWNER_STATE,
        "            if self.seen < part.floor:\n",
        "            if self.seen < part.floor and not self.seen:\n",
        seeds=20,
        faults=2,
    ),
    Mutant(
        "a new life of an owner is added to its old one",
        _TABLE,
        "            if held is not None:\n                self._tell(held, sorted(held.facts))\n",
        "            if held is not None:\n                held.life = life\n                return held\n",
        seeds=20,
    ),
    Mutant(
        "what was passed over while an owner was refused counts as known",
        _OWNER_STATE,
        "            if allowed is None:\n                self.known = self.seen",
        "            self.known = self.seen",
        seeds=20,
        faults=2,
    ),
    Mutant(
        "of a refused owner all is taken",
        _TABLE,
        "held.take(now, part, self._refused.get(part.owner), self.rules)",
        "held.take(now, part, None, self.rules)",
        seeds=20,
    ),
    Mutant(
        "relays tell a fact's age from when they heard it",
        _OWNER_STATE,
        "        at = now - record.age\n",
        "        at = now\n",
        seeds=20,
        faults=2,
    ),
    Mutant(
        "what doesn't fit is left out at the front",
        _PACKING,
        "one.records[:count]",
        "one.records[-count:]",
        seeds=20,
    ),
    Mutant(
        "an owner that is gone is taken again from who still has it",
        _TABLE,
        "return owner in self._peers or owner in self._left",
        "return True",
        seeds=20,
    ),
    Mutant(
        "the budget is asked and not charged for news",
        _PUSH,
        "        self._all.spend(now, size * len(peers))\n",
        "        self._urgent = Budget(self._urgent.rate, self._urgent.burst)\n",
        seeds=20,
    ),
    Mutant(
        "facts that are being checked again are told to others as checked",
        _OWNER_STATE,
        " and fact.key not in self._unchecked",
        "",
        seeds=1500,
        faults=2,
    ),
    Mutant(
        "what news told before all is checked again counts after it",
        _OWNER_STATE,
        "        self.early.clear()\n",
        "",
        seeds=2000,
        faults=2,
    ),
    Mutant(
        "a transfer goes on from where its sender was, not from where the receiver is",
        _OUTGOING,
        "if self.asking or message.offset > self.sent:",
        "if message.offset > self.sent:",
        seeds=20,
    ),
    Mutant(
        "what came is handed over without a look at its digest",
        _INCOMING,
        "if one.hash.digest() != one.digest:",
        "if len(one.data) != one.size:",
        seeds=20,
        faults=1,
    ),
    Mutant(
        "a receiver forgets what it has handed over",
        _INCOMING,
        "        while len(self._done) > self.rules.max_remembered:\n",
        "        while self._done:\n",
        seeds=20,
        faults=2,
    ),
    Mutant(
        "a newer blob of one name and size is taken for the older one",
        _INCOMING,
        "(one.digest, one.size) != (offer.digest, offer.size)",
        "one.size != offer.size",
        seeds=20,
    ),
    Mutant(
        "an offer is made again only while an answer to it is awaited",
        _OUTGOING,
        "if now >= one.retry_at and not one.sendable()]\n",
        "if now >= one.retry_at and one.asking]\n",
        seeds=20,
    ),
]
