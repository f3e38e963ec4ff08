"""Tests of the console: safe text, views that match the projection, scripts, and the screen with its keys."""

from __future__ import annotations

import asyncio
import unicodedata
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from fernweir.console import views
from fernweir.console.app import ConsoleApp
from fernweir.console.client import ConsoleClient
from fernweir.console.script import ScriptError, ScriptRunner
from fernweir.console.state import ConsoleState
from fernweir.console.text import bar, clean, fit, sparkline, width
from fernweir.console.views import VIEWS, RowFilter
from fernweir.journal.events import EventKind
from fernweir.journal.store import Journal
from tests.scene import Scene
from tests.sockets import until
from tests.test_control import FAST_TIMES, SitePlan, control_scene

HOSTILE = "\x1b[2J\x1b]0;owned\x07 \u202egnp.exe \x9b31m \r\n\x00 \ud800 \u200b"


@given(st.text(max_size=40), st.integers(0, 30))
@hypothesis_settings(max_examples=300)
def test_text_is_harmless_and_has_its_width(text: str, columns: int) -> None:
    shown = fit(text, columns)
    assert not any(unicodedata.category(char)[0] == "C" for char in clean(text) + shown)
    assert width(shown) == columns or (columns and width(shown) == columns - 1) or not columns


def test_bars_and_sparklines_say_it_without_colour() -> None:
    assert bar(0.5, 12) == "[#####.....]" and bar(0.0, 6) == "[....]" and bar(1.7, 6) == "[###!]"
    assert sparkline([0, 1, 2, 4], 6) == "   -+@" or len(sparkline([0, 1, 2, 4], 6)) == 6
    assert sparkline([], 4) == "    " and sparkline([0, 0], 2) == "  "


def make_console_state(count: int = 40, boxes: int = 130) -> ConsoleState:
    """Returns a state, built from a journal, with control characters in all names."""
    shown, journal = ConsoleState(name="yard" + HOSTILE, connected=True, may_act=True), Journal("front-1")
    journal.watchers += [shown.projection.apply, shown.history.add]
    journal.add(0.0, EventKind.FRONT, why="up")
    for box in range(1, boxes + 1):
        journal.add(1.0, EventKind.SERVER, server=box, why="ready", more={"start": str(box)})
    for number in range(count):
        named = {"session": f"s{number:05d}{HOSTILE}", "title": f"lesson-{number % 5}{HOSTILE}", "cls": "c"}
        journal.add(2.0, EventKind.REQUESTED, **named)
        if number % 4 == 3:
            journal.add(3.0, EventKind.REFUSED, why=f"no box has room {HOSTILE}", **named)
            journal.add(3.0, EventKind.ENDED, why="refused", **named)
            continue
        place = {"server": number % boxes + 1, "attempt": 0, "rung": number % 5}
        journal.add(3.0, EventKind.SETUP, why="first under the mark", **place, **named)
        journal.add(4.0, EventKind.STARTED, **place, **named)
        journal.add(4.0, EventKind.PLAYS, **named)
    orders = {"by": HOSTILE, "drains": {"3": HOSTILE}, "holds": {}, "caps": {}}
    journal.add(5.0, EventKind.ORDER, why="drain 3", more=orders)
    shown.gauges = {"boxes": {str(box): [0.5, 1.2, box % 2, 1, 0] for box in range(1, boxes + 1)},
                    "worth": 3.0, "worth_most": 4.0, "waiting": 1}  # fmt: skip
    return shown


@pytest.mark.parametrize("columns", [20, 40, 80, 200])
@pytest.mark.parametrize("name", list(VIEWS))
def test_every_view_fits_its_columns_whatever_names_say(name: str, columns: int) -> None:
    shown = make_console_state()
    view = VIEWS[name](shown, RowFilter(), columns)
    for line in [views.title(shown, columns), *view.head, *view.rows]:
        assert not any(unicodedata.category(char)[0] == "C" for char in line), repr(line)
        assert columns < 60 or width(line) <= columns, (columns, line)
    assert len(view.rows) == len(view.keys)


def test_views_sort_search_and_count() -> None:
    shown = make_console_state(40)
    view = views.sessions(shown, RowFilter(search="lesson-2", sort="rung"))
    assert len(view.rows) == sum(n % 5 == 2 and n % 4 != 3 for n in range(40))
    by_server = views.sessions(shown, RowFilter(sort="box")).keys
    assert [key[:6] for key in by_server] == sorted(key[:6] for key in by_server)
    drained = views.boxes(shown, RowFilter(search="draining"))
    assert drained.keys == ["3"]
    assert views.refusals(shown).rows[0].split()[0] == "10"
    assert "75% of 4.0" in views.overview(shown).head[0]


def test_a_picture_says_how_old_it_is() -> None:
    assert ConsoleState(connected=True, age_s=1.0).freshness() == "live"
    assert ConsoleState(connected=True, age_s=9.0).freshness() == "9 s old, nothing is heard"
    assert (
        "not connected: refused"
        in ConsoleState(connected=False, age_s=70.0, disconnect_reason="refused").freshness()
    )


def test_five_thousand_sessions_and_a_hundred_and_thirty_boxes_are_all_listed() -> None:
    shown = make_console_state(5_000, 130)
    view = views.sessions(shown, RowFilter(sort="box"))
    assert len(view.rows) == len(shown.projection.sessions) == 3_750
    assert len(views.boxes(shown).rows) == 130


# --- scripts ---


def runner_scene(scenario: Callable[[Scene, ScriptRunner, list[str]], Awaitable[None]], **more: str) -> None:
    async def run(scene: Scene, ann: Any) -> None:
        ann.close()
        link, printed = ConsoleClient(scene.site.folder / "run" / "front-0.sock", "ann"), list[str]()
        link.start()
        await link.client.wait_ready()
        try:
            await scenario(scene, ScriptRunner(link, printed.append), printed)
        finally:
            link.close()

    control_scene(run, **more)


def test_a_script_prints_what_the_boxes_say() -> None:
    async def scenario(scene: Scene, runner: ScriptRunner, printed: list[str]) -> None:
        wishes = [scene.wish(title=f"lesson-{n % 2}") for n in range(8)]
        await asyncio.gather(*map(scene.request_session, wishes))
        await runner.run("# eight\nwait playing = 8\nshow sessions\nshow boxes sort=playing")
        at = printed.index("> show sessions")
        shown = {line.split()[0]: int(line.split()[4]) for line in printed[at + 2 : at + 10]}
        assert shown == {one["session"]: one["box"] for one in scene.records_of("box.setup")}
        first = int(printed[printed.index("> show boxes sort=playing") + 2].split()[0])
        await runner.run(f"drain {first} fan is loud\nshow boxes state=draining")
        assert printed[-1].split()[:2] == [str(first), "draining"] and printed[-1].endswith("ann")
        await runner.run(f"why {wishes[0].session}")
        assert any("under the mark" in line for line in printed[-8:])
        del printed[:]
        with pytest.raises(ScriptError, match="line 2: not understood: fly 7"):
            await runner.run("show overview\nfly 7")
        with pytest.raises(ScriptError, match="line 1: show one of"):
            await runner.run("show everything")
        runner.wait_s = 0.1
        with pytest.raises(ScriptError, match=r"playing is 8 after"):
            await runner.run("wait playing > 99")

    runner_scene(scenario)


def test_a_cost_is_confirmed_in_a_script() -> None:
    async def scenario(scene: Scene, runner: ScriptRunner, printed: list[str]) -> None:
        holders = scene.holders("lesson-0")
        for box in holders:
            await runner.run(f"drain {box}")
        assert "without a holder" in printed[-2] and printed[-1].startswith("repeat with")
        await runner.run("confirm")
        assert printed[-1].startswith("done")
        assert (await scene.request_session(scene.wish())).status == 503
        await runner.run(f"undrain {holders[0]}")
        assert (await scene.request_session(scene.wish())).status == 200

    runner_scene(scenario, drains_at_once="9")


# --- the screen, driven by Textual's pilot ---


def screen_scene(
    scenario: Callable[[Scene, ConsoleApp, Any], Awaitable[None]], size: tuple[int, int] = (80, 24)
) -> None:
    async def run(scene: Scene, ann: Any) -> None:
        ann.close()
        app = ConsoleApp(scene.site.folder / "run" / "front-0.sock", "ann")
        async with app.run_test(size=size) as pilot:
            await until(
                lambda: (
                    app.console_client is not None
                    and app.console_client.client.follower.projection is not None
                )
            )
            await scenario(scene, app, pilot)

    control_scene(run, replace(SitePlan(), times=FAST_TIMES, fronts=1))


def on_screen(app: ConsoleApp) -> str:
    """Returns the text on the terminal."""
    app.draw()
    strips = app.screen._compositor.render_strips()
    return "\n".join("".join(segment.text for segment in strip) for strip in strips)


async def until_shown(app: ConsoleApp, pilot: Any, text: str) -> str:
    for _ in range(400):
        await pilot.pause()
        shown = on_screen(app)
        if text in shown:
            return shown
        await asyncio.sleep(0.01)
    raise AssertionError(f"{text!r} is not on the screen:\n{on_screen(app)}")


def test_keys_lead_through_views_and_a_drain() -> None:
    async def scenario(scene: Scene, app: ConsoleApp, pilot: Any) -> None:
        wishes = [scene.wish(title=f"lesson-{n % 3}") for n in range(30)]
        await asyncio.gather(*map(scene.request_session, wishes))
        shown = await until_shown(app, pilot, "30 playing")
        assert "live" in shown.splitlines()[0] and len(shown.splitlines()) == 24
        await pilot.press("2")
        await until_shown(app, pilot, "[2 sessions]")
        await pilot.press("slash", *"lesson-1", "enter")
        shown = await until_shown(app, pilot, "search: lesson-1")
        assert "lesson-2" not in shown and "1/10" in shown
        await pilot.press("w")
        await until_shown(app, pilot, "under the mark")
        await pilot.press("escape", "3", "end")
        box = app._key_at_cursor()
        await pilot.press("d", *"loud", "enter")
        await until_shown(app, pilot, "done: box")
        shown = await until_shown(app, pilot, "draining")
        assert any(line.lstrip("> ").startswith(box) and "ann" in line for line in shown.splitlines())
        await pilot.press("z")
        await until_shown(app, pilot, "is undone")
        await pilot.press("question_mark")
        await until_shown(app, pilot, "undo the last command")
        await pilot.press("escape", "4")
        await until_shown(app, pilot, "[4 refusals]")
        await pilot.press("5")
        await until_shown(app, pilot, "order")
        await pilot.resize_terminal(40, 10)
        shown = await until_shown(app, pilot, "[5 log]")
        assert len(shown.splitlines()) == 10

    screen_scene(scenario)


def test_a_front_that_restarts_under_the_console_is_found_again() -> None:
    async def scenario(scene: Scene, app: ConsoleApp, pilot: Any) -> None:
        await asyncio.gather(*(scene.request_session(scene.wish()) for _ in range(3)))
        await until_shown(app, pilot, "3 playing")
        scene.trace.write("front.down", front="front-0")
        scene.fronts.pop().kill()
        shown = await until_shown(app, pilot, "not connected")
        assert "3 playing" in shown and " s old" in shown.splitlines()[0]
        await scene.start_front(0)
        shown = await until_shown(app, pilot, "0 playing")
        assert "live" in shown.splitlines()[0]

    screen_scene(scenario)


def test_the_cursor_stays_with_its_session_when_others_come() -> None:
    async def scenario(scene: Scene, app: ConsoleApp, pilot: Any) -> None:
        await asyncio.gather(*(scene.request_session(request_for_session(scene, f"m{n}")) for n in range(3)))
        await until_shown(app, pilot, "3 playing")
        await pilot.press("2", "down")
        assert app._key_at_cursor() == "m1"
        await asyncio.gather(*(scene.request_session(request_for_session(scene, f"a{n}")) for n in range(4)))
        await until_shown(app, pilot, "a3")
        assert app._key_at_cursor() == "m1" and app.cursor == 5

    screen_scene(scenario)


def request_for_session(scene: Scene, session: str) -> Any:
    return scene.site.wish(session, "lesson-0", "training")


def test_a_console_without_anybody_to_talk_to_says_so(tmp_path: Path) -> None:
    async def run() -> None:
        app = ConsoleApp(tmp_path / "nobody.sock", "ann")
        async with app.run_test(size=(80, 24)) as pilot:
            await until_shown(app, pilot, "No such file")
            await pilot.press("d", "2", "w", "z")
            await until_shown(app, pilot, "nothing to undo")

    asyncio.run(run())
