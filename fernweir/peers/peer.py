"""Connects the parts of a peer: a state machine without I/O or clock.

A message is passed to the part that handles its type, and an event of one part to the parts that need it. The
parts make the decisions, and act on the front through its port. `take_effects` returns the messages to send.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from fernweir.peers.acts.desk import to_plain as answer_to_plain
from fernweir.peers.acts.heads import Missing, Shortened, Tampered
from fernweir.peers.acts.list_content import ListContent
from fernweir.peers.acts.merge import Answer
from fernweir.peers.acts.messages import KINDS as ACT_KINDS
from fernweir.peers.acts.plan import Question
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.store import Store
from fernweir.peers.acts.versions import Versions
from fernweir.peers.audit_recorder import AuditRecorder, Fault, VersionsObserved
from fernweir.peers.base import Address, Effect, Event, Message, Part, Send
from fernweir.peers.channel.directory import Directory, Found
from fernweir.peers.channel.messages import KINDS as CHANNEL_KINDS
from fernweir.peers.channel.messages import LocateSession, Registered, SessionLocation, Unregistered
from fernweir.peers.channel.rules import DirectoryRules
from fernweir.peers.channel.successor_selection import Candidate
from fernweir.peers.channel_manager import (
    ChannelChanged,
    ChannelManager,
    ChannelManagerRules,
    SessionAcquired,
    SessionRelinquished,
)
from fernweir.peers.facts.messages import KINDS as FACT_KINDS
from fernweir.peers.facts.rules import FactRules
from fernweir.peers.facts.store import Facts
from fernweir.peers.facts.table import Changed as FactChanged
from fernweir.peers.facts.table import Dropped as FactDropped
from fernweir.peers.facts.table import Gone as FactsGone
from fernweir.peers.forward.forwarder import Forwarder, ForwardRules, RequestEnded, RequestReceived
from fernweir.peers.forward.messages import KINDS as FORWARD_KINDS
from fernweir.peers.forward.messages import Carried, Carry
from fernweir.peers.keeper_reconfiguration import KEEPERS, SETTLED, KeeperReconfiguration
from fernweir.peers.late.messages import KINDS as LATE_KINDS
from fernweir.peers.late.rules import LateRules
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
from fernweir.peers.order_estimation import TALLY, OrderEstimator
from fernweir.peers.parts import Parts
from fernweir.peers.port import AuditEvent, AuditRecord, Port, SessionStatus
from fernweir.peers.query_planning import PREFIX, Admitted, QueryPlanner, QueryPlannerRules, refused_to_plain
from fernweir.peers.query_planning import to_plain as estimate_to_plain
from fernweir.peers.session_lookup import (
    LookupRules,
    PendingLookup,
    between_owners_reply,
    choose_destination,
    unreachable_reply,
)
from fernweir.peers.straggler_control import (
    PLEA,
    VERSIONS,
    LogRequested,
    NewSessionsBlocked,
    StragglerControl,
)

KINDS = (MEMBER_KINDS, FACT_KINDS, LEASE_KINDS, CHANNEL_KINDS, FORWARD_KINDS, ACT_KINDS, LATE_KINDS)
_DIRECTORY = (Registered, Unregistered, LocateSession, SessionLocation)
_LOAD, _HEAD = "load", "acts.head"
_NOTICE_INTERVAL_MS = 1_000.0
FAULT_TEXTS: dict[type[Fault], str] = {
    Missing: "record of acts missing",
    Shortened: "record of acts shortened",
    Tampered: "record of acts tampered",
}
"""The log texts for faults of the audit log of a front; operators match these texts."""


class Load(msgspec.Struct, frozen=True, array_like=True):
    """The load of a front, by which successors are chosen.

    It has the number of sessions, the ms since the start, and `leaving` if the front cannot be a successor
    because it stops or has no channels.
    """

    sessions: int
    age_ms: float
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class PeerRules:
    """The settings of a peer. Times are in ms.

    `load_ms` is the interval at which a front publishes its load and the head of its audit log. A front that
    cannot reach any peer accepts new sessions after `join_ms`, like a front without peers.
    """

    keepers: tuple[str, ...]
    keepers_version: int = 1
    load_ms: float = 2_000.0
    join_ms: float = 5_000.0
    members: MemberRules = field(default_factory=MemberRules)
    facts: FactRules = field(default_factory=FactRules)
    lease: LeaseRules = field(default_factory=LeaseRules)
    channels: ChannelManagerRules = field(default_factory=ChannelManagerRules)
    directory: DirectoryRules = field(default_factory=DirectoryRules)
    forward: ForwardRules = field(default_factory=ForwardRules)
    lookup: LookupRules = field(default_factory=LookupRules)
    acts: ActRules = field(default_factory=ActRules)
    late: LateRules = field(default_factory=LateRules)
    query_planner: QueryPlannerRules = field(default_factory=QueryPlannerRules)


@dataclass(frozen=True, slots=True)
class IncarnationSuperseded(Event):
    """The peers know this name in a higher incarnation `life`, so this front must continue under that one."""

    life: int


@dataclass(frozen=True, slots=True)
class PeerGone(Event):
    """A peer is gone: the links must not keep messages for it."""

    name: str


@dataclass(frozen=True, slots=True)
class LogRecord(Event):
    """A record for the log of the front: the event and its fields."""

    text: str
    fields: Mapping[str, object] = field(default_factory=dict)


class Peer:
    """The state machine of a front among its peers.

    Args:
        me: The identity of this front.
        rules: The settings.
        port: The operations of the front.
        seed: The seed of all random numbers.
        now: The current time in ms.
        changed: Called when effects are available outside a call by the driver.
        versions: The versions at the start of this front.
        wall_ms: Returns the offset of the wall clock from `now`.
        store: Stores audit logs beyond this incarnation of the front.
    """

    def __init__(
        self, me: Me, rules: PeerRules, port: Port, seed: int, now: float, changed: Callable[[], None],
        versions: Versions, wall_ms: Callable[[], float], store: Store | None = None,
    ) -> None:  # fmt: skip
        self.me, self.rules, self._port = me, rules, port
        self._started_at = now
        self._now = now
        self._effects: list[Effect] = []
        first = KeeperSet(rules.keepers_version, rules.keepers)
        sets = (first,)
        self.members = Members(me, rules.members, seed)
        self.facts = Facts(me.name, me.life, rules.facts, seed)
        self.holder = Holder(me.name, me.life, rules.lease, seed, sets)
        self.keeper = Keeper(me.name, me.life, rules.lease, now, sets)  # unused unless configured
        self.keeper_sets = KeeperReconfiguration(me.name, self.facts, self.holder, self.keeper, first)
        self.channels = ChannelManager(
            me.name, me.life, rules.channels, self.holder, port, seed, self._on_claim_reply
        )
        self.directory = Directory(me.name, me.life, rules.directory, seed)
        self.forwarder = Forwarder(rules.forward)
        store = store or Store(me.name, rules.acts)
        self.audit = AuditRecorder(me.name, me.life, rules.acts, seed, versions, wall_ms, store)
        self._wall_ms = wall_ms
        self.query_planner = QueryPlanner(me.name, me.life, rules.query_planner, now, self.audit.clocks)
        self.order_estimator = OrderEstimator(me.name, me.life, port, now)
        self.stragglers = StragglerControl(
            me.name, me.life, rules.late, now, self.facts, self.keeper, rules.keepers, port, versions
        )
        keeper_parts: tuple[Part, ...] = (self.keeper,)
        self._parts = Parts(
            (self.members, self.facts, self.holder, self.channels, self.directory, self.forwarder,
             self.audit, self.stragglers, *keeper_parts),
            {self.channels: (self.holder,), self.stragglers: (self.facts, *keeper_parts)},
        )  # fmt: skip
        self._touch = self._parts.touch
        self._routes: dict[type[Message], tuple[Part, ...]] = {}
        leases: tuple[Part, ...] = (self.holder, *keeper_parts)
        for kinds, handlers in (
            (MEMBER_KINDS, (self.members,)), (FACT_KINDS, (self.facts,)), (LEASE_KINDS, leases),
            (CHANNEL_KINDS, (self.channels,)), (_DIRECTORY, (self.directory,)),
            (FORWARD_KINDS, (self.forwarder,)), (ACT_KINDS, (self.audit,)),
            (LATE_KINDS, (self.stragglers,)),
        ):  # fmt: skip
            self._routes.update(dict.fromkeys(kinds, handlers))
        self._pending_lookups: dict[str, list[PendingLookup]] = {}
        self._forwarded: dict[int, PendingLookup] = {}
        self._next_publish_at = now
        self._published_load: Load | None = None
        self._join_deadline: float | None = None
        self._block_reasons: dict[str, tuple[str, float]] = {}  # reason and wait, by cause
        self._conflict_notified_until: dict[str, float] = {}
        self._known_lives: dict[str, int] = {}  # last incarnation of each peer
        self._list_content = ListContent()
        self._draining: set[int] = set()  # the numbers of servers
        self._started = self._leaving = self._displaced = False
        self._has_channels = rules.channels.parts > 0  # else sessions cannot move between fronts
        self._on_changed = changed
        port.set_listener(self)

    # --- calls of the front's program ---

    def start(self, now: float, seeds: Sequence[Address]) -> None:
        """Joins the fleet, and requests the leases of the channels."""
        self._touch(self.members).join(now, seeds)
        # Until the front has joined, a session that plays at a peer would be set up here again.
        if seeds and self._has_channels:
            self._join_deadline = now + self.rules.join_ms
            self._set_block_reason("join", "joining its peers", _NOTICE_INTERVAL_MS)
        self._touch(self.stragglers).set_own_versions(now, self.audit.versions, urgent=False)
        self._touch(self.channels).start(now)
        self._touch(self.facts)
        self.keeper_sets.start(now)
        self._started = True
        self._process_effects(now)

    def on_stall(self, now: float, late_ms: float) -> None:
        """Records that the timer of the driver was `late_ms` late: this front stalled or is slow."""
        self._touch(self.members).on_stall(now, late_ms)

    def drain(self, now: float) -> None:
        """Hands off all channels. `is_drained` is True when that is done; `shutdown` comes after it."""
        self._leaving = True
        self._publish_load(now)
        self._touch(self.channels).drain(now)
        self._process_effects(now)

    @property
    def is_drained(self) -> bool:
        """Whether all hand-offs have ended after `drain`."""
        return self.channels.is_drained

    def shutdown(self, now: float) -> None:
        """Completes the audit log, and leaves the members."""
        self._touch(self.audit).close(now)
        self._publish_head(now, urgent=True)
        self._touch(self.members).leave(now)
        self._process_effects(now)

    def on_stale_sender(self, now: float, name: str, address: Address | None = None) -> None:
        """Notifies a front that sends under an outdated incarnation, for example after a clock was set back.

        Its messages are discarded until it continues under a higher incarnation. The notice goes to the
        address that it sent from, at most once a second: if two fronts have the same name, the known address
        is that of the other one.
        """
        member = self.members.table().get(name)
        if member is None or now < self._conflict_notified_until.get(name, 0.0):
            return
        if len(self._conflict_notified_until) >= self.rules.members.max_members:
            self._conflict_notified_until.clear()
        self._conflict_notified_until[name] = now + _NOTICE_INTERVAL_MS
        self._effects.append(Send(address or member.address, Gossip((member.record,))))

    def lives(self) -> Mapping[str, int]:
        """Returns the live fronts with their incarnations."""
        return {name: self.members.life(name) for name in self.members.alive()}

    def fence(self, now: float, session: str) -> tuple[str, int] | None:
        """Returns the channel and fence under which a session may be controlled now, or None."""
        return self.channels.fence(now, session)

    def query(self, now: float, question: Question, then: Callable[[dict[str, Any]], None]) -> None:
        """Queries the audit logs of all fronts within a budget; `then` is called once with the JSON reply."""
        admitted = self.query_planner.admit(now, question, self._wall_ms(), self.rules.acts.deadline_ms)
        if not isinstance(admitted, Admitted):
            then(refused_to_plain(admitted, self._wall_ms()))
            return

        def on_answer(answer: Answer) -> None:
            failed = self.query_planner.settle(self._now, admitted, answer)
            estimate = {**estimate_to_plain(admitted.estimate), "failed": failed}
            then({**answer_to_plain(answer), "estimate": estimate})

        asked = self._touch(self.audit).query(
            now, question, self.lives(), on_answer, admitted.planned, admitted.budget, admitted.known
        )
        if not asked:
            self.query_planner.settle(now, admitted, Answer(question, self._wall_ms()))
            then({"ok": False, "error": "as many questions run already as may: ask again later"})
        self._process_effects(now)

    def estimate_order(self, now: float, order: Mapping[str, Any]) -> dict[str, Any]:
        """Returns the estimated impact of an order as JSON data."""
        return self.order_estimator.estimate(now, order, self.lives())

    def find(self, now: float, request: Carry, then: Callable[[float, Carried | None], None]) -> None:
        """Finds the owner of a session that this front lacks, and forwards the request to it.

        `then` is called once with the reply, or with None if the session may be set up here.
        """
        lookup = PendingLookup(request, now, then)
        if not self._route_request(now, lookup, None, asked=False):
            waiting = self._pending_lookups.setdefault(request.session, [])
            waiting.append(lookup)
            if len(waiting) == 1:
                self._touch(self.directory).find(now, request.session)
        self._process_effects(now)

    def close(self, now: float) -> list[PendingLookup]:
        """Ends this incarnation and returns the pending lookups for the next one.

        A forwarded request may have been executed, so its viewer has to retry. Queries of operators end with
        the results that have arrived.
        """
        self.audit.questions.close(now)
        self.audit.take_effects()
        pending = [one for waiting in self._pending_lookups.values() for one in waiting]
        carried, self._pending_lookups, self._forwarded = self._forwarded, {}, {}
        for number, lookup in carried.items():
            lookup.then(now, unreachable_reply(self.rules.lookup, number))
        return pending

    # --- calls of the driver ---

    def on_message(self, now: float, sender: str, life: int, message: Message) -> None:
        """Handles a message. Its effects wait for `take_effects`, since messages arrive in batches."""
        self._now = max(self._now, now)
        self._route(now, sender, message)

    def tick(self, now: float) -> None:
        if self._join_deadline is not None and now >= self._join_deadline:
            self._on_joined()
        if now >= self._next_publish_at:
            self._next_publish_at = now + self.rules.load_ms
            self._publish_load(now)
            self._update_candidates(now)
            self._update_keepers(now)
            self._publish_head(now, urgent=False)
            tally = self.order_estimator.publish(now, self.audit.versions.epoch)
            if tally is not None:
                self._touch(self.facts).put(now, TALLY, tally)
            changed, dropped = self.query_planner.publish(now)
            for key, data in changed.items():
                self._touch(self.facts).put(now, key, data)
            for key in dropped:
                self._touch(self.facts).drop(now, key)
            # A front that requests no lease is not partitioned because it has none.
            leases = not self._has_channels or bool(self.holder.current_leases(now))
            self._touch(self.stragglers).on_lease_status(now, leases)
        self._parts.tick(now)
        self._process_effects(now)

    def next_deadline(self) -> float | None:
        first = (
            self._next_publish_at
            if self._join_deadline is None
            else min(self._next_publish_at, self._join_deadline)
        )
        due = self._parts.next_deadline()
        return first if due is None else min(first, due)

    def take_effects(self) -> list[Effect]:
        """Returns the messages to send and the events for the driver, and removes them."""
        self._process_effects(self._now)
        out, self._effects = self._effects, []
        return out

    # --- notifications of the front (port.Listener) ---

    def on_session_status(self, now: float, standing: SessionStatus) -> None:
        self._touch(self.channels).on_session_status(now, standing)
        self.query_planner.on_session_status(now, standing)
        self.order_estimator.on_session_status(now, standing, self.channels.channel_for(standing.session))
        if not self.channels.is_in_channel(standing.session):  # else `SessionAcquired` registers it
            self._touch(self.directory).register(now, standing.session)
        self._on_changed()

    def on_session_ended(self, now: float, session: str) -> None:
        self._touch(self.channels).on_session_ended(now, session)
        self._touch(self.directory).unregister(now, session)
        self.query_planner.on_session_ended(now, session)
        self.order_estimator.on_session_ended(now, session)
        self._on_changed()

    def on_session_failed(self, now: float, session: str) -> None:
        if self._touch(self.channels).on_attempt_failed(now, session):
            self._touch(self.directory).unregister(now, session)
            self._on_changed()

    def on_audit_record(self, record: AuditRecord) -> None:
        self._record(record)
        if record.deed is AuditEvent.SETUP and self._has_channels:
            # Registered before the request is sent, so that no other front sets up the session.
            self._touch(self.channels).on_attempt_started(record.at, record.session, record.box)
            self._touch(self.directory).register(record.at, record.session)
        self._on_changed()  # the driver has to schedule the replication of the block

    def _record(self, record: AuditRecord) -> None:
        self._touch(self.audit).add(record)
        self.query_planner.add_audit_record(record, self.audit.versions)

    def on_endpoint_list(self, now: float, rows: Sequence[tuple[int, Any]], told_at: float) -> None:
        has_removals = self._list_content.replace(rows)
        draining = {number for number, row in rows if _is_draining(number, row)}
        has_drains = len(draining) > len(self._draining)
        self._draining = draining
        self._publish_list(now, told_at, is_urgent=has_removals or has_drains)

    def on_endpoint_list_changed(
        self, now: float, rows: Sequence[tuple[int, Any]], removed: Sequence[int], told_at: float
    ) -> None:
        has_removals = self._list_content.update(rows, removed)
        draining_count = len(self._draining)
        self._draining.difference_update(removed)
        for number, row in rows:
            if _is_draining(number, row):
                self._draining.add(number)
            else:
                self._draining.discard(number)
        has_drains = len(self._draining) > draining_count
        self._publish_list(now, told_at, is_urgent=has_removals or has_drains)

    def _publish_list(self, now: float, told_at: float, *, is_urgent: bool) -> None:
        self._touch(self.audit).on_endpoint_list(self._list_content.digest(), told_at)
        self._touch(self.stragglers).set_own_versions(now, self.audit.versions, is_urgent)
        self._on_changed()

    # --- messages and events ---

    def _route(self, now: float, sender: str, message: Message) -> None:
        for part in self._routes.get(type(message), ()):
            self._touch(part).on_message(now, sender, message)

    def _process_effects(self, now: float) -> None:
        """Handles events until none is left. Messages to this front itself are delivered immediately."""
        self._now = max(self._now, now)
        while self._parts.has_effects:
            if self._parts.may_have_effects(self.stragglers):
                self._touch(self.stragglers).run(now)
            if self._parts.may_have_effects(self.channels):
                self._touch(self.channels).run(now)
            for effect in self._parts.take_effects():
                if isinstance(effect, Event):
                    self._handle_event(now, effect)
                elif effect.to == self.me.name:
                    self._route(now, self.me.name, effect.message)
                else:
                    self._effects.append(effect)

    def _handle_event(self, now: float, event: Event) -> None:
        if isinstance(event, LeaseAcquired | LeaseRenewed | LeaseLost | LeaseUnavailable):
            self._touch(self.channels).on_lease_event(now, event)
            if isinstance(event, LeaseAcquired):
                self._record(AuditRecord(now, AuditEvent.LEASE, outcome=event.lease.channel))
        elif isinstance(event, Joined) and event.name == self.me.name:
            self._effects.append(IncarnationSuperseded(event.life))
        elif isinstance(event, Joined):
            self._on_joined()
            self._on_peer_restarted(now, event.name, event.life)
            self._members_changed(now)
            self._log("peer joined", name=event.name)
        elif isinstance(event, Died | Left):
            self._on_peer_gone(now, event.name, event.life, isinstance(event, Died))
        elif isinstance(event, Clash):
            self._log("another front has this name", address=f"{event.address[0]}:{event.address[1]}")
        elif isinstance(event, SessionAcquired):
            self._touch(self.directory).register(now, event.session, event.fence)
        elif isinstance(event, SessionRelinquished):
            self._touch(self.directory).cede(event.session)
            self.query_planner.on_session_ended(now, event.session)
            self.order_estimator.on_session_ended(now, event.session)
        elif isinstance(event, ChannelChanged):
            outcome = f"{event.what} {event.channel}"[:200]
            self._record(AuditRecord(now, AuditEvent.HANDOFF, outcome=outcome))
            self._log(
                f"channel {event.what}", channel=event.channel, fence=event.fence, sessions=event.sessions,
                other=event.other,
            )  # fmt: skip
        elif isinstance(event, Found):
            for lookup in self._pending_lookups.pop(event.session, []):
                self._route_request(now, lookup, event.owner, lost=event.lost, asked=True)
        elif isinstance(event, RequestReceived):
            self._execute_request(event)
        elif isinstance(event, RequestEnded):
            forwarded = self._forwarded.pop(event.number, None)
            if forwarded is not None:
                self._on_forward_reply(now, forwarded, event)
        elif isinstance(event, FactChanged):
            key, value = event.fact.key, event.fact.value
            if key == _HEAD:
                self._touch(self.audit).on_head(now, event.owner, event.life, value)
            elif key in (VERSIONS, PLEA):
                self._touch(self.stragglers).on_fact(now, event.owner, key, value)
            elif key in (KEEPERS, SETTLED):
                self._update_keepers(now, event.owner, key, value)
            elif key == TALLY:
                self.order_estimator.on_load(now, event.owner, event.life, value)
            elif key.startswith(PREFIX):
                self.query_planner.on_summary(now, event.owner, event.life, key, value)
        elif isinstance(event, FactDropped):
            if event.key.startswith(PREFIX):
                self.query_planner.on_summary_dropped(event.owner, event.key)
        elif isinstance(event, FactsGone):
            self.query_planner.on_front_gone(event.owner)
            self.order_estimator.on_front_gone(event.owner)
        elif isinstance(event, VersionsObserved):
            self._touch(self.stragglers).on_peer_versions(now, event.owner, event.versions, event.age_ms)
        elif isinstance(event, NewSessionsBlocked):
            self._set_block_reason("late", event.why, event.wait_ms)
            self._touch(self.channels).on_shut_out(now, not event.why)
        elif isinstance(event, LogRequested):
            self._log(event.text, **event.fields)
            if event.shut_out:
                self._record(AuditRecord(now, AuditEvent.SHUTOUT, outcome=event.shut_out))
        elif isinstance(event, Fault):
            self._log(FAULT_TEXTS[type(event)], owner=event.owner, life=event.life)
        elif isinstance(event, Suspected | Cleared):
            self._log("peer suspected" if isinstance(event, Suspected) else "peer cleared", name=event.name)

    def _on_claim_reply(self) -> None:
        """A server has replied to a claim."""
        self._touch(self.channels)
        self._on_changed()

    def _log(self, text: str, **fields: object) -> None:
        self._effects.append(LogRecord(text, fields))

    # --- members ---

    def _on_joined(self) -> None:
        if self._join_deadline is not None:
            self._join_deadline = None
            self._set_block_reason("join", "", 0.0)

    def _set_block_reason(self, cause: str, why: str, wait_ms: float) -> None:
        """Blocks new sessions as long as any cause has a reason."""
        if why:
            self._block_reasons[cause] = (why, wait_ms)
        else:
            self._block_reasons.pop(cause, None)
        self._port.block_new_sessions(*next(iter(self._block_reasons.values()), ("", 0.0)))

    def _members_changed(self, now: float) -> None:
        alive = self.members.alive()
        others = [name for name in alive if name != self.me.name]
        self._touch(self.facts).set_peers(now, others)
        lives = self.lives()
        self._touch(self.directory).members(now, lives)
        self._touch(self.audit).update_members(now, lives)
        self._touch(self.stragglers).update_fronts(now, lives)
        self.query_planner.update_fronts(lives)
        self._update_candidates(now)

    def _on_peer_restarted(self, now: float, name: str, life: int) -> None:
        """Handles a restarted peer whose previous process ended without being detected."""
        before, self._known_lives[name] = self._known_lives.get(name, life), life
        if before != life:
            self._touch(self.channels).on_front_died(now, name)
            self._touch(self.forwarder).on_front_gone(now, name)
            self._touch(self.audit).on_front_gone(now, name)

    def _on_peer_gone(self, now: float, name: str, life: int, died: bool) -> None:
        if name in self.members.alive() and self.members.life(name) != life:
            return  # an earlier incarnation
        self._known_lives.pop(name, None)
        self._members_changed(now)
        self._effects.append(PeerGone(name))
        self._touch(self.channels).on_front_died(now, name)
        self._touch(self.forwarder).on_front_gone(now, name)
        self._touch(self.audit).on_front_gone(now, name)
        self._log("peer died" if died else "peer left", name=name)

    def _update_candidates(self, now: float) -> None:
        if self.members.displaced != self._displaced:
            # Of two fronts with one name, the one with the lower incarnation accepts no new session until the
            # other one is gone.
            self._displaced = self.members.displaced
            self._set_block_reason(
                "name", "another front has this name" if self._displaced else "", _NOTICE_INTERVAL_MS
            )
        self._touch(self.channels).update_fronts(
            now, [self._candidate(now, name) for name in self.members.alive()]
        )

    def _candidate(self, now: float, name: str) -> Candidate:
        if name == self.me.name:  # as published: all fronts need the same order of successors
            sessions = self._published_load.sessions if self._published_load is not None else 0
            return Candidate(name, sessions, now - self._started_at, leaving=self._rejects_channels)
        late = name in self.stragglers.shut_out_fronts()
        fact = self.facts.get(name, _LOAD)
        if fact is None:
            return Candidate(name, 0, 0.0, late=late)
        try:
            load = msgspec.msgpack.decode(fact.value, type=Load)
        except msgspec.DecodeError:
            return Candidate(name, 0, 0.0, late=late)
        age = load.age_ms + max(now - fact.at, 0.0)
        return Candidate(name, max(load.sessions, 0), max(age, 0.0), late=late, leaving=load.leaving)

    def _update_keepers(self, now: float, owner: str = "", key: str = "", value: bytes = b"") -> None:
        """Updates the set of keepers, from a fact of a peer or because a new set has settled."""
        for part in (self.holder, self.keeper, self.facts):
            self._touch(part)
        if not key:
            self.keeper_sets.update(now)
        elif self.keeper_sets.on_fact(now, owner, key, value):
            self._log("keepers are replaced", by=", ".join(self.keeper_sets.names))
            self._touch(self.stragglers).update_keepers(now, self.keeper_sets.names)

    def _publish_load(self, now: float) -> None:
        """Publishes the load if it changed enough to matter, since every fact is sent to all fronts."""
        sessions, published = self._port.session_count(), self._published_load
        is_similar = published is not None and abs(published.sessions - sessions) <= max(
            4, published.sessions // 8
        )
        if published is None or not is_similar or published.leaving != self._rejects_channels:
            self._published_load = Load(sessions, now - self._started_at, self._rejects_channels)
            self._touch(self.facts).put(
                now, _LOAD, msgspec.msgpack.encode(self._published_load), urgent=self._leaving
            )

    @property
    def _rejects_channels(self) -> bool:
        """Whether this front cannot be a successor."""
        return self._leaving or not self._has_channels

    def _publish_head(self, now: float, urgent: bool) -> None:
        head = self._touch(self.audit).take_changed_head(now)
        if head is not None:
            self._touch(self.facts).put(now, _HEAD, head, urgent)

    # --- requests for sessions of other fronts ---

    def _route_request(
        self, now: float, lookup: PendingLookup, registered: str | None, *, lost: bool = False, asked: bool
    ) -> bool:
        """Forwards or ends a request. Returns False if its destination is not known yet."""
        session, rules = lookup.request.session, self.rules.lookup
        alive = self.members.alive()
        destination = choose_destination(
            rules, me=self.me.name, alive=alive.__contains__,
            known_owner=self.channels.likely_owner(now, session),
            is_between_owners=self.channels.is_between_owners(session), registered=registered,
            is_owner_lost=lost, has_asked_registrars=asked,
        )  # fmt: skip
        if destination is None:
            return False
        if destination.front:
            self._forward_request(now, lookup, destination.front)
        else:
            number = lookup.request.number
            lookup.then(now, between_owners_reply(rules, number) if destination.wait_ms else None)
        return True

    def _forward_request(self, now: float, lookup: PendingLookup, front: str) -> None:
        lookup.hops += 1
        number = self.forwarder.next_number()
        wait = max(lookup.request.wait_ms - (now - lookup.started_at), 0.0)
        request = msgspec.structs.replace(lookup.request, number=number, wait_ms=wait)
        if lookup.hops <= self.rules.lookup.max_hops and self._touch(self.forwarder).send_request(
            now, front, request
        ):
            self._forwarded[number] = lookup
        else:
            lookup.then(now, unreachable_reply(self.rules.lookup, number))

    def _on_forward_reply(self, now: float, lookup: PendingLookup, event: RequestEnded) -> None:
        answer = event.answer
        if answer is None:
            answer = unreachable_reply(self.rules.lookup, event.number)
        elif answer.kind == "elsewhere":
            if answer.why in self.members.alive() and answer.why != self.me.name:
                self._forward_request(now, lookup, answer.why)
                return
            answer = between_owners_reply(self.rules.lookup, event.number)
        elif answer.kind == "none" and self.channels.has_recent_replica(now, lookup.request.session):
            # The owner was restarted and lost the session. A successor will take it over.
            answer = between_owners_reply(self.rules.lookup, event.number)
        lookup.then(now, None if answer.kind == "none" else answer)

    def _execute_request(self, event: RequestReceived) -> None:
        def then(now: float, carried: Carried) -> None:
            if carried.kind == "none":
                carried = self._reply_for_missing_session(now, carried, event.request.session)
            self._touch(self.forwarder).send_reply(now, event.sender, event.request.number, carried)
            self._on_changed()

        self._port.execute_forwarded(event.request, then)

    def _reply_for_missing_session(self, now: float, carried: Carried, session: str) -> Carried:
        """Returns the reply to a forwarded request for a session that this front lacks."""
        if self.channels.is_between_owners(session):
            return between_owners_reply(self.rules.lookup, carried.number)
        known_owner = self.channels.likely_owner(now, session)
        return (
            carried
            if known_owner is None
            else msgspec.structs.replace(carried, kind="elsewhere", why=known_owner)
        )


def _is_draining(number: int, row: Sequence[object]) -> bool:
    """Whether a row of the endpoint list is that of a draining server."""
    return number >= 0 and row[0] == "draining"
