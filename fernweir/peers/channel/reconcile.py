"""What a copy and the boxes' own lists say together of a channel's sessions; free of I/O and time.

A standing was written when its box had answered, so the copy proves that attempt n of a session stood at
box a. A box's list has ids, attempts and rungs only. `n` is the copy's attempt, `m` the list's.

| copy | box a (the copy's) | another box b | what follows |
| --- | --- | --- | --- |
| (a, n) | lists n | | take, with the box's rung: it changed in the last moments, or did not arrive |
| (a, n) | lists m > n | | take m: the box held a further attempt before the copy heard of it |
| (a, n) | lists m < n | | give up m at a, over: what the copy proves is gone, what is there is no one's |
| (a, n) | not listed | no list has m > n | over |
| (a, n), may have moved | not listed | no list has m > n, some box is silent | unknown: it may be there |
| (a, n) | any | lists m > n | moved in the last moments: take m at b, give up what a lists |
| (a, n) | not reached | lists m > n | take m at b; should a answer later and list it, give it up there |
| (a, n) | any | lists m <= n | an earlier attempt left over: give up at b, the row for a as above |
| (a, n) | not reached | no list has m > n | unknown: in doubt until a answers or its time has passed |
| none | lists m | | give up: neither its viewer nor its lesson can be proved, and no one else would end it |

Of several boxes with m > n the highest attempt is taken; the same at two boxes goes to the copy's, else to
the lower number. A box that refused the claim knows a higher fence: the channel is another's, and nothing
follows for anyone.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from fernweir.peers.port import ClaimResult, SessionStatus


@dataclass(frozen=True, slots=True)
class Reconciled:
    """`give_up`: (box, session, attempt), to be released there. `outdone`: the highest fence of a box that
    refused, or 0; then all else is empty."""

    take: tuple[SessionStatus, ...] = ()
    over: tuple[str, ...] = ()
    give_up: tuple[tuple[int, str, int], ...] = ()
    unknown: tuple[SessionStatus, ...] = ()
    higher_fence: int = 0


def reconcile(
    statuses: Mapping[str, SessionStatus], results: Sequence[ClaimResult], possibly_moved: Container[str] = ()
) -> Reconciled:
    """See the table. Of several answers of one box the last that reached it counts.

    `elsewhere`: sessions that may have moved since they were copied, to a box that has not told.
    """
    answers = {claimed.box: claimed for claimed in results if claimed.reached}
    refused = [claimed.fence for claimed in answers.values() if not claimed.accepted]
    if refused:
        return Reconciled(higher_fence=max(refused))
    listed: dict[str, list[tuple[int, int, int]]] = {}
    for box in sorted(answers):
        for session, attempt, rung in answers[box].sessions:
            listed.setdefault(session, []).append((box, attempt, rung))
    take: list[SessionStatus] = []
    over: list[str] = []
    unknown: list[SessionStatus] = []
    give_up: list[tuple[int, str, int]] = []
    for session, status in statuses.items():
        locations = listed.pop(session, [])
        best = _best_location(status, locations)
        give_up += [
            (box, session, attempt) for box, attempt, rung in locations if (box, attempt, rung) != best
        ]
        if best is not None:
            take.append(_with(status, best))
        elif status.box in answers and session not in possibly_moved:
            over.append(session)
        else:
            unknown.append(status)
    for session, locations in listed.items():
        give_up += [(box, session, attempt) for box, attempt, _ in locations]
    return Reconciled(tuple(take), tuple(over), tuple(give_up), tuple(unknown))


def boxes_of(statuses: Iterable[SessionStatus]) -> list[int]:
    """Boxes that these stand at, in order of their numbers."""
    return sorted({status.box for status in statuses})


def _best_location(
    status: SessionStatus, locations: Sequence[tuple[int, int, int]]
) -> tuple[int, int, int] | None:
    """The place that is the session's, of what the boxes list: (box, attempt, rung)."""
    candidates = [
        location
        for location in locations
        if location[1] > status.attempt or (location[0] == status.box and location[1] == status.attempt)
    ]
    return max(
        candidates, key=lambda location: (location[1], location[0] == status.box, -location[0]), default=None
    )


def _with(status: SessionStatus, location: tuple[int, int, int]) -> SessionStatus:
    """A standing as it is at its box."""
    box, attempt, rung = location
    return msgspec.structs.replace(status, box=box, attempt=attempt, rung=rung)
