"""What an order would touch, told before it is given: loads of fronts joined to estimates of orders.

Each front says by box and channel what stands there. An order of an operator (drain a rack, raise the least
epoch of settings, restart a front, move channels) is weighed on that, with the age of what it rests on, and
its first wave is named where it is over a limit. Nothing is carried out here.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Annotated, Any

import msgspec

from fernweir.peers.estimate.bounds import Bound
from fernweir.peers.estimate.cutting import in_waves
from fernweir.peers.estimate.fleet import FleetView, FrontLoad, RackView, Ration
from fernweir.peers.estimate.loads import Tally, read_load
from fernweir.peers.estimate.orders import (
    DrainRack,
    MoveChannels,
    Order,
    OrderRules,
    RaiseEpoch,
    RestartFront,
    weigh,
)
from fernweir.peers.estimate.rules import ShardRules
from fernweir.peers.estimate.waves import Cost, WaveRules
from fernweir.peers.port import Port, SessionStatus

TALLY = "tally"
_SAY_MS = 10_000.0
_FEW = 3
_MOST_FRONTS = 1_024
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Names = Annotated[tuple[Name, ...], msgspec.Meta(min_length=1, max_length=4_096)]
Over = Annotated[float, msgspec.Meta(gt=0.0, le=86_400_000.0)]
Most = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one wave may do at its upper bound; `uplink` and `ration` are shares."""

    sessions: Most = 1e9
    setups_s: Most = 1e9
    ration: Most = 0.5
    uplink: Most = 0.5


class _Asked(msgspec.Struct, frozen=True, kw_only=True, tag_field="order", forbid_unknown_fields=True):
    over_ms: Over = 60_000.0
    limit: Limit = Limit()


class _Drain(_Asked, frozen=True, kw_only=True, tag="drain-rack"):
    rack: Name


class _Raise(_Asked, frozen=True, kw_only=True, tag="raise-epoch"):
    least: Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]


class _Restart(_Asked, frozen=True, kw_only=True, tag="restart-front"):
    front: Name


class _Move(_Asked, frozen=True, kw_only=True, tag="move-channels"):
    channels: Names
    heirs: Names


class Weighing:
    """`now` is ms. `told` takes the facts `tally` of others, `say` gives the own one when it is time."""

    def __init__(self, me: str, life: int, port: Port, now: float) -> None:
        self.me, self.life = me, life
        self._port = port
        self._terms = port.limits()
        self._channels: dict[str, str] = {}
        self._tally = Tally(
            me,
            life,
            lambda session: self._channels.get(session, ""),
            self._terms.rung_kbps,
            ShardRules(),
            now,
        )
        self._loads: dict[str, tuple[FrontLoad, float]] = {}
        self._say_at = now
        self._said, self._said_sessions = b"", 0

    def stands(self, now: float, standing: SessionStatus, channel: str) -> None:
        self._channels[standing.session] = channel
        self._tally.stands(now, standing)

    def over(self, now: float, session: str) -> None:
        self._tally.over(now, session)
        self._channels.pop(session, None)

    def say(self, now: float, epoch: int) -> bytes | None:
        """The fact that is to be put; None if it is not time, or nothing changed."""
        # What others take for growth allows for a few sessions at any rate; more than that is news.
        grown = abs(len(self._channels) - self._said_sessions) > _FEW
        if now < self._say_at and not grown:
            return None
        self._say_at, self._said_sessions = now + _SAY_MS, len(self._channels)
        data = self._tally.load(now, epoch, self._terms.budget_free)
        self._loads[self.me] = (read_load(self.me, self.life, data, 0.0), now)
        if data == self._said:
            return None
        self._said = data
        return data

    def told(self, now: float, owner: str, life: int, data: bytes) -> None:
        """A peer's load; what can't be one is passed over."""
        if len(self._loads) >= _MOST_FRONTS and owner not in self._loads:
            return
        try:
            self._loads[owner] = (read_load(owner, life, data, 0.0), now)
        except (ValueError, msgspec.DecodeError):
            self._loads.pop(owner, None)

    def gone(self, owner: str) -> None:
        self._loads.pop(owner, None)

    def ask(self, now: float, plain: Mapping[str, Any], fronts: Mapping[str, int]) -> dict[str, Any]:
        """The estimate of an order, and its first wave, as JSON has them; or what is wrong with it."""
        try:
            asked = msgspec.convert(dict(plain), _Drain | _Raise | _Restart | _Move)
        except msgspec.ValidationError as error:
            return {"ok": False, "error": str(error)}
        order, fleet = _order(asked), self._fleet(now, fronts)
        told = weigh(order, fleet, OrderRules())
        limit = asked.limit
        rules = WaveRules(Cost(limit.sessions, limit.setups_s, limit.ration, limit.uplink), small=1.0)
        waves = in_waves(order, lambda: fleet, OrderRules(), rules)
        wave = waves.next(now)
        return {
            "sessions": _plain(told.sessions), "channels": _plain(told.channels),
            "fronts": _plain(told.fronts), "setups_s": _plain(told.setups_s),
            "uplinks_kbps": {rack: _plain(bound) for rack, bound in told.uplinks},
            "ration": _plain(told.ration), "state_bytes": _plain(told.state),
            "age_ms": round(told.age_ms, 1), "missing": list(told.missing),
            "first_wave": list(wave.units) if wave is not None else [], "left": waves.left, "why": waves.why,
        }  # fmt: skip

    def _fleet(self, now: float, fronts: Mapping[str, int]) -> FleetView:
        loads = [
            replace(load, age_ms=load.age_ms + max(now - heard, 0.0))
            for name, (load, heard) in self._loads.items()
            if name in fronts
        ]
        drawn: dict[int, float] = {}
        for load in loads:
            for box in load.boxes:
                drawn[box.box] = drawn.get(box.box, 0.0) + box.kbps
        racks = tuple(
            RackView(rack, boxes, uplink, sum(drawn.get(box, 0.0) for box in boxes))
            for rack, boxes, uplink in self._port.racks()
        )
        terms = self._terms
        ration = Ration(terms.budget_span_ms, terms.budget_free, terms.budget_share)
        return FleetView(tuple(loads), racks, ration, tuple(fronts), max(terms.rung_kbps, default=1_000.0))


def _order(asked: _Drain | _Raise | _Restart | _Move) -> Order:
    if isinstance(asked, _Drain):
        return DrainRack(asked.rack, asked.over_ms)
    if isinstance(asked, _Raise):
        return RaiseEpoch(asked.least, asked.over_ms)
    if isinstance(asked, _Restart):
        return RestartFront(asked.front, asked.over_ms)
    return MoveChannels(asked.channels, asked.heirs, asked.over_ms)


def _plain(bound: Bound) -> list[float]:
    return [round(bound.low, 2), round(bound.guess, 2), round(bound.high, 2)]
