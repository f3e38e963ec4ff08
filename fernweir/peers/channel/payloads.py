"""Transfers payloads, from which viewers are answered, to the standbys of their sessions, by digest.

The receiver requests a payload from an offset and gets a window of pieces. Lost pieces are requested again,
so an interrupted transfer resumes. Each payload is transferred once to a front.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from fernweir.peers.base import Event, Outbox, Send
from fernweir.peers.channel.channel_names import payload_digest
from fernweir.peers.channel.messages import PayloadPiece, PayloadRequest
from fernweir.peers.channel.rules import ReplicaRules

_MAX_REQUESTERS = 256  # stored while the front looks up a payload


@dataclass(frozen=True, slots=True)
class NeedPayload(Event):
    """A peer requests a payload: pass it to `ChannelReplication.payload`, or None if it is unknown."""

    digest: bytes


@dataclass(slots=True)
class _Fetch:
    """An incoming payload, from the first of its owners."""

    owners: list[str]
    data: bytearray = field(default_factory=bytearray)
    size: int = -1
    request_at: float = 0.0
    requested_offset: int = 0
    fruitless_requests: int = 0  # requests since the last piece


@dataclass(slots=True)
class _ServedPayload:
    data: bytes
    until: float


class Payloads:
    """Requests and serves payloads. A stored payload is deleted when no replica refers to it."""

    def __init__(self, rules: ReplicaRules, out: Outbox) -> None:
        self.rules, self._out = rules, out
        self._stored: dict[bytes, bytes] = {}
        self._fetches: dict[bytes, _Fetch] = {}
        self._serving: dict[bytes, _ServedPayload] = {}
        self._requesters: dict[tuple[bytes, str], int] = {}

    def get(self, digest: bytes) -> bytes | None:
        return self._stored.get(digest)

    def size(self) -> int:
        return sum(map(len, self._stored.values())) + sum(len(fetch.data) for fetch in self._fetches.values())

    # --- receiver ---

    def request(self, now: float, digest: bytes, owner: str) -> None:
        """Requests a payload that is not here; the most recent owner is asked first."""
        if not digest or digest in self._stored:
            return
        fetch = self._fetches.get(digest)
        if fetch is None:
            fetch = self._fetches[digest] = _Fetch([owner], request_at=now)
        elif owner not in fetch.owners:
            fetch.owners = [owner, *fetch.owners][:4]
        self.tick(now)

    def retain_only(self, digests: Iterable[bytes]) -> None:
        """Deletes all payloads but these."""
        named = set(digests)
        for digest in [digest for digest in self._stored if digest not in named]:
            del self._stored[digest]
        for digest in [digest for digest in self._fetches if digest not in named]:
            del self._fetches[digest]

    def on_piece(self, now: float, sender: str, piece: PayloadPiece) -> None:
        fetch = self._fetches.get(piece.digest)
        if fetch is None or sender not in fetch.owners or not 0 < piece.size <= self.rules.max_payload_bytes:
            return
        if piece.offset != len(fetch.data) or len(fetch.data) + len(piece.data) > piece.size:
            return
        if self.size() + len(piece.data) > self.rules.max_payloads_bytes or not piece.data:
            return
        fetch.data += piece.data
        fetch.size = piece.size
        if len(fetch.data) == piece.size:
            if payload_digest(bytes(fetch.data)) == piece.digest:
                self._stored[piece.digest] = bytes(fetch.data)
                del self._fetches[piece.digest]
            else:  # restart with the next owner
                fetch.owners = [*fetch.owners[1:], fetch.owners[0]]
                fetch.data, fetch.request_at = bytearray(), now + self.rules.resend_ms
        elif len(fetch.data) >= fetch.requested_offset + self.rules.window * self.rules.message_bytes:
            self._send_request(now, piece.digest, fetch)

    # --- sender ---

    def on_request(self, now: float, sender: str, request: PayloadRequest) -> None:
        if not 0 <= request.offset < self.rules.max_payload_bytes or len(request.digest) > 64:
            return
        served = self._serving.get(request.digest)
        data = served.data if served is not None else self._stored.get(request.digest)
        if data is not None:
            self._serve(sender, request.digest, request.offset, data)
        elif len(self._requesters) < _MAX_REQUESTERS:
            asked = any(digest == request.digest for digest, _ in self._requesters)
            self._requesters[(request.digest, sender)] = request.offset
            if not asked:
                self._out.add(NeedPayload(request.digest))

    def on_payload(self, now: float, digest: bytes, data: bytes | None) -> None:
        """Handles the answer of the front to `NeedPayload`."""
        requesters = [(key, offset) for key, offset in self._requesters.items() if key[0] == digest]
        for key, _ in requesters:
            del self._requesters[key]
        if data is None or not 0 < len(data) <= self.rules.max_payload_bytes:
            return
        capacity = self.rules.max_payloads_bytes - sum(len(one.data) for one in self._serving.values())
        if len(data) <= capacity:
            self._serving[digest] = _ServedPayload(data, now + self.rules.serve_ms)
        for (_, sender), offset in requesters:
            self._serve(sender, digest, offset, data)

    def _serve(self, to: str, digest: bytes, offset: int, data: bytes) -> None:
        step = self.rules.message_bytes
        until = min(offset + self.rules.window * step, len(data))
        for at in range(offset, until, step):
            piece = PayloadPiece(digest, len(data), at, data[at : at + step])
            self._out.add(Send(to, piece, reliable=True))

    # --- time ---

    def tick(self, now: float) -> None:
        for digest, fetch in self._fetches.items():
            if now >= fetch.request_at:
                self._send_request(now, digest, fetch)
        for digest in [digest for digest, one in self._serving.items() if now >= one.until]:
            del self._serving[digest]

    def next_deadline(self) -> float | None:
        deadlines = [fetch.request_at for fetch in self._fetches.values()]
        deadlines += [one.until for one in self._serving.values()]
        return min(deadlines, default=None)

    def _send_request(self, now: float, digest: bytes, fetch: _Fetch) -> None:
        if len(fetch.data) > fetch.requested_offset:
            fetch.fruitless_requests = 0
        elif fetch.fruitless_requests:  # no piece arrived: try the next owner, with backoff
            fetch.owners = [*fetch.owners[1:], fetch.owners[0]]
        fetch.requested_offset = len(fetch.data)
        fetch.request_at = now + self.rules.resend_ms * 2.0 ** min(fetch.fruitless_requests, 4)
        fetch.fruitless_requests += 1
        self._out.add(Send(fetch.owners[0], PayloadRequest(digest, len(fetch.data))))
