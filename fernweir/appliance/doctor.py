"""Looks a unit over and names what is wrong, and what helps. Changes nothing."""

from __future__ import annotations

import fcntl
import json
import os
import shutil
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from fernweir.appliance.layout import (
    MAX_SOCKET_PATH_BYTES,
    Layout,
    UnitConfig,
    UnitError,
    load_unit,
    read_format,
)
from fernweir.config.front import FrontConfig, load_front
from fernweir.config.ini import ConfigError
from fernweir.control.desk import load_orders
from fernweir.control.statefile import StateFileError
from fernweir.front.program import read_keyring

_LEAST_FREE = 512 << 20
_LAPSE_S = 14 * 86_400.0
_AHEAD_S = 60.0


class Grade(StrEnum):
    GOOD = "good"
    WARN = "warn"
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class Finding:
    """`about` is what was looked at; `helps` is empty if all is well."""

    grade: Grade
    about: str
    says: str
    helps: str = ""


def look_over(
    root: Path, *, now: Callable[[], float] = time.time, least_free: int = _LEAST_FREE
) -> list[Finding]:
    """All findings, in the order in which one would look."""
    root = root.absolute()
    try:
        config = load_unit(root)
    except (UnitError, ConfigError) as error:
        return [Finding(Grade.BAD, "unit.ini", str(error), "mend the file, or make the unit anew")]
    layout = config.layout
    findings = [*_permissions(layout), *_state(layout), *_disk(layout, least_free), *_clock(layout, now())]
    findings += _running(layout)
    running = any(one.about == "running" and one.says.startswith("process") for one in findings)
    for number in range(1, config.unit.fronts + 1):
        findings += _front(config, number, now(), running)
    return findings


def _permissions(layout: Layout) -> Iterator[Finding]:
    wrong = []
    for path in (layout.root, layout.state, layout.run):
        if path.exists() and path.stat().st_mode & 0o077:
            wrong.append(f"{path.name or path} is open to others")
    if layout.keys.exists() and layout.keys.stat().st_mode & 0o077:
        wrong.append("keys.json can be read by others")
    for path in (layout.state, layout.run, layout.log):
        if not os.access(path, os.W_OK | os.X_OK):
            wrong.append(f"{path.name} can't be written to")
    if wrong:
        helps = "chmod 700 folders and 600 keys.json; run as the owner"
        yield Finding(Grade.BAD, "permissions", "; ".join(wrong), helps)
    else:
        yield Finding(Grade.GOOD, "permissions", "only the owner has a way in")


def _state(layout: Layout) -> Iterator[Finding]:
    try:
        number = read_format(layout)
        orders = load_orders(layout.orders)
    except (UnitError, StateFileError, OSError) as error:
        helps = "stop the unit, `fernweir appliance restore` a backup"
        yield Finding(Grade.BAD, "state", str(error), helps)
        return
    stand = f"{len(orders.drains)} drains, {len(orders.holds)} holds, {len(orders.caps)} limits stand"
    yield Finding(Grade.GOOD, "state", f"format {number}; {stand}")


def _disk(layout: Layout, least: int) -> Iterator[Finding]:
    usage = shutil.disk_usage(layout.root)
    says = f"{usage.free >> 20} MiB free of {usage.total >> 20}"
    if usage.free < least:
        yield Finding(Grade.BAD, "disk", says, "make room: the journal and orders can't be kept without")
    else:
        yield Finding(Grade.GOOD, "disk", says)


def _clock(layout: Layout, now: float) -> Iterator[Finding]:
    """A file of ours from the future: the clock was put back, or is wrong now."""
    newest, whose = 0.0, ""
    for path in [*layout.state.rglob("*"), *layout.log.rglob("*")]:
        try:
            at = path.stat().st_mtime
        except FileNotFoundError:
            continue
        if at > newest:
            newest, whose = at, path.name
    if newest > now + _AHEAD_S:
        says = f"{whose} was written {newest - now:.0f} s after now"
        yield Finding(Grade.WARN, "clock", says, "set the clock; tokens are judged by it")
    else:
        yield Finding(Grade.GOOD, "clock", "nothing was written in the future")


def _running(layout: Layout) -> Iterator[Finding]:
    try:
        handle = os.open(layout.lock, os.O_RDONLY)
    except OSError:
        yield Finding(Grade.GOOD, "running", "the unit does not run")
        return
    try:
        fcntl.flock(handle, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except OSError:
        pid = os.read(handle, 20).decode("ascii", "replace").strip()
        yield Finding(Grade.GOOD, "running", f"process {pid}")
    else:
        yield Finding(Grade.GOOD, "running", "the unit does not run")
    finally:
        os.close(handle)


def _front(config: UnitConfig, number: int, now: float, running: bool) -> Iterator[Finding]:
    about = f"front-{number}"
    try:
        front = load_front(config.layout.front_ini(number))
        keyring = read_keyring(front)
    except ConfigError as error:
        yield Finding(Grade.BAD, about, str(error), "mend the settings; `fernweir check-config` names all")
        return
    yield from _keys(front, about, keyring.sign_with, now)
    if front.control is None or not front.control.led:
        helps = "[control] needs socket, orders = state/orders.json and led = yes"
        yield Finding(Grade.BAD, about, "is not led by the unit", helps)
    elif len(os.fsencode(front.path(front.control.socket))) > MAX_SOCKET_PATH_BYTES:
        yield Finding(Grade.BAD, about, "its socket's path is too long", "move the unit to a shorter path")
    host, port = front.front.listen
    taken = _taken(host, port)
    if running and not taken:
        yield Finding(Grade.BAD, about, f"nobody listens on {host}:{port}", f"see log/{about}.log")
    elif taken and not running:
        helps = "stop who listens there, or change listen"
        yield Finding(Grade.BAD, about, f"{host}:{port} is taken", helps)
    else:
        yield Finding(Grade.GOOD, about, f"{host}:{port} is " + ("answered" if taken else "free"))


def _keys(front: FrontConfig, about: str, sign_with: str, now: float) -> Iterator[Finding]:
    """Keys may carry `exp`, seconds since the epoch, as some issuers add it to a JWK."""
    keys = json.loads(front.path(front.tokens.keys).read_text(encoding="utf-8"))["keys"]
    for key in keys:
        lapses = key.get("exp")
        if not isinstance(lapses, int | float):
            continue
        left = lapses - now
        if left <= 0.0:
            grade = Grade.BAD if key["kid"] == sign_with else Grade.WARN
            yield Finding(grade, about, f"key {key['kid']} has lapsed", "add a new key, then sign with it")
        elif left < _LAPSE_S:
            says = f"key {key['kid']} lapses in {left / 86_400.0:.1f} days"
            yield Finding(Grade.WARN, about, says, "add a new key everywhere, then sign with it")


def _taken(host: str, port: int) -> bool:
    if port == 0:
        return False
    with socket.socket() as sock:
        sock.settimeout(1.0)
        return sock.connect_ex((host, port)) == 0
