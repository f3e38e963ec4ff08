"""The files of the seat log: the only module of the package that accesses a disk.

`FileStore` is the interface that the log uses and `DiskFileStore` implements it on a directory. Tests use
`memory_file_store`, which can lose or tear unsynced data, run out of space, or crash at any call.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

_FILE_MODE = 0o600


class FileStore(Protocol):
    """Stores files by name. Any method may raise OSError."""

    def list_names(self) -> list[str]:
        """Returns the sorted names of all files."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file and creates it if necessary; the data is durable after the next `sync`."""

    def sync(self, name: str) -> None:
        """Makes the data appended to a file durable."""

    def replace(self, name: str, data: bytes) -> None:
        """Replaces the content of a file atomically; the new content is durable on return."""

    def remove(self, name: str) -> None:
        """Removes a file durably; does nothing if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes durably."""


class DiskFileStore:
    """Stores files in one directory, which is created if necessary."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        directory.mkdir(parents=True, exist_ok=True)
        self._descriptors: dict[str, int] = {}

    def list_names(self) -> list[str]:
        """Returns the sorted names of all files."""
        return sorted(path.name for path in self.directory.iterdir() if path.is_file())

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        return (self.directory / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, which is created if necessary and stays open."""
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            path = self.directory / name
            is_new = not path.exists()
            descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, _FILE_MODE)
            self._descriptors[name] = descriptor
            if is_new:
                self._sync_directory()
        _write_all(descriptor, data)

    def sync(self, name: str) -> None:
        """Makes the data appended to a file durable."""
        descriptor = self._descriptors.get(name)
        if descriptor is not None:
            os.fdatasync(descriptor)

    def replace(self, name: str, data: bytes) -> None:
        """Replaces the content of a file by writing a temporary file and renaming it."""
        self._close(name)
        temporary = self.directory / f"{name}.new"
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, _FILE_MODE)
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(temporary, self.directory / name)
        self._sync_directory()

    def remove(self, name: str) -> None:
        """Removes a file durably; does nothing if it does not exist."""
        self._close(name)
        (self.directory / name).unlink(missing_ok=True)
        self._sync_directory()

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes durably."""
        self._close(name)
        descriptor = os.open(self.directory / name, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Closes all files that `append` has opened."""
        for name in list(self._descriptors):
            self._close(name)

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_directory(self) -> None:
        descriptor = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]
