"""Sizes and times of summaries and estimates. Times in ms."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShardRules:
    """When a shard is sealed, and how much of it a summary tells."""

    most_rows: int = 8192
    most_span_ms: float = 600_000.0
    filter_bytes: int = 4096
    false_share: float = 0.01
    frequent: int = 24
    bins: int = 32
    sample: int = 96
    kept: int = 4  # sealed summaries that a front publishes; older shards are only counted
    bucket_ms: float = 5_000.0  # rates are counted in buckets
    buckets: int = 120
    publish_ms: float = 20_000.0  # between two publications, or more: see `publish_after`
    heard_bytes_s: float = 20_000.0  # that all fronts' summaries may cost each of them
    rate_ms: float = 15_000.0  # over which the rate of late is taken, or up to four times that


@dataclass(frozen=True, slots=True)
class EstimateRules:
    """How uncertain things are counted.

    `lag_ms`: how much older a summary may be than the time for which it was known here.
    `block_ms`: what is read comes in blocks of at most that span, read whole.
    """

    lag_ms: float = 3_000.0
    block_ms: float = 250.0
    settle_ms: float = 40_000.0  # in which what a rate differs from its mean falls to 1/e
    recent_ms: float = 15_000.0  # a version seen no later than that before the end is over
    peak_margin: float = 1.5
    peak_rows: float = 8.0  # that may come at any rate
    size_margin: float = 1.25  # a row's bytes against the mean
    unknown_factor: float = 2.0  # a front without a summary may hold so many times the most that one holds
    unknown_rows: float = 8192.0  # and this, if that is more
    unknown_bytes: float = 1_000_000.0
    likened: int = 16  # fronts to which it is likened if none that is asked is known
    sample_weight: float = 12.0  # how many sampled rows the guess by independence is worth
    most_lost: int = 128  # shards of one front that are read without a summary
    row_bytes: float = 256.0  # where nothing tells better
    stale_ms: float = 120_000.0  # an older summary counts as none
    most_rows: int = 8192  # of a shard, as all fronts seal them
    most_span_ms: float = 600_000.0


def publish_after(fronts: int, size: int, rules: ShardRules) -> float:
    """When to publish again (ms): each front hears all others, so the more there are the rarer it is.

    `size`: bytes of the summaries that have changed. Estimates take their summaries' age into account, but
    `EstimateRules.stale_ms` must be some three times this.
    """
    return max(rules.publish_ms, fronts * size / rules.heard_bytes_s * 1e3)
