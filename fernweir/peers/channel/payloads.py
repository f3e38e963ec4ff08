"""What viewers are answered from, by digest: asked for by those who keep a copy that names it.

The one who wants it asks from an offset on and gets a window of pieces; what is lost is asked for again, so
that a transfer that broke goes on. The same bytes cross once for each digest and front.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from fernweir.peers.base import Event, Outbox, Send
from fernweir.peers.channel.channel_names import payload_digest
from fernweir.peers.channel.messages import PayloadPiece, PayloadRequest
from fernweir.peers.channel.rules import ReplicaRules

_ASKERS = 256  # remembered while a payload is fetched from the front


@dataclass(frozen=True, slots=True)
class NeedPayload(Event):
    """A peer wants these bytes: to be given to `Replica.payload`, with None if they are not here."""

    digest: bytes


@dataclass(slots=True)
class _Fetch:
    """One payload on its way here, from the first of those who have it."""

    owners: list[str]
    data: bytearray = field(default_factory=bytearray)
    size: int = -1
    ask_at: float = 0.0
    asked_from: int = 0
    vain: int = 0  # asks since the last piece came


@dataclass(slots=True)
class _AtHand:
    data: bytes
    until: float


class Payloads:
    """Both sides. What is kept for copies dies when none names it."""

    def __init__(self, rules: ReplicaRules, out: Outbox) -> None:
        self.rules, self._out = rules, out
        self._kept: dict[bytes, bytes] = {}
        self._fetches: dict[bytes, _Fetch] = {}
        self._at_hand: dict[bytes, _AtHand] = {}
        self._askers: dict[tuple[bytes, str], int] = {}

    def get(self, digest: bytes) -> bytes | None:
        return self._kept.get(digest)

    def size(self) -> int:
        return sum(map(len, self._kept.values())) + sum(len(fetch.data) for fetch in self._fetches.values())

    # --- who wants ---

    def want(self, now: float, digest: bytes, owner: str) -> None:
        """Fetches it if it is not here; asked for again from whoever is named last."""
        if not digest or digest in self._kept:
            return
        fetch = self._fetches.get(digest)
        if fetch is None:
            fetch = self._fetches[digest] = _Fetch([owner], ask_at=now)
        elif owner not in fetch.owners:
            fetch.owners = [owner, *fetch.owners][:4]
        self.tick(now)

    def only(self, digests: Iterable[bytes]) -> None:
        """No copy names any other."""
        named = set(digests)
        for digest in [digest for digest in self._kept if digest not in named]:
            del self._kept[digest]
        for digest in [digest for digest in self._fetches if digest not in named]:
            del self._fetches[digest]

    def piece(self, now: float, sender: str, piece: PayloadPiece) -> None:
        fetch = self._fetches.get(piece.digest)
        if fetch is None or sender not in fetch.owners or not 0 < piece.size <= self.rules.payload_most:
            return
        if piece.offset != len(fetch.data) or len(fetch.data) + len(piece.data) > piece.size:
            return
        if self.size() + len(piece.data) > self.rules.payloads_bytes or not piece.data:
            return
        fetch.data += piece.data
        fetch.size = piece.size
        if len(fetch.data) == piece.size:
            if payload_digest(bytes(fetch.data)) == piece.digest:
                self._kept[piece.digest] = bytes(fetch.data)
                del self._fetches[piece.digest]
            else:  # begun anew, from the next who has it
                fetch.owners = [*fetch.owners[1:], fetch.owners[0]]
                fetch.data, fetch.ask_at = bytearray(), now + self.rules.resend_ms
        elif len(fetch.data) >= fetch.asked_from + self.rules.window * self.rules.message_bytes:
            self._ask(now, piece.digest, fetch)

    # --- who has ---

    def wanted(self, now: float, sender: str, wanted: PayloadRequest) -> None:
        if not 0 <= wanted.offset < self.rules.payload_most or len(wanted.digest) > 64:
            return
        at_hand = self._at_hand.get(wanted.digest)
        data = at_hand.data if at_hand is not None else self._kept.get(wanted.digest)
        if data is not None:
            self._serve(sender, wanted.digest, wanted.offset, data)
        elif len(self._askers) < _ASKERS:
            asked = any(digest == wanted.digest for digest, _ in self._askers)
            self._askers[(wanted.digest, sender)] = wanted.offset
            if not asked:
                self._out.add(NeedPayload(wanted.digest))

    def payload(self, now: float, digest: bytes, data: bytes | None) -> None:
        """The front's answer to `NeedPayload`."""
        askers = [(key, offset) for key, offset in self._askers.items() if key[0] == digest]
        for key, _ in askers:
            del self._askers[key]
        if data is None or not 0 < len(data) <= self.rules.payload_most:
            return
        room = self.rules.payloads_bytes - sum(len(one.data) for one in self._at_hand.values())
        if len(data) <= room:
            self._at_hand[digest] = _AtHand(data, now + self.rules.serve_ms)
        for (_, sender), offset in askers:
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
            if now >= fetch.ask_at:
                self._ask(now, digest, fetch)
        for digest in [digest for digest, one in self._at_hand.items() if now >= one.until]:
            del self._at_hand[digest]

    def next_deadline(self) -> float | None:
        dues = [fetch.ask_at for fetch in self._fetches.values()]
        dues += [one.until for one in self._at_hand.values()]
        return min(dues, default=None)

    def _ask(self, now: float, digest: bytes, fetch: _Fetch) -> None:
        if len(fetch.data) > fetch.asked_from:
            fetch.vain = 0
        elif fetch.vain:  # nothing came: try another, and not too often
            fetch.owners = [*fetch.owners[1:], fetch.owners[0]]
        fetch.asked_from = len(fetch.data)
        fetch.ask_at = now + self.rules.resend_ms * 2.0 ** min(fetch.vain, 4)
        fetch.vain += 1
        self._out.add(Send(fetch.owners[0], PayloadRequest(digest, len(fetch.data))))
