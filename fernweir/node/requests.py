"""What a viewer's set-up says, checked against the settings. No I/O."""

from __future__ import annotations

import math
import re

from fernweir.front.commands import SessionRequest
from fernweir.front.names import number_of
from fernweir.interface import Settings
from fernweir.node.jsonl import FieldValue, LineError, Message

PROTOCOL_NAME = "platform"
_KEY = re.compile(r"[0-9a-f]{16}")
_MAX_WAIT_IN_DEADLINES = (
    2.0  # a viewer may wait a little over its class's deadline; this many times it is a mistake
)
_COUNT = re.compile(r"[0-9]{1,9}")


class SetUpParser:
    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._classes = {one.name: place for place, one in enumerate(settings.classes)}

    def parse(self, message: Message, ticket: int) -> tuple[SessionRequest, str]:
        """What is asked, and the server it plays at already, or none. LineError says what is wrong."""
        id, fields, settings = message.id, message.fields, self._settings
        extras = _parse_extras(id, fields.get("extras"))
        at = extras.get("at", "")
        cls = self._classes.get(_text_or_empty(fields.get("class")))
        if cls is None:
            raise LineError("no known class", id)
        title = _text_or_empty(fields.get("key"))
        if not _KEY.fullmatch(title):
            raise LineError("key is no title", id)
        kind = settings.classes[cls]
        left = _parse_number(fields.get("left"))
        if not at and not 0.0 < left <= _MAX_WAIT_IN_DEADLINES * kind.deadline_ms:
            raise LineError(f"left is out of range: {str(fields.get('left'))[:20]}", id)
        if message.sdp is None and not at:
            raise LineError("a set-up without a description", id)
        home, copies = _parse_count(id, extras, "home"), _parse_count(id, extras, "copies")
        top = _parse_count(id, extras, "top", len(settings.rung_rates_kbyte_s) - 1)
        if (
            home >= settings.zone_count
            or not 1 <= copies <= settings.zone_count
            or top >= len(settings.rung_rates_kbyte_s)
        ):
            raise LineError("extras are out of range", id)
        viewer = extras.get("viewer", "0" * 16)
        if not _KEY.fullmatch(viewer):
            raise LineError("viewer is no key", id)
        ask = SessionRequest(
            ticket=ticket,
            protocol=PROTOCOL_NAME,
            session_id=id,
            subject=viewer,
            title_name=title,
            title=number_of(title),
            first_zone=home,
            replicas=copies,
            class_index=cls,
            top_rung=top,
            max_wait_ms=left if math.isfinite(left) else kind.deadline_ms,
            viewer_key=int(viewer, 16),
            is_returning=extras.get("again") == "1",
            body=(message.sdp or "").encode(),
        )
        return ask, at


def _text_or_empty(value: FieldValue | None) -> str:
    return value if isinstance(value, str) else ""


def _parse_number(value: FieldValue | None) -> float:
    try:
        return float(value) if value is not None else math.nan
    except ValueError:
        return math.nan


def _parse_extras(id: str, value: FieldValue | None) -> dict[str, str]:
    found: dict[str, str] = {}
    for part in _text_or_empty(value).split(";"):
        name, colon, figure = part.partition(":")
        if part and (not colon or name in found):
            raise LineError("extras can't be read", id)
        if part:
            found[name] = figure
    return found


def _parse_count(id: str, extras: dict[str, str], name: str, absent: int | None = None) -> int:
    text = extras.get(name)
    if text is None and absent is not None:
        return absent
    if text is None or not _COUNT.fullmatch(text):
        raise LineError(f"{name} is no count", id)
    return int(text)
