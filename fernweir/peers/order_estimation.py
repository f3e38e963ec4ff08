"""Estimates the impact of an order of an operator before it is given.

Each front publishes its sessions by server and channel. The impact of an order (drain a rack, raise the
minimum epoch of the settings, restart a front, move channels) is estimated from that, with the age of the
data. If the impact exceeds a limit, the estimate contains the first wave of the order. No order is executed
here.
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
_PUBLISH_INTERVAL_MS = 10_000.0
_MAX_UNPUBLISHED_CHANGE = 3
_MAX_FRONTS = 1_024
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Names = Annotated[tuple[Name, ...], msgspec.Meta(min_length=1, max_length=4_096)]
Over = Annotated[float, msgspec.Meta(gt=0.0, le=86_400_000.0)]
Most = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The limits for the upper bounds of one wave; `uplink` and `ration` are ratios."""

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


class OrderEstimator:
    """Estimates orders from the published loads of all fronts. `now` is in ms."""

    def __init__(self, me: str, life: int, port: Port, now: float) -> None:
        self.me, self.life = me, life
        self._port = port
        self._limits = port.limits()
        self._channels: dict[str, str] = {}
        self._tally = Tally(
            me,
            life,
            lambda session: self._channels.get(session, ""),
            self._limits.rung_kbps,
            ShardRules(),
            now,
        )
        self._loads: dict[str, tuple[FrontLoad, float]] = {}
        self._publish_at = now
        self._published, self._published_sessions = b"", 0

    def on_session_status(self, now: float, standing: SessionStatus, channel: str) -> None:
        """Adds a playing session to the load of this front."""
        self._channels[standing.session] = channel
        self._tally.stands(now, standing)

    def on_session_ended(self, now: float, session: str) -> None:
        """Removes an ended session from the load of this front."""
        self._tally.over(now, session)
        self._channels.pop(session, None)

    def publish(self, now: float, epoch: int) -> bytes | None:
        """Returns the load of this front for publication; None if it is not time, or nothing changed."""
        # The estimates of peers allow for growth by a few sessions; a larger change is published at once.
        has_changed = abs(len(self._channels) - self._published_sessions) > _MAX_UNPUBLISHED_CHANGE
        if now < self._publish_at and not has_changed:
            return None
        self._publish_at, self._published_sessions = now + _PUBLISH_INTERVAL_MS, len(self._channels)
        data = self._tally.load(now, epoch, self._limits.budget_free)
        self._loads[self.me] = (read_load(self.me, self.life, data, 0.0), now)
        if data == self._published:
            return None
        self._published = data
        return data

    def on_load(self, now: float, owner: str, life: int, data: bytes) -> None:
        """Stores the load of a peer; a malformed load is discarded."""
        if len(self._loads) >= _MAX_FRONTS and owner not in self._loads:
            return
        try:
            self._loads[owner] = (read_load(owner, life, data, 0.0), now)
        except (ValueError, msgspec.DecodeError):
            self._loads.pop(owner, None)

    def on_front_gone(self, owner: str) -> None:
        """Removes the load of a peer that is gone."""
        self._loads.pop(owner, None)

    def estimate(self, now: float, plain: Mapping[str, Any], fronts: Mapping[str, int]) -> dict[str, Any]:
        """Returns the estimate of an order and its first wave as JSON data, or the error in the order."""
        try:
            asked = msgspec.convert(dict(plain), _Drain | _Raise | _Restart | _Move)
        except msgspec.ValidationError as error:
            return {"ok": False, "error": str(error)}
        order, fleet = _order(asked), self._fleet_view(now, fronts)
        impact = weigh(order, fleet, OrderRules())
        limit = asked.limit
        rules = WaveRules(Cost(limit.sessions, limit.setups_s, limit.ration, limit.uplink), small=1.0)
        waves = in_waves(order, lambda: fleet, OrderRules(), rules)
        wave = waves.next(now)
        return {
            "sessions": _plain(impact.sessions), "channels": _plain(impact.channels),
            "fronts": _plain(impact.fronts), "setups_s": _plain(impact.setups_s),
            "uplinks_kbps": {rack: _plain(bound) for rack, bound in impact.uplinks},
            "ration": _plain(impact.ration), "state_bytes": _plain(impact.state),
            "age_ms": round(impact.age_ms, 1), "missing": list(impact.missing),
            "first_wave": list(wave.units) if wave is not None else [], "left": waves.left, "why": waves.why,
        }  # fmt: skip

    def _fleet_view(self, now: float, fronts: Mapping[str, int]) -> FleetView:
        loads = [
            replace(load, age_ms=load.age_ms + max(now - received_at, 0.0))
            for name, (load, received_at) in self._loads.items()
            if name in fronts
        ]
        load_kbps: dict[int, float] = {}
        for load in loads:
            for box in load.boxes:
                load_kbps[box.box] = load_kbps.get(box.box, 0.0) + box.kbps
        racks = tuple(
            RackView(rack, boxes, uplink, sum(load_kbps.get(box, 0.0) for box in boxes))
            for rack, boxes, uplink in self._port.racks()
        )
        limits = self._limits
        ration = Ration(limits.budget_span_ms, limits.budget_free, limits.budget_share)
        return FleetView(tuple(loads), racks, ration, tuple(fronts), max(limits.rung_kbps, default=1_000.0))


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
