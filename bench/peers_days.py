"""Fleets' days on virtual time, many seeds; one of them as a story; and fleets of up to hundreds of fronts.

    python -m bench.peers_days sweep --seeds 1-300 --fronts 5 --nasty 2.5 --jobs 3 --shrink
    python -m bench.peers_days seed 17 --fronts 5 --nasty 2.5 --trace
    python -m bench.peers_days schedule FILE --trace
    python -m bench.peers_days scale --fronts 50,100
    python -m bench.peers_days mutants

All is simulated: fronts are the program's own, boxes, viewers and the network between them are not.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import replace
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from fernweir.audit.gaps import Cost, Loss
from fernweir.rehearsal.fleet.plan import FleetPlan, PeerPlan
from fernweir.rehearsal.fleet.schedule import Fault, Kind, read_schedule
from fernweir.rehearsal.fleet.virtual import VirtualFleet, VirtualFleetResult, play, shrink

_STORY = ("front.", "box.stop", "box.start", "box.claim", "day", "viewer.cut")


def overlaps(faults: list[Fault]) -> Iterator[tuple[Kind, Kind]]:
    """Pairs of kinds that were there at one moment."""
    for one, other in itertools.combinations(faults, 2):
        if one.at <= other.at + other.span and other.at <= one.at + one.span:
            first, second = sorted((one.kind, other.kind))
            yield first, second


def head(plan: FleetPlan) -> str:
    return f"# {plan.seed} {plan.fronts} {plan.boxes} {plan.rate:g} {plan.seconds:g}"


def file_of(plan: FleetPlan, broken: list[str]) -> str:
    """A schedule as `tests/schedules/fleets` keeps it: its plan, what it broke first, its faults."""
    return "\n".join([head(plan), f"# {broken[0][:180]}", *map(str, plan.faults or ())]) + "\n"


def read_file(path: Path) -> FleetPlan:
    text = path.read_text()
    seed, fronts, boxes, rate, seconds = text.split("\n", 1)[0].removeprefix("#").split()
    return FleetPlan(
        seed=int(seed), fronts=int(fronts), boxes=int(boxes), rate=float(rate), seconds=float(seconds),
        faults=tuple(read_schedule(text.splitlines())),
    )  # fmt: skip


def _one(plan: FleetPlan) -> VirtualFleetResult:
    try:
        result = play(plan)
    except Exception as error:  # a crash of the rehearsal itself is a finding too
        result = VirtualFleetResult(plan.seed, list(plan.faults or ()), broken=[f"crash: {error!r}"])
    result.records = []
    return result


def _smaller(plan: FleetPlan, result: VirtualFleetResult) -> FleetPlan:
    return shrink(plan, result, lambda text: None)


def sweep(args: argparse.Namespace) -> int:
    first, _, last = args.seeds.partition("-")
    base = FleetPlan(
        fronts=args.fronts, boxes=args.boxes, nasty=args.nasty, rate=args.rate, seconds=args.seconds
    )
    plans = [replace(base, seed=seed) for seed in range(int(first), int(last or first) + 1)]
    answers: Counter[int] = Counter()
    broke_off: Counter[str] = Counter()
    pairs: Counter[tuple[Kind, Kind]] = Counter()
    rules: Counter[str] = Counter()
    costs = {loss: Cost() for loss in Loss}
    failed: dict[int, VirtualFleetResult] = {}
    begun, steps = time.monotonic(), 0
    with ProcessPoolExecutor(args.jobs, mp_context=get_context("spawn")) as pool:
        running = {pool.submit(_one, plan): plan for plan in plans}
        for done, future in enumerate(as_completed(running), 1):
            result = future.result()
            steps += result.steps
            answers.update(result.answers)
            broke_off.update(result.broke_off)
            pairs.update(set(overlaps(result.faults)))
            for loss, cost in result.costs.items():
                _add(costs[loss], cost)
            if result.broken:
                failed[result.seed] = result
                rules.update(result.rules)
                print(f"seed {result.seed}: {result.broken[0][:200]}", flush=True)
            if done % 25 == 0:
                spent = time.monotonic() - begun
                print(f"  {done} of {len(plans)}, {len(failed)} broken, {done / spent:.2f}/s", flush=True)
        if args.shrink:
            _keep(pool, base, failed, args.out)
    unseen = [pair for pair in itertools.combinations_with_replacement(sorted(Kind), 2) if not pairs[pair]]
    spent = time.monotonic() - begun
    print(f"{len(plans)} days of {args.fronts} fronts, nasty {args.nasty:g}: {steps} calls, {spent:.0f} s")
    print(f"answers by status {dict(sorted(answers.items()))}")
    for loss, cost in costs.items():
        print(
            f"{loss.value:<8} {cost.sessions:>6} sessions, {len(cost.gaps)} heired, {cost.ended} ended, "
            f"{cost.unowned} of those in no channel, {cost.given_up} given up, gap p50 {cost.gap(0.5):.0f} "
            f"p99 {cost.gap(0.99):.0f} max {max(cost.gaps, default=0.0):.0f} ms"
        )
    print(f"broke off under their viewers, by their box's reason: {dict(broke_off) or 'none'}")
    never = ", ".join(f"{one}+{other}" for one, other in unseen[:12])
    print(f"pairs of faults that met: {len(pairs)}, never: {len(unseen)} {never}")
    print(f"broken days: {len(failed)} {dict(rules)}")
    return bool(failed)


def _add(total: Cost, cost: Cost) -> None:
    total.gaps += cost.gaps
    for name in ("sessions", "ended", "unowned", "given_up", "own_end", "woke", "left"):
        setattr(total, name, getattr(total, name) + getattr(cost, name))


def _keep(
    pool: ProcessPoolExecutor, base: FleetPlan, failed: dict[int, VirtualFleetResult], folder: Path
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    running = {
        pool.submit(_smaller, replace(base, seed=seed), result): result for seed, result in failed.items()
    }
    for future in as_completed(running):
        result, plan = running[future], future.result()
        path = folder / f"seed-{plan.seed}-of-{plan.fronts}.txt"
        path.write_text(file_of(plan, result.broken))
        print(f"{path}: {len(plan.faults or ())} of {len(result.faults)} faults", flush=True)


def story(plan: FleetPlan, *, trace: bool, of: str) -> int:
    result = play(plan)
    if trace:
        for record in result.records:
            kind = str(record["kind"])
            about = not of or any(of == str(value) for value in record.values())
            if kind.startswith(_STORY) or (of and about):
                print(_line(record))
    for fault in result.faults:
        print(f"  {fault}")
    print(f"answers {result.answers}, broke off {dict(result.broke_off)}, {result.steps} callbacks")
    print("\n".join(result.broken) or "every rule held")
    return bool(result.broken)


class LargeFleet(VirtualFleet):
    """One front is killed; tells when all others know, and what they all sent while nothing happened."""

    known_ms = figures_s = 0.0
    bytes_a_second: tuple[float, ...] = ()

    async def besides(self) -> None:
        await self.until(1.0)
        before, begun = self._sent(), self.loop.time()
        await self.until(4.0)
        span = self.loop.time() - begun
        self.bytes_a_second = tuple(
            sorted((after - sent) / span for sent, after in zip(before, self._sent(), strict=True))
        )
        number = max(self.fronts, key=lambda one: self.fronts[one].core.sessions.session_count)
        killed = self.loop.time()
        kill = asyncio.ensure_future(self._play(Fault(4.0, 8.0, Kind.KILL, number)))
        others = [front.peers.peer for one, front in self.fronts.items() if one != number and front.peers]
        while any(f"front-{number}" in other.members.alive() for other in others):
            await asyncio.sleep(0.02)
        self.known_ms = (self.loop.time() - killed) * 1000.0
        await kill

    def _sent(self) -> list[int]:
        return [front.peers.links.counts.bytes_out for front in self.fronts.values() if front.peers]


def scale(args: argparse.Namespace) -> int:
    """One day for each number of fronts, with one of them killed."""
    broken = 0
    for fronts in map(int, args.fronts.split(",")):
        days: list[LargeFleet] = []

        class Day(LargeFleet):
            async def run(self) -> VirtualFleetResult:
                days.append(self)  # noqa: B023 - it runs before the next
                self.begun_at = self.loop.time()
                result = await super().run()
                self.figures_s = self.loop.time() - self.begun_at
                return result

        plan = FleetPlan(
            fronts=fronts, boxes=4, seconds=args.seconds, rate=args.rate, faults=(),
            peers=PeerPlan(parts=args.parts),
        )  # fmt: skip
        begun = time.monotonic()
        result, spent = play(plan, Day), time.monotonic() - begun
        cost, sent, broken = result.costs[Loss.KILLED], days[0].bytes_a_second, broken + bool(result.broken)
        print(
            f"{fronts} fronts: {days[0].figures_s:.0f} virtual s in {spent:.0f} s "
            f"({days[0].figures_s / spent:.2f} a second); quiet, a front sends "
            f"{sent[len(sent) // 2] / 1000.0:.1f} kB/s, most {sent[-1] / 1000.0:.1f}; a killed one is known "
            f"to all after {days[0].known_ms:.0f} ms; {cost.sessions} sessions lost it, {len(cost.gaps)} "
            f"heired, gap p50 {cost.gap(0.5):.0f} p99 {cost.gap(0.99):.0f} ms; answers {result.answers}",
            flush=True,
        )
        print("\n".join(result.broken[:5]) or "every rule held", flush=True)
    return bool(broken)


def mutants(args: argparse.Namespace) -> int:
    """Each mistake by the seeds that it may take; tells those that no day found."""
    from tests.peers_mutants.joint import MUTANTS, find

    chosen, missed = [one for one in MUTANTS if args.only in one.name], 0
    with ProcessPoolExecutor(args.jobs, mp_context=get_context("spawn")) as pool:
        running = {pool.submit(find, mutant): mutant for mutant in chosen}
        for future in as_completed(running):
            mutant, (seed, what) = running[future], future.result()
            missed += not seed
            found = f"seed {seed} of {mutant.seeds}" if seed else f"NOT FOUND in {mutant.seeds}"
            print(f"{found:<20} {mutant.name} ({mutant.faults}): {what[:90]}", flush=True)
    print(f"{len(chosen) - missed} of {len(chosen)} found")
    return bool(missed)


def _line(record: dict[str, Any]) -> str:
    rest = " ".join(f"{key}={value}" for key, value in record.items() if key not in ("t", "kind"))
    return f"{(record['t'] - 1_000_000.0) / 1000.0:9.3f} {record['kind']:<14} {rest}"


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m bench.peers_days")
    commands = parser.add_subparsers(dest="command", required=True)
    for name in ("sweep", "seed", "schedule"):
        command = commands.add_parser(name)
        command.add_argument("--fronts", type=int, default=3)
        command.add_argument("--boxes", type=int, default=6)
        command.add_argument("--nasty", type=float, default=1.0)
        command.add_argument("--rate", type=float, default=4.0)
        command.add_argument("--seconds", type=float, default=12.0)
        command.add_argument("--trace", action="store_true")
        command.add_argument("--of", default="", help="a session, front or channel, with all that names it")
        if name == "sweep":
            command.add_argument("--seeds", default="1-100")
            command.add_argument("--jobs", type=int, default=2)
            command.add_argument("--shrink", action="store_true")
            command.add_argument("--out", type=Path, default=Path("broken-days"))
        elif name == "seed":
            command.add_argument("seed", type=int)
        else:
            command.add_argument("file", type=Path)
    command = commands.add_parser("scale")
    command.add_argument("--fronts", default="50,100")
    command.add_argument("--seconds", type=float, default=14.0)
    command.add_argument("--rate", type=float, default=4.0)
    command.add_argument("--parts", type=int, default=2)
    command = commands.add_parser("mutants")
    command.add_argument("--jobs", type=int, default=2)
    command.add_argument("--only", default="", help="those whose name has this")
    args = parser.parse_args()
    if args.command == "scale":
        return scale(args)
    if args.command == "mutants":
        return mutants(args)
    if args.command == "sweep":
        return sweep(args)
    if args.command == "schedule":
        return story(read_file(args.file), trace=args.trace, of=args.of)
    plan = FleetPlan(
        seed=args.seed, fronts=args.fronts, boxes=args.boxes, nasty=args.nasty, rate=args.rate,
        seconds=args.seconds,
    )  # fmt: skip
    return story(plan, trace=args.trace, of=args.of)


if __name__ == "__main__":
    raise SystemExit(main())
