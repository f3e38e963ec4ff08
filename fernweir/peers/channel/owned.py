"""Replicates an owned channel to its standbys: batches of changes, snapshots in pieces, acknowledgements.

The state after each batch has a sequence number under the fence of the channel, and a replica always equals
the state at one of them. Batches are retained, up to a bound, while standbys may need them. A standby that is
new or further behind first receives a snapshot, which it can resume after an interruption.
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

_MAX_PLACEMENT_BYTES = 40  # also an upper bound for the id of an ended session
_RETAINED_BATCHES = 16  # batches retained although all standbys have them
_DROP_ATTEMPTS = 3  # messages to a former standby that it may drop its replica


@dataclass(frozen=True, slots=True)
class _Batch:
    seq: int
    changed: list[SessionStatus]
    ended: list[str]
    moved: list[tuple[str, Placement]]
    size: int
    closed_at: float


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """All statuses at `seq`, split into pieces."""

    seq: int
    pieces: tuple[list[SessionStatus], ...]
    at: float


@dataclass(slots=True)
class _Follower:
    """The replication state of a standby. `acked` and `sent` are sequence numbers, -1 for none."""

    has_acked: bool = False
    acked: int = -1
    sent: int = -1
    snapshot: _Snapshot | None = None
    pieces_acked: int = 0
    pieces_sent: int = 0
    heartbeat_at: float = 0.0
    resend_at: float | None = None
    resends: int = 0  # since the last answer with progress
    sent_at: float = 0.0
    token: int = 0
    token_at: float = 0.0
    refused: str = ""


@dataclass(slots=True)
class OwnedChannel:
    """A channel that this front owns, with its standbys. Effects go to `out`."""

    channel: str
    fence: int
    rules: ReplicaRules
    out: Outbox
    statuses: dict[str, SessionStatus] = field(default_factory=dict)
    seq: int = 0
    _log: deque[_Batch] = field(default_factory=deque)
    _log_bytes: int = 0
    _snapshot: _Snapshot | None = None
    _pending: dict[str, SessionStatus | None] = field(default_factory=dict)
    _previous: dict[str, SessionStatus | None] = field(
        default_factory=dict
    )  # the pending sessions as of the last batch
    _flush_at: float | None = None
    _pending_since: float = 0.0
    _followers: dict[str, _Follower] = field(default_factory=dict)
    _leaving: dict[str, tuple[int, float]] = field(
        default_factory=dict
    )  # former standbys: attempts, next attempt

    # --- the state ---

    def change(self, now: float, status: SessionStatus) -> None:
        old = self.statuses.get(status.session)
        if old != status:
            self.statuses[status.session] = status
            self._queue_change(now, status.session, old, status)

    def end(self, now: float, session: str) -> None:
        old = self.statuses.pop(session, None)
        if old is not None:
            self._queue_change(now, session, old, None)

    def replace_all(self, now: float, statuses: Iterable[SessionStatus]) -> None:
        """Replaces the state by `statuses`."""
        wanted = {status.session: status for status in statuses}
        for session in [session for session in self.statuses if session not in wanted]:
            self.end(now, session)
        for status in wanted.values():
            self.change(now, status)

    def _queue_change(
        self, now: float, session: str, old: SessionStatus | None, status: SessionStatus | None
    ) -> None:
        self._previous.setdefault(session, old)
        self._pending[session] = status
        if self._flush_at is None:
            self._flush_at, self._pending_since = now + self.rules.flush_ms, now

    # --- standbys ---

    def set_standbys(self, now: float, standby_names: Sequence[str]) -> None:
        wanted = standby_names[: self.rules.max_standbys]
        for name in [name for name in self._followers if name not in wanted]:
            del self._followers[name]
            self._leaving[name] = (0, now)
        for name in wanted:
            self._leaving.pop(name, None)
            if name not in self._followers:
                self._followers[name] = _Follower(heartbeat_at=now)
        self.tick(now)

    def standby_names(self) -> list[str]:
        return list(self._followers)

    def is_complete_at(self, name: str) -> bool:
        """Whether the standby has acknowledged the current state."""
        follower = self._followers.get(name)
        return follower is not None and not self._pending and follower.acked == self.seq

    def announce_closed(self, now: float) -> None:
        """Informs all standbys that the channel has ended."""
        for name in [*self._followers, *self._leaving]:
            self.out.add(Send(name, ReplicaDropped(self.channel, self.fence), reliable=True))

    def on_ack(self, now: float, sender: str, ack: ReplicaAck) -> None:
        follower = self._followers.get(sender)
        if follower is None:
            return
        follower.has_acked, follower.token, follower.token_at = True, ack.token, now
        follower.refused = ack.refused
        if ack.refused:
            follower.acked, follower.snapshot, follower.resend_at = -1, None, None
            follower.heartbeat_at = now + self.rules.refused_retry_ms
            return
        seq = ack.seq if ack.fence == self.fence and ack.seq <= self.seq else -1
        if seq != follower.acked:
            follower.sent = max(follower.sent, seq) if seq > follower.acked else seq
            follower.acked = seq
            follower.resend_at, follower.resends = None, 0
        self._resume_snapshot(now, follower, ack if ack.fence == self.fence else None)
        self._send_missing(now, sender, follower)
        self._trim()

    def _resume_snapshot(self, now: float, follower: _Follower, ack: ReplicaAck | None) -> None:
        """Continues a snapshot after the pieces that the standby has acknowledged."""
        if follower.snapshot is not None and follower.acked >= follower.snapshot.seq:
            follower.snapshot = None
        snapshot = follower.snapshot or self._snapshot
        if snapshot is None or ack is None or ack.piece_seq != snapshot.seq or follower.acked >= snapshot.seq:
            return
        if follower.snapshot is not None or self._is_usable(now, snapshot):
            pieces = min(max(ack.pieces, 0), len(snapshot.pieces))
            if follower.snapshot is None:
                follower.snapshot, follower.pieces_sent = snapshot, pieces
            if pieces != follower.pieces_acked:
                follower.pieces_acked, follower.resend_at, follower.resends = pieces, None, 0
            follower.pieces_sent = max(follower.pieces_sent, pieces)

    # --- time ---

    def tick(self, now: float) -> None:
        if self._flush_at is not None and now >= self._flush_at:
            self._flush(now)
            for name, follower in self._followers.items():
                self._send_missing(now, name, follower)
        for name, follower in self._followers.items():
            if follower.resend_at is not None and now >= follower.resend_at:
                follower.sent, follower.pieces_sent = follower.acked, follower.pieces_acked
                follower.resend_at = None
                follower.resends += 1
                self._send_missing(now, name, follower)
            if now >= follower.heartbeat_at:
                acknowledged = follower.has_acked and not follower.refused
                wait = self.rules.heartbeat_ms if acknowledged else self.rules.resend_ms
                follower.heartbeat_at = now + (self.rules.refused_retry_ms if follower.refused else wait)
                if not acknowledged or follower.sent_at + self.rules.heartbeat_ms <= now:
                    as_of = self._as_of(now, follower, self.seq)
                    self.out.add(Send(name, OwnerHeartbeat(self.channel, self.fence, self.seq, as_of)))
                    follower.sent_at = now
                else:  # deltas serve as a heartbeat: the next one is due `heartbeat_ms` after them
                    follower.heartbeat_at = follower.sent_at + self.rules.heartbeat_ms
        for name, (attempts, due) in list(self._leaving.items()):
            if now >= due:
                self.out.add(Send(name, ReplicaDropped(self.channel, self.fence), reliable=True))
                self._leaving[name] = (attempts + 1, now + self.rules.resend_ms)
                if attempts + 1 >= _DROP_ATTEMPTS:
                    del self._leaving[name]

    def next_deadline(self) -> float | None:
        deadlines = [due for _, due in self._leaving.values()]
        for follower in self._followers.values():
            deadlines.append(follower.heartbeat_at)
            if follower.resend_at is not None:
                deadlines.append(follower.resend_at)
        if self._flush_at is not None:
            deadlines.append(self._flush_at)
        return min(deadlines, default=None)

    # --- batches and snapshots ---

    def _flush(self, now: float) -> None:
        """Splits the pending changes into batches, each small enough for one message."""
        batch = _Batch(self.seq + 1, [], [], [], 0, now)
        size = 0
        for session, status in self._pending.items():
            moved = _placement_change(self._previous[session], status)
            full = status is not None and moved is None
            item_size = (
                size_of(status)
                if status is not None and full
                else len(session.encode()) + _MAX_PLACEMENT_BYTES
            )
            if size and size + item_size > self.rules.message_bytes:
                self._append_batch(batch, size)
                batch, size = _Batch(self.seq + 1, [], [], [], 0, now), 0
            size += item_size
            if status is None:
                batch.ended.append(session)
            elif moved is not None:
                batch.moved.append((session, moved))
            else:
                batch.changed.append(status)
        self._append_batch(batch, size)
        self._pending.clear()
        self._previous.clear()
        self._flush_at = None

    def _append_batch(self, batch: _Batch, size: int) -> None:
        self.seq += 1
        self._log.append(replace(batch, size=size))
        self._log_bytes += size
        while self._log_bytes > self.rules.backlog_bytes:
            self._log_bytes -= self._log.popleft().size

    def _logged_batch(self, seq: int) -> _Batch:
        """Returns a retained batch. The log has no gaps, and requests are for batches near its end."""
        return self._log[seq - self.seq - 1]

    def _trim(self) -> None:
        """Removes batches that all standbys have, but for a few, because answers may be reordered."""
        needed = [
            follower.snapshot.seq if follower.snapshot is not None else follower.acked
            for follower in self._followers.values()
            if follower.has_acked and not follower.refused
        ]
        oldest_needed = min(needed, default=self.seq) - _RETAINED_BATCHES
        while self._log and self._log[0].seq <= oldest_needed:
            self._log_bytes -= self._log.popleft().size

    def _take_snapshot(self, now: float) -> _Snapshot:
        """Returns a snapshot of the state after the last batch, or a recent one that is still usable."""
        if self._snapshot is not None and self._is_usable(now, self._snapshot):
            return self._snapshot
        pieces: list[list[SessionStatus]] = [[]]
        size = 0
        for status in self.statuses.values():
            item_size = size_of(status)
            if size and size + item_size > self.rules.message_bytes:
                pieces.append([])
                size = 0
            pieces[-1].append(status)
            size += item_size
        self._snapshot = _Snapshot(self.seq, tuple(pieces), now)
        return self._snapshot

    def _is_usable(self, now: float, snapshot: _Snapshot) -> bool:
        return now < snapshot.at + self.rules.max_snapshot_age_ms and self._log_covers(snapshot.seq)

    def _log_covers(self, seq: int) -> bool:
        """Whether the retained batches continue from `seq` without a gap."""
        return seq >= self.seq or bool(self._log and self._log[0].seq <= seq + 1)

    def _send_missing(self, now: float, name: str, follower: _Follower) -> None:
        """Sends what the standby lacks, within its window."""
        if not follower.has_acked or follower.refused:
            return
        if follower.snapshot is not None and not self._is_usable(now, follower.snapshot):
            follower.snapshot = None
        if follower.snapshot is None and (follower.acked < 0 or not self._log_covers(follower.acked)):
            if self._pending:  # a snapshot needs a closed batch: flush first
                self._flush_at = now
                return
            follower.snapshot = self._take_snapshot(now)
            follower.pieces_acked = follower.pieces_sent = 0
            follower.sent = -1
        if follower.snapshot is not None:
            self._send_pieces(now, name, follower, follower.snapshot)
            unacknowledged = follower.pieces_sent > follower.pieces_acked
        else:
            self._send_deltas(now, name, follower)
            unacknowledged = follower.sent > follower.acked
        if unacknowledged and follower.resend_at is None:
            follower.resend_at = now + self.rules.resend_ms * 2.0 ** min(follower.resends, 4)

    def _send_pieces(self, now: float, name: str, follower: _Follower, snapshot: _Snapshot) -> None:
        until = min(follower.pieces_acked + self.rules.window, len(snapshot.pieces))
        for number in range(follower.pieces_sent, until):
            piece = SnapshotPiece(
                self.channel, self.fence, snapshot.seq, number, len(snapshot.pieces), snapshot.pieces[number],
                self._as_of(now, follower, snapshot.seq),
            )  # fmt: skip
            self._send_state(now, name, follower, piece)
        follower.pieces_sent = max(follower.pieces_sent, until)

    def _send_deltas(self, now: float, name: str, follower: _Follower) -> None:
        until = min(follower.acked + self.rules.window, self.seq)
        first = max(follower.sent, follower.acked) + 1
        for seq in range(first, until + 1):
            batch = self._logged_batch(seq)
            as_of = self._as_of(now, follower, seq)
            deltas = Deltas(self.channel, self.fence, seq, batch.changed, batch.ended, as_of, batch.moved)
            self._send_state(now, name, follower, deltas)
        follower.sent = max(follower.sent, until)

    def _send_state(
        self, now: float, name: str, follower: _Follower, message: SnapshotPiece | Deltas
    ) -> None:
        self.out.add(Send(name, message, reliable=True))
        follower.sent_at = now

    def _as_of(self, now: float, follower: _Follower, seq: int) -> Freshness:
        """Returns the freshness of `seq`, which was complete until the next batch was closed."""
        age = 0.0
        if seq < self.seq:
            snapshot = follower.snapshot
            is_snapshot = snapshot is not None and snapshot.seq == seq
            age = now - (
                snapshot.at if snapshot is not None and is_snapshot else self._logged_batch(seq).closed_at
            )
        elif self._pending:
            age = now - self._pending_since
        return Freshness(max(age, 0.0), follower.token, now - follower.token_at)


def _placement_change(before: SessionStatus | None, status: SessionStatus | None) -> Placement | None:
    """Returns the new placement if nothing else of the status changed."""
    if before is None or status is None:
        return None
    placement = placement_of(status)
    return placement if with_placement(before, placement) == status else None


def placement_of(status: SessionStatus) -> Placement:
    return status.box, status.attempt, status.rung, status.answers, status.spent


def with_placement(status: SessionStatus, placement: Placement) -> SessionStatus:
    server, attempt, rung, answers, spent = placement
    return msgspec.structs.replace(
        status, box=server, attempt=attempt, rung=rung, answers=answers, spent=spent
    )


def size_of(status: SessionStatus) -> int:
    return len(msgspec.msgpack.encode(status))
