"""Large blobs over the connections between fronts: in chunks, resumed where they broke off.

The receiver names the offset from which it wants to go on and how far (credit), so the sender needs to
remember nothing of earlier tries: after a break, or a restart of either side, it offers again and is told.
A blob is named by its BLAKE2b digest from the first message on, and handed over only if it has that digest.
All that go out share one budget, a chunk each in turn.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fernweir.peers.base import Effect, Event, Message, Outbox, Send
from fernweir.peers.facts.budget import Budget
from fernweir.peers.facts.incoming import Answer, Incoming
from fernweir.peers.facts.messages import Cancel, Chunk, Done, Offer, Ready, Refused
from fernweir.peers.facts.outgoing import Outgoing, Sending
from fernweir.peers.facts.rules import TransferRules


@dataclass(frozen=True, slots=True)
class Received(Event):
    sender: str
    name: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Delivered(Event):
    """The receiver says that it has all of it."""

    to: str
    name: str


@dataclass(frozen=True, slots=True)
class Failed(Event):
    """It is given up, and will not be offered again."""

    to: str
    name: str
    why: str


class Transfers:
    """Both sides of all transfers of a front. Everything goes `whole`."""

    def __init__(self, rules: TransferRules, seed: int) -> None:
        self.rules = rules
        self._dice = Random(f"transfers {seed}")
        self._out = Outbox()
        self._outgoing, self._incoming = Outgoing(rules), Incoming(rules)
        self._budget = Budget(rules.bytes_per_s, rules.burst_bytes)
        self._send_at: float | None = None

    def offer(self, now: float, to: str, name: str, data: bytes) -> None:
        """TransferError if it is too large, or too much is offered at once. Takes the place of an older blob
        of that name to that peer, of which nothing more is said.
        """
        one = self._outgoing.add(now, to, name, data)
        self._say(to, one.offer())

    def cancel(self, name: str) -> None:
        """To all to whom it was offered; nothing more is said of it."""
        for one in self._outgoing.named(name):
            self._outgoing.remove(one)
            self._say(one.to, Cancel(one.name, one.digest))

    def on_message(self, now: float, sender: str, message: Message) -> None:
        match message:
            case Offer():
                self._answer(sender, message.name, self._incoming.offered(now, sender, message))
            case Chunk():
                self._answer(sender, message.name, self._incoming.chunk(now, sender, message))
            case Cancel():
                self._incoming.cancelled(sender, message.name, message.digest)
            case Ready() | Done() | Refused():
                one = self._outgoing.get(sender, message.name, message.digest)
                if one is not None:
                    self._heard_of(now, one, message)
        self._plan(now)

    def tick(self, now: float) -> None:
        self._incoming.forget_old(now)
        for one in self._outgoing.failed(now):
            self._fail(one, one.why)
        for one in self._outgoing.to_offer_again(now):
            self._say(one.to, one.again(now, self.rules))
        while self._budget.level(now) >= self.rules.chunk_bytes and (turn := self._outgoing.next_turn()):
            chunk = turn.chunk(now, self.rules)
            self._budget.spend(now, len(chunk.data))
            self._say(turn.to, chunk)
        self._plan(now)

    def next_deadline(self) -> float | None:
        due = (self._outgoing.next_deadline(), self._incoming.next_deadline(), self._send_at)
        return min((one for one in due if one is not None), default=None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    def _heard_of(self, now: float, one: Sending, message: Ready | Done | Refused) -> None:
        if isinstance(message, Ready):
            if not one.ready(now, message, self.rules):
                self._fail(one, "offsets that can't be")
        elif isinstance(message, Done):
            self._outgoing.remove(one)
            self._out.add(Delivered(one.to, one.name))
        elif message.later:
            one.why = message.why
            one.asking = True
            one.retry_at = now + self.rules.retry_ms * self._dice.uniform(0.5, 1.5)
        else:
            self._outgoing.remove(one)
            self._out.add(Failed(one.to, one.name, message.why))

    def _answer(self, sender: str, name: str, answer: Answer) -> None:
        message, whole = answer
        if message is not None:
            self._say(sender, message)
        if whole is not None:
            self._out.add(Received(sender, name, whole))

    def _fail(self, one: Sending, why: str) -> None:
        self._outgoing.remove(one)
        self._say(one.to, Cancel(one.name, one.digest))
        self._out.add(Failed(one.to, one.name, why))

    def _say(self, to: str, message: Message) -> None:
        self._out.add(Send(to, message, reliable=True))

    def _plan(self, now: float) -> None:
        sendable = self._outgoing.any_sendable()
        self._send_at = self._budget.when(now, self.rules.chunk_bytes) if sendable else None
