"""A drawn storm of starts, restarts and reloads against the real program, with a ledger at its end.

    python -m bench.restarts --seeds 1-200 --jobs 2

Each seed plays some lives of one node, a process of its own at one address. Round it stand media servers that
accept late, answer late, in halves or not at all, refuse, break and come back; a control feed that breaks
off, repeats itself and moves (SIGHUP, now and then with a file that can't be read); viewers that pipeline,
send half lines, take back, half-close and reset. SIGSTOP comes in between, and SIGTERM or SIGKILL at the very
moment in which something drawn has happened so many times. Set-ups come till 0.6 s after SIGTERM. What is
drawn follows from the seed, what comes of it also from the machine: a seed does not play the same twice.

Exit 1 if a life has a fault: a set-up without its one readable answer, a session that stands for nobody, one
sent on after its viewer left, a process that did not start, ended early or late or not with 0, or wrote
something else than its log.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import traceback
from asyncio.subprocess import Process
from collections import Counter
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import click

from bench.restarts_around import Box, FeedStand, Ledger, Viewer, Wish
from fernweir.node.config import Address
from fernweir.node.jsonl import NO_SESSION_ID, Message, encode_message

ROOT = Path(__file__).parent.parent
DEADLINES = (280.0, 3_000.0, 6_500.0)
COMING_S, NEW_S = 0.6, 0.4  # PROTOCOL: how long requests, and connections, keep coming after SIGTERM
STARTS_S = 20.0  # far beyond any real start
SLACK_S = 1.5  # of the machine that plays this, beside what a node's end may take
TRIGGERS = (
    *("set up", "set up", "answered", "half answered", "broken", "accepted", "connected", "told", "refused"),
    *(
        "half a line",
        "stopped",
        "feed asked",
        "released",
        "reload",
        "ready",
        "asked",
        "asked",
        "left",
        "over",
    ),
)


DEEDS = (
    *("ask",) * 5,
    *("new",) * 2,
    *("box",) * 6,
    *("release", "leave", "feed", "reload", "list", "attend", "die"),
)


def settings(deadlines: tuple[float, float], aim: float) -> dict[str, Any]:
    classes = [
        {"Name": name, "Aim": aim * most, "Deadline": most, "Gain": 1, "Idempotency": kind}
        for name, kind, most in zip(("film", "course"), ("repeatable", "once"), deadlines, strict=True)
    ]
    return {
        "Categories": classes,
        "Extra": {
            "RatesKb": [100, 200, 400], "LevelWorth": [0.3, 0.6, 1], "KindSlots": [40], "WeightKb": 4000,
            "UplinkKb": 90000, "Cells": 4, "Groups": 2,
        },
        "Instances": 1, "Ordinal": 0, "Period": 10,
        "Limits": {"RetryAfter": True, "MaxRetryAfter": 1500, "ConnectTimeout": 250, "ConnIdle": 15000},
        "MachineTypes": ["box"],
    }  # fmt: skip


class Life:
    """From the start of one process to its end."""

    def __init__(self, story: Story, kill: bool) -> None:
        self.story, self.kill, self.dice = story, kill, story.dice
        self.ledger = Ledger(self.happened, story.timed)
        self.viewers: list[Viewer] = []
        self.process: Process | None = None
        self.ready = asyncio.Event()
        self.trigger = self.dice.choice(TRIGGERS), self.dice.choice((1, 1, 1, 2, 3, 5))
        self.ended_at = 0.0  # SIGTERM or SIGKILL
        self.seen: Counter[str] = Counter()
        self.log: Counter[str] = Counter()
        self.late_s = 0.0
        self.told_at = 0.0  # when the node says that it stops
        self.born = {one.name: one.born if one.up else 0 for one in story.boxes}
        self._stopped = 0.0

    def happened(self, what: str) -> None:
        self.seen[what] += 1
        name, times = self.trigger
        if what == name and self.seen[what] >= times and self.ready.is_set():
            self.end()

    def end(self) -> None:
        if self.ended_at or self.process is None or self.process.returncode is not None:
            return
        self.ended_at = time.time()
        self.ledger.note("KILL" if self.kill else "TERM")
        self.signal(signal.SIGKILL if self.kill else signal.SIGTERM)

    # --- the process ---

    def signal(self, number: int) -> None:
        """Not by `send_signal`, which may reap the process beside the loop that waits for it."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def start(self) -> None:
        story = self.story
        story.configure()
        variables = {
            "ROUTER_CONFIG": str(story.file), "ROUTER_NAME": "n1",
            "ROUTER_LISTEN": "{}:{}".format(*story.address),
        }  # fmt: skip
        command = (sys.executable, "-B", "-E", "-m", "fernweir", "node")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=variables, stderr=asyncio.subprocess.PIPE
        )
        self._reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        async for line in self.process.stderr:
            try:
                body = json.loads(line)
                event, level = body["event"], body["level"]
            except (ValueError, KeyError, TypeError):
                self.ledger.fault(f"a stray line: {line[:200]!r}")
                continue
            self.log[event] += 1
            self.ledger.note(line.decode().rstrip())
            if level == "error" and event != "new configuration not used":
                self.ledger.fault(f"an error in the log: {line[:300]!r}")
            if event == "stopping":
                self.told_at = body["at"]
            if event == "ready":
                listed = sum(one != "removed" for one in self.story.states.values())
                if body["servers"] != listed:
                    self.ledger.fault(f"knows {body['servers']} servers of {listed}")
                self.ready.set()
                self.happened("ready")

    async def began(self) -> bool:
        """Viewers try from the start of the process on; so does SIGHUP, which must never end it."""
        assert self.process is not None
        dice, hasty = self.dice, self.dice.random() < 0.7
        until, hup = time.time() + STARTS_S, dice.random() < 0.4
        while not self.ready.is_set() and self.process.returncode is None and time.time() < until:
            if hasty and len(self.viewers) < 4:
                viewer = await self.viewer()
                if viewer is not None:  # in the backlog, or accepted: by the kernel alone, or by the node
                    viewer.wish(*[self.wish(viewer) for _ in range(dice.choice((1, 1, 3)))])
            if hup and await self._loads():
                hup = False
                await self.reload(dice.choice((1, 2)))
            await asyncio.sleep(0.001)
        if not self.ready.is_set():
            self.ledger.fault(f"not ready: {self.process.returncode}, {dict(self.log)}")
            return False
        return True

    async def _loads(self) -> bool:
        """Whether the process holds SIGHUP back already: as its program begins."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False
        blocked = next((one for one in status.splitlines() if one.startswith("SigBlk:")), "SigBlk: 0")
        return bool(int(blocked.split()[1], 16) >> (signal.SIGHUP - 1) & 1)

    # --- what may happen ---

    async def viewer(self) -> Viewer | None:
        viewer = Viewer(self.ledger, f"v{len(self.viewers)}")
        if not await viewer.connect(self.story.address):
            return None
        self.viewers.append(viewer)
        return viewer

    def wish(self, viewer: Viewer, plays_at: str = "") -> Wish:
        dice = self.dice
        place = dice.randrange(2)
        extras = f"home:{dice.randrange(4)};copies:4;top:2;viewer:{dice.getrandbits(32):016x}"
        if plays_at:
            extras += f";at:{plays_at}"
        fields: dict[str, str | int | float] = {
            "class": ("film", "course")[place], "left": f"{self.story.deadlines[place]:.0f}",
            "key": f"{dice.randrange(6):016x}", "extras": extras,
        }  # fmt: skip
        id = f"{dice.getrandbits(63) + 1:016x}"
        return Wish(Message("setup", id, fields, sdp=f"{id}\r\nc=IN IP4 10.4.7.9\r\n"), viewer, 0.0, plays_at)

    def ask(self, viewer: Viewer) -> None:
        """Something is asked on this connection."""
        dice = self.dice
        if viewer.half is not None:
            viewer.wish_rest()
            self.happened("asked")
            return
        what = dice.choice(("one", "one", "one", "pipelined", "half", "at"))
        if what == "half":
            viewer.wish_half(self.wish(viewer), dice)
            return
        wishes = [self.wish(viewer) for _ in range(dice.choice((2, 3, 8)) if what == "pipelined" else 1)]
        if what == "at":
            box = dice.choice(self.story.boxes)
            if box.up and self.born[box.name] == box.born:  # on the list since the start
                wishes = [self.wish(viewer, box.name)]
                box.stands[wishes[0].message.id] = time.time()
        viewer.wish(*wishes)
        self.happened("asked")

    async def act(self, new: bool = True, asks: bool = True) -> None:
        """One thing of all that may happen."""
        dice, story = self.dice, self.story
        there = [one for one in self.viewers if one.open]
        deed = dice.choice(DEEDS)
        if deed == "ask" and asks and there:
            self.ask(dice.choice(there))
        elif deed == "new" and asks and new:
            viewer = await self.viewer()
            if viewer is not None and not (self.ended_at and time.time() > self.ended_at + COMING_S):
                self.ask(viewer)
        elif deed == "box":
            dice.choice(story.boxes).act()
        elif deed == "release" and asks:
            open_ones = [
                one for one in self.ledger.wishes.values()
                if one.viewer.open and one.viewer.half is None and not one.left and not one.ends
                and not (one.answers and one.answers[0].type != "answer")
            ]  # fmt: skip
            if open_ones:
                wish = dice.choice(open_ones)
                wish.viewer.release(wish)
        elif deed == "leave" and len(there) > 1:
            viewer = dice.choice(there[1:])  # the first stays, so that ends can be told
            viewer.half = None
            viewer.leave(dice.choice(("close", "reset", "half-close")))
            self.happened("left")
        elif deed == "feed":
            dice.choice((story.feed.break_off, story.feed.tell))()
        elif deed == "list":
            story.change()
        elif deed == "reload" and dice.random() < 0.4:
            await self.reload(dice.choice((1, 1, 2, 3)))
        elif deed == "attend":
            box = dice.choice(story.boxes)
            if box.lazy or box.waiting:
                box.attend()
            else:
                box.lazy = dice.random() < 0.5
        elif deed == "die" and dice.random() < 0.25:
            box = dice.choice(story.boxes)
            if box.up:
                box.die()
            elif not story.removed(box):
                box.listen(story.host)

    async def reload(self, times: int) -> None:
        """The feed moves, or the file is of no use; then the word of it."""
        assert self.process is not None
        if self.process.returncode is not None:
            return
        if self.ready.is_set() and self.dice.random() < 0.2:
            story, bad = self.story, self.dice.choice(("absent", "half", "other"))
            whole = story.file.read_bytes()
            if bad == "absent":
                story.file.unlink()
            else:
                story.file.write_bytes(whole[: len(whole) // 2] if bad == "half" else b"[]")
            self.signal(signal.SIGHUP)
            if self.ready.is_set() and not self._stopped and not self.ended_at:
                before = self.log["new configuration not used"]
                await self.wait(lambda: self.log["new configuration not used"] > before, "word of a bad file")
        await self.story.move()
        for _ in range(times):
            self.signal(signal.SIGHUP)
        self.happened("reload")
        if self.ready.is_set() and not self._stopped and not self.ended_at and self.dice.random() < 0.5:
            feed = self.story.feed
            await self.wait(lambda: feed.asked, "the feed's new address")

    async def wait(self, what: Any, text: str, most_s: float = 10.0) -> None:
        assert self.process is not None
        until = time.time() + most_s
        while not what() and not self.ended_at and self.process.returncode is None:
            if time.time() > until:
                self.ledger.fault(f"never came: {text}")
                return
            await asyncio.sleep(0.001)

    async def turned(self) -> None:
        """Until the node has answered a test that is sent now: all before it has been read."""
        first = self.viewers[0] if self.viewers else None
        if self._stopped or first is None or not first.open or first.half is not None:
            return
        before = self.ledger.pongs
        first.write(encode_message(Message("ping", NO_SESSION_ID, cause=0)))
        await self.wait(lambda: self.ledger.pongs > before, "a test's answer")

    def stop(self) -> None:
        assert self.process is not None
        if self.process.returncode is None and not self._stopped:
            self._stopped = time.time()
            self.ledger.note("STOP")
            self.signal(signal.SIGSTOP)
            self.happened("stopped")

    def go_on(self) -> None:
        assert self.process is not None
        if self._stopped:
            self.ledger.stopped.append((self._stopped, time.time()))
            self._stopped = 0.0
            self.ledger.note("CONT")
            if self.process.returncode is None:
                self.signal(signal.SIGCONT)

    # --- the whole ---

    async def play(self) -> None:
        dice = self.dice
        await self.start()
        assert self.process is not None
        try:
            if not await self.began():
                return
            while not self.viewers or not self.viewers[0].open:
                if (first := await self.viewer()) is None:
                    break  # the process ended meanwhile
                self.viewers.remove(first)
                self.viewers.insert(0, first)
            for _ in range(dice.randrange(5, 80)):
                if self.ended_at:
                    break
                await self.act()
                if self._stopped and dice.random() < 0.3:
                    self.go_on()
                elif dice.random() < 0.05:
                    self.stop()
                if dice.random() < 0.6:
                    await self.turned()
            self.end()
            await self._last()
        finally:
            self.go_on()
            if self.process.returncode is None:
                self.signal(signal.SIGKILL)
            await self.process.wait()
            await self._reader
        await self._reckon()

    async def _last(self) -> None:
        """What comes after the signal, at drawn times up to the end."""
        assert self.process is not None
        dice, process = self.dice, self.process
        if self.kill:
            self.go_on()
            await process.wait()
            return
        plays_s = min(max(self.story.deadlines), 3_000.0) / 1000.0 + 0.65
        still = dice.uniform(0.0, COMING_S) if dice.random() < 0.2 else plays_s  # from then to its time's end
        times = sorted(dice.uniform(0.0, COMING_S) for _ in range(dice.randrange(25)))
        times += sorted(dice.uniform(COMING_S, plays_s) for _ in range(dice.randrange(6)))
        for after in times:
            left = self.ended_at + after - time.time()
            if left > 0.0:
                await asyncio.sleep(left)
            since = time.time() - self.ended_at
            if process.returncode is not None or since > plays_s - 0.3:
                break
            asks = since < COMING_S
            if since > still:
                self.stop()
            elif not asks and dice.random() < 0.7:
                self.go_on()
            await self.act(new=since < NEW_S, asks=asks)
            if dice.random() < 0.05:
                self.signal(dice.choice((signal.SIGTERM, signal.SIGHUP)))
            if since > still:
                continue
            if dice.random() < 0.3:
                self.go_on()
            elif dice.random() < 0.06:
                self.stop()
        if self._stopped and (still < plays_s or dice.random() < 0.3):
            await asyncio.sleep(max(self.ended_at + plays_s + 0.2 - time.time(), 0.0))
        self.go_on()
        while not self.told_at and process.returncode is None and time.time() < self.ended_at + STARTS_S:
            await asyncio.sleep(0.002)
        stood = max((end for _, end in self.ledger.stopped), default=0.0)
        due = max((self.told_at or self.ended_at) + plays_s, stood)  # a full log has no word of it
        try:
            slack_s = SLACK_S if self.story.timed else STARTS_S
            async with asyncio.timeout(max(due - time.time(), 0.0) + 0.5 + slack_s):
                await process.wait()
        except TimeoutError:
            self.ledger.fault(f"did not end in time: {self.viewers and [v.open for v in self.viewers]}")
            return
        self.late_s = time.time() - due
        if process.returncode != 0:
            self.ledger.fault(f"ended with {process.returncode}")
        if time.time() < self.ended_at + plays_s - 0.005:
            self.ledger.fault(f"ended {self.ended_at + plays_s - time.time():.3f} s before its time")

    async def _reckon(self) -> None:
        """All that the process wrote is read; then nothing may be owed, and nothing stand for nobody."""
        assert self.process is not None
        boxes = self.story.boxes
        for box in boxes:
            box.left = True
            box.attend()
        until = time.time() + STARTS_S
        while any(not one.over for one in self.viewers) or any(box.lines for box in boxes):
            for viewer in self.viewers:
                if viewer.gone == "half-close" and viewer.usable and self.process.returncode is not None:
                    viewer.transport.close()  # it ended its side, so the loop watches it no more
            if time.time() > until:
                self.ledger.fault(
                    f"connections outlive the process: {[one.name for one in self.viewers if not one.over]}, "
                    f"{[len(box.lines) for box in boxes]}"
                )
                break
            await asyncio.sleep(0.002)
        if not self.kill:
            self.ledger.owed()
            for box in boxes:
                self.ledger.held(box)
        for box in boxes:
            box.stands.clear()
            box.out.clear()
            box.halves.clear()


class Story:
    """One seed: lives of one node, and what stands round it all the time."""

    def __init__(
        self, seed: int, folder: Path, deadlines: tuple[float, ...] = DEADLINES, timed: bool = True
    ) -> None:
        self.timed = timed
        self.seed, self.dice, self.file = seed, Random(seed), folder / "config.json"
        high, low = divmod(seed % 62_500, 250)
        self.host = f"127.80.{high + 1}.{low + 1}"
        with socket.socket() as sock:
            sock.bind((f"127.81.{high + 1}.{low + 1}", 0))
            self.address: Address = sock.getsockname()
        self.deadlines = (self.dice.choice(deadlines), self.dice.choice(deadlines))
        self.aim = self.dice.choice((0.4, 1.0))  # with 1 an attempt may be out as long as its viewer waits
        self.boxes: list[Box] = []
        self.states: dict[str, str] = {}
        self.events: list[dict[str, Any]] = []
        self.lives: list[Life] = []

    async def whole(self) -> None:
        dice, nobody = self.dice, Ledger(lambda what: None)
        for place in range(dice.choice((1, 2, 3))):
            box = Box(f"s-{place}", nobody, dice)
            box.listen(self.host)
            self.boxes.append(box)
            self.states[box.name] = "up"
        lines = [self._line(box) for box in self.boxes]
        self.events.append({"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": lines}})
        self.feed = FeedStand(nobody, self.events, dice)
        await self.feed.listen(self.host)
        last = 1 if dice.random() < 0.6 else 2
        for at in range(last):
            life = Life(self, kill=at < last - 1)
            self.lives.append(life)
            for box in self.boxes:
                box.ledger, box.lazy, box.left = life.ledger, False, False
                if not box.up and not self.removed(box):
                    box.listen(self.host)
            self.feed.ledger = life.ledger
            await life.play()
        for box in self.boxes:
            box.die()
        self.feed.close()
        self.feed.break_off()

    def _line(self, box: Box) -> dict[str, Any]:
        host, port = box.address
        return {
            "name": box.name, "address": f"{host}:{port}", "zone": "z", "type": "box",
            "group": self.boxes.index(box) % 4, "status": self.states[box.name], "weight": 1, "since_ms": 0,
        }  # fmt: skip

    def removed(self, box: Box) -> bool:
        return self.states[box.name] == "removed"

    def change(self) -> None:
        """An event of the feed: a server's state changes; one that was removed is gone, and may come back."""
        box = self.dice.choice(self.boxes)
        self.states[box.name] = self.dice.choice(("up", "up", "draining", "removed"))
        if self.removed(box):
            box.die()
        elif not box.up:
            box.listen(self.host)
        n = len(self.events) + 1
        odd = {**self._line(box), "name": "s-odd", "type": "of no kind that the settings name"}
        lines = [self._line(box), *([odd] if self.dice.random() < 0.15 else [])]
        members = {"index": n, "snapshot": False, "endpoints": lines}
        self.events.append({"n": n, "members": members})
        self.feed.tell()

    async def move(self) -> None:
        old = self.feed
        self.feed = FeedStand(old.ledger, self.events, self.dice)
        await self.feed.listen(self.host)
        old.close()
        asyncio.get_running_loop().call_later(1.5, old.break_off)
        self.configure()

    def configure(self) -> None:
        """The file is replaced."""
        body = {
            "name": "n1", "listen": "127.0.0.1:1", "seed": f"{self.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "feed": "{}:{}".format(*self.feed.address),
            "known": {"n": len(self.events), "events": self.events},
            "settings": settings(self.deadlines, self.aim),
        }  # fmt: skip
        fresh = self.file.with_suffix(".new")
        fresh.write_text(json.dumps(body))
        fresh.replace(self.file)


async def played(seed: int, deadlines: tuple[float, ...] = DEADLINES, timed: bool = True) -> Story:
    with tempfile.TemporaryDirectory() as folder:
        story = Story(seed, Path(folder), deadlines, timed)
        try:
            await story.whole()
        except Exception as error:
            life = Life(story, kill=False)
            life.ledger.fault("the rig: " + "".join(traceback.format_exception(error)))
            story.lives.append(life)
        return story


def _row(story: Story) -> str:
    counts: Counter[str] = Counter()
    for life in story.lives:
        counts += life.ledger.counts
        counts["asked"] += len(life.ledger.wishes)
        counts["left"] += sum(bool(one.left) for one in life.ledger.wishes.values())
        counts["hups"] += life.seen["reload"]
        counts["stops"] += life.seen["stopped"]
        counts["at"] += sum(bool(one.plays_at) for one in life.ledger.wishes.values())
        counts["faults"] += len(life.ledger.faults)
    last = story.lives[-1]
    figures = (
        counts["asked"], counts["at"], counts["left"], counts["set-ups"], counts["play"], counts["cause 34"],
        counts["cause 41"], counts["hups"], counts["stops"], counts["doubt"], f"{1000 * last.late_s:.0f}",
        counts["faults"],
    )  # fmt: skip
    ends = "+".join("KILL" if one.kill else "TERM" for one in story.lives)
    times = "/".join(f"{one:.0f}" for one in story.deadlines)
    trigger = "{} {}".format(*last.trigger)
    return f"| {story.seed} | {times} | {ends} | {trigger} | {' | '.join(map(str, figures))} |"


HEAD = (
    "| seed | deadlines | ends | SIGTERM at | asked | at | left | sent on | play | refused | failed | SIGHUP"
    " | SIGSTOP | doubt | end, ms late | faults |"
)


async def _all(seeds: list[int], jobs: int, logs: Path | None) -> int:
    gate, bad = asyncio.Semaphore(jobs), 0
    print(HEAD, "|" + " --- |" * 16, sep="\n", flush=True)

    async def one(seed: int) -> None:
        nonlocal bad
        async with gate:
            story = await played(seed)
        print(_row(story), flush=True)
        faults = [fault for life in story.lives for fault in life.ledger.faults]
        bad += bool(faults)
        if (faults or story.lives[-1].late_s > 0.3) and logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
            text = "\n--- the next life\n".join("\n".join(life.ledger.trace) for life in story.lives)
            (logs / f"{seed}.log").write_text(text + "\n")
        for fault in faults:
            print(f"  {seed}: {fault}", flush=True)

    await asyncio.gather(*map(one, seeds))
    print(f"{len(seeds)} seeds, {bad} with faults")
    return bad


@click.command()
@click.option("--seeds", default="1-20", show_default=True, help="one, or the first and the last")
@click.option("--jobs", default=2, show_default=True, help="nodes at a time")
@click.option(
    "--logs", type=click.Path(path_type=Path), help="where what happened goes, of seeds with faults"
)
def main(seeds: str, jobs: int, logs: Path | None) -> None:
    """Play each seed; exit 1 if one has a fault."""
    first, _, last = seeds.partition("-")
    sys.exit(1 if asyncio.run(_all(list(range(int(first), int(last or first) + 1)), jobs, logs)) else 0)


if __name__ == "__main__":
    main()
