"""Blobs that are being received: their bytes so far, how far the sender may continue, the digest check."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from fernweir.peers.base import Message
from fernweir.peers.facts.messages import Chunk, Done, Offer, Ready, Refused
from fernweir.peers.facts.rules import TransferRules


def _new_hash() -> Any:
    return blake2b(digest_size=32)


@dataclass(slots=True, eq=False)
class PartialBlob:
    """A blob of which not all bytes have arrived; its sender may send bytes before `limit`."""

    name: str
    digest: bytes
    size: int
    limit: int
    progress_at: float
    data: bytearray = field(default_factory=bytearray)
    hash: Any = field(default_factory=_new_hash)


Answer = tuple[Message | None, bytes | None]  # a message to the sender; a complete blob


class Incoming:
    """Blobs by sender and name. Of a complete blob only the digest is stored."""

    def __init__(self, rules: TransferRules) -> None:
        self.rules = rules
        self._partial: dict[tuple[str, str], PartialBlob] = {}
        self._done: OrderedDict[tuple[str, str], bytes] = OrderedDict()

    def on_offer(self, now: float, sender: str, offer: Offer) -> Answer:
        """Accepts an offer, continues an earlier one, or refuses it."""
        key, rules = (sender, offer.name), self.rules
        if self._done.get(key) == offer.digest:
            return Done(offer.name, offer.digest), None  # an earlier `Done` was lost
        if offer.size > min(rules.max_blob_bytes, rules.max_sender_bytes, rules.max_total_bytes):
            return Refused(offer.name, offer.digest, "too large", False), None
        blob = self._partial.get(key)
        if blob is not None and (blob.digest, blob.size) != (offer.digest, offer.size):
            del self._partial[key]
            blob = None
        if blob is None:
            if not self._has_capacity(sender, offer.size):
                return Refused(offer.name, offer.digest, "busy", True), None
            blob = self._partial[key] = PartialBlob(offer.name, offer.digest, offer.size, 0, now)
        if not offer.size:
            return self._complete(sender, blob)
        return self._grant(blob), None

    def on_chunk(self, now: float, sender: str, chunk: Chunk) -> Answer:
        """Adds the new bytes of a chunk to its blob."""
        blob = self._partial.get((sender, chunk.name))
        if blob is None or blob.digest != chunk.digest:
            return None, None
        received, end = len(blob.data), chunk.offset + len(chunk.data)
        if end > blob.limit:
            del self._partial[sender, blob.name]
            return Refused(blob.name, blob.digest, "more than was let", False), None
        if chunk.offset > received or end <= received:
            return (
                None,
                None,
            )  # either earlier bytes are lost, and the sender will offer again, or it is a duplicate
        fresh = chunk.data[received - chunk.offset :]
        blob.data += fresh
        blob.hash.update(fresh)
        blob.progress_at = now
        if len(blob.data) == blob.size:
            return self._complete(sender, blob)
        if blob.limit < blob.size and blob.limit - len(blob.data) <= self.rules.window_bytes // 2:
            return self._grant(blob), None
        return None, None

    def on_cancel(self, sender: str, name: str, digest: bytes) -> None:
        """Discards a blob that its sender withdrew."""
        blob = self._partial.get((sender, name))
        if blob is not None and blob.digest == digest:
            del self._partial[sender, name]

    def remove_expired(self, now: float) -> None:
        """Discards blobs without progress for `keep_ms`."""
        expired = [key for key, blob in self._partial.items() if now >= blob.progress_at + self.rules.keep_ms]
        for key in expired:
            del self._partial[key]

    def next_deadline(self) -> float | None:
        """Returns when `remove_expired` is due, or None."""
        return min((blob.progress_at + self.rules.keep_ms for blob in self._partial.values()), default=None)

    def _grant(self, blob: PartialBlob) -> Ready:
        blob.limit = min(len(blob.data) + self.rules.window_bytes, blob.size)
        return Ready(blob.name, blob.digest, len(blob.data), blob.limit)

    def _complete(self, sender: str, blob: PartialBlob) -> Answer:
        del self._partial[sender, blob.name]
        if blob.hash.digest() != blob.digest:
            return Refused(blob.name, blob.digest, "not what its digest says", False), None
        self._done[sender, blob.name] = blob.digest
        self._done.move_to_end((sender, blob.name))
        while len(self._done) > self.rules.max_remembered:
            self._done.popitem(last=False)
        return Done(blob.name, blob.digest), bytes(blob.data)

    def _has_capacity(self, sender: str, size: int) -> bool:
        rules = self.rules
        sizes = [blob.size for (blob_sender, _), blob in self._partial.items() if blob_sender == sender]
        return (
            len(self._partial) < rules.max_incoming
            and len(sizes) < rules.max_incoming_per_sender
            and sum(sizes) + size <= rules.max_sender_bytes
            and sum(blob.size for blob in self._partial.values()) + size <= rules.max_total_bytes
        )
