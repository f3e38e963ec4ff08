"""How stored samples are read and written, and the stable names of what they hold.

A sample's bytes are read by the code and turned into a plain value: a dataclass or a model becomes its stable
name and its fields' values in their order, an enum member its value. So the samples know no identifier of the
code. `TYPES` maps stable names to today's classes; it is what a renaming edits, and the stable names stay.
"""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any, cast, get_type_hints

import orjson
from click.testing import CliRunner
from pydantic import BaseModel, TypeAdapter

from fernweir import interface, wire
from fernweir.appliance import backup
from fernweir.appliance import layout as unit_layout
from fernweir.audit import records as audit
from fernweir.cli.main import main as command_line
from fernweir.control import messages as control
from fernweir.control import orders as operators
from fernweir.control.channel import ControlServer, snapshot_lines
from fernweir.control.desk import KIND, OrderService, OrderServiceSettings, load_orders
from fernweir.control.follow import Follower
from fernweir.control.statefile import write_state
from fernweir.dash.build import Title, build_mpd
from fernweir.dash.mpd import read_mpd
from fernweir.entitlement import client as leases
from fernweir.entitlement import introspect
from fernweir.front import endpoint_list, introspection, seat_reconciliation
from fernweir.front.record import from_plain, to_plain
from fernweir.http import client as http_client
from fernweir.http import parse as http
from fernweir.http import sse
from fernweir.http.headers import Headers
from fernweir.http.problem import problem
from fernweir.http.server import encode_head
from fernweir.journal import state_projection
from fernweir.journal.disk import JournalFolder
from fernweir.journal.events import Entry, EventKind, from_row, to_row
from fernweir.journal.segment import decode_segment
from fernweir.journal.store import Journal
from fernweir.node import config as node_config
from fernweir.node import frames, jsonl
from fernweir.node import peering as node_peering
from fernweir.node.endpoint_feed import EndpointFeed
from fernweir.node.set_up_parser import SetUpParser
from fernweir.seats import messages
from fernweir.seats import records as seat_records
from fernweir.seats.log import RecoveredLog, SeatLog, recover_log
from fernweir.seats.memory_file_store import MemoryFileStore
from fernweir.tokens import claims
from fernweir.tokens.keyring import Keyring

KEYS = (
    '{"keys":[{"kty":"oct","kid":"k1","alg":"HS256","k":"MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY"},'
    '{"kty":"oct","kid":"k2","alg":"HS256","k":"ZmVkY2JhOTg3NjU0MzIxMGZlZGNiYTk4NzY1NDMyMTA"}]}'
)
NOW_S = 1_800_000_000.0

TYPES: dict[str, type] = {
    # Settings, events and actions of the controller.
    "settings": interface.Settings,
    "session-class": interface.SessionClass,
    "retry-budget": interface.RetryBudget,
    "slow-start": interface.SlowStart,
    "server-entry": interface.Endpoint,
    "list-update": interface.EndpointListUpdate,
    "viewer": interface.Viewer,
    "arrival": interface.Arrival,
    "taken-over": interface.SessionRecovered,
    "started": interface.AttemptSucceeded,
    "ended": interface.AttemptEnded,
    "abandoned": interface.ClientDisconnected,
    "note": interface.ServerNotice,
    "timer-fired": interface.TimerFired,
    "probed": interface.HealthCheckEnded,
    "front-message": interface.FrontMessage,
    "place": interface.Place,
    "set-rung": interface.SetRung,
    "move": interface.Migrate,
    "refuse": interface.Reject,
    "fail": interface.Fail,
    "timer": interface.SetTimer,
    "probe": interface.CheckHealth,
    "subscribe": interface.Subscribe,
    "log": interface.Log,
    # The simulator's wire.
    "configure": wire.Configure,
    "killed": wire.FrontTerminated,
    "batch": wire.Batch,
    # The node's protocols and configuration.
    "node-line": jsonl.Message,
    "node-frame": frames.Frame,
    "node-config": node_config.NodeConfig,
    # The journal and its state projection.
    "journal-entry": Entry,
    "picture": state_projection.StateProjection,
    "picture-session": state_projection.SessionRow,
    "picture-server": state_projection.ServerRow,
    # The seat log.
    "seat": seat_records.SeatRecord,
    "recovered-log": RecoveredLog,
    # Operators' orders.
    "order": operators.Order,
    # The control socket.
    "control-hello": control.Hello,
    "control-sessions": control.ListSessions,
    "control-servers": control.ListServers,
    "control-why": control.ExplainSession,
    "control-events": control.SearchEvents,
    "control-plain": control.SimpleRequest,
    "control-watch": control.WatchEntries,
    "control-change": control.ChangeOrders,
    "control-retry": control.RetryProcess,
    "control-orders": control.ReplaceOrders,
    "control-ask-fleet": control.QueryFleet,
    # The server list.
    "list-document": endpoint_list.ListDocument,
    "list-server": endpoint_list.ServerEntry,
    "list-title": endpoint_list.TitleEntry,
    # Tokens.
    "claims-session": claims.SessionClaims,
    "claims-server": claims.ServerClaims,
    "claims-control": claims.ControlClaims,
    # HTTP and DASH.
    "http-request": http.RequestHead,
    "http-response": http.ResponseHead,
    "http-data": http.Data,
    "http-end": http.End,
    "http-fault": http.Fault,
    "sse-event": sse.ServerEvent,
    "dash-title": Title,
    # The entitlement server.
    "lease-answer": leases.LeaseDocument,
    "lease-reply": messages.LeaseResponse,
    "introspection": introspection.Introspection,
    "introspection-told": introspect.IntrospectionResult,
    "use-page": seat_reconciliation.UsePage,
    "use-lease": seat_reconciliation.UseLease,
    "use-place": seat_reconciliation.UsePlace,
    # Audit traces.
    "trace-terms": audit.Terms,
    "trace-class": audit.TermsClass,
    "trace-budget": audit.TermsBudget,
    "trace-slow-start": audit.TermsCold,
    "trace-front-up": audit.FrontUp,
    "trace-front-down": audit.FrontDown,
    "trace-front-term": audit.FrontTerm,
    "trace-front-stop": audit.FrontStop,
    "trace-front-cont": audit.FrontCont,
    "trace-fleet-shutout": audit.FleetShutOut,
    "trace-fleet-back": audit.FleetBack,
    "trace-viewer-ask": audit.ViewerAsk,
    "trace-viewer-answer": audit.ViewerAnswer,
    "trace-viewer-cut": audit.ViewerCut,
    "trace-viewer-left": audit.ViewerLeft,
    "trace-server-start": audit.BoxStart,
    "trace-server-stop": audit.BoxStop,
    "trace-server-setup": audit.BoxSetup,
    "trace-server-runs": audit.BoxRuns,
    "trace-server-answer": audit.BoxAnswer,
    "trace-server-closed": audit.BoxClosed,
    "trace-server-end": audit.BoxEnd,
    "trace-server-rung": audit.BoxRung,
    "trace-server-segment": audit.BoxSegment,
    "trace-server-claim": audit.BoxClaim,
    "trace-server-steer": audit.BoxSteer,
    "trace-list-told": audit.ListTold,
    "trace-seat-taken": audit.SeatTaken,
    "trace-seat-freed": audit.SeatFreed,
    "trace-remark": audit.Remark,
}
NAMES = {kind: name for name, kind in TYPES.items()}


def plain(value: Any) -> Any:
    """A value as JSON has it, without any identifier of the code."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, BaseModel):
        values = [plain(getattr(value, name)) for name in type(value).model_fields]
        extra = [plain(value.model_extra)] if value.model_extra else []
        return {"type": NAMES[type(value)], "fields": values + extra}
    if is_dataclass(value) and not isinstance(value, type):
        return {
            "type": NAMES[type(value)],
            "fields": [plain(getattr(value, one.name)) for one in fields(value)],
        }
    if isinstance(value, Headers):
        return [list(line) for line in value]
    if isinstance(value, Mapping):
        return {"map": [[plain(key), plain(one)] for key, one in value.items()]}
    if isinstance(value, frozenset | set):
        return sorted(plain(one) for one in value)
    if isinstance(value, list | tuple):
        return [plain(one) for one in value]
    return {"hex": value.hex()} if isinstance(value, bytes) else value


def build(described: Any, hint: Any = None) -> Any:
    """The live value of what `plain` gave, for formats that the code only writes."""
    if isinstance(described, dict) and "type" in described:
        kind = TYPES[described["type"]]
        hints = get_type_hints(kind)
        values = [
            build(one, hints[field.name])
            for one, field in zip(described["fields"], fields(cast(Any, kind)), strict=True)
        ]
        return kind(*values)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return hint(described)
    if isinstance(described, list):
        return tuple(build(one) for one in described)
    return described


@dataclass(frozen=True, slots=True)
class Format:
    """One kind of stored bytes.

    Attributes:
        read: From bytes to a value of the code, or None if the code only writes the format.
        write: From that value to bytes, or None if the code only reads the format, or if its bytes are not
            the same twice (compressed ones, of another library's version).
    """

    read: Callable[[bytes], Any] | None
    write: Callable[[Any], bytes] | None = None


def pack_files(files: Mapping[str, bytes]) -> bytes:
    """The files of a folder as one sample."""
    return json.dumps({name: files[name].hex() for name in sorted(files)}).encode()


def unpack_files(data: bytes) -> dict[str, bytes]:
    """What `pack_files` packed."""
    return {name: bytes.fromhex(text) for name, text in json.loads(data).items()}


def read_folder(folder: Path) -> dict[str, bytes]:
    """All files of a folder, by their name."""
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


def write_folder(folder: Path, files: Mapping[str, bytes]) -> None:
    """Lays files into a folder."""
    for name, data in files.items():
        (folder / name).write_bytes(data)


# --- journal ---


def read_journal_folder(data: bytes) -> Any:
    """The id, the entries of each sealed segment, and the entries after them."""
    with tempfile.TemporaryDirectory() as name:
        write_folder(Path(name), unpack_files(data))
        folder = JournalFolder(Path(name))
        id, sealed, tail = folder.open()
        segments = [
            [first, last, [from_row(row) for row in decode_segment(folder.read_segment(handle))]]
            for first, last, handle in sealed
        ]
        notes = list(folder.problems)
        folder.close()
    return [id, segments, tail, notes]


def write_journal_folder(segments: list[tuple[int, int, bytes]], tail: list[Entry], id: str) -> bytes:
    """The files of a journal with these segments, already packed, and these entries after them."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name)
        (path / "id").write_text(id)
        folder = JournalFolder(path)
        folder.open()
        for first, last, data in segments:
            folder.append_segment(first, last, data)
        for entry in tail:
            folder.append_row(entry)
        folder.close()
        return pack_files(read_folder(path))


def rewrite_journal_folder(data: bytes) -> bytes:
    """The journal folder again, through the code's reader and writer; packed segments stay as they are."""
    with tempfile.TemporaryDirectory() as name:
        write_folder(Path(name), unpack_files(data))
        folder = JournalFolder(Path(name))
        id, sealed, tail = folder.open()
        segments = [(first, last, folder.read_segment(handle)) for first, last, handle in sealed]
        folder.close()
    return write_journal_folder(segments, tail, id)


def read_picture(data: bytes) -> state_projection.StateProjection:
    """A state projection as it crosses the control socket."""
    return state_projection.StateProjection.from_plain(orjson.loads(data))


def write_picture(value: state_projection.StateProjection) -> bytes:
    """The same bytes as the control socket's."""
    return orjson.dumps(value.to_plain(), option=orjson.OPT_NON_STR_KEYS)


def fold_entries(data: bytes) -> state_projection.StateProjection:
    """The state projection after journal rows, one a line."""
    folded = state_projection.StateProjection()
    for line in data.splitlines():
        folded.apply(from_row(orjson.loads(line)))
    return folded


def read_snapshot(data: bytes) -> state_projection.StateProjection | None:
    """What a watcher shows after these lines of the control socket."""
    follower = Follower()
    for line in data.splitlines():
        follower.handle_message(orjson.loads(line))
    return follower.projection


def write_snapshot(value: state_projection.StateProjection) -> bytes:
    """The lines of a snapshot."""
    return b"".join(snapshot_lines(value))


# --- seat log ---

OTHER_SEAT = seat_records.SeatRecord("s1", 3, "t", "l", "c", "p", 1.5)


def read_seat_record(data: bytes) -> list[seat_records.SeatRecord]:
    """The table that a record makes of one with a single seat in it."""
    table = {OTHER_SEAT.session_id: OTHER_SEAT}
    seat_records.apply_record(table, data)
    return list(table.values())


def read_seat_log(data: bytes) -> Any:
    """What recovery finds, and the folded table."""
    files = MemoryFileStore()
    for name, content in unpack_files(data).items():
        files.replace(name, content)
    found = recover_log(files)
    return [found, list(seat_records.rebuild_table(found.snapshot, found.records).values())]


def opened_seat_log(data: bytes) -> bytes:
    """The files of a seat log after it was opened: a torn tail is cut off."""
    files = MemoryFileStore()
    for name, content in unpack_files(data).items():
        files.replace(name, content)
    SeatLog(files).open()
    return pack_files({name: files.read(name) for name in files.list_names()})


def write_seat_log(snapshot: bytes | None, last: int, batches: list[list[bytes]]) -> bytes:
    """The files of a seat log that took a snapshot and then these batches, each committed at once."""
    files = MemoryFileStore()
    log = SeatLog(files)
    log.open()
    if snapshot is not None:
        for _ in range(last):
            log.append(b'["gone","nobody"]')
        log.commit()
        log.write_snapshot(snapshot)
    for batch in batches:
        for body in batch:
            log.append(body)
        log.commit()
    return pack_files({name: files.read(name) for name in files.list_names()})


def rewrite_seat_log(data: bytes) -> bytes:
    """The seat log again, through recovery and the writer."""
    files = MemoryFileStore()
    for name, content in unpack_files(data).items():
        files.replace(name, content)
    found = recover_log(files)
    bodies = [body for _, body in found.records]
    return write_seat_log(found.snapshot, found.last_sequence - len(bodies), [bodies])


# --- operators ---


def read_orders(data: bytes) -> Any:
    """The operators' orders in a state file."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "orders.json"
        path.write_bytes(data)
        return load_orders(path)


def plain_orders(value: operators.Orders) -> Any:
    """Orders as positional lists; undo records are listed as their file has them."""
    return [
        value.version,
        plain(value.drains),
        plain(value.holds),
        plain(value.caps),
        plain(value.waiting),
        plain(value.answered),
        plain(value.to_plain()["undo"]),
    ]


def write_orders(value: operators.Orders) -> bytes:
    """The operators' state file."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "orders.json"
        write_state(path, KIND, value.to_plain())
        return path.read_bytes()


def read_unit_format(data: bytes) -> int:
    """The format number that a unit's folder is marked with."""
    with tempfile.TemporaryDirectory() as name:
        layout = unit_layout.Layout(Path(name))
        layout.state.mkdir()
        layout.format.write_bytes(data)
        return unit_layout.read_format(layout)


def write_unit_format(value: int) -> bytes:
    """The mark of this format."""
    with tempfile.TemporaryDirectory() as name:
        layout = unit_layout.Layout(Path(name))
        unit_layout.write_format(layout)
        return layout.format.read_bytes()


def read_backup(data: bytes) -> Any:
    """The manifest and the files of a unit's backup, whose checksums hold."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "unit.backup"
        path.write_bytes(data)
        manifest, files = backup.check(path)
    return [manifest, files]


def dumped_ledger(data: bytes) -> list[str]:
    """The lines of `fernweir ledger dump` for the files of a seat log."""
    with tempfile.TemporaryDirectory() as name:
        write_folder(Path(name), unpack_files(data))
        done = CliRunner().invoke(command_line, ["ledger", "dump", name])
    return [str(done.exit_code), *done.output.splitlines()]


class FixedSite:
    """What an order desk can do at a front and see of it, for the control conversation."""

    def now(self) -> float:
        """A clock that stands still."""
        return 5_000.0

    def wall_time_ms(self) -> int:
        """A wall clock that stands still."""
        return int(NOW_S * 1000)

    def request_site(self, then: Callable[[operators.SiteSnapshot], None]) -> None:
        """A site of three servers with one title left on the last."""
        listed = frozenset((1, 2, 3))
        loads = {1: 100.0, 2: 200.0, 3: 300.0}
        then(
            operators.SiteSnapshot(
                listed, listed, {"l1": [1, 2], "l2": [3]}, {1: 2}, loads, dict.fromkeys(listed, 1000.0),
                frozenset(("s1",)), {1: 50.0},
            )
        )  # fmt: skip

    def apply_orders(self, orders: operators.Orders, then: Callable[[list[str]], None]) -> None:
        """Says that one front didn't answer."""
        then(["front-9"])

    def end_session(self, id: str, session: str, why: str) -> None:
        """Ends nothing."""

    def limits(self) -> Mapping[str, Any]:
        """Made-up limits."""
        return {"attempts": 3}

    def gauges(self) -> dict[str, Any]:
        """Made-up gauges."""
        return {"boxes": {"1": [0.5, 0.25]}}

    def unit(self) -> Mapping[str, Any]:
        """Made-up processes."""
        return {"name": "unit"}

    def retry_process(self, name: str) -> bool:
        """Only one process can be started again."""
        return name == "front-1"

    def call_at(self, due: float, do: Callable[[], None]) -> None:
        """Calls nothing."""


def converse(data: bytes) -> list[str]:
    """The control socket's answers to the lines of one client, with the process id replaced."""

    async def main() -> list[str]:
        journal = Journal("front-1", wall_offset_ms=NOW_S * 1000.0)
        journal.id = "0123456789abcdef"
        desk = OrderService(
            "front-1", journal, operators.Orders(), FixedSite(), OrderServiceSettings(["ann"]), None
        )
        desk.start()
        started = {"title": "l1", "cls": "film", "tenant": "t1", "server": 1, "attempt": 0, "rung": 2}
        journal.add(10.0, EventKind.SERVER, server=1, why="ready", more={"start": "7"})
        journal.add(20.0, EventKind.REQUESTED, session="s1", title="l1", cls="film", tenant="t1")
        journal.add(30.0, EventKind.SETUP, session="s1", why="least loaded", **started)
        journal.add(40.0, EventKind.STARTED, session="s1", **started)
        with tempfile.TemporaryDirectory() as name:
            channel = ControlServer(desk, Path(name) / "s", gauges_s=3600.0)
            await channel.listen()
            reader, writer = await asyncio.open_unix_connection(str(Path(name) / "s"))
            writer.write(data + b'\n{"id":"last","do":"limits"}\n')
            lines = await answers_to(reader)
            writer.close()
            channel.close()
        return [line.replace(f'"pid":{os.getpid()}', '"pid":0') for line in lines]

    return asyncio.run(main())


async def answers_to(reader: asyncio.StreamReader) -> list[str]:
    """The lines up to the answer to the last question, or to the end of the connection."""
    lines = []
    async with asyncio.timeout(5.0):
        while (line := await reader.readline()) and b'"id":"last"' not in line:
            lines.append(line.decode().rstrip("\n"))
    return lines


def read_control_message(data: bytes) -> Any:
    """A client's line after its greeting."""
    return control.RequestEnvelope.model_validate({"ask": orjson.loads(data)}).ask


def write_model(value: BaseModel) -> bytes:
    """A model's JSON with the fields that were set."""
    return orjson.dumps(value.model_dump(by_alias=True, exclude_unset=True))


# --- lists ---


def read_list_cache(data: bytes) -> endpoint_list.EndpointList:
    """A stored copy of the server list."""
    held = endpoint_list.EndpointList(interface_settings())
    held.apply_full(50_000.0, endpoint_list.read_document(data), cached=True)
    return held


def interface_settings() -> interface.Settings:
    """Settings with enough cells for the samples of lists."""
    text = (
        "Categories.count=1\nCategories.0.Name=film\nCategories.0.Aim=900\nCategories.0.Deadline=3000\n"
        "Categories.0.Gain=1\nCategories.0.Idempotency=repeatable\nExtra.RatesKb=100,200\n"
        "Extra.LevelWorth=0.5,1\nExtra.KindSlots=20,30\nExtra.WeightKb=2000\nExtra.Cells=8\n"
        "Extra.Groups=2\nInstances=1\nOrdinal=0\nPeriod=10\n"
    )
    return wire.parse_settings(text.encode())


# --- tokens ---


def token_reader(kind: type[claims.Claims], audience: str) -> Callable[[bytes], claims.Claims]:
    """Verifies a token with the fixed keys at the fixed time."""
    return lambda data: Keyring.from_json(KEYS).verify(data.decode(), kind, audience=audience, now_s=NOW_S)


def write_token(value: claims.Claims) -> bytes:
    """Signs claims with the first of the fixed keys."""
    return Keyring.from_json(KEYS).sign(value).encode()


def read_keys(data: bytes) -> Any:
    """The ids and thumbprints of a key file."""
    ring = Keyring.from_json(data.decode())
    return [ring.key_ids, ring.sign_with, ring.thumbprints()]


# --- node ---


def read_frame(data: bytes) -> frames.Frame:
    """One binary message of the node."""
    (frame,) = frames.FrameReader().feed(data)
    return frame


def read_frame_fields(data: bytes) -> Any:
    """What the node takes out of a binary message by the names of its parameters."""
    frame = read_frame(data)
    return [
        frame.cause,
        frame.load_report(),
        *(frame.parameters.get(code, b"") for code in frames.ParameterCode),
    ]


def read_setup_line(data: bytes) -> Any:
    """A viewer's set-up line as a request, in the order of its fields here."""
    ask, at = SetUpParser(interface_settings()).parse(jsonl.decode_message(data), 7)
    return [
        ask.ticket,
        ask.protocol,
        ask.session_id,
        ask.subject,
        ask.title_name,
        ask.title,
        ask.first_zone,
        ask.replicas,
        ask.class_index,
        ask.top_rung,
        ask.max_wait_ms,
        ask.tenant,
        ask.viewer_key,
        ask.is_returning,
        ask.body,
        at,
    ]


def read_feed(data: bytes) -> Any:
    """What a node learns from the lines of the control feed."""
    feed = EndpointFeed(("small", "large"), NOW_S * 1000.0 - 1_000_000.0)
    updates = [feed.apply_line(line) for line in data.splitlines()]
    return [updates, feed.last_sequence_number, feed.addresses, feed.names, feed.status_since_ms]


def read_node_config(data: bytes) -> Any:
    """A node's configuration file."""
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "node.json"
        path.write_bytes(data)
        return node_config.load_config({"ROUTER_CONFIG": str(path)})


def read_platform(data: bytes) -> dict[str, str]:
    """What nodes tell one another of their settings: it crosses the peers' wire, and is compared as text."""
    return node_peering._platform_settings(read_node_config(data))


# --- simulator's wire, records, HTTP ---


def read_wire_frame(data: bytes) -> wire.Batch:
    """One frame of the simulator's wire."""
    records, _, now_ms, number = wire.HEADER.unpack_from(data)
    return wire.Decoder().decode(records, now_ms, number, data[wire.HEADER.size :])


def write_record_value(value: Any) -> bytes:
    """A value as it stands in a front's record."""
    return json.dumps(to_plain(value), separators=(",", ":")).encode()


def read_events(data: bytes) -> Any:
    """The events of a server-sent stream, its last id and its pause."""
    reader = sse.EventReader()
    return [reader.feed(data), reader.last_id, reader.retry_ms]


def write_events(value: Any) -> bytes:
    """The first event of a stream again."""
    event = value[0][0]
    return sse.encode_event(event.data, event.event, event.id)


def read_response(data: bytes) -> Any:
    """The parser's events of one response to a GET, at the end of its connection."""
    parser = http.ResponseParser(http.Limits())
    parser.expect("GET")
    return parser.feed(data) + parser.eof()


def read_lease_reply(data: bytes) -> Any:
    """What replies of the entitlement server mean: a list of operation, outcome, status, headers, body."""
    found = []
    for op, outcome, status, headers, body in json.loads(data):
        reply = http_client.Reply(
            http_client.Outcome(outcome), status, Headers([(a, b) for a, b in headers]), body.encode()
        )
        found.append(leases.parse_reply(messages.Operation(op), reply))
    return found


def read_introspection(data: bytes) -> Any:
    """What an introspection answer says, as parsed and as judged at the fixed time."""
    reply = http_client.Reply(http_client.Outcome.ANSWERED, 200, body=data)
    parsed = introspection.Introspection.model_validate_json(data)
    return [parsed, introspection.read_introspection(reply, NOW_S)]


def write_lease_requests(value: Any) -> bytes:
    """The requests of the lease client: method, target, headers, body and time-out of each."""
    sent: list[Any] = []

    class Recorder:
        """Takes what would go to a connection pool."""

        def request(self, origin: Any, method: str, target: str, done: Any, **more: Any) -> None:
            """Notes a request."""
            sent.append(
                [list(origin), method, target, more["headers"], more["body"].decode(), more["timeout_s"]]
            )

    client = leases.EntitlementClient(cast(Any, Recorder()), "http://seats:81/v1", "front-1", lambda: "TOKEN")
    for number, (op, seat) in enumerate(value, 1):
        client.send(
            messages.SendLeaseRequest(number, messages.Operation(op), build(seat), f"s1.{number}", 250.0),
            lambda told: None,
        )
    return json.dumps(sent).encode()


def read_manifest(data: bytes) -> Any:
    """What is read of a DASH document."""
    mpd = read_mpd(data)
    return [
        mpd.title,
        mpd.locations,
        [
            [[rep.id, rep.bandwidth] for rep in group.representations]
            for period in mpd.periods
            for group in period.sets
        ],
    ]


_TRACE: TypeAdapter[Any] = TypeAdapter(audit.AnyRecord)

FORMATS: dict[str, Format] = {
    "journal-row": Format(lambda data: from_row(orjson.loads(data)), lambda one: orjson.dumps(to_row(one))),
    "journal-segment": Format(lambda data: [from_row(row) for row in decode_segment(data)]),
    "journal-folder": Format(read_journal_folder),
    "journal-folded": Format(fold_entries),
    "picture": Format(read_picture, write_picture),
    "picture-snapshot": Format(read_snapshot, write_snapshot),
    "seat-asked": Format(lambda data: read_seat_record(data)[-1], seat_records.encode_requested),
    "seat-held": Format(
        lambda data: read_seat_record(data)[0],
        lambda one: seat_records.encode_granted(one.session_id, one.lease_id, one.fence, one.expires_at_s),
    ),
    "seat-gone": Format(read_seat_record, lambda left: seat_records.encode_removed(OTHER_SEAT.session_id)),
    "seat-table": Format(
        lambda data: list(seat_records.decode_table(data).values()),
        lambda seats: seat_records.encode_table({one.session_id: one for one in seats}),
    ),
    "seat-log": Format(read_seat_log),
    "seat-log-torn": Format(lambda data: [read_seat_log(data), opened_seat_log(data).decode()]),
    "ledger-dump": Format(dumped_ledger),
    "unit-backup": Format(read_backup),
    "orders-file": Format(read_orders, write_orders),
    "orders-file-1": Format(read_orders),
    "unit-format": Format(read_unit_format, write_unit_format),
    "control-hello": Format(control.Hello.model_validate_json, write_model),
    "control-message": Format(read_control_message, write_model),
    "control-conversation": Format(converse),
    "list-document": Format(endpoint_list.read_document),
    "list-cache": Format(read_list_cache, lambda held: held.to_cache()),
    "key-file": Format(read_keys),
    "token-session": Format(token_reader(claims.SessionClaims, "fernweir-front"), write_token),
    "token-server": Format(token_reader(claims.ServerClaims, "fernweir-box"), write_token),
    "token-control": Format(token_reader(claims.ControlClaims, "fernweir-box"), write_token),
    "node-line": Format(jsonl.decode_message, jsonl.encode_message),
    "node-setup-line": Format(read_setup_line),
    "node-frame": Format(read_frame, frames.encode_frame),
    "node-frame-fields": Format(read_frame_fields),
    "node-feed": Format(read_feed),
    "node-config": Format(read_node_config),
    "node-platform": Format(read_platform),
    "wire-frame": Format(read_wire_frame),
    "wire-settings": Format(wire.parse_settings),
    "wire-action": Format(None, lambda one: wire.encode_action(build(one))),
    "wire-fault": Format(None, wire.encode_fault),
    "wire-reply": Format(
        None, lambda parts: wire.encode_reply(7, iter([(a, bytes.fromhex(b)) for a, b in parts]))
    ),
    "record-value": Format(lambda data: from_plain(json.loads(data)), write_record_value),
    "trace-record": Format(
        lambda data: audit.read_record(json.loads(data), 1),
        lambda one: json.dumps(one.model_dump(exclude_unset=True), separators=(",", ":")).encode(),
    ),
    "sse-stream": Format(read_events),
    "sse-event": Format(read_events, write_events),
    "http-requests": Format(lambda data: http.RequestParser(http.Limits()).feed(data)),
    "http-response": Format(read_response),
    "http-request-bytes": Format(
        None,
        lambda one: http_client.encode_request(
            one[0], one[1], one[2], [(a, b) for a, b in one[3]], one[4].encode()
        ),
    ),
    "http-head-bytes": Format(None, lambda one: encode_head(one[0], [(a, b) for a, b in one[1]])),
    "http-problem": Format(None, lambda one: problem(one[0], one[1], kind=one[2], **dict(one[3]))),
    "dash-document": Format(read_manifest, None),
    "dash-rewritten": Format(lambda data: read_mpd(data).write().decode()),
    "dash-built": Format(None, lambda one: build_mpd(build(one)).write()),
    "lease-requests": Format(None, write_lease_requests),
    "lease-replies": Format(read_lease_reply),
    "lease-answer": Format(leases.LeaseDocument.model_validate_json),
    "introspection": Format(read_introspection),
    "use-page": Format(seat_reconciliation.UsePage.model_validate_json),
}


def value_of(format_name: str, data: bytes) -> Any:
    """The plain value that the code reads from a sample's bytes."""
    read = FORMATS[format_name].read
    assert read is not None
    value = read(data)
    if isinstance(value, operators.Orders):
        return plain_orders(value)
    if isinstance(value, endpoint_list.EndpointList):
        titles = {name: [one.number, one.first_zone, one.replicas] for name, one in value.titles.items()}
        return plain([value.epoch, value.version, value.servers, titles])
    return plain(value)


def rewritten(format_name: str, data: bytes, value: Any) -> bytes | None:
    """The bytes that the code writes for what it read, or for the stored value; None if it writes none."""
    found = FORMATS[format_name]
    if format_name == "journal-folder":
        return rewrite_journal_folder(data)
    if format_name == "seat-log":
        return rewrite_seat_log(data)
    if found.write is None:
        return None
    return found.write(value if found.read is None else found.read(data))
