"""One front among its peers: joins the parts, and is itself a state machine without I/O or clock.

Messages go to the part whose kind they are, events from one part to those that need them. What is decided
is decided in the parts; what is done to the front goes through its port. `take_effects`
gives what is to be sent.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from fernweir.peers.acts.desk import to_plain as answer_to_plain
from fernweir.peers.acts.heads import Missing, Shortened, Tampered
from fernweir.peers.acts.merge import Answer
from fernweir.peers.acts.messages import KINDS as ACT_KINDS
from fernweir.peers.acts.plan import Question
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.store import Store
from fernweir.peers.acts.versions import Versions
from fernweir.peers.base import Address, Effect, Event, Message, Part, Send
from fernweir.peers.channel.directory import Directory, Found
from fernweir.peers.channel.heirs import Candidate
from fernweir.peers.channel.messages import KINDS as CHANNEL_KINDS
from fernweir.peers.channel.messages import Registered, There, Unregistered, Where
from fernweir.peers.channel.rules import DirectoryRules
from fernweir.peers.facts.messages import KINDS as FACT_KINDS
from fernweir.peers.facts.rules import FactRules
from fernweir.peers.facts.store import Facts
from fernweir.peers.facts.table import Changed as FactChanged
from fernweir.peers.facts.table import Dropped as FactDropped
from fernweir.peers.facts.table import Gone as FactsGone
from fernweir.peers.finding import FindRules, Seeking, between_owners, place, unreachable
from fernweir.peers.foresight import PREFIX, Allowed, Foresight, ForesightRules, refused_to_plain
from fernweir.peers.foresight import to_plain as estimate_to_plain
from fernweir.peers.forward.desk import Answered, Forward, ForwardRules, Wanted
from fernweir.peers.forward.messages import KINDS as FORWARD_KINDS
from fernweir.peers.forward.messages import Carried, Carry
from fernweir.peers.late.messages import KINDS as LATE_KINDS
from fernweir.peers.late.rules import LateRules
from fernweir.peers.lateness import PLEA, VERSIONS, Lateness, Resign, Said
from fernweir.peers.lease.events import LeaseAcquired, LeaseLost, LeaseRenewed, LeaseUnavailable
from fernweir.peers.lease.holder import Holder
from fernweir.peers.lease.keeper import Keeper
from fernweir.peers.lease.messages import KINDS as LEASE_KINDS
from fernweir.peers.lease.rules import KeeperSet, LeaseRules
from fernweir.peers.members.detector import Members
from fernweir.peers.members.events import Clash, Cleared, Died, Joined, Left, Me, Suspected
from fernweir.peers.members.messages import KINDS as MEMBER_KINDS
from fernweir.peers.members.messages import Gossip
from fernweir.peers.members.rules import MemberRules
from fernweir.peers.owning import Changed, Owning, OwningRules, Steers, Yields
from fernweir.peers.parts import Parts
from fernweir.peers.port import AuditEvent, AuditRecord, Port, SessionStatus
from fernweir.peers.recording import Recording, Rested, Trouble
from fernweir.peers.replacing import KEEPERS, SETTLED, Replacing
from fernweir.peers.weighing import TALLY, Weighing

KINDS = (MEMBER_KINDS, FACT_KINDS, LEASE_KINDS, CHANNEL_KINDS, FORWARD_KINDS, ACT_KINDS, LATE_KINDS)
_DIRECTORY = (Registered, Unregistered, Where, There)
_LOAD, _HEAD = "load", "acts.head"
_STALE_MS = 1_000.0
TROUBLE_TEXTS: dict[type[Trouble], str] = {
    Missing: "record of acts missing",
    Shortened: "record of acts shortened",
    Tampered: "record of acts tampered",
}
"""What is logged for trouble with a front's record; operators watch for these texts."""


class Load(msgspec.Struct, frozen=True, array_like=True):
    """What a front says of itself for the choice of heirs: sessions held, ms since start, and `leaving` if
    it is none: it ends, or has no channels."""

    sessions: int
    age_ms: float
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class PeerRules:
    """Times in ms. `load_ms` is how often a front says how loaded it is, and how far its record goes. One
    that can reach no peer takes new sessions after `join_ms`, as if it stood alone."""

    keepers: tuple[str, ...]
    keepers_version: int = 1
    load_ms: float = 2_000.0
    join_ms: float = 5_000.0
    members: MemberRules = field(default_factory=MemberRules)
    facts: FactRules = field(default_factory=FactRules)
    lease: LeaseRules = field(default_factory=LeaseRules)
    owning: OwningRules = field(default_factory=OwningRules)
    directory: DirectoryRules = field(default_factory=DirectoryRules)
    forward: ForwardRules = field(default_factory=ForwardRules)
    finding: FindRules = field(default_factory=FindRules)
    acts: ActRules = field(default_factory=ActRules)
    late: LateRules = field(default_factory=LateRules)
    foresight: ForesightRules = field(default_factory=ForesightRules)


@dataclass(frozen=True, slots=True)
class Relived(Event):
    """This front must live on under a later life: an earlier process of its name is known in a higher one."""

    life: int


@dataclass(frozen=True, slots=True)
class Forgotten(Event):
    """A peer is gone: nothing is to wait for it on the links."""

    name: str


@dataclass(frozen=True, slots=True)
class Told(Event):
    """Something for the log of the front: what happened, and its figures."""

    text: str
    fields: Mapping[str, object] = field(default_factory=dict)


class Peer:
    """`changed` is called when there is something to take though the driver did not call.

    `versions` are those this front begins with, `wall_ms` how far the wall clock is ahead of `now`. `store`
    keeps records of acts beyond this life of the front, if it is given.
    """

    def __init__(
        self, me: Me, rules: PeerRules, port: Port, seed: int, now: float, changed: Callable[[], None],
        versions: Versions, wall_ms: Callable[[], float], store: Store | None = None,
    ) -> None:  # fmt: skip
        self.me, self.rules, self._port = me, rules, port
        self._born = now
        self._now = now
        self._out: list[Effect] = []
        first = KeeperSet(rules.keepers_version, rules.keepers)
        sets = (first,)
        self.members = Members(me, rules.members, seed)
        self.facts = Facts(me.name, me.life, rules.facts, seed)
        self.holder = Holder(me.name, me.life, rules.lease, seed, sets)
        self.keeper = Keeper(me.name, me.life, rules.lease, now, sets)  # nobody asks one that is not named
        self.replacing = Replacing(me.name, self.facts, self.holder, self.keeper, first)
        self.owning = Owning(me.name, me.life, rules.owning, self.holder, port, seed, self._claimed)
        self.directory = Directory(me.name, me.life, rules.directory, seed)
        self.forward = Forward(rules.forward)
        store = store or Store(me.name, rules.acts)
        self.recording = Recording(me.name, me.life, rules.acts, seed, versions, wall_ms, store)
        self._wall_ms = wall_ms
        self.foresight = Foresight(me.name, me.life, rules.foresight, now, self.recording.clocks)
        self.weighing = Weighing(me.name, me.life, port, now)
        self.lateness = Lateness(
            me.name, me.life, rules.late, now, self.facts, self.keeper, rules.keepers, port, versions
        )
        keeping: tuple[Part, ...] = (self.keeper,)
        self._parts = Parts(
            (self.members, self.facts, self.holder, self.owning, self.directory, self.forward, self.recording,
             self.lateness, *keeping),
            {self.owning: (self.holder,), self.lateness: (self.facts, *keeping)},
        )  # fmt: skip
        self._at = self._parts.at
        self._routes: dict[type[Message], tuple[Part, ...]] = {}
        leases: tuple[Part, ...] = (self.holder, *keeping)
        for kinds, heard in (
            (MEMBER_KINDS, (self.members,)), (FACT_KINDS, (self.facts,)), (LEASE_KINDS, leases),
            (CHANNEL_KINDS, (self.owning,)), (_DIRECTORY, (self.directory,)),
            (FORWARD_KINDS, (self.forward,)), (ACT_KINDS, (self.recording,)), (LATE_KINDS, (self.lateness,)),
        ):  # fmt: skip
            self._routes.update(dict.fromkeys(kinds, heard))
        self._seeking: dict[str, list[Seeking]] = {}
        self._carried: dict[int, Seeking] = {}
        self._load_at = now
        self._said: Load | None = None
        self._join_by: float | None = None
        self._held: dict[str, tuple[str, float]] = {}  # why no new session may begin, by cause
        self._stale: dict[str, float] = {}
        self._processes: dict[str, int] = {}  # the life in which each peer was seen last
        self._boxes: set[int] = set()
        self._draining = 0
        self._started = self._leaving = self._displaced = False
        self._shares = rules.owning.parts > 0  # sessions may be another front's: it has channels
        self._changed = changed
        port.set_listener(self)

    # --- the front's program ---

    def start(self, now: float, seeds: Sequence[Address]) -> None:
        self._at(self.members).join(now, seeds)
        if seeds and self._shares:  # until it knows others, what stands there would begin here once more
            self._join_by = now + self.rules.join_ms
            self._hold("join", "joining its peers", _STALE_MS)
        self._at(self.lateness).mine(now, self.recording.versions, urgent=False)
        self._at(self.owning).start(now)
        self._at(self.facts)
        self.replacing.start(now)
        self._started = True
        self._settle(now)

    def stood(self, now: float, late_ms: float) -> None:
        """The driver's timer came this late: this front stood still, or is slow."""
        self._at(self.members).on_stall(now, late_ms)

    def leave(self, now: float) -> None:
        """Hands on what stands here; `left` says when that is done, `go` ends."""
        self._leaving = True
        self._say_load(now)
        self._at(self.owning).leave(now)
        self._settle(now)

    @property
    def left(self) -> bool:
        return self.owning.left

    def go(self, now: float) -> None:
        self._at(self.recording).close(now)
        self._say_head(now, urgent=True)
        self._at(self.members).leave(now)
        self._settle(now)

    def stale(self, now: float, name: str, address: Address | None = None) -> None:
        """A front sends under an earlier life than its name is known in, as after a clock was set back.

        Nothing of it is taken until it lives on above that life; it is told, once a second at the most, where
        it sent from: of two fronts with one name it is not the one whose address is known.
        """
        member = self.members.table().get(name)
        if member is None or now < self._stale.get(name, 0.0):
            return
        if len(self._stale) >= self.rules.members.max_members:
            self._stale.clear()
        self._stale[name] = now + _STALE_MS
        self._out.append(Send(address or member.address, Gossip((member.record,))))

    def lives(self) -> Mapping[str, int]:
        """Fronts believed alive, with their lives."""
        return {name: self.members.life(name) for name in self.members.alive()}

    def fence(self, now: float, session: str) -> tuple[str, int] | None:
        return self.owning.fence(now, session)

    def ask(self, now: float, question: Question, then: Callable[[dict[str, Any]], None]) -> None:
        """Asks the acts of all fronts, within what it may touch; `then` is called once, as JSON has it."""
        allowed = self.foresight.allow(now, question, self._wall_ms(), self.rules.acts.deadline_ms)
        if not isinstance(allowed, Allowed):
            then(refused_to_plain(allowed, self._wall_ms()))
            return

        def answered(answer: Answer) -> None:
            failed = self.foresight.settle(self._now, allowed, answer)
            estimate = {**estimate_to_plain(allowed.estimate), "failed": failed}
            then({**answer_to_plain(answer), "estimate": estimate})

        asked = self._at(self.recording).ask(
            now, question, self.lives(), answered, allowed.planned, allowed.budget, allowed.known
        )
        if not asked:
            self.foresight.settle(now, allowed, Answer(question, self._wall_ms()))
            then({"ok": False, "error": "as many questions run already as may: ask again later"})
        self._settle(now)

    def weigh(self, now: float, order: Mapping[str, Any]) -> dict[str, Any]:
        """What an order would touch, as JSON has it."""
        return self.weighing.ask(now, order, self.lives())

    def find(self, now: float, request: Carry, then: Callable[[float, Carried | None], None]) -> None:
        """Answers a request for a session not held here; `then` is called once: None if it may begin here."""
        seeking = Seeking(request, now, then)
        if not self._place(now, seeking, None, asked=False):
            waiting = self._seeking.setdefault(request.session, [])
            waiting.append(seeking)
            if len(waiting) == 1:
                self._at(self.directory).find(now, request.session)
        self._settle(now)

    def end(self, now: float) -> list[Seeking]:
        """This life is over: gives the requests whose place was still sought, for the next to find.

        What was carried elsewhere may have been done there: who waits for it is told to come again.
        Operators' questions are answered with what has come.
        """
        self.recording.questions.close(now)
        self.recording.take_effects()
        sought = [one for waiting in self._seeking.values() for one in waiting]
        carried, self._seeking, self._carried = self._carried, {}, {}
        for number, seeking in carried.items():
            seeking.then(now, unreachable(self.rules.finding, number))
        return sought

    # --- the driver ---

    def heard(self, now: float, sender: str, life: int, message: Message) -> None:
        """What follows comes with the next `take_effects`: several messages are often heard in one turn."""
        self._now = max(self._now, now)
        self._route(now, sender, message)

    def tick(self, now: float) -> None:
        if self._join_by is not None and now >= self._join_by:
            self._joined()
        if now >= self._load_at:
            self._load_at = now + self.rules.load_ms
            self._say_load(now)
            self._look(now)
            self._replace(now)
            self._say_head(now, urgent=False)
            tally = self.weighing.say(now, self.recording.versions.epoch)
            if tally is not None:
                self._at(self.facts).put(now, TALLY, tally)
            said, gone = self.foresight.publish(now)
            for key, data in said.items():
                self._at(self.facts).put(now, key, data)
            for key in gone:
                self._at(self.facts).drop(now, key)
            # Where no lease is wanted, having none says nothing of the way to the others.
            leases = not self._shares or bool(self.holder.current_leases(now))
            self._at(self.lateness).leases(now, leases)
        self._parts.tick(now)
        self._settle(now)

    def next_deadline(self) -> float | None:
        first = self._load_at if self._join_by is None else min(self._load_at, self._join_by)
        due = self._parts.next_deadline()
        return first if due is None else min(first, due)

    def take_effects(self) -> list[Effect]:
        """What is to be sent, and what is to be logged."""
        self._settle(self._now)
        out, self._out = self._out, []
        return out

    # --- the front's listener ---

    def on_session_status(self, now: float, standing: SessionStatus) -> None:
        self._at(self.owning).stands(now, standing)
        self.foresight.stands(now, standing)
        self.weighing.stands(now, standing, self.owning.channel(standing.session))
        if not self.owning.in_channel(standing.session):  # of the others it tells by `Steers`
            self._at(self.directory).register(now, standing.session)
        self._changed()

    def on_session_ended(self, now: float, session: str) -> None:
        self._at(self.owning).over(now, session)
        self._at(self.directory).unregister(now, session)
        self.foresight.over(now, session)
        self.weighing.over(now, session)
        self._changed()

    def on_session_failed(self, now: float, session: str) -> None:
        if self._at(self.owning).failed(now, session):
            self._at(self.directory).unregister(now, session)
            self._changed()

    def on_audit_record(self, act: AuditRecord) -> None:
        self._record(act)
        if act.deed is AuditEvent.SETUP and self._shares:
            # From here on nobody else may set it up: told before the first byte leaves.
            self._at(self.owning).placed(act.at, act.session, act.box)
            self._at(self.directory).register(act.at, act.session)
        self._changed()  # its block is to be copied in time, whatever else happens

    def _record(self, act: AuditRecord) -> None:
        self._at(self.recording).add(act)
        self.foresight.acted(act, self.recording.versions)

    def on_endpoint_list(self, now: float, rows: Sequence[tuple[int, Any]], told_at: float) -> None:
        draining = sum(1 for number, row in rows if number >= 0 and row[0] == "draining")
        here = {number for number, _ in rows}
        urgent = draining > self._draining or not here >= self._boxes
        self._draining, self._boxes = draining, here
        self._at(self.recording).list_told(rows, told_at)
        self._at(self.lateness).mine(now, self.recording.versions, urgent)
        self._changed()

    # --- pieces ---

    def _route(self, now: float, sender: str, message: Message) -> None:
        for part in self._routes.get(type(message), ()):
            self._at(part).on_message(now, sender, message)

    def _settle(self, now: float) -> None:
        """Carries events from part to part until none is left; what is for oneself is heard at once."""
        self._now = max(self._now, now)
        while self._parts.giving:
            if self._parts.gives(self.lateness):
                self._at(self.lateness).run(now)
            if self._parts.gives(self.owning):
                self._at(self.owning).run(now)
            for effect in self._parts.take_effects():
                if isinstance(effect, Event):
                    self._do(now, effect)
                elif effect.to == self.me.name:
                    self._route(now, self.me.name, effect.message)
                else:
                    self._out.append(effect)

    def _do(self, now: float, event: Event) -> None:
        if isinstance(event, LeaseAcquired | LeaseRenewed | LeaseLost | LeaseUnavailable):
            self._at(self.owning).lease(now, event)
            if isinstance(event, LeaseAcquired):
                self._record(AuditRecord(now, AuditEvent.LEASE, outcome=event.lease.channel))
        elif isinstance(event, Joined) and event.name == self.me.name:
            self._out.append(Relived(event.life))
        elif isinstance(event, Joined):
            self._joined()
            self._restarted(now, event.name, event.life)
            self._members_changed(now)
            self._tell("peer joined", name=event.name)
        elif isinstance(event, Died | Left):
            self._gone(now, event.name, event.life, isinstance(event, Died))
        elif isinstance(event, Clash):
            self._tell("another front has this name", address=f"{event.address[0]}:{event.address[1]}")
        elif isinstance(event, Steers):
            self._at(self.directory).register(now, event.session, event.fence)
        elif isinstance(event, Yields):
            self._at(self.directory).cede(event.session)
            self.foresight.over(now, event.session)
            self.weighing.over(now, event.session)
        elif isinstance(event, Changed):
            said = f"{event.what} {event.channel}"[:200]
            self._record(AuditRecord(now, AuditEvent.HANDOFF, outcome=said))
            self._tell(
                f"channel {event.what}", channel=event.channel, fence=event.fence, sessions=event.sessions,
                other=event.other,
            )  # fmt: skip
        elif isinstance(event, Found):
            for seeking in self._seeking.pop(event.session, []):
                self._place(now, seeking, event.owner, lost=event.lost, asked=True)
        elif isinstance(event, Wanted):
            self._carry_out(event)
        elif isinstance(event, Answered):
            carried = self._carried.pop(event.number, None)
            if carried is not None:
                self._answer(now, carried, event)
        elif isinstance(event, FactChanged):
            key, value = event.fact.key, event.fact.value
            if key == _HEAD:
                self._at(self.recording).heard_head(now, event.owner, event.life, value)
            elif key in (VERSIONS, PLEA):
                self._at(self.lateness).told(now, event.owner, key, value)
            elif key in (KEEPERS, SETTLED):
                self._replace(now, event.owner, key, value)
            elif key == TALLY:
                self.weighing.told(now, event.owner, event.life, value)
            elif key.startswith(PREFIX):
                self.foresight.told(now, event.owner, event.life, key, value)
        elif isinstance(event, FactDropped):
            if event.key.startswith(PREFIX):
                self.foresight.dropped(event.owner, event.key)
        elif isinstance(event, FactsGone):
            self.foresight.gone(event.owner)
            self.weighing.gone(event.owner)
        elif isinstance(event, Rested):
            self._at(self.lateness).seen(now, event.owner, event.versions, event.age_ms)
        elif isinstance(event, Resign):
            self._hold("late", event.why, event.wait_ms)
            self._at(self.owning).resign(now, not event.why)
        elif isinstance(event, Said):
            self._tell(event.text, **event.fields)
            if event.shut_out:
                self._record(AuditRecord(now, AuditEvent.SHUTOUT, outcome=event.shut_out))
        elif isinstance(event, Trouble):
            self._tell(TROUBLE_TEXTS[type(event)], owner=event.owner, life=event.life)
        elif isinstance(event, Suspected | Cleared):
            self._tell("peer suspected" if isinstance(event, Suspected) else "peer cleared", name=event.name)

    def _claimed(self) -> None:
        """A box has answered a claim."""
        self._at(self.owning)
        self._changed()

    def _tell(self, text: str, **fields: object) -> None:
        self._out.append(Told(text, fields))

    # --- pieces: members ---

    def _joined(self) -> None:
        if self._join_by is not None:
            self._join_by = None
            self._hold("join", "", 0.0)

    def _hold(self, cause: str, why: str, wait_ms: float) -> None:
        """No new sessions as long as any cause has a reason."""
        if why:
            self._held[cause] = (why, wait_ms)
        else:
            self._held.pop(cause, None)
        self._port.block_new_sessions(*next(iter(self._held.values()), ("", 0.0)))

    def _members_changed(self, now: float) -> None:
        alive = self.members.alive()
        others = [name for name in alive if name != self.me.name]
        self._at(self.facts).set_peers(now, others)
        lives = self.lives()
        self._at(self.directory).members(now, lives)
        self._at(self.recording).members(now, lives)
        self._at(self.lateness).fleet(now, lives)
        self.foresight.fleet(lives)
        self._look(now)

    def _restarted(self, now: float, name: str, life: int) -> None:
        """A process of that name was there before, and is gone without anybody having missed it."""
        before, self._processes[name] = self._processes.get(name, life), life
        if before != life:
            self._at(self.owning).died(now, name)
            self._at(self.forward).gone(now, name)
            self._at(self.recording).gone(now, name)

    def _gone(self, now: float, name: str, life: int, died: bool) -> None:
        if name in self.members.alive() and self.members.life(name) != life:
            return  # an earlier life, after the present one was known
        self._processes.pop(name, None)
        self._members_changed(now)
        self._out.append(Forgotten(name))
        self._at(self.owning).died(now, name)
        self._at(self.forward).gone(now, name)
        self._at(self.recording).gone(now, name)
        self._tell("peer died" if died else "peer left", name=name)

    def _look(self, now: float) -> None:
        if self.members.displaced != self._displaced:
            # Two fronts with one name: the one with the lower life takes nothing new until the other is gone.
            self._displaced = self.members.displaced
            self._hold("name", "another front has this name" if self._displaced else "", _STALE_MS)
        self._at(self.owning).fronts(now, [self._candidate(now, name) for name in self.members.alive()])

    def _candidate(self, now: float, name: str) -> Candidate:
        if name == self.me.name:  # as others know it, or heirs would not agree on their order
            sessions = self._said.sessions if self._said is not None else 0
            return Candidate(name, sessions, now - self._born, leaving=self._closed)
        late = name in self.lateness.out()
        fact = self.facts.get(name, _LOAD)
        if fact is None:
            return Candidate(name, 0, 0.0, late=late)
        try:
            load = msgspec.msgpack.decode(fact.value, type=Load)
        except msgspec.DecodeError:
            return Candidate(name, 0, 0.0, late=late)
        age = load.age_ms + max(now - fact.at, 0.0)
        return Candidate(name, max(load.sessions, 0), max(age, 0.0), late=late, leaving=load.leaving)

    def _replace(self, now: float, owner: str = "", key: str = "", value: bytes = b"") -> None:
        """Keepers that come in place of others: by a fact, or by having settled since."""
        for part in (self.holder, self.keeper, self.facts):
            self._at(part)
        if not key:
            self.replacing.look(now)
        elif self.replacing.told(now, owner, key, value):
            self._tell("keepers are replaced", by=", ".join(self.replacing.names))
            self._at(self.lateness).keepers(now, self.replacing.names)

    def _say_load(self, now: float) -> None:
        """Only what differs enough to change a choice: every fact goes to all fronts."""
        sessions, said = self._port.session_count(), self._said
        near = said is not None and abs(said.sessions - sessions) <= max(4, said.sessions // 8)
        if said is None or not near or said.leaving != self._closed:
            self._said = Load(sessions, now - self._born, self._closed)
            self._at(self.facts).put(now, _LOAD, msgspec.msgpack.encode(self._said), urgent=self._leaving)

    @property
    def _closed(self) -> bool:
        """Whether it inherits nothing."""
        return self._leaving or not self._shares

    def _say_head(self, now: float, urgent: bool) -> None:
        head = self._at(self.recording).new_head(now)
        if head is not None:
            self._at(self.facts).put(now, _HEAD, head, urgent)

    # --- pieces: requests for sessions held elsewhere ---

    def _place(
        self, now: float, seeking: Seeking, registered: str | None, *, lost: bool = False, asked: bool
    ) -> bool:
        """Whether the request's place is known; it is on its way there, or answered, then."""
        session, rules = seeking.request.session, self.rules.finding
        alive = self.members.alive()
        to = place(
            rules, me=self.me.name, alive=alive.__contains__, hint=self.owning.whereabouts(now, session),
            between=self.owning.between(session), registered=registered, lost=lost, asked=asked,
        )  # fmt: skip
        if to is None:
            return False
        if to.front:
            self._carry(now, seeking, to.front)
        else:
            number = seeking.request.number
            seeking.then(now, between_owners(rules, number) if to.wait_ms else None)
        return True

    def _carry(self, now: float, seeking: Seeking, front: str) -> None:
        seeking.hops += 1
        number = self.forward.number()
        wait = max(seeking.request.wait_ms - (now - seeking.since), 0.0)
        request = msgspec.structs.replace(seeking.request, number=number, wait_ms=wait)
        if seeking.hops <= self.rules.finding.hops and self._at(self.forward).ask(now, front, request):
            self._carried[number] = seeking
        else:
            seeking.then(now, unreachable(self.rules.finding, number))

    def _answer(self, now: float, seeking: Seeking, event: Answered) -> None:
        answer = event.answer
        if answer is None:
            answer = unreachable(self.rules.finding, event.number)
        elif answer.kind == "elsewhere":
            if answer.why in self.members.alive() and answer.why != self.me.name:
                self._carry(now, seeking, answer.why)
                return
            answer = between_owners(self.rules.finding, event.number)
        elif answer.kind == "none" and self.owning.stood(now, seeking.request.session):
            # Its front has begun anew since, and knows nothing: an heir is on its way to it.
            answer = between_owners(self.rules.finding, event.number)
        seeking.then(now, None if answer.kind == "none" else answer)

    def _carry_out(self, event: Wanted) -> None:
        def then(now: float, carried: Carried) -> None:
            if carried.kind == "none":
                carried = self._not_here(now, carried, event.request.session)
            self._at(self.forward).answer(now, event.sender, event.request.number, carried)
            self._changed()

        self._port.execute_forwarded(event.request, then)

    def _not_here(self, now: float, carried: Carried, session: str) -> Carried:
        """A request that was carried to this front, which does not hold its session, or no more."""
        if self.owning.between(session):
            return between_owners(self.rules.finding, carried.number)
        hint = self.owning.whereabouts(now, session)
        return carried if hint is None else msgspec.structs.replace(carried, kind="elsewhere", why=hint)
