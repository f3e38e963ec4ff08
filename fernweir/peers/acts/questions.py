"""Questions over the acts of all fronts: asked of every shard, answered in bounded pieces, put together.

The asker pulls: one piece of a shard is asked for at a time, and the place to go on from is its own to
remember, so that a front that dies in the middle is replaced by a copy, and nobody else has to remember
anything. First every front answers for itself and says which copies it holds; then shards whose owner is not
there, or has not all of its chain, are asked of holders.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import inf
from random import Random

from msgspec.structs import replace as change

from fernweir.peers.acts import plan
from fernweir.peers.acts.answers import Answerer
from fernweir.peers.acts.clock import Clocks, Sure, When, both, exactly
from fernweir.peers.acts.copies import Copies
from fernweir.peers.acts.messages import Ask, Held, Piece, Select
from fernweir.peers.acts.plan import AfterDrain, Budget, Question, Still
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.shard import Shard, Span
from fernweir.peers.base import Effect, Message, Outbox, Send

from fernweir.peers.acts.merge import (  # isort: skip
    Answer, Answered, Found, Gap, Said, Why, earliest, found, stills, when_of, within,
)  # fmt: skip

_WAITING = 64  # asks of others that may wait for their turn
Chain = tuple[str, int]


@dataclass(slots=True)
class _Running:
    """A question on its way. `lives`: the fronts that are there; `listing`: who has not answered yet."""

    id: int
    question: Question
    budget: Budget
    stage: Select
    began: float
    lives: dict[str, int]
    planned: Mapping[Chain, tuple[float, float]] | None
    known: Collection[Chain] | None
    answer: Answer
    listing: dict[str, tuple[float, int]]
    rows_left: int
    bytes_left: int
    number: int = 1
    holders: dict[Chain, dict[str, Held]] = field(default_factory=dict)
    shards: dict[Chain, Shard] = field(default_factory=dict)
    partial: set[Chain] = field(default_factory=set)

    @property
    def deadline(self) -> float:
        return self.began + self.budget.deadline_ms


class Questions:
    """`ask` gives a question's id; its answer is an `Answered` event, at its deadline at the latest."""

    def __init__(
        self, me: str, life: int, rules: ActRules, seed: int, copies: Copies, clocks: Clocks
    ) -> None:
        self.me, self.life, self.rules = me, life, rules
        self.copies, self.clocks = copies, clocks
        self.refused = 0
        self._dice = Random(seed)
        self._answerer = Answerer(copies, clocks, rules)
        self._running: dict[int, _Running] = {}
        self._waiting: deque[tuple[str, Ask]] = deque()
        self._now = -inf
        self._out = Outbox()

    def ask(
        self,
        now: float,
        question: Question,
        fronts: Mapping[str, int],
        wall: float = 0.0,
        planned: Mapping[Chain, tuple[float, float]] | None = None,
        budget: Budget | None = None,
        known: Collection[Chain] | None = None,
    ) -> int | None:
        """`fronts`: those believed alive, with their lives, oneself among them or not. `wall`: how far the
        wall clock is ahead of `now`. `planned`: the shards that may have anything, with the span of their own
        clocks in which that lies; all else is left out, of those that whoever planned had `known`, if that
        is given: what nobody foresaw is read whole.

        None if as many questions run already as may.
        """
        if len(self._running) >= self.rules.asked:
            return None
        self._now = now
        budget = budget or Budget(self.rules.rows, self.rules.answer_bytes, self.rules.deadline_ms)
        lives = {**fronts, self.me: self.life}
        stage = plan.first(now, question, wall, self.rules.context)
        id = self._dice.getrandbits(52)
        run = _Running(
            id, question, budget, stage, now, lives, planned, known,
            Answer(question, wall), dict.fromkeys(lives, (now, 0)), budget.rows, budget.bytes,
        )  # fmt: skip
        self._running[id] = run
        self._begin_stage(now, run)
        return id

    def gone(self, now: float, name: str) -> None:
        """A front died or left: it is not waited for."""
        for run in list(self._running.values()):
            self._silent(run, name)
            self._step(now, run)

    def close(self, now: float) -> None:
        """This life is over: each question that runs is answered with what has come, the rest as gaps."""
        for run in list(self._running.values()):
            while run.id in self._running:  # a second stage is over as soon as it begins
                self._stop(run, Why.UNREACHED)
                self._end_stage(now, run)

    def on_message(self, now: float, sender: str, message: Message) -> None:
        self._now = now
        if isinstance(message, Ask):
            if len(self._waiting) < _WAITING:
                self._waiting.append((sender, message))
            else:
                self.refused += 1
        elif isinstance(message, Piece):
            self._piece(now, sender, message)

    def tick(self, now: float) -> None:
        """One piece is answered a tick, so that what else the loop has to do comes in between."""
        self._now = now
        if self._waiting:
            sender, ask = self._waiting.popleft()
            piece = self._answerer.answer(now, ask)
            if sender == self.me:
                self._piece(now, sender, piece)
            else:
                self._out.add(Send(sender, piece, reliable=True))
        for run in list(self._running.values()):
            self._step(now, run)

    def next_deadline(self) -> float | None:
        if self._waiting:
            return self._now
        dues = [run.deadline for run in self._running.values()]
        for run in self._running.values():
            dues += [at + self.rules.part_ms for at, _ in run.listing.values()]
            dues += [shard.sent_at + self.rules.part_ms for shard in run.shards.values() if shard.source]
        return min(dues, default=None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- a stage ---

    def _begin_stage(self, now: float, run: _Running) -> None:
        run.shards = {}
        heads = self.copies.heads
        chains = {
            **dict.fromkeys(run.lives.items()),
            **dict.fromkeys(heads.chains()),
            **dict.fromkeys(run.holders),
        }
        for owner, life in chains:
            self._shard(run, owner, life)
        for name, life in run.lives.items():
            if name in run.listing:
                shard = run.shards.get((name, life))
                if shard is not None:
                    self._begin(now, run, shard, name)
                else:
                    self._send(name, Ask(run.id, name, life, run.stage, 1, 0, 0, 1, 1, True))
                    run.listing[name] = now, run.listing[name][1] + 1
        self._step(now, run)

    def _shard(self, run: _Running, owner: str, life: int) -> None:
        """Makes a shard of a chain that was heard of, if the question wants it."""
        if (owner, life) in run.shards:
            return
        front = run.question.front if isinstance(run.question, plan.Acts) else None
        if front is not None and owner != front:
            return
        foreseen = run.known is None or (owner, life) in run.known
        if run.planned is not None and foreseen and (owner, life) not in run.planned:
            if (owner, life) not in run.answer.left_out:
                run.answer.left_out.append((owner, life))
            return
        head = self.copies.heads.newest(owner, life)
        shard = Shard(owner, life, head.number if head is not None else 0, run.lives.get(owner) == life)
        run.shards[owner, life] = shard

    def _step(self, now: float, run: _Running) -> None:
        if run.id not in self._running:
            return
        for name, (at, tries) in list(run.listing.items()):
            if now - at >= self.rules.part_ms:
                if tries >= self.rules.tries:
                    self._silent(run, name)
                elif not any(shard.source == name and shard.owner == name for shard in run.shards.values()):
                    life = run.lives[name]
                    self._send(name, Ask(run.id, name, life, run.stage, 1, 0, 0, 1, 1, True))
                    run.listing[name] = now, tries + 1
        for shard in list(run.shards.values()):
            if shard.source and now - shard.sent_at >= self.rules.part_ms:
                if shard.tries >= self.rules.tries:
                    self._silent(run, shard.source)
                else:
                    self._ask(now, run, shard)
            if not shard.source and not shard.done:
                self._next_source(now, run, shard)
        if now >= run.deadline:
            self._stop(run, Why.DEADLINE)
        elif run.rows_left <= 0 or run.bytes_left <= 0:
            self._stop(run, Why.BUDGET)
        if all(shard.done for shard in run.shards.values()) and not run.listing:
            self._end_stage(now, run)

    def _next_source(self, now: float, run: _Running, shard: Shard) -> None:
        if shard.live and shard.owner not in shard.asked and shard.owner not in run.answer.silent:
            self._begin(now, run, shard, shard.owner)
            return
        if run.listing:
            return  # who holds copies is not known yet
        held = run.holders.get((shard.owner, shard.life), {})
        if shard.asked or not held:
            shard.close(self._ends(shard, held))
        shard.todo = [span for span in shard.todo if self._matters(run, shard, span)]
        best = sorted(held.values(), key=lambda one: one.last, reverse=True)
        for one in best:
            name = next(name for name, other in held.items() if other is one)
            if (
                name not in shard.asked
                and name not in run.answer.silent
                and any(span.number <= one.last and one.first <= span.last for span in shard.todo)
            ):
                self._begin(now, run, shard, name)
                return
        shard.done = True

    def _ends(self, shard: Shard, held: Mapping[str, Held]) -> int:
        """The last block of a chain, as far as anybody knows."""
        if shard.whole_from_owner:
            return max(shard.known, shard.upto)
        return max((shard.known, shard.upto, *(one.last for one in held.values())))

    def _matters(self, run: _Running, shard: Shard, span: Span) -> bool:
        """Blocks from before all that the question wants of the shard don't."""
        since = self._select(run, shard).since
        if since is None or shard.oldest is None:
            return True
        number, oldest = shard.oldest
        return not (span.last < number and oldest <= since)

    def _begin(self, now: float, run: _Running, shard: Shard, source: str) -> None:
        shard.begin(source)
        self._ask(now, run, shard)

    def _ask(self, now: float, run: _Running, shard: Shard) -> None:
        place = shard.place
        shard.sent_at, shard.tries = now, shard.tries + 1
        listing = shard.source in run.listing
        if listing:
            run.listing[shard.source] = now, run.listing[shard.source][1] + 1
        rows = max(1, min(self.rules.piece_rows, run.rows_left))
        size = max(1, min(self.rules.piece_bytes, run.bytes_left))
        select = self._select(run, shard)
        self._send(
            shard.source,
            Ask(
                run.id,
                shard.owner,
                shard.life,
                select,
                place.number,
                place.row,
                place.last,
                rows,
                size,
                listing,
            ),
        )

    def _send(self, to: str, ask: Ask) -> None:
        if to == self.me:
            self._waiting.append((to, ask))
        else:
            self._out.add(Send(to, ask, reliable=True))

    def _select(self, run: _Running, shard: Shard) -> Select:
        """The stage's wishes with its times on the shard's clock, with all the room that clocks leave."""
        since, until = run.stage.since, run.stage.until
        if since is not None:
            low = self.clocks.theirs(shard.owner, shard.life, exactly(since)).earliest
            since = low if low > -inf else None
        if until is not None:
            high = self.clocks.theirs(shard.owner, shard.life, exactly(until)).latest
            until = high if high < inf else None
        if run.planned is not None:
            low, high = run.planned.get((shard.owner, shard.life), (-inf, inf))
            since = max(low, -inf if since is None else since)
            until = min(high, inf if until is None else until)
            since, until = since if since > -inf else None, until if until < inf else None
        return change(run.stage, since=since, until=until)

    # --- what comes ---

    def _piece(self, now: float, sender: str, piece: Piece) -> None:
        run = self._running.get(piece.id)
        if run is None or sender not in run.lives:
            self.refused += 1
            return
        if sender in run.listing and (piece.held or (piece.owner, piece.life) == (sender, run.lives[sender])):
            del run.listing[sender]
            if piece.my_life != run.lives[sender]:  # it began anew, which nobody has said yet
                run.lives[sender] = piece.my_life
                self._shard(run, sender, piece.my_life)
            self._listed(run, sender, piece.held)
        shard = run.shards.get((piece.owner, piece.life))
        if shard is not None and shard.source == sender:
            if shard.fits(piece):
                self._take(now, run, shard, piece)
            elif (piece.number, piece.row) == (shard.place.number, shard.place.row):
                self.refused += 1  # not a doubled one: it talks nonsense
                shard.fail()
        self._step(now, run)

    def _take(self, now: float, run: _Running, shard: Shard, piece: Piece) -> None:
        cover, before = piece.cover, len(shard.rows) + len(shard.runs)
        run.bytes_left -= shard.take(piece, self.rules)
        run.rows_left -= len(shard.rows) + len(shard.runs) - before
        if cover is not None and cover.spans:
            last = cover.spans[-1][1]
            if not self.copies.check(shard.owner, shard.life, last, cover.digest):
                shard.wrong = True
            if shard.live and shard.source == shard.owner and shard.known > last:
                self.copies.shortened(shard.owner, shard.life, last + 1, shard.known)
        if shard.todo:
            shard.tries = 0
            self._ask(now, run, shard)
        else:
            shard.source = ""

    def _listed(self, run: _Running, sender: str, held: Iterable[Held]) -> None:
        for one in held:
            if one.first <= one.last and (one.owner, one.life) != (sender, run.lives[sender]):
                run.holders.setdefault((one.owner, one.life), {})[sender] = one
                self._shard(run, one.owner, one.life)

    def _silent(self, run: _Running, name: str) -> None:
        if name in run.lives and name not in run.answer.silent:
            run.listing.pop(name, None)
            run.answer.silent.append(name)
            for shard in run.shards.values():
                if shard.source == name:
                    shard.fail()

    def _stop(self, run: _Running, why: Why) -> None:
        for name in list(run.listing):
            self._silent(run, name)
        for shard in run.shards.values():
            if not shard.done:
                shard.why, shard.done = why, True

    # --- the answer ---

    def _end_stage(self, now: float, run: _Running) -> None:
        answer, own = run.answer, self.clocks.own
        shards = list(run.shards.values())
        for shard in shards:
            gaps = self._gaps(run, shard)
            if gaps:
                run.partial.add((shard.owner, shard.life))
            answer.gaps += [gap for gap in gaps if gap not in answer.gaps]
        rows = [found(shard, row, versions, own) for shard in shards for row, versions in shard.rows.values()]
        if isinstance(run.question, AfterDrain) and run.number == 1:
            answer.drains = self._kept(run, rows)
            answer.heard = _heard(answer.drains)
            stopped = any(shard.why for shard in shards)
            stage = plan.second(run.question, run.stage, answer.heard.earliest if answer.heard else None)
            if stage is not None and not stopped:
                run.number, run.stage = 2, stage
                self._begin_stage(now, run)
                return
        elif isinstance(run.question, AfterDrain):
            answer.rows = self._after(answer, rows, run.stage.until)
        else:
            answer.rows = self._kept(run, rows)
        if isinstance(run.question, Still):
            at = run.question.at - answer.wall
            answer.stills = stills(shards, run.question.value, at, own, run.partial)
        answer.rows.sort(key=lambda one: (one.when.earliest, one.owner, one.life, one.number, one.row))
        answer.shards = [
            Said(
                one.owner,
                one.life,
                tuple(one.by),
                sum(high - low + 1 for low, high in one.answered),
                len(one.rows) + len(one.runs),
                one.wall,
            )
            for one in shards
        ]
        answer.took_ms, answer.bytes = now - run.began, run.budget.bytes - run.bytes_left
        del self._running[run.id]
        self._out.add(Answered(run.id, answer))

    def _kept(self, run: _Running, rows: list[Found]) -> list[Found]:
        """Those that may lie in the time asked for, each with how sure that is."""
        since, until = run.stage.since, run.stage.until
        sure = [(one, within(one.when, since, until)) for one in rows]
        return [_with(one, holds, False) for one, holds in sure if holds is not Sure.NO]

    def _after(self, answer: Answer, rows: list[Found], until: float | None) -> list[Found]:
        """Set-ups after the first front heard that the box drains; and whether their own front had."""
        assert answer.heard is not None
        knew: dict[Chain, tuple[int, int]] = {}
        for drain in answer.drains:
            chain, place = (drain.owner, drain.life), (drain.number, drain.row)
            knew[chain] = min(knew.get(chain, place), place)
        kept = []
        for one in rows:
            own_drain = knew.get((one.owner, one.life))
            knows = own_drain is not None and own_drain < (one.number, one.row)
            after = Sure.YES if knows else answer.heard.not_after(one.when)
            sure = both(after, within(one.when, None, until))
            if sure is not Sure.NO:
                kept.append(_with(one, sure, knows))
        return kept

    def _gaps(self, run: _Running, shard: Shard) -> list[Gap]:
        """All that is not in the answer of this shard, and matters to the question."""
        owner, life = shard.owner, shard.life
        held = run.holders.get((owner, life), {})
        if shard.wrong or self.copies.accused(owner, life) or any(one.wrong for one in held.values()):
            return [Gap(owner, life, Why.TAMPERED)]
        if not shard.by:
            return [Gap(owner, life, Why(shard.why) if shard.why else Why.UNREACHED)]
        gaps = []
        if shard.why:
            places = [span.number for span in (*shard.todo, *shard.left)] or [shard.upto + 1]
            return [Gap(owner, life, Why(shard.why), min(places), 0)]
        for span in shard.todo:
            old = shard.oldest is not None and span.last < shard.oldest[0]
            gaps.append(Gap(owner, life, Why.DROPPED if old else Why.LOST, span.number, span.last))
        ended = shard.final and shard.final in shard.answered
        if not shard.whole_from_owner and not ended:
            since = when_of(shard, shard.newest, self.clocks.own) if shard.newest is not None else None
            if not (since is not None and run.stage.until is not None and since.earliest > run.stage.until):
                gaps.append(Gap(owner, life, Why.TAIL, shard.upto + 1, 0, since))
        return gaps


def _heard(drains: list[Found]) -> When | None:
    """When the first of the fronts heard; at the latest when the first did that surely was in time."""
    first = earliest([one.when for one in drains])
    sure = earliest([one.when for one in drains if one.sure is Sure.YES])
    return When(first.earliest, sure.latest if sure is not None else inf) if first is not None else None


def _with(one: Found, sure: Sure, knew: bool) -> Found:
    return replace(one, sure=sure, knew=knew)
