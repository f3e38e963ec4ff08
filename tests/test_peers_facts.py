"""Facts under drawn faults against a model, lies, bounds; transfers broken, resumed, lied to."""

from __future__ import annotations

import heapq
import importlib
import itertools
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from tests.peers_mutants import Mutant, broken
from tests.peers_mutants.facts import MUTANTS

PART = "fernweir.peers.facts"


def load() -> SimpleNamespace:
    """The part's modules as they are now: inside `broken`, with the mistake."""
    names = ("store", "messages", "rules", "held", "packing")
    return SimpleNamespace(**{name: importlib.import_module(f"{PART}.{name}") for name in names})


class Wire:
    """Messages through bytes and back, as the codec takes them."""

    def __init__(self, lib: SimpleNamespace) -> None:
        kinds = lib.messages.KINDS
        union = kinds[0]
        for kind in kinds[1:]:
            union = union | kind
        self.decoder = msgspec.msgpack.Decoder(union)

    def through(self, message: Any) -> tuple[Any, int]:
        data = msgspec.msgpack.encode(message)
        return self.decoder.decode(data), len(data)


# --- a fleet that breaks, and what it must know ---

KEYS = tuple(f"key-{number}" for number in range(10))


class World:
    """Fronts, ways that lose, double, delay and cut; a model of what each owner says; checks at each step.

    `model`: by owner, its life and {key: (version, value)}, counted by the contract: one version a change,
    the first for the life itself.
    """

    def __init__(self, lib: SimpleNamespace, seed: int, count: int = 6, **rules: Any) -> None:
        self.lib, self.dice, self.now, self.seed = lib, Random(f"world {seed}"), 0.0, seed
        small = {"keep_ms": 8_000.0, "tombs": 4, "keys": 16, "owner_bytes": 40_000} | rules
        self.rules = lib.rules.FactRules(**small)
        self.wire = Wire(lib)
        self.names = [f"front-{number}" for number in range(count)]
        self.peers = {name: set(self.names) for name in self.names}
        self.clock = {
            name: (self.dice.uniform(0.0, 1e6), self.dice.uniform(0.99, 1.01)) for name in self.names
        }
        self.nodes: dict[str, Any] = {}
        self.mirror: dict[str, dict[str, dict[str, Any]]] = {}
        self.model: dict[str, tuple[int, dict[str, tuple[int, bytes]]]] = {}
        self.counts: dict[str, int] = {}
        self.history: dict[tuple[str, int, str, int], tuple[bytes, float]] = {}
        self.newest: dict[tuple[str, str, int, str], int] = {}
        self.refused: dict[str, dict[str, frozenset[str]]] = {name: {} for name in self.names}
        self.loss = self.doubled = self.late = 0.0
        self.cut: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.stood = 0.0  # ms for which any stood still: what waits at one that does grows no older
        self.sent: dict[str, list[tuple[float, int]]] = {name: [] for name in self.names}
        self.broken: list[str] = []
        self._heap: list[tuple[float, int, str, str, Any]] = []
        self._ties = itertools.count()
        for name in self.names:
            self.start(name, 1_000)

    def local(self, name: str) -> float:
        offset, rate = self.clock[name]
        return offset + self.now * rate

    def start(self, name: str, life: int) -> None:
        self.nodes[name] = self.lib.store.Facts(name, life, self.rules, self.seed)
        self.model[name], self.counts[name], self.mirror[name] = (life, {}), 1, {}
        self.newest = {key: version for key, version in self.newest.items() if key[0] != name}
        self.refused[name] = {}
        self.nodes[name].peers(self.local(name), self.peers[name])
        self.sent[name].append((self.now, -1))  # a new process has a budget of its own
        self.effects(name)

    # --- what owners do ---

    def put(self, name: str, key: str, value: bytes, urgent: bool = False) -> None:
        self.nodes[name].put(self.local(name), key, value, urgent=urgent)
        life, facts = self.model[name]
        self.counts[name] += 1
        facts[key] = (self.counts[name], value)
        self.history[name, life, key, self.counts[name]] = (value, self.now)
        self.effects(name)

    def drop(self, name: str, key: str) -> None:
        self.nodes[name].drop(self.local(name), key)
        if self.model[name][1].pop(key, None) is not None:
            self.counts[name] += 1
        self.effects(name)

    def set_peers(self, name: str, peers: set[str]) -> None:
        self.peers[name] = peers
        self.nodes[name].peers(self.local(name), peers)
        self.effects(name)

    def refuse(self, name: str, owners: dict[str, frozenset[str]]) -> None:
        self.refused[name] = owners
        self.nodes[name].refuse(owners)

    # --- the network ---

    def effects(self, name: str) -> None:
        for effect in self.nodes[name].take():
            kind = type(effect).__name__
            if kind == "Send":
                self._send(name, effect)
            elif kind == "Changed":
                facts = self.mirror[name].setdefault(effect.owner, {})
                facts[effect.fact.key] = effect.fact
                self._check_change(name, effect)
            elif kind == "Dropped":
                del self.mirror[name][effect.owner][effect.key]
            elif kind == "Gone":
                self.mirror[name].pop(effect.owner, None)

    def _send(self, name: str, effect: Any) -> None:
        message, size = self.wire.through(effect.message)
        to = str(effect.to)
        self.sent[name].append((self.now, size + (0 if effect.whole else 64 + len(name))))
        if not effect.whole and size > 1_400:
            self.broken.append(f"a datagram of {size} bytes: {type(message).__name__}")
        if (name, to) in self.cut or to not in self.nodes:
            return
        if effect.whole:
            self.later(self.dice.uniform(1.0, 5.0), name, to, message)
            return
        for _ in range(1 + (self.dice.random() < self.doubled)):
            if self.dice.random() >= self.loss:
                late = self.dice.uniform(0.0, 2_000.0) if self.dice.random() < self.late else 0.0
                self.later(self.dice.uniform(0.5, 8.0) + late, name, to, message)

    def later(self, delay: float, sender: str, to: str, message: Any) -> None:
        heapq.heappush(self._heap, (self.now + delay, next(self._ties), sender, to, message))

    def run(self, span: float) -> None:
        until = self.now + span
        while self.now < until:
            self.now += 20.0
            self.stood += 20.0 if self.paused else 0.0
            while self._heap and self._heap[0][0] <= self.now:
                _, _, sender, to, message = heapq.heappop(self._heap)
                if to in self.paused:
                    self.later(200.0, sender, to, message)
                elif to in self.nodes:
                    self.nodes[to].heard(self.local(to), sender, message)
                    self.effects(to)
            for name in self.nodes:
                due = self.nodes[name].next_due()
                if name not in self.paused and due is not None and due <= self.local(name):
                    self.nodes[name].tick(self.local(name))
                    self.effects(name)

    # --- what must hold ---

    def _check_change(self, name: str, change: Any) -> None:
        fact, life = change.fact, change.life
        put = self.history.get((change.owner, life, fact.key, fact.version))
        if put is None or put[0] != fact.value:
            self.broken.append(f"{name}: {change.owner} never said {fact.key} {fact.version}")
            return
        if fact.version <= self.newest.get((name, change.owner, life, fact.key), 0):
            self.broken.append(f"{name}: {change.owner} {fact.key} went back to {fact.version}")
        self.newest[name, change.owner, life, fact.key] = fact.version
        age, told = self.now - put[1], (self.local(name) - fact.at) / self.clock[name][1]
        if told > age * 1.03 + 25.0 or told < age * 0.97 - 10_000.0 - self.stood:
            self.broken.append(f"{name}: {change.owner} {fact.key} is {age:.0f} ms old, not {told:.0f}")
        allowed = self.refused[name].get(change.owner)
        if allowed is not None and fact.key not in allowed:
            self.broken.append(f"{name}: took {fact.key} of {change.owner}, which it refuses")

    def check(self) -> list[str]:
        rules = self.rules
        for name, node in self.nodes.items():
            held = {owner: dict(node.of(owner)) for owner in node.owners() if owner != name}
            told = {owner: facts for owner, facts in self.mirror[name].items() if facts}
            if held != told:
                self.broken.append(f"{name}: events tell otherwise than what is held")
            for owner, facts in held.items():
                size = sum(len(key) + len(fact.value) for key, fact in facts.items())
                if len(facts) > 2 * rules.keys or size > 2 * rules.owner_bytes:
                    self.broken.append(f"{name}: {len(facts)} facts of {owner}, {size} bytes")
            times = [(at, size) for at, size in self.sent[name]]
            spent, since = 0.0, 0.0
            for at, size in times:
                if size < 0:
                    spent, since = 0.0, at
                    continue
                spent += size
                if spent > rules.burst * 1.2 + (at - since) * 1.02 * rules.rate / 1_000.0:
                    self.broken.append(f"{name}: {spent:.0f} bytes in {at - since:.0f} ms")
                    break
        return self.broken

    def unequal(self) -> list[str]:
        """Where what is held differs from the model, of owners that are peers, and of any that are not."""
        found = []
        for name, node in self.nodes.items():
            for owner in self.peers[name] | set(node.owners()):
                life, facts = self.model[owner] if owner in self.peers[name] else (0, {})
                held = {key: (fact.version, fact.value) for key, fact in node.of(owner).items()}
                if held != facts or (facts and node.life_of(owner) != life):
                    found.append(f"{name} of {owner}: {len(held)} facts, not {len(facts)}")
        return found


def drawn_day(lib: SimpleNamespace, seed: int, steps: int = 60) -> list[str]:
    """Drawn events and faults; then all faults end, and all must know what the model says."""
    dice = Random(f"day {seed}")
    rate, burst = dice.choice([(16_384.0, 65_536.0), (3_000.0, 12_000.0)])
    world = World(lib, seed, rate=rate, burst=burst)
    world.loss, world.doubled, world.late = dice.choice(
        [(0.0, 0.0, 0.0), (0.2, 0.1, 0.5), (0.4, 0.2, 0.3)]
    )  # fmt: skip
    gone: set[str] = set()
    for _ in range(steps):
        live = [name for name in world.names if name not in gone]
        name, other = dice.sample(live, 2)
        draw = dice.random()
        if draw < 0.04 and name not in world.paused:
            urgent = dice.random() < 0.5
            for key in KEYS:
                world.put(name, key, dice.randbytes(dice.choice([20, 2_500])), urgent)
        elif draw < 0.5 and name not in world.paused:
            size = dice.choice([0, 20, 20, 200, 2_500])
            world.put(name, dice.choice(KEYS), dice.randbytes(size), dice.random() < 0.3)
        elif draw < 0.75 and name not in world.paused:
            for key in dice.sample(KEYS, dice.choice([1, 2, 6])):
                world.drop(name, key)
        elif draw < 0.8:
            world.cut.add((name, other))
        elif draw < 0.83:
            half = set(dice.sample(live, len(live) // 2))
            world.cut |= {(a, b) for a in world.names for b in world.names if (a in half) != (b in half)}
        elif draw < 0.87:
            world.cut.clear()
        elif draw < 0.89:
            world.paused = {name} if not world.paused else set()
        elif draw < 0.95:
            world.paused.discard(name)
            world.start(name, world.model[name][0] + 1)
        elif draw < 0.98:
            refused = {} if world.refused[name] else {other: frozenset(dice.sample(KEYS, 1))}
            world.refuse(name, refused)
        elif len(gone) < 2:
            gone.add(name)
            del world.nodes[name]
            for one in world.nodes:
                world.set_peers(one, world.peers[one] - {name})
        world.run(dice.choice([20.0, 100.0, 500.0, 3_000.0]))
        if world.check():
            return world.broken
    world.loss = world.doubled = world.late = 0.0
    world.cut.clear()
    world.paused.clear()
    for name in world.nodes:
        world.refuse(name, {})
    for _ in range(40):
        world.run(1_000.0)
        if world.check():
            return world.broken
        if world.now % 5_000 < 1_000 and not world.unequal():
            break
    world.run(9_000.0)  # what is kept of those that are gone goes
    return world.check() + world.unequal()


@pytest.mark.parametrize("part", range(4))
def test_after_drawn_faults_all_know_what_the_model_says(part: int) -> None:
    lib = load()
    for seed in range(part * 5, part * 5 + 5):
        assert drawn_day(lib, seed) == [], seed


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: str(mutant.name))
def test_each_mistake_is_found(mutant: Mutant) -> None:
    with broken(mutant, PART):
        lib = load()
        assert any(drawn_day(lib, seed, 40) for seed in range(mutant.seeds))
