"""Tests of a unit: supervision, the merged journal, the folder's layout and backups, and a running unit."""

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
from fernweir.appliance.doctor import Grade, diagnose_unit
from fernweir.appliance.layout import Layout, Lock, UnitError, load_unit, migrate, read_format
from fernweir.appliance.logs import open_log, rotate
from fernweir.appliance.make import UnitOptions, create_unit
from fernweir.appliance.merge import JournalMerger
from fernweir.appliance.supervise import (
    ChildSpec,
    Kill,
    LogMessage,
    Start,
    State,
    Supervisor,
    SupervisorSettings,
    Terminate,
)
from fernweir.config.ini import ConfigError
from fernweir.control.client import ControlClient
from fernweir.control.desk import KIND, load_orders
from fernweir.control.statefile import write_state
from fernweir.journal.events import EventKind
from fernweir.journal.state_projection import StateProjection
from fernweir.journal.store import Journal, JournalConfig
from tests.sockets import until

# --- supervision ---

CHILDREN = [ChildSpec("box"), ChildSpec("list", ("box",)), ChildSpec("front", ("list",))]
RULES = SupervisorSettings(
    initial_backoff_ms=100.0, max_backoff_ms=1_000.0, stable_ms=5_000.0, max_restarts=3,
    restart_window_ms=60_000.0, ready_timeout_ms=2_000.0, stop_timeout_ms=1_000.0,
)  # fmt: skip


class SimulatedUnit:
    """A supervisor with a simulated clock and simulated processes."""

    def __init__(self, rules: SupervisorSettings = RULES) -> None:
        self.supervisor, self.now = Supervisor(CHILDREN, rules, 1), 0.0
        self.alive: list[str] = []
        self.messages: list[str] = []

    def step(self, after: float = 0.0) -> list[str]:
        """Advances the clock and returns the commands, such as `start box`."""
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
                self.messages.append(command.text)
        return done

    def end(self, name: str, reason: str = "ended with 1") -> None:
        self.alive.remove(name)
        commands = self.supervisor.on_exit(self.now, name, reason)
        self.messages += [command.text for command in commands if isinstance(command, LogMessage)]

    def ready(self, name: str) -> None:
        self.supervisor.on_ready(self.now, name)


def test_children_start_in_dependency_order_and_stop_in_reverse() -> None:
    unit = SimulatedUnit()
    assert unit.step() == ["start box"] and unit.step() == []
    unit.ready("box")
    assert unit.step() == ["start list"]
    unit.ready("list")
    unit.end("box")
    assert unit.step() == ["start front"]  # its dependency has been ready once, which is enough
    unit.ready("front")
    unit.supervisor.stop(unit.now)
    assert unit.step() == ["terminate front"] and unit.step(500.0) == []
    assert unit.step(600.0) == ["kill front"] and unit.step() == []
    unit.end("front", "killed by signal 9")
    assert unit.step() == ["terminate list"]
    unit.end("list")
    assert unit.step() == [] and unit.supervisor.stopped


def test_backoff_grows_until_the_child_is_stable_and_too_many_exits_give_it_up() -> None:
    unit = SimulatedUnit(replace(RULES, max_restarts=100))
    unit.step()
    backoffs_ms = []
    for _ in range(6):
        unit.end("box")
        deadline = unit.supervisor.next_deadline()
        assert deadline is not None
        backoffs_ms.append(deadline - unit.now)
        assert unit.step(deadline - unit.now) == ["start box"]
    assert all(50.0 * 2**n <= backoff_ms <= 100.0 * 2**n for n, backoff_ms in enumerate(backoffs_ms[:4]))
    assert max(backoffs_ms) <= 1_000.0
    unit.ready("box")
    unit.now += 6_000.0
    unit.end("box")
    deadline = unit.supervisor.next_deadline()
    assert deadline is not None and deadline - unit.now <= 100.0

    unit = SimulatedUnit()
    unit.step()
    for _ in range(3):
        unit.end("box")
        assert unit.step(1_000.0) == ["start box"]
    unit.end("box")
    assert unit.supervisor.children["box"].state is State.GIVEN_UP and "given up" in unit.messages[-1]
    assert unit.step(100_000.0) == []
    assert unit.supervisor.retry(unit.now, "box") and unit.step() == ["start box"]
    assert not unit.supervisor.retry(unit.now, "box")


def test_a_child_that_is_not_ready_in_time_is_killed_and_counts_as_failed() -> None:
    unit = SimulatedUnit()
    unit.step()
    assert unit.step(2_000.0) == ["kill box"] and unit.step(1.0) == []
    unit.end("box", "killed by signal 9")
    assert unit.supervisor.children["box"].consecutive_failures == 1 and unit.step(100.0) == ["start box"]


@pytest.mark.parametrize(
    "children",
    [
        [ChildSpec("a"), ChildSpec("a")],
        [ChildSpec("a", ("b",))],
        [ChildSpec("a", ("b",)), ChildSpec("b", ("a",))],
    ],
)
def test_duplicate_unknown_and_cyclic_children_are_rejected(children: list[ChildSpec]) -> None:
    with pytest.raises(ValueError, match=r"a"):
        Supervisor(children)


class SupervisorStateMachine(RuleBasedStateMachine):
    """Exits, readiness and stops at any moment: a child never runs twice, and none outlives the stop."""

    @initialize()
    def begin(self) -> None:
        self.unit = SimulatedUnit(replace(RULES, max_restarts=5))

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
            for name, row in self.unit.supervisor.children.items():
                runs = row.state in (State.STARTING, State.READY, State.STOPPING)
                assert runs == (name in self.unit.alive)

    def teardown(self) -> None:
        if hasattr(self, "unit"):
            self.unit.supervisor.stop(self.unit.now)
            for _ in range(8):
                self.unit.step(1_100.0)
                for name in list(self.unit.alive):
                    if self.unit.supervisor.children[name].state is State.STOPPING:
                        self.unit.end(name)
            assert self.unit.supervisor.stopped and self.unit.alive == []


SupervisorStateMachine.TestCase.settings = hypothesis_settings(max_examples=100, stateful_step_count=30)
TestSupervisorStateMachine = SupervisorStateMachine.TestCase


# --- the merged journal ---


class MergeStateMachine(RuleBasedStateMachine):
    """Fronts exit and lose their journals, and the unit restarts: one projection, each entry merged once."""

    @initialize()
    def begin(self) -> None:
        self.fronts = {name: Journal(name, JournalConfig(segment_entries=8)) for name in ("f1", "f2")}
        self.projections = {name: StateProjection() for name in self.fronts}
        for name, journal in self.fronts.items():
            journal.watchers.append(self.projections[name].apply)
            journal.add(0.0, EventKind.FRONT, why="up")
        self.sent = dict.fromkeys(self.fronts, ("", 0))
        self.rows: list[Any] = []
        self.start_unit()
        self.count = 0

    def start_unit(self) -> None:
        """Starts the unit again with the entries that its journal had."""
        self.journal = Journal("", JournalConfig(segment_entries=8))
        self.journal.restore("unit", [], list(self.rows))
        self.projection = StateProjection()
        for entry in self.rows:
            self.projection.apply(entry)
        self.journal.watchers += [self.projection.apply, self.rows.append]
        self.merger = JournalMerger(self.journal)
        self.merger.recover()
        self.connected: set[str] = set()
        for name in list(self.projection.fronts):
            self.merger.mark_front_down(name, 0)

    @rule(name=st.sampled_from(["f1", "f2"]), session=st.integers(0, 3), box=st.integers(1, 3))
    def happens(self, name: str, session: int, box: int) -> None:
        self.count += 1
        projection, journal, id = self.projections[name], self.fronts[name], f"s{session}"
        row = projection.sessions.get(f"{name}/{id}")
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
        """Sends the entries after the last merged one, or a snapshot, as the channel does."""
        journal, position = self.fronts[name], self.merger.position_of(name)
        if position.journal == journal.id and position.number <= journal.last:
            # One entry is sent twice, as after a lost connection.
            for entry in journal.entries(max(position.number - 1, 0)):
                self.merger.add_entry(name, journal.id, entry)
        else:
            projection = StateProjection.from_plain(self.projections[name].to_plain())
            self.merger.add_snapshot(name, journal.id, projection)

    @rule(name=st.sampled_from(["f1", "f2"]))
    def front_dies(self, name: str) -> None:
        self.connected.discard(name)
        self.merger.mark_front_down(name, 0)
        self.fronts[name].add(0.0, EventKind.FRONT, why="up")

    @rule(name=st.sampled_from(["f1", "f2"]))
    def loses_its_journal(self, name: str) -> None:
        self.front_dies(name)
        self.fronts[name] = Journal(name, JournalConfig(segment_entries=8))
        self.projections[name] = StateProjection()
        self.fronts[name].watchers.append(self.projections[name].apply)
        self.fronts[name].add(0.0, EventKind.FRONT, why="up")

    @rule()
    def unit_dies(self) -> None:
        """The fronts restart too: the unit ignores a front that an earlier process of it started."""
        for journal in self.fronts.values():
            journal.add(0.0, EventKind.FRONT, why="up")
        self.start_unit()

    @invariant()
    def one_picture(self) -> None:
        if not hasattr(self, "merger"):
            return
        for name in self.connected:
            shown = {row.session: (row.phase, row.server) for row in self.projection.sessions.values()
                     if row.front == name}  # fmt: skip
            expected = {
                row.session: (row.phase, row.server) for row in self.projections[name].sessions.values()
            }
            assert shown == expected
        gone = {row.front for row in self.projection.sessions.values()} - self.connected
        assert not gone, "sessions of a front that is not connected"
        numbers = [entry.number for entry in self.rows]
        assert numbers == list(range(1, len(numbers) + 1))
        origins = [(e.front, e.more["j"], e.more["n"]) for e in self.rows
                 if "n" in e.more and e.what is EventKind.PLAYS]  # fmt: skip
        assert len(origins) == len(set(origins)), "an entry was merged twice"


MergeStateMachine.TestCase.settings = hypothesis_settings(max_examples=100, stateful_step_count=30)
TestMergeStateMachine = MergeStateMachine.TestCase


# --- the folder ---


def create_test_unit(tmp_path: Path, **options: Any) -> Path:
    """Creates a unit with two simulated servers and returns its folder."""
    root = tmp_path / "u"
    create_unit(root, UnitOptions("yard", port=0, simulated_servers=2, issuer="rehearsal", **options))
    return root


def test_a_new_unit_is_complete_and_private(tmp_path: Path) -> None:
    root = create_test_unit(tmp_path, fronts=2, operators=("ann",))
    config = load_unit(root)
    assert config.unit.fronts == 2 and config.trial is not None and config.trial.boxes == 2
    assert oct((root / "keys.json").stat().st_mode & 0o777) == "0o600"
    assert "Restart=always" in (root / "fernweir-unit.service").read_text()
    grades = {finding.subject: finding.grade for finding in diagnose_unit(root, min_free_bytes=0)}
    assert set(grades.values()) == {Grade.GOOD}
    with pytest.raises(UnitError, match="is not empty; nothing was changed"):
        create_unit(root, UnitOptions("yard", simulated_servers=1))
    with pytest.raises(UnitError, match="too long for a socket"):
        create_unit(tmp_path / ("d" * 100), UnitOptions("yard", port=0, simulated_servers=1))
    with pytest.raises(UnitError, match="the URL of the server list"):
        create_unit(tmp_path / "v", UnitOptions("yard"))
    assert not (tmp_path / "v").exists()
    with pytest.raises(UnitError, match=r"no unit\.ini"):
        load_unit(tmp_path / "nowhere")


def test_the_doctor_reports_each_problem(tmp_path: Path) -> None:
    root = create_test_unit(tmp_path)

    def problems(**more: Any) -> dict[str, str]:
        return {finding.subject: finding.message
                for finding in diagnose_unit(root, **{"min_free_bytes": 0, **more})
                if finding.grade is not Grade.GOOD}  # fmt: skip

    (root / "keys.json").chmod(0o644)
    assert "keys.json can be read by others" in problems()["permissions"]
    (root / "keys.json").chmod(0o600)
    assert "MiB free" in problems(min_free_bytes=1 << 60)["disk"]
    assert "after now" in problems(now=lambda: 1e9)["clock"]
    keys = json.loads((root / "keys.json").read_text())
    for remaining_s, message in ((86_400, "expires in 1.0 days"), (-5, "has expired")):
        keys["keys"][0]["exp"] = 2e9 + remaining_s
        (root / "keys.json").write_text(json.dumps(keys))
        assert message in problems(now=lambda: 2e9)["front-1"]
    del keys["keys"][0]["exp"]
    (root / "keys.json").write_text(json.dumps(keys))
    front = Layout(root).front_ini(1)
    text = front.read_text()
    front.write_text(text.replace("led = yes", "led = no"))
    assert "not led" in problems()["front-1"]
    front.write_text(text.replace("tell = 2 s", "tell = often"))
    assert "tell" in problems()["front-1"]
    front.write_text(text)
    Layout(root).orders.write_bytes(b"half a fi")
    assert "damaged" in problems()["state"]


def test_a_second_unit_on_the_same_folder_is_rejected(tmp_path: Path) -> None:
    layout = Layout(create_test_unit(tmp_path))
    first = Lock(layout)
    first.acquire()
    with pytest.raises(UnitError, match=f"runs here already, process {os.getpid()}"):
        Lock(layout).acquire()
    first.release()
    second = Lock(layout)
    second.acquire()
    second.release()


def test_an_older_state_is_migrated_and_a_newer_one_rejected(tmp_path: Path) -> None:
    layout = Layout(create_test_unit(tmp_path))
    layout.format.unlink()  # format 1 had no format file, and stored its orders at the root
    first = {"format": 1, "version": 4, "drains": {"2": ["ann", 7]}, "holds": {"lesson-1": ["bob", 8]}}
    write_state(layout.root / "orders.json", KIND, first)
    assert read_format(layout) == 1 and migrate(layout) == ["state brought to format 2"]
    orders = load_orders(layout.orders)
    assert orders.drained(2) and orders.holds["lesson-1"].by == "bob"
    assert migrate(layout) == [] and not (layout.root / "orders.json").exists()
    write_state(layout.format, "fernweir unit", {"format": 9})
    with pytest.raises(UnitError, match="newer fernweir, format 9"):
        migrate(layout)


def test_a_backup_restores_all_files_and_a_damaged_one_is_rejected(tmp_path: Path) -> None:
    root, file = create_test_unit(tmp_path), tmp_path / "unit.backup"
    layout = Layout(root)
    write_state(layout.orders, KIND, {"format": 1, "version": 1, "drains": {"1": ["ann", 7]}, "holds": {}})
    back_up(root, file)
    assert oct(file.stat().st_mode & 0o777) == "0o600"
    before = {path.relative_to(root): path.read_bytes() for path in root.rglob("*") if path.is_file()}
    layout.orders.unlink()
    (root / "keys.json").write_text("lost")
    lock = Lock(layout)
    lock.acquire()
    with pytest.raises(UnitError, match="runs here already"):
        restore(root, file)
    lock.release()
    assert "match their checksums" in restore(root, file)[0]
    after = {path.relative_to(root): path.read_bytes() for path in root.rglob("*") if path.is_file()}
    assert after == before and load_orders(layout.orders).drained(1)
    previous = root.with_name("u.before-restore")
    assert (previous / "keys.json").read_text() == "lost"
    data = file.read_bytes()
    for length in (0, 20, len(data) // 2, len(data) - 30):
        file.write_bytes(data[:length])
        with pytest.raises(UnitError):
            restore(root, file)
    file.write_bytes(data[:-200] + bytes(byte ^ 0x55 for byte in data[-200:-190]) + data[-190:])
    with pytest.raises(UnitError):
        check(file)
    assert load_orders(layout.orders).drained(1)  # the unit is unchanged
    with pytest.raises(UnitError, match="already exists"):
        back_up(root, file)


def test_logs_stay_bounded_while_their_writers_continue(tmp_path: Path) -> None:
    path = tmp_path / "front-1.log"
    descriptor = open_log(path)
    for number in range(10):
        os.write(descriptor, b"x" * 90 + b"%09d\n" % number)
        rotate(path, 250, 2)
    os.close(descriptor)
    sizes = {file.name: file.stat().st_size for file in tmp_path.iterdir()}
    assert set(sizes) == {"front-1.log", "front-1.log.1", "front-1.log.2"} and max(sizes.values()) <= 300
    assert path.read_bytes().startswith(b"x" * 90)  # written at the new start, without a sparse gap


# --- a running unit ---


def test_a_unit_whose_processes_are_killed_recovers_and_keeps_its_drains(tmp_path: Path) -> None:
    root = create_test_unit(tmp_path)
    layout = Layout(root)

    def start_unit() -> subprocess.Popen[bytes]:
        with open(tmp_path / "unit.log", "ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "fernweir", "appliance", "run", str(root)], stdout=log, stderr=log
            )

    async def scenario() -> None:
        process = start_unit()
        ann = ControlClient(layout.socket, "ann", watch=True, max_backoff_s=0.2)
        ann.start()
        try:
            await ann.wait_ready(30.0)

            async def children() -> dict[str, Any]:
                return {child["name"]: child for child in (await ann.ask("unit"))["unit"]["children"]}

            async def all_ready() -> dict[str, Any]:
                while True:
                    rows = await children()
                    if all(child["state"] == "ready" for child in rows.values()):
                        return rows
                    await asyncio.sleep(0.05)

            rows = await all_ready()
            assert list(rows) == ["box-1", "box-2", "list", "front-1"]
            await until(lambda: len(ann.follower.projection.servers) == 2)  # type: ignore[union-attr]
            reply = await ann.ask("drain", id="d1", target="1")
            if reply["outcome"] == "confirm":
                reply = await ann.ask("drain", id="d1", target="1", mark=reply["mark"])
            assert reply["outcome"] == "done" and "missing" not in reply
            os.kill(rows["front-1"]["pid"], signal.SIGKILL)
            while (await children())["front-1"]["pid"] == rows["front-1"]["pid"]:
                await asyncio.sleep(0.05)
            rows = await all_ready()
            assert rows["front-1"]["starts"] == 2 and "signal 9" in rows["front-1"]["last_end"]
            os.kill(rows["box-2"]["pid"], signal.SIGKILL)
            process.send_signal(signal.SIGKILL)
            process.wait()
            await until(lambda: not ann.connected)
            process = start_unit()  # as a service manager does
            await until(lambda: ann.connected)
            await all_ready()
            assert (await ann.ask("drain", id="d1", target="1"))["says"] == reply["says"]
            front = ControlClient(layout.front_socket(1), "ann", watch=True)
            front.start()
            await front.wait_ready()
            await until(lambda: front.follower.projection is not None)
            projection = front.follower.projection
            assert projection is not None and projection.servers[1].state == "draining"
            orders = (await ann.ask("events", what="order", limit=500))["rows"]
            assert sum("drain 1" in row[11] for row in orders) == 1
            front.close()
        finally:
            ann.close()
            process.terminate()
            assert process.wait() == 0, (tmp_path / "unit.log").read_text()[-2000:]

    asyncio.run(scenario())


def test_invalid_settings_of_a_unit_are_reported(tmp_path: Path) -> None:
    root = create_test_unit(tmp_path)
    ini = Layout(root).unit_ini
    ini.write_text(ini.read_text().replace("fronts = 1", "fronts = none\nfront = 3"))
    with pytest.raises(ConfigError, match=r"fronts(.|\n)*front"):
        load_unit(root)
    ini.write_text("[unit]\nname = yard\nfronts = 3\n")
    with pytest.raises(UnitError, match=r"front-2\.ini: missing"):
        load_unit(root)
