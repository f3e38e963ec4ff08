"""Answers operators' queries from the state projection and the journal, without I/O."""

from __future__ import annotations

from bisect import bisect_right
from itertools import islice
from typing import Any

from fernweir.control.messages import ExplainSession, ListServers, ListSessions, SearchEvents
from fernweir.journal.events import to_row
from fernweir.journal.segment import Query
from fernweir.journal.state_projection import SessionRow, StateProjection
from fernweir.journal.store import Journal

_FILTER_FIELDS = ("what", "box", "lesson", "tenant", "cls", "why", "front")


def list_sessions(projection: StateProjection, request: ListSessions) -> dict[str, Any]:
    """Returns one page of sessions; `next` is there if more follow."""
    keys = sorted(projection.sessions)
    rows: list[dict[str, Any]] = []
    start = bisect_right(keys, request.after) if request.after else 0
    for index in range(start, len(keys)):
        row = projection.sessions[keys[index]]
        if _matches(row, request):
            if len(rows) == request.limit:
                return {"rows": rows, "next": f"{rows[-1]['front']}/{rows[-1]['session']}"}
            rows.append(row.to_plain())
    return {"rows": rows}


def _matches(row: SessionRow, request: ListSessions) -> bool:
    return (
        (request.box is None or row.server == request.box)
        and (request.lesson is None or row.title == request.lesson)
        and (request.tenant is None or row.tenant == request.tenant)
        and (request.phase is None or row.phase == request.phase)
    )


def list_servers(projection: StateProjection, request: ListServers, gauges: dict[str, Any]) -> dict[str, Any]:
    """Returns one page of servers with their loads; `next` is there if more follow."""
    numbers = sorted(number for number in projection.servers if number > request.after)
    rows = []
    for number in numbers[: request.limit]:
        row = projection.servers[number]
        load = gauges.get("boxes", {}).get(str(number), [])
        rows.append({**row.to_plain(), "state": row.state, "load": load})
    next_page = {"next": numbers[request.limit - 1]} if len(numbers) > request.limit else {}
    return {"rows": rows, **next_page}


def session_entries(journal: Journal, request: ExplainSession) -> dict[str, Any]:
    """Returns a session's entries, oldest first; only the newest if there are more than the limit."""
    entries, _ = journal.search(Query(session=request.session), request.limit)
    return {"rows": [to_row(entry) for entry in reversed(entries)]}


def search_events(journal: Journal, request: SearchEvents) -> dict[str, Any]:
    """Returns the newest entries that match; `next` is there if older entries are left to search."""
    filters = {name: getattr(request, name) for name in _FILTER_FIELDS if getattr(request, name) is not None}
    query = Query(request.session, filters, request.since, request.until)
    entries, following = journal.search(query, request.limit, request.before)
    return {"rows": [to_row(entry) for entry in entries], **({"next": following} if following else {})}


def overview(projection: StateProjection, journal: Journal) -> dict[str, Any]:
    """Returns counts by kind, the orders in force, and the state of the journal."""
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
        "refusals": dict(
            islice(sorted(projection.refusals.items(), key=lambda item: (-item[1], item[0])), 50)
        ),
        "boxes": _count_states(projection),
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


def _count_states(projection: StateProjection) -> dict[str, int]:
    states: dict[str, int] = {}
    for row in projection.servers.values():
        states[row.state] = states.get(row.state, 0) + 1
    return states
