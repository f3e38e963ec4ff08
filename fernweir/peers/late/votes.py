"""Who is shut out: what keepers vote, and what a front counts of it.

A majority of the named keepers decides, not of the fronts believed alive: in a cut each side would have a
majority of those it believes in. A vote says all that a keeper is against and lapses when it isn't repeated,
so that fronts are let back when the keepers are gone. Each keeper has few places; one that becomes free is
kept empty until nobody can count its old vote any more. So never more names have a majority than may be
shut out, whatever is lost or late, as no keeper votes for too many (see `rules.places`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from fernweir.peers.late.messages import NAMES_MOST, Kind, VoteEntry, Votes
from fernweir.peers.late.rules import LateRules, majority


@dataclass(slots=True)
class Vote:
    """`at`: when it was given; `out_at`: since when a majority has been seen for it."""

    life: int
    kinds: frozenset[Kind]
    at: float
    out_at: float | None = None


@dataclass(slots=True)
class Ballots:
    """A keeper's own votes. `since` is when it started: votes of an earlier life may still count."""

    me: str
    life: int
    rules: LateRules
    since: float
    cast: dict[str, Vote] = field(default_factory=dict)
    _settling: list[float] = field(default_factory=list)
    _say_at: float = 0.0
    _quiet_at: float = 0.0

    def keep(self, now: float, wanted: Mapping[str, int]) -> None:
        """Votes go against these fronts in these lives only."""
        for name, vote in list(self.cast.items()):
            if wanted.get(name) != vote.life:
                self.withdraw(now, name)

    def withdraw(self, now: float, name: str) -> None:
        del self.cast[name]
        self._settling.append(now + self.rules.settle_ms)
        self._say_at, self._quiet_at = now, now + self.rules.settle_ms

    def seek(self, now: float, ordered: Sequence[str], new: Mapping[str, Vote], room: int) -> None:
        """As many of those in this order as there are places; who is out, or newly voted for, goes first."""
        self._settling = [free_at for free_at in self._settling if free_at > now]
        room = min(room, NAMES_MOST)
        young = now - self.rules.vote_ms
        first = [name for name, vote in self.cast.items() if vote.out_at is not None]
        first += [name for name, vote in self.cast.items() if name not in first and vote.at > young]
        chosen = [*first, *(name for name in ordered if name not in first)][: max(room, 0)]
        for name in [name for name in self.cast if name not in chosen]:
            self.withdraw(now, name)
        if now < self.since + self.rules.settle_ms:
            return
        for name in chosen:
            if name in self.cast:
                if name in new:
                    self.cast[name].kinds = new[name].kinds
            elif len(self.cast) + len(self._settling) < room:
                self.cast[name] = new[name]
                self._say_at = now

    def say(self, now: float) -> Votes | None:
        """What is to be said to all now; after the last vote it is said for a while that there is none."""
        if now < self._say_at or not (self.cast or now < self._quiet_at):
            return None
        self._say_at = now + self.rules.say_ms
        against = sorted(self.cast.items())
        return Votes(
            self.life,
            now,
            tuple(VoteEntry(name, vote.life, tuple(sorted(vote.kinds))) for name, vote in against),
        )

    def busy(self, now: float) -> bool:
        return bool(self.cast) or now < self._quiet_at


@dataclass(slots=True)
class _Heard:
    life: int
    said_at: float  # by the keeper's clock
    at: float
    against: dict[str, VoteEntry]


class Tally:
    """What each keeper said last; of a keeper one vote counts, while it is fresh."""

    def __init__(self, keepers: frozenset[str], rules: LateRules) -> None:
        self.keepers = keepers
        self._rules = rules
        self._heard: dict[str, _Heard] = {}

    def change(self, keepers: frozenset[str]) -> None:
        self.keepers = keepers
        self._heard = {name: heard for name, heard in self._heard.items() if name in keepers}

    def heard(self, now: float, keeper: str, votes: Votes) -> None:
        if keeper not in self.keepers:
            return
        held = self._heard.get(keeper)
        if held is not None and (held.life, held.said_at) >= (votes.life, votes.at):
            return
        against = {each.name: each for each in votes.against}
        self._heard[keeper] = _Heard(votes.life, votes.at, now, against)

    def against(self, now: float, lives: Mapping[str, int]) -> dict[str, frozenset[Kind]]:
        """Who has a majority against it in this life, and what for."""
        count: dict[str, int] = {}
        kinds: dict[str, frozenset[Kind]] = {}
        for heard in self._fresh(now):
            for name, each in heard.against.items():
                if lives.get(name) == each.life:
                    count[name] = count.get(name, 0) + 1
                    kinds[name] = kinds.get(name, frozenset()) | frozenset(each.kinds)
        return {name: kinds[name] for name in sorted(count) if count[name] >= majority(len(self.keepers))}

    def busy(self, now: float) -> bool:
        return any(heard.against for heard in self._fresh(now))

    def _fresh(self, now: float) -> Iterable[_Heard]:
        return [heard for heard in self._heard.values() if now < heard.at + self._rules.vote_ms]
