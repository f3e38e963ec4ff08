"""Golden bytes of what the peers write by hand: bodies, frames, seals, blocks, segments, digests, answers.

Each `Format` makes its bytes from fixed values through the code's own functions, and reads bytes back to
values without names of attributes. Digests and answers to operators are only made: nobody reads them back.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from tempfile import TemporaryDirectory
from types import SimpleNamespace
from typing import Any

import msgspec

from fernweir.front import peering as front_peering
from fernweir.front.endpoint_list import EndpointList, read_document
from fernweir.interface import Idempotency, Settings
from fernweir.node import peering as node_peering
from fernweir.peers import keeper_reconfiguration, order_estimation, peer, query_planning, straggler_control
from fernweir.peers.acts import desk, plan, segment, versions
from fernweir.peers.acts.answers import Answerer, value_of
from fernweir.peers.acts.block import Sealed, read, records, seal
from fernweir.peers.acts.chain import Chain, Head
from fernweir.peers.acts.clock import Clocks, Sure, When
from fernweir.peers.acts.copies import Copies
from fernweir.peers.acts.heads import Missing, Shortened, Tampered, from_bytes, to_bytes
from fernweir.peers.acts.merge import Answer, Found, Gap, Said, StillOn, Why
from fernweir.peers.acts.messages import Ask, Keep, Piece, Select
from fernweir.peers.acts.messages import Ping as ClockPing
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.store import Store
from fernweir.peers.acts.versions import Versions
from fernweir.peers.base import Send, rendezvous
from fernweir.peers.channel import channel_names
from fernweir.peers.channel.messages import LocateSession
from fernweir.peers.estimate import question, sketches, summary
from fernweir.peers.estimate.bounds import Bound, Estimate, Planned
from fernweir.peers.estimate.limits import Refused
from fernweir.peers.estimate.loads import Tally, read_load
from fernweir.peers.estimate.question import Query
from fernweir.peers.estimate.rules import ShardRules
from fernweir.peers.estimate.sketches import Frequent, Steps
from fernweir.peers.estimate.summary import Older, Shard, Summary
from fernweir.peers.facts.buckets import bucket_checksums, bucket_of, total_checksum
from fernweir.peers.facts.owner_state import OwnerState
from fernweir.peers.late.messages import Kind, content_of
from fernweir.peers.lease.messages import Recall
from fernweir.peers.lease.rules import KeeperSet
from fernweir.peers.members.messages import Nack, Record, State
from fernweir.peers.members.table import MemberTable, part_of
from fernweir.peers.peer import KINDS
from fernweir.peers.port import AuditEvent, AuditRecord, FrontLimits, SessionStatus
from fernweir.peers.wire import keys
from fernweir.peers.wire.codec import Codec
from fernweir.peers.wire.conversation import Conversation
from fernweir.peers.wire.frames import FrameReader, frame
from fernweir.peers.wire.seal import Opened, Seal, SealRules
from tests.golden_peers import plain
from tests.helpers import CLASS, RETRY_BUDGET, SETTINGS, SLOW_START

KEYS = (bytes(range(32)), bytes(range(64, 128)))
LIFE = 1_700_000_000_123


@dataclass(frozen=True, slots=True)
class Format:
    """`read` is given the bytes as they are stored. `packed`: zlib, whose output is compared unpacked."""

    make: Callable[[], bytes]
    read: Callable[[bytes], Any]
    packed: bool = False


def format_samples() -> list[dict[str, Any]]:
    """One sample of each format."""
    found = []
    for name, one in FORMATS.items():
        data = one.make()
        found.append({"name": name, "type": name, "bytes": data.hex(), "value": one.read(data)})
    return found


def _as_json(data: bytes) -> Any:
    return json.loads(data)


def _made(make: Callable[[], object]) -> Format:
    """For what is only made: its plain form as JSON."""
    return Format(lambda: json.dumps(plain(make())).encode(), _as_json)


# --- the wire ---


def _body(count: int) -> bytes:
    return Codec(KINDS).encode([Nack(1), Recall(), ClockPing(2.5), LocateSession(3, "s-1")] * count)


def _with_unknown() -> bytes:
    """As a newer front may write it: a kind that is not known here, and a field behind those that are."""
    return msgspec.msgpack.encode([["m.nack", 1], ["not.known", 5, "x"], ["acts.ping", 2.5, "later field"]])


def _read_body(data: bytes) -> Any:
    return plain(Codec(KINDS).decode(data, 1))


def _read_frames(data: bytes) -> Any:
    frames = FrameReader()
    frames.feed(data)
    return [plain(frames.next()), plain(frames.next())]


def _datagram(which: int) -> Callable[[], bytes]:
    def make() -> bytes:
        sealing = Seal((KEYS[which],), "front-a", LIFE, SealRules(formats=(1, 3)))
        sealing.seal(b"the first", 1)
        return sealing.seal(b"the second", 3)

    return make


def _open_datagram(data: bytes) -> Any:
    found = Seal(KEYS, "front-b", LIFE, SealRules(formats=(1, 3))).try_open(data)
    assert isinstance(found, Opened)
    return plain(found)


def _conversations() -> tuple[Conversation, Conversation]:
    """A caller with the second key first, and a front that is called."""
    caller = Conversation(KEYS[::-1], "front-a", LIFE, bytes(range(16)), (1, 3))
    called = Conversation(KEYS, "front-b", LIFE + 5, bytes(range(16, 32)), (2, 4))
    return caller, called


def _read_hello(data: bytes) -> Any:
    called = _conversations()[1]
    called.accept_hello(data)
    return [called.peer, called.peer_incarnation, called.format]


def _connection() -> bytes:
    """Hello and two frames, as one side writes them."""
    caller, called = _conversations()
    caller.accept_hello(called.hello())
    return frame(caller.hello()) + frame(caller.seal(b"")) + frame(caller.seal(b"a body"))


def _read_connection(data: bytes) -> Any:
    called, frames = _conversations()[1], FrameReader()
    called.hello()
    frames.feed(data)
    called.accept_hello(frames.next() or b"")
    return [plain(called.open(frames.next() or b"")), called.proven, plain(called.open(frames.next() or b""))]


def _read_key(data: bytes) -> Any:
    with TemporaryDirectory() as folder:
        path = Path(folder) / "key"
        path.write_bytes(data)
        return plain(keys.read_key(path))


# --- the record of acts ---

RESTED = tuple(
    Versions(f"program-{number}", b"%016d" % number, number, b"b%015d" % number, 10 + number, b"k" * 16, 1)
    for number in (1, 2)
)
ACTS = tuple(
    (
        AuditRecord(1_000.0 + 10.3 * number, deed, f"session-{number}", f"title-{number % 2}",
            f"t\u00e9nant-{number}", number - 1, f"outcome-{number % 3}"),
        RESTED[number % 2],
    )
    for number, deed in enumerate(AuditEvent)
)  # fmt: skip


def _blocks() -> list[Sealed]:
    first = seal("front-a", LIFE, 1, b"", ACTS, 1_200.0, 1.7e12, 1.5)
    second = seal("front-a", LIFE, 2, first.digest, ACTS[2:4], 1_300.5, 1.7e12 + 3.0, 2.5)
    return [first, second, seal("front-a", LIFE, 3, second.digest, (), 1_400.0, 1.7e12, 0.0, final=True)]


def _block(number: int) -> Format:
    return Format(lambda: _blocks()[number].data, _read_block)


def _read_block(data: bytes) -> Any:
    sealed = read(data, 1 << 20, 512)
    return [plain(sealed.block), plain(sealed.digest), plain(records(sealed.block))]


def _segment() -> bytes:
    data = segment.make(_blocks()).data
    assert data is not None
    return data


def _read_segment(data: bytes) -> Any:
    return [_read_block(sealed.data) for sealed in segment.unpack(data, ActRules())]


def _copies(me: str, rules: ActRules) -> Copies:
    return Copies(me, LIFE, rules, Chain(me, LIFE, rules), Store(me, rules))


def _packed_copy() -> bytes:
    """The message with which an owner sends a block to be kept, packed as it is large."""
    copies = _copies("front-a", ActRules())
    copies.members(0.0, {"front-a": LIFE, "front-b": LIFE})
    copies.chain.wall(0.0, 1.7e12, 1.5)
    for act, rested in ACTS:
        copies.chain.add(act, rested)
    copies.flush(1_500.0)
    sent = [
        one.message
        for one in copies.take_effects()
        if isinstance(one, Send) and isinstance(one.message, Keep)
    ]
    assert len(sent) == 1 and sent[0].packed
    return msgspec.msgpack.encode(sent[0])


def _read_copy(data: bytes) -> Any:
    """What a holder has after it came."""
    copies = _copies("front-b", ActRules())
    copies.members(0.0, {"front-a": LIFE, "front-b": LIFE})
    copies.on_message(0.0, "front-a", msgspec.msgpack.decode(data, type=Keep))
    shelf = copies.store.shelf("front-a", LIFE)
    kept = shelf.block(1) if shelf is not None else None
    return _read_block(kept.data) if kept is not None else None


def _unpacked_copy(data: bytes) -> bytes:
    message = msgspec.msgpack.decode(data, type=Keep)
    return msgspec.msgpack.encode(msgspec.structs.replace(message, data=zlib.decompress(message.data)))


def _selects() -> list[Select]:
    """Each field that a question can name, and each kind of version, by value and as runs."""
    wanted = [
        Select(),
        Select(deeds=(AuditEvent.MOVE, AuditEvent.LEASE)),
        Select(session="session-2"),
        Select(box=3),
    ]
    wanted += [Select(title="title-1"), Select(tenant="t\u00e9nant-4"), Select(outcome="outcome-1")]
    wanted += [Select(since=1_010.0, until=1_030.0), Select(deeds=(AuditEvent.REFUSED,), context=20)]
    for kind in ("program", "settings", "epoch", "boxes", "keys", "format", "unknown"):
        wanted += [Select(kind=kind, value=value_of(RESTED[0], kind)), Select(kind=kind, runs=True)]
    return wanted


def _pieces() -> bytes:
    """What a front answers to questions about its own record, from blocks and from segments with an index."""
    found = []
    for rules in (ActRules(), ActRules(segment_blocks=1)):
        copies = _copies("front-a", rules)
        for sealed in _blocks():
            copies.store.put(sealed)
        answerer = Answerer(copies, Clocks("front-a", LIFE, rules, 1), rules)
        for number, select in enumerate(_selects()):
            ask = Ask(number, "front-a", LIFE, select, 1, 0, 3, 100, 60_000, True)
            found.append(answerer.answer(1_600.0, ask))
    return msgspec.msgpack.encode(found)


def _read_pieces(data: bytes) -> Any:
    return plain(msgspec.msgpack.decode(data, type=list[Piece]))


def _head(head: Head) -> Format:
    return Format(lambda: to_bytes(head), lambda data: plain(from_bytes(data)))


# --- facts ---


class _Facts:
    """Keeps what is put."""

    def __init__(self) -> None:
        self.kept: dict[str, bytes] = {}

    def put(self, now: float, key: str, value: bytes, urgent: bool = False) -> None:
        self.kept[key] = value


def _keeper_reconfiguration(facts: _Facts, first: KeeperSet) -> keeper_reconfiguration.KeeperReconfiguration:
    holder = SimpleNamespace(change_keepers=lambda now, sets: None)
    keeper = SimpleNamespace(change_keepers=lambda now, sets: True, has_settled=lambda now: True)
    made: Any = keeper_reconfiguration.KeeperReconfiguration
    return made("front-b", facts, holder, keeper, first)  # type: ignore[no-any-return]


def _keepers() -> bytes:
    facts = _Facts()
    _keeper_reconfiguration(facts, KeeperSet(7, ("front-a", "front-b", "front-c"))).start(0.0)
    return facts.kept[keeper_reconfiguration.KEEPERS]


def _read_keepers(data: bytes) -> Any:
    """The newest set once it was told, and what this keeper of it says in turn: that it is settled."""
    facts = _Facts()
    part = _keeper_reconfiguration(facts, KeeperSet(1, ("front-a",)))
    part.on_fact(0.0, "front-a", keeper_reconfiguration.KEEPERS, data)
    return [plain(part.sets), plain(facts.kept)]


def _standing(number: int) -> SessionStatus:
    return SessionStatus(
        f"session-{number}", "dash", f"viewer-{number}", f"title-{number}", "live", 4, "tenant", number,
        number % 2, number, number, b"p" * 16, 2, 1,
    )  # fmt: skip


def _tally() -> bytes:
    tally = Tally("front-a", LIFE, lambda session: f"channel of {session}", (100.0, 250.5), ShardRules(), 0.0)
    for number in range(3):
        tally.stands(1_000.0 * number, _standing(number))
    tally.over(4_000.0, "session-1")
    return tally.load(5_000.0, 9, 0.75)


def _summary() -> bytes:
    rows = 5
    fields = tuple(Frequent((f"{field} one", f"{field} two"), (2, 1), 2, 2, 1) for field in summary.COUNTED)
    found = sketches.pack_filter([sketches.key("session", f"session-{n}") for n in range(rows)], 0.01, 512)
    sample = tuple(bytes((place, 0, summary.REST)) for place in range(len(summary.COUNTED)))
    return summary.encode(
        Summary(
            summary.FORMAT, question.ACTS, Shard("front-a", LIFE, "3", 10.0, 60.0), True, 70.0, rows, 500,
            4, 2, fields, found, Steps((10.0, 20.0, 50.0), (0, 2, rows), (0, 200, 500)), sample,
            ((10.0, 20.0), (30.0, 50.0)), 1.5, 0.5, 2.5, Older(2, 30, 4_000, 1.0, 9.0),
        )
    )  # fmt: skip


def _read_summary(data: bytes) -> Any:
    known = summary.read("front-a", LIFE, data, 80.0)
    assert known.filter is not None
    inside = [sketches.key("session", f"session-{number}") in known.filter for number in range(8)]
    return [plain(known.summary), inside]


def _published() -> bytes:
    """The facts in which a front sums up its record and what stands there, from acts and sessions."""
    clocks: Any = SimpleNamespace()
    part = query_planning.QueryPlanner("front-a", LIFE, query_planning.QueryPlannerRules(), 0.0, clocks)
    for act, rested in ACTS:
        part.add_audit_record(act, rested)
    for number in range(3):
        part.on_session_status(1_000.0 * number, _standing(number))
    part.on_session_ended(4_000.0, "session-1")
    return msgspec.msgpack.encode(part.publish(5_000.0)[0])


def _read_published(data: bytes) -> Any:
    found = msgspec.msgpack.decode(data, type=dict[str, bytes])
    names = [("session", f"session-{number}") for number in range(8)]
    wanted = [sketches.key(*pair) for pair in (*names, ("deed", "setup"), ("title", "title-1"), ("box", "2"))]
    read_all = {key: summary.read("front-a", LIFE, one, 0.0) for key, one in found.items()}
    return [
        [key, plain(one.summary), [one.filter is not None and item in one.filter for item in wanted]]
        for key, one in read_all.items()
    ]


def _held(owner: str, life: int, known: int, floor: int) -> OwnerState:
    held = OwnerState(owner, life)
    held.known = held.seen = known
    held.floor = floor
    return held


HELD = tuple(_held(f"front-{number}", LIFE + number, 10 * number, number) for number in range(20))


def _table_checksums() -> list[int]:
    table = MemberTable("front-0", 100)
    for number in range(40):
        table.put(0.0, Record(f"front-{number}", State(number % 4), LIFE, number, "host", 4_000 + number))
    return table.checksums


# --- what the rest of a front gives to its peers ---


def node_settings(settings: Settings) -> dict[str, str]:
    """The settings whose digest tells nodes whether they act on the same ones."""
    config: Any = SimpleNamespace(
        settings=settings, server_types=("small", "large"), connect_timeout_ms=250.0, idle_timeout_ms=None
    )
    return node_peering._platform_settings(config)


def _all_settings() -> Settings:
    classes = [replace(CLASS, name=str(effect.value), idempotency=effect) for effect in Idempotency]
    return replace(
        SETTINGS, classes=tuple(classes), slow_start=SLOW_START, retry_budget=RETRY_BUDGET, front_index=3
    )


def _few_settings() -> Settings:
    unset = dict.fromkeys(("uplink_rate_kbyte_s", "max_attempts", "max_retry_after_ms", "drain_grace_ms"))
    return replace(SETTINGS, classes=(CLASS,), **unset)  # type: ignore[arg-type]


def _box_list() -> bytes:
    """A held list as a front gives it to a peer that lacks it."""
    boxes = EndpointList(SETTINGS)
    box = {"box": 1, "host": "10.0.0.1", "port": 8_001, "state": "ready", "boot": "b-1", "age_s": 5.5}
    lines = [{**box, "cell": 1, "kind": 0, "weight": 1.5}]
    lines += [{**box, "box": 2, "state": "draining", "cell": 2, "boot": "", "age_s": None}]
    lines += [{**box, "box": 3, "state": "gone", "cell": 3}]
    told = {"epoch": "e-1", "version": 7, "boxes": lines}
    told["lessons"] = [{"title": "title-1", "cell": 1, "copies": 2}, {"title": "a.b", "cell": 0, "copies": 1}]
    boxes.apply_full(0.0, read_document(json.dumps(told)))
    return boxes.to_cache()


def _read_box_list(data: bytes) -> Any:
    """The document's content, and the rows of which the digest of a list is made."""
    document = read_document(data)
    lessons = [(one.title, one.cell, one.copies) for one in document.lessons]
    rows = front_peering._rows(document.boxes, lessons)
    return [document.epoch, document.version, plain(rows), versions.boxes_digest(rows).hex()]


# --- answers to operators ---


def _found(number: int) -> Found:
    return Found(
        "front-a", LIFE, number, number + 1, When(1.0 + number, 2.0 + number), AuditEvent.REFUSED, "session",
        "title", "tenant", 5, "outcome", RESTED[0], Sure.MAYBE, True,
        (_found(number - 1),) if number else (), When(0.25, 0.5),
    )  # fmt: skip


def _answer(asked: plan.Question) -> dict[str, Any]:
    still = StillOn("front-a", LIFE, When(1.0, 2.0), When(3.0, 4.0), Sure.YES, Sure.NO, (5.0, 6.0), None)
    gaps = [Gap("front-b", LIFE, why, 2, 3 + number, When(4.0, 5.0)) for number, why in enumerate(Why)]
    return desk.to_plain(
        Answer(
            asked, 100.0, [_found(1)], [still], [_found(2)], When(7.0, 8.0), [*gaps, Gap("c", 1, Why.LOST)],
            ["front-c"], [("front-d", 4)], [Said("front-a", LIFE, ("front-b",), 5, 6, (7.0, 8.0))], 9.0, 10,
        )
    )  # fmt: skip


def _estimate(asked: Query) -> Estimate:
    bounds = [Bound(1.0 + number, 2.5 + number, 3.75 + number) for number in range(7)]
    planned = Planned(Shard("front-a", 1, "0", 0.0, 1.0), "acts", 0.0, 1.0, True, bounds[0], bounds[1])
    return Estimate(asked, *bounds, 1_234.5, ("front-z",), (planned,), True)


NARROWED = Query(
    "acts", ("front-a", "front-b"), 1.0, 2.0, "setup", "session", "title", 3, "tenant", "ab" * 16, "outcome"
)


def _refusal() -> dict[str, Any]:
    return query_planning.refused_to_plain(Refused("too much", _estimate(NARROWED), NARROWED, 99.6), 1_000.0)


def _weighed(order: Mapping[str, Any]) -> dict[str, Any]:
    port: Any = SimpleNamespace(
        limits=lambda: FrontLimits((100.0, 250.5), 10_000.0, 5.0, 0.1),
        racks=lambda: [("rack-1", frozenset((0, 1)), 10_000.0)],
    )
    part = order_estimation.OrderEstimator("front-a", LIFE, port, 0.0)
    for number in range(3):
        part.on_session_status(1_000.0 * number, _standing(number), f"channel-{number}")
    part.publish(3_000.0, 9)
    return part.estimate(4_000.0, order, {"front-a": LIFE, "front-b": 2})


ORDERS: dict[str, dict[str, Any]] = {
    "drain_rack": {"order": "drain-rack", "rack": "rack-1", "over_ms": 5_000.0,
                   "limit": {"sessions": 2.0, "setups_s": 50.0, "ration": 0.9, "uplink": 0.9}},
    "raise_epoch": {"order": "raise-epoch", "least": 10},
    "restart_front": {"order": "restart-front", "front": "front-a"},
    "move_channels": {"order": "move-channels", "channels": ["channel-1"], "heirs": ["front-b"]},
    "problem": {"order": "drain-rack", "rack": 5},
}  # fmt: skip
ROWS = [(2, {"state": "on", "cell": 1}), (1, {"cell": 0, "state": "draining"}), (-1, ["x", 1.5, None])]


FORMATS: dict[str, Format] = {
    "wire.body": Format(lambda: _body(1), _read_body),
    "wire.body.long": Format(lambda: _body(5), _read_body),
    "wire.body.unknown": Format(_with_unknown, _read_body),
    "wire.frames": Format(lambda: frame(b"one") + frame(b"x" * 300), _read_frames),
    "wire.datagram": Format(_datagram(0), _open_datagram),
    "wire.datagram.second_key": Format(_datagram(1), _open_datagram),
    "wire.hello": Format(lambda: _conversations()[0].hello(), _read_hello),
    "wire.connection": Format(_connection, _read_connection),
    "wire.key.hex": Format(lambda: KEYS[0].hex().encode() + b"\n", _read_key),
    "wire.key.base64": Format(lambda: b"AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh_-\n", _read_key),
    "wire.key.digest": _made(lambda: [keys.digest(KEYS), keys.digest(KEYS[:1])]),
    "acts.block.first": _block(0),
    "acts.block.next": _block(1),
    "acts.block.final": _block(2),
    "acts.segment": Format(_segment, _read_segment, packed=True),
    "acts.copy": Format(_packed_copy, _read_copy, packed=True),
    "acts.pieces": Format(_pieces, _read_pieces),
    "acts.head": _head(Head(7, b"0123456789abcdef", 1_234.5, 3, True)),
    "acts.head.none": _head(Head(0, b"", 0.5)),
    "acts.digest.boxes": _made(lambda: versions.boxes_digest(ROWS)),
    "acts.digest.settings": _made(
        lambda: versions.settings_digest({"a": {"x": "1", "y": "2"}, "b": {"z": "3"}}, ["a.y", "b.z"])
    ),
    "acts.digest.keys": _made(lambda: versions.keys_digest([("two", b"2"), ("one", b"1"), ("two", b"2")])),
    "fact.keys": _made(
        lambda: [
            peer._LOAD, peer._HEAD, keeper_reconfiguration.KEEPERS, keeper_reconfiguration.SETTLED,
            straggler_control.VERSIONS, straggler_control.PLEA,
            order_estimation.TALLY, query_planning.PREFIX,
        ]
    ),
    "fact.keepers": Format(_keepers, _read_keepers),
    "fact.tally": Format(_tally, lambda data: plain(read_load("front-a", LIFE, data, 1.0))),
    "fact.summary": Format(_summary, _read_summary),
    "fact.summaries": Format(_published, _read_published),
    "fact.summary.words": _made(
        lambda: [question.KINDS, question.FIELDS, summary.COUNTED, summary.REST, summary.FORMAT]
    ),
    "fact.summary.key": _made(lambda: [str(sketches.key("title", "title-1")), str(sketches.key("box", "5"))]),
    "facts.codes": _made(
        lambda: [total_checksum(HELD), bucket_checksums(HELD, 8), [bucket_of(one.owner, 8) for one in HELD]]
    ),
    "members.parts": _made(lambda: [part_of(f"front-{number}") for number in range(8)]),
    "members.sums": _made(_table_checksums),
    "late.content": _made(lambda: [content_of(RESTED[1], kind) for kind in Kind]),
    "channel.name": _made(
        lambda: [channel_names.channel_of("front-a", LIFE, f"session-{number}", 16) for number in range(8)]
    ),
    "channel.name.parsed": Format(
        lambda: b"front:a:1700000000123/15", lambda data: plain(channel_names.parse(data.decode()))
    ),
    "channel.payload.digest": _made(lambda: channel_names.payload_digest(b"a manifest")),
    "rendezvous": _made(lambda: rendezvous("channel-1", [f"front-{number}" for number in range(8)])),
    "front.list": Format(_box_list, _read_box_list),
    "node.settings": _made(lambda: [node_settings(_all_settings()), node_settings(_few_settings())]),
    "node.settings.digest": _made(
        lambda: versions.settings_digest({"platform": node_settings(_all_settings())}, ())
    ),
    "log.record_trouble": _made(
        lambda: [peer.FAULT_TEXTS[kind] for kind in (Missing, Shortened, Tampered)]
    ),
    "answer.still": _made(lambda: _answer(plan.parse({"question": "still", "at": 5.0, "value": "ab"}))),
    "answer.after_drain": _made(lambda: _answer(plan.parse({"question": "after-drain", "box": 5}))),
    "answer.refusal": _made(lambda: _answer(plan.parse({"question": "refusal", "session": "s"}))),
    "answer.estimate": _made(lambda: query_planning.to_plain(_estimate(NARROWED))),
    "answer.refused": _made(_refusal),
    **{f"answer.order.{name}": _made(lambda order=order: _weighed(order)) for name, order in ORDERS.items()},
}  # fmt: skip
"""From stable names to the ways in which bytes are made and read."""


def unpacked(name: str, data: bytes) -> bytes:
    """A packed format's bytes without its compression, as another zlib may compress otherwise."""
    return _unpacked_copy(data) if name == "acts.copy" else zlib.decompress(data)
