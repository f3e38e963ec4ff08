"""Numbers for names of titles and servers, which are the same at every front."""

from __future__ import annotations

from hashlib import blake2b


def number_of(name: str) -> int:
    """Returns the number by which the controller knows a title or a server: a hash of 64 bits.

    Every front ranks the servers of a title by these numbers, so all of them have to agree on them.

    Raises:
        UnicodeEncodeError: The name has lone surrogates.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")
