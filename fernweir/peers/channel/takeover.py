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
class _ServerClaim:
    claim_at: float
    required: bool
    answered: bool = False


@dataclass(slots=True)
class _ChannelTakeover:
    channel: str
    fence: int
    started_at: float
    hold_until: float
    overlap_ms: float
    planned: bool  # the standings are the old owner's last word, but for what was out
    statuses: dict[str, SessionStatus]
    in_flight_at_start: set[str]  # an attempt of the old owner was out for these
    boxes: dict[int, _ServerClaim] = field(default_factory=dict)
    answers: dict[int, ClaimResult] = field(default_factory=dict)
    decided: set[str] = field(default_factory=set)  # taken or over
    released: set[tuple[int, str, int]] = field(default_factory=set)
    in_flight: set[str] = field(default_factory=set)  # the old owner finishes an attempt of these
    reported: set[str] = field(default_factory=set)  # of those: it told where they stand now
    own_servers: dict[str, set[int]] = field(default_factory=dict)  # boxes this front set a session up at
    holding: bool = True  # sessions no one knows may still be the old owner's
    relist_until: float = 0.0
    active: bool = False


class Takeover:
    """All channels that are being taken over here."""

    def __init__(self, rules: TakeoverRules | None = None) -> None:
        self.rules = rules or TakeoverRules()
        self._out = Outbox()
        self._takeovers: dict[str, _ChannelTakeover] = {}

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
        takeover = _ChannelTakeover(
            channel,
            fence,
            now,
            now + hold,
            overlap,
            planned_ms is not None,
            dict(statuses),
            in_flight_at_start=set(out),
        )
        occupied = boxes_of(statuses.values())
        for box in sorted({*occupied, *listed}):
            takeover.boxes[box] = _ServerClaim(now, planned_ms is None or box in occupied)
        takeover.in_flight |= takeover.in_flight_at_start
        self._takeovers[channel] = takeover
        self.tick(now)

    def begun(self, channel: str) -> bool:
        return channel in self._takeovers

    def may_steer(self, channel: str) -> bool | None:
        """None if the channel is not being taken over."""
        takeover = self._takeovers.get(channel)
        return None if takeover is None else takeover.active

    def learn(self, now: float, channel: str, session: str, status: SessionStatus | None) -> bool:
        """The old owner's last word of a session: what it finished, or that it is over. False if too late."""
        takeover = self._takeovers.get(channel)
        if takeover is None or session in takeover.decided:
            return False
        if status is None:
            takeover.in_flight.discard(session)
            takeover.statuses.pop(session, None)
            takeover.decided.add(session)
            if takeover.active:
                self._out.add(Settled(channel, takeover.fence, over=(session,)))
            return True
        takeover.statuses[session] = status
        takeover.reported.add(session)
        takeover.in_flight_at_start.add(session)
        if takeover.holding:  # a list from before this attempt may still come: what it lacks is not over
            takeover.in_flight.add(session)
        if status.box not in takeover.boxes:
            takeover.boxes[status.box] = _ServerClaim(now, False)
        else:  # its list may be from before this attempt
            box = takeover.boxes[status.box]
            box.answered, box.claim_at = False, now
            takeover.answers.pop(status.box, None)
        self.tick(now)
        return True

    def on_claimed(self, now: float, channel: str, claimed: ClaimResult) -> None:
        """What a box said; one that was not reached is asked again at its time."""
        takeover = self._takeovers.get(channel)
        if takeover is None or claimed.box not in takeover.boxes or not claimed.reached:
            return
        if (claimed.fence != takeover.fence) if claimed.accepted else (claimed.fence <= takeover.fence):
            return  # of an earlier claim, late
        takeover.boxes[claimed.box].answered = True
        takeover.answers[claimed.box] = claimed
        self._evaluate(now, takeover)

    def attempted(self, channel: str, session: str, box: int) -> None:
        """This front sets the session up at that box: a later attempt that its list names is its own."""
        takeover = self._takeovers.get(channel)
        if takeover is not None:
            takeover.own_servers.setdefault(session, set()).add(box)

    def gone(self, now: float, box: int) -> None:
        """The box is off the list for good: what stood there is over."""
        for takeover in list(self._takeovers.values()):
            if box in takeover.boxes:
                takeover.boxes[box].answered = True
                takeover.answers[box] = ClaimResult(box, True, True, takeover.fence)
                self._evaluate(now, takeover)

    def undecided(self, channel: str) -> dict[str, SessionStatus]:
        """What may stand of a channel that is being taken over, and is not settled yet."""
        takeover = self._takeovers.get(channel)
        if takeover is None:
            return {}
        return {one: status for one, status in takeover.statuses.items() if one not in takeover.decided}

    def stop(self, channel: str) -> None:
        """The channel is another's: nothing more is claimed."""
        self._takeovers.pop(channel, None)

    def tick(self, now: float) -> None:
        for takeover in list(self._takeovers.values()):
            self._send_claims(now, takeover)
            self._evaluate(now, takeover)

    def next_deadline(self) -> float | None:
        deadlines: list[float] = []
        for takeover in self._takeovers.values():
            deadlines += [box.claim_at for box in takeover.boxes.values() if not box.answered]
            if not takeover.active:
                deadlines.append(takeover.started_at + self.rules.answer_timeout_ms)
            elif takeover.holding:
                deadlines.append(takeover.hold_until)
            elif takeover.in_flight:
                deadlines.append(takeover.relist_until)
            elif any(session not in takeover.decided for session in takeover.statuses):
                deadlines.append(takeover.hold_until + self.rules.doubt_ms)
        return min(deadlines, default=None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- pieces ---

    def _send_claims(self, now: float, takeover: _ChannelTakeover) -> None:
        due = []
        for number, box in takeover.boxes.items():
            if box.answered or now < box.claim_at:
                continue
            if now >= takeover.started_at + self.rules.server_timeout_ms:
                box.answered = True
                continue
            due.append(number)
            is_overdue = now >= takeover.hold_until + self.rules.doubt_ms
            box.claim_at = now + (self.rules.slow_retry_ms if is_overdue else self.rules.retry_ms)
        if due:
            self._out.add(Claim(takeover.channel, takeover.fence, tuple(due), takeover.overlap_ms))

    def _evaluate(self, now: float, takeover: _ChannelTakeover) -> None:
        if self._takeovers.get(takeover.channel) is not takeover:
            return
        result = reconcile(takeover.statuses, list(takeover.answers.values()))
        if result.higher_fence:
            del self._takeovers[takeover.channel]
            self._out.add(HigherFenceFound(takeover.channel, result.higher_fence))
            return
        if not takeover.active:
            waiting = any(box.required and not box.answered for box in takeover.boxes.values())
            if waiting and now < takeover.started_at + self.rules.answer_timeout_ms:
                return
            takeover.active = True
            statuses = tuple(takeover.statuses.values())
            self._out.add(Inherited(takeover.channel, takeover.fence, len(result.unknown), statuses))
        self._end_hold(now, takeover)
        self._settle(now, takeover)
        self._finish(now, takeover)

    def _end_hold(self, now: float, takeover: _ChannelTakeover) -> None:
        """The old owner's time has passed: lists from before that say nothing of what it set up last."""
        if takeover.holding and now >= takeover.hold_until:
            takeover.holding = False
            gap = 1_000.0 / self.rules.relists_per_s
            takeover.relist_until = now + gap * len(takeover.boxes) + self.rules.answer_timeout_ms
            if takeover.hold_until > takeover.started_at:
                takeover.answers.clear()
                for turn, box in enumerate(takeover.boxes.values()):
                    box.answered, box.claim_at = False, now + turn * gap
                self._send_claims(now, takeover)
        answered = all(box.answered for box in takeover.boxes.values())
        if not takeover.holding and (answered or now >= takeover.relist_until):
            takeover.in_flight.clear()

    def _settle(self, now: float, takeover: _ChannelTakeover) -> None:
        result = reconcile(takeover.statuses, list(takeover.answers.values()), self._possibly_moved(takeover))
        settled = takeover.decided | takeover.in_flight
        blocked = takeover.decided | (takeover.in_flight - takeover.reported)
        new = [status for status in result.take if status.session not in blocked]
        over = [session for session in result.over if session not in settled]
        gone = [takeover.statuses[session] for session in over] + self._missing_sessions(takeover)
        if now >= takeover.hold_until + self.rules.doubt_ms:
            over += [one.session for one in result.unknown if one.session not in settled]
        for status in new:
            takeover.statuses[status.session] = status
        for session in {*over, *(status.session for status in gone)}:
            del takeover.statuses[session]  # should a box list it after all, it is unwanted there
        takeover.decided.update(status.session for status in new)
        takeover.decided.update(over)
        give_up = [] if takeover.holding else self._sessions_to_release(takeover, result)
        if new or over or give_up or gone:
            self._out.add(
                Settled(
                    takeover.channel, takeover.fence, tuple(new), tuple(over), tuple(give_up), tuple(gone)
                ),
            )

    def _possibly_moved(self, takeover: _ChannelTakeover) -> Container[str]:
        """Sessions that a box which has not told may have: all, or after a planned hand-off what was out."""
        if all(box.answered for box in takeover.boxes.values()):
            return ()
        return takeover.in_flight_at_start if takeover.planned else takeover.statuses

    def _missing_sessions(self, takeover: _ChannelTakeover) -> list[SessionStatus]:
        """What was taken by a first list and is missing in the second, but for what was set up here since."""
        if takeover.holding:
            return []
        listed_attempts = {
            box: {one[:2] for one in answers.sessions} for box, answers in takeover.answers.items()
        }
        return [
            status
            for session, status in takeover.statuses.items()
            if session in takeover.decided
            and session not in takeover.in_flight
            and session not in takeover.own_servers
            and (session, status.attempt) not in listed_attempts.get(status.box, ((session, status.attempt),))
        ]

    def _sessions_to_release(
        self, takeover: _ChannelTakeover, result: Reconciled
    ) -> list[tuple[int, str, int]]:
        """What to release. Of a session that was taken a later attempt may be this front's own doing."""
        new = []
        listed = [*result.give_up, *((one.box, one.session, one.attempt) for one in result.take)]
        for box, session, attempt in listed:
            own_servers = takeover.statuses.get(session)
            if (box, session, attempt) in takeover.released or session in takeover.in_flight:
                continue
            if own_servers is not None:
                is_own = not self.rules.attempts_reported or box in takeover.own_servers.get(session, ())
                if (box, attempt) == (own_servers.box, own_servers.attempt) or (
                    attempt > own_servers.attempt and is_own
                ):
                    continue
            new.append((box, session, attempt))
        takeover.released.update(new)
        return new

    def _finish(self, now: float, takeover: _ChannelTakeover) -> None:
        if not takeover.holding and all(box.answered for box in takeover.boxes.values()):
            unsettled = any(session not in takeover.decided for session in takeover.statuses)
            if not unsettled:
                del self._takeovers[takeover.channel]
                self._out.add(Finished(takeover.channel, takeover.fence))
