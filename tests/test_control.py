"""Tests of the decisions on orders, of drains applied to the endpoint list, and of the control socket."""

from __future__ import annotations

import asyncio
import json
import os
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fernweir.config.ini import ConfigError
from fernweir.control.channel import ControlServer
from fernweir.control.client import ControlClient, ControlError
from fernweir.control.orders import (
    Command,
    CommandKind,
    OrderRules,
    Orders,
    OrdersError,
    Outcome,
    Result,
    SiteSnapshot,
)
from fernweir.control.overlay import Overlay
from fernweir.control.statefile import StateFileError, read_state, write_state
from fernweir.front.program import start_front
from fernweir.interface import EndpointListKind, EndpointListUpdate, ServerState
from fernweir.journal.events import EventKind
from fernweir.journal.state_projection import StateProjection
from fernweir.journal.store import Journal
from fernweir.rehearsal.site import SitePlan
from fernweir.standin.site import SiteTimes
from tests.helpers import entry
from tests.scene import Scene, play
from tests.sockets import until

SERVERS = frozenset(range(1, 7))
HOLDERS = {"a": [1, 2, 3], "b": [2, 3, 4], "c": [4, 5, 6]}
SITE = SiteSnapshot(
    ready=SERVERS,
    known=SERVERS,
    holders=HOLDERS,
    playing=dict.fromkeys(SERVERS, 2),
    carried_kb=dict.fromkeys(SERVERS, 100.0),
    capacity_kb=dict.fromkeys(SERVERS, 1_000.0),
    sessions=frozenset(["s1"]),
)


class CommandSender:
    """Sends commands with ids and a clock to an order book."""

    def __init__(self, rules: OrderRules | None = None) -> None:
        self.orders, self.now, self.number = Orders(rules), 0.0, 0

    def do(
        self, do: CommandKind, target: str, site: SiteSnapshot = SITE, by: str = "ann", **more: Any
    ) -> Result:
        self.number += 1
        command = Command(more.pop("id", f"c{self.number}"), by, do, target, **more)
        return self.orders.handle_command(self.now, 1000, command, site)


def test_a_drain_that_leaves_a_lesson_without_holder_costs_a_word_first() -> None:
    sender = CommandSender(OrderRules(burst=10))
    assert sender.do(CommandKind.DRAIN, "4").outcome is Outcome.DONE
    assert sender.do(CommandKind.DRAIN, "5").outcome is Outcome.DONE
    offer = sender.do(CommandKind.DRAIN, "6")
    assert offer.outcome is Outcome.CONFIRM and offer.cost["lessons"] == ["c"] and "c" in offer.message
    assert sender.do(CommandKind.DRAIN, "6", cost_digest="guessed").outcome is Outcome.CONFIRM
    assert sender.do(CommandKind.DRAIN, "6", cost_digest=offer.cost_digest).outcome is Outcome.DONE
    assert {int(server) for server in sender.orders.drains} == {4, 5, 6}


def test_a_drain_under_what_the_site_carries_costs_a_word_and_more_than_agreed_another() -> None:
    full = replace(SITE, carried_kb=dict.fromkeys(SERVERS, 750.0), holders={})
    sender = CommandSender()
    offer = sender.do(CommandKind.DRAIN, "1", full)
    assert offer.outcome is Outcome.CONFIRM and offer.cost["short_kb"] == 500.0
    worse = replace(full, carried_kb=dict.fromkeys(SERVERS, 800.0))
    assert sender.do(CommandKind.DRAIN, "1", worse, cost_digest=offer.cost_digest).outcome is Outcome.CONFIRM
    better = replace(full, carried_kb=dict.fromkeys(SERVERS, 740.0))
    assert sender.do(CommandKind.DRAIN, "1", better, cost_digest=offer.cost_digest).outcome is Outcome.DONE


def test_several_drains_are_paced_and_take_effect_in_turn() -> None:
    sender = CommandSender(OrderRules(pace_ms=1_000.0, burst=2))
    site = replace(SITE, holders={})
    outcomes = [sender.do(CommandKind.DRAIN, str(server), site).outcome for server in (1, 2, 3, 4)]
    assert outcomes == [Outcome.DONE, Outcome.DONE, Outcome.QUEUED, Outcome.QUEUED]
    assert sender.do(CommandKind.DRAIN, "3", site, by="bob").outcome is Outcome.ALREADY
    assert sender.orders.start_due_drains(1_999.0) == []
    due = sender.orders.next_deadline(0.0)
    assert (
        due is not None
        and sender.orders.start_due_drains(due) == [3, 4]
        and sender.orders.next_deadline(due) is None
    )


def test_undo_takes_back_what_stands_since_and_nothing_else() -> None:
    sender = CommandSender()
    sender.do(CommandKind.DRAIN, "1", id="first")
    assert sender.do(CommandKind.UNDO, "first").outcome is Outcome.DONE and not sender.orders.drains
    sender.do(CommandKind.HOLD, "a", id="hold")
    sender.do(CommandKind.UNHOLD, "a", by="bob")
    sender.do(CommandKind.HOLD, "a", by="bob", reason="bob's own")
    undone = sender.do(CommandKind.UNDO, "hold")
    assert undone.outcome is Outcome.REFUSED and sender.orders.holds["a"].by == "bob"
    assert sender.do(CommandKind.UNDO, "never given").outcome is Outcome.REFUSED


@pytest.mark.parametrize(
    ("do", "target", "most"),
    [
        (CommandKind.DRAIN, "77", 0), (CommandKind.DRAIN, "one", 0), (CommandKind.DRAIN, "-1", 0),
        (CommandKind.HOLD, "no-lesson", 0), (CommandKind.END, "s2", 0), (CommandKind.CAP, "everybody", 3),
    ],
)  # fmt: skip
def test_what_is_refused(do: CommandKind, target: str, most: int) -> None:
    sender = CommandSender()
    assert sender.do(do, target, limit=most).outcome is Outcome.REFUSED and sender.orders.version == 0


class OrdersStory(RuleBasedStateMachine):
    """Any commands, repetitions and restarts: an id is carried out once, and stored orders are complete."""

    @initialize()
    def begin(self) -> None:
        self.sender = CommandSender(OrderRules(pace_ms=100.0, burst=2, remembered=50))
        self.commands_by_id: dict[str, tuple[CommandKind, str, dict[str, Any]]] = {}
        self.drained_servers: set[int] = set()
        self.start_times_ms: list[float] = []

    @rule(
        do=st.sampled_from([CommandKind.DRAIN, CommandKind.DRAIN, CommandKind.UNDRAIN]),
        server=st.integers(1, 6),
    )
    def drain(self, do: CommandKind, server: int) -> None:
        result = self.sender.do(do, str(server))
        if result.outcome is Outcome.CONFIRM:
            result = self.sender.do(do, str(server), cost_digest=result.cost_digest)
            assert result.outcome is not Outcome.CONFIRM
        self.commands_by_id[f"c{self.sender.number}"] = (do, str(server), result.to_plain())
        if result.outcome is Outcome.DONE and do is CommandKind.DRAIN:
            self.drained_servers.add(server)
            self.start_times_ms.append(self.sender.now)
        elif do is CommandKind.UNDRAIN:
            self.drained_servers.discard(server)
        elif result.outcome is Outcome.QUEUED:
            assert str(server) in self.sender.orders.waiting

    @rule(number=st.integers(0, 20))
    def repeat_command(self, number: int) -> None:
        """A command is sent again after a lost connection: the same answer, and no change."""
        if self.commands_by_id:
            id = sorted(self.commands_by_id)[number % len(self.commands_by_id)]
            do, target, answer = self.commands_by_id[id]
            version = self.sender.orders.version
            repeated = self.sender.orders.handle_command(
                self.sender.now, 0, Command(id, "ann", do, target), SITE
            )
            assert (
                repeated.to_plain()["outcome"] == answer["outcome"] and self.sender.orders.version == version
            )

    @rule(after=st.sampled_from([0.0, 50.0, 300.0]))
    def time(self, after: float) -> None:
        self.sender.now += after
        for server in self.sender.orders.start_due_drains(self.sender.now):
            self.drained_servers.add(server)
            self.start_times_ms.append(self.sender.now)

    @rule()
    def restart(self) -> None:
        plain = json.loads(json.dumps(self.sender.orders.to_plain()))
        restored = Orders.from_plain(plain, self.sender.orders.rules)
        assert restored.to_plain() == plain
        recent_starts_ms = self.sender.orders._recent_starts_ms
        self.sender.orders = restored
        restored._recent_starts_ms = recent_starts_ms

    @invariant()
    def orders_match_commands(self) -> None:
        if hasattr(self, "sender"):
            orders = self.sender.orders
            assert {int(server) for server in orders.drains} == self.drained_servers
            assert not set(orders.drains) & set(orders.waiting)
            assert all(
                sum(at - 200.0 < other <= at for other in self.start_times_ms) <= 2
                for at in self.start_times_ms
            )


OrdersStory.TestCase.settings = hypothesis_settings(max_examples=100, stateful_step_count=30)
TestOrdersStory = OrdersStory.TestCase


class OverlayStory(RuleBasedStateMachine):
    """The published states are those of the list with drains applied, in any order of updates and orders."""

    @initialize()
    def begin(self) -> None:
        self.drained: set[int] = set()
        self.overlay = Overlay(self.drained.__contains__)
        self.listed: dict[int, ServerState] = {}
        self.published: dict[int, ServerState] = {}

    def publish(self, update: EndpointListUpdate | None) -> None:
        if update is None:
            return
        if update.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            self.published = {}
        self.published |= {one.server: one.state for one in update.entries}

    @rule(
        states=st.dictionaries(st.integers(1, 4), st.sampled_from(list(ServerState)), max_size=4),
        kind=st.sampled_from(
            [EndpointListKind.FULL, EndpointListKind.DELTA, EndpointListKind.DELTA, EndpointListKind.FAILED]
        ),
    )
    def list_says(self, states: dict[int, ServerState], kind: EndpointListKind) -> None:
        if kind is EndpointListKind.FAILED:
            states = {}
        elif kind is EndpointListKind.FULL:
            self.listed = {}
        self.listed |= states
        entries = tuple(entry(server, state=state) for server, state in states.items())
        self.publish(self.overlay.apply_list_update(EndpointListUpdate(kind, 1, entries)))

    @rule(server=st.integers(1, 5), drain=st.booleans())
    def order(self, server: int, drain: bool) -> None:
        (self.drained.add if drain else self.drained.discard)(server)
        self.publish(self.overlay.on_orders_changed())
        assert self.overlay.on_orders_changed() is None

    @invariant()
    def drains_are_applied(self) -> None:
        if hasattr(self, "overlay"):
            for server, state in self.listed.items():
                drained = state is ServerState.READY and server in self.drained
                assert self.published[server] is (ServerState.DRAINING if drained else state)
            assert set(self.published) == set(self.listed)


TestOverlayStory = OverlayStory.TestCase


# --- files ---


def test_an_older_state_file_is_taken_up_and_a_damaged_one_is_not(tmp_path: Path) -> None:
    path = tmp_path / "orders.json"
    write_state(
        path, "fernweir orders", {"format": 1, "version": 3, "drains": {"4": ["ann", 5]}, "holds": {}}
    )
    orders = Orders.from_plain(read_state(path, "fernweir orders"))
    assert orders.version == 3 and orders.drained(4) and orders.drains["4"].by == "ann"
    good = path.read_bytes()
    for bad in (good.replace(b"ann", b"bob"), good[:-9], b"", b"{}\n", good.replace(b"orders", b"keyset", 1)):
        path.write_bytes(bad)
        with pytest.raises(StateFileError, match=r"orders\.json"):
            read_state(path, "fernweir orders")
    for wrong in ({"format": 9}, [], {"format": 2, "version": 1}, {"format": 1, "drains": [], "holds": {}}):
        with pytest.raises(OrdersError):
            Orders.from_plain(wrong)


# --- sockets ---

FAST_TIMES = SiteTimes(tell=200.0, seen_after=50.0, set_up=(2.0, 6.0), idle=20_000.0, orphan=300.0)
CONTROL = "[control]\nsocket = run/{name}.sock\njournal = {name}-journal\norders = {name}.json"


def control_scene(scenario: Any, plan: SitePlan | None = None, **more: str) -> None:
    lines = CONTROL.format(name="front-0")
    lines += "".join(f"\n{key.replace('_', '-')} = {value}" for key, value in more.items())

    async def run(scene: Scene) -> None:
        await scenario(scene, await client(scene))

    play(run, plan or replace(SitePlan(), times=FAST_TIMES, fronts=1), extra=lines)


async def client(scene: Scene, operator: str = "ann", watch: bool = True) -> ControlClient:
    made = ControlClient(scene.site.folder / "run" / "front-0.sock", operator, watch=watch)
    made.start()
    await made.wait_ready()
    if watch:
        await until(lambda: made.follower.projection is not None)
    return made


def shows_front_state(scene: Scene, watcher: ControlClient) -> bool:
    """Whether the watcher's projection matches the sessions that the front holds now."""
    picture, host = watcher.follower.projection, scene.fronts[0].core.sessions
    assert picture is not None
    shown = {row.session: (row.phase, row.server, row.rung) for row in picture.sessions.values()}
    held = {
        jti: (one.phase.value, one.server, one.sent_rung)
        if one.phase.value != "asked"
        else ("asked", -1, shown.get(jti, (0, 0, -1))[2])
        for jti, one in host.records().items()
    }
    return shown == held and all(
        box.playing == len(host.sessions_playing_at(number)) for number, box in picture.servers.items()
    )


def test_a_watcher_shows_what_the_front_holds_and_why() -> None:
    async def scenario(scene: Scene, ann: ControlClient) -> None:
        wishes = [scene.wish(title=f"lesson-{number % 3}") for number in range(12)]
        await asyncio.gather(*map(scene.request_session, wishes))
        await until(lambda: shows_front_state(scene, ann))
        picture = ann.follower.projection
        assert picture is not None and len(picture.sessions) == 12 and picture.answers["plays"] == 12
        rows = (await ann.ask("why", session=wishes[0].session))["rows"]
        assert [row[2] for row in rows[:4]] == ["asked", "setup", "started", "plays"]
        assert "under the mark" in rows[1][11]
        page = await ann.ask("sessions", limit=5)
        rest = await ann.ask("sessions", after=page["next"], limit=500)
        assert len(page["rows"]) == 5 and len(rest["rows"]) == 7 and "next" not in rest
        boxes = (await ann.ask("boxes"))["rows"]
        assert sum(row["playing"] for row in boxes) == 12 and all(len(row["load"]) == 5 for row in boxes)
        await scene.http("DELETE", f"/lessons/{wishes[0].title}/session", wishes[0])
        await until(lambda: len(picture.sessions) == 11 and shows_front_state(scene, ann))
        found = (await ann.ask("events", what="ended", lesson=wishes[0].title))["rows"]
        assert found[0][11] == "ended by its viewer"
        ann.close()

    control_scene(scenario)


def test_nothing_new_reaches_a_drained_box_though_the_list_says_ready() -> None:
    async def scenario(scene: Scene, ann: ControlClient) -> None:
        first = await scene.first_choice()
        burst = [asyncio.ensure_future(scene.request_session(scene.wish())) for _ in range(20)]
        answer = await ann.ask("drain", target=str(first), reason="fan is loud")
        assert answer["outcome"] == "done"
        begun = len(scene.records_of("box.setup", box=first))
        scene.site.tell(first, "ready")
        await asyncio.gather(*burst)
        replies = await asyncio.gather(*(scene.request_session(scene.wish()) for _ in range(10)))
        assert {reply.status for reply in replies} == {200}
        # Requests in flight when the drain came may arrive within the grace period, later ones must not.
        assert len(scene.records_of("box.setup", box=first)) - begun <= 20
        sent = len(scene.records_of("box.setup", box=first))
        await asyncio.gather(*(scene.request_session(scene.wish()) for _ in range(10)))
        assert len(scene.records_of("box.setup", box=first)) == sent
        bob = await client(scene, "bob")
        assert (await bob.ask("drain", target=str(first)))["outcome"] == "already"
        assert (await bob.ask("undrain", target=str(first)))["outcome"] == "done"
        await asyncio.gather(*(scene.request_session(scene.wish()) for _ in range(3)))
        assert len(scene.records_of("box.setup", box=first)) > sent
        await until(lambda: shows_front_state(scene, bob) and shows_front_state(scene, ann))
        for one in (ann, bob):
            one.close()

    control_scene(scenario)


def test_drain_undrain_drain_within_a_moment_and_gone_wins() -> None:
    async def scenario(scene: Scene, ann: ControlClient) -> None:
        first = await scene.first_choice()
        for do in ("drain", "undrain", "drain"):
            assert (await ann.ask(do, target=str(first)))["outcome"] == "done"
        wish = scene.wish()
        assert (await scene.request_session(wish)).status == 200
        assert scene.records_of("box.setup", session=wish.session)[0]["box"] != first
        scene.site.tell(first, "gone")
        picture = ann.follower.projection
        assert picture is not None
        await until(lambda: picture.servers[first].state == "gone")
        await ann.ask("undrain", target=str(first))
        await until(lambda: picture.servers[first].drained_by == "")
        assert first not in scene.fronts[0].core.sessions._servers.states
        ann.close()

    control_scene(scenario, drains_at_once="5")


def test_holds_limits_and_an_end_with_a_reason() -> None:
    async def scenario(scene: Scene, ann: ControlClient) -> None:
        plays = scene.wish(play_s=10.0)
        watching = asyncio.ensure_future(scene.viewers.watch(plays))
        await until(lambda: scene.records_of("box.segment"))
        await ann.ask("hold", target="lesson-0", reason="wrong film")
        held = await scene.request_session(scene.wish())
        assert held.status == 503 and b"wrong film" in held.body and held.headers.get("retry-after") == "5"
        assert (await scene.request_session(plays)).status == 200  # a session that plays continues
        await ann.ask("end", target=plays.session, reason="asked to leave")
        assert (await watching).ended == "asked to leave"
        await ann.ask("unhold", target="lesson-0")
        await ann.ask("cap", target="lesson:lesson-0", most=2)
        replies = await asyncio.gather(*(scene.request_session(scene.wish()) for _ in range(4)))
        assert Counter(reply.status for reply in replies) == {200: 2, 503: 2}
        overview = await ann.ask("overview")
        assert overview["refusals"] == {
            "lesson is held: wrong film": 1,
            "limit of 2 sessions for lesson lesson-0": 2,
        }
        assert overview["caps"] == {"lesson:lesson-0": 2} and overview["holds"] == {}
        await until(lambda: shows_front_state(scene, ann))
        ann.close()

    control_scene(scenario)


def test_a_front_killed_and_back_keeps_drains_and_commands_done_once() -> None:
    async def scenario(scene: Scene, ann: ControlClient) -> None:
        first = await scene.first_choice()
        done = await ann.ask("drain", id="the-drain", target=str(first))
        scene.trace.write("front.down", front="front-0")
        scene.fronts.pop().kill()
        await until(lambda: not ann.connected)
        assert ann.follower.projection is not None  # the projection stays, with its age
        await scene.start_front(0)
        await until(lambda: ann.connected and ann.connections == 2)
        again = await ann.ask("drain", id="the-drain", target=str(first))
        assert (again["outcome"], again["says"]) == (done["outcome"], done["says"])
        orders = (await ann.ask("events", what="order", limit=500))["rows"]
        assert sum(row[11].startswith("drain ") for row in orders) == 1
        wish = scene.wish()
        assert (await scene.request_session(wish)).status == 200
        assert scene.records_of("box.setup", session=wish.session)[0]["box"] != first
        await until(lambda: shows_front_state(scene, ann))
        picture = ann.follower.projection
        assert picture is not None and picture.servers[first].drained_by == "ann"
        ann.close()

    control_scene(scenario)


def test_a_watcher_that_stops_reading_misses_some_and_is_told() -> None:
    async def scenario(scene: Scene, ann: ControlClient) -> None:
        assert ann._transport is not None
        ann._transport.pause_reading()
        journal = scene.fronts[0].core.sessions.journal
        assert journal is not None
        control = scene.fronts[0].control
        assert control is not None
        channel = control._channel
        assert channel is not None
        for number in range(20_000):  # far more than the socket and the queue hold
            journal.add(number, EventKind.REQUESTED, session=f"x{number % 50}", why="w" * 400)
            if number % 2_000 == 0:
                await until(lambda: channel._flush_timer is None)
        assert (await scene.request_session(scene.wish())).status == 200
        pending = [len(one.pending) for one in channel.clients]
        assert max(pending) <= 5_000
        ann._transport.resume_reading()
        await until(
            lambda: (
                ann.follower.missed_count > 0
                and ann.follower.projection is not None
                and ann.follower.projection.number == journal.last
            )
        )
        picture = StateProjection()
        for one in journal.entries(1):
            picture.apply(one)
        assert ann.follower.projection == picture
        ann.close()

    control_scene(scenario)


def test_a_watcher_that_reads_again_hears_of_it_though_nothing_new_happens(tmp_path: Path) -> None:
    class Desk:
        name, projection, journal = "quiet", StateProjection(), Journal()

        def may_act(self, operator: str, uid: int) -> bool:
            return True

        def handle(self, operator: str, may_act: bool, ask: Any, reply: Any) -> None: ...

        def gauges(self) -> dict[str, Any]:
            return {}

    async def scenario() -> None:
        desk = Desk()
        channel = ControlServer(desk, tmp_path / "quiet.sock", gauges_s=1e6)
        desk.journal.watchers += [desk.projection.apply, channel.on_journal_entry]
        await channel.listen()
        ann = ControlClient(tmp_path / "quiet.sock", "ann", watch=True)
        ann.start()
        await until(lambda: ann.follower.projection is not None)
        assert ann._transport is not None
        ann._transport.pause_reading()
        (connection,) = channel.clients
        while connection.is_writable:  # just enough to fill the transport's buffer
            for _ in range(100):
                desk.journal.add(0, EventKind.REQUESTED, session="x", why="w" * 200)
            await until(lambda: channel._flush_timer is None)
        for _ in range(6_000):  # exceeds the bound of pending entries
            desk.journal.add(0, EventKind.REQUESTED, session="x")
        await until(lambda: channel._flush_timer is None)
        assert connection.has_missed_entries
        ann._transport.resume_reading()
        await until(lambda: ann.follower.missed_count > 0)
        await until(lambda: ann.follower.projection == desk.projection)
        ann.close()
        channel.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("line", "error"),
    [
        (b"not json", "not JSON"),
        (b'{"id": "1"}', "do"),
        (b'{"id": "1", "do": "fly"}', "do"),
        (b'{"id": "1", "do": "drain"}', "target"),
        (b'{"id": "1", "do": "drain", "target": 5}', "target"),
        (b'{"id": "1", "do": "drain", "target": "5", "extra": 1}', "extra"),
        (b'{"id": "1", "do": "end", "target": "5", "reason": "\\u001b[2J"}', "reason"),
        (b'{"id": "", "do": "overview"}', "id"),
        (b'{"id": "1", "do": "sessions", "limit": 100000}', "limit"),
        (b"x" * 70_000, "a line of over"),
    ],
)
def test_bad_lines_get_one_clear_error(line: bytes, error: str) -> None:
    async def scenario(scene: Scene, ann: ControlClient) -> None:
        path = scene.site.folder / "run" / "front-0.sock"
        reader, writer = await asyncio.open_unix_connection(str(path))
        writer.write(b'{"hello": 1, "operator": "eve"}\n')
        assert json.loads(await reader.readline())["may"] == "read"
        writer.write(line + b"\n")
        answer = json.loads(await reader.readline())
        assert not answer["ok"] and error in answer["error"]
        writer.close()
        with pytest.raises(ControlError, match="may look, not act"):
            eve = await client(scene, "eve", watch=False)
            await eve.ask("drain", target="1")
        eve.close()
        ann.close()

    control_scene(scenario, operators="ann, bob")


def test_a_socket_in_use_and_damaged_orders_stop_a_front_with_one_clear_error() -> None:
    async def scenario(scene: Scene, ann: ControlClient) -> None:
        path = scene.site.folder / "run" / "front-0.sock"
        assert oct(os.stat(path).st_mode & 0o777) == "0o600"
        with pytest.raises(OSError, match="another process listens on this socket already"):
            await start_front(scene.site.config(0, extra=scene.extra))
        await ann.ask("hold", target="lesson-1")
        file = scene.site.folder / "front-0.json"
        file.write_bytes(file.read_bytes().replace(b"lesson-1", b"lesson-2"))
        with pytest.raises(ConfigError, match="checksum does not match"):
            await start_front(scene.site.config(0, extra=scene.extra))
        ann.close()

    control_scene(scenario)


def test_an_order_that_cannot_be_written_down_is_not_given() -> None:
    async def scenario(scene: Scene, ann: ControlClient) -> None:
        file = scene.site.folder / "front-0.json"
        file.mkdir()  # a directory, so that the file can't be written
        with pytest.raises(ControlError, match="can't be written down"):
            await ann.ask("hold", target="lesson-0")
        assert (await scene.request_session(scene.wish())).status == 200
        file.rmdir()
        assert (await ann.ask("hold", target="lesson-0"))["outcome"] == "done"
        assert (await scene.request_session(scene.wish())).status == 503
        ann.close()

    control_scene(scenario)
