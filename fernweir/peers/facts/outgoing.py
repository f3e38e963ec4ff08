"""Blobs that are offered: which bytes may be sent next, and when an offer is repeated or fails."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from fernweir.peers.facts.messages import Chunk, Offer, Ready
from fernweir.peers.facts.rules import TransferError, TransferRules


@dataclass(slots=True, eq=False)
class OutgoingBlob:
    """A blob and the state of its transfer.

    `sent` is the next byte to send, `limit` how far the receiver allows it, and `confirmed` how much the
    receiver reported. While `awaiting_answer`, an offer is in flight and nothing is sent until its answer
    names an offset.
    """

    to: str
    name: str
    data: bytes
    digest: bytes
    fail_at: float
    retry_at: float
    awaiting_answer: bool = True
    sent: int = 0
    limit: int = 0
    confirmed: int = 0
    rewinds: int = 0
    failure_reason: str = "no answer"

    def offer(self) -> Offer:
        """Returns the offer of this blob."""
        return Offer(self.name, self.digest, len(self.data))

    def on_ready(self, now: float, message: Ready, rules: TransferRules) -> bool:
        """Handles what the receiver reports; returns False if that is impossible."""
        if message.offset > len(self.data) or message.limit < message.offset:
            return False
        if message.offset < self.confirmed:
            self.rewinds += 1
            if self.rewinds > rules.max_rewinds:
                return False
        if message.offset > self.confirmed:
            self.fail_at, self.failure_reason = now + rules.progress_timeout_ms, "no progress"
        self.confirmed = message.offset
        if self.awaiting_answer or message.offset > self.sent:
            self.sent = message.offset
        self.awaiting_answer = False
        self.limit = min(message.limit, message.offset + rules.window_bytes, len(self.data))
        self.retry_at = now + rules.retry_ms
        return True

    def is_sendable(self) -> bool:
        """Whether the receiver allows more bytes."""
        return not self.awaiting_answer and self.sent < self.limit

    def next_chunk(self, now: float, rules: TransferRules) -> Chunk:
        """Returns the next chunk and counts it as sent."""
        begin, end = self.sent, min(self.sent + rules.chunk_bytes, self.limit)
        self.sent, self.retry_at = end, now + rules.retry_ms
        return Chunk(self.name, self.digest, begin, self.data[begin:end])

    def repeat_offer(self, now: float, rules: TransferRules) -> Offer:
        """Returns the offer again and waits for its answer."""
        self.awaiting_answer, self.retry_at = True, now + rules.retry_ms
        return self.offer()


class Outgoing:
    """Blobs by receiver and name; a new blob replaces an older one of the same name."""

    def __init__(self, rules: TransferRules) -> None:
        self.rules = rules
        self._blobs: dict[tuple[str, str], OutgoingBlob] = {}  # in the order of their turns

    def add(self, now: float, to: str, name: str, data: bytes) -> OutgoingBlob:
        """Adds a blob.

        Raises:
            TransferError: The name or the blob is too long, or too much is offered at the same time.
        """
        rules, old = self.rules, self._blobs.get((to, name))
        offered = sum(len(blob.data) for blob in self._blobs.values()) - (len(old.data) if old else 0)
        if not 1 <= len(name) <= 255:
            raise TransferError(f"blob name must have 1 to 255 characters: {name!r:.80}")
        if len(data) > rules.max_blob_bytes:
            raise TransferError(
                f"blob {name!r} has {len(data)} bytes, at most {rules.max_blob_bytes} are allowed"
            )
        if offered + len(data) > rules.max_total_bytes:
            raise TransferError(
                f"cannot offer blob {name!r}: limit of {rules.max_total_bytes} bytes of all blobs"
            )
        if old is None and len(self._blobs) >= rules.max_outgoing:
            raise TransferError(f"cannot offer blob {name!r}: limit of {rules.max_outgoing} blobs")
        data = bytes(data)
        blob = OutgoingBlob(
            to,
            name,
            data,
            blake2b(data, digest_size=32).digest(),
            now + rules.progress_timeout_ms,
            now + rules.retry_ms,
        )
        self._blobs[to, name] = blob
        return blob

    def get(self, to: str, name: str, digest: bytes) -> OutgoingBlob | None:
        """Returns the blob with this digest, or None."""
        blob = self._blobs.get((to, name))
        return blob if blob is not None and blob.digest == digest else None

    def with_name(self, name: str) -> list[OutgoingBlob]:
        """Returns the blobs of a name, for all receivers."""
        return [blob for blob in self._blobs.values() if blob.name == name]

    def remove(self, blob: OutgoingBlob) -> None:
        """Ends the transfer of a blob."""
        self._blobs.pop((blob.to, blob.name), None)

    def next_turn(self) -> OutgoingBlob | None:
        """Returns the next blob that can send a chunk, and moves it to the end of the order."""
        for key, blob in self._blobs.items():
            if blob.is_sendable():
                del self._blobs[key]
                self._blobs[key] = blob
                return blob
        return None

    def has_sendable(self) -> bool:
        """Whether any blob can send a chunk."""
        return any(blob.is_sendable() for blob in self._blobs.values())

    def timed_out(self, now: float) -> list[OutgoingBlob]:
        """Returns the blobs whose transfer has failed by now."""
        return [blob for blob in self._blobs.values() if now >= blob.fail_at]

    def due_offers(self, now: float) -> list[OutgoingBlob]:
        """Returns the blobs whose offer must be repeated."""
        return [blob for blob in self._blobs.values() if now >= blob.retry_at and not blob.is_sendable()]

    def next_deadline(self) -> float | None:
        """Returns when the next blob fails or must be offered again, or None."""
        due = [blob.fail_at for blob in self._blobs.values()]
        due += [blob.retry_at for blob in self._blobs.values() if not blob.is_sendable()]
        return min(due, default=None)
