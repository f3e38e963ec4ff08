"""Measures facts in simulated fleets: bytes per second per node, and how long a fact takes to reach all.

python -m bench.peers_facts [--seed 1] [--part bytes|spread|join|all]

Simulated: a message takes 0.2 to 2 ms, and rounds are not synchronized. The bytes are those of encoded
messages; each datagram adds 28 for IP and UDP, and 36 and the sender's name for the header and seal of the
fleet.
"""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable
from random import Random
from statistics import median

import click
import msgspec

from fernweir.peers.base import Send
from fernweir.peers.facts.messages import Delta
from fernweir.peers.facts.rules import FactRules
from fernweir.peers.facts.store import Changed, Facts

_encode = msgspec.msgpack.Encoder().encode
_HEADERS = 28 + 36


class Fleet:
    def __init__(self, count: int, seed: int, loss: float = 0.0, rules: FactRules | None = None) -> None:
        self.rng, self.loss, self.now = Random(f"fleet {count} {seed}"), loss, 0.0
        self.names = [f"front-{number:04}" for number in range(count)]
        self.nodes = {name: Facts(name, 1_000, rules or FactRules(), seed) for name in self.names}
        self.bytes = dict.fromkeys(self.names, 0)
        self.by_kind: dict[str, int] = {}
        self.changed: Callable[[str, Changed], None] = lambda name, event: None
        self._due: dict[str, float] = {}
        self._heap: list[tuple[float, int, str, str, object]] = []
        self._ties = itertools.count()
        for name, node in self.nodes.items():
            node.set_peers(0.0, self.names)
            self.effects(name)

    def effects(self, name: str) -> None:
        node = self.nodes[name]
        for effect in node.take_effects():
            if isinstance(effect, Send):
                size = len(_encode(effect.message)) + _HEADERS + len(name)
                self.bytes[name] += size
                kind = type(effect.message).__name__
                self.by_kind[kind] = self.by_kind.get(kind, 0) + size
                if effect.reliable or self.rng.random() >= self.loss:
                    at = self.now + self.rng.uniform(0.2, 2.0)
                    heapq.heappush(
                        self._heap, (at, next(self._ties), name, str(effect.to), effect.message)
                    )  # fmt: skip
            elif isinstance(effect, Changed):
                self.changed(name, effect)
        due = node.next_deadline()
        if due is not None and due < self._due.get(name, float("inf")):
            self._due[name] = due
            heapq.heappush(self._heap, (max(due, self.now), next(self._ties), "", name, due))

    def run(self, until: float, is_done: Callable[[], bool] = lambda: False) -> None:
        while self._heap and self._heap[0][0] <= until and not is_done():
            self.now, _, sender, to, what = heapq.heappop(self._heap)
            node = self.nodes[to]
            if sender:
                node.on_message(self.now, sender, what)  # type: ignore[arg-type]
            else:
                if self._due.get(to) == what:
                    del self._due[to]
                node.tick(self.now)
            self.effects(to)
        self.now = max(self.now, until) if not is_done() else self.now

    def spread_all(self) -> None:
        """Copies all facts to all fronts, as if they had been spread long ago."""
        for owner in self.names:
            held = self.nodes[owner]._local.state
            part = Delta(
                (_part(held, self.now),)
            )  # fmt: skip
            for name, node in self.nodes.items():
                if name != owner:
                    node.on_message(self.now, owner, part)
        for node in self.nodes.values():
            node.take_effects()
            node._exchange.recently_changed._left.clear()

    def start_counting(self) -> None:
        self.bytes = dict.fromkeys(self.names, 0)
        self.by_kind = {}


def _part(held: object, now: float) -> object:
    from fernweir.peers.facts.messages import Part
    from fernweir.peers.facts.owner_state import OwnerState

    assert isinstance(held, OwnerState)
    return Part(held.owner, held.life, 0, held.floor, tuple(held.records(now, 0)))


def settled(count: int, seed: int, loss: float = 0.0, rules: FactRules | None = None) -> Fleet:
    fleet = Fleet(count, seed, loss, rules)
    for name in fleet.names:
        for key in ("versions", "acts.head", "load"):
            fleet.nodes[name].put(0.0, key, fleet.rng.randbytes(64))
    fleet.spread_all()
    return fleet


def rates(count: int, seed: int, seconds: float, every_ms: float | None) -> tuple[float, float, float, str]:
    """Returns mean and highest bytes per second per node, median age of facts on arrival, bytes by kind.

    `every_ms` is the time between changes in the fleet.
    """
    fleet = settled(count, seed)
    fleet.run(4_000.0)
    fleet.start_counting()
    started, put_at, ages = fleet.now, fleet.now, list[float]()
    put: dict[str, float] = {}
    fleet.changed = lambda name, event: ages.append(fleet.now - put.get(event.owner, fleet.now))
    while fleet.now < started + seconds * 1_000.0:
        if every_ms is None:
            fleet.run(started + seconds * 1_000.0)
            break
        name = fleet.rng.choice(fleet.names)
        put[name] = fleet.now
        fleet.nodes[name].put(fleet.now, "load", fleet.rng.randbytes(64))
        fleet.effects(name)
        put_at += every_ms
        fleet.run(put_at)
    by = ", ".join(f"{kind} {size / seconds / count:.0f}" for kind, size in sorted(fleet.by_kind.items()))
    each = [size / seconds for size in fleet.bytes.values()]
    return sum(each) / count, max(each), median(ages) if ages else 0.0, by


def spread(count: int, seed: int, loss: float, urgent: bool) -> tuple[float, float, float, float]:
    """Returns ms until half, 99% and all fronts have a new fact, and bytes per node in 10 s after its put."""
    fleet = settled(count, seed, loss)
    fleet.run(fleet.rng.uniform(3_000.0, 5_000.0))
    fleet.start_counting()
    known_at: dict[str, float] = {}
    started = fleet.now

    def changed(name: str, event: Changed) -> None:
        if event.owner == fleet.names[0]:
            known_at.setdefault(name, fleet.now - started)

    fleet.changed = changed
    fleet.nodes[fleet.names[0]].put(fleet.now, "news", b"x" * 64, urgent=urgent)
    fleet.effects(fleet.names[0])
    fleet.run(started + 10_000.0)
    size = sum(fleet.bytes.values()) / count
    fleet.run(started + 120_000.0, lambda: len(known_at) == count - 1)
    times = sorted(known_at.values())
    assert len(times) == count - 1
    return times[len(times) // 2], times[int(len(times) * 0.99)], times[-1], size


def join(count: int, seed: int) -> tuple[float, float, int]:
    """Returns ms until a new front has all facts of half of the owners, and of all, and bytes of deltas."""
    fleet = settled(count, seed)
    fleet.run(3_000.0)
    new, known = "front-new", dict[str, int]()
    names = [*fleet.names, new]
    halves: list[float] = []
    started = fleet.now

    def changed(name: str, event: Changed) -> None:
        if name == new:
            known[event.owner] = known.get(event.owner, 0) + 1
            if not halves and sum(1 for facts in known.values() if facts == 3) * 2 >= count:
                halves.append(fleet.now - started)

    fleet.changed = changed
    fleet.names.append(new)
    fleet.nodes[new] = Facts(new, 1_000, FactRules(), seed)
    fleet.start_counting()
    for name in names:
        fleet.nodes[name].set_peers(fleet.now, names)
        fleet.effects(name)
    fleet.run(
        started + 600_000.0, lambda: len(known) == count and all(facts == 3 for facts in known.values())
    )
    assert len(known) == count
    return halves[0], fleet.now - started, fleet.by_kind.get("Delta", 0)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--part", type=click.Choice(["bytes", "spread", "join", "all"]), default="all")
@click.option("--most", default=1_000, show_default=True, help="Fronts.")
def main(seed: int, seconds: float, part: str, most: int) -> None:
    sizes = [size for size in (10, 50, 200, 1_000) if size <= most]
    if part in ("bytes", "all"):
        for title, every in (
            ("steady", None), ("a change a second in the fleet", 1_000.0),
            ("ten changes a second in the fleet", 100.0), ("each changes every 10 s", 10_000.0),
        ):  # fmt: skip
            click.echo(title)
            for size in sizes:
                started = time.perf_counter()
                gap = every / size if every == 10_000.0 else every
                mean, highest, age, by = rates(size, seed, seconds, gap)
                click.echo(
                    f"  {size:5} fronts: {mean:7.0f} bytes/s a node, most {highest:7.0f}, "
                    f"known after {age:5.0f} ms at the median; {by} ({time.perf_counter() - started:.1f} s)"
                )
    if part in ("spread", "all"):
        for urgent in (True, False):
            for loss in (0.0, 0.2):
                runs = [spread(200, seed + play, loss, urgent) for play in range(10)]
                half, most_of, all_of, size = (median(run[at] for run in runs) for at in range(4))
                click.echo(
                    f"{'urgent' if urgent else 'ordinary'} fact, 200 fronts, loss {loss:.0%}, 10 plays: half "
                    f"{half:.0f} ms, 99 in 100 {most_of:.0f}, all {all_of:.0f} (medians), "
                    f"the slowest play {max(run[2] for run in runs):.0f}; "
                    f"{size:.0f} bytes a node in 10 s"
                )
    if part in ("join", "all"):
        half_at, whole_at, size = join(most, seed)
        click.echo(
            f"joining {most} fronts: half of the owners whole after {half_at:.0f} ms, "
            f"all after {whole_at:.0f}; {size} bytes of deltas"
        )


if __name__ == "__main__":
    main()
