"""The fleet key: its file, its digest, and the keyed hash for seals.

A key is replaced in three rolling restarts of the fleet. First the new key is added as `old-key`, so that all
fronts accept it. Then the two keys are swapped. Then the old key is removed.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Sequence
from hashlib import blake2b
from hmac import compare_digest
from pathlib import Path

TAG_BYTES = 16
MIN_KEY_BYTES, MAX_KEY_BYTES = 32, 64  # what BLAKE2b accepts
_MAX_FILE_BYTES = 4_096


class KeyFileError(ValueError):
    """Raised for an unusable key file. The message gives the reason and never the contents."""


def read_key(path: Path) -> bytes:
    """Reads a key file: one line, hex or base64, 32 to 64 bytes when decoded."""
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
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise KeyFileError(f"{path}: a key of {len(key)} bytes, not {MIN_KEY_BYTES} to {MAX_KEY_BYTES}")
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
    """Returns the name of a key set in version reports: equal for fronts that have the same keys."""
    combined = blake2b(digest_size=8, person=b"fernweir keyset")
    for key in keys:
        combined.update(blake2b(key, digest_size=32, person=b"fernweir keyname").digest())
    return combined.hexdigest()


class Sealer:
    """Authentication tags for one purpose under the fleet's keys. The first key seals, any key opens.

    `personalization` (at most 16 bytes) prevents data sealed for one purpose from being accepted for another.
    """

    __slots__ = ("_keyed_hashes",)

    def __init__(self, keys: Sequence[bytes], personalization: bytes) -> None:
        if not keys or any(not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES for key in keys):
            raise ValueError(
                f"at least one key is required, each of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes"
            )
        # Copied for each tag: initializing with the key again costs a whole block.
        self._keyed_hashes = [blake2b(key=key, digest_size=TAG_BYTES, person=personalization) for key in keys]

    def tag(self, data: bytes | memoryview, key_index: int = 0) -> bytes:
        hash_ = self._keyed_hashes[key_index].copy()
        hash_.update(data)
        return hash_.digest()

    def verify(self, key_index: int, data: bytes | memoryview, tag: bytes | memoryview) -> bool:
        return compare_digest(self.tag(data, key_index), tag)

    def find_key(self, data: bytes | memoryview, tag: bytes | memoryview) -> int | None:
        """Returns the index of the key under which the tag is valid, or None."""
        for key_index in range(len(self._keyed_hashes)):
            if self.verify(key_index, data, tag):
                return key_index
        return None
