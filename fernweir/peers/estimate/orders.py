"""What an order will touch, before it is given.

Sessions that an order moves at their boxes cost set-ups, each a further attempt out of the ration, and draw
their bytes on other racks' uplinks from then on. Sessions that only change their front cost neither, if all
goes well: their upper bounds have those that a hand-off may lose and set up anew.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from math import sqrt

from fernweir.peers.estimate.bounds import Bound, exactly
from fernweir.peers.estimate.fleet import FleetView, FrontLoad, RackView
from fernweir.peers.estimate.waves import CostBound


@dataclass(frozen=True, slots=True)
class DrainRack:
    """All sessions at the rack's boxes are set up elsewhere, or at `boxes` of it only, over `over_ms`."""

    rack: str
    over_ms: float
    boxes: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class RaiseEpoch:
    """Fronts on settings of a lower epoch are late: each is brought up, or handed off and shut out; or only
    these of them."""

    least: int
    over_ms: float
    fronts: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RestartFront:
    """Its channels are handed to heirs, or these of them, spread over `over_ms`."""

    front: str
    over_ms: float
    channels: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class MoveChannels:
    """These channels, each to one of the heirs."""

    channels: tuple[str, ...]
    heirs: tuple[str, ...]
    over_ms: float


Order = DrainRack | RaiseEpoch | RestartFront | MoveChannels


@dataclass(frozen=True, slots=True)
class OrderRules:
    """`lost_share`: of sessions that change their front, how many may have to be set up anew."""

    lost_share: float = 0.02
    lag_ms: float = 3_000.0
    margin: float = 1.5  # on the highest rates of late
    spare: float = 3.0  # sessions that may come or go at any rate
    unknown_factor: float = 2.0
    uneven: float = 1.5  # how far set-ups may bunch


@dataclass(frozen=True, slots=True)
class OrderEstimate:
    """`uplinks`: kB/s that come onto each rack's uplink. `ration`: the share of the ration's further attempts
    that is used, in the span that uses most. `state`: bytes handed from front to front."""

    order: Order
    sessions: Bound
    channels: Bound
    fronts: Bound
    setups_s: Bound
    uplinks: tuple[tuple[str, Bound], ...]
    ration: Bound
    state: Bound
    age_ms: float
    missing: tuple[str, ...] = ()

    def uplink(self, rack: str) -> Bound:
        return dict(self.uplinks).get(rack, Bound())


def weigh(order: Order, fleet: FleetView, rules: OrderRules) -> OrderEstimate:
    match order:
        case DrainRack():
            return _drain(order, fleet, rules)
        case RaiseEpoch(least, over_ms, chosen):
            late = [front for front in fleet.fronts if front.epoch < least]
            unknown = fleet.missing()
            if chosen:
                late = [front for front in late if front.front in chosen]
                unknown = tuple(name for name in unknown if name in chosen)
            return _hand_off(order, late, over_ms, fleet, rules, unknown=len(unknown))
        case RestartFront(name, over_ms, chosen):
            those = [front for front in fleet.fronts if front.front == name]
            unknown_fronts = 0 if those else 1
            if chosen:
                those = [_only(front, chosen) for front in those]
            return _hand_off(order, those, over_ms, fleet, rules, unknown=unknown_fronts)
        case MoveChannels(channels, heirs, over_ms):
            wanted = frozenset(channels)
            those = [_only(front, wanted) for front in fleet.fronts]
            held = [front for front in those if front.channels]
            found = {one.channel for front in held for one in front.channels}
            told = _hand_off(order, held, over_ms, fleet, rules, unknown=0)
            return _moved(told, len(wanted - found), len(set(heirs)), fleet, rules)


def cost(told: OrderEstimate, fleet: FleetView) -> CostBound:
    """An order's estimate as waves are limited by it; the uplink's is that of the rack it fills most."""
    fullest = Bound()
    for rack in fleet.racks:
        room = max(1.0, rack.uplink_kbps - rack.used_kbps)
        share = told.uplink(rack.rack).times(1.0 / room)
        fullest = Bound(*(max(pair) for pair in zip(_parts(fullest), _parts(share), strict=True)))
    return CostBound(told.sessions, told.setups_s, told.ration, fullest)


def _grown(front: FrontLoad, value: float, share: float, rules: OrderRules) -> Bound:
    """A count of sessions that was true `age_ms` ago, `share` of which is what the front's rates fall on."""
    seconds = (front.age_ms + rules.lag_ms) / 1e3
    come = front.starts_s * seconds * share * rules.margin
    go = front.ends_s * seconds * share * rules.margin
    return Bound(
        max(0.0, value - go - 3 * sqrt(go) - rules.spare), value, value + come + 3 * sqrt(come) + rules.spare
    )


def _age(fronts: Sequence[FrontLoad]) -> float:
    return max((front.age_ms for front in fronts), default=0.0)


def _likened(fleet: FleetView, of: Callable[[FrontLoad], float], count: int, rules: OrderRules) -> Bound:
    """Fronts of which nothing is known, by those of which something is."""
    values = [of(front) for front in fleet.fronts]
    mean = sum(values) / len(values) if values else 0.0
    return Bound(0.0, mean, max(values, default=0.0) * rules.unknown_factor).times(count)


def _drain(order: DrainRack, fleet: FleetView, rules: OrderRules) -> OrderEstimate:
    name, over_ms = order.rack, order.over_ms
    boxes = next((rack.boxes for rack in fleet.racks if rack.rack == name), frozenset[int]())
    if order.boxes:
        boxes &= order.boxes
    sessions = Bound()
    kbps = Bound()
    ration = Bound()
    touched = certain = 0
    seconds = max(1.0, over_ms / 1e3)
    spans = max(1.0, over_ms / fleet.ration.span_ms)
    for front in fleet.fronts:
        there = [one for one in front.boxes if one.box in boxes]
        count = sum(one.sessions for one in there)
        share = count / front.sessions if front.sessions else 1.0
        grown = _grown(front, count, share, rules)
        drawn = sum(one.kbps for one in there)
        each = drawn / count if count else 0.0
        sessions = sessions + grown
        # What stands may climb to the highest rung; what comes is taken at that.
        kbps = kbps + Bound(grown.low * each, drawn, max(drawn, grown.high * fleet.most_kbps))
        used = grown.times(1.0 / spans / max(1.0, fleet.ration.most(front.sessions)))
        ration = Bound(*(max(pair) for pair in zip(_parts(ration), _parts(used), strict=True)))
        touched += count > 0
        certain += grown.low > 0
    unknown = len(fleet.missing())

    def here(front: FrontLoad) -> float:
        return float(sum(one.sessions for one in front.boxes if one.box in boxes))

    more = _likened(fleet, here, unknown, rules)
    sessions = sessions + more
    kbps = kbps + Bound(0.0, more.guess * fleet.most_kbps / 2, more.high * fleet.most_kbps)
    others = [rack for rack in fleet.racks if rack.rack != name]
    return OrderEstimate(
        order,
        sessions,
        exactly(0.0),
        Bound(certain, touched, len(fleet.fronts) + unknown),
        _a_second(sessions, seconds, rules),
        _over_racks(kbps, others),
        ration,
        exactly(0.0),
        _age(fleet.fronts),
        fleet.missing(),
    )


def _hand_off(
    order: Order,
    those: Sequence[FrontLoad],
    over_ms: float,
    fleet: FleetView,
    rules: OrderRules,
    unknown: int,
) -> OrderEstimate:
    sessions = Bound()
    for front in those:
        held = sum(one.sessions for one in front.channels)
        share = held / front.sessions if front.sessions else 1.0
        sessions = sessions + _grown(front, held, share, rules)
    sessions = sessions + _likened(fleet, lambda front: float(front.sessions), unknown, rules)
    held_channels = float(sum(len(front.channels) for front in those))
    channels = exactly(held_channels) + _likened(
        fleet, lambda front: float(len(front.channels)), unknown, rules
    )
    lost = Bound(0.0, 0.0, sessions.high * rules.lost_share + (1.0 if sessions.high else 0.0))
    heirs = max(0, len(fleet.fronts) + unknown - len(those))
    touched = float(len(those) + unknown)
    seconds = max(1.0, over_ms / 1e3)
    spans = max(1.0, over_ms / fleet.ration.span_ms)
    ration = lost.times(1.0 / spans / max(1.0, fleet.ration.most(0.0)))
    return OrderEstimate(
        order,
        sessions,
        channels,
        Bound(
            float(len(those)),
            touched + min(float(heirs), channels.guess),
            touched + min(float(heirs), channels.high),
        ),
        _a_second(lost, seconds, rules),
        _over_racks(lost.times(fleet.most_kbps), fleet.racks),
        ration,
        sessions.times(fleet.state_bytes),
        _age(those),
        fleet.missing(),
    )


def _moved(
    told: OrderEstimate, unfound: int, heirs: int, fleet: FleetView, rules: OrderRules
) -> OrderEstimate:
    """Channels named but held by no front that is known may be any one's, and as large as any."""
    sizes = [one.sessions for front in fleet.fronts for one in front.channels]
    mean = sum(sizes) / len(sizes) if sizes else 0.0
    more = Bound(0.0, mean, max(sizes, default=0) * rules.unknown_factor).times(unfound)
    owners = told.fronts.low
    return replace(
        told,
        sessions=told.sessions + more,
        channels=told.channels + Bound(0.0, unfound, unfound),
        fronts=Bound(owners, owners + heirs, owners + heirs + unfound),
        state=told.state + more.times(fleet.state_bytes),
    )


def _only(front: FrontLoad, channels: frozenset[str]) -> FrontLoad:
    return replace(front, channels=tuple(one for one in front.channels if one.channel in channels))


def _parts(bound: Bound) -> tuple[float, float, float]:
    return bound.low, bound.guess, bound.high


def _a_second(sessions: Bound, seconds: float, rules: OrderRules) -> Bound:
    return Bound(sessions.low / seconds, sessions.guess / seconds, sessions.high / seconds * rules.uneven)


def _over_racks(kbps: Bound, racks: Sequence[RackView]) -> tuple[tuple[str, Bound], ...]:
    """By the room that each has: where a session goes is the module's, so any one rack may get most of it,
    up to its room, and none need get any unless the others are full."""
    rooms = {rack.rack: max(0.0, rack.uplink_kbps - rack.used_kbps) for rack in racks}
    total = sum(rooms.values())
    return tuple(
        (
            name,
            Bound(
                min(room, max(0.0, kbps.low - (total - room))),
                min(room, kbps.guess * room / total) if total else 0.0,
                min(room, kbps.high),
            ),
        )
        for name, room in rooms.items()
    )
