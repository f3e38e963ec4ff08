"""Which settings a node can use, and what zero means. No I/O.

The parser of the simulator's wire is handed what the simulator made. A node's configuration is a file: what
can't be used in it has to end the start with the setting's name, not some request later with a fault.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from fernweir.interface import SessionClass, Settings

# How large a number may be: as wide as the wire carries it, else whatever a float counts exactly.
_MOST, _WORD, _PLACES, _BYTE = 2.0**53, 2.0**32 - 1.0, 2.0**16, 255.0
_NUMBERS = {
    "Instances": _WORD, "Ordinal": _WORD, "Period": _MOST,
    "Extra.Cells": _PLACES, "Extra.Groups": _PLACES, "Extra.WeightKb": _MOST, "Extra.UplinkKb": _MOST,
    "Extra.SwitchCostS": _MOST, "Extra.SeenAfter": _MOST, "Extra.Tell": _MOST,
    "Limits.AttemptsCap": _MOST, "Limits.MaxRetryAfter": _MOST, "Limits.ConnectTimeout": _MOST,
    "Limits.ConnIdle": _MOST, "Obligations.AnswerSlack": _MOST, "Obligations.DrainGrace": _MOST,
    "Obligations.WarmUp": _MOST, "Obligations.ColdFrom": 1.0, "Obligations.FallMultiple": _MOST,
    "Obligations.Fall": _MOST, "Obligations.BudgetSpan": _MOST, "Obligations.FreeResends": _MOST,
    "Obligations.ExtraShare": _MOST,
}  # fmt: skip
_OF_CLASSES = {"Aim": _MOST, "Deadline": _MOST, "Gain": _MOST}
_LISTS = {
    "Extra.RatesKb": _MOST, "Extra.LevelWorth": _MOST, "Extra.KindSlots": _MOST, "Extra.ClassScale": _MOST,
    "Extra.LowestRung": _BYTE, "Extra.ClassTop": _BYTE, "Extra.Seats": _MOST,
}  # fmt: skip
_FLAGS = ("Limits.MayProbe", "Limits.RetryAfter")
_TEXTS = ("Discovery", "Feedback.Via")
_NAMES = ("MachineTypes", "Feedback.Names")


class SettingError(ValueError):
    """A setting can't be used; the text names it."""


def check_settings(told: dict[str, Any]) -> None:
    """Names the first setting that is of another type, out of range, or at odds with another."""
    for path, most in _NUMBERS.items():
        for value in _found(told, path):
            _number(path, value, most)
    for path, most in _LISTS.items():
        for value in _found(told, path):
            # The simulator's text tells a list of one as its value alone.
            for one in value if isinstance(value, list) else [value]:
                _number(path, one, most)
    for path in _FLAGS:
        for value in _found(told, path):
            if not isinstance(value, bool) and value not in ("true", "false"):
                raise SettingError(f"{path} is neither true nor false: {_short(value)}")
    for path in _TEXTS:
        for value in _found(told, path):
            _text(path, value)
    for path in _NAMES:
        for value in _found(told, path):
            if not isinstance(value, list):
                raise SettingError(f"{path} is no list of names: {_short(value)}")
            for one in value:
                _text(path, one)
    _classes(told.get("Categories"))


def _classes(told: object) -> None:
    if not isinstance(told, list) or not 0 < len(told) <= _BYTE + 1:
        raise SettingError(f"Categories is no list of classes: {_short(told)}")
    names = set()
    for place, one in enumerate(told):
        where = f"Categories.{place}"
        if not isinstance(one, dict):
            raise SettingError(f"{where} is no class: {_short(one)}")
        for key, most in _OF_CLASSES.items():
            for value in _found(one, key):
                _number(f"{where}.{key}", value, most)
        for value in _found(one, "Idempotency"):
            _text(f"{where}.Idempotency", value)
        name = one.get("Name", "")
        _text(f"{where}.Name", name)
        if not name or name in names:
            raise SettingError(f"{where}.Name is no name of its own: {_short(name)}")
        names.add(name)


def check_consistency(settings: Settings) -> None:
    """What was read, taken together."""
    rungs = len(settings.rung_rates_kbyte_s)
    if not 0 < rungs <= _BYTE + 1:
        raise SettingError("Extra.RatesKb is no ladder of rates")
    if len(settings.rung_utilities) < rungs:
        raise SettingError(f"Extra.LevelWorth has {len(settings.rung_utilities)} values for {rungs} rungs")
    for place, one in enumerate(settings.classes):
        if one.deadline_ms <= 0.0:
            raise SettingError(f"Categories.{place}.Deadline leaves no time for an answer")
        if one.lowest_rung > one.top_rung:
            raise SettingError(f"Extra.LowestRung of class {place} is over its highest rung")


def replace_zero_limits(settings: Settings) -> Settings:
    """The settings with what is zero taken as absent, where nothing could be served under it.

    On the wire zero stands for an absent value. A cold server that is warm after no time is not cold; a
    ration over no time, or a cap of no attempts at all, is none; and with no usual bound of a set-up its
    deadline is what bounds it.
    """
    cold, budget = settings.slow_start, settings.retry_budget
    return replace(
        settings,
        classes=tuple(map(_bounded, settings.classes)),
        max_attempts=settings.max_attempts or None,
        slow_start=cold if cold is not None and cold.window_ms > 0.0 else None,
        retry_budget=budget if budget is not None and budget.window_ms > 0.0 else None,
    )


def _bounded(one: SessionClass) -> SessionClass:
    return one if one.latency_objective_ms > 0.0 else replace(one, latency_objective_ms=one.deadline_ms)


def _found(told: dict[str, Any], path: str) -> Iterator[Any]:
    """The value at a path, unless it is absent. What should hold it has to be an object."""
    here: Any = told
    above = ""
    for key in path.split("."):
        if not isinstance(here, dict):
            raise SettingError(f"{above} is no object: {_short(here)}")
        here, above = here.get(key), f"{above}.{key}" if above else key
        if here is None:
            return
    yield here


def _number(where: str, value: object, most: float) -> None:
    try:
        if isinstance(value, bool) or not isinstance(value, int | float | str):
            raise ValueError
        number = float(value)
    except (ValueError, OverflowError):
        number = math.nan
    if not 0.0 <= number <= most:
        raise SettingError(f"{where} is no number from 0 to {most:.0f}: {_short(value)}")


def _text(where: str, value: object) -> None:
    try:
        if isinstance(value, str) and value.encode():
            return
    except UnicodeEncodeError:
        pass
    raise SettingError(f"{where} is no text: {_short(value)}")


def _short(value: object) -> str:
    """Something of a value for one line of the log."""
    try:
        return ascii(value)[:40]
    except (ValueError, RecursionError):  # more digits, or deeper, than can be shown
        return type(value).__name__
