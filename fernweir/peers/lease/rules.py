"""Times and bounds of leases, sets of keepers, and the composition of fence numbers."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

MAX_FLOOR = 2**62  # highest accepted floor; `first_fence` of any life is below it
MAX_FENCE = MAX_FLOOR + 2**40  # highest granted fence; all fit 64 bits
_COUNTER_BITS = 20
_MAX_LIFE = 2**42 - 1


@dataclass(frozen=True, slots=True)
class LeaseRules:
    """Times in ms. All fronts of a fleet must have the same `longest_ms` and `drift`.

    The rate of each clock is between 1 - `drift` and 1 + `drift` of true time. A keeper grants no lease above
    `longest_ms`, and is silent for that long after a start. An attempt is abandoned after `attempt_ms`;
    unanswered requests are sent again every `resend_ms`.
    """

    lease_ms: float = 3_000.0
    longest_ms: float = 5_000.0
    drift: float = 0.01
    renew_ms: float = 1_000.0
    resend_ms: float = 300.0
    attempt_ms: float = 1_500.0
    promise_ms: float = 3_000.0  # a promise without a proposal expires after this time
    backoff_ms: float = 100.0  # random backoff after a failed attempt, doubled with each up to max_backoff_ms
    max_backoff_ms: float = 1_000.0
    reserve_ms: float = 2_000.0  # how long a channel is reserved for the front it is handed to
    max_records: int = 20_000
    max_channels: int = 1_000  # per holder

    def __post_init__(self) -> None:
        if not 0 < self.lease_ms <= self.longest_ms:
            raise ValueError(
                f"lease_ms must be above 0 and at most longest_ms, {self.longest_ms}: {self.lease_ms}"
            )
        if not 0 <= self.drift < 0.5:
            raise ValueError(f"drift must be at least 0 and below 0.5: {self.drift}")
        if not 0 < self.renew_ms < self.validity_ms:
            raise ValueError(
                f"renew_ms must be above 0 and below validity_ms, {self.validity_ms}: {self.renew_ms}"
            )

    @property
    def validity_ms(self) -> float:
        """The validity of a lease by the holder's clock: ends before the `lease_ms` of any keeper can end."""
        return self.lease_ms * (1 - self.drift) / (1 + self.drift)

    @property
    def silence_ms(self) -> float:
        """The time, by a keeper's clock, after which everything that it granted before has expired."""
        return self.longest_ms * (1 + self.drift)


@dataclass(frozen=True, slots=True)
class KeeperSet:
    """The keepers in force as of `version`. While one set replaces another both are in force."""

    version: int
    names: tuple[str, ...]

    def __post_init__(self) -> None:
        if not self.names or len(set(self.names)) != len(self.names):
            raise ValueError(f"keepers must be named, each once: {', '.join(self.names)}")

    @property
    def majority(self) -> int:
        return len(self.names) // 2 + 1


def has_majority(sets: Iterable[KeeperSet], names: Collection[str]) -> bool:
    """Whether these names include a majority of each set."""
    return all(sum(name in names for name in each.names) >= each.majority for each in sets)


def is_majority_impossible(sets: Iterable[KeeperSet], refused: Collection[str]) -> bool:
    """Whether some set can no longer give a majority if these names refuse."""
    return any(sum(name not in refused for name in each.names) < each.majority for each in sets)


def all_keepers(sets: Iterable[KeeperSet]) -> list[str]:
    """Returns each keeper of the sets once, in a stable order."""
    return list(dict.fromkeys(name for each in sets for name in each.names))


def versions(sets: Iterable[KeeperSet]) -> tuple[int, ...]:
    return tuple(sorted(each.version for each in sets))


def checked_sets(sets: Iterable[KeeperSet]) -> tuple[KeeperSet, ...]:
    """Returns one set, or two of which one replaces the other, oldest first.

    Raises:
        ValueError: There are no sets, more than two, or two with the same version.
    """
    found = tuple(sorted(sets, key=lambda each: each.version))
    if not 1 <= len(found) <= 2 or len(set(versions(found))) != len(found):
        raise ValueError(
            f"expected one set of keepers or two with different versions, not versions {versions(found)}"
        )
    return found


def first_fence(life: int) -> int:
    """Returns the lowest fence of a keeper started in this life (wall ms): 42 bits of life, 20 of counter.

    A counter that exceeds its 20 bits continues in the next ms, which is harmless.
    """
    return max(0, min(life, _MAX_LIFE)) << _COUNTER_BITS
