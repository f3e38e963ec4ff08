"""The parts of a node without I/O: codecs on any split and on noise, feed, limits, liveness, settings."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from itertools import pairwise
from pathlib import Path
from typing import Any

import click
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fernweir.cli import main
from fernweir.controller import Controller
from fernweir.front.commands import ReleaseSession, SessionRequest, SetUp, SetUpResult
from fernweir.front.session_manager import SessionLimits, SessionManager
from fernweir.interface import Action, EndpointListKind, EndpointListUpdate, Event, Result, ServerState
from fernweir.node import frames, jsonl
from fernweir.node.config import ConfigError, flatten_settings, load_config
from fernweir.node.endpoint_feed import EndpointFeed, FeedError
from fernweir.node.frames import Frame, FrameError, FrameReader, FrameType, ParameterCode, encode_frame
from fernweir.node.jsonl import LineError, LineReader, Message, decode_message, encode_message
from fernweir.node.limits import IDLE_TIMEOUT_MS, ConnectionAdmission, RecentIds
from fernweir.node.liveness import CHECK_INTERVAL_MS, LivenessMonitor, LivenessStatus, LivenessTimeouts
from fernweir.node.logs import NodeLog
from fernweir.wire import SettingsTable, parse_settings, read_settings
from tests.helpers import SETTINGS, entry
from tests.test_wire import SETTINGS_TEXT

ROOT = Path(__file__).parent.parent
IDS = st.text("0123456789abcdef", min_size=16, max_size=16)
MESSAGES = st.builds(
    Message,
    st.sampled_from(sorted(jsonl.MESSAGE_TYPES)),
    IDS,
    st.dictionaries(st.text(max_size=8), st.text(max_size=20) | st.integers(-(10**18), 10**18), max_size=5),
    st.none() | st.integers(0, 255),
    st.none() | st.text(max_size=60),
)
FRAMES = st.builds(
    Frame,
    st.sampled_from(FrameType),
    IDS,
    st.dictionaries(st.integers(0, 255), st.binary(max_size=40), max_size=5),
)


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    marks = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [data[a:b] for a, b in pairwise(marks)]


@given(st.lists(MESSAGES, min_size=1, max_size=4), st.lists(st.integers(0, 5000), max_size=12))
def test_lines_are_decoded_alike_for_any_split(messages: list[Message], cuts: list[int]) -> None:
    lines = LineReader()
    found = [
        line for piece in pieces(b"".join(map(encode_message, messages)), cuts) for line in lines.feed(piece)
    ]
    assert [decode_message(line) for line in found] == messages and not lines.has_partial_line


@given(st.lists(FRAMES, min_size=1, max_size=4), st.lists(st.integers(0, 5000), max_size=12))
def test_frames_are_decoded_alike_for_any_split(sent: list[Frame], cuts: list[int]) -> None:
    codec, found = FrameReader(), list[Frame]()
    for piece in pieces(b"".join(map(encode_frame, sent)), cuts):
        found += codec.feed(piece)
    assert found == sent


@given(st.lists(st.binary(max_size=400), max_size=100))
def test_noise_raises_only_codec_errors_and_buffers_stay_small(noise: list[bytes]) -> None:
    codec, lines = FrameReader(), LineReader()
    try:
        for piece in noise:
            for frame in codec.feed(piece):
                _ = (
                    frame.cause,
                    frame.load_report(),
                    frame.text_parameter(ParameterCode.CLASS),
                    frame.number_parameter(ParameterCode.LEVEL),
                )
    except FrameError:
        pass
    assert len(codec._pending) <= frames.MAX_FRAME_BYTES + 400
    try:
        for piece in noise:
            for line in lines.feed(piece):
                decode_message(line)
    except LineError:
        pass
    assert len(lines._pending) <= jsonl.MAX_LINE_BYTES


def test_an_endless_line_is_rejected_and_the_longest_line_accepted() -> None:
    lines = LineReader()
    assert lines.feed(b"x" * (jsonl.MAX_LINE_BYTES - 1) + b"\n") == [b"x" * (jsonl.MAX_LINE_BYTES - 1)]
    with pytest.raises(LineError):
        for _ in range(2000):
            lines.feed(b"y" * 1000)
    assert not lines._pending


def test_complete_lines_before_an_overlong_one_are_kept_for_any_split() -> None:
    data = b"first\n" + b"x" * jsonl.MAX_LINE_BYTES + b"\nlast\n"
    for cuts in ([], [6], [3, 9000], list(range(0, len(data), 100))):
        lines, found = LineReader(), list[bytes]()
        with pytest.raises(LineError):
            for piece in pieces(data, cuts):
                found += lines.feed(piece)
        assert found + lines.complete_lines == [b"first"]


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">HBQ", 5, 9, 1),  # shorter than its header
        struct.pack(">HBQ", 65535, 9, 1),
        struct.pack(">HBQ", 9, 7, 1),  # unknown type
        struct.pack(">HBQ", 11, 9, 1) + b"\x30\x00",  # a truncated parameter header
        struct.pack(">HBQ", 13, 9, 1) + b"\x30\x00\x09x",  # a parameter longer than its message
        struct.pack(">HBQ", 15, 9, 1) + b"\x30\x00\x00\x30\x00\x00",  # a duplicate parameter
    ],
)
def test_invalid_frames_are_rejected_after_the_valid_ones_before_them(data: bytes) -> None:
    good, codec = Frame(FrameType.RELEASED, "0" * 15 + "7"), FrameReader()
    with pytest.raises(FrameError):
        codec.feed(encode_frame(good) + data)
    assert codec.complete_frames == [good]


@pytest.mark.parametrize("report", [b"x0", b"x0:nan", b"x0:1e999", b"x0:\xff", b";".join([b"a:1"] * 40)])
def test_an_invalid_load_report_is_rejected(report: bytes) -> None:
    with pytest.raises(FrameError):
        Frame(FrameType.PONG, "0" * 16, {ParameterCode.REPORT: report}).load_report()


def endpoint(name: str, **more: object) -> dict[str, Any]:
    line = {"name": name, "address": "127.0.0.1:5080", "zone": "z", "type": "box", "group": 1}
    return {**line, "status": "up", "weight": 2, "since_ms": 0, **more}


def event(n: int, *lines: object, snapshot: bool = False) -> dict[str, Any]:
    return {"n": n, "members": {"index": n, "snapshot": snapshot, "endpoints": list(lines)}}


def test_a_feed_applies_each_event_once_in_order_and_detects_gaps() -> None:
    feed = EndpointFeed(("box",), offset_ms=1000.0)
    (whole,) = feed.apply_known_events((event(1, endpoint("a"), endpoint("b"), snapshot=True),), 1)
    assert (whole.kind, len(whole.entries)) == (EndpointListKind.CACHED, 2)

    def apply_line(body: object) -> EndpointListUpdate | None:
        return feed.apply_line(json.dumps(body).encode())

    started = apply_line(event(2, endpoint("c", since_ms=5000)))
    assert (
        started is not None
        and started.kind is EndpointListKind.DELTA
        and started.entries[0].started_at == 4000.0
    )
    assert apply_line(event(2, endpoint("c"))) is None and apply_line(2) is None
    for bad in (
        event(4, endpoint("a")),
        5,
        event(3, endpoint("a", status="odd")),
        event(3, {}),
        "x",
        {"n": True},
    ):
        with pytest.raises(FeedError):
            apply_line(bad)
        assert feed.last_sequence_number == 2
    with pytest.raises(FeedError):
        feed.apply_line(b'{"n":3,"mem')
    gone = apply_line(event(3, endpoint("a", status="removed")))
    assert (
        gone is not None and gone.entries[0].state is ServerState.REMOVED and feed.last_sequence_number == 3
    )


def test_admission_prefers_active_connections_and_removes_ended_ones() -> None:
    admission: ConnectionAdmission[str] = ConnectionAdmission(3)
    assert [admission.admit(key, 0.0) for key in "abc"] == [None] * 3
    for key in "ab":
        admission.on_message_received(key, 1.0)
    admission.on_request_opened("a")
    admission.on_request_opened("a")
    assert admission.admit("d", 2.0) == "c"  # has sent nothing
    admission.on_message_received("d", 2.0)
    assert admission.admit("e", 3.0) == "b"  # has no open request, and was active longest ago
    assert admission.timed_out_connections(IDLE_TIMEOUT_MS + 2.0) == [] and admission.timed_out_connections(
        IDLE_TIMEOUT_MS + 3.0
    ) == ["e"]
    admission.set_partial_line("a", 10.0, True)
    admission.set_partial_line("a", 20.0, True)  # the same line continues
    assert admission.timed_out_connections(IDLE_TIMEOUT_MS + 10.0) == ["e", "a"]
    admission.on_request_finished("a", 30.0)
    admission.on_request_finished("a", 31.0)
    for key in "ade":
        admission.remove(key)
    assert len(admission) == 0 and not admission.timed_out_connections(1e9)
    remembered = RecentIds(2)
    for id in "xyz":
        remembered.add(id)
    assert [id in remembered for id in "xyz"] == [False, True, True]


def test_a_server_is_lost_by_proof_only() -> None:
    monitor = LivenessMonitor(LivenessTimeouts.from_settings(SETTINGS, 250.0), 0.0)
    quiet = SETTINGS.report_interval_ms + SETTINGS.report_delay_ms + SETTINGS.batch_period_ms
    assert (
        monitor.check(1e6, has_sessions=False, is_connected=False, is_connecting=False)
        is LivenessStatus.HEALTHY
    )
    monitor.on_data_received(0.0)
    assert monitor.check(quiet - 1, True, True, False) is LivenessStatus.HEALTHY
    assert monitor.check(quiet, True, True, False) is LivenessStatus.CHECK  # silence is checked
    assert monitor.check(quiet, True, True, True) is LivenessStatus.HEALTHY
    monitor.on_connect_timeout(quiet, quiet + 9)
    assert monitor.check(quiet, True, True, False) is LivenessStatus.CHECK  # a single packet may be lost
    monitor.on_connect_timeout(quiet + 5, quiet + 14)  # a concurrent connect
    assert monitor.check(quiet, True, True, False) is LivenessStatus.CHECK
    monitor.on_connect_timeout(quiet + 9, quiet + 18)
    assert (
        monitor.check(quiet - 1, True, True, False) is LivenessStatus.HEALTHY
    )  # data arrived on an open connection
    assert (
        monitor.check(quiet, True, True, False) is LivenessStatus.UNREACHABLE
        and "established in time" in monitor.reason
    )
    assert monitor.check(quiet, True, False, False) is LivenessStatus.CHECK  # reported once
    monitor.on_connected(quiet)
    assert (
        monitor.check(quiet, True, False, False) is LivenessStatus.HEALTHY
    )  # it has broken again just after a check
    assert (
        monitor.check(quiet + CHECK_INTERVAL_MS, True, False, False) is LivenessStatus.CHECK
    )  # a break proves nothing
    monitor.on_data_received(quiet + CHECK_INTERVAL_MS)
    monitor.on_connection_broken()
    assert (
        monitor.check(quiet + 2 * CHECK_INTERVAL_MS, True, True, True) is LivenessStatus.HEALTHY
    )  # missed messages are repeated there
    assert monitor.check(quiet + 2 * CHECK_INTERVAL_MS, True, True, False) is LivenessStatus.CHECK
    monitor.on_connected(quiet + 2 * CHECK_INTERVAL_MS)
    assert (
        monitor.check(quiet + 3 * CHECK_INTERVAL_MS, True, True, False) is LivenessStatus.HEALTHY
    )  # they have arrived
    monitor.on_connection_refused()
    assert (
        monitor.check(quiet, True, False, False) is LivenessStatus.TERMINATED and "refused" in monitor.reason
    )


def nested(text: str) -> dict[str, Any]:
    """Converts the settings text of the simulator to the nested object of a node's configuration."""
    table = dict(line.split("=", 1) for line in text.splitlines() if line)
    tree: dict[str, Any] = {}
    for path, value in table.items():
        *above, last = path.split(".")
        here = tree
        for part in above:
            here = here.setdefault(part, {})
        here[last] = value.split(",") if "," in value else value
    return _lists(tree)


def _lists(tree: Any) -> Any:
    if not isinstance(tree, dict):
        return tree
    if "count" in tree:
        return [_lists(tree[str(place)]) for place in range(int(tree["count"]))]
    return {key: _lists(value) for key, value in tree.items()}


def test_the_settings_read_alike_from_json_and_from_the_simulators_text() -> None:
    assert read_settings(SettingsTable(flatten_settings(nested(SETTINGS_TEXT)))) == parse_settings(
        SETTINGS_TEXT.encode()
    )
    assert flatten_settings({"a": [1, 2.5], "b": True, "c": None, "d": ["x y"]}) == {
        "a": "1,2.5",
        "b": "true",
        "d": "x_y",
    }


@pytest.mark.parametrize(
    "text", [None, "{", "[]", "{}", '{"seed":"zz"}', '{"seed":"1","limits":{"sockets":9}}']
)
def test_an_unusable_configuration_gives_one_line(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        load_config({"ROUTER_CONFIG": str(path), "ROUTER_LISTEN": "127.0.0.1:1"})
    assert "\n" not in str(caught.value)
    with pytest.raises(ConfigError):
        load_config({})


def test_the_log_of_a_node_is_bounded() -> None:
    out, at = io.StringIO(), [5.0]
    log = NodeLog("n", out, lambda: at[0])
    for number in range(500):
        log.info("x", number=number)
    at[0] = 6.0
    log.info("y")
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    assert len(lines) == 51 and lines[-1]["lines_left_out"] == 450


def test_the_controller_decides_alike_in_the_session_manager_and_alone() -> None:
    """The events that the session manager passes to its controller give the same actions in another one."""
    seen: list[tuple[float, list[Event], list[Action]]] = []
    limits = SessionLimits(reply_margin_ms=0.0, unclaimed_session_ttl_ms=0.0)
    host = SessionManager(
        SETTINGS, 11, limits, lambda now, events, actions: seen.append((now, events, list(actions)))
    )
    host.on_endpoint_list(
        0.0, EndpointListUpdate(EndpointListKind.CACHED, 1, tuple(entry(n, zone=n % 4) for n in range(1, 6)))
    )
    out, now = host.step(0.0), 0.0
    for number in range(200):
        now += 7.0
        ask = SessionRequest(
            number,
            "platform",
            f"{number:016x}",
            "",
            "t",
            number % 9,
            0,
            4,
            number % 2,
            3,
            900.0,
            viewer_key=number + 1,
        )
        host.request_session(now, ask)
        for command in out:
            if isinstance(command, SetUp):
                result = (Result.OK, Result.ERROR, Result.RESET, Result.FULL)[number % 4]
                jti = command.request.session_id
                host.on_attempt_finished(
                    now, jti, command.attempt, SetUpResult(result, 3.0, {"x0": 0.2, "x1": 0.1}, "d")
                )
        if number % 5 == 0:
            host.withdraw_request(now, number)
        if number % 11 == 0:
            host.on_timer(now, 1)
        out = host.step(now)
        assert not any(isinstance(one, ReleaseSession) and one.attempt < 0 for one in out)
    other = Controller(SETTINGS, 11)
    assert len(seen) == 201
    for at, events, actions in seen:
        assert other.handle(at, events) == actions


def test_a_connection_with_an_open_request_is_never_evicted() -> None:
    admission: ConnectionAdmission[str] = ConnectionAdmission(2)
    admission.admit("a", 0.0)
    admission.on_request_opened("a")  # the first message is a set-up
    admission.on_message_received("a", 0.0)
    admission.admit("b", 0.0)
    admission.on_request_opened("b")
    assert len(admission) == 2 and admission.admit("c", 1.0) == "c"


def test_the_node_loads_the_standard_library_and_itself_alone() -> None:
    """The platform installs no packages for a node, and its memory is limited."""
    script = (
        "import sys, fernweir.node.program;"
        "known = set(sys.stdlib_module_names) | {'fernweir', '__main__'};"
        "print(sorted({name.partition('.')[0] for name in sys.modules} - known))"
    )
    done = subprocess.run(
        [sys.executable, "-S", "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"


def test_a_command_is_found_by_its_name_and_nothing_is_loaded_before() -> None:
    context = click.Context(main)
    for name in main.list_commands(context):
        command = main.get_command(context, name)
        assert command is not None and command.name == name
    assert main.get_command(context, "fly") is None
    script = (
        "import sys, fernweir.cli;"
        "heavy = ('textual', 'pydantic', 'joserfc', 'fernweir.rehearsal', 'fernweir.front');"
        "print([name for name in heavy if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"


def test_a_bad_configuration_ends_the_program_with_2_and_one_line() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "fernweir", "node"],
        cwd=ROOT, env={"ROUTER_CONFIG": "/nowhere.json"}, capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "/nowhere.json" in done.stderr
