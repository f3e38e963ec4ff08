"""The node's binary messages against a reader that takes one byte after another."""

from __future__ import annotations

import math
from random import Random

from fernweir.node.frames import Frame, FrameError, FrameReader, ParameterCode, encode_frame
from tests.fuzzing import Target, mutate, pieces, same

TYPES = (1, 6, 9, 12, 16, 44, 51, 52, 53, 60)
MOST = 16 * 1024
Slow = tuple[int, str, dict[int, bytes]]


def slow_read(data: bytes) -> tuple[list[Slow], bool]:
    """Messages by type, session and parameters; and whether the stream is spoilt."""
    found: list[Slow] = []
    left = list(data)
    while len(left) >= 2:
        length = left[0] * 256 + left[1]
        if length < 9 or length + 2 > MOST:
            return found, True
        if len(left) >= 3 and left[2] not in TYPES:
            return found, True
        if len(left) < length + 2:
            break
        message, left = left[2 : 2 + length], left[2 + length :]
        session = "".join(f"{one:02x}" for one in message[1:9])
        rest, parameters = message[9:], dict[int, bytes]()
        while rest:
            if len(rest) < 3 or len(rest) < 3 + rest[1] * 256 + rest[2] or rest[0] in parameters:
                return found, True
            size = rest[1] * 256 + rest[2]
            parameters[rest[0]] = bytes(rest[3 : 3 + size])
            rest = rest[3 + size :]
        found.append((message[0], session, parameters))
    return found, False


def slow_report(value: bytes) -> dict[str, float] | None:
    """`x0:12;x1:40`: at most 16 of them, empty ones passed over; None if it can't be read."""
    try:
        parts = [part for part in value.decode().split(";") if part]
    except UnicodeDecodeError:
        return None
    found = {}
    for part in parts:
        if ":" not in part:
            return None
        name, figure = part.split(":", 1)
        try:
            found[name] = float(figure)
        except ValueError:
            return None
        if not math.isfinite(found[name]):
            return None
    return found if len(parts) <= 16 else None


def check(data: bytes) -> None:
    codec, found, bad = FrameReader(), list[Frame](), False
    for piece in pieces(data):
        try:
            found += codec.feed(piece)
        except FrameError:
            found += codec.complete_frames
            bad = True
            break
    ours = [(int(one.type), one.session, dict(one.parameters)) for one in found]
    same((ours, bad), slow_read(data[1:]), data)
    for frame in found:
        same(
            slow_read(encode_frame(frame)),
            ([(int(frame.type), frame.session, frame.parameters)], False),
            data,
        )
        try:
            report: dict[str, float] | None = frame.load_report()
        except FrameError:
            report = None
        same(report, slow_report(frame.parameters.get(30, b"")), data)
        try:
            cause: object = frame.cause
        except FrameError:
            cause = "wrong"
        value = frame.parameters.get(45)
        same(cause, None if value is None else value[0] if len(value) == 1 else "wrong", data)
        for code in (ParameterCode.CLASS, ParameterCode.LEVEL):
            try:
                text: str | None = frame.text_parameter(code)
            except FrameError:
                text = None
            raw = frame.parameters.get(int(code), b"")
            same(text is None, raw != raw.decode(errors="ignore").encode(), data)


def _frame(dice: Random) -> bytes:
    body = bytes([dice.choice(TYPES)]) + dice.randbytes(8)
    codes = dice.sample([3, 6, 15, 24, 30, 36, 39, 45, 48, 200], dice.randrange(5))
    for code in codes + codes[: dice.random() < 0.1]:
        texts = [b"x0:0.12;x1:0.4", b"paid", b"2", b"\x22", b"", b";".join([b"a:1"] * 17), b"got", b"x:1e999"]
        value = dice.choice(texts)
        body += bytes([code]) + len(value).to_bytes(2, "big") + value
    return len(body).to_bytes(2, "big") + body


_WORDS = [
    b"\0", b"\0\x09", b"\x3f\xfe", b"\x3f\xff", b"\xff", b":", b";", b"nan", b"\x1e\0\x03a:1",
    b"\x2d\0\x01\x10", b"\x2d\0\0",
]  # fmt: skip


def draw(dice: Random) -> bytes:
    data = b"".join(_frame(dice) for _ in range(dice.randrange(1, 6)))
    if dice.random() < 0.1:
        size = dice.choice([MOST - 2, MOST - 1])
        data += size.to_bytes(2, "big") + b"\x09" + bytes(8) + b"\x30" + (size - 12).to_bytes(2, "big")
        data += bytes(size - 12) + _frame(dice)
        return bytes([dice.choice([0, 2, 41])]) + data
    return bytes([dice.randrange(256)]) + mutate(dice, data, _WORDS, 3)


TARGET = Target(check, draw)
