"""Taking a channel over under a new fence: boxes are claimed, their lists weighed, sessions taken or not.

It begins when this front has the lease. All boxes of the list are claimed, not only those that the copy
names: a session may have begun or moved in the old owner's last moments. When all have answered (after a
planned hand-off: those where sessions stand), or after `first_ms`, the channel is acted for. What a box
that was not reached holds is in doubt until it answers, or for `doubt_ms`. When what the old owner had out
must have ended, all boxes are asked once more. What is decided of a session stays decided, but for one that
ended between its box's first list and its being taken, of which nobody was told: the second list lacks it.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from fernweir.peers.base import Effect, Event, Outbox
from fernweir.peers.channel.reconcile import Reconciled, boxes_of, reconcile
from fernweir.peers.channel.rules import TakeoverRules
from fernweir.peers.port import ClaimResult, SessionStatus


@dataclass(frozen=True, slots=True)
class Claim(Event):
    """Claim this channel at these boxes; each answer goes to `claimed`.

    They may accept a lower fence for `overlap_ms` more: none after an unplanned loss, whose owner has no
    lease, so that what it still had on its way changes nothing once a box has told its list.
    """

    channel: str
    fence: int
    boxes: tuple[int, ...]
    overlap_ms: float


@dataclass(frozen=True, slots=True)
class Inherited(Event):
    """From now on this front steers the channel. `Settled` about its sessions follows.

    `standings` are all that may stand, in doubt or not: what its copies begin with.
    """

    channel: str
    fence: int
    doubtful: int
    statuses: tuple[SessionStatus, ...]


@dataclass(frozen=True, slots=True)
class Settled(Event):
    """Decided of a channel's sessions: taken, over, or to be released at a box under that attempt.

    `gone` don't run where they stood, as their boxes say, though they were taken, or were held here before.
    """

    channel: str
    fence: int
    take: tuple[SessionStatus, ...] = ()
    over: tuple[str, ...] = ()
    give_up: tuple[tuple[int, str, int], ...] = ()
    gone: tuple[SessionStatus, ...] = ()


@dataclass(frozen=True, slots=True)
class Finished(Event):
    """Nothing of the channel is in doubt, and all boxes have answered or were left alone."""

    channel: str
    fence: int


@dataclass(frozen=True, slots=True)
class HigherFenceFound(Event):
    """A box knows a higher fence: the channel is another's, nothing of it may be steered from here."""

    channel: str
    fence: int


@dataclass(slots=True)
class _Box:
    ask_at: float
    first: bool
    answered: bool = False


@dataclass(slots=True)
class _Taken:
    channel: str
    fence: int
    began: float
    hold_until: float
    overlap_ms: float
    planned: bool  # the standings are the old owner's last word, but for what was out
    statuses: dict[str, SessionStatus]
    moving: set[str]  # an attempt of the old owner was out for these
    boxes: dict[int, _Box] = field(default_factory=dict)
    told: dict[int, ClaimResult] = field(default_factory=dict)
    decided: set[str] = field(default_factory=set)  # taken or over
    released: set[tuple[int, str, int]] = field(default_factory=set)
    out: set[str] = field(default_factory=set)  # the old owner finishes an attempt of these
    learned: set[str] = field(default_factory=set)  # of those: it told where they stand now
    mine: dict[str, set[int]] = field(default_factory=dict)  # boxes this front set a session up at
    held: bool = True  # sessions no one knows may still be the old owner's
    relist_until: float = 0.0
    acting: bool = False


class Takeover:
    """All channels that are being taken over here."""

    def __init__(self, rules: TakeoverRules | None = None) -> None:
        self.rules = rules or TakeoverRules()
        self._out = Outbox()
        self._taken: dict[str, _Taken] = {}

    def begin(
        self,
        now: float,
        channel: str,
        fence: int,
        statuses: Mapping[str, SessionStatus],
        *,
        listed: Iterable[int] = (),
        planned_ms: float | None = None,
        out: Iterable[str] = (),
    ) -> None:
        """The lease is here. `listed` are all boxes of the list that are believed up.

        After a planned hand-off the old owner may finish those `out` for `planned_ms`: they are not decided
        until then. As long, or for `overlap_ms` after an unplanned loss, unknown sessions are not given up.
        """
        hold = self.rules.overlap_ms if planned_ms is None else planned_ms
        overlap = 0.0 if planned_ms is None else self.rules.overlap_ms
        taken = _Taken(
            channel, fence, now, now + hold, overlap, planned_ms is not None, dict(statuses), moving=set(out)
        )
        stand = boxes_of(statuses.values())
        for box in sorted({*stand, *listed}):
            taken.boxes[box] = _Box(now, planned_ms is None or box in stand)
        taken.out |= taken.moving
        self._taken[channel] = taken
        self.tick(now)

    def begun(self, channel: str) -> bool:
        return channel in self._taken

    def steers(self, channel: str) -> bool | None:
        """None if the channel is not being taken over."""
        taken = self._taken.get(channel)
        return None if taken is None else taken.acting

    def learn(self, now: float, channel: str, session: str, status: SessionStatus | None) -> bool:
        """The old owner's last word of a session: what it finished, or that it is over. False if too late."""
        taken = self._taken.get(channel)
        if taken is None or session in taken.decided:
            return False
        if status is None:
            taken.out.discard(session)
            taken.statuses.pop(session, None)
            taken.decided.add(session)
            if taken.acting:
                self._out.add(Settled(channel, taken.fence, over=(session,)))
            return True
        taken.statuses[session] = status
        taken.learned.add(session)
        taken.moving.add(session)
        if taken.held:  # a list from before this attempt may still come: what it lacks is not over
            taken.out.add(session)
        if status.box not in taken.boxes:
            taken.boxes[status.box] = _Box(now, False)
        else:  # its list may be from before this attempt
            box = taken.boxes[status.box]
            box.answered, box.ask_at = False, now
            taken.told.pop(status.box, None)
        self.tick(now)
        return True

    def on_claimed(self, now: float, channel: str, claimed: ClaimResult) -> None:
        """What a box said; one that was not reached is asked again at its time."""
        taken = self._taken.get(channel)
        if taken is None or claimed.box not in taken.boxes or not claimed.reached:
            return
        if (claimed.fence != taken.fence) if claimed.accepted else (claimed.fence <= taken.fence):
            return  # of an earlier claim, late
        taken.boxes[claimed.box].answered = True
        taken.told[claimed.box] = claimed
        self._weigh(now, taken)

    def attempted(self, channel: str, session: str, box: int) -> None:
        """This front sets the session up at that box: a later attempt that its list names is its own."""
        taken = self._taken.get(channel)
        if taken is not None:
            taken.mine.setdefault(session, set()).add(box)

    def gone(self, now: float, box: int) -> None:
        """The box is off the list for good: what stood there is over."""
        for taken in list(self._taken.values()):
            if box in taken.boxes:
                taken.boxes[box].answered = True
                taken.told[box] = ClaimResult(box, True, True, taken.fence)
                self._weigh(now, taken)

    def undecided(self, channel: str) -> dict[str, SessionStatus]:
        """What may stand of a channel that is being taken over, and is not settled yet."""
        taken = self._taken.get(channel)
        if taken is None:
            return {}
        return {one: status for one, status in taken.statuses.items() if one not in taken.decided}

    def stop(self, channel: str) -> None:
        """The channel is another's: nothing more is claimed."""
        self._taken.pop(channel, None)

    def tick(self, now: float) -> None:
        for taken in list(self._taken.values()):
            self._ask(now, taken)
            self._weigh(now, taken)

    def next_deadline(self) -> float | None:
        dues: list[float] = []
        for taken in self._taken.values():
            dues += [box.ask_at for box in taken.boxes.values() if not box.answered]
            if not taken.acting:
                dues.append(taken.began + self.rules.first_ms)
            elif taken.held:
                dues.append(taken.hold_until)
            elif taken.out:
                dues.append(taken.relist_until)
            elif any(session not in taken.decided for session in taken.statuses):
                dues.append(taken.hold_until + self.rules.doubt_ms)
        return min(dues, default=None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- pieces ---

    def _ask(self, now: float, taken: _Taken) -> None:
        due = []
        for number, box in taken.boxes.items():
            if box.answered or now < box.ask_at:
                continue
            if now >= taken.began + self.rules.box_ms:
                box.answered = True
                continue
            due.append(number)
            doubted = now >= taken.hold_until + self.rules.doubt_ms
            box.ask_at = now + (self.rules.slow_ms if doubted else self.rules.again_ms)
        if due:
            self._out.add(Claim(taken.channel, taken.fence, tuple(due), taken.overlap_ms))

    def _weigh(self, now: float, taken: _Taken) -> None:
        if self._taken.get(taken.channel) is not taken:
            return
        result = reconcile(taken.statuses, list(taken.told.values()))
        if result.outdone:
            del self._taken[taken.channel]
            self._out.add(HigherFenceFound(taken.channel, result.outdone))
            return
        if not taken.acting:
            waiting = any(box.first and not box.answered for box in taken.boxes.values())
            if waiting and now < taken.began + self.rules.first_ms:
                return
            taken.acting = True
            statuses = tuple(taken.statuses.values())
            self._out.add(Inherited(taken.channel, taken.fence, len(result.unknown), statuses))
        self._unhold(now, taken)
        self._settle(now, taken)
        self._finish(now, taken)

    def _unhold(self, now: float, taken: _Taken) -> None:
        """The old owner's time has passed: lists from before that say nothing of what it set up last."""
        if taken.held and now >= taken.hold_until:
            taken.held = False
            gap = 1_000.0 / self.rules.again_a_second
            taken.relist_until = now + gap * len(taken.boxes) + self.rules.first_ms
            if taken.hold_until > taken.began:
                taken.told.clear()
                for turn, box in enumerate(taken.boxes.values()):
                    box.answered, box.ask_at = False, now + turn * gap
                self._ask(now, taken)
        answered = all(box.answered for box in taken.boxes.values())
        if not taken.held and (answered or now >= taken.relist_until):
            taken.out.clear()

    def _settle(self, now: float, taken: _Taken) -> None:
        result = reconcile(taken.statuses, list(taken.told.values()), self._elsewhere(taken))
        settled = taken.decided | taken.out
        waits = taken.decided | (taken.out - taken.learned)
        new = [status for status in result.take if status.session not in waits]
        over = [session for session in result.over if session not in settled]
        gone = [taken.statuses[session] for session in over] + self._gone(taken)
        if now >= taken.hold_until + self.rules.doubt_ms:
            over += [one.session for one in result.unknown if one.session not in settled]
        for status in new:
            taken.statuses[status.session] = status
        for session in {*over, *(status.session for status in gone)}:
            del taken.statuses[session]  # should a box list it after all, it is unwanted there
        taken.decided.update(status.session for status in new)
        taken.decided.update(over)
        give_up = [] if taken.held else self._unwanted(taken, result)
        if new or over or give_up or gone:
            self._out.add(
                Settled(taken.channel, taken.fence, tuple(new), tuple(over), tuple(give_up), tuple(gone)),
            )

    def _elsewhere(self, taken: _Taken) -> Container[str]:
        """Sessions that a box which has not told may have: all, or after a planned hand-off what was out."""
        if all(box.answered for box in taken.boxes.values()):
            return ()
        return taken.moving if taken.planned else taken.statuses

    def _gone(self, taken: _Taken) -> list[SessionStatus]:
        """What was taken by a first list and is missing in the second, but for what was set up here since."""
        if taken.held:
            return []
        there = {box: {one[:2] for one in told.sessions} for box, told in taken.told.items()}
        return [
            status
            for session, status in taken.statuses.items()
            if session in taken.decided
            and session not in taken.out
            and session not in taken.mine
            and (session, status.attempt) not in there.get(status.box, ((session, status.attempt),))
        ]

    def _unwanted(self, taken: _Taken, result: Reconciled) -> list[tuple[int, str, int]]:
        """What to release. Of a session that was taken a later attempt may be this front's own doing."""
        new = []
        listed = [*result.give_up, *((one.box, one.session, one.attempt) for one in result.take)]
        for box, session, attempt in listed:
            mine = taken.statuses.get(session)
            if (box, session, attempt) in taken.released or session in taken.out:
                continue
            if mine is not None:
                own = not self.rules.attempts_told or box in taken.mine.get(session, ())
                if (box, attempt) == (mine.box, mine.attempt) or (attempt > mine.attempt and own):
                    continue
            new.append((box, session, attempt))
        taken.released.update(new)
        return new

    def _finish(self, now: float, taken: _Taken) -> None:
        if not taken.held and all(box.answered for box in taken.boxes.values()):
            unsettled = any(session not in taken.decided for session in taken.statuses)
            if not unsettled:
                del self._taken[taken.channel]
                self._out.add(Finished(taken.channel, taken.fence))
