"""Votes of keepers, by which fronts are shut out.

A majority of the configured keepers decides, not of the fronts that seem alive: in a partition each side
would have a majority of the fronts that it can reach. A message has all votes of a keeper, which expire if
they are not repeated, so that fronts are readmitted when the keepers are gone. Each keeper has few places,
and one that becomes free stays empty until no front can count its old vote any more. As no keeper votes
against too many (see `rules.places`), never more fronts have a majority than may be shut out, whatever is
lost or delayed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from fernweir.peers.late.messages import MAX_NAMES, Kind, VoteEntry, Votes
from fernweir.peers.late.rules import LateRules, majority


@dataclass(slots=True)
class Vote:
    """A vote. `at`: when it was given; `shut_out_at`: since when a majority for it has been seen."""

    life: int
    kinds: frozenset[Kind]
    at: float
    shut_out_at: float | None = None


@dataclass(slots=True)
class Ballots:
    """The votes of this keeper.

    It votes only some time after `started_at`: votes of an earlier life may count.
    """

    me: str
    life: int
    rules: LateRules
    started_at: float
    cast: dict[str, Vote] = field(default_factory=dict)
    _reserved_until: list[float] = field(default_factory=list)
    _send_at: float = 0.0
    _quiet_until: float = 0.0

    def retain(self, now: float, wanted: Mapping[str, int]) -> None:
        """Withdraws all votes except those against these fronts in these lives."""
        for name, vote in list(self.cast.items()):
            if wanted.get(name) != vote.life:
                self.withdraw(now, name)

    def withdraw(self, now: float, name: str) -> None:
        """Withdraws the vote against a front and reserves its place."""
        del self.cast[name]
        self._reserved_until.append(now + self.rules.settle_ms)
        self._send_at, self._quiet_until = now, now + self.rules.settle_ms

    def update(self, now: float, ordered: Sequence[str], new: Mapping[str, Vote], capacity: int) -> None:
        """Votes against the fronts in this order, as far as there are places.

        Fronts that are shut out, or against which a vote is recent, come first.
        """
        self._reserved_until = [free_at for free_at in self._reserved_until if free_at > now]
        capacity = min(capacity, MAX_NAMES)
        young = now - self.rules.vote_ms
        first = [name for name, vote in self.cast.items() if vote.shut_out_at is not None]
        first += [name for name, vote in self.cast.items() if name not in first and vote.at > young]
        chosen = [*first, *(name for name in ordered if name not in first)][: max(capacity, 0)]
        for name in [name for name in self.cast if name not in chosen]:
            self.withdraw(now, name)
        if now < self.started_at + self.rules.settle_ms:
            return
        for name in chosen:
            if name in self.cast:
                if name in new:
                    self.cast[name].kinds = new[name].kinds
            elif len(self.cast) + len(self._reserved_until) < capacity:
                self.cast[name] = new[name]
                self._send_at = now

    def next_message(self, now: float) -> Votes | None:
        """Returns the message that is due, or None; for a while after the last vote it has no votes."""
        if now < self._send_at or not (self.cast or now < self._quiet_until):
            return None
        self._send_at = now + self.rules.vote_interval_ms
        against = sorted(self.cast.items())
        return Votes(
            self.life,
            now,
            tuple(VoteEntry(name, vote.life, tuple(sorted(vote.kinds))) for name, vote in against),
        )

    def is_busy(self, now: float) -> bool:
        """Whether messages have to be sent."""
        return bool(self.cast) or now < self._quiet_until


@dataclass(slots=True)
class _KeeperVotes:
    life: int
    sent_at: float  # by the keeper's clock
    received_at: float
    against: dict[str, VoteEntry]


class Tally:
    """The latest votes of each keeper, which count while they are fresh."""

    def __init__(self, keepers: frozenset[str], rules: LateRules) -> None:
        self.keepers = keepers
        self._rules = rules
        self._votes: dict[str, _KeeperVotes] = {}

    def set_keepers(self, keepers: frozenset[str]) -> None:
        """Sets the keepers and drops the votes of others."""
        self.keepers = keepers
        self._votes = {name: heard for name, heard in self._votes.items() if name in keepers}

    def on_votes(self, now: float, keeper: str, votes: Votes) -> None:
        """Handles the votes of a keeper; older ones than the latest are ignored."""
        if keeper not in self.keepers:
            return
        held = self._votes.get(keeper)
        if held is not None and (held.life, held.sent_at) >= (votes.life, votes.at):
            return
        against = {entry.name: entry for entry in votes.against}
        self._votes[keeper] = _KeeperVotes(votes.life, votes.at, now, against)

    def majorities(self, now: float, lives: Mapping[str, int]) -> dict[str, frozenset[Kind]]:
        """Returns the fronts with a majority against them in this life, and the kinds."""
        count: dict[str, int] = {}
        kinds: dict[str, frozenset[Kind]] = {}
        for heard in self._fresh(now):
            for name, entry in heard.against.items():
                if lives.get(name) == entry.life:
                    count[name] = count.get(name, 0) + 1
                    kinds[name] = kinds.get(name, frozenset()) | frozenset(entry.kinds)
        return {name: kinds[name] for name in sorted(count) if count[name] >= majority(len(self.keepers))}

    def is_busy(self, now: float) -> bool:
        """Whether any votes count."""
        return any(heard.against for heard in self._fresh(now))

    def _fresh(self, now: float) -> Iterable[_KeeperVotes]:
        return [heard for heard in self._votes.values() if now < heard.received_at + self._rules.vote_ms]
