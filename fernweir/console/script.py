"""Runs a console script without a screen: each line prints a view or sends a command.

    show overview | sessions [FIELD=VALUE ...] [sort=FIELD] [search=TEXT] | boxes ... | refusals | log
    why SESSION
    drain BOX [REASON] | undrain BOX | hold LESSON [REASON] | unhold LESSON
    cap WHAT COUNT | uncap WHAT | end SESSION [REASON] | undo COMMAND-ID
    confirm          repeats the last command and accepts the cost that it was answered with
    wait FIELD OP N  waits until the comparison holds; FIELD is sessions, playing, boxes, ready, fronts, plays
                     or refused
    # a comment

Each line waits until the projection has all entries that the server had when the line began, so that it
prints no older state.
"""

from __future__ import annotations

import asyncio
import operator
import shlex
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fernweir.console import views
from fernweir.console.client import ConsoleClient
from fernweir.console.state import ConsoleState
from fernweir.console.text import clean
from fernweir.console.views import VIEWS, RowFilter
from fernweir.control.client import ControlError
from fernweir.journal.events import from_row

_COMPARISONS: dict[str, Callable[[int, int], bool]] = {
    "=": operator.eq, "<=": operator.le, ">=": operator.ge, "<": operator.lt, ">": operator.gt,
}  # fmt: skip
_VERBS_WITH_REASON = ("drain", "hold", "end")
_VERBS_WITHOUT_REASON = ("undrain", "unhold", "uncap", "undo")


class ScriptError(Exception):
    """Raised when a line can't be parsed or fails; the message has its number."""


@dataclass(slots=True)
class ScriptRunner:
    """Runs the lines of a script through `console_client`; `print_line` is called with each line to print."""

    console_client: ConsoleClient
    print_line: Callable[[str], None]
    columns: int = 80
    wait_s: float = 30.0
    how_to_confirm: str = "repeat with `confirm` to do it all the same"
    _last_command: tuple[str, dict[str, Any]] | None = None
    _cost_digest: str = ""
    results: list[dict[str, Any]] = field(default_factory=list)

    async def run(self, text: str) -> None:
        for number, line in enumerate(text.splitlines(), 1):
            stripped = line.strip()
            if not stripped or stripped.startswith("#"):
                continue
            self.print_line(f"> {clean(stripped)}")
            try:
                await self._run_line(shlex.split(stripped))
            except (ScriptError, ControlError, ValueError) as error:
                raise ScriptError(f"line {number}: {error}") from None

    async def _run_line(self, words: list[str]) -> None:
        verb, arguments = words[0], words[1:]
        if verb == "show":
            await self._show(arguments)
        elif verb == "why" and len(arguments) == 1:
            rows = (await self.console_client.client.ask("why", session=arguments[0]))["rows"]
            self._print(views.why([from_row(row) for row in rows], self.columns))
        elif verb == "wait" and len(arguments) == 3:
            await self._wait(*arguments)
        elif verb in _VERBS_WITH_REASON and arguments:
            await self._send_command(verb, target=arguments[0], reason=" ".join(arguments[1:]))
        elif verb in _VERBS_WITHOUT_REASON and len(arguments) == 1:
            await self._send_command(verb, target=arguments[0])
        elif verb == "cap" and len(arguments) == 2:
            await self._send_command(verb, target=arguments[0], most=int(arguments[1]))
        elif verb == "confirm" and not arguments:
            if self._last_command is None or not self._cost_digest:
                raise ScriptError("nothing waits to be confirmed")
            verb, fields = self._last_command
            await self._send_command(verb, **{**fields, "mark": self._cost_digest})
        else:
            raise ScriptError(f"not understood: {' '.join(words)}")

    async def _show(self, arguments: list[str]) -> None:
        if not arguments or arguments[0] not in VIEWS:
            raise ScriptError(f"show one of {', '.join(VIEWS)}")
        fields = dict(word.split("=", 1) for word in arguments[1:] if "=" in word)
        if len(fields) != len(arguments) - 1:
            raise ScriptError("after the view come FIELD=VALUE")
        row_filter = RowFilter(fields.pop("search", ""), fields.pop("sort", ""), fields or None)
        state = await self.console_client.wait_synced()
        self._print(VIEWS[arguments[0]](state, row_filter, self.columns))

    async def _send_command(self, verb: str, **fields: Any) -> None:
        response = await self.console_client.client.ask(verb, **fields)
        self.results.append(response)
        self._last_command, self._cost_digest = (verb, fields), str(response.get("mark", ""))
        self.print_line(f"{response['outcome']}: {clean(str(response['says']))}")
        if response.get("missing"):
            self.print_line(f"NOT YET AT {', '.join(response['missing'])}")
        if self._cost_digest:
            self.print_line(self.how_to_confirm)

    async def _wait(self, measure: str, comparison: str, count: str) -> None:
        if measure not in _MEASURES or comparison not in _COMPARISONS:
            raise ScriptError(f"wait for one of {', '.join(_MEASURES)} with one of {' '.join(_COMPARISONS)}")
        try:
            async with asyncio.timeout(self.wait_s):
                while True:
                    value = _MEASURES[measure](await self.console_client.wait_synced())
                    if _COMPARISONS[comparison](value, int(count)):
                        return
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise ScriptError(f"{measure} is {value} after {self.wait_s:.0f} s") from None

    def _print(self, view: views.View) -> None:
        for line in [*view.head, *view.rows]:
            self.print_line(line)


_MEASURES: dict[str, Callable[[ConsoleState], int]] = {
    "sessions": lambda state: len(state.projection.sessions),
    "playing": lambda state: sum(row.phase == "playing" for row in state.projection.sessions.values()),
    "boxes": lambda state: len(state.projection.servers),
    "ready": lambda state: sum(row.state == "ready" for row in state.projection.servers.values()),
    "fronts": lambda state: len(state.projection.fronts),
    "plays": lambda state: state.projection.answers["plays"],
    "refused": lambda state: state.projection.answers["refused"],
}
