"""The source of a planned hand-off; see `handoff`."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from fernweir.peers.base import Event, Message, Outbox, Send
from fernweir.peers.channel.messages import (
    Accept,
    Cancel,
    Decline,
    HandoffAck,
    HandoffCommit,
    HandoffPart,
    HandoffUpdate,
    Offer,
    TargetActive,
)
from fernweir.peers.channel.owned import size_of
from fernweir.peers.channel.rules import HandoffRules
from fernweir.peers.port import SessionStatus

_PARTS_IN_FLIGHT = 8
_UPDATES_IN_FLIGHT = 64


class Step(Enum):
    WAITING = "waiting"  # for an earlier hand-off to finish
    OFFERED = "offered"
    TRANSFERRING = "moving"  # accepted, parts in transfer; the source still steers
    FROZEN = "frozen"  # the front stops steering and reports attempts in flight
    HANDED = "handed"  # the lease is released, attempts in flight are finished
    RECLAIMING = "back"  # the target is not active: the source requests the lease again


@dataclass(frozen=True, slots=True)
class Freeze(Event):
    """The target has all parts: stop steering, and call `on_frozen` with the sessions in flight."""

    channel: str


@dataclass(frozen=True, slots=True)
class ReleaseLease(Event):
    """Release the lease."""

    channel: str
    fence: int


@dataclass(frozen=True, slots=True)
class WantLease(Event):
    """Acquire the lease under a fence above `floor`; then call `on_lease_acquired` or `on_lease_taken`."""

    channel: str
    floor: int


@dataclass(frozen=True, slots=True)
class AbandonLease(Event):
    """Stop requesting the lease, and release it if it is granted anyway."""

    channel: str


@dataclass(frozen=True, slots=True)
class TargetActivated(Event):
    """The target is active under this fence."""

    channel: str
    target: str
    fence: int


@dataclass(frozen=True, slots=True)
class OverlapOver(Event):
    """The overlap has ended: this front no longer finishes attempts of the channel."""

    channel: str


@dataclass(frozen=True, slots=True)
class HandoffFinished(Event):
    """The hand-off is complete, and the target has all updates."""

    channel: str
    target: str


@dataclass(frozen=True, slots=True)
class LeaseReclaimed(Event):
    """The target did not become active, and the lease is back: take the channel over like any other."""

    channel: str
    fence: int
    statuses: tuple[SessionStatus, ...]


@dataclass(frozen=True, slots=True)
class NoSuccessor(Event):
    """No successor accepted the channel: this front owns and steers it as before."""

    channel: str


@dataclass(frozen=True, slots=True)
class Lapsed(Event):
    """The hand-off failed without an owner: the channel is left to an unplanned takeover."""

    channel: str
    why: str


@dataclass(slots=True)
class _OutgoingHandoff:
    channel: str
    fence: int
    successors: deque[str]
    statuses: dict[str, SessionStatus]
    step: Step = Step.WAITING
    target: str = ""
    offer: int = 0
    step_deadline: float = 0.0  # timeout of this step
    retry_at: float = 0.0
    parts: list[list[SessionStatus]] = field(default_factory=list)
    parts_acked: int = 0
    updates: list[tuple[str, SessionStatus | None]] = field(default_factory=list)
    updates_acked: int = 0
    committed_updates: int = 0
    in_flight: list[str] = field(default_factory=list)
    released_at: float = 0.0
    target_fence: int = 0  # the fence of the target once it is active, else 0
    floor: int = 0  # the fence of the reclaimed lease must be above this
    overlap_reported: bool = False
    target_left: bool = False


class HandoffSource:
    """All outgoing hand-offs of this front."""

    def __init__(self, rules: HandoffRules, rng: Random, out: Outbox) -> None:
        self.rules, self._rng, self._out = rules, rng, out
        self._handoffs: dict[str, _OutgoingHandoff] = {}

    def offer(
        self,
        now: float,
        channel: str,
        fence: int,
        statuses: Mapping[str, SessionStatus],
        successors: Sequence[str],
    ) -> bool:
        if channel in self._handoffs:
            return False
        self._handoffs[channel] = _OutgoingHandoff(channel, fence, deque(successors), dict(statuses))
        self._start_waiting(now)
        return True

    def change(self, now: float, channel: str, session: str, status: SessionStatus | None) -> None:
        """Records a change of a session in a hand-off; without a status the session has ended."""
        handoff = self._handoffs.get(channel)
        if handoff is not None:
            self._record_change(handoff, session, status)
            if handoff.retry_at <= now:
                handoff.retry_at = now + self.rules.resend_ms

    def on_settled(self, channel: str, take: Iterable[SessionStatus], over: Iterable[str]) -> None:
        """Records decisions about sessions that were in doubt when the channel was offered."""
        handoff = self._handoffs.get(channel)
        if handoff is not None:
            for status in take:
                self._record_change(handoff, status.session, status)
            for session in over:
                self._record_change(handoff, session, None)

    def _record_change(self, handoff: _OutgoingHandoff, session: str, status: SessionStatus | None) -> None:
        if status is None:
            handoff.statuses.pop(session, None)
        else:
            handoff.statuses[session] = status
        if handoff.step not in (Step.WAITING, Step.OFFERED):
            handoff.updates.append((session, status))
            if len(handoff.updates) <= handoff.updates_acked + _UPDATES_IN_FLIGHT:
                self._send_update(handoff, len(handoff.updates) - 1)

    def on_frozen(self, now: float, channel: str, out: Iterable[str]) -> None:
        handoff = self._handoffs.get(channel)
        if handoff is None or handoff.step is not Step.FROZEN:
            return
        handoff.step, handoff.released_at, handoff.in_flight = (
            Step.HANDED,
            now,
            list(out)[: self.rules.max_sessions],
        )
        handoff.step_deadline, handoff.committed_updates = (
            now + self.rules.activation_timeout_ms,
            len(handoff.updates),
        )
        self._out.add(ReleaseLease(channel, handoff.fence))
        self._send_commit(now, handoff)

    def cancel(self, now: float, channel: str, why: str) -> bool:
        """Cancels an offer. Returns False if the lease was released already, or there is no offer."""
        handoff = self._handoffs.get(channel)
        if handoff is None or handoff.step in (Step.HANDED, Step.RECLAIMING):
            return False
        self._cancel(handoff, why)
        del self._handoffs[channel]
        self._start_waiting(now)
        return True

    def may_steer(self, channel: str) -> bool | None:
        """Whether the hand-off permits steering; None if the channel is not in hand-off."""
        handoff = self._handoffs.get(channel)
        return None if handoff is None else handoff.step in (Step.WAITING, Step.OFFERED, Step.TRANSFERRING)

    def may_finish(self, now: float, channel: str) -> bool:
        handoff = self._handoffs.get(channel)
        return (
            handoff is not None
            and handoff.step in (Step.HANDED, Step.RECLAIMING)
            and now < handoff.released_at + self.rules.overlap_ms
        )

    def channels(self) -> list[str]:
        return list(self._handoffs)

    # --- leases and membership ---

    def on_lease_acquired(self, now: float, channel: str, fence: int) -> bool:
        handoff = self._handoffs.get(channel)
        if handoff is None or handoff.step is not Step.RECLAIMING or fence <= handoff.floor:
            return False
        self._cancel(handoff, "taken back")
        self._forget(now, handoff)
        self._out.add(LeaseReclaimed(channel, fence, tuple(handoff.statuses.values())))
        return True

    def on_lease_taken(self, now: float, channel: str, by: str, fence: int) -> None:
        """Another front has the lease that was requested again.

        It is a standby, which starts from its own replica, or the target, which may be delayed. The updates
        are stored here until that front is active.
        """
        handoff = self._handoffs.get(channel)
        if (
            handoff is not None
            and handoff.step is Step.RECLAIMING
            and fence > handoff.fence
            and by != handoff.target
        ):
            handoff.target_left = True
            self._on_target_active(now, handoff, by, fence)

    def on_lease_lost(self, now: float, channel: str) -> None:
        """The lease was lost without a release: the hand-off cannot continue."""
        handoff = self._handoffs.get(channel)
        if handoff is not None and handoff.step not in (Step.HANDED, Step.RECLAIMING):
            self._cancel(handoff, "lease lost")
            self._forget(now, handoff)
            self._out.add(Lapsed(channel, "lease lost"))

    def on_peer_died(self, now: float, name: str) -> None:
        for handoff in list(self._handoffs.values()):
            if handoff.target != name:
                continue
            if handoff.step in (Step.OFFERED, Step.TRANSFERRING, Step.FROZEN):
                self._offer_next(now, handoff)
            elif handoff.step is Step.HANDED:
                self._reclaim_lease(now, handoff)

    # --- messages ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if not isinstance(message, Accept | Decline | HandoffAck | TargetActive | Cancel):
            return
        handoff = self._handoffs.get(message.channel)
        if handoff is None or handoff.offer != message.offer or handoff.target != sender:
            if isinstance(message, Accept):
                self._out.add(Send(sender, Cancel(message.channel, message.offer, "not offered")))
            return
        if isinstance(message, Accept):
            if handoff.step is Step.OFFERED:
                self._start_transfer(now, handoff)
        elif isinstance(message, Decline | Cancel):
            self._on_rejected(now, handoff, message)
        elif isinstance(message, HandoffAck):
            self._on_ack(now, handoff, message)
        elif message.fence > handoff.fence and handoff.step in (Step.HANDED, Step.RECLAIMING):
            self._on_target_active(now, handoff, sender, message.fence)

    def _on_rejected(self, now: float, handoff: _OutgoingHandoff, message: Decline | Cancel) -> None:
        if handoff.step in (Step.OFFERED, Step.TRANSFERRING, Step.FROZEN):
            self._offer_next(now, handoff)
        elif isinstance(message, Cancel) and handoff.step is Step.HANDED:
            if handoff.target_fence:
                handoff.target_left = True
            else:
                self._reclaim_lease(now, handoff)

    def _on_ack(self, now: float, handoff: _OutgoingHandoff, ack: HandoffAck) -> None:
        handoff.parts_acked = max(handoff.parts_acked, min(ack.parts, len(handoff.parts)))
        handoff.updates_acked = max(handoff.updates_acked, min(ack.updates, len(handoff.updates)))
        if handoff.step is Step.HANDED:
            self._check_overlap(now, handoff)
        if handoff.step is not Step.TRANSFERRING:
            return
        if handoff.parts_acked == len(handoff.parts):
            handoff.step = Step.FROZEN
            self._out.add(Freeze(handoff.channel))
        elif ack.parts % _PARTS_IN_FLIGHT == 0:
            self._send_parts(handoff)

    def _on_target_active(self, now: float, handoff: _OutgoingHandoff, target: str, fence: int) -> None:
        if handoff.target_fence:
            return
        if handoff.step is Step.RECLAIMING:
            self._out.add(AbandonLease(handoff.channel))
        handoff.step, handoff.target_fence, handoff.target = Step.HANDED, fence, target
        self._out.add(TargetActivated(handoff.channel, target, fence))
        self._start_waiting(now)
        self.tick(now)

    # --- time ---

    def tick(self, now: float) -> None:
        for handoff in list(self._handoffs.values()):
            if handoff.step in (Step.HANDED, Step.RECLAIMING):
                self._check_overlap(now, handoff)
            elif handoff.step in (Step.OFFERED, Step.TRANSFERRING) and now >= handoff.step_deadline:
                self._offer_next(now, handoff)
            if self._handoffs.get(handoff.channel) is handoff and now >= handoff.retry_at:
                self._resend(now, handoff)

    def next_deadline(self) -> float | None:
        deadlines: list[float] = []
        for handoff in self._handoffs.values():
            if handoff.step in (Step.WAITING, Step.FROZEN):
                continue
            overlap_end = handoff.released_at + self.rules.overlap_ms
            if handoff.step in (Step.OFFERED, Step.TRANSFERRING):
                deadlines += [handoff.step_deadline, handoff.retry_at]
                continue
            if not handoff.overlap_reported:
                deadlines.append(overlap_end)
            if not handoff.target_fence:
                deadlines.append(handoff.step_deadline)
            elif handoff.overlap_reported:
                deadlines.append(overlap_end + self.rules.update_tail_ms)
            if self._has_unanswered(handoff):
                deadlines.append(handoff.retry_at)
        return min(deadlines, default=None)

    def _check_overlap(self, now: float, handoff: _OutgoingHandoff) -> None:
        overlap_end = handoff.released_at + self.rules.overlap_ms
        if now >= overlap_end and not handoff.overlap_reported:
            handoff.overlap_reported = True
            self._out.add(OverlapOver(handoff.channel))
        if handoff.target_fence:
            all_acked = handoff.target_left or handoff.updates_acked == len(handoff.updates)
            if handoff.overlap_reported and (all_acked or now >= overlap_end + self.rules.update_tail_ms):
                self._forget(now, handoff)
                self._out.add(HandoffFinished(handoff.channel, handoff.target))
        elif now >= handoff.step_deadline:
            if handoff.step is Step.HANDED:
                self._reclaim_lease(now, handoff)
            else:
                self._out.add(AbandonLease(handoff.channel))
                self._forget(now, handoff)
                self._out.add(Lapsed(handoff.channel, "no heir acts, and the lease did not come back"))

    def _has_unanswered(self, handoff: _OutgoingHandoff) -> bool:
        """Whether a message without an answer has to be sent again."""
        if handoff.step in (Step.HANDED, Step.RECLAIMING) and not handoff.target_fence:
            return True
        return (
            handoff.step is Step.HANDED
            and not handoff.target_left
            and handoff.updates_acked < len(handoff.updates)
        )

    def _resend(self, now: float, handoff: _OutgoingHandoff) -> None:
        handoff.retry_at = now + self.rules.resend_ms
        if handoff.step is Step.OFFERED:
            self._send_offer(handoff)
        elif handoff.step is Step.TRANSFERRING:
            self._send_parts(handoff)
            self._send_updates(handoff)
        elif handoff.step in (Step.HANDED, Step.RECLAIMING) and self._has_unanswered(handoff):
            self._send_updates(handoff)
            if not handoff.target_fence:
                self._send_commit(now, handoff)

    # --- steps of a hand-off ---

    def _start_waiting(self, now: float) -> None:
        """Starts waiting hand-offs; a hand-off whose target is active no longer counts as running."""
        active = sum(
            1 for one in self._handoffs.values() if one.step is not Step.WAITING and not one.target_fence
        )
        for handoff in [one for one in self._handoffs.values() if one.step is Step.WAITING]:
            if active >= self.rules.max_outgoing:
                return
            if handoff.channel in self._handoffs:
                active += 1
                self._offer_next(now, handoff)

    def _offer_next(self, now: float, handoff: _OutgoingHandoff) -> None:
        """Offers the channel to the next successor."""
        self._cancel(handoff, "passed over")
        handoff.parts, handoff.updates, handoff.parts_acked, handoff.updates_acked = [], [], 0, 0
        if not handoff.successors:
            del self._handoffs[handoff.channel]
            self._out.add(NoSuccessor(handoff.channel))
            self._start_waiting(now)
            return
        handoff.step, handoff.target = Step.OFFERED, handoff.successors.popleft()
        handoff.offer = self._rng.getrandbits(52) + 1
        handoff.step_deadline, handoff.retry_at = (
            now + self.rules.offer_timeout_ms,
            now + self.rules.resend_ms,
        )
        self._send_offer(handoff)

    def _start_transfer(self, now: float, handoff: _OutgoingHandoff) -> None:
        handoff.step, handoff.step_deadline = Step.TRANSFERRING, now + self.rules.transfer_timeout_ms
        handoff.parts = split_statuses(handoff.statuses.values(), self.rules.message_bytes)
        handoff.retry_at = now + self.rules.resend_ms
        self._send_parts(handoff)

    def _reclaim_lease(self, now: float, handoff: _OutgoingHandoff) -> None:
        handoff.floor = max(handoff.fence, handoff.target_fence)
        handoff.step, handoff.target_fence, handoff.step_deadline = (
            Step.RECLAIMING,
            0,
            now + self.rules.reclaim_timeout_ms,
        )
        self._out.add(WantLease(handoff.channel, handoff.floor))

    def _forget(self, now: float, handoff: _OutgoingHandoff) -> None:
        del self._handoffs[handoff.channel]
        self._start_waiting(now)

    def _cancel(self, handoff: _OutgoingHandoff, why: str) -> None:
        if handoff.target and handoff.step is not Step.WAITING:
            self._out.add(Send(handoff.target, Cancel(handoff.channel, handoff.offer, why)))

    # --- messages to the target ---

    def _send_offer(self, handoff: _OutgoingHandoff) -> None:
        offer = Offer(handoff.channel, handoff.offer, handoff.fence, len(handoff.statuses))
        self._out.add(Send(handoff.target, offer))

    def _send_parts(self, handoff: _OutgoingHandoff) -> None:
        until = min(handoff.parts_acked + _PARTS_IN_FLIGHT, len(handoff.parts))
        for number in range(handoff.parts_acked, until):
            part = HandoffPart(
                handoff.channel, handoff.offer, number, len(handoff.parts), handoff.parts[number]
            )
            self._out.add(Send(handoff.target, part, reliable=True))

    def _send_updates(self, handoff: _OutgoingHandoff) -> None:
        for number in range(
            handoff.updates_acked, min(handoff.updates_acked + _UPDATES_IN_FLIGHT, len(handoff.updates))
        ):
            self._send_update(handoff, number)

    def _send_update(self, handoff: _OutgoingHandoff, number: int) -> None:
        session, status = handoff.updates[number]
        update = HandoffUpdate(handoff.channel, handoff.offer, number, session, status)
        self._out.add(Send(handoff.target, update, reliable=True))

    def _send_commit(self, now: float, handoff: _OutgoingHandoff) -> None:
        handoff.retry_at = now + self.rules.resend_ms
        commit = HandoffCommit(
            handoff.channel,
            handoff.offer,
            handoff.fence,
            handoff.committed_updates,
            self.rules.overlap_ms,
            handoff.in_flight,
        )
        self._out.add(Send(handoff.target, commit, reliable=True))


def split_statuses(statuses: Iterable[SessionStatus], max_bytes: int) -> list[list[SessionStatus]]:
    """Splits statuses into parts of bounded size; returns at least one, which may be empty."""
    parts: list[list[SessionStatus]] = [[]]
    size = 0
    for status in statuses:
        one = size_of(status)
        if size and size + one > max_bytes:
            parts.append([])
            size = 0
        parts[-1].append(status)
        size += one
    return parts
