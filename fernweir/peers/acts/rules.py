"""The rules of the record of acts: sizes in bytes, times in ms of the loop's clock."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ActRules:
    """`block_ms` is what a killed front may lose of its record, with what was on its way.

    `segment_acts` in a row make a segment with an index. `own_bytes`, `peer_bytes` (one life of one front)
    and `copies_bytes` (all others together) bound what is kept in memory. Times are exchanged with each peer
    every `exchange_ms`, but with one every `exchange_least_ms` at most, so that many peers cost no more.
    """

    block_ms: float = 250.0
    block_acts: int = 512
    block_bytes: int = 65_536
    segment_acts: int = 512
    segment_blocks: int = 256
    own_bytes: int = 3 << 20
    peer_bytes: int = 3 << 19
    copies_bytes: int = 3 << 20
    lives: int = 4
    owners: int = 512
    holders: int = 2
    window_blocks: int = 64
    window_bytes: int = 262_144
    resend_ms: float = 1_000.0
    resend_most_ms: float = 8_000.0
    gap_ms: float = 5_000.0
    heads: int = 16
    drift: float = 0.01
    exchange_ms: float = 5_000.0
    exchange_least_ms: float = 250.0
    samples: int = 64
    part_ms: float = 1_000.0
    tries: int = 2
    deadline_ms: float = 10_000.0
    rows: int = 2_000
    answer_bytes: int = 8 << 20
    piece_rows: int = 256
    piece_bytes: int = 60_000
    piece_segments: int = 8
    asked: int = 4
    context: int = 20
