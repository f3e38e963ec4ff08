"""Reconciles the replica of a channel with the lists of the servers. Pure functions.

A status is written after its server has answered, so the replica proves that attempt n of a session ran at
server a. The list of a server has only ids, attempts and rungs. `n` is the attempt in the replica, `m` the
one in the list.

| replica | server a (of the replica) | another server b | decision |
| --- | --- | --- | --- |
| (a, n) | lists n | | take, with the rung of the server, which may be newer |
| (a, n) | lists m > n | | take m: the server got a further attempt before the replica was updated |
| (a, n) | lists m < n | | give up m at a, over: the proven attempt is gone, the listed one has no owner |
| (a, n) | not listed | no list has m > n | over |
| (a, n), may have moved | not listed | no list has m > n, some server is silent | unknown: may be there |
| (a, n) | any | lists m > n | migrated shortly before the loss: take m at b, give up the attempt at a |
| (a, n) | not reached | lists m > n | take m at b; if a answers later and lists it, give it up there |
| (a, n) | any | lists m <= n | a leftover of an earlier attempt: give up at b, the row for a as above |
| (a, n) | not reached | no list has m > n | unknown: in doubt until a answers or its time has passed |
| none | lists m | | give up: its viewer and title are unknown, and no other front would end it |

Among several servers with m > n the highest attempt is taken; if two servers have it, that of the replica,
else the one with the lower number. A server that refused the claim has a higher fence: another front owns the
channel, and there are no decisions.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from fernweir.peers.port import ClaimResult, SessionStatus


@dataclass(frozen=True, slots=True)
class Reconciled:
    """The decisions about the sessions of a channel.

    `give_up` has (server, session, attempt) to be released there. `higher_fence` is the highest fence of a
    server that refused, or 0; if it is set, all other fields are empty.
    """

    take: tuple[SessionStatus, ...] = ()
    over: tuple[str, ...] = ()
    give_up: tuple[tuple[int, str, int], ...] = ()
    unknown: tuple[SessionStatus, ...] = ()
    higher_fence: int = 0


def reconcile(
    statuses: Mapping[str, SessionStatus], results: Sequence[ClaimResult], possibly_moved: Container[str] = ()
) -> Reconciled:
    """Returns the decisions of the table. The last answer of a server that was reached counts.

    `possibly_moved` are sessions that may have moved to a silent server since they were replicated.
    """
    answers = {claimed.box: claimed for claimed in results if claimed.reached}
    refused = [claimed.fence for claimed in answers.values() if not claimed.accepted]
    if refused:
        return Reconciled(higher_fence=max(refused))
    listed: dict[str, list[tuple[int, int, int]]] = {}
    for server in sorted(answers):
        for session, attempt, rung in answers[server].sessions:
            listed.setdefault(session, []).append((server, attempt, rung))
    take: list[SessionStatus] = []
    over: list[str] = []
    unknown: list[SessionStatus] = []
    give_up: list[tuple[int, str, int]] = []
    for session, status in statuses.items():
        locations = listed.pop(session, [])
        best = _best_location(status, locations)
        give_up += [
            (server, session, attempt)
            for server, attempt, rung in locations
            if (server, attempt, rung) != best
        ]
        if best is not None:
            take.append(_with(status, best))
        elif status.box in answers and session not in possibly_moved:
            over.append(session)
        else:
            unknown.append(status)
    for session, locations in listed.items():
        give_up += [(server, session, attempt) for server, attempt, _ in locations]
    return Reconciled(tuple(take), tuple(over), tuple(give_up), tuple(unknown))


def servers_of(statuses: Iterable[SessionStatus]) -> list[int]:
    """Returns the numbers of the servers of these sessions, in ascending order."""
    return sorted({status.box for status in statuses})


def _best_location(
    status: SessionStatus, locations: Sequence[tuple[int, int, int]]
) -> tuple[int, int, int] | None:
    """Returns the valid location of the session among the listed ones, as (server, attempt, rung)."""
    candidates = [
        location
        for location in locations
        if location[1] > status.attempt or (location[0] == status.box and location[1] == status.attempt)
    ]
    return max(
        candidates, key=lambda location: (location[1], location[0] == status.box, -location[0]), default=None
    )


def _with(status: SessionStatus, location: tuple[int, int, int]) -> SessionStatus:
    """Returns the status with the location that its server listed."""
    server, attempt, rung = location
    return msgspec.structs.replace(status, box=server, attempt=attempt, rung=rung)
