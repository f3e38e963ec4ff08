"""Transfers of large blobs over the connections between fronts, in chunks, resumed after an interruption.

The receiver names the offset from which the sender must continue and how far it may send (credit), so the
sender stores nothing of earlier attempts: after an interruption, or a restart of either side, it offers the
blob again and learns the offset. All messages identify a blob by its BLAKE2b digest, and a blob is delivered
only if it has that digest. All outgoing blobs share one budget and send one chunk each in turn.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fernweir.peers.base import Effect, Event, Message, Outbox, Send
from fernweir.peers.facts.budget import Budget
from fernweir.peers.facts.incoming import Answer, Incoming
from fernweir.peers.facts.messages import Cancel, Chunk, Done, Offer, Ready, Refused
from fernweir.peers.facts.outgoing import Outgoing, OutgoingBlob
from fernweir.peers.facts.rules import TransferRules


@dataclass(frozen=True, slots=True)
class Received(Event):
    """A complete blob was received."""

    sender: str
    name: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Delivered(Event):
    """The receiver reports that it has the complete blob."""

    to: str
    name: str


@dataclass(frozen=True, slots=True)
class Failed(Event):
    """A transfer failed, and the blob will not be offered again."""

    to: str
    name: str
    reason: str


class Transfers:
    """Both sides of all transfers of a front. All messages go over the reliable connection."""

    def __init__(self, rules: TransferRules, seed: int) -> None:
        self.rules = rules
        self._rng = Random(f"transfers {seed}")
        self._out = Outbox()
        self._outgoing, self._incoming = Outgoing(rules), Incoming(rules)
        self._budget = Budget(rules.bytes_per_s, rules.burst_bytes)
        self._send_at: float | None = None

    def offer(self, now: float, to: str, name: str, data: bytes) -> None:
        """Offers a blob to a peer, in place of an older blob of that name, for which no event follows.

        Raises:
            TransferError: The blob is too large, or too much is offered at the same time.
        """
        blob = self._outgoing.add(now, to, name, data)
        self._send(to, blob.offer())

    def cancel(self, name: str) -> None:
        """Withdraws all offers of a name; no event follows."""
        for blob in self._outgoing.with_name(name):
            self._outgoing.remove(blob)
            self._send(blob.to, Cancel(blob.name, blob.digest))

    def on_message(self, now: float, sender: str, message: Message) -> None:
        """Handles a message of one of `TRANSFER_KINDS`."""
        match message:
            case Offer():
                self._send_answer(sender, message.name, self._incoming.on_offer(now, sender, message))
            case Chunk():
                self._send_answer(sender, message.name, self._incoming.on_chunk(now, sender, message))
            case Cancel():
                self._incoming.on_cancel(sender, message.name, message.digest)
            case Ready() | Done() | Refused():
                blob = self._outgoing.get(sender, message.name, message.digest)
                if blob is not None:
                    self._on_answer(now, blob, message)
        self._schedule(now)

    def tick(self, now: float) -> None:
        """Runs the timers that are due, and sends chunks as far as the budget allows."""
        self._incoming.remove_expired(now)
        for blob in self._outgoing.timed_out(now):
            self._fail(blob, blob.failure_reason)
        for blob in self._outgoing.due_offers(now):
            self._send(blob.to, blob.repeat_offer(now, self.rules))
        while self._budget.level(now) >= self.rules.chunk_bytes and (turn := self._outgoing.next_turn()):
            chunk = turn.next_chunk(now, self.rules)
            self._budget.spend(now, len(chunk.data))
            self._send(turn.to, chunk)
        self._schedule(now)

    def next_deadline(self) -> float | None:
        """Returns the latest time for the next `tick`, or None."""
        due = (self._outgoing.next_deadline(), self._incoming.next_deadline(), self._send_at)
        return min((at for at in due if at is not None), default=None)

    def take_effects(self) -> list[Effect]:
        """Returns all effects since the last call and removes them."""
        return self._out.take_effects()

    def _on_answer(self, now: float, blob: OutgoingBlob, message: Ready | Done | Refused) -> None:
        if isinstance(message, Ready):
            if not blob.on_ready(now, message, self.rules):
                self._fail(blob, "offsets that can't be")
        elif isinstance(message, Done):
            self._outgoing.remove(blob)
            self._out.add(Delivered(blob.to, blob.name))
        elif message.may_retry:
            blob.failure_reason = message.reason
            blob.awaiting_answer = True
            blob.retry_at = now + self.rules.retry_ms * self._rng.uniform(0.5, 1.5)
        else:
            self._outgoing.remove(blob)
            self._out.add(Failed(blob.to, blob.name, message.reason))

    def _send_answer(self, sender: str, name: str, answer: Answer) -> None:
        message, data = answer
        if message is not None:
            self._send(sender, message)
        if data is not None:
            self._out.add(Received(sender, name, data))

    def _fail(self, blob: OutgoingBlob, reason: str) -> None:
        self._outgoing.remove(blob)
        self._send(blob.to, Cancel(blob.name, blob.digest))
        self._out.add(Failed(blob.to, blob.name, reason))

    def _send(self, to: str, message: Message) -> None:
        self._out.add(Send(to, message, reliable=True))

    def _schedule(self, now: float) -> None:
        sendable = self._outgoing.has_sendable()
        self._send_at = self._budget.available_at(now, self.rules.chunk_bytes) if sendable else None
