"""How large a fleet's day is, what is done to it, and the settings that its fronts get."""

from __future__ import annotations

from dataclasses import dataclass, field

from fernweir.rehearsal.fleet.paths import Manner
from fernweir.rehearsal.fleet.schedule import Fault, Kind
from fernweir.rehearsal.site import SitePlan
from fernweir.standin.site import SiteClass, SiteTimes

KEY_FILE = "fleet.key"
_KEEPERS = 5
_LESSONS = 8
_STOP_MS = 3_000.0
_WAY_MS = 100.0  # by how much a busy machine may delay what a process hears


@dataclass(frozen=True, slots=True)
class PeerPlan:
    """What stands in `[peers]` of each front. Times are ms."""

    parts: int = 4
    lease: float = 3_000.0
    overlap: float = 1_000.0
    drift: float = 0.01
    standbys: int = 2
    more: tuple[str, ...] = ()  # further lines

    def lines(
        self, number: int, fronts: int, listen: tuple[str, int], advertise: dict[int, tuple[str, int]]
    ) -> str:
        """Every front is a seed to all others, the first of them are the keepers."""
        keepers = min(_KEEPERS, fronts if fronts % 2 else fronts - 1)
        seeds = [f"{host}:{port}" for other, (host, port) in advertise.items() if other != number]
        host, port = advertise[number]
        return "\n".join([
            "[peers]", f"listen = {listen[0]}:{listen[1]}", f"advertise = {host}:{port}",
            f"seeds = {', '.join(seeds[:8])}", f"key = {KEY_FILE}",
            "keepers = " + ", ".join(f"front-{one}" for one in range(1, keepers + 1)),
            f"parts = {self.parts}", f"lease = {self.lease} ms", f"overlap = {self.overlap} ms",
            f"drift = {self.drift}", f"standbys = {self.standbys}", *self.more,
        ])  # fmt: skip


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Seconds, and viewers a second. Without `peers` the fronts don't know one another."""

    seed: int = 1
    fronts: int = 3
    boxes: int = 6
    seconds: float = 12.0
    rate: float = 4.0
    play_s: tuple[float, float] = (3.0, 7.0)
    segment_s: float = 1.0
    settle_s: float = 3.0
    asks_while_playing: float = 0.3
    peers: PeerPlan | None = field(default_factory=PeerPlan)
    paths: Manner = field(default_factory=Manner)
    faults: tuple[Fault, ...] | None = None  # None: drawn
    kinds: tuple[Kind, ...] = tuple(Kind)  # which are drawn
    nasty: float = 1.0

    def site(self) -> SitePlan:
        peers = self.peers or PeerPlan()
        times = SiteTimes(
            tell=1_000.0, seen_after=200.0, orphan=3_000.0, heirless=20_000.0, overlap=peers.overlap
        )
        standing = 3.0 * self.rate * self.play_s[1]  # with room for all of them at a third of the boxes
        classes = (
            SiteClass("briefing", 1.4, 1, seats=max(60, round(standing / _LESSONS)), deadline_ms=3_000.0),
            SiteClass("training", deadline_ms=4_000.0, when_silent="play"),
        )
        return SitePlan(
            boxes=self.boxes, racks=2, fronts=self.fronts, lessons=_LESSONS, classes=classes, times=times,
            streams=max(30, round(standing / self.boxes)),
            link_kb=4_000_000.0, uplink_kb=40_000_000.0, way_ms=_WAY_MS,
            front_extra=f"stop-within = {_STOP_MS + peers.overlap} ms",
        )  # fmt: skip
