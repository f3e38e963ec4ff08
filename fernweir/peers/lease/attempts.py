"""A wanted channel and its attempt: a majority promises a ballot, then a majority grants a fence."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from fernweir.peers.lease.messages import Refusal
from fernweir.peers.lease.rules import (
    KeeperSet,
    LeaseRules,
    all_keepers,
    has_majority,
    is_majority_impossible,
)

_MAX_BALLOT = 2**62


@dataclass(slots=True)
class Attempt:
    """One ballot; times in ms of the holder's clock. `fence` is 0 until a majority promised at `asked_at`."""

    ballot: int
    ends_at: float
    resend_at: float
    promises: dict[str, int] = field(default_factory=dict)
    fence: int = 0
    asked_at: float = 0.0
    granted: set[str] = field(default_factory=set)
    refusals: dict[str, Refusal] = field(default_factory=dict)

    def choose_fence(self, now: float, sets: Sequence[KeeperSet], floor: int) -> bool:
        """Chooses a fence above the floor and all promised fences, once a majority promised.

        Returns whether the fence was chosen in this call.
        """
        if self.fence or not has_majority(sets, self.promises):
            return False
        self.fence = max(floor, *self.promises.values()) + 1
        self.asked_at = now
        return True

    def may_propose_to(self, keeper: str) -> bool:
        """Whether this keeper promised and would grant the chosen fence."""
        return self.fence > self.promises.get(keeper, self.fence)

    def has_won(self, sets: Sequence[KeeperSet]) -> bool:
        return bool(self.fence) and has_majority(sets, self.granted)

    def has_failed(self, now: float, sets: Sequence[KeeperSet]) -> bool:
        return now >= self.ends_at or is_majority_impossible(sets, self.refusals.keys() - self.granted)


@dataclass(slots=True)
class Want:
    """A channel that is requested until it is acquired or released.

    `blocked_by` is the front that has it and its fence, by the last refusal.
    """

    floor: int
    next_at: float
    ballot: int = 0
    failed_attempts: int = 0
    attempt: Attempt | None = None
    blocked_by: tuple[str, int] = ("", 0)

    def begin_attempt(self, now: float, rules: LeaseRules) -> Attempt:
        self.ballot += 1
        self.attempt = Attempt(self.ballot, now + rules.attempt_ms, now + rules.resend_ms)
        return self.attempt

    def raise_ballot(self, promised_ballot: int) -> None:
        """Raises the ballot to one that a keeper promised to another holder."""
        self.ballot = max(self.ballot, min(promised_ballot, _MAX_BALLOT))

    def back_off(self, now: float, delay_ms: float) -> None:
        self.attempt = None
        self.next_at = now + delay_ms


def backoff_after(
    refusals: Mapping[str, Refusal],
    sets: Sequence[KeeperSet],
    rules: LeaseRules,
    failed_attempts: int,
    rng: Random,
) -> float:
    """Returns the backoff in ms after `failed_attempts` failures in a row.

    For a channel that is leased or reserved this is the time until so many locks have expired, by the slowest
    permitted clock, that a majority is free, but at most the longest backoff, since the channel may be
    released earlier. Otherwise the backoff is random and grows, so that two holders that want the same
    channel do not keep blocking one another.
    """
    locked = {
        name: refusal.remaining_ms for name, refusal in refusals.items() if refusal.why in ("taken", "waits")
    }
    if locked:
        free = set(all_keepers(sets)) - locked.keys()
        for name, remaining_ms in sorted(locked.items(), key=lambda each: each[1]):
            free.add(name)
            if has_majority(sets, free):
                wait = min(remaining_ms * (1 + rules.drift) / (1 - rules.drift), rules.max_backoff_ms)
                return wait + rng.uniform(1.0, rules.backoff_ms / 4)
    longest_ms = min(rules.backoff_ms * 2 ** min(failed_attempts, 16), rules.max_backoff_ms)
    return rng.uniform(rules.backoff_ms / 2, longest_ms)
