"""The rig with several processes: the relay breaks paths as told, schedules can be read, fronts run."""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import json
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fernweir.audit.gaps import Loss
from fernweir.rehearsal.faults import ScheduleError
from fernweir.rehearsal.fleet.paths import Manner, PathFaults
from fernweir.rehearsal.fleet.plan import FleetPlan, PeerPlan
from fernweir.rehearsal.fleet.report import render_fleet
from fernweir.rehearsal.fleet.rig import Fleet, FleetResult
from fernweir.rehearsal.fleet.schedule import ON_FRONT, draw, manner, read_schedule
from fernweir.rehearsal.relay import Relay, free_pair
from tests.peers_mutants import Mutant, broken
from tests.peers_mutants.rig import MUTANTS

# --- decisions ---


def times(path: PathFaults, count: int, size: int = 100, every_ms: float = 1.0) -> list[tuple[float, ...]]:
    return [path.datagram(number * every_ms, size) for number in range(count)]


def test_a_path_does_what_its_manner_says_and_the_same_again_from_its_seed() -> None:
    plain = times(PathFaults(Random(1)), 50)
    assert plain == [(float(number),) for number in range(50)]
    manner = Manner(loss=0.3, delay_ms=20.0, jitter_ms=10.0, doubled=0.2, overtaken=0.1)
    path = PathFaults(Random(7), manner)
    drawn = times(path, 2_000)
    assert drawn == times(PathFaults(Random(7), manner), 2_000)
    assert 0.25 < sum(not one for one in drawn) / 2_000 < 0.35
    passed = path.passed
    assert (passed.carried, passed.doubled) == (
        sum(bool(one) for one in drawn),
        sum(len(one) == 2 for one in drawn),
    )
    assert 0.16 < passed.doubled / passed.carried < 0.24 and 0.07 < passed.overtaken / passed.carried < 0.13
    assert all(20.0 <= copy - sent <= 120.0 + 90.0 for sent, one in enumerate(drawn) for copy in one)
    firsts = [one[0] for one in drawn if one]
    assert firsts != sorted(firsts)


def test_a_cut_path_drops_datagrams_and_a_slow_one_queues_for_a_second_at_most() -> None:
    path = PathFaults(Random(1), Manner(cut=True))
    assert times(path, 20) == [()] * 20
    path.manner = Manner(rate=1_000.0)
    sent = [path.datagram(0.0, 100) for _ in range(20)]
    assert sent == [(100.0 * number,) for number in range(1, 11)] + [()] * 10
    assert path.piece(0.0, 500, 0.0) == 1_500.0, "a connection shares the link with datagrams"


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.integers(0, 1_000), st.floats(0.0, 0.9), st.floats(0.0, 500.0), st.sampled_from([0.0, 5_000.0]),
    st.lists(st.tuples(st.floats(0.0, 50.0), st.integers(0, 5_000)), max_size=40),
)  # fmt: skip
def test_pieces_of_a_connection_are_late_but_never_lost_or_overtaken(
    seed: int, loss: float, jitter: float, rate: float, pieces: list[tuple[float, int]]
) -> None:
    path = PathFaults(Random(seed), Manner(loss=loss, jitter_ms=jitter, rate=rate))
    now = last = 0.0
    link = 0.0  # when an honest link of that rate would have carried all so far
    for wait, size in pieces:
        now += wait
        link = max(now, link) + (size * 1_000.0 / rate if rate else 0.0)
        due = path.piece(now, size, last)
        assert due >= last and due >= link - 1e-6
        last = due


def wrong_path(seed: int) -> str:
    """A drawn path beside a slow one that counts the same dice: what differs, in words."""
    paths = importlib.import_module("fernweir.rehearsal.fleet.paths")
    dice = Random(seed)
    manner = paths.Manner(
        loss=dice.choice([0.0, 0.3]), delay_ms=dice.choice([0.0, 20.0]), jitter_ms=dice.choice([0.0, 30.0]),
        doubled=dice.choice([0.0, 0.4]), rate=dice.choice([0.0, 2_000.0]), cut=seed % 4 == 0,
    )  # fmt: skip
    path = paths.PathFaults(Random(seed), manner)
    now = free_at = last = 0.0
    fates = []
    for _ in range(300):
        now += dice.uniform(0.0, 40.0)
        size = dice.randint(1, 200)
        link = max(now, free_at) + size * 1_000.0 / manner.rate if manner.rate else now
        if dice.random() < 0.5:
            copies = path.datagram(now, size)
            fates.append(len(copies))
            if copies and (manner.cut or link - now > 1_000.0):
                return "a datagram passed a cut, or a full queue"
            if (
                copies
                and not link + manner.delay_ms - 1e-6
                <= copies[0]
                <= link + manner.delay_ms + manner.jitter_ms + 1e-6
            ):
                return "a datagram came at another time than its link allows"
            if len(copies) == 2 and copies[0] == copies[1]:
                return "two copies came as one"
            free_at = link if copies else free_at
        else:
            due = path.piece(now, size, last)
            free_at = link
            if due < last or due < link + manner.delay_ms - 1e-6:
                return "a piece came before its time"
            fates.append(3 if due > max(last, link + manner.delay_ms + manner.jitter_ms) + 100.0 else 4)
            last = due
    if manner.loss and 3 not in fates:
        return "no piece was ever sent again"
    return ""


def test_drawn_paths_are_as_a_slow_one_says() -> None:
    assert [wrong_path(seed) for seed in range(60)] == [""] * 60


@pytest.mark.parametrize(
    "mutant", [one for one in MUTANTS if "/fleet/" in one.file], ids=lambda one: one.name
)
def test_each_mistake_is_found(mutant: Mutant) -> None:
    with broken(mutant, "fernweir.rehearsal.fleet.paths"):
        assert any(wrong_path(seed) for seed in range(mutant.seeds))


# --- the relay, on sockets ---


class Heard(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.queue: asyncio.Queue[tuple[bytes, tuple[str, int]]] = asyncio.Queue()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.queue.put_nowait((data, addr))


class Ends:
    """Two or three fronts' ends around a relay: bare sockets at the real addresses."""

    def __init__(self, seed: int = 1) -> None:
        self.relay = Relay(seed)
        self.real: dict[str, tuple[str, int]] = {}
        self.at: dict[str, tuple[str, int]] = {}
        self.heard: dict[str, Heard] = {}
        self.out: dict[str, asyncio.DatagramTransport] = {}
        self.came: dict[str, asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.servers: list[asyncio.Server] = []

    async def add(self, number: int) -> None:
        name, loop = f"front-{number}", asyncio.get_running_loop()
        self.real[name] = free_pair(f"127.0.1.{number}")
        self.at[name] = await self.relay.add(name, self.real[name], f"127.0.2.{number}")
        self.out[name], self.heard[name] = await loop.create_datagram_endpoint(Heard, self.real[name])
        came = self.came[name] = asyncio.Queue()
        self.servers.append(
            await asyncio.start_server(lambda r, w: came.put_nowait((r, w)), *self.real[name])
        )

    def send(self, source: str, target: str, data: bytes) -> None:
        self.out[source].sendto(data, self.at[target])

    async def connect(self, source: str, target: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.at[target], local_addr=(self.real[source][0], 0))

    def close(self) -> None:
        self.relay.close()
        for transport in self.out.values():
            transport.close()
        for server in self.servers:
            server.close()


def with_ends(story: Callable[[Ends], Awaitable[None]], fronts: int = 2) -> None:
    async def run() -> None:
        ends = Ends()
        try:
            for number in range(1, fronts + 1):
                await ends.add(number)
            await asyncio.wait_for(story(ends), 20.0)
        finally:
            ends.close()

    asyncio.run(run())


def test_datagrams_go_one_way_when_the_other_is_cut_and_come_from_where_their_sender_is_answered() -> None:
    async def story(ends: Ends) -> None:
        ends.relay.path("front-1", "front-2").manner.cut = True
        ends.send("front-1", "front-2", b"lost")
        ends.send("front-2", "front-1", b"there")
        assert await ends.heard["front-1"].queue.get() == (b"there", ends.at["front-2"])
        ends.send("front-1", "front-3", b"another path")
        assert (await ends.heard["front-3"].queue.get())[0] == b"another path"
        ends.relay.path("front-1", "front-2").manner.cut = False
        ends.send("front-1", "front-2", b"again")
        assert await ends.heard["front-2"].queue.get() == (b"again", ends.at["front-1"])
        assert ends.heard["front-2"].queue.empty()
        assert ends.relay.path("front-1", "front-2").passed.lost == 1

    with_ends(story, 3)


def test_doubled_datagrams_arrive_twice_and_strangers_are_not_carried() -> None:
    async def story(ends: Ends) -> None:
        ends.relay.path("front-1", "front-2").manner = Manner(doubled=1.0, held_ms=1.0)
        ends.send("front-1", "front-2", b"x")
        assert [(await ends.heard["front-2"].queue.get())[0] for _ in range(2)] == [b"x", b"x"]
        with socket.socket(type=socket.SOCK_DGRAM) as stranger:
            stranger.bind(("127.0.3.9", 0))
            stranger.sendto(b"no front", ends.at["front-2"])
            while not ends.relay.strangers:
                ends.send("front-1", "front-2", b"y")
                await ends.heard["front-2"].queue.get()
        reader, _ = await asyncio.open_connection(*ends.at["front-2"], local_addr=("127.0.3.9", 0))
        with pytest.raises(ConnectionResetError):
            await reader.read(1)

    with_ends(story)


def test_a_connection_keeps_its_order_on_a_bad_path_and_is_silent_not_reset_in_a_cut() -> None:
    async def story(ends: Ends) -> None:
        path = ends.relay.path("front-1", "front-2")
        path.manner = Manner(loss=0.02, jitter_ms=3.0, rate=20_000_000.0)
        reader, writer = await ends.connect("front-1", "front-2")
        far_reader, far_writer = await ends.came["front-2"].get()
        body = Random(3).randbytes(1_500_000)
        writer.write(body)
        got = await far_reader.readexactly(700_000)
        path.manner.cut = True
        far_writer.write(b"other way")
        assert await reader.readexactly(9) == b"other way"
        assert not far_reader.at_eof() and not reader.at_eof()
        path.manner.cut = False
        ends.relay.changed()
        got += await far_reader.readexactly(800_000)
        assert got == body
        writer.write_eof()
        assert await far_reader.read() == b""
        far_writer.write(b"answer")
        far_writer.close()
        assert await reader.read() == b"answer"
        writer.close()

    with_ends(story)


def test_a_reset_is_heard_at_both_ends_but_not_through_a_cut() -> None:
    async def story(ends: Ends) -> None:
        reader, writer = await ends.connect("front-1", "front-2")
        far_reader, far_writer = await ends.came["front-2"].get()
        assert ends.relay.reset("front-2", "front-1") == 0 and ends.relay.reset("front-1", "front-2") == 1
        for end in (reader, far_reader):
            with pytest.raises(ConnectionResetError):
                await end.read(1)
        reader, writer = await ends.connect("front-1", "front-2")
        far_reader, far_writer = await ends.came["front-2"].get()
        path = ends.relay.path("front-1", "front-2")
        path.manner.cut = True
        writer.transport.abort()  # the kernel says a reset or an end, and neither passes the cut
        far_writer.write(b"x")
        await far_writer.drain()
        ends.send("front-2", "front-1", b"after that")
        await ends.heard["front-1"].queue.get()
        assert not far_reader.at_eof() and far_reader.exception() is None
        path.manner.cut = False
        ends.relay.changed()
        with contextlib.suppress(ConnectionResetError):
            assert await far_reader.read(1) == b""

    with_ends(story)


# --- schedules ---


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(0, 10_000), st.integers(2, 30), st.floats(6.0, 60.0))
def test_drawn_schedules_are_read_as_written_and_leave_a_majority_up(
    seed: int, fronts: int, seconds: float
) -> None:
    faults = draw(Random(seed), seconds=seconds, fronts=fronts, boxes=6, nasty=3.0)
    assert read_schedule(map(str, faults)) == faults
    assert faults == draw(Random(seed), seconds=seconds, fronts=fronts, boxes=6, nasty=3.0)
    for fault in faults:
        assert fault.at > 0.0 and fault.span >= 0.5 and fault.at + fault.span <= 0.8 * seconds + 0.51
        down = {one.on for one in faults if one.kind in ON_FRONT and one.at <= fault.at < one.at + one.span}
        assert len(down) <= (fronts - 1) // 2
        assert all(1 <= number <= fronts for number in (*fault.sources, *fault.targets))


@pytest.mark.parametrize(
    "line",
    ["at 1 for 2 cut 3", "at 1 for 2 kill 1>2", "at 1 for 2 hang 1", "for 2 kill 1", "at 1 for 2 kill *",
     "at 1 for 2 loss 1>2 strength 3", "at 1 for 2 cut 1,>2"],
)  # fmt: skip
def test_lines_that_are_no_faults_are_named(line: str) -> None:
    assert read_schedule(["# none", "", "at 1 for 2 cut *>1,2  # all but one"])[0].targets == (1, 2)
    with pytest.raises(ScheduleError, match="line 2"):
        read_schedule(["at 1 for 2 kill 1", line])


def test_faults_on_one_path_add_up_and_leave_others_alone() -> None:
    text = [
        "at 1 for 2 cut 1>2,3", "at 1 for 2 loss *>* strength 0.4", "at 1 for 2 loss 1>* strength 0.2",
        "at 1 for 2 slow 2>1 strength 1.0", "at 1 for 2 late *>3 strength 1.0", "at 1 for 1 kill 1",
    ]  # fmt: skip
    faults = read_schedule(text)
    base = Manner(delay_ms=5.0, loss=0.1)
    assert manner(base, faults, 1, 2) == Manner(delay_ms=5.0, loss=0.4, cut=True)
    assert manner(base, faults, 2, 1) == Manner(delay_ms=5.0, loss=0.4, rate=2_000.0)
    assert manner(base, faults, 2, 3) == Manner(delay_ms=1_000.0, jitter_ms=1_000.0, loss=0.4)
    assert manner(base, [], 1, 2) == base and base == Manner(delay_ms=5.0, loss=0.1)


# --- processes ---


def play(plan: FleetPlan, folder: Path) -> tuple[FleetResult, list[dict[str, Any]]]:
    async def day() -> FleetResult:
        return await Fleet(plan, folder, lambda text: None).run()

    result = asyncio.run(day())
    lines = (folder / "trace.jsonl").read_text().splitlines()
    return result, [json.loads(line) for line in lines]


def no_process_has(folder: Path) -> bool:
    """No process was started with settings of this folder and still runs."""
    commands = []
    for one in Path("/proc").glob("[0-9]*/cmdline"):
        with contextlib.suppress(OSError):
            commands.append(one.read_bytes())
    return not any(str(folder).encode() in command for command in commands)


def test_fronts_that_know_each_other_are_killed_halted_and_told_to_stop(tmp_path: Path) -> None:
    """One of three keepers stands still beside the kill; it wakes after its heirs have acted."""
    day = [
        "at 1.5 for 0.5 kill 4", "at 1.5 for 3.6 stop 3", "at 5.4 for 0.1 term 2",
        "at 0.5 for 5.0 loss *>* strength 0.05", "at 3.0 for 0.6 cut 4>1",
    ]  # fmt: skip
    plan = FleetPlan(
        seed=3, fronts=4, seconds=5.5, rate=10.0, play_s=(4.0, 5.0), settle_s=0.1,
        peers=PeerPlan(lease=1_500.0, overlap=500.0), faults=tuple(read_schedule(day)),
    )  # fmt: skip
    result, trace = play(plan, tmp_path)
    assert result.problems == [] and [str(one) for one in result.auditor.findings] == []
    assert result.exits == [0] * 5 and not result.passed_over and no_process_has(tmp_path)
    costs = result.auditor.gaps.costs
    for loss in Loss:
        assert costs[loss].gaps, f"heirs took sessions of the {loss} front"
        assert costs[loss].ended == 0
    assert result.passed.lost > 0 and result.passed.bytes > 0, "fronts talk through the relay"
    woke = next(one["t"] for one in trace if one["kind"] == "front.cont")
    claims = [one for one in trace if one["kind"] == "box.claim" and one["channel"].startswith("front-3:")]
    assert any(one["accepted"] and one["front"] != "front-3" and one["t"] < woke for one in claims)
    text = render_fleet(result)
    assert "no session ended" in text and text.endswith("every rule held")


def test_viewers_of_a_killed_front_go_to_another_and_no_process_is_left_when_the_rig_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Fronts that don't know each other: the rig as it is without peers, and its end by an error."""
    plan = FleetPlan(
        seed=3, fronts=2, seconds=3.0, rate=8.0, play_s=(0.5, 1.0), settle_s=0.1, peers=None,
        faults=tuple(read_schedule(["at 0.5 for 1.0 kill 1"])),
    )  # fmt: skip
    result, trace = play(plan, tmp_path)
    assert result.problems == [] and [str(one) for one in result.auditor.findings] == []
    refused = {one["req"] for one in trace if one.get("outcome") == "refused"}
    asked = {one["req"]: one["session"] for one in trace if one["kind"] == "viewer.ask"}
    answered = {asked[one["req"]] for one in trace if one["kind"] == "viewer.answer"}
    assert refused and {asked[req] for req in refused} <= answered

    async def fails(self: Fleet) -> list[Any]:
        assert not no_process_has(tmp_path)
        raise RuntimeError("the rig's own mistake")

    monkeypatch.setattr(Fleet, "_day", fails)
    with pytest.raises(RuntimeError, match="own mistake"):
        play(plan, tmp_path)
    assert no_process_has(tmp_path)
