"""Successor selection, takeover pacing, reconciliation and the directory, against simple models."""

from __future__ import annotations

import heapq
import importlib
from collections.abc import Callable
from itertools import pairwise
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fernweir.peers.base import rendezvous
from fernweir.peers.channel.rules import DirectoryRules, PacingRules, SuccessorRules
from fernweir.peers.channel.successor_selection import Candidate, assign, standbys, successors, wait_ms
from fernweir.peers.channel.takeover_pacing import LostChannel, schedule_takeovers
from fernweir.peers.port import ClaimResult, SessionStatus
from tests.peers_mutants import Mutant, broken
from tests.peers_mutants.channel import DIRECTORY, HEIRS, LIVES, WEIGHING

GENERATED = settings(derandomize=True, deadline=None, max_examples=60)
FRONTS = st.lists(
    st.builds(
        Candidate,
        name=st.sampled_from([f"f{n}" for n in range(12)]),
        load=st.integers(0, 400),
        age_ms=st.floats(0.0, 90_000.0),
        late=st.booleans(),
        leaving=st.booleans(),
        standby=st.booleans(),
    ),
    max_size=10,
    unique_by=lambda front: front.name,
)


# --- successors ---


def slow_successors(channel: str, fronts: list[Candidate], rules: SuccessorRules, sessions: int) -> list[str]:
    """The rule itself: no stale or leaving front; replicas first; none beyond its share of the mean."""
    fit = [front for front in fronts if not (front.late or front.leaving)]
    shares = {front.name: min(1.0, max(rules.floor, front.age_ms / rules.ramp_ms)) for front in fit}
    everything = sum(front.load for front in fit) + sessions
    room, full = [], []
    for name in rendezvous(channel, shares):
        front = next(one for one in fit if one.name == name)
        fair = everything * shares[name] / sum(shares.values())
        (room if front.load + sessions <= fair * (1.0 + rules.slack) else full).append(front)
    with_replica = [front.name for front in room if front.standby]
    without = [front.name for front in room if not front.standby]
    return with_replica + without + [front.name for front in full]


@GENERATED
@given(FRONTS, st.integers(0, 30), st.integers(1, 60), st.randoms(use_true_random=False))
def test_successors_follow_the_rule_for_any_order_of_fronts(
    fronts: list[Candidate], part: int, sessions: int, rng: Any
) -> None:
    rules = SuccessorRules()
    order = successors(f"a:1/{part}", fronts, rules, sessions)
    assert order == slow_successors(f"a:1/{part}", fronts, rules, sessions)
    shuffled = list(fronts)
    rng.shuffle(shuffled)
    assert successors(f"a:1/{part}", shuffled, rules, sessions) == order


def successor_run(seed: int) -> list[str]:
    """One of 30 fronts is lost: only eligible fronts inherit its channels, within their bounds."""
    module: Any = importlib.import_module("fernweir.peers.channel.successor_selection")
    rules_of: Any = importlib.import_module("fernweir.peers.channel.rules")
    rng, rules = Random(f"heirs {seed}"), rules_of.SuccessorRules()
    fronts = []
    for n in range(30):
        young = rng.random() < 0.15
        load = rng.randrange(20) if young else rng.randrange(380, 620)
        age = rng.uniform(0.0, 3_000.0) if young else 1e6
        flags = rng.random() < 0.1, rng.random() < 0.1
        fronts.append(module.Candidate(f"f{n}", load, age, *flags))
    channels = {f"lost:1/{part}": rng.randrange(40, 85) for part in range(rng.choice([8, 64]))}
    result = module.assign(channels, fronts, rules)
    fit = {front.name: front for front in fronts if not front.late and not front.leaving}
    gained = dict.fromkeys(fit, 0)
    faults = []
    for channel, order in result.items():
        if set(order) != set(fit):
            faults.append(f"{channel}: not exactly the fit ones")
        else:
            gained[order[0]] += channels[channel]
    total = sum(front.load for front in fit.values()) + sum(channels.values())
    grown = sum(max(min(front.age_ms / rules.ramp_ms, 1.0), rules.floor) for front in fit.values())
    for name, front in fit.items():
        share = max(min(front.age_ms / rules.ramp_ms, 1.0), rules.floor)
        if gained[name] and front.load + gained[name] > (1.0 + rules.slack) * total * share / grown + 1e-6:
            faults.append(f"{name} of age {front.age_ms:.0f} gets {gained[name]} to its {front.load}")
    return faults


def test_channels_of_a_lost_front_go_to_eligible_fronts_within_their_bounds() -> None:
    assert [successor_run(seed) for seed in range(20)] == [[]] * 20


def test_few_channels_have_another_first_heir_when_a_front_goes() -> None:
    """One of 30 fronts leaves: about a thirtieth of all channels must move, and few others do."""
    fronts = [Candidate(f"f{n}", 500, 1e6) for n in range(30)]
    channels = {f"lost:{n}/{part}": 1 for n in range(150) for part in range(8)}
    before = assign(channels, fronts)
    after = assign(channels, [front for front in fronts if front.name != "f7"])
    moved = [channel for channel in channels if before[channel][0] != after[channel][0]]
    must = [channel for channel in channels if before[channel][0] == "f7"]
    assert set(must) <= set(moved) and len(moved) < len(channels) * 0.06
    assert standbys("a:1/0", fronts) == successors("a:1/0", fronts)[:2] and wait_ms(2) == 2 * wait_ms(1) > 0.0


# --- pacing ---

LOSSES = st.lists(
    st.builds(
        LostChannel,
        channel=st.integers(0, 99).map("a:1/{}".format),
        sessions=st.integers(0, 200),
        boxes=st.lists(st.integers(0, 9), max_size=6, unique=True).map(tuple),
        age_ms=st.floats(0.0, 1e5),
        doubtful=st.integers(0, 50),
    ),
    max_size=12,
    unique_by=lambda loss: loss.channel,
)


@GENERATED
@given(LOSSES, st.integers(0, 5), st.integers(1, 4), st.floats(0.0, 1e7))
def test_channels_are_taken_over_within_the_bound_and_paced_where_it_allows(
    losses: list[LostChannel], seed: int, count: int, now: float
) -> None:
    rules = PacingRules()
    turns = schedule_takeovers(now, losses, rules, seed, count)
    assert sorted(turn.channel for turn in turns) == sorted(loss.channel for loss in losses)
    assert all(now <= turn.at <= now + rules.deadline_ms + 1e-6 for turn in turns)
    assert schedule_takeovers(now, losses[::-1], rules, seed, count) == turns
    by_channel = {loss.channel: loss for loss in losses}
    loose = schedule_takeovers(now, losses, PacingRules(deadline_ms=1e9), seed, count)
    for box in range(10):
        claims = [turn.at for turn in loose if box in by_channel[turn.channel].boxes]
        gaps = [later - earlier for earlier, later in pairwise(claims)]
        assert all(gap >= 1_000.0 * count / rules.claims_per_s - 1e-3 for gap in gaps)
    sizes = [by_channel[turn.channel].sessions for turn in loose]
    assert sizes == sorted(sizes, reverse=True) or any(gap.boxes or gap.doubtful for gap in losses)


# --- reconcile ---


def slow_reconcile(
    copy: dict[str, SessionStatus], told: list[ClaimResult], elsewhere: str
) -> dict[str, set[Any]]:
    """The rows of the table, for one session and one location at a time."""
    answers: dict[int, ClaimResult] = {}
    for claimed in told:
        if claimed.reached:
            answers[claimed.box] = claimed
    result: dict[str, set[Any]] = {"take": set(), "over": set(), "give_up": set(), "unknown": set()}
    if any(not claimed.accepted for claimed in answers.values()):
        return result
    places = {
        (session, box, attempt, rung)
        for box, claimed in answers.items()
        for session, attempt, rung in claimed.sessions
    }
    for session in set(copy) | {place[0] for place in places}:
        mine = [place for place in places if place[0] == session]
        known = copy.get(session)
        right = None
        if known is not None:
            later = [place for place in mine if place[2] > known.attempt]
            top = max((place[2] for place in later), default=-1)
            same = sorted((place for place in later if place[2] == top), key=lambda place: place[1])
            at_home = [place for place in same if place[1] == known.box]
            exact = [place for place in mine if place[1:3] == (known.box, known.attempt)]
            right = (at_home + same + exact + [None])[0]
            if right is not None:
                result["take"].add((session, *right[1:]))
            else:
                result["over" if session not in elsewhere and known.box in answers else "unknown"].add(
                    session
                )
        result["give_up"] |= {(place[1], session, place[2]) for place in mine if place != right}
    return result


def reconcile_differences(copy: dict[str, tuple[int, int]], claims: list[Any], elsewhere: str) -> list[str]:
    """Returns the fields in which the program and the slow model differ."""
    module: Any = importlib.import_module("fernweir.peers.channel.reconcile")
    statuses = {
        session: SessionStatus(session, "v", "w", "t", "c", 3, "x", 1, box, attempt, 0)
        for session, (box, attempt) in copy.items()
    }
    told = [
        ClaimResult(box, reached, accepted, 5 if accepted else 9, tuple(sessions))
        for box, reached, sessions, accepted in claims
    ]
    result, slow = module.reconcile(statuses, told, elsewhere), slow_reconcile(statuses, told, elsewhere)
    got = {
        "take": [(one.session, one.box, one.attempt, one.rung) for one in result.take],
        "over": list(result.over),
        "give_up": list(result.give_up),
        "unknown": [one.session for one in result.unknown],
    }
    faults = [name for name, these in got.items() if set(these) != slow[name] or len(these) > len(slow[name])]
    return faults + ["outdone"] * (result.higher_fence not in (0, 9))


def weighing_day(seed: int) -> list[str]:
    rng = Random(f"weighing {seed}")
    for _ in range(40):
        copy = {session: (rng.randrange(4), rng.randrange(3)) for session in rng.sample("pqrs", 3)}
        claims = []
        for _ in range(rng.randrange(5)):
            listed = [(one, rng.randrange(4), rng.randrange(3)) for one in rng.sample("pqrs", 3)]
            claims.append((rng.randrange(4), rng.random() < 0.8, listed, rng.random() < 0.95))
        if faults := reconcile_differences(copy, claims, rng.choice(["", "", "pq", "pqrs"])):
            return [f"{faults} of {copy} and {claims}"]
    return []


CLAIMS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from([True, True, True, False]),
        st.lists(
            st.tuples(st.sampled_from("pqrs"), st.integers(0, 3), st.integers(0, 2)),
            max_size=4,
            unique_by=lambda one: one[0],
        ),
        st.sampled_from([True] * 9 + [False]),
    ),
    max_size=5,
)


@settings(GENERATED, max_examples=200)
@given(
    st.dictionaries(st.sampled_from("pqrs"), st.tuples(st.integers(0, 3), st.integers(0, 2))),
    CLAIMS,
    st.sampled_from(["", "pq", "pqrs"]),
)
def test_what_copy_and_boxes_say_together_is_as_the_table_has_it(
    copy: dict[str, tuple[int, int]], claims: list[Any], elsewhere: str
) -> None:
    assert reconcile_differences(copy, claims, elsewhere) == []


# --- directory ---


class DirectoryDay:
    """Fronts hand sessions off, die and restart under their names while others look sessions up."""

    NAMES = "abcde"

    def __init__(self, seed: int) -> None:
        self.module: Any = importlib.import_module("fernweir.peers.channel.directory")
        self.base: Any = importlib.import_module("fernweir.peers.base")
        messages: Any = importlib.import_module("fernweir.peers.channel.messages")
        rules: Any = importlib.import_module("fernweir.peers.channel.rules")
        kinds = (
            messages.Registered | messages.Unregistered | messages.LocateSession | messages.SessionLocation
        )
        self.decoder = msgspec.msgpack.Decoder(kinds)
        self.rules = rules.DirectoryRules(refresh_ms=2_000.0, keep_ms=6_000.0, max_entries=60)
        self.rng, self.now, self.count = Random(f"directory {seed}"), 0.0, 0
        self.loss = self.rng.choice([0.0, 0.2])
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.incarnations = dict.fromkeys(self.NAMES, 1)
        self.parts = {name: self.module.Directory(name, 1, self.rules, seed) for name in self.NAMES}
        self.has: dict[str, tuple[str, int]] = {}  # session: owner, fence
        self.finds: dict[tuple[str, str], tuple[float, str | None]] = {}
        self.faults: list[str] = []
        self.quiet = False
        self.members()

    def members(self) -> None:
        for part in self.parts.values():
            part.members(self.now, {name: self.incarnations[name] for name in self.parts})

    def act(self) -> None:
        what, name = self.rng.random(), self.rng.choice(sorted(self.parts))
        session = f"s{self.rng.randrange(30)}"
        if what < 0.4:
            if session not in self.has:
                self.has[session] = (name, 1)
                self.parts[name].register(self.now, session, 1)
        elif what < 0.5 and session in self.has:
            owner, _ = self.has.pop(session)
            self.parts[owner].unregister(self.now, session)
        elif what < 0.7 and session in self.has:  # handed off: both register, in either order
            owner, fence = self.has[session]
            self.has[session] = (name, fence + 1)
            if name != owner:
                self.parts[owner].unregister(self.now, session)
            self.parts[name].register(self.now, session, fence + 1)
        elif what < 0.73 and len(self.parts) > 3:
            del self.parts[name]
            self.has = {one: held for one, held in self.has.items() if held[0] != name}
            self.finds = {key: find for key, find in self.finds.items() if key[0] != name}
            self.members()
        elif what < 0.77:
            gone = [one for one in self.NAMES if one not in self.parts]
            if gone:
                self.incarnations[gone[0]] += 1
                self.parts[gone[0]] = self.module.Directory(
                    gone[0], self.incarnations[gone[0]], self.rules, 0
                )
                self.members()
        else:
            self.find(name, session)

    def find(self, name: str, session: str) -> None:
        if (name, session) not in self.finds:
            held = self.has.get(session)
            self.finds[(name, session)] = (self.now, held[0] if held is not None else None)
            self.parts[name].find(self.now, session)

    def send(self, sender: str, effect: Any) -> None:
        data = msgspec.msgpack.encode(effect.message)
        if self.rng.random() < self.loss * (0.3 if effect.reliable else 1.0) or effect.to not in self.parts:
            return
        way = self.rng.uniform(0.2, 4.0) + (2_000.0 if self.rng.random() < self.loss / 8.0 else 0.0)
        to, incarnation = effect.to, self.incarnations[effect.to]

        def deliver() -> None:
            if to in self.parts and self.incarnations[to] == incarnation:
                self.parts[to].on_message(self.now, sender, self.decoder.decode(data))

        self.count += 1
        heapq.heappush(self.queue, (self.now + way, self.count, deliver))

    def found(self, name: str, found: Any) -> None:
        asked = self.finds.pop((name, found.session), None)
        if asked is None:
            self.faults.append(f"{name} found {found.session} twice")
            return
        if self.now - asked[0] > self.rules.find_timeout_ms + 2.0:
            self.faults.append(f"{name} waited {self.now - asked[0]:.0f} ms for {found.session}")
        if found.owner is not None and found.owner not in self.parts:
            self.faults.append(f"{name} found {found.session} at {found.owner}, which is dead")
        if self.quiet and found.owner != asked[1]:
            self.faults.append(f"{found.session} is at {asked[1]}, {name} found {found.owner} in quiet")

    def run(self, ms: float, act: Callable[[], None]) -> None:
        until = self.now + ms
        while self.now < until and not self.faults:
            if self.rng.random() < 0.1:
                act()
            while self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            for name, part in list(self.parts.items()):
                due = part.next_deadline()
                if due is not None and due <= self.now:
                    part.tick(self.now)
                for effect in part.take_effects():
                    if isinstance(effect, self.base.Send):
                        self.send(name, effect)
                    else:
                        self.found(name, effect)
                if len(part._registrar) > self.rules.max_entries:
                    self.faults.append(f"{name} keeps {len(part._registrar)} entries")
            self.now += 2.0

    def end(self) -> None:
        """After a refresh and expiry of all entries, every lookup of every front must be right."""
        self.loss = 0.0
        self.run(self.rules.keep_ms + 500.0, lambda: None)
        self.quiet, self.finds = True, {}
        again = self.rng.choice(sorted(self.parts))  # a restarted registrar must not end a lookup
        self.incarnations[again] += 1
        self.parts[again] = self.module.Directory(again, self.incarnations[again], self.rules, 1)
        self.has = {one: held for one, held in self.has.items() if held[0] != again}
        self.members()
        for name in sorted(self.parts):
            for n in range(30):
                self.find(name, f"s{n}")
        self.run(200.0, lambda: None)
        if self.finds and not self.faults:
            self.faults.append(f"never found: {sorted(self.finds)}")


def directory_run(seed: int) -> list[str]:
    day = DirectoryDay(seed)
    day.run(6_000.0, day.act)
    if not day.faults:
        day.end()
    return day.faults


def incarnation_run(seed: int) -> list[str]:
    """A message of an earlier incarnation follows one of a later, at a registrar without entries."""
    module: Any = importlib.import_module("fernweir.peers.channel.registrar")
    rules: Any = importlib.import_module("fernweir.peers.channel.rules")
    registrar = module.Registrar(rules.DirectoryRules())
    incarnations = Random(f"lives {seed}").sample([1, 2, 3, 4], 4)
    for incarnation in incarnations:
        registrar.register(0.0, "b", incarnation, [("s", incarnation)])
    entry = registrar.find(0.0, "s")
    if entry is None or entry.incarnation != 4:
        return [f"after lives {incarnations} the entry is {entry}"]
    owners = Random(f"owners {seed}").sample([("c", 3), ("d", 5), ("e", 4)], 3)
    for owner, fence in owners:
        registrar.register(0.0, owner, 1, [("t", fence)])
    for owner in "ce":
        registrar.unregister(owner, 1, ["t"])
    entry = registrar.find(0.0, "t")
    return [] if entry is not None and entry.owner == "d" else [f"after {owners} the entry is {entry}"]


def test_a_message_of_an_earlier_incarnation_changes_nothing() -> None:
    assert [incarnation_run(seed) for seed in range(5)] == [[]] * 5


def test_sessions_are_found_in_time_and_after_quiet_where_they_are() -> None:
    assert [directory_run(seed) for seed in range(10)] == [[]] * 10


def test_finds_and_entries_are_bounded_whatever_peers_say() -> None:
    rules = DirectoryRules(max_lookups=3, max_entries=4, message_entries=3)
    module: Any = importlib.import_module("fernweir.peers.channel.directory")
    messages: Any = importlib.import_module("fernweir.peers.channel.messages")
    part = module.Directory("a", 1, rules)
    part.members(0.0, {"b": 7, "c": 1})
    for n in range(9):
        part.on_message(0.0, "b", messages.Registered(7, [(f"x{n}.{m}", 1) for m in range(50)]))
    part.on_message(0.0, "b", messages.Registered(7, [("", 1), ("y" * 9_000, 1), ("z", -1)]))
    assert len(part._registrar) == 4
    for n in range(9):
        part.find(0.0, f"s{n}")
    effects = part.take_effects()
    found = [effect for effect in effects if isinstance(effect, module.Found)]
    assert len(found) >= 6 and all(one.owner is None for one in found)
    part.tick(60.0)
    found += [effect for effect in part.take_effects() if isinstance(effect, module.Found)]
    assert sorted(one.session for one in found) == [f"s{n}" for n in range(9)]


@pytest.mark.parametrize("mutant", HEIRS + WEIGHING + LIVES + DIRECTORY, ids=lambda mutant: mutant.name)
def test_mistakes_put_in_are_found(mutant: Mutant) -> None:
    plays = (
        (HEIRS, successor_run),
        (WEIGHING, weighing_day),
        (LIVES, incarnation_run),
        (DIRECTORY, directory_run),
    )
    play = next(play for group, play in plays if mutant in group)
    with broken(mutant, "fernweir.peers.channel"):
        assert any(play(seed) for seed in range(mutant.seeds))
