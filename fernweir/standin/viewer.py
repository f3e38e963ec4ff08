"""Simulated viewers: ask a front for a lesson, play its segments at the box, come again when it breaks."""

from __future__ import annotations

import asyncio
import re
from base64 import urlsafe_b64decode
from dataclasses import dataclass
from json import loads
from random import Random
from urllib.parse import urlsplit

from fernweir.dash.build import rung_of
from fernweir.dash.mpd import Mpd, MpdError, base_url, read_mpd, segment_template
from fernweir.dash.urlparam import segment_query
from fernweir.http.client import Origin, Outcome, Pool, Reply
from fernweir.standin.trace import Trace

_MB = re.compile(r";\s*mb=(\d+)")


@dataclass(frozen=True, slots=True)
class Wish:
    """What one viewer wants. `wait_s` of 0 leaves the wait to the class; times are seconds."""

    session: str
    token: str
    title: str
    cls: str
    play_s: float
    deadline_ms: float
    wait_s: int = 0
    in_query: bool = False


@dataclass(frozen=True, slots=True)
class Habits:
    """How viewers behave: shares are chances for each session."""

    doubled: float = 0.0  # asks twice in one instant, on two connections
    dropped: float = 0.0  # drops the connection before the answer and asks again
    asks_while_playing: float = 0.0
    tries: int = 4
    pause_s: tuple[float, float] = (0.3, 1.2)


@dataclass(slots=True)
class Shown:
    """What a session came to."""

    answers: int = 0
    played_s: float = 0.0
    worth: float = 0.0
    breaks: int = 0
    ended: str = ""


async def fetch(pool: Pool, origin: Origin, method: str, target: str, timeout_s: float,
                headers: list[tuple[str, str]] | None = None, body: bytes = b"") -> Reply:  # fmt: skip
    """One call as a coroutine; cancelled, it calls the request off."""
    future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()

    def done(reply: Reply) -> None:
        if not future.done():
            future.set_result(reply)

    call = pool.request(origin, method, target, done, headers=headers or [], body=body, timeout_s=timeout_s)
    try:
        return await future
    except asyncio.CancelledError:
        call.cancel()
        raise


class Viewers:
    """All viewers of a run share a pool for boxes; requests to fronts go on connections of their own."""

    def __init__(
        self,
        fronts: dict[str, Origin],
        trace: Trace,
        seed: int,
        habits: Habits | None = None,
        wall_offset_s: float = 0.0,
    ) -> None:
        self.wall_offset_s = wall_offset_s
        self.fronts, self.trace = fronts, trace
        self.habits = habits or Habits()
        self.boxes = Pool(per_origin=256, connect_s=1.0, idle_s=5.0)
        self._dice = Random(f"viewers {seed}")
        self._loop = asyncio.get_running_loop()

    def close(self) -> None:
        self.boxes.close()

    async def watch(self, wish: Wish) -> Shown:
        """One viewer, from the first request until it is through or gives up."""
        shown = Shown()
        dice = Random(f"{wish.session} {self._dice.random()}")
        left_s = wish.play_s
        for attempt in range(self.habits.tries):
            if attempt:
                await asyncio.sleep(dice.uniform(*self.habits.pause_s))
            front = dice.choice(sorted(self.fronts))
            reply = await self._ask_somehow(front, wish, dice, shown)
            if reply is None or reply.outcome is not Outcome.ANSWERED:
                continue
            if reply.status == 503:
                await asyncio.sleep(min(float(reply.headers.get("retry-after") or 0), 2.0))
                continue
            if reply.status != 200:
                continue
            played = await self._play(front, wish, reply.body, left_s, dice, shown)
            left_s -= played
            shown.played_s += played
            if left_s <= 0.0:
                break
            if shown.ended:
                break
            shown.breaks += 1
        return shown

    async def _ask_somehow(self, front: str, wish: Wish, dice: Random, shown: Shown) -> Reply | None:
        if dice.random() < self.habits.dropped:
            task = asyncio.ensure_future(self.ask(front, wish, shown))
            await asyncio.sleep(dice.uniform(0.0, 0.02))
            if not task.done():
                task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        if dice.random() < self.habits.doubled:
            replies = await asyncio.gather(self.ask(front, wish, shown), self.ask(front, wish, shown))
            return replies[0]
        return await self.ask(front, wish, shown)

    async def ask(self, front: str, wish: Wish, shown: Shown | None = None) -> Reply:
        """Asks a front for the manifest on a connection of its own, and writes down what came of it."""
        number = self.trace.number()
        pool = Pool(per_origin=1)
        target = f"/lessons/{wish.title}/manifest.mpd"
        headers = []
        if wish.in_query:
            target += f"?access_token={wish.token}"
        else:
            headers.append(("authorization", f"Bearer {wish.token}"))
        wait_ms = wish.deadline_ms
        if wish.wait_s:
            headers.append(("prefer", f"wait={wish.wait_s}"))
            wait_ms = min(wait_ms, wish.wait_s * 1000.0)
        self.trace.write(
            "viewer.ask", req=number, front=front, session=wish.session, title=wish.title,
            cls=wish.cls, wait_ms=wait_ms,
        )  # fmt: skip
        try:
            # Waits past its time on purpose: an answer that is late must be seen to be late.
            reply = await fetch(pool, self.fronts[front], "GET", target, wait_ms / 1000.0 + 2.0, headers)
        except asyncio.CancelledError:
            self.trace.write("viewer.left", req=number)
            raise
        finally:
            pool.close()
        if shown is not None:
            shown.answers += 1
        if reply.outcome is Outcome.ANSWERED:
            self.trace.write("viewer.answer", req=number, status=reply.status, rungs=_rungs(reply))
        else:
            self.trace.write("viewer.cut", req=number, outcome=reply.outcome.value)
        return reply

    async def _play(
        self, front: str, wish: Wish, body: bytes, left_s: float, dice: Random, shown: Shown
    ) -> float:
        """Plays segments at the box until the end or a break; tells the seconds played."""
        try:
            player = Player(read_mpd(body))
        except MpdError:
            return 0.0
        begun = self._loop.time()
        asked_again = False
        number = 0
        while self._loop.time() - begun < left_s:
            reply = await fetch(self.boxes, player.origin, "GET", player.segment(number), 2.0)
            if reply.status == 410:
                shown.ended = str(loads(reply.body).get("title"))
            if reply.outcome is not Outcome.ANSWERED or reply.status not in (200, 403):
                return self._loop.time() - begun
            match = _MB.search(reply.headers.get("cmsd-dynamic"))
            player.limit(int(match[1]) if match else None)
            climbed = match is not None and int(match[1]) > player.listed_kbit * 1.2
            # Well before its box's token lapses, a player asks the Location for a new manifest.
            left = player.expires_s - (self._loop.time() + self.wall_offset_s)
            lapses = 0.0 < left < 2.0 * player.segment_s
            if climbed or lapses or (not asked_again and dice.random() < self.habits.asks_while_playing):
                asked_again = True
                again = await self.ask(front, wish, shown)
                if again.status == 200:
                    try:
                        player = Player(read_mpd(again.body))
                    except MpdError:
                        return self._loop.time() - begun
            if reply.status == 200:
                number += 1
                await asyncio.sleep(player.segment_s)
        await fetch(self.boxes, player.origin, "DELETE", player.end_target(wish.session), 1.0)
        return self._loop.time() - begun


class Player:
    """Segment addresses of one manifest, at the highest rung that the box allows."""

    def __init__(self, mpd: Mpd) -> None:
        period = mpd.periods[0]
        group = period.adaptation_sets[0]
        self._reps = sorted(group.representations, key=lambda one: one.bandwidth)
        if not self._reps:
            raise MpdError("no Representation")
        self._rep = self._reps[-1]
        self._template = segment_template(period, group, self._rep)
        self._segments = self._template.segments(mpd.period_s(period))
        base = urlsplit(base_url("http://127.0.0.1/", mpd, period, group, self._rep))
        self._path = base.path
        self.origin: Origin = (base.hostname or "", base.port or 80)
        self._query = segment_query([mpd, period, group, self._rep], "")
        self.listed_kbit = self._reps[-1].bandwidth / 1000

    @property
    def segment_s(self) -> float:
        return self._segments[0].length_s

    @property
    def rung(self) -> int:
        return rung_of(self._rep.id)

    @property
    def expires_s(self) -> float:
        """When the box's token lapses, seconds since the epoch."""
        return float(_claims(self._query)["exp"])

    def limit(self, kbit: int | None) -> None:
        """Chooses the highest rung within what the box suggests (CTA-5006 `mb`, rounded to 100)."""
        if kbit is not None:
            within = [rep for rep in self._reps if rep.bandwidth / 1000 <= kbit + 50]
            self._rep = within[-1] if within else self._reps[0]

    def segment(self, index: int) -> str:
        segment = self._segments[index % len(self._segments)]
        address = self._template.address(self._template.get("media"), self._rep, segment)
        return f"{self._path}{address}?{self._query}"

    def end_target(self, session: str) -> str:
        attempt = _claims(self._query)["attempt"]
        return f"/sessions/{session}?attempt={attempt}&{self._query}"


def _claims(query: str) -> dict[str, int]:
    """What a box token says; a player may read its own."""
    part = query.removeprefix("token=").split(".")[1]
    claims: dict[str, int] = loads(urlsafe_b64decode(part + "=" * (-len(part) % 4)))
    return claims


def _rungs(reply: Reply) -> list[int]:
    if reply.status != 200:
        return []
    try:
        mpd = read_mpd(reply.body)
        return sorted(
            rung_of(rep.id)
            for period in mpd.periods
            for group in period.adaptation_sets
            for rep in group.representations
        )
    except (MpdError, ValueError):
        return []
