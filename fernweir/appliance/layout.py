"""The files of a unit's folder, the unit's settings, its lock, and the migration of older folders.

`FORMAT` is the version of the layout; `migrate` brings older ones up to it.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from pydantic import Field

from fernweir.config.ini import ConfigError, Section, SectionReader, read_file
from fernweir.config.units import Address, Count, Mode, Names, Positive, PositiveMillis, Size
from fernweir.control.desk import KIND
from fernweir.control.orders import Orders, OrdersError
from fernweir.control.statefile import StateFileError, read_state, write_state

FORMAT = 2
_FORMAT_KIND = "fernweir unit"
MAX_SOCKET_PATH_BYTES = 107  # the kernel's limit for the path of a Unix socket


class UnitError(Exception):
    """Raised when an operation on a unit fails; the text names the reason and, if there is one, a remedy."""


class UnitSection(Section):
    """Settings of the unit itself."""

    name: str
    fronts: Positive
    operators: Names = Field(default_factory=list)
    mode: Mode = 0o600
    log_size: Size = 4_194_304
    logs: Positive = 5
    journal_disk: Size = 268_435_456
    restarts: Positive = 10
    restarts_within: PositiveMillis = 600_000.0
    first_pause: PositiveMillis = 250.0
    longest_pause: PositiveMillis = 30_000.0


class TrialSection(Section):
    """Simulated servers and list, for trials. Without this section, the list in `front-N.ini` is real."""

    boxes: Count
    list: Address
    first_port: Positive
    streams: Positive = 30


@dataclass(frozen=True, slots=True)
class Layout:
    """Paths of a unit's folder."""

    root: Path

    @property
    def unit_ini(self) -> Path:
        return self.root / "unit.ini"

    def front_ini(self, number: int) -> Path:
        return self.root / f"front-{number}.ini"

    @property
    def keys(self) -> Path:
        return self.root / "keys.json"

    @property
    def fleet_key(self) -> Path:
        """The key with which the fronts of the unit seal their messages to each other."""
        return self.root / "fleet.key"

    @property
    def state(self) -> Path:
        return self.root / "state"

    @property
    def orders(self) -> Path:
        return self.state / "orders.json"

    @property
    def journal(self) -> Path:
        return self.state / "journal"

    @property
    def format(self) -> Path:
        return self.state / "format.json"

    @property
    def run(self) -> Path:
        return self.root / "run"

    @property
    def socket(self) -> Path:
        return self.run / "unit.sock"

    def front_socket(self, number: int) -> Path:
        return self.run / f"front-{number}.sock"

    @property
    def lock(self) -> Path:
        return self.run / "lock"

    @property
    def log(self) -> Path:
        return self.root / "log"

    @property
    def trial_list(self) -> Path:
        return self.root / "trial-boxes.json"


@dataclass(frozen=True, slots=True)
class UnitConfig:
    """The settings of a unit and the paths of its folder."""

    layout: Layout
    unit: UnitSection
    trial: TrialSection | None


def load_unit(root: Path) -> UnitConfig:
    """Loads the settings of a unit.

    Raises ConfigError, which names every mistake, or UnitError if the folder is not a unit.
    """
    layout = Layout(root)
    if not layout.unit_ini.exists():
        raise UnitError(f"{root}: no unit.ini; make a unit with `fernweir appliance init {root}`")
    reader = SectionReader(read_file(layout.unit_ini))
    unit = reader.read_section("unit", UnitSection)
    trial = reader.read_section("trial", TrialSection) if "trial" in reader.file.sections else None
    reader.raise_problems()
    assert unit is not None
    for number in range(1, unit.fronts + 1):
        if not layout.front_ini(number).exists():
            raise UnitError(
                f"{layout.front_ini(number)}: missing, though unit.ini says fronts = {unit.fronts}"
            )
    return UnitConfig(layout, unit, trial)


class Lock:
    """A file lock that a unit holds while it runs; the kernel releases it however the process ends."""

    def __init__(self, layout: Layout) -> None:
        self._layout = layout
        self._handle: int | None = None

    def acquire(self) -> None:
        """Acquires the lock. Raises UnitError if a unit already runs on this folder."""
        self._layout.run.mkdir(parents=True, exist_ok=True)
        handle = os.open(self._layout.lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            pid = os.read(handle, 20).decode("ascii", "replace").strip()
            os.close(handle)
            raise UnitError(f"{self._layout.root}: a unit runs here already, process {pid}") from None
        os.ftruncate(handle, 0)
        os.write(handle, f"{os.getpid()}\n".encode())
        self._handle = handle

    def release(self) -> None:
        """Releases the lock, if it is held."""
        if self._handle is not None:
            os.close(self._handle)
            self._handle = None


def read_format(layout: Layout) -> int:
    """Returns the layout's format; a folder without a format file has format 1.

    Raises UnitError if the format is newer than `FORMAT` or can't be read.
    """
    try:
        state = read_state(layout.format, _FORMAT_KIND)
    except (StateFileError, OSError) as error:
        raise UnitError(str(error)) from None
    number = 1 if state is None else int(state["format"])
    if number > FORMAT:
        raise UnitError(
            f"{layout.root}: made by a newer fernweir, format {number}; this one reads formats up to {FORMAT}"
        )
    return number


def write_format(layout: Layout) -> None:
    """Records that the folder has the present format."""
    write_state(layout.format, _FORMAT_KIND, {"format": FORMAT})


def _migrate_orders_to_format_2(layout: Layout) -> None:
    """Migrates format 1, which stored the orders at the root, without caps and answers."""
    old = layout.root / "orders.json"
    if old.exists() and not layout.orders.exists():
        try:
            orders = Orders.from_plain(read_state(old, KIND))
        except (StateFileError, OrdersError) as error:
            raise UnitError(f"{old}: {error}") from None
        write_state(layout.orders, KIND, orders.to_plain())
    old.unlink(missing_ok=True)


_MIGRATIONS: dict[int, Callable[[Layout], None]] = {1: _migrate_orders_to_format_2}


def migrate(layout: Layout) -> list[str]:
    """Migrates the state to `FORMAT`, one format at a time, and returns what was done.

    A migration that was killed continues when it is run again.
    """
    done = []
    number = read_format(layout)
    while number < FORMAT:
        _MIGRATIONS[number](layout)
        number += 1
        done.append(f"state brought to format {number}")
    if done or not layout.format.exists():
        write_format(layout)
    return done


__all__ = [
    "FORMAT", "ConfigError", "Layout", "Lock", "TrialSection", "UnitConfig", "UnitError", "UnitSection",
    "load_unit", "migrate", "read_format", "write_format",
]  # fmt: skip
