"""Files in memory with a disk's bad ways: what was not synced can be lost, torn, or refused.

For rehearsals and tests. `crash` gives the files as a restart would find them.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from random import Random


class SimulatedCrash(BaseException):
    """The process dies here: nothing after this call happens."""


class MemoryFileStore:
    """`before` is called with the name of each operation, and may raise OSError or Killed."""

    def __init__(
        self, before_operation: Callable[[str], None] | None = None, capacity_bytes: int | None = None
    ) -> None:
        self.before_operation = before_operation
        self.capacity_bytes = capacity_bytes
        self.operation_count = 0
        self._written: dict[str, bytearray] = {}
        self._synced: dict[str, bytes] = {}

    def list_names(self) -> list[str]:
        return sorted(self._written)

    def read(self, name: str) -> bytes:
        return bytes(self._written[name])

    def append(self, name: str, data: bytes) -> None:
        self._step(f"append {name}")
        if self.capacity_bytes is not None:
            fits = max(self.capacity_bytes - sum(map(len, self._written.values())), 0)
            if fits < len(data):
                self._written.setdefault(name, bytearray()).extend(data[:fits])
                raise OSError(errno.ENOSPC, "No space left on device")
        self._written.setdefault(name, bytearray()).extend(data)

    def sync(self, name: str) -> None:
        self._step(f"sync {name}")
        self._synced[name] = bytes(self._written[name])

    def replace(self, name: str, data: bytes) -> None:
        self._step(f"replace {name}")
        self._written[name] = bytearray(data)
        self._synced[name] = bytes(data)

    def remove(self, name: str) -> None:
        self._step(f"remove {name}")
        self._written.pop(name, None)
        self._synced.pop(name, None)

    def truncate(self, name: str, size: int) -> None:
        self._step(f"truncate {name}")
        del self._written[name][size:]
        self._synced[name] = bytes(self._written[name])

    def crash(self, rng: Random, page_bytes: int = 64) -> MemoryFileStore:
        """The disk after a crash: of what was not synced, any pages, in part, in any order, or none."""
        left = MemoryFileStore()
        for name, data in self._written.items():
            synced = self._synced.get(name, b"")
            kept = bytearray(synced)
            rest = bytes(data[len(synced) :])
            how = rng.choice(("none", "all", "cut", "pages"))
            if how == "all":
                kept += rest
            elif how == "cut":
                kept += rest[: rng.randrange(len(rest) + 1)]
            elif how == "pages":
                for start in range(0, len(rest), page_bytes):
                    part = rest[start : start + page_bytes]
                    kept += part if rng.random() < 0.5 else bytes(len(part))
            if kept or name in self._synced:
                left._written[name], left._synced[name] = kept, bytes(kept)
        return left

    def _step(self, what: str) -> None:
        self.operation_count += 1
        if self.before_operation is not None:
            self.before_operation(what)
