"""The owner's side of a channel's copies: changes gathered into batches, snapshots in pieces, acks.

The state after each batch has a sequence number under the channel's fence; a standby's copy is always the
state at one of them. Batches are kept while standbys may need them, within a bound; who is behind that, or
new, gets a snapshot first, and goes on where it broke off.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

import msgspec

from fernweir.peers.base import Outbox, Send
from fernweir.peers.channel.messages import (
    Deltas,
    Freshness,
    OwnerHeartbeat,
    Placement,
    ReplicaAck,
    ReplicaDropped,
    SnapshotPiece,
)
from fernweir.peers.channel.rules import ReplicaRules
from fernweir.peers.port import SessionStatus

_SMALL = 40  # bytes of a placing, at most; more than an end takes
_SPARE = 16  # batches kept that all standbys have
_DROPS = 3  # times a standby is told that its copy may go


@dataclass(frozen=True, slots=True)
class _Batch:
    seq: int
    changed: list[SessionStatus]
    ended: list[str]
    moved: list[tuple[str, Placement]]
    size: int
    closed_at: float


@dataclass(frozen=True, slots=True)
class _Frozen:
    """All that stood at `seq`, cut into pieces."""

    seq: int
    pieces: tuple[list[SessionStatus], ...]
    at: float


@dataclass(slots=True)
class _Follower:
    """A standby, as the owner knows it. `acked` and `sent` are sequence numbers, -1 for none."""

    heard: bool = False
    acked: int = -1
    sent: int = -1
    frozen: _Frozen | None = None
    pieces_acked: int = 0
    pieces_sent: int = 0
    hail_at: float = 0.0
    resend_at: float | None = None
    resends: int = 0  # without an answer that got on
    told_at: float = 0.0
    token: int = 0
    token_at: float = 0.0
    refused: str = ""


@dataclass(slots=True)
class OwnedChannel:
    """One channel that this front owns. Effects go to `out`."""

    channel: str
    fence: int
    rules: ReplicaRules
    out: Outbox
    statuses: dict[str, SessionStatus] = field(default_factory=dict)
    seq: int = 0
    _log: deque[_Batch] = field(default_factory=deque)
    _log_bytes: int = 0
    _frozen: _Frozen | None = None
    _pending: dict[str, SessionStatus | None] = field(default_factory=dict)
    _before: dict[str, SessionStatus | None] = field(
        default_factory=dict
    )  # what those were in the last batch
    _flush_at: float | None = None
    _pending_since: float = 0.0
    _followers: dict[str, _Follower] = field(default_factory=dict)
    _leaving: dict[str, tuple[int, float]] = field(default_factory=dict)  # standbys no more: tries, next

    # --- the state ---

    def change(self, now: float, status: SessionStatus) -> None:
        old = self.statuses.get(status.session)
        if old != status:
            self.statuses[status.session] = status
            self._gather(now, status.session, old, status)

    def end(self, now: float, session: str) -> None:
        old = self.statuses.pop(session, None)
        if old is not None:
            self._gather(now, session, old, None)

    def become(self, now: float, statuses: Iterable[SessionStatus]) -> None:
        """The state is this from now on."""
        wanted = {status.session: status for status in statuses}
        for session in [session for session in self.statuses if session not in wanted]:
            self.end(now, session)
        for status in wanted.values():
            self.change(now, status)

    def _gather(
        self, now: float, session: str, old: SessionStatus | None, status: SessionStatus | None
    ) -> None:
        self._before.setdefault(session, old)
        self._pending[session] = status
        if self._flush_at is None:
            self._flush_at, self._pending_since = now + self.rules.flush_ms, now

    # --- standbys ---

    def standbys(self, now: float, names: Sequence[str]) -> None:
        wanted = names[: self.rules.standbys_most]
        for name in [name for name in self._followers if name not in wanted]:
            del self._followers[name]
            self._leaving[name] = (0, now)
        for name in wanted:
            self._leaving.pop(name, None)
            if name not in self._followers:
                self._followers[name] = _Follower(hail_at=now)
        self.tick(now)

    def names(self) -> list[str]:
        return list(self._followers)

    def is_complete_at(self, name: str) -> bool:
        """Whether that standby has said that it has all up to now."""
        follower = self._followers.get(name)
        return follower is not None and not self._pending and follower.acked == self.seq

    def drop(self, now: float) -> None:
        """The channel is over: all standbys are told so."""
        for name in [*self._followers, *self._leaving]:
            self.out.add(Send(name, ReplicaDropped(self.channel, self.fence), reliable=True))

    def have(self, now: float, sender: str, told: ReplicaAck) -> None:
        follower = self._followers.get(sender)
        if follower is None:
            return
        follower.heard, follower.token, follower.token_at = True, told.token, now
        follower.refused = told.refused
        if told.refused:
            follower.acked, follower.frozen, follower.resend_at = -1, None, None
            follower.hail_at = now + self.rules.refused_ms
            return
        seq = told.seq if told.fence == self.fence and told.seq <= self.seq else -1
        if seq != follower.acked:
            follower.sent = max(follower.sent, seq) if seq > follower.acked else seq
            follower.acked = seq
            follower.resend_at, follower.resends = None, 0
        self._pieces(now, follower, told if told.fence == self.fence else None)
        self._push(now, sender, follower)
        self._trim()

    def _pieces(self, now: float, follower: _Follower, told: ReplicaAck | None) -> None:
        """Where a snapshot goes on: the standby names what it has of which."""
        if follower.frozen is not None and follower.acked >= follower.frozen.seq:
            follower.frozen = None
        frozen = follower.frozen or self._frozen
        if frozen is None or told is None or told.piece_seq != frozen.seq or follower.acked >= frozen.seq:
            return
        if follower.frozen is not None or self._usable(now, frozen):
            pieces = min(max(told.pieces, 0), len(frozen.pieces))
            if follower.frozen is None:
                follower.frozen, follower.pieces_sent = frozen, pieces
            if pieces != follower.pieces_acked:
                follower.pieces_acked, follower.resend_at, follower.resends = pieces, None, 0
            follower.pieces_sent = max(follower.pieces_sent, pieces)

    # --- time ---

    def tick(self, now: float) -> None:
        if self._flush_at is not None and now >= self._flush_at:
            self._flush(now)
            for name, follower in self._followers.items():
                self._push(now, name, follower)
        for name, follower in self._followers.items():
            if follower.resend_at is not None and now >= follower.resend_at:
                follower.sent, follower.pieces_sent = follower.acked, follower.pieces_acked
                follower.resend_at = None
                follower.resends += 1
                self._push(now, name, follower)
            if now >= follower.hail_at:
                quiet = follower.heard and not follower.refused
                wait = self.rules.beat_ms if quiet else self.rules.resend_ms
                follower.hail_at = now + (self.rules.refused_ms if follower.refused else wait)
                if not quiet or follower.told_at + self.rules.beat_ms <= now:
                    as_of = self._as_of(now, follower, self.seq)
                    self.out.add(Send(name, OwnerHeartbeat(self.channel, self.fence, self.seq, as_of)))
                    follower.told_at = now
                else:  # deltas said as much: the next one is due a beat after them
                    follower.hail_at = follower.told_at + self.rules.beat_ms
        for name, (tries, due) in list(self._leaving.items()):
            if now >= due:
                self.out.add(Send(name, ReplicaDropped(self.channel, self.fence), reliable=True))
                self._leaving[name] = (tries + 1, now + self.rules.resend_ms)
                if tries + 1 >= _DROPS:
                    del self._leaving[name]

    def next_deadline(self) -> float | None:
        dues = [due for _, due in self._leaving.values()]
        for follower in self._followers.values():
            dues.append(follower.hail_at)
            if follower.resend_at is not None:
                dues.append(follower.resend_at)
        if self._flush_at is not None:
            dues.append(self._flush_at)
        return min(dues, default=None)

    # --- batches and snapshots ---

    def _flush(self, now: float) -> None:
        """Closes what was gathered into batches, each small enough for one message."""
        batch = _Batch(self.seq + 1, [], [], [], 0, now)
        size = 0
        for session, status in self._pending.items():
            moved = _moved(self._before[session], status)
            full = status is not None and moved is None
            one = size_of(status) if status is not None and full else len(session.encode()) + _SMALL
            if size and size + one > self.rules.message_bytes:
                self._close(batch, size)
                batch, size = _Batch(self.seq + 1, [], [], [], 0, now), 0
            size += one
            if status is None:
                batch.ended.append(session)
            elif moved is not None:
                batch.moved.append((session, moved))
            else:
                batch.changed.append(status)
        self._close(batch, size)
        self._pending.clear()
        self._before.clear()
        self._flush_at = None

    def _close(self, batch: _Batch, size: int) -> None:
        self.seq += 1
        self._log.append(replace(batch, size=size))
        self._log_bytes += size
        while self._log_bytes > self.rules.backlog_bytes:
            self._log_bytes -= self._log.popleft().size

    def _batch(self, seq: int) -> _Batch:
        """One that is kept: they have no gaps, and what is asked for lies near the end."""
        return self._log[seq - self.seq - 1]

    def _trim(self) -> None:
        """Batches that no standby lacks go, but for a few, as an answer may be overtaken."""
        needs = [
            follower.frozen.seq if follower.frozen is not None else follower.acked
            for follower in self._followers.values()
            if follower.heard and not follower.refused
        ]
        least = min(needs, default=self.seq) - _SPARE
        while self._log and self._log[0].seq <= least:
            self._log_bytes -= self._log.popleft().size

    def _freeze(self, now: float) -> _Frozen:
        """A snapshot of the state after the last batch; one that others still use serves as well."""
        if self._frozen is not None and self._usable(now, self._frozen):
            return self._frozen
        pieces: list[list[SessionStatus]] = [[]]
        size = 0
        for status in self.statuses.values():
            one = size_of(status)
            if size and size + one > self.rules.message_bytes:
                pieces.append([])
                size = 0
            pieces[-1].append(status)
            size += one
        self._frozen = _Frozen(self.seq, tuple(pieces), now)
        return self._frozen

    def _usable(self, now: float, frozen: _Frozen) -> bool:
        return now < frozen.at + self.rules.frozen_ms and self._reaches(frozen.seq)

    def _reaches(self, seq: int) -> bool:
        """Whether the kept batches go on from there without a gap."""
        return seq >= self.seq or bool(self._log and self._log[0].seq <= seq + 1)

    def _push(self, now: float, name: str, follower: _Follower) -> None:
        """Sends what the standby lacks, as far as its window allows."""
        if not follower.heard or follower.refused:
            return
        if follower.frozen is not None and not self._usable(now, follower.frozen):
            follower.frozen = None
        if follower.frozen is None and (follower.acked < 0 or not self._reaches(follower.acked)):
            if self._pending:  # a snapshot is of the state after a batch: close this one first
                self._flush_at = now
                return
            follower.frozen = self._freeze(now)
            follower.pieces_acked = follower.pieces_sent = 0
            follower.sent = -1
        if follower.frozen is not None:
            self._push_pieces(now, name, follower, follower.frozen)
            waits = follower.pieces_sent > follower.pieces_acked
        else:
            self._push_deltas(now, name, follower)
            waits = follower.sent > follower.acked
        if waits and follower.resend_at is None:
            follower.resend_at = now + self.rules.resend_ms * 2.0 ** min(follower.resends, 4)

    def _push_pieces(self, now: float, name: str, follower: _Follower, frozen: _Frozen) -> None:
        until = min(follower.pieces_acked + self.rules.window, len(frozen.pieces))
        for number in range(follower.pieces_sent, until):
            piece = SnapshotPiece(
                self.channel, self.fence, frozen.seq, number, len(frozen.pieces), frozen.pieces[number],
                self._as_of(now, follower, frozen.seq),
            )  # fmt: skip
            self._tell(now, name, follower, piece)
        follower.pieces_sent = max(follower.pieces_sent, until)

    def _push_deltas(self, now: float, name: str, follower: _Follower) -> None:
        until = min(follower.acked + self.rules.window, self.seq)
        first = max(follower.sent, follower.acked) + 1
        for seq in range(first, until + 1):
            batch = self._batch(seq)
            as_of = self._as_of(now, follower, seq)
            deltas = Deltas(self.channel, self.fence, seq, batch.changed, batch.ended, as_of, batch.moved)
            self._tell(now, name, follower, deltas)
        follower.sent = max(follower.sent, until)

    def _tell(self, now: float, name: str, follower: _Follower, message: SnapshotPiece | Deltas) -> None:
        self.out.add(Send(name, message, reliable=True))
        follower.told_at = now

    def _as_of(self, now: float, follower: _Follower, seq: int) -> Freshness:
        """The state at `seq` was all there was until the next batch was closed; older ones say no more."""
        age = 0.0
        if seq < self.seq:
            frozen = follower.frozen
            snapshot = frozen is not None and frozen.seq == seq
            age = now - (frozen.at if frozen is not None and snapshot else self._batch(seq).closed_at)
        elif self._pending:
            age = now - self._pending_since
        return Freshness(max(age, 0.0), follower.token, now - follower.token_at)


def _moved(before: SessionStatus | None, status: SessionStatus | None) -> Placement | None:
    """The new placing, if nothing else of the standing changed."""
    if before is None or status is None:
        return None
    placement = placement_of(status)
    return placement if with_placement(before, placement) == status else None


def placement_of(status: SessionStatus) -> Placement:
    return status.box, status.attempt, status.rung, status.answers, status.spent


def with_placement(status: SessionStatus, placement: Placement) -> SessionStatus:
    box, attempt, rung, answers, spent = placement
    return msgspec.structs.replace(status, box=box, attempt=attempt, rung=rung, answers=answers, spent=spent)


def size_of(status: SessionStatus) -> int:
    return len(msgspec.msgpack.encode(status))
