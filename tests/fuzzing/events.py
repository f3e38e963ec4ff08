"""Server-sent events against a reader of the whole text, as section 9.2 of the HTML standard has it.

Two things are ours: an event of more characters than the reader's limit, or a line so long, raises
ValueError, and a pause is a day at most.
"""

from __future__ import annotations

from random import Random

from fernweir.http.sse import EventReader, ServerEvent, encode_event
from tests.fuzzing import Target, mutate, pieces, same

DAY_MS = 86_400_000


def slow_read(data: bytes) -> tuple[list[ServerEvent], str, int | None]:
    """Events, the last event id, and the pause that was asked for."""
    text = data.decode("utf-8", "replace")
    if text.startswith("\ufeff"):
        text = text[1:]
    events: list[ServerEvent] = []
    last, retry, event, values, line, at = "", None, "", list[str](), "", 0
    while at < len(text):
        one, at = text[at], at + 1
        if one not in "\r\n":
            line += one
            continue
        if one == "\r" and text[at : at + 1] == "\n":
            at += 1
        if line == "":
            if values:
                events.append(ServerEvent("\n".join(values), event or "message", last))
            event, values = "", []
        elif line[0] != ":":
            name, value = line, ""
            if ":" in line:
                name, value = line.split(":", 1)
                value = value[1:] if value[:1] == " " else value
            if name == "event":
                event = value
            elif name == "data":
                values.append(value)
            elif name == "id" and "\0" not in value:
                last = value
            elif name == "retry" and value and all(digit in "0123456789" for digit in value):
                retry = int(value[:4_000])
        line = ""
    return events, last, retry


def check(data: bytes) -> None:
    reader, found = EventReader(), list[ServerEvent]()
    for piece in pieces(data):
        found += reader.feed(piece)
    events, last, retry = slow_read(data[1:])
    same((found, reader.last_id), (events, last), data)
    same(reader.retry_ms, retry if retry is None else min(retry, DAY_MS), data)
    for event in found:
        if not any(mark in event.event + event.id for mark in "\r\n\0"):
            again = EventReader().feed(encode_event(event.data, event.event, event.id))
            same(again, [event], data)


_WORDS = [
    b"\n", b"\r", b"\r\n", b"\n\n", b"data", b"data:", b"data: ", b"event: e", b"id", b"id: 7", b"id:a\0",
    b"retry: 10", b"retry:", b"retry: 1x", b"retry: \xc2\xb2", b": note", b"\xef\xbb\xbf", b"\xff", b"\xc3",
    b"\xe2\x82", b" ", b"retry: " + b"9" * 25, b"retry: " + b"9" * 5_000,
]  # fmt: skip


def draw(dice: Random) -> bytes:
    data = b"".join(
        dice.choice(
            [b"data: a", b"data:b", b"event: c", b"id: d", b":", b"retry: 5", b"data", b"data:  b", b""]
        )
        + dice.choice([b"\n", b"\r", b"\r\n", b"\n\n"])
        for _ in range(dice.randrange(1, 14))
    )
    return bytes([dice.randrange(256)]) + mutate(dice, data, _WORDS, 5)


TARGET = Target(check, draw)
