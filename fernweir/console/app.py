"""The full-screen console, built on Textual: the views of `views`, a cursor, and prompts for commands.

It is redrawn twice a second and after each key. Only the rows that fit are drawn, so that five thousand
sessions cost no more than twenty. All functions have a key; colours only repeat what the text says.
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
from fernweir.console.client import ConsoleClient
from fernweir.console.text import clean, fit
from fernweir.console.views import SORTS, VIEWS, RowFilter, View
from fernweir.control.client import ControlError
from fernweir.journal.events import from_row

_REFRESH_INTERVAL_S = 0.5
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


class _TextScreen(ModalScreen[None]):
    """A screen of lines that scroll, closed by a key."""

    BINDINGS: ClassVar[list[BindingType]] = [
        Binding("escape,q,question_mark,w", "app.pop_screen", "back"),
    ]
    DEFAULT_CSS = "_TextScreen { align: center middle; } _TextScreen VerticalScroll { background: $surface; }"

    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self._lines = lines

    def compose(self) -> ComposeResult:
        with VerticalScroll():
            yield Static(Text("\n".join([*self._lines, "", "escape: back"])), id="page")


class _PromptScreen(ModalScreen[str | None]):
    """A prompt for a line of text; its result is None if it was closed with escape."""

    BINDINGS: ClassVar[list[BindingType]] = [Binding("escape", "leave", "back")]
    DEFAULT_CSS = (
        "_PromptScreen { align: center bottom; }"
        " _PromptScreen Static { width: 100%; } _PromptScreen Input { width: 100%; }"
    )

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
    """The console application. `path` is the folder of a unit or a control socket."""

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
        Binding("d", "server_command('drain')", "drain"),
        Binding("u", "server_command('undrain')", "undrain"),
        Binding("h", "title_command('hold')", "hold"),
        Binding("n", "title_command('unhold')", "unhold"),
        Binding("e", "end", "end"),
        Binding("z", "undo", "undo"),
        Binding("question_mark", "help", "help"),
        Binding("q", "quit", "leave"),
    ]

    def __init__(self, path: Path, operator: str) -> None:
        super().__init__()
        self._path, self._operator = path, operator
        self.view = "overview"
        self.row_filters = dict.fromkeys(VIEWS, RowFilter())
        self.cursor = 0
        self.top = 0
        self.status_text = "? for help"
        self.console_client: ConsoleClient | None = None
        self._last_command_id = ""
        self._displayed_view = View([], [], [])
        self._cursor_key = ""

    def compose(self) -> ComposeResult:
        yield Static(id="title")
        yield Static(id="tabs")
        yield Static(id="body")
        yield Static(id="says")

    def on_mount(self) -> None:
        self.console_client = ConsoleClient(self._path, self._operator)
        self.console_client.start()
        self.set_interval(_REFRESH_INTERVAL_S, self.draw)
        self.draw()

    def on_unmount(self) -> None:
        if self.console_client is not None:
            self.console_client.close()

    def on_resize(self) -> None:
        self.draw()

    # --- drawing ---

    def draw(self) -> None:
        """Redraws everything from the present state."""
        if self.console_client is None or not self.query("#body"):
            return
        state = self.console_client.refresh()
        columns, lines = max(self.size.width, 20), max(self.size.height - 3, 2)
        title = self.query_one("#title", Static)
        title.update(Text(views.title(state, columns)))
        title.set_class(state.freshness() != "live", "stale")
        self.query_one("#tabs", Static).update(Text(fit(self._tabs(), columns)))
        has_cursor = self.view != "overview"  # the cursor has a column of its own
        view = VIEWS[self.view](state, self.row_filters[self.view], columns - has_cursor)
        self._displayed_view = view
        self._restore_cursor(view)
        visible_rows = max(lines - len(view.head), 1)
        self.cursor = min(max(self.cursor, 0), max(len(view.rows) - 1, 0))
        self.top = min(max(self.top, self.cursor - visible_rows + 1, 0), self.cursor)
        indent = " " if has_cursor else ""
        body = Text("".join(f"{indent}{line}\n" for line in view.head))
        for index, line in enumerate(view.rows[self.top : self.top + visible_rows], self.top):
            is_cursor_row = index == self.cursor and has_cursor
            cursor_mark = ">" if is_cursor_row else indent
            body.append(fit(f"{cursor_mark}{line}", columns) + "\n", "bold" if is_cursor_row else "")
        body.right_crop(1)
        self.query_one("#body", Static).update(body)
        self.query_one("#says", Static).update(Text(fit(self.status_text, columns)))

    def _tabs(self) -> str:
        row_filter = self.row_filters[self.view]
        tabs = " ".join(
            f"[{index} {name}]" if name == self.view else f" {index} {name} "
            for index, name in enumerate(VIEWS, 1)
        )
        if len(tabs) > self.size.width:  # on a narrow terminal, only the present view
            number = list(VIEWS).index(self.view) + 1
            tabs = f"[{number} {self.view}] 1-{len(VIEWS)}"
        extras = (f"  search: {row_filter.search}" if row_filter.search else "") + (
            f"  sort: {row_filter.sort}" if row_filter.sort else ""
        )
        rows = len(self._displayed_view.rows)
        position = f"  {self.cursor + 1}/{rows}" if self.view != "overview" and rows > 1 else ""
        return tabs + position + extras

    def _restore_cursor(self, view: View) -> None:
        """Moves the cursor with its row when rows above it are added or removed."""
        if (
            self._cursor_key
            and self._cursor_key in view.keys
            and view.keys[min(self.cursor, len(view.keys) - 1)] != self._cursor_key
        ):
            self.cursor = view.keys.index(self._cursor_key)

    def _remember_cursor_key(self) -> None:
        keys = self._displayed_view.keys
        self._cursor_key = keys[self.cursor] if 0 <= self.cursor < len(keys) else ""

    # --- keys ---

    def action_view(self, name: str) -> None:
        self.view, self.cursor, self.top, self._cursor_key = name, 0, 0, ""
        self.draw()

    def action_move(self, step: int) -> None:
        last = max(len(self._displayed_view.rows) - 1, 0)
        self.cursor = min(max(self.cursor + step, 0), last)
        self._remember_cursor_key()
        self.draw()

    def action_page(self, step: int) -> None:
        self.action_move(step * max(self.size.height - 5, 1))

    def action_search(self) -> None:
        def on_search(text: str | None) -> None:
            if text is not None:
                self.row_filters[self.view] = RowFilter(text, self.row_filters[self.view].sort)
                self.cursor, self._cursor_key = 0, ""
                self.draw()

        self.push_screen(
            _PromptScreen("search for (empty: all)", self.row_filters[self.view].search), on_search
        )

    def action_sort(self) -> None:
        sorts = SORTS.get(self.view)
        if sorts is None:
            return
        row_filter = self.row_filters[self.view]
        position = sorts.index(row_filter.sort) if row_filter.sort in sorts else 0
        self.row_filters[self.view] = RowFilter(row_filter.search, sorts[(position + 1) % len(sorts)])
        self.draw()

    def action_help(self) -> None:
        self.push_screen(_TextScreen(_HELP.splitlines()))

    async def action_why(self) -> None:
        session = self._session_at_cursor()
        if not session or self.console_client is None:
            return
        try:
            rows = (await self.console_client.client.ask("why", session=session))["rows"]
        except ControlError as error:
            self._show_status(str(error))
            return
        view = views.why([from_row(row) for row in rows], max(self.size.width - 4, 20))
        self.push_screen(_TextScreen([f"session {clean(session)}", *view.rows]))

    def action_server_command(self, do: str) -> None:
        if self.view != "boxes":
            self._show_status("choose a box first: 3")
            return
        server = self._key_at_cursor()
        if server and do == "drain":
            self._with_reason(do, server, f"drain box {server}, reason")
        elif server:
            self._start_command(do, target=server)

    def action_title_command(self, do: str) -> None:
        session = self._session_at_cursor()
        rows = (
            self.console_client.state.projection.sessions.values() if self.console_client is not None else ()
        )
        title = next((one.title for one in rows if one.session == session), "")
        if not title:
            self._show_status("choose a session of the lesson first: 2")
        elif do == "hold":
            self._with_reason(do, title, f"hold {title}, reason")
        else:
            self._start_command(do, target=title)

    def action_end(self) -> None:
        session = self._session_at_cursor()
        if session:
            self._with_reason("end", session, f"end session {session}, reason")

    def action_undo(self) -> None:
        if self._last_command_id:
            self._start_command("undo", target=self._last_command_id)
        else:
            self._show_status("nothing to undo")

    # --- commands ---

    def _key_at_cursor(self) -> str:
        keys = self._displayed_view.keys
        return keys[self.cursor] if 0 <= self.cursor < len(keys) else ""

    def _session_at_cursor(self) -> str:
        if self.view not in ("sessions", "log"):
            self._show_status("choose a session first: 2")
            return ""
        return self._key_at_cursor()

    def _with_reason(self, do: str, target: str, prompt: str) -> None:
        def on_reason(reason: str | None) -> None:
            if reason is not None:
                self._start_command(do, target=target, reason=reason)

        self.push_screen(_PromptScreen(prompt), on_reason)

    def _start_command(self, do: str, **fields: Any) -> None:
        if self.console_client is not None and not self.console_client.client.connected:
            self._show_status(f"{do} {fields['target']} is sent as soon as there is a connection")
        self.run_worker(self._send_command(do, fields), exclusive=False)

    async def _send_command(self, do: str, fields: dict[str, Any]) -> None:
        assert self.console_client is not None
        client = self.console_client.client
        id = client.new_id()
        try:
            response = await client.ask(do, id=id, **fields)
        except (ControlError, asyncio.CancelledError) as error:
            self._show_status(f"not done: {error}")
            return
        if response["outcome"] == "confirm":
            self._confirm(do, fields, response)
            return
        if response["outcome"] in ("done", "queued") and do not in ("undo", "end"):
            self._last_command_id = id
        missing = f"; NOT YET AT {', '.join(response['missing'])}" if response.get("missing") else ""
        self._show_status(f"{response['outcome']}: {response['says']}{missing}")

    def _confirm(self, do: str, fields: dict[str, Any], response: dict[str, Any]) -> None:
        def on_answer(text: str | None) -> None:
            if text is not None and text.strip().lower() in ("y", "yes"):
                self._start_command(do, **{**fields, "mark": response["mark"]})
            else:
                self._show_status("not done")

        self.push_screen(_PromptScreen(f"{response['says']}. Do it all the same? (yes)"), on_answer)

    def _show_status(self, text: str) -> None:
        self.status_text = clean(text)
        self.draw()


def run_console(path: Path, operator: str) -> None:
    """Runs the console until the operator quits. Honours NO_COLOR (no-color.org)."""
    app = ConsoleApp(path, operator)
    if os.environ.get("NO_COLOR"):
        app.theme = "textual-ansi"
    app.run()
