"""Limits of facts and transfers. Times are in ms, sizes in bytes, rates in bytes per second."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_NUMBER = 2**53  # of lives, versions and ages in messages
MAX_KEY_LENGTH = 64
MAX_VALUE_BYTES = 8_192
_KEY = re.compile(r"[A-Za-z0-9._:/-]{1,64}")


class FactError(ValueError):
    """Raised when a key, a value or the number of facts is beyond what may be published."""


class TransferError(ValueError):
    """Raised when a blob is too large, or too many are offered at the same time."""


def check_key(key: str) -> None:
    """Raises FactError if the key of a fact is not valid."""
    if _KEY.fullmatch(key) is None:
        raise FactError(f"fact key is not valid: {key!r:.80}")


@dataclass(frozen=True, slots=True)
class FactRules:
    """Limits of facts.

    `bytes_per_s` and `burst_bytes` limit everything that a front sends for facts; pushes of urgent facts may
    use `urgent_ratio` of it. An owner publishes at most `max_keys` keys, and `max_owner_bytes` of keys and
    values. What others store of it may temporarily be twice that, as new facts may arrive before old ones are
    known to be dropped. Facts of an owner that is no longer a peer are stored for `keep_ms`.
    """

    max_keys: int = 128
    max_owner_bytes: int = 65_536
    max_owners: int = 2_048
    max_tombstones: int = 32
    keep_ms: float = 60_000.0
    bytes_per_s: float = 16_384.0
    burst_bytes: float = 65_536.0
    urgent_ratio: float = 0.5
    reserve_ratio: float = 0.25  # of the burst, which answers leave for the front's own rounds
    round_interval_ms: float = 500.0
    repair_interval_ms: float = 2_000.0
    fanout: int = 2  # peers per round
    max_announced: int = 16  # changed owners per round
    max_listed: int = 24  # owners listed in a repair
    request_interval_ms: float = 300.0  # the same is not requested from a second peer within this time
    request_lifetime_ms: float = 3_000.0  # unanswered requests are announced to all peers for this time
    push_interval_ms: float = 100.0
    push_rounds: int = 4
    push_fanout: int = 3
    refute_interval_ms: float = 1_000.0
    max_datagram_bytes: int = 1_200
    max_datagrams: int = 6  # per answer; a larger answer goes over the reliable connection
    max_reliable_bytes: int = 32_768


@dataclass(frozen=True, slots=True)
class TransferRules:
    """Limits of transfers.

    `window_bytes` is how much of a blob a receiver allows in flight. `max_total_bytes` limits all blobs that
    are offered, and all that are being received; `max_sender_bytes` limits those from one sender.

    An offer fails after `progress_timeout_ms` without progress, or when its receiver went back more than
    `max_rewinds` times. A partly received blob is stored for `keep_ms` without progress.
    """

    chunk_bytes: int = 16_384
    window_bytes: int = 131_072
    bytes_per_s: float = 1_048_576.0
    burst_bytes: float = 131_072.0
    max_blob_bytes: int = 16 * 1_048_576
    max_outgoing: int = 64
    max_incoming: int = 64
    max_incoming_per_sender: int = 8
    max_total_bytes: int = 64 * 1_048_576
    max_sender_bytes: int = 24 * 1_048_576
    retry_ms: float = 1_000.0
    progress_timeout_ms: float = 30_000.0
    keep_ms: float = 60_000.0
    max_rewinds: int = 16
    max_remembered: int = 256  # digests of received blobs
