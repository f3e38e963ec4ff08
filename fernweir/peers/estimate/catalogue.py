"""All summaries known here, by front: bounded, checked as they come, gone with whoever published them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fernweir.peers.estimate.summary import Known, read

PREFIX = "shard."  # of the facts' keys


@dataclass(frozen=True, slots=True)
class CatalogueRules:
    most_fronts: int = 1024
    most_shards: int = 32  # of one front


class Catalogue:
    """Summaries by front and name of shard.

    A front caught stating what is not so counts as one without summaries until it comes back in a new life.
    """

    def __init__(self, rules: CatalogueRules) -> None:
        self._rules = rules
        self._known: dict[str, dict[str, Known]] = {}
        self._lives: dict[str, int] = {}
        self._caught: dict[str, int] = {}
        self.refused = 0

    def told(self, now: float, owner: str, life: int, key: str, data: bytes) -> bool:
        """A fact of a peer or of our own front. False if it is not a summary that can be believed."""
        if life < self._lives.get(owner, 0):
            return False
        if owner not in self._known and len(self._known) >= self._rules.most_fronts:
            self.refused += 1
            return False
        if life > self._lives.get(owner, 0):
            self.gone(owner)
        try:
            known = read(owner, life, data, now)
            if key != PREFIX + known.summary.shard.name:
                raise ValueError("another key")
        except ValueError:
            self.refused += 1
            return False
        table = self._known.setdefault(owner, {})
        self._lives[owner] = life
        if key not in table and len(table) >= self._rules.most_shards:
            self.refused += 1
            return False
        table[key] = known
        return True

    def dropped(self, owner: str, key: str) -> None:
        """The owner has taken the fact back."""
        self._known.get(owner, {}).pop(key, None)

    def gone(self, owner: str) -> None:
        self._known.pop(owner, None)
        self._lives.pop(owner, None)
        self._caught.pop(owner, None)

    def caught(self, owner: str) -> None:
        """A sealed shard of that front turned out to hold other than it stated."""
        if owner in self._lives:
            self._caught[owner] = self._lives[owner]

    def of(self, owner: str) -> Iterable[Known]:
        """What is known of a front; nothing if it isn't believed."""
        return () if owner in self._caught else self._known.get(owner, {}).values()

    def owners(self) -> list[str]:
        return list(self._known)

    def believed(self) -> Mapping[str, list[Known]]:
        return {owner: list(self.of(owner)) for owner in self._known}
