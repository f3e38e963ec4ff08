"""Validates the settings of a node, and replaces zero limits by absent ones. No I/O.

The parser of the simulator's wire protocol trusts what the simulator wrote. A node's configuration is a file:
an invalid value has to stop the startup with an error that names the setting, and must not fail a request
later.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from fernweir.interface import SessionClass, Settings

# The largest values: the width of the field on the wire, otherwise the largest integers that a float holds
# exactly.
_MAX_EXACT_FLOAT = 2.0**53
_MAX_UINT32 = 2.0**32 - 1.0
_MAX_ZONES = 2.0**16
_MAX_BYTE = 255.0
_MAX_CLASSES = 256
_MAX_RUNGS = 256
_MAX_QUOTED = 40  # characters of a value that an error shows

_NUMBER_LIMITS = {
    "Instances": _MAX_UINT32,
    "Ordinal": _MAX_UINT32,
    "Period": _MAX_EXACT_FLOAT,
    "Extra.Cells": _MAX_ZONES,
    "Extra.Groups": _MAX_ZONES,
    "Extra.WeightKb": _MAX_EXACT_FLOAT,
    "Extra.UplinkKb": _MAX_EXACT_FLOAT,
    "Extra.SwitchCostS": _MAX_EXACT_FLOAT,
    "Extra.SeenAfter": _MAX_EXACT_FLOAT,
    "Extra.Tell": _MAX_EXACT_FLOAT,
    "Limits.AttemptsCap": _MAX_EXACT_FLOAT,
    "Limits.MaxRetryAfter": _MAX_EXACT_FLOAT,
    "Limits.ConnectTimeout": _MAX_EXACT_FLOAT,
    "Limits.ConnIdle": _MAX_EXACT_FLOAT,
    "Obligations.AnswerSlack": _MAX_EXACT_FLOAT,
    "Obligations.DrainGrace": _MAX_EXACT_FLOAT,
    "Obligations.WarmUp": _MAX_EXACT_FLOAT,
    "Obligations.ColdFrom": 1.0,
    "Obligations.FallMultiple": _MAX_EXACT_FLOAT,
    "Obligations.Fall": _MAX_EXACT_FLOAT,
    "Obligations.BudgetSpan": _MAX_EXACT_FLOAT,
    "Obligations.FreeResends": _MAX_EXACT_FLOAT,
    "Obligations.ExtraShare": _MAX_EXACT_FLOAT,
}
_CLASS_NUMBER_LIMITS = {
    "Aim": _MAX_EXACT_FLOAT,
    "Deadline": _MAX_EXACT_FLOAT,
    "Gain": _MAX_EXACT_FLOAT,
}
_LIST_LIMITS = {
    "Extra.RatesKb": _MAX_EXACT_FLOAT,
    "Extra.LevelWorth": _MAX_EXACT_FLOAT,
    "Extra.KindSlots": _MAX_EXACT_FLOAT,
    "Extra.ClassScale": _MAX_EXACT_FLOAT,
    "Extra.LowestRung": _MAX_BYTE,
    "Extra.ClassTop": _MAX_BYTE,
    "Extra.Seats": _MAX_EXACT_FLOAT,
}
_FLAGS = ("Limits.MayProbe", "Limits.RetryAfter")
_TEXTS = ("Discovery", "Feedback.Via")
_NAME_LISTS = ("MachineTypes", "Feedback.Names")


class SettingError(ValueError):
    """Raised when a setting cannot be used. The message names the setting."""


def check_settings(raw_settings: dict[str, Any]) -> None:
    """Checks each setting by itself, in the form in which the file has it.

    Raises:
        SettingError: A setting has the wrong type or is out of range. The message names the first one.
    """
    _check_numbers(raw_settings)
    _check_number_lists(raw_settings)
    _check_flags(raw_settings)
    for path in _TEXTS:
        for value in _present_values(raw_settings, path):
            _check_text(path, value)
    _check_name_lists(raw_settings)
    _check_classes(raw_settings.get("Categories"))


def check_consistency(settings: Settings) -> None:
    """Checks that the parsed settings are consistent with each other.

    Raises:
        SettingError: No session could be served with these settings.
    """
    rung_count = len(settings.rung_rates_kbyte_s)
    utility_count = len(settings.rung_utilities)
    if not 0 < rung_count <= _MAX_RUNGS:
        raise SettingError(f"Extra.RatesKb has {rung_count} rates instead of 1 to {_MAX_RUNGS}")
    if utility_count < rung_count:
        raise SettingError(f"Extra.LevelWorth has {utility_count} values for {rung_count} rungs")
    for index, session_class in enumerate(settings.classes):
        if session_class.deadline_ms <= 0.0:
            raise SettingError(f"Categories.{index}.Deadline is not positive")
        if session_class.lowest_rung > session_class.top_rung:
            raise SettingError(f"Extra.LowestRung of class {index} is higher than its top rung")


def replace_zero_limits(settings: Settings) -> Settings:
    """Returns the settings with zero limits replaced by absent ones, as nothing could be served otherwise.

    On the wire, zero represents an absent value. A slow start or retry budget with an empty window is
    disabled, and a limit of zero attempts is no limit. A class without a latency objective gets its deadline
    as the objective.
    """
    slow_start, retry_budget = settings.slow_start, settings.retry_budget
    has_slow_start = slow_start is not None and slow_start.window_ms > 0.0
    has_retry_budget = retry_budget is not None and retry_budget.window_ms > 0.0
    return replace(
        settings,
        classes=tuple(map(_with_objective, settings.classes)),
        max_attempts=settings.max_attempts or None,
        slow_start=slow_start if has_slow_start else None,
        retry_budget=retry_budget if has_retry_budget else None,
    )


def _with_objective(session_class: SessionClass) -> SessionClass:
    if session_class.latency_objective_ms > 0.0:
        return session_class
    return replace(session_class, latency_objective_ms=session_class.deadline_ms)


def _check_numbers(raw_settings: dict[str, Any]) -> None:
    for path, limit in _NUMBER_LIMITS.items():
        for value in _present_values(raw_settings, path):
            _check_number(path, value, limit)


def _check_number_lists(raw_settings: dict[str, Any]) -> None:
    for path, limit in _LIST_LIMITS.items():
        for value in _present_values(raw_settings, path):
            # In the simulator's text a list of one item is a single value.
            for item in value if isinstance(value, list) else [value]:
                _check_number(path, item, limit)


def _check_flags(raw_settings: dict[str, Any]) -> None:
    for path in _FLAGS:
        for value in _present_values(raw_settings, path):
            if not isinstance(value, bool) and value not in ("true", "false"):
                raise SettingError(f"{path} is neither true nor false: {_quoted(value)}")


def _check_name_lists(raw_settings: dict[str, Any]) -> None:
    for path in _NAME_LISTS:
        for value in _present_values(raw_settings, path):
            if not isinstance(value, list):
                raise SettingError(f"{path} is not a list of names: {_quoted(value)}")
            for name in value:
                _check_text(path, name)


def _check_classes(raw_classes: object) -> None:
    if not isinstance(raw_classes, list) or not 0 < len(raw_classes) <= _MAX_CLASSES:
        raise SettingError(f"Categories is not a list of 1 to {_MAX_CLASSES} classes: {_quoted(raw_classes)}")
    names: set[str] = set()
    for index, raw_class in enumerate(raw_classes):
        path = f"Categories.{index}"
        name = _check_class(path, raw_class)
        if not name or name in names:
            raise SettingError(f"{path}.Name is not a unique name: {_quoted(name)}")
        names.add(name)


def _check_class(path: str, raw_class: object) -> str:
    """Checks one class and returns its name."""
    if not isinstance(raw_class, dict):
        raise SettingError(f"{path} is not an object: {_quoted(raw_class)}")
    for key, limit in _CLASS_NUMBER_LIMITS.items():
        for value in _present_values(raw_class, key):
            _check_number(f"{path}.{key}", value, limit)
    for value in _present_values(raw_class, "Idempotency"):
        _check_text(f"{path}.Idempotency", value)
    return _check_text(f"{path}.Name", raw_class.get("Name", ""))


def _present_values(raw_settings: dict[str, Any], path: str) -> Iterator[Any]:
    """Yields the value at a path, unless it is absent or null.

    Raises:
        SettingError: A part of the path refers to a value that is not an object.
    """
    value: Any = raw_settings
    parent_path = ""
    for key in path.split("."):
        if not isinstance(value, dict):
            raise SettingError(f"{parent_path} is not an object: {_quoted(value)}")
        value = value.get(key)
        parent_path = f"{parent_path}.{key}" if parent_path else key
        if value is None:
            return
    yield value


def _check_number(path: str, value: object, limit: float) -> None:
    number = _number_or_nan(value)
    if not 0.0 <= number <= limit:
        raise SettingError(f"{path} is not a number from 0 to {limit:.0f}: {_quoted(value)}")


def _number_or_nan(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        return math.nan
    try:
        return float(value)
    except (ValueError, OverflowError):
        return math.nan


def _check_text(path: str, value: object) -> str:
    """Returns the value, which has to be a non-empty string that can be encoded as UTF-8."""
    if isinstance(value, str) and value and _is_encodable(value):
        return value
    raise SettingError(f"{path} is not a non-empty string: {_quoted(value)}")


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _quoted(value: object) -> str:
    """Returns the beginning of a value, which fits in one line of the log."""
    try:
        return ascii(value)[:_MAX_QUOTED]
    except (ValueError, RecursionError):  # too many digits, or nested too deeply
        return type(value).__name__
