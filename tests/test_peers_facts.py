"""Facts and transfers: random faults against a model, false claims, limits, and interrupted transfers."""

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
_MAX_RUN_SEEDS = 20  # mutants that need more are searched with `delta_run`, a thousand seeds per second


def load() -> SimpleNamespace:
    """Imports the modules of the part; inside `broken` one of them has the mutant."""
    names = ("store", "local_state", "messages", "rules", "owner_state", "transfer")
    return SimpleNamespace(**{name: importlib.import_module(f"{PART}.{name}") for name in names})


class Wire:
    """Encodes and decodes messages as the codec does."""

    def __init__(self, lib: SimpleNamespace) -> None:
        kinds = lib.messages.KINDS
        union = kinds[0]
        for kind in kinds[1:]:
            union = union | kind
        self.decoder = msgspec.msgpack.Decoder(union)

    def roundtrip(self, message: Any) -> tuple[Any, int]:
        data = msgspec.msgpack.encode(message)
        return self.decoder.decode(data), len(data)


# --- a simulated fleet with faults, and a model of its facts ---

KEYS = tuple(f"key-{number}" for number in range(10))


class World:
    """Fronts on a network that loses, duplicates, delays and partitions messages, with a model of all facts.

    `model` has the life and {key: (version, value)} of each owner: one version per change, the first of
    which belongs to the start of the life. `check` returns all violations since the start.
    """

    def __init__(self, lib: SimpleNamespace, seed: int, count: int = 6, **rules: Any) -> None:
        self.lib, self.rng, self.now, self.seed = lib, Random(f"world {seed}"), 0.0, seed
        small = {"keep_ms": 8_000.0, "max_tombstones": 4, "max_keys": 16, "max_owner_bytes": 40_000} | rules
        self.rules = lib.rules.FactRules(**small)
        self.wire = Wire(lib)
        self.names = [f"front-{number}" for number in range(count)]
        self.peers = {name: set(self.names) for name in self.names}
        self.clock = {name: (self.rng.uniform(0.0, 1e6), self.rng.uniform(0.99, 1.01)) for name in self.names}
        self.nodes: dict[str, Any] = {}
        self.from_events: dict[str, dict[str, dict[str, Any]]] = {}
        self.model: dict[str, tuple[int, dict[str, tuple[int, bytes]]]] = {}
        self.versions: dict[str, int] = {}
        self.history: dict[tuple[str, int, str, int], tuple[bytes, float]] = {}
        self.newest_seen: dict[tuple[str, str, int, str], int] = {}
        self.restricted: dict[str, dict[str, frozenset[str]]] = {name: {} for name in self.names}
        self.loss_ratio = self.duplicate_ratio = self.late_ratio = 0.0
        self.partitioned: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.paused_ms = 0.0  # while a front is paused, waiting facts do not age
        self.sent: dict[str, list[tuple[float, int]]] = {name: [] for name in self.names}
        self.violations: list[str] = []
        self._heap: list[tuple[float, int, str, str, Any]] = []
        self._ties = itertools.count()
        for name in self.names:
            self.start(name, 1_000)

    def local(self, name: str) -> float:
        offset, rate = self.clock[name]
        return offset + self.now * rate

    def start(self, name: str, life: int) -> None:
        self.nodes[name] = self.lib.store.Facts(name, life, self.rules, self.seed)
        self.model[name], self.versions[name], self.from_events[name] = (life, {}), 1, {}
        self.newest_seen = {key: version for key, version in self.newest_seen.items() if key[0] != name}
        self.restricted[name] = {}
        self.nodes[name].set_peers(self.local(name), self.peers[name])
        self.sent[name].append((self.now, -1))  # marks a new process, which has a new budget
        self.effects(name)

    # --- changes by owners ---

    def put(self, name: str, key: str, value: bytes, urgent: bool = False) -> None:
        self.nodes[name].put(self.local(name), key, value, urgent=urgent)
        life, facts = self.model[name]
        self.versions[name] += 1
        facts[key] = (self.versions[name], value)
        self.history[name, life, key, self.versions[name]] = (value, self.now)
        self.effects(name)

    def drop(self, name: str, key: str) -> None:
        self.nodes[name].drop(self.local(name), key)
        if self.model[name][1].pop(key, None) is not None:
            self.versions[name] += 1
        self.effects(name)

    def set_peers(self, name: str, peers: set[str]) -> None:
        self.peers[name] = peers
        self.nodes[name].set_peers(self.local(name), peers)
        self.effects(name)

    def restrict(self, name: str, owners: dict[str, frozenset[str]]) -> None:
        self.restricted[name] = owners
        self.nodes[name].restrict_owners(owners)

    # --- the network ---

    def effects(self, name: str) -> None:
        for effect in self.nodes[name].take_effects():
            kind = type(effect).__name__
            if kind == "Send":
                self._send(name, effect)
            elif kind == "Changed":
                facts = self.from_events[name].setdefault(effect.owner, {})
                facts[effect.fact.key] = effect.fact
                self._check_change(name, effect)
            elif kind == "Dropped":
                del self.from_events[name][effect.owner][effect.key]
            elif kind == "Gone":
                self.from_events[name].pop(effect.owner, None)

    def _send(self, name: str, effect: Any) -> None:
        message, size = self.wire.roundtrip(effect.message)
        to = str(effect.to)
        self.sent[name].append((self.now, size + (0 if effect.reliable else 64 + len(name))))
        if not effect.reliable and size > 1_400:
            self.violations.append(f"a datagram of {size} bytes: {type(message).__name__}")
        if (name, to) in self.partitioned or to not in self.nodes:
            return
        if effect.reliable:
            self.deliver_after(self.rng.uniform(1.0, 5.0), name, to, message)
            return
        for _ in range(1 + (self.rng.random() < self.duplicate_ratio)):
            if self.rng.random() >= self.loss_ratio:
                late = self.rng.uniform(0.0, 2_000.0) if self.rng.random() < self.late_ratio else 0.0
                self.deliver_after(self.rng.uniform(0.5, 8.0) + late, name, to, message)

    def deliver_after(self, delay: float, sender: str, to: str, message: Any) -> None:
        heapq.heappush(self._heap, (self.now + delay, next(self._ties), sender, to, message))

    def run(self, span: float) -> None:
        until = self.now + span
        while self.now < until:
            self.now += 20.0
            self.paused_ms += 20.0 if self.paused else 0.0
            while self._heap and self._heap[0][0] <= self.now:
                _, _, sender, to, message = heapq.heappop(self._heap)
                if to in self.paused:
                    self.deliver_after(200.0, sender, to, message)
                elif to in self.nodes:
                    self.nodes[to].on_message(self.local(to), sender, message)
                    self.effects(to)
            for name in self.nodes:
                due = self.nodes[name].next_deadline()
                if name not in self.paused and due is not None and due <= self.local(name):
                    self.nodes[name].tick(self.local(name))
                    self.effects(name)

    # --- invariants ---

    def _check_change(self, name: str, change: Any) -> None:
        fact, life = change.fact, change.life
        put = self.history.get((change.owner, life, fact.key, fact.version))
        if put is None or put[0] != fact.value:
            self.violations.append(f"{name}: {change.owner} never published {fact.key} {fact.version}")
            return
        if fact.version <= self.newest_seen.get((name, change.owner, life, fact.key), 0):
            self.violations.append(f"{name}: {change.owner} {fact.key} went back to {fact.version}")
        self.newest_seen[name, change.owner, life, fact.key] = fact.version
        age, reported = self.now - put[1], (self.local(name) - fact.at) / self.clock[name][1]
        if reported > age * 1.03 + 25.0 or reported < age * 0.97 - 10_000.0 - self.paused_ms:
            self.violations.append(
                f"{name}: {change.owner} {fact.key} is {age:.0f} ms old, not {reported:.0f}"
            )
        allowed = self.restricted[name].get(change.owner)
        if allowed is not None and fact.key not in allowed:
            self.violations.append(f"{name}: took {fact.key} of {change.owner}, which is restricted")

    def check(self) -> list[str]:
        rules = self.rules
        for name, node in self.nodes.items():
            stored = {owner: dict(node.facts_of(owner)) for owner in node.owners() if owner != name}
            reported = {owner: facts for owner, facts in self.from_events[name].items() if facts}
            if stored != reported:
                self.violations.append(f"{name}: the events differ from the stored facts")
            for owner, facts in stored.items():
                size = sum(len(key) + len(fact.value) for key, fact in facts.items())
                if len(facts) > 2 * rules.max_keys or size > 2 * rules.max_owner_bytes:
                    self.violations.append(f"{name}: {len(facts)} facts of {owner}, {size} bytes")
            times = [(at, size) for at, size in self.sent[name]]
            spent, since = 0.0, 0.0
            for at, size in times:
                if size < 0:
                    spent, since = 0.0, at
                    continue
                spent += size
                if spent > rules.burst_bytes * 1.2 + (at - since) * 1.02 * rules.bytes_per_s / 1_000.0:
                    self.violations.append(f"{name}: {spent:.0f} bytes in {at - since:.0f} ms")
                    break
        return self.violations

    def differences(self) -> list[str]:
        """Returns where facts differ from the model, which has none of owners that are not peers."""
        found = []
        for name, node in self.nodes.items():
            for owner in self.peers[name] | set(node.owners()):
                life, facts = self.model[owner] if owner in self.peers[name] else (0, {})
                held = {key: (fact.version, fact.value) for key, fact in node.facts_of(owner).items()}
                if held != facts or (facts and node.life_of(owner) != life):
                    found.append(f"{name} of {owner}: {len(held)} facts, not {len(facts)}")
        return found


def random_run(lib: SimpleNamespace, seed: int, steps: int = 60) -> list[str]:
    """Runs random changes and faults; after the faults end, all fronts must have the facts of the model."""
    rng = Random(f"day {seed}")
    rate, burst = rng.choice([(16_384.0, 65_536.0), (3_000.0, 12_000.0)])
    if narrow := seed % 2 == 1:
        world = World(lib, seed, 3, bytes_per_s=3_000.0, burst_bytes=12_000.0, max_tombstones=2)
    else:
        world = World(lib, seed, bytes_per_s=rate, burst_bytes=burst)
    world.loss_ratio, world.duplicate_ratio, world.late_ratio = rng.choice(
        [(0.0, 0.0, 0.0), (0.2, 0.1, 0.5), (0.4, 0.2, 0.3)]
    )  # fmt: skip
    departed: set[str] = set()
    for _ in range(steps):
        live = [name for name in world.names if name not in departed]
        name, other = rng.sample(live, 2)
        draw = rng.random()
        if draw < 0.04 and name not in world.paused:
            urgent = rng.random() < 0.5
            for key in KEYS:
                world.put(name, key, rng.randbytes(rng.choice([20, 2_500])), urgent)
        elif draw < 0.5 and name not in world.paused:
            size = rng.choice([0, 20, 20, 200, 2_500])
            world.put(name, rng.choice(KEYS), rng.randbytes(size), rng.random() < 0.3)
        elif draw < 0.75 and name not in world.paused:
            for key in rng.sample(KEYS, rng.choice([1, 2, 6])):
                world.drop(name, key)
        elif draw < 0.8:
            world.partitioned.add((name, other))
        elif draw < 0.83:
            half = set(rng.sample(live, len(live) // 2))
            world.partitioned |= {
                (a, b) for a in world.names for b in world.names if (a in half) != (b in half)
            }
        elif draw < 0.87:
            world.partitioned.clear()
        elif draw < 0.89:
            world.paused = {name} if not world.paused else set()
        elif draw < 0.95:
            world.paused.discard(name)
            world.start(name, world.model[name][0] + 1)
        elif draw < 0.98:
            refused = {} if world.restricted[name] else {other: frozenset(rng.sample(KEYS, 1))}
            world.restrict(name, refused)
        elif len(departed) < 2 and not narrow:
            departed.add(name)
            del world.nodes[name]
            for one in world.nodes:
                world.set_peers(one, world.peers[one] - {name})
        world.run(rng.choice([20.0, 100.0, 500.0, 3_000.0]))
        if world.check():
            return world.violations
    world.loss_ratio = world.duplicate_ratio = world.late_ratio = 0.0
    world.partitioned.clear()
    world.paused.clear()
    for name in world.nodes:
        world.restrict(name, {})
    for _ in range(40):
        world.run(1_000.0)
        if world.check():
            return world.violations
        if world.now % 5_000 < 1_000 and not world.differences():
            break
    world.run(9_000.0)  # until the facts of departed fronts are removed
    return world.check() + world.differences()


@pytest.mark.parametrize("part", range(4))
def test_after_random_faults_all_fronts_have_the_facts_of_the_model(part: int) -> None:
    lib = load()
    for seed in range(part * 5, part * 5 + 5):
        assert random_run(lib, seed) == [], seed


def delta_run(lib: SimpleNamespace, seed: int) -> list[str]:
    """Runs one owner and three fronts that store its facts.

    Truncated deltas and pushed records are delivered in any order, repeatedly or never, and fronts lose their
    state. Then all deltas are fetched in order, and the facts must be those of the model.
    """
    rng = Random(f"mesh {seed}")
    rules = lib.rules.FactRules(max_tombstones=rng.choice([2, 3, 8]), max_keys=8)
    own = lib.local_state.LocalState("owner", 1, rules)
    held = [lib.owner_state.OwnerState("owner", 1) for _ in range(3)]
    in_flight: list[tuple[int, Any]] = []
    model: dict[str, tuple[int, bytes]] = {}
    newest: list[dict[str, int]] = [{}, {}, {}]
    wrong: list[str] = []
    count = 1

    def truncated_delta(sender: Any, receiver: Any, limit: int) -> Any:
        since = sender.first_missing(receiver.entry())
        records = sender.records(0.0, since)[:limit] if since is not None else []
        return lib.messages.Part("owner", 1, since, sender.floor, tuple(records)) if records else None

    for _ in range(60):
        draw, key = rng.random(), rng.choice(KEYS[:5])
        to, sender = rng.randrange(3), rng.choice([own.state, *held])
        if draw < 0.2:
            count += 1
            model[key] = (count, b"%d" % count)
            own.put(0.0, key, model[key][1])
        elif draw < 0.35 and key in model:
            count += 1
            del model[key]
            own.drop(0.0, key)
        elif draw < 0.6:
            in_flight.append((to, truncated_delta(sender, held[to], rng.randint(1, 4))))
        elif draw < 0.7 and key in sender.facts:
            fact = sender.facts[key]
            in_flight.append((to, lib.messages.Record(key, fact.version, 0, fact.value)))
        elif draw < 0.73:
            held[to], newest[to] = lib.owner_state.OwnerState("owner", 1), {}
        elif in_flight:
            to, what = (
                in_flight.pop(rng.randrange(len(in_flight))) if rng.random() < 0.7 else rng.choice(in_flight)
            )
            changes: list[Any] = []
            if isinstance(what, lib.messages.Part):
                changes = held[to].apply_delta(0.0, what, None, rules)
            elif what is not None:
                changes = held[to].apply_pushed(0.0, what, None, rules)
            for fact in changes:
                if not isinstance(fact, str):
                    if fact.version <= newest[to].get(fact.key, 0):
                        wrong.append(f"{to}: {fact.key} went back to {fact.version}")
                    newest[to][fact.key] = fact.version
    for _ in range(200):
        to = rng.randrange(3)
        part = truncated_delta(rng.choice([own.state, *held]), held[to], 4)
        if part is not None:
            held[to].apply_delta(0.0, part, None, rules)
    for number, one in enumerate(held):
        facts = {key: (fact.version, fact.value) for key, fact in one.facts.items()}
        if facts != model or one.entry() != own.state.entry():
            wrong.append(f"{number}: {sorted(facts)} and {one.entry()}, not {sorted(model)}")
        if one.size != sum(len(key) + len(fact.value) for key, fact in one.facts.items()):
            wrong.append(f"{number}: a size of {one.size}")
    return wrong


def test_truncated_deltas_in_any_order_lead_to_the_facts_of_the_owner() -> None:
    lib = load()
    for seed in range(500):
        assert delta_run(lib, seed) == [], seed


# --- single faults ---


def settled_world(count: int = 4, seed: int = 1, **rules: Any) -> World:
    world = World(load(), seed, count, **rules)
    world.run(3_000.0)
    return world


def test_age_includes_the_time_at_relays_with_different_clocks() -> None:
    world = settled_world()
    first, second, third, fourth = world.names
    world.partitioned = {(a, b) for a in (first, second) for b in (third, fourth)} | {
        (b, a) for a in (first, second) for b in (third, fourth)
    }
    world.put(first, "load", b"old")
    world.run(5_000.0)
    world.nodes.pop(first)
    world.run(10_000.0)
    world.partitioned.clear()
    world.run(5_000.0)
    for name in (second, third, fourth):
        fact = world.nodes[name].get(first, "load")
        assert 19_800.0 - 1_100.0 < world.local(name) - fact.at < 20_300.0
    assert world.check() == []


def test_only_allowed_keys_of_a_restricted_front_are_accepted_until_the_restriction_ends() -> None:
    world = settled_world()
    out, *others = world.names
    world.put(out, "versions", b"1")
    world.run(5_000.0)
    for name in others:
        world.restrict(name, {out: frozenset(["late.plea"])})
    world.put(out, "versions", b"2")
    world.put(out, "late.plea", b"let me in", urgent=True)
    world.run(10_000.0)
    for name in others:
        held = world.nodes[name].facts_of(out)
        assert {key: fact.value for key, fact in held.items()} == {
            "versions": b"1",
            "late.plea": b"let me in",
        }
    world.restrict(others[0], {})
    world.run(5_000.0)
    assert world.nodes[others[0]].get(out, "versions").value == b"2"
    assert world.nodes[others[1]].get(out, "versions").value == b"1"
    assert world.check() == []


def test_a_large_state_is_resumed_and_not_sent_again() -> None:
    world = settled_world(3, bytes_per_s=4_000.0, burst_bytes=12_000.0)
    owner, helper, new = world.names
    world.partitioned = {(a, b) for a in world.names for b in world.names if new in (a, b)}
    for number in range(15):
        world.put(owner, f"key-{number}", world.rng.randbytes(2_400))
    world.run(30_000.0)
    assert len(world.nodes[helper].facts_of(owner)) == 15
    world.partitioned.clear()
    world.sent = {name: [] for name in world.names}
    seen = []
    while len(world.nodes[new].facts_of(owner)) < 15:
        world.run(200.0)
        if world.now % 1_000 == 0:  # any answer may be lost by this
            world.partitioned = {(owner, new)} if world.partitioned == {(helper, new)} else {(helper, new)}
        seen.append(len(world.nodes[new].facts_of(owner)))
    assert len(set(seen)) > 3  # it took several answers
    assert sum(size for name in (owner, helper) for _, size in world.sent[name]) < 2 * 15 * 2_400
    assert world.check() == []


def test_a_healed_partition_costs_about_the_bytes_that_differ() -> None:
    world = settled_world(8)
    half = set(world.names[:4])
    world.partitioned = {(a, b) for a in world.names for b in world.names if (a in half) != (b in half)}
    for _ in range(10):
        for name in world.names:
            world.put(name, world.rng.choice(KEYS), world.rng.randbytes(400))
            world.drop(name, world.rng.choice(KEYS))
        world.run(1_000.0)
    world.run(15_000.0)
    assert len(world.differences()) == 2 * 4 * 4  # each front lacks the changes of the other half
    world.partitioned.clear()
    world.sent = {name: [] for name in world.names}
    world.run(15_000.0)
    assert world.differences() == [] and world.check() == []
    differs = 4 * sum(len(fact[1]) for _, facts in world.model.values() for fact in facts.values())
    assert sum(size for sent in world.sent.values() for _, size in sent) < 2 * differs + 8 * 15 * 200


def test_facts_of_a_front_restarted_under_its_old_life_with_lower_versions_are_accepted() -> None:
    world = settled_world()
    back = world.names[0]
    for number in range(12):
        world.put(back, f"key-{number}", b"of old")
    world.run(5_000.0)
    world.nodes[back] = world.lib.store.Facts(back, 1_000, world.rules, 9)
    world.nodes[back].set_peers(world.local(back), world.names)
    world.nodes[back].put(world.local(back), "key-1", b"new")
    world.run(10_000.0)
    for name in world.names[1:]:
        assert {key: fact.value for key, fact in world.nodes[name].facts_of(back).items()} == {
            "key-1": b"new"
        }


def test_an_owner_refutes_claims_about_facts_that_it_never_published() -> None:
    """The claims have versions, floors and lives that are too high, for real facts and for forged ones."""
    for seed in range(12):
        world = settled_world(5, seed)
        liar, messages = world.names[-1], world.lib.messages
        for name in world.names:
            for key in KEYS[:3]:
                world.put(name, key, name.encode())
        world.run(3_000.0)
        world.nodes.pop(liar)
        for _ in range(20):
            owner, target = world.rng.sample(world.names[:-1], 2)
            life = world.nodes[owner].life + world.rng.choice([0, 0, 1, 50])
            high = world.rng.choice([30, 1_000, 2**40, 2**53])
            floor = world.rng.choice([0, high])
            record = messages.Record("forged", high, 0, b"!")
            lie = world.rng.choice(
                [
                    messages.Compare((messages.Entry(owner, life, high, floor),), 1, 5),
                    messages.BucketEntries(1, (0,), (messages.Entry(owner, life, high, floor),)),
                    messages.Delta((messages.Part(owner, life, 0, floor, (record,)),)),
                    messages.Push((messages.PushedRecord(owner, life, record),)),
                ]
            )
            world.deliver_after(1.0, liar, target, world.wire.roundtrip(lie)[0])
            world.run(300.0)
        world.run(20_000.0)
        for name in world.names[:-1]:
            for owner in world.names[:-1]:
                held = {key: fact.value for key, fact in world.nodes[name].facts_of(owner).items()}
                assert held == dict.fromkeys(KEYS[:3], owner.encode()), (seed, name, owner)


def random_message(messages: Any, rng: Random, names: list[str]) -> Any:
    """Returns a random message that a decoder accepts, mostly about existing owners."""
    owner = lambda: rng.choice([*names, "nobody", "n" * 255])  # noqa: E731
    number = lambda: rng.choice([0, 1, 2, 5, 10, 1_000, 1_001, 2**53])  # noqa: E731
    key = lambda: rng.choice([*KEYS, f"k{rng.randrange(10_000)}", "a" * 64])  # noqa: E731
    value = lambda: rng.choice([None, b"", rng.randbytes(100), bytes(8_192)])  # noqa: E731
    entries = lambda: tuple(  # noqa: E731
        messages.Entry(owner(), number(), number(), number()) for _ in range(rng.randrange(20))
    )
    records = lambda: tuple(  # noqa: E731
        messages.Record(key(), version, number(), value())
        for version in sorted(rng.sample(range(1, 60), rng.randrange(1, 30)))
    )
    digest = bytes(32)
    return rng.choice(
        [
            lambda: messages.Compare(entries(), number(), number()),
            lambda: messages.BucketChecksums(rng.randbytes(rng.choice([4, 7, 8, 64, 1_024])), entries()),
            lambda: messages.BucketEntries(rng.choice([1, 3, 256]), (0, 1, 255), entries()),
            lambda: messages.Want(entries()),
            lambda: messages.Delta((messages.Part(owner(), number(), number(), number(), records()),), True),
            lambda: messages.Push((messages.PushedRecord(owner(), number(), records()[0]),)),
            lambda: messages.Offer("blob", digest, number()),
            lambda: messages.Ready("blob", digest, number(), number()),
            lambda: messages.Chunk("blob", digest, number(), bytes(rng.choice([1, 1_000, 200_000]))),
            lambda: messages.Done("blob", digest),
            lambda: messages.Refused("blob", digest, "why", rng.random() < 0.5),
            lambda: messages.Cancel("blob", digest),
        ]
    )()


def test_random_messages_of_a_peer_violate_no_limit() -> None:
    lib = load()
    for seed in range(3):
        world = World(lib, seed, 4, max_keys=8, max_tombstones=4, max_owner_bytes=20_000)
        rng = Random(f"garbage {seed}")
        for _ in range(400):
            message, _ = world.wire.roundtrip(random_message(lib.messages, rng, world.names))
            world.deliver_after(1.0, world.names[-1], rng.choice(world.names[:-1]), message)
            if rng.random() < 0.2:
                world.put(world.names[0], rng.choice(KEYS[:8]), b"x", rng.random() < 0.5)
            world.run(40.0)
        wrong = [one for one in world.check() if "never published" not in one and "ms old" not in one]
        assert [one for one in wrong if "went back" not in one] == []
        for node in world.nodes.values():
            assert set(node.owners()) <= set(world.names)
            held = [node._table.get(owner) for owner in world.names]
            assert all(len(one.tombs) <= 2 * 4 and len(one.early) <= 64 for one in held if one)


def test_a_fact_that_may_not_be_published_raises_and_changes_nothing() -> None:
    lib = load()
    facts = lib.store.Facts("me", 1, lib.rules.FactRules(max_keys=3, max_owner_bytes=20_000), 1)
    for key in ("a", "b", "c"):
        facts.put(0.0, key, bytes(5_000))
    before = dict(facts.facts_of("me"))
    for key, value in (
        ("", b""), ("a" * 65, b""), ("a b", b""), ("a\n", b""), ("\u00e4", b""),
        ("a", bytes(8_193)), ("d", b""), ("a", bytes(8_000)),
    ):  # fmt: skip
        with pytest.raises(lib.rules.FactError):
            facts.put(1.0, key, value)
            facts.put(1.0, "b", value)
    assert dict(facts.facts_of("me")) == before | {"a": facts.get("me", "a")}


# --- transfers ---


class TransferNetwork:
    """Fronts with ordered connections; an interruption loses the messages in flight."""

    def __init__(self, lib: SimpleNamespace, seed: int, names: list[str], **rules: Any) -> None:
        self.lib, self.rng, self.now, self.seed = lib, Random(f"lines {seed}"), 0.0, seed
        self.rules = lib.rules.TransferRules(**rules)
        self.wire = Wire(lib)
        self.nodes = {name: lib.transfer.Transfers(self.rules, seed) for name in names}
        self.down: set[frozenset[str]] = set()
        self.messages_in_flight: list[tuple[float, str, str, Any]] = []
        self.events: list[tuple[str, Any]] = []
        self.bytes = dict.fromkeys(names, 0)
        self.corrupt_next = False
        self.corrupted: set[tuple[str, str, str]] = set()  # as if the sender had changed the data

    def restart(self, name: str) -> None:
        self.interrupt(name)
        self.nodes[name] = self.lib.transfer.Transfers(self.rules, self.seed)

    def interrupt(self, name: str) -> None:
        self.messages_in_flight = [one for one in self.messages_in_flight if name not in one[1:3]]

    def effects(self, name: str) -> None:
        for effect in self.nodes[name].take_effects():
            if type(effect).__name__ != "Send":
                self.events.append((name, effect))
            else:
                assert effect.reliable
                message, size = self.wire.roundtrip(effect.message)
                self.bytes[name] += size
                if self.corrupt_next and isinstance(message, self.lib.messages.Chunk):
                    message = msgspec.structs.replace(message, data=bytes(len(message.data)))
                    self.corrupt_next = False
                    self.corrupted.add((name, effect.to, message.name))
                if frozenset((name, effect.to)) not in self.down:
                    self.messages_in_flight.append((self.now + 5.0, name, effect.to, message))

    def run(self, span: float) -> None:
        until = self.now + span
        while self.now < until:
            self.now += 5.0
            due = [one for one in self.messages_in_flight if one[0] <= self.now]
            self.messages_in_flight = [one for one in self.messages_in_flight if one[0] > self.now]
            for _, sender, to, message in due:
                if to in self.nodes:
                    self.nodes[to].on_message(self.now, sender, message)
                    self.effects(to)
            for name, node in self.nodes.items():
                if (at := node.next_deadline()) is not None and at <= self.now:
                    node.tick(self.now)
                self.effects(name)

    def events_of(self, kind: str) -> list[tuple[str, Any]]:
        return [one for one in self.events if type(one[1]).__name__ == kind]


def transfer_run(lib: SimpleNamespace, seed: int) -> list[str]:
    """Runs transfers with interruptions and restarts; all blobs still wanted must arrive exactly once."""
    names = ["a", "b", "c"]
    network = TransferNetwork(lib, seed, names, progress_timeout_ms=20_000.0, bytes_per_s=400_000.0)
    rng = Random(f"transfers {seed}")
    wanted: dict[tuple[str, str, str], bytes] = {}
    offered: set[tuple[str, str, str, bytes]] = set()
    for _ in range(25):
        draw, (one, other) = rng.random(), rng.sample(names, 2)
        if draw < 0.5:
            name = f"blob-{rng.randrange(3)}"
            data = rng.randbytes(rng.choice([0, 1, 16_384, 70_000, 300_000, 300_000]))
            wanted[one, other, name] = data
            offered.add((one, other, name, data))
            network.nodes[one].offer(network.now, other, name, data)
        elif draw < 0.65:
            network.interrupt(one)
        elif draw < 0.75:
            network.down ^= {frozenset((one, other))}
        elif draw < 0.85:
            network.restart(one)
            network.events = [event for event in network.events if event[0] != one]
            for (sender, to, name), data in wanted.items():
                if sender == one:
                    network.nodes[one].offer(network.now, to, name, data)
        elif draw < 0.92:
            network.corrupt_next = True
        elif wanted:
            sender, to, name = rng.choice(sorted(wanted))
            network.nodes[sender].cancel(name)
            wanted = {key: data for key, data in wanted.items() if (key[0], key[2]) != (sender, name)}
        network.run(rng.choice([5.0, 50.0, 500.0]))
    network.down.clear()
    network.run(30_000.0)
    wrong = []
    received = [(event.sender, to, event.name, event.data) for to, event in network.events_of("Received")]
    if not set(received) <= offered:
        wrong.append("a blob was received that was not offered")
    delivered = {(sender, event.to, event.name) for sender, event in network.events_of("Delivered")}
    wrong += [f"not delivered: {key}" for key in wanted if key not in delivered | network.corrupted]
    for sender, event in network.events_of("Failed"):
        if (sender, event.to, event.name) not in network.corrupted:
            wrong.append(f"failed: {sender} {event}")
    for key, data in wanted.items():
        came = [one[3] for one in received if one[:3] == key]
        if any(one == following for one, following in itertools.pairwise(came)):
            wrong.append(f"received twice: {key}")
        # A receiver that was restarted has forgotten which blobs it had delivered.
        if came and came[-1] != data and key not in network.corrupted:
            wrong.append(f"an older one was received last: {key}")
    return wrong


def test_each_blob_arrives_once_and_unchanged_despite_interruptions_and_restarts() -> None:
    lib = load()
    for seed in range(25):
        assert transfer_run(lib, seed) == [], seed


def test_a_transfer_that_is_interrupted_five_times_continues_where_it_was() -> None:
    for restarted in (False, True):
        network = TransferNetwork(load(), 1, ["a", "b"], bytes_per_s=200_000.0)
        data = Random(1).randbytes(1_600_000)
        network.nodes["a"].offer(0.0, "b", "list", data)
        for _ in range(5):
            network.run(700.0)
            network.interrupt("b")
            if restarted:
                network.restart("a")
                network.nodes["a"].offer(network.now, "b", "list", data)
        network.run(20_000.0)
        assert [event.data == data for _, event in network.events_of("Received")] == [True]
        assert len(network.events_of("Delivered")) == 1 and network.events_of("Failed") == []
        assert network.bytes["a"] < 1_600_000 + 5 * 131_072 + 20_000


def test_blobs_share_the_budget_and_do_not_delay_a_small_one() -> None:
    network = TransferNetwork(load(), 1, ["a", "b", "c"], bytes_per_s=200_000.0)
    for number in range(3):
        network.nodes["a"].offer(0.0, "b", f"large-{number}", Random(number).randbytes(400_000))
    network.run(1_000.0)
    network.nodes["a"].offer(network.now, "c", "small", bytes(40_000))
    network.run(1_200.0)
    assert [event.name for _, event in network.events_of("Received")] == ["small"]
    network.run(5_000.0)
    assert len(network.events_of("Received")) == 4 and network.bytes["a"] < 1_300_000
    network.run(10_000.0)
    assert network.nodes["a"].next_deadline() is None and network.nodes["b"].next_deadline() is None


def test_a_blob_that_changes_during_its_transfer_is_refused_and_discarded() -> None:
    network = TransferNetwork(load(), 1, ["a", "b"], bytes_per_s=200_000.0)
    network.nodes["a"].offer(0.0, "b", "list", bytes(300_000))
    network.run(500.0)
    sending = network.nodes["a"]._outgoing.with_name("list")[0]
    sending.data = bytes(299_999) + b"!"
    network.run(5_000.0)
    assert network.events_of("Received") == []
    assert [(event.to, event.name) for _, event in network.events_of("Failed")] == [("b", "list")]
    assert network.nodes["b"].next_deadline() is None


@pytest.mark.parametrize("lie", ["beyond", "backwards", "silent", "busy", "too much"])
def test_false_offsets_of_a_receiver_end_the_transfer_within_limits(lie: str) -> None:
    network = TransferNetwork(load(), 1, ["a"], bytes_per_s=200_000.0)
    messages, node = network.lib.messages, network.nodes["a"]
    node.offer(0.0, "liar", "list", bytes(400_000))
    digest = node._outgoing.with_name("list")[0].digest
    offset = 0
    while node.next_deadline() is not None and network.now < 120_000.0:
        network.run(250.0)
        answers = {
            "beyond": messages.Ready("list", digest, 400_001, 500_000),
            "backwards": messages.Ready("list", digest, offset := 300_000 - offset, 400_000),
            "too much": messages.Ready("list", digest, 0, 2**53),
            "busy": messages.Refused("list", digest, "busy", True),
        }
        if lie in answers:
            node.on_message(network.now, "liar", answers[lie])
            assert len(node._out._effects) < 20
            network.effects("a")
    assert len(network.events_of("Failed")) == 1 and network.now < 60_000.0
    assert network.bytes["a"] < 17 * 140_000


def test_a_sender_cannot_reserve_more_than_its_limit() -> None:
    network = TransferNetwork(
        load(), 1, ["b"], max_total_bytes=400_000, max_sender_bytes=150_000, max_blob_bytes=120_000
    )
    messages, node = network.lib.messages, network.nodes["b"]
    answers = []
    for number in range(20):
        node.on_message(0.0, "liar", messages.Offer(f"blob-{number}", bytes([number]) * 32, 60_000 + number))
        answers += [type(effect.message).__name__ for effect in node.take_effects()]
    assert answers == ["Ready"] * 2 + ["Refused"] * 18
    node.on_message(0.0, "liar", messages.Chunk("blob-0", bytes(32), 0, bytes(60_001)))
    assert [effect.message.may_retry for effect in node.take_effects()] == [False]
    node.on_message(0.0, "liar", messages.Offer("huge", bytes(32), 120_001))
    assert [effect.message.reason for effect in node.take_effects()] == ["too large"]
    node.on_message(0.0, "other", messages.Offer("blob", bytes(32), 100_000))
    assert [type(effect.message).__name__ for effect in node.take_effects()] == ["Ready"]
    node.tick(60_000.0)
    assert node.next_deadline() is None


def test_random_messages_about_blobs_stop_no_valid_transfer_and_exceed_no_limit() -> None:
    for seed in range(4):
        network = TransferNetwork(
            load(), seed, ["a", "b"], max_total_bytes=600_000, max_sender_bytes=200_000, bytes_per_s=200_000.0
        )
        rng = Random(f"garbage {seed}")
        data = rng.randbytes(150_000)
        network.nodes["b"].offer(0.0, "liar", "blob", bytes(100_000))
        for step in range(600):
            if step == 200:
                network.nodes["a"].offer(network.now, "b", "list", data)
            message, _ = network.wire.roundtrip(random_message(network.lib.messages, rng, ["liar"]))
            if type(message).__name__ in ("Offer", "Ready", "Chunk", "Refused") and rng.random() < 0.5:
                sending = network.nodes["b"]._outgoing.with_name("blob")
                digest = sending[0].digest if sending else bytes(32)
                message = msgspec.structs.replace(
                    message, digest=digest, name=f"blob{rng.choice(['', 1, 2])}"
                )
            network.nodes["b"].on_message(network.now, "liar", message)
            network.run(5.0)
            partial = network.nodes["b"]._incoming._partial.values()
            assert sum(one.size for one in partial) <= 600_000
            assert all(len(one.data) <= one.size for one in partial)
        network.run(5_000.0)
        honest = [event for _, event in network.events_of("Received") if event.sender == "a"]
        assert [event.data == data for event in honest] == [True]


# --- mutants ---


def run_for(lib: SimpleNamespace, mutant: Mutant, seed: int) -> list[str]:
    if mutant.file.endswith(("incoming.py", "outgoing.py")):
        return transfer_run(lib, seed)
    return delta_run(lib, seed) if mutant.seeds > _MAX_RUN_SEEDS else random_run(lib, seed, 40)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: str(mutant.name))
def test_each_mutant_is_found(mutant: Mutant) -> None:
    with broken(mutant, PART):
        lib = load()
        assert any(run_for(lib, mutant, seed) for seed in range(mutant.seeds))
