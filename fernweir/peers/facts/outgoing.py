"""Blobs that are offered: which bytes of which may go now, and when an offer is made again or fails."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from fernweir.peers.facts.messages import Chunk, Offer, Ready
from fernweir.peers.facts.rules import TransferError, TransferRules


@dataclass(slots=True, eq=False)
class Sending:
    """`sent`: the next byte to go; `until`: how far the receiver lets it; `confirmed`: what it said it has.

    While `asking`, an offer is out and nothing is sent until its answer names an offset.
    """

    to: str
    name: str
    data: bytes
    digest: bytes
    fail_at: float
    retry_at: float
    asking: bool = True
    sent: int = 0
    until: int = 0
    confirmed: int = 0
    rewinds: int = 0
    why: str = "no answer"

    def offer(self) -> Offer:
        return Offer(self.name, self.digest, len(self.data))

    def ready(self, now: float, message: Ready, rules: TransferRules) -> bool:
        """The receiver says what it has. False if that can't be."""
        if message.offset > len(self.data) or message.until < message.offset:
            return False
        if message.offset < self.confirmed:
            self.rewinds += 1
            if self.rewinds > rules.max_rewinds:
                return False
        if message.offset > self.confirmed:
            self.fail_at, self.why = now + rules.progress_timeout_ms, "no progress"
        self.confirmed = message.offset
        if self.asking or message.offset > self.sent:
            self.sent = message.offset
        self.asking = False
        self.until = min(message.until, message.offset + rules.window_bytes, len(self.data))
        self.retry_at = now + rules.retry_ms
        return True

    def sendable(self) -> bool:
        return not self.asking and self.sent < self.until

    def chunk(self, now: float, rules: TransferRules) -> Chunk:
        begin, end = self.sent, min(self.sent + rules.chunk_bytes, self.until)
        self.sent, self.retry_at = end, now + rules.retry_ms
        return Chunk(self.name, self.digest, begin, self.data[begin:end])

    def again(self, now: float, rules: TransferRules) -> Offer:
        self.asking, self.retry_at = True, now + rules.retry_ms
        return self.offer()


class Outgoing:
    """Blobs by receiver and name; a new blob of the same name takes an old one's place."""

    def __init__(self, rules: TransferRules) -> None:
        self.rules = rules
        self._sending: dict[tuple[str, str], Sending] = {}  # in the order of their turns

    def add(self, now: float, to: str, name: str, data: bytes) -> Sending:
        rules, old = self.rules, self._sending.get((to, name))
        held = sum(len(one.data) for one in self._sending.values()) - (len(old.data) if old else 0)
        if not 1 <= len(name) <= 255:
            raise TransferError(f"not a name: {name!r:.80}")
        if len(data) > rules.max_blob_bytes:
            raise TransferError(f"{name}: {len(data)} bytes are more than {rules.max_blob_bytes}")
        if held + len(data) > rules.max_total_bytes:
            raise TransferError(f"{name}: more than {rules.max_total_bytes} bytes are offered at once")
        if old is None and len(self._sending) >= rules.max_outgoing:
            raise TransferError(f"{name}: more than {rules.max_outgoing} blobs are offered at once")
        data = bytes(data)
        one = Sending(
            to,
            name,
            data,
            blake2b(data, digest_size=32).digest(),
            now + rules.progress_timeout_ms,
            now + rules.retry_ms,
        )
        self._sending[to, name] = one
        return one

    def get(self, to: str, name: str, digest: bytes) -> Sending | None:
        one = self._sending.get((to, name))
        return one if one is not None and one.digest == digest else None

    def named(self, name: str) -> list[Sending]:
        return [one for one in self._sending.values() if one.name == name]

    def remove(self, one: Sending) -> None:
        self._sending.pop((one.to, one.name), None)

    def next_turn(self) -> Sending | None:
        """Who may send a chunk now; it comes last in the order after that."""
        for key, one in self._sending.items():
            if one.sendable():
                del self._sending[key]
                self._sending[key] = one
                return one
        return None

    def any_sendable(self) -> bool:
        return any(one.sendable() for one in self._sending.values())

    def failed(self, now: float) -> list[Sending]:
        return [one for one in self._sending.values() if now >= one.fail_at]

    def to_offer_again(self, now: float) -> list[Sending]:
        return [one for one in self._sending.values() if now >= one.retry_at and not one.sendable()]

    def next_deadline(self) -> float | None:
        due = [one.fail_at for one in self._sending.values()]
        due += [one.retry_at for one in self._sending.values() if not one.sendable()]
        return min(due, default=None)
