"""Mutants of membership, and the scenario of `test_peers_members` that must find each."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_DAYS: dict[str, list[Mutant]] = {}


def _on(day: str, name: str, file: str, old: str, new: str, seeds: int, faults: int = 1) -> None:
    mutant = Mutant(f"members: {name}", f"fernweir/peers/members/{file}.py", old, new, seeds, faults)
    _DAYS.setdefault(day, []).append(mutant)


_on(
    "back", "life left out of the order", "messages",
    "return (self.life, self.incarnation, self.state)", "return (0, self.incarnation, self.state)", 4,
)  # fmt: skip
_on(
    "calm", "life compared with >=", "identity",
    "if record.life > own.life:", "if record.life >= own.life:", 2,
)  # fmt: skip
_on(
    "back", "own life not raised when the clock was set back", "identity",
    "self._raise_life(record.life + 1)\n            elif record.key", "pass\n            elif record.key",
    8, faults=2,
)  # fmt: skip
_on(
    "killed", "suspicion never shortened", "suspicion",
    "return max(min_ms, max_ms - (max_ms - min_ms) * share)", "return max_ms", 2,
)  # fmt: skip
_on(
    "slow", "incarnation not raised on a refutation", "identity",
    "incarnation=record.incarnation + 1", "incarnation=record.incarnation", 2,
)  # fmt: skip
_on(
    "forgotten", "tombstone forgotten", "table",
    "self._tombstones[name] = Member(self.rows.pop(name).record, now)", "del self.rows[name]", 2,
)  # fmt: skip
_on(
    "slow", "awareness ignored", "awareness",
    "return 1.0 + self.score", "return 1.0", 3,
)  # fmt: skip
_on(
    "old_answer", "an answer with an older number accepted", "probes",
    "        probe = self._in_flight.get(seq)\n        if probe is None or life",
    "        seq = next((s for s, p in self._in_flight.items() if p.record.name == sender), seq)\n"
    "        probe = self._in_flight.get(seq)\n        if probe is None or life", 3,
)  # fmt: skip
_on(
    "calm", "news passed on for ever", "gossip",
    "self._put(slot, level + 1, entry)", "self._put(slot, level, entry)", 2,
)  # fmt: skip
_on(
    "stood_still", "a late timer is no reason for doubt", "detector",
    "view.suspicions.restart(view.now)", "pass", 20, faults=2,
)  # fmt: skip
_on(
    "halves", "death believed by hearsay", "updates",
    "if not ripe:", "if False:", 4,
)  # fmt: skip
_on(
    "halves", "dead members never called again", "repair",
    "lost = dict.fromkeys([*self.seeds, *(record.address for record in table.dead_records())])",
    "lost = dict.fromkeys(self.seeds)", 6,
)  # fmt: skip
_on(
    "cut_one_way", "what helpers hear does not count", "probes",
    "(probe.record.name, *probe.helpers)", "(probe.record.name,)", 4,
)  # fmt: skip
_on(
    "two_of_a_name", "the lower life raises itself above the living higher one", "identity",
    "self._contest_name(now, record)", "self._raise_life(record.life + 1)", 3,
)  # fmt: skip
_on(
    "two_of_a_name", "a rival's death believed by hearsay", "identity",
    "now - rival.declared_dead_at >= VERDICT_PERIODS * self._rules.period_ms", "rival.probe_at", 3,
)  # fmt: skip
_on(
    "goodbye", "leaving told as a death", "identity",
    "state=State.LEFT", "state=State.DEAD", 2,
)  # fmt: skip
_on(
    "flooded", "a full table takes one more", "table",
    "if not self._dead_since:\n            return False",
    "if not self._dead_since:\n            return True", 2,
)  # fmt: skip
_on(
    "alone", "seeds called once only", "repair",
    "self._contact_at = view.now + (\n"
    "            view.rules.join_interval_ms if alone else view.rules.rejoin_interval_ms\n"
    "        )",
    "self._contact_at = math.inf", 4,
)  # fmt: skip
_on(
    "killed", "no witnesses", "prober",
    "view.rng.random() * living >= view.rules.witnesses", "living", 12,
)  # fmt: skip
_on(
    "killed", "an accuser counts once for all", "suspicion",
    "suspicion.accusers.add(accuser)", "pass", 4,
)  # fmt: skip

MUTANTS = [(day, mutant) for day, mutants in _DAYS.items() for mutant in mutants]
