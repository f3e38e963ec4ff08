"""Log files of child processes, rotated by copying and truncating.

Each child appends to its own file. A pipe through the unit is not used, because a slow unit would then slow
down its fronts. Lines written between the copy and the truncation, a few microseconds, can be lost.
"""

from __future__ import annotations

import os
import shutil
from pathlib import Path


def open_log(path: Path) -> int:
    """Opens a log for appending and returns its descriptor; it stays valid after `rotate`."""
    path.parent.mkdir(parents=True, exist_ok=True)
    return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)


def rotate(path: Path, max_bytes: int, max_copies: int) -> bool:
    """Copies a log of over `max_bytes` to `.1` and truncates it; at most `max_copies` copies remain.

    Returns whether the log was rotated.
    """
    try:
        if path.stat().st_size <= max_bytes:
            return False
    except FileNotFoundError:
        return False
    for number in range(max_copies - 1, 0, -1):
        older = path.with_name(f"{path.name}.{number}")
        if older.exists():
            os.replace(older, path.with_name(f"{path.name}.{number + 1}"))
    shutil.copyfile(path, path.with_name(f"{path.name}.1"))
    os.truncate(path, 0)
    return True
