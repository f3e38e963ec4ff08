"""Finds the front that has a session, through the session's registrars: the first in rendezvous order.

A result is a hint. A front rejects requests for a session that it does not have, and a session that is not
found is treated as absent. Entries may therefore be lost, stale or wrong; they are refreshed, not repaired.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from fernweir.peers.base import Effect, Event, Message, Outbox, Send, rendezvous
from fernweir.peers.channel.channel_names import MAX_NAME_LENGTH
from fernweir.peers.channel.messages import LocateSession, Registered, SessionLocation, Unregistered
from fernweir.peers.channel.registrar import Entry, Registrar
from fernweir.peers.channel.rules import DirectoryRules

_RECHECK_BATCH = 128  # sessions whose registrars are recomputed in one step after a membership change
_RECHECK_INTERVAL_MS = 5.0


@dataclass(frozen=True, slots=True)
class Found(Event):
    """The result of a lookup. `owner` is None if no registrar that answered has one.

    `silent` are the registrars that did not answer. `lost`: the owner is gone, and no successor has
    registered the session yet.
    """

    session: str
    owner: str | None
    asked: tuple[str, ...]
    silent: tuple[str, ...]
    lost: bool = False


@dataclass(slots=True)
class _Lookup:
    number: int
    session: str
    asked: tuple[str, ...]
    waiting: set[str]
    until: float
    retry_at: float
    lost: bool = False


@dataclass(slots=True)
class _OwnSession:
    fence: int
    notified: tuple[str, ...] = ()
    refresh_at: float = 0.0


@dataclass(slots=True)
class _Batch:
    registered: dict[str, int] = field(default_factory=dict)
    unregistered: dict[str, None] = field(default_factory=dict)


class Directory:
    """The sessions of this front, and its entries as a registrar for others. Event: `Found`."""

    def __init__(self, me: str, incarnation: int, rules: DirectoryRules | None = None, seed: int = 0) -> None:
        self.me, self.incarnation, self.rules = me, incarnation, rules or DirectoryRules()
        self._rng = Random(f"directory {me} {incarnation} {seed}")
        self._out = Outbox()
        self._alive: dict[str, int] = {me: incarnation}
        self._registrar = Registrar(self.rules)
        self._registrar.members(0.0, self._alive)
        self._own: dict[str, _OwnSession] = {}
        self._batches: dict[str, _Batch] = {}
        self._flush_at: float | None = None
        self._refresh_scan_at = 0.0
        self._sweep_at = 0.0
        self._recheck: list[str] = []  # sessions whose registrars may have changed
        self._recheck_at = 0.0
        self._lookups: dict[int, _Lookup] = {}
        self._lookup_numbers: dict[str, int] = {}

    # --- calls of the front ---

    def members(self, now: float, alive: Mapping[str, int]) -> None:
        """Sets the live fronts with their incarnations; new registrars are notified of their sessions."""
        previous, self._alive = self._alive, {**alive, self.me: self.incarnation}
        self._registrar.members(now, self._alive)
        self._batches = {name: batch for name, batch in self._batches.items() if name in self._alive}
        restarted = {name for name, incarnation in self._alive.items() if previous.get(name) != incarnation}
        for own in self._own.values():  # a new incarnation has no entries
            own.notified = tuple(name for name in own.notified if name not in restarted)
        self._recheck = list(self._own)
        self._recheck_at = now

    def register(self, now: float, session: str, fence: int = 0) -> bool:
        """Registers a session of this front under a channel's fence. Returns False if the table is full."""
        own = self._own.get(session)
        if own is None:
            if len(self._own) >= self.rules.max_own_sessions or not 0 < len(session) <= MAX_NAME_LENGTH:
                return False
            own = self._own[session] = _OwnSession(fence)
        elif own.fence != fence:
            own.fence, own.notified = fence, ()
        self._notify_registrars(now, session, own)
        return True

    def unregister(self, now: float, session: str) -> None:
        own = self._own.pop(session, None)
        if own is None:
            return
        for name in own.notified:
            batch = self._batch(now, name)
            batch.registered.pop(session, None)
            batch.unregistered[session] = None

    def cede(self, session: str) -> None:
        """Drops a session that another front has; registrars name this front until the other registers it."""
        self._own.pop(session, None)

    def find(self, now: float, session: str) -> None:
        """Looks up a session. One `Found` follows within `find_timeout_ms` for all calls in that time."""
        if session in self._lookup_numbers:
            return
        if session in self._own:
            self._out.add(Found(session, self.me, (), ()))
            return
        asked = tuple(self.registrars(session))
        entry = self._registrar.find(now, session) if self.me in asked else None
        others = {name for name in asked if name != self.me}
        full = len(self._lookups) >= self.rules.max_lookups
        if self._is_current(entry) or not others or full or len(session) > MAX_NAME_LENGTH:
            owner = entry.owner if entry is not None and self._is_current(entry) else None
            lost = entry is not None and owner is None
            self._out.add(Found(session, owner, asked, tuple(sorted(others)) if full else (), lost))
            return
        number = self._rng.getrandbits(52)
        until, retry_at = now + self.rules.find_timeout_ms, now + self.rules.retry_ms
        self._lookups[number] = _Lookup(number, session, asked, others, until, retry_at, entry is not None)
        self._lookup_numbers[session] = number
        self._send_lookup(self._lookups[number])

    def registrars(self, session: str) -> list[str]:
        return rendezvous(session, self._alive)[: self.rules.registrars]

    # --- state machine ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, Registered):
            self._registrar.register(now, sender, message.incarnation, message.sessions)
        elif isinstance(message, Unregistered):
            self._registrar.unregister(sender, message.incarnation, message.sessions)
        elif isinstance(message, LocateSession):
            self._on_locate(now, sender, message)
        elif isinstance(message, SessionLocation):
            self._on_location(sender, message)

    def tick(self, now: float) -> None:
        if self._flush_at is not None and now >= self._flush_at:
            self._flush(now)
        for lookup in list(self._lookups.values()):
            if now >= lookup.until:
                self._finish(lookup, None)
            elif now >= lookup.retry_at:
                lookup.retry_at = lookup.until
                self._send_lookup(lookup)
        if self._recheck and now >= self._recheck_at:
            self._recheck_at = now + _RECHECK_INTERVAL_MS
            slice_, self._recheck = self._recheck[:_RECHECK_BATCH], self._recheck[_RECHECK_BATCH:]
            for session in slice_:
                if (own := self._own.get(session)) is not None:
                    self._notify_registrars(now, session, own)
        if now >= self._refresh_scan_at:
            self._refresh_scan_at = now + self.rules.refresh_ms / 16.0
            for session, own in self._own.items():
                if now >= own.refresh_at:
                    own.notified = ()
                    self._notify_registrars(now, session, own)
        if now >= self._sweep_at:
            self._sweep_at = now + self.rules.refresh_ms / 4.0
            self._registrar.sweep(now)

    def next_deadline(self) -> float | None:
        deadlines = [min(lookup.retry_at, lookup.until) for lookup in self._lookups.values()]
        if self._flush_at is not None:
            deadlines.append(self._flush_at)
        if self._recheck:
            deadlines.append(self._recheck_at)
        if self._own:
            deadlines.append(self._refresh_scan_at)
        if len(self._registrar):
            deadlines.append(self._sweep_at)
        return min(deadlines, default=None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- internals ---

    def _notify_registrars(self, now: float, session: str, own: _OwnSession) -> None:
        """Adds the session to the next batch for registrars that lack it, and schedules its refresh."""
        registrars = tuple(self.registrars(session))
        for name in registrars:
            if name not in own.notified:
                batch = self._batch(now, name)
                batch.registered[session] = own.fence
                batch.unregistered.pop(session, None)
        if not own.notified:
            own.refresh_at = now + self.rules.refresh_ms * self._rng.uniform(0.75, 1.0)
        own.notified = registrars

    def _batch(self, now: float, name: str) -> _Batch:
        if self._flush_at is None:
            self._flush_at = now + self.rules.flush_ms
        return self._batches.setdefault(name, _Batch())

    def _flush(self, now: float) -> None:
        self._flush_at = None
        batches, self._batches = self._batches, {}
        limit = self.rules.message_entries
        for name, batch in batches.items():
            entries = list(batch.registered.items())
            removed = list(batch.unregistered)
            for at in range(0, len(entries), limit):
                self._send(now, name, Registered(self.incarnation, entries[at : at + limit]))
            for at in range(0, len(removed), limit):
                self._send(now, name, Unregistered(self.incarnation, removed[at : at + limit]))

    def _send(self, now: float, name: str, message: Registered | Unregistered) -> None:
        if name == self.me:
            self.on_message(now, self.me, message)
        else:
            self._out.add(Send(name, message, reliable=True))

    def _send_lookup(self, lookup: _Lookup) -> None:
        for name in sorted(lookup.waiting):
            self._out.add(Send(name, LocateSession(lookup.number, lookup.session)))

    def _on_locate(self, now: float, sender: str, message: LocateSession) -> None:
        if len(message.session) > MAX_NAME_LENGTH:
            return
        if (own := self._own.get(message.session)) is not None:
            location = SessionLocation(message.number, message.session, self.me, self.incarnation, own.fence)
        elif (entry := self._registrar.find(now, message.session)) is not None:
            location = SessionLocation(
                message.number, message.session, entry.owner, entry.incarnation, entry.fence
            )
        else:
            location = SessionLocation(message.number, message.session)
        self._out.add(Send(sender, location))

    def _on_location(self, sender: str, message: SessionLocation) -> None:
        lookup = self._lookups.get(message.number)
        if lookup is None or lookup.session != message.session or sender not in lookup.waiting:
            return
        lookup.waiting.discard(sender)
        entry = Entry(message.owner, message.incarnation, message.fence, 0.0) if message.owner else None
        if entry is not None and self._is_current(entry):
            self._finish(lookup, entry.owner)
            return
        lookup.lost = lookup.lost or entry is not None
        if not lookup.waiting:
            self._finish(lookup, None)

    def _is_current(self, entry: Entry | None) -> bool:
        """Whether the entry names another front that is alive in the same incarnation."""
        return (
            entry is not None and entry.owner != self.me and self._alive.get(entry.owner) == entry.incarnation
        )

    def _finish(self, lookup: _Lookup, owner: str | None) -> None:
        del self._lookups[lookup.number]
        del self._lookup_numbers[lookup.session]
        lost = lookup.lost and owner is None
        self._out.add(Found(lookup.session, owner, lookup.asked, tuple(sorted(lookup.waiting)), lost))
