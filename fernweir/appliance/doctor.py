"""Diagnoses a unit: reports problems with their remedies. The checks are read-only."""

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

_MIN_FREE_BYTES = 512 << 20
_EXPIRY_WARNING_S = 14 * 86_400.0
_MAX_CLOCK_SKEW_S = 60.0


class Grade(StrEnum):
    """The severity of a finding."""

    GOOD = "good"
    WARN = "warn"
    BAD = "bad"


@dataclass(frozen=True, slots=True)
class Finding:
    """The result of one check: `subject` is what was checked; `remedy` is empty if nothing is wrong."""

    grade: Grade
    subject: str
    message: str
    remedy: str = ""


def diagnose_unit(
    root: Path, *, now: Callable[[], float] = time.time, min_free_bytes: int = _MIN_FREE_BYTES
) -> list[Finding]:
    """Returns the findings of all checks, the basic ones first."""
    root = root.absolute()
    try:
        config = load_unit(root)
    except (UnitError, ConfigError) as error:
        return [Finding(Grade.BAD, "unit.ini", str(error), "correct the file, or create the unit again")]
    layout = config.layout
    findings = [
        *_check_permissions(layout),
        *_check_state(layout),
        *_check_disk(layout, min_free_bytes),
        *_check_clock(layout, now()),
    ]
    findings += _check_running(layout)
    is_running = any(
        finding.subject == "running" and finding.message.startswith("process") for finding in findings
    )
    for number in range(1, config.unit.fronts + 1):
        findings += _check_front(config, number, now(), is_running)
    return findings


def _check_permissions(layout: Layout) -> Iterator[Finding]:
    problems = []
    for path in (layout.root, layout.state, layout.run):
        if path.exists() and path.stat().st_mode & 0o077:
            problems.append(f"{path.name or path} can be accessed by others")
    if layout.keys.exists() and layout.keys.stat().st_mode & 0o077:
        problems.append("keys.json can be read by others")
    for path in (layout.state, layout.run, layout.log):
        if not os.access(path, os.W_OK | os.X_OK):
            problems.append(f"{path.name} can't be written to")
    if problems:
        remedy = "chmod 700 folders and 600 keys.json; run as the owner"
        yield Finding(Grade.BAD, "permissions", "; ".join(problems), remedy)
    else:
        yield Finding(Grade.GOOD, "permissions", "only the owner has access")


def _check_state(layout: Layout) -> Iterator[Finding]:
    try:
        number = read_format(layout)
        orders = load_orders(layout.orders)
    except (UnitError, StateFileError, OSError) as error:
        remedy = "stop the unit, `fernweir appliance restore` a backup"
        yield Finding(Grade.BAD, "state", str(error), remedy)
        return
    orders_in_force = (
        f"{len(orders.drains)} drains, {len(orders.holds)} holds, {len(orders.caps)} limits in force"
    )
    yield Finding(Grade.GOOD, "state", f"format {number}; {orders_in_force}")


def _check_disk(layout: Layout, min_free_bytes: int) -> Iterator[Finding]:
    usage = shutil.disk_usage(layout.root)
    message = f"{usage.free >> 20} MiB free of {usage.total >> 20}"
    if usage.free < min_free_bytes:
        yield Finding(
            Grade.BAD,
            "disk",
            message,
            "free some space: the journal and the orders can't be written without it",
        )
    else:
        yield Finding(Grade.GOOD, "disk", message)


def _check_clock(layout: Layout, now: float) -> Iterator[Finding]:
    """Looks for a file of the unit that was modified in the future: the clock was set back, or is wrong."""
    newest, newest_name = 0.0, ""
    for path in [*layout.state.rglob("*"), *layout.log.rglob("*")]:
        try:
            modified_at = path.stat().st_mtime
        except FileNotFoundError:
            continue
        if modified_at > newest:
            newest, newest_name = modified_at, path.name
    if newest > now + _MAX_CLOCK_SKEW_S:
        message = f"{newest_name} was written {newest - now:.0f} s after now"
        yield Finding(Grade.WARN, "clock", message, "set the clock; the expiry of tokens depends on it")
    else:
        yield Finding(Grade.GOOD, "clock", "nothing was written in the future")


def _check_running(layout: Layout) -> Iterator[Finding]:
    try:
        descriptor = os.open(layout.lock, os.O_RDONLY)
    except OSError:
        yield Finding(Grade.GOOD, "running", "the unit does not run")
        return
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except OSError:
        pid = os.read(descriptor, 20).decode("ascii", "replace").strip()
        yield Finding(Grade.GOOD, "running", f"process {pid}")
    else:
        yield Finding(Grade.GOOD, "running", "the unit does not run")
    finally:
        os.close(descriptor)


def _check_front(config: UnitConfig, number: int, now: float, is_running: bool) -> Iterator[Finding]:
    subject = f"front-{number}"
    try:
        front = load_front(config.layout.front_ini(number))
        keyring = read_keyring(front)
    except ConfigError as error:
        yield Finding(
            Grade.BAD, subject, str(error), "correct the settings; `fernweir check-config` lists all mistakes"
        )
        return
    yield from _check_keys(front, subject, keyring.sign_with, now)
    if front.control is None or not front.control.led:
        remedy = "[control] needs socket, orders = state/orders.json and led = yes"
        yield Finding(Grade.BAD, subject, "is not led by the unit", remedy)
    elif len(os.fsencode(front.path(front.control.socket))) > MAX_SOCKET_PATH_BYTES:
        yield Finding(Grade.BAD, subject, "its socket's path is too long", "move the unit to a shorter path")
    host, port = front.front.listen
    port_in_use = _is_port_in_use(host, port)
    if is_running and not port_in_use:
        yield Finding(Grade.BAD, subject, f"no process listens on {host}:{port}", f"see log/{subject}.log")
    elif port_in_use and not is_running:
        remedy = "stop the process that listens there, or change `listen`"
        yield Finding(Grade.BAD, subject, f"{host}:{port} is in use by another process", remedy)
    else:
        yield Finding(Grade.GOOD, subject, f"{host}:{port} is " + ("answered" if port_in_use else "free"))


def _check_keys(front: FrontConfig, subject: str, sign_with: str, now: float) -> Iterator[Finding]:
    """Checks `exp`, seconds since the epoch, which some issuers add to a JWK."""
    keys = json.loads(front.path(front.tokens.keys).read_text(encoding="utf-8"))["keys"]
    for key in keys:
        expires_at_s = key.get("exp")
        if not isinstance(expires_at_s, int | float):
            continue
        remaining_s = expires_at_s - now
        if remaining_s <= 0.0:
            grade = Grade.BAD if key["kid"] == sign_with else Grade.WARN
            yield Finding(grade, subject, f"key {key['kid']} has expired", "add a new key, then sign with it")
        elif remaining_s < _EXPIRY_WARNING_S:
            message = f"key {key['kid']} expires in {remaining_s / 86_400.0:.1f} days"
            yield Finding(Grade.WARN, subject, message, "add a new key everywhere, then sign with it")


def _is_port_in_use(host: str, port: int) -> bool:
    if port == 0:
        return False
    with socket.socket() as sock:
        sock.settimeout(1.0)
        return sock.connect_ex((host, port)) == 0
