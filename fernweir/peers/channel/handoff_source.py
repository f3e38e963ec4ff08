"""The old owner's end of a planned hand-off; see `handoff`."""

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

_PARTS_OUT = 8
_LATES_OUT = 64


class Step(Enum):
    WAITING = "waiting"  # for its turn
    OFFERED = "offered"
    MOVING = "moving"  # accepted, parts on their way; still steered from here
    FROZEN = "frozen"  # the front stops steering and says what is out
    HANDED = "handed"  # the lease is gone, what is out is finished
    BACK = "back"  # the heir does not act: the lease is asked for again


@dataclass(frozen=True, slots=True)
class Freeze(Event):
    """The heir has all parts: steer nothing more, and tell `frozen` what attempts are out for."""

    channel: str


@dataclass(frozen=True, slots=True)
class ReleaseLease(Event):
    channel: str
    fence: int


@dataclass(frozen=True, slots=True)
class WantLease(Event):
    """Get the lease under a fence above `floor`; then call `leased`, or `taken` if another has it."""

    channel: str
    floor: int


@dataclass(frozen=True, slots=True)
class AbandonLease(Event):
    """Ask for it no more, and release it should it come."""

    channel: str


@dataclass(frozen=True, slots=True)
class TargetActivated(Event):
    """The heir acts, under this fence."""

    channel: str
    target: str
    fence: int


@dataclass(frozen=True, slots=True)
class OverlapOver(Event):
    """The bound of the overlap has passed: nothing of the channel is finished from here any more."""

    channel: str


@dataclass(frozen=True, slots=True)
class HandoffFinished(Event):
    """All is done: the channel is the heir's, and nothing is owed to it."""

    channel: str
    target: str


@dataclass(frozen=True, slots=True)
class LeaseReclaimed(Event):
    """The heir did not act, and the lease is here again: the channel is to be taken over like any other."""

    channel: str
    fence: int
    statuses: tuple[SessionStatus, ...]


@dataclass(frozen=True, slots=True)
class NoSuccessor(Event):
    """None of the heirs took it: it is owned and steered from here as before."""

    channel: str


@dataclass(frozen=True, slots=True)
class Lapsed(Event):
    """Nobody is responsible by this hand-off any more: the unplanned way is left."""

    channel: str
    why: str


@dataclass(slots=True)
class _Giving:
    channel: str
    fence: int
    successors: deque[str]
    statuses: dict[str, SessionStatus]
    step: Step = Step.WAITING
    target: str = ""
    offer: int = 0
    due: float = 0.0  # when this step has taken too long
    again_at: float = 0.0
    parts: list[list[SessionStatus]] = field(default_factory=list)
    parts_got: int = 0
    lates: list[tuple[str, SessionStatus | None]] = field(default_factory=list)
    lates_got: int = 0
    handed_lates: int = 0
    out: list[str] = field(default_factory=list)
    handed_at: float = 0.0
    acting: int = 0  # the heir's fence, once it acts
    floor: int = 0  # of the lease that is asked for again
    bound_told: bool = False
    target_left: bool = False


class HandoffSource:
    """All channels that are being handed on from here."""

    def __init__(self, rules: HandoffRules, rng: Random, out: Outbox) -> None:
        self.rules, self._rng, self._out = rules, rng, out
        self._givings: dict[str, _Giving] = {}

    def offer(
        self,
        now: float,
        channel: str,
        fence: int,
        statuses: Mapping[str, SessionStatus],
        successors: Sequence[str],
    ) -> bool:
        if channel in self._givings:
            return False
        self._givings[channel] = _Giving(channel, fence, deque(successors), dict(statuses))
        self._start(now)
        return True

    def change(self, now: float, channel: str, session: str, status: SessionStatus | None) -> None:
        """Something of a channel on its way changed; without a standing it is over."""
        giving = self._givings.get(channel)
        if giving is not None:
            self._note(giving, session, status)
            if giving.again_at <= now:
                giving.again_at = now + self.rules.resend_ms

    def settled(self, channel: str, take: Iterable[SessionStatus], over: Iterable[str]) -> None:
        """What was in doubt here when the channel was offered has been decided."""
        giving = self._givings.get(channel)
        if giving is not None:
            for status in take:
                self._note(giving, status.session, status)
            for session in over:
                self._note(giving, session, None)

    def _note(self, giving: _Giving, session: str, status: SessionStatus | None) -> None:
        if status is None:
            giving.statuses.pop(session, None)
        else:
            giving.statuses[session] = status
        if giving.step not in (Step.WAITING, Step.OFFERED):
            giving.lates.append((session, status))
            if len(giving.lates) <= giving.lates_got + _LATES_OUT:
                self._send_late(giving, len(giving.lates) - 1)

    def on_frozen(self, now: float, channel: str, out: Iterable[str]) -> None:
        giving = self._givings.get(channel)
        if giving is None or giving.step is not Step.FROZEN:
            return
        giving.step, giving.handed_at, giving.out = Step.HANDED, now, list(out)[: self.rules.sessions_most]
        giving.due, giving.handed_lates = now + self.rules.act_ms, len(giving.lates)
        self._out.add(ReleaseLease(channel, giving.fence))
        self._send_yours(now, giving)

    def cancel(self, now: float, channel: str, why: str) -> bool:
        """Takes an offer back; False if it has gone too far, or there is none."""
        giving = self._givings.get(channel)
        if giving is None or giving.step in (Step.HANDED, Step.BACK):
            return False
        self._cancel(giving, why)
        del self._givings[channel]
        self._start(now)
        return True

    def steers(self, channel: str) -> bool | None:
        """None if the channel is not being handed on."""
        giving = self._givings.get(channel)
        return None if giving is None else giving.step in (Step.WAITING, Step.OFFERED, Step.MOVING)

    def finishes(self, now: float, channel: str) -> bool:
        giving = self._givings.get(channel)
        return (
            giving is not None
            and giving.step in (Step.HANDED, Step.BACK)
            and now < giving.handed_at + self.rules.overlap_ms
        )

    def channels(self) -> list[str]:
        return list(self._givings)

    # --- leases and members ---

    def on_lease_acquired(self, now: float, channel: str, fence: int) -> bool:
        giving = self._givings.get(channel)
        if giving is None or giving.step is not Step.BACK or fence <= giving.floor:
            return False
        self._cancel(giving, "taken back")
        self._forget(now, giving)
        self._out.add(LeaseReclaimed(channel, fence, tuple(giving.statuses.values())))
        return True

    def on_lease_taken(self, now: float, channel: str, by: str, fence: int) -> None:
        """Another has the lease that was asked for again: a standby, which begins from its own copy, or the
        heir, which may have got no further. Until that one acts, what it must know stays here."""
        giving = self._givings.get(channel)
        if giving is not None and giving.step is Step.BACK and fence > giving.fence and by != giving.target:
            giving.target_left = True
            self._acts(now, giving, by, fence)

    def on_lease_lost(self, now: float, channel: str) -> None:
        """The lease is gone without having been released: nothing can be handed on."""
        giving = self._givings.get(channel)
        if giving is not None and giving.step not in (Step.HANDED, Step.BACK):
            self._cancel(giving, "lease lost")
            self._forget(now, giving)
            self._out.add(Lapsed(channel, "lease lost"))

    def on_peer_died(self, now: float, name: str) -> None:
        for giving in list(self._givings.values()):
            if giving.target != name:
                continue
            if giving.step in (Step.OFFERED, Step.MOVING, Step.FROZEN):
                self._next(now, giving)
            elif giving.step is Step.HANDED:
                self._ask_back(now, giving)

    # --- messages ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if not isinstance(message, Accept | Decline | HandoffAck | TargetActive | Cancel):
            return
        giving = self._givings.get(message.channel)
        if giving is None or giving.offer != message.offer or giving.target != sender:
            if isinstance(message, Accept):
                self._out.add(Send(sender, Cancel(message.channel, message.offer, "not offered")))
            return
        if isinstance(message, Accept):
            if giving.step is Step.OFFERED:
                self._move(now, giving)
        elif isinstance(message, Decline | Cancel):
            self._refused(now, giving, message)
        elif isinstance(message, HandoffAck):
            self._got(now, giving, message)
        elif message.fence > giving.fence and giving.step in (Step.HANDED, Step.BACK):
            self._acts(now, giving, sender, message.fence)

    def _refused(self, now: float, giving: _Giving, message: Decline | Cancel) -> None:
        if giving.step in (Step.OFFERED, Step.MOVING, Step.FROZEN):
            self._next(now, giving)
        elif isinstance(message, Cancel) and giving.step is Step.HANDED:
            if giving.acting:
                giving.target_left = True
            else:
                self._ask_back(now, giving)

    def _got(self, now: float, giving: _Giving, got: HandoffAck) -> None:
        giving.parts_got = max(giving.parts_got, min(got.parts, len(giving.parts)))
        giving.lates_got = max(giving.lates_got, min(got.lates, len(giving.lates)))
        if giving.step is Step.HANDED:
            self._overlap(now, giving)
        if giving.step is not Step.MOVING:
            return
        if giving.parts_got == len(giving.parts):
            giving.step = Step.FROZEN
            self._out.add(Freeze(giving.channel))
        elif got.parts % _PARTS_OUT == 0:
            self._send_parts(giving)

    def _acts(self, now: float, giving: _Giving, target: str, fence: int) -> None:
        if giving.acting:
            return
        if giving.step is Step.BACK:
            self._out.add(AbandonLease(giving.channel))
        giving.step, giving.acting, giving.target = Step.HANDED, fence, target
        self._out.add(TargetActivated(giving.channel, target, fence))
        self._start(now)
        self.tick(now)

    # --- time ---

    def tick(self, now: float) -> None:
        for giving in list(self._givings.values()):
            if giving.step in (Step.HANDED, Step.BACK):
                self._overlap(now, giving)
            elif giving.step in (Step.OFFERED, Step.MOVING) and now >= giving.due:
                self._next(now, giving)
            if self._givings.get(giving.channel) is giving and now >= giving.again_at:
                self._again(now, giving)

    def next_deadline(self) -> float | None:
        dues: list[float] = []
        for giving in self._givings.values():
            if giving.step in (Step.WAITING, Step.FROZEN):
                continue
            bound = giving.handed_at + self.rules.overlap_ms
            if giving.step in (Step.OFFERED, Step.MOVING):
                dues += [giving.due, giving.again_at]
                continue
            if not giving.bound_told:
                dues.append(bound)
            if not giving.acting:
                dues.append(giving.due)
            elif giving.bound_told:
                dues.append(bound + self.rules.tail_ms)
            if self._repeats(giving):
                dues.append(giving.again_at)
        return min(dues, default=None)

    def _overlap(self, now: float, giving: _Giving) -> None:
        bound = giving.handed_at + self.rules.overlap_ms
        if now >= bound and not giving.bound_told:
            giving.bound_told = True
            self._out.add(OverlapOver(giving.channel))
        if giving.acting:
            told = giving.target_left or giving.lates_got == len(giving.lates)
            if giving.bound_told and (told or now >= bound + self.rules.tail_ms):
                self._forget(now, giving)
                self._out.add(HandoffFinished(giving.channel, giving.target))
        elif now >= giving.due:
            if giving.step is Step.HANDED:
                self._ask_back(now, giving)
            else:
                self._out.add(AbandonLease(giving.channel))
                self._forget(now, giving)
                self._out.add(Lapsed(giving.channel, "no heir acts, and the lease did not come back"))

    def _repeats(self, giving: _Giving) -> bool:
        """Whether anything is still unanswered that is worth saying again."""
        if giving.step in (Step.HANDED, Step.BACK) and not giving.acting:
            return True
        return giving.step is Step.HANDED and not giving.target_left and giving.lates_got < len(giving.lates)

    def _again(self, now: float, giving: _Giving) -> None:
        giving.again_at = now + self.rules.resend_ms
        if giving.step is Step.OFFERED:
            self._send_offer(giving)
        elif giving.step is Step.MOVING:
            self._send_parts(giving)
            self._send_lates(giving)
        elif giving.step in (Step.HANDED, Step.BACK) and self._repeats(giving):
            self._send_lates(giving)
            if not giving.acting:
                self._send_yours(now, giving)

    # --- steps ---

    def _start(self, now: float) -> None:
        """Those whose turn it is; a channel whose heir acts makes room for the next."""
        busy = sum(1 for one in self._givings.values() if one.step is not Step.WAITING and not one.acting)
        for giving in [one for one in self._givings.values() if one.step is Step.WAITING]:
            if busy >= self.rules.at_once:
                return
            if giving.channel in self._givings:
                busy += 1
                self._next(now, giving)

    def _next(self, now: float, giving: _Giving) -> None:
        """Offers it to the next heir."""
        self._cancel(giving, "passed over")
        giving.parts, giving.lates, giving.parts_got, giving.lates_got = [], [], 0, 0
        if not giving.successors:
            del self._givings[giving.channel]
            self._out.add(NoSuccessor(giving.channel))
            self._start(now)
            return
        giving.step, giving.target = Step.OFFERED, giving.successors.popleft()
        giving.offer = self._rng.getrandbits(52) + 1
        giving.due, giving.again_at = now + self.rules.offer_ms, now + self.rules.resend_ms
        self._send_offer(giving)

    def _move(self, now: float, giving: _Giving) -> None:
        giving.step, giving.due = Step.MOVING, now + self.rules.move_ms
        giving.parts = cut(giving.statuses.values(), self.rules.message_bytes)
        giving.again_at = now + self.rules.resend_ms
        self._send_parts(giving)

    def _ask_back(self, now: float, giving: _Giving) -> None:
        giving.floor = max(giving.fence, giving.acting)
        giving.step, giving.acting, giving.due = Step.BACK, 0, now + self.rules.back_ms
        self._out.add(WantLease(giving.channel, giving.floor))

    def _forget(self, now: float, giving: _Giving) -> None:
        del self._givings[giving.channel]
        self._start(now)

    def _cancel(self, giving: _Giving, why: str) -> None:
        if giving.target and giving.step is not Step.WAITING:
            self._out.add(Send(giving.target, Cancel(giving.channel, giving.offer, why)))

    # --- sends ---

    def _send_offer(self, giving: _Giving) -> None:
        offer = Offer(giving.channel, giving.offer, giving.fence, len(giving.statuses))
        self._out.add(Send(giving.target, offer))

    def _send_parts(self, giving: _Giving) -> None:
        until = min(giving.parts_got + _PARTS_OUT, len(giving.parts))
        for number in range(giving.parts_got, until):
            part = HandoffPart(giving.channel, giving.offer, number, len(giving.parts), giving.parts[number])
            self._out.add(Send(giving.target, part, reliable=True))

    def _send_lates(self, giving: _Giving) -> None:
        for number in range(giving.lates_got, min(giving.lates_got + _LATES_OUT, len(giving.lates))):
            self._send_late(giving, number)

    def _send_late(self, giving: _Giving, number: int) -> None:
        session, status = giving.lates[number]
        late = HandoffUpdate(giving.channel, giving.offer, number, session, status)
        self._out.add(Send(giving.target, late, reliable=True))

    def _send_yours(self, now: float, giving: _Giving) -> None:
        giving.again_at = now + self.rules.resend_ms
        yours = HandoffCommit(
            giving.channel, giving.offer, giving.fence, giving.handed_lates, self.rules.overlap_ms, giving.out
        )
        self._out.add(Send(giving.target, yours, reliable=True))


def cut(statuses: Iterable[SessionStatus], size_most: int) -> list[list[SessionStatus]]:
    """Parts of bounded size; at least one, which may be empty."""
    parts: list[list[SessionStatus]] = [[]]
    size = 0
    for status in statuses:
        one = size_of(status)
        if size and size + one > size_most:
            parts.append([])
            size = 0
        parts[-1].append(status)
        size += one
    return parts
