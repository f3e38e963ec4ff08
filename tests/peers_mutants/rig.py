"""Mutants of the audit's ownership check, of its six rules on owners, and of the relay's decisions."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_OWNERS, _GAPS, _RULES = "fernweir/audit/owners.py", "fernweir/audit/gaps.py", "fernweir/audit/rules.py"
_PATHS = "fernweir/rehearsal/fleet/paths.py"

MUTANTS: list[Mutant] = [
    Mutant(
        "a refused claim counts as an act",
        _OWNERS,
        "if isinstance(record, BoxClaim) and record.accepted:",
        "if isinstance(record, BoxClaim):",
        1,
    ),
    Mutant(
        "set-ups are no acts of an owner",
        _OWNERS,
        "if isinstance(record, BoxSetup) and record.channel:",
        "if isinstance(record, BoxSetup) and not record.channel:",
        1,
    ),
    Mutant(
        "the bound counts from the newest follower",
        _OWNERS,
        "since = min(followers, key=lambda other: other.t)",
        "since = max(followers, key=lambda other: other.t)",
        1,
    ),
    Mutant(
        "an owner follows itself",
        _OWNERS,
        "if fence > act.fence and other.front != act.front",
        "if fence > act.fence",
        1,
    ),
    Mutant("two under one fence pass", _OWNERS, "if first.front != act.front:", "if not first.front:", 1),
    Mutant(
        "a third owner passes",
        _OWNERS,
        "if beside and act.t > newest.t + self._slack:",
        "if len(beside) > 1 and act.t > newest.t + self._slack:",
        1,
    ),
    Mutant(
        "overtaken at a box passes", _OWNERS, "if overtaken and act.t", "if len(overtaken) > 1 and act.t", 1
    ),
    Mutant(
        "a shut-out has no bound",
        _OWNERS,
        "if act.t > until + SKEW_MS + self.terms.way_ms:",
        "if act.t > since + SKEW_MS + self.terms.way_ms:",
        1,
    ),
    Mutant(
        "a shut-out is for ever",
        _OWNERS,
        "self._until.pop(record.front, None)",
        "self._until.get(record.front)",
        1,
    ),
    Mutant(
        "an old owner's act makes it the owner",
        _GAPS,
        "if act.fence < one.fence:",
        "if act.fence < 0:",
        1,
    ),
    Mutant(
        "what moved counts as given up",
        _GAPS,
        'why == "released" and not moved:',
        'why == "released":',
        1,
    ),
    Mutant(
        "a planned stop's gap begins at its order",
        _GAPS,
        "self._lose(record.front, Loss.PLANNED, None)",
        "self._lose(record.front, Loss.PLANNED, record.t)",
        1,
    ),
    Mutant(
        "a woken front is excused for ever",
        _RULES,
        "return any(begun <= until and ended >= asked.ask.t for begun, ended in pauses)",
        "return any(begun <= until for begun, ended in pauses)",
        1,
    ),
    Mutant(
        "a planned stop excuses as a kill does",
        _RULES,
        "if not record.planned:",
        "if record:",
        1,
    ),
    Mutant(
        "heirs count nothing that they inherit",
        _RULES,
        "if one in self._in_channels and not held_anew:",
        "if one in self._in_channels and held_anew:",
        1,
    ),
    Mutant(
        "an heir may not move what it inherited",
        _RULES,
        "if len(held) > kind.seats and not (moved and key in self._heirs):",
        "if len(held) > kind.seats:",
        1,
    ),
    Mutant(
        "standing still gives a drain its grace anew",
        _RULES,
        "(record.t - max(begun - since, 0.0), state)",
        "(record.t, state)",
        1,
    ),
    Mutant("pieces overtake one another", _PATHS, "return max(due, after)", "return due", 5),
    Mutant("a lost piece never comes late", _PATHS, "due += _RESENT_MS", "break", 5),
    Mutant("a cut lets datagrams through", _PATHS, "if manner.cut or self.dice", "if self.dice", 1),
    Mutant("a slow link forgets what it carries", _PATHS, "self._busy_until = sent\n        due", "due", 2),
    Mutant("a slow link queues for ever", _PATHS, "if sent - now > _QUEUE_MS:", "if sent < now:", 2),
    Mutant(
        "a doubled datagram is two of the same moment",
        _PATHS,
        "return due, due + self.dice.uniform(0.0, manner.jitter_ms + manner.held_ms)",
        "return due, due",
        5,
    ),
]
