"""Schedules takeovers after an unplanned loss, so that successors and servers are not overloaded.

Channels with most sessions come first, then those with the oldest replica: there most viewers wait, or most
sessions are in doubt. Leaky buckets (Turner 1986) limit the sessions per second of this successor, the claims
per second of each server from all successors together, and the sessions that may need another attempt. At any
rate, the last takeover starts within `deadline_ms`, so that no channel waits much longer than its lease.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from fernweir.peers.channel.rules import PacingRules


@dataclass(frozen=True, slots=True)
class LostChannel:
    """A channel that lost its owner.

    `boxes` are the servers in its replica, `doubtful` is the number of sessions that may not be running.
    """

    channel: str
    sessions: int
    boxes: tuple[int, ...] = ()
    age_ms: float = 0.0
    doubtful: int = 0


@dataclass(frozen=True, slots=True)
class ScheduledTakeover:
    """The start time of a takeover."""

    at: float
    channel: str


def schedule_takeovers(
    now: float,
    channels: Iterable[LostChannel],
    rules: PacingRules | None = None,
    seed: int = 0,
    successors: int = 1,
) -> list[ScheduledTakeover]:
    """Returns the start times in order, for one of `successors`. The seed separates the successors."""
    rules = rules or PacingRules()
    gap = 1_000.0 * max(successors, 1) / rules.claims_per_s
    capacity_free_at = attempts_free_at = 0.0
    servers: dict[int, float] = {}
    starts: list[tuple[float, str]] = []
    for loss in sorted(channels, key=lambda one: (-one.sessions, -one.age_ms, one.channel)):
        start = max(
            [capacity_free_at, attempts_free_at, *(servers.get(server, 0.0) for server in loss.boxes)]
        )
        starts.append((start, loss.channel))
        capacity_free_at = start + 1_000.0 * loss.sessions / rules.sessions_per_s
        attempts_free_at = start + 1_000.0 * loss.doubtful / rules.doubtful_per_s
        for server in loss.boxes:
            servers[server] = start + gap
    jitter = Random(f"spread {seed}").uniform(0.0, min(1_000.0 / rules.claims_per_s, rules.deadline_ms / 4.0))
    longest = max((start for start, _ in starts), default=0.0)
    available_ms = rules.deadline_ms - jitter
    compression = min(1.0, available_ms / longest) if longest > 0.0 else 1.0
    return [
        ScheduledTakeover(now + jitter + start * compression, channel) for start, channel in sorted(starts)
    ]
