"""What was written and decided before identifiers were renamed: it must be read, written and decided alike.

The samples in `tests/golden/state` were written by `bench/golden_state.py`. A renamed class, attribute or
enum member passes; a changed tag, stored name, order or stored value fails.
"""

from __future__ import annotations

import importlib
import io
import json
import pkgutil
import struct
from collections.abc import Iterator, Mapping
from dataclasses import is_dataclass
from enum import Enum, IntEnum
from pathlib import Path
from typing import Any, get_args

import msgspec
import pytest
from pydantic import BaseModel

import fernweir
from fernweir import interface, wire
from fernweir.audit.records import AnyRecord
from fernweir.config.ini import Section
from fernweir.control.messages import Request
from fernweir.controller import Controller
from fernweir.front import stored_types
from fernweir.front.record import Recorder, read_record, replay
from fernweir.journal import state_projection
from fernweir.journal.events import EventKind
from fernweir.node import frames, jsonl
from fernweir.seats import records as seats
from tests.golden_decisions import (
    FOLDER,
    VIRTUAL_DAYS,
    answer_wire_stream,
    digest,
    play_virtual_day,
    read_compressed,
    replay_front_day,
)
from tests.golden_formats import FORMATS, TYPES, rewritten, value_of
from tests.golden_names import (
    ENUMS,
    SECTIONS,
    command_tree,
    enum_values,
    environment_names,
    exit_codes,
    parameters_of,
    section_defaults,
    section_keys,
    section_spellings,
)


def stored(name: str) -> Any:
    """A stored JSON document."""
    return json.loads((FOLDER / name).read_text(encoding="ascii"))


DECISIONS = stored("decisions.json")
NAMES = stored("names.json")
PARTS = (
    "journal",
    "seats",
    "control",
    "lists",
    "tokens",
    "node",
    "wire",
    "record",
    "audit",
    "http",
    "entitlement",
)
SAMPLES: dict[str, dict[str, Any]] = {
    f"{part}: {one['format']}: {one['name']}": one for part in PARTS for one in stored(f"{part}.json")
}


def difference(sample: dict[str, Any]) -> str:
    """What the code reads or writes otherwise than it stands in a sample; empty if nothing."""
    data, kind = bytes.fromhex(sample["bytes"]), sample["format"]
    try:
        # Through JSON, as the stored value went: a tuple and a list are the same there.
        if FORMATS[kind].read is not None and json.loads(json.dumps(value_of(kind, data))) != sample["value"]:
            return "read as another value"
        again = rewritten(kind, data, sample["value"])
    except Exception as error:
        return f"not read: {error!r}"
    return "" if again is None or again == data else f"written as {again[:200]!r}"


# --- samples ---


@pytest.mark.parametrize("name", SAMPLES)
def test_a_sample_is_read_to_its_value_and_written_to_its_bytes(name: str) -> None:
    assert difference(SAMPLES[name]) == ""


def test_every_format_has_samples() -> None:
    assert {one["format"] for one in SAMPLES.values()} == set(FORMATS)


# --- completeness: what the code has, the samples have ---

# Dataclasses of modules with stored or sent formats that never leave the process by themselves.
IN_MEMORY = {
    "fernweir.control.orders.Command": "made of a control-change message",
    "fernweir.control.orders.OrderRules": "settings of the order book",
    "fernweir.control.orders.Result": "its to_plain stands in the answers of control-conversation",
    "fernweir.control.orders.SiteSnapshot": "its to_plain is in the `site` answer of control-conversation",
    "fernweir.control.orders._Undo": "stored as a list within orders-file",
    "fernweir.front.endpoint_list.TitlePlacement": "made of a list-title",
    "fernweir.http.parse.Limits": "limits of a parser",
    "fernweir.seats.log.LogConfig": "settings of the log",
    "fernweir.journal.segment.Query": "made of a control-events message",
}
FORMAT_MODULES = (
    "interface", "wire", "journal.events", "journal.segment", "journal.state_projection", "seats.records",
    "seats.log",
    "control.orders", "control.messages", "node.jsonl", "node.frames", "node.config", "http.parse",
    "http.sse",
    "front.endpoint_list", "dash.build", "entitlement.client", "front.seat_reconciliation",
    "front.introspection",
)  # fmt: skip
IN_MEMORY_MODELS = {
    "fernweir.audit.records.Record": "what all records of a trace share",
    "fernweir.config.ini.Section": "what all sections of settings share",
    "fernweir.control.messages.RequestEnvelope": "reads one of the messages",
    "fernweir.control.messages._Message": "what all messages share",
    "fernweir.front.endpoint_list._Strict": "what all parts of a list document share",
    "fernweir.tokens.claims.Claims": "what all tokens share",
}
IN_MEMORY_ENUMS = {
    "fernweir.node.connection_state.ConnectionPhase": "where a server connection stands",
    "fernweir.node.client_connection_state.ClientConnectionPhase": "which end of a client connection ended",
    "fernweir.node.liveness.LivenessStatus": "what the liveness monitor asks for",
    "fernweir.node.reconnect.ReconnectPhase": "where a reconnect stands",
    "fernweir.seats.seat.SeatState": "where a seat stands; the log stores records instead",
    "fernweir.seats.messages.ResponseStatus": "what a reply of the entitlement server means",
    "fernweir.seats.seat.TimerKind": "what a seat's timer stands for",
    "fernweir.rehearsal.fleet.process.Life": "whether a process of the rig lives; its value is only printed",
    "fernweir.front.session_record.SessionPhase": "where a session stands",
    "fernweir.entitlement.queue.RequestKind": "the order within the queue of requests",
    "fernweir.entitlement.policy.BreakerState": "where the circuit breaker stands",
}


def import_all() -> None:
    """Imports every module of the package but the peers' own and the entry points."""
    for found in pkgutil.walk_packages(fernweir.__path__, "fernweir."):
        if not found.name.startswith("fernweir.peers") and not found.name.endswith("__main__"):
            importlib.import_module(found.name)


def subclasses(base: type) -> Iterator[type]:
    """Every subclass that the package defines outside the peers' protocol."""
    for one in base.__subclasses__():
        yield from subclasses(one)
        if one.__module__.startswith("fernweir.") and not one.__module__.startswith("fernweir.peers"):
            yield one


def full_name(kind: type) -> str:
    """Module and name of a class."""
    return f"{kind.__module__}.{kind.__qualname__}"


def types_in(value: Any) -> set[str]:
    """The stable names of all types within a stored value."""
    if isinstance(value, dict):
        own = {str(value["type"])} if "type" in value else set()
        return own.union(*map(types_in, value.values()))
    return set().union(*map(types_in, value)) if isinstance(value, list) else set()


def test_every_type_has_a_sample() -> None:
    seen = set().union(*(types_in(one["value"]) for one in SAMPLES.values()))
    assert seen == set(TYPES)


def test_every_dataclass_with_a_stored_form_is_known() -> None:
    found = {}
    for name in FORMAT_MODULES:
        module = importlib.import_module(f"fernweir.{name}")
        for one in vars(module).values():
            if isinstance(one, type) and is_dataclass(one) and one.__module__ == module.__name__:
                found[full_name(one)] = one
    unknown = {name for name, one in found.items() if one not in TYPES.values()}
    assert unknown == set(IN_MEMORY)


def test_every_model_is_known() -> None:
    import_all()
    known = {*TYPES.values(), *SECTIONS.values()}
    unknown = {full_name(one) for one in subclasses(BaseModel) if one not in known}
    assert unknown == set(IN_MEMORY_MODELS)
    assert set(subclasses(Section)) == set(SECTIONS.values())


def test_there_is_no_other_kind_of_message() -> None:
    import_all()
    assert list(subclasses(msgspec.Struct)) == []


def test_every_enum_is_known() -> None:
    import_all()
    found = {full_name(one): one for one in subclasses(Enum)}
    assert {name for name, one in found.items() if one not in ENUMS.values()} == set(IN_MEMORY_ENUMS)


def test_every_word_of_the_tables_has_a_sample() -> None:
    values = {kind: [one["value"] for one in SAMPLES.values() if one["format"] == kind] for kind in FORMATS}
    asked = [json.loads(bytes.fromhex(one["bytes"])) for one in SAMPLES.values()
             if one["format"] == "control-message"]  # fmt: skip
    words = {word for kind in get_args(Request) for word in get_args(kind.model_fields["do"].annotation)}
    assert {one["do"] for one in asked} == words
    kinds = {get_args(kind.model_fields["kind"].annotation)[0] for kind in get_args(get_args(AnyRecord)[0])}
    traced = {json.loads(bytes.fromhex(one["bytes"]))["kind"] for one in SAMPLES.values()
              if one["format"] == "trace-record"}  # fmt: skip
    assert traced == kinds
    assert {one["fields"][0] for one in values["node-line"]} == jsonl.MESSAGE_TYPES
    assert {one["fields"][0] for one in values["node-frame"]} == {kind.value for kind in frames.FrameType}
    assert {one["fields"][2] for one in values["journal-row"]} == {what.value for what in EventKind}
    actions = {one["type"] for one in values["wire-action"]}
    assert {TYPES[name] for name in actions} == set(get_args(interface.Action))
    recorded = {TYPES[one["type"]] for one in values["record-value"]}
    assert recorded == {interface.Settings, *get_args(interface.Action), *get_args(interface.Event)}


# --- names that others rely on ---


def test_the_accepted_keys_and_defaults_of_settings_stay() -> None:
    assert section_keys() == NAMES["ini_keys"]
    assert section_spellings() == NAMES["ini_spellings"]
    assert json.loads(json.dumps(section_defaults())) == NAMES["ini_defaults"]


def test_the_environment_variables_stay() -> None:
    assert environment_names() == NAMES["environment"]


def test_every_command_can_still_be_called_with_its_options() -> None:
    now = {words: parameters_of(words) for words in NAMES["commands"]}
    lost = {words: set(kept) - set(now[words] or []) for words, kept in NAMES["commands"].items()}
    assert {words for words, parameters in now.items() if parameters is None} == set()
    assert {words: some for words, some in lost.items() if some} == {}
    assert set(command_tree()) >= {"fernweir", "fernweir node", "fernweir serve", "fernweir replay"}


def test_the_exit_codes_stay(tmp_path: Path) -> None:
    assert exit_codes(tmp_path) == NAMES["exit_codes"]


def test_the_values_of_enums_stay() -> None:
    assert enum_values() == NAMES["enum_values"]


# --- the net catches what it is for ---


def broken() -> set[str]:
    """The formats of which a sample differs now."""
    return {one["format"] for one in SAMPLES.values() if difference(one)}


def test_a_changed_tag_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    encode = seats._encode
    monkeypatch.setattr(
        seats, "_encode", lambda row: encode(["new" if row[0] == "held" else row[0], *row[1:]])
    )
    assert "seat-held" in broken()


def test_a_changed_stored_field_name_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def renamed(row: Any, attributes: Mapping[str, str]) -> dict[str, Any]:
        return {name.replace("box", "server"): getattr(row, one) for name, one in attributes.items()}

    monkeypatch.setattr(state_projection, "plain_row", renamed)
    assert {"picture", "picture-snapshot"} <= broken()


def test_a_changed_type_name_in_a_record_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    kept = stored_types.BY_CLASS[interface.Reject]
    renamed = stored_types.StoredType(kept.kind, "Reject", kept.field_names)
    monkeypatch.setitem(stored_types.BY_CLASS, interface.Reject, renamed)
    assert broken() == {"record-value"}


def test_a_type_that_a_record_lacks_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delitem(stored_types.BY_NAME, "Refuse")
    assert broken() == {"record-value"}


@pytest.fixture
def renamed_interface() -> Iterator[None]:
    """The classes of the interface and the members of its enums under other names."""
    kept = {kind: (kind.__name__, kind.__qualname__) for kind in stored_types.BY_CLASS}
    members = [
        one for enum in (interface.Idempotency, interface.Result, interface.ServerState) for one in enum
    ]
    names = [one.name for one in members]
    try:
        for kind in kept:
            kind.__name__, kind.__qualname__ = f"New{kind.__name__}", f"New{kind.__qualname__}"
        for member in members:
            member._name_ = f"NEW_{member.name}"
        yield
    finally:
        for kind, (name, qualified) in kept.items():
            kind.__name__, kind.__qualname__ = name, qualified
        for member, name in zip(members, names, strict=True):
            member._name_ = name


def test_a_renamed_class_or_member_of_the_interface_changes_no_byte(renamed_interface: None) -> None:
    assert repr(interface.Fail(1)) == "NewFail(session=1)"
    assert broken() == set()
    lines = read_compressed("front_day.record.gz").decode().splitlines()
    assert replay(lines) == (DECISIONS["front_day"]["batches"], None)
    assert (
        digest(answer_wire_stream(read_compressed("wire_stream.gz"))) == DECISIONS["wire"]["answers_digest"]
    )


def test_every_class_of_the_interface_has_a_stored_name_for_each_field() -> None:
    kinds = [one for one in vars(interface).values() if isinstance(one, type) and is_dataclass(one)]
    assert set(kinds) == set(stored_types.BY_CLASS)
    assert all(len(one.names) == len(one.attributes) for one in stored_types.STORED_TYPES)
    assert set(interface.RESULT_LABELS) == set(interface.Result)
    assert set(interface.SERVER_STATE_LABELS) == set(interface.ServerState)


def test_a_changed_order_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    row = seats._row
    monkeypatch.setattr(
        seats, "_row", lambda seat: [*row(seat)[:2], *reversed(row(seat)[2:4]), *row(seat)[4:]]
    )
    assert {"seat-asked", "seat-table"} <= broken()


def test_a_changed_value_of_an_enum_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    shifted = IntEnum("shifted", {one.name: one.value + 1 for one in interface.Result})  # type: ignore[misc]
    monkeypatch.setattr(wire, "Result", shifted)
    assert "wire-frame" in broken()


# --- the same decisions ---


def test_the_stored_wire_stream_gets_the_same_answers_to_the_byte() -> None:
    kept = DECISIONS["wire"]
    stream = read_compressed("wire_stream.gz")
    assert digest(stream) == kept["stream_digest"]
    answers = answer_wire_stream(stream)
    frames, at = [], 0
    while len(frames) < len(kept["first_answers"]):
        (length,) = struct.unpack_from("<I", answers, at)
        frames.append(answers[at : at + 4 + length].hex())
        at += 4 + length
    assert frames == kept["first_answers"]
    assert (len(answers), digest(answers)) == (kept["answers_bytes"], kept["answers_digest"])


def test_the_recorded_front_day_is_decided_alike_to_the_byte() -> None:
    kept = DECISIONS["front_day"]
    record = read_compressed("front_day.record.gz")
    assert digest(record) == kept["record_digest"]
    actions = replay_front_day(record.decode().splitlines())
    assert actions == read_compressed("front_day.actions.gz").decode().splitlines()
    assert [line for line in actions if line][: len(kept["first_actions"])] == kept["first_actions"]
    assert digest("".join(f"{line}\n" for line in actions).encode()) == kept["actions_digest"]


def test_fernweir_replay_still_reads_and_confirms_the_recorded_front_day() -> None:
    lines = read_compressed("front_day.record.gz").decode().splitlines()
    assert replay(lines) == (DECISIONS["front_day"]["batches"], None)


def test_the_recorded_front_day_is_recorded_again_to_the_byte() -> None:
    text = read_compressed("front_day.record.gz").decode()
    settings, seed, batches = read_record(text.splitlines())
    controller, file = Controller(settings, seed), io.StringIO()
    recorder = Recorder(file, settings, seed)
    for now, events, _ in batches:
        recorder.on_batch(now, events, controller.handle(now, events))
    assert file.getvalue() == text


def test_another_decision_in_the_record_is_found() -> None:
    lines = read_compressed("front_day.record.gz").decode().splitlines()
    place = next(number for number, line in enumerate(lines) if '"is":"Place"' in line)
    body = json.loads(lines[place])
    body["actions"][-1]["server"] = 99
    lines[place] = json.dumps(body)
    assert replay(lines)[1] is not None


@pytest.mark.parametrize("name", VIRTUAL_DAYS)
def test_a_virtual_day_passes_the_same_bytes_and_decides_alike(name: str) -> None:
    kept = DECISIONS["virtual_days"][name]
    result, wires = play_virtual_day(VIRTUAL_DAYS[name])
    assert not result.broken
    assert {str(status): count for status, count in result.answers.items()} == kept["answers"]
    assert (result.steps, result.digest, wires) == (kept["steps"], kept["trace"], kept["wires_and_actions"])
