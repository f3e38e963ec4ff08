"""Logs of children: each appends to a file of its own, which is copied away and emptied when it is large.

A pipe through the unit would make a slow unit slow its fronts. What is written between copy and emptying,
a few microseconds, can be lost.
"""

from __future__ import annotations

import os
import shutil
from pathlib import Path


def open_log(path: Path) -> int:
    """A handle to append by; the writer goes on at the new end after `rotate`."""
    path.parent.mkdir(parents=True, exist_ok=True)
    return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)


def rotate(path: Path, size: int, keep: int) -> bool:
    """Copies a log of over `size` bytes away, as `.1`, and empties it; at most `keep` copies stay."""
    try:
        if path.stat().st_size <= size:
            return False
    except FileNotFoundError:
        return False
    for number in range(keep - 1, 0, -1):
        older = path.with_name(f"{path.name}.{number}")
        if older.exists():
            os.replace(older, path.with_name(f"{path.name}.{number + 1}"))
    shutil.copyfile(path, path.with_name(f"{path.name}.1"))
    os.truncate(path, 0)
    return True
