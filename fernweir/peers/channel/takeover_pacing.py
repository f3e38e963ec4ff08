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
    gap = 1_000.0 * max(successors, 1) / rules.claims_a_second
    free_at = ration_at = 0.0
    boxes: dict[int, float] = {}
    after: list[tuple[float, str]] = []
    for loss in sorted(channels, key=lambda one: (-one.sessions, -one.age_ms, one.channel)):
        start = max([free_at, ration_at, *(boxes.get(box, 0.0) for box in loss.boxes)])
        after.append((start, loss.channel))
        free_at = start + 1_000.0 * loss.sessions / rules.sessions_a_second
        ration_at = start + 1_000.0 * loss.doubtful / rules.doubtful_a_second
        for box in loss.boxes:
            boxes[box] = start + gap
    jitter = Random(f"spread {seed}").uniform(
        0.0, min(1_000.0 / rules.claims_a_second, rules.within_ms / 4.0)
    )
    longest = max((start for start, _ in after), default=0.0)
    room = rules.within_ms - jitter
    squeeze = min(1.0, room / longest) if longest > 0.0 else 1.0
    return [ScheduledTakeover(now + jitter + start * squeeze, channel) for start, channel in sorted(after)]
