"""The record of a front among its peers: its acts with the versions they rested on, copies, and questions.

Joins the parts of `acts`: what is added to the chain, who holds copies, what heads are spread. Nothing is
decided here.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from msgspec.structs import replace

from fernweir.peers.acts.block import Sealed
from fernweir.peers.acts.chain import Chain
from fernweir.peers.acts.clock import Clocks
from fernweir.peers.acts.copies import Copies
from fernweir.peers.acts.heads import Missing, Shortened, Tampered
from fernweir.peers.acts.merge import Answer, Answered
from fernweir.peers.acts.messages import Ask, Keep, Kept, Piece, Ping, Pong
from fernweir.peers.acts.plan import Budget, Question
from fernweir.peers.acts.questions import Questions
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.store import Store
from fernweir.peers.acts.versions import Versions, boxes_digest
from fernweir.peers.base import Effect, Event, Message, Outbox
from fernweir.peers.port import AuditRecord

Trouble = Missing | Shortened | Tampered


@dataclass(frozen=True, slots=True)
class Rested(Event):
    """An act of a peer, at most so old, rested on these versions."""

    owner: str
    versions: Versions
    age_ms: float


class Recording:
    """`wall_ms` gives how far the wall clock is ahead of `now`.

    Events: `Missing`, `Shortened`, `Tampered`; `Rested` for each block of another that is kept.
    """

    def __init__(
        self, me: str, life: int, rules: ActRules, seed: int, versions: Versions,
        wall_ms: Callable[[], float], store: Store,
    ) -> None:  # fmt: skip
        self.versions = versions
        self._wall_ms = wall_ms
        self._out = Outbox()
        self.chain = Chain(me, life, rules)
        self.store = store
        self.copies = Copies(me, life, rules, self.chain, self.store)
        self.clocks = Clocks(me, life, rules, seed)
        self.questions = Questions(me, life, rules, seed, self.copies, self.clocks)
        self._asked: dict[int, Callable[[Answer], None]] = {}
        self._head = b""
        self.copies.on_kept = self._kept

    def add(self, act: AuditRecord) -> None:
        self.chain.add(act, self.versions)

    def list_told(self, rows: Sequence[tuple[int, Any]], told_at: float) -> None:
        """The list of boxes has this content from now on."""
        self.versions = replace(self.versions, boxes=boxes_digest(rows), boxes_told_at=max(int(told_at), 0))

    def members(self, now: float, lives: Mapping[str, int]) -> None:
        self.copies.members(now, lives)
        self.clocks.peers(now, lives)

    def gone(self, now: float, name: str) -> None:
        self.questions.gone(now, name)

    def ask(
        self, now: float, question: Question, fronts: Mapping[str, int], then: Callable[[Answer], None],
        planned: Mapping[tuple[str, int], tuple[float, float]] | None, budget: Budget,
        known: Collection[tuple[str, int]],
    ) -> bool:  # fmt: skip
        """`then` is called once, at the question's deadline at the latest. False if too many run."""
        number = self.questions.ask(now, question, fronts, self._wall_ms(), planned, budget, known)
        if number is not None:
            self._asked[number] = then
        return number is not None

    def new_head(self, now: float) -> bytes | None:
        """What is to be spread of the chain's end, if that has changed."""
        if (self.chain.digest, self.chain.final) == (self._head, False):
            return None
        self._head = self.chain.digest
        return self.copies.head(now)

    def heard_head(self, now: float, owner: str, life: int, data: bytes) -> None:
        self.copies.heard_head(now, owner, life, data)

    def close(self, now: float) -> None:
        """The front ends in order: its last block says so."""
        self.copies.flush(now, final=True)

    # --- base.Part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, Keep | Kept):
            self.copies.on_message(now, sender, message)
        elif isinstance(message, Ping | Pong):
            self.clocks.on_message(now, sender, message)
        elif isinstance(message, Ask | Piece):
            self.questions.on_message(now, sender, message)

    def tick(self, now: float) -> None:
        self.chain.wall(now, round(self._wall_ms()), _WALL_DOUBT_MS)
        self.copies.tick(now)
        self.clocks.tick(now)
        self.questions.tick(now)

    def next_deadline(self) -> float | None:
        dues = (self.copies.next_deadline(), self.clocks.next_deadline(), self.questions.next_deadline())
        return min((due for due in dues if due is not None), default=None)

    def take_effects(self) -> list[Effect]:
        effects = (
            self.copies.take_effects()
            + self.clocks.take_effects()
            + self.questions.take_effects()
            + self._out.take_effects()
        )
        for effect in effects:
            if isinstance(effect, Answered) and effect.id in self._asked:
                self._asked.pop(effect.id)(effect.answer)
        return [effect for effect in effects if not isinstance(effect, Answered)]

    def _kept(self, now: float, sealed: Sealed) -> None:
        """What the newest act of a block rested on; as old as the clocks can prove at the least."""
        block = sealed.block
        if block.bases:
            when = self.clocks.own(block.front, block.life, block.until)
            self._out.add(Rested(block.front, block.versions[block.bases[-1]], now - when.earliest))


_WALL_DOUBT_MS = 1.0  # between two readings of the clocks; what the wall clock is worth is not known here
