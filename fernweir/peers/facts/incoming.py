"""Blobs that are coming: what is here of each, how far its sender may go on, whether it is what was said."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from fernweir.peers.base import Message
from fernweir.peers.facts.messages import Chunk, Done, Offer, Ready, Refused
from fernweir.peers.facts.rules import TransferRules


def _hash() -> Any:
    return blake2b(digest_size=32)


@dataclass(slots=True, eq=False)
class Partial:
    name: str
    digest: bytes
    size: int
    until: int
    moved_at: float
    data: bytearray = field(default_factory=bytearray)
    hash: Any = field(default_factory=_hash)


Answer = tuple[Message | None, bytes | None]  # what to say to the sender; a blob that is whole


class Incoming:
    """Blobs by sender and name. What is whole is handed out and remembered only by its digest."""

    def __init__(self, rules: TransferRules) -> None:
        self.rules = rules
        self._partial: dict[tuple[str, str], Partial] = {}
        self._done: OrderedDict[tuple[str, str], bytes] = OrderedDict()

    def offered(self, now: float, sender: str, offer: Offer) -> Answer:
        key, rules = (sender, offer.name), self.rules
        if self._done.get(key) == offer.digest:
            return Done(offer.name, offer.digest), None  # it had not heard so
        if offer.size > min(rules.max_blob_bytes, rules.max_sender_bytes, rules.max_total_bytes):
            return Refused(offer.name, offer.digest, "too large", False), None
        one = self._partial.get(key)
        if one is not None and (one.digest, one.size) != (offer.digest, offer.size):
            del self._partial[key]
            one = None
        if one is None:
            if not self._room(sender, offer.size):
                return Refused(offer.name, offer.digest, "busy", True), None
            one = self._partial[key] = Partial(offer.name, offer.digest, offer.size, 0, now)
        if not offer.size:
            return self._whole(sender, one)
        return self._let(one), None

    def chunk(self, now: float, sender: str, chunk: Chunk) -> Answer:
        one = self._partial.get((sender, chunk.name))
        if one is None or one.digest != chunk.digest:
            return None, None
        here, end = len(one.data), chunk.offset + len(chunk.data)
        if end > one.until:
            del self._partial[sender, one.name]
            return Refused(one.name, one.digest, "more than was let", False), None
        if chunk.offset > here or end <= here:
            return None, None  # what was before it is lost: the sender will ask; or it is here already
        fresh = chunk.data[here - chunk.offset :]
        one.data += fresh
        one.hash.update(fresh)
        one.moved_at = now
        if len(one.data) == one.size:
            return self._whole(sender, one)
        if one.until < one.size and one.until - len(one.data) <= self.rules.window_bytes // 2:
            return self._let(one), None
        return None, None

    def cancelled(self, sender: str, name: str, digest: bytes) -> None:
        one = self._partial.get((sender, name))
        if one is not None and one.digest == digest:
            del self._partial[sender, name]

    def forget_old(self, now: float) -> None:
        old = [key for key, one in self._partial.items() if now >= one.moved_at + self.rules.keep_ms]
        for key in old:
            del self._partial[key]

    def next_deadline(self) -> float | None:
        return min((one.moved_at + self.rules.keep_ms for one in self._partial.values()), default=None)

    def _let(self, one: Partial) -> Ready:
        one.until = min(len(one.data) + self.rules.window_bytes, one.size)
        return Ready(one.name, one.digest, len(one.data), one.until)

    def _whole(self, sender: str, one: Partial) -> Answer:
        del self._partial[sender, one.name]
        if one.hash.digest() != one.digest:
            return Refused(one.name, one.digest, "not what its digest says", False), None
        self._done[sender, one.name] = one.digest
        self._done.move_to_end((sender, one.name))
        while len(self._done) > self.rules.max_remembered:
            self._done.popitem(last=False)
        return Done(one.name, one.digest), bytes(one.data)

    def _room(self, sender: str, size: int) -> bool:
        rules = self.rules
        his = [one.size for (whose, _), one in self._partial.items() if whose == sender]
        return (
            len(self._partial) < rules.max_incoming
            and len(his) < rules.max_incoming_per_sender
            and sum(his) + size <= rules.max_sender_bytes
            and sum(one.size for one in self._partial.values()) + size <= rules.max_total_bytes
        )
