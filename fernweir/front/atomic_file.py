"""Files that are whole or not there: written beside, synced, renamed, and the folder synced."""

from __future__ import annotations

import os
from pathlib import Path


def write_file(path: Path, data: bytes) -> None:
    """Replaces `path`. OSError when it can't; the old content stands then."""
    path.parent.mkdir(parents=True, exist_ok=True)
    beside = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        with open(beside, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
    except OSError:
        beside.unlink(missing_ok=True)
        raise
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
