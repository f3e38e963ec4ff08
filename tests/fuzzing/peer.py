"""Live fronts beside one that has the key and says whatever can be said: nothing may raise, loop or grow.

Three fronts, all keepers, talk over a network that loses, doubles and reorders; one may be gone for a while.
A fourth name with the key says any message that can be decoded, and any of theirs with a field changed, also
under their names, as a buggy front would. After each event:

- what a front sends can be decoded by every front;
- a message, a tick or an answer of a box leads to a bounded number of steps, and time goes on after a tick;
- no table of a front holds more than its rules, made small here, let it.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from random import Random
from typing import Any

import msgspec

from fernweir.peers.acts.plan import parse
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.versions import Versions, boxes_digest
from fernweir.peers.base import Address, Effect, Event, Message, Send
from fernweir.peers.channel.rules import DirectoryRules, HandoffRules, ReplicaRules
from fernweir.peers.channel_manager import ChannelManagerRules
from fernweir.peers.facts.rules import FactRules
from fernweir.peers.forward.forwarder import ForwardRules
from fernweir.peers.forward.messages import Carried, Carry
from fernweir.peers.lease.rules import LeaseRules
from fernweir.peers.members.events import Me
from fernweir.peers.members.rules import MemberRules
from fernweir.peers.peer import KINDS, IncarnationSuperseded, Peer, PeerRules
from fernweir.peers.port import AuditEvent, AuditRecord, ClaimResult, FrontLimits, Listener, SessionStatus
from fernweir.peers.wire.codec import Codec
from tests.fuzzing import Finding, Tape, Target
from tests.fuzzing.shapes import drawn_of, info, message

ALL = [kind for part in KINDS for kind in part]
STEPS, TICKS, SENDS = 3_000, 40, 1_500  # of one event
MOST = 300  # in one table: the rules below bound none above 256, but for queues of two messages each
MOST_BYTES = 8 << 20

RULES = PeerRules(
    ("a", "b", "c"),
    members=MemberRules(max_members=32),
    facts=FactRules(max_keys=16, max_owner_bytes=4_096, max_owners=32, keep_ms=5_000.0),
    lease=LeaseRules(max_records=64, max_channels=64),
    channels=ChannelManagerRules(
        parts=2, max_relinquished=64,
        replica=ReplicaRules(max_replicas=16, max_sessions=64, max_bytes=65_536, max_payloads_bytes=65_536,
                             max_payload_bytes=16_384, keep_ms=10_000.0),
        handoff=HandoffRules(max_incoming=4, max_sessions=64),
    ),
    directory=DirectoryRules(max_own_sessions=64, max_entries=128, max_lookups=32),
    forward=ForwardRules(max_requests=64),
    acts=ActRules(own_bytes=65_536, peer_bytes=65_536, copies_bytes=131_072, owners=16, asked=2, samples=16),
)  # fmt: skip
VERSIONS = Versions("1", b"s", 0, b"b", 0, b"k", 1)
SESSIONS = tuple(f"s{one}" for one in range(6))
CHANNELS = ("a:1001/0", "a:1001/1", "b:1002/0", "c:1003/1", "x:7/0", "a:1001/9", "nothing")
WORDS = (
    "a",
    "b",
    "x",
    "y",
    "load",
    "acts.head",
    "ask",
    "look",
    "end",
    "",
    "film",
    "paid",
    *SESSIONS,
    *CHANNELS,
)
FRONTS = ("a", "b", "c")
ADDRESSES: dict[Address, str] = {("127.0.0.1", at): name for at, name in enumerate((*FRONTS, "x"), 1)}
QUESTIONS = (
    {"question": "still", "at": 1e6, "value": b"b".hex()},
    {"question": "after-drain", "box": 1},
    {"question": "refusal", "session": "s1"},
    {"question": "acts", "deed": "setup"},
)


class Front:
    """A port that believes whatever the peers do to it; boxes answer when they are told to."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.listener: Listener
        self.plays: dict[str, SessionStatus] = {}
        self.later: deque[Callable[[float], None]] = deque()
        self.list = 0

    def set_listener(self, listener: Listener) -> None:
        self.listener = listener

    def session_statuses(self) -> list[SessionStatus]:
        return list(self.plays.values())

    def session_count(self) -> int:
        return len(self.plays)

    def sessions_in_flight(self) -> list[str]:
        return [SESSIONS[0]]

    def has_session(self, session: str) -> bool:
        return session in self.plays

    def server_numbers(self) -> list[int]:
        return [1, 2]

    def payload(self, digest: bytes) -> bytes | None:
        return b"payload" if digest else None

    def adopt_session(self, now: float, standing: SessionStatus, payload: bytes | None) -> bool:
        if standing.session in self.plays or standing.box not in (1, 2):
            return False
        if len(self.plays) < 64:
            self.plays[standing.session] = standing
        return True

    def limits(self) -> FrontLimits:
        return FrontLimits((100.0, 200.0, 400.0))

    def racks(self) -> list[tuple[str, frozenset[int], float]]:
        return [("rack", frozenset((1, 2, 3)), 1e6)]

    def endpoint_list_document(self) -> bytes:
        return bytes([self.list % 256])

    def adopt_endpoint_list(self, now: float, data: bytes, digest: bytes) -> bool:
        if len(data) != 1 or boxes_digest(_rows(data[0])) != digest:
            return False
        self.list = data[0]
        self.listener.on_endpoint_list(now, _rows(self.list), now)
        return True

    def on_session_missing(self, now: float, session: str, attempt: int) -> None:
        if self.plays.pop(session, None) is not None:
            self.listener.on_session_ended(now, session)

    def relinquish_session(self, now: float, session: str) -> bool:
        return self.plays.pop(session, None) is not None

    def release_attempt(
        self, now: float, box: int, session: str, attempt: int, why: str, under: tuple[str, int]
    ) -> None:
        pass

    def block_new_sessions(self, why: str, wait_ms: float) -> None:
        pass

    def execute_forwarded(self, request: Carry, then: Callable[[float, Carried], None]) -> None:
        kind = ("none", "plays", "refused")[request.number % 3]
        then(self.world.now, Carried(request.number, kind))

    def claim_channel(
        self, box: int, channel: str, fence: int, overlap_ms: float,
        then: Callable[[float, ClaimResult], None], adopt: Sequence[tuple[str, int]] = (),
    ) -> None:  # fmt: skip
        def answer(now: float) -> None:
            tape = self.world.tape
            listed = tuple((tape.one(SESSIONS), tape.below(3), 0) for _ in range(tape.below(3)))
            then(now, ClaimResult(box, tape.below(4) > 0, tape.below(4) > 0, fence + tape.below(2), listed))

        if len(self.later) < 256:
            self.later.append(answer)


class Counted(Peer):
    """Counts the steps that one event leads to."""

    steps = 0

    def _route(self, now: float, sender: str, message: Message) -> None:
        self._step()
        super()._route(now, sender, message)

    def _do(self, now: float, event: Event) -> None:
        self._step()
        super()._do(now, event)

    def _step(self) -> None:
        self.steps += 1
        if self.steps > STEPS:
            raise Finding("one event goes on and on")


class World:
    def __init__(self, tape: Tape) -> None:
        self.tape, self.now, self.codec = tape, 10.0, Codec(KINDS)
        self.ports: dict[str, Front] = {}
        self.peers: dict[str, Counted] = {}
        self.wire: deque[tuple[str, str, Message]] = deque(maxlen=400)
        self.said: deque[Message] = deque(maxlen=64)
        self.gone, self.births = "", 0
        for name in FRONTS:
            self.ports[name] = Front(self)
            self.begin(name)
        if tape.below(2):
            self.warm()

    def warm(self) -> None:
        """They find one another and have their leases; each has sessions that play."""
        for _ in range(85):
            self.pass_(100.0)
            while self.wire:
                self.hear(*self.wire.popleft())
        for number, session in enumerate(SESSIONS):
            self.play_at(FRONTS[number % 3], session)

    def pass_(self, ms: float) -> None:
        self.now += ms
        for name in FRONTS:
            if name != self.gone:
                self.settle(name)

    def play_at(self, name: str, session: str) -> None:
        peer, port = self.peers[name], self.ports[name]
        peer.on_audit_record(AuditRecord(self.now, AuditEvent.SETUP, session, "film", "t", 1, "try 0"))
        port.plays[session] = _standing(session)
        peer.on_session_status(self.now, port.plays[session])
        self.settle(name)

    def begin(self, name: str, life: int = 0) -> None:
        """In that life, or in the next that the wall clock gives."""
        self.births += 1
        life = life or 1_000 + self.births
        at = next(address for address, owner in ADDRESSES.items() if owner == name)
        peer = Counted(
            Me(name, at, life), RULES, self.ports[name], 7, self.now, lambda: None, VERSIONS, lambda: 1e6
        )
        self.peers[name] = peer
        peer.start(self.now, [one for one, owner in ADDRESSES.items() if owner != name])

    def settle(self, name: str) -> None:
        """What the shell does after each event."""
        sent = ticks = 0
        peer = self.peers[name]
        while True:
            due = peer.next_deadline()
            if due is not None and math.isnan(due):
                raise Finding("due at no time")
            effects: list[Effect] = peer.take_effects()
            for effect in effects:
                if isinstance(effect, Send):
                    sent += 1
                    self.send(name, effect)
                elif isinstance(effect, IncarnationSuperseded):
                    self.begin(name, effect.life)
                    return
            if due is None or due > self.now:
                break
            ticks += 1
            peer.tick(self.now)
            if ticks > TICKS or sent > SENDS:
                raise Finding(f"{ticks} ticks and {sent} messages at one time")
        peer.steps = 0

    def send(self, name: str, effect: Send) -> None:
        body = self.codec.encode([effect.message])
        if self.codec.decode(body) != [effect.message]:
            raise Finding(f"said otherwise than read: {effect.message!r}")
        to = effect.to if isinstance(effect.to, str) else ADDRESSES.get(effect.to, "")
        self.said.append(effect.message)
        if to in self.peers:
            self.wire.append((name, to, effect.message))

    def hear(self, sender: str, to: str, what: Message) -> None:
        if to == self.gone:
            return
        life = self.peers[sender].me.life if sender in self.peers else 7
        self.peers[to].on_message(self.now, sender, life, what)
        self.settle(to)

    # --- events ---

    def play(self) -> None:
        what, tape = self.tape.below(16), self.tape
        name = tape.one([one for one in FRONTS if one != self.gone])
        other = FRONTS[FRONTS.index(name) - 1]
        peer, port = self.peers[name], self.ports[name]
        if what <= 2:
            self.pass_(tape.one((1.0, 50.0, 150.0, 700.0, 3_000.0, 12_000.0, 150.0, 50.0)))
        elif what <= 6:
            for _ in range(min(1 + tape.below(16), len(self.wire))):
                if how := tape.below(8):
                    self.hear(
                        *(self.wire.pop() if how == 1 else self.wire[0] if how == 2 else self.wire.popleft())
                    )
                else:
                    self.wire.popleft()
        elif what <= 9:
            self.hear(tape.one(("x", "y", other, "x")), name, self.drawn(WORDS))
        elif what == 10 and self.said:
            self.hear(tape.one(("x", other)), name, self.changed())
        elif what == 11:
            self.flood(name)
        elif what == 12:
            session = tape.one(SESSIONS)
            if tape.below(4):
                self.play_at(name, session)
            else:
                peer.on_audit_record(
                    AuditRecord(self.now, AuditEvent.SETUP, session, "film", "t", 2, "try 1")
                )
                self.settle(name)
        elif what == 13 and port.plays:
            session = tape.one(list(port.plays))
            del port.plays[session]
            peer.on_session_ended(self.now, session)
            self.settle(name)
        elif what == 14:
            while port.later:
                port.later.popleft()(self.now)
                self.settle(name)
        else:
            self.odd(name, peer)

    def odd(self, name: str, peer: Counted) -> None:
        what = self.tape.below(8)
        if what == 0:
            request = Carry(
                peer.forwarder.next_number(),
                "ask",
                self.tape.one(SESSIONS),
                "dash",
                "w",
                "film",
                "paid",
                1,
                "t",
                500.0,
            )
            peer.find(self.now, request, lambda now, answer: None)
        elif what == 1:
            peer.on_stall(self.now, 2_000.0)
        elif what == 2:
            peer.on_stale_sender(self.now, self.tape.one(("a", "b", "x")))
        elif what == 3:
            port = self.ports[name]
            port.list += 1 + self.tape.below(2)
            peer.on_endpoint_list(self.now, _rows(port.list), self.now)
        elif what == 4:
            peer.drain(self.now)
        elif what == 5:
            peer.shutdown(self.now)
            self.settle(name)
            self.begin(name)
        elif what == 6:
            peer.query(self.now, parse(self.tape.one(QUESTIONS)), lambda answer: None)
        elif self.gone:
            name, self.gone = self.gone, ""
            self.ports[name].plays.clear()
            self.begin(name)
        else:
            self.gone = name
            return
        self.settle(name)

    def drawn(self, words: tuple[str, ...]) -> Message:
        kind = ALL[self.tape.below(len(ALL))]
        return self._read(message(Random(self.tape.below(65_536)), kind, words))

    def changed(self) -> Message:
        """One of theirs with a field drawn anew."""
        one = self.said[self.tape.below(len(self.said))]
        fields = info(type(one)).fields
        dice = Random(self.tape.below(65_536))
        if not fields:
            return one
        field = dice.choice(fields)
        return self._read(msgspec.structs.replace(one, **{field.name: drawn_of(field.type, dice, WORDS)}))

    def flood(self, name: str) -> None:
        """Many of one kind, about ever new names."""
        kind, sender = (
            ALL[self.tape.below(len(ALL))],
            self.tape.one(("x", "y", FRONTS[FRONTS.index(name) - 1])),
        )
        dice, many = Random(self.tape.below(65_536)), self.tape.below(2) > 0
        for number in range(60):
            new = f"{self.now:.0f}-{number}"
            words = (
                *(f"{new}-{one}" for one in range(6)),
                f"{new}:1/0",
                f"{new}:2/1",
                "a",
                "b",
                *CHANNELS[:2],
            )
            who = f"z{dice.randrange(10_000)}" if many else sender
            self.peers[name].on_message(self.now, who, 7, self._read(message(dice, kind, words)))
            if number % 10 == 0:
                self.settle(name)
        self.settle(name)

    def _read(self, one: Message) -> Message:
        return self.codec.decode(self.codec.encode([one]))[0]


def _rows(version: int) -> list[tuple[int, Any]]:
    return [(1, ["ready"]), (2, ["draining" if version % 3 else "ready"]), (3, [version])]


def _standing(session: str) -> SessionStatus:
    return SessionStatus(session, "dash", "w", "film", "paid", 2, "t", 1, 1, 0, 1, b"digest", 1, 0)


def tables(root: object) -> Iterator[tuple[str, int, int]]:
    """Every container that a machine holds: where, how many, and how many bytes are in it."""
    seen: set[int] = set()
    todo: list[tuple[str, Any]] = [("", root)]
    while todo:
        path, one = todo.pop()
        if id(one) in seen or isinstance(one, Front | Random | Codec):
            continue
        seen.add(id(one))
        parts: list[tuple[str, Any]] = []
        if isinstance(one, dict):
            parts = [(f"{path}[]", value) for value in one.values()]
        elif isinstance(one, list | tuple | set | frozenset | deque):
            parts = [(f"{path}[]", value) for value in one]
        elif type(one).__module__.startswith(("fernweir.peers", "tests.fuzzing")):
            names = set(getattr(one, "__dict__", ()))
            names.update(slot for kind in type(one).__mro__ for slot in getattr(kind, "__slots__", ()))
            parts = [(f"{path}.{name}", getattr(one, name, None)) for name in names]
        if isinstance(one, dict | list | tuple | set | frozenset | deque):
            yield path, len(one), sum(len(value) for _, value in parts if isinstance(value, bytes))
        todo += parts


def bounded(world: World) -> None:
    for name, peer in world.peers.items():
        size = 0
        for path, count, more in tables(peer):
            size += more
            if count > MOST:
                raise Finding(f"{name}{path} holds {count}")
        if size > MOST_BYTES:
            raise Finding(f"{name} holds {size} bytes")


def check(data: bytes) -> None:
    tape = Tape(data)
    world, events = World(tape), 0
    while tape.more:
        world.play()
        events += 1
        if events % 32 == 0:
            bounded(world)
    bounded(world)


def _floods() -> list[bytes]:
    """Each kind over and over, about new names, from a front and from ever new ones, with time between."""
    return [
        b"\1" + b"".join(bytes([11, 0, kind, 2, at, at, at % 2, 0, 0, 1 + at % 3]) for at in range(14))
        for kind in range(len(ALL))
    ]


def draw(dice: Random) -> bytes:
    return dice.randbytes(dice.randrange(40, 500))


TARGET = Target(check, draw, _floods())
