"""The console's screen, on Textual: the views of `views`, a cursor, a line for search and commands.

It is drawn anew twice a second and when a key is pressed, and only what fits is drawn, so that five thousand
sessions cost no more than twenty. Everything is done by keyboard; colours only repeat what words say.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any, ClassVar

from rich.text import Text
from textual.app import App, ComposeResult
from textual.binding import Binding, BindingType
from textual.containers import VerticalScroll
from textual.screen import ModalScreen
from textual.widgets import Input, Static

from fernweir.console import views
from fernweir.console.link import ConsoleClient
from fernweir.console.text import clean, fit
from fernweir.console.views import SORTS, VIEWS, RowFilter, View
from fernweir.control.client import ControlError
from fernweir.journal.events import from_row

_REFRESH_S = 0.5
_HELP = """\
1 2 3 4 5   overview, sessions, boxes, refusals, log      q  leave
up down     move; page up and page down by a screen, home and end
/           search in the view; an empty search shows all  s  sort by the next column

w           why: the life of the session at the cursor
d  u        drain, undrain the box at the cursor
h  n        hold, unhold the lesson of the session at the cursor
e           end the session at the cursor, with a reason
z           undo the last command

A drain that costs something says so first, and is done when you say yes to it.
The first line says how old the picture is; `live` means that it is true now.
"""


class _Page(ModalScreen[None]):
    """Lines that scroll, until a key leaves them."""

    BINDINGS: ClassVar[list[BindingType]] = [
        Binding("escape,q,question_mark,w", "app.pop_screen", "back"),
    ]
    DEFAULT_CSS = "_Page { align: center middle; } _Page VerticalScroll { background: $surface; }"

    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self._lines = lines

    def compose(self) -> ComposeResult:
        with VerticalScroll():
            yield Static(Text("\n".join([*self._lines, "", "escape: back"])), id="page")


class _Ask(ModalScreen[str | None]):
    """A line of text, or nothing if it was left by escape."""

    BINDINGS: ClassVar[list[BindingType]] = [Binding("escape", "leave", "back")]
    DEFAULT_CSS = "_Ask { align: center bottom; } _Ask Static { width: 100%; } _Ask Input { width: 100%; }"

    def __init__(self, prompt: str, value: str = "") -> None:
        super().__init__()
        self._prompt, self._value = prompt, value

    def compose(self) -> ComposeResult:
        yield Static(Text(clean(self._prompt)), id="prompt")
        yield Input(self._value, id="answer")

    def on_input_submitted(self, event: Input.Submitted) -> None:
        self.dismiss(event.value)

    def action_leave(self) -> None:
        self.dismiss(None)


class ConsoleApp(App[None]):
    """`where` is a unit's folder or a socket."""

    TITLE = "fernweir"
    ENABLE_COMMAND_PALETTE = False
    CSS = """
    #title { text-style: reverse; height: 1; }
    #title.stale { text-style: bold reverse; color: $warning; }
    #tabs { height: 1; }
    #body { height: 1fr; }
    #says { height: 1; text-style: bold; }
    """
    BINDINGS: ClassVar[list[BindingType]] = [
        *(Binding(str(index), f"view('{name}')", name) for index, name in enumerate(VIEWS, 1)),
        Binding("up", "move(-1)", show=False),
        Binding("down", "move(1)", show=False),
        Binding("pageup", "page(-1)", show=False),
        Binding("pagedown", "page(1)", show=False),
        Binding("home", "move(-1000000)", show=False),
        Binding("end", "move(1000000)", show=False),
        Binding("slash", "search", "search"),
        Binding("s", "sort", "sort"),
        Binding("w", "why", "why"),
        Binding("d", "box('drain')", "drain"),
        Binding("u", "box('undrain')", "undrain"),
        Binding("h", "lesson('hold')", "hold"),
        Binding("n", "lesson('unhold')", "unhold"),
        Binding("e", "end", "end"),
        Binding("z", "undo", "undo"),
        Binding("question_mark", "help", "help"),
        Binding("q", "quit", "leave"),
    ]

    def __init__(self, where: Path, operator: str) -> None:
        super().__init__()
        self._where, self._operator = where, operator
        self.view = "overview"
        self.choices = dict.fromkeys(VIEWS, RowFilter())
        self.cursor = 0
        self.top = 0
        self.says = "? for help"
        self.link: ConsoleClient | None = None
        self._last_id = ""
        self._shown_view = View([], [], [])
        self._key = ""

    def compose(self) -> ComposeResult:
        yield Static(id="title")
        yield Static(id="tabs")
        yield Static(id="body")
        yield Static(id="says")

    def on_mount(self) -> None:
        self.link = ConsoleClient(self._where, self._operator)
        self.link.start()
        self.set_interval(_REFRESH_S, self.draw)
        self.draw()

    def on_unmount(self) -> None:
        if self.link is not None:
            self.link.close()

    def on_resize(self) -> None:
        self.draw()

    # --- drawing ---

    def draw(self) -> None:
        """Everything, from what is known now."""
        if self.link is None or not self.query("#body"):
            return
        shown = self.link.refresh()
        columns, lines = max(self.size.width, 20), max(self.size.height - 3, 2)
        title = self.query_one("#title", Static)
        title.update(Text(views.title(shown, columns)))
        title.set_class(shown.freshness() != "live", "stale")
        self.query_one("#tabs", Static).update(Text(fit(self._tabs(), columns)))
        lists = self.view != "overview"  # whose rows have a cursor, in a column of its own
        view = VIEWS[self.view](shown, self.choices[self.view], columns - lists)
        self._shown_view = view
        self._keep_cursor(view)
        room = max(lines - len(view.head), 1)
        self.cursor = min(max(self.cursor, 0), max(len(view.rows) - 1, 0))
        self.top = min(max(self.top, self.cursor - room + 1, 0), self.cursor)
        indent = " " if lists else ""
        body = Text("".join(f"{indent}{line}\n" for line in view.head))
        for index, line in enumerate(view.rows[self.top : self.top + room], self.top):
            here = index == self.cursor and lists
            mark = ">" if here else indent
            body.append(fit(f"{mark}{line}", columns) + "\n", "bold" if here else "")
        body.right_crop(1)
        self.query_one("#body", Static).update(body)
        self.query_one("#says", Static).update(Text(fit(self.says, columns)))

    def _tabs(self) -> str:
        choice = self.choices[self.view]
        tabs = " ".join(
            f"[{index} {name}]" if name == self.view else f" {index} {name} "
            for index, name in enumerate(VIEWS, 1)
        )
        if len(tabs) > self.size.width:  # a narrow terminal: where one is comes first
            number = list(VIEWS).index(self.view) + 1
            tabs = f"[{number} {self.view}] 1-{len(VIEWS)}"
        extras = (f"  search: {choice.search}" if choice.search else "") + (
            f"  sort: {choice.sort}" if choice.sort else ""
        )
        rows = len(self._shown_view.rows)
        where = f"  {self.cursor + 1}/{rows}" if self.view != "overview" and rows > 1 else ""
        return tabs + where + extras

    def _keep_cursor(self, view: View) -> None:
        """The cursor stays with its row when others come and go above it."""
        if (
            self._key
            and self._key in view.keys
            and view.keys[min(self.cursor, len(view.keys) - 1)] != self._key
        ):
            self.cursor = view.keys.index(self._key)

    def _mark(self) -> None:
        keys = self._shown_view.keys
        self._key = keys[self.cursor] if 0 <= self.cursor < len(keys) else ""

    # --- keys ---

    def action_view(self, name: str) -> None:
        self.view, self.cursor, self.top, self._key = name, 0, 0, ""
        self.draw()

    def action_move(self, by: int) -> None:
        last = max(len(self._shown_view.rows) - 1, 0)
        self.cursor = min(max(self.cursor + by, 0), last)
        self._mark()
        self.draw()

    def action_page(self, by: int) -> None:
        self.action_move(by * max(self.size.height - 5, 1))

    def action_search(self) -> None:
        def found(text: str | None) -> None:
            if text is not None:
                self.choices[self.view] = RowFilter(text, self.choices[self.view].sort)
                self.cursor, self._key = 0, ""
                self.draw()

        self.push_screen(_Ask("search for (empty: all)", self.choices[self.view].search), found)

    def action_sort(self) -> None:
        sorts = SORTS.get(self.view)
        if sorts is None:
            return
        choice = self.choices[self.view]
        at = sorts.index(choice.sort) if choice.sort in sorts else 0
        self.choices[self.view] = RowFilter(choice.search, sorts[(at + 1) % len(sorts)])
        self.draw()

    def action_help(self) -> None:
        self.push_screen(_Page(_HELP.splitlines()))

    async def action_why(self) -> None:
        session = self._session()
        if not session or self.link is None:
            return
        try:
            rows = (await self.link.client.ask("why", session=session))["rows"]
        except ControlError as error:
            self._say(str(error))
            return
        view = views.why([from_row(row) for row in rows], max(self.size.width - 4, 20))
        self.push_screen(_Page([f"session {clean(session)}", *view.rows]))

    def action_box(self, do: str) -> None:
        if self.view != "boxes":
            self._say("choose a box first: 3")
            return
        box = self._at_cursor()
        if box and do == "drain":
            self._with_reason(do, box, f"drain box {box}, reason")
        elif box:
            self._run(do, target=box)

    def action_lesson(self, do: str) -> None:
        session = self._session()
        rows = self.link.shown.projection.sessions.values() if self.link is not None else ()
        lesson = next((one.title for one in rows if one.session == session), "")
        if not lesson:
            self._say("choose a session of the lesson first: 2")
        elif do == "hold":
            self._with_reason(do, lesson, f"hold {lesson}, reason")
        else:
            self._run(do, target=lesson)

    def action_end(self) -> None:
        session = self._session()
        if session:
            self._with_reason("end", session, f"end session {session}, reason")

    def action_undo(self) -> None:
        if self._last_id:
            self._run("undo", target=self._last_id)
        else:
            self._say("nothing to undo")

    # --- commands ---

    def _at_cursor(self) -> str:
        keys = self._shown_view.keys
        return keys[self.cursor] if 0 <= self.cursor < len(keys) else ""

    def _session(self) -> str:
        if self.view not in ("sessions", "log"):
            self._say("choose a session first: 2")
            return ""
        return self._at_cursor()

    def _with_reason(self, do: str, target: str, prompt: str) -> None:
        def given(reason: str | None) -> None:
            if reason is not None:
                self._run(do, target=target, reason=reason)

        self.push_screen(_Ask(prompt), given)

    def _run(self, do: str, **fields: Any) -> None:
        if self.link is not None and not self.link.client.connected:
            self._say(f"{do} {fields['target']} is sent as soon as there is a connection")
        self.run_worker(self._carry_out(do, fields), exclusive=False)

    async def _carry_out(self, do: str, fields: dict[str, Any]) -> None:
        assert self.link is not None
        client = self.link.client
        id = client.new_id()
        try:
            answer = await client.ask(do, id=id, **fields)
        except (ControlError, asyncio.CancelledError) as error:
            self._say(f"not done: {error}")
            return
        if answer["outcome"] == "confirm":
            self._confirm(do, fields, answer)
            return
        if answer["outcome"] in ("done", "queued") and do not in ("undo", "end"):
            self._last_id = id
        late = f"; NOT YET AT {', '.join(answer['missing'])}" if answer.get("missing") else ""
        self._say(f"{answer['outcome']}: {answer['says']}{late}")

    def _confirm(self, do: str, fields: dict[str, Any], answer: dict[str, Any]) -> None:
        def said(text: str | None) -> None:
            if text is not None and text.strip().lower() in ("y", "yes"):
                self._run(do, **{**fields, "mark": answer["mark"]})
            else:
                self._say("not done")

        self.push_screen(_Ask(f"{answer['says']}. Do it all the same? (yes)"), said)

    def _say(self, text: str) -> None:
        self.says = clean(text)
        self.draw()


def run_console(where: Path, operator: str) -> None:
    """Until it is left. Honours NO_COLOR (no-color.org)."""
    app = ConsoleApp(where, operator)
    if os.environ.get("NO_COLOR"):
        app.theme = "textual-ansi"
    app.run()
