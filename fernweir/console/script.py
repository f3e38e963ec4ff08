"""Runs a console without a screen: a line of the script is a view to print or a command to carry out.

    show overview | sessions [FIELD=VALUE ...] [sort=FIELD] [search=TEXT] | boxes ... | refusals | log
    why SESSION
    drain BOX [REASON] | undrain BOX | hold LESSON [REASON] | unhold LESSON
    cap WHAT COUNT | uncap WHAT | end SESSION [REASON] | undo COMMAND-ID
    confirm          the last command, with the cost that it was answered with
    wait FIELD OP N  until sessions, playing, boxes, ready, fronts, plays or refused is so
    # a comment

Each line waits until the picture has all that was known when it began, so that what it prints is true then.
"""

from __future__ import annotations

import asyncio
import operator
import shlex
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fernweir.console import views
from fernweir.console.link import ConsoleClient
from fernweir.console.live import ConsoleState
from fernweir.console.text import clean
from fernweir.console.views import VIEWS, RowFilter
from fernweir.control.client import ControlError
from fernweir.journal.events import from_row

_OPS: dict[str, Callable[[int, int], bool]] = {
    "=": operator.eq, "<=": operator.le, ">=": operator.ge, "<": operator.lt, ">": operator.gt,
}  # fmt: skip
_WITH_REASON = ("drain", "hold", "end")
_PLAIN = ("undrain", "unhold", "uncap", "undo")


class ScriptError(Exception):
    """A line can't be read, or can't be carried out; the text names it."""


@dataclass(slots=True)
class ScriptRunner:
    """Carries lines out through `link`; `say` gets what is printed."""

    link: ConsoleClient
    say: Callable[[str], None]
    columns: int = 80
    wait_s: float = 30.0
    how_to_confirm: str = "repeat with `confirm` to do it all the same"
    _asked: tuple[str, dict[str, Any]] | None = None
    _mark: str = ""
    results: list[dict[str, Any]] = field(default_factory=list)

    async def run(self, text: str) -> None:
        for number, line in enumerate(text.splitlines(), 1):
            stripped = line.strip()
            if not stripped or stripped.startswith("#"):
                continue
            self.say(f"> {clean(stripped)}")
            try:
                await self._line(shlex.split(stripped))
            except (ScriptError, ControlError, ValueError) as error:
                raise ScriptError(f"line {number}: {error}") from None

    async def _line(self, words: list[str]) -> None:
        verb, rest = words[0], words[1:]
        if verb == "show":
            await self._show(rest)
        elif verb == "why" and len(rest) == 1:
            rows = (await self.link.client.ask("why", session=rest[0]))["rows"]
            self._print(views.why([from_row(row) for row in rows], self.columns))
        elif verb == "wait" and len(rest) == 3:
            await self._wait(*rest)
        elif verb in _WITH_REASON and rest:
            await self._command(verb, target=rest[0], reason=" ".join(rest[1:]))
        elif verb in _PLAIN and len(rest) == 1:
            await self._command(verb, target=rest[0])
        elif verb == "cap" and len(rest) == 2:
            await self._command(verb, target=rest[0], most=int(rest[1]))
        elif verb == "confirm" and not rest:
            if self._asked is None or not self._mark:
                raise ScriptError("nothing waits to be confirmed")
            verb, fields = self._asked
            await self._command(verb, **{**fields, "mark": self._mark})
        else:
            raise ScriptError(f"not understood: {' '.join(words)}")

    async def _show(self, rest: list[str]) -> None:
        if not rest or rest[0] not in VIEWS:
            raise ScriptError(f"show one of {', '.join(VIEWS)}")
        fields = dict(word.split("=", 1) for word in rest[1:] if "=" in word)
        if len(fields) != len(rest) - 1:
            raise ScriptError("after the view come FIELD=VALUE")
        choice = RowFilter(fields.pop("search", ""), fields.pop("sort", ""), fields or None)
        shown = await self.link.wait_synced()
        self._print(VIEWS[rest[0]](shown, choice, self.columns))

    async def _command(self, verb: str, **fields: Any) -> None:
        answer = await self.link.client.ask(verb, **fields)
        self.results.append(answer)
        self._asked, self._mark = (verb, fields), str(answer.get("mark", ""))
        self.say(f"{answer['outcome']}: {clean(str(answer['says']))}")
        if answer.get("missing"):
            self.say(f"NOT YET AT {', '.join(answer['missing'])}")
        if self._mark:
            self.say(self.how_to_confirm)

    async def _wait(self, name: str, op: str, count: str) -> None:
        if name not in _MEASURES or op not in _OPS:
            raise ScriptError(f"wait for one of {', '.join(_MEASURES)} with one of {' '.join(_OPS)}")
        try:
            async with asyncio.timeout(self.wait_s):
                while True:
                    value = _MEASURES[name](await self.link.wait_synced())
                    if _OPS[op](value, int(count)):
                        return
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise ScriptError(f"{name} is {value} after {self.wait_s:.0f} s") from None

    def _print(self, view: views.View) -> None:
        for line in [*view.head, *view.rows]:
            self.say(line)


_MEASURES: dict[str, Callable[[ConsoleState], int]] = {
    "sessions": lambda shown: len(shown.projection.sessions),
    "playing": lambda shown: sum(one.phase == "playing" for one in shown.projection.sessions.values()),
    "boxes": lambda shown: len(shown.projection.servers),
    "ready": lambda shown: sum(one.state == "ready" for one in shown.projection.servers.values()),
    "fronts": lambda shown: len(shown.projection.fronts),
    "plays": lambda shown: shown.projection.answers["plays"],
    "refused": lambda shown: shown.projection.answers["refused"],
}
