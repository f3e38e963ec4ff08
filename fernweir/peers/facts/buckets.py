"""Where two fronts differ, found without naming all owners: codes of buckets of owners.

Anti-entropy by checksums (Demers et al. 1987): one code of all, and where that differs one for each bucket.
Owners fall into buckets by a hash of their names, so that the cost of a round doesn't grow with the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from fernweir.peers.facts.owner_state import OwnerState

_BY_BUCKET = 8  # owners, about
_MOST = 64
_CODE = 4  # bytes of a bucket's code


def count_for(owners: int) -> int:
    count = 1
    while count < _MOST and count * _BY_BUCKET < owners:
        count *= 2
    return count


def bucket_of(owner: str, count: int) -> int:
    return blake2b(owner.encode("utf-8", "surrogatepass"), digest_size=2).digest()[0] % count


def total_checksum(held: Iterable[OwnerState]) -> int:
    code = 0
    for one in held:
        code ^= one.code()
    return code


def bucket_checksums(held: Iterable[OwnerState], count: int) -> bytes:
    found = [0] * count
    for one in held:
        found[bucket_of(one.owner, count)] ^= one.code()
    return b"".join((code & 0xFFFFFFFF).to_bytes(_CODE, "big") for code in found)


def differing(mine: bytes, theirs: bytes) -> list[int]:
    """Buckets whose codes differ; both are of the same length."""
    return [
        at // _CODE for at in range(0, len(mine), _CODE) if mine[at : at + _CODE] != theirs[at : at + _CODE]
    ]


def count_of(codes: bytes) -> int | None:
    """How many buckets a peer's codes are of; None if that is no number of buckets."""
    count, rest = divmod(len(codes), _CODE)
    return count if rest == 0 and 1 <= count <= _MOST and count & (count - 1) == 0 else None
