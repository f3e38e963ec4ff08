"""When each of several channels is taken over after an unplanned loss, so that heirs and boxes bear it.

Most sessions first, then the oldest copy: there most viewers wait, or most is in doubt. Paced as leaky
buckets are (Turner 1986): by what this heir takes a second, by what each box may hear of claims (from all
heirs together), and by how many sessions may need a further attempt. Whatever the pace asks for, the last
begins within `within_ms`, so that no channel waits much longer than its lease.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from fernweir.peers.channel.rules import PacingRules


@dataclass(frozen=True, slots=True)
class LostChannel:
    """A channel that lapsed. `boxes` are those its copy names, `doubtful` how many sessions may not stand."""

    channel: str
    sessions: int
    boxes: tuple[int, ...] = ()
    age_ms: float = 0.0
    doubtful: int = 0


@dataclass(frozen=True, slots=True)
class ScheduledTakeover:
    at: float
    channel: str


def schedule_takeovers(
    now: float,
    channels: Iterable[LostChannel],
    rules: PacingRules | None = None,
    seed: int = 0,
    successors: int = 1,
) -> list[ScheduledTakeover]:
    """Each channel's time, in order; `heirs` is how many share the loss. The seed keeps heirs apart."""
    rules = rules or PacingRules()
    gap = 1_000.0 * max(successors, 1) / rules.claims_per_s
    capacity_free_at = attempts_free_at = 0.0
    boxes: dict[int, float] = {}
    starts: list[tuple[float, str]] = []
    for loss in sorted(channels, key=lambda one: (-one.sessions, -one.age_ms, one.channel)):
        start = max([capacity_free_at, attempts_free_at, *(boxes.get(box, 0.0) for box in loss.boxes)])
        starts.append((start, loss.channel))
        capacity_free_at = start + 1_000.0 * loss.sessions / rules.sessions_per_s
        attempts_free_at = start + 1_000.0 * loss.doubtful / rules.doubtful_per_s
        for box in loss.boxes:
            boxes[box] = start + gap
    jitter = Random(f"spread {seed}").uniform(0.0, min(1_000.0 / rules.claims_per_s, rules.deadline_ms / 4.0))
    longest = max((start for start, _ in starts), default=0.0)
    available_ms = rules.deadline_ms - jitter
    compression = min(1.0, available_ms / longest) if longest > 0.0 else 1.0
    return [
        ScheduledTakeover(now + jitter + start * compression, channel) for start, channel in sorted(starts)
    ]
