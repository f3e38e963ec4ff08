"""Server-Sent Events as in the WHATWG HTML standard, section 9.2: a writer and an incremental reader."""

from __future__ import annotations

import codecs
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """One dispatched event; `id` is the last event id in effect when it was received."""

    data: str
    event: str = "message"
    id: str = ""


def encode_event(data: str, event: str = "", id: str | None = None) -> bytes:
    """Encodes one event. Raises ValueError for a line break in `event` or `id`, or NUL in `id`."""
    if any(mark in event + (id or "") for mark in "\r\n") or "\0" in (id or ""):
        raise ValueError("event and id of a server-sent event are single lines")
    lines = []
    if id is not None:
        lines.append(f"id: {id}\n")
    if event:
        lines.append(f"event: {event}\n")
    text = data.replace("\r\n", "\n").replace("\r", "\n")
    lines += [f"data: {line}\n" for line in text.split("\n")]
    return ("".join(lines) + "\n").encode()


KEEP_ALIVE = b":\n\n"
_MAX_RETRY_MS = 86_400_000
_MAX_RETRY_DIGITS = 9  # a number with more digits exceeds the maximum


class EventReader:
    """Parses the bytes of a stream, in any chunks, into events.

    A reconnect sends `last_id` as `Last-Event-ID`. `retry_ms` is the reconnection delay that the server
    requested, at most a day, or None. An event of more than `limit` characters raises ValueError.
    """

    def __init__(self, limit: int = 16_777_216) -> None:
        self.last_id = ""
        self.retry_ms: int | None = None
        self._limit = limit
        self._decoder = codecs.getincrementaldecoder("utf-8")(errors="replace")
        self._text = ""
        self._first = True
        self._after_cr = False
        self._data: list[str] = []
        self._size = 0
        self._event = ""

    def feed(self, data: bytes) -> list[ServerEvent]:
        text = self._decoder.decode(data)
        if self._first and text:
            self._first, text = False, text.removeprefix("\ufeff")
        if self._after_cr and text:
            self._after_cr, text = False, text.removeprefix("\n")
        text = self._text + text
        if text.endswith("\r"):
            self._after_cr = True
        lines = text.replace("\r\n", "\n").replace("\r", "\n").split("\n")
        self._text = lines.pop()
        if len(self._text) + self._size > self._limit:
            raise ValueError("server-sent event too large")
        return [event for line in lines if (event := self._line(line)) is not None]

    def _line(self, line: str) -> ServerEvent | None:
        if not line:
            data, event = self._data, self._event
            self._data, self._event, self._size = [], "", 0
            return ServerEvent("\n".join(data), event or "message", self.last_id) if data else None
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self._size += len(value) + 1
            if self._size > self._limit:
                raise ValueError("server-sent event too large")
            self._data.append(value)
        elif name == "event":
            self._event = value
        elif name == "id" and "\0" not in value:
            self.last_id = value
        elif name == "retry" and value.isascii() and value.isdigit():
            digits = value.lstrip("0")[:_MAX_RETRY_DIGITS]
            self.retry_ms = min(int(digits or "0"), _MAX_RETRY_MS)
        return None
