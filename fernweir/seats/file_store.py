"""The files below the seat log: the only place that touches a disk.

`Files` says what the log needs; `DiskFiles` is the real thing. Tests put a layer in its place that loses or
tears whatever was not synced, fills up, or kills the process at any call.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class FileStore(Protocol):
    """A folder of files by name. Any method may raise OSError."""

    def list_names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def append(self, name: str, data: bytes) -> None:
        """Adds to a file, made if need be; not durable before `sync`."""

    def sync(self, name: str) -> None: ...
    def replace(self, name: str, data: bytes) -> None:
        """A whole new content, durable when it returns, or the old one."""

    def remove(self, name: str) -> None: ...
    def truncate(self, name: str, size: int) -> None:
        """Cuts a file's end off, durably."""


class DiskFileStore:
    """Files in a folder of the file system."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        directory.mkdir(parents=True, exist_ok=True)
        self._open: dict[str, int] = {}

    def list_names(self) -> list[str]:
        return sorted(path.name for path in self.directory.iterdir() if path.is_file())

    def read(self, name: str) -> bytes:
        return (self.directory / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        handle = self._open.get(name)
        if handle is None:
            path = self.directory / name
            made = not path.exists()
            handle = self._open[name] = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
            if made:
                self._sync_folder()
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, name: str) -> None:
        handle = self._open.get(name)
        if handle is not None:
            os.fdatasync(handle)

    def replace(self, name: str, data: bytes) -> None:
        self._close(name)
        beside = self.directory / f"{name}.new"
        handle = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(handle, view) :]
            os.fsync(handle)
        finally:
            os.close(handle)
        os.replace(beside, self.directory / name)
        self._sync_folder()

    def remove(self, name: str) -> None:
        self._close(name)
        (self.directory / name).unlink(missing_ok=True)
        self._sync_folder()

    def truncate(self, name: str, size: int) -> None:
        self._close(name)
        handle = os.open(self.directory / name, os.O_WRONLY)
        try:
            os.ftruncate(handle, size)
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self) -> None:
        for name in list(self._open):
            self._close(name)

    def _close(self, name: str) -> None:
        handle = self._open.pop(name, None)
        if handle is not None:
            os.close(handle)

    def _sync_folder(self) -> None:
        handle = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
