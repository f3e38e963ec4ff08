"""Which front has a session: asked of the session's registrars, the first fronts of its rendezvous order.

What is found is a hint. A front that is asked for a session which it has not says so; one that is not found
is treated as not there. So an entry may be lost, late or wrong, and is refreshed, not repaired.
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

_SLICE = 128  # sessions whose registrars are found anew in one go, after members changed
_SLICE_MS = 5.0


@dataclass(frozen=True, slots=True)
class Found(Event):
    """`owner` is None if no registrar that answered knows one; `silent` are those that did not answer.

    `lost`: its owner is gone, and nobody has said yet that it has the session.
    """

    session: str
    owner: str | None
    asked: tuple[str, ...]
    silent: tuple[str, ...]
    lost: bool = False


@dataclass(slots=True)
class _Find:
    number: int
    session: str
    asked: tuple[str, ...]
    waiting: set[str]
    until: float
    again_at: float
    lost: bool = False


@dataclass(slots=True)
class _Own:
    fence: int
    told: tuple[str, ...] = ()
    refresh_at: float = 0.0


@dataclass(slots=True)
class _Batch:
    registered: dict[str, int] = field(default_factory=dict)
    unregistered: dict[str, None] = field(default_factory=dict)


class Directory:
    """Both sides: what this front has, and what it keeps as registrar of others. Event: `Found`."""

    def __init__(self, me: str, life: int, rules: DirectoryRules | None = None, seed: int = 0) -> None:
        self.me, self.life, self.rules = me, life, rules or DirectoryRules()
        self._rng = Random(f"directory {me} {life} {seed}")
        self._out = Outbox()
        self._alive: dict[str, int] = {me: life}
        self._registrar = Registrar(self.rules)
        self._registrar.members(0.0, self._alive)
        self._own: dict[str, _Own] = {}
        self._batches: dict[str, _Batch] = {}
        self._flush_at: float | None = None
        self._turn_at = 0.0
        self._sweep_at = 0.0
        self._check: list[str] = []  # sessions whose registrars may have changed
        self._check_at = 0.0
        self._finds: dict[int, _Find] = {}
        self._finding: dict[str, int] = {}

    # --- what the front tells ---

    def members(self, now: float, alive: Mapping[str, int]) -> None:
        """Fronts believed alive with their lives; sessions whose registrars changed are told to the new."""
        was, self._alive = self._alive, {**alive, self.me: self.life}
        self._registrar.members(now, self._alive)
        self._batches = {name: batch for name, batch in self._batches.items() if name in self._alive}
        anew = {name for name, life in self._alive.items() if was.get(name) != life}
        for own in self._own.values():  # a new life knows nothing
            own.told = tuple(name for name in own.told if name not in anew)
        self._check = list(self._own)
        self._check_at = now

    def register(self, now: float, session: str, fence: int = 0) -> bool:
        """This front has the session, in a channel under this fence. False if there is no room to tell."""
        own = self._own.get(session)
        if own is None:
            if len(self._own) >= self.rules.own_most or not 0 < len(session) <= MAX_NAME_LENGTH:
                return False
            own = self._own[session] = _Own(fence)
        elif own.fence != fence:
            own.fence, own.told = fence, ()
        self._tell(now, session, own)
        return True

    def unregister(self, now: float, session: str) -> None:
        own = self._own.pop(session, None)
        if own is None:
            return
        for name in own.told:
            batch = self._batch(now, name)
            batch.registered.pop(session, None)
            batch.unregistered[session] = None

    def cede(self, session: str) -> None:
        """The session is another's by now, who says so itself: until then registrars name this front."""
        self._own.pop(session, None)

    def find(self, now: float, session: str) -> None:
        """Asks; `Found` comes at once or within `find_ms`, once for all who asked meanwhile."""
        if session in self._finding:
            return
        if session in self._own:
            self._out.add(Found(session, self.me, (), ()))
            return
        asked = tuple(self.registrars(session))
        entry = self._registrar.find(now, session) if self.me in asked else None
        others = {name for name in asked if name != self.me}
        full = len(self._finds) >= self.rules.finds_most
        if self._believed(entry) or not others or full or len(session) > MAX_NAME_LENGTH:
            owner = entry.owner if entry is not None and self._believed(entry) else None
            lost = entry is not None and owner is None
            self._out.add(Found(session, owner, asked, tuple(sorted(others)) if full else (), lost))
            return
        number = self._rng.getrandbits(52)
        until, again_at = now + self.rules.find_ms, now + self.rules.again_ms
        self._finds[number] = _Find(number, session, asked, others, until, again_at, entry is not None)
        self._finding[session] = number
        self._ask(self._finds[number])

    def registrars(self, session: str) -> list[str]:
        return rendezvous(session, self._alive)[: self.rules.registrars]

    # --- the part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, Registered):
            self._registrar.register(now, sender, message.life, message.sessions)
        elif isinstance(message, Unregistered):
            self._registrar.unregister(sender, message.life, message.sessions)
        elif isinstance(message, LocateSession):
            self._where(now, sender, message)
        elif isinstance(message, SessionLocation):
            self._there(sender, message)

    def tick(self, now: float) -> None:
        if self._flush_at is not None and now >= self._flush_at:
            self._flush(now)
        for find in list(self._finds.values()):
            if now >= find.until:
                self._end(find, None)
            elif now >= find.again_at:
                find.again_at = find.until
                self._ask(find)
        if self._check and now >= self._check_at:
            self._check_at = now + _SLICE_MS
            slice_, self._check = self._check[:_SLICE], self._check[_SLICE:]
            for session in slice_:
                if (own := self._own.get(session)) is not None:
                    self._tell(now, session, own)
        if now >= self._turn_at:
            self._turn_at = now + self.rules.refresh_ms / 16.0
            for session, own in self._own.items():
                if now >= own.refresh_at:
                    own.told = ()
                    self._tell(now, session, own)
        if now >= self._sweep_at:
            self._sweep_at = now + self.rules.refresh_ms / 4.0
            self._registrar.sweep(now)

    def next_deadline(self) -> float | None:
        dues = [min(find.again_at, find.until) for find in self._finds.values()]
        if self._flush_at is not None:
            dues.append(self._flush_at)
        if self._check:
            dues.append(self._check_at)
        if self._own:
            dues.append(self._turn_at)
        if len(self._registrar):
            dues.append(self._sweep_at)
        return min(dues, default=None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- pieces ---

    def _tell(self, now: float, session: str, own: _Own) -> None:
        """To registrars that have not been told, in the next batch; a refresh is due some time after."""
        registrars = tuple(self.registrars(session))
        for name in registrars:
            if name not in own.told:
                batch = self._batch(now, name)
                batch.registered[session] = own.fence
                batch.unregistered.pop(session, None)
        if not own.told:
            own.refresh_at = now + self.rules.refresh_ms * self._rng.uniform(0.75, 1.0)
        own.told = registrars

    def _batch(self, now: float, name: str) -> _Batch:
        if self._flush_at is None:
            self._flush_at = now + self.rules.flush_ms
        return self._batches.setdefault(name, _Batch())

    def _flush(self, now: float) -> None:
        self._flush_at = None
        batches, self._batches = self._batches, {}
        most = self.rules.message_entries
        for name, batch in batches.items():
            entries = list(batch.registered.items())
            gone = list(batch.unregistered)
            for at in range(0, len(entries), most):
                self._say(now, name, Registered(self.life, entries[at : at + most]))
            for at in range(0, len(gone), most):
                self._say(now, name, Unregistered(self.life, gone[at : at + most]))

    def _say(self, now: float, name: str, message: Registered | Unregistered) -> None:
        if name == self.me:
            self.on_message(now, self.me, message)
        else:
            self._out.add(Send(name, message, reliable=True))

    def _ask(self, find: _Find) -> None:
        for name in sorted(find.waiting):
            self._out.add(Send(name, LocateSession(find.number, find.session)))

    def _where(self, now: float, sender: str, message: LocateSession) -> None:
        if len(message.session) > MAX_NAME_LENGTH:
            return
        if (own := self._own.get(message.session)) is not None:
            there = SessionLocation(message.number, message.session, self.me, self.life, own.fence)
        elif (entry := self._registrar.find(now, message.session)) is not None:
            there = SessionLocation(message.number, message.session, entry.owner, entry.life, entry.fence)
        else:
            there = SessionLocation(message.number, message.session)
        self._out.add(Send(sender, there))

    def _there(self, sender: str, message: SessionLocation) -> None:
        find = self._finds.get(message.number)
        if find is None or find.session != message.session or sender not in find.waiting:
            return
        find.waiting.discard(sender)
        entry = Entry(message.owner, message.life, message.fence, 0.0) if message.owner else None
        if entry is not None and self._believed(entry):
            self._end(find, entry.owner)
            return
        find.lost = find.lost or entry is not None
        if not find.waiting:
            self._end(find, None)

    def _believed(self, entry: Entry | None) -> bool:
        """Whether that owner is alive, in that life, as far as this front knows."""
        return entry is not None and entry.owner != self.me and self._alive.get(entry.owner) == entry.life

    def _end(self, find: _Find, owner: str | None) -> None:
        del self._finds[find.number]
        del self._finding[find.session]
        lost = find.lost and owner is None
        self._out.add(Found(find.session, owner, find.asked, tuple(sorted(find.waiting)), lost))
