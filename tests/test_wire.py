"""The wire codec, and the adapter as a process."""

from __future__ import annotations

import re
import struct
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fernweir.interface import (
    Arrival,
    EndpointListKind,
    EndpointListUpdate,
    Place,
    Reject,
    ServerState,
    SetRung,
)
from fernweir.wire import Configure, Decoder, WireError, encode_action, encode_reply, parse_settings
from tests.helpers import SETTINGS

ROOT = Path(__file__).parent.parent
SETTINGS_TEXT = """Categories.count=1
Categories.0.Name=film
Categories.0.Aim=900
Categories.0.Deadline=3000
Categories.0.Gain=1
Categories.0.Idempotency=repeatable
Extra.RatesKb=100,200,400
Extra.LevelWorth=0.3,0.6,1
Extra.KindSlots=20
Extra.WeightKb=2000
Extra.UplinkKb=9000
Extra.Cells=4
Extra.Groups=2
Instances=1
Ordinal=0
Period=10
Limits.RetryAfter=true
Limits.MaxRetryAfter=1500
Something.New=yes
"""


def select(front: int) -> bytes:
    return struct.pack("<HI", 269, front)


def configure(text: str = SETTINGS_TEXT) -> bytes:
    return struct.pack("<HQI", 256, 42, len(text)) + text.encode()


def endpoint_list(number: int, *servers: int) -> bytes:
    encoded = (
        struct.pack("<BdBHBfI", 1, 0.0, 0, zone, 0, 1.0, server) for zone, server in enumerate(servers)
    )
    return struct.pack("<HBI", 268, number, len(servers)) + b"".join(encoded)


def list_update(kind: int, number: int) -> bytes:
    return struct.pack("<HBIB", 257, kind, 1, number)


def arrival(session: int) -> bytes:
    return struct.pack("<HIHfdQdQBIff", 258, session, 0, 2.0, 0.0, 7, 3000.0, 5, 0, 0, 0.0, 4.0)


def frame(number: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIdI", len(records), 12 + len(body), 1000.0 + number, number) + body


START_RECORDS = (select(3), configure(), endpoint_list(0, 11, 12), list_update(1, 0))


def run_adapter(data: bytes, **env: str) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-B", "-m", "fernweir.adapter"]
    return subprocess.run(command, input=data, capture_output=True, cwd=ROOT, env=env, check=False)


def test_the_adapter_replies_to_every_batch_and_exits_cleanly() -> None:
    result = run_adapter(frame(1) + frame(2, *START_RECORDS) + frame(3, select(3), arrival(9)))
    assert result.returncode == 0 and result.stderr == b""
    assert result.stdout.startswith(struct.pack("<II", 4, 1))
    expected = encode_action(SetRung(9, 2)) + encode_action(Place(9, 12, 450.0))
    assert result.stdout.endswith(encode_reply(3, iter([(3, expected)])))


def test_the_same_events_give_the_same_bytes_under_any_hash_seed() -> None:
    data = frame(1, *START_RECORDS) + b"".join(
        frame(n, select(3), arrival(n), arrival(n + 500)) for n in range(2, 60)
    )
    assert run_adapter(data, PYTHONHASHSEED="1").stdout == run_adapter(data, PYTHONHASHSEED="2").stdout


def test_a_front_terminated_and_started_in_one_batch_has_no_old_state() -> None:
    restart = (select(3), arrival(1), struct.pack("<H", 265), *START_RECORDS[1:], arrival(2))
    result = run_adapter(frame(1, *START_RECORDS) + frame(2, *restart))
    assert result.returncode == 0
    assert encode_action(Place(2, 12, 450.0)) in result.stdout
    assert encode_action(Place(1, 12, 450.0)) not in result.stdout


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (frame(1)[:-3], "input ended after"),
        (struct.pack("<IIdI", 0, 3, 0.0, 1), "too short"),
        (frame(1, select(3), struct.pack("<H", 999)), "unknown event code 999"),
        (frame(1, arrival(1)), "has no selected front"),
        (frame(1, select(3), arrival(1)), "has not started"),
        (frame(1, select(3), arrival(1)[:-4]), "runs past the end"),
        (frame(1, select(3), configure("Instances=1\n")), "required key Extra.RatesKb is missing"),
        (frame(1, select(3), configure(SETTINGS_TEXT.replace("Aim=900", "Aim=soon"))), "Categories.0.Aim"),
        (frame(1, select(3), configure(), list_update(1, 4)), "list 4"),
    ],
)
def test_invalid_input_ends_with_one_line_on_stderr(data: bytes, message: str) -> None:
    result = run_adapter(data)
    assert result.returncode == 2 and result.stdout == b""
    lines = result.stderr.decode().splitlines()
    assert len(lines) == 1 and message in lines[0]


def test_numbered_lists_are_resolved_in_order_within_a_batch() -> None:
    records = (
        select(1),
        configure(),
        endpoint_list(0, 5),
        list_update(2, 0),
        endpoint_list(0, 6, 7),
        list_update(3, 0),
    )
    body = b"".join(records)
    updates = [
        item
        for _, item in Decoder().decode(len(records), 0.0, 1, body).items
        if isinstance(item, EndpointListUpdate)
    ]
    assert [[endpoint.server for endpoint in update.entries] for update in updates] == [[5], [6, 7]]
    assert updates[0].kind is EndpointListKind.FULL and updates[0].entries[0].state is ServerState.READY


def test_missing_limits_are_off_and_unknown_keys_are_ignored() -> None:
    parsed = parse_settings(SETTINGS_TEXT.encode())
    assert parsed.slow_start is None and parsed.retry_budget is None and parsed.max_attempts is None
    assert parsed.max_retry_after_ms == 1500.0
    assert parsed.classes[0].top_rung == 2 and parsed.classes[0].seats == 0


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1), st.floats(0, 1e7))
def test_actions_keep_their_values_on_the_wire(session: int, server: int, after: float) -> None:
    assert struct.unpack("<HIId", encode_action(Place(session, server, after))) == (
        320,
        session,
        server,
        after,
    )
    assert struct.unpack("<HId", encode_action(Reject(session, after))) == (321, session, after)


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 2**32 - 1), st.integers(1, 31))
def test_an_arrival_keeps_its_values_and_no_truncation_of_it_is_accepted(
    session: int, byte_count: int
) -> None:
    body = select(1) + arrival(session)
    ((_, event),) = Decoder().decode(2, 5.0, 1, body).items
    assert isinstance(event, Arrival)
    assert (event.viewer.session, event.viewer.remaining_ms, event.viewer.title) == (session, 3000.0, 5)
    with pytest.raises(WireError):
        Decoder().decode(2, 5.0, 1, body[:-byte_count])


def test_a_front_is_configured_with_the_settings_of_its_record() -> None:
    ((_, event),) = Decoder().decode(2, 5.0, 1, select(1) + configure()).items
    assert isinstance(event, Configure) and event.seed == 42
    assert replace(event.settings, classes=()) != replace(SETTINGS, classes=())


def test_the_readme_example_runs() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    namespace: dict[str, object] = {}
    exec(code, namespace)
    actions = namespace["first_session"](SETTINGS)  # type: ignore[operator]
    assert actions == [SetRung(1, 2), Place(1, 1, 500.0)]
