"""Mutants of facts and transfers."""

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
        "a delta is applied although an earlier one was lost",
        _OWNER_STATE,
        "        if part.since > self.seen:\n            return []\n",
        "",
        seeds=400,
        faults=2,
    ),
    Mutant(
        "a pushed record after a gap counts as if nothing before it were missing",
        _OWNER_STATE,
        "self.known + 1 in self.early",
        "self.early and self.known < max(self.early)",
        seeds=20,
    ),
    Mutant(
        "an older value overwrites a newer pushed one",
        _OWNER_STATE,
        "if record.version <= newest:",
        "if record.version == newest:",
        seeds=20,
        faults=2,
    ),
    Mutant(
        "drops whose tombstones were discarded are never applied",
        _OWNER_STATE,
        "            if self.seen < part.floor:\n",
        "            if self.seen < part.floor and not self.seen:\n",
        seeds=20,
        faults=2,
    ),
    Mutant(
        "the facts of a new life are added to those of the old one",
        _TABLE,
        "            if state is not None:\n                self._report(state, sorted(state.facts))\n",
        "            if state is not None:\n"
        "                state.life = life\n"
        "                return state\n",
        seeds=20,
    ),
    Mutant(
        "records that were skipped while an owner was restricted count as known",
        _OWNER_STATE,
        "            if allowed is None:\n                self.known = self.seen",
        "            self.known = self.seen",
        seeds=20,
        faults=2,
    ),
    Mutant(
        "all keys of a restricted owner are applied",
        _TABLE,
        "state.apply_delta(now, part, self._allowed_keys.get(part.owner), self.rules)",
        "state.apply_delta(now, part, None, self.rules)",
        seeds=20,
    ),
    Mutant(
        "the age of a relayed fact counts from its arrival at the relay",
        _OWNER_STATE,
        "        at = now - record.age_ms\n",
        "        at = now\n",
        seeds=20,
        faults=2,
    ),
    Mutant(
        "records that do not fit are left out at the beginning",
        _PACKING,
        "lacking.records[:count]",
        "lacking.records[-count:]",
        seeds=20,
    ),
    Mutant(
        "an owner that left is accepted again from a peer that still has it",
        _TABLE,
        "return owner in self._peers or owner in self._departed_at",
        "return True",
        seeds=20,
    ),
    Mutant(
        "the budget is checked but not charged for pushes",
        _PUSH,
        "        self._budget.spend(now, size * len(peers))\n",
        "        self._urgent_budget = Budget(self._urgent_budget.rate, self._urgent_budget.burst)\n",
        seeds=20,
    ),
    Mutant(
        "facts that are not rechecked yet are sent to others",
        _OWNER_STATE,
        " and fact.key not in self._unchecked",
        "",
        seeds=1500,
        faults=2,
    ),
    Mutant(
        "versions that were pushed before a recheck count after it",
        _OWNER_STATE,
        "        self.early.clear()\n",
        "",
        seeds=2000,
        faults=2,
    ),
    Mutant(
        "a transfer continues at the sender's offset, not at the receiver's",
        _OUTGOING,
        "if self.awaiting_answer or message.offset > self.sent:",
        "if message.offset > self.sent:",
        seeds=20,
    ),
    Mutant(
        "a received blob is delivered without a check of its digest",
        _INCOMING,
        "if blob.hash.digest() != blob.digest:",
        "if len(blob.data) != blob.size:",
        seeds=20,
        faults=1,
    ),
    Mutant(
        "a receiver forgets which blobs it has delivered",
        _INCOMING,
        "        while len(self._done) > self.rules.max_remembered:\n",
        "        while self._done:\n",
        seeds=20,
        faults=2,
    ),
    Mutant(
        "a newer blob of the same name and size is treated as the older one",
        _INCOMING,
        "(blob.digest, blob.size) != (offer.digest, offer.size)",
        "blob.size != offer.size",
        seeds=20,
    ),
    Mutant(
        "an offer is repeated only while its answer is awaited",
        _OUTGOING,
        "if now >= blob.retry_at and not blob.is_sendable()]\n",
        "if now >= blob.retry_at and blob.awaiting_answer]\n",
        seeds=20,
    ),
]
