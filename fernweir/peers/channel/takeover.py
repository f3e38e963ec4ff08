"""Takeover of a channel under a new fence: claims servers, reconciles their lists, and settles sessions.

A takeover starts when this front has the lease. All listed servers are claimed, not only those of the
replica, because a session may have started or migrated shortly before the old owner was lost. The takeover
becomes active when all servers have answered (after a planned hand-off: those that have sessions), or after
`answer_timeout_ms`. The sessions of a server without an answer are in doubt until it answers, or for
`doubt_ms`. When the attempts of the old owner must have ended, all servers are claimed a second time. The
decision about a session is final, except for a session that ended between the first list of its server and
its adoption without a notice to anybody: the second list lacks it.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from fernweir.peers.base import Effect, Event, Outbox
from fernweir.peers.channel.reconcile import Reconciled, reconcile, servers_of
from fernweir.peers.channel.rules import TakeoverRules
from fernweir.peers.port import ClaimResult, SessionStatus


@dataclass(frozen=True, slots=True)
class Claim(Event):
    """Claim the channel at these servers, and call `on_claimed` with each answer.

    The servers may accept a lower fence for another `overlap_ms`. This is 0 after an unplanned loss, because
    that owner has no lease: its messages in transit must change nothing after a server has sent its list.
    """

    channel: str
    fence: int
    boxes: tuple[int, ...]
    overlap_ms: float


@dataclass(frozen=True, slots=True)
class Inherited(Event):
    """This front steers the channel from now on. `Settled` events about its sessions follow.

    `statuses` are those of all sessions that may exist, in doubt or not; replication starts with them.
    """

    channel: str
    fence: int
    doubtful: int
    statuses: tuple[SessionStatus, ...]


@dataclass(frozen=True, slots=True)
class Settled(Event):
    """Decisions about sessions of a channel: adopted, ended, or to be released at a server with an attempt.

    `gone` are sessions that were adopted, or belonged to this front before, and that their servers no longer
    run.
    """

    channel: str
    fence: int
    take: tuple[SessionStatus, ...] = ()
    over: tuple[str, ...] = ()
    give_up: tuple[tuple[int, str, int], ...] = ()
    gone: tuple[SessionStatus, ...] = ()


@dataclass(frozen=True, slots=True)
class Finished(Event):
    """No session of the channel is in doubt, and all servers have answered or are ignored."""

    channel: str
    fence: int


@dataclass(frozen=True, slots=True)
class HigherFenceFound(Event):
    """A server has a higher fence: another front owns the channel, and this one must not steer it."""

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
    planned: bool  # the statuses are final, but for attempts in flight
    statuses: dict[str, SessionStatus]
    in_flight_at_start: set[str]  # sessions with an attempt of the old owner in flight
    servers: dict[int, _ServerClaim] = field(default_factory=dict)
    answers: dict[int, ClaimResult] = field(default_factory=dict)
    decided: set[str] = field(default_factory=set)  # adopted or ended
    released: set[tuple[int, str, int]] = field(default_factory=set)
    in_flight: set[str] = field(default_factory=set)  # sessions whose attempt the old owner finishes
    reported: set[str] = field(default_factory=set)  # of those, the ones with a new status
    own_servers: dict[str, set[int]] = field(
        default_factory=dict
    )  # session: servers where this front started an attempt
    holding: bool = True  # unknown sessions may still belong to the old owner
    relist_until: float = 0.0
    active: bool = False


class Takeover:
    """All takeovers at this front."""

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
        """Starts a takeover with the lease under `fence`. `listed` are all listed servers that are up.

        After a planned hand-off the old owner may finish attempts of the sessions in `out` for `planned_ms`;
        they are not decided before. For that time, or for `overlap_ms` after an unplanned loss, unknown
        sessions are not released.
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
        occupied = servers_of(statuses.values())
        for server in sorted({*occupied, *listed}):
            takeover.servers[server] = _ServerClaim(now, planned_ms is None or server in occupied)
        takeover.in_flight |= takeover.in_flight_at_start
        self._takeovers[channel] = takeover
        self.tick(now)

    def has_begun(self, channel: str) -> bool:
        return channel in self._takeovers

    def may_steer(self, channel: str) -> bool | None:
        """Whether the takeover permits steering; None if there is no takeover of the channel."""
        takeover = self._takeovers.get(channel)
        return None if takeover is None else takeover.active

    def on_final_status(self, now: float, channel: str, session: str, status: SessionStatus | None) -> bool:
        """Handles the final status of a session from the old owner, or its end. Returns False if too late."""
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
        if takeover.holding:  # a list older than this attempt may follow, so a missing session has not ended
            takeover.in_flight.add(session)
        if status.box not in takeover.servers:
            takeover.servers[status.box] = _ServerClaim(now, False)
        else:  # its list may be older than this attempt
            server = takeover.servers[status.box]
            server.answered, server.claim_at = False, now
            takeover.answers.pop(status.box, None)
        self.tick(now)
        return True

    def on_claimed(self, now: float, channel: str, claimed: ClaimResult) -> None:
        """Handles the answer of a server; a server that was not reached is claimed again later."""
        takeover = self._takeovers.get(channel)
        if takeover is None or claimed.box not in takeover.servers or not claimed.reached:
            return
        if (claimed.fence != takeover.fence) if claimed.accepted else (claimed.fence <= takeover.fence):
            return  # a delayed answer to an earlier claim
        takeover.servers[claimed.box].answered = True
        takeover.answers[claimed.box] = claimed
        self._evaluate(now, takeover)

    def on_attempt_started(self, channel: str, session: str, server: int) -> None:
        """This front started an attempt at the server: a later attempt in the server's list is its own."""
        takeover = self._takeovers.get(channel)
        if takeover is not None:
            takeover.own_servers.setdefault(session, set()).add(server)

    def on_server_removed(self, now: float, server: int) -> None:
        """The server was removed from the list for good: its sessions have ended."""
        for takeover in list(self._takeovers.values()):
            if server in takeover.servers:
                takeover.servers[server].answered = True
                takeover.answers[server] = ClaimResult(server, True, True, takeover.fence)
                self._evaluate(now, takeover)

    def undecided(self, channel: str) -> dict[str, SessionStatus]:
        """Returns the statuses of sessions in a takeover that are not settled yet."""
        takeover = self._takeovers.get(channel)
        if takeover is None:
            return {}
        return {one: status for one, status in takeover.statuses.items() if one not in takeover.decided}

    def stop(self, channel: str) -> None:
        """Stops the takeover, because another front owns the channel."""
        self._takeovers.pop(channel, None)

    def tick(self, now: float) -> None:
        for takeover in list(self._takeovers.values()):
            self._send_claims(now, takeover)
            self._evaluate(now, takeover)

    def next_deadline(self) -> float | None:
        deadlines: list[float] = []
        for takeover in self._takeovers.values():
            deadlines += [server.claim_at for server in takeover.servers.values() if not server.answered]
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

    # --- internals ---

    def _send_claims(self, now: float, takeover: _ChannelTakeover) -> None:
        due = []
        for number, server in takeover.servers.items():
            if server.answered or now < server.claim_at:
                continue
            if now >= takeover.started_at + self.rules.server_timeout_ms:
                server.answered = True
                continue
            due.append(number)
            is_overdue = now >= takeover.hold_until + self.rules.doubt_ms
            server.claim_at = now + (self.rules.slow_retry_ms if is_overdue else self.rules.retry_ms)
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
            waiting = any(server.required and not server.answered for server in takeover.servers.values())
            if waiting and now < takeover.started_at + self.rules.answer_timeout_ms:
                return
            takeover.active = True
            statuses = tuple(takeover.statuses.values())
            self._out.add(Inherited(takeover.channel, takeover.fence, len(result.unknown), statuses))
        self._end_hold(now, takeover)
        self._settle(now, takeover)
        self._finish(now, takeover)

    def _end_hold(self, now: float, takeover: _ChannelTakeover) -> None:
        """Ends the hold, and claims again: earlier lists may lack the last attempts of the old owner."""
        if takeover.holding and now >= takeover.hold_until:
            takeover.holding = False
            gap = 1_000.0 / self.rules.relists_per_s
            takeover.relist_until = now + gap * len(takeover.servers) + self.rules.answer_timeout_ms
            if takeover.hold_until > takeover.started_at:
                takeover.answers.clear()
                for turn, server in enumerate(takeover.servers.values()):
                    server.answered, server.claim_at = False, now + turn * gap
                self._send_claims(now, takeover)
        answered = all(server.answered for server in takeover.servers.values())
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
            del takeover.statuses[session]  # if a server lists it later, it is released there
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
        """Returns sessions that a silent server may have: all, or those in flight at a planned hand-off."""
        if all(server.answered for server in takeover.servers.values()):
            return ()
        return takeover.in_flight_at_start if takeover.planned else takeover.statuses

    def _missing_sessions(self, takeover: _ChannelTakeover) -> list[SessionStatus]:
        """Returns sessions adopted by a first list that the second lacks, but for attempts of this front."""
        if takeover.holding:
            return []
        listed_attempts = {
            server: {one[:2] for one in answer.sessions} for server, answer in takeover.answers.items()
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
        """Returns attempts to release. A later attempt of an adopted session may be this front's own."""
        new = []
        listed = [*result.give_up, *((one.box, one.session, one.attempt) for one in result.take)]
        for server, session, attempt in listed:
            own_status = takeover.statuses.get(session)
            if (server, session, attempt) in takeover.released or session in takeover.in_flight:
                continue
            if own_status is not None:
                is_own = not self.rules.attempts_reported or server in takeover.own_servers.get(session, ())
                if (server, attempt) == (own_status.box, own_status.attempt) or (
                    attempt > own_status.attempt and is_own
                ):
                    continue
            new.append((server, session, attempt))
        takeover.released.update(new)
        return new

    def _finish(self, now: float, takeover: _ChannelTakeover) -> None:
        if not takeover.holding and all(server.answered for server in takeover.servers.values()):
            unsettled = any(session not in takeover.decided for session in takeover.statuses)
            if not unsettled:
                del self._takeovers[takeover.channel]
                self._out.add(Finished(takeover.channel, takeover.fence))
