"""Backs up a unit, also while it runs, and restores it while it doesn't run.

A backup is a gzipped tar. `manifest.json` comes first, with the format of the state and each file's size and
SHA-256; the files follow. State files are replaced atomically and journals are append-only, so each file is
consistent when it is read. The end of a journal may be torn, which is repaired when the journal is opened.
Sockets, logs and locks are not part of a backup.
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
_EXCLUDED_FOLDERS = {"run", "log"}
_MAX_FILE_BYTES = 1 << 32


def back_up(root: Path, target: Path) -> dict[str, Any]:
    """Writes a backup to `target` atomically and returns its manifest. Raises UnitError if it fails."""
    layout = Layout(root.absolute())
    if not layout.unit_ini.exists():
        raise UnitError(f"{root}: has no unit.ini, so it is not a unit that can be backed up")
    if target.exists():
        raise UnitError(f"{target}: already exists")
    files: dict[str, bytes] = {}
    try:
        for path in sorted(layout.root.rglob("*")):
            relative = path.relative_to(layout.root)
            if relative.parts[0] in _EXCLUDED_FOLDERS or path.suffix == ".new" or not path.is_file():
                continue
            try:
                files[str(PurePosixPath(relative))] = path.read_bytes()
            except FileNotFoundError:
                continue  # the oldest segment of a journal, which was deleted in the meantime
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
    temporary = target.with_name(f"{target.name}.{os.getpid()}.new")
    try:
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)  # it contains the keys
        with os.fdopen(descriptor, "wb") as out:
            with tarfile.open(fileobj=out, mode="w:gz") as tar:
                _add_file(tar, "manifest.json", json.dumps(manifest, indent=1).encode())
                for name, data in files.items():
                    _add_file(tar, name, data)
            out.flush()
            os.fsync(out.fileno())
        os.replace(temporary, target)
    except OSError as error:
        temporary.unlink(missing_ok=True)
        raise UnitError(f"{target}: {error.strerror}") from None
    return manifest


def check(source: Path) -> tuple[dict[str, Any], dict[str, bytes]]:
    """Verifies the checksums of a backup and returns its manifest and its files.

    Raises UnitError, which names the defect, if the backup is invalid.
    """
    try:
        # Decompresses everything first, as reading a tar to its end does not detect a truncated gzip stream.
        archive = gzip.decompress(source.read_bytes())
        with tarfile.open(fileobj=io.BytesIO(archive), mode="r:") as tar:
            files = _read_files(source, tar)
    except (tarfile.TarError, EOFError, OSError, ValueError, zlib.error) as error:
        if isinstance(error, FileNotFoundError):
            raise UnitError(f"{source}: does not exist") from None
        raise UnitError(f"{source}: is not a backup, or is truncated: {error}") from None
    try:
        manifest = json.loads(files.pop("manifest.json"))
        listed = manifest["files"]
        if manifest["kind"] != KIND or manifest["version"] != VERSION:
            raise UnitError(f"{source}: {manifest['kind']} of version {manifest['version']} is not supported")
        if int(manifest["format"]) > FORMAT:
            raise UnitError(f"{source}: made by a newer fernweir, format {manifest['format']}")
        for name, entry in listed.items():
            if name not in files:
                raise UnitError(f"{source}: {name} is missing")
            data = files[name]
            if len(data) != entry["size"] or hashlib.sha256(data).hexdigest() != entry["sha256"]:
                raise UnitError(f"{source}: {name} does not match its checksum")
        unlisted = set(files) - set(listed)
        if unlisted:
            raise UnitError(f"{source}: {sorted(unlisted)[0]} is not in its manifest")
    except (KeyError, TypeError, ValueError) as error:
        raise UnitError(f"{source}: its manifest is invalid: {error!r}") from None
    return manifest, files


def restore(root: Path, source: Path) -> list[str]:
    """Replaces a unit that doesn't run with a backup and returns what was done.

    The former folder is kept as `ROOT.before-restore`. Raises UnitError, with nothing changed, if it fails.
    """
    manifest, files = check(source)
    root = root.absolute()
    lock = None
    if root.exists():
        lock = Lock(Layout(root))
        lock.acquire()  # raises UnitError if the unit runs
    staging = root.with_name(f"{root.name}.{os.getpid()}.restored")
    previous = root.with_name(f"{root.name}.before-restore")
    try:
        for name, data in files.items():
            path = staging / name
            path.parent.mkdir(parents=True, exist_ok=True, mode=0o700)
            descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
            with os.fdopen(descriptor, "wb") as out:
                out.write(data)
                out.flush()
                os.fsync(out.fileno())
        for folder in ("run", "log"):
            (staging / folder).mkdir(mode=0o700, exist_ok=True)
        steps = [f"{len(files)} files of {_backup_time(manifest)} match their checksums"]
        steps += migrate(Layout(staging))
        if root.exists():
            if previous.exists():
                shutil.rmtree(previous)
            os.replace(root, previous)
            steps.append(f"the former folder is kept as {previous.name}")
        os.replace(staging, root)
    except (OSError, UnitError) as error:
        shutil.rmtree(staging, ignore_errors=True)
        raise UnitError(f"not restored: {error}") from None
    finally:
        if lock is not None:
            lock.release()
    return steps


def _read_files(source: Path, tar: tarfile.TarFile) -> dict[str, bytes]:
    files: dict[str, bytes] = {}
    for member in tar:
        name = PurePosixPath(member.name)
        if not member.isfile() or name.is_absolute() or ".." in name.parts or member.size > _MAX_FILE_BYTES:
            raise UnitError(f"{source}: {member.name} is not allowed in a backup")
        data = tar.extractfile(member)
        files[member.name] = data.read() if data is not None else b""
    return files


def _add_file(tar: tarfile.TarFile, name: str, data: bytes) -> None:
    info = tarfile.TarInfo(name)
    info.size, info.mode, info.mtime = len(data), 0o600, int(time.time())
    tar.addfile(info, io.BytesIO(data))


def _backup_time(manifest: dict[str, Any]) -> str:
    return time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime(manifest["taken_at"]))
