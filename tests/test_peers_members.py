"""Membership on a simulated network with random faults: invariants after each step, and mutants."""

from __future__ import annotations

import importlib
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.peers_members import Front, Kit, Net, Paths, formed, time_to_know, wrong_deaths
from fernweir.peers.members.gossip import GossipQueue
from fernweir.peers.members.messages import PARTS, Record, State, Sync
from fernweir.peers.members.table import MemberTable, part_of
from tests.peers_mutants import Mutant, broken
from tests.peers_mutants.members import MUTANTS

PART = "fernweir.peers.members"
NAMES = ("detector", "events", "messages", "rules")


def load() -> Kit:
    return Kit(*(importlib.import_module(f"{PART}.{name}") for name in NAMES))


def kind(event: Any) -> str:
    return type(event).__name__


def event_mismatch(front: Front) -> str:
    """Returns a difference between the reported events and the state of the machine, or an empty string."""
    lives: dict[str, int] = {}
    suspects: set[str] = set()
    for _, event in front.events:
        what, name = kind(event), event.name
        if name == front.name:
            continue
        if what == "Joined":
            if name in lives:
                return f"{name} joined twice at {front.name}"
            lives[name] = event.life
        elif what in ("Died", "Left"):
            if lives.pop(name, None) != event.life:
                return f"{name} ended in a life that was not reported at {front.name}"
            suspects.discard(name)
        elif what == "Suspected":
            if name not in lives or name in suspects:
                return f"{name} suspected twice or while not alive at {front.name}"
            suspects.add(name)
        elif what == "Cleared":
            suspects.remove(name)
    machine = front.machine
    if sorted([*lives, front.name]) != machine.alive():
        return f"{front.name} reported {sorted(lives)}, but returns {machine.alive()}"
    if any(machine.life(name) != life for name, life in lives.items()):
        return f"{front.name} returns another life than it reported"
    return ""


def view_faults(net: Net) -> list[str]:
    """Returns faults of the current views: each front must see all running ones, with life and address."""
    up = [front for front in net.fronts if front.up and not front.stopped]
    faults = [fault for front in up if (fault := event_mismatch(front))]
    for front in up:
        if front.machine.alive() != sorted({other.name for other in up}):
            faults.append(f"{front.name} sees {front.machine.alive()} at {net.now:.0f}")
        for other in up:
            if not other.machine.displaced and front.machine.life(other.name) != other.machine.life(
                other.name
            ):
                faults.append(f"{front.name} has {other.name} in a wrong life")
            if not other.machine.displaced and front.machine.address(other.name) != other.address:
                faults.append(f"{front.name} has {other.name} at a wrong address")
    return faults


def count(net: Net, what: str, name: str = "", since: float = 0.0) -> int:
    return sum(
        kind(event) == what and name in ("", event.name) and at >= since
        for front in net.fronts
        for at, event in front.events
    )


# --- random scenarios; each returns the faults that it found ---


def mess(seed: int, kit: Kit) -> list[str]:
    """20% loss, some duplicates, delays up to 2 s: no false death, and a killed front may come back."""
    net = Net(seed, kit, Paths(loss=0.2, double=0.1, late=0.03))
    fleet = formed(net, 8)
    net.run(40_000.0)
    faults = ["declared dead while alive"] * wrong_deaths(net)
    victim = net.dice.randrange(1, 8)
    net.kill(fleet[victim])
    net.run(net.now + net.dice.choice([500.0, 20_000.0]))
    fleet[victim] = net.start(f"front-{victim}", victim, [fleet[0].address])
    net.run(net.now + 25_000.0)
    return faults + ["declared dead after it came back"] * wrong_deaths(net) + view_faults(net)


def killed(seed: int, kit: Kit) -> list[str]:
    """Without faults of the network all fronts soon know a death, in small fleets and larger ones."""
    net = Net(seed, kit, Paths())
    known = time_to_know(net, formed(net, 12 if seed % 4 else 40), 30_000.0)
    return [f"all knew after {known[-1]:.0f} ms"] if known[-1] > 6_000.0 else []


def cut_one_way(seed: int, kit: Kit) -> list[str]:
    """One direction is blocked, with 10% loss: helpers probe instead, and nobody is declared dead."""
    net = Net(seed, kit, Paths(loss=0.1))
    fleet = formed(net, 5)
    net.blocked = lambda front, to: front is fleet[1] and to == fleet[2].address
    net.run(60_000.0)
    suspected = count(net, "Suspected")
    return ["declared dead"] * wrong_deaths(net) + (["suspected too often"] if suspected > 60 else [])


def stood_still(seed: int, kit: Kit) -> list[str]:
    """A front that was suspended declares nobody dead, and is seen again in the same life."""
    net = Net(seed, kit, Paths(loss=0.05))
    fleet = formed(net, 6)
    net.run(3_000.0 + net.dice.uniform(0.0, 1_500.0))
    sleeper = fleet[0]
    if seed % 2:  # suspended with a suspicion of its own; all messages of others arrive late
        net.blocked = lambda front, to: to == sleeper.address or front is sleeper
        net.run(net.now + net.dice.uniform(1_500.0, 13_000.0))
    net.stop(sleeper)
    net.blocked = lambda front, to: False
    net.run(net.now + net.dice.choice([4_000.0, 15_000.0, 60_000.0]))
    woken = net.now
    net.wake(sleeper, told=net.dice.random() < 0.5)
    net.run(net.now + 25_000.0)
    judged = [e for at, e in sleeper.events if kind(e) == "Died" and at >= woken]
    return ["the woken one declared others dead"] * len(judged) + view_faults(net)


def two_of_a_name(seed: int, kit: Kit) -> list[str]:
    """Of two fronts of a name the lower life yields without flapping; it is back after the other's end."""
    net = Net(seed, kit, Paths(loss=0.05))
    fleet = formed(net, 5)
    net.run(5_000.0)
    first = fleet[2]
    life = first.life + net.dice.choice([-50_000, 0, 50_000])
    second = net.start(first.name, 9, [fleet[0].address], life)
    net.run(net.now + 20_000.0)
    faults = [] if first.machine.displaced is not second.machine.displaced else ["not one of two displaced"]
    lower, higher = (first, second) if first.machine.displaced else (second, first)
    for front in (first, second):
        if "Clash" not in {kind(event) for _, event in front.events}:
            faults.append("a clash was not reported")
    since = net.now
    dead = msgspec.structs.replace(higher.machine.table()[first.name].record, state=kit.messages.State.DEAD)
    net.say("front-0", lower, kit.messages.Gossip((dead,)), 1_000.0)  # only others declared it dead
    net.run(net.now + 40_000.0)
    others = [front for front in fleet if front is not first]
    faults += ["flaps"] * count(net, "Joined", first.name, since)
    faults += ["not at the higher's address"] * any(
        front.machine.address(first.name) != higher.address for front in others
    )
    net.kill(higher)
    net.run(net.now + 30_000.0)
    return faults + (["lower is not back"] if lower.machine.displaced else []) + view_faults(net)


def back(seed: int, kit: Kit) -> list[str]:
    """A restart, maybe with the clock set back, gets a new life, which the old one's death does not end."""
    net = Net(seed, kit, Paths(double=0.2))
    fleet = formed(net, 5)
    net.run(4_000.0)
    number = net.dice.randrange(1, 5)
    old, began = fleet[number], net.now
    record = old.machine.table()[old.name].record
    net.kill(old)
    net.run(net.now + net.dice.choice([0.0, 2_000.0, 8_000.0]))
    life = old.life + net.dice.choice([-100_000, 1, 8_000])
    fleet[number] = net.start(old.name, number, [fleet[0].address], life)
    for front in fleet:
        for late in (1_500.0, 2_000.0, 4_000.0):
            dead = msgspec.structs.replace(record, state=kit.messages.State.DEAD, accuser="front-0")
            net.say("front-0", front, kit.messages.Gossip((dead,)), late)
    net.run(net.now + 1_400.0)
    faults = view_faults(net) if life > old.life else []
    net.run(net.now + 25_000.0)
    now = fleet[number].machine.life(old.name)
    if now <= old.life or (life > old.life and now != life):
        faults.append(f"life {now} after {old.life}, started with {life}")
    if sum(kind(e) == "Died" and e.name == old.name for f in fleet for at, e in f.events if at >= began) > 4:
        faults.append("died more than once")
    return faults + view_faults(net)


def halves(seed: int, kit: Kit) -> list[str]:
    """A partition lasts until each side declared the other dead. After it heals all fronts are found, and the
    updates of one side do not kill fronts of the other."""
    net = Net(seed, kit, Paths(loss=0.05))
    fleet = formed(net, 8)
    net.run(2_000.0)
    left = {front.address for front in fleet[: net.dice.choice([1, 4])]}
    net.blocked = lambda front, to: (front.address in left) != (to in left)
    net.run(net.now + net.dice.choice([9_000.0, 40_000.0]))
    net.blocked = lambda front, to: False
    joined = net.now
    net.run(net.now + 30_000.0)
    faults = view_faults(net)
    for front in fleet:
        for at, event in front.events:
            same_side = any(
                f.name == event.name and (f.address in left) == (front.address in left) for f in fleet
            )
            if kind(event) == "Died" and same_side:
                faults.append(f"{event.name} declared dead by updates alone at {at - joined:.0f}")
    return faults


def alone(seed: int, kit: Kit) -> list[str]:
    """Fronts start in any order, also before their seed, with loss."""
    net = Net(seed, kit, Paths(loss=0.2))
    seeds = [("127.0.0.1", 7000)]
    for number in net.dice.sample(range(6), 6):
        net.start(f"front-{number}", number, seeds)
        net.run(net.now + net.dice.uniform(0.0, 3_000.0))
    net.run(net.now + 20_000.0)
    return view_faults(net)


def flooded(seed: int, kit: Kit) -> list[str]:
    """A peer sends endless invented members: the table stays bounded and keeps the living members."""
    rules = kit.rules.MemberRules(max_members=40, forget_ms=4_000.0, tombstone_ms=4_000.0)
    net = Net(seed, kit, Paths(), rules)
    fleet = formed(net, 4)
    dice = net.dice
    faults = []
    for _ in range(12):
        news = []
        for _ in range(100):
            name = dice.choice([f"front-{dice.randrange(4)}", f"ghost-{dice.randrange(10_000)}"])
            state, life = (
                dice.choice(list(kit.messages.State)),
                dice.choice([0, dice.getrandbits(30), 2**48 - 1]),
            )
            ghost = name.startswith("ghost")
            news.append(
                kit.messages.Record(name, state, life if ghost else 5, dice.getrandbits(20), "127.9.9.9", 9)
            )
        told = kit.messages.Rows if dice.random() < 0.5 else kit.messages.Gossip
        net.say("front-3", fleet[dice.randrange(3)], told(tuple(news)))
        net.run(net.now + 200.0)
        faults += ["table over its bound" for front in fleet if len(front.machine.table()) > 40]
    net.run(net.now + 240_000.0)
    faults += [f"{len(f.machine.table())} rows left" for f in fleet if len(f.machine.table()) > 4]
    return faults + ["declared dead"] * wrong_deaths(net) + view_faults(net)


def forgotten(seed: int, kit: Kit) -> list[str]:
    """A dead member is removed from the table after its time, and old updates do not bring it back."""
    rules = kit.rules.MemberRules(forget_ms=5_000.0, tombstone_ms=30_000.0)
    net = Net(seed, kit, Paths(), rules)
    fleet = formed(net, 5)
    record = fleet[3].machine.table()["front-3"].record
    net.run(2_000.0)
    net.kill(fleet[3])
    net.run(net.now + 18_000.0)
    others = [front for front in fleet if front.up]
    faults = ["still in the table"] * any("front-3" in front.machine.table() for front in others)
    for front in others:
        net.say("front-0", front, kit.messages.Rows((record,)), net.dice.uniform(0.0, 2_000.0))
        net.say("front-0", front, kit.messages.Gossip((record,)), net.dice.uniform(0.0, 2_000.0))
    joined = count(net, "Joined", "front-3")
    net.run(net.now + 5_000.0)
    return faults + ["back from the dead"] * (count(net, "Joined", "front-3") - joined) + view_faults(net)


def slow(seed: int, kit: Kit) -> list[str]:
    """One front receives everything 0.9 s late: it raises its health score and does not accuse the others."""
    net = Net(seed, kit, Paths())
    fleet = formed(net, 10)
    fleet[4].slow = 900.0
    net.run(60_000.0)
    accusations = count(net, "Suspected") - count(net, "Suspected", "front-4")
    faults = [f"{accusations} suspicions told of sound fronts"] if accusations > 150 else []
    return faults + ["declared dead"] * wrong_deaths(net)


def calm(seed: int, kit: Kit) -> list[str]:
    """Gossip ends: without changes a front sends little, whatever happened before, and lives stay."""
    net = Net(seed, kit, Paths(double=0.1))
    fleet = formed(net, 8)
    lives = [front.life for front in fleet]
    net.kill(fleet[7])
    net.run(20_000.0)
    before = sum(front.sent for front in fleet)
    net.run(40_000.0)
    rate = (sum(front.sent for front in fleet) - before) / 7 / 20.0
    faults = [f"{rate:.0f} B/s in calm"] if rate > 330.0 else []
    now = [front.machine.life(front.name) for front in fleet]
    return faults + (["a life changed"] if now != lives else []) + view_faults(net)


def goodbye(seed: int, kit: Kit) -> list[str]:
    """One front leaves in order, with loss: all report that it left, none that it died."""
    net = Net(seed, kit, Paths(loss=0.2, late=0.05))
    fleet = formed(net, 7)
    net.run(2_000.0)
    fleet[5].machine.leave(net.now)
    net.settle(fleet[5])
    net.run(net.now + 1_500.0)
    net.kill(fleet[5])
    net.run(net.now + 20_000.0)
    left = sum(kind(e) == "Left" and e.name == "front-5" for f in fleet for _, e in f.events)
    return [f"{left} of 6 heard it leave"] * (left != 6) + ["died"] * count(net, "Died") + view_faults(net)


def rolled(seed: int, kit: Kit) -> list[str]:
    """A rolling upgrade, two fronts at a time, to a version with two formats causes no deaths."""
    net = Net(seed, kit, Paths(loss=0.1, double=0.1))
    fleet = formed(net, 10)
    seeds = [front.address for front in fleet[:3]]
    for first in range(0, 10, 2):
        for number in (first, first + 1):
            fleet[number].machine.leave(net.now)
            net.settle(fleet[number])
        net.run(net.now + 1_000.0)
        for number in (first, first + 1):
            fleet[number] = net.start(f"front-{number}", number, seeds, formats=(1, 2))
        net.run(net.now + net.dice.uniform(100.0, 4_000.0))
    net.run(net.now + 10_000.0)
    known = {member.formats for front in fleet for member in front.machine.table().values()}
    return (
        ["died"] * count(net, "Died") + ([] if known == {(1, 2)} else [f"formats {known}"]) + view_faults(net)
    )


def old_answer(seed: int, kit: Kit) -> list[str]:
    """Duplicated, delayed or unrelated answers to earlier probes do not keep a dead front alive."""
    net = Net(seed, kit, Paths())
    fleet = formed(net, 3)
    net.run(2_000.0 + net.dice.uniform(0.0, 700.0))
    net.kill(fleet[2])
    life = fleet[2].life
    for step in range(200):
        for front in fleet[:2]:
            ack = kit.messages.Ack(net.dice.getrandbits(40), life)
            net.say("front-2", front, ack, step * 50.0)
    net.run(net.now + 9_000.0)
    return view_faults(net)


DAYS: list[Callable[[int, Kit], list[str]]] = [
    *(mess, killed, cut_one_way, stood_still, two_of_a_name, back, halves, alone, flooded, forgotten),
    *(slow, calm, goodbye, rolled, old_answer),
]


@pytest.mark.parametrize("day", DAYS, ids=lambda day: day.__name__)
def test_drawn_days(day: Callable[[int, Kit], list[str]]) -> None:
    for seed in range(4):
        assert day(seed, load()) == [], f"seed {seed}"


def test_the_same_seed_plays_the_same_day() -> None:
    told = []
    for _ in range(2):
        net = Net(3, load(), Paths(loss=0.2, double=0.1, late=0.1))
        formed(net, 6)
        net.run(20_000.0)
        told.append([(front.name, front.sent, front.events) for front in net.fronts])
    assert told[0] == told[1]


# --- against slow models ---

records = st.builds(
    Record,
    name=st.sampled_from("abcd"),
    state=st.sampled_from(list(State)),
    life=st.integers(1, 3),
    incarnation=st.integers(0, 2),
    host=st.just("h"),
    port=st.integers(1, 2),
    accuser=st.sampled_from(["", "a", "x", "y"]),
)


class SlowQueue:
    """A slow model of the queue: all updates in a list that is sorted at each selection."""

    def __init__(self) -> None:
        self.news: list[tuple[int, int, Record]] = []  # times sent, step of the last change, update
        self.step = 0

    def add(self, record: Record) -> None:
        def by(r: Record) -> str:
            return r.accuser if r.state is State.SUSPECT else ""

        def stays(other: Record) -> bool:
            if other.name != record.name:
                return True
            return by(other) != by(record) and other.key >= record.key

        self.news = [entry for entry in self.news if stays(entry[2])]
        self.step += 1
        self.news.append((0, self.step, record))

    def select(self, space_bytes: int, repeats: int) -> list[Record]:
        self.news = [entry for entry in self.news if entry[0] < repeats]
        selected: list[tuple[int, int, Record]] = []
        for entry in sorted(self.news, key=lambda entry: (entry[0], -entry[1])):
            size = len(msgspec.msgpack.encode(entry[2]))
            if size > space_bytes:
                break
            space_bytes -= size
            selected.append(entry)
        for entry in selected:
            self.news.remove(entry)
            self.step += 1
            if entry[0] + 1 < repeats:
                self.news.append((entry[0] + 1, self.step, entry[2]))
        return [entry[2] for entry in selected]


@settings(max_examples=120, derandomize=True, deadline=None)
@given(st.lists(st.one_of(records, st.tuples(st.integers(0, 120), st.integers(1, 4))), max_size=40))
def test_news_is_passed_on_as_by_a_slow_queue(steps: list[Any]) -> None:
    queue, model = GossipQueue(), SlowQueue()
    for step in steps:
        if isinstance(step, tuple):
            assert list(queue.select(*step)) == model.select(*step)
        else:
            queue.add(step)
            model.add(step)
        assert len(queue) == len(model.news)
    while queue:
        assert list(queue.select(500, 3)) == model.select(500, 3)


@settings(max_examples=120, derandomize=True, deadline=None)
@given(st.lists(records, max_size=40), st.randoms(use_true_random=False))
def test_tables_that_received_the_same_are_the_same(received: list[Record], dice: Random) -> None:
    best: dict[str, Record] = {}
    for record in received:
        if record.name not in best or best[record.name].key < record.key:
            best[record.name] = record
    tables = []
    for _ in range(2):
        table = MemberTable("me", 10)
        for record in received:
            known = table.record_of(record.name)
            if known is None or known.key < record.key:
                table.put(0.0, record)
        assert {name: member.record.key for name, member in table.rows.items()} == {
            name: record.key for name, record in best.items()
        }
        assert sorted(table.living) == sorted(name for name, record in best.items() if record.living)
        tables.append(table)
        dice.shuffle(received)
    assert tables[0].differing_parts(tuple(tables[1].checksums)) == ()
    changed = Record("zoe", State.ALIVE, 1, 0, "h", 1)
    tables[1].put(0.0, changed)
    assert tables[0].differing_parts(tuple(tables[1].checksums)) == (part_of("zoe"),)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.integers(0, 10_000))
def test_events_match_the_view_under_any_messages(seed: int) -> None:
    """One machine gets any message at any time: no crash, no broken bound, no unreported change."""
    kit, dice = load(), Random(seed)
    m = kit.messages
    rules = kit.rules.MemberRules(max_members=12, forget_ms=3_000.0, tombstone_ms=3_000.0)
    me = kit.events.Me("a", ("h", 1), 2)
    front = Front("a", ("h", 1), 2, kit.detector.Members(me, rules, seed))
    now = 0.0
    front.machine.join(now, [("h", 1), ("h", 9)])
    names = [*"abcdefgh", *(f"n{number}" for number in range(12))]

    def record() -> Any:
        life = dice.choice([1, 2, 3, 2**48 - 1])
        return m.Record(
            dice.choice(names), dice.choice(list(m.State)), life, dice.choice([0, 1, 2**31 - 1]), "h",
            dice.randrange(1, 4), accuser=dice.choice(names),
        )  # fmt: skip

    probes = front.machine._prober._probes
    lives: dict[str, int] = {}
    for _ in range(150):
        now += dice.choice([0.0, 5.0, 150.0, 700.0, 5_000.0])
        news = tuple(record() for _ in range(dice.randrange(4)))
        seq = dice.choice([probes._seq, probes._seq - 1, 7])
        message = dice.choice(
            [
                m.Ping(seq, dice.choice("ab"), record(), news),
                m.Ack(seq, 3, news),
                m.Nack(seq),
                m.PingRequest(seq, dice.choice(names), "h", 2),
                m.Gossip(news),
                m.Sync(record(), tuple(dice.getrandbits(32) for _ in range(dice.choice([0, 3, PARTS])))),
                m.Rows(news, (1, 2), dice.random() < 0.5),
            ]
        )
        if dice.random() < 0.7:
            front.machine.on_message(now, dice.choice(names), message)
        else:
            front.machine.tick(now)
        front.events += [
            (now, effect) for effect in front.machine.take_effects() if not hasattr(effect, "to")
        ]
        due = front.machine.next_deadline()
        assert due is not None and due >= now
        assert len(front.machine.table()) <= 12
        assert event_mismatch(front) == ""
        for name, member in front.machine.table().items():
            assert member.life >= lives.get(name, 0)
        lives = {name: member.life for name, member in front.machine.table().items()}


def test_an_address_belongs_to_the_living_member_that_started_there_last() -> None:
    kit = load()
    m = kit.messages
    members = kit.detector.Members(kit.events.Me("a", ("h", 1), 1), kit.rules.MemberRules(), 1)
    members.join(0.0, [])
    assert members.name_at(("h", 1)) is None  # no other front
    assert members.name_at(("h", 2)) is None
    for name, life, state in (("b", 5, m.State.ALIVE), ("c", 7, m.State.ALIVE), ("d", 9, m.State.DEAD)):
        members.on_message(0.0, "x", m.Gossip((m.Record(name, state, life, 0, "h", 2),)))
    assert members.name_at(("h", 2)) == "c"
    members.on_message(0.0, "x", m.Gossip((m.Record("c", m.State.LEFT, 7, 0, "h", 2),)))
    assert members.name_at(("h", 2)) == "b"


def test_what_the_fields_do_not_allow_is_not_decoded() -> None:
    good = ["m.sync", ["a", 0, 1, 0, "h", 1, 1, 2, ""], []]
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(good), type=Sync).sender_record.high == 2
    invalid = [
        (0, ""),
        (0, "x" * 65),
        (1, 4),
        (2, 2**48),
        (3, -1),
        (4, ""),
        (5, 0),
        (5, 65_536),
        (6, 3),
        (7, 0),
    ]
    for place, value in invalid:
        row: list[Any] = list(good[1])
        row[place] = value
        with pytest.raises(msgspec.ValidationError):
            msgspec.msgpack.decode(msgspec.msgpack.encode(["m.sync", row, []]), type=Sync)


def found(day: str, mutant: Mutant) -> int | None:
    """Returns the first seed at which the scenario finds the mistake, also by a crash."""
    with broken(mutant, PART):
        kit = load()
        play = next(each for each in DAYS if each.__name__ == day)
        return next((seed for seed in range(mutant.seeds) if play(seed, kit)), None)


@pytest.mark.parametrize(("day", "mutant"), MUTANTS, ids=lambda value: getattr(value, "name", ""))
def test_each_mistake_is_found(day: str, mutant: Mutant) -> None:
    assert found(day, mutant) is not None
