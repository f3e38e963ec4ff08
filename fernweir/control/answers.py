"""Questions of operators answered from picture and journal; free of I/O."""

from __future__ import annotations

from bisect import bisect_right
from itertools import islice
from typing import Any

from fernweir.control.messages import ExplainSession, ListServers, ListSessions, SearchEvents
from fernweir.journal.events import to_row
from fernweir.journal.segment import Query
from fernweir.journal.state_projection import SessionRow, StateProjection
from fernweir.journal.store import Journal

_FIELDS = ("what", "box", "lesson", "tenant", "cls", "why", "front")


def sessions(projection: StateProjection, ask: ListSessions) -> dict[str, Any]:
    """One page; `next` is there if more follow."""
    keys = sorted(projection.sessions)
    rows: list[dict[str, Any]] = []
    at = bisect_right(keys, ask.after) if ask.after else 0
    for index in range(at, len(keys)):
        row = projection.sessions[keys[index]]
        if _wanted(row, ask):
            if len(rows) == ask.limit:
                return {"rows": rows, "next": f"{rows[-1]['front']}/{rows[-1]['session']}"}
            rows.append(row.to_plain())
    return {"rows": rows}


def _wanted(row: SessionRow, ask: ListSessions) -> bool:
    return (
        (ask.box is None or row.server == ask.box)
        and (ask.lesson is None or row.title == ask.lesson)
        and (ask.tenant is None or row.tenant == ask.tenant)
        and (ask.phase is None or row.phase == ask.phase)
    )


def boxes(projection: StateProjection, ask: ListServers, gauges: dict[str, Any]) -> dict[str, Any]:
    numbers = sorted(number for number in projection.servers if number > ask.after)
    rows = []
    for number in numbers[: ask.limit]:
        row = projection.servers[number]
        load = gauges.get("boxes", {}).get(str(number), [])
        rows.append({**row.to_plain(), "state": row.state, "load": load})
    more = {"next": numbers[ask.limit - 1]} if len(numbers) > ask.limit else {}
    return {"rows": rows, **more}


def why(journal: Journal, ask: ExplainSession) -> dict[str, Any]:
    """A session's entries, oldest first; of a very long life the newest."""
    found, _ = journal.search(Query(session=ask.session), ask.limit)
    return {"rows": [to_row(one) for one in reversed(found)]}


def events(journal: Journal, ask: SearchEvents) -> dict[str, Any]:
    equal = {name: getattr(ask, name) for name in _FIELDS if getattr(ask, name) is not None}
    question = Query(ask.session, equal, ask.since, ask.until)
    found, following = journal.search(question, ask.limit, ask.before)
    return {"rows": [to_row(one) for one in found], **({"next": following} if following else {})}


def overview(projection: StateProjection, journal: Journal) -> dict[str, Any]:
    phases = {"asked": 0, "out": 0, "playing": 0}
    for row in projection.sessions.values():
        phases[row.phase] += 1
    return {
        "number": projection.number,
        "at": projection.at,
        "fronts": dict(projection.fronts),
        "sessions": phases,
        "answers": dict(projection.answers),
        "by_class": dict(projection.by_class),
        "refusals": dict(islice(sorted(projection.refusals.items(), key=lambda one: (-one[1], one[0])), 50)),
        "boxes": _states(projection),
        "holds": dict(projection.holds),
        "caps": dict(projection.caps),
        "orders": projection.orders[-10:],
        "journal": {
            "first": journal.first,
            "last": journal.last,
            "bytes": journal.memory_bytes,
            "trouble": journal.fault,
        },
    }


def _states(projection: StateProjection) -> dict[str, int]:
    states: dict[str, int] = {}
    for row in projection.servers.values():
        states[row.state] = states.get(row.state, 0) + 1
    return states
