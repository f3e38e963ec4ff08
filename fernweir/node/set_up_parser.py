"""Parses the set-ups of clients and validates them against the settings. No I/O."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import NamedTuple

from fernweir.front.commands import SessionRequest
from fernweir.front.names import number_of
from fernweir.interface import SessionClass, Settings
from fernweir.node.jsonl import FieldValue, LineError, Message

PROTOCOL_NAME = "platform"
_KEY = re.compile(r"[0-9a-f]{16}")
_COUNT = re.compile(r"[0-9]{1,9}")
_NO_VIEWER = "0" * 16
# A client may wait a little longer than the deadline of its class, but at most this many times as long.
_MAX_WAIT_IN_DEADLINES = 2.0


class ParsedSetUp(NamedTuple):
    """A set-up that passed all checks.

    Attributes:
        request: The session request of the client.
        current_server: The name of the server that already plays the session; empty for a new session.
    """

    request: SessionRequest
    current_server: str


class _Placement(NamedTuple):
    """The zones that hold the title, and the highest rung."""

    first_zone: int
    replicas: int
    top_rung: int


class SetUpParser:
    """Converts messages of the type `setup` to session requests.

    Args:
        settings: Defines the classes, zones and rungs that a set-up may refer to.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._class_indexes = {
            session_class.name: index for index, session_class in enumerate(settings.classes)
        }

    def parse(self, message: Message, ticket: int) -> ParsedSetUp:
        """Parses one set-up.

        Args:
            message: A message of the type `setup`.
            ticket: The number that the dispatcher assigned to the request.

        Raises:
            LineError: The set-up cannot be used; the text says why.
        """
        extras = _Extras.parse(message)
        current_server = extras.values.get("at", "")
        class_index = self._parse_class(message)
        session_class = self._settings.classes[class_index]
        title_name = _parse_title(message)
        max_wait_ms = _parse_max_wait(message, session_class, is_playing=bool(current_server))
        if message.sdp is None and not current_server:
            raise LineError("set-up has no description", message.id)
        placement = self._parse_placement(extras)
        viewer = extras.values.get("viewer", _NO_VIEWER)
        if not _KEY.fullmatch(viewer):
            raise LineError("viewer is not a key of 16 hex digits", message.id)
        request = SessionRequest(
            ticket=ticket,
            protocol=PROTOCOL_NAME,
            session_id=message.id,
            subject=viewer,
            title_name=title_name,
            title=number_of(title_name),
            first_zone=placement.first_zone,
            replicas=placement.replicas,
            class_index=class_index,
            top_rung=placement.top_rung,
            max_wait_ms=max_wait_ms,
            viewer_key=int(viewer, 16),
            is_returning=extras.values.get("again") == "1",
            body=(message.sdp or "").encode(),
        )
        return ParsedSetUp(request, current_server)

    def _parse_class(self, message: Message) -> int:
        class_index = self._class_indexes.get(_text_or_empty(message.fields.get("class")))
        if class_index is None:
            raise LineError("class is missing or unknown", message.id)
        return class_index

    def _parse_placement(self, extras: _Extras) -> _Placement:
        zone_count = self._settings.zone_count
        rung_count = len(self._settings.rung_rates_kbyte_s)
        placement = _Placement(
            first_zone=extras.count("home"),
            replicas=extras.count("copies"),
            top_rung=extras.count("top", default=rung_count - 1),
        )
        has_valid_zones = placement.first_zone < zone_count and 1 <= placement.replicas <= zone_count
        if not has_valid_zones or placement.top_rung >= rung_count:
            raise LineError("home, copies or top of extras is out of range", extras.session_id)
        return placement


@dataclass(frozen=True, slots=True)
class _Extras:
    """The values of the field `extras`, such as `home:0;copies:4`, by name."""

    session_id: str
    values: dict[str, str]

    @classmethod
    def parse(cls, message: Message) -> _Extras:
        values: dict[str, str] = {}
        for part in _text_or_empty(message.fields.get("extras")).split(";"):
            if not part:
                continue
            name, colon, value = part.partition(":")
            if not colon or name in values:
                raise LineError("extras has an entry without a value or with a duplicate name", message.id)
            values[name] = value
        return cls(message.id, values)

    def count(self, name: str, default: int | None = None) -> int:
        text = self.values.get(name)
        if text is None and default is not None:
            return default
        if text is None or not _COUNT.fullmatch(text):
            raise LineError(f"{name} is not a number of at most 9 digits", self.session_id)
        return int(text)


def _parse_title(message: Message) -> str:
    title_name = _text_or_empty(message.fields.get("key"))
    if not _KEY.fullmatch(title_name):
        raise LineError("key is not a title of 16 hex digits", message.id)
    return title_name


def _parse_max_wait(message: Message, session_class: SessionClass, is_playing: bool) -> float:
    """Returns how long the client waits for its answer, in ms. Not checked for a session that plays."""
    field = message.fields.get("left")
    max_wait_ms = _number_or_nan(field)
    longest_ms = _MAX_WAIT_IN_DEADLINES * session_class.deadline_ms
    if not is_playing and not 0.0 < max_wait_ms <= longest_ms:
        raise LineError(f"left is out of range: {str(field)[:20]}", message.id)
    return max_wait_ms if math.isfinite(max_wait_ms) else session_class.deadline_ms


def _text_or_empty(value: FieldValue | None) -> str:
    return value if isinstance(value, str) else ""


def _number_or_nan(value: FieldValue | None) -> float:
    try:
        return float(value) if value is not None else math.nan
    except ValueError:
        return math.nan
