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

    keys: int = 128
    owner_bytes: int = 65_536
    owners: int = 2_048
    tombs: int = 32
    keep_ms: float = 60_000.0
    rate: float = 16_384.0
    burst: float = 65_536.0
    urgent_share: float = 0.5
    reserve_share: float = 0.25  # of the burst, that answers leave for a front's own rounds
    round_ms: float = 500.0
    repair_ms: float = 2_000.0
    fanout: int = 2  # peers of a round
    named: int = 16  # changed owners named in a round
    listed: int = 24  # owners listed in a repair
    asked_ms: float = 300.0  # what was asked of one is not asked of the next
    lacking_ms: float = 3_000.0  # and is asked of anybody for so long, if it doesn't come
    news_ms: float = 100.0
    news_rounds: int = 4
    news_fanout: int = 3
    refute_ms: float = 1_000.0
    datagram: int = 1_200
    datagrams: int = 6  # of one answer; what needs more goes whole
    whole: int = 32_768


@dataclass(frozen=True, slots=True)
class TransferRules:
    """`window` is what a receiver lets be under way of a blob; `bytes_most` bounds what is offered, and what
    is expected, all together, and `sender_bytes` what is expected of one sender.

    An offer fails after `fail_ms` without progress, or when its receiver went back more than `rewinds`
    times; what came of one is kept for `keep_ms` without progress.
    """

    chunk: int = 16_384
    window: int = 131_072
    rate: float = 1_048_576.0
    burst: float = 131_072.0
    size_most: int = 16 * 1_048_576
    outgoing: int = 64
    incoming: int = 64
    by_sender: int = 8
    bytes_most: int = 64 * 1_048_576
    sender_bytes: int = 24 * 1_048_576
    retry_ms: float = 1_000.0
    fail_ms: float = 30_000.0
    keep_ms: float = 60_000.0
    rewinds: int = 16
    remembered: int = 256
