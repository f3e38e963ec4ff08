"""What a registrar keeps: which front said that it has a session. Bounded; dies soon after who said it.

What stood in a channel when its front went is kept for a while without an owner: an heir may be on its way to
take it, and until it says so the session must not begin a second time.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from fernweir.peers.channel.channel_names import FENCE_LIMIT, MAX_NAME_LENGTH
from fernweir.peers.channel.rules import DirectoryRules


@dataclass(frozen=True, slots=True)
class Entry:
    owner: str
    life: int
    fence: int
    at: float


@dataclass(slots=True)
class Registrar:
    """Of two fronts that say they have a session the one with its channel's higher fence is right; of one
    front's two lives the later. Under one fence the last word counts."""

    rules: DirectoryRules
    _entries: dict[str, Entry] = field(default_factory=dict)
    _of: dict[str, dict[str, None]] = field(default_factory=dict)  # sessions by owner
    _lives: dict[str, int] = field(default_factory=dict)
    _orphans: dict[str, float] = field(default_factory=dict)  # until when each is kept without an owner

    def members(self, now: float, alive: Mapping[str, int]) -> None:
        """Entries of who is gone, or of an earlier life of who is there, go; those in channels later."""
        self._lives = dict(alive)
        for owner in list(self._of):
            life = alive.get(owner)
            for session in list(self._of[owner]):
                if life is None or self._entries[session].life < life:
                    if self._entries[session].fence:
                        self._orphans.setdefault(session, now + self.rules.orphan_ms)
                    else:
                        self._remove(session)

    def register(self, now: float, owner: str, life: int, sessions: Sequence[tuple[str, int]]) -> None:
        known = self._lives.get(owner)
        if known is not None and life < known:
            return
        for session, fence in sessions[: self.rules.message_entries]:
            if 0 < len(session) <= MAX_NAME_LENGTH and 0 <= fence < FENCE_LIMIT:
                self._put(session, Entry(owner, life, fence, now))

    def unregister(self, owner: str, life: int, sessions: Sequence[str]) -> None:
        for session in sessions[: self.rules.message_entries]:
            entry = self._entries.get(session)
            if entry is not None and entry.owner == owner and entry.life <= life:
                self._remove(session)

    def find(self, now: float, session: str) -> Entry | None:
        entry = self._entries.get(session)
        return entry if entry is not None and now < self._until(session, entry) else None

    def sweep(self, now: float) -> None:
        for session, entry in list(self._entries.items()):
            if now >= self._until(session, entry):
                self._remove(session)

    def _until(self, session: str, entry: Entry) -> float:
        return min(entry.at + self.rules.keep_ms, self._orphans.get(session, float("inf")))

    def __len__(self) -> int:
        return len(self._entries)

    def _put(self, session: str, entry: Entry) -> None:
        old = self._entries.get(session)
        if old is not None:
            if old.owner == entry.owner:
                if entry.life < old.life:
                    return
            elif entry.fence < old.fence:
                return
            self._remove(session)
        elif len(self._entries) >= self.rules.entries_most:
            return
        self._entries[session] = entry
        self._of.setdefault(entry.owner, {})[session] = None

    def _remove(self, session: str) -> None:
        entry = self._entries.pop(session)
        self._orphans.pop(session, None)
        theirs = self._of[entry.owner]
        del theirs[session]
        if not theirs:
            del self._of[entry.owner]
