"""Records what a module was told and what it decided, and plays a record to a fresh module.

One JSON document a line: first the settings and the seed, then a batch a line. The same events must give
the same actions; the first batch that doesn't is named.
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
    """The record can't be read; the text names the line."""


def to_plain(value: Any) -> Any:
    """A value of the interface as JSON has it; a dataclass names its type, see `stored_types`."""
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
    """The value that `to_plain` wrote, checked against the interface's types."""
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
    """Writes a record; `watch` fits `BatchObserver` of the session manager."""

    def __init__(self, file: IO[str], settings: Settings, seed: int) -> None:
        self._file = file
        self._line({"format": FORMAT, "seed": seed, "settings": to_plain(settings)})

    def watch(self, now: float, events: list[Event], actions: list[Action]) -> None:
        said = [to_plain(event) for event in events]
        self._line({"now": now, "events": said, "actions": [to_plain(action) for action in actions]})

    def _line(self, document: dict[str, Any]) -> None:
        self._file.write(json.dumps(document, separators=(",", ":")) + "\n")


def read_record(lines: Iterable[str]) -> tuple[Settings, int, Iterator[tuple[float, list[Event], Any]]]:
    """Settings, seed, and the batches: clock, events, actions as written."""
    numbered = enumerate(lines, 1)
    try:
        head = json.loads(next(numbered)[1])
        if head["format"] != FORMAT:
            raise RecordError(f"format {head['format']} is not {FORMAT}")
        settings, seed = from_plain(head["settings"]), int(head["seed"])
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
    """Batches played, and what differed first, or None."""
    settings, seed, batches = read_record(lines)
    controller = Controller(settings, seed)
    count = 0
    for now, events, actions in batches:
        count += 1
        got = [to_plain(action) for action in controller.handle(now, events)]
        if got != actions:
            return count, f"batch {count} at {now:.3f}: recorded {actions}, now {got}"
    return count, None
