"""The audit log of a front: its records with the versions they were based on, its replicas, and queries.

Connects the parts of `fernweir.peers.acts`: the chain of blocks, their replicas at peers, and the published
heads. The decisions are made in those parts.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

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
from fernweir.peers.acts.versions import Versions
from fernweir.peers.base import Effect, Event, Message, Outbox
from fernweir.peers.port import AuditRecord

Fault = Missing | Shortened | Tampered


@dataclass(frozen=True, slots=True)
class VersionsObserved(Event):
    """The versions on which an audit record of a peer was based; `age_ms` is its maximum age."""

    owner: str
    versions: Versions
    age_ms: float


class AuditRecorder:
    """Maintains the audit log. `wall_ms` returns the offset of the wall clock from `now`.

    Events: `Missing`, `Shortened`, `Tampered`; `VersionsObserved` for each stored block of a peer.
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
        self._pending_queries: dict[int, Callable[[Answer], None]] = {}
        self._published_head = b""
        self.copies.on_kept = self._on_block_stored

    def add(self, act: AuditRecord) -> None:
        """Adds a record to the audit log of this front."""
        self.chain.add(act, self.versions)

    def on_endpoint_list(self, digest: bytes, told_at: float) -> None:
        """Records the digest of the endpoint list's new content in the versions."""
        self.versions = replace(self.versions, boxes=digest, boxes_told_at=max(int(told_at), 0))

    def update_members(self, now: float, lives: Mapping[str, int]) -> None:
        """Sets the live fronts with their incarnations."""
        self.copies.members(now, lives)
        self.clocks.peers(now, lives)

    def on_front_gone(self, now: float, name: str) -> None:
        """Ends the requests to a front that is gone."""
        self.questions.gone(now, name)

    def query(
        self, now: float, question: Question, fronts: Mapping[str, int], then: Callable[[Answer], None],
        planned: Mapping[tuple[str, int], tuple[float, float]] | None, budget: Budget,
        known: Collection[tuple[str, int]],
    ) -> bool:  # fmt: skip
        """Queries the audit logs of the fronts. Returns False if too many queries are running.

        `then` is called once, at the deadline of the query at the latest.
        """
        number = self.questions.ask(now, question, fronts, self._wall_ms(), planned, budget, known)
        if number is not None:
            self._pending_queries[number] = then
        return number is not None

    def take_changed_head(self, now: float) -> bytes | None:
        """Returns the head of the audit log for publication, or None if it has not changed."""
        if (self.chain.digest, self.chain.final) == (self._published_head, False):
            return None
        self._published_head = self.chain.digest
        return self.copies.head(now)

    def on_head(self, now: float, owner: str, life: int, data: bytes) -> None:
        """Handles the published head of the audit log of a peer."""
        self.copies.heard_head(now, owner, life, data)

    def close(self, now: float) -> None:
        """Completes the audit log with a block that is marked as final."""
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
        self.chain.wall(now, round(self._wall_ms()), _WALL_READING_ERROR_MS)
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
            if isinstance(effect, Answered) and effect.id in self._pending_queries:
                self._pending_queries.pop(effect.id)(effect.answer)
        return [effect for effect in effects if not isinstance(effect, Answered)]

    def _on_block_stored(self, now: float, sealed: Sealed) -> None:
        """Reports the versions of the newest record in a block, with its maximum age by the clocks."""
        block = sealed.block
        if block.bases:
            when = self.clocks.own(block.front, block.life, block.until)
            self._out.add(VersionsObserved(block.front, block.versions[block.bases[-1]], now - when.earliest))


_WALL_READING_ERROR_MS = 1.0  # between two readings of the clocks, without the error of the wall clock itself
