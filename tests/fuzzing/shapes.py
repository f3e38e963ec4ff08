"""Types of messages as they are written down, read by hand: what fits them, and values drawn for them."""

from __future__ import annotations

import math
import re
from collections.abc import Sequence
from random import Random
from typing import Any

import msgspec
from msgspec.inspect import (
    BoolType,
    BytesType,
    EnumType,
    FloatType,
    IntType,
    ListType,
    NoneType,
    StrType,
    StructType,
    TupleType,
    UnionType,
    VarTupleType,
    type_info,
)

from fernweir.peers.base import Message

NAMES = ("a", "b", "c", "d", "e", "", "front-7", "ü")
WORDS = (
    *NAMES,
    "load",
    "acts.head",
    "ask",
    "look",
    "end",
    "plays",
    "none",
    "hls",
    "film",
    "x" * 64,
    "s1",
    "s2",
)
DEEP = 6


class NoFitError(Exception):
    """A value is none of that type."""


class Text(bytes):
    """A string of msgpack as it came: whether it is one is asked only of what is read."""


def fits(kind: Any, value: Any) -> Any:
    """The value that a reader of that type makes of plain msgpack; NoFitError if it is none."""
    if isinstance(kind, UnionType):
        for one in kind.types:
            try:
                return fits(one, value)
            except NoFitError:
                continue
        raise NoFitError
    if isinstance(kind, NoneType):
        good = value is None
    elif isinstance(kind, BoolType):
        good = type(value) is bool
    elif isinstance(kind, IntType):
        good = type(value) is int and _within(kind, value)
    elif isinstance(kind, FloatType):
        value = float(value) if type(value) is int else value
        good = type(value) is float and _within(kind, value)
    elif isinstance(kind, StrType | EnumType):
        return _text(kind, value)
    elif isinstance(kind, BytesType):
        good = type(value) is bytes and _long(kind, value)
    elif isinstance(kind, ListType | VarTupleType):
        if type(value) is not list or not _long(kind, value):
            raise NoFitError
        made = [fits(kind.item_type, one) for one in value]
        return made if isinstance(kind, ListType) else tuple(made)
    elif isinstance(kind, TupleType):
        if type(value) is not list or len(value) != len(kind.item_types):
            raise NoFitError
        return tuple(fits(one, part) for one, part in zip(kind.item_types, value, strict=True))
    elif isinstance(kind, StructType):
        return _struct(kind, value)
    else:
        raise TypeError(f"no reader for {kind}")
    if not good:
        raise NoFitError
    return value


def _within(kind: Any, value: float) -> bool:
    if kind.ge is not None and not value >= kind.ge:
        return False
    if kind.gt is not None and not value > kind.gt:
        return False
    if kind.le is not None and not value <= kind.le:
        return False
    return kind.lt is None or value < kind.lt


def _long(kind: Any, value: Any) -> bool:
    return (kind.min_length or 0) <= len(value) and (kind.max_length is None or len(value) <= kind.max_length)


def _text(kind: Any, value: Any) -> Any:
    if isinstance(kind, EnumType) and type(value) is int:
        if value in [one.value for one in kind.cls]:
            return kind.cls(value)
        raise NoFitError
    if not isinstance(value, Text):
        raise NoFitError
    try:
        text = bytes(value).decode()
    except UnicodeDecodeError:
        raise NoFitError from None
    if isinstance(kind, EnumType):
        if text in [one.value for one in kind.cls]:
            return kind.cls(text)
        raise NoFitError
    if not _long(kind, text) or (kind.pattern is not None and re.search(kind.pattern, text) is None):
        raise NoFitError
    return text


def _struct(kind: StructType, value: Any) -> Any:
    if type(value) is not list:
        raise NoFitError
    if kind.tag is not None:
        if not value or not isinstance(value[0], Text) or bytes(value[0]) != str(kind.tag).encode():
            raise NoFitError
        value = value[1:]
    needed = sum(one.required for one in kind.fields)
    if len(value) < needed:
        raise NoFitError
    made = [fits(one.type, part) for one, part in zip(kind.fields, value, strict=False)]
    try:
        return kind.cls(*made)
    except ValueError:
        raise NoFitError from None


def _count(dice: Random, kind: Any, most: int) -> int:
    low = kind.min_length or 0
    high = min(kind.max_length if kind.max_length is not None else most, most)
    return dice.randrange(low, max(low, high) + 1)


def drawn_of(kind: Any, dice: Random, names: Sequence[str] = WORDS, depth: int = 0) -> Any:
    """A value of that type: small ones, those at the bounds, and words that mean something to somebody."""
    if isinstance(kind, UnionType):
        return drawn_of(dice.choice(kind.types), dice, names, depth)
    if isinstance(kind, NoneType):
        return None
    if isinstance(kind, BoolType):
        return dice.random() < 0.5
    if isinstance(kind, IntType):
        low = kind.ge if kind.ge is not None else kind.gt + 1 if kind.gt is not None else -(2**63)
        high = kind.le if kind.le is not None else kind.lt - 1 if kind.lt is not None else 2**64 - 1
        value = dice.choice((0, 0, 1, 1, 2, 3, 5, 8, 17, -1, low, high, high - 1, dice.randrange(1 << 20)))
        return int(min(max(value, low), high))
    if isinstance(kind, FloatType):
        value = dice.choice((0.0, 1.0, -1.0, 100.0, 1_000.0, 5_000.5, 1e9, -1e300, 1e308, math.nan, math.inf))
        if kind.ge is not None or kind.le is not None:
            low = kind.ge if kind.ge is not None else -1e308
            value = min(
                max(0.0 if math.isnan(value) else value, low), kind.le if kind.le is not None else 1e308
            )
        return value
    if isinstance(kind, EnumType):
        return dice.choice(list(kind.cls))
    if isinstance(kind, StrType):
        return _word(kind, dice, names)
    if isinstance(kind, BytesType):
        return dice.choice((bytes, dice.randbytes))(_count(dice, kind, dice.choice((4, 40))))
    if isinstance(kind, ListType | VarTupleType):
        count = kind.min_length or 0 if depth > DEEP else _count(dice, kind, dice.choice((1, 2, 4)))
        made = [drawn_of(kind.item_type, dice, names, depth + 1) for _ in range(count)]
        return made if isinstance(kind, ListType) else tuple(made)
    if isinstance(kind, TupleType):
        return tuple(drawn_of(one, dice, names, depth + 1) for one in kind.item_types)
    assert isinstance(kind, StructType)
    fields = list(kind.fields)
    while fields and not fields[-1].required and dice.random() < 0.2:
        fields.pop()
    while True:
        try:
            return kind.cls(*(drawn_of(one.type, dice, names, depth + 1) for one in fields))
        except ValueError:
            continue


def _word(kind: StrType, dice: Random, names: Sequence[str]) -> str:
    for _ in range(20):
        word = dice.choice(names)
        if _long(kind, word) and (kind.pattern is None or re.search(kind.pattern, word)):
            return word
    for word in ("ask", "plays", "x" * (kind.min_length or 1)):
        if kind.pattern is None or re.search(kind.pattern, word):
            return word
    raise TypeError(f"no word for {kind}")


_INFO: dict[type[Message], StructType] = {}


def info(kind: type[Message]) -> StructType:
    if kind not in _INFO:
        found = type_info(kind)
        assert isinstance(found, StructType)
        _INFO[kind] = found
    return _INFO[kind]


def message(dice: Random, kind: type[Message], names: Sequence[str] = WORDS) -> Message:
    made = drawn_of(info(kind), dice, names)
    assert isinstance(made, msgspec.Struct)
    return made  # type: ignore[return-value]
