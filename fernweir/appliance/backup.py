"""Backups of a unit, taken while it runs, and put back when it doesn't.

A backup is a gzipped tar: `manifest.json` first, with the format of the state and each file's size and
SHA-256, then the files. State files are replaced whole and journals only grow, so that each is good as it
is read; a journal's end may be cut, which it mends itself when it is opened. Sockets, logs and locks stay.
"""

from __future__ import annotations

import gzip
import hashlib
import io
import json
import os
import shutil
import tarfile
import time
import zlib
from pathlib import Path, PurePosixPath
from typing import Any

from fernweir.appliance.layout import FORMAT, Layout, Lock, UnitError, migrate, read_format

KIND = "fernweir unit backup"
VERSION = 1
_LEFT_OUT = {"run", "log"}
_MOST_FILE = 1 << 32


def back_up(root: Path, target: Path) -> dict[str, Any]:
    """Writes a backup to `target`, whole or not at all; its manifest. UnitError if it can't."""
    layout = Layout(root.absolute())
    if not layout.unit_ini.exists():
        raise UnitError(f"{root}: no unit.ini, so no unit to back up")
    if target.exists():
        raise UnitError(f"{target}: is there already")
    files: dict[str, bytes] = {}
    try:
        for path in sorted(layout.root.rglob("*")):
            relative = path.relative_to(layout.root)
            if relative.parts[0] in _LEFT_OUT or path.suffix == ".new" or not path.is_file():
                continue
            try:
                files[str(PurePosixPath(relative))] = path.read_bytes()
            except FileNotFoundError:
                continue  # a journal's oldest file that was dropped meanwhile
    except OSError as error:
        raise UnitError(f"{error.filename}: {error.strerror}") from None
    manifest = {
        "kind": KIND,
        "version": VERSION,
        "format": read_format(layout),
        "taken_at": int(time.time()),
        "files": {
            name: {"size": len(data), "sha256": hashlib.sha256(data).hexdigest()}
            for name, data in files.items()
        },
    }
    beside = target.with_name(f"{target.name}.{os.getpid()}.new")
    try:
        handle = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)  # it holds the keys
        with os.fdopen(handle, "wb") as out:
            with tarfile.open(fileobj=out, mode="w:gz") as tar:
                _add(tar, "manifest.json", json.dumps(manifest, indent=1).encode())
                for name, data in files.items():
                    _add(tar, name, data)
            out.flush()
            os.fsync(out.fileno())
        os.replace(beside, target)
    except OSError as error:
        beside.unlink(missing_ok=True)
        raise UnitError(f"{target}: {error.strerror}") from None
    return manifest


def check(source: Path) -> tuple[dict[str, Any], dict[str, bytes]]:
    """The manifest and files of a backup, each as its checksum says. UnitError names what is wrong."""
    try:
        # Unpacked whole first: a tar that is read to its end says nothing of a gzip that is cut off.
        whole = gzip.decompress(source.read_bytes())
        with tarfile.open(fileobj=io.BytesIO(whole), mode="r:") as tar:
            files = _read(source, tar)
    except (tarfile.TarError, EOFError, OSError, ValueError, zlib.error) as error:
        if isinstance(error, FileNotFoundError):
            raise UnitError(f"{source}: is not there") from None
        raise UnitError(f"{source}: is no backup, or is cut off: {error}") from None
    try:
        manifest = json.loads(files.pop("manifest.json"))
        told = manifest["files"]
        if manifest["kind"] != KIND or manifest["version"] != VERSION:
            raise UnitError(f"{source}: {manifest['kind']} of version {manifest['version']}, not known here")
        if int(manifest["format"]) > FORMAT:
            raise UnitError(f"{source}: made by a newer fernweir, format {manifest['format']}")
        for name, one in told.items():
            if name not in files:
                raise UnitError(f"{source}: {name} is missing")
            data = files[name]
            if len(data) != one["size"] or hashlib.sha256(data).hexdigest() != one["sha256"]:
                raise UnitError(f"{source}: {name} does not match its checksum")
        extra = set(files) - set(told)
        if extra:
            raise UnitError(f"{source}: {sorted(extra)[0]} is not in its manifest")
    except (KeyError, TypeError, ValueError) as error:
        raise UnitError(f"{source}: its manifest can't be read: {error!r}") from None
    return manifest, files


def restore(root: Path, source: Path) -> list[str]:
    """Puts a backup in the place of a unit that doesn't run; what was done.

    What was there is kept beside, as `ROOT.before-restore`. UnitError, with nothing changed, otherwise.
    """
    manifest, files = check(source)
    root = root.absolute()
    lock = None
    if root.exists():
        lock = Lock(Layout(root))
        lock.take()  # UnitError if it runs
    fresh = root.with_name(f"{root.name}.{os.getpid()}.restored")
    before = root.with_name(f"{root.name}.before-restore")
    try:
        for name, data in files.items():
            path = fresh / name
            path.parent.mkdir(parents=True, exist_ok=True, mode=0o700)
            handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
            with os.fdopen(handle, "wb") as out:
                out.write(data)
                out.flush()
                os.fsync(out.fileno())
        for folder in ("run", "log"):
            (fresh / folder).mkdir(mode=0o700, exist_ok=True)
        done = [f"{len(files)} files of {_day(manifest)} are as their checksums say"]
        done += migrate(Layout(fresh))
        if root.exists():
            if before.exists():
                shutil.rmtree(before)
            os.replace(root, before)
            done.append(f"what was there is kept in {before.name}")
        os.replace(fresh, root)
    except (OSError, UnitError) as error:
        shutil.rmtree(fresh, ignore_errors=True)
        raise UnitError(f"not restored: {error}") from None
    finally:
        if lock is not None:
            lock.give_back()
    return done


def _read(source: Path, tar: tarfile.TarFile) -> dict[str, bytes]:
    files: dict[str, bytes] = {}
    for member in tar:
        name = PurePosixPath(member.name)
        if not member.isfile() or name.is_absolute() or ".." in name.parts or member.size > _MOST_FILE:
            raise UnitError(f"{source}: {member.name} does not belong into a backup")
        data = tar.extractfile(member)
        files[member.name] = data.read() if data is not None else b""
    return files


def _add(tar: tarfile.TarFile, name: str, data: bytes) -> None:
    info = tarfile.TarInfo(name)
    info.size, info.mode, info.mtime = len(data), 0o600, int(time.time())
    tar.addfile(info, io.BytesIO(data))


def _day(manifest: dict[str, Any]) -> str:
    return time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime(manifest["taken_at"]))
