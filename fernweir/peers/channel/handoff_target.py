"""The target of a planned hand-off; see `handoff`."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from fernweir.peers.base import Message, Outbox, Send
from fernweir.peers.channel.channel_names import is_plausible, parse
from fernweir.peers.channel.handoff_source import AbandonLease, WantLease
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
from fernweir.peers.channel.rules import HandoffRules
from fernweir.peers.channel.takeover import Takeover
from fernweir.peers.port import SessionStatus


class Step(Enum):
    ACCEPTED = "accepted"
    LEASING = "leasing"  # all parts are here, and the source has released the lease
    CLAIMING = "claiming"
    ACTING = "acting"


@dataclass(slots=True)
class _IncomingHandoff:
    channel: str
    offer: int
    source: str
    fence: int  # the fence of the source, then that of this front
    count: int
    deadline: float
    step: Step = Step.ACCEPTED
    total: int = -1
    parts: int = 0
    sessions: int = 0
    updates: int = 0
    statuses: dict[str, SessionStatus] = field(default_factory=dict)
    early_updates: dict[int, HandoffUpdate] = field(
        default_factory=dict
    )  # updates that arrived before the parts, by number
    commit: HandoffCommit | None = None
    hold_until: float = 0.0


class HandoffTarget:
    """All incoming hand-offs of this front.

    `listed` returns the numbers of all servers, and `known_fence` the highest known fence of a channel.
    """

    def __init__(
        self,
        rules: HandoffRules,
        takeover: Takeover,
        listed: Callable[[], Iterable[int]],
        known_fence: Callable[[str], int],
        out: Outbox,
    ) -> None:
        self.rules, self._takeover, self._out = rules, takeover, out
        self._listed, self._known_fence = listed, known_fence
        self._handoffs: dict[str, _IncomingHandoff] = {}
        self._capacity = rules.max_sessions
        self._closed_reason = ""

    def set_capacity(self, sessions: int, closed_reason: str) -> None:
        self._capacity, self._closed_reason = sessions, closed_reason

    def channels(self) -> list[str]:
        return list(self._handoffs)

    # --- leases ---

    def on_lease_acquired(self, now: float, channel: str, fence: int) -> bool:
        handoff = self._handoffs.get(channel)
        if (
            handoff is None
            or handoff.step is not Step.LEASING
            or handoff.commit is None
            or fence <= handoff.fence
        ):
            return False
        handoff.step, handoff.fence = Step.CLAIMING, fence
        hold = max(handoff.hold_until - now, self._takeover.rules.overlap_ms)
        self._takeover.begin(
            now,
            channel,
            fence,
            handoff.statuses,
            listed=self._listed(),
            planned_ms=hold,
            out=handoff.commit.in_flight,
        )
        return True

    def on_takeover_active(self, channel: str, fence: int) -> None:
        """The takeover has claimed the channel at the servers."""
        handoff = self._handoffs.get(channel)
        if handoff is not None and handoff.step is Step.CLAIMING and handoff.fence == fence:
            handoff.step = Step.ACTING
            self._out.add(Send(handoff.source, TargetActive(channel, handoff.offer, fence)))

    def on_lease_taken(self, channel: str, fence: int) -> None:
        """Another front has the lease."""
        handoff = self._handoffs.get(channel)
        if handoff is None or fence <= handoff.fence:
            return
        if handoff.step is not Step.ACCEPTED:
            self._abandon(handoff)

    def on_lease_lost(self, channel: str) -> None:
        handoff = self._handoffs.get(channel)
        if handoff is not None and handoff.step in (Step.CLAIMING, Step.ACTING):
            self._abandon(handoff)

    # --- messages ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, Offer):
            self._on_offer(now, sender, message)
            return
        if not isinstance(message, HandoffPart | HandoffUpdate | HandoffCommit | Cancel):
            return
        handoff = self._handoffs.get(message.channel)
        if handoff is None or handoff.offer != message.offer or handoff.source != sender:
            if not isinstance(message, Cancel):
                self._out.add(Send(sender, Cancel(message.channel, message.offer, "not known here")))
            return
        if isinstance(message, Cancel):
            if handoff.step in (Step.ACCEPTED, Step.LEASING):
                self._abandon(handoff)
        elif isinstance(message, HandoffPart):
            self._on_part(now, handoff, message)
        elif isinstance(message, HandoffUpdate):
            self._on_update(now, handoff, message)
        else:
            self._on_commit(now, handoff, message)

    def _on_offer(self, now: float, sender: str, offer: Offer) -> None:
        handoff = self._handoffs.get(offer.channel)
        if handoff is not None and (handoff.offer, handoff.source) == (offer.offer, sender):
            self._out.add(Send(sender, Accept(offer.channel, offer.offer)))
            return
        why = self._decline_reason(sender, handoff, offer)
        if why:
            self._out.add(Send(sender, Decline(offer.channel, offer.offer, why)))
            return
        deadline = now + self.rules.idle_timeout_ms
        self._handoffs[offer.channel] = _IncomingHandoff(
            offer.channel, offer.offer, sender, offer.fence, offer.count, deadline
        )
        self._out.add(Send(sender, Accept(offer.channel, offer.offer)))

    def _decline_reason(self, sender: str, handoff: _IncomingHandoff | None, offer: Offer) -> str:
        if self._closed_reason:
            return self._closed_reason
        if handoff is not None and (handoff.step is not Step.ACCEPTED or handoff.source != sender):
            return "on its way already"
        if self._known_fence(offer.channel) > offer.fence:
            return "outdated"
        if self._takeover.has_begun(offer.channel):
            return "being taken over"
        expected_sessions = sum(one.count for one in self._handoffs.values() if one.step is not Step.ACTING)
        if (
            not 0 <= offer.count <= self._capacity - expected_sessions
            or len(self._handoffs) >= self.rules.max_incoming
        ):
            return "no room"
        if parse(offer.channel) is None or offer.fence < 1:
            return "no channel"
        return ""

    def _on_part(self, now: float, handoff: _IncomingHandoff, part: HandoffPart) -> None:
        is_valid = 1 <= part.count <= self.rules.max_sessions and all(map(is_plausible, part.statuses))
        if part.number == 0 and handoff.total < 0 and is_valid:
            handoff.total = part.count
        fits = handoff.sessions + len(part.statuses) <= self.rules.max_sessions
        if is_valid and fits and part.number == handoff.parts < handoff.total == part.count:
            handoff.parts += 1
            handoff.sessions += len(part.statuses)
            handoff.statuses.update((status.session, status) for status in part.statuses)
            handoff.deadline = now + self.rules.idle_timeout_ms
        self._apply_updates(now, handoff)
        self._send_ack(handoff)
        self._request_lease_if_complete(now, handoff)

    def _on_update(self, now: float, handoff: _IncomingHandoff, update: HandoffUpdate) -> None:
        is_valid = update.status is None or (
            is_plausible(update.status) and update.status.session == update.session
        )
        if is_valid and handoff.updates <= update.number < handoff.updates + self.rules.max_sessions:
            handoff.early_updates[update.number] = update
        self._apply_updates(now, handoff)
        self._send_ack(handoff)
        self._request_lease_if_complete(now, handoff)

    def _apply_updates(self, now: float, handoff: _IncomingHandoff) -> None:
        """Applies updates in order, once all parts are here."""
        while handoff.parts == handoff.total and handoff.updates in handoff.early_updates:
            update = handoff.early_updates.pop(handoff.updates)
            handoff.updates += 1
            if handoff.step in (Step.CLAIMING, Step.ACTING):
                self._takeover.on_final_status(now, handoff.channel, update.session, update.status)
            elif update.status is None:
                handoff.statuses.pop(update.session, None)
            else:
                handoff.statuses[update.session] = update.status

    def _on_commit(self, now: float, handoff: _IncomingHandoff, commit: HandoffCommit) -> None:
        if handoff.step is Step.ACTING:
            self._out.add(Send(handoff.source, TargetActive(handoff.channel, handoff.offer, handoff.fence)))
        if handoff.commit is None:
            overlap = min(max(commit.overlap_ms, 0.0), self.rules.max_overlap_ms)
            if overlap != overlap or commit.fence < handoff.fence:  # NaN, or a fence below that of the offer
                return
            handoff.commit = commit
            handoff.hold_until = now + overlap * (1.0 + 2.0 * self.rules.drift) + self.rules.late_ms
            self._request_lease_if_complete(now, handoff)
        if handoff.step is Step.ACCEPTED:
            self._send_ack(handoff)

    def _request_lease_if_complete(self, now: float, handoff: _IncomingHandoff) -> None:
        if handoff.step is not Step.ACCEPTED or handoff.commit is None or handoff.parts != handoff.total:
            return
        if handoff.updates >= handoff.commit.updates:
            handoff.step, handoff.deadline = Step.LEASING, now + self.rules.lease_ms
            handoff.fence = handoff.commit.fence
            self._out.add(WantLease(handoff.channel, handoff.fence))

    def _send_ack(self, handoff: _IncomingHandoff) -> None:
        self._out.add(
            Send(handoff.source, HandoffAck(handoff.channel, handoff.offer, handoff.parts, handoff.updates))
        )

    # --- time ---

    def tick(self, now: float) -> None:
        for handoff in list(self._handoffs.values()):
            if handoff.step in (Step.ACCEPTED, Step.LEASING):
                if now >= handoff.deadline:
                    self._abandon(handoff)
            elif handoff.step is Step.ACTING and now >= handoff.hold_until:
                del self._handoffs[handoff.channel]

    def next_deadline(self) -> float | None:
        deadlines = [
            one.deadline for one in self._handoffs.values() if one.step in (Step.ACCEPTED, Step.LEASING)
        ]
        deadlines += [one.hold_until for one in self._handoffs.values() if one.step is Step.ACTING]
        return min(deadlines, default=None)

    def _abandon(self, handoff: _IncomingHandoff) -> None:
        del self._handoffs[handoff.channel]
        if handoff.step is Step.LEASING:
            self._out.add(AbandonLease(handoff.channel))
        elif handoff.step in (Step.CLAIMING, Step.ACTING):
            self._takeover.stop(handoff.channel)
