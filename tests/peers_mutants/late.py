"""Mutants of straggler detection. `FAULTS_OF` has the faults of the random runs that find each mutant."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_AT = "fernweir/peers/late/"

FAULTS_OF: dict[str, tuple[str, ...]] = {}
MUTANTS: list[Mutant] = []


def _add(
    faults: tuple[str, ...], name: str, file: str, old: str, new: str, seeds: int, at_once: int = 1
) -> None:
    FAULTS_OF[name] = faults
    MUTANTS.append(Mutant(name, _AT + file, old, new, seeds, at_once))


_add(
    ("many_missed_updates",),
    "no limit of fronts that are shut out",
    "rules.py",
    "    return int(rules.shut_out_ratio * fronts)",
    "    return fronts",
    6,
)
_add(
    ("missed_updates",),
    "one missed update makes a front stale",
    "peers.py",
    "        if self.passed_at is not None and now >= self.passed_at + passed_ms:",
    "        if self.passed_at is not None:",
    6,
)
_add(
    ("false_facts",),
    "facts count more than actions",
    "content_track.py",
    "        if me in proofs:",
    "        if proofs:\n            return self.published\n        if me in proofs:",
    6,
)
_add(
    ("missed_updates", "missed_updates"),
    "no hysteresis: readmitted as soon as it has caught up",
    "vote_decision.py",
    "    over = clean and not peer.lags and now >= shut_out_at + rules.min_shut_out_ms",
    "    over = not peer.lags",
    10,
)
_add(
    ("blocked_link",),
    "a vote of one keeper counts twice",
    "votes.py",
    "        self._votes[keeper] = _KeeperVotes(votes.life, votes.at, now, against)",
    "        self._votes[keeper] = _KeeperVotes(votes.life, votes.at, now, against)\n"
    "        self._votes[keeper + ' again'] = self._votes[keeper]",
    10,
)
_add(
    ("false_evidence",),
    "one witness is enough",
    "content_track.py",
    "return best if seen.get(best, 0) >= 2 else self.published",
    "return best if seen.get(best, 0) >= 1 else self.published",
    10,
)
_add(
    ("minority_update",),
    "any other content than that of most fronts is stale, even if it is newer",
    "lag_detection.py",
    "        elif view.content != target and view.content not in ahead and target:",
    "        elif view.content != target:\n"
    "            split.add(view.name)\n        elif view.content != target:",
    6,
)
_add(
    ("minority_update",),
    "the highest epoch is in force, however few fronts have it",
    "lag_detection.py",
    "    target = epochs[max(_min_count(rules.epoch_ratio, len(epochs)), 1) - 1]",
    "    target = epochs[0]",
    6,
)
_add(
    ("restarted_straggler",),
    "a new life keeps the state of the previous one",
    "stragglers.py",
    "for name in [name for name in peers if name != self.me and lives.get(name) != peers[name].life]:",
    "for name in [name for name in peers if name != self.me and name not in lives]:",
    10,
)
_add(
    ("killed_keepers",),
    "a vote never expires",
    "votes.py",
    "if now < heard.received_at + self._rules.vote_ms]",
    "if now >= heard.received_at]",
    10,
    2,
)
_add(
    ("suspended_keepers",),
    "the time of a suspension counts",
    "stragglers.py",
    "            self._on_suspended(now, now - self._evaluated_at)",
    "            pass",
    20,
    2,
)
_add(
    ("successive_stragglers",),
    "a place is used again while the old vote may count",
    "votes.py",
    "        self._reserved_until.append(now + self.rules.settle_ms)",
    "        self._reserved_until.append(now)",
    20,
    2,
)
