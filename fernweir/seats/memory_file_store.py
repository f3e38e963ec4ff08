"""Simulates the files of a failing disk in memory, for simulations and tests.

Unsynced data can be lost or torn, and any operation can fail; `crash` returns the files that remain after a
restart.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from random import Random

_PAGE_BYTES = 64
_PAGE_SURVIVAL_PROBABILITY = 0.5


class SimulatedCrash(BaseException):
    """Raised to end the simulated process at this call; the operation and all later ones do not happen."""


class MemoryFileStore:
    """Implements `FileStore` in memory."""

    def __init__(
        self, before_operation: Callable[[str], None] | None = None, capacity_bytes: int | None = None
    ) -> None:
        """Creates a store without files.

        Args:
            before_operation: Called with the name of each operation that changes a file; it may raise
                OSError or SimulatedCrash.
            capacity_bytes: The total size of all files at which the disk is full; None for no limit.
        """
        self.before_operation = before_operation
        self.capacity_bytes = capacity_bytes
        self.operation_count = 0
        self._written: dict[str, bytearray] = {}
        self._synced: dict[str, bytes] = {}

    def list_names(self) -> list[str]:
        """Returns the sorted names of all files."""
        return sorted(self._written)

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return bytes(self._written[name])

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file.

        Raises:
            OSError: The disk is full; the part of the data that fitted has been written.
        """
        self._begin_operation(f"append {name}")
        if self.capacity_bytes is not None:
            used_bytes = sum(map(len, self._written.values()))
            free_bytes = max(self.capacity_bytes - used_bytes, 0)
            if free_bytes < len(data):
                self._written.setdefault(name, bytearray()).extend(data[:free_bytes])
                raise OSError(errno.ENOSPC, "No space left on device")
        self._written.setdefault(name, bytearray()).extend(data)

    def sync(self, name: str) -> None:
        """Makes the data appended to a file durable."""
        self._begin_operation(f"sync {name}")
        self._synced[name] = bytes(self._written[name])

    def replace(self, name: str, data: bytes) -> None:
        """Replaces the content of a file durably."""
        self._begin_operation(f"replace {name}")
        self._written[name] = bytearray(data)
        self._synced[name] = bytes(data)

    def remove(self, name: str) -> None:
        """Removes a file durably; does nothing if it does not exist."""
        self._begin_operation(f"remove {name}")
        self._written.pop(name, None)
        self._synced.pop(name, None)

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes durably."""
        self._begin_operation(f"truncate {name}")
        del self._written[name][size:]
        self._synced[name] = bytes(self._written[name])

    def crash(self, rng: Random, page_bytes: int = _PAGE_BYTES) -> MemoryFileStore:
        """Returns the files as they are after a crash.

        All, none, a prefix, or any subset of the pages of each file's unsynced data survives; a lost page
        reads as zeros.

        Args:
            rng: Selects the data that survives.
            page_bytes: The size of a page.
        """
        survivors = MemoryFileStore()
        for name, data in self._written.items():
            synced = self._synced.get(name, b"")
            content = synced + _surviving_part(bytes(data[len(synced) :]), rng, page_bytes)
            if content or name in self._synced:
                survivors._written[name] = bytearray(content)
                survivors._synced[name] = content
        return survivors

    def _begin_operation(self, operation: str) -> None:
        self.operation_count += 1
        if self.before_operation is not None:
            self.before_operation(operation)


def _surviving_part(unsynced: bytes, rng: Random, page_bytes: int) -> bytes:
    survival = rng.choice(("none", "all", "cut", "pages"))
    if survival == "all":
        return unsynced
    if survival == "cut":
        return unsynced[: rng.randrange(len(unsynced) + 1)]
    if survival == "none":
        return b""
    pages = bytearray()
    for start in range(0, len(unsynced), page_bytes):
        page = unsynced[start : start + page_bytes]
        pages += page if rng.random() < _PAGE_SURVIVAL_PROBABILITY else bytes(len(page))
    return bytes(pages)
