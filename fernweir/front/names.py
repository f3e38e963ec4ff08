"""Maps names of titles and servers to numbers that are the same at every front."""

from __future__ import annotations

from hashlib import blake2b


def number_of(name: str) -> int:
    """Returns the number of a title or a server in the controller: a 64-bit hash of its name.

    Every front ranks the servers of a title by these numbers, so all fronts must derive the same ones.

    Raises:
        UnicodeEncodeError: The name has lone surrogates.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
