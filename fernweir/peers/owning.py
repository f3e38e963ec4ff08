"""The channels at one front: which it owns under which lease, whose copies it keeps, what it inherits.

Joins leases, copies, hand-off and taking over to the front's port. It decides nothing of its own: who
inherits is `channel.heirs`, what a box's list proves `channel.reconcile`, who owns the keepers' majority. No
I/O and no clock; the port's answers come back with the time.

A session is in a channel if it was set up under that channel's lease, or came with it. What was set up while
there was no lease is in none, and ends with this front.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from fernweir.peers.base import Effect, Event, Message, Outbox
from fernweir.peers.channel.channel_names import MAX_PARTS, channel_of, parse
from fernweir.peers.channel.handoff import Handoff
from fernweir.peers.channel.handoff_source import (
    AbandonLease,
    Freeze,
    HandoffFinished,
    Lapsed,
    LeaseReclaimed,
    NoSuccessor,
    OverlapOver,
    ReleaseLease,
    TargetActivated,
    WantLease,
)
from fernweir.peers.channel.payloads import NeedPayload
from fernweir.peers.channel.replication import ChannelReplication, Outdated
from fernweir.peers.channel.rules import (
    HandoffRules,
    PacingRules,
    ReplicaRules,
    SuccessorRules,
    TakeoverRules,
)
from fernweir.peers.channel.standby import ChannelReplica, ReplicaCompleted
from fernweir.peers.channel.successor_selection import Candidate, standbys, successors, wait_ms
from fernweir.peers.channel.takeover import Claim, Finished, HigherFenceFound, Inherited, Settled, Takeover
from fernweir.peers.channel.takeover_pacing import LostChannel, schedule_takeovers
from fernweir.peers.lease.events import LeaseAcquired, LeaseLost, LeaseRenewed, LeaseUnavailable
from fernweir.peers.lease.holder import Holder
from fernweir.peers.port import ClaimResult, Port, SessionStatus

_SPARED_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class OwningRules:
    """`parts` channels a front, or none: its sessions stay its own; `copies` standbys each. Times in ms.

    A copy older than `stale_ms` is tried for though its owner is not known to be dead: it may be cut off, or
    stand still. Heirs that are not first leave it to the first for `patience_ms`, a lease, after the owner's
    last word. `look_ms` is how often that, and who the standbys are, is looked at. What another front took is
    remembered for `gone_ms`, for viewers who come here still; the channel of what is over for `release_ms`,
    in which a release that was lost is said again.
    """

    parts: int = 8
    copies: int = 2
    look_ms: float = 500.0
    stale_ms: float = 8_000.0
    patience_ms: float = 6_000.0
    release_ms: float = 5_000.0
    gone_ms: float = 60_000.0
    gone_most: int = 65_536
    replica: ReplicaRules = field(default_factory=ReplicaRules)
    takeover: TakeoverRules = field(default_factory=TakeoverRules)
    handoff: HandoffRules = field(default_factory=HandoffRules)
    heirs: SuccessorRules = field(default_factory=SuccessorRules)
    spread: PacingRules = field(default_factory=PacingRules)


@dataclass(frozen=True, slots=True)
class Steers(Event):
    """This front steers a session from now on."""

    session: str
    fence: int


@dataclass(frozen=True, slots=True)
class Yields(Event):
    """It is another's from now on, whose name is empty where it is not known; or it is over."""

    session: str
    to: str = ""


@dataclass(frozen=True, slots=True)
class Changed(Event):
    """A channel has changed hands here: `what` is inherited, handed, lost."""

    channel: str
    fence: int
    what: str
    sessions: int
    other: str = ""


@dataclass(slots=True)
class _Try:
    """A channel whose lease is asked for from `due` on, to be acted on `after_ms` after it is got.

    Its owner is believed lost at `since`: one that proves to have had it later has it still.
    """

    owner: str
    since: float
    due: float
    after_ms: float = 0.0
    dead: bool = False  # its owner's process is known to be gone, though one of its name may be there again
    asked: bool = False


class Owning:
    """`now` is ms throughout. `on_message` takes the messages of `channel` but for the directory's."""

    def __init__(
        self, me: str, life: int, rules: OwningRules, holder: Holder, port: Port, seed: int,
        changed: Callable[[], None],
    ) -> None:  # fmt: skip
        self.me, self.life, self.rules = me, life, rules
        self._holder, self._port, self._wake = holder, port, changed
        self._out = Outbox()
        self.replica = ChannelReplication(me, rules.replica, seed)
        takeover = Takeover(rules.takeover)
        self.handoff = Handoff(me, rules.handoff, seed, takeover, port.server_numbers, self.replica.fence)
        self._sessions: dict[str, dict[str, SessionStatus]] = {}  # of each channel held
        self._owns: dict[int, str] = {}  # by part: the channels in which new sessions begin
        self._channel: dict[str, str] = {}  # of each session, also of one whose attempt is out
        self._outside: dict[str, SessionStatus] = {}  # stands here in no channel: there was no lease
        self._placed: dict[str, int] = {}  # at which box an attempt of this front's was made last
        self._last: OrderedDict[str, tuple[str, float]] = OrderedDict()  # of what is over, to release it by
        self._fences: dict[str, int] = {}  # under which each channel is held, or was until it was handed on
        self._tries: dict[str, _Try] = {}
        self._spared: dict[str, float] = {}  # until when a stale copy's channel is left to its living owner
        self._turns: dict[str, tuple[float, int]] = {}  # when a channel that was got is acted for, its fence
        self._seed = seed
        self._new: set[str] = set()  # inherited, and nothing settled of them yet
        self._gone: dict[str, tuple[str, float]] = {}
        self._dead: set[str] = set()
        self._fronts: dict[str, Candidate] = {}
        self._leaving = self._resigned = False
        self._look_at = 0.0

    # --- what the front asks ---

    def start(self, now: float) -> None:
        """Asks for the leases of this life's own channels."""
        for part in range(self.rules.parts):
            self._own_anew(now, part)

    def fence(self, now: float, session: str) -> tuple[str, int] | None:
        """The channel and fence under which a session may be steered now; None for none."""
        channel = self._channel.get(session)
        if channel is None and session in self._last:
            channel = self._last[session][0]
        if channel is None:
            return None
        lease = self._holder.current_lease(now, channel)
        if lease is not None and self.handoff.may_steer(channel):
            return channel, lease.fence
        if self.handoff.may_finish(now, channel):
            return channel, self._fences.get(channel, 0)
        return None

    def channel(self, session: str) -> str:
        """The channel that a session is in; empty for none."""
        return self._channel.get(session, "")

    def in_channel(self, session: str) -> bool:
        return session in self._channel

    def owned(self) -> Mapping[str, Mapping[str, SessionStatus]]:
        """Channels held, with what stands in each."""
        return self._sessions

    def whereabouts(self, now: float, session: str) -> str | None:
        """A front that is likely to hold a session which is not held here; None if nothing is known."""
        if (gone := self._gone.get(session)) is not None:
            return gone[0]
        copy = self._copy_with(session)
        return copy.owner if copy is not None else None

    def between(self, session: str) -> bool:
        """Whether it is known to stand, and nobody owns it just now: it must not begin anew."""
        copy = self._copy_with(session)
        if copy is None:
            return False
        return copy.channel in self._tries or copy.channel in self._turns or copy.owner in self._dead

    def stood(self, now: float, session: str) -> bool:
        """Whether a copy that is not old says that it stands at another front."""
        copy = self._copy_with(session)
        return copy is not None and copy.age_ms(now) < self.rules.stale_ms + self.rules.patience_ms

    # --- what happens at the front ---

    def placed(self, now: float, session: str, box: int) -> None:
        """An attempt is about to leave: from here on it is in this front's channel, or in none."""
        self._placed[session] = box
        known = self._channel.get(session)
        if known is not None:
            self.handoff.takeover.on_attempt_started(known, session, box)
            return
        cut = parse(channel_of(self.me, self.life, session, self.rules.parts)) if self._owns else None
        channel = self._owns.get(cut.part, "") if cut is not None else ""
        if self._holder.current_lease(now, channel) is not None and self.handoff.may_steer(channel):
            self._channel[session] = channel
            self.handoff.takeover.on_attempt_started(channel, session, box)

    def stands(self, now: float, standing: SessionStatus) -> None:
        channel = self._channel.get(standing.session)
        if channel is None:
            self._outside[standing.session] = standing
            return
        held = self._sessions.get(channel)
        if held is None and not self.handoff.may_finish(now, channel):
            # Its lease was lost while the attempt was out: the heir finds it at its box, and decides.
            self._port.relinquish_session(now, standing.session)
            self._forget(standing.session)
            return
        if held is not None and held.get(standing.session) == standing:
            return
        new = held is None or standing.session not in held
        if held is not None:
            held[standing.session] = standing
        self.replica.change(now, channel, standing)
        self.handoff.change(now, channel, standing)
        if new:
            if held is not None and len(held) == 1:
                self.replica.standbys(now, channel, self._standbys(channel))
            self._out.add(Steers(standing.session, self._fences.get(channel, 0)))

    def failed(self, now: float, session: str) -> bool:
        """The attempt to begin one has ended here. False if it stands all the same, as it was inherited."""
        if session in self._sessions.get(self._channel.get(session, ""), {}):
            return False
        self.over(now, session)
        return True

    def over(self, now: float, session: str) -> None:
        """A session, or the attempt to begin one, has ended here."""
        channel = self._forget(session)
        if channel is None:
            return
        self._release_by(now, session, channel)
        if self._sessions.get(channel, {}).pop(session, None) is not None:
            self._out.add(Yields(session))
            # Where its channel is claimed anew, a box's list from before must not bring it back.
            self.handoff.takeover.on_final_status(now, channel, session, None)
        self.replica.end(now, channel, session)
        self.handoff.end(now, channel, session)

    # --- what is known of other fronts ---

    def fronts(self, now: float, candidates: Iterable[Candidate]) -> None:
        """All fronts believed alive, this one included, with what heirs are chosen by."""
        self._fronts = {one.name: one for one in candidates}
        self._dead -= set(self._fronts)
        closed = "leaving" if self._leaving else "shut out" if self._resigned else ""
        closed = closed if self.rules.parts else "has no channels"
        self.handoff.set_capacity(self.rules.handoff.max_sessions, closed)

    def died(self, now: float, name: str) -> None:
        """A front is believed dead, or has left: what is copied here of its channels is tried for."""
        self._dead.add(name)
        self._fronts.pop(name, None)
        self.handoff.on_peer_died(now, name)
        copies = (self.replica.find_replica(channel) for channel in self.replica.replicated_channels())
        self._try(now, [copy for copy in copies if copy is not None and copy.owner == name])

    def leave(self, now: float) -> None:
        """Hands on all that is held; see `left`."""
        self._leaving = True
        self.fronts(now, self._fronts.values())
        for channel in list(self._tries):
            self._drop_try(now, channel)
        for channel, standings in list(self._sessions.items()):
            lease = self._holder.current_lease(now, channel)
            order = self._heirs(channel, len(standings), self.me)
            if lease is None or not standings or not order:
                self._holder.release(now, channel)
                self._sessions.pop(channel, None)
            else:
                self.handoff.offer(now, channel, lease.fence, standings, order)
        for channel in self._owns.values():  # asked for and not granted yet
            if channel not in self._sessions:
                self._holder.release(now, channel)

    def resign(self, now: float, over: bool) -> None:
        """Hands on what is held, though this front stays: it is shut out, until that is over."""
        self._resigned = not over
        self.fronts(now, self._fronts.values())
        if over:
            for part in range(self.rules.parts):
                if part in self._owns and self._owns[part] not in self._sessions:
                    self._holder.want(now, self._owns[part])
            return
        for channel in list(self._tries):
            self._drop_try(now, channel)
        for channel, standings in list(self._sessions.items()):
            lease, order = (
                self._holder.current_lease(now, channel),
                self._heirs(channel, len(standings), self.me),
            )
            if lease is not None and standings and order:
                self.handoff.offer(now, channel, lease.fence, standings, order)

    @property
    def left(self) -> bool:
        """Whether nothing is on its way to an heir any more."""
        return self._leaving and not self.handoff.outgoing()

    # --- leases ---

    def lease(self, now: float, event: LeaseAcquired | LeaseRenewed | LeaseLost | LeaseUnavailable) -> None:
        if isinstance(event, LeaseAcquired):
            self._got(now, event.lease.channel, event.lease.fence)
        elif isinstance(event, LeaseLost):
            self._lost(now, event.channel, event.fence, event.why)
        elif isinstance(event, LeaseUnavailable):
            self.handoff.on_lease_taken(now, event.channel, event.by, event.fence)
            self._taken(now, event.channel, event.by)

    def _taken(self, now: float, channel: str, by: str) -> None:
        """Another has, or waits for, a lease that is asked for here."""
        tried = self._tries.get(channel)
        if tried is not None and by not in (tried.owner, self.me, ""):
            self._drop_try(now, channel)  # another heir was first
        elif tried is not None and by == tried.owner and by in self._fronts and not tried.dead:
            # It lives, and has the lease: this front is not its standby any more, and missed that word.
            self._drop_try(now, channel)
            self._spared[channel] = now + _SPARED_MS
        elif (
            channel in self._sessions
            and by not in (self.me, "")
            and not self._holder.current_lease(now, channel)
        ):
            self._holder.release(now, channel)
            self._let_go(now, channel, by)

    # --- base.Part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        self.replica.on_message(now, sender, message)
        self.handoff.on_message(now, sender, message)

    def tick(self, now: float) -> None:
        if now >= self._look_at:
            self._look_at = now + self.rules.look_ms
            self._look(now)
        for channel, tried in list(self._tries.items()):
            copy = self.replica.find_replica(channel)
            if copy is None or copy.owner != tried.owner:
                self._drop_try(now, channel)  # another heir was first
            elif copy.as_of is not None and copy.as_of > tried.since:
                self._drop_try(now, channel)  # it was cut off or stood still, and its lease outlived that
            elif not tried.asked and now >= tried.due:
                tried.asked = True
                self._holder.want(now, channel, self.replica.fence(channel))
        for channel, (due, fence) in list(self._turns.items()):
            if now >= due:
                del self._turns[channel]
                self._turn(now, channel, fence)
        self.replica.tick(now)
        self.handoff.tick(now)
        self._run(now)

    def next_deadline(self) -> float | None:
        dues = [self._look_at, self.replica.next_deadline(), self.handoff.next_deadline()]
        dues += [tried.due for tried in self._tries.values() if not tried.asked]
        dues += [due for due, _ in self._turns.values()]
        return min(due for due in dues if due is not None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- pieces: own events of the parts ---

    def run(self, now: float) -> None:
        """Carries out what the parts said since the last call."""
        self._run(now)

    def _run(self, now: float) -> None:
        while effects := self.replica.take_effects() + self.handoff.take_effects():
            for effect in effects:
                if isinstance(effect, Event):
                    self._do(now, effect)
                else:
                    self._out.add(effect)

    def _do(self, now: float, event: Event) -> None:
        if isinstance(event, Claim):
            for box in event.boxes:
                self._claim(event, box)
        elif isinstance(event, Inherited):
            self._inherited(now, event)
        elif isinstance(event, Settled):
            self._settled(now, event)
        elif isinstance(event, HigherFenceFound):
            # Keepers that all forgot may have granted too low a fence; if another holds it, they say so.
            self._holder.want(now, event.channel, event.fence)
        elif isinstance(event, Outdated):
            self._let_go(now, event.channel, "")
        elif isinstance(event, NeedPayload):
            self.replica.payload(now, event.digest, self._port.payload(event.digest))
        elif isinstance(event, Freeze):
            out = [one for one in self._port.sessions_in_flight() if self._channel.get(one) == event.channel]
            self.handoff.on_frozen(now, event.channel, out)
        elif isinstance(event, ReleaseLease):
            self._holder.release(now, event.channel)
        elif isinstance(event, WantLease):
            self._holder.want(now, event.channel, event.floor)
        elif isinstance(event, AbandonLease):
            self._holder.release(now, event.channel)
        elif isinstance(event, TargetActivated):
            sessions = len(self._sessions.get(event.channel, ()))
            self._out.add(Changed(event.channel, event.fence, "handed", sessions, event.target))
            self._let_go(now, event.channel, event.target)
        elif isinstance(event, LeaseReclaimed):
            standings = {one.session: one for one in event.statuses}
            self._let_go(now, event.channel, "")
            self._begin(now, event.channel, event.fence, standings)
        elif isinstance(event, Finished):
            self._new.discard(event.channel)  # nothing stood in it
        else:
            assert isinstance(event, ReplicaCompleted | OverlapOver | HandoffFinished | NoSuccessor | Lapsed)

    def _claim(self, event: Claim, box: int) -> None:
        def then(now: float, claimed: ClaimResult) -> None:
            self.handoff.on_claimed(now, event.channel, claimed)
            self._run(now)
            self._wake()

        self._port.claim_channel(box, event.channel, event.fence, event.overlap_ms, then)

    # --- pieces: leases that come and go ---

    def _got(self, now: float, channel: str, fence: int) -> None:
        tried = self._tries.pop(channel, None)
        self._fences[channel] = fence
        if self.handoff.on_lease_acquired(now, channel, fence):
            self._run(now)
            return
        if channel in self._sessions:  # held already: a box knew a higher fence
            self.replica.own(now, channel, fence, self._sessions[channel].values())
            self._begin(now, channel, fence, self._sessions[channel])
            return
        copy = self.replica.find_replica(channel) if tried is not None else None
        if copy is not None and tried is not None:
            self._turns[channel] = (now + tried.after_ms, fence)
        elif self._mine(channel) and not self._leaving:
            self._own(now, channel, fence)
        else:
            self._holder.release(now, channel)

    def _turn(self, now: float, channel: str, fence: int) -> None:
        """The lease has been here for a while, so that not all channels are claimed in one moment."""
        lease, copy = self._holder.current_lease(now, channel), self.replica.find_replica(channel)
        if lease is None or lease.fence != fence:
            return
        if copy is None:  # its owner has told this front meanwhile that it keeps no copy any more
            self._holder.release(now, channel)
        else:
            self._begin(now, channel, fence, dict(copy.statuses))

    def _begin(self, now: float, channel: str, fence: int, standings: Mapping[str, SessionStatus]) -> None:
        self.handoff.takeover.begin(now, channel, fence, standings, listed=self._port.server_numbers())
        for session, where in self._channel.items():  # also what is out, and stands nowhere yet
            if where == channel and session in self._placed:
                self.handoff.takeover.on_attempt_started(channel, session, self._placed[session])
        self._run(now)

    def _own_anew(self, now: float, part: int, number: int | None = None) -> None:
        """The channel of a part, under a number that it never had in this life; none once all are used."""
        number = part if number is None else number
        if number >= MAX_PARTS:
            self._owns.pop(part, None)
            return
        self._owns[part] = f"{self.me}:{self.life}/{number}"
        self._holder.want(now, self._owns[part])

    def _own(self, now: float, channel: str, fence: int, standings: Iterable[SessionStatus] = ()) -> None:
        """`standings` are in doubt or not: what standbys are to know until it is settled."""
        self._sessions.setdefault(channel, {})
        self._fences[channel] = fence
        self.replica.own(now, channel, fence, standings)
        self.replica.standbys(now, channel, self._standbys(channel) if standings else [])

    def _lost(self, now: float, channel: str, fence: int, why: str) -> None:
        if why in ("released", "handed"):
            return
        self.handoff.on_lease_lost(now, channel)
        self._turns.pop(channel, None)
        self._new.discard(channel)
        standings = self._sessions.get(channel)
        if standings is None:
            return
        self._out.add(Changed(channel, fence, "lost", len(standings), why))
        if why == "taken" or self._leaving:
            self._let_go(now, channel, "")
            return
        # Lapsed, and perhaps nobody else's, as when no keeper can be reached: what stands is kept and its
        # viewers are answered, but nothing is steered until the lease is back, or another has it.
        self.replica.cede(now, channel)
        if standings or self._mine(channel):
            self._holder.want(now, channel, fence)
        else:
            del self._sessions[channel]

    def _let_go(self, now: float, channel: str, to: str) -> None:
        """All of a channel is another's, or nobody's: neither boxes nor viewers are told anything."""
        self._new.discard(channel)
        for session in list(self._sessions.pop(channel, {})):
            self._port.relinquish_session(now, session)
            self._forget(session)
            if to:
                self._gone[session] = (to, now + self.rules.gone_ms)
                if len(self._gone) > self.rules.gone_most:
                    del self._gone[next(iter(self._gone))]
            self._out.add(Yields(session, to))
        self.replica.cede(now, channel)
        cut = parse(channel)
        if cut is not None and self._mine(channel) and not self._leaving:
            # What was its own is its heir's until nothing stands in it: new sessions go into another.
            self._own_anew(now, cut.part % self.rules.parts, cut.part + self.rules.parts)

    # --- pieces: what is inherited ---

    def _inherited(self, now: float, event: Inherited) -> None:
        self._own(now, event.channel, event.fence, event.statuses)
        self._new.add(event.channel)

    def _settled(self, now: float, event: Settled) -> None:
        held = self._sessions.get(event.channel)
        if held is None:
            return
        for standing in event.take:
            self._take(now, event.channel, held, standing)
        if event.channel in self._new:
            self._new.discard(event.channel)
            self._out.add(Changed(event.channel, event.fence, "inherited", len(event.take)))
        for session in event.over:
            self.replica.end(now, event.channel, session)
        for standing in event.gone:
            held_now = held.get(standing.session)
            if held_now is not None and (held_now.box, held_now.attempt) == (standing.box, standing.attempt):
                self._port.on_session_missing(now, standing.session, standing.attempt)
        for box, session, attempt in event.give_up:
            if self._channel.get(session) == event.channel and self._placed.get(session) == box:
                continue  # this front's own doing, whatever a copy knows
            under = (event.channel, event.fence)
            self._port.release_attempt(
                now, box, session, attempt, "nobody can prove that it is wanted", under
            )

    def _take(
        self, now: float, channel: str, held: dict[str, SessionStatus], standing: SessionStatus
    ) -> None:
        session = standing.session
        self._gone.pop(session, None)
        if self._port.has_session(session):
            if self._channel.get(session) == channel:
                held[session] = standing
                return
            # Its viewer came here meanwhile and it began anew: one of the two is too many.
            under = (channel, self._fences.get(channel, 0))
            self._port.release_attempt(now, standing.box, session, standing.attempt, "began anew", under)
            self.replica.end(now, channel, session)
            return
        payload = self._port.payload(standing.payload) or self.replica.payload_of(standing.payload)
        self._channel[session] = channel
        held[session] = standing
        if self._port.adopt_session(now, standing, payload):
            self.replica.change(now, channel, standing)
            self._out.add(Steers(session, self._fences.get(channel, 0)))
        else:  # its box or its lesson is gone
            self._forget(session)
            held.pop(session, None)
            self.replica.end(now, channel, session)

    # --- pieces: looking around ---

    def _look(self, now: float) -> None:
        for channel, standings in self._sessions.items():
            # Nobody need keep nothing: a front that is idle costs its peers nothing by its channels.
            names = self._standbys(channel) if standings or self.handoff.takeover.has_begun(channel) else []
            self.replica.standbys(now, channel, names)
        lost = []
        for channel in self.replica.replicated_channels():
            copy = self.replica.find_replica(channel)
            if copy is None or channel in self._tries:
                continue
            dead = copy.owner in self._dead and copy.owner not in self._fronts
            spared = now < self._spared.get(channel, 0.0)
            if dead or (copy.age_ms(now) > self.rules.stale_ms and not spared):
                lost.append(copy)
        self._try(now, lost)
        self._spared = {channel: until for channel, until in self._spared.items() if now < until}
        self._adopt(now)
        for session in [one for one, (_, until) in self._gone.items() if until <= now]:
            del self._gone[session]
        # An inherited channel in which nothing stands any more is let go; the own ones are used again.
        for channel, standings in list(self._sessions.items()):
            busy = self.handoff.takeover.has_begun(channel) or channel in self._channel.values()
            if not standings and not self._mine(channel) and not busy:
                self._sessions.pop(channel)
                self.replica.close_channel(now, channel)
                self._holder.release(now, channel)

    def _try(self, now: float, lost: Iterable[ChannelReplica]) -> None:
        """Asks for what these are copies of, where this front may inherit it; who is first asks first."""
        ranks: dict[str, int] = {}
        mine: dict[str, ChannelReplica] = {}
        for copy in lost:
            order = self._heirs(copy.channel, len(copy.statuses), copy.owner)
            taking = copy.channel in self._turns or self.handoff.takeover.has_begun(copy.channel)
            free = not (self._leaving or self._resigned or taking)
            if free and copy.channel not in self._tries and copy.statuses and self.me in order:
                ranks[copy.channel], mine[copy.channel] = order.index(self.me), copy
        losses = [
            LostChannel(
                channel, len(copy.statuses), tuple({one.box for one in copy.statuses.values()}),
                copy.age_ms(now),
            )
            for channel, copy in mine.items()
        ]  # fmt: skip
        for turn in schedule_takeovers(0.0, losses, self.rules.spread, self._seed, max(len(self._fronts), 1)):
            # Two who ask at once keep each other from it: whoever is not first leaves it to the first until
            # the lease that was held when the owner last spoke has lapsed.
            due, rank, owner = now, ranks[turn.channel], mine[turn.channel].owner
            if rank:
                spoke = now - min(mine[turn.channel].age_ms(now), self.rules.patience_ms)
                due = max(now, spoke + self.rules.patience_ms) + wait_ms(rank, self.rules.heirs)
            self._tries[turn.channel] = _Try(owner, now, due, turn.at, dead=owner in self._dead)

    def _adopt(self, now: float) -> None:
        """What began while there was no lease comes into a channel once there is one: it has heirs then."""
        if self._leaving or self._resigned or not self._owns:
            return
        groups: dict[tuple[str, int], list[SessionStatus]] = {}
        for standing in self._outside.values():
            cut = parse(channel_of(self.me, self.life, standing.session, self.rules.parts))
            channel = self._owns.get(cut.part, "") if cut is not None else ""
            if channel in self._sessions and self._holder.current_lease(now, channel) is not None:
                groups.setdefault((channel, standing.box), []).append(standing)
        for (channel, box), standings in groups.items():
            lease = self._holder.current_lease(now, channel)
            if lease is not None and self.handoff.may_steer(channel):
                self._ask_to_adopt(channel, lease.fence, box, standings)

    def _ask_to_adopt(self, channel: str, fence: int, box: int, standings: Sequence[SessionStatus]) -> None:
        def then(now: float, claimed: ClaimResult) -> None:
            lease = self._holder.current_lease(now, channel)
            if not claimed.accepted or lease is None or lease.fence != fence or channel not in self._sessions:
                return
            listed = {(session, attempt) for session, attempt, _ in claimed.sessions}
            for asked in standings:
                standing = self._outside.get(asked.session)
                if standing is not None and (standing.session, standing.attempt) in listed:
                    del self._outside[standing.session]
                    self._channel[standing.session] = channel
                    self.handoff.takeover.on_attempt_started(channel, standing.session, standing.box)
                    self.stands(now, standing)
            self._wake()

        adopt = [(standing.session, standing.attempt) for standing in standings]
        self._port.claim_channel(box, channel, fence, 0.0, then, adopt)

    def _drop_try(self, now: float, channel: str) -> None:
        tried = self._tries.pop(channel, None)
        taken = channel in self._sessions or self.handoff.takeover.has_begun(channel)
        if tried is not None and tried.asked and not taken:
            self._holder.release(now, channel)

    def _heirs(self, channel: str, sessions: int, owner: str) -> list[str]:
        """Who may follow an owner, alike at all who know the same of the fronts."""
        fit = [one for one in self._fronts.values() if one.name != owner]
        keepers = standbys(channel, fit, self.rules.copies)
        named = [
            Candidate(one.name, one.load, one.age_ms, one.late, one.leaving, one.name in keepers)
            for one in fit
        ]
        return successors(channel, named, self.rules.heirs, max(sessions, 1))

    def _standbys(self, channel: str) -> list[str]:
        others = [one for one in self._fronts.values() if one.name != self.me]
        return standbys(channel, others, self.rules.copies)

    def _mine(self, channel: str) -> bool:
        cut = parse(channel)
        return cut is not None and self._owns.get(cut.part % max(self.rules.parts, 1)) == channel

    def _forget(self, session: str) -> str | None:
        self._placed.pop(session, None)
        self._outside.pop(session, None)
        return self._channel.pop(session, None)

    def _release_by(self, now: float, session: str, channel: str) -> None:
        """For a while what is over here may still be released at its box, under this channel's fence."""
        self._last[session] = (channel, now + self.rules.release_ms)
        self._last.move_to_end(session)
        while self._last and next(iter(self._last.values()))[1] <= now:
            self._last.popitem(last=False)
        if len(self._last) > self.rules.gone_most:
            self._last.popitem(last=False)

    def _copy_with(self, session: str) -> ChannelReplica | None:
        for channel in self.replica.replicated_channels():
            copy = self.replica.find_replica(channel)
            if copy is not None and session in copy.statuses:
                return copy
        return None
