"""Who inherits a channel: a decision of its own, free of I/O, alike wherever the same facts are known.

Rendezvous order with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018): a channel goes to the first of
its order whose load stays within `1 + slack` times the mean, so that a front that goes or comes moves few
channels and nobody is heaped upon. Two fronts with different facts may both try: the lease decides who owns.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from fernweir.peers.base import rendezvous
from fernweir.peers.channel.rules import SuccessorRules


@dataclass(frozen=True, slots=True)
class Candidate:
    """A front that is believed alive. `load` is in sessions; `age_ms` since its start.

    `late`: its versions are, or it is shut out. `leaving`: it stops, or hands off what it has. `standby`: it
    has a whole copy of the channel that is asked about.
    """

    name: str
    load: int
    age_ms: float
    late: bool = False
    leaving: bool = False
    standby: bool = False


def successors(
    channel: str, fronts: Sequence[Candidate], rules: SuccessorRules | None = None, sessions: int = 1
) -> list[str]:
    """All who may inherit, the one who tries first at the front; empty if nobody may.

    Whoever keeps a whole copy comes first among those within the bound; those beyond it come last.
    """
    rules = rules or SuccessorRules()
    eligible = {front.name: front for front in fronts if not front.late and not front.leaving}
    bounds = capacities(list(eligible.values()), rules, sessions)
    order = rendezvous(channel, eligible)
    within = [name for name in order if eligible[name].load + sessions <= bounds[name]]
    beyond = [name for name in order if name not in within]
    return sorted(within, key=lambda name: not eligible[name].standby) + beyond


def assign(
    channels: Mapping[str, int],
    fronts: Sequence[Candidate],
    rules: SuccessorRules | None = None,
    copies: Mapping[str, frozenset[str]] | None = None,
) -> dict[str, list[str]]:
    """Heirs of several channels (with their sessions) at once, each counted into its first heir's load.

    `copies` says who has a whole copy of which. The channels are gone through by their names' order, so that
    all who know the same facts come to the same.
    """
    rules = rules or SuccessorRules()
    loads = {front.name: front.load for front in fronts}
    result: dict[str, list[str]] = {}
    for channel in sorted(channels):
        complete = (copies or {}).get(channel)
        now = [
            Candidate(
                front.name, loads[front.name], front.age_ms, front.late, front.leaving,
                front.standby if complete is None else front.name in complete,
            )
            for front in fronts
        ]  # fmt: skip
        order = successors(channel, now, rules, channels[channel])
        result[channel] = order
        if order:
            loads[order[0]] += channels[channel]
    return result


def standbys(channel: str, fronts: Sequence[Candidate], count: int = 2) -> list[str]:
    """Who keeps copies: the first of the order that heirs are drawn from, whatever their load is now."""
    eligible = [front.name for front in fronts if not front.late and not front.leaving]
    return rendezvous(channel, eligible)[:count]


def capacities(fronts: Sequence[Candidate], rules: SuccessorRules, sessions: int = 1) -> dict[str, float]:
    """The most sessions that each may come to hold, with those that are to be inherited.

    The bound is shared out by what a front is worth: all of 1 but the young, so that one that just started
    is not surged upon, and the others' bounds make up for it.
    """
    weights = {front.name: capacity_weight(front, rules) for front in fronts}
    if not weights:
        return {}
    total = sum(front.load for front in fronts) + sessions
    mean = total / sum(weights.values())
    return {name: max((1.0 + rules.slack) * mean * share, 0.0) for name, share in weights.items()}


def capacity_weight(front: Candidate, rules: SuccessorRules) -> float:
    """From `floor` at a front's start to 1 at `ramp_ms`."""
    if rules.ramp_ms <= 0.0:
        return 1.0
    return min(max(front.age_ms / rules.ramp_ms, rules.floor), 1.0)


def wait_ms(rank: int, rules: SuccessorRules | None = None) -> float:
    """How long the heir of this rank leaves the try to those before it."""
    return rank * (rules or SuccessorRules()).stagger_ms
