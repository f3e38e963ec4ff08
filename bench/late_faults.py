"""Drawn days of a fleet with stragglers, and what befalls it."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from bench.late_day import KINDS, Day, Kit


def day(
    seed: int, kit: Kit, span: float = 240_000.0, most: int = 4, faults: Sequence[str] = (), n: int = 0
) -> Day:
    """A drawn day: some faults, news all the while; with `faults` each of these once, in a fleet of `n`."""
    dice = Random(f"day {seed}")
    n = n or dice.choice((3, 5, 6, 9))
    rules = kit.rules.LateRules(clean_ms=50_000.0) if "relieved" in faults else None
    drawn = Day(seed, kit, n, 5 if n >= 9 else 3, dice.choice((0.0, 0.1, 0.25)), rules)
    every = dice.choice((4_000.0, 15_000.0, 50_000.0))

    def more() -> None:
        kind = dice.choices(KINDS, (8, 1, 1))[0]
        drawn.news(kind, urgent=dice.random() < 0.5)
        drawn.after(dice.expovariate(1.0 / every), more)

    drawn.after(8_000.0, more)
    named = [globals()[name] for name in faults]
    for fault in named or dice.choices(FAULTS, k=dice.randint(1, most)):
        drawn.after(dice.uniform(8_000.0, span * 0.6), lambda fault=fault: fault(drawn, dice))
    drawn.run(span)
    return drawn


def _pick(day: Day, dice: Random, many: int = 1) -> list[str]:
    return dice.sample(sorted(day.fronts), many)


def deaf(day: Day, dice: Random) -> None:
    (name,) = _pick(day, dice)
    day.fronts[name].deaf, day.fronts[name].numb = True, dice.random() < 0.6
    day.after(dice.uniform(500.0, 120_000.0), lambda: day.refresh(name))


def many_deaf(day: Day, dice: Random) -> None:
    names = _pick(day, dice, dice.randint(2, len(day.fronts) - 1))
    span = dice.uniform(20_000.0, 100_000.0)
    for name in names:
        day.fronts[name].deaf = day.fronts[name].numb = True
        day.after(span, lambda name=name: day.refresh(name))


def lie(day: Day, dice: Random) -> None:
    (name,) = _pick(day, dice)
    front = day.fronts[name]
    front.deaf = front.numb = front.liar = True
    day.say(front)

    def reform() -> None:
        day.fronts[name].liar = False
        day.refresh(name)
        day.say(day.fronts[name])

    day.after(dice.uniform(95_000.0, 130_000.0), reform)


def stand(day: Day, dice: Random) -> None:
    day.stop(_pick(day, dice)[0], dice.uniform(500.0, 40_000.0))


def restart(day: Day, dice: Random) -> None:
    """Killed, and back with the list that it had once."""
    (name,) = _pick(day, dice)
    front = day.fronts[name]
    if not front.up:
        return
    holds = {kind: max(1, number - dice.choice((0, 0, 1, 3))) for kind, number in front.holds.items()}
    day.kill(name)

    def back() -> None:
        day.start(name, holds)
        if not day.fronts[name].deaf:
            day.after(dice.uniform(100.0, 3_000.0), lambda: day.refresh(name))

    day.after(dice.uniform(100.0, 10_000.0), back)


def halves(day: Day, dice: Random) -> None:
    """Each half hears its own news; then the cut is gone, and each hears all news again later."""
    names = _pick(day, dice, len(day.fronts) // 2)
    for name in names:
        day.fronts[name].side = 1
    day.disturbed()
    day.news("boxes", names)
    day.news("boxes", [name for name in day.fronts if name not in names])

    def join() -> None:
        for front in day.fronts.values():
            front.side = 0
        day.disturbed()

    day.after(dice.uniform(5_000.0, 40_000.0), join)


def few(day: Day, dice: Random) -> None:
    """A drain, or an epoch, that one front alone is told."""
    (name,) = _pick(day, dice)
    kind = dice.choice(("boxes", "settings"))
    day.news(kind, [name], urgent=True)
    number = day.number[kind]
    for other in sorted(day.fronts):
        day.after(50_000.0, lambda other=other: day.tell(other, kind, number))


def unheard(day: Day, dice: Random) -> None:
    """A keeper doesn't hear one front, which others do hear."""
    keeper = dice.choice(day.keepers)
    name = dice.choice([name for name in sorted(day.fronts) if name != keeper])
    day.blocked.add((name, keeper))

    def heal() -> None:
        day.blocked.discard((name, keeper))
        day.disturbed()

    day.after(dice.uniform(60_000.0, 110_000.0), heal)


def slander(day: Day, dice: Random) -> None:
    """A front tells of another that it acts on the first list of all."""
    name, of = _pick(day, dice, 2)
    day.fronts[name].slanders = of


def relieved(day: Day, dice: Random) -> None:
    """One front falls behind as another, which was shut out, has caught up."""
    one, other = _pick(day, dice, 2)
    day.fronts[one].deaf = day.fronts[one].numb = True
    day.news("boxes")

    def change() -> None:
        day.refresh(one)
        day.fronts[other].deaf = day.fronts[other].numb = True
        day.news("boxes")

    day.after(62_000.0, change)
    day.after(190_000.0, lambda: day.refresh(other))


def asleep(day: Day, dice: Random) -> None:
    """A front misses some news, and two keepers stand still before it has caught up."""
    name, *keepers = dice.sample(sorted(day.keepers), 3)
    day.fronts[name].deaf = day.fronts[name].numb = True
    day.news("boxes")

    def sleep() -> None:
        for keeper in keepers:
            day.stop(keeper, 60_000.0)

    slept = dice.uniform(3_000.0, 30_000.0)
    day.after(slept, sleep)
    day.after(slept + 1_000.0, lambda: day.refresh(name))


def reborn(day: Day, dice: Random) -> None:
    """A front that is out is killed, and begins with what it had."""
    (name,) = _pick(day, dice)
    day.fronts[name].deaf = day.fronts[name].numb = True
    day.news("boxes")

    def again() -> None:
        if day.fronts[name].up:
            holds = dict(day.fronts[name].holds)
            day.kill(name)
            day.start(name, holds)

    day.after(70_000.0, again)


def orphaned(day: Day, dice: Random) -> None:
    """A front is out, and the keepers that voted for that are killed."""
    name = sorted(day.fronts)[-1]
    day.fronts[name].deaf = day.fronts[name].numb = True
    day.news("boxes")

    def die() -> None:
        for keeper in day.keepers[:2]:
            day.kill(keeper)
        day.refresh(name)

    day.after(60_000.0, die)


FAULTS = (deaf, deaf, many_deaf, lie, stand, restart, halves, few, unheard, slander, relieved, asleep)
