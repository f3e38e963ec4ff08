"""A small state file that is whole, checked, and of a known kind: JSON with a CRC32C around it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import google_crc32c
import orjson

from fernweir.front.atomic_file import write_file


class StateFileError(ValueError):
    """The file is there and can't be believed; the text names it and says why."""


def write_state(path: Path, kind: str, state: Any) -> None:
    """Replaces the file; it is on disk when this returns. OSError when the disk refuses."""
    body = orjson.dumps(state)
    head = {"kind": kind, "crc32c": int(google_crc32c.value(body))}
    write_file(path, orjson.dumps(head) + b"\n" + body + b"\n")


def read_state(path: Path, kind: str) -> Any | None:
    """The state, or None if there is no file. StateFileError for a damaged one, OSError if unreadable."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    head, _, body = data.partition(b"\n")
    try:
        told = orjson.loads(head)
        if told["kind"] != kind:
            raise StateFileError(f"{path}: holds {told['kind']!r}, not {kind!r}")
        body = body.removesuffix(b"\n")
        if told["crc32c"] != int(google_crc32c.value(body)):
            raise StateFileError(f"{path}: checksum does not match, the file is damaged")
        return orjson.loads(body)
    except (ValueError, KeyError, TypeError) as error:
        if isinstance(error, StateFileError):
            raise
        raise StateFileError(f"{path}: is damaged, its head can't be read") from None
