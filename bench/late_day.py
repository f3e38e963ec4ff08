"""A fleet of stragglers' machines for a day: drawn news, faults and liars, and an oracle that knows all.

All is simulated, with no sockets and no wall clock: the source of the list, membership, facts, messages and
the record of acts are a few lines each. The oracle numbers every content as it is made, which no front can,
and knows what each front really holds.
"""

from __future__ import annotations

import importlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from types import ModuleType
from typing import Any

import msgspec

from fernweir.peers.acts.versions import Versions

STEP = 250.0
KINDS = ("boxes", "settings", "keys")


@dataclass(frozen=True, slots=True)
class Kit:
    """The modules of the part; tests give ones with a mistake in them."""

    stragglers: ModuleType
    rules: ModuleType
    events: ModuleType
    messages: ModuleType
    lag_detection: ModuleType


def load() -> Kit:
    at = "fernweir.peers.late."
    return Kit(
        *(
            importlib.import_module(at + name)
            for name in ("stragglers", "rules", "events", "messages", "lag_detection")
        ),
    )


def content(kind: str, number: int) -> bytes:
    """Of a kind's news by its true number, which it does not show (but for the epoch)."""
    if kind == "settings":
        return number.to_bytes(8, "big")
    return Random(f"{kind} {number}").randbytes(16) if number else b""


@dataclass(slots=True, eq=False)
class Front:
    """`holds`: the true number of each kind's content, of which a liar says that it is the newest."""

    name: str
    machine: Any
    clock: float
    rate: float
    life: int
    holds: dict[str, int]
    up: bool = True
    stopped: bool = False
    deaf: bool = False  # hears no news from its sources
    numb: bool = False  # can't take what peers bring
    side: int = 0  # of a cut
    born: float = 0.0
    slanders: str = ""  # of whose acts it makes up what it tells
    liar: bool = False
    format: int = 1
    told: int = 0  # how often its facts changed
    plea: bytes = b""
    got: dict[str, int] = field(default_factory=dict)  # of whom which facts, as `told`
    pleas: dict[str, bytes] = field(default_factory=dict)
    refrains: str = ""
    out: set[str] = field(default_factory=set)  # by its events
    suspects: dict[str, str] = field(default_factory=dict)
    since: dict[str, float] = field(default_factory=dict)  # when it was told what it holds, if in this life
    acts_at: float = 0.0


class Day:
    """`n` fronts `f0`.., the first `k` are keepers. `broken`: what the oracle found, as text."""

    def __init__(
        self, seed: int, kit: Kit, n: int = 5, k: int = 3, loss: float = 0.1, rules: Any = None
    ) -> None:
        self.dice, self.kit, self.now, self.loss = Random(seed), kit, 0.0, loss
        self.rules = rules or kit.rules.LateRules()
        self.keepers = tuple(f"f{i}" for i in range(k))
        self.number = dict.fromkeys(KINDS, 1)
        self.fronts: dict[str, Front] = {}
        self.at: list[tuple[float, int, Any]] = []  # what is to happen, by time
        self.order = 0
        self.broken: list[str] = []
        self.log: list[tuple[float, str, Any]] = []
        self.seen_alive: dict[tuple[str, str], float] = {}
        self.odd: dict[str, float] = {}  # since when each front is truly behind
        self.good: dict[str, float] = {}  # since when each is truly up to date, and connected
        self.surely: dict[str, float] = {}
        self.last_out: dict[str, float] = {}
        self.trouble: dict[str, float] = {}  # when each was last truly behind for longer than news takes
        self.calm = 0.0  # since when nothing but news and one front's own trouble has happened
        self.back: dict[tuple[str, str], float] = {}
        self.out_at: dict[tuple[str, str], float] = {}
        self.blocked: set[tuple[str, str]] = set()  # from whom to whom no fact and no message comes
        self.outs = 0
        self.sent = 0
        for i in range(n):
            self.start(f"f{i}", dict.fromkeys(KINDS, 1))

    # --- the fleet ---

    def start(self, name: str, holds: dict[str, int]) -> Front:
        old = self.fronts.get(name)
        life = 1 if old is None else old.life + 1
        clock, rate = self.dice.uniform(0.0, 1e7), self.dice.uniform(0.99, 1.01)  # hours and 2% apart
        began = clock + self.now * rate
        machine = self.kit.stragglers.Stragglers(name, life, self.rules, began, self.keepers)
        front = Front(name, machine, clock, rate, life, dict(holds), format=old.format if old else 1)
        front.born = self.now
        if old is not None:
            front.side, front.liar, front.deaf, front.numb = old.side, old.liar, old.deaf, old.numb
        self.fronts[name] = front
        for key in [key for key in self.seen_alive if key[0] == name]:
            del self.seen_alive[key]
        for key in [key for key in self.back if name in key]:
            del self.back[key]
        self.good.pop(name, None)
        for at in [at for at in self.out_at if at[1] == name]:
            del self.out_at[at]
        self.disturbed()
        self.say(front)
        return front

    def time(self, front: Front) -> float:
        return front.clock + self.now * front.rate

    def wall(self, front: Front) -> int:
        """Hours off, and jumping; it must not matter."""
        return int(front.clock) * (1 + int(self.now / 10_000.0) % 3)

    def disturbed(self) -> None:
        self.calm = self.now

    def kill(self, name: str) -> None:
        self.fronts[name].up = False
        self.disturbed()

    def stop(self, name: str, span: float) -> None:
        front = self.fronts[name]
        front.stopped = True
        self.disturbed()

        def wake() -> None:
            if self.fronts[name] is front:
                front.stopped = False
                self.disturbed()

        self.after(span, wake)

    def after(self, ms: float, what: Any) -> None:
        self.order += 1
        self.at.append((self.now + ms, self.order, what))

    def runs(self, front: Front) -> bool:
        return front.up and not front.stopped

    def linked(self, a: Front, b: Front) -> bool:
        return self.runs(a) and self.runs(b) and a.side == b.side

    def versions(self, front: Front, *, true: bool = False) -> Versions:
        holds = dict(front.holds)
        if front.liar and not true:
            holds = dict(self.number)
        return Versions(
            f"0.{front.format}", content("settings", holds["settings"])[-4:], holds["settings"],
            content("boxes", holds["boxes"]), self.wall(front), content("keys", holds["keys"]),
            front.format,
        )  # fmt: skip

    def say(self, front: Front, urgent: bool = False) -> None:
        """Its own versions changed: its machine is told, and its fact is a new one."""
        front.told += 1
        front.machine.on_versions(self.time(front), front.name, self.versions(front), urgent)

    # --- news ---

    def news(self, kind: str, to: Iterable[str] | None = None, urgent: bool = False) -> None:
        """A new content, told to all that are not deaf within a second, or to these only."""
        self.number[kind] += 1
        number = self.number[kind]
        names = list(self.fronts if to is None else to)
        for name in names:
            self.after(
                self.dice.uniform(0.0, 1_000.0), lambda name=name: self.tell(name, kind, number, urgent)
            )

    def tell(self, name: str, kind: str, number: int, urgent: bool = False) -> None:
        front = self.fronts[name]
        if not self.runs(front):
            return
        if front.deaf:
            if front.liar:
                self.say(front)
            return
        if front.holds[kind] < number:
            front.holds[kind] = number
            front.since[kind] = self.now
            self.say(front, urgent)

    def refresh(self, name: str) -> None:
        """Its sources tell it all there is: it is deaf no more."""
        front = self.fronts[name]
        front.deaf = front.numb = False
        for kind in KINDS:
            self.tell(name, kind, self.number[kind])

    # --- time ---

    def run(self, span: float) -> list[str]:
        """Until the oracle finds something, or the span is over."""
        end = self.now + span
        while self.now < end and not self.broken:
            self.step()
        return self.broken

    def step(self) -> None:
        self.now += STEP
        due = sorted(item for item in self.at if item[0] <= self.now)
        self.at = [item for item in self.at if item[0] > self.now]
        for _, _, what in due:
            what()
        for front in self.fronts.values():
            if not self.runs(front):
                continue
            self.membership(front)
            self.facts(front)
            self.act(front)
            at = front.machine.next_deadline()
            if at is not None and at <= self.time(front):
                front.machine.tick(self.time(front))
            self.carry(front)
        self.check()

    def membership(self, front: Front) -> None:
        """Who is not reached for 4 s is dead, who is reached again joins after 1 s."""
        lives = {front.name: front.life}
        for other in self.fronts.values():
            if other is front:
                continue
            key = (front.name, other.name)
            if self.linked(front, other):
                self.seen_alive.setdefault(key, self.now)
                self.seen_alive[key] = min(self.seen_alive[key], self.now)
                if self.now - self.seen_alive[key] >= 1_000.0:
                    lives[other.name] = other.life
                    self.seen_alive[key] = -1e12
            elif key in self.seen_alive:
                if self.seen_alive[key] <= 0.0:
                    self.seen_alive[key] = self.now + 4_000.0
                if self.now < self.seen_alive[key]:
                    lives[other.name] = other.life
                else:
                    del self.seen_alive[key]
        known = front.machine.states()
        if set(known) != set(lives) or any(
            front.got.get(f"{name} life") != life for name, life in lives.items()
        ):
            for name, life in lives.items():
                if front.got.get(f"{name} life") != life or name not in known:
                    front.got.pop(name, None)
                    front.pleas.pop(name, None)
                front.got[f"{name} life"] = life
            front.machine.set_fleet(self.time(front), lives)

    def facts(self, front: Front) -> None:
        now = self.time(front)
        for other in self.fronts.values():
            if other is front or not self.linked(front, other) or front.machine.state(other.name) is None:
                continue
            if self.dice.random() > 0.25 or (other.name, front.name) in self.blocked:
                continue
            if other.plea != front.pleas.get(other.name, b""):
                front.pleas[other.name] = other.plea
                if other.plea:
                    versions = msgspec.msgpack.decode(other.plea, type=Versions)
                    front.machine.on_versions(now, other.name, versions)
            if other.name in front.machine.shut_out():
                continue
            if front.got.get(other.name) != other.told:
                front.got[other.name] = other.told
                front.machine.on_versions(now, other.name, self.versions(other))

    def act(self, front: Front) -> None:
        """An act a second, on what it truly holds; two peers get the record of it."""
        if self.now < front.acts_at:
            return
        front.acts_at = self.now + self.dice.uniform(600.0, 1_400.0)
        versions, life, began = self.versions(front, true=True), front.life, self.now
        others = sorted(other.name for other in self.fronts.values() if other is not front)
        copies = others[hash_of(front.name) % len(others) :] + others[: hash_of(front.name) % len(others)]
        for name in copies[:2]:

            def arrive(name: str = name) -> None:
                at = self.fronts[name]
                blocked = (front.name, name) in self.blocked
                if not blocked and self.linked(front, at) and self.fronts[front.name].life == life:
                    said = versions if at.slanders != front.name else self._made_up(front)
                    at.machine.on_evidence(self.time(at), front.name, said, self.now - began)

            # Now and then a record is repaired, long after it was made.
            late = 25_000.0 if self.dice.random() < 0.05 else 0.0
            self.after(self.dice.uniform(50.0, 1_500.0) + late, arrive)

    def _made_up(self, front: Front) -> Versions:
        return msgspec.structs.replace(self.versions(front, true=True), boxes=content("boxes", 1))

    def carry(self, front: Front) -> None:
        for effect in front.machine.take_effects():
            if hasattr(effect, "message"):
                self.sent += 1
                times = 0 if self.dice.random() < self.loss and not effect.reliable else 1
                times += self.dice.random() < 0.05 and not effect.reliable
                for _ in range(times):
                    late = 2_000.0 if self.dice.random() < 0.05 else 0.0
                    self.after(self.dice.uniform(1.0, 100.0) + late, self.hearing(front, effect))
            else:
                self.log.append((self.now, front.name, effect))
                self.event(front, effect)

    def hearing(self, front: Front, effect: Any) -> Any:
        def arrive() -> None:
            to = self.fronts[effect.to]
            blocked = (front.name, to.name) in self.blocked
            if not blocked and self.linked(front, to) and self.fronts[front.name].life == front.life:
                to.machine.on_message(self.time(to), front.name, effect.message)

        return arrive

    def event(self, front: Front, event: Any) -> None:
        events = self.kit.events
        if isinstance(event, events.CatchUp):
            self.bring_up(front, event.name, str(event.kind), event.content)
            if content(event.kind, front.holds[event.kind]) == event.content and not front.liar:
                data = str(front.holds[event.kind]).encode()
                self.after(
                    100.0,
                    lambda: front.machine.supply(
                        self.time(front), event.name, event.kind, event.content, data
                    ),
                )
        elif isinstance(event, events.Apply):
            number = int(event.data)
            if not front.numb:
                self.after(300.0, lambda: self.applied(front, str(event.kind), number))
        elif isinstance(event, events.ShutOut):
            self.shut_out(front, event.name)
        elif isinstance(event, events.Readmitted):
            if event.name not in front.out:
                self.fail(f"{front.name} has {event.name} back that was not out")
            front.out.discard(event.name)
            self.back[front.name, event.name] = self.now
            self.came_back(front, event.name)
        elif isinstance(event, events.BlockSessions):
            if bool(event.reason) == bool(front.refrains) and event.reason == front.refrains:
                self.fail(f"{front.name} refrains twice")
            front.refrains = event.reason
        elif isinstance(event, events.RequestReadmission):
            front.plea = event.data
        elif isinstance(event, events.UpdateSuspect):
            if bool(event.reason) == (event.kind in front.suspects):
                self.fail(f"{front.name} says twice that news of {event.kind} is suspect, or not")
            front.suspects.pop(event.kind, None)
            if event.reason:
                front.suspects[event.kind] = event.reason

    def applied(self, front: Front, kind: str, number: int) -> None:
        if self.runs(front) and front.holds[kind] != number and not front.numb:
            front.holds[kind] = number
            front.since.pop(kind, None)
            self.say(front)

    # --- the oracle ---

    def fail(self, text: str) -> None:
        self.broken.append(f"{self.now / 1000.0:.2f} s: {text}")

    def sure(self, front: Front) -> bool:
        """In truth, beyond doubt: all others hold something newer of one kind."""
        others = [other for other in self.fronts.values() if other is not front]
        if not all(self.linked(front, other) for other in others):
            return False
        return any(
            all(other.holds[kind] > front.holds[kind] for other in others)
            and all(other.since.get(kind, -1.0) > self.calm + 3_000.0 for other in others)
            for kind in KINDS
        )

    def behind(self, front: Front) -> bool:
        """In truth: it holds what is older than what at least three in four of the others hold, or stands on
        another content than most without having been told it in this life, or acts so."""
        others = [other for other in self.fronts.values() if other is not front and self.linked(front, other)]
        if not others:
            return False
        for kind in KINDS:
            newer = sum(other.holds[kind] > front.holds[kind] for other in others)
            share = self.rules.epoch_share - 0.15 if kind == "settings" else self.rules.left_share
            if newer >= share * len(others) - 1e-9:
                return True
            holds = [other.holds[kind] for other in others]
            most = max(holds, key=lambda number: (holds.count(number), number))
            if (
                kind != "settings"
                and front.holds[kind] < most
                and holds.count(most) > 1 + holds.count(front.holds[kind])
            ):
                return True
            same = holds.count(front.holds[kind])
            if kind != "settings" and kind not in front.since and 2 * same <= len(others):
                return True
        return False

    def bring_up(self, front: Front, name: str, kind: str, target: bytes) -> None:
        """Only who is late, which takes a while, and only to what is newer or what most hold."""
        since = self.odd.get(name)
        steady = (
            self.now - self.calm > 20_000.0 and not front.slanders and (name, front.name) not in self.blocked
        )
        if not steady or self.now - self.trouble.get(name, -1e12) < 15_000.0:
            return
        held = [content(kind, each.holds[kind]) for each in self.fronts.values() if self.runs(each)]
        late = self.fronts[name]
        ahead = late.since.get(kind, -1.0) > self.calm and self.now - late.since[kind] > 5_000.0
        tie = held.count(target) >= held.count(content(kind, late.holds[kind])) and not ahead
        if since is None and self.now - self.good.get(name, self.now) > 6_000.0 and not tie:
            self.fail(f"{front.name} brings {name} up in {kind}, in which it is not behind")
        if since is not None and self.now - since < self.rules.urgent_ms - 4_000.0:
            self.fail(f"{front.name} brings {name} up, which has been behind for {self.now - since}")

    def came_back(self, front: Front, name: str) -> None:
        """Not before it was shut out for the least time, and clean for the least time."""
        began = self.out_at.pop((front.name, name), None)
        suspects = any(each.suspects for each in self.fronts.values())
        steady = self.now - self.calm > 60_000.0 and not self.blocked and not suspects
        if began is None or not steady or self.fronts[name].life != front.got.get(f"{name} life"):
            return
        if self.now - began < self.rules.stay_ms - 5_000.0:
            self.fail(f"{name} is back at {front.name} after {self.now - began}")
        if name in self.odd and self.now - self.odd[name] > 10_000.0:
            self.fail(f"{name} is back at {front.name} and has been behind for {self.now - self.odd[name]}")
        clean = self.now - self.trouble.get(name, -1e12)
        if clean < self.rules.clean_ms - 5_000.0:
            self.fail(f"{name} is back at {front.name}, clean for {clean} only")

    def shut_out(self, front: Front, name: str) -> None:
        """Only who has truly been behind for as long as it takes to be late and to be brought up."""
        if name in front.out:
            self.fail(f"{front.name} shuts {name} out twice")
        known = any(name in other.out for other in self.fronts.values())
        front.out.add(name)
        self.outs += 1
        self.out_at[front.name, name] = self.now
        if known:
            return
        # What keepers saw is older by their vote's way, and news takes its time until a front has moved on.
        least = self.rules.urgent_ms + self.rules.bring_ms - 6_000.0
        since = self.odd.get(name)
        if since is None or self.now - since < least:
            grace = self.good.get(name, self.now)
            # It may have caught up while the vote was under way.
            if since is None and self.now - grace < self.rules.vote_ms + 6_000.0:
                return
            self.fail(
                f"{front.name} shuts {name} out, which has been behind for {since and self.now - since}"
            )
        last = self.back.get((front.name, name))
        if last is not None and self.now - last < self.rules.late_ms and self.now - self.calm > 60_000.0:
            self.fail(f"{name} is out again at {front.name} {self.now - last} ms after it came back")

    def check(self) -> None:
        rules = self.rules
        whole = len({front.side for front in self.fronts.values()}) == 1
        for front in self.fronts.values():
            if not self.runs(front):
                for known in (self.odd, self.good, self.surely):
                    known.pop(front.name, None)
                continue
            if self.sure(front):
                self.surely.setdefault(front.name, self.now)
            else:
                self.surely.pop(front.name, None)
            behind = self.behind(front)
            if behind:
                self.odd.setdefault(front.name, self.now)
                if self.now - self.odd[front.name] > 5_000.0:
                    self.trouble[front.name] = self.now
            else:
                self.odd.pop(front.name, None)
            wrong = behind or any(
                front.holds[kind] != max(other.holds[kind] for other in self.fronts.values())
                for kind in KINDS
            )
            if wrong or front.liar or not whole:
                self.good.pop(front.name, None)
            else:
                self.good.setdefault(front.name, self.now)
            out = set(front.machine.shut_out())
            if out != front.out:
                self.fail(f"{front.name}: events say {sorted(front.out)}, states {sorted(out)}")
        running = [front for front in self.fronts.values() if self.runs(front)]
        everyone = {name for front in running for name in front.out}
        most = int(rules.shut_out_share * len(self.fronts))
        if len(everyone) > most:
            self.fail(f"{sorted(everyone)} are out at once, {most} may be")
        if any(len(front.out) > most for front in running):
            self.fail("more are out at one front than may be")
        self.last_out.update(dict.fromkeys(everyone, self.now))
        for name in everyone:
            if 6_000.0 < self.now - self.fronts[name].born < rules.bring_ms:
                self.fail(f"{name} began {self.now - self.fronts[name].born} ms ago and is out")
        for name in everyone & self.good.keys():
            outs = max(
                (
                    front.machine._table.peers[name].outs
                    for front in running
                    if name in front.machine.states()
                ),
                default=1,
            )
            longest = max(rules.stay_ms, rules.clean_for(outs) + rules.late_ms) + rules.vote_ms + 15_000.0
            if self.now - max(self.good[name], self.calm) > longest:
                self.fail(f"{name} has caught up for {self.now - self.good[name]} ms and is still out")
        self.must(running)

    def must(self, running: list[Front]) -> None:
        """One front alone in trouble for long, nothing else: it is out at all. Nobody else is."""
        rules = self.rules
        long = rules.late_ms + rules.bring_ms + rules.vote_ms + 15_000.0
        if self.now - self.calm < long or self.blocked or any(front.suspects for front in running):
            return
        for name, since in self.surely.items():
            missing = [front.name for front in running if name not in front.out]
            # A place that another had is not free at once.
            places = [at for other, at in self.last_out.items() if other != name]
            waits = any(self.now - at < rules.settle_ms + 15_000.0 for at in places)
            if self.now - since > long and missing and not waits:
                self.fail(f"{name} has been behind for {self.now - since} ms and is not out at {missing}")


def hash_of(name: str) -> int:
    return Random(name).getrandbits(16)
