"""One shard of a question that runs: what was asked of whom, what came, and what of it is missing.

A shard is one life of one front. Its owner answers if it can; what it can't say is asked of holders of
copies, one after another. Blocks never change, so an answer that broke off goes on at another source from
the place where it was.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from fernweir.peers.acts.clock import Relation, Sample
from fernweir.peers.acts.messages import Piece, Row, Run
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.spans import Spans
from fernweir.peers.acts.versions import Versions

LAST = (1 << 53) - 2


@dataclass(slots=True)
class Span:
    """Blocks to be asked for, the first from `row` on."""

    number: int
    row: int
    last: int


@dataclass(slots=True)
class Shard:
    """`sources`: still to be tried, best first. `known`: the number of the newest head that was known."""

    owner: str
    life: int
    known: int = 0
    live: bool = False  # its owner is there, in that life
    sources: list[str] = field(default_factory=list)
    source: str = ""
    asked: list[str] = field(default_factory=list)
    todo: list[Span] = field(default_factory=lambda: [Span(1, 0, LAST)])
    left: list[Span] = field(default_factory=list)
    upto: int = 0  # blocks up to this one were answered, or are in `left`
    answered: Spans = field(default_factory=Spans)
    rows: dict[tuple[int, int], tuple[Row, tuple[Versions, ...]]] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    by: list[str] = field(default_factory=list)  # who answered
    whole_from_owner: bool = False
    final: int = 0  # the last block of a front that ended in order
    oldest: tuple[int, float] | None = (
        None  # the oldest block that is kept, and its time on the owner's clock
    )
    newest: float | None = None  # up to when, on the owner's clock, its acts are in the answer
    through: dict[str, tuple[int, Relation]] = field(default_factory=dict)
    wall: tuple[float, float] = (0.0, 1e16)
    wrong: bool = False
    why: str = ""  # it was stopped for that
    sent_at: float = 0.0
    tries: int = 0
    done: bool = False

    @property
    def place(self) -> Span:
        return self.todo[0]

    def begin(self, source: str) -> None:
        self.source, self.tries = source, 0
        self.asked.append(source)

    def fail(self) -> None:
        """The source is gone, or talks nonsense: what it was asked for is left."""
        self.left = self.todo + self.left
        self.todo, self.source = [], ""

    def fits(self, piece: Piece) -> bool:
        """Whether a piece answers what was asked last, and goes on."""
        place = self.place
        ahead = (piece.next_number, piece.next_row) > (piece.number, piece.row) or not piece.more
        inside = all(
            piece.number <= row.number <= place.last and 0 <= row.versions < len(piece.versions)
            and all(0 <= one.versions < len(piece.versions) for one in row.context)
            for row in piece.rows
        )  # fmt: skip
        return ahead and inside and (piece.number, piece.row) == (place.number, place.row)

    def take(self, piece: Piece, rules: ActRules) -> int:
        """Adds a piece that fits; about how many bytes it was."""
        place, cover = self.place, piece.cover
        if self.source not in self.by and cover is not None:
            self.by.append(self.source)
        for row in piece.rows:
            self.rows.setdefault((row.number, row.row), (row, piece.versions))
        self.runs += piece.runs
        until = piece.next_number - 1 if piece.more else place.last
        if cover is not None:
            self._covered(piece, until, place, rules)
        else:
            self.left.append(Span(place.number, place.row, place.last))
            until = place.last
        if piece.more and cover is not None and piece.next_number <= place.last:
            self.todo[0] = Span(piece.next_number, piece.next_row, place.last)
        else:
            self.todo.pop(0)
        return 60 * len(piece.runs) + sum(
            60 + len(one.session) + len(one.title) + len(one.outcome)
            for row in piece.rows
            for one in (row, *row.context)
        )

    def _covered(self, piece: Piece, until: int, place: Span, rules: ActRules) -> None:
        cover = piece.cover
        assert cover is not None
        last = max((high for _, high in cover.spans), default=0)
        if place.last == LAST:  # an open end: there are as many as anybody knows of
            ends = max(last, cover.head, self.known)
            until = min(until, ends)
        if not (self.whole_from_owner or (self.live and self.source == self.owner)):
            self.known = max(self.known, cover.head)
        held = Spans()
        for low, high in cover.spans:
            if low <= high:
                held.add(low, high)
        start = place.number
        for low, high in held.missing(start, until):
            self.left.append(Span(low, place.row if low == start else 0, high))
        for low, high in held:
            if max(low, start) <= min(high, until):
                self.answered.add(max(low, start), min(high, until))
        self.upto = max(self.upto, until)
        if held:
            self.oldest = min(self.oldest or (held.first, cover.since), (held.first, cover.since))
        if until >= last and (self.newest is None or cover.until > self.newest):
            self.newest = cover.until
        self.final = last if cover.final else self.final
        self.wall = cover.wall, cover.doubt
        if piece.samples and self.source not in self.through:
            samples = [Sample(*one) for one in piece.samples if one[1] <= one[2]]
            self.through[self.source] = piece.my_life, Relation(rules.drift, len(samples), samples)
        if self.live and self.source == self.owner and not piece.more:
            self.whole_from_owner = True

    def close(self, ends: int) -> None:
        """A source has said all it has; `ends` is the chain's last block as far as anybody knows."""
        self.source = ""
        if ends > self.upto:
            self.left.append(Span(self.upto + 1, 0, ends))
            self.upto = ends
        left = Spans()
        rows = {span.number: span.row for span in self.left}
        for span in self.left:
            if span.last == LAST:  # nobody has said where it ends
                span = Span(span.number, span.row, max(span.number - 1, ends))
            if span.number <= span.last:
                left.add(span.number, span.last)
        self.todo = []
        for low, high in left:
            for first, last in self.answered.missing(low, high):
                self.todo.append(Span(first, rows.get(first, 0), last))
        self.left = []
