"""Times and shares by which a front is late, is brought up, shut out and let back. Times in ms."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LateRules:
    """What is late, and for how long each step lasts. All fronts of a fleet must have the same.

    A front is late when it is behind at least `left_share` of the others for `late_ms`, for `urgent_ms` if
    boxes drain or went since; or when it has stood on another content than most for `split_ms`. An epoch is
    in force once `epoch_share` of the fronts have it.
    It is brought up by one peer at a time, `try_ms` each, `tries` times; then it is shut out. As long as it
    is behind a further attempt follows every `again_ms`.
    At most `shut_out_share` of the fleet is shut out, each for `stay_ms` at least; it is let back when it has
    not been late for `clean_ms`, doubled up to `clean_most_ms` for each time it was shut out in `forget_ms`:
    longer than `late_ms`, as who hears every piece of news a little late would else be late again at once.
    A keeper's vote counts for `vote_ms` after it was heard and is said every `say_ms`. A vote that was taken
    back keeps its place for `settle_ms`, so that nobody counts it any more when the place is given again:
    it must exceed `vote_ms` by what the slowest message takes.
    An act proves something if it began `act_lag_ms` after what it contradicts; the proof is good for
    `acts_keep_ms`. News held by few for `few_ms` are said to be suspect, for `suspect_ms` at least.
    """

    late_ms: float = 15_000.0
    urgent_ms: float = 6_000.0
    split_ms: float = 30_000.0
    left_share: float = 0.75
    epoch_share: float = 0.5
    try_ms: float = 8_000.0
    tries: int = 3
    again_ms: float = 60_000.0
    shut_out_share: float = 0.34
    stay_ms: float = 30_000.0
    clean_ms: float = 20_000.0
    clean_most_ms: float = 300_000.0
    forget_ms: float = 1_800_000.0
    vote_ms: float = 15_000.0
    say_ms: float = 1_500.0
    settle_ms: float = 30_000.0
    act_lag_ms: float = 5_000.0
    act_age_ms: float = 60_000.0  # an older act says nothing of what its front does now
    acts_keep_ms: float = 60_000.0
    seen_ms: float = 2_000.0  # between two messages of what one front's acts prove
    few_ms: float = 60_000.0
    suspect_ms: float = 20_000.0
    alone_ms: float = 30_000.0  # without any other front and without leases: refrain
    alone_least: int = 3  # fronts that there were before
    wait_ms: float = 5_000.0  # said to viewers who are refused
    look_ms: float = 500.0

    def __post_init__(self) -> None:
        if self.settle_ms <= self.vote_ms:
            raise ValueError("settle_ms must be longer than vote_ms")
        if self.vote_ms <= 2 * self.say_ms:
            raise ValueError("vote_ms must bear that two votes are lost")
        if self.clean_ms < self.late_ms:
            raise ValueError("clean_ms must not be shorter than late_ms")
        if not 0 <= self.shut_out_share < 0.5:
            raise ValueError("shut_out_share must be below a half")
        if not self.tries > 0:
            raise ValueError("tries must be above 0")

    @property
    def bring_ms(self) -> float:
        """How long a late front is brought up before it may be shut out."""
        return self.try_ms * self.tries

    def clean_for(self, outs: int) -> float:
        """How long a front must be up to date that was shut out so often."""
        return min(self.clean_ms * 2.0 ** min(max(outs - 1, 0), 32), self.clean_most_ms)


def cap(rules: LateRules, fronts: int) -> int:
    """How many of a fleet may be shut out at a time."""
    return int(rules.shut_out_share * fronts)


def majority(keepers: int) -> int:
    return keepers // 2 + 1


def places(keepers: int, most: int) -> int:
    """How many fronts one keeper may have a vote out against, so that no more than `most` get a majority.

    If each of K keepers votes against s at most, and q votes make a majority, K * s / q names can have one.
    """
    return (most * majority(keepers) + majority(keepers) - 1) // max(keepers, 1)
