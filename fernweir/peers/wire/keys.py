"""The fleet key: read from a file, named by its digest, and the keyed hash that seals with it.

A key is changed in three rolls over the fleet: the new one is taken as the old (`old-key`), so that all
accept it; then the two change places; then the old one is left out.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Sequence
from hashlib import blake2b
from hmac import compare_digest
from pathlib import Path

TAG = 16
LEAST, MOST = 32, 64  # bytes of a key: what BLAKE2b takes
_MAX_FILE_BYTES = 4_096


class KeyFileError(ValueError):
    """A key file that can't be used. Says why, never what was in it."""


def read_key(path: Path) -> bytes:
    """The key of a file: one line, hex or base64, 32 to 64 bytes when decoded."""
    try:
        with path.open("rb") as file:
            text = file.read(_MAX_FILE_BYTES + 1)
    except OSError as error:
        raise KeyFileError(f"{path}: can't be read: {error.strerror}") from None
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(text) > _MAX_FILE_BYTES or len(lines) != 1:
        raise KeyFileError(f"{path}: must be one line with the key in hex or base64")
    key = _decode(lines[0])
    if key is None:
        raise KeyFileError(f"{path}: is neither hex nor base64")
    if not LEAST <= len(key) <= MOST:
        raise KeyFileError(f"{path}: a key of {len(key)} bytes, not {LEAST} to {MOST}")
    return key


def _decode(line: bytes) -> bytes | None:
    if len(line) % 2 == 0:
        try:
            return binascii.unhexlify(line)
        except binascii.Error:
            pass
    try:
        standard_alphabet = line.replace(b"-", b"+").replace(b"_", b"/").rstrip(b"=")
        return base64.b64decode(standard_alphabet + b"=" * (-len(standard_alphabet) % 4), validate=True)
    except binascii.Error:
        return None


def digest(keys: Sequence[bytes]) -> str:
    """What a key set is called among versions: fronts that seal and open with the same keys say the same."""
    found = blake2b(digest_size=8, person=b"fernweir keyset")
    for key in keys:
        found.update(blake2b(key, digest_size=32, person=b"fernweir keyname").digest())
    return found.hexdigest()


class Sealer:
    """Tags of one use under the fleet's keys; the first key seals, any opens.

    `use` (at most 16 bytes) keeps what is sealed for one use from being passed off as another's.
    """

    __slots__ = ("_keyed",)

    def __init__(self, keys: Sequence[bytes], use: bytes) -> None:
        if not keys or any(not LEAST <= len(key) <= MOST for key in keys):
            raise ValueError(f"one key at least, each of {LEAST} to {MOST} bytes")
        # Copied for each tag: taking the key in anew costs a whole block.
        self._keyed = [blake2b(key=key, digest_size=TAG, person=use) for key in keys]

    def tag(self, data: bytes | memoryview, key_index: int = 0) -> bytes:
        hash_ = self._keyed[key_index].copy()
        hash_.update(data)
        return hash_.digest()

    def opens_with(self, key_index: int, data: bytes | memoryview, tag: bytes | memoryview) -> bool:
        return compare_digest(self.tag(data, key_index), tag)

    def opens(self, data: bytes | memoryview, tag: bytes | memoryview) -> int | None:
        """The number of the key under which the tag is right, or None."""
        for key_index in range(len(self._keyed)):
            if self.opens_with(key_index, data, tag):
                return key_index
        return None
