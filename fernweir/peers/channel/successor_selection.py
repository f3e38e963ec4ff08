"""Selects the successors of a channel. Pure functions with the same result wherever the facts are the same.

Rendezvous hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018): a channel goes to the first
front in its order whose load stays within `1 + slack` times the mean, so that a front that leaves or joins
moves few channels and no front is overloaded. Two fronts with different facts may both try: the lease
decides.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from fernweir.peers.base import rendezvous
from fernweir.peers.channel.rules import SuccessorRules


@dataclass(frozen=True, slots=True)
class Candidate:
    """A live front. `load` is its number of sessions, and `age_ms` the time since its start.

    `late`: its versions are stale, or it is shut out. `leaving`: it stops, or hands off its channels.
    `standby`: it has a complete replica of the channel in question.
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
    """Returns all eligible successors in the order in which they try; empty if there is none.

    Fronts with a complete replica come first among those within the load bound. Fronts beyond the bound come
    last.
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
    """Returns the successors of several channels, and adds each channel to the load of its first successor.

    `channels` has the number of sessions of each, and `copies` the fronts with a complete replica of each.
    Channels are processed in the order of their names, so that the same facts always give the same result.
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
    """Returns the fronts that store replicas: the first in the order of successors, regardless of load."""
    eligible = [front.name for front in fronts if not front.late and not front.leaving]
    return rendezvous(channel, eligible)[:count]


def capacities(fronts: Sequence[Candidate], rules: SuccessorRules, sessions: int = 1) -> dict[str, float]:
    """Returns the maximum number of sessions of each front, including those to be inherited.

    The bound is divided by capacity weight, which is 1 but for young fronts. A front that just started is not
    flooded, and the bounds of the others compensate for it.
    """
    weights = {front.name: capacity_weight(front, rules) for front in fronts}
    if not weights:
        return {}
    total = sum(front.load for front in fronts) + sessions
    mean = total / sum(weights.values())
    return {name: max((1.0 + rules.slack) * mean * share, 0.0) for name, share in weights.items()}


def capacity_weight(front: Candidate, rules: SuccessorRules) -> float:
    """Returns the weight of a front, which rises from `floor` at its start to 1 at `ramp_ms`."""
    if rules.ramp_ms <= 0.0:
        return 1.0
    return min(max(front.age_ms / rules.ramp_ms, rules.floor), 1.0)


def wait_ms(rank: int, rules: SuccessorRules | None = None) -> float:
    """Returns how long the successor of this rank waits for the attempts of those before it."""
    return rank * (rules or SuccessorRules()).stagger_ms
