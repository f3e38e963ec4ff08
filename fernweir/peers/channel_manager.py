"""Manages the channels of one front: the leases it holds, the replicas it stores, and what it takes over.

Connects leases, replicas, hand-off and takeover to the port of the front. The decisions are made elsewhere:
`channel.successor_selection` chooses successors, `channel.reconcile` evaluates the session list of a server,
and a majority of the keepers grants ownership. The manager has no I/O and no clock; the replies of the port
contain the time.

A session belongs to a channel if it was set up under the lease of that channel or was taken over with it. A
session that was set up without a lease belongs to no channel, and ends when its front ends.
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

_LIVE_OWNER_DELAY_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class ChannelManagerRules:
    """The settings of `ChannelManager`. Times are in ms.

    Attributes:
        parts: The number of channels of a front. With 0, sessions cannot move to another front.
        standbys: The number of standbys of each channel.
        review_ms: The interval at which standbys and stale replicas are checked.
        stale_ms: The age of a replica after which this front tries to take over its channel even if the
            owner is not known to be dead: it may be partitioned or stalled.
        successor_wait_ms: The time after the last message of an owner in which only its first successor may
            try to take over. It equals the duration of a lease.
        release_retention_ms: How long the channel of an ended session is stored, so that a lost release can
            be repeated.
        relinquished_retention_ms: How long the new owner of a relinquished session is stored, for viewers
            whose requests still arrive here.
        max_relinquished: The maximum number of stored relinquished sessions.
    """

    parts: int = 8
    standbys: int = 2
    review_ms: float = 500.0
    stale_ms: float = 8_000.0
    successor_wait_ms: float = 6_000.0
    release_retention_ms: float = 5_000.0
    relinquished_retention_ms: float = 60_000.0
    max_relinquished: int = 65_536
    replica: ReplicaRules = field(default_factory=ReplicaRules)
    takeover: TakeoverRules = field(default_factory=TakeoverRules)
    handoff: HandoffRules = field(default_factory=HandoffRules)
    successors: SuccessorRules = field(default_factory=SuccessorRules)
    spread: PacingRules = field(default_factory=PacingRules)


@dataclass(frozen=True, slots=True)
class SessionAcquired(Event):
    """This front controls a session from now on."""

    session: str
    fence: int


@dataclass(frozen=True, slots=True)
class SessionRelinquished(Event):
    """A session has ended, or belongs to front `to` from now on; `to` is empty if that is unknown."""

    session: str
    to: str = ""


@dataclass(frozen=True, slots=True)
class ChannelChanged(Event):
    """This front got or lost a channel: `what` is "inherited", "handed" or "lost"."""

    channel: str
    fence: int
    what: str
    sessions: int
    other: str = ""


@dataclass(slots=True)
class _LeaseAttempt:
    """A lease to request at `due`; the takeover begins `after_ms` after the lease is granted.

    The owner was presumed lost at `since`. If a replica proves that the owner was alive later, the attempt is
    cancelled.
    """

    owner: str
    since: float
    due: float
    after_ms: float = 0.0
    # The process of the owner has ended, even if another process with its name is running.
    is_owner_dead: bool = False
    is_requested: bool = False


class ChannelManager:
    """Manages the channels of one front. `now` is in ms.

    `on_message` handles the messages of `fernweir.peers.channel` except for those of the directory.
    """

    def __init__(
        self, me: str, life: int, rules: ChannelManagerRules, holder: Holder, port: Port, seed: int,
        on_changed: Callable[[], None],
    ) -> None:  # fmt: skip
        self.me, self.life, self.rules = me, life, rules
        self._holder, self._port, self._on_changed = holder, port, on_changed
        self._out = Outbox()
        self.replica = ChannelReplication(me, rules.replica, seed)
        takeover = Takeover(rules.takeover)
        self.handoff = Handoff(me, rules.handoff, seed, takeover, port.server_numbers, self.replica.fence)
        self._sessions: dict[str, dict[str, SessionStatus]] = {}  # by owned channel
        self._own_channels: dict[int, str] = {}  # by part; new sessions join these
        self._channel_by_session: dict[str, str] = {}  # includes attempts in flight
        # Sessions that play here and belong to no channel, because there was no lease.
        self._unassigned: dict[str, SessionStatus] = {}
        self._server_by_session: dict[str, int] = {}  # server of this front's last attempt
        # By ended session: the channel under whose fence its release may be repeated, and until when.
        self._releasable: OrderedDict[str, tuple[str, float]] = OrderedDict()
        # The fence of each owned channel, and of each that was handed off.
        self._fences: dict[str, int] = {}
        self._lease_attempts: dict[str, _LeaseAttempt] = {}
        # By channel with a stale replica and a live owner: until when this front does not try to take over.
        self._deferred_until: dict[str, float] = {}
        # By channel whose lease was granted for a takeover: when the takeover starts, and the fence.
        self._pending_takeovers: dict[str, tuple[float, int]] = {}
        self._seed = seed
        self._unsettled: set[str] = set()  # channels taken over, first result pending
        self._relinquished: dict[str, tuple[str, float]] = {}
        self._dead_fronts: set[str] = set()
        self._fronts: dict[str, Candidate] = {}
        self._leaving = self._is_shut_out = False
        self._next_review_at = 0.0

    # --- queries of the front ---

    def start(self, now: float) -> None:
        """Requests the leases of the channels of this incarnation."""
        for part in range(self.rules.parts):
            self._request_own_channel(now, part)

    def fence(self, now: float, session: str) -> tuple[str, int] | None:
        """Returns the channel and fence under which a session may be controlled now, or None."""
        channel = self._channel_by_session.get(session)
        if channel is None and session in self._releasable:
            channel = self._releasable[session][0]
        if channel is None:
            return None
        lease = self._holder.current_lease(now, channel)
        if lease is not None and self.handoff.may_steer(channel):
            return channel, lease.fence
        if self.handoff.may_finish(now, channel):
            return channel, self._fences.get(channel, 0)
        return None

    def channel_for(self, session: str) -> str:
        """Returns the channel of a session; empty if it belongs to none."""
        return self._channel_by_session.get(session, "")

    def is_in_channel(self, session: str) -> bool:
        """Whether the session belongs to a channel."""
        return session in self._channel_by_session

    def owned_channels(self) -> Mapping[str, Mapping[str, SessionStatus]]:
        """Returns the owned channels with the status of each session that plays in them."""
        return self._sessions

    def likely_owner(self, now: float, session: str) -> str | None:
        """Returns the front that probably owns a session that this front lacks; None if unknown."""
        if (relinquished := self._relinquished.get(session)) is not None:
            return relinquished[0]
        replica = self._find_replica(session)
        return replica.owner if replica is not None else None

    def is_between_owners(self, session: str) -> bool:
        """Whether a session plays but has no owner at the moment, and so must not be set up again."""
        replica = self._find_replica(session)
        if replica is None:
            return False
        return (
            replica.channel in self._lease_attempts
            or replica.channel in self._pending_takeovers
            or replica.owner in self._dead_fronts
        )

    def has_recent_replica(self, now: float, session: str) -> bool:
        """Whether a recent replica shows that the session plays at another front."""
        replica = self._find_replica(session)
        return (
            replica is not None and replica.age_ms(now) < self.rules.stale_ms + self.rules.successor_wait_ms
        )

    # --- notifications of the front ---

    def on_attempt_started(self, now: float, session: str, server: int) -> None:
        """Assigns a session to a channel whose lease is held, if any, before its set-up is sent."""
        self._server_by_session[session] = server
        known = self._channel_by_session.get(session)
        if known is not None:
            self.handoff.takeover.on_attempt_started(known, session, server)
            return
        parsed = (
            parse(channel_of(self.me, self.life, session, self.rules.parts)) if self._own_channels else None
        )
        channel = self._own_channels.get(parsed.part, "") if parsed is not None else ""
        if self._holder.current_lease(now, channel) is not None and self.handoff.may_steer(channel):
            self._channel_by_session[session] = channel
            self.handoff.takeover.on_attempt_started(channel, session, server)

    def on_session_status(self, now: float, status: SessionStatus) -> None:
        """Records and replicates the status of a session that plays here."""
        channel = self._channel_by_session.get(status.session)
        if channel is None:
            self._unassigned[status.session] = status
            return
        statuses = self._sessions.get(channel)
        if statuses is None and not self.handoff.may_finish(now, channel):
            # The lease was lost while the attempt was in flight. The successor finds the session in the list
            # of its server, and decides about it.
            self._port.relinquish_session(now, status.session)
            self._forget(status.session)
            return
        if statuses is not None and statuses.get(status.session) == status:
            return
        new = statuses is None or status.session not in statuses
        if statuses is not None:
            statuses[status.session] = status
        self.replica.change(now, channel, status)
        self.handoff.change(now, channel, status)
        if new:
            if statuses is not None and len(statuses) == 1:
                self.replica.standbys(now, channel, self._standbys(channel))
            self._out.add(SessionAcquired(status.session, self._fences.get(channel, 0)))

    def on_attempt_failed(self, now: float, session: str) -> bool:
        """Records that a set-up failed. Returns False if the session plays, because it was taken over."""
        if session in self._sessions.get(self._channel_by_session.get(session, ""), {}):
            return False
        self.on_session_ended(now, session)
        return True

    def on_session_ended(self, now: float, session: str) -> None:
        """Records that a session or the attempt to set it up has ended here."""
        channel = self._forget(session)
        if channel is None:
            return
        self._remember_channel(now, session, channel)
        if self._sessions.get(channel, {}).pop(session, None) is not None:
            self._out.add(SessionRelinquished(session))
            # If the channel is being claimed again, an earlier list of a server must not restore the session.
            self.handoff.takeover.on_final_status(now, channel, session, None)
        self.replica.end(now, channel, session)
        self.handoff.end(now, channel, session)

    # --- other fronts ---

    def update_fronts(self, now: float, candidates: Iterable[Candidate]) -> None:
        """Sets all live fronts, this one included, with the data by which successors are chosen."""
        self._fronts = {one.name: one for one in candidates}
        self._dead_fronts -= set(self._fronts)
        closed_reason = "leaving" if self._leaving else "shut out" if self._is_shut_out else ""
        closed_reason = closed_reason if self.rules.parts else "has no channels"
        self.handoff.set_capacity(self.rules.handoff.max_sessions, closed_reason)

    def on_front_died(self, now: float, name: str) -> None:
        """Tries to take over the channels of a front that died or left, if it has replicas of them."""
        self._dead_fronts.add(name)
        self._fronts.pop(name, None)
        self.handoff.on_peer_died(now, name)
        replicas = (self.replica.find_replica(channel) for channel in self.replica.replicated_channels())
        self._schedule_lease_attempts(
            now, [replica for replica in replicas if replica is not None and replica.owner == name]
        )

    def drain(self, now: float) -> None:
        """Hands off all owned channels; `is_drained` is True when that is done."""
        self._leaving = True
        self.update_fronts(now, self._fronts.values())
        for channel in list(self._lease_attempts):
            self._cancel_lease_attempt(now, channel)
        for channel, statuses in list(self._sessions.items()):
            lease = self._holder.current_lease(now, channel)
            order = self._successors(channel, len(statuses), self.me)
            if lease is None or not statuses or not order:
                self._holder.release(now, channel)
                self._sessions.pop(channel, None)
            else:
                self.handoff.offer(now, channel, lease.fence, statuses, order)
        for channel in self._own_channels.values():  # requested and not granted yet
            if channel not in self._sessions:
                self._holder.release(now, channel)

    def on_shut_out(self, now: float, over: bool) -> None:
        """Hands off the channels when the front is shut out. `over`: it is no longer shut out."""
        self._is_shut_out = not over
        self.update_fronts(now, self._fronts.values())
        if over:
            for part in range(self.rules.parts):
                if part in self._own_channels and self._own_channels[part] not in self._sessions:
                    self._holder.want(now, self._own_channels[part])
            return
        for channel in list(self._lease_attempts):
            self._cancel_lease_attempt(now, channel)
        for channel, statuses in list(self._sessions.items()):
            lease, order = (
                self._holder.current_lease(now, channel),
                self._successors(channel, len(statuses), self.me),
            )
            if lease is not None and statuses and order:
                self.handoff.offer(now, channel, lease.fence, statuses, order)

    @property
    def is_drained(self) -> bool:
        """Whether all hand-offs have ended after `drain`."""
        return self._leaving and not self.handoff.outgoing()

    # --- leases ---

    def on_lease_event(
        self, now: float, event: LeaseAcquired | LeaseRenewed | LeaseLost | LeaseUnavailable
    ) -> None:
        if isinstance(event, LeaseAcquired):
            self._on_lease_acquired(now, event.lease.channel, event.lease.fence)
        elif isinstance(event, LeaseLost):
            self._on_lease_lost(now, event.channel, event.fence, event.why)
        elif isinstance(event, LeaseUnavailable):
            self.handoff.on_lease_taken(now, event.channel, event.by, event.fence)
            self._on_lease_unavailable(now, event.channel, event.by)

    def _on_lease_unavailable(self, now: float, channel: str, by: str) -> None:
        """Reacts to front `by`, which holds or waits for a lease that this front requested."""
        attempt = self._lease_attempts.get(channel)
        if attempt is not None and by not in (attempt.owner, self.me, ""):
            self._cancel_lease_attempt(now, channel)  # another successor was first
        elif attempt is not None and by == attempt.owner and by in self._fronts and not attempt.is_owner_dead:
            # The owner is alive and holds the lease, and this front missed the message that it is no longer
            # a standby.
            self._cancel_lease_attempt(now, channel)
            self._deferred_until[channel] = now + _LIVE_OWNER_DELAY_MS
        elif (
            channel in self._sessions
            and by not in (self.me, "")
            and not self._holder.current_lease(now, channel)
        ):
            self._holder.release(now, channel)
            self._relinquish_channel(now, channel, by)

    # --- base.Part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        self.replica.on_message(now, sender, message)
        self.handoff.on_message(now, sender, message)

    def tick(self, now: float) -> None:
        if now >= self._next_review_at:
            self._next_review_at = now + self.rules.review_ms
            self._review(now)
        for channel, attempt in list(self._lease_attempts.items()):
            replica = self.replica.find_replica(channel)
            if replica is None or replica.owner != attempt.owner:
                self._cancel_lease_attempt(now, channel)  # another successor was first
            elif replica.as_of is not None and replica.as_of > attempt.since:
                # The owner was partitioned or stalled, and its lease did not expire.
                self._cancel_lease_attempt(now, channel)
            elif not attempt.is_requested and now >= attempt.due:
                attempt.is_requested = True
                self._holder.want(now, channel, self.replica.fence(channel))
        for channel, (due, fence) in list(self._pending_takeovers.items()):
            if now >= due:
                del self._pending_takeovers[channel]
                self._take_over_replica(now, channel, fence)
        self.replica.tick(now)
        self.handoff.tick(now)
        self._process_effects(now)

    def next_deadline(self) -> float | None:
        dues = [self._next_review_at, self.replica.next_deadline(), self.handoff.next_deadline()]
        dues += [attempt.due for attempt in self._lease_attempts.values() if not attempt.is_requested]
        dues += [due for due, _ in self._pending_takeovers.values()]
        return min(due for due in dues if due is not None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- events of replicas and hand-offs ---

    def run(self, now: float) -> None:
        """Handles the events of replicas and hand-offs since the last call."""
        self._process_effects(now)

    def _process_effects(self, now: float) -> None:
        while effects := self.replica.take_effects() + self.handoff.take_effects():
            for effect in effects:
                if isinstance(effect, Event):
                    self._handle_event(now, effect)
                else:
                    self._out.add(effect)

    def _handle_event(self, now: float, event: Event) -> None:
        if isinstance(event, Claim):
            for server in event.boxes:
                self._claim_server(event, server)
        elif isinstance(event, Inherited):
            self._on_inherited(now, event)
        elif isinstance(event, Settled):
            self._on_settled(now, event)
        elif isinstance(event, HigherFenceFound):
            # Keepers that lost their state may have granted too low a fence. If another front holds the
            # lease, they reject the request.
            self._holder.want(now, event.channel, event.fence)
        elif isinstance(event, Outdated):
            self._relinquish_channel(now, event.channel, "")
        elif isinstance(event, NeedPayload):
            self.replica.payload(now, event.digest, self._port.payload(event.digest))
        elif isinstance(event, Freeze):
            in_flight = [
                one
                for one in self._port.sessions_in_flight()
                if self._channel_by_session.get(one) == event.channel
            ]
            self.handoff.on_frozen(now, event.channel, in_flight)
        elif isinstance(event, ReleaseLease):
            self._holder.release(now, event.channel)
        elif isinstance(event, WantLease):
            self._holder.want(now, event.channel, event.floor)
        elif isinstance(event, AbandonLease):
            self._holder.release(now, event.channel)
        elif isinstance(event, TargetActivated):
            sessions = len(self._sessions.get(event.channel, ()))
            self._out.add(ChannelChanged(event.channel, event.fence, "handed", sessions, event.target))
            self._relinquish_channel(now, event.channel, event.target)
        elif isinstance(event, LeaseReclaimed):
            statuses = {one.session: one for one in event.statuses}
            self._relinquish_channel(now, event.channel, "")
            self._begin_takeover(now, event.channel, event.fence, statuses)
        elif isinstance(event, Finished):
            self._unsettled.discard(event.channel)  # it had no sessions
        else:
            assert isinstance(event, ReplicaCompleted | OverlapOver | HandoffFinished | NoSuccessor | Lapsed)

    def _claim_server(self, event: Claim, server: int) -> None:
        def then(now: float, claimed: ClaimResult) -> None:
            self.handoff.on_claimed(now, event.channel, claimed)
            self._process_effects(now)
            self._on_changed()

        self._port.claim_channel(server, event.channel, event.fence, event.overlap_ms, then)

    # --- leases: acquired and lost ---

    def _on_lease_acquired(self, now: float, channel: str, fence: int) -> None:
        attempt = self._lease_attempts.pop(channel, None)
        self._fences[channel] = fence
        if self.handoff.on_lease_acquired(now, channel, fence):
            self._process_effects(now)
            return
        if channel in self._sessions:  # owned already; a server had a higher fence
            self.replica.own(now, channel, fence, self._sessions[channel].values())
            self._begin_takeover(now, channel, fence, self._sessions[channel])
            return
        replica = self.replica.find_replica(channel) if attempt is not None else None
        if replica is not None and attempt is not None:
            self._pending_takeovers[channel] = (now + attempt.after_ms, fence)
        elif self._is_own(channel) and not self._leaving:
            self._add_channel(now, channel, fence)
        else:
            self._holder.release(now, channel)

    def _take_over_replica(self, now: float, channel: str, fence: int) -> None:
        """Begins a takeover some time after its lease was granted, so that not all begin at once."""
        lease, replica = self._holder.current_lease(now, channel), self.replica.find_replica(channel)
        if lease is None or lease.fence != fence:
            return
        if replica is None:  # meanwhile the owner removed this front from its standbys
            self._holder.release(now, channel)
        else:
            self._begin_takeover(now, channel, fence, dict(replica.statuses))

    def _begin_takeover(
        self, now: float, channel: str, fence: int, statuses: Mapping[str, SessionStatus]
    ) -> None:
        self.handoff.takeover.begin(now, channel, fence, statuses, listed=self._port.server_numbers())
        for session, where in self._channel_by_session.items():  # attempts in flight, too
            if where == channel and session in self._server_by_session:
                self.handoff.takeover.on_attempt_started(channel, session, self._server_by_session[session])
        self._process_effects(now)

    def _request_own_channel(self, now: float, part: int, number: int | None = None) -> None:
        """Requests the channel of a part. The part has no channel if all channel numbers are used up.

        `number` is a channel number that this incarnation has not used; by default that of the part.
        """
        number = part if number is None else number
        if number >= MAX_PARTS:
            self._own_channels.pop(part, None)
            return
        self._own_channels[part] = f"{self.me}:{self.life}/{number}"
        self._holder.want(now, self._own_channels[part])

    def _add_channel(
        self, now: float, channel: str, fence: int, statuses: Iterable[SessionStatus] = ()
    ) -> None:
        """Adds an owned channel.

        Until a takeover settles, its standbys get all `statuses`, including those that are not confirmed yet.
        """
        self._sessions.setdefault(channel, {})
        self._fences[channel] = fence
        self.replica.own(now, channel, fence, statuses)
        self.replica.standbys(now, channel, self._standbys(channel) if statuses else [])

    def _on_lease_lost(self, now: float, channel: str, fence: int, why: str) -> None:
        if why in ("released", "handed"):
            return
        self.handoff.on_lease_lost(now, channel)
        self._pending_takeovers.pop(channel, None)
        self._unsettled.discard(channel)
        statuses = self._sessions.get(channel)
        if statuses is None:
            return
        self._out.add(ChannelChanged(channel, fence, "lost", len(statuses), why))
        if why == "taken" or self._leaving:
            self._relinquish_channel(now, channel, "")
            return
        # The lease expired, perhaps without a new holder, for example because no keeper is reachable. The
        # sessions stay and their viewers get replies, but no session is controlled until this front has the
        # lease again, or another front has it.
        self.replica.cede(now, channel)
        if statuses or self._is_own(channel):
            self._holder.want(now, channel, fence)
        else:
            del self._sessions[channel]

    def _relinquish_channel(self, now: float, channel: str, to: str) -> None:
        """Relinquishes all sessions of a channel to front `to`; empty if the new owner is unknown or none.

        No message is sent about the sessions.
        """
        self._unsettled.discard(channel)
        for session in list(self._sessions.pop(channel, {})):
            self._port.relinquish_session(now, session)
            self._forget(session)
            if to:
                self._relinquished[session] = (to, now + self.rules.relinquished_retention_ms)
                if len(self._relinquished) > self.rules.max_relinquished:
                    del self._relinquished[next(iter(self._relinquished))]
            self._out.add(SessionRelinquished(session, to))
        self.replica.cede(now, channel)
        parsed = parse(channel)
        if parsed is not None and self._is_own(channel) and not self._leaving:
            # The successor owns the channel until its last session ends, so new sessions need another
            # channel.
            self._request_own_channel(now, parsed.part % self.rules.parts, parsed.part + self.rules.parts)

    # --- takeovers ---

    def _on_inherited(self, now: float, event: Inherited) -> None:
        self._add_channel(now, event.channel, event.fence, event.statuses)
        self._unsettled.add(event.channel)

    def _on_settled(self, now: float, event: Settled) -> None:
        statuses = self._sessions.get(event.channel)
        if statuses is None:
            return
        for status in event.take:
            self._adopt_session(now, event.channel, statuses, status)
        if event.channel in self._unsettled:
            self._unsettled.discard(event.channel)
            self._out.add(ChannelChanged(event.channel, event.fence, "inherited", len(event.take)))
        for session in event.over:
            self.replica.end(now, event.channel, session)
        for status in event.gone:
            current = statuses.get(status.session)
            if current is not None and (current.box, current.attempt) == (status.box, status.attempt):
                self._port.on_session_missing(now, status.session, status.attempt)
        for server, session, attempt in event.give_up:
            if (
                self._channel_by_session.get(session) == event.channel
                and self._server_by_session.get(session) == server
            ):
                continue  # this front made the attempt, so it is kept whatever a replica has
            under = (event.channel, event.fence)
            self._port.release_attempt(
                now, server, session, attempt, "nobody can prove that it is wanted", under
            )

    def _adopt_session(
        self, now: float, channel: str, statuses: dict[str, SessionStatus], status: SessionStatus
    ) -> None:
        session = status.session
        self._relinquished.pop(session, None)
        if self._port.has_session(session):
            if self._channel_by_session.get(session) == channel:
                statuses[session] = status
                return
            # The viewer arrived here meanwhile and the session was set up again, so the attempt that was
            # taken over is released.
            under = (channel, self._fences.get(channel, 0))
            self._port.release_attempt(now, status.box, session, status.attempt, "began anew", under)
            self.replica.end(now, channel, session)
            return
        payload = self._port.payload(status.payload) or self.replica.payload_of(status.payload)
        self._channel_by_session[session] = channel
        statuses[session] = status
        if self._port.adopt_session(now, status, payload):
            self.replica.change(now, channel, status)
            self._out.add(SessionAcquired(session, self._fences.get(channel, 0)))
        else:  # its server or its title is unknown
            self._forget(session)
            statuses.pop(session, None)
            self.replica.end(now, channel, session)

    # --- periodic review ---

    def _review(self, now: float) -> None:
        for channel, statuses in self._sessions.items():
            # An empty channel needs no standbys, so that the channels of an idle front cost its peers
            # nothing.
            names = self._standbys(channel) if statuses or self.handoff.takeover.has_begun(channel) else []
            self.replica.standbys(now, channel, names)
        lost = []
        for channel in self.replica.replicated_channels():
            replica = self.replica.find_replica(channel)
            if replica is None or channel in self._lease_attempts:
                continue
            is_owner_dead = replica.owner in self._dead_fronts and replica.owner not in self._fronts
            is_deferred = now < self._deferred_until.get(channel, 0.0)
            if is_owner_dead or (replica.age_ms(now) > self.rules.stale_ms and not is_deferred):
                lost.append(replica)
        self._schedule_lease_attempts(now, lost)
        self._deferred_until = {
            channel: until for channel, until in self._deferred_until.items() if now < until
        }
        self._assign_sessions(now)
        for session in [one for one, (_, until) in self._relinquished.items() if until <= now]:
            del self._relinquished[session]
        # Releases channels that were taken over and are empty now. Own channels are reused.
        for channel, statuses in list(self._sessions.items()):
            busy = self.handoff.takeover.has_begun(channel) or channel in self._channel_by_session.values()
            if not statuses and not self._is_own(channel) and not busy:
                self._sessions.pop(channel)
                self.replica.close_channel(now, channel)
                self._holder.release(now, channel)

    def _schedule_lease_attempts(self, now: float, lost: Iterable[ChannelReplica]) -> None:
        """Schedules requests for the leases of these replicas, in the order of the successors."""
        ranks: dict[str, int] = {}
        candidates: dict[str, ChannelReplica] = {}
        for replica in lost:
            order = self._successors(replica.channel, len(replica.statuses), replica.owner)
            is_taking_over = replica.channel in self._pending_takeovers or self.handoff.takeover.has_begun(
                replica.channel
            )
            can_take_over = not (self._leaving or self._is_shut_out or is_taking_over)
            if (
                can_take_over
                and replica.channel not in self._lease_attempts
                and replica.statuses
                and self.me in order
            ):
                ranks[replica.channel], candidates[replica.channel] = order.index(self.me), replica
        losses = [
            LostChannel(
                channel, len(replica.statuses), tuple({one.box for one in replica.statuses.values()}),
                replica.age_ms(now),
            )
            for channel, replica in candidates.items()
        ]  # fmt: skip
        for turn in schedule_takeovers(0.0, losses, self.rules.spread, self._seed, max(len(self._fronts), 1)):
            # Two fronts that request a lease at once can block each other. So all but the first successor
            # wait until the lease that the owner had at its last message has expired.
            due, rank, owner = now, ranks[turn.channel], candidates[turn.channel].owner
            if rank:
                last_message_at = now - min(
                    candidates[turn.channel].age_ms(now), self.rules.successor_wait_ms
                )
                due = max(now, last_message_at + self.rules.successor_wait_ms) + wait_ms(
                    rank, self.rules.successors
                )
            self._lease_attempts[turn.channel] = _LeaseAttempt(
                owner, now, due, turn.at, is_owner_dead=owner in self._dead_fronts
            )

    def _assign_sessions(self, now: float) -> None:
        """Moves sessions that were set up without a lease into a channel, so that they have successors."""
        if self._leaving or self._is_shut_out or not self._own_channels:
            return
        groups: dict[tuple[str, int], list[SessionStatus]] = {}
        for status in self._unassigned.values():
            parsed = parse(channel_of(self.me, self.life, status.session, self.rules.parts))
            channel = self._own_channels.get(parsed.part, "") if parsed is not None else ""
            if channel in self._sessions and self._holder.current_lease(now, channel) is not None:
                groups.setdefault((channel, status.box), []).append(status)
        for (channel, server), statuses in groups.items():
            lease = self._holder.current_lease(now, channel)
            if lease is not None and self.handoff.may_steer(channel):
                self._claim_for_sessions(channel, lease.fence, server, statuses)

    def _claim_for_sessions(
        self, channel: str, fence: int, server: int, statuses: Sequence[SessionStatus]
    ) -> None:
        def then(now: float, claimed: ClaimResult) -> None:
            lease = self._holder.current_lease(now, channel)
            if not claimed.accepted or lease is None or lease.fence != fence or channel not in self._sessions:
                return
            listed = {(session, attempt) for session, attempt, _ in claimed.sessions}
            for asked in statuses:
                status = self._unassigned.get(asked.session)
                if status is not None and (status.session, status.attempt) in listed:
                    del self._unassigned[status.session]
                    self._channel_by_session[status.session] = channel
                    self.handoff.takeover.on_attempt_started(channel, status.session, status.box)
                    self.on_session_status(now, status)
            self._on_changed()

        adopt = [(status.session, status.attempt) for status in statuses]
        self._port.claim_channel(server, channel, fence, 0.0, then, adopt)

    def _cancel_lease_attempt(self, now: float, channel: str) -> None:
        attempt = self._lease_attempts.pop(channel, None)
        is_taken_over = channel in self._sessions or self.handoff.takeover.has_begun(channel)
        if attempt is not None and attempt.is_requested and not is_taken_over:
            self._holder.release(now, channel)

    def _successors(self, channel: str, sessions: int, owner: str) -> list[str]:
        """Returns the possible successors of an owner: equal at all fronts with the same membership view."""
        others = [one for one in self._fronts.values() if one.name != owner]
        standby_names = standbys(channel, others, self.rules.standbys)
        candidates = [
            Candidate(one.name, one.load, one.age_ms, one.late, one.leaving, one.name in standby_names)
            for one in others
        ]
        return successors(channel, candidates, self.rules.successors, max(sessions, 1))

    def _standbys(self, channel: str) -> list[str]:
        others = [one for one in self._fronts.values() if one.name != self.me]
        return standbys(channel, others, self.rules.standbys)

    def _is_own(self, channel: str) -> bool:
        parsed = parse(channel)
        return (
            parsed is not None and self._own_channels.get(parsed.part % max(self.rules.parts, 1)) == channel
        )

    def _forget(self, session: str) -> str | None:
        self._server_by_session.pop(session, None)
        self._unassigned.pop(session, None)
        return self._channel_by_session.pop(session, None)

    def _remember_channel(self, now: float, session: str, channel: str) -> None:
        """Stores the channel of an ended session, so that a release can be repeated under its fence."""
        self._releasable[session] = (channel, now + self.rules.release_retention_ms)
        self._releasable.move_to_end(session)
        while self._releasable and next(iter(self._releasable.values()))[1] <= now:
            self._releasable.popitem(last=False)
        if len(self._releasable) > self.rules.max_relinquished:
            self._releasable.popitem(last=False)

    def _find_replica(self, session: str) -> ChannelReplica | None:
        for channel in self.replica.replicated_channels():
            replica = self.replica.find_replica(channel)
            if replica is not None and session in replica.statuses:
                return replica
        return None
