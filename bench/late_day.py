"""Simulates straggler detection in a fleet with random updates and faults, and checks it with an oracle.

There are no sockets and no wall clock: the source of the endpoint list, membership, facts, messages and
action records are a few lines each. The oracle numbers every content when it is made, which no front can
do, and has the content that each front really has.
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
    """The modules of the part; tests pass modules with a mutant."""

    stragglers: ModuleType
    rules: ModuleType
    events: ModuleType
    messages: ModuleType
    lag_detection: ModuleType


def load() -> Kit:
    """Imports the modules of the part."""
    at = "fernweir.peers.late."
    return Kit(
        *(
            importlib.import_module(at + name)
            for name in ("stragglers", "rules", "events", "messages", "lag_detection")
        ),
    )


def content(kind: str, number: int) -> bytes:
    """Returns the content with a number, which it does not show, except for the epoch."""
    if kind == "settings":
        return number.to_bytes(8, "big")
    return Random(f"{kind} {number}").randbytes(16) if number else b""


@dataclass(slots=True, eq=False)
class Front:
    """A front. `holds`: the number of the content that it really has, by kind.

    With `claims_newest` its facts say that it has the newest content.
    """

    name: str
    machine: Any
    clock: float
    rate: float
    life: int
    holds: dict[str, int]
    up: bool = True
    stopped: bool = False
    misses_updates: bool = False  # receives no updates from its sources
    ignores_catch_up: bool = False  # cannot apply data from peers
    partition: int = 0  # number of its side of a partition
    started_at: float = 0.0
    falsifies_evidence_of: str = ""  # the front about whose actions it sends false evidence
    claims_newest: bool = False
    format: int = 1
    fact_version: int = 0  # how often its facts changed
    request: bytes = b""
    received: dict[str, int] = field(default_factory=dict)  # the fact version received from each front
    requests: dict[str, bytes] = field(default_factory=dict)
    block_reason: str = ""
    out: set[str] = field(default_factory=set)  # according to its events
    suspects: dict[str, str] = field(default_factory=dict)
    since: dict[str, float] = field(default_factory=dict)  # when its content was delivered, if in this life
    acts_at: float = 0.0


class Simulation:
    """A fleet of `n` fronts `f0`, ..., the first `k` of which are keepers.

    `violations` are the findings of the oracle.
    """

    def __init__(
        self, seed: int, kit: Kit, n: int = 5, k: int = 3, loss: float = 0.1, rules: Any = None
    ) -> None:
        self.rng, self.kit, self.now, self.loss = Random(seed), kit, 0.0, loss
        self.rules = rules or kit.rules.LateRules()
        self.keepers = tuple(f"f{i}" for i in range(k))
        self.newest = dict.fromkeys(KINDS, 1)
        self.fronts: dict[str, Front] = {}
        self.scheduled: list[tuple[float, int, Any]] = []  # calls to make, by time
        self.sequence = 0
        self.violations: list[str] = []
        self.log: list[tuple[float, str, Any]] = []
        self.seen_alive: dict[tuple[str, str], float] = {}
        self.behind_since: dict[str, float] = {}  # since when each front is really behind
        self.current_since: dict[str, float] = {}  # since when each is really up to date, and connected
        self.surely_behind_since: dict[str, float] = {}
        self.last_out: dict[str, float] = {}
        self.last_behind_at: dict[str, float] = {}  # for longer than updates take
        self.calm_since = 0.0  # since when there were only updates and faults of one front
        self.readmitted_at: dict[tuple[str, str], float] = {}
        self.out_at: dict[tuple[str, str], float] = {}
        self.blocked: set[tuple[str, str]] = set()  # (sender, receiver) pairs without facts and messages
        self.shut_out_count = 0
        self.sent = 0
        for i in range(n):
            self.start(f"f{i}", dict.fromkeys(KINDS, 1))

    # --- the fleet ---

    def start(self, name: str, holds: dict[str, int]) -> Front:
        old = self.fronts.get(name)
        life = 1 if old is None else old.life + 1
        clock, rate = self.rng.uniform(0.0, 1e7), self.rng.uniform(0.99, 1.01)  # hours and 2% apart
        began = clock + self.now * rate
        machine = self.kit.stragglers.Stragglers(name, life, self.rules, began, self.keepers)
        front = Front(name, machine, clock, rate, life, dict(holds), format=old.format if old else 1)
        front.started_at = self.now
        if old is not None:
            front.partition, front.claims_newest, front.misses_updates, front.ignores_catch_up = (
                old.partition,
                old.claims_newest,
                old.misses_updates,
                old.ignores_catch_up,
            )
        self.fronts[name] = front
        for key in [key for key in self.seen_alive if key[0] == name]:
            del self.seen_alive[key]
        for key in [key for key in self.readmitted_at if name in key]:
            del self.readmitted_at[key]
        self.current_since.pop(name, None)
        for at in [at for at in self.out_at if at[1] == name]:
            del self.out_at[at]
        self.on_disturbance()
        self.publish(front)
        return front

    def local_ms(self, front: Front) -> float:
        return front.clock + self.now * front.rate

    def wall_ms(self, front: Front) -> int:
        """Returns a wall clock that is hours off and jumps, which must not matter."""
        return int(front.clock) * (1 + int(self.now / 10_000.0) % 3)

    def on_disturbance(self) -> None:
        self.calm_since = self.now

    def kill(self, name: str) -> None:
        self.fronts[name].up = False
        self.on_disturbance()

    def stop(self, name: str, span: float) -> None:
        front = self.fronts[name]
        front.stopped = True
        self.on_disturbance()

        def wake() -> None:
            if self.fronts[name] is front:
                front.stopped = False
                self.on_disturbance()

        self.after(span, wake)

    def after(self, ms: float, what: Any) -> None:
        self.sequence += 1
        self.scheduled.append((self.now + ms, self.sequence, what))

    def is_running(self, front: Front) -> bool:
        return front.up and not front.stopped

    def is_connected(self, a: Front, b: Front) -> bool:
        return self.is_running(a) and self.is_running(b) and a.partition == b.partition

    def versions(self, front: Front, *, true: bool = False) -> Versions:
        holds = dict(front.holds)
        if front.claims_newest and not true:
            holds = dict(self.newest)
        return Versions(
            f"0.{front.format}", content("settings", holds["settings"])[-4:], holds["settings"],
            content("boxes", holds["boxes"]), self.wall_ms(front), content("keys", holds["keys"]),
            front.format,
        )  # fmt: skip

    def publish(self, front: Front, urgent: bool = False) -> None:
        """Publishes the front's versions after a change, and passes them to its machine."""
        front.fact_version += 1
        front.machine.on_versions(self.local_ms(front), front.name, self.versions(front), urgent)

    # --- updates ---

    def release_update(self, kind: str, to: Iterable[str] | None = None, urgent: bool = False) -> None:
        """Releases a new content, to all fronts that receive updates within a second, or only to these."""
        self.newest[kind] += 1
        number = self.newest[kind]
        names = list(self.fronts if to is None else to)
        for name in names:
            self.after(
                self.rng.uniform(0.0, 1_000.0),
                lambda name=name: self.deliver_update(name, kind, number, urgent),
            )

    def deliver_update(self, name: str, kind: str, number: int, urgent: bool = False) -> None:
        front = self.fronts[name]
        if not self.is_running(front):
            return
        if front.misses_updates:
            if front.claims_newest:
                self.publish(front)
            return
        if front.holds[kind] < number:
            front.holds[kind] = number
            front.since[kind] = self.now
            self.publish(front, urgent)

    def refresh(self, name: str) -> None:
        """Lets a front receive updates again, and delivers all current ones."""
        front = self.fronts[name]
        front.misses_updates = front.ignores_catch_up = False
        for kind in KINDS:
            self.deliver_update(name, kind, self.newest[kind])

    # --- time ---

    def run(self, span: float) -> list[str]:
        """Runs until the oracle finds a violation, or the time is over."""
        end = self.now + span
        while self.now < end and not self.violations:
            self.step()
        return self.violations

    def step(self) -> None:
        self.now += STEP
        due = sorted(item for item in self.scheduled if item[0] <= self.now)
        self.scheduled = [item for item in self.scheduled if item[0] > self.now]
        for _, _, what in due:
            what()
        for front in self.fronts.values():
            if not self.is_running(front):
                continue
            self.update_membership(front)
            self.exchange_facts(front)
            self.act(front)
            at = front.machine.next_deadline()
            if at is not None and at <= self.local_ms(front):
                front.machine.tick(self.local_ms(front))
            self.handle_effects(front)
        self.check()

    def update_membership(self, front: Front) -> None:
        """Removes fronts that are unreachable for 4 s, and adds those that are reachable again for 1 s."""
        lives = {front.name: front.life}
        for other in self.fronts.values():
            if other is front:
                continue
            key = (front.name, other.name)
            if self.is_connected(front, other):
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
            front.received.get(f"{name} life") != life for name, life in lives.items()
        ):
            for name, life in lives.items():
                if front.received.get(f"{name} life") != life or name not in known:
                    front.received.pop(name, None)
                    front.requests.pop(name, None)
                front.received[f"{name} life"] = life
            front.machine.set_fleet(self.local_ms(front), lives)

    def exchange_facts(self, front: Front) -> None:
        now = self.local_ms(front)
        for other in self.fronts.values():
            if (
                other is front
                or not self.is_connected(front, other)
                or front.machine.state(other.name) is None
            ):
                continue
            if self.rng.random() > 0.25 or (other.name, front.name) in self.blocked:
                continue
            if other.request != front.requests.get(other.name, b""):
                front.requests[other.name] = other.request
                if other.request:
                    versions = msgspec.msgpack.decode(other.request, type=Versions)
                    front.machine.on_versions(now, other.name, versions)
            if other.name in front.machine.shut_out():
                continue
            if front.received.get(other.name) != other.fact_version:
                front.received[other.name] = other.fact_version
                front.machine.on_versions(now, other.name, self.versions(other))

    def act(self, front: Front) -> None:
        """Makes an action per second with the content that the front has; two peers get the record of it."""
        if self.now < front.acts_at:
            return
        front.acts_at = self.now + self.rng.uniform(600.0, 1_400.0)
        versions, life, began = self.versions(front, true=True), front.life, self.now
        others = sorted(other.name for other in self.fronts.values() if other is not front)
        copies = others[hash_of(front.name) % len(others) :] + others[: hash_of(front.name) % len(others)]
        for name in copies[:2]:

            def arrive(name: str = name) -> None:
                at = self.fronts[name]
                blocked = (front.name, name) in self.blocked
                if not blocked and self.is_connected(front, at) and self.fronts[front.name].life == life:
                    said = versions if at.falsifies_evidence_of != front.name else self._made_up(front)
                    at.machine.on_evidence(self.local_ms(at), front.name, said, self.now - began)

            # Some records are repaired, long after they were made.
            late = 25_000.0 if self.rng.random() < 0.05 else 0.0
            self.after(self.rng.uniform(50.0, 1_500.0) + late, arrive)

    def _made_up(self, front: Front) -> Versions:
        return msgspec.structs.replace(self.versions(front, true=True), boxes=content("boxes", 1))

    def handle_effects(self, front: Front) -> None:
        for effect in front.machine.take_effects():
            if hasattr(effect, "message"):
                self.sent += 1
                times = 0 if self.rng.random() < self.loss and not effect.reliable else 1
                times += self.rng.random() < 0.05 and not effect.reliable
                for _ in range(times):
                    late = 2_000.0 if self.rng.random() < 0.05 else 0.0
                    self.after(self.rng.uniform(1.0, 100.0) + late, self.delivery(front, effect))
            else:
                self.log.append((self.now, front.name, effect))
                self.on_event(front, effect)

    def delivery(self, front: Front, effect: Any) -> Any:
        def arrive() -> None:
            to = self.fronts[effect.to]
            blocked = (front.name, to.name) in self.blocked
            if not blocked and self.is_connected(front, to) and self.fronts[front.name].life == front.life:
                to.machine.on_message(self.local_ms(to), front.name, effect.message)

        return arrive

    def on_event(self, front: Front, event: Any) -> None:
        events = self.kit.events
        if isinstance(event, events.CatchUp):
            self.on_catch_up(front, event.name, str(event.kind), event.content)
            if content(event.kind, front.holds[event.kind]) == event.content and not front.claims_newest:
                data = str(front.holds[event.kind]).encode()
                self.after(
                    100.0,
                    lambda: front.machine.supply(
                        self.local_ms(front), event.name, event.kind, event.content, data
                    ),
                )
        elif isinstance(event, events.Apply):
            number = int(event.data)
            if not front.ignores_catch_up:
                self.after(300.0, lambda: self.apply(front, str(event.kind), number))
        elif isinstance(event, events.ShutOut):
            self.on_shut_out(front, event.name)
        elif isinstance(event, events.Readmitted):
            if event.name not in front.out:
                self.add_violation(f"{front.name} has {event.name} back that was not out")
            front.out.discard(event.name)
            self.readmitted_at[front.name, event.name] = self.now
            self.on_readmitted(front, event.name)
        elif isinstance(event, events.BlockSessions):
            if bool(event.reason) == bool(front.block_reason) and event.reason == front.block_reason:
                self.add_violation(f"{front.name} blocks new sessions twice")
            front.block_reason = event.reason
        elif isinstance(event, events.RequestReadmission):
            front.request = event.data
        elif isinstance(event, events.UpdateSuspect):
            if bool(event.reason) == (event.kind in front.suspects):
                self.add_violation(
                    f"{front.name} reports twice that updates of {event.kind} are suspect, or not"
                )
            front.suspects.pop(event.kind, None)
            if event.reason:
                front.suspects[event.kind] = event.reason

    def apply(self, front: Front, kind: str, number: int) -> None:
        if self.is_running(front) and front.holds[kind] != number and not front.ignores_catch_up:
            front.holds[kind] = number
            front.since.pop(kind, None)
            self.publish(front)

    # --- the oracle ---

    def add_violation(self, text: str) -> None:
        self.violations.append(f"{self.now / 1000.0:.2f} s: {text}")

    def is_surely_behind(self, front: Front) -> bool:
        """Whether all others have newer content of one kind, beyond doubt."""
        others = [other for other in self.fronts.values() if other is not front]
        if not all(self.is_connected(front, other) for other in others):
            return False
        return any(
            all(other.holds[kind] > front.holds[kind] for other in others)
            and all(other.since.get(kind, -1.0) > self.calm_since + 3_000.0 for other in others)
            for kind in KINDS
        )

    def is_behind(self, front: Front) -> bool:
        """Whether a front is really behind.

        That is so if its content is older than that of three quarters of the others, or differs from that
        of most without having been delivered in this life, or if it acts so.
        """
        others = [
            other for other in self.fronts.values() if other is not front and self.is_connected(front, other)
        ]
        if not others:
            return False
        for kind in KINDS:
            newer = sum(other.holds[kind] > front.holds[kind] for other in others)
            share = self.rules.epoch_ratio - 0.15 if kind == "settings" else self.rules.passed_ratio
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

    def on_catch_up(self, front: Front, name: str, kind: str, target: bytes) -> None:
        """Only stale fronts may be updated, and only to newer content or that of most fronts."""
        since = self.behind_since.get(name)
        steady = (
            self.now - self.calm_since > 20_000.0
            and not front.falsifies_evidence_of
            and (name, front.name) not in self.blocked
        )
        if not steady or self.now - self.last_behind_at.get(name, -1e12) < 15_000.0:
            return
        held = [content(kind, each.holds[kind]) for each in self.fronts.values() if self.is_running(each)]
        late = self.fronts[name]
        ahead = late.since.get(kind, -1.0) > self.calm_since and self.now - late.since[kind] > 5_000.0
        tie = held.count(target) >= held.count(content(kind, late.holds[kind])) and not ahead
        if since is None and self.now - self.current_since.get(name, self.now) > 6_000.0 and not tie:
            self.add_violation(f"{front.name} brings {name} up in {kind}, in which it is not behind")
        if since is not None and self.now - since < self.rules.urgent_ms - 4_000.0:
            self.add_violation(f"{front.name} brings {name} up, which has been behind for {self.now - since}")

    def on_readmitted(self, front: Front, name: str) -> None:
        """A front may be readmitted only after the least time of being shut out and up to date."""
        began = self.out_at.pop((front.name, name), None)
        suspects = any(each.suspects for each in self.fronts.values())
        steady = self.now - self.calm_since > 60_000.0 and not self.blocked and not suspects
        if began is None or not steady or self.fronts[name].life != front.received.get(f"{name} life"):
            return
        if self.now - began < self.rules.min_shut_out_ms - 5_000.0:
            self.add_violation(f"{name} is back at {front.name} after {self.now - began}")
        if name in self.behind_since and self.now - self.behind_since[name] > 10_000.0:
            self.add_violation(
                f"{name} is back at {front.name} and has been behind for {self.now - self.behind_since[name]}"
            )
        clean = self.now - self.last_behind_at.get(name, -1e12)
        if clean < self.rules.clean_ms - 5_000.0:
            self.add_violation(f"{name} is back at {front.name}, clean for {clean} only")

    def on_shut_out(self, front: Front, name: str) -> None:
        """A front may be shut out only if it was behind until it was stale and could not be updated."""
        if name in front.out:
            self.add_violation(f"{front.name} shuts {name} out twice")
        known = any(name in other.out for other in self.fronts.values())
        front.out.add(name)
        self.shut_out_count += 1
        self.out_at[front.name, name] = self.now
        if known:
            return
        # Keepers' observations are older by the delay of their vote, and an update takes time to be applied.
        least = self.rules.urgent_ms + self.rules.catch_up_ms - 6_000.0
        since = self.behind_since.get(name)
        if since is None or self.now - since < least:
            grace = self.current_since.get(name, self.now)
            # It may have caught up while the vote was in flight.
            if since is None and self.now - grace < self.rules.vote_ms + 6_000.0:
                return
            self.add_violation(
                f"{front.name} shuts {name} out, which has been behind for {since and self.now - since}"
            )
        last = self.readmitted_at.get((front.name, name))
        if (
            last is not None
            and self.now - last < self.rules.stale_ms
            and self.now - self.calm_since > 60_000.0
        ):
            self.add_violation(f"{name} is out again at {front.name} {self.now - last} ms after it came back")

    def check(self) -> None:
        rules = self.rules
        whole = len({front.partition for front in self.fronts.values()}) == 1
        for front in self.fronts.values():
            if not self.is_running(front):
                for known in (self.behind_since, self.current_since, self.surely_behind_since):
                    known.pop(front.name, None)
                continue
            if self.is_surely_behind(front):
                self.surely_behind_since.setdefault(front.name, self.now)
            else:
                self.surely_behind_since.pop(front.name, None)
            behind = self.is_behind(front)
            if behind:
                self.behind_since.setdefault(front.name, self.now)
                if self.now - self.behind_since[front.name] > 5_000.0:
                    self.last_behind_at[front.name] = self.now
            else:
                self.behind_since.pop(front.name, None)
            wrong = behind or any(
                front.holds[kind] != max(other.holds[kind] for other in self.fronts.values())
                for kind in KINDS
            )
            if wrong or front.claims_newest or not whole:
                self.current_since.pop(front.name, None)
            else:
                self.current_since.setdefault(front.name, self.now)
            out = set(front.machine.shut_out())
            if out != front.out:
                self.add_violation(f"{front.name}: events say {sorted(front.out)}, states {sorted(out)}")
        running = [front for front in self.fronts.values() if self.is_running(front)]
        everyone = {name for front in running for name in front.out}
        most = int(rules.shut_out_ratio * len(self.fronts))
        if len(everyone) > most:
            self.add_violation(f"{sorted(everyone)} are out at once, {most} may be")
        if any(len(front.out) > most for front in running):
            self.add_violation("more are out at one front than may be")
        self.last_out.update(dict.fromkeys(everyone, self.now))
        for name in everyone:
            if 6_000.0 < self.now - self.fronts[name].started_at < rules.catch_up_ms:
                self.add_violation(
                    f"{name} began {self.now - self.fronts[name].started_at} ms ago and is out"
                )
        for name in everyone & self.current_since.keys():
            outs = max(
                (
                    front.machine._table.peers[name].shut_out_count
                    for front in running
                    if name in front.machine.states()
                ),
                default=1,
            )
            longest = (
                max(rules.min_shut_out_ms, rules.clean_for(outs) + rules.stale_ms) + rules.vote_ms + 15_000.0
            )
            if self.now - max(self.current_since[name], self.calm_since) > longest:
                self.add_violation(
                    f"{name} has caught up for {self.now - self.current_since[name]} ms and is still out"
                )
        self.check_required(running)

    def check_required(self, running: list[Front]) -> None:
        """A front that alone is behind for long must be shut out everywhere."""
        rules = self.rules
        long = rules.stale_ms + rules.catch_up_ms + rules.vote_ms + 15_000.0
        if self.now - self.calm_since < long or self.blocked or any(front.suspects for front in running):
            return
        for name, since in self.surely_behind_since.items():
            missing = [front.name for front in running if name not in front.out]
            # The place of another front is not free at once.
            places = [at for other, at in self.last_out.items() if other != name]
            waits = any(self.now - at < rules.settle_ms + 15_000.0 for at in places)
            if self.now - since > long and missing and not waits:
                self.add_violation(
                    f"{name} has been behind for {self.now - since} ms and is not out at {missing}"
                )


def hash_of(name: str) -> int:
    return Random(name).getrandbits(16)
