"""The entries of a registrar: which front has a session. Bounded; entries expire soon after their front.

When a front is gone, the entries of sessions in its channels remain for a while without an owner. A successor
may be about to take them over, and until it registers them the sessions must not be started a second time.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from fernweir.peers.channel.channel_names import FENCE_LIMIT, MAX_NAME_LENGTH
from fernweir.peers.channel.rules import DirectoryRules


@dataclass(frozen=True, slots=True)
class Entry:
    owner: str
    incarnation: int
    fence: int
    registered_at: float


@dataclass(slots=True)
class Registrar:
    """Entries of sessions, by precedence.

    Between two fronts the higher fence of the session's channel wins, between two incarnations of one front
    the later one. Under the same fence the last message wins.
    """

    rules: DirectoryRules
    _entries: dict[str, Entry] = field(default_factory=dict)
    _sessions_by_owner: dict[str, dict[str, None]] = field(default_factory=dict)
    _incarnations: dict[str, int] = field(default_factory=dict)
    _orphan_expiry: dict[str, float] = field(
        default_factory=dict
    )  # session: when its entry without an owner expires

    def members(self, now: float, alive: Mapping[str, int]) -> None:
        """Removes entries of fronts that are gone or restarted; those of channels expire later."""
        self._incarnations = dict(alive)
        for owner in list(self._sessions_by_owner):
            incarnation = alive.get(owner)
            for session in list(self._sessions_by_owner[owner]):
                if incarnation is None or self._entries[session].incarnation < incarnation:
                    if self._entries[session].fence:
                        self._orphan_expiry.setdefault(session, now + self.rules.orphan_ttl_ms)
                    else:
                        self._remove(session)

    def register(self, now: float, owner: str, incarnation: int, sessions: Sequence[tuple[str, int]]) -> None:
        known = self._incarnations.get(owner)
        if known is not None and incarnation < known:
            return
        for session, fence in sessions[: self.rules.message_entries]:
            if 0 < len(session) <= MAX_NAME_LENGTH and 0 <= fence < FENCE_LIMIT:
                self._put(session, Entry(owner, incarnation, fence, now))

    def unregister(self, owner: str, incarnation: int, sessions: Sequence[str]) -> None:
        for session in sessions[: self.rules.message_entries]:
            entry = self._entries.get(session)
            if entry is not None and entry.owner == owner and entry.incarnation <= incarnation:
                self._remove(session)

    def find(self, now: float, session: str) -> Entry | None:
        entry = self._entries.get(session)
        return entry if entry is not None and now < self._expires_at(session, entry) else None

    def sweep(self, now: float) -> None:
        for session, entry in list(self._entries.items()):
            if now >= self._expires_at(session, entry):
                self._remove(session)

    def _expires_at(self, session: str, entry: Entry) -> float:
        return min(entry.registered_at + self.rules.keep_ms, self._orphan_expiry.get(session, float("inf")))

    def __len__(self) -> int:
        return len(self._entries)

    def _put(self, session: str, entry: Entry) -> None:
        old = self._entries.get(session)
        if old is not None:
            if old.owner == entry.owner:
                if entry.incarnation < old.incarnation:
                    return
            elif entry.fence < old.fence:
                return
            self._remove(session)
        elif len(self._entries) >= self.rules.max_entries:
            return
        self._entries[session] = entry
        self._sessions_by_owner.setdefault(entry.owner, {})[session] = None

    def _remove(self, session: str) -> None:
        entry = self._entries.pop(session)
        self._orphan_expiry.pop(session, None)
        sessions = self._sessions_by_owner[entry.owner]
        del sessions[session]
        if not sessions:
            del self._sessions_by_owner[entry.owner]
