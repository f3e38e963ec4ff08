"""The settings of membership: times, repetitions of updates, and bounds of tables and datagrams."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemberRules:
    """Times in ms, sizes in bytes. Both times of a probe are longer while a front finds itself slow.

    `period_ms` is the time between two probes and the longest duration of one; `timeout_ms` is the time
    between its four attempts. A suspicion lasts `suspicion_min_periods` times `period_ms` times log10 of the
    fleet (at least 2) if `confirmations` others confirm it, and `suspicion_max_ratio` times that if nobody
    does. A dead member stays in the table for `forget_ms`, and a tombstone rejects old updates on it for
    `tombstone_ms` more.
    """

    period_ms: float = 700.0
    timeout_ms: float = 160.0
    helpers: int = 3  # asked at each further attempt of a probe
    suspicion_min_periods: float = 1.2
    suspicion_max_ratio: float = 6.0
    confirmations: int = 3
    witnesses: float = 8.0  # on average this many of the fleet probe a suspect out of turn
    max_health_score: int = 4  # the highest health score; probes are slower by a factor of at most one more
    late_after_ms: float = 350.0  # a timer this late raises the health score
    gossip_interval_ms: float = 150.0
    fanout: int = 3
    repeats: float = 2.0  # each front sends an update this many times log2 of the fleet plus two
    sync_interval_ms: float = 10_000.0
    join_interval_ms: float = 1_000.0  # while no other front is known alive
    rejoin_interval_ms: float = 10_000.0  # between attempts to contact one dead member or absent seed
    contest_ms: float = 15_000.0  # how long a silent front with the same name keeps the name
    forget_ms: float = 600_000.0
    tombstone_ms: float = 3_600_000.0
    max_members: int = 2_048  # members in the table, and as many tombstones
    tables_per_s: float = 50.0
    datagram_bytes: int = 1_100  # of a membership message in one datagram
