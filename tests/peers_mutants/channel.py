"""Mutants of `peers.channel`, grouped by the simulation that must find them."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_AT = "fernweir/peers/channel/"


def _mutant(name: str, file: str, old: str, new: str, seeds: int, faults: int = 1) -> Mutant:
    return Mutant(name, f"{_AT}{file}.py", old, new, seeds, faults)


COPIES: list[Mutant] = [
    _mutant(
        "messages with a lower fence are accepted", "standby",
        "        if message.fence < entry.fence:\n", "        if message.fence < 0:\n", 12, 2,
    ),
    _mutant(
        "a snapshot says the next sequence number", "owned",
        "self._snapshot = _Snapshot(self.seq, ", "self._snapshot = _Snapshot(self.seq + 1, ", 10,
    ),
    _mutant(
        "deltas are applied over a gap", "standby",
        "message.seq == entry.seq + 1 and entry.seq >= 0", "message.seq > entry.seq >= 0", 10,
    ),
    _mutant(
        "the age of a replica omits the transit time", "standby",
        "return now - transit_ms - freshness.age_ms", "return now - freshness.age_ms", 12, 2,
    ),
    _mutant(
        "an owner reports a fresh state while changes are pending", "owned",
        "age = now - self._pending_since", "age = 0.0", 12,
    ),
    _mutant(
        "previous statuses are cleared with each batch", "owned",
        "        self._previous.clear()\n", "", 12, 2,
    ),
]  # fmt: skip

HANDOFF: list[Mutant] = [
    _mutant(
        "the overlap starts when the target is active", "handoff_source",
        "handoff.step, handoff.target_fence, handoff.target = Step.HANDED, fence, target\n",
        "handoff.step, handoff.target_fence, handoff.target = Step.HANDED, fence, target\n"
        "        handoff.released_at = now\n",
        12, 2,
    ),
    _mutant(
        "unknown sessions are not released", "takeover",
        "give_up = [] if takeover.holding else self._sessions_to_release(takeover, result)",
        "give_up = []", 12,
    ),
    _mutant(
        "the source steers while it is frozen", "handoff_source",
        "handoff.step in (Step.WAITING, Step.OFFERED, Step.TRANSFERRING)\n\n    def may_finish",
        "handoff.step is not Step.RECLAIMING\n\n    def may_finish", 12,
    ),
    _mutant(
        "sessions with an attempt in flight are decided at once", "takeover",
        "blocked = takeover.decided | (takeover.in_flight - takeover.reported)",
        "blocked = set(takeover.decided)", 12,
    ),
    _mutant(
        "servers are not claimed again after the overlap", "takeover",
        "            if takeover.hold_until > takeover.started_at:\n",
        "            if takeover.hold_until < takeover.started_at:\n", 12,
    ),
]  # fmt: skip

HANDOFF += [
    _mutant(
        "the front's own attempts are released", "takeover",
        "is_own = not self.rules.attempts_reported or server in takeover.own_servers.get(session, ())",
        "is_own = False", 12,
    ),
    _mutant(
        "sessions in doubt end at once", "takeover",
        "if now >= takeover.hold_until + self.rules.doubt_ms:\n            over",
        "if result.unknown:\n            over", 12,
    ),
]  # fmt: skip

HEIRS: list[Mutant] = [
    _mutant(
        "the bound on loads is ignored", "successor_selection",
        "if eligible[name].load + sessions <= bounds[name]]", "if bounds[name] >= 0.0]", 5,
    ),
    _mutant(
        "a front that just started counts in full", "successor_selection",
        "return min(max(front.age_ms / rules.ramp_ms, rules.floor), 1.0)", "return 1.0", 5,
    ),
    _mutant(
        "a stale front inherits", "successor_selection",
        "eligible = {front.name: front for front in fronts if not front.late and not front.leaving}",
        "eligible = {front.name: front for front in fronts if not front.leaving}", 5,
    ),
    _mutant(
        "channels of one loss are not added to the load of their successor", "successor_selection",
        "loads[order[0]] += channels[channel]", "loads[order[0]] += 0", 5,
    ),
]  # fmt: skip

DIRECTORY: list[Mutant] = [
    _mutant(
        "the first empty answer ends a lookup", "directory",
        "        if not lookup.waiting:\n            self._finish(lookup, None)\n",
        "        self._finish(lookup, None)\n", 12,
    ),
]  # fmt: skip

DAYS: list[Mutant] = [
    _mutant(
        "a closed front accepts an offer", "handoff_target",
        "        if self._closed_reason:\n", "        if self._closed_reason and handoff:\n", 12,
    ),
    _mutant(
        "servers that no replica names are not claimed", "takeover",
        "for server in sorted({*occupied, *listed}):", "for server in occupied:", 12, 2,
    ),

]  # fmt: skip

WEIGHING: list[Mutant] = [
    _mutant(
        "the earlier of two attempts is taken", "reconcile",
        "    return max(\n        candidates,", "    return min(\n        candidates,", 5,
    ),
    _mutant(
        "the same attempt at another server counts as a later one", "reconcile",
        "if location[1] > status.attempt or", "if location[1] >= status.attempt or", 5,
    ),
    _mutant(
        "sessions of a server that was not reached end", "reconcile",
        "        elif status.box in answers and session not in possibly_moved:\n",
        "        elif session not in possibly_moved:\n", 5,
    ),
    _mutant(
        "sessions that may have moved to a silent server end", "reconcile",
        "        elif status.box in answers and session not in possibly_moved:\n",
        "        elif status.box in answers:\n", 5,
    ),
]  # fmt: skip

LIVES: list[Mutant] = [
    _mutant(
        "the entry of an earlier incarnation wins", "registrar",
        "if entry.incarnation < old.incarnation:", "if entry.incarnation > old.incarnation:", 5,
    ),
    _mutant(
        "the old owner removes the entry of the new one", "registrar",
        "if entry is not None and entry.owner == owner and entry.incarnation <= incarnation:",
        "if entry is not None:", 5,
    ),
    _mutant(
        "the entry with the lower fence wins", "registrar",
        "elif entry.fence < old.fence:", "elif entry.fence > old.fence:", 5,
    ),
]  # fmt: skip

MUTANTS: list[Mutant] = COPIES + HANDOFF + DAYS + HEIRS + WEIGHING + DIRECTORY + LIVES
