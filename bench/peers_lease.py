"""Leases: `rates` of messages and bytes in a quiet fleet, and `check`, all orders of few events.

    python -m bench.peers_lease rates --fronts 200 --channels 8 --keepers 5
    python -m bench.peers_lease check --faults 1 --units 12

Both are simulated: the machines themselves on virtual time, without sockets. `rates` counts what leaves the
machines, packed as on the wire but without a datagram's frame (some 50 bytes each with its seal); messages
of a front to its own keeper are counted apart, as no network carries them.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import time
from collections import Counter
from random import Random

import msgspec

from fernweir.peers.base import Send
from fernweir.peers.lease.events import LeaseAcquired, LeaseLost
from fernweir.peers.lease.holder import Holder
from fernweir.peers.lease.keeper import Keeper
from fernweir.peers.lease.rules import KeeperSet, LeaseRules
from fernweir.rehearsal.explore import explore
from fernweir.rehearsal.leases import Bounds, Leases


class _Fleet:
    """Fronts that each want channels of their own; the first are also keepers. Delays of 0.2 to 2 ms."""

    def __init__(self, fronts: int, channels: int, keepers: int, seed: int) -> None:
        self.rules = LeaseRules()
        self.dice = Random(seed)
        names = [f"front-{number:03}" for number in range(fronts)]
        sets = (KeeperSet(1, tuple(names[:keepers])),)
        self.keepers = {name: Keeper(name, 1, self.rules, 0.0, sets) for name in names[:keepers]}
        self.holders = {name: Holder(name, 1, self.rules, seed, sets) for name in names}
        self.at = 0.0
        self.sent: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.events: Counter[type] = Counter()
        self._heap: list[tuple[float, int, str, str, object]] = []
        self._count = itertools.count()
        self._wakes: dict[str, float] = {}
        for name in names:
            for number in range(channels):
                self.holders[name].want(0.0, f"{name}:1700000000000/{number}")
            self._settle(name)

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.at, _, to, sender, message = heapq.heappop(self._heap)
            if message is None:
                if self._wakes.get(to) != self.at:
                    continue  # an earlier one took its place
                del self._wakes[to]
            for machine in (self.holders[to], self.keepers.get(to)):
                if machine is None:
                    continue
                if message is None:
                    due = machine.next_deadline()
                    if due is not None and due <= self.at:
                        machine.tick(self.at)
                else:
                    machine.on_message(self.at, sender, message)  # type: ignore[arg-type]
            self._settle(to)
        self.at = until

    def _settle(self, name: str) -> None:
        due = []
        for machine in (self.holders[name], self.keepers.get(name)):
            if machine is None:
                continue
            for effect in machine.take_effects():
                if isinstance(effect, Send):
                    self._send(name, effect)
                else:
                    self.events[type(effect)] += 1
            if (when := machine.next_deadline()) is not None:
                due.append(when)
        wake = max(self.at + 0.1, min(due, default=float("inf")))
        if wake < self._wakes.get(name, float("inf")):
            self._wakes[name] = wake
            self._push(wake, name, "", None)

    def _send(self, name: str, send: Send) -> None:
        assert isinstance(send.to, str)
        kind = "own" if send.to == name else type(send.message).__name__
        self.sent[kind] += 1
        self.bytes[kind] += len(msgspec.msgpack.encode(send.message))
        self._push(self.at + self.dice.uniform(0.2, 2.0), send.to, name, send.message)

    def _push(self, at: float, to: str, sender: str, message: object) -> None:
        heapq.heappush(self._heap, (at, next(self._count), to, sender, message))


def rates(fronts: int, channels: int, keepers: int, seconds: float, seed: int) -> None:
    fleet = _Fleet(fronts, channels, keepers, seed)
    began = fleet.rules.silence_ms + 3_000
    fleet.run(began)
    held = sum(len(holder.current_leases(fleet.at)) for holder in fleet.holders.values())
    print(
        f"{held} of {fronts * channels} channels held after {began / 1000:.1f} s, all wanted from the start"
    )
    fleet.sent.clear()
    fleet.bytes.clear()
    fleet.events.clear()
    cpu = time.process_time()
    fleet.run(began + seconds * 1000)
    cpu = time.process_time() - cpu
    print(
        f"seed {seed}, {seconds:.0f} simulated s of calm, "
        f"lost {fleet.events[LeaseLost]}, got {fleet.events[LeaseAcquired]}"
    )
    for kind in sorted(fleet.sent):
        count, size = fleet.sent[kind] / seconds, fleet.bytes[kind] / seconds
        print(f"  {kind:9} {count:9.1f} messages/s {size:11.0f} bytes/s")
    count = sum(each for kind, each in fleet.sent.items() if kind != "own") / seconds
    size = sum(each for kind, each in fleet.bytes.items() if kind != "own") / seconds
    print(f"  in all    {count:9.1f} messages/s {size:11.0f} bytes/s", end="")
    print(f", a front {count / fronts:.1f} and {size / fronts:.0f}")
    print(
        f"  all machines together {cpu / seconds * 1000:.1f} ms of CPU a simulated second, simulator included"
    )


def check(bounds: Bounds, most: int) -> None:
    began = time.perf_counter()
    found = explore(Leases(bounds), most)
    verdict = found.wrong or (
        "in full, no invariant broken" if found.whole else f"not in full: bound of {most}"
    )
    print(f"{bounds}\n{found.states} states, {found.steps} steps, depth {found.depth}: {verdict}", end="")
    print(f" ({time.perf_counter() - began:.0f} s)")
    for step in found.trace:
        print("  ", step)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    orders = parser.add_subparsers(dest="order", required=True)
    rate = orders.add_parser("rates")
    for name, least in (("fronts", 200), ("channels", 8), ("keepers", 5), ("seconds", 20), ("seed", 1)):
        rate.add_argument(f"--{name}", type=int, default=least)
    full = orders.add_parser("check")
    for name, least in (("units", 10), ("faults", 1), ("restarts", 1), ("stops", 1), ("deeds", 0)):
        full.add_argument(f"--{name}", type=int, default=least)
    full.add_argument("--most", type=int, default=10_000_000, help="states")
    full.add_argument("--any-order", action="store_true", help="messages overtake one another freely")
    full.add_argument("--together", action="store_true", help="both holders begin at once")
    given = parser.parse_args()
    if given.order == "rates":
        rates(given.fronts, given.channels, given.keepers, given.seconds, given.seed)
        return
    bounds = Bounds(
        given.units,
        given.faults,
        given.restarts,
        given.stops,
        given.deeds,
        rounds=not given.any_order,
        together=given.together,
    )
    check(bounds, given.most)


if __name__ == "__main__":
    main()
