"""Small state files: JSON with a header line that has its kind and a CRC32C checksum."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import google_crc32c
import orjson

from fernweir.front.atomic_file import write_file


class StateFileError(ValueError):
    """Raised when a state file is damaged or of another kind; the message names the file and says why."""


def write_state(path: Path, kind: str, state: Any) -> None:
    """Replaces the file atomically and durably. Raises OSError if it can't be written."""
    body = orjson.dumps(state)
    head = {"kind": kind, "crc32c": int(google_crc32c.value(body))}
    write_file(path, orjson.dumps(head) + b"\n" + body + b"\n")


def read_state(path: Path, kind: str) -> Any | None:
    """Returns the state, or None if there is no file.

    Raises StateFileError if the file is damaged or of another kind, OSError if it can't be read.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    head, _, body = data.partition(b"\n")
    try:
        header = orjson.loads(head)
        if header["kind"] != kind:
            raise StateFileError(f"{path}: holds {header['kind']!r}, not {kind!r}")
        body = body.removesuffix(b"\n")
        if header["crc32c"] != int(google_crc32c.value(body)):
            raise StateFileError(f"{path}: checksum does not match, the file is damaged")
        return orjson.loads(body)
    except (ValueError, KeyError, TypeError) as error:
        if isinstance(error, StateFileError):
            raise
        raise StateFileError(f"{path}: is damaged, its head can't be read") from None
