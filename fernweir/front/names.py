"""Numbers for the module from names: alike at every front, which its shared order rests on."""

from __future__ import annotations

from hashlib import blake2b


def number_of(name: str) -> int:
    """The number by which the module knows a title or a server."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
