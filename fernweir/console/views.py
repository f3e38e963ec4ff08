"""The views as lines of text, the same on a screen, in a script and in a test."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from fernweir.console.state import ConsoleState
from fernweir.console.text import bar, clean, clock, fit, row, sparkline
from fernweir.journal.events import ANSWERS, Entry, EventKind
from fernweir.journal.state_projection import ServerRow, SessionRow

_SESSION_COLUMNS = (20, 8, 16, 10, 4, 4, 8)
_SERVER_COLUMNS = (-4, 15, -5, -4, 12, 12, 8, 8)


@dataclass(frozen=True, slots=True)
class RowFilter:
    """Selects rows with `search` in any cell and the field values in `equal`, and sorts them by `sort`."""

    search: str = ""
    sort: str = ""
    equal: Mapping[str, str] | None = None

    def matches(self, cells: Mapping[str, object]) -> bool:
        """Whether a row with these cells is selected."""
        if self.equal and any(str(cells.get(name, "")) != value for name, value in self.equal.items()):
            return False
        return not self.search or any(self.search.lower() in str(cell).lower() for cell in cells.values())


@dataclass(frozen=True, slots=True)
class View:
    """A head of fixed lines, and rows that scroll. `keys` has the session, server or reason of each row."""

    head: list[str]
    rows: list[str]
    keys: list[str]


def overview(state: ConsoleState, columns: int = 80) -> View:
    """Counts by kind, orders in force, and the load of each server."""
    projection, gauges = state.projection, state.gauges
    phases = Counter(one.phase for one in projection.sessions.values())
    utility, max_utility = gauges.get("worth", 0.0), gauges.get("worth_most", 0.0)
    served = f"worth {100.0 * utility / max_utility:.0f}% of {max_utility:.1f}" if max_utility else "worth -"
    lines = [
        f"sessions  {phases['playing']} playing, {phases['out']} out, {phases['asked']} asked    {served}"
        f"    {gauges.get('waiting', 0)} waiting",
        "answers   " + "  ".join(f"{kind} {projection.answers[kind]}" for kind in ANSWERS),
    ]
    span_count = max(min(columns - 34, 40), 8)
    for kind in (EventKind.PLAYS, EventKind.REFUSED, EventKind.FAILED):
        series = state.history.series(kind, projection.at, span_count)
        lines.append(f"  {kind:<8} {sparkline(series, span_count)}  {series[-1] if series else 0:.0f} in 5 s")
    reasons = sorted(projection.refusals.items(), key=lambda one: (-one[1], one[0]))
    lines.append("turned    " + (" | ".join(f"{why} {count}" for why, count in reasons[:3]) or "nobody away"))
    states = Counter(one.state for one in projection.servers.values())
    silent = sum(one.silent for one in projection.servers.values())
    lines.append("boxes     " + (", ".join(f"{states[s]} {s}" for s in sorted(states)) or "none")
                 + (f", {silent} silent" if silent else ""))  # fmt: skip
    lines.append("fronts    " + (", ".join(f"{name} since {clock(at)}" for name, at
                                           in sorted(projection.fronts.items())) or "none"))  # fmt: skip
    lines += _order_lines(state)
    rows = _load_rows(state, columns)
    head = [fit(line, columns).rstrip() for line in [*lines, ""]]
    return View(head, rows, [""] * len(rows))


def _order_lines(state: ConsoleState) -> list[str]:
    projection = state.projection
    parts = [
        f"box {one.server} drained by {one.drained_by}" for one in sorted_servers(state) if one.drained_by
    ]
    parts += [f"{title_name} held by {by}" for title_name, by in sorted(projection.holds.items())]
    parts += [f"limit {limit} for {what}" for what, limit in sorted(projection.caps.items())]
    lines = ["orders    " + ("; ".join(parts) or "none")]
    if state.journal_fault:
        lines.append(f"journal   NOT KEPT: {state.journal_fault}")
    return lines


def _load_rows(state: ConsoleState, columns: int) -> list[str]:
    loads = state.gauges.get("boxes", {})
    size = max(min((columns - 26) // 2, 24), 6)
    rows: list[str] = []
    for number, load in sorted(loads.items(), key=lambda one: int(one[0])):
        server_load = f"box {int(number):>3} link {_load_bar(load, 0, size)}"
        rows.append(f"{server_load}  rack {load[2]} {_load_bar(load, 1, size)}")
    return [fit(line, columns).rstrip() for line in rows]


def _load_bar(load: list[float], index: int, size: int) -> str:
    """Returns a bar and its percentage, with a `?` if the load is an estimate without a recent report."""
    is_reported = load[3 + index]
    return f"{bar(load[index], size)}{load[index]:>5.0%}{' ' if is_reported else '?'}"


def sessions(state: ConsoleState, row_filter: RowFilter | None = None, columns: int = 80) -> View:
    """The live sessions."""
    row_filter = row_filter or RowFilter()
    matching = [one for one in state.projection.sessions.values() if row_filter.matches(_session_cells(one))]
    sort_keys: dict[str, Callable[[SessionRow], object]] = {
        "box": lambda one: (one.server, one.session),
        "lesson": lambda one: (one.title, one.session),
        "rung": lambda one: (-one.rung, one.session),
        "since": lambda one: (one.since, one.session),
        "phase": lambda one: (one.phase, one.session),
    }
    matching.sort(key=sort_keys.get(row_filter.sort, lambda one: (one.session, one.front)))  # type: ignore[arg-type]
    sizes = _stretch_column(_SESSION_COLUMNS, columns, 0)
    head = [row(("session", "phase", "lesson", "class", "box", "rung", "since"), sizes)]
    rows = [row(_session_row(one), sizes) for one in matching]
    return View(head, rows or ["none"], [one.session for one in matching] or [""])


def _session_cells(one: SessionRow) -> dict[str, object]:
    return {
        "session": one.session, "phase": one.phase, "lesson": one.title, "cls": one.cls,
        "tenant": one.tenant, "box": one.server, "rung": one.rung, "front": one.front,
    }  # fmt: skip


def _session_row(one: SessionRow) -> tuple[str, ...]:
    server = str(one.server) if one.server >= 0 else "-"
    rung = str(one.rung) if one.rung >= 0 else "-"
    return one.session, one.phase, one.title, one.cls, server, rung, clock(one.since)


def boxes(state: ConsoleState, row_filter: RowFilter | None = None, columns: int = 80) -> View:
    """The servers with their loads."""
    row_filter = row_filter or RowFilter()
    loads = state.gauges.get("boxes", {})

    def load(one: ServerRow) -> list[float]:
        return list(loads.get(str(one.server), [0.0, 0.0, 0, 0, 0]))

    matching = [
        one
        for one in sorted_servers(state)
        if row_filter.matches({"box": one.server, "state": one.state, "by": one.drained_by})
    ]
    if row_filter.sort == "link":
        matching.sort(key=lambda one: (-load(one)[0], one.server))
    elif row_filter.sort in ("playing", "out"):
        matching.sort(key=lambda one: (-getattr(one, row_filter.sort), one.server))
    elif row_filter.sort == "state":
        matching.sort(key=lambda one: (one.state, one.server))
    sizes = _stretch_column(_SERVER_COLUMNS, columns, 7)
    head = [row(("box", "state", "plays", "out", "link", "uplink", "list", "drained by"), sizes)]
    rows = []
    for one in matching:
        state_text = one.state + (" SILENT" if one.silent else "")
        cells = (str(one.server), state_text, str(one.playing), str(one.out), _load_bar(load(one), 0, 6),
                 _load_bar(load(one), 1, 6), one.listed, one.drained_by)  # fmt: skip
        rows.append(row(cells, sizes))
    return View(head, rows or ["none"], [str(one.server) for one in matching] or [""])


def refusals(state: ConsoleState, row_filter: RowFilter | None = None, columns: int = 80) -> View:
    """The reasons for rejected requests, most frequent first."""
    row_filter = row_filter or RowFilter()
    matching = sorted(state.projection.refusals.items(), key=lambda one: (-one[1], one[0]))
    matching = [one for one in matching if row_filter.matches({"why": one[0]})]
    total = sum(state.projection.refusals.values())
    head = [row(("count", "share", "reason"), (-7, -6, columns - 15))]
    rows = [
        row((str(count), f"{count / max(total, 1):.0%}", why), (-7, -6, columns - 15))
        for why, count in matching
    ]
    return View(head, rows or ["none"], [why for why, _ in matching] or [""])


def log(state: ConsoleState, row_filter: RowFilter | None = None, columns: int = 80) -> View:
    """The journal entries, newest first."""
    row_filter = row_filter or RowFilter()
    rows, keys = [], []
    for entry in reversed(state.history.entries):
        line = describe(entry)
        if row_filter.matches({"line": line}):
            rows.append(fit(line, columns).rstrip())
            keys.append(entry.session)
    return View([fit("time     what", columns).rstrip()], rows or ["none"], keys or [""])


def describe(entry: Entry) -> str:
    """Returns an entry as one line."""
    parts = [clock(entry.at), f"{entry.what:<10}"]
    if entry.session:
        parts.append(entry.session)
    if entry.title:
        parts.append(entry.title)
    if entry.server >= 0:
        parts.append(f"box {entry.server}")
    if entry.rung >= 0:
        parts.append(f"rung {entry.rung}")
    text = " ".join(parts)
    detail = entry.more.get("detail")
    why = f"{entry.why} ({detail})" if detail else entry.why
    return clean(f"{text}: {why}" if why else text)


def why(entries: list[Entry], columns: int = 80) -> View:
    """The entries of one session, with the servers that were passed over."""
    rows = []
    for entry in entries:
        rows.append(fit(describe(entry), columns).rstrip())
        for server, reason in entry.more.get("passed", []):
            rows.append(fit(f"           passed box {server}: {reason}", columns).rstrip())
        if entry.what is EventKind.SETUP and "link" in entry.more:
            link, uplink = entry.more["link"], entry.more["uplink"]
            rows.append(f"           link at {link:.0%}, uplink at {uplink:.0%}")
    return View(["the life of one session"], rows or ["the journal has nothing on it"], [""] * len(rows))


def title(state: ConsoleState, columns: int = 80) -> str:
    """Returns the first line of every screen: the name of the front or unit, and how old the data is."""
    left = f"{state.name or '?'}  {state.freshness()}" + ("" if state.may_act else "  (may look only)")
    if state.missed_count:
        left += f"  caught up {state.missed_count}x"
    right = f"{clock(state.projection.at)} UTC  #{state.projection.number}"
    return fit(left, max(columns - len(right) - 1, 1)) + " " + right


def sorted_servers(state: ConsoleState) -> list[ServerRow]:
    return [state.projection.servers[number] for number in sorted(state.projection.servers)]


def _stretch_column(sizes: tuple[int, ...], columns: int, column: int) -> list[int]:
    """Returns the widths of a table's columns, one of which takes the spare width."""
    widths = list(sizes)
    spare = columns - sum(abs(size) for size in sizes) - (len(sizes) - 1)
    widths[column] = max(widths[column] + spare, 4)
    return widths


VIEWS: dict[str, Callable[[ConsoleState, RowFilter, int], View]] = {
    "overview": lambda state, row_filter, columns: overview(state, columns),
    "sessions": sessions,
    "boxes": boxes,
    "refusals": refusals,
    "log": log,
}
SORTS = {
    "sessions": ("session", "box", "lesson", "rung", "since", "phase"),
    "boxes": ("box", "link", "playing", "out", "state"),
}
