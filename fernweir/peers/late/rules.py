"""Times and ratios by which a front is stale, is updated, is shut out and is readmitted. Times are in ms."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LateRules:
    """When a front is stale, and how long each step lasts. All fronts of a fleet must have the same rules.

    A front is stale when it is behind at least `passed_ratio` of the others for `stale_ms`, or for
    `urgent_ms` if servers drain or were removed since; or when its content differs from that of most fronts
    for `split_ms`. An epoch is in force once `epoch_ratio` of the fronts have it.

    A stale front is updated by one peer at a time, for `attempt_ms` each and `attempts` times; then it is
    shut out. While it is behind, another attempt follows every `retry_ms`.

    At most `shut_out_ratio` of the fleet is shut out, each front for at least `min_shut_out_ms`. A front is
    readmitted when it has not been stale for `clean_ms`, doubled up to `max_clean_ms` for each time it was
    shut out within `forget_ms`. That is longer than `stale_ms`, as a front that receives every update a
    little late would otherwise be stale again at once.

    A keeper's vote counts for `vote_ms` after its arrival and is sent every `vote_interval_ms`. A withdrawn
    vote keeps its place for `settle_ms`, so that no front counts it any more when the place is used again:
    this must exceed `vote_ms` by the delay of the slowest message.

    An action is evidence if it began `evidence_lag_ms` after the content that it contradicts, and the
    evidence is valid for `evidence_keep_ms`. An update that a minority has for `minority_ms` is reported as
    suspect, for at least `suspect_ms`.
    """

    stale_ms: float = 15_000.0
    urgent_ms: float = 6_000.0
    split_ms: float = 30_000.0
    passed_ratio: float = 0.75
    epoch_ratio: float = 0.5
    attempt_ms: float = 8_000.0
    attempts: int = 3
    retry_ms: float = 60_000.0
    shut_out_ratio: float = 0.34
    min_shut_out_ms: float = 30_000.0
    clean_ms: float = 20_000.0
    max_clean_ms: float = 300_000.0
    forget_ms: float = 1_800_000.0
    vote_ms: float = 15_000.0
    vote_interval_ms: float = 1_500.0
    settle_ms: float = 30_000.0
    evidence_lag_ms: float = 5_000.0
    max_evidence_age_ms: float = 60_000.0  # an older action does not show what its front does now
    evidence_keep_ms: float = 60_000.0
    evidence_interval_ms: float = 2_000.0  # between reports about one front
    minority_ms: float = 60_000.0
    suspect_ms: float = 20_000.0
    isolation_ms: float = 30_000.0  # without other fronts and leases, until no new sessions are accepted
    min_fleet_size: int = 3  # of the fleet before the isolation
    wait_ms: float = 5_000.0  # for viewers that are rejected
    evaluation_ms: float = 500.0

    def __post_init__(self) -> None:
        if self.settle_ms <= self.vote_ms:
            raise ValueError(f"settle_ms must be above vote_ms, {self.vote_ms}: {self.settle_ms}")
        if self.vote_ms <= 2 * self.vote_interval_ms:
            raise ValueError(
                f"vote_ms must be above twice vote_interval_ms, {self.vote_interval_ms}: {self.vote_ms}"
            )
        if self.clean_ms < self.stale_ms:
            raise ValueError(f"clean_ms must be at least stale_ms, {self.stale_ms}: {self.clean_ms}")
        if not 0 <= self.shut_out_ratio < 0.5:
            raise ValueError(f"shut_out_ratio must be at least 0 and below 0.5: {self.shut_out_ratio}")
        if not self.attempts > 0:
            raise ValueError(f"attempts must be above 0: {self.attempts}")

    @property
    def catch_up_ms(self) -> float:
        """How long peers try to update a stale front before it may be shut out."""
        return self.attempt_ms * self.attempts

    def clean_for(self, shut_out_count: int) -> float:
        """Returns how long a front must be up to date that was shut out `shut_out_count` times."""
        return min(self.clean_ms * 2.0 ** min(max(shut_out_count - 1, 0), 32), self.max_clean_ms)


def max_shut_out(rules: LateRules, fronts: int) -> int:
    """Returns how many fronts of a fleet may be shut out at the same time."""
    return int(rules.shut_out_ratio * fronts)


def majority(keepers: int) -> int:
    """Returns how many keepers are a majority."""
    return keepers // 2 + 1


def places(keepers: int, most: int) -> int:
    """Returns how many fronts one keeper may vote against, so that at most `most` of them get a majority.

    If each of K keepers votes against at most s fronts, and q votes are a majority, K * s / q fronts can
    get one.
    """
    return (most * majority(keepers) + majority(keepers) - 1) // max(keepers, 1)
