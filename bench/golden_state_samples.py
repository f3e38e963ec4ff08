"""The samples of stored and sent bytes: at least one of every type, with all fields and with defaults.

Each part is a list of samples: a name, the format in `tests.golden_formats`, and the bytes, or, for a format
that the code only writes, the plain value that it writes them from.
"""

from __future__ import annotations

import json
import tempfile
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, get_args
from unittest import mock

import google_crc32c
import orjson
from pydantic import BaseModel

from bench.golden_state_wire import WIRE_SETTINGS, event_records
from fernweir import interface as i
from fernweir.appliance.backup import back_up
from fernweir.audit.records import AnyRecord
from fernweir.control.desk import KIND
from fernweir.control.orders import Command, CommandKind, OrderRules, Orders, SiteSnapshot
from fernweir.dash.build import Title, build_mpd
from fernweir.http.client import Outcome
from fernweir.http.sse import encode_event
from fernweir.journal.events import Entry, EventKind, to_row
from fernweir.journal.segment import encode_segment
from fernweir.journal.state_projection import ServerRow, SessionRow, StateProjection
from fernweir.node.frames import Frame, FrameType, ParameterCode, encode_frame
from fernweir.node.jsonl import MESSAGE_TYPES as LINE_TYPES
from fernweir.node.jsonl import Message, encode_message
from fernweir.seats import records as seats
from fernweir.seats.messages import Operation
from fernweir.tokens.claims import ControlClaims, ServerClaims, SessionClaims
from fernweir.wire import HEADER
from tests.golden_formats import (
    KEYS,
    NOW_S,
    plain,
    write_journal_folder,
    write_orders,
    write_picture,
    write_record_value,
    write_seat_log,
    write_snapshot,
    write_token,
    write_unit_format,
)

SESSION = "00000000000000a1"


@dataclass(frozen=True, slots=True)
class Sample:
    """One sample before it is stored: bytes, or for a format that is only written a value."""

    name: str
    format: str
    data: bytes | None = None
    value: Any = None


def all_parts() -> dict[str, list[Sample]]:
    """Every part by the name of its file."""
    return {
        "journal": journal(),
        "seats": seat_log(),
        "control": control(),
        "lists": lists(),
        "tokens": tokens(),
        "node": node(),
        "wire": simulator_wire(),
        "record": record_values(),
        "audit": audit(),
        "http": http(),
        "entitlement": entitlement(),
    }


# --- journal ---


def entries() -> list[Entry]:
    """One entry of every kind, with all fields, and one with none."""
    full = [
        Entry(
            number, 1_800_000_000_000 + number, what, "front-1", f"s{number}", "lesson-1", "film", "t1", 3, 1,
            2, "why é", {"start": "12", "took_ms": 1.5, "link": [1, None]},
        )
        for number, what in enumerate(EventKind, 1)
    ]  # fmt: skip
    return [*full, Entry(len(full) + 1, 5, EventKind.REQUESTED)]


def day_entries() -> list[Entry]:
    """A short life of two servers, two sessions and an operator's order, for the state projection."""
    day: list[Entry] = []

    def add(what: EventKind, **fields: Any) -> None:
        day.append(Entry(len(day) + 1, 1_000 + len(day), what, "front-1", **fields))

    one = {"title": "l1", "cls": "film", "tenant": "t1"}
    add(EventKind.FRONT, why="up")
    add(EventKind.SERVER, server=1, why="ready", more={"start": "7"})
    add(EventKind.SERVER, server=2, why="draining")
    add(EventKind.REQUESTED, session="s1", **one)
    add(EventKind.SETUP, session="s1", server=1, attempt=0, rung=2, why="least loaded", **one)
    add(EventKind.ATTEMPT_FAILED, session="s1", server=1, attempt=0, why="timeout", **one)
    add(EventKind.SETUP, session="s1", server=2, attempt=1, rung=1, why="next", **one)
    add(EventKind.STARTED, session="s1", server=2, attempt=1, rung=1, **one)
    add(EventKind.PLAYS, session="s1", **one)
    add(EventKind.RUNG, session="s1", server=2, attempt=1, rung=2, why="room", **one)
    add(EventKind.REQUESTED, session="s2", **one)
    add(EventKind.REFUSED, session="s2", why="no room", **one)
    add(EventKind.FAILED, session="s3", why="time is over", **one)
    add(EventKind.CONFLICT, session="s4", why="other title", **one)
    add(EventKind.ENDED, session="s2", why="refused", **one)
    add(EventKind.SILENT, server=2)
    add(EventKind.RESUMED, server=2)
    add(EventKind.LOST, server=1)
    add(EventKind.MOVED, session="s1", server=2, **one)
    more = {"by": "ann", "drains": {"1": "ann"}, "holds": {"l2": "bob"}, "caps": {"tenant:t1": 4}}
    add(EventKind.ORDER, why="drain 1: done", more=more)
    add(EventKind.SERVER, server=3, why="gone")
    add(EventKind.SERVER, server=3, why="unlisted")
    return day


def full_picture() -> StateProjection:
    """A state projection with every field set."""
    value = StateProjection(9, 10)
    value.sessions["front-1/s1"] = SessionRow(
        "s1", "front-1", "l1", "film", "t1", "playing", 5, 1, 2, 3, "why"
    )
    value.sessions["front-1/s2"] = SessionRow("s2", "front-1", "l1", "film", "t1", "asked", 6)
    value.servers[1] = ServerRow(1, "ready", "ann", "77", True, 2, 1)
    value.servers[2] = ServerRow(2)
    value.answers.update({"plays": 3, "refused": 1})
    value.by_class.update({"film plays": 3})
    value.refusals.update({"no room": 1})
    value.fronts["front-1"] = 4
    value.holds["l2"] = "bob"
    value.caps["tenant:t1"] = 7
    value.orders.append("5 ann: drain 1")
    return value


def journal() -> list[Sample]:
    """Rows, segments, the folder, and the state projection."""
    rows = [
        Sample(f"row {one.what}-{one.number}", "journal-row", orjson.dumps(to_row(one))) for one in entries()
    ]
    first, second = entries()[:6], entries()[6:12]
    folder = write_journal_folder(
        [(1, 6, encode_segment(first)), (7, 12, encode_segment(second))], entries()[12:], "0123456789abcdef"
    )
    lines = b"\n".join(orjson.dumps(to_row(one)) for one in day_entries())
    return [
        *rows,
        Sample("segment", "journal-segment", encode_segment(entries())),
        Sample("folder", "journal-folder", folder),
        Sample("empty folder", "journal-folder", write_journal_folder([], [], "0123456789abcdef")),
        Sample("day", "journal-folded", lines),
        Sample("full", "picture", write_picture(full_picture())),
        Sample("empty", "picture", write_picture(StateProjection())),
        Sample("snapshot lines", "picture-snapshot", write_snapshot(full_picture())),
    ]


# --- seat log ---


def seat_log() -> list[Sample]:
    """Records, tables, and whole logs with a snapshot and with a torn tail."""
    full = seats.SeatRecord(
        "s2", 4, "t1", "l1", "film", "ann", 2.5, "lease-1", 8, 1_800_000_100.5, 1_800_000_000.25
    )
    bare = seats.SeatRecord("s3", 0, "", "", "", "", 0.0)
    held = seats.encode_granted("s1", "lease-9", 3, 1_800_000_050.0)
    table = seats.encode_table({one.session_id: one for one in (full, bare)})
    batch = [
        seats.encode_requested(full),
        seats.encode_granted("s2", "lease-2", 9, 1_800_000_200.0),
        seats.encode_requested(bare),
    ]
    log = write_seat_log(None, 0, [batch])
    with_snapshot = write_seat_log(table, 3, [[seats.encode_removed("s2"), seats.encode_requested(bare)]])
    files = {name: bytes.fromhex(text) for name, text in json.loads(with_snapshot).items()}
    newest = max(name for name in files if name.endswith(".log"))
    files[newest] = files[newest][:-5]
    torn = json.dumps({name: data.hex() for name, data in sorted(files.items())}).encode()
    return [
        Sample("full", "seat-asked", seats.encode_requested(full)),
        Sample("bare", "seat-asked", seats.encode_requested(bare)),
        Sample("held", "seat-held", held),
        Sample("gone", "seat-gone", seats.encode_removed("s1")),
        Sample("table", "seat-table", table),
        Sample("empty table", "seat-table", seats.encode_table({})),
        Sample("log", "seat-log", log),
        Sample("log with snapshot", "seat-log", with_snapshot),
        Sample("log with torn tail", "seat-log-torn", torn),
        Sample("dump", "ledger-dump", with_snapshot),
    ]


# --- control ---


def some_orders() -> Orders:
    """Orders with every table filled: one drain waits for its turn."""
    orders = Orders(OrderRules(pace_ms=2_000.0, burst=1))
    known = frozenset((1, 2, 3))
    site = SiteSnapshot(known, known, {"l1": [1, 2, 3]}, {}, {}, dict.fromkeys(known, 100.0), frozenset())
    commands = [
        Command("c1", "ann", CommandKind.DRAIN, "1", "repair"),
        Command("c2", "bob", CommandKind.DRAIN, "2"),
        Command("c3", "ann", CommandKind.HOLD, "l1", "broken"),
        Command("c4", "ann", CommandKind.CAP, "tenant:t1", limit=5),
        Command("c5", "ann", CommandKind.CAP, "tenant:t1", limit=6),
        Command("c6", "ann", CommandKind.UNCAP, "lesson:l9"),
        Command("c7", "ann", CommandKind.UNHOLD, "l9"),
        Command("c8", "ann", CommandKind.END, "nobody"),
        Command("c9", "ann", CommandKind.UNDO, "c5"),
    ]
    for number, command in enumerate(commands):
        orders.handle_command(100.0 + number, 1_800_000_000_000 + number, command, site)
    return orders


_ASKS: list[dict[str, Any]] = [
    {"id": "a1", "do": "sessions"},
    {"id": "a2", "do": "sessions", "box": 1, "lesson": "l1", "tenant": "t1", "phase": "playing", "after": "x",
     "limit": 7},
    {"id": "a3", "do": "boxes"},
    {"id": "a4", "do": "boxes", "after": 0, "limit": 1},
    {"id": "a5", "do": "why", "session": "s1"},
    {"id": "a6", "do": "why", "session": "s1", "limit": 2},
    {"id": "a7", "do": "events"},
    {
        "id": "a8", "do": "events", "what": "setup", "session": "s1", "box": 1, "lesson": "l1",
        "tenant": "t1", "cls": "film", "why": "least loaded", "front": "front-1", "since": 1,
        "until": 1 << 60, "before": 99, "limit": 3,
    },
    *({"id": f"b-{word}", "do": word} for word in
      ("overview", "limits", "unwatch", "snapshot", "gauges", "site", "unit")),
    {"id": "c1", "do": "watch"},
    {"id": "c2", "do": "watch", "since": 1, "journal": "other"},
    {"id": "c3", "do": "unwatch"},
    {"id": "c4", "do": "watch", "since": 1, "journal": "0123456789abcdef"},
    {"id": "c5", "do": "unwatch"},
    *({"id": f"d-{word}", "do": word, "target": target} for word, target in
      (("drain", "3"), ("undrain", "2"), ("hold", "l1"), ("unhold", "l2"), ("cap", "tenant:t1"),
       ("uncap", "lesson:l1"), ("end", "s1"), ("undo", "d-hold"))),
    {"id": "e1", "do": "cap", "target": "lesson:l1", "reason": "busy", "most": 3, "mark": "00ff"},
    {"id": "f1", "do": "retry", "target": "front-1"},
    {"id": "f2", "do": "retry", "target": "front-2"},
    {"id": "g1", "do": "orders", "orders": {"format": 2, "version": 1}},
    {"id": "h1", "do": "ask-fleet", "question": {"do": "count"}},
]  # fmt: skip


def control() -> list[Sample]:
    """Messages of clients, a whole conversation, and the state files of orders and of a unit."""
    first_format = {
        "version": 4, "format": 1, "drains": {"1": ["ann", 5]}, "holds": {"l1": ["bob", 6]},
    }  # fmt: skip
    body = orjson.dumps(first_format)
    head = orjson.dumps({"kind": KIND, "crc32c": int(google_crc32c.value(body))})
    lines = [
        b'{"hello":1,"operator":"ann"}',
        *map(orjson.dumps, _ASKS),
        b"no json",
    ]
    reader = [
        b'{"hello":1,"operator":"eve"}',
        b'{"id":"r1","do":"drain","target":"1"}',
        b'{"id":"r2","do":"overview"}',
    ]
    return [
        Sample("hello", "control-hello", lines[0]),
        *(Sample(f"{one['do']} {one['id']}", "control-message", orjson.dumps(one)) for one in _ASKS),
        Sample("an operator", "control-conversation", b"\n".join(lines)),
        Sample("a reader", "control-conversation", b"\n".join(reader)),
        Sample("first line is no greeting", "control-conversation", b'{"id":"a","do":"boxes"}'),
        Sample("full", "orders-file", write_orders(some_orders())),
        Sample("empty", "orders-file", write_orders(Orders())),
        Sample("first format", "orders-file-1", head + b"\n" + body + b"\n"),
        Sample("unit", "unit-format", write_unit_format(0)),
        Sample("backup", "unit-backup", unit_backup()),
    ]


def unit_backup() -> bytes:
    """A backup of a small folder of a unit, at a fixed time."""
    with tempfile.TemporaryDirectory() as name, mock.patch("time.time", return_value=NOW_S):
        root = Path(name) / "unit"
        (root / "state").mkdir(parents=True)
        (root / "unit.ini").write_text("[unit]\nname = unit\nfronts = 1\n")
        (root / "keys.json").write_text(KEYS)
        (root / "state" / "orders.json").write_bytes(write_orders(some_orders()))
        (root / "state" / "format.json").write_bytes(write_unit_format(0))
        back_up(root, Path(name) / "unit.backup")
        return (Path(name) / "unit.backup").read_bytes()


# --- lists and tokens ---


def lists() -> list[Sample]:
    """Documents of the list server and the copy that a front keeps."""
    server = {
        "box": 4, "host": "127.0.0.1", "port": 8001, "state": "draining", "boot": "b1", "age_s": 12.5,
        "cell": 3, "kind": 1, "weight": 2.5,
    }  # fmt: skip
    bare = {"box": 5, "host": "h", "port": 1, "state": "ready", "cell": 0}
    gone = {**bare, "box": 6, "state": "gone"}
    title = {"title": "lesson-1", "cell": 2, "copies": 3}
    full = {"epoch": "e1", "version": 9, "base": 8, "boxes": [server, bare, gone], "lessons": [title]}
    cached = {
        "epoch": "e1", "version": 9,
        "boxes": [
            {key: value for key, value in server.items() if key != "age_s"},
            {"box": 5, "host": "h", "port": 1, "state": "ready", "boot": "", "cell": 0, "kind": 0,
             "weight": 1.0},
        ],
        "lessons": [title],
    }  # fmt: skip
    return [
        Sample("full", "list-document", json.dumps(full).encode()),
        Sample("bare", "list-document", b'{"epoch":"e","version":0}'),
        Sample("cache", "list-cache", json.dumps(cached, separators=(",", ":")).encode()),
    ]


def tokens() -> list[Sample]:
    """The key file and a token of every kind."""
    common = {"iss": "issuer", "exp": int(NOW_S) + 60}
    session = {
        **common,
        "aud": "fernweir-front",
        "sub": "ann",
        "jti": "s1",
        "title": "lesson-1",
        "cls": "film",
        "top": 3,
    }
    timed = {"iat": int(NOW_S) - 1, "nbf": NOW_S - 0.5}
    both = {**session, **timed, "aud": ["fernweir-front", "other"], "tenant": "t1"}
    server = {**session, "aud": "fernweir-box", "front": "front-1", "attempt": 2, "rung": 1}
    server_with_all = {**server, **timed, "tenant": "t1", "channel": "c/1", "fence": 9}
    return [
        Sample("keys", "key-file", KEYS.encode()),
        Sample("session", "token-session", write_token(SessionClaims(**session))),
        Sample("session with all", "token-session", write_token(SessionClaims(**both))),
        Sample("server", "token-server", write_token(ServerClaims(**server))),
        Sample("server with all", "token-server", write_token(ServerClaims(**server_with_all))),
        Sample("control", "token-control",
               write_token(ControlClaims(**common, aud="fernweir-box", front="front-1", use="control"))),
    ]  # fmt: skip


# --- node ---


def node() -> list[Sample]:
    """Lines of viewers, messages of servers, the control feed, and a configuration."""
    lines = [
        Sample(f"bare {kind}", "node-line", encode_message(Message(kind, SESSION)))
        for kind in sorted(LINE_TYPES)
    ]
    full = Message("answer", SESSION, {"a": "é", "b": 2, "c": 0.5}, 200, "v=0\r\n")
    setup = {"class": "film", "key": "00000000000000ff", "left": 2500.5,
             "extras": "home:3;copies:2;top:1;viewer:00000000000000cc;again:1;at:server-2"}  # fmt: skip
    bare_setup = {"class": "film", "key": "00000000000000ff", "left": "2500", "extras": "home:0;copies:1"}
    parameters = {code: (b"\x07" if code is ParameterCode.CAUSE else b"0.5") for code in ParameterCode}
    parameters[ParameterCode.REPORT] = b"x0:0.25;x1:0.5"
    rates = {ParameterCode.RUNG: b"2"}
    return [
        *lines,
        Sample("full", "node-line", encode_message(full)),
        Sample("setup", "node-setup-line", encode_message(Message("setup", SESSION, setup, sdp="v=0"))),
        Sample(
            "bare setup", "node-setup-line", encode_message(Message("setup", SESSION, bare_setup, sdp="v=0"))
        ),
        *(
            Sample(f"bare {kind.value}", "node-frame", encode_frame(Frame(kind, SESSION)))
            for kind in FrameType
        ),
        Sample("full", "node-frame", encode_frame(Frame(FrameType.SETUP, SESSION, dict(parameters)))),
        Sample("rate", "node-frame", encode_frame(Frame(FrameType.RATE, SESSION, rates))),
        Sample(
            "parameters", "node-frame-fields", encode_frame(Frame(FrameType.NOTE, SESSION, dict(parameters)))
        ),
        Sample("no parameters", "node-frame-fields", encode_frame(Frame(FrameType.NOTE, SESSION))),
        Sample("feed", "node-feed", b"\n".join(feed_lines())),
        Sample("full", "node-config", json.dumps(node_config()).encode()),
        Sample("bare", "node-config", json.dumps(bare_node_config()).encode()),
        Sample("full", "node-platform", json.dumps(node_config()).encode()),
        Sample("bare", "node-platform", json.dumps(bare_node_config()).encode()),
    ]


def feed_lines() -> list[bytes]:
    """Events of the control feed: the whole list, a change, an event of another kind, and last numbers."""

    def endpoint(name: str, state: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name, "address": "127.0.0.1:90", "status": state, "since_ms": 1_799_999_990_000,
            "group": 3, "type": "large", "weight": 2.0, **more,
        }  # fmt: skip

    whole = {"index": 7, "snapshot": True, "endpoints": [endpoint("s1", "up"), endpoint("s2", "draining")]}
    change = {"index": 8, "endpoints": [endpoint("s2", "removed"), endpoint("s3", "up", type="small")]}
    events = [{"n": 1, "members": whole}, {"n": 2, "members": change}, {"n": 3, "other": {}}]
    return [*(json.dumps(one).encode() for one in events), b"3", json.dumps(events[2]).encode()]


def node_config() -> dict[str, Any]:
    """A configuration with every setting."""
    film = {"Name": "film", "Aim": 900, "Deadline": 3000, "Gain": 1, "Idempotency": "repeatable"}
    return {
        "name": "node-1", "listen": "127.0.0.1:7001", "seed": "ff01", "limits": {"sockets": 900},
        "feed": "127.0.0.1:7002",
        "known": {"n": 3, "events": [json.loads(line) for line in feed_lines()[:3]]},
        "settings": {
            "Categories": [film, {**film, "Name": "course", "Idempotency": "once"},
                           {**film, "Name": "talk", "Idempotency": "by_key"}],
            "Extra": {
                "RatesKb": [100, 200], "LevelWorth": [0.5, 1], "KindSlots": [20, 30], "WeightKb": 2000,
                "UplinkKb": 9000, "Cells": 8, "Groups": 2, "SwitchCostS": 0.5, "SeenAfter": 500, "Tell": 2000,
                "ClassScale": [1, 1.5, 2], "LowestRung": [0, 1, 0], "ClassTop": [1, 1, 0], "Seats": [0, 4, 5],
            },
            "Instances": 3, "Ordinal": 1, "Period": 10, "Discovery": "subscribe",
            "MachineTypes": ["small", "large"], "Feedback": {"Names": ["x0", "x1"], "Via": "header"},
            "Limits": {"AttemptsCap": 3, "RetryAfter": True, "MaxRetryAfter": 1500, "ConnectTimeout": 250,
                       "ConnIdle": 15000, "MayProbe": True},
            "Obligations": {
                "AnswerSlack": 40, "DrainGrace": 1000, "WarmUp": 8000, "ColdFrom": 0.5, "FallMultiple": 2.5,
                "Fall": 3000, "BudgetSpan": 10000, "FreeResends": 5, "ExtraShare": 0.1,
            },
        },
    }  # fmt: skip


def bare_node_config() -> dict[str, Any]:
    """A configuration with what has to be there."""
    body = node_config()
    settings = body["settings"]
    needed = ("RatesKb", "LevelWorth", "KindSlots", "WeightKb", "Cells", "Groups")
    body["settings"] = {
        "Categories": settings["Categories"][:1],
        "Extra": {key: settings["Extra"][key] for key in needed},
        "Instances": 1, "Ordinal": 0, "Period": 0, "MachineTypes": ["small"],
    }  # fmt: skip
    body["known"] = {"n": 0, "events": []}
    return body


# --- simulator's wire and records ---

ENTRY = i.Endpoint(11, i.ServerState.READY, 900.0, 3, 1, 2.5)
VIEWER = i.Viewer(1, 1, 2**63 + 1, 2**63 + 5, 3, 4, 2, 5000.5, 2500.0, True, True)
SETTINGS = i.Settings(
    classes=tuple(
        i.SessionClass(name, 900.0, 3000.0, 2.0, effect, 1.5, 1, 2, 40)
        for name, effect in zip(("film", "course", "talk"), i.Idempotency, strict=True)
    ),
    front_count=3,
    front_index=1,
    batch_period_ms=10.0,
    zone_count=8,
    rack_count=2,
    rung_rates_kbyte_s=(100.0, 200.0, 400.0),
    rung_utilities=(0.25, 0.5, 1.0),
    streams_by_server_type=(20, 30),
    link_rate_per_weight_kbyte_s=2000.0,
    uplink_rate_kbyte_s=9000.0,
    switch_cost_s=0.5,
    report_delay_ms=500.0,
    report_interval_ms=2000.0,
    report_fields=("x0", "x1"),
    must_subscribe=True,
    may_check_health=True,
    max_attempts=3,
    max_retry_after_ms=1500.0,
    reply_slack_ms=40.0,
    drain_grace_ms=1000.0,
    slow_start=i.SlowStart(8000.0, 0.5, 2.5, 3000.0),
    retry_budget=i.RetryBudget(10_000.0, 5.0, 0.1),
)
EVENTS: list[i.Event] = [
    *(i.EndpointListUpdate(kind, 7, (ENTRY,)) for kind in i.EndpointListKind),
    *(
        i.EndpointListUpdate(i.EndpointListKind.DELTA, 8, (replace(ENTRY, state=state),))
        for state in i.ServerState
    ),
    i.Arrival(VIEWER),
    i.Arrival(replace(VIEWER, length_ms=None, was_moved=False, is_returning=False)),
    i.SessionRecovered(VIEWER, 11),
    i.AttemptSucceeded(1, 11, 2, 120.5),
    *(i.AttemptEnded(1, 11, 2, result, True, 130.5, (0.25, 0.5)) for result in i.Result),
    i.AttemptEnded(1, 11, 2, i.Result.OK, False, 130.5, ()),
    i.ClientDisconnected(1),
    *(i.ServerNotice(1, 11, 2, kind, 0.5) for kind in i.NoticeKind),
    i.TimerFired(9),
    *(i.HealthCheckEnded(11, result, 12.5, (0.25,)) for result in i.Result),
    i.FrontMessage(3, b"\x00\xff"),
]
ACTIONS: list[i.Action] = [
    i.Place(1, 11, 450.0), i.SetRung(1, 2), i.Migrate(1), i.Reject(1, 750.5), i.Fail(1), i.SetTimer(9, 250.0),
    i.CheckHealth(11), i.Subscribe(True), i.Subscribe(False), i.Log("server 11 é"),
]  # fmt: skip


def simulator_wire() -> list[Sample]:
    """Frames of every event code, settings texts, and every action."""
    frames = []
    for name, records in event_records().items():
        body = b"".join(records)
        frame = HEADER.pack(len(records), 12 + len(body), 1234.5, 6) + body
        frames.append(Sample(name, "wire-frame", frame))
    needed = [
        line
        for line in WIRE_SETTINGS.splitlines()
        if not line.startswith(("Obligations.", "Limits.", "Feedback."))
    ]
    by_key = WIRE_SETTINGS.replace("=once", "=by_key")
    settings = {"full": WIRE_SETTINGS, "by key": by_key, "needed": "\n".join(needed)}
    return [
        *frames,
        *(Sample(name, "wire-settings", text.format(ordinal=1).encode()) for name, text in settings.items()),
        *(Sample(f"action {number}", "wire-action", value=plain(one)) for number, one in enumerate(ACTIONS)),
        Sample("fault", "wire-fault", value="ValueError: é"),
        Sample("reply", "wire-reply", value=[[1, "4d01"], [2, ""], [3, "4e01"]]),
    ]


def record_values() -> list[Sample]:
    """Every type of a front's record, as it stands there."""
    bare = replace(
        SETTINGS,
        classes=(),
        uplink_rate_kbyte_s=None,
        max_attempts=None,
        max_retry_after_ms=None,
        drain_grace_ms=None,
        slow_start=None,
        retry_budget=None,
        report_fields=(),
        streams_by_server_type=(),
    )
    values = [SETTINGS, bare, *EVENTS, *ACTIONS]
    return [
        Sample(f"value {number}", "record-value", write_record_value(one))
        for number, one in enumerate(values)
    ]


# --- audit traces ---


def audit() -> list[Sample]:
    """A record of every kind with all fields, and one with only those that have to be there."""
    found = []
    for kind in get_args(get_args(AnyRecord)[0]):
        found.append(Sample(f"full {word_of(kind)}", "trace-record", trace_record(kind, True)))
        found.append(Sample(f"bare {word_of(kind)}", "trace-record", trace_record(kind, False)))
    return found


def word_of(kind: type[BaseModel]) -> str:
    """The stored word of a kind of record."""
    return str(get_args(kind.model_fields["kind"].annotation)[0])


def trace_record(kind: type[BaseModel], full: bool) -> bytes:
    """A record with made-up values."""
    document = {
        name: example(name, one.annotation, full)
        for name, one in kind.model_fields.items()
        if full or one.is_required()
    }
    return json.dumps(document, separators=(",", ":")).encode()


def example(name: str, hint: Any, full: bool) -> Any:
    """A made-up value of a field's type."""
    options = get_args(hint)
    if isinstance(hint, type) and issubclass(hint, BaseModel):
        return {key: example(key, one.annotation, full) for key, one in hint.model_fields.items()}
    if type(None) in options:
        return example(name, next(one for one in options if one is not type(None)), full) if full else None
    if options and hint.__class__.__name__ == "_LiteralGenericAlias":
        return options[0]
    if getattr(hint, "__origin__", None) is list:
        return [example(name, options[0], full)] if full else []
    made = {str: f"{name}-1", bool: True, int: 4, float: 1.5}
    return made[options[0] if options else hint]


# --- HTTP, DASH ---


def http() -> list[Sample]:
    """Messages, event streams, problems and documents."""
    requests = (
        b"POST /a/b?c=d HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n\r\n"
        b"GET / HTTP/1.0\r\n\r\nGET / HTTP/1.1\r\nhost: h\r\n\r\nBAD\r\n\r\n"
    )
    response = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\nretry-after: 2\r\n\r\nabc"
    until_close = b"HTTP/1.0 503 Busy now\r\n\r\nabc"
    title = Title("Lesson é & <1>", 3725.5, 4.0, (500_000, 900_000))
    document = build_mpd(title).write()
    headers = [["authorization", "Bearer T"], ["x", "y z"]]
    return [
        Sample("requests", "http-requests", requests),
        Sample("response", "http-response", response),
        Sample("until close", "http-response", until_close),
        Sample("get", "http-request-bytes", value=["GET", "/x", "h:1", headers, ""]),
        Sample("post", "http-request-bytes", value=["POST", "/x", "h:1", [], "body é"]),
        Sample("delete", "http-request-bytes", value=["DELETE", "/x", "h:1", [], ""]),
        *(Sample(f"head {status}", "http-head-bytes", value=[status, headers]) for status in
          (100, 200, 204, 303, 400, 401, 403, 404, 409, 410, 413, 429, 431, 500, 502, 503, 504, 599)),
        Sample("problem", "http-problem", value=[503, "full", "urn:x", [["retry", 2], ["left-out", None]]]),
        Sample("plain problem", "http-problem", value=[400, "bad", "about:blank", []]),
        Sample("event", "sse-event", encode_event("one\ntwo", "news", "e:1")),
        Sample("event without a name", "sse-event", encode_event("x", "message", "")),
        Sample("stream", "sse-stream", b":\n\nretry: 500\nid: 7\ndata: a\rdata: b\r\n\r\nevent: e\ndata\n\n"),
        Sample("built", "dash-built", value=plain(title)),
        Sample("document", "dash-document", document),
        Sample("rewritten", "dash-rewritten", document),
    ]  # fmt: skip


# --- entitlement ---


def entitlement() -> list[Sample]:
    """Requests to an entitlement server and its answers."""
    seat = seats.SeatRecord("s1", 2, "t1", "l1", "film", "ann", 1.5, "lease/1", 7, 9.0, 1_800_000_000.1234)
    lease = '{"lease":"lease-1","fence":3,"expires_in_ms":5000.5}'
    replies: list[Any] = [[op.value, "answered", 200, [], lease] for op in Operation]
    replies += [[Operation.ACQUIRE.value, "answered", status, [["retry-after", "2"]], ""] for status in
                (200, 204, 403, 404, 409, 410, 412, 500, 503)]  # fmt: skip
    replies += [
        [Operation.RENEW.value, outcome.value, 0, [], ""]
        for outcome in Outcome
        if outcome.value != "answered"
    ]
    active = {
        "active": True,
        "exp": NOW_S + 30,
        "sub": "ann",
        "jti": "s1",
        "title": "l1",
        "cls": "film",
        "top": 2,
    }
    leases = [{"lease": "lease-1", "key": "front-1.s1.2", "session": "s1", "fence": 3}]
    places = [{"tenant": "t1", "lesson": "l1", "class": "film", "used": 4}]
    page = {"fence": 9, "total": 1, "leases": leases, "places": places, "next": "k2"}
    return [
        Sample("requests", "lease-requests", value=[[op.value, plain(seat)] for op in Operation]),
        Sample("replies", "lease-replies", json.dumps(replies).encode()),
        Sample("lease", "lease-answer", lease.encode()),
        Sample("active", "introspection", json.dumps(active).encode()),
        Sample("active without end", "introspection", b'{"active":true}'),
        Sample("lapsed", "introspection", b'{"active":true,"exp":5}'),
        Sample("inactive", "introspection", b'{"active":false}'),
        Sample("page", "use-page", json.dumps(page).encode()),
        Sample("bare page", "use-page", b'{"fence":0,"total":0,"leases":[]}'),
    ]
