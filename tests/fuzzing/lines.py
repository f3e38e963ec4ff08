"""The node's JSON lines against a reader of JSON (RFC 8259) a character at a time, a cutter a byte at a time.

What the page leaves open and both take: `cause` and `sdp` of null are as none. How deep values that nobody
reads may be nested is not said: deeper than 100 is not compared.
"""

from __future__ import annotations

import json
import math
from random import Random
from typing import Any

from fernweir.node.jsonl import LineError, LineReader, Message, decode_message, encode_message
from tests.fuzzing import Target, mutate, pieces, same

MOST = 16 * 1024
TYPES = ("setup", "progress", "answer", "release", "released", "ping", "pong", "move")
DEEP = 100


class _No(Exception):
    """No JSON, or none that is taken."""


class _TooDeep(Exception):
    pass


class _Json:
    def __init__(self, text: str) -> None:
        self.text, self.at = text, 0

    def peek(self) -> str:
        return self.text[self.at : self.at + 1]

    def space(self) -> None:
        while self.peek() and self.peek() in " \t\n\r":
            self.at += 1

    def want(self, word: str) -> None:
        if self.text[self.at : self.at + len(word)] != word:
            raise _No
        self.at += len(word)

    def value(self, depth: int = 0) -> Any:
        if depth > DEEP:
            raise _TooDeep
        self.space()
        first = self.peek()
        if first == "{":
            return self.object(depth)
        if first == "[":
            return self.array(depth)
        if first == '"':
            return self.string()
        for word, meaning in (("true", True), ("false", False), ("null", None)):
            if first == word[0]:
                self.want(word)
                return meaning
        return self.number()

    def object(self, depth: int) -> dict[str, Any]:
        found: dict[str, Any] = {}
        self.want("{")
        self.space()
        while self.peek() != "}":
            if found:
                self.want(",")
                self.space()
            key = self.string()
            self.space()
            self.want(":")
            if key in found:
                raise _No
            found[key] = self.value(depth + 1)
            self.space()
        self.at += 1
        return found

    def array(self, depth: int) -> list[Any]:
        found: list[Any] = []
        self.want("[")
        self.space()
        while self.peek() != "]":
            if found:
                self.want(",")
            found.append(self.value(depth + 1))
            self.space()
        self.at += 1
        return found

    def string(self) -> str:
        self.want('"')
        units: list[int] = []  # of UTF-16, as escapes speak it
        while self.peek() != '"':
            char = self.peek()
            if not char or ord(char) < 0x20:
                raise _No
            self.at += 1
            if char != "\\":
                data = char.encode("utf-16-be", "surrogatepass")
                units += [data[at] << 8 | data[at + 1] for at in range(0, len(data), 2)]
                continue
            kind = self.peek()
            self.at += 1
            if kind == "u":
                digits = self.text[self.at : self.at + 4]
                if len(digits) != 4 or any(one not in "0123456789abcdefABCDEF" for one in digits):
                    raise _No
                units.append(int(digits, 16))
                self.at += 4
            elif kind and kind in '"\\/bfnrt':
                units.append(ord(dict(zip('"\\/bfnrt', '"\\/\b\f\n\r\t', strict=True))[kind]))
            else:
                raise _No
        self.at += 1
        raw = b"".join(unit.to_bytes(2, "big") for unit in units)
        return raw.decode("utf-16-be", "surrogatepass")

    def number(self) -> int | float:
        start = self.at
        if self.peek() == "-":
            self.at += 1
        if self.peek() == "0":
            self.at += 1
        else:
            self.digits()
        whole = True
        if self.peek() == ".":
            self.at, whole = self.at + 1, False
            self.digits()
        if self.peek() and self.peek() in "eE":
            self.at, whole = self.at + 1, False
            if self.peek() and self.peek() in "+-":
                self.at += 1
            self.digits()
        text = self.text[start : self.at]
        if whole and len(text) > 20:
            raise _No
        return int(text) if whole else float(text)

    def digits(self) -> None:
        start = self.at
        while self.peek() and self.peek() in "0123456789":
            self.at += 1
        if self.at == start:
            raise _No


def slow_read(line: bytes) -> Message | None:
    try:
        json_ = _Json(line.decode())
        body = json_.value()
        json_.space()
    except (_No, UnicodeDecodeError):
        return None
    if json_.at != len(json_.text) or not isinstance(body, dict):
        return None
    id, kind, fields = body.get("id"), body.get("type"), body.get("fields", {})
    cause, sdp = body.get("cause"), body.get("sdp")
    if not isinstance(id, str) or len(id) != 16 or any(one not in "0123456789abcdef" for one in id):
        return None
    if kind not in TYPES or not isinstance(fields, dict) or len(fields) > 32:
        return None
    if any("\ud800" <= one <= "\udfff" for name in fields for one in name):
        return None
    for value in fields.values():
        if type(value) not in (str, int, float) or (type(value) is float and not math.isfinite(value)):
            return None
        if type(value) is str and any("\ud800" <= one <= "\udfff" for one in value):
            return None
    if cause is not None and (type(cause) is not int or cause not in range(256)):
        return None
    if sdp is not None and (type(sdp) is not str or any("\ud800" <= one <= "\udfff" for one in sdp)):
        return None
    return Message(kind, id, fields, cause, sdp)


def slow_cut(data: bytes) -> tuple[list[bytes], bool]:
    """Whole lines, and whether one was too long."""
    found, line = [], b""
    for at in range(len(data)):
        one = data[at : at + 1]
        if len(line) + 1 > MOST:
            return found, True
        if one == b"\n":
            found.append(line)
            line = b""
        else:
            line += one
    return found, False


def check(data: bytes) -> None:
    lines, found, bad = LineReader(), list[bytes](), False
    for piece in pieces(data):
        try:
            found += lines.feed(piece)
        except LineError:
            found += lines.complete_lines
            bad = True
            break
    same((found, bad), slow_cut(data[1:]), (data[:1], len(data)))
    for line in found:
        try:
            slow = slow_read(line)
        except _TooDeep:
            continue
        try:
            ours: Message | None = decode_message(line)
        except LineError:
            ours = None
        same(repr(ours), repr(slow), line)
        if ours is not None:
            same(repr(decode_message(encode_message(ours).rstrip(b"\n"))), repr(ours), line)


_WORDS = [
    b'"', b"\\u", b"\\ud800", b"\\udc00", b"\\ud83d\\ude00", b"\\", b"\n", b"{", b"}", b"[", b"]", b",",
    b":", b"null", b"true", b"NaN", b"-Infinity", b"1e999", b"1e5", b"-0", b"0.5", b"00", b"1" * 20,
    b"1" * 21, b"\xff", b"\xc3\xa9", b"\xef\xbb\xbf", b" ", b"\r", b"\t", b"\0", b'"cause":255',
    b'"cause":256', b'"sdp":""', b'"cause":null,', b'"id":"0123456789abcdef",', b'"fields":{},', b"255",
    b"1.0",
]  # fmt: skip


def _line(dice: Random) -> bytes:
    body: dict[str, Any] = {"type": dice.choice(TYPES), "id": f"{dice.randrange(1 << 64):016x}"}
    if dice.random() < 0.8:
        names = ["class", "left", "key", "extras", "é", "𝄞"]
        values = ["paid", "", 7, -1, 0.5, 1e300, "home:4;copies:3"]
        body["fields"] = {dice.choice(names): dice.choice(values) for _ in range(dice.randrange(5))}
    if dice.random() < 0.3:
        body["cause"] = dice.choice([0, 16, 255, 256, -1, True])
    if dice.random() < 0.3:
        body["sdp"] = "9d41\r\nc=IN\r\n"
    return mutate(dice, json.dumps(body, ensure_ascii=dice.random() < 0.5).encode(), _WORDS, 3) + b"\n"


def draw(dice: Random) -> bytes:
    data = b"".join(_line(dice) for _ in range(dice.randrange(1, 5)))
    if dice.random() < 0.05:
        size = dice.choice([MOST - 1, MOST, MOST + 1])
        data += b"x" * (size - 1) + b"\n" + _line(dice)
        return bytes([dice.choice([0, 2, 40])]) + data
    return bytes([dice.randrange(256)]) + data


TARGET = Target(check, draw)
