"""A unit: when its processes start and stop, its fronts' journals as one, its folder, and all of it alive."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fernweir.appliance.backup import back_up, check, restore
from fernweir.appliance.doctor import Grade, look_over
from fernweir.appliance.layout import Layout, Lock, UnitError, load_unit, migrate, read_format
from fernweir.appliance.logs import open_log, rotate
from fernweir.appliance.make import Wish, make_unit
from fernweir.appliance.merge import Merger
from fernweir.appliance.supervise import Child, Kill, Say, Start, State, SuperviseRules, Supervisor, Terminate
from fernweir.config.ini import ConfigError
from fernweir.control.client import ControlClient
from fernweir.control.desk import KIND, load_orders
from fernweir.control.statefile import write_state
from fernweir.journal.events import EventKind
from fernweir.journal.state_projection import StateProjection
from fernweir.journal.store import Journal, JournalConfig
from tests.sockets import until

# --- supervision ---

CHILDREN = [Child("box"), Child("list", ("box",)), Child("front", ("list",))]
RULES = SuperviseRules(
    first_pause_ms=100.0, longest_pause_ms=1_000.0, steady_ms=5_000.0, restarts=3, window_ms=60_000.0,
    ready_ms=2_000.0, stop_ms=1_000.0,
)  # fmt: skip


class Unit:
    """A supervisor, a clock, and which processes run."""

    def __init__(self, rules: SuperviseRules = RULES) -> None:
        self.supervisor, self.now = Supervisor(CHILDREN, rules, 1), 0.0
        self.alive: list[str] = []
        self.said: list[str] = []

    def step(self, after: float = 0.0) -> list[str]:
        """What was done, as `start box` and so on."""
        self.now += after
        done = []
        for command in self.supervisor.step(self.now):
            if isinstance(command, Start):
                assert command.name not in self.alive, "two processes of one child"
                self.alive.append(command.name)
                done.append(f"start {command.name}")
            elif isinstance(command, Terminate | Kill):
                assert command.name in self.alive
                done.append(f"{type(command).__name__.lower()} {command.name}")
            else:
                self.said.append(command.text)
        return done

    def end(self, name: str, how: str = "ended with 1") -> None:
        self.alive.remove(name)
        said = self.supervisor.exited(self.now, name, how)
        self.said += [one.text for one in said if isinstance(one, Say)]

    def ready(self, name: str) -> None:
        self.supervisor.ready(self.now, name)


def test_it_starts_in_order_and_stops_the_other_way_round() -> None:
    unit = Unit()
    assert unit.step() == ["start box"] and unit.step() == []
    unit.ready("box")
    assert unit.step() == ["start list"]
    unit.ready("list")
    unit.end("box")
    assert unit.step() == ["start front"]  # what it needs was ready once: that is enough
    unit.ready("front")
    unit.supervisor.stop(unit.now)
    assert unit.step() == ["terminate front"] and unit.step(500.0) == []
    assert unit.step(600.0) == ["kill front"] and unit.step() == []
    unit.end("front", "killed by signal 9")
    assert unit.step() == ["terminate list"]
    unit.end("list")
    assert unit.step() == [] and unit.supervisor.stopped


def test_pauses_grow_until_it_is_steady_and_too_many_ends_give_it_up() -> None:
    unit = Unit(replace(RULES, restarts=100))
    unit.step()
    pauses = []
    for _ in range(6):
        unit.end("box")
        due = unit.supervisor.next_due()
        assert due is not None
        pauses.append(due - unit.now)
        assert unit.step(due - unit.now) == ["start box"]
    assert all(50.0 * 2**n <= pause <= 100.0 * 2**n for n, pause in enumerate(pauses[:4]))
    assert max(pauses) <= 1_000.0
    unit.ready("box")
    unit.now += 6_000.0
    unit.end("box")
    due = unit.supervisor.next_due()
    assert due is not None and due - unit.now <= 100.0

    unit = Unit()
    unit.step()
    for _ in range(3):
        unit.end("box")
        assert unit.step(1_000.0) == ["start box"]
    unit.end("box")
    assert unit.supervisor.rows["box"].state is State.GIVEN_UP and "given up" in unit.said[-1]
    assert unit.step(100_000.0) == []
    assert unit.supervisor.retry(unit.now, "box") and unit.step() == ["start box"]
    assert not unit.supervisor.retry(unit.now, "box")


def test_one_that_is_not_ready_in_time_is_killed_and_counts_as_failed() -> None:
    unit = Unit()
    unit.step()
    assert unit.step(2_000.0) == ["kill box"] and unit.step(1.0) == []
    unit.end("box", "killed by signal 9")
    assert unit.supervisor.rows["box"].failures == 1 and unit.step(100.0) == ["start box"]


@pytest.mark.parametrize(
    "children",
    [[Child("a"), Child("a")], [Child("a", ("b",))], [Child("a", ("b",)), Child("b", ("a",))]],
)
def test_children_that_cannot_be(children: list[Child]) -> None:
    with pytest.raises(ValueError, match=r"a"):
        Supervisor(children)


class SuperviseStory(RuleBasedStateMachine):
    """Ends, readiness, stops at any moment: never two of one child, never one left over."""

    @initialize()
    def begin(self) -> None:
        self.unit = Unit(replace(RULES, restarts=5))

    @rule(after=st.sampled_from([0.0, 60.0, 900.0, 2_500.0]))
    def time(self, after: float) -> None:
        self.unit.step(after)

    @rule(name=st.sampled_from(["box", "list", "front"]))
    def becomes_ready(self, name: str) -> None:
        if name in self.unit.alive:
            self.unit.ready(name)

    @rule(name=st.sampled_from(["box", "list", "front"]))
    def ends(self, name: str) -> None:
        if name in self.unit.alive:
            self.unit.end(name)

    @rule(name=st.sampled_from(["box", "list", "front"]))
    def retried(self, name: str) -> None:
        self.unit.supervisor.retry(self.unit.now, name)

    @rule()
    def stop(self) -> None:
        self.unit.supervisor.stop(self.unit.now)

    @invariant()
    def agrees(self) -> None:
        if hasattr(self, "unit"):
            for name, row in self.unit.supervisor.rows.items():
                runs = row.state in (State.STARTING, State.READY, State.STOPPING)
                assert runs == (name in self.unit.alive)

    def teardown(self) -> None:
        if hasattr(self, "unit"):
            self.unit.supervisor.stop(self.unit.now)
            for _ in range(8):
                self.unit.step(1_100.0)
                for name in list(self.unit.alive):
                    if self.unit.supervisor.rows[name].state is State.STOPPING:
                        self.unit.end(name)
            assert self.unit.supervisor.stopped and self.unit.alive == []


SuperviseStory.TestCase.settings = hypothesis_settings(max_examples=100, stateful_step_count=30)
TestSuperviseStory = SuperviseStory.TestCase


# --- journals as one ---


class MergeStory(RuleBasedStateMachine):
    """Fronts that live, die and lose their journals; a unit that dies: one picture, each entry once."""

    @initialize()
    def begin(self) -> None:
        self.fronts = {name: Journal(name, JournalConfig(segment_entries=8)) for name in ("f1", "f2")}
        self.pictures = {name: StateProjection() for name in self.fronts}
        for name, journal in self.fronts.items():
            journal.watchers.append(self.pictures[name].apply)
            journal.add(0.0, EventKind.FRONT, why="up")
        self.sent = dict.fromkeys(self.fronts, ("", 0))
        self.rows: list[Any] = []
        self.unit()
        self.count = 0

    def unit(self) -> None:
        """A life of the unit: its own journal is what it was."""
        self.journal = Journal("", JournalConfig(segment_entries=8))
        self.journal.restore("unit", [], list(self.rows))
        self.picture = StateProjection()
        for entry in self.rows:
            self.picture.apply(entry)
        self.journal.watchers += [self.picture.apply, self.rows.append]
        self.merger = Merger(self.journal)
        self.merger.recover()
        self.connected: set[str] = set()
        for name in list(self.picture.fronts):
            self.merger.gone(name, 0)

    @rule(name=st.sampled_from(["f1", "f2"]), session=st.integers(0, 3), box=st.integers(1, 3))
    def happens(self, name: str, session: int, box: int) -> None:
        self.count += 1
        picture, journal, id = self.pictures[name], self.fronts[name], f"s{session}"
        row = picture.sessions.get(f"{name}/{id}")
        if row is None:
            journal.add(self.count, EventKind.REQUESTED, session=id, title="l", cls="c")
        elif row.phase == "asked":
            journal.add(self.count, EventKind.SETUP, session=id, server=box, attempt=0, rung=1)
        elif row.phase == "out":
            journal.add(self.count, EventKind.STARTED, session=id, server=row.server, attempt=0, rung=1)
            journal.add(self.count, EventKind.PLAYS, session=id, cls="c")
        else:
            journal.add(self.count, EventKind.ENDED, session=id)
        if name in self.connected:
            self.catch_up(name)

    @rule(name=st.sampled_from(["f1", "f2"]))
    def connects(self, name: str) -> None:
        self.connected.add(name)
        self.catch_up(name)

    def catch_up(self, name: str) -> None:
        """As the channel does: entries after the last one taken, or a snapshot."""
        journal, taken = self.fronts[name], self.merger.since(name)
        if taken.journal == journal.id and taken.number <= journal.last:
            for entry in journal.entries(max(taken.number - 1, 0)):  # some twice, as after a dropped line
                self.merger.entry(name, journal.id, entry)
        else:
            picture = StateProjection.from_plain(self.pictures[name].to_plain())
            self.merger.snapshot(name, journal.id, picture)

    @rule(name=st.sampled_from(["f1", "f2"]))
    def front_dies(self, name: str) -> None:
        self.connected.discard(name)
        self.merger.gone(name, 0)
        self.fronts[name].add(0.0, EventKind.FRONT, why="up")

    @rule(name=st.sampled_from(["f1", "f2"]))
    def loses_its_journal(self, name: str) -> None:
        self.front_dies(name)
        self.fronts[name] = Journal(name, JournalConfig(segment_entries=8))
        self.pictures[name] = StateProjection()
        self.fronts[name].watchers.append(self.pictures[name].apply)
        self.fronts[name].add(0.0, EventKind.FRONT, why="up")

    @rule()
    def unit_dies(self) -> None:
        """And its fronts with it: a front that outlives its unit is not listened to."""
        for journal in self.fronts.values():
            journal.add(0.0, EventKind.FRONT, why="up")
        self.unit()

    @invariant()
    def one_picture(self) -> None:
        if not hasattr(self, "merger"):
            return
        for name in self.connected:
            shown = {row.session: (row.phase, row.server) for row in self.picture.sessions.values()
                     if row.front == name}  # fmt: skip
            held = {row.session: (row.phase, row.server) for row in self.pictures[name].sessions.values()}
            assert shown == held
        gone = {row.front for row in self.picture.sessions.values()} - self.connected
        assert not gone, "sessions of a front that nobody hears"
        numbers = [entry.number for entry in self.rows]
        assert numbers == list(range(1, len(numbers) + 1))
        marks = [(e.front, e.more["j"], e.more["n"]) for e in self.rows
                 if "n" in e.more and e.what is EventKind.PLAYS]  # fmt: skip
        assert len(marks) == len(set(marks)), "an answer counted twice"


MergeStory.TestCase.settings = hypothesis_settings(max_examples=100, stateful_step_count=30)
TestMergeStory = MergeStory.TestCase


# --- the folder ---


def made(tmp_path: Path, **more: Any) -> Path:
    root = tmp_path / "u"
    make_unit(root, Wish("yard", port=0, boxes=2, issuer="rehearsal", **more))
    return root


def test_a_new_unit_is_whole_and_closed_to_others(tmp_path: Path) -> None:
    root = made(tmp_path, fronts=2, operators=("ann",))
    config = load_unit(root)
    assert config.unit.fronts == 2 and config.trial is not None and config.trial.boxes == 2
    assert oct((root / "keys.json").stat().st_mode & 0o777) == "0o600"
    assert "Restart=always" in (root / "fernweir-unit.service").read_text()
    grades = {one.about: one.grade for one in look_over(root, least_free=0)}
    assert set(grades.values()) == {Grade.GOOD}
    with pytest.raises(UnitError, match="is not empty; nothing was changed"):
        make_unit(root, Wish("yard", boxes=1))
    with pytest.raises(UnitError, match="too long for a socket"):
        make_unit(tmp_path / ("d" * 100), Wish("yard", port=0, boxes=1))
    with pytest.raises(UnitError, match="where the list of boxes is"):
        make_unit(tmp_path / "v", Wish("yard"))
    assert not (tmp_path / "v").exists()
    with pytest.raises(UnitError, match=r"no unit\.ini"):
        load_unit(tmp_path / "nowhere")


def test_the_doctor_names_what_is_wrong(tmp_path: Path) -> None:
    root = made(tmp_path)

    def bad(**more: Any) -> dict[str, str]:
        return {one.about: one.says for one in look_over(root, **{"least_free": 0, **more})
                if one.grade is not Grade.GOOD}  # fmt: skip

    (root / "keys.json").chmod(0o644)
    assert "keys.json can be read by others" in bad()["permissions"]
    (root / "keys.json").chmod(0o600)
    assert "MiB free" in bad(least_free=1 << 60)["disk"]
    assert "after now" in bad(now=lambda: 1e9)["clock"]
    keys = json.loads((root / "keys.json").read_text())
    for left, says in ((86_400, "lapses in 1.0 days"), (-5, "has lapsed")):
        keys["keys"][0]["exp"] = 2e9 + left
        (root / "keys.json").write_text(json.dumps(keys))
        assert says in bad(now=lambda: 2e9)["front-1"]
    del keys["keys"][0]["exp"]
    (root / "keys.json").write_text(json.dumps(keys))
    front = Layout(root).front_ini(1)
    text = front.read_text()
    front.write_text(text.replace("led = yes", "led = no"))
    assert "not led" in bad()["front-1"]
    front.write_text(text.replace("tell = 2 s", "tell = often"))
    assert "tell" in bad()["front-1"]
    front.write_text(text)
    Layout(root).orders.write_bytes(b"half a fi")
    assert "damaged" in bad()["state"]


def test_a_second_unit_on_one_folder_is_refused(tmp_path: Path) -> None:
    layout = Layout(made(tmp_path))
    first = Lock(layout)
    first.take()
    with pytest.raises(UnitError, match=f"runs here already, process {os.getpid()}"):
        Lock(layout).take()
    first.give_back()
    second = Lock(layout)
    second.take()
    second.give_back()


def test_an_older_state_is_brought_up_to_date_and_a_newer_one_refused(tmp_path: Path) -> None:
    layout = Layout(made(tmp_path))
    layout.format.unlink()  # the first format had no mark, and its orders at the root
    first = {"format": 1, "version": 4, "drains": {"2": ["ann", 7]}, "holds": {"lesson-1": ["bob", 8]}}
    write_state(layout.root / "orders.json", KIND, first)
    assert read_format(layout) == 1 and migrate(layout) == ["state brought to format 2"]
    orders = load_orders(layout.orders)
    assert orders.drained(2) and orders.holds["lesson-1"].by == "bob"
    assert migrate(layout) == [] and not (layout.root / "orders.json").exists()
    write_state(layout.format, "fernweir unit", {"format": 9})
    with pytest.raises(UnitError, match="newer fernweir, format 9"):
        migrate(layout)


def test_a_backup_comes_back_as_it_was_and_a_damaged_one_does_not(tmp_path: Path) -> None:
    root, file = made(tmp_path), tmp_path / "unit.backup"
    layout = Layout(root)
    write_state(layout.orders, KIND, {"format": 1, "version": 1, "drains": {"1": ["ann", 7]}, "holds": {}})
    back_up(root, file)
    assert oct(file.stat().st_mode & 0o777) == "0o600"
    before = {path.relative_to(root): path.read_bytes() for path in root.rglob("*") if path.is_file()}
    layout.orders.unlink()
    (root / "keys.json").write_text("lost")
    lock = Lock(layout)
    lock.take()
    with pytest.raises(UnitError, match="runs here already"):
        restore(root, file)
    lock.give_back()
    assert "as their checksums say" in restore(root, file)[0]
    after = {path.relative_to(root): path.read_bytes() for path in root.rglob("*") if path.is_file()}
    assert after == before and load_orders(layout.orders).drained(1)
    kept = root.with_name("u.before-restore")
    assert (kept / "keys.json").read_text() == "lost"
    data = file.read_bytes()
    for cut in (0, 20, len(data) // 2, len(data) - 30):
        file.write_bytes(data[:cut])
        with pytest.raises(UnitError):
            restore(root, file)
    file.write_bytes(data[:-200] + bytes(byte ^ 0x55 for byte in data[-200:-190]) + data[-190:])
    with pytest.raises(UnitError):
        check(file)
    assert load_orders(layout.orders).drained(1)  # nothing was touched
    with pytest.raises(UnitError, match="is there already"):
        back_up(root, file)


def test_logs_are_bounded_while_their_writers_go_on(tmp_path: Path) -> None:
    path = tmp_path / "front-1.log"
    handle = open_log(path)
    for number in range(10):
        os.write(handle, b"x" * 90 + b"%09d\n" % number)
        rotate(path, 250, 2)
    os.close(handle)
    sizes = {one.name: one.stat().st_size for one in tmp_path.iterdir()}
    assert set(sizes) == {"front-1.log", "front-1.log.1", "front-1.log.2"} and max(sizes.values()) <= 300
    assert path.read_bytes().startswith(b"x" * 90)  # written at the new beginning, not past a hole


# --- alive ---


def test_a_unit_whose_processes_are_killed_comes_back_and_its_drains_stand(tmp_path: Path) -> None:
    root = made(tmp_path)
    layout = Layout(root)

    def run() -> subprocess.Popen[bytes]:
        with open(tmp_path / "unit.log", "ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "fernweir", "appliance", "run", str(root)], stdout=log, stderr=log
            )

    async def story() -> None:
        process = run()
        ann = ControlClient(layout.socket, "ann", watch=True, max_backoff_s=0.2)
        ann.start()
        try:
            await ann.wait_ready(30.0)

            async def children() -> dict[str, Any]:
                return {one["name"]: one for one in (await ann.ask("unit"))["unit"]["children"]}

            async def all_ready() -> dict[str, Any]:
                while True:
                    rows = await children()
                    if all(one["state"] == "ready" for one in rows.values()):
                        return rows
                    await asyncio.sleep(0.05)

            rows = await all_ready()
            assert list(rows) == ["box-1", "box-2", "list", "front-1"]
            await until(lambda: len(ann.follower.projection.servers) == 2)  # type: ignore[union-attr]
            asked = await ann.ask("drain", id="d1", target="1")
            if asked["outcome"] == "confirm":
                asked = await ann.ask("drain", id="d1", target="1", mark=asked["mark"])
            assert asked["outcome"] == "done" and "missing" not in asked
            os.kill(rows["front-1"]["pid"], signal.SIGKILL)
            while (await children())["front-1"]["pid"] == rows["front-1"]["pid"]:
                await asyncio.sleep(0.05)
            rows = await all_ready()
            assert rows["front-1"]["starts"] == 2 and "signal 9" in rows["front-1"]["last_end"]
            os.kill(rows["box-2"]["pid"], signal.SIGKILL)
            process.send_signal(signal.SIGKILL)
            process.wait()
            await until(lambda: not ann.connected)
            process = run()  # as the service manager does
            await until(lambda: ann.connected)
            await all_ready()
            assert (await ann.ask("drain", id="d1", target="1"))["says"] == asked["says"]
            front = ControlClient(layout.front_socket(1), "ann", watch=True)
            front.start()
            await front.wait_ready()
            await until(lambda: front.follower.projection is not None)
            picture = front.follower.projection
            assert picture is not None and picture.servers[1].state == "draining"
            orders = (await ann.ask("events", what="order", limit=500))["rows"]
            assert sum("drain 1" in row[11] for row in orders) == 1
            front.close()
        finally:
            ann.close()
            process.terminate()
            assert process.wait() == 0, (tmp_path / "unit.log").read_text()[-2000:]

    asyncio.run(story())


def test_settings_of_a_unit_that_are_wrong(tmp_path: Path) -> None:
    root = made(tmp_path)
    ini = Layout(root).unit_ini
    ini.write_text(ini.read_text().replace("fronts = 1", "fronts = none\nfront = 3"))
    with pytest.raises(ConfigError, match=r"fronts(.|\n)*front"):
        load_unit(root)
    ini.write_text("[unit]\nname = yard\nfronts = 3\n")
    with pytest.raises(UnitError, match=r"front-2\.ini: missing"):
        load_unit(root)
