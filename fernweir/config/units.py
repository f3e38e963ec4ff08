"""Values of settings with their units, as pydantic types.

A number without a unit is rejected where a unit is required. Validators return values that are not text, such
as defaults, unchanged; pydantic checks those.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Annotated

from pydantic import BeforeValidator, Field

_NUMBER = re.compile(r"([+-]?(?:\d+(?:\.\d*)?|\.\d+))\s*([A-Za-z/%]*)")
_WHOLE_NUMBER = re.compile(r"[+-]?\d{1,18}")
_SOCKET_MODE = re.compile(r"0?6[0-7][0-7]")
_MS_PER_UNIT = {"us": 0.001, "ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0}
_KBYTE_S_PER_UNIT = {"kB/s": 1.0, "MB/s": 1000.0, "kbit/s": 0.125, "Mbit/s": 125.0}
_BYTES_PER_UNIT = {"B": 1.0, "kB": 1000.0, "KiB": 1024.0, "MB": 1_000_000.0, "MiB": 1_048_576.0}
_BOOLEANS = {"yes": True, "true": True, "on": True, "no": False, "false": False, "off": False}
_MAX_PORT = 65_535
_MAX_MS = 86_400_000 * 366  # a year


def _quantity_parser(factors: Mapping[str, float], quantity: str) -> BeforeValidator:
    """Returns a validator that multiplies a number by the factor of its unit."""

    def parse(value: object) -> object:
        if not isinstance(value, str):
            return value
        match = _NUMBER.fullmatch(value.strip())
        if match is None or match[2] not in factors:
            raise ValueError(f"not a {quantity}: write a number and one of {', '.join(factors)}")
        return float(match[1]) * factors[match[2]]

    return BeforeValidator(parse)


def _parse_ratio(value: object) -> object:
    if not isinstance(value, str):
        return value
    match = _NUMBER.fullmatch(value.strip())
    if match is None or match[2] not in ("", "%"):
        raise ValueError("not a ratio: write 0.1 or 10%")
    return float(match[1]) / (100.0 if match[2] else 1.0)


def _parse_boolean(value: object) -> object:
    if not isinstance(value, str):
        return value
    word = value.strip().lower()
    if word not in _BOOLEANS:
        raise ValueError("write yes or no")
    return _BOOLEANS[word]


def _parse_address(value: object) -> object:
    if not isinstance(value, str):
        return value
    host, _, port = value.strip().rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not host or not port.isascii() or not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError("not an address: write host:port")
    return (host, int(port))


def split_list(value: object) -> object:
    """Returns the parts of a comma-separated text without the empty ones."""
    if not isinstance(value, str):
        return value
    return [part.strip() for part in value.split(",") if part.strip()]


def _parse_whole_number(value: object) -> object:
    if not isinstance(value, str):
        return value
    if not _WHOLE_NUMBER.fullmatch(value.strip()):
        raise ValueError("not a whole number")
    return int(value)


def _parse_socket_mode(value: object) -> object:
    if not isinstance(value, str):
        return value
    if not _SOCKET_MODE.fullmatch(value.strip()):
        raise ValueError("not a socket's permissions: write 0600, 0660 or 0666")
    return int(value, 8)


def _parse_number(value: object) -> object:
    if not isinstance(value, str):
        return value
    match = _NUMBER.fullmatch(value.strip())
    if match is None or match[2]:
        raise ValueError("not a number")
    return float(match[1])


Millis = Annotated[float, _quantity_parser(_MS_PER_UNIT, "time"), Field(ge=0, le=_MAX_MS)]
PositiveMillis = Annotated[float, _quantity_parser(_MS_PER_UNIT, "time"), Field(gt=0, le=_MAX_MS)]
RateKb = Annotated[float, _quantity_parser(_KBYTE_S_PER_UNIT, "rate"), Field(gt=0, le=1e9)]
Size = Annotated[float, _quantity_parser(_BYTES_PER_UNIT, "size"), Field(gt=0, le=1e12)]
Ratio = Annotated[float, BeforeValidator(_parse_ratio), Field(ge=0, le=1)]
Number = Annotated[float, BeforeValidator(_parse_number)]
Count = Annotated[int, BeforeValidator(_parse_whole_number), Field(ge=0)]
Positive = Annotated[int, BeforeValidator(_parse_whole_number), Field(gt=0)]
Mode = Annotated[int, BeforeValidator(_parse_socket_mode), Field(ge=0o600, le=0o666)]
YesNo = Annotated[bool, BeforeValidator(_parse_boolean)]
Address = Annotated[tuple[str, int], BeforeValidator(_parse_address)]
Names = Annotated[list[str], BeforeValidator(split_list)]
RatesKb = Annotated[list[RateKb], BeforeValidator(split_list), Field(min_length=1, max_length=64)]
Ratios = Annotated[list[Ratio], BeforeValidator(split_list), Field(min_length=1, max_length=64)]
Counts = Annotated[list[Positive], BeforeValidator(split_list), Field(min_length=1)]
