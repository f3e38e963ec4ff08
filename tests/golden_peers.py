"""Golden bytes of the peers' structs: which types there are, samples of each, and how they are compared.

A sample is stored under a stable type name, never under the name of a class; `TYPES` leads from the one to
the other and is renamed with the code. Decoded values are stored as positional lists, without any name of
an attribute, so that renaming a class, a field or an enum member passes, and a change of a tag, an encoded
name, a type, a default, the order of fields or an enum value does not.
"""

from __future__ import annotations

import dataclasses
import json
import re
from collections.abc import Callable, Iterator, Mapping, Sequence
from enum import Enum, IntEnum, StrEnum
from functools import cache
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect

import fernweir.peers.acts.block
import fernweir.peers.acts.clock
import fernweir.peers.acts.heads
import fernweir.peers.acts.merge
import fernweir.peers.acts.messages
import fernweir.peers.acts.plan
import fernweir.peers.acts.versions
import fernweir.peers.channel.messages
import fernweir.peers.estimate.loads
import fernweir.peers.estimate.sketches
import fernweir.peers.estimate.summary
import fernweir.peers.facts.messages
import fernweir.peers.forward.messages
import fernweir.peers.keeper_reconfiguration
import fernweir.peers.late.events
import fernweir.peers.late.messages
import fernweir.peers.lease.messages
import fernweir.peers.link.rules
import fernweir.peers.members.messages
import fernweir.peers.order_estimation
import fernweir.peers.peer
import fernweir.peers.port
import fernweir.peers.wire.seal  # noqa: F401 - each module is used as an attribute of `peers`
from fernweir import peers

FOLDER = Path(__file__).parent / "golden" / "peers"
LAYOUTS, ENUM_VALUES, FORMATS = "layouts", "enums", "formats"

TYPES: dict[str, type[msgspec.Struct]] = {
    # What is said between fronts about membership.
    "members.record": peers.members.messages.Record,
    "members.ping": peers.members.messages.Ping,
    "members.ping_request": peers.members.messages.PingRequest,
    "members.ack": peers.members.messages.Ack,
    "members.nack": peers.members.messages.Nack,
    "members.gossip": peers.members.messages.Gossip,
    "members.sync": peers.members.messages.Sync,
    "members.rows": peers.members.messages.Rows,
    # Facts and transfers.
    "facts.entry": peers.facts.messages.Entry,
    "facts.record": peers.facts.messages.Record,
    "facts.part": peers.facts.messages.Part,
    "facts.compare": peers.facts.messages.Compare,
    "facts.differ": peers.facts.messages.BucketChecksums,
    "facts.listed": peers.facts.messages.BucketEntries,
    "facts.want": peers.facts.messages.Want,
    "facts.delta": peers.facts.messages.Delta,
    "facts.item": peers.facts.messages.PushedRecord,
    "facts.news": peers.facts.messages.Push,
    "transfer.offer": peers.facts.messages.Offer,
    "transfer.ready": peers.facts.messages.Ready,
    "transfer.chunk": peers.facts.messages.Chunk,
    "transfer.done": peers.facts.messages.Done,
    "transfer.refused": peers.facts.messages.Refused,
    "transfer.cancel": peers.facts.messages.Cancel,
    # Leases.
    "lease.item": peers.lease.messages.Item,
    "lease.no": peers.lease.messages.Refusal,
    "lease.prepare": peers.lease.messages.Prepare,
    "lease.promised": peers.lease.messages.Promised,
    "lease.propose": peers.lease.messages.Propose,
    "lease.granted": peers.lease.messages.Granted,
    "lease.renew": peers.lease.messages.Renew,
    "lease.extended": peers.lease.messages.Extended,
    "lease.refused": peers.lease.messages.Refused,
    "lease.release": peers.lease.messages.Release,
    "lease.released": peers.lease.messages.Released,
    "lease.recall": peers.lease.messages.Recall,
    "lease.recalled": peers.lease.messages.Recalled,
    # Channels: copies at standbys, hand-off, directory.
    "channel.standing": peers.port.SessionStatus,
    "channel.as_of": peers.channel.messages.Freshness,
    "channel.hail": peers.channel.messages.OwnerHeartbeat,
    "channel.deltas": peers.channel.messages.Deltas,
    "channel.piece": peers.channel.messages.SnapshotPiece,
    "channel.have": peers.channel.messages.ReplicaAck,
    "channel.dropped": peers.channel.messages.ReplicaDropped,
    "channel.payload_wanted": peers.channel.messages.PayloadRequest,
    "channel.payload_piece": peers.channel.messages.PayloadPiece,
    "channel.offer": peers.channel.messages.Offer,
    "channel.accept": peers.channel.messages.Accept,
    "channel.decline": peers.channel.messages.Decline,
    "channel.moved": peers.channel.messages.HandoffPart,
    "channel.late": peers.channel.messages.HandoffUpdate,
    "channel.got": peers.channel.messages.HandoffAck,
    "channel.yours": peers.channel.messages.HandoffCommit,
    "channel.acting": peers.channel.messages.TargetActive,
    "channel.cancel": peers.channel.messages.Cancel,
    "channel.registered": peers.channel.messages.Registered,
    "channel.unregistered": peers.channel.messages.Unregistered,
    "channel.where": peers.channel.messages.LocateSession,
    "channel.there": peers.channel.messages.SessionLocation,
    # Requests forwarded to the front that owns a session.
    "forward.carry": peers.forward.messages.Carry,
    "forward.carried": peers.forward.messages.Carried,
    # The record of acts: messages, blocks, heads.
    "acts.versions": peers.acts.versions.Versions,
    "acts.ping": peers.acts.messages.Ping,
    "acts.pong": peers.acts.messages.Pong,
    "acts.keep": peers.acts.messages.Keep,
    "acts.kept": peers.acts.messages.Kept,
    "acts.select": peers.acts.messages.Select,
    "acts.ask": peers.acts.messages.Ask,
    "acts.row": peers.acts.messages.Row,
    "acts.run": peers.acts.messages.Run,
    "acts.cover": peers.acts.messages.Cover,
    "acts.held": peers.acts.messages.Held,
    "acts.piece": peers.acts.messages.Piece,
    "acts.block": peers.acts.block.Block,
    "acts.head": peers.acts.heads._Head,
    # Stragglers.
    "late.part": peers.late.messages.CatchUpData,
    "late.brought": peers.late.messages.CatchUpDone,
    "late.against": peers.late.messages.VoteEntry,
    "late.votes": peers.late.messages.Votes,
    "late.seen": peers.late.messages.EvidenceReport,
    # Values of facts.
    "fact.load": peers.peer.Load,
    "fact.keepers": peers.keeper_reconfiguration._Set,
    "fact.tally": peers.estimate.loads.Load,
    "fact.summary": peers.estimate.summary.Summary,
    "fact.summary.shard": peers.estimate.summary.Shard,
    "fact.summary.older": peers.estimate.summary.Older,
    "fact.summary.frequent": peers.estimate.sketches.Frequent,
    "fact.summary.steps": peers.estimate.sketches.Steps,
    # What operators ask as JSON.
    "question.still": peers.acts.plan.Still,
    "question.after_drain": peers.acts.plan.AfterDrain,
    "question.refusal": peers.acts.plan.Refusal,
    "question.acts": peers.acts.plan.Acts,
    "order.limit": peers.order_estimation.Limit,
    "order.drain_rack": peers.order_estimation._Drain,
    "order.raise_epoch": peers.order_estimation._Raise,
    "order.restart_front": peers.order_estimation._Restart,
    "order.move_channels": peers.order_estimation._Move,
}
"""From stable names to the structs that cross a wire or a disk. The names stay when classes are renamed."""

ENUMS: dict[str, type[Enum]] = {
    "members.state": peers.members.messages.State,
    "acts.deed": peers.port.AuditEvent,
    "acts.sure": peers.acts.clock.Sure,
    "acts.why": peers.acts.merge.Why,
    "late.kind": peers.late.messages.Kind,
    "late.state": peers.late.events.State,
    "link.drop": peers.link.rules.Drop,
    "wire.seal.kind": peers.wire.seal.RefusalKind,
}
"""From stable names to the enums whose values are sent, stored, or shown to an operator."""

IN_MEMORY: dict[str, str] = {
    # struct or enum, by module below `fernweir.peers` and name: why it has no sample
    "base.Message": "base class of messages, is never sent itself",
    "acts.plan._Asked": "base class of questions, is never sent itself",
    "order_estimation._Asked": "base class of orders, is never sent itself",
    "estimate.parts.Part": "a step of an estimate, never encoded",
    "estimate.bounds.Bound": "a quantity within one process; shown as a list, which formats.json has",
    "estimate.bounds.Planned": "a plan of reads within one process, never encoded",
    "estimate.selectivity.Match": "a step of an estimate, never encoded",
    "estimate.question.Row": "a row while its shard is built; only the shard's summary is published",
    "estimate.question.Query": "a question within one process; shown as `question.acts`",
    "channel.handoff_source.Step": "where a hand-off stands at its source, never encoded",
    "channel.handoff_target.Step": "where a hand-off stands at its target, never encoded",
    "estimate.waves.Phase": "where an order in waves stands, never encoded",
    "link.registry.Proof": "the verdict on a connection's first frame, never encoded",
    "link.registry.Due": "what is due on a connection, never encoded",
    "acts.shelf.Put": "the result of one call, never encoded",
}
"""Types without a sample, each with its reason. A new type is either here or in one of the tables above."""

_ABSTRACT = (Enum, IntEnum, StrEnum)
_STABLE = {kind: name for table in (TYPES, ENUMS) for name, kind in table.items()}
_VARIANTS = 8  # enough for every member of every enum and every type of a union


# --- values without names ---


def plain(value: object) -> Any:
    """A decoded value as JSON can hold it, without any name that the code may change."""
    if isinstance(value, Enum):
        return {"enum": value.value}
    if value is None or isinstance(value, bool | int | str):
        return value
    if isinstance(value, float):
        return value if abs(value) < float("inf") else {"float": str(value)}
    if isinstance(value, bytes | bytearray):
        return {"hex": value.hex()}
    if isinstance(value, msgspec.Struct):
        return _plain_struct(value)
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, Mapping):
        return {"map": [[plain(key), plain(item)] for key, item in value.items()]}
    if isinstance(value, Sequence):
        return [plain(item) for item in value]
    raise TypeError(f"no plain form of {value!r}")


def _plain_struct(value: msgspec.Struct) -> dict[str, Any]:
    config = value.__struct_config__
    found: dict[str, Any] = {"tag": config.tag}
    if not config.array_like:
        found["tag_field"] = config.tag_field
        found["encoded_names"] = list(value.__struct_encode_fields__)
    found["fields"] = [plain(getattr(value, name)) for name in value.__struct_fields__]
    return found


def same(one: object, other: object) -> bool:
    """Whether two plain values are alike in type too: 1, 1.0 and True differ."""
    return json.dumps(one) == json.dumps(other)


# --- layouts ---


def layout(kind: type[msgspec.Struct]) -> dict[str, Any]:
    """All of a struct that reaches its bytes, and its fields' names as they are in the code."""
    info = _info(kind)
    return {
        "array_like": info.array_like,
        "tag": info.tag,
        "tag_field": None if info.array_like else info.tag_field,
        "forbid_unknown_fields": info.forbid_unknown_fields,
        "fields": [_field_layout(field, info.array_like) for field in info.fields],
        "attributes": [field.name for field in info.fields],
    }


def _field_layout(field: inspect.Field, array_like: bool) -> dict[str, Any]:
    found: dict[str, Any] = {"type": describe(field.type), "required": field.required}
    if not array_like:
        found["encoded_name"] = field.encode_name
    if not field.required:
        found["default"] = plain(_default(field))
    return found


def describe(kind: inspect.Type) -> str:
    """A type with its bounds, as text in which structs and enums have their stable names."""
    match kind:
        case inspect.StructType(cls=cls) | inspect.EnumType(cls=cls):
            return _STABLE.get(cls, "unknown")
        case inspect.UnionType(types=types):
            return " | ".join(sorted(describe(one) for one in types))
        case inspect.ListType(item_type=item) | inspect.VarTupleType(item_type=item):
            return f"array of ({describe(item)}){_bounds(kind)}"
        case inspect.TupleType(item_types=items):
            return f"({', '.join(describe(one) for one in items)})"
        case inspect.LiteralType(values=values):
            return f"one of {list(values)}"
    return type(kind).__name__.removesuffix("Type").lower() + _bounds(kind)


def _bounds(kind: inspect.Type) -> str:
    names = ("gt", "ge", "lt", "le", "multiple_of", "min_length", "max_length", "pattern")
    stated = {name: getattr(kind, name, None) for name in names}
    found = [f"{name} {_number(value)}" for name, value in stated.items() if value is not None]
    return f" [{', '.join(found)}]" if found else ""


def _number(bound: Any) -> Any:
    """0 for 0.0: which of two equal annotations `typing` has cached depends on the order of imports."""
    return int(bound) if isinstance(bound, float) and bound.is_integer() else bound


def layout_problems(stored: Mapping[str, Any], kind: type[msgspec.Struct]) -> list[str]:
    """What a struct's layout differs in from the stored one.

    A field may have another attribute name, but a name that is still there must be in its old place: else
    fields of the same type were reordered, which the bytes alone can't show.
    """
    now = layout(kind)
    problems = [
        f"{part}: {now[part]} instead of {stored[part]}"
        for part in ("array_like", "tag", "tag_field", "forbid_unknown_fields", "fields")
        if not same(now[part], stored[part])
    ]
    return problems + moved_names(stored["attributes"], now["attributes"])


def moved_names(stored: Sequence[str], now: Sequence[str]) -> list[str]:
    """Names that are in both lists and in another place of the second."""
    places = {name: place for place, name in enumerate(stored)}
    return [
        f"{name} is at place {place}, was at {places[name]}"
        for place, name in enumerate(now)
        if places.get(name, place) != place
    ]


def enum_values(kind: type[Enum]) -> list[list[Any]]:
    """Each member's name in the code and its value, in order."""
    return [[name, member.value] for name, member in kind.__members__.items()]


def enum_problems(stored: Sequence[Sequence[Any]], kind: type[Enum]) -> list[str]:
    """What an enum differs in from the stored one: values, or which member has which.

    A member may have another name, but a name that is still there must have its old value.
    """
    now = enum_values(kind)
    old, new = [value for _, value in stored], [value for _, value in now]
    problems = [] if same(old, new) else [f"values {new} instead of {old}"]
    old_by_name = {str(name): value for name, value in stored}
    return problems + [
        f"{name} is {value!r}, was {old_by_name[name]!r}"
        for name, value in now
        if name in old_by_name and not same(old_by_name[name], value)
    ]


# --- samples of structs ---


@dataclasses.dataclass(slots=True)
class _Maker:
    """Makes values of types. Each number and text is another one, so that two fields that change places show.

    `variant` chooses among the members of enums and the types of unions; `extreme` is "least" or "largest"
    for the ends of each type's range, else empty.
    """

    variant: int = 0
    extreme: str = ""
    made: int = 0
    inside: list[type] = dataclasses.field(default_factory=list)

    def struct(self, kind: type[msgspec.Struct], only_required: bool = False) -> msgspec.Struct:
        fields = [field for field in _info(kind).fields if field.required or not only_required]
        self.inside.append(kind)
        made = kind(**{field.name: self.value(field.type) for field in fields})
        self.inside.pop()
        return made

    def value(self, kind: inspect.Type) -> Any:
        match kind:
            case inspect.BoolType():
                return self.extreme != "least"
            case inspect.IntType():
                return self._integer(kind)
            case inspect.FloatType():
                return self._float(kind)
            case inspect.StrType():
                return self._text(kind)
            case inspect.BytesType():
                least = 0 if self.extreme == "least" else len(b"b%d" % self._next())
                return (b"b%d" % self.made)[:least].ljust(kind.min_length or 0, b".")
            case inspect.EnumType(cls=cls):
                members = list(cls)
                return members[self._choice(len(members))]
            case inspect.LiteralType(values=values):
                return sorted(values)[self._choice(len(values))]
            case inspect.UnionType(types=types):
                return self._union(types)
            case inspect.TupleType(item_types=items):
                return tuple(self.value(item) for item in items)
            case inspect.VarTupleType(item_type=item):
                return tuple(self._items(kind, item))
            case inspect.ListType(item_type=item):
                return list(self._items(kind, item))
            case inspect.StructType(cls=cls):
                return self.struct(cls)
        raise TypeError(f"no sample of {kind}")

    def _next(self) -> int:
        self.made += 1
        return self.made

    def _choice(self, count: int) -> int:
        last = {"least": 0, "largest": count - 1}
        return last.get(self.extreme, self.variant % count)

    def _integer(self, kind: inspect.IntType) -> int:
        least = kind.ge if kind.ge is not None else 0 if kind.gt is None else kind.gt + 1
        most = kind.le if kind.le is not None else 2**63 - 1 if kind.lt is None else kind.lt - 1
        if self.extreme:
            return int(least if self.extreme == "least" else most)
        return int(least + (self._next() - least) % (most - least + 1))

    def _float(self, kind: inspect.FloatType) -> float:
        least = kind.ge if kind.ge is not None else 0.0 if kind.gt is None else kind.gt + 0.125
        most = kind.le if kind.le is not None else 1e300
        if self.extreme:
            return float(least if self.extreme == "least" else most)
        return float(min(most, max(least, 0.0) + self._next() + 0.5))

    def _text(self, kind: inspect.StrType) -> str:
        choices = re.fullmatch(r"\^\(([a-z|]+)\)\$", kind.pattern or "")
        if choices:
            words = choices[1].split("|")
            return words[self._choice(len(words))]
        if self.extreme == "least" and not kind.pattern:
            return "x" * (kind.min_length or 0)
        return f"v{self._next()}" if self.extreme != "largest" or kind.pattern else f"\u00e9{self._next()}"

    def _union(self, types: Sequence[inspect.Type]) -> Any:
        some = [one for one in types if not isinstance(one, inspect.NoneType)]
        if len(some) < len(types) and self.extreme == "least":
            return None
        return self.value(some[self._choice(len(some))])

    def _items(self, kind: inspect.ListType | inspect.VarTupleType, item: inspect.Type) -> Iterator[Any]:
        most = 2 if kind.max_length is None else min(2, kind.max_length)
        nested = isinstance(item, inspect.StructType) and self.inside.count(item.cls) > 1
        count = kind.min_length or 0 if self.extreme == "least" or nested else most
        return (self.value(item) for _ in range(count))


@cache
def _info(kind: type[msgspec.Struct]) -> inspect.StructType:
    found = inspect.type_info(kind)
    assert isinstance(found, inspect.StructType)
    return found


def _default(field: inspect.Field) -> Any:
    return field.default_factory() if field.default is inspect.NODEFAULT else field.default


def encode(value: msgspec.Struct) -> bytes:
    """Msgpack for what goes by position, JSON for what goes by name, as the code has them."""
    config = value.__struct_config__
    return msgspec.msgpack.encode(value) if config.array_like else msgspec.json.encode(value)


def decode(kind: type[msgspec.Struct], data: bytes) -> msgspec.Struct:
    if kind.__struct_config__.array_like:
        return msgspec.msgpack.decode(data, type=kind)
    return msgspec.json.decode(data, type=kind)


def struct_samples(name: str) -> list[dict[str, Any]]:
    """Samples of one type: all fields set in several ways, defaults, the ends of ranges, an older format's.

    One whose `written` is false is read only: the array ends before the fields that have defaults.
    """
    kind = TYPES[name]
    made: list[tuple[str, msgspec.Struct]] = [("full", _Maker().struct(kind))]
    made += [(f"variant {number}", _Maker(number).struct(kind)) for number in range(1, _VARIANTS)]
    made += [(end, _Maker(extreme=end).struct(kind)) for end in ("least", "largest")]
    bare = _Maker().struct(kind, only_required=True)
    made.append(("defaults", bare))
    found: dict[bytes, dict[str, Any]] = {}
    for title, value in made:
        data = encode(value)
        found.setdefault(data, _sample(f"{name}, {title}", name, data, value, True))
    data = _without_defaults(kind, bare)
    found.setdefault(data, _sample(f"{name}, short", name, data, bare, False))
    return list(found.values())


def _sample(title: str, name: str, data: bytes, value: msgspec.Struct, written: bool) -> dict[str, Any]:
    return {"name": title, "type": name, "bytes": data.hex(), "written": written, "value": plain(value)}


def _without_defaults(kind: type[msgspec.Struct], value: msgspec.Struct) -> bytes:
    info = _info(kind)
    if not info.array_like:
        names = [field.encode_name for field in info.fields if not field.required]
        content = msgspec.json.decode(msgspec.json.encode(value))
        return msgspec.json.encode({key: item for key, item in content.items() if key not in names})
    content = msgspec.msgpack.decode(msgspec.msgpack.encode(value))
    kept = sum(field.required for field in info.fields) + (info.tag is not None)
    return msgspec.msgpack.encode(content[:kept])


def sample_problems(sample: Mapping[str, Any], kind: type[msgspec.Struct]) -> list[str]:
    """What a sample's bytes are read or written differently in than when they were stored."""
    data = bytes.fromhex(sample["bytes"])
    try:
        value = decode(kind, data)
    except msgspec.MsgspecError as error:
        return [f"not read: {error}"]
    problems = []
    if not same(plain(value), sample["value"]):
        problems.append(f"read as {plain(value)} instead of {sample['value']}")
    if sample["written"] and encode(value) != data:
        problems.append(f"written as {encode(value).hex()} instead of {data.hex()}")
    return problems


# --- files ---


def files() -> dict[str, Callable[[], list[dict[str, Any]]]]:
    """Each file of struct samples, by the first word of its types' stable names."""
    parts: dict[str, list[str]] = {}
    for name in TYPES:
        parts.setdefault(name.partition(".")[0], []).append(name)

    def samples(names: list[str]) -> Callable[[], list[dict[str, Any]]]:
        return lambda: [sample for name in names for sample in struct_samples(name)]

    return {part: samples(names) for part, names in parts.items()}


def load(part: str) -> Any:
    return json.loads((FOLDER / f"{part}.json").read_text())


def save(part: str, content: Sequence[Any] | Mapping[str, Any]) -> int:
    """Writes one file, an entry a line, and gives its size in bytes."""
    if isinstance(content, Mapping):
        lines = [f"{json.dumps(key)}: {json.dumps(value)}" for key, value in content.items()]
        text = "{\n" + ",\n".join(lines) + "\n}\n"
    else:
        text = "[\n" + ",\n".join(json.dumps(one) for one in content) + "\n]\n"
    return (FOLDER / f"{part}.json").write_text(text)
