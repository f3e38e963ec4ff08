"""Membership of many fronts on virtual time: how fast a death is known, who is wrongly declared dead, bytes.

python -m bench.peers_members [--fronts 200] [--seed 1] [--seeds 5] [--loss 0.2] [--span 60] [--no-kill]
    [--double 0.1] [--late 0.02] [--churn 60] [--join]

All is simulated: paths with drawn delay, loss, doubling and lateness, no sockets. Bytes are those of the
encoded messages and 44 for the header and seal of each datagram.
"""

from __future__ import annotations

import heapq
import statistics
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from types import ModuleType
from typing import Any

import click
import msgspec

from fernweir.peers.members import detector, events, messages, rules

HEADER = 44
BUFFER = 400  # datagrams that wait at a process that stands still


@dataclass(frozen=True, slots=True)
class Kit:
    """The modules of the part; tests give ones with a mistake in them."""

    detector: ModuleType = detector
    events: ModuleType = events
    messages: ModuleType = messages
    rules: ModuleType = rules


@dataclass(slots=True)
class Paths:
    """Of all datagrams a part is lost, doubled, or `late_ms` late; the rest takes a drawn time in ms."""

    loss: float = 0.0
    double: float = 0.0
    late: float = 0.0
    late_ms: float = 2_000.0
    least: float = 0.5
    most: float = 5.0


@dataclass(slots=True, eq=False)
class Front:
    """One process; `events` as (ms, event). `slow` is added to the delay of all it hears, ms."""

    name: str
    address: tuple[str, int]
    life: int
    machine: Any
    up: bool = True
    stopped: bool = False
    slow: float = 0.0
    wakes_at: float | None = None
    waiting: deque[tuple[str, Any]] = field(default_factory=lambda: deque(maxlen=BUFFER))
    events: list[tuple[float, Any]] = field(default_factory=list)
    sent: int = 0


class Net:
    """Fronts and the paths between them. `blocked` says whether a front's datagrams reach an address."""

    def __init__(self, seed: int, kit: Kit, paths: Paths, given: Any = None) -> None:
        self.dice = Random(seed)
        self.kit = kit
        self.paths = paths
        self.rules = given or kit.rules.MemberRules()
        self.now = 0.0
        self.at: dict[tuple[str, int], Front] = {}
        self.fronts: list[Front] = []
        self.blocked: Callable[[Front, tuple[str, int]], bool] = lambda front, to: False
        self.watch: Callable[[Front, Any], None] = lambda front, event: None
        self._heap: list[tuple[float, int, Front, str, bytes | None]] = []
        self._order = 0
        self._encode = msgspec.msgpack.Encoder().encode
        kinds = kit.messages.KINDS
        self._decode = msgspec.msgpack.Decoder(kinds[0] if len(kinds) == 1 else _union(kinds)).decode

    def start(
        self,
        name: str,
        number: int,
        seeds: list[tuple[str, int]],
        life: int | None = None,
        formats: tuple[int, int] = (1, 1),
    ) -> Front:
        """A process at address `number`; one that was there is gone. Its life is the time, unless given."""
        address = (f"127.0.{number // 250}.{number % 250 + 1}", 7000)
        if address in self.at:
            self.kill(self.at[address])
        life = 1_700_000_000_000 + int(self.now) if life is None else life
        me = self.kit.events.Me(name, address, life, formats)
        front = Front(name, address, life, None)
        front.machine = self.kit.detector.Members(me, self.rules, self.dice.getrandbits(32))
        self.at[address] = front
        self.fronts.append(front)
        front.machine.join(self.now, seeds)
        self.settle(front)
        return front

    def kill(self, front: Front) -> None:
        front.up = False
        if self.at.get(front.address) is front:
            del self.at[front.address]

    def stop(self, front: Front) -> None:
        front.stopped = True

    def wake(self, front: Front, told: bool) -> None:
        """It goes on: with its timer or with what waited for it first, as drawn; `told` calls `stood`."""
        front.stopped = False
        due = front.machine.next_deadline()
        late = self.now - due if due is not None else 0.0
        if told and late > 0:
            front.machine.on_stall(self.now, late)
        if self.dice.random() < 0.5:
            front.machine.tick(self.now)
        while front.waiting:
            sender, message = front.waiting.popleft()
            front.machine.on_message(self.now, sender, message)
        self.settle(front)

    def run(self, until: float, stop: Callable[[], bool] = lambda: False) -> None:
        while self._heap and self._heap[0][0] <= until and not stop():
            self.now, _, front, sender, data = heapq.heappop(self._heap)
            if not front.up:
                continue
            if data is not None:
                message = self._decode(data)
                if front.stopped:
                    front.waiting.append((sender, message))
                    continue
                front.machine.on_message(self.now, sender, message)
            elif front.stopped or front.wakes_at != self.now:
                continue
            else:
                front.wakes_at = None
                front.machine.tick(self.now)
            self.settle(front)
        if not stop():
            self.now = until

    def settle(self, front: Front) -> None:
        """Carries out what a machine wants and sets its timer."""
        for effect in front.machine.take_effects():
            if hasattr(effect, "to"):
                self._carry(front, effect)
            else:
                front.events.append((self.now, effect))
                self.watch(front, effect)
        due = front.machine.next_deadline()
        if due is not None and due != front.wakes_at:
            front.wakes_at = max(due, self.now)
            self._push(front.wakes_at, front, "", None)

    def say(self, sender: str, to: Front, message: Any, delay: float = 0.0) -> None:
        """A message from nowhere, as an old datagram would come or a wrong peer would send it."""
        self._push(self.now + delay, to, sender, self._encode(message))

    def _carry(self, front: Front, send: Any) -> None:
        data = self._encode(send.message)
        front.sent += len(data) + HEADER
        to = self.at.get(send.to)
        if to is None or self.blocked(front, send.to):
            return
        paths, dice = self.paths, self.dice
        delay = dice.uniform(paths.least, paths.most) + to.slow
        if send.reliable:
            while dice.random() < paths.loss:  # sent again by the connection
                delay += 200.0
            self._push(self.now + delay, to, front.name, data)
            return
        if dice.random() < paths.loss:
            return
        if dice.random() < paths.late:
            delay += dice.uniform(0.0, paths.late_ms)
        self._push(self.now + delay, to, front.name, data)
        if dice.random() < paths.double:
            self._push(self.now + delay + dice.uniform(0.0, 500.0), to, front.name, data)

    def _push(self, at: float, front: Front, sender: str, data: bytes | None) -> None:
        self._order += 1
        heapq.heappush(self._heap, (at, self._order, front, sender, data))


def _union(kinds: tuple[Any, ...]) -> Any:
    joined = kinds[0]
    for kind in kinds[1:]:
        joined = joined | kind
    return joined


def formed(net: Net, count: int) -> list[Front]:
    """Fronts that know one another, as if each had just been answered with the whole table."""
    fronts = [net.start(f"front-{number}", number, []) for number in range(count)]
    rows = [front.machine.table()[front.name].record for front in fronts]
    most = net.kit.messages.MAX_ROWS
    for front in fronts:
        for at in range(0, count, most):
            net.say("front-0", front, net.kit.messages.Rows(tuple(rows[at : at + most])))
    net.run(net.now)
    return fronts


def joined(net: Net, count: int, seeds: int = 3) -> list[Front]:
    """Fronts that all start at once and know their seeds only; runs until all know all, a minute at most."""
    at = [(f"127.0.0.{number + 1}", 7000) for number in range(seeds)]
    fronts = [net.start(f"front-{number}", number, at) for number in range(count)]
    while net.now < 60_000.0 and any(len(front.machine.table()) < count for front in fronts):
        net.run(net.now + 100.0)
    return fronts


def wrong_deaths(net: Net) -> int:
    """How often a front was declared dead in a life in which it was up at the end of the run."""
    living = {(front.name, front.machine.life(front.name)) for front in net.fronts if front.up}
    told = [event for front in net.fronts for _, event in front.events if hasattr(event, "life")]
    return sum(type(event).__name__ == "Died" and (event.name, event.life) in living for event in told)


def time_to_know(net: Net, fronts: list[Front], limit: float) -> list[float]:
    """Kills one; sorted ms after which each other front knew, `limit` for those that did not."""
    victim = net.dice.choice(fronts)
    others = [front for front in fronts if front is not victim]
    knew: dict[str, float] = {}
    begun = net.now

    def watch(front: Front, event: Any) -> None:
        if type(event).__name__ == "Died" and event.name == victim.name:
            knew[front.name] = net.now - begun

    net.watch = watch
    net.kill(victim)
    net.run(begun + limit, lambda: len(knew) == len(others))
    return sorted(knew.get(front.name, limit) for front in others)


@click.command()
@click.option("--fronts", default=200)
@click.option("--seed", default=1)
@click.option("--seeds", default=1, help="How many seeds, counted up from --seed.")
@click.option("--loss", default=0.0)
@click.option("--span", default=20.0, help="Virtual seconds before the kill.")
@click.option("--churn", default=0.0, help="Fronts killed and started again a minute, in the span.")
@click.option("--double", default=0.0, help="Part of the datagrams that comes twice.")
@click.option("--late", default=0.0, help="Part of the datagrams that is up to 2 s late.")
@click.option("--kill/--no-kill", default=True)
@click.option("--join", is_flag=True, help="They start at once with three seeds, instead of knowing all.")
def main(
    fronts: int,
    seed: int,
    seeds: int,
    loss: float,
    span: float,
    churn: float,
    double: float,
    late: float,
    kill: bool,
    join: bool,
) -> None:
    """One line a seed, then medians."""
    alls, halves, rates = [], [], []
    for each in range(seed, seed + seeds):
        net = Net(each, Kit(), Paths(loss=loss, double=double, late=late))
        fleet = joined(net, fronts) if join else formed(net, fronts)
        if join:
            print(f"all knew all {net.now:.0f} ms after the start of all")
        net.run(net.now + 5_000.0)
        before, begun = sum(front.sent for front in net.fronts), net.now
        until = begun + span * 1000.0
        while churn and net.now < until:
            net.run(min(until, net.now + 60_000.0 / churn))
            number = net.dice.randrange(1, fronts)
            fleet[number] = net.start(f"front-{number}", number, [fleet[0].address])
        net.run(until)
        rates.append((sum(front.sent for front in net.fronts) - before) / fronts / span)
        suspected = sum(
            type(event).__name__ == "Suspected" for front in net.fronts for _, event in front.events
        )
        line = f"seed {each}: {rates[-1]:.0f} B/s a front, {suspected} suspicions told"
        if kill and (known := time_to_know(net, fleet, 60_000.0)):
            alls.append(known[-1])
            halves.append(known[len(known) // 2])
            line += f", killed one: half knew after {halves[-1]:.0f} ms, all after {alls[-1]:.0f} ms"
        print(f"{line}, {wrong_deaths(net)} wrongly declared dead", flush=True)
    print(f"{fronts} fronts, loss {loss}, simulated: median {statistics.median(rates):.0f} B/s a front")
    if alls:
        print(f"all knew: median {statistics.median(alls):.0f} ms, worst {max(alls):.0f} ms")


if __name__ == "__main__":
    main()
