"""The simulator's binary wire: frames, records and the settings text. It decides nothing."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from fernweir.interface import (
    Action,
    Arrival,
    AttemptEnded,
    AttemptSucceeded,
    CheckHealth,
    ClientGone,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Fail,
    FrontMessage,
    HealthCheckEnded,
    Idempotency,
    Log,
    Move,
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
    """Input that doesn't follow the wire; the text says what and where."""


@dataclass(frozen=True, slots=True)
class Configure:
    """A front starts with these settings."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class FrontTerminated:
    """A front has been terminated."""


@dataclass(frozen=True, slots=True)
class Batch:
    number: int
    now_ms: float
    items: tuple[tuple[int, Event | Configure | FrontTerminated], ...]


HEADER = struct.Struct("<IIdI")
_REPLY = struct.Struct("<II")
_CODE = struct.Struct("<H")
_ENTRY = struct.Struct("<BdBHBfI")
_KNOCK = struct.Struct("<IHfdQdQBIff")
_TAKEN = struct.Struct("<IBIQQddfffHI")
_SELECT, _CONFIGURE, _LIST, _ARRIVAL, _STARTED, _ENDED, _ABANDONED = 269, 256, 257, 258, 259, 260, 261
_FIRED, _PROBED, _MESSAGE, _KILLED, _TAKEN_OVER, _NOTE, _PAGE = 262, 263, 264, 265, 266, 267, 268
_HINT_VALID, _MOVED, _RETURNING = 1, 8, 16
_LOG_BYTES = 65535


class _Reader:
    """A cursor over one frame's body."""

    def __init__(self, data: bytes, batch: int) -> None:
        self.data, self.at, self.where = data, 0, f"batch {batch}"

    def take(self, form: struct.Struct) -> tuple[int | float, ...]:
        if self.at + form.size > len(self.data):
            raise WireError(f"{self.where}: record at byte {self.at} runs past the end of the frame")
        values = form.unpack_from(self.data, self.at)
        self.at += form.size
        return values

    def raw(self, count: int) -> bytes:
        if self.at + count > len(self.data):
            raise WireError(f"{self.where}: content of {count} bytes at byte {self.at} runs past the frame")
        self.at += count
        return self.data[self.at - count : self.at]

    def enum(self, kind: type, value: int | float) -> int:
        try:
            return int(kind(value))
        except ValueError:
            raise WireError(f"{self.where}: {value} is no {kind.__name__} (byte {self.at})") from None

    def report(self) -> tuple[float, ...]:
        (count,) = self.take(struct.Struct("<B"))
        return tuple(float(v) for v in self.take(struct.Struct(f"<{int(count)}f")))


class Decoder:
    """Turns frame bodies into batches; keeps the numbered lists, which outlive a frame."""

    def __init__(self) -> None:
        self._pages: dict[int, tuple[Endpoint, ...]] = {}

    def decode(self, records: int, now_ms: float, number: int, body: bytes) -> Batch:
        reader = _Reader(body, number)
        if not math.isfinite(now_ms):
            raise WireError(f"batch {number}: the clock is not a number")
        items: list[tuple[int, Event | Configure | FrontTerminated]] = []
        front: int | None = None
        for _ in range(records):
            start = reader.at
            (code,) = reader.take(_CODE)
            if code == _SELECT:
                front = int(reader.take(struct.Struct("<I"))[0])
            elif code == _PAGE:
                self._page(reader)
            elif front is None:
                raise WireError(f"batch {number}: record {code} at byte {start} comes before any instance")
            else:
                items.append((front, self._record(int(code), reader, start)))
        if reader.at != len(body):
            left = len(body) - reader.at
            raise WireError(f"batch {number}: {left} bytes left over after {records} records")
        return Batch(number, now_ms, tuple(items))

    def _page(self, reader: _Reader) -> None:
        page, count = reader.take(struct.Struct("<BI"))
        entries = []
        for _ in range(int(count)):
            state, started, _, cell, kind, weight, server = reader.take(_ENTRY)
            state = ServerState(reader.enum(ServerState, state))
            entries.append(Endpoint(int(server), state, started, int(cell), int(kind), weight))
        self._pages[int(page)] = tuple(entries)

    def _record(self, code: int, reader: _Reader, start: int) -> Event | Configure | FrontTerminated:
        if code == _ARRIVAL:
            rid, marks, top, work, key, left, title, cls, _, cell, copies = reader.take(_KNOCK)
            return Arrival(_viewer(rid, marks, top, work, key, left, title, cls, cell, copies))
        if code == _TAKEN_OVER:
            rid, cls, _, key, title, left, work, cell, copies, top, marks, server = reader.take(_TAKEN)
            viewer = _viewer(rid, marks, top, work, key, left, title, cls, cell, copies)
            return SessionRecovered(viewer, int(server))
        if code == _NOTE:
            rid, server, topic, shot, level = reader.take(struct.Struct("<IIBBf"))
            kind = NoticeKind(reader.enum(NoticeKind, topic))
            return ServerNotice(int(rid), int(server), int(shot), kind, level)
        if code == _STARTED:
            rid, server, took, shot = reader.take(struct.Struct("<IIdB"))
            return AttemptSucceeded(int(rid), int(server), int(shot), took)
        if code == _ENDED:
            rid, server, result, closed, shot, took = reader.take(struct.Struct("<IIBBBd"))
            outcome = Result(reader.enum(Result, result))
            return AttemptEnded(
                int(rid), int(server), int(shot), outcome, bool(closed), took, reader.report()
            )
        if code == _ABANDONED:
            return ClientGone(int(reader.take(struct.Struct("<I"))[0]))
        if code == _FIRED:
            return TimerFired(int(reader.take(struct.Struct("<I"))[0]))
        if code == _PROBED:
            took, result, server = reader.take(struct.Struct("<dBI"))
            return HealthCheckEnded(int(server), Result(reader.enum(Result, result)), took, reader.report())
        if code == _MESSAGE:
            sender, count = reader.take(struct.Struct("<HH"))
            return FrontMessage(int(sender), reader.raw(int(count)))
        if code == _LIST:
            how, version, page = reader.take(struct.Struct("<BIB"))
            list_kind = EndpointListKind(reader.enum(EndpointListKind, how))
            if list_kind is EndpointListKind.FAILED:
                return EndpointListUpdate(list_kind, int(version), ())
            if int(page) not in self._pages:
                raise WireError(f"{reader.where}: list {page} at byte {start} was never sent")
            return EndpointListUpdate(list_kind, int(version), self._pages[int(page)])
        if code == _CONFIGURE:
            seed, count = reader.take(struct.Struct("<QI"))
            return Configure(int(seed), parse_settings(reader.raw(int(count))))
        if code == _KILLED:
            return FrontTerminated()
        raise WireError(f"{reader.where}: unknown event code {code} at byte {start}")


def _viewer(
    rid: float, marks: float, top: float, work: float, key: float, left: float, title: float, cls: float,
    cell: float, copies: float,
) -> Viewer:  # fmt: skip
    flags = int(marks)
    values = (top, left, cell, copies)
    if not all(math.isfinite(value) for value in values):
        raise WireError(f"session {rid}: a needed value is not a number")
    hint = float(work) if flags & _HINT_VALID and math.isfinite(work) and work >= 0 else None
    return Viewer(
        session=int(rid), class_index=int(cls), key=int(key), title=int(title), first_zone=int(cell),
        replicas=int(copies), top_rung=int(top), length_ms=hint, remaining_ms=float(left),
        was_moved=bool(flags & _MOVED), is_returning=bool(flags & _RETURNING),
    )  # fmt: skip


def encode_action(action: Action) -> bytes:
    match action:
        case Place(session, server, timeout):
            return struct.pack("<HIId", 320, session, server, timeout)
        case Reject(session, after):
            return struct.pack("<HId", 321, session, after)
        case Fail(session):
            return struct.pack("<HI", 322, session)
        case SetTimer(token, after):
            return struct.pack("<HId", 324, token, after)
        case CheckHealth(server):
            return struct.pack("<HI", 325, server)
        case Log(text):
            return encode_text(328, text)
        case Subscribe(active):
            return struct.pack("<HB", 330, active)
        case SetRung(session, rung):
            return struct.pack("<HIB", 332, session, rung)
        case Move(session):
            return struct.pack("<HI", 333, session)


def encode_text(code: int, text: str) -> bytes:
    words = text.encode()[:_LOG_BYTES]
    return struct.pack("<HH", code, len(words)) + words


def encode_fault(text: str) -> bytes:
    return encode_text(329, text)


def encode_reply(number: int, parts: Iterator[tuple[int, bytes]]) -> bytes:
    """One reply frame from (front, encoded actions) pairs."""
    body = b"".join(struct.pack("<HI", 334, front) + data for front, data in parts if data)
    return _REPLY.pack(4 + len(body), number) + body


class SettingsTable:
    """The settings as a table of paths; says which key is missing or unreadable."""

    def __init__(self, table: dict[str, str]) -> None:
        self.table = table

    def text(self, key: str) -> str:
        if key not in self.table:
            raise WireError(f"settings: needed key {key} is missing")
        return self.table[key]

    def number(self, key: str, default: float | None = None) -> float:
        if default is not None and key not in self.table:
            return default
        return self._float(key, self.text(key))

    def optional(self, key: str) -> float | None:
        return self.number(key) if key in self.table else None

    def numbers(self, key: str, default: tuple[float, ...] | None = None) -> tuple[float, ...]:
        if default is not None and key not in self.table:
            return default
        return tuple(self._float(key, part) for part in self.text(key).split(",") if part)

    def flag(self, key: str) -> bool:
        return self.table.get(key, "false") == "true"

    @staticmethod
    def _float(key: str, text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not math.isfinite(value):
            raise WireError(f"settings: {key} has an unreadable value {text!r}")
        return value


def parse_settings(raw: bytes) -> Settings:
    try:
        text = raw.decode()
    except UnicodeDecodeError:
        raise WireError("settings: not UTF-8 text") from None
    pairs = (line.partition("=") for line in text.splitlines() if line)
    return read_settings(SettingsTable({key: value for key, _, value in pairs}))


def read_settings(fields: SettingsTable) -> Settings:
    rates = fields.numbers("Extra.RatesKb")
    count = int(fields.number("Categories.count"))
    names = tuple(name for name in fields.table.get("Feedback.Names", "").split(",") if name)
    via = fields.table.get("Feedback.Via", "off")
    cold = budget = None
    if "Obligations.WarmUp" in fields.table and "Obligations.FallMultiple" in fields.table:
        cold = SlowStart(
            fields.number("Obligations.WarmUp"),
            fields.number("Obligations.ColdFrom"),
            fields.number("Obligations.FallMultiple"),
            fields.number("Obligations.Fall"),
        )
    if "Obligations.BudgetSpan" in fields.table:
        free, share = (fields.number(f"Obligations.{key}", 0.0) for key in ("FreeResends", "ExtraShare"))
        budget = RetryBudget(fields.number("Obligations.BudgetSpan"), free, share)
    cap = fields.optional("Limits.AttemptsCap")
    heeds = fields.flag("Limits.RetryAfter")
    return Settings(
        classes=tuple(_session_class(fields, place, count, len(rates)) for place in range(count)),
        front_count=max(1, int(fields.number("Instances"))),
        front_index=int(fields.number("Ordinal")),
        batch_period_ms=fields.number("Period"),
        zone_count=max(1, int(fields.number("Extra.Cells"))),
        rack_count=max(1, int(fields.number("Extra.Groups"))),
        rung_rates_kbyte_s=rates,
        rung_utilities=fields.numbers("Extra.LevelWorth"),
        streams_by_server_type=tuple(int(value) for value in fields.numbers("Extra.KindSlots")),
        link_rate_per_weight_kbyte_s=fields.number("Extra.WeightKb"),
        uplink_rate_kbyte_s=fields.optional("Extra.UplinkKb"),
        switch_cost_s=fields.number("Extra.SwitchCostS", 0.0),
        report_delay_ms=fields.number("Extra.SeenAfter", 0.0),
        report_interval_ms=fields.number("Extra.Tell", 0.0),
        report_fields=names if via != "off" else (),
        must_subscribe=fields.table.get("Discovery") == "subscribe",
        may_check_health=fields.flag("Limits.MayProbe"),
        max_attempts=None if cap is None else int(cap),
        max_retry_after_ms=fields.optional("Limits.MaxRetryAfter") if heeds else None,
        reply_slack_ms=fields.number("Obligations.AnswerSlack", 0.0),
        drain_grace_ms=fields.optional("Obligations.DrainGrace"),
        slow_start=cold,
        retry_budget=budget,
    )


def _session_class(fields: SettingsTable, place: int, count: int, rungs: int) -> SessionClass:
    def extra(key: str, absent: float) -> float:
        values = fields.numbers(f"Extra.{key}", (absent,) * count)
        if place >= len(values):
            raise WireError(f"settings: Extra.{key} has no value for class {place}")
        return values[place]

    path = f"Categories.{place}"
    try:
        effect = Idempotency(fields.text(f"{path}.Idempotency"))
    except ValueError:
        raise WireError(f"settings: {path}.Idempotency has an unreadable value") from None
    return SessionClass(
        name=fields.text(f"{path}.Name"),
        latency_objective_ms=fields.number(f"{path}.Aim"),
        deadline_ms=fields.number(f"{path}.Deadline"),
        priority_weight=fields.number(f"{path}.Gain"),
        idempotency=effect,
        rate_multiplier=extra("ClassScale", 1.0),
        lowest_rung=int(extra("LowestRung", 0)),
        top_rung=min(int(extra("ClassTop", rungs - 1)), rungs - 1),
        seats=int(extra("Seats", 0)),
    )
