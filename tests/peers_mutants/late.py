"""Mistakes in the machine of stragglers. `DAYS`: which drawn day finds each, by its faults."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_AT = "fernweir/peers/late/"

DAYS: dict[str, tuple[str, ...]] = {}
MUTANTS: list[Mutant] = []


def _add(
    faults: tuple[str, ...], name: str, file: str, old: str, new: str, seeds: int, at_once: int = 1
) -> None:
    DAYS[name] = faults
    MUTANTS.append(Mutant(name, _AT + file, old, new, seeds, at_once))


_add(
    ("many_deaf",),
    "a shut-out without a cap",
    "rules.py",
    "    return int(rules.shut_out_share * fronts)",
    "    return fronts",
    6,
)
_add(
    ("deaf",),
    "one missed message is late",
    "peers.py",
    "        if self.left is not None and now >= self.left + left_ms:",
    "        if self.left is not None:",
    6,
)
_add(
    ("lie",),
    "word believed over acts",
    "content_track.py",
    "        if me in proofs:",
    "        if proofs:\n            return self.word\n        if me in proofs:",
    6,
)
_add(
    ("deaf", "deaf"),
    "no hysteresis: let back as soon as it has caught up",
    "vote_decision.py",
    "    over = clean and not peer.spells and now >= out_at + rules.stay_ms",
    "    over = not peer.spells",
    10,
)
_add(
    ("unheard",),
    "a confirmation counted twice from one peer",
    "votes.py",
    "        self._heard[keeper] = _Heard(votes.life, votes.at, now, against)",
    "        self._heard[keeper] = _Heard(votes.life, votes.at, now, against)\n"
    "        self._heard[keeper + ' again'] = self._heard[keeper]",
    10,
)
_add(
    ("slander",),
    "one witness is enough",
    "content_track.py",
    "return best if seen.get(best, 0) >= 2 else self.word",
    "return best if seen.get(best, 0) >= 1 else self.word",
    10,
)
_add(
    ("few",),
    "whoever holds something else than most is late, told later or not",
    "lag_detection.py",
    "        elif view.content != target and view.content not in ahead and target:",
    "        elif view.content != target:\n"
    "            split.add(view.name)\n        elif view.content != target:",
    6,
)
_add(
    ("few",),
    "the highest epoch counts, however few have it",
    "lag_detection.py",
    "    target = epochs[max(_least(rules.epoch_share, len(epochs)), 1) - 1]",
    "    target = epochs[0]",
    6,
)
_add(
    ("reborn",),
    "a new life is judged by what the former one did",
    "stragglers.py",
    "for name in [name for name in peers if name != self.me and lives.get(name) != peers[name].life]:",
    "for name in [name for name in peers if name != self.me and name not in lives]:",
    10,
)
_add(
    ("orphaned",),
    "a vote that never lapses",
    "votes.py",
    "if now < heard.at + self._rules.vote_ms]",
    "if now >= heard.at]",
    10,
    2,
)
_add(
    ("asleep",),
    "time that was slept through counts",
    "stragglers.py",
    "            self._stood(now, now - self._looked_at)",
    "            pass",
    20,
    2,
)
_add(
    ("relieved",),
    "a place given again while the old vote may count",
    "votes.py",
    "        self._settling.append(now + self.rules.settle_ms)",
    "        self._settling.append(now)",
    20,
    2,
)
