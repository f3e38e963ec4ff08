"""Writes files atomically: a temporary file is written, synced and renamed, then its directory is synced."""

from __future__ import annotations

import os
from pathlib import Path


def write_file(path: Path, data: bytes) -> None:
    """Replaces the content of `path`, and creates its directory if necessary.

    Raises:
        OSError: The file could not be written; the old content remains.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    directory = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)
