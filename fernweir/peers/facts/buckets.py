"""Checksums of buckets of owners, which find where two fronts differ without listing all owners.

This is anti-entropy by checksums (Demers et al. 1987): one checksum of everything, and where that differs one
checksum for each bucket. Owners are assigned to buckets by a hash of their names, so that the cost of a round
does not grow with the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from fernweir.peers.facts.owner_state import OwnerState

_OWNERS_PER_BUCKET = 8  # on average
_MAX_BUCKETS = 64
_CHECKSUM_BYTES = 4  # of one bucket


def bucket_count_for(owner_count: int) -> int:
    """Returns the number of buckets, a power of two, for that many owners."""
    count = 1
    while count < _MAX_BUCKETS and count * _OWNERS_PER_BUCKET < owner_count:
        count *= 2
    return count


def bucket_of(owner: str, bucket_count: int) -> int:
    """Returns the index of an owner's bucket."""
    return blake2b(owner.encode("utf-8", "surrogatepass"), digest_size=2).digest()[0] % bucket_count


def total_checksum(states: Iterable[OwnerState]) -> int:
    """Returns one checksum of all states, independent of their order."""
    checksum = 0
    for state in states:
        checksum ^= state.checksum()
    return checksum


def bucket_checksums(states: Iterable[OwnerState], bucket_count: int) -> bytes:
    """Returns the checksums of all buckets, one after the other."""
    checksums = [0] * bucket_count
    for state in states:
        checksums[bucket_of(state.owner, bucket_count)] ^= state.checksum()
    return b"".join((checksum & 0xFFFFFFFF).to_bytes(_CHECKSUM_BYTES, "big") for checksum in checksums)


def differing_buckets(local: bytes, remote: bytes) -> list[int]:
    """Returns the buckets whose checksums differ; both arguments must have the same length."""
    return [
        offset // _CHECKSUM_BYTES
        for offset in range(0, len(local), _CHECKSUM_BYTES)
        if local[offset : offset + _CHECKSUM_BYTES] != remote[offset : offset + _CHECKSUM_BYTES]
    ]


def bucket_count_of(checksums: bytes) -> int | None:
    """Returns the number of buckets of a peer's checksums, or None if the length is not valid."""
    count, rest = divmod(len(checksums), _CHECKSUM_BYTES)
    return count if rest == 0 and 1 <= count <= _MAX_BUCKETS and count & (count - 1) == 0 else None
