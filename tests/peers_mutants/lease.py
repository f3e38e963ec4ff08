"""Mutants of leases."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_AT = "fernweir/peers/lease/"

MUTANTS = [
    Mutant(
        "a lease counted from the answer",
        _AT + "acquisition.py",
        "attempt.asked_at + self._rules.validity_ms)",
        "now + self._rules.validity_ms)",
        40,
    ),
    Mutant(
        "a renewal counted from the answer",
        _AT + "held_leases.py",
        "until = renewal.asked_at + self._rules.validity_ms",
        "until = now + self._rules.validity_ms",
        40,
    ),
    Mutant(
        "a keeper that forgets its silence",
        _AT + "keeper.py",
        "self._silent_until = now + rules.silence_ms",
        "self._silent_until = now",
        10,
        2,
    ),
    Mutant(
        "a fence compared with >= to the floor a box told",
        _AT + "holder.py",
        "held.fence > floor",
        "held.fence >= floor",
        10,
    ),
    Mutant(
        "majority counted over one set only during a change",
        _AT + "rules.py",
        "return all(sum(name in names",
        "return any(sum(name in names",
        20,
    ),
    Mutant(
        "drift ignored",
        _AT + "rules.py",
        "return self.lease_ms * (1 - self.drift) / (1 + self.drift)",
        "return self.lease_ms",
        20,
    ),
    Mutant(
        "a renewal accepted after the lapse with the same fence",
        _AT + "holder.py",
        "        self._held_leases.expire(now)\n        if sender",
        "        if sender",
        20,
        2,
    ),
    Mutant(
        "answers of an old ballot counted",
        _AT + "acquisition.py",
        "            found = self._running(item.channel, item.ballot)\n"
        "            if found is None or item.fence != found[1].fence:",
        "            want = self.wants.get(item.channel)\n"
        "            found = self._running(item.channel, want.ballot) if want else None\n"
        "            if found is None:",
        120,
    ),
    Mutant(
        "a keeper that counts from its promise",
        _AT + "keeper.py",
        "record.until, record.touched_at = now + span_ms, now",
        "record.until, record.touched_at = record.promised_at + span_ms, now",
        5,
    ),
    Mutant(
        "answers meant for an older life counted",
        _AT + "holder.py",
        ' or getattr(message, "life", self._life) != self._life:',
        ":",
        50,
        2,
    ),
    Mutant(
        "a newer set that stands alone at once",
        _AT + "overlap.py",
        "self._settles_at = now + self._wait_ms",
        "self._settles_at = now",
        40,
        2,
    ),
    Mutant(
        "the same fence minted twice",
        _AT + "acquisition.py",
        "max(want.floor, self._last_fence)",
        "want.floor",
        100,
        2,
    ),
    Mutant(
        "a forgotten channel's fence forgotten with it",
        _AT + "records.py",
        "self.raise_floor(self.by_channel.pop(channel).fence)",
        "self.by_channel.pop(channel)",
        10,
    ),
    Mutant(
        "a shut-out front's renewals accepted",
        _AT + "keeper.py",
        "        if sender in self._shut_out:",
        "        if sender in self._shut_out and not span_ms:",
        20,
    ),
    Mutant(
        "a lease believed until the timer says so",
        _AT + "holder.py",
        "return lease if lease is not None and now < lease.until else None",
        "return lease",
        10,
    ),
    Mutant(
        "a keeper that asks nobody what it forgot",
        _AT + "keeper.py",
        "        self.raise_floor(message.floor)",
        "        pass",
        40,
        2,
    ),
]

# the scene of `test_peers_lease` that must find each
SCENE_OF = {
    "a lease counted from the answer": "scramble",
    "a renewal counted from the answer": "day",
    "a keeper that forgets its silence": "day",
    "a fence compared with >= to the floor a box told": "idle",
    "majority counted over one set only during a change": "new keepers",
    "drift ignored": "day",
    "a renewal accepted after the lapse with the same fence": "day",
    "answers of an old ballot counted": "scramble",
    "a keeper that counts from its promise": "scramble",
    "answers meant for an older life counted": "day",
    "a newer set that stands alone at once": "new keepers",
    "the same fence minted twice": "scramble",
    "a forgotten channel's fence forgotten with it": "idle",
    "a shut-out front's renewals accepted": "day with walls that jump",
    "a lease believed until the timer says so": "day",
    "a keeper that asks nobody what it forgot": "new keepers",
}
