"""A simulated lesson box: sets sessions up, serves segments, reports loads, and fails as it is told to."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from dataclasses import dataclass, field, replace
from random import Random

from fernweir.dash.build import rung_of
from fernweir.http.problem import MEDIA_TYPE, problem
from fernweir.http.server import Exchange, Server, ServerLimits
from fernweir.http.sse import KEEP_ALIVE, encode_event
from fernweir.http.target import TargetError, split_target
from fernweir.standin.fences import Fences
from fernweir.standin.site import Site, as_of
from fernweir.standin.trace import Trace
from fernweir.tokens import ControlClaims, ServerClaims, TokenError

_RELEASED_KEPT_S = 60.0
_CORS = ("access-control-allow-origin", "*")


@dataclass(slots=True)
class Behaviour:
    """How a box fails. Shares are chances for each set-up; times are milliseconds."""

    hang: bool = False  # reads everything, answers nothing, tells nothing
    silent_mid: bool = False  # half a manifest, then nothing
    cut_mid: bool = False  # half a manifest, then the end of the connection
    late_ms: float = 0.0  # every set-up takes so much longer
    fail_share: float = 0.0  # answers 500 at once
    lost_share: float = 0.0  # does the work, its answer never leaves
    full: bool = False
    not_xml: bool = False
    other_rungs: bool = False
    short_length: bool = False  # says a Content-Length that is longer than what it sends
    slow: float = 1.0  # set-ups take so many times longer


@dataclass(slots=True, eq=False)
class BoxSession:
    jti: str
    attempt: int
    front: str
    title: str
    cls: str
    top: int
    rung: int
    seen_at: float
    ending: str = ""
    channel: str = ""


@dataclass(slots=True, eq=False)
class _Watcher:
    """One front's stream of notes."""

    front: str
    exchange: Exchange
    short: bool = False


@dataclass(frozen=True, slots=True)
class BoxSpec:
    number: int
    rack: int
    link_kb: float
    streams: int
    cell: int = 0
    kind: int = 0


@dataclass(slots=True)
class _Life:
    """One life of the process."""

    boot: str
    started_at: float
    cold: bool
    arrivals: deque[float] = field(default_factory=deque)


class Box:
    """Start it, script it by `behaviour`, `die` and `restart`; everything else follows from requests."""

    def __init__(self, spec: BoxSpec, site: Site, trace: Trace, seed: int) -> None:
        self.spec, self.site, self.trace = spec, site, trace
        self.behaviour = Behaviour()
        self.link_kb = spec.link_kb
        self.sessions: dict[tuple[str, int], BoxSession] = {}
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.toppled = False
        self._dice = Random(f"box {spec.number} {seed}")
        self._loop = asyncio.get_running_loop()
        self._server: Server | None = None
        self._watchers: dict[str, _Watcher] = {}
        self._unwatched: dict[str, float] = {}
        self._held_back: list[Exchange] = []
        self._released: dict[tuple[str, int], float] = {}
        self._fences = Fences(site.times.overlap / 1000.0)
        self._history: deque[tuple[float, float]] = deque(maxlen=256)
        self._asked_kb = 0.0
        self._lives = 0
        self._life = _Life("", 0.0, False)
        self._tick_handle: asyncio.TimerHandle | None = None
        self._told_at = 0.0

    # --- life ---

    @property
    def boot(self) -> str:
        return self._life.boot

    @property
    def up(self) -> bool:
        return self._server is not None

    @property
    def age_s(self) -> float:
        return self._loop.time() - self._life.started_at

    async def start(self, *, cold: bool = False) -> None:
        """Listens, at the address of its last life if it had one."""
        self._lives += 1
        self._life = _Life(f"{self.spec.number}-{self._lives}", self._loop.time(), cold)
        # Boxes are not in step with each other: each tells at a moment of its own.
        self._told_at = self._loop.time() - self._dice.uniform(0.0, self.site.times.tell / 1000.0)
        self._server = Server(self._handle, replace(ServerLimits(), idle_s=120.0))
        await self._server.listen(*self.address)
        self.address = self._server.address
        self.trace.write(
            "box.start", box=self.spec.number, boot=self.boot, cold=cold, streams=self.spec.streams
        )
        self._tick()

    def die(self, why: str = "killed") -> None:
        """The process is gone: connections break, sessions are lost, nobody listens."""
        if self._server is None:
            return
        server, self._server = self._server, None
        self._fences = Fences(self.site.times.overlap / 1000.0)
        self.trace.write("box.stop", box=self.spec.number, why=why)
        for session in list(self.sessions.values()):
            self._end(session, "died", tell=False)
        self._watchers.clear()
        self._unwatched.clear()
        self._held_back.clear()
        if self._tick_handle is not None:
            self._tick_handle.cancel()
        server.abort()

    # --- requests ---

    def _handle(self, exchange: Exchange) -> None:
        if self.behaviour.hang:
            self._hold(exchange, None)
            return
        try:
            path, query = split_target(exchange.head.target)
        except TargetError as error:
            self._problem(exchange, 400, str(error))
            return
        method = exchange.method
        if path == ["probe"] and method == "GET":
            exchange.respond(204, [self._load_header()])
        elif path == ["notes"] and method == "GET":
            self._open_notes(exchange)
        elif path == ["channels"] and method == "PUT":
            self._claim(exchange, query.get("channel", ""))
        elif len(path) == 2 and path[0] == "sessions" and method in ("PATCH", "DELETE"):
            self._steer(exchange, path[1], query)
        elif len(path) == 3 and path[0] == "lessons" and path[2] == "manifest.mpd" and method == "GET":
            self._set_up(exchange, path[1])
        elif len(path) == 4 and path[0] == "lessons" and method == "GET":
            self._segment(exchange, path[1], path[2], query)
        else:
            self._problem(exchange, 404, "no such resource")

    def _set_up(self, exchange: Exchange, title: str) -> None:
        try:
            claims = self.site.keyring.verify(
                exchange.headers.get("authorization").partition(" ")[2],
                ServerClaims,
                audience=f"{self.site.audience}:{self.spec.number}",
                now_s=self._loop.time() + self.site.wall_offset_s,
            )
        except TokenError as error:
            self._problem(exchange, 401, str(error))
            return
        if claims.title != title or claims.cls not in self.site.classes:
            self._problem(exchange, 403, "token is for something else")
            return
        if claims.channel is not None and not self._may_steer(
            claims.channel, claims.front, claims.fence, claims.jti, claims.attempt
        ):
            self._problem(exchange, 412, "the channel has another owner")
            return
        number = self.trace.number()
        self.trace.write(
            "box.setup", box=self.spec.number, id=number, front=claims.front, session=claims.jti,
            attempt=claims.attempt, title=title, cls=claims.cls, rung=claims.rung,
            **_under(claims.channel, claims.fence),
        )  # fmt: skip
        how = self.behaviour
        self._count_cold()
        if self._server is None:  # that one was too many
            self.trace.write("box.closed", box=self.spec.number, id=number)
            return
        if how.full or len(self.sessions) >= self.spec.streams:
            self._answer_problem(exchange, number, 503, "full", "urn:fernweir:problem:full")
        elif self._dice.random() < how.fail_share:
            self._answer_problem(exchange, number, 500, "set-up failed", "about:blank")
        else:
            low, high = self.site.times.set_up
            delay = self._dice.uniform(low, high) * how.slow + how.late_ms
            exchange.on_connection_lost = lambda: self._gone(number)
            self._loop.call_later(delay / 1000.0, self._set_up_ready, exchange, number, claims, self.boot)

    def _gone(self, number: int) -> None:
        self.trace.write("box.closed", box=self.spec.number, id=number)

    def _set_up_ready(self, exchange: Exchange, number: int, claims: ServerClaims, boot: str) -> None:
        """The work is done: the session runs from here on, whether or not anybody hears of it."""
        if boot != self.boot or self._server is None:
            return
        if (claims.jti, claims.attempt) in self._released:
            self._answer_problem(exchange, number, 410, "released before it ran", "about:blank")
            return
        how = self.behaviour
        session = BoxSession(
            claims.jti, claims.attempt, claims.front, claims.title, claims.cls, claims.top, claims.rung,
            self._loop.time(), channel=claims.channel or "",
        )  # fmt: skip
        if session.channel:  # its owner may have changed while the work was done
            session.front = self._fences.owner(session.channel) or session.front
        old = self.sessions.pop((session.jti, session.attempt), None)
        if old is not None:
            self._account(old, -1)
            if old.front != session.front:  # who set it up before holds it no more, and is to hear that
                self._tell(old, "ended", reason="taken")
        self.sessions[session.jti, session.attempt] = session
        self._account(session, 1)
        if session.front in self._unwatched:  # it is there: its stream of notes was that of an earlier life
            self._unwatched[session.front] = self._loop.time()
        self.trace.write(
            "box.runs", box=self.spec.number, id=number, front=session.front, session=session.jti,
            attempt=session.attempt, title=session.title, cls=session.cls, rung=session.rung,
            **_under(claims.channel, claims.fence),
        )  # fmt: skip
        if exchange.connection_lost:
            return
        if how.hang or self._dice.random() < how.lost_share:
            self._hold(exchange, number)
            return
        body = self.site.manifest(session.title, session.cls)
        if how.not_xml:
            body = b"<html><p>this is not a manifest</html>"
        if how.other_rungs:
            body = body.replace(b'id="r', b'id="r1')
        fields = [("content-type", "application/dash+xml"), self._load_header()]
        if how.silent_mid or how.cut_mid or how.short_length:
            length = len(body) + (50 if how.short_length else 0)
            sent = body if how.short_length else body[: len(body) // 2]
            head = "".join(f"{name}: {value}\r\n" for name, value in fields)
            text = f"HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n{head}\r\n"
            exchange.send_raw(text.encode() + sent)
            if how.silent_mid:
                self._hold(exchange, number)
                return
            exchange.on_connection_lost = None
            self.trace.write("box.answer", box=self.spec.number, id=number, status=200, whole=False)
            exchange.cut()
            return
        exchange.on_connection_lost = None
        self.trace.write("box.answer", box=self.spec.number, id=number, status=200, whole=True)
        exchange.respond(200, fields, body)

    def _answer_problem(self, exchange: Exchange, number: int, status: int, title: str, kind: str) -> None:
        self.trace.write("box.answer", box=self.spec.number, id=number, status=status, whole=True)
        fields = [("content-type", MEDIA_TYPE), self._load_header()]
        exchange.respond(status, fields, problem(status, title, kind=kind))

    def _hold(self, exchange: Exchange, number: int | None) -> None:
        """Never answers; the trace says when the other end gave up."""
        self._held_back.append(exchange)
        if number is not None:
            exchange.on_connection_lost = lambda: self._gone(number)

    def _steer(self, exchange: Exchange, jti: str, query: dict[str, str]) -> None:
        token = query.get("token") or exchange.headers.get("authorization").partition(" ")[2]
        attempt = int(query["attempt"]) if query.get("attempt", "").isdigit() else -1
        session = self.sessions.get((jti, attempt))
        now = self._loop.time() + self.site.wall_offset_s
        try:
            if exchange.method == "DELETE" and "token" in query:
                mine = self.site.keyring.verify(
                    token, ServerClaims, audience=f"{self.site.audience}:{self.spec.number}", now_s=now
                )
                allowed = (mine.jti, mine.attempt) == (jti, attempt)
            else:
                front = self.site.keyring.verify(
                    token, ControlClaims, audience=self.site.audience, now_s=now
                ).front
                if session is not None and session.channel:
                    channel, fence = _fence_of(exchange)
                    if channel != session.channel or not self._may_steer(channel, front, fence, jti, attempt):
                        self._problem(exchange, 412, "the channel has another owner")
                        return
                    allowed = True
                else:
                    allowed = session is None or session.front == front
        except TokenError as error:
            self._problem(exchange, 401, str(error))
            return
        if not allowed:
            self._problem(exchange, 403, "another's session")
        elif session is None and exchange.method == "DELETE":
            # It may overtake the set-up that it takes back: that one must not start after it.
            self._released[jti, attempt] = self._loop.time()
            self._problem(exchange, 404, "no such session; it will not start")
        elif session is None:
            self._problem(exchange, 404, "no such session")
        elif exchange.method == "DELETE":
            by_viewer = "token" in query
            self._end(session, "left" if by_viewer else "released", tell=by_viewer)
            exchange.respond(204, [_CORS])
        else:
            self._patch(exchange, session)

    def _may_steer(self, channel: str, front: str, fence: int, jti: str, attempt: int) -> bool:
        before = self._fences.owner(channel)
        accepted = self._fences.accepts(self._loop.time(), channel, front, fence)
        self.trace.write(
            "box.steer", box=self.spec.number, channel=channel, fence=fence, by=front, session=jti,
            attempt=attempt, accepted=accepted,
        )  # fmt: skip
        if self._fences.owner(channel) != before:
            self._hand_over(channel)
        return accepted

    def _claim(self, exchange: Exchange, channel: str) -> None:
        """A front owns a channel from now on, if no higher fence is known; it gets the sessions held."""
        token = exchange.headers.get("authorization").partition(" ")[2]
        now = self._loop.time()
        try:
            front = self.site.keyring.verify(
                token, ControlClaims, audience=self.site.audience, now_s=now + self.site.wall_offset_s
            ).front
            body = json.loads(exchange.body)
            fence, overlap_ms = body["fence"], body.get("overlap_ms", self.site.times.overlap)
            if not channel or not isinstance(fence, int) or not 0 < fence < 1 << 63:
                raise ValueError("no channel, or no fence")
            if not isinstance(overlap_ms, int | float) or not 0 <= overlap_ms <= 60_000:
                raise ValueError("no overlap in ms")
            adopt = {(str(jti), int(attempt)) for jti, attempt in body.get("adopt", [])}
        except TokenError as error:
            self._problem(exchange, 401, str(error))
            return
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self._problem(exchange, 422, str(error))
            return
        accepted = self._fences.claim(now, channel, front, fence, overlap_ms / 1000.0)
        highest = self._fences.highest(channel)
        self.trace.write(
            "box.claim", box=self.spec.number, channel=channel, front=front, fence=fence, accepted=accepted,
            highest=highest,
        )  # fmt: skip
        if accepted:
            for key in adopt & self.sessions.keys():  # set up by this front while it had no lease
                if self.sessions[key].front == front and not self.sessions[key].channel:
                    self.sessions[key].channel = channel
            self._hand_over(channel)
        held = [[one.jti, one.attempt, one.rung] for one in self.sessions.values() if one.channel == channel]
        answer = json.dumps({"fence": highest, "sessions": held if accepted else []}).encode()
        exchange.respond(200 if accepted else 409, [("content-type", "application/json")], answer)

    def _hand_over(self, channel: str) -> None:
        """From now on its sessions' notes go to its owner."""
        owner = self._fences.owner(channel)
        for session in self.sessions.values():
            if session.channel == channel:
                session.front = owner
        if owner not in self._watchers:
            self._unwatched[owner] = self._loop.time()

    def _patch(self, exchange: Exchange, session: BoxSession) -> None:
        try:
            body = json.loads(exchange.body)
            if isinstance(body.get("end"), str):
                session.ending = body["end"]
                exchange.respond(204)
                return
            rung = body["rung"]
            if exchange.headers.get("content-type") != "application/merge-patch+json":
                raise ValueError("not a merge patch")
            if not isinstance(rung, int) or not 0 <= rung <= session.top:
                raise ValueError("rung out of range")
        except (ValueError, KeyError, TypeError) as error:
            self._problem(exchange, 422, str(error))
            return
        self._account(session, -1)
        session.rung = rung
        self._account(session, 1)
        self.trace.write(
            "box.rung", box=self.spec.number, front=session.front, session=session.jti,
            attempt=session.attempt, cls=session.cls, rung=rung,
        )  # fmt: skip
        exchange.respond(204)

    def _segment(self, exchange: Exchange, title: str, rep: str, query: dict[str, str]) -> None:
        now = self._loop.time()
        try:
            claims = self.site.keyring.verify(
                query.get("token", ""),
                ServerClaims,
                audience=f"{self.site.audience}:{self.spec.number}",
                now_s=now + self.site.wall_offset_s,
            )
            rung = rung_of(rep)
        except (TokenError, ValueError) as error:
            self._problem(exchange, 401, str(error))
            return
        session = self.sessions.get((claims.jti, claims.attempt))
        status = 404 if session is None or session.title != title else 200
        if session is not None and session.ending:
            status = 410
        if session is not None and status == 200:
            session.seen_at = now
            status = 200 if rung <= session.rung else 403
        self.trace.write(
            "box.segment", box=self.spec.number, session=claims.jti, attempt=claims.attempt,
            cls=claims.cls, rung=rung, status=status,
        )  # fmt: skip
        if session is None or status == 404:
            self._problem(exchange, 404, "no such session")
            return
        if status == 410:  # the segment before was its last
            why, fields = session.ending, [_CORS, ("content-type", MEDIA_TYPE)]
            self._end(session, "revoked", tell=False)
            exchange.respond(410, fields, problem(410, why, kind="urn:fernweir:problem:ended"))
            return
        most = self.site.rate_kb(session.cls, session.rung) * 8
        # CTA-5006: the maximum suggested bitrate, kbit/s rounded to the nearest hundred.
        fields = [_CORS, ("cmsd-dynamic", f'"box-{self.spec.number}";mb={round(most / 100) * 100}')]
        if status == 403:
            exchange.respond(403, [*fields, ("content-type", MEDIA_TYPE)], problem(403, "above the rung"))
        else:
            exchange.respond(200, [*fields, ("content-type", "video/mp4")], b"simulated segment")

    def _problem(self, exchange: Exchange, status: int, title: str) -> None:
        exchange.respond(status, [_CORS, ("content-type", MEDIA_TYPE)], problem(status, title))

    # --- loads and notes ---

    @property
    def load(self) -> float:
        return self._asked_kb / self.link_kb

    def _account(self, session: BoxSession, sign: int) -> None:
        kb = sign * self.site.rate_kb(session.cls, session.rung)
        self._asked_kb += kb
        self.site.racks[self.spec.rack].asked_kb += kb

    def _end(self, session: BoxSession, why: str, *, tell: bool) -> None:
        if self.sessions.pop((session.jti, session.attempt), None) is None:
            return
        self._account(session, -1)
        self.trace.write(
            "box.end", box=self.spec.number, front=session.front, session=session.jti,
            attempt=session.attempt, title=session.title, cls=session.cls, why=why,
        )  # fmt: skip
        if tell:
            self._tell(session, "ended", reason=why)

    def _late_s(self) -> float:
        return (self.site.times.seen_after + self.site.report_late_ms) / 1000.0

    def _load_header(self) -> tuple[str, str]:
        when = self._loop.time() - self._late_s()
        rack = self.site.racks[self.spec.rack]
        x0, x1 = as_of(self._history, when), as_of(rack.history, when)
        return "endpoint-load-metrics", f"TEXT named_metrics.x0={x0:.4f},named_metrics.x1={x1:.4f}"

    def _open_notes(self, exchange: Exchange) -> None:
        try:
            claims = self.site.keyring.verify(
                exchange.headers.get("authorization").partition(" ")[2],
                ControlClaims,
                audience=self.site.audience,
                now_s=self._loop.time() + self.site.wall_offset_s,
            )
        except TokenError as error:
            self._problem(exchange, 401, str(error))
            return
        watcher = _Watcher(claims.front, exchange)
        self._watchers[claims.front] = watcher
        self._unwatched.pop(claims.front, None)
        exchange.on_connection_lost = lambda: self._unwatch(watcher)
        exchange.stream(200, [("content-type", "text/event-stream"), ("cache-control", "no-store")])
        held = [[one.jti, one.attempt] for one in self.sessions.values() if one.front == claims.front]
        exchange.write(encode_event(json.dumps({"boot": self.boot, "sessions": held}), "hello"))

    def _unwatch(self, watcher: _Watcher) -> None:
        if self._watchers.get(watcher.front) is watcher:
            del self._watchers[watcher.front]
            self._unwatched[watcher.front] = self._loop.time()

    def _tell(self, session: BoxSession, event: str, **fields: object) -> None:
        watcher = self._watchers.get(session.front)
        if watcher is not None and not self.behaviour.hang:
            body = json.dumps({"session": session.jti, "attempt": session.attempt, **fields})
            watcher.exchange.write(encode_event(body, event))

    def _tick(self) -> None:
        """Ten times a second: loads are sampled, notes told, unwatched sessions ended."""
        now = self._loop.time()
        rack = self.site.racks[self.spec.rack]
        self._history.append((now, self.load))
        rack.history.append((now, rack.load))
        if not self.behaviour.hang:
            self._keep_house(now)
        self._tick_handle = self._loop.call_later(0.1, self._tick)

    def _keep_house(self, now: float) -> None:
        times = self.site.times
        for key in [key for key, at in self._released.items() if now - at > _RELEASED_KEPT_S]:
            del self._released[key]
        for session in list(self.sessions.values()):
            unwatched = self._unwatched.get(session.front)
            if now - session.seen_at > times.idle / 1000.0:
                self._end(session, "idle", tell=True)
            elif unwatched is not None and now - unwatched > self._kept_s(session):
                self._end(session, "front is gone", tell=False)
        if now - self._told_at < min(1.0, times.tell / 1000.0):
            return
        whole = now - self._told_at >= times.tell / 1000.0 or self._told_at == 0.0
        when = now - self._late_s()
        link, uplink = as_of(self._history, when), as_of(self.site.racks[self.spec.rack].history, when)
        share = min(1.0, 1.0 / max(link, uplink, 0.01))
        firsts: dict[str, BoxSession] = {}
        for session in self.sessions.values():
            firsts.setdefault(session.front, session)
        for front, watcher in list(self._watchers.items()):
            watcher.exchange.write(KEEP_ALIVE)
            first = firsts.get(front)
            if first is None:
                continue
            if share < 0.98 or watcher.short:
                watcher.short = share < 0.98
                self._tell(first, "delivered", level=round(share, 4))
            if whole:
                self._tell(first, "link", level=round(link, 4))
                self._tell(first, "uplink", level=round(uplink, 4))
        if whole:
            self._told_at = now

    def _kept_s(self, session: BoxSession) -> float:
        """How long a session goes on with nobody watching it."""
        times = self.site.times
        return (times.heirless if session.channel else times.orphan) / 1000.0

    def _count_cold(self) -> None:
        """A cold box that is sent too much falls over and stays down."""
        cold, life = self.site.cold, self._life
        age = self.age_s * 1000.0
        if cold is None or not life.cold or age >= cold.warm_up_ms:
            return
        now = self._loop.time() * 1000.0
        life.arrivals.append(now)
        while life.arrivals and life.arrivals[0] < now - cold.window_ms:
            life.arrivals.popleft()
        share = cold.cold_from + (1.0 - cold.cold_from) * age / cold.warm_up_ms
        most = cold.multiple * share * self.spec.streams / cold.warm_up_ms * cold.window_ms
        if len(life.arrivals) > most + 1.0:
            self.toppled = True
            self.die("toppled")


def _under(channel: str | None, fence: int) -> dict[str, object]:
    """What a trace adds where the session may change its owner."""
    return {} if channel is None else {"channel": channel, "fence": fence}


def _fence_of(exchange: Exchange) -> tuple[str, int]:
    """The channel and fence under which a front steers; no channel if the field is not there or malformed."""
    channel, _, fence = exchange.headers.get("fernweir-fence").rpartition(";")
    return (channel, int(fence)) if fence.isascii() and fence.isdigit() and len(fence) < 20 else ("", 0)
