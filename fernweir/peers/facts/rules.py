"""What bounds facts and transfers. Times in ms, sizes in bytes, rates in bytes a second."""

from __future__ import annotations

import re
from dataclasses import dataclass

LIMIT = 2**53  # of lives, versions and ages on the wire
KEY_MOST = 64
VALUE_MOST = 8_192
_KEY = re.compile(r"[A-Za-z0-9._:/-]{1,64}")


class FactError(ValueError):
    """A key, a value or their number is beyond what may be published."""


class TransferError(ValueError):
    """A blob is too large, or too many are offered at once."""


def check_key(key: str) -> None:
    if _KEY.fullmatch(key) is None:
        raise FactError(f"not a key: {key!r:.80}")


@dataclass(frozen=True, slots=True)
class FactRules:
    """`rate` and `burst` bound all that a front sends for facts; `urgent_share` of it may be urgent news.

    An owner publishes at most `keys` keys and `owner_bytes` of keys and values; what others hold of it may
    for a moment be twice that, as new facts come before drops of old ones are known. `keep_ms` is how long
    facts of an owner are kept that is no peer any more.
    """

    max_keys: int = 128
    max_owner_bytes: int = 65_536
    max_owners: int = 2_048
    max_tombstones: int = 32
    keep_ms: float = 60_000.0
    bytes_per_s: float = 16_384.0
    burst_bytes: float = 65_536.0
    urgent_ratio: float = 0.5
    reserve_ratio: float = 0.25  # of the burst, that answers leave for a front's own rounds
    round_interval_ms: float = 500.0
    repair_interval_ms: float = 2_000.0
    fanout: int = 2  # peers of a round
    max_announced: int = 16  # changed owners named in a round
    max_listed: int = 24  # owners listed in a repair
    request_interval_ms: float = 300.0  # what was asked of one is not asked of the next
    request_lifetime_ms: float = 3_000.0  # and is asked of anybody for so long, if it doesn't come
    push_interval_ms: float = 100.0
    push_rounds: int = 4
    push_fanout: int = 3
    refute_interval_ms: float = 1_000.0
    max_datagram_bytes: int = 1_200
    max_datagrams: int = 6  # of one answer; what needs more goes whole
    max_reliable_bytes: int = 32_768


@dataclass(frozen=True, slots=True)
class TransferRules:
    """`window` is what a receiver lets be under way of a blob; `bytes_most` bounds what is offered, and what
    is expected, all together, and `sender_bytes` what is expected of one sender.

    An offer fails after `fail_ms` without progress, or when its receiver went back more than `rewinds`
    times; what came of one is kept for `keep_ms` without progress.
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
    max_remembered: int = 256
