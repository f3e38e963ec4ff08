"""The views, as lines of text: the same on a screen, from a script and in a test."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from fernweir.console.live import ConsoleState
from fernweir.console.text import bar, clean, clock, fit, row, sparkline
from fernweir.journal.events import ANSWERS, Entry, EventKind
from fernweir.journal.state_projection import ServerRow, SessionRow

_SESSION_COLUMNS = (20, 8, 16, 10, 4, 4, 8)
_BOX_COLUMNS = (-4, 15, -5, -4, 12, 12, 8, 8)


@dataclass(frozen=True, slots=True)
class RowFilter:
    """What of a list is wanted: rows that have `search` in any cell, and those of given fields."""

    search: str = ""
    sort: str = ""
    equal: Mapping[str, str] | None = None

    def takes(self, cells: Mapping[str, object]) -> bool:
        if self.equal and any(str(cells.get(name, "")) != value for name, value in self.equal.items()):
            return False
        return not self.search or any(self.search.lower() in str(cell).lower() for cell in cells.values())


@dataclass(frozen=True, slots=True)
class View:
    """A head of fixed lines, and rows that scroll; `keys` name the rows for commands."""

    head: list[str]
    rows: list[str]
    keys: list[str]


def overview(shown: ConsoleState, columns: int = 80) -> View:
    projection, gauges = shown.projection, shown.gauges
    phases = Counter(one.phase for one in projection.sessions.values())
    worth, most = gauges.get("worth", 0.0), gauges.get("worth_most", 0.0)
    served = f"worth {100.0 * worth / most:.0f}% of {most:.1f}" if most else "worth -"
    lines = [
        f"sessions  {phases['playing']} playing, {phases['out']} out, {phases['asked']} asked    {served}"
        f"    {gauges.get('waiting', 0)} waiting",
        "answers   " + "  ".join(f"{kind} {projection.answers[kind]}" for kind in ANSWERS),
    ]
    spans = max(min(columns - 34, 40), 8)
    for kind in (EventKind.PLAYS, EventKind.REFUSED, EventKind.FAILED):
        series = shown.history.series(kind, projection.at, spans)
        lines.append(f"  {kind:<8} {sparkline(series, spans)}  {series[-1] if series else 0:.0f} in 5 s")
    reasons = sorted(projection.refusals.items(), key=lambda one: (-one[1], one[0]))
    lines.append("turned    " + (" | ".join(f"{why} {count}" for why, count in reasons[:3]) or "nobody away"))
    states = Counter(one.state for one in projection.servers.values())
    silent = sum(one.silent for one in projection.servers.values())
    lines.append("boxes     " + (", ".join(f"{states[s]} {s}" for s in sorted(states)) or "none")
                 + (f", {silent} silent" if silent else ""))  # fmt: skip
    lines.append("fronts    " + (", ".join(f"{name} since {clock(at)}" for name, at
                                           in sorted(projection.fronts.items())) or "none"))  # fmt: skip
    lines += _orders(shown)
    rows = _loads(shown, columns)
    head = [fit(line, columns).rstrip() for line in [*lines, ""]]
    return View(head, rows, [""] * len(rows))


def _orders(shown: ConsoleState) -> list[str]:
    projection = shown.projection
    said = [f"box {one.server} drained by {one.drained_by}" for one in sorted_boxes(shown) if one.drained_by]
    said += [f"{lesson} held by {by}" for lesson, by in sorted(projection.holds.items())]
    said += [f"limit {most} for {what}" for what, most in sorted(projection.caps.items())]
    lines = ["orders    " + ("; ".join(said) or "none")]
    if shown.journal_fault:
        lines.append(f"journal   NOT KEPT: {shown.journal_fault}")
    return lines


def _loads(shown: ConsoleState, columns: int) -> list[str]:
    loads = shown.gauges.get("boxes", {})
    size = max(min((columns - 26) // 2, 24), 6)
    rows: list[str] = []
    for number, load in sorted(loads.items(), key=lambda one: int(one[0])):
        there = f"box {int(number):>3} link {_load(load, 0, size)}"
        rows.append(f"{there}  rack {load[2]} {_load(load, 1, size)}")
    return [fit(line, columns).rstrip() for line in rows]


def _load(load: list[float], which: int, size: int) -> str:
    """A bar and its share; `?` behind what nobody told lately, so that the module guesses."""
    sure = load[3 + which]
    return f"{bar(load[which], size)}{load[which]:>5.0%}{' ' if sure else '?'}"


def sessions(shown: ConsoleState, choice: RowFilter | None = None, columns: int = 80) -> View:
    choice = choice or RowFilter()
    found = [one for one in shown.projection.sessions.values() if choice.takes(_session_cells(one))]
    orders: dict[str, Callable[[SessionRow], object]] = {
        "box": lambda one: (one.server, one.session),
        "lesson": lambda one: (one.title, one.session),
        "rung": lambda one: (-one.rung, one.session),
        "since": lambda one: (one.since, one.session),
        "phase": lambda one: (one.phase, one.session),
    }
    found.sort(key=orders.get(choice.sort, lambda one: (one.session, one.front)))  # type: ignore[arg-type]
    sizes = _spread(_SESSION_COLUMNS, columns, 0)
    head = [row(("session", "phase", "lesson", "class", "box", "rung", "since"), sizes)]
    rows = [row(_session_row(one), sizes) for one in found]
    return View(head, rows or ["none"], [one.session for one in found] or [""])


def _session_cells(one: SessionRow) -> dict[str, object]:
    return {
        "session": one.session, "phase": one.phase, "lesson": one.title, "cls": one.cls,
        "tenant": one.tenant, "box": one.server, "rung": one.rung, "front": one.front,
    }  # fmt: skip


def _session_row(one: SessionRow) -> tuple[str, ...]:
    box = str(one.server) if one.server >= 0 else "-"
    rung = str(one.rung) if one.rung >= 0 else "-"
    return one.session, one.phase, one.title, one.cls, box, rung, clock(one.since)


def boxes(shown: ConsoleState, choice: RowFilter | None = None, columns: int = 80) -> View:
    choice = choice or RowFilter()
    loads = shown.gauges.get("boxes", {})

    def load(one: ServerRow) -> list[float]:
        return list(loads.get(str(one.server), [0.0, 0.0, 0, 0, 0]))

    found = [
        one
        for one in sorted_boxes(shown)
        if choice.takes({"box": one.server, "state": one.state, "by": one.drained_by})
    ]
    if choice.sort == "link":
        found.sort(key=lambda one: (-load(one)[0], one.server))
    elif choice.sort in ("playing", "out"):
        found.sort(key=lambda one: (-getattr(one, choice.sort), one.server))
    elif choice.sort == "state":
        found.sort(key=lambda one: (one.state, one.server))
    sizes = _spread(_BOX_COLUMNS, columns, 7)
    head = [row(("box", "state", "plays", "out", "link", "uplink", "list", "drained by"), sizes)]
    rows = []
    for one in found:
        state = one.state + (" SILENT" if one.silent else "")
        cells = (str(one.server), state, str(one.playing), str(one.out), _load(load(one), 0, 6),
                 _load(load(one), 1, 6), one.listed, one.drained_by)  # fmt: skip
        rows.append(row(cells, sizes))
    return View(head, rows or ["none"], [str(one.server) for one in found] or [""])


def refusals(shown: ConsoleState, choice: RowFilter | None = None, columns: int = 80) -> View:
    choice = choice or RowFilter()
    found = sorted(shown.projection.refusals.items(), key=lambda one: (-one[1], one[0]))
    found = [one for one in found if choice.takes({"why": one[0]})]
    total = sum(shown.projection.refusals.values())
    head = [row(("count", "share", "reason"), (-7, -6, columns - 15))]
    rows = [
        row((str(count), f"{count / max(total, 1):.0%}", why), (-7, -6, columns - 15)) for why, count in found
    ]
    return View(head, rows or ["none"], [why for why, _ in found] or [""])


def log(shown: ConsoleState, choice: RowFilter | None = None, columns: int = 80) -> View:
    """The newest entries first."""
    choice = choice or RowFilter()
    rows, keys = [], []
    for entry in reversed(shown.history.entries):
        line = describe(entry)
        if choice.takes({"line": line}):
            rows.append(fit(line, columns).rstrip())
            keys.append(entry.session)
    return View([fit("time     what", columns).rstrip()], rows or ["none"], keys or [""])


def describe(entry: Entry) -> str:
    """One entry in a line."""
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
    """One session's life, with the boxes that were passed over."""
    rows = []
    for entry in entries:
        rows.append(fit(describe(entry), columns).rstrip())
        for box, kept_out in entry.more.get("passed", []):
            rows.append(fit(f"           passed box {box}: {kept_out}", columns).rstrip())
        if entry.what is EventKind.SETUP and "link" in entry.more:
            link, uplink = entry.more["link"], entry.more["uplink"]
            rows.append(f"           link at {link:.0%}, uplink at {uplink:.0%}")
    return View(["the life of one session"], rows or ["the journal has nothing on it"], [""] * len(rows))


def title(shown: ConsoleState, columns: int = 80) -> str:
    """The first line of every screen: whose picture, and how true it is."""
    left = f"{shown.name or '?'}  {shown.freshness()}" + ("" if shown.may_act else "  (may look only)")
    if shown.missed_count:
        left += f"  caught up {shown.missed_count}x"
    right = f"{clock(shown.projection.at)} UTC  #{shown.projection.number}"
    return fit(left, max(columns - len(right) - 1, 1)) + " " + right


def sorted_boxes(shown: ConsoleState) -> list[ServerRow]:
    return [shown.projection.servers[number] for number in sorted(shown.projection.servers)]


def _spread(sizes: tuple[int, ...], columns: int, grows: int) -> list[int]:
    """Columns of a table, one of which takes what is over."""
    spread = list(sizes)
    over = columns - sum(abs(size) for size in sizes) - (len(sizes) - 1)
    spread[grows] = max(spread[grows] + over, 4)
    return spread


VIEWS: dict[str, Callable[[ConsoleState, RowFilter, int], View]] = {
    "overview": lambda shown, choice, columns: overview(shown, columns),
    "sessions": sessions,
    "boxes": boxes,
    "refusals": refusals,
    "log": log,
}
SORTS = {
    "sessions": ("session", "box", "lesson", "rung", "since", "phase"),
    "boxes": ("box", "link", "playing", "out", "state"),
}
