"""Records the batches that a controller handles, and replays a record against a new controller.

A record has one JSON document per line: first the settings and the seed, then one batch per line. The same
events must result in the same actions; a replay names the first batch for which they do not.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from enum import Enum, IntEnum
from typing import IO, Any, get_args

from fernweir.controller import Controller
from fernweir.front.stored_types import BY_CLASS, BY_NAME
from fernweir.interface import Action, Event, Settings

FORMAT = 1


class RecordError(ValueError):
    """Raised when a record cannot be read; the message names the line."""


def to_plain(value: Any) -> Any:
    """Returns a value of the interface in JSON types; a dataclass names its type, see `stored_types`."""
    stored = BY_CLASS.get(type(value))
    if stored is not None:
        pairs = zip(stored.names, stored.attributes, strict=True)
        return {"is": stored.name, **{name: to_plain(getattr(value, attr)) for name, attr in pairs}}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    return value.hex() if isinstance(value, bytes) else value


def from_plain(plain: Any, hint: Any = None) -> Any:
    """Returns the value that `to_plain` encoded, with the types of the interface.

    Raises:
        RecordError: The value names an unknown type.
    """
    if isinstance(plain, dict):
        stored = BY_NAME.get(str(plain.get("is")))
        if stored is None:
            raise RecordError(f"unknown type {plain.get('is')}")
        pairs = zip(stored.names, stored.hints, strict=True)
        return stored.kind(*(from_plain(plain[name], hint) for name, hint in pairs))
    if isinstance(hint, type) and issubclass(hint, IntEnum | Enum):
        return hint(plain)
    if isinstance(plain, list):
        inner = get_args(hint)
        return tuple(from_plain(item, inner[0] if inner else None) for item in plain)
    return bytes.fromhex(plain) if hint is bytes else plain


class Recorder:
    """Writes a record; `on_batch` is a `BatchObserver` of the session manager."""

    def __init__(self, file: IO[str], settings: Settings, seed: int) -> None:
        self._file = file
        self._write_line({"format": FORMAT, "seed": seed, "settings": to_plain(settings)})

    def on_batch(self, now: float, events: list[Event], actions: list[Action]) -> None:
        """Writes one batch."""
        plain_events = [to_plain(event) for event in events]
        self._write_line(
            {"now": now, "events": plain_events, "actions": [to_plain(action) for action in actions]}
        )

    def _write_line(self, document: dict[str, Any]) -> None:
        self._file.write(json.dumps(document, separators=(",", ":")) + "\n")


def read_record(lines: Iterable[str]) -> tuple[Settings, int, Iterator[tuple[float, list[Event], Any]]]:
    """Returns the settings, the seed and the batches of a record.

    A batch is its time in milliseconds, its events, and its actions as they were written.

    Raises:
        RecordError: The record cannot be read; for a batch it is raised when the batch is reached.
    """
    numbered = enumerate(lines, 1)
    try:
        header = json.loads(next(numbered)[1])
        if header["format"] != FORMAT:
            raise RecordError(f"record has format {header['format']}, but this version reads format {FORMAT}")
        settings, seed = from_plain(header["settings"]), int(header["seed"])
    except (StopIteration, ValueError, KeyError, TypeError) as error:
        raise RecordError(f"line 1: {error}") from None

    def batches() -> Iterator[tuple[float, list[Event], Any]]:
        for number, line in numbered:
            try:
                plain = json.loads(line)
                yield plain["now"], [from_plain(event) for event in plain["events"]], plain["actions"]
            except (ValueError, KeyError, TypeError) as error:
                raise RecordError(f"line {number}: {error}") from None

    return settings, seed, batches()


def replay(lines: Iterable[str]) -> tuple[int, str | None]:
    """Returns how many batches were replayed, and the first difference, or None if there is none."""
    settings, seed, batches = read_record(lines)
    controller = Controller(settings, seed)
    count = 0
    for now, events, actions in batches:
        count += 1
        replayed = [to_plain(action) for action in controller.handle(now, events)]
        if replayed != actions:
            return count, f"batch {count} at {now:.3f}: recorded {actions}, replayed {replayed}"
    return count, None
