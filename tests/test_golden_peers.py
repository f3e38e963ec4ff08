"""Bytes that fronts wrote before the names in the code changed are read, and written again, as they were.

The files in tests/golden/peers were written by `python -m bench.golden_peers` at the last commit before the
change of names. A test that fails here says that fronts of two versions, or a front and its own disk, no
longer understand one another; the files are not to be written anew for it.
"""

from __future__ import annotations

import dataclasses
import importlib
import pkgutil
from collections.abc import Iterator
from enum import Enum, IntEnum, StrEnum
from typing import Any

import msgspec
import pytest

import fernweir.peers
from fernweir.interface import Idempotency, Settings
from fernweir.peers.base import Message
from fernweir.peers.peer import KINDS
from fernweir.peers.wire.codec import Codec
from tests import golden_peers as golden
from tests.golden_peers_formats import FORMATS, node_settings, unpacked
from tests.helpers import CLASS, RETRY_BUDGET, SETTINGS, SLOW_START

PARTS = sorted({name.partition(".")[0] for name in golden.TYPES})
SAMPLES = {sample["name"]: sample for part in PARTS for sample in golden.load(part)}
LAYOUTS = golden.load(golden.LAYOUTS)
ENUM_VALUES = golden.load(golden.ENUM_VALUES)
FORMAT_SAMPLES = {sample["name"]: sample for sample in golden.load(golden.FORMATS)}
MESSAGES = [kind for part in KINDS for kind in part]
CODEC = Codec(KINDS)


def _samples(name: str) -> list[dict[str, Any]]:
    return [sample for sample in SAMPLES.values() if sample["type"] == name]


# --- samples ---


@pytest.mark.parametrize("name", golden.TYPES)
def test_samples_of_a_struct(name: str) -> None:
    found = {one["name"]: golden.sample_problems(one, golden.TYPES[name]) for one in _samples(name)}
    assert not {title: problems for title, problems in found.items() if problems}


@pytest.mark.parametrize("name", [name for name, kind in golden.TYPES.items() if issubclass(kind, Message)])
def test_message_in_a_body_is_read_as_its_kind(name: str) -> None:
    for sample in _samples(name):
        message = bytes.fromhex(sample["bytes"])
        (read,) = CODEC.decode(b"\x91" + message, 1)
        assert type(read) is golden.TYPES[name]
        assert not sample["written"] or CODEC.encode([read]) == b"\x91" + message


@pytest.mark.parametrize("name", FORMATS)
def test_format_is_read_as_stored(name: str) -> None:
    sample = FORMAT_SAMPLES[name]
    assert golden.same(FORMATS[name].read(bytes.fromhex(sample["bytes"])), sample["value"])


@pytest.mark.parametrize("name", FORMATS)
def test_format_is_written_as_stored(name: str) -> None:
    made, stored = FORMATS[name].make(), bytes.fromhex(FORMAT_SAMPLES[name]["bytes"])
    if FORMATS[name].packed:
        made, stored = unpacked(name, made), unpacked(name, stored)
    assert made == stored


def _settings_with(name: str, value: object) -> Settings:
    """Settings that are alike but for one value; `name` may be that of a part and of its field."""
    settings = dataclasses.replace(
        SETTINGS, classes=(CLASS,), slow_start=SLOW_START, retry_budget=RETRY_BUDGET
    )
    part, _, field = name.partition(".")
    if not field:
        return dataclasses.replace(settings, **{part: value})
    whole = getattr(settings, part)
    if isinstance(whole, tuple):
        return dataclasses.replace(settings, **{part: (dataclasses.replace(whole[0], **{field: value}),)})
    return dataclasses.replace(settings, **{part: dataclasses.replace(whole, **{field: value})})


def test_each_setting_that_nodes_share_counts_in_their_digest() -> None:
    """`front_index` alone differs from node to node; one that is added has to be written out as well."""
    parts = {"classes": CLASS, "slow_start": SLOW_START, "retry_budget": RETRY_BUDGET}
    names = [field.name for field in dataclasses.fields(SETTINGS) if field.name not in parts]
    names += [f"{part}.{field.name}" for part, whole in parts.items() for field in dataclasses.fields(whole)]
    plain = node_settings(_settings_with("front_index", 0))
    for name in names:
        value = Idempotency.NOT_IDEMPOTENT if name == "classes.idempotency" else -7
        assert (node_settings(_settings_with(name, value)) == plain) is (name == "front_index"), name


# --- layouts ---


@pytest.mark.parametrize("name", golden.TYPES)
def test_layout_of_a_struct(name: str) -> None:
    assert not golden.layout_problems(LAYOUTS[name], golden.TYPES[name])


@pytest.mark.parametrize("name", golden.ENUMS)
def test_values_of_an_enum(name: str) -> None:
    assert not golden.enum_problems(ENUM_VALUES[name], golden.ENUMS[name])


# --- completeness ---


def _modules() -> Iterator[str]:
    yield from (one.name for one in pkgutil.walk_packages(fernweir.peers.__path__, "fernweir.peers."))


def _defined() -> dict[str, type]:
    """All structs and enums that are defined below `fernweir.peers`, by module and name."""
    found = {}
    for name in _modules():
        for one in vars(importlib.import_module(name)).values():
            if isinstance(one, type) and one.__module__ == name and issubclass(one, msgspec.Struct | Enum):
                found[f"{name.removeprefix('fernweir.peers.')}.{one.__qualname__}"] = one
    return found


def test_each_type_has_a_sample_or_a_reason() -> None:
    covered = {*golden.TYPES.values(), *golden.ENUMS.values()}
    left = {name for name, kind in _defined().items() if kind not in covered}
    assert left == set(golden.IN_MEMORY)
    assert all(golden.IN_MEMORY.values())


def test_each_message_on_the_wire_has_a_sample() -> None:
    assert {kind for kind in golden.TYPES.values() if issubclass(kind, Message)} == set(MESSAGES)


def test_files_have_just_the_types_of_the_table() -> None:
    assert set(LAYOUTS) == {sample["type"] for sample in SAMPLES.values()} == set(golden.TYPES)
    assert set(ENUM_VALUES) == set(golden.ENUMS)
    assert set(FORMAT_SAMPLES) == set(FORMATS)


def test_each_type_has_samples_with_all_fields_and_with_defaults() -> None:
    for name, stored in LAYOUTS.items():
        own = _samples(name)
        assert any(sample["name"] == f"{name}, full" for sample in own)
        if any(not field["required"] for field in stored["fields"]):
            assert any(not sample["written"] for sample in own)


def test_each_value_of_an_enum_in_a_message_is_in_a_sample() -> None:
    text = str([sample["value"] for sample in SAMPLES.values()])
    for name in ("members.state", "acts.deed", "late.kind"):
        for member in golden.ENUMS[name]:
            assert f"{{'enum': {member.value!r}}}" in text


def test_stored_values_differ_in_all_fields() -> None:
    """So that two numbers or texts that change places can't be missed."""
    for name, stored in LAYOUTS.items():
        values = [str(value) for value in SAMPLES[f"{name}, full"]["value"]["fields"]]
        plural = [
            value
            for value, field in zip(values, stored["fields"], strict=True)
            if field["type"].startswith(("int", "float", "str", "bytes"))
            and "pattern ^(" not in field["type"]
        ]
        assert len(set(plural)) == len(plural), name


def test_size_of_the_files() -> None:
    assert sum(path.stat().st_size for path in golden.FOLDER.glob("*.json")) < 600_000


# --- what the comparison catches ---


class Inner(msgspec.Struct, frozen=True, array_like=True):
    name: str
    count: int = 0


class Level(IntEnum):
    LOW = 1
    HIGH = 2


class Word(StrEnum):
    ONE = "one"
    TWO = "two"


class Sent(msgspec.Struct, frozen=True, array_like=True, tag="sent"):
    first: int
    second: int
    level: Level
    inner: Inner
    note: str = "x"


class Shown(msgspec.Struct, frozen=True, tag="shown", tag_field="what"):
    first: int
    second: int = 2


@pytest.fixture
def stored(monkeypatch: pytest.MonkeyPatch) -> dict[str, tuple[dict[str, Any], list[dict[str, Any]]]]:
    """Layouts and samples of the structs above, as if their bytes had been written long ago."""
    found = {}
    for kind in (Sent, Shown):
        monkeypatch.setitem(golden.TYPES, kind.__name__, kind)
        found[kind.__name__] = golden.layout(kind), golden.struct_samples(kind.__name__)
    return found


def _problems(stored: tuple[dict[str, Any], list[dict[str, Any]]], kind: type[msgspec.Struct]) -> list[str]:
    found = golden.layout_problems(stored[0], kind)
    return found + [problem for sample in stored[1] for problem in golden.sample_problems(sample, kind)]


def _sample_problems(
    stored: tuple[dict[str, Any], list[dict[str, Any]]], kind: type[msgspec.Struct]
) -> list[str]:
    return [problem for sample in stored[1] for problem in golden.sample_problems(sample, kind)]


def _like(kind: type[msgspec.Struct], fields: list[Any], **options: Any) -> type[msgspec.Struct]:
    """A struct with the options of another one and these fields."""
    config = kind.__struct_config__
    kept = {"frozen": True, "array_like": config.array_like, "tag": config.tag, "tag_field": config.tag_field}
    return msgspec.defstruct("Doctored", fields, **{**kept, **options})


SENT = [("first", int), ("second", int), ("level", Level), ("inner", Inner), ("note", str, "x")]
SHOWN = [("first", int), ("second", int, 2)]


def test_unchanged_copies_pass(stored: Any) -> None:
    assert not _problems(stored["Sent"], _like(Sent, SENT))
    assert not _problems(stored["Shown"], _like(Shown, SHOWN))


def test_renamed_fields_pass(stored: Any) -> None:
    renamed = [("primary", int), ("other", int), ("degree", Level), ("part", Inner), ("text", str, "x")]
    assert not _problems(stored["Sent"], _like(Sent, renamed))
    kept = [
        ("primary", int, msgspec.field(name="first")),
        ("other", int, msgspec.field(name="second", default=2)),
    ]
    assert not _problems(stored["Shown"], _like(Shown, kept))


@pytest.mark.parametrize("kind, fields", [(Sent, SENT), (Shown, SHOWN)])
def test_changed_tag_is_caught(stored: Any, kind: type[msgspec.Struct], fields: list[Any]) -> None:
    assert _sample_problems(stored[kind.__name__], _like(kind, fields, tag="another"))


def test_changed_tag_field_is_caught(stored: Any) -> None:
    assert _sample_problems(stored["Shown"], _like(Shown, SHOWN, tag_field="kind"))


def test_changed_encoded_name_is_caught(stored: Any) -> None:
    assert _sample_problems(stored["Shown"], _like(Shown, [("primary", int), ("second", int, 2)]))
    assert _sample_problems(stored["Shown"], _like(Shown, [("first", int), ("other", int, 2)]))


def test_reordered_fields_are_caught(stored: Any) -> None:
    other_types = [SENT[0], SENT[1], SENT[3], SENT[2], SENT[4]]
    assert _sample_problems(stored["Sent"], _like(Sent, other_types))
    alike = [SENT[1], SENT[0], *SENT[2:]]
    assert not _sample_problems(stored["Sent"], _like(Sent, alike)), "bytes alone can't show it"
    assert golden.layout_problems(stored["Sent"][0], _like(Sent, alike))
    moved = [("other", int), SENT[0], *SENT[2:]]
    assert golden.layout_problems(stored["Sent"][0], _like(Sent, moved))


def test_field_added_left_out_or_of_another_default_is_caught(stored: Any) -> None:
    assert _sample_problems(stored["Sent"], _like(Sent, [*SENT, ("more", int, 0)]))
    assert _sample_problems(stored["Sent"], _like(Sent, SENT[:-1]))
    assert _sample_problems(stored["Sent"], _like(Sent, [*SENT[:-1], ("note", str, "y")]))
    assert _sample_problems(stored["Sent"], _like(Sent, [*SENT[:-1], ("note", str)]))


def test_struct_by_name_instead_of_by_position_is_caught(stored: Any) -> None:
    assert _sample_problems(stored["Sent"], _like(Sent, SENT, array_like=False))
    assert _sample_problems(stored["Shown"], _like(Shown, SHOWN, array_like=True))


def test_changed_enum_value_in_a_struct_is_caught(stored: Any) -> None:
    changed = IntEnum("Changed", [("LOW", 1), ("HIGH", 3)])
    assert _sample_problems(stored["Sent"], _like(Sent, [*SENT[:2], ("level", changed), *SENT[3:]]))


@pytest.mark.parametrize(
    "kind, changed",
    [
        (Level, [("LOW", 1), ("HIGH", 3)]),
        (Level, [("LOW", 2), ("HIGH", 1)]),
        (Level, [("HIGH", 1), ("LOW", 2)]),
        (Level, [("LOW", 1)]),
        (Word, [("ONE", "ONE"), ("TWO", "TWO")]),
        (Word, [("ONE", "two"), ("TWO", "one")]),
    ],
)
def test_changed_enum_values_are_caught(kind: type[Enum], changed: list[tuple[str, Any]]) -> None:
    assert golden.enum_problems(golden.enum_values(kind), Enum("Changed", changed))


def test_renamed_enum_members_pass() -> None:
    renamed = Enum("Renamed", [("SMALL", 1), ("LARGE", 2)])
    assert not golden.enum_problems(golden.enum_values(Level), renamed)
