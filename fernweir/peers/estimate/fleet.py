"""What is known of the fleet when an order is weighed: plain data, put together by who joins the parts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BoxLoad:
    """A front's sessions at one box, and what they draw, by their rungs, in kB/s."""

    box: int
    sessions: int
    kbps: float


@dataclass(frozen=True, slots=True)
class ChannelLoad:
    channel: str
    sessions: int


@dataclass(frozen=True, slots=True)
class FrontLoad:
    """What a front told of what stands there, `age_ms` ago.

    `starts_s`, `ends_s`: highest rates of late, sessions a second. `epoch`: of its settings.
    """

    front: str
    epoch: int
    age_ms: float
    starts_s: float
    ends_s: float
    boxes: tuple[BoxLoad, ...]
    channels: tuple[ChannelLoad, ...]
    ration_left: float = 0.0  # further attempts that it may make in a span

    @property
    def sessions(self) -> int:
        return sum(one.sessions for one in self.boxes)

    @property
    def kbps(self) -> float:
        return sum(one.kbps for one in self.boxes)


@dataclass(frozen=True, slots=True)
class RackView:
    """Its boxes, and its uplink: what it can carry and carries now, kB/s."""

    rack: str
    boxes: frozenset[int]
    uplink_kbps: float
    used_kbps: float


@dataclass(frozen=True, slots=True)
class Ration:
    """Further attempts a front may make in any span, as its settings have it: free ones, and a share."""

    span_ms: float
    free: float
    share: float

    def most(self, sessions: float) -> float:
        return self.free + self.share * sessions


@dataclass(frozen=True, slots=True)
class FleetView:
    """`expected`: all fronts believed there; those without a load are missing and widen what is told."""

    fronts: tuple[FrontLoad, ...]
    racks: tuple[RackView, ...]
    ration: Ration
    expected: tuple[str, ...] = ()
    most_kbps: float = 1_000.0  # of one session, by the highest rung
    state_bytes: float = 512.0  # of a session, handed from front to front

    def missing(self) -> tuple[str, ...]:
        told = {front.front for front in self.fronts}
        return tuple(name for name in self.expected if name not in told)
