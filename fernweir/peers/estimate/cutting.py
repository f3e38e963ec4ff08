"""How an order is cut into units, and what a wave of some of them is as an order of its own."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

from fernweir.peers.estimate.fleet import FleetView
from fernweir.peers.estimate.orders import (
    DrainRack,
    MoveChannels,
    Order,
    OrderRules,
    RaiseEpoch,
    RestartFront,
    cost,
    weigh,
)
from fernweir.peers.estimate.waves import CostBound, WaveRules, Waves


def units(order: Order, fleet: FleetView) -> list[str]:
    """Boxes of a rack, fronts that are late or not known, channels of a front, channels: in order."""
    match order:
        case DrainRack(rack, _, chosen):
            boxes = next((one.boxes for one in fleet.racks if one.rack == rack), frozenset[int]())
            return [str(box) for box in sorted(boxes & chosen if chosen else boxes)]
        case RaiseEpoch(least, _, chosen_fronts):
            late = [one.front for one in fleet.fronts if one.epoch < least] + list(fleet.missing())
            return sorted(name for name in late if not chosen_fronts or name in chosen_fronts)
        case RestartFront(front, _, chosen_channels):
            held = [one.channel for each in fleet.fronts if each.front == front for one in each.channels]
            return sorted(name for name in held if not chosen_channels or name in chosen_channels)
        case MoveChannels(channels, _, _):
            return sorted(set(channels))


def part(order: Order, chosen: Sequence[str]) -> Order:
    """The order for these of its units only."""
    match order:
        case DrainRack():
            return replace(order, boxes=frozenset(int(unit) for unit in chosen))
        case RaiseEpoch():
            return replace(order, fronts=frozenset(chosen))
        case RestartFront():
            return replace(order, channels=frozenset(chosen))
        case MoveChannels():
            return replace(order, channels=tuple(chosen))


def in_waves(order: Order, fleet: Callable[[], FleetView], rules: OrderRules, waves: WaveRules) -> Waves:
    """The order's waves; `fleet` gives what is known now, and is asked anew for each."""

    def weigh_units(chosen: Sequence[str]) -> CostBound:
        now = fleet()
        return cost(weigh(part(order, chosen), now, rules), now)

    return Waves(units(order, fleet()), weigh_units, waves)
