"""Many seeds over processes: which broke, what faults met in them, and which pairs were seen too seldom."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from itertools import combinations_with_replacement
from multiprocessing import get_context
from pathlib import Path

from fernweir.rehearsal.faults import Fault, Kind
from fernweir.rehearsal.virtual import VirtualPlan, VirtualResult, play

Pair = tuple[Kind, Kind]
_ROUND = 200


@dataclass(slots=True)
class SweepResult:
    """`pairs` counts faults that overlapped in a day."""

    seeds: int = 0
    viewers: int = 0
    steps: int = 0
    virtual_s: float = 0.0
    wall_s: float = 0.0
    answers: Counter[int] = field(default_factory=Counter)
    pairs: Counter[Pair] = field(default_factory=Counter)
    failed: dict[int, list[str]] = field(default_factory=dict)
    schedules: dict[int, list[Fault]] = field(default_factory=dict)

    @property
    def unseen(self) -> list[Pair]:
        """Pairs of kinds that never overlapped."""
        return [pair for pair in combinations_with_replacement(sorted(Kind), 2) if not self.pairs[pair]]


def overlaps(faults: list[Fault]) -> Iterator[Pair]:
    """Pairs of kinds that were there at one moment."""
    for index, one in enumerate(faults):
        for other in faults[index + 1 :]:
            if one.at <= other.at + other.span and other.at <= one.at + one.span:
                first, second = sorted((one.kind, other.kind))
                yield first, second


def _one(plan: VirtualPlan) -> VirtualResult:
    try:
        result = play(plan)
    except Exception as error:  # a crash of the rehearsal itself is a finding too
        result = VirtualResult(plan.seed, list(plan.faults or ()), broken=[f"crash: {error!r}"])
    result.records = []  # too much to send back; `seed N` makes them again
    return result


def sweep(
    plan: VirtualPlan, first: int, count: int, jobs: int, say: Callable[[str], None], *, steer: bool = True
) -> SweepResult:
    """Plays `count` seeds. With `steer`, pairs not seen so far lead the days of each next round.

    A day depends on its seed and on the pairs it was given, which its schedule names: a failing one is
    played again by its schedule.
    """
    result, begun = SweepResult(), time.monotonic()
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        done = 0
        while done < count:
            size = min(_ROUND, count - done)
            favoured = tuple(result.unseen) if steer and done else ()
            plans = [
                replace(plan, seed=seed, favoured=favoured)
                for seed in range(first + done, first + done + size)
            ]
            for one in pool.map(_one, plans, chunksize=2):
                _count(result, one, plan)
            done += size
            spent = time.monotonic() - begun
            say(
                f"  {done} of {count} seeds, {len(result.failed)} failed, {len(result.unseen)} pairs unseen, "
                f"{done / spent:.1f} a second"
            )
    result.wall_s = time.monotonic() - begun
    return result


def _count(result: SweepResult, one: VirtualResult, plan: VirtualPlan) -> None:
    result.seeds += 1
    result.viewers += one.viewers
    result.steps += one.steps
    result.virtual_s += plan.seconds + plan.settle
    result.answers.update(one.answers)
    result.pairs.update(set(overlaps(one.faults)))
    if one.broken:
        result.failed[one.seed] = one.broken
        result.schedules[one.seed] = one.faults


def keep(result: SweepResult, plan: VirtualPlan, folder: Path) -> None:
    """A file for each failed seed: `# SEED RATE SECONDS`, what broke, and its faults."""
    folder.mkdir(parents=True, exist_ok=True)
    for seed, faults in result.schedules.items():
        lines = [f"# {seed} {plan.rate:g} {plan.seconds:g}"]
        lines += [f"# {text[:200]}" for text in result.failed[seed][:3]]
        (folder / f"seed-{seed}.txt").write_text("\n".join([*lines, *map(str, faults)]) + "\n")


def render(result: SweepResult) -> str:
    """The summary for people."""
    kinds = Counter(text.split(":", 1)[0] for texts in result.failed.values() for text in set(texts))
    lines = [
        f"{result.seeds} seeds, {result.virtual_s / 3600.0:.1f} virtual hours in {result.wall_s:.0f} s, "
        f"{result.viewers} viewers, {result.steps} callbacks",
        f"answers by status {dict(sorted(result.answers.items()))}",
        f"pairs of faults that met: {len(result.pairs)}, never: {len(result.unseen)}",
        f"failed {len(result.failed)}: "
        + (", ".join(f"{kind} {n}" for kind, n in kinds.most_common()) or "-"),
    ]
    for seed, texts in list(result.failed.items())[:10]:
        lines.append(f"  seed {seed}: {texts[0][:160]}")
    return "\n".join(lines)
