"""The heir's end of a planned hand-off; see `handoff`."""

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
    LEASING = "leasing"  # all is here, and the old owner has let go
    CLAIMING = "claiming"
    ACTING = "acting"


@dataclass(slots=True)
class _Taking:
    channel: str
    offer: int
    giver: str
    fence: int  # the old owner's, then this front's
    count: int
    due: float
    step: Step = Step.ACCEPTED
    total: int = -1
    parts: int = 0
    sessions: int = 0
    lates: int = 0
    statuses: dict[str, SessionStatus] = field(default_factory=dict)
    early: dict[int, HandoffUpdate] = field(default_factory=dict)  # lates that came before the parts
    yours: HandoffCommit | None = None
    hold_until: float = 0.0


class HandoffTarget:
    """All channels that are on their way to here. `listed` gives the numbers of all boxes, `known` the
    highest fence that is known of a channel."""

    def __init__(
        self,
        rules: HandoffRules,
        takeover: Takeover,
        listed: Callable[[], Iterable[int]],
        known: Callable[[str], int],
        out: Outbox,
    ) -> None:
        self.rules, self._takeover, self._out = rules, takeover, out
        self._listed, self._known = listed, known
        self._takings: dict[str, _Taking] = {}
        self._room = rules.sessions_most
        self._closed = ""

    def set_capacity(self, sessions: int, closed: str) -> None:
        self._room, self._closed = sessions, closed

    def channels(self) -> list[str]:
        return list(self._takings)

    # --- leases ---

    def on_lease_acquired(self, now: float, channel: str, fence: int) -> bool:
        taking = self._takings.get(channel)
        if taking is None or taking.step is not Step.LEASING or taking.yours is None or fence <= taking.fence:
            return False
        taking.step, taking.fence = Step.CLAIMING, fence
        hold = max(taking.hold_until - now, self._takeover.rules.overlap_ms)
        self._takeover.begin(
            now,
            channel,
            fence,
            taking.statuses,
            listed=self._listed(),
            planned_ms=hold,
            out=taking.yours.out,
        )
        return True

    def acts(self, channel: str, fence: int) -> None:
        """The boxes have been claimed."""
        taking = self._takings.get(channel)
        if taking is not None and taking.step is Step.CLAIMING and taking.fence == fence:
            taking.step = Step.ACTING
            self._out.add(Send(taking.giver, TargetActive(channel, taking.offer, fence)))

    def on_lease_taken(self, channel: str, fence: int) -> None:
        """Another has the lease."""
        taking = self._takings.get(channel)
        if taking is None or fence <= taking.fence:
            return
        if taking.step is not Step.ACCEPTED:
            self._drop(taking)

    def on_lease_lost(self, channel: str) -> None:
        taking = self._takings.get(channel)
        if taking is not None and taking.step in (Step.CLAIMING, Step.ACTING):
            self._drop(taking)

    # --- messages ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, Offer):
            self._offered(now, sender, message)
            return
        if not isinstance(message, HandoffPart | HandoffUpdate | HandoffCommit | Cancel):
            return
        taking = self._takings.get(message.channel)
        if taking is None or taking.offer != message.offer or taking.giver != sender:
            if not isinstance(message, Cancel):
                self._out.add(Send(sender, Cancel(message.channel, message.offer, "not known here")))
            return
        if isinstance(message, Cancel):
            if taking.step in (Step.ACCEPTED, Step.LEASING):
                self._drop(taking)
        elif isinstance(message, HandoffPart):
            self._moved(now, taking, message)
        elif isinstance(message, HandoffUpdate):
            self._late(now, taking, message)
        else:
            self._yours(now, taking, message)

    def _offered(self, now: float, sender: str, offer: Offer) -> None:
        taking = self._takings.get(offer.channel)
        if taking is not None and (taking.offer, taking.giver) == (offer.offer, sender):
            self._out.add(Send(sender, Accept(offer.channel, offer.offer)))
            return
        why = self._why_not(sender, taking, offer)
        if why:
            self._out.add(Send(sender, Decline(offer.channel, offer.offer, why)))
            return
        due = now + self.rules.accept_ms
        self._takings[offer.channel] = _Taking(
            offer.channel, offer.offer, sender, offer.fence, offer.count, due
        )
        self._out.add(Send(sender, Accept(offer.channel, offer.offer)))

    def _why_not(self, sender: str, taking: _Taking | None, offer: Offer) -> str:
        if self._closed:
            return self._closed
        if taking is not None and (taking.step is not Step.ACCEPTED or taking.giver != sender):
            return "on its way already"
        if self._known(offer.channel) > offer.fence:
            return "outdated"
        if self._takeover.begun(offer.channel):
            return "being taken over"
        coming = sum(one.count for one in self._takings.values() if one.step is not Step.ACTING)
        if not 0 <= offer.count <= self._room - coming or len(self._takings) >= self.rules.takes_most:
            return "no room"
        if parse(offer.channel) is None or offer.fence < 1:
            return "no channel"
        return ""

    def _moved(self, now: float, taking: _Taking, moved: HandoffPart) -> None:
        sound = 1 <= moved.count <= self.rules.sessions_most and all(map(is_plausible, moved.statuses))
        if moved.number == 0 and taking.total < 0 and sound:
            taking.total = moved.count
        room = taking.sessions + len(moved.statuses) <= self.rules.sessions_most
        if sound and room and moved.number == taking.parts < taking.total == moved.count:
            taking.parts += 1
            taking.sessions += len(moved.statuses)
            taking.statuses.update((status.session, status) for status in moved.statuses)
            taking.due = now + self.rules.accept_ms
        self._catch_up(now, taking)
        self._got(taking)
        self._ready(now, taking)

    def _late(self, now: float, taking: _Taking, late: HandoffUpdate) -> None:
        sound = late.status is None or (is_plausible(late.status) and late.status.session == late.session)
        if sound and taking.lates <= late.number < taking.lates + self.rules.sessions_most:
            taking.early[late.number] = late
        self._catch_up(now, taking)
        self._got(taking)
        self._ready(now, taking)

    def _catch_up(self, now: float, taking: _Taking) -> None:
        """Late changes in their order, after the parts that they change."""
        while taking.parts == taking.total and taking.lates in taking.early:
            late = taking.early.pop(taking.lates)
            taking.lates += 1
            if taking.step in (Step.CLAIMING, Step.ACTING):
                self._takeover.learn(now, taking.channel, late.session, late.status)
            elif late.status is None:
                taking.statuses.pop(late.session, None)
            else:
                taking.statuses[late.session] = late.status

    def _yours(self, now: float, taking: _Taking, yours: HandoffCommit) -> None:
        if taking.step is Step.ACTING:
            self._out.add(Send(taking.giver, TargetActive(taking.channel, taking.offer, taking.fence)))
        if taking.yours is None:
            overlap = min(max(yours.overlap_ms, 0.0), self.rules.overlap_most_ms)
            if overlap != overlap or yours.fence < taking.fence:  # no number, or not its own word
                return
            taking.yours = yours
            taking.hold_until = now + overlap * (1.0 + 2.0 * self.rules.drift) + self.rules.late_ms
            self._ready(now, taking)
        if taking.step is Step.ACCEPTED:
            self._got(taking)

    def _ready(self, now: float, taking: _Taking) -> None:
        if taking.step is not Step.ACCEPTED or taking.yours is None or taking.parts != taking.total:
            return
        if taking.lates >= taking.yours.lates:
            taking.step, taking.due = Step.LEASING, now + self.rules.lease_ms
            taking.fence = taking.yours.fence
            self._out.add(WantLease(taking.channel, taking.fence))

    def _got(self, taking: _Taking) -> None:
        self._out.add(
            Send(taking.giver, HandoffAck(taking.channel, taking.offer, taking.parts, taking.lates))
        )

    # --- time ---

    def tick(self, now: float) -> None:
        for taking in list(self._takings.values()):
            if taking.step in (Step.ACCEPTED, Step.LEASING):
                if now >= taking.due:
                    self._drop(taking)
            elif taking.step is Step.ACTING and now >= taking.hold_until:
                del self._takings[taking.channel]

    def next_deadline(self) -> float | None:
        dues = [one.due for one in self._takings.values() if one.step in (Step.ACCEPTED, Step.LEASING)]
        dues += [one.hold_until for one in self._takings.values() if one.step is Step.ACTING]
        return min(dues, default=None)

    def _drop(self, taking: _Taking) -> None:
        del self._takings[taking.channel]
        if taking.step is Step.LEASING:
            self._out.add(AbandonLease(taking.channel))
        elif taking.step in (Step.CLAIMING, Step.ACTING):
            self._takeover.stop(taking.channel)
