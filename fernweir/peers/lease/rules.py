"""Times and bounds of leases, sets of keepers, and what a fence number is made of."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

FLOOR_MOST = 2**62  # no floor is told above it: stamps of lives end below
FENCE_MOST = FLOOR_MOST + 2**40  # no fence is granted above it, so that all fit 64 bits
_STAMP_BITS = 20
_LIFE_MOST = 2**42 - 1


@dataclass(frozen=True, slots=True)
class LeaseRules:
    """Times in ms. All fronts of a fleet must have the same `longest_ms` and `drift`.

    Each clock runs between 1 - `drift` and 1 + `drift` of true time. A keeper grants no lease above
    `longest_ms`, and is silent for that long after a start. An attempt is given up after `attempt_ms`;
    what was not answered is asked again every `again_ms`.
    """

    lease_ms: float = 3_000.0
    longest_ms: float = 5_000.0
    drift: float = 0.01
    renew_ms: float = 1_000.0
    again_ms: float = 300.0
    attempt_ms: float = 1_500.0
    promise_ms: float = 3_000.0  # a promise that isn't cashed binds no longer
    pause_ms: float = 100.0  # after an attempt that failed, doubled with each up to pause_most_ms, drawn
    pause_most_ms: float = 1_000.0
    reserve_ms: float = 2_000.0  # how long a channel that is handed on waits for its heir
    records_most: int = 20_000
    channels_most: int = 1_000  # of one holder

    def __post_init__(self) -> None:
        if not 0 < self.lease_ms <= self.longest_ms:
            raise ValueError("lease_ms must be above 0 and at most longest_ms")
        if not 0 <= self.drift < 0.5:
            raise ValueError("drift must be a share below a half")
        if not 0 < self.renew_ms < self.own_ms:
            raise ValueError("renew_ms must be shorter than what a holder believes")

    @property
    def own_ms(self) -> float:
        """How long a holder believes, by its clock: over before any keeper's span of `lease_ms` can be."""
        return self.lease_ms * (1 - self.drift) / (1 + self.drift)

    @property
    def silence_ms(self) -> float:
        """How long by a keeper's clock until whatever it may have granted before has lapsed."""
        return self.longest_ms * (1 + self.drift)


@dataclass(frozen=True, slots=True)
class KeeperSet:
    """The keepers in force from `version` on. While a set replaces another both are in force."""

    version: int
    names: tuple[str, ...]

    def __post_init__(self) -> None:
        if not self.names or len(set(self.names)) != len(self.names):
            raise ValueError("keepers must be named, each once")

    @property
    def majority(self) -> int:
        return len(self.names) // 2 + 1


def decided(sets: Iterable[KeeperSet], names: Collection[str]) -> bool:
    """Whether these names are a majority of every set."""
    return all(sum(name in names for name in each.names) >= each.majority for each in sets)


def hopeless(sets: Iterable[KeeperSet], refused: Collection[str]) -> bool:
    """Whether, with these refusing, some set can give no majority any more."""
    return any(sum(name not in refused for name in each.names) < each.majority for each in sets)


def everyone(sets: Iterable[KeeperSet]) -> list[str]:
    """Every keeper of any set, each once, in a stable order."""
    return list(dict.fromkeys(name for each in sets for name in each.names))


def versions(sets: Iterable[KeeperSet]) -> tuple[int, ...]:
    return tuple(sorted(each.version for each in sets))


def ordered(sets: Iterable[KeeperSet]) -> tuple[KeeperSet, ...]:
    """One set, or two of which one replaces the other, oldest first."""
    found = tuple(sorted(sets, key=lambda each: each.version))
    if not 1 <= len(found) <= 2 or len(set(versions(found))) != len(found):
        raise ValueError("one set of keepers, or two with different versions")
    return found


def stamp(life: int) -> int:
    """The least fence of a keeper that started in this life (wall ms): 42 bits of life, 20 of counting.

    Counting past the 20 bits runs on into the next ms, which is harmless.
    """
    return max(0, min(life, _LIFE_MOST)) << _STAMP_BITS
