"""Codec of the simulator's binary protocol: frames, records and the text format of settings.

A frame consists of a header (`HEADER`) and a body of records. A record consists of a 16-bit code and the
fields of its layout; all numbers are little-endian. The codec makes no decisions and performs no I/O.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from functools import cache
from typing import Any, NamedTuple, TypeVar

from fernweir.interface import (
    Action,
    Arrival,
    AttemptEnded,
    AttemptSucceeded,
    CheckHealth,
    ClientDisconnected,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Fail,
    FrontMessage,
    HealthCheckEnded,
    Idempotency,
    Log,
    Migrate,
    NoticeKind,
    Place,
    Reject,
    Result,
    RetryBudget,
    ServerNotice,
    ServerState,
    SessionClass,
    SessionRecovered,
    SetRung,
    SetTimer,
    Settings,
    SlowStart,
    Subscribe,
    TimerFired,
    Viewer,
)


class WireError(ValueError):
    """Raised when input violates the wire format; the message names the fault and its position."""


@dataclass(frozen=True, slots=True)
class Configure:
    """A front was started with these settings."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class FrontTerminated:
    """A front was terminated."""


WireEvent = Event | Configure | FrontTerminated


@dataclass(frozen=True, slots=True)
class Batch:
    """The content of one frame.

    Attributes:
        number: The number of the frame; its reply has the same number.
        now_ms: The clock of all fronts in the frame, in milliseconds.
        items: Pairs of a front and an event, in the order of their sending.
    """

    number: int
    now_ms: float
    items: tuple[tuple[int, WireEvent], ...]


# Frame headers. Request: number of records, bytes after this field, clock in ms, frame number.
# Reply: bytes after this field, frame number.
HEADER = struct.Struct("<IIdI")
_REPLY_HEADER = struct.Struct("<II")
_REPLY_NUMBER_BYTES = 4  # the part of a reply's header that its length field includes
_MAX_TEXT_BYTES = 65_535  # the length of a text is a 16-bit field

# Record codes in a request.
_CONFIGURE_CODE = 256
_LIST_UPDATE_CODE = 257
_ARRIVAL_CODE = 258
_ATTEMPT_SUCCEEDED_CODE = 259
_ATTEMPT_ENDED_CODE = 260
_CLIENT_DISCONNECTED_CODE = 261
_TIMER_FIRED_CODE = 262
_HEALTH_CHECK_ENDED_CODE = 263
_FRONT_MESSAGE_CODE = 264
_FRONT_TERMINATED_CODE = 265
_SESSION_RECOVERED_CODE = 266
_SERVER_NOTICE_CODE = 267
_LIST_CODE = 268
_SELECT_FRONT_CODE = 269

# Record codes in a reply.
_PLACE_CODE = 320
_REJECT_CODE = 321
_FAIL_CODE = 322
_SET_TIMER_CODE = 324
_CHECK_HEALTH_CODE = 325
_LOG_CODE = 328
_FAULT_CODE = 329
_SUBSCRIBE_CODE = 330
_SET_RUNG_CODE = 332
_MOVE_CODE = 333
_FRONT_ACTIONS_CODE = 334

# Record layouts in a request, without the code.
_CODE = struct.Struct("<H")
_ID = struct.Struct("<I")  # of a front, a session or a timer
_CONFIGURE = struct.Struct("<QI")  # seed, bytes of settings
_LIST_UPDATE = struct.Struct("<BIB")  # kind, version, number of the list
_LIST = struct.Struct("<BI")  # number, count of endpoints
_ENDPOINT = struct.Struct("<BdBHBfI")  # state, start in ms, reserved, zone, server type, weight, server
_ARRIVAL = struct.Struct("<IHfdQdQBIff")  # see _ArrivalRecord
_SESSION_RECOVERED = struct.Struct("<IBIQQddfffHI")  # see _RecoveredRecord
_ATTEMPT_SUCCEEDED = struct.Struct("<IIdB")  # session, server, duration in ms, attempt
_ATTEMPT_ENDED = struct.Struct("<IIBBBd")  # session, server, result, is final, attempt, duration in ms
_HEALTH_CHECK_ENDED = struct.Struct("<dBI")  # duration in ms, result, server
_FRONT_MESSAGE = struct.Struct("<HH")  # sender, bytes of content
_SERVER_NOTICE = struct.Struct("<IIBBf")  # session, server, kind, attempt, level
_REPORT_COUNT = struct.Struct("<B")  # number of values that follow

# Record layouts in a reply, including the code.
_CODE_AND_ID = struct.Struct("<HI")  # code, session or server or front
_CODE_ID_AND_DELAY = struct.Struct("<HId")  # code, session or timer, delay in ms
_CODE_AND_FLAG = struct.Struct("<HB")
_PLACE = struct.Struct("<HIId")  # code, session, server, timeout in ms
_SET_RUNG = struct.Struct("<HIB")  # code, session, rung
_TEXT = struct.Struct("<HH")  # code, bytes of text

# Bits of the viewer flags.
_HAS_LENGTH_FLAG = 1
_WAS_MOVED_FLAG = 8
_IS_RETURNING_FLAG = 16

_AnyEnum = TypeVar("_AnyEnum", bound=Enum)


class _ArrivalRecord(NamedTuple):
    """The fields of `_ARRIVAL`; integers that are encoded as floats are floats here."""

    session: int
    flags: int
    top_rung: float
    length_ms: float
    key: int
    remaining_ms: float
    title: int
    class_index: int
    reserved: int
    first_zone: float
    replicas: float


class _RecoveredRecord(NamedTuple):
    """The fields of `_SESSION_RECOVERED`; integers that are encoded as floats are floats here."""

    session: int
    class_index: int
    reserved: int
    key: int
    title: int
    remaining_ms: float
    length_ms: float
    first_zone: float
    replicas: float
    top_rung: float
    flags: int
    server: int


@cache
def _report_layout(count: int) -> struct.Struct:
    return struct.Struct(f"<{count}f")


class _RecordReader:
    """Reads the records of a frame's body in sequence."""

    def __init__(self, data: bytes, batch: int) -> None:
        self.data = data
        self.position = 0
        self.record_start = 0
        self.context = f"batch {batch}"

    def read_code(self) -> int:
        """Begins the next record and returns its code.

        Raises:
            WireError: The body ends too early. This applies to all read methods.
        """
        self.record_start = self.position
        code: int = self.read(_CODE)[0]
        return code

    def read(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Reads and returns the values of a layout."""
        end = self.position + layout.size
        if end > len(self.data):
            raise WireError(f"{self.context}: record at byte {self.position} runs past the end of the frame")
        values = layout.unpack_from(self.data, self.position)
        self.position = end
        return values

    def read_bytes(self, count: int) -> bytes:
        """Reads and returns a number of bytes."""
        start, end = self.position, self.position + count
        if end > len(self.data):
            raise WireError(f"{self.context}: {count} bytes at byte {start} run past the end of the frame")
        self.position = end
        return self.data[start:end]

    def read_report(self) -> tuple[float, ...]:
        """Reads and returns the values of a load report."""
        (count,) = self.read(_REPORT_COUNT)
        return self.read(_report_layout(count))

    def parse_enum(self, kind: type[_AnyEnum], value: int) -> _AnyEnum:
        """Returns the enum member for a value that has just been read.

        Raises:
            WireError: The enum has no such member.
        """
        try:
            return kind(value)
        except ValueError:
            message = f"{self.context}: {value} is not a valid {kind.__name__} (before byte {self.position})"
            raise WireError(message) from None


class Decoder:
    """Decodes the bodies of frames into batches; stores the numbered lists, which later frames refer to."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[Endpoint, ...]] = {}
        self._event_decoders: dict[int, Callable[[_RecordReader], WireEvent]] = {
            _CONFIGURE_CODE: _decode_configure,
            _LIST_UPDATE_CODE: self._decode_list_update,
            _ARRIVAL_CODE: _decode_arrival,
            _ATTEMPT_SUCCEEDED_CODE: _decode_attempt_succeeded,
            _ATTEMPT_ENDED_CODE: _decode_attempt_ended,
            _CLIENT_DISCONNECTED_CODE: _decode_client_disconnected,
            _TIMER_FIRED_CODE: _decode_timer_fired,
            _HEALTH_CHECK_ENDED_CODE: _decode_health_check_ended,
            _FRONT_MESSAGE_CODE: _decode_front_message,
            _FRONT_TERMINATED_CODE: _decode_front_terminated,
            _SESSION_RECOVERED_CODE: _decode_session_recovered,
            _SERVER_NOTICE_CODE: _decode_server_notice,
        }

    def decode(self, record_count: int, now_ms: float, number: int, body: bytes) -> Batch:
        """Decodes the body of one frame.

        Args:
            record_count: The number of records in the body, from the frame's header.
            now_ms: The clock of the frame in milliseconds.
            number: The number of the frame.
            body: The bytes after the header.

        Raises:
            WireError: A record is unknown, truncated, in an invalid position or has an invalid value.
        """
        reader = _RecordReader(body, number)
        if not math.isfinite(now_ms):
            raise WireError(f"batch {number}: the clock is not a finite number")
        items: list[tuple[int, WireEvent]] = []
        front: int | None = None
        for _ in range(record_count):
            code = reader.read_code()
            if code == _SELECT_FRONT_CODE:
                (front,) = reader.read(_ID)
            elif code == _LIST_CODE:
                self._decode_list(reader)
            elif front is None:
                start = reader.record_start
                raise WireError(f"batch {number}: record {code} at byte {start} has no selected front")
            else:
                items.append((front, self._decode_event(code, reader)))
        if reader.position != len(body):
            extra = len(body) - reader.position
            raise WireError(f"batch {number}: {extra} unexpected bytes after {record_count} records")
        return Batch(number, now_ms, tuple(items))

    def _decode_event(self, code: int, reader: _RecordReader) -> WireEvent:
        decode_event = self._event_decoders.get(code)
        if decode_event is None:
            start = reader.record_start
            raise WireError(f"{reader.context}: unknown event code {code} at byte {start}")
        return decode_event(reader)

    def _decode_list(self, reader: _RecordReader) -> None:
        """Stores a numbered list, which list updates refer to."""
        number, count = reader.read(_LIST)
        endpoints = []
        for _ in range(count):
            state, started_at, _, zone, server_type, weight, server = reader.read(_ENDPOINT)
            server_state = reader.parse_enum(ServerState, state)
            endpoints.append(Endpoint(server, server_state, started_at, zone, server_type, weight))
        self._lists[number] = tuple(endpoints)

    def _decode_list_update(self, reader: _RecordReader) -> EndpointListUpdate:
        kind_value, version, number = reader.read(_LIST_UPDATE)
        kind = reader.parse_enum(EndpointListKind, kind_value)
        if kind is EndpointListKind.FAILED:
            return EndpointListUpdate(kind, version, ())
        if number not in self._lists:
            start = reader.record_start
            raise WireError(f"{reader.context}: list {number} at byte {start} is not defined")
        return EndpointListUpdate(kind, version, self._lists[number])


def _decode_configure(reader: _RecordReader) -> Configure:
    seed, byte_count = reader.read(_CONFIGURE)
    return Configure(seed, parse_settings(reader.read_bytes(byte_count)))


def _decode_arrival(reader: _RecordReader) -> Arrival:
    return Arrival(_build_viewer(_ArrivalRecord(*reader.read(_ARRIVAL))))


def _decode_session_recovered(reader: _RecordReader) -> SessionRecovered:
    record = _RecoveredRecord(*reader.read(_SESSION_RECOVERED))
    return SessionRecovered(_build_viewer(record), record.server)


def _build_viewer(record: _ArrivalRecord | _RecoveredRecord) -> Viewer:
    required = (record.top_rung, record.remaining_ms, record.first_zone, record.replicas)
    if not all(map(math.isfinite, required)):
        raise WireError(f"session {record.session}: a required field is not a finite number")
    flags, length_ms = record.flags, record.length_ms
    has_length = flags & _HAS_LENGTH_FLAG and math.isfinite(length_ms) and length_ms >= 0
    return Viewer(
        session=record.session,
        class_index=record.class_index,
        key=record.key,
        title=record.title,
        first_zone=int(record.first_zone),
        replicas=int(record.replicas),
        top_rung=int(record.top_rung),
        length_ms=length_ms if has_length else None,
        remaining_ms=record.remaining_ms,
        was_moved=bool(flags & _WAS_MOVED_FLAG),
        is_returning=bool(flags & _IS_RETURNING_FLAG),
    )


def _decode_attempt_succeeded(reader: _RecordReader) -> AttemptSucceeded:
    session, server, duration_ms, attempt = reader.read(_ATTEMPT_SUCCEEDED)
    return AttemptSucceeded(session, server, attempt, duration_ms)


def _decode_attempt_ended(reader: _RecordReader) -> AttemptEnded:
    session, server, result_value, is_final, attempt, duration_ms = reader.read(_ATTEMPT_ENDED)
    result = reader.parse_enum(Result, result_value)
    report = reader.read_report()
    return AttemptEnded(session, server, attempt, result, bool(is_final), duration_ms, report)


def _decode_client_disconnected(reader: _RecordReader) -> ClientDisconnected:
    return ClientDisconnected(*reader.read(_ID))


def _decode_timer_fired(reader: _RecordReader) -> TimerFired:
    return TimerFired(*reader.read(_ID))


def _decode_health_check_ended(reader: _RecordReader) -> HealthCheckEnded:
    duration_ms, result_value, server = reader.read(_HEALTH_CHECK_ENDED)
    result = reader.parse_enum(Result, result_value)
    return HealthCheckEnded(server, result, duration_ms, reader.read_report())


def _decode_front_message(reader: _RecordReader) -> FrontMessage:
    sender, byte_count = reader.read(_FRONT_MESSAGE)
    return FrontMessage(sender, reader.read_bytes(byte_count))


def _decode_front_terminated(_reader: _RecordReader) -> FrontTerminated:
    return FrontTerminated()


def _decode_server_notice(reader: _RecordReader) -> ServerNotice:
    session, server, kind_value, attempt, level = reader.read(_SERVER_NOTICE)
    return ServerNotice(session, server, attempt, reader.parse_enum(NoticeKind, kind_value), level)


def _encode_place(action: Place) -> bytes:
    return _PLACE.pack(_PLACE_CODE, action.session, action.server, action.timeout_ms)


def _encode_reject(action: Reject) -> bytes:
    return _CODE_ID_AND_DELAY.pack(_REJECT_CODE, action.session, action.retry_after_ms)


def _encode_fail(action: Fail) -> bytes:
    return _CODE_AND_ID.pack(_FAIL_CODE, action.session)


def _encode_set_timer(action: SetTimer) -> bytes:
    return _CODE_ID_AND_DELAY.pack(_SET_TIMER_CODE, action.token, action.after_ms)


def _encode_check_health(action: CheckHealth) -> bytes:
    return _CODE_AND_ID.pack(_CHECK_HEALTH_CODE, action.server)


def _encode_log(action: Log) -> bytes:
    return encode_text(_LOG_CODE, action.text)


def _encode_subscribe(action: Subscribe) -> bytes:
    return _CODE_AND_FLAG.pack(_SUBSCRIBE_CODE, action.active)


def _encode_set_rung(action: SetRung) -> bytes:
    return _SET_RUNG.pack(_SET_RUNG_CODE, action.session, action.rung)


def _encode_migrate(action: Migrate) -> bytes:
    return _CODE_AND_ID.pack(_MOVE_CODE, action.session)


_ACTION_ENCODERS: dict[type, Callable[..., bytes]] = {
    Place: _encode_place,
    Reject: _encode_reject,
    Fail: _encode_fail,
    SetTimer: _encode_set_timer,
    CheckHealth: _encode_check_health,
    Log: _encode_log,
    Subscribe: _encode_subscribe,
    SetRung: _encode_set_rung,
    Migrate: _encode_migrate,
}


def encode_action(action: Action) -> bytes:
    """Returns the encoded record of an action.

    Raises:
        struct.error: A number does not fit its field.
    """
    return _ACTION_ENCODERS[type(action)](action)


def encode_text(code: int, text: str) -> bytes:
    """Returns a record of UTF-8 text, truncated to 65,535 bytes."""
    encoded = text.encode()[:_MAX_TEXT_BYTES]
    return _TEXT.pack(code, len(encoded)) + encoded


def encode_fault(text: str) -> bytes:
    """Returns the record that reports an exception of the controller."""
    return encode_text(_FAULT_CODE, text)


def encode_reply(number: int, parts: Iterator[tuple[int, bytes]]) -> bytes:
    """Returns one reply frame.

    Args:
        number: The number of the request frame.
        parts: Pairs of a front and its encoded actions; fronts without actions are omitted.
    """
    encoded = (_CODE_AND_ID.pack(_FRONT_ACTIONS_CODE, front) + actions for front, actions in parts if actions)
    body = b"".join(encoded)
    return _REPLY_HEADER.pack(_REPLY_NUMBER_BYTES + len(body), number) + body


class SettingsTable:
    """Settings as a mapping of dotted keys to texts."""

    def __init__(self, table: dict[str, str]) -> None:
        self.table = table

    def text(self, key: str) -> str:
        """Returns the text of a required key.

        Raises:
            WireError: The key is missing.
        """
        if key not in self.table:
            raise WireError(f"settings: required key {key} is missing")
        return self.table[key]

    def number(self, key: str, default: float | None = None) -> float:
        """Returns the number of a key, or the default if one is given and the key is missing.

        Raises:
            WireError: The key is missing, or its text is not a finite number.
        """
        if default is not None and key not in self.table:
            return default
        return self._parse_number(key, self.text(key))

    def optional_number(self, key: str) -> float | None:
        """Returns the number of a key, or None if the key is missing."""
        return self.number(key) if key in self.table else None

    def numbers(self, key: str, default: tuple[float, ...] | None = None) -> tuple[float, ...]:
        """Returns the comma-separated numbers of a key; the default and errors are as in `number`."""
        if default is not None and key not in self.table:
            return default
        return tuple(self._parse_number(key, part) for part in self.text(key).split(",") if part)

    def flag(self, key: str) -> bool:
        """Whether the text of a key is `true`; a missing key is false."""
        return self.table.get(key, "false") == "true"

    @staticmethod
    def _parse_number(key: str, text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not math.isfinite(value):
            raise WireError(f"settings: {key} has an invalid value {text!r}")
        return value


def parse_settings(raw: bytes) -> Settings:
    """Parses settings from lines of `key=value`.

    Raises:
        WireError: The text is not UTF-8, a key is missing, or a value is invalid.
    """
    try:
        text = raw.decode()
    except UnicodeDecodeError:
        raise WireError("settings: the text is not valid UTF-8") from None
    pairs = (line.partition("=") for line in text.splitlines() if line)
    return read_settings(SettingsTable({key: value for key, _, value in pairs}))


def read_settings(fields: SettingsTable) -> Settings:
    """Reads settings from a table; unknown keys are ignored.

    Raises:
        WireError: A key is missing or a value is invalid.
    """
    rung_rates = fields.numbers("Extra.RatesKb")
    class_count = int(fields.number("Categories.count"))
    report_fields = tuple(name for name in fields.table.get("Feedback.Names", "").split(",") if name)
    has_reports = fields.table.get("Feedback.Via", "off") != "off"
    slow_start, retry_budget = _read_slow_start(fields), _read_retry_budget(fields)
    max_attempts = fields.optional_number("Limits.AttemptsCap")
    sends_retry_after = fields.flag("Limits.RetryAfter")
    return Settings(
        classes=tuple(
            _read_session_class(fields, index, class_count, len(rung_rates)) for index in range(class_count)
        ),
        front_count=max(1, int(fields.number("Instances"))),
        front_index=int(fields.number("Ordinal")),
        batch_period_ms=fields.number("Period"),
        zone_count=max(1, int(fields.number("Extra.Cells"))),
        rack_count=max(1, int(fields.number("Extra.Groups"))),
        rung_rates_kbyte_s=rung_rates,
        rung_utilities=fields.numbers("Extra.LevelWorth"),
        streams_by_server_type=tuple(int(value) for value in fields.numbers("Extra.KindSlots")),
        link_rate_per_weight_kbyte_s=fields.number("Extra.WeightKb"),
        uplink_rate_kbyte_s=fields.optional_number("Extra.UplinkKb"),
        switch_cost_s=fields.number("Extra.SwitchCostS", 0.0),
        report_delay_ms=fields.number("Extra.SeenAfter", 0.0),
        report_interval_ms=fields.number("Extra.Tell", 0.0),
        report_fields=report_fields if has_reports else (),
        must_subscribe=fields.table.get("Discovery") == "subscribe",
        may_check_health=fields.flag("Limits.MayProbe"),
        max_attempts=None if max_attempts is None else int(max_attempts),
        max_retry_after_ms=fields.optional_number("Limits.MaxRetryAfter") if sends_retry_after else None,
        reply_slack_ms=fields.number("Obligations.AnswerSlack", 0.0),
        drain_grace_ms=fields.optional_number("Obligations.DrainGrace"),
        slow_start=slow_start,
        retry_budget=retry_budget,
    )


def _read_slow_start(fields: SettingsTable) -> SlowStart | None:
    if "Obligations.WarmUp" not in fields.table or "Obligations.FallMultiple" not in fields.table:
        return None
    return SlowStart(
        window_ms=fields.number("Obligations.WarmUp"),
        initial_factor=fields.number("Obligations.ColdFrom"),
        overload_multiple=fields.number("Obligations.FallMultiple"),
        overload_window_ms=fields.number("Obligations.Fall"),
    )


def _read_retry_budget(fields: SettingsTable) -> RetryBudget | None:
    if "Obligations.BudgetSpan" not in fields.table:
        return None
    min_retries = fields.number("Obligations.FreeResends", 0.0)
    retry_ratio = fields.number("Obligations.ExtraShare", 0.0)
    return RetryBudget(fields.number("Obligations.BudgetSpan"), min_retries, retry_ratio)


def _read_session_class(fields: SettingsTable, index: int, class_count: int, rung_count: int) -> SessionClass:
    path = f"Categories.{index}"
    try:
        idempotency = Idempotency(fields.text(f"{path}.Idempotency"))
    except ValueError:
        raise WireError(f"settings: {path}.Idempotency has an invalid value") from None

    def class_number(key: str, default: float) -> float:
        values = fields.numbers(f"Extra.{key}", (default,) * class_count)
        if index >= len(values):
            raise WireError(f"settings: Extra.{key} has no value for class {index}")
        return values[index]

    return SessionClass(
        name=fields.text(f"{path}.Name"),
        latency_objective_ms=fields.number(f"{path}.Aim"),
        deadline_ms=fields.number(f"{path}.Deadline"),
        priority_weight=fields.number(f"{path}.Gain"),
        idempotency=idempotency,
        rate_multiplier=class_number("ClassScale", 1.0),
        lowest_rung=int(class_number("LowestRung", 0)),
        top_rung=min(int(class_number("ClassTop", rung_count - 1)), rung_count - 1),
        seats=int(class_number("Seats", 0)),
    )
