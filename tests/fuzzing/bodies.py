"""Bodies between peers against a slow reader of msgpack and of the kinds as they are written down.

A body is an array of messages, each an array that begins with its tag. A kind that isn't known and fields
further back are passed over whatever they are; what is known must fit in every field, or nothing counts.
"""

from __future__ import annotations

import struct
from contextlib import suppress
from random import Random
from typing import Any

from fernweir.peers.peer import KINDS
from fernweir.peers.wire.codec import Codec, MalformedError
from tests.fuzzing import Finding, Target, mutate, same
from tests.fuzzing.shapes import NoFitError, Text, fits, info, message

ALL = [kind for part in KINDS for kind in part]
TAGS = {str(info(kind).tag).encode(): kind for kind in ALL}
DEEP = 200


class _No(Exception):
    pass


class _TooDeep(Exception):
    pass


class Other:
    """A map or extension: nothing that a message has in a field."""


class _Pack:
    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, count: int) -> bytes:
        part = self.data[self.at : self.at + count]
        if len(part) < count:
            raise _No
        self.at += count
        return part

    def number(self, size: int) -> int:
        return int.from_bytes(self.take(size), "big")

    def signed(self, size: int) -> int:
        return int.from_bytes(self.take(size), "big", signed=True)

    def value(self, depth: int = 0) -> Any:
        """Spec of msgpack, by the first byte."""
        if depth > DEEP:
            raise _TooDeep
        first = self.number(1)
        if first <= 0x7F:
            return first
        if first >= 0xE0:
            return first - 256
        if first <= 0x8F:
            return self.map(first & 15, depth)
        if first <= 0x9F:
            return self.array(first & 15, depth)
        if first <= 0xBF:
            return Text(self.take(first & 31))
        if first == 0xC1:
            raise _No
        if first <= 0xC3:
            return {0xC0: None, 0xC2: False, 0xC3: True}[first]
        if first <= 0xC6:
            return self.take(self.number(1 << (first - 0xC4)))
        if first <= 0xC9:
            size = self.number(1 << (first - 0xC7))
            self.take(1 + size)
            return Other()
        if first <= 0xCB:
            return struct.unpack(">f" if first == 0xCA else ">d", self.take(4 if first == 0xCA else 8))[0]
        if first <= 0xCF:
            return self.number(1 << (first - 0xCC))
        if first <= 0xD3:
            return self.signed(1 << (first - 0xD0))
        if first <= 0xD8:
            self.take(1 + (1 << (first - 0xD4)))
            return Other()
        if first <= 0xDB:
            return Text(self.take(self.number(1 << (first - 0xD9))))
        size = self.number(2 << (first & 1))
        return self.array(size, depth) if first <= 0xDD else self.map(size, depth)

    def array(self, count: int, depth: int) -> list[Any]:
        found = []
        for _ in range(count):
            found.append(self.value(depth + 1))
        return found

    def map(self, count: int, depth: int) -> Other:
        for _ in range(2 * count):
            self.value(depth + 1)
        return Other()


def slow_read(body: bytes) -> list[Any] | None:
    """The messages of known kinds; None if the body is malformed."""
    pack = _Pack(body)
    try:
        whole = pack.value()
    except _No:
        return None
    if pack.at != len(body) or type(whole) is not list:
        return None
    found = []
    for one in whole:
        if type(one) is not list or not one or not isinstance(one[0], Text):
            return None
        kind = TAGS.get(bytes(one[0]))
        try:
            if kind is not None:
                found.append(fits(info(kind), one))
            else:
                bytes(one[0]).decode()
        except (NoFitError, UnicodeDecodeError):
            return None
    return found


def check(data: bytes) -> None:
    codec = Codec((ALL,))
    try:
        slow = slow_read(data)
    except _TooDeep:
        with suppress(MalformedError):
            codec.decode(data)
        return
    try:
        ours: list[Any] | None = codec.decode(data)
    except MalformedError:
        ours = None
    same(repr(ours), repr(slow), data)
    if ours:
        again = codec.decode(codec.encode(ours))
        if repr(again) != repr(ours):
            raise Finding(f"\n read  {ours!r}\n again {again!r}")


_WORDS = [
    b"\xc0", b"\xc1", b"\xc2", b"\xc3", b"\x00", b"\x7f", b"\xff", b"\x90", b"\x91", b"\x80",
    b"\x81\x01\x02", b"\xa0", b"\xa1a", b"\xa1\xff", b"\xa3lol", b"\xc4\x00", b"\xc4\x01a", b"\xd4\x01a",
    b"\xc7\x00\x01", b"\xca\0\0\0\0", b"\xcb\x3f\xf0\0\0\0\0\0\0", b"\xcb\x7f\xf8\0\0\0\0\0\0", b"\xcc\xff",
    b"\xcd\xff\xff", b"\xcf" + b"\xff" * 8, b"\xd3\x80" + bytes(7), b"\xd9\x01a", b"\xdc\x00\x01",
    b"\xdd\0\0\0\1", b"\xdd\xff\xff\xff\xff", b"\xd6\xff\0\0\0\0",
]  # fmt: skip


def draw(dice: Random) -> bytes:
    count = dice.choice((1, 1, 1, 2, 3, 16))
    one = Codec((ALL,)).encode_one
    body = b"".join(one(message(dice, dice.choice(ALL))) for _ in range(count))
    return mutate(dice, b"\xdc" + count.to_bytes(2, "big") + body, _WORDS, dice.choice((0, 1, 1, 3)))


TARGET = Target(check, draw)
