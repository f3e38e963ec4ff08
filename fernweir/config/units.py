"""Values with units, as pydantic types. A bare number has no unit and is refused where one is needed."""

from __future__ import annotations

import re
from typing import Annotated, Any

from pydantic import BeforeValidator, Field

_NUMBER = re.compile(r"([+-]?(?:\d+(?:\.\d*)?|\.\d+))\s*([A-Za-z/%]*)")
_TIMES_MS = {"us": 0.001, "ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0}
_RATES_KB = {"kB/s": 1.0, "MB/s": 1000.0, "kbit/s": 0.125, "Mbit/s": 125.0}
_SIZES = {"B": 1, "kB": 1000, "KiB": 1024, "MB": 1_000_000, "MiB": 1_048_576}


def _in(units: dict[str, float] | dict[str, int], what: str) -> Any:
    def parse(value: Any) -> Any:
        if not isinstance(value, str):
            return value
        match = _NUMBER.fullmatch(value.strip())
        if match is None or match[2] not in units:
            raise ValueError(f"not a {what}: write a number and one of {', '.join(units)}")
        return float(match[1]) * units[match[2]]

    return BeforeValidator(parse)


def _share(value: Any) -> Any:
    if not isinstance(value, str):
        return value
    match = _NUMBER.fullmatch(value.strip())
    if match is None or match[2] not in ("", "%"):
        raise ValueError("not a share: write 0.1 or 10%")
    return float(match[1]) / (100.0 if match[2] else 1.0)


def _yes(value: Any) -> Any:
    known = {"yes": True, "true": True, "on": True, "no": False, "false": False, "off": False}
    if isinstance(value, str):
        if value.strip().lower() not in known:
            raise ValueError("write yes or no")
        return known[value.strip().lower()]
    return value


def _address(value: Any) -> Any:
    if not isinstance(value, str):
        return value
    host, _, port = value.strip().rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65_535:
        raise ValueError("not an address: write host:port")
    return (host, int(port))


def _parts(value: Any) -> Any:
    return [part.strip() for part in value.split(",") if part.strip()] if isinstance(value, str) else value


def _int(value: Any) -> Any:
    if isinstance(value, str):
        if not re.fullmatch(r"[+-]?\d{1,18}", value.strip()):
            raise ValueError("not a whole number")
        return int(value)
    return value


def _mode(value: Any) -> Any:
    if isinstance(value, str):
        if not re.fullmatch(r"0?6[0-7][0-7]", value.strip()):
            raise ValueError("not a socket's permissions: write 0600, 0660 or 0666")
        return int(value, 8)
    return value


def _float(value: Any) -> Any:
    if isinstance(value, str):
        match = _NUMBER.fullmatch(value.strip())
        if match is None or match[2]:
            raise ValueError("not a number")
        return float(match[1])
    return value


Millis = Annotated[float, _in(_TIMES_MS, "time"), Field(ge=0, le=86_400_000 * 366)]
PositiveMillis = Annotated[float, _in(_TIMES_MS, "time"), Field(gt=0, le=86_400_000 * 366)]
RateKb = Annotated[float, _in(_RATES_KB, "rate"), Field(gt=0, le=1e9)]
Size = Annotated[float, _in(_SIZES, "size"), Field(gt=0, le=1e12)]
Share = Annotated[float, BeforeValidator(_share), Field(ge=0, le=1)]
Number = Annotated[float, BeforeValidator(_float)]
Count = Annotated[int, BeforeValidator(_int), Field(ge=0)]
Positive = Annotated[int, BeforeValidator(_int), Field(gt=0)]
Mode = Annotated[int, BeforeValidator(_mode), Field(ge=0o600, le=0o666)]
YesNo = Annotated[bool, BeforeValidator(_yes)]
Address = Annotated[tuple[str, int], BeforeValidator(_address)]
Names = Annotated[list[str], BeforeValidator(_parts)]
RatesKb = Annotated[list[RateKb], BeforeValidator(_parts), Field(min_length=1, max_length=64)]
Shares = Annotated[list[Share], BeforeValidator(_parts), Field(min_length=1, max_length=64)]
Counts = Annotated[list[Positive], BeforeValidator(_parts), Field(min_length=1)]
