"""What all simulated boxes of a site share: ladder, classes, lessons, racks and their uplinks, keys."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from fernweir.dash.build import Title, build_mpd
from fernweir.tokens import Keyring


@dataclass(frozen=True, slots=True)
class SiteClass:
    name: str
    scale: float = 1.0
    floor: int = 0
    seats: int = 0
    deadline_ms: float = 3000.0
    effect: str = "repeatable"
    when_silent: str = "refuse"


@dataclass(frozen=True, slots=True)
class Cold:
    """A box that has just started falls over when sent `multiple` times its pace over a window."""

    warm_up_ms: float
    cold_from: float
    multiple: float
    window_ms: float


@dataclass(frozen=True, slots=True)
class SiteTimes:
    """Milliseconds: how often boxes tell, how late reports are, how long an unwatched session is kept.

    `orphan` holds for a session that ends with its front, `heirless` for one whose channel may be inherited;
    `overlap` is how long a front that was followed by another may still steer.
    """

    tell: float = 2000.0
    seen_after: float = 300.0
    set_up: tuple[float, float] = (8.0, 40.0)
    idle: float = 10_000.0
    orphan: float = 3_000.0
    heirless: float = 30_000.0
    overlap: float = 1_000.0


@dataclass(slots=True)
class Rack:
    """One rack's uplink, and what it carried lately, newest last: (seconds, load)."""

    uplink_kb: float
    asked_kb: float = 0.0
    history: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=256))

    @property
    def load(self) -> float:
        return self.asked_kb / self.uplink_kb


@dataclass(slots=True)
class Site:
    ladder_kb: tuple[float, ...]
    classes: dict[str, SiteClass]
    keyring: Keyring
    racks: list[Rack]
    audience: str = "fernweir-box"
    cold: Cold | None = None
    times: SiteTimes = field(default_factory=SiteTimes)
    lesson_s: float = 60.0
    segment_s: float = 1.0
    wall_offset_s: float = 0.0
    report_late_ms: float = 0.0
    _manifests: dict[tuple[str, str], bytes] = field(default_factory=dict)

    def manifest(self, title: str, cls: str) -> bytes:
        """The whole ladder of a title, as a box holds it; the front cuts it to what a viewer may use."""
        key = (title, cls)
        if key not in self._manifests:
            scale = self.classes[cls].scale
            rates = [round(kb * scale * 8000) for kb in self.ladder_kb]
            self._manifests[key] = build_mpd(Title(title, self.lesson_s, self.segment_s, rates)).write()
        return self._manifests[key]

    def rate_kb(self, cls: str, rung: int) -> float:
        return self.ladder_kb[rung] * self.classes[cls].scale


def as_of(history: deque[tuple[float, float]], when: float) -> float:
    """The newest value not newer than `when`; the oldest there is if all are newer."""
    value = history[0][1] if history else 0.0
    for at, level in history:
        if at > when:
            break
        value = level
    return value
