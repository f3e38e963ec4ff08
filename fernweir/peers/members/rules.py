"""The rules of membership: times, how often news is repeated, and what bounds tables and datagrams."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemberRules:
    """Times in ms, sizes in bytes. Both times of a probe stretch while a front doubts itself.

    `period` lies between two probes and is what one probe may take; `timeout` lies between its four tries.
    A suspicion lasts `suspicion_least` times `period` times log10 of the fleet (at least 2) once
    `confirmations` others confirm it, and `suspicion_most` times that when nobody does. A dead member is
    shown for `forget`, and a tombstone keeps old news of it out for `tombstone` more.
    """

    period: float = 700.0
    timeout: float = 160.0
    helpers: int = 3  # asked at each further try of a probe
    suspicion_least: float = 1.2
    suspicion_most: float = 6.0
    confirmations: int = 3
    witnesses: float = 8.0  # on average this many of the fleet probe a suspect out of turn
    doubt_most: int = 4  # probes are at most this many times and one slower
    late_after: float = 350.0  # a timer this late makes a front doubt itself
    gossip_every: float = 150.0
    fanout: int = 3
    repeats: float = 2.0  # each front passes on a piece of news this many times log2 of the fleet plus two
    sync_every: float = 10_000.0
    join_every: float = 1_000.0  # while no other front is known alive
    rejoin_every: float = 10_000.0  # between tries to reach one dead member or absent seed
    contest: float = 15_000.0  # how long a silent front with the same name keeps its claim
    forget: float = 600_000.0
    tombstone: float = 3_600_000.0
    most: int = 2_048  # members in the table, and as many tombstones
    tables_a_second: float = 50.0
    datagram_bytes: int = 1_100  # of the members' message in one datagram
