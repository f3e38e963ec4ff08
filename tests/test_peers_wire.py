"""Codec, seal, window, conversation and frames, against reference readers written from `docs/peers.md`."""

from __future__ import annotations

import base64
import importlib
import subprocess
import sys
from collections.abc import Callable, Iterator
from hashlib import blake2b
from itertools import pairwise
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Annotated, Any

import msgspec
import pytest

from fernweir.config.front import load_front, parse_front
from fernweir.config.ini import ConfigError, IniFile
from fernweir.peers.base import Message
from tests.peers_mutants import Mutant, broken
from tests.peers_mutants.wire import MUTANTS

KEYS = [bytes([number]) * 32 for number in (1, 2, 3)]  # the last belongs to another fleet
FORMATS = (2, 3)


def load() -> Any:
    """The modules under test, afresh inside `broken`."""
    parts = ("bucket", "codec", "conversation", "frames", "gate", "keys", "seal", "window")
    return SimpleNamespace(**{name: importlib.import_module(f"fernweir.peers.wire.{name}") for name in parts})


# --- reference readers, written from docs/peers.md ---


def tag(use: bytes, data: bytes, key: bytes) -> bytes:
    return blake2b(data, digest_size=16, key=key, person=use).digest()


def write_datagram(name: bytes, life: int, counter: int, form: int, body: bytes, key: bytes) -> bytes:
    head = (
        b"\xfe\x57" + bytes([form, len(name)]) + name + life.to_bytes(8, "big") + counter.to_bytes(8, "big")
    )
    return head + body + tag(b"fernweir dgram", head + body, key)


class ReferenceSeal:
    """Stores every counter that it ever accepted."""

    def __init__(self, name: str, life: int, keys: list[bytes]) -> None:
        self.me, self.keys = (name, life), keys
        self.taken: dict[str, dict[int, set[int]]] = {}

    def open(self, data: bytes) -> Any:
        if len(data) < 37:
            return "short"
        if data[0] != 0xFE or data[1] != 0x57:
            return "magic"
        if data[2] not in FORMATS:
            return "format"
        length = data[3]
        if length not in range(1, 65):
            return "name"
        if len(data) < 4 + length + 16 + 16:
            return "short"
        if not any(tag(b"fernweir dgram", data[:-16], key) == data[-16:] for key in self.keys):
            return "tag"
        try:
            name = str(data[4 : 4 + length], "utf-8")
        except ValueError:
            return "name"
        life = int(data[4 + length : 12 + length].hex(), 16)
        counter = int(data[12 + length : 20 + length].hex(), 16)
        if (name, life) == self.me:
            return "own"
        lives = self.taken.setdefault(name, {})
        if any(other > life for other in lives):
            return "old life"
        seen = lives.setdefault(life, set())
        if counter < 1 or counter in seen or counter <= max(seen, default=0) - 1024:
            return "replay"
        seen.add(counter)
        return (name, life, counter, data[2], data[20 + length : -16])


def reference_frames(stream: bytes, most: int) -> tuple[list[bytes], bool]:
    """Returns all complete frames of a stream, and whether an invalid length stopped it."""
    bodies = []
    while len(stream) >= 4:
        size = stream[0] << 24 | stream[1] << 16 | stream[2] << 8 | stream[3]
        if size < 1 or size > most:
            return bodies, True
        if len(stream) < 4 + size:
            break
        bodies.append(stream[4 : 4 + size])
        stream = stream[4 + size :]
    return bodies, False


# --- random runs, compared with the reference readers ---


def mutated(rng: Random, data: bytes) -> bytes:
    """Returns the data as the network or an attacker might change it."""
    if not data:
        return data
    at = rng.randrange(len(data))
    match rng.randrange(6):
        case 0:
            return data[:at] + bytes([data[at] ^ 1 << rng.randrange(8)]) + data[at + 1 :]
        case 1:
            return data[:at]
        case 2:
            return data + rng.randbytes(rng.randrange(1, 20))
        case 3:
            return data[:at] + data[at + 1 :]
        case 4:
            return data[at:]
        case _:
            return data[:at] + rng.randbytes(1) + data[at:]


def seal_run(seed: int) -> str:
    """Senders restart, repeat and fall back, datagrams are altered; one receiver has two keys."""
    m, rng = load(), Random(seed)
    rules = m.seal.SealRules(formats=FORMATS)
    fast, reference = m.seal.Seal(KEYS[:2], "me", 7, rules), ReferenceSeal("me", 7, KEYS[:2])
    names = [b"a", b"b\xc3\xa9", b"x" * 64, b"me", b"\xff\xfe"]
    lives, highest = dict.fromkeys(names, 7), dict.fromkeys(names, 0)
    sent: list[bytes] = []
    for step in range(400):
        name = rng.choice(names[:3] if rng.random() < 0.9 else names)
        if rng.random() < 0.02:
            lives[name], highest[name] = lives[name] + rng.randrange(1, 300), 0
        if sent and rng.random() < 0.25:
            data = rng.choice(sent[-3:] if rng.random() < 0.5 else sent)
        else:
            back = rng.choice((-1, -1, -1, -2, -900, 1022, 1023, 1024, 1025, rng.randrange(1100)))
            counter = max(0, highest[name] - back)
            highest[name] = max(highest[name], counter)
            life = lives[name] if rng.random() < 0.95 else max(0, lives[name] - 1)
            key = rng.choice(KEYS) if rng.random() < 0.2 else KEYS[0]
            form = rng.choice((1, 2, 3, 4)) if rng.random() < 0.1 else 2
            body = rng.randbytes(rng.choice((0, 1, 40)))
            data = write_datagram(name, life, counter, form, body, key)
            sent.append(data)
        if rng.random() < 0.25:
            data = mutated(rng, data)
            if rng.random() < 0.3 and len(data) > 60:  # well-formed again with the tag of another datagram
                data = data[:-16] + sent[-1][-16:]
        wanted, before = reference.open(data), fast.counts.copy()
        try:
            got: Any = tuple(fast.open(data))
        except m.seal.SealError as error:
            got = error.kind.value
            if fast.counts[error.kind] != before[error.kind] + 1:
                return f"step {step}: {got} was not counted"
        if got != wanted:
            return f"step {step}: {got!r} instead of {wanted!r}"
    ours = m.seal.Seal(KEYS[1:2], "b\u00e9", 9, rules)
    ours.seal(b"", 2)
    if ours.seal(b"body", 3) != write_datagram(b"b\xc3\xa9", 9, 2, 3, b"body", KEYS[1]):
        return "sealed otherwise than the page says"
    return ""


def bit_flip_run(seed: int) -> str:
    """Flips each single bit of a valid datagram: none of the results may open."""
    m, rng = load(), Random(seed)
    data = write_datagram(b"ab", rng.getrandbits(60), 5, 2, rng.randbytes(9), KEYS[0])
    rules = m.seal.SealRules(formats=(1, 255))
    for bit in range(len(data) * 8):
        turned = bytearray(data)
        turned[bit // 8] ^= 1 << bit % 8
        for end in (len(turned), bit // 8):
            try:
                m.seal.Seal(KEYS[:1], "me", 1, rules).open(bytes(turned[:end]))
            except m.seal.SealError:
                continue
            return f"opened with bit {bit} turned over, cut at {end}"
    return ""


def frames_run(seed: int) -> str:
    """Reads a stream of frames, some with a wrong length, in random chunks."""
    m, rng = load(), Random(seed)
    for _ in range(30):
        stream = b"".join(
            m.frames.frame(rng.randbytes(rng.choice((1, 2, 30, 299, 300))))
            for _ in range(rng.randrange(1, 6))
        )
        if rng.random() < 0.5:
            size = rng.choice((0, 301, 2**24 + 5, 2**31 + 1, 2**32 - 1))
            bad = mutated(rng, stream) if rng.random() < 0.5 else size.to_bytes(4, "big") + bytes(9)
            stream = stream + bad if rng.random() < 0.5 else bad + stream
        wanted = reference_frames(stream, 300)
        reader, bodies, stopped = m.frames.FrameReader(300), [], False
        cuts = sorted(rng.randrange(len(stream) + 1) for _ in range(rng.randrange(6)))
        for begin, end in pairwise([0, *cuts, len(stream)]):
            reader.feed(memoryview(stream)[begin:end])
            try:
                while not stopped and (body := reader.next()) is not None:
                    bodies.append(body)
            except m.frames.FrameError:
                stopped = True
        if (bodies, stopped) != wanted:
            return f"{bodies!r}, {stopped} of {stream!r} in pieces at {cuts}, not {wanted!r}"
        if not stopped and reader.buffered_bytes != len(stream) - sum(4 + len(body) for body in bodies):
            return f"{reader.held} bytes held"
    return ""


def conversation_run(seed: int) -> str:
    """Two sides and an attacker who repeats, omits, reflects and alters frames."""
    m, rng = load(), Random(seed)

    def side(name: str, keys: list[bytes]) -> Any:
        return m.conversation.Conversation(keys, name, 5, rng.randbytes(16), (1, 2))

    def pair() -> tuple[Any, Any]:
        one, other = side("here", KEYS[:2]), side("there", KEYS[1::-1])
        one.accept_hello(other.hello())
        other.accept_hello(one.hello())
        return one, other

    (here, there), (_, before) = pair(), pair()
    hello = side("here", KEYS[:1]).hello()
    strangers = [side("here", KEYS[2:]).hello(), side("there", KEYS[:1]).hello(), b""]
    for wrong in [*strangers, *(mutated(rng, hello) for _ in range(5))]:
        try:
            side("there", KEYS[:2]).accept_hello(wrong)
        except m.seal.SealError:
            continue
        if wrong != hello:
            return f"took {wrong!r} for a hello"
    nonces = there.hello()[-32:-16] + here.hello()[-32:-16]
    sent = heard = 0
    recorded = [before.seal(b"old") for _ in range(3)]
    for step in range(60):
        if here.proven != (heard > 0):
            return f"step {step}: proven is {here.proven} after {heard} frames"
        body, kind = rng.randbytes(rng.choice((0, 1, 20))), rng.randrange(8)
        if kind < 4:
            sent += 1
            data, head = there.seal(body), sent.to_bytes(8, "big") + body
            if data != head + tag(b"fernweir frame", nonces + head, KEYS[1]):
                return f"step {step}: sealed otherwise than the page says"
            recorded.append(data)
            if kind == 3:
                data = mutated(rng, data)
        elif kind == 4:
            data = here.seal(body)  # reflected to its sender
        else:
            data = rng.choice(recorded)
        good = len(data) >= 24 and tag(b"fernweir frame", nonces + data[:-16], KEYS[1]) == data[-16:]
        wanted = data[8:-16] if good and int.from_bytes(data[:8], "big") == heard + 1 else None
        try:
            got = here.open(data)
        except m.seal.SealError:
            got = None
        if got != wanted:
            return f"step {step}: {got!r} instead of {wanted!r}"
        heard += wanted is not None
    return ""


RUNS: dict[str, Callable[[int], str]] = {
    "seal": seal_run, "bit flips": bit_flip_run, "frames": frames_run, "conversation": conversation_run,
}  # fmt: skip


@pytest.mark.parametrize("run", RUNS)
def test_random_runs_agree_with_the_reference_readers(run: str) -> None:
    for seed in range(4 if run == "bit flips" else 25):
        assert RUNS[run](seed) == "", f"{run} run {seed}"


@pytest.mark.parametrize("mutant", [one for one in MUTANTS if "/wire/" in one.file], ids=lambda one: one.name)
def test_each_mutant_is_found(mutant: Mutant) -> None:
    with broken(mutant, "fernweir.peers.wire"):
        assert any(run(seed) for seed in range(mutant.seeds) for run in RUNS.values()), (
            "no run found the mutant"
        )


# --- codec ---


class Note(Message, tag="note"):
    number: int
    text: Annotated[str, msgspec.Meta(max_length=8)] = ""
    many: tuple[int, ...] = ()


class NewNote(Message, tag="note"):
    number: int
    text: Annotated[str, msgspec.Meta(max_length=8)] = ""
    many: tuple[int, ...] = ()
    wished: bool = False
    share: float = 0.5


class Mark(Message, tag="mark"):
    data: bytes


class Fresh(Message, tag="fresh"):
    fronts: dict[str, int]


def test_two_formats_in_one_fleet_read_each_other() -> None:
    codec = importlib.import_module("fernweir.peers.wire.codec")
    old, new = codec.Codec([(Note, Mark)], (1, 1)), codec.Codec([(NewNote,), (Mark, Fresh)], (1, 2))
    form = codec.highest_common_format(old.formats, new.formats)
    messages = [NewNote(1, "a", (2,), True, 0.25), Fresh({"x": 1}), Mark(b"z"), Fresh({})]
    assert form == 1
    assert old.decode(new.encode(messages), form) == [Note(1, "a", (2,)), Mark(b"z")]
    assert (old.counts.decoded, old.counts.unknown_kinds, old.counts.malformed) == (2, 2, 0)
    assert new.decode(old.encode([Note(3), Mark(b"")]), form) == [NewNote(3), Mark(b"")]
    assert old.decode(new.encode([Mark(b"")]), 2) == [] and old.counts.unsupported_formats == 1
    assert codec.highest_common_format((1, 2), (3, 4)) is None
    many = [Mark(bytes([n])) for n in range(200)]
    assert old.decode(old.encode(many)) == many


def test_kinds_without_distinct_tags_are_rejected() -> None:
    codec = importlib.import_module("fernweir.peers.wire.codec")

    class Plain(Message):
        pass

    for kinds in ([(Note,), (NewNote,)], [(Plain,)], []):
        with pytest.raises(ValueError):
            codec.Codec(kinds)
    with pytest.raises(ValueError):
        codec.Codec([(Note,)], (2, 1))


class Broken(Exception):
    pass


def reference_value(data: bytes, at: int, depth: int = 0) -> tuple[Any, int]:
    """One value of msgpack and where it ends; text as ("text", bytes), as skipped text may be any bytes."""
    if depth > 500 or at >= len(data):
        raise Broken

    def number(size: int, signed: bool = False) -> int:
        if at + 1 + size > len(data):
            raise Broken
        return int.from_bytes(data[at + 1 : at + 1 + size], "big", signed=signed)

    def take(start: int, size: int) -> tuple[bytes, int]:
        if start + size > len(data):
            raise Broken
        return data[start : start + size], start + size

    def several(start: int, count: int) -> tuple[list[Any], int]:
        values = []
        for _ in range(count):
            value, start = reference_value(data, start, depth + 1)
            values.append(value)
        return values, start

    code = data[at]
    if code < 0x80 or code >= 0xE0:
        return (code if code < 0x80 else code - 256), at + 1
    if code < 0x90:
        return ("map", *several(at + 1, 2 * (code & 15))[:1]), several(at + 1, 2 * (code & 15))[1]
    if code < 0xA0:
        return several(at + 1, code & 15)
    if code < 0xC0:
        text, end = take(at + 1, code & 31)
        return ("text", text), end
    if code in (0xC0, 0xC2, 0xC3):
        return {0xC0: None, 0xC2: False, 0xC3: True}[code], at + 1
    if 0xC4 <= code <= 0xC6:
        size = 1 << (code - 0xC4)
        return take(at + 1 + size, number(size))
    if 0xC7 <= code <= 0xC9:
        size = 1 << (code - 0xC7)
        return ("ext",), take(at + 2 + size, number(size))[1]
    if code in (0xCA, 0xCB):
        return ("float",), take(at + 1, 4 if code == 0xCA else 8)[1]
    if 0xCC <= code <= 0xD3:
        size = 1 << (code - 0xCC) % 4
        return number(size, code >= 0xD0), at + 1 + size
    if 0xD4 <= code <= 0xD8:
        return ("ext",), take(at + 2, 1 << (code - 0xD4))[1]
    if 0xD9 <= code <= 0xDB:
        size = 1 << (code - 0xD9)
        text, end = take(at + 1 + size, number(size))
        return ("text", text), end
    if code in (0xDC, 0xDD):
        size = 2 if code == 0xDC else 4
        return several(at + 1 + size, number(size))
    if code in (0xDE, 0xDF):
        size = 2 if code == 0xDE else 4
        pairs, end = several(at + 1 + size, 2 * number(size))
        return ("map", pairs), end
    raise Broken


def reference_text(value: Any) -> str:
    if not isinstance(value, tuple) or value[0] != "text":
        raise Broken
    try:
        return str(value[1], "utf-8")
    except ValueError:
        raise Broken from None


def reference_body(data: bytes) -> tuple[list[Message], int]:
    """The messages that `Note` and `Mark` are, and how many are of other kinds."""
    values, end = reference_value(data, 0)
    if end != len(data) or not isinstance(values, list):
        raise Broken
    found: list[Message] = []
    unknown = 0
    for value in values:
        if not isinstance(value, list) or not value:
            raise Broken
        kind, fields = reference_text(value[0]), value[1:]
        if kind == "note":
            many = fields[2] if len(fields) > 2 else []
            text = reference_text(fields[1]) if len(fields) > 1 else ""
            if not fields or len(text) > 8 or not isinstance(many, list):
                raise Broken
            if any(type(one) is not int for one in (fields[0], *many)):
                raise Broken
            found.append(Note(fields[0], text, tuple(many)))
        elif kind == "mark":
            if not fields or not isinstance(fields[0], bytes):
                raise Broken
            found.append(Mark(fields[0]))
        else:
            unknown += 1
    return found, unknown


def drawn_messages(rng: Random) -> Iterator[Message]:
    for _ in range(rng.randrange(1, 6)):
        number = rng.choice((0, 1, -1, 127, 128, -33, 2**31, -(2**63), 2**64 - 1))
        yield rng.choice((
            Note(number), Note(number, "é" * rng.randrange(8), (1, 2)),
            Mark(rng.randbytes(rng.choice((0, 40, 300)))),
            NewNote(number, "", (number,), True, 0.1), Fresh({"k" * rng.randrange(40): number}),
        ))  # fmt: skip


def test_bodies_are_read_as_by_the_reference_reader() -> None:
    codec = importlib.import_module("fernweir.peers.wire.codec")
    rng, good = Random(5), 0
    for play in range(6_000):
        fast = codec.Codec([(Note, Mark)])
        data = fast.encode(list(drawn_messages(rng)))
        for _ in range(rng.randrange(4)):
            data = mutated(rng, data)
        try:
            wanted: Any = reference_body(data)
        except Broken:
            wanted = None
        try:
            got: Any = (fast.decode(data), fast.counts.unknown_kinds)
        except codec.MalformedError:
            got = None
            assert fast.counts.malformed == 1
        assert got == wanted, (play, data)
        good += wanted is not None
    assert 1_000 < good < 5_500  # both outcomes occurred


@pytest.mark.parametrize(
    "data", [b"", b"\xdd\xff\xff\xff\xff", b"\x91" * 100_000, b"\x91\x92\xa4note\xc1", b"\x90\x90", b"\xc0"]
)
def test_an_invalid_body_raises_one_error(data: bytes) -> None:
    codec = importlib.import_module("fernweir.peers.wire.codec")
    with pytest.raises(codec.MalformedError):
        codec.Codec([(Note, Mark)]).decode(data)


# --- keys, bounds, floods ---


def test_a_key_file_is_one_line_of_hex_or_base64(tmp_path: Path) -> None:
    keys = load().keys
    path = tmp_path / "fleet.key"
    key = bytes(range(215, 255))
    for text in (
        key.hex() + "\n",
        base64.b64encode(key).decode(),
        base64.urlsafe_b64encode(key).decode().rstrip("=") + "\n",
    ):
        path.write_text(text)
        assert keys.read_key(path) == key
    for text, why in (
        ("ab" * 31, "31 bytes"), ("ab" * 65, "65 bytes"), ("", "one line"), ("ab" * 32 + "\nab", "one line"),
        ("no key at all!", "neither"), ("é" * 32, "neither"), ("ab" * 3000, "one line"),
    ):  # fmt: skip
        path.write_text(text)
        with pytest.raises(keys.KeyFileError, match=why) as caught:
            keys.read_key(path)
        assert text[:20] not in str(caught.value) or not text
    with pytest.raises(keys.KeyFileError, match="can't be read"):
        keys.read_key(tmp_path / "none")
    assert keys.digest(KEYS[:2]) == keys.digest(KEYS[:2]) != keys.digest(KEYS[1::-1]) != keys.digest(KEYS[:1])


def test_a_key_changes_in_three_rolls_with_no_datagram_refused() -> None:
    """Any two fronts of two neighbouring rolls understand each other; those of the first and last don't."""
    seal = load().seal
    rolls = [[KEYS[0]], [KEYS[0], KEYS[1]], [KEYS[1], KEYS[0]], [KEYS[1]]]
    for one, other in [*pairwise(rolls), *pairwise(rolls[::-1])]:
        data = seal.Seal(one, "a", 1).seal(b"", 1)
        assert seal.Seal(other, "b", 1).open(data).sender == "a"
    with pytest.raises(seal.SealError):
        seal.Seal(rolls[3], "b", 1).open(seal.Seal(rolls[0], "a", 1).seal(b"", 1))


def test_only_authenticated_senders_evict_others() -> None:
    seal = load().seal
    rules = seal.SealRules(senders=3)
    mine = seal.Seal(KEYS[:1], "me", 1, rules)
    first = write_datagram(b"s0", 1, 9, 1, b"", KEYS[0])
    mine.open(first)
    for number in range(50):
        with pytest.raises(seal.SealError):
            mine.open(write_datagram(b"x%d" % number, 1, 1, 1, b"", KEYS[2]))
    for number in (1, 2):
        mine.open(write_datagram(b"s%d" % number, 1, 9, 1, b"", KEYS[0]))
    with pytest.raises(seal.SealError):  # the repeat, too, makes s0 the most recently active
        mine.open(first)
    mine.open(write_datagram(b"s3", 1, 9, 1, b"", KEYS[0]))
    assert [mine.newest_incarnation(f"s{number}") for number in range(4)] == [1, 0, 1, 1]


def test_a_flood_of_bad_datagrams_keeps_known_sources_admitted_and_bounds_the_checks() -> None:
    gate = load().gate
    rules = gate.GateRules(max_refused_per_s=100, max_refused_per_source_s=10, max_known_sources=4)
    gate_under_test, looks = gate.Gate(rules), 0
    gate_under_test.on_authenticated("peer")
    for step in range(30_000):
        now = step * 0.1
        if gate_under_test.admits(now, ("flood", step)):
            looks += 1
            gate_under_test.on_refused(now, ("flood", step))
        if step % 100 == 0:
            assert gate_under_test.admits(now, "peer")
            gate_under_test.on_authenticated("peer")
    assert looks == 300
    now, forged = 3_500.0, 0
    for _ in range(200):
        gate_under_test.on_refused(now, "anybody")
    while gate_under_test.admits(now, "peer"):
        gate_under_test.on_refused(now, "peer")
        forged += 1
    assert forged == 11
    for number in range(10):
        gate_under_test.on_authenticated(number)
    assert [number for number in range(10) if gate_under_test.admits(now, number)] == [6, 7, 8, 9]


def test_a_bucket_gives_no_more_than_its_rate_and_burst() -> None:
    bucket, rng, now, given = load().bucket.TokenBucket(1_000.0, 300.0, 0.0), Random(3), 0.0, 0
    for _ in range(2_000):
        now += rng.choice((0.0, 1.0, 7.0))
        size = rng.randrange(1, 120)
        wait = bucket.wait_ms(now, size, 50.0)
        taken = bucket.try_consume(now, size, 50.0)
        assert taken == (wait == 0.0)
        given += size * taken
        assert given <= 300.0 + now
    assert given > 0.9 * now


# --- settings ---

EXAMPLE = Path(__file__).parent.parent / "docs" / "example-front.ini"


def peers_of(tmp_path: Path, lines: str) -> Any:
    return parse_front(IniFile(EXAMPLE.read_text() + "\n[peers]\n" + lines), tmp_path).peers


def test_the_section_of_peers_is_read_with_its_defaults(tmp_path: Path) -> None:
    (tmp_path / "fleet.key").write_text("ab" * 32)
    (tmp_path / "old.key").write_text("cd" * 32)
    peers = peers_of(
        tmp_path,
        "listen = 10.0.0.1:7400\nseeds = 10.0.0.2:7400, 10.0.0.3:7400\nkey = fleet.key\nkeepers = a, b, c\n"
        "lease = 4 s\nold-key = old.key",
    )  # fmt: skip
    assert peers.advertised == ("10.0.0.1", 7_400) and peers.seeds[1] == ("10.0.0.3", 7_400)
    assert (peers.lease, peers.overlap, peers.drift, peers.parts) == (4_000.0, 1_000.0, 0.01, 8)
    assert peers.keepers == ["a", "b", "c"] and peers.shut_out_share == 0.34
    assert load_front(EXAMPLE).peers is None


def test_every_mistake_among_the_peers_is_named_at_once(tmp_path: Path) -> None:
    (tmp_path / "two.key").write_text("ab\ncd")
    wrong = {
        "listen = 0.0.0.0:7400": "advertise: is needed",
        "seeds = 10.0.0.2:0": "seeds: each needs",
        "key = none.key": "key: ",
        "old-key = two.key": "old-key: ",
        "keepers = a, b, c": "",
        "lease = 1 s": "lease: must be longer",
        "format-lowest = 3": "format-lowest: is above the highest, 2",
        "format-highest = 2": "",
    }
    with pytest.raises(ConfigError) as caught:
        peers_of(tmp_path, "\n".join(wrong))
    found = [str(problem).partition("[peers] ")[2] for problem in caught.value.problems]
    for messages in filter(None, wrong.values()):
        assert any(problem.startswith(messages) for problem in found), (messages, found)
    assert len(found) == 6
    wrong = {
        "listen = front.example:7400": "listen: not an IPv4 address",
        "key = x": "",
        "keepers = a, b, a, a": "keepers: named twice: a",
        "drift = 50%": "drift: ",
        "standby = 2": "standby: unknown key; meant standbys?",
        "bytes = 3": "bytes: not a rate",
    }
    with pytest.raises(ConfigError) as caught:
        peers_of(tmp_path, "\n".join(wrong))
    found = [str(problem).partition("[peers] ")[2] for problem in caught.value.problems]
    for messages in filter(None, wrong.values()):
        assert any(problem.startswith(messages) for problem in found), (messages, found)
    for keepers in ("", "a, b"):
        with pytest.raises(ConfigError, match="keepers"):
            peers_of(tmp_path, f"listen = 127.0.0.1:0\nkey = two.key\nkeepers = {keepers}")


def test_settings_import_nothing_of_the_peers() -> None:
    found = "any(name.startswith('fernweir.peers') for name in sys.modules)"
    check = f"import sys, fernweir.config.front; sys.exit({found})"
    assert subprocess.run([sys.executable, "-c", check], cwd=EXAMPLE.parent.parent).returncode == 0
