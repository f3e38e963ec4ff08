"""Every decision of a front. The types it takes and gives are in fernweir/interface.py.

A front owns one Controller. It hands over what it saw, in order, and carries out what comes back.
Read from the top: the constants, the account of loads, the servers, the guards, then the controller.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf, log
from random import Random

from fernweir.interface import (
    ClientGone,
    Action,
    Arrival,
    Idempotency,
    AttemptEnded,
    Event,
    Fail,
    EndpointListKind,
    EndpointListUpdate,
    Log,
    ServerNotice,
    NoticeKind,
    Place,
    CheckHealth,
    HealthCheckEnded,
    Reject,
    RESULT_LABELS,
    Result,
    Endpoint,
    ServerState,
    SessionClass,
    SetRung,
    Settings,
    AttemptSucceeded,
    Subscribe,
    SessionRecovered,
    SetTimer,
    TimerFired,
    Viewer,
)

MARK = 0.80  # a link or uplink under this share takes more
STEP = 0.20  # playing sessions drop a rung for each such step that the load lies above the mark
RELIEVED = MARK + 0.75 * STEP  # where stepping down leaves the load
FULL_MARK_MS = 5_000.0  # how long a refusal as full or a short delivery keeps new sessions away
SHORT_MS = 1_500.0  # short deliveries this close together have one cause
CLIMB_MS = 10_000.0  # a playing session climbs at most once in this time
SETTLE_MS = 5_000.0  # and not so soon after a step down
UPKEEP_MS = 250.0  # how often playing sessions and suspects are looked at
ATTEMPT_AIMS = 0.5  # time-out of an attempt, in aims: a second one still meets the aim
SUSPECT_AIMS = 1.0  # first suspicion, in aims; doubles with every failure in a row
SUSPECT_DOUBLINGS = 3
LEARN = 0.2  # weight of the newest report in what is learnt of the others' part of a load
RATE_MS = 10_000.0  # own arrivals of this long tell what all fronts take
HERD = 4.0  # a cold server is left room for so many times a server's usual part of the arrivals
FEW = 0.05  # own sessions under this share of a line tell nothing of the others on it
GONE_MS = 60_000.0  # a server gone for so long is forgotten
TITLES = 4096  # so many titles are remembered to have played here
UPKEEP_TOKEN = 1
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT)
FAILED = (Result.ERROR, Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET)
LOST = (Result.CONNECT_FAILED, Result.RESET)  # the process is gone, so what comes back is cold


def lot(title: int, server: int) -> float:
    """A number over 0, the same at all fronts, spread like the wait for an arrival at a pace of 1."""
    digest = blake2b(b"%d %d" % (title, server), digest_size=8).digest()
    return -log((int.from_bytes(digest, "big") + 0.5) / 2.0**64)


# --- 1. Account -----------------------------------------------------------------------------------


@dataclass(slots=True, eq=False)
class Usual:
    """What links, or uplinks, have lately been heard to carry: stands in for what nothing is known of.

    A full line is heard of more often, by every front with a session there. So the plain mean, which
    decides on single lines, errs to the full side; `evenly`, for sums of lines, counts each report
    by one over its level. Guards against a rack taken for full because its busiest servers are.
    Harm: what is heard of whatever it carries, as by a probe, pulls `evenly` too low. The first
    report counts by `first`: one of an uplink, which sums many links, is taken as it stands.
    """

    first: float = LEARN
    level: float = 0.0
    evenly: float = 0.0

    def hear(self, level: float) -> None:
        self.level += (min(level, 1.0 / MARK) - self.level) * (LEARN if self.level else self.first)
        heard = 1.0 / max(level, FEW)
        before = 1.0 / self.evenly if self.evenly else heard
        self.evenly = 1.0 / (before + (heard - before) * LEARN)


class Meter:
    """What is asked of one link or uplink over what it gives: last told, plus own changes since."""

    def __init__(self, capacity_kb: float, usual: Usual, fade_ms: float, fronts: int = 1) -> None:
        self.capacity_kb = max(capacity_kb, 1.0)
        self.fronts = fronts
        self.new_until = -inf
        self.usual = usual
        self.fade_ms = fade_ms
        self.own_kb = self.per_own = 0.0
        self.told: float | None = None
        self.told_at = -inf
        self.relieved_at = -inf
        self.feeders: list[Meter] = []
        self._since: deque[tuple[float, float]] = deque()

    def add(self, now: float, kb: float) -> None:
        self.own_kb += kb
        self._since.append((now, kb))
        while self._since[0][0] <= now - 2.0 * self.fade_ms:  # no report seen before that tells anything
            self._since.popleft()

    def hear(self, level: float, seen_at: float, sample: bool = True) -> None:
        """Takes a report of how it stood at `seen_at`, unless something newer is known.

        `sample`: whether it tells of lines at large, too.
        """
        if not 0.0 <= level < inf or seen_at < self.told_at:
            return
        self.told, self.told_at = level, seen_at
        if sample:
            self.usual.hear(level)
        if self.own_kb >= FEW * self.capacity_kb:
            ratio = level * self.capacity_kb / self.own_kb
            self.per_own += (ratio - self.per_own) * (LEARN if self.per_own else 1.0)
        while self._since and self._since[0][0] <= seen_at:
            self._since.popleft()

    def forget(self) -> None:
        self.told, self.told_at = None, -inf
        self._since.clear()

    def load(self, now: float) -> float:
        """The load now: as last told, plus own changes since.

        A report fades into own sessions times what was learnt to be asked for each of them, or, with
        few, into what is usual; both under the first step, as a short line makes itself heard. Guards
        against late reports, and against taking what nothing is known of for empty. Harm: an empty
        server is taken for a usual one. One that has just started did begin empty, and holds what
        fronts like this one have put there since.
        """
        if self.feeders:
            guess = sum(one.asked_kb(now) for one in self.feeders) / self.capacity_kb
        elif now < self.new_until:
            guess = self.own_kb * self.fronts / self.capacity_kb
        else:
            learnt, own = self.per_own > 0.0, self.own_kb / self.capacity_kb
            guess = own * self.per_own if learnt and own >= FEW else max(self.usual.level, own)
        guess = min(guess, RELIEVED)
        if self.told is None or now - self.told_at >= 2.0 * self.fade_ms:
            return guess
        known = max(self.told + sum(kb for _, kb in self._since) / self.capacity_kb, 0.0)
        faded = min(max((now - self.told_at) / self.fade_ms - 1.0, 0.0), 1.0)
        return known * (1.0 - faded) + guess * faded

    def fresh(self, now: float) -> bool:
        return self.told is not None and now - self.told_at < self.fade_ms

    def asked_kb(self, now: float) -> float:
        """What an unreported uplink carries for this link, a full one at most."""
        level = self.load(now) if self.fresh(now) else max(self.usual.evenly, self.own_kb / self.capacity_kb)
        return min(level, 1.0) * self.capacity_kb

    def after(self, now: float, kb: float) -> float:
        return self.load(now) + kb / self.capacity_kb


@dataclass(slots=True, eq=False)
class Server:
    """One media server as this front knows it."""

    id: int
    link: Meter
    uplink: Meter
    streams: int
    rack: int
    state: ServerState = ServerState.READY
    started_at: float = 0.0
    cell: int = 0
    weight: float = 1.0
    sessions: dict[int, Session] = field(default_factory=dict)
    setting_up: int = 0
    full_until: float = -inf
    short_at: float = -inf
    strikes: int = 0
    suspect_until: float = -inf
    probing: bool = False
    climbed_at: float = -inf
    climb_kb: float = 0.0
    lost: bool = False
    gone_at: float = inf
    cold_since: float = -inf
    cold_sent_at: float = -inf
    doubted_at: float = -inf

    def room(self, now: float, warmth: float) -> tuple[float, float]:
        """Orders holders by room: by the rate left under the mark, and where none is left by load.

        Rate over the mark would call the smallest line the roomiest, at all fronts at once, and the
        more so the longer it goes on: guards against a fleet taken for full being served by its few
        smallest racks. Also covers mixed links and uplinks. Harm: past the mark a wide line, which
        bears a given rate with a smaller rise, ranks no better than a narrow one. A cold server has
        the room that its warmth leaves: else it would be the roomiest, and refuse for all others.
        """
        link, uplink = self.link.load(now) / warmth, self.uplink.load(now)
        link_kb, uplink_kb = self.link.capacity_kb * warmth, self.uplink.capacity_kb
        left_kb = min((MARK - link) * link_kb, (MARK - uplink) * uplink_kb)
        return max(left_kb, 0.0), -max(link, uplink)

    def load(self, now: float) -> float:
        return max(self.link.load(now), self.uplink.load(now))


@dataclass(slots=True, eq=False)
class Session:
    """A session from its request to its end."""

    viewer: Viewer
    kind: SessionClass
    taken_at: float
    answer_by: float
    rung: int
    top: int
    server: Server | None = None
    attempts: int = 0
    out: bool = False
    playing: bool = False
    may_have_run: bool = False
    tried: list[int] = field(default_factory=list)
    climbed_at: float = 0.0
    eased_at: float = -inf
    told_start: bool = False
    as_handed: bool = False
    asked: bool = False
    erred: Server | None = None


# --- 5. Guards of the rules -----------------------------------------------------------------------


class Guards:
    """The last check on every send."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.seed = settings, seed
        self.span_ms = settings.retry_budget.window_ms if settings.retry_budget else RATE_MS
        self.ready = 1
        self.seats: Counter[tuple[int, int]] = Counter()
        self.taken: deque[float] = deque()
        self.extra: deque[float] = deque()

    def may_go_to(self, server: Server, session: Session, now: float) -> bool:
        return server.state is ServerState.READY and self.cold_turn(server, session, now)

    def may_send(self, session: Session, now: float) -> bool:
        """One attempt at a time, within seats, cap and budget, and never twice what mustn't be."""
        cap, kind = self.settings.max_attempts, session.kind
        if session.out or session.playing or (cap is not None and session.attempts >= cap):
            return False
        if session.may_have_run and kind.idempotency is not Idempotency.IDEMPOTENT:
            return False
        if kind.seats and self.seats[session.viewer.title, session.viewer.class_index] >= kind.seats:
            return False
        return session.attempts == 0 or self.within_budget(now)

    def within_budget(self, now: float) -> bool:
        budget = self.settings.retry_budget
        if budget is None:
            return True
        while self.extra and self.extra[0] < now - budget.window_ms:
            self.extra.popleft()
        return len(self.extra) + 1 <= budget.min_retries + budget.retry_ratio * self.taken_lately(now)

    def taken_lately(self, now: float) -> int:
        while self.taken and self.taken[0] <= now - self.span_ms:
            self.taken.popleft()
        return len(self.taken)

    def warmth(self, server: Server, now: float) -> float:
        """Share of its capacity that a server has at least reached."""
        cold = self.settings.slow_start
        if cold is None or now - server.cold_since >= cold.window_ms:
            return 1.0
        return (
            cold.initial_factor
            + (1.0 - cold.initial_factor) * max(now - server.cold_since, 0.0) / cold.window_ms
        )

    def cold_turn(self, server: Server, session: Session, now: float) -> bool:
        """Whether a cold server takes this session: a lot decides that is drawn from the front's seed.

        What all fronts take, by own arrivals times fronts, and HERD times one server's usual part of
        that stay within the pace of the cold server; no front alone goes faster than that. Guards
        against a herd on a server that has just come back, also before the list says so. Harm: a
        front with more than its part of the arrivals thins too much.
        """
        cold, warmth = self.settings.slow_start, self.warmth(server, now)
        if cold is None or (warmth >= 1.0 and not server.lost):
            return True
        pace = server.streams * (cold.initial_factor if server.lost else warmth) / cold.window_ms
        if (now - server.cold_sent_at) * pace < 1.0:
            return False
        fleet = self.settings.front_count * (self.taken_lately(now) + 1) / self.span_ms
        return lot(session.viewer.session ^ self.seed, server.id) * fleet * min(HERD / self.ready, 1.0) < pace

    def sent(self, session: Session, server: Server, now: float) -> None:
        if session.attempts > 0:
            self.extra.append(now)
        server.cold_sent_at = now

    def hold(self, session: Session, count: int) -> None:
        self.seats[session.viewer.title, session.viewer.class_index] += count


class Controller:
    """The decisions of one front: `handle` what was seen, get what to do."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.guards = Guards(settings, seed)
        self.dice = Random(seed)
        self.servers: dict[int, Server] = {}
        self.sessions: dict[int, Session] = {}
        self.prices: Counter[float] = Counter()  # of the next step up, of sessions that play
        self.in_rack: list[dict[int, Session]] = [{} for _ in range(settings.rack_count)]
        self.waiting: dict[int, list[Session]] = {}
        self.played: dict[int, None] = {}  # titles that some server here has set up, oldest first
        self.watched: dict[int, Server] = {}  # with own sessions, strikes, or news since the last look
        self.fade_ms = 2.0 * max(settings.report_interval_ms + settings.report_delay_ms, UPKEEP_MS)
        self.late_ms = settings.report_delay_ms + UPKEEP_MS
        self.usual_link, self.usual_uplink = Usual(), Usual(first=1.0)
        self.uplinks_kb = (settings.uplink_rate_kbyte_s or inf) * settings.rack_count
        self.uplinks = [
            Meter(self.uplinks_kb, self.usual_uplink, self.fade_ms) for _ in range(settings.rack_count)
        ]
        self.aim_ms = min((kind.latency_objective_ms for kind in settings.classes), default=1000.0)
        self.takers: dict[type, Callable[..., None]] = {
            Arrival: self._arrive,
            AttemptSucceeded: self._started,
            AttemptEnded: self._ended,
            ClientGone: self._drop_request,
            ServerNotice: self._note,
            SessionRecovered: self._take_over,
            TimerFired: self._upkeep,
            HealthCheckEnded: self._probed,
            EndpointListUpdate: self._list,
        }
        self.now, self.looked_at, self.stood_ms = -inf, inf, 0.0
        self.ask_again_at = inf
        self.out: list[Action] = []
        self.rerung: dict[int, None] = {}

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        first, self.now, self.out = self.now == -inf, now_ms, []
        self.stood_ms = max(now_ms - self.looked_at - 2.0 * UPKEEP_MS, 0.0)  # what is found may be as old
        if first:
            self.out += [SetTimer(UPKEEP_TOKEN, UPKEEP_MS)] + [Subscribe(True)] * self.settings.must_subscribe
        for event in events:
            if take := self.takers.get(type(event)):
                take(event)
        for rid in self.rerung:
            if rid in self.sessions:
                self.out.append(SetRung(rid, self.sessions[rid].rung))
        self.rerung.clear()
        return self.out

    def _list(self, update: EndpointListUpdate) -> None:
        if update.kind is EndpointListKind.FAILED:
            self.ask_again_at = self.now + self.aim_ms
            return
        if update.kind is not EndpointListKind.DELTA:
            listed = {entry.server for entry in update.entries}
            for server in self.servers.values():
                if server.id not in listed:
                    server.state = ServerState.REMOVED
        for entry in update.entries:
            self._entry(entry)
        for server in list(self.servers.values()):
            self._bury(server)
        self._size_up()

    def _bury(self, server: Server) -> None:
        """Forgets a server that is long gone and that nothing here names any more.

        Guards against a fleet that is replaced for days, whose every server would be looked at for each
        title. Harm: one that comes back under its id after that has its learnt load to learn again.
        """
        if server.state is not ServerState.REMOVED:
            server.gone_at = inf
            return
        server.gone_at = min(server.gone_at, self.now)
        named = server.sessions or server.setting_up or server.probing or server.id in self.waiting
        if self.now - server.gone_at > GONE_MS and not named:
            del self.servers[server.id]
            self.watched.pop(server.id, None)

    def _size_up(self) -> None:
        """Shares out what uplinks carry: only the mean is told, so each gets its part by its links.

        Where no uplink is reported, it is also what these links carry, and no link of a gone server.
        """
        there = [server for server in self.servers.values() if server.state is not ServerState.REMOVED]
        self.guards.ready = max(sum(1 for server in there if server.state is ServerState.READY), 1)
        total_kb = sum(server.link.capacity_kb for server in there)
        for rack, uplink in enumerate(self.uplinks if there else ()):
            links = [server.link for server in there if server.rack == rack]
            uplink.capacity_kb = max(1.0, sum(one.capacity_kb for one in links) / total_kb * self.uplinks_kb)
            if "x1" not in self.settings.report_fields:
                uplink.feeders = links

    def _entry(self, entry: Endpoint) -> None:
        settings, server = self.settings, self.servers.get(entry.server)
        rack = entry.zone % settings.rack_count
        if server is None:
            streams = (
                settings.streams_by_server_type[entry.server_type]
                if entry.server_type < len(settings.streams_by_server_type)
                else 1
            )
            link_kb = settings.link_rate_per_weight_kbyte_s * (entry.weight if entry.weight > 0 else 1.0)
            link = Meter(link_kb, self.usual_link, self.fade_ms, settings.front_count)
            server = self.servers[entry.server] = Server(
                entry.server, link, self.uplinks[rack], streams, rack, started_at=entry.started_at
            )
            self._begin(server, entry.started_at)
        elif entry.started_at > server.started_at:
            self._begin(server, entry.started_at)
            server.link.forget()
        server.state, server.cell, server.weight = entry.state, entry.zone, max(entry.weight, 1e-3)

    def _begin(self, server: Server, started_at: float) -> None:
        """The list tells when its process started; 0 says nothing."""
        server.started_at, server.cold_since = started_at, started_at or -inf
        if self.settings.slow_start is not None:
            server.link.new_until = server.cold_since + self.settings.slow_start.window_ms

    # --- 2. Order and placement ---

    def _arrive(self, event: Arrival) -> None:
        self.guards.taken.append(self.now)
        self._place(self._open(event.viewer, self.now + event.viewer.remaining_ms))

    def _open(self, viewer: Viewer, answer_by: float) -> Session:
        kind = self.settings.classes[viewer.class_index]
        top = max(min(viewer.top_rung, kind.top_rung), 0)
        session = Session(viewer, kind, self.now, answer_by, kind.lowest_rung, top)
        self.sessions[viewer.session] = session
        return session

    def _place(self, session: Session) -> None:
        """Sends the next attempt of a session, or gives its final answer at once."""
        may = self.guards.may_send(session, self.now) and session.answer_by > self.now
        choice = self._choose(session) if may else None
        if choice is None:
            self._give_up(session)
            return
        server, rung = choice
        if self._blind(session, server):
            session.asked = True
            self.waiting.setdefault(server.id, []).append(session)
            self._probe(server)
            return
        self._send(session, server, rung)

    def _choose(self, session: Session) -> tuple[Server, int] | None:
        """The first free holder at the highest usable rung, else the roomiest at what fits there."""
        usable = [server for server in self._order(session) if self._usable(server, session)]
        holders = [server for server in usable if not self._marked_full(server)] or usable
        holders = [server for server in holders if server.id not in session.tried] or holders
        for server in holders:
            if self._fits(server, session, session.top):
                return server, self._fair_rung(server, session)
        if not holders:
            return None
        roomiest = max(holders, key=lambda one: one.room(self.now, self.guards.warmth(one, self.now)))
        for rung in range(session.top - 1, session.kind.lowest_rung - 1, -1):
            if self._fits(roomiest, session, rung):
                return roomiest, rung
        return (roomiest, session.kind.lowest_rung) if self._make_room(roomiest, session) else None

    def _blind(self, session: Session, server: Server) -> bool:
        """Whether to probe first: no session on the server nor news of it, nor of most holders.

        Guards against fronts too small to hear of most servers. Also covers notes that stay out.
        Harm: the price of a probe, at most one a session, where the guess was right.
        """
        holders, old = self._order(session), self.now - self.fade_ms
        unheard = [one for one in holders if not one.sessions and one.link.told_at < old]
        time = session.answer_by - self.now >= session.kind.latency_objective_ms and session.attempts == 0
        may = self.settings.may_check_health and self.settings.front_count > 1 and time and not session.asked
        return may and server in unheard and 2 * len(unheard) > len(holders)

    def _order(self, session: Session) -> list[Server]:
        """The listed holders of a title, each drawn for it in proportion to its weight: alike at all fronts.

        One order for all titles would send all fronts to the same few servers, of whose load each
        front learns only by being turned away.
        """
        viewer, cells, gone = session.viewer, self.settings.zone_count, ServerState.REMOVED
        listed = [one for one in self.servers.values() if one.state is not gone]
        holders = [one for one in listed if (one.cell - viewer.first_zone) % cells < viewer.replicas]
        return sorted(holders, key=lambda one: (lot(viewer.title, one.id) / one.weight, one.id))

    def _fair_rung(self, server: Server, session: Session) -> int:
        """The highest usable rung, or less while most own sessions are held below theirs.

        Each step must be worth as much for its rate as the next step of the middle one of them.
        Guards against newcomers taking at the top what many could share. Also covers uplinks that
        carry less than told. Harm: a front held low by one bad rack starts all newcomers low.
        """
        rung, worth = session.top, self._going_price()
        while rung > session.kind.lowest_rung and self._price(session, rung) < worth:
            rung -= 1
        return rung

    def _going_price(self) -> float:
        """What the next step up is worth to the middle one of the own sessions that play."""
        prices = sorted((price, count) for price, count in self.prices.items() if count > 0)
        middle = sum(count for _, count in prices) // 2
        for price, count in prices:
            middle -= count
            if middle < 0:
                return price
        return 0.0

    def _tally(self, session: Session, step: int) -> None:
        """Keeps count of going prices: looking at all sessions at each arrival grows with what is held."""
        if session.playing:
            at_top = session.rung >= session.top
            self.prices[0.0 if at_top else self._price(session, session.rung + 1)] += step

    def _make_room(self, server: Server, session: Session) -> bool:
        """Rather than refuse, fills the first step above the mark, stepping own sessions down for it.

        Guards against viewers turned away while others watch at high rungs. Also covers a mark
        lowered by old reports. Harm: every step down costs its session a switch.
        """
        lowest, limit = session.kind.lowest_rung, MARK + STEP
        for _ in range(len(self.sessions)):
            if self._fits(server, session, lowest, limit):
                return True
            link_over = server.link.load(self.now) > server.uplink.load(self.now)
            if not self._step_down(server.sessions if link_over else self.in_rack[server.rack], {}):
                return False
        return False

    def _usable(self, server: Server, session: Session) -> bool:
        now = self.now
        if server.suspect_until > now or (server.probing and server.strikes):
            return False
        if server.strikes and server.setting_up:
            return False
        return len(server.sessions) < server.streams and self.guards.may_go_to(server, session, now)

    def _marked_full(self, server: Server) -> bool:
        """Full for five seconds, or until a report seen after the mark shows it under the mark.

        Where every holder is marked, all are asked all the same: guards against a moment's shortage
        everywhere shutting a front's viewers out. Harm: an attempt that is turned away at once.
        """
        seen_since = server.link.told_at > server.full_until - FULL_MARK_MS
        return server.full_until > self.now and not (seen_since and server.load(self.now) < MARK)

    def _fits(self, server: Server, session: Session, rung: int, mark: float = MARK) -> bool:
        kb = self._rate_kb(session, rung)
        warm = mark * self.guards.warmth(server, self.now)
        return server.link.after(self.now, kb) < warm and server.uplink.after(self.now, kb) < mark

    def _rate_kb(self, session: Session, rung: int) -> float:
        return self.settings.rung_rates_kbyte_s[rung] * session.kind.rate_multiplier

    def _send(self, session: Session, server: Server, rung: int) -> None:
        """The one way out for a set-up; the guards have the last word."""
        now, rid = self.now, session.viewer.session
        if not (self.guards.may_send(session, now) and self.guards.may_go_to(server, session, now)):
            self._give_up(session)
            return
        timeout = min(session.kind.latency_objective_ms * ATTEMPT_AIMS, session.answer_by - now)
        self.guards.sent(session, server, now)
        self.guards.hold(session, 1)
        session.attempts += 1
        session.out = True
        session.tried.append(server.id)
        session.rung = rung
        self._join(session, server)
        server.setting_up += 1
        self.out.append(SetRung(rid, rung))
        self.out.append(Place(rid, server.id, timeout))

    def _join(self, session: Session, server: Server) -> None:
        session.server = server
        server.sessions[session.viewer.session] = session
        self.in_rack[server.rack][session.viewer.session] = session
        self.watched[server.id] = server
        self._count(session, server, 1)

    def _count(self, session: Session, server: Server, step: int) -> None:
        kb = step * self._rate_kb(session, session.rung)
        self._tally(session, step)
        server.link.add(self.now, kb)
        server.uplink.add(self.now, kb)

    def _leave(self, session: Session) -> None:
        server = session.server
        if server is not None:
            del server.sessions[session.viewer.session]
            del self.in_rack[server.rack][session.viewer.session]
            self._count(session, server, -1)
            self.guards.hold(session, -1)
            session.server = None

    def _give_up(self, session: Session) -> None:
        """The final answer, at once: a refusal where nothing can have run, else a failure."""
        rid = session.viewer.session
        self.sessions.pop(rid, None)
        if session.may_have_run and session.kind.idempotency is not Idempotency.IDEMPOTENT:
            self.out.append(Fail(rid))
        else:
            self.out.append(Reject(rid, self.settings.max_retry_after_ms or 0.0))

    def _take_over(self, event: SessionRecovered) -> None:
        session, server = self._open(event.viewer, inf), self.servers.get(event.server)
        session.playing = session.may_have_run = session.told_start = True
        session.attempts = 1
        self._known_title(session)
        # Handed over low with links idle, it may climb as soon as they are told, or after a round of notes.
        session.as_handed = True
        session.climbed_at = self.now + min(self.settings.report_interval_ms + self.late_ms - CLIMB_MS, 0.0)
        if server is not None:
            self.guards.hold(session, 1)
            self._join(session, server)

    # --- 4. Health and attempts ---

    def _started(self, event: AttemptSucceeded) -> None:
        session = self.sessions.get(event.session)
        if session is None or session.server is None:
            return
        session.playing, session.out, session.climbed_at = True, False, self.now
        self._known_title(session)
        self._tally(session, 1)
        server = session.server
        server.setting_up -= 1
        if server.lost:
            server.lost, server.cold_since = False, self.now
        if server.strikes:
            self.out.append(Log(f"server {server.id} sets up again after {server.strikes} failures"))
        server.strikes, server.suspect_until = 0, -inf

    def _ended(self, event: AttemptEnded) -> None:
        session, server = self.sessions.get(event.session), self.servers.get(event.server)
        stray = event.result is Result.ERROR and session is not None and self._stray(session, server)
        if server is not None:
            if session is None or not session.playing:
                self._hear_report(server, event.report)
            if event.result in FAILED and not stray:
                self._suspect(server, event.result)
            elif event.result is Result.FULL:
                server.full_until = self.now + FULL_MARK_MS
        if session is None:
            return
        if session.out and session.server is not None:
            session.server.setting_up -= 1
        session.out = False
        if event.result not in NEVER_RAN:
            session.may_have_run = True
        self._leave(session)
        if event.is_final or session.playing:
            self.sessions.pop(event.session, None)
        elif stray and session.attempts > 1:
            self._give_up(session)
        else:
            self._place(session)

    def _stray(self, session: Session, server: Server | None) -> bool:
        """Whether an error may be the request's own fault: its title never played here, or two servers err.

        Guards against requests for titles that nobody has, and for what has ended, each of which would
        make a suspect of every server that it tries. Two servers are asked, no third, and the first is
        cleared. Also covers titles just taken away. Harm: a server that fails all it is asked is
        suspected only by titles that have played, and not where two such servers meet in one request.
        """
        first, session.erred = session.erred, server
        if first is not None and first is not server and first.strikes == 1:
            first.strikes, first.suspect_until = 0, -inf
        return first not in (None, server) or session.viewer.title not in self.played

    def _known_title(self, session: Session) -> None:
        self.played[session.viewer.title] = None
        if len(self.played) > TITLES:
            del self.played[next(iter(self.played))]

    def _suspect(self, server: Server, result: Result) -> None:
        """Keeps new sessions off a server that failed, for longer with every failure in a row.

        Guards against servers that error, hang, go silent or die while the list still calls them
        ready; should cover any server that sets up badly. Harm: one unlucky failure costs the head
        of the order an aim's time.
        """
        self.watched[server.id] = server
        self._doubt(server, result in LOST)
        if self.now < server.suspect_until or (result is Result.TIMEOUT and self.stood_ms > 0.0):
            return
        doublings = min(server.strikes, SUSPECT_DOUBLINGS)
        server.strikes += 1
        server.suspect_until = self.now + self.aim_ms * SUSPECT_AIMS * 2.0**doublings
        if result in LOST:
            server.link.forget()
        if server.strikes == 1:
            if result is Result.TIMEOUT:
                self._probe(server)
            self.out.append(Log(f"server {server.id} is suspect: {RESULT_LABELS[result]}"))

    def _doubt(self, server: Server, gone: bool) -> None:
        """Takes its process for gone, so that what comes back is cold."""
        if gone and not server.lost:
            server.lost, server.doubted_at = True, self.now

    def _lives(self, server: Server, session: Session) -> None:
        """News of a session that plays there from before the doubt: its process has not ended.

        Guards against a server taken for cold, and its sessions squeezed, for one broken connection.
        Also covers probes that were lost. Harm: none known; what a process said before its end is
        no older than the latest of notes.
        """
        heard = self.now - self.late_ms - self.stood_ms
        if session.playing and session.server is server and session.taken_at < server.doubted_at < heard:
            server.lost, server.doubted_at = False, -inf
            server.cold_since = server.started_at or -inf

    def _probed(self, event: HealthCheckEnded) -> None:
        server = self.servers.get(event.server)
        if server is None:
            return
        server.probing = False
        self._hear_report(server, event.report)
        if event.result is not Result.OK:
            self._doubt(server, event.result is not Result.ERROR)
            self._suspect(server, event.result)
        elif server.lost:
            server.lost, server.cold_since = False, self.now
        elif server.strikes == 1:
            server.suspect_until = -inf
        for session in self.waiting.pop(server.id, []):
            if session.viewer.session in self.sessions and not session.out:
                self._place(session)

    def _drop_request(self, event: ClientGone) -> None:
        session = self.sessions.get(event.session)
        if session is not None and session.out:
            session.answer_by = -inf
        elif session is not None:
            self._leave(session)
            del self.sessions[event.session]

    def _hear_report(self, server: Server, report: tuple[float, ...]) -> None:
        """Takes the report of a set-up or a probe; one that ends a played session is as old as that."""
        self.watched[server.id] = server
        seen_at = self.now - self.late_ms - self.stood_ms
        for name, value in zip(self.settings.report_fields, report, strict=False):
            if name == "x0" or (name == "cpu" and value < 0.99):
                server.link.hear(value, seen_at)
            elif name == "x1":
                server.uplink.hear(value, seen_at)

    def _note(self, note: ServerNotice) -> None:
        session, server = self.sessions.get(note.session), self.servers.get(note.server)
        if note.kind is NoticeKind.RUNG:
            known = 0 <= note.level < len(self.settings.rung_rates_kbyte_s)
            if session is not None and session.server is not None and known:
                self._count(session, session.server, -1)
                session.rung = int(note.level)
                self._count(session, session.server, 1)
            return
        if server is None:
            return
        self.watched[server.id] = server
        seen_at = self.now - self.late_ms - self.stood_ms
        if session is not None:
            self._lives(server, session)
        if note.kind is NoticeKind.DELIVERED:
            self._short(server, note.level, seen_at)
            return
        if session is not None and not session.told_start:
            session.told_start = note.kind is NoticeKind.UPLINK or "x1" not in self.settings.report_fields
            seen_at = self.now - self.stood_ms
        (server.link if note.kind is NoticeKind.LINK else server.uplink).hear(note.level, seen_at)

    def _short(self, server: Server, share: float, seen_at: float) -> None:
        """Sessions there get less than they ask: the server is full, and so is one of its two lines.

        Where the account knew nothing of it, the uplink is taken to be short if half of the rack's
        servers with own sessions deliver short at the time, else the link. With sessions on one
        server only there is nothing to compare: an unreported uplink is short if the link was lately
        told under the mark. No report tells whether relief of it was enough, so a short delivery
        seen after that is news. Guards against links and uplinks that give less than their weight,
        and against late reports. Harm: a link that shrank since it was told holds its rack low.
        Where servers don't tell how full their lines are, only short ones are heard of, which is no
        sample: guards against one shortage holding all newcomers low for good.
        """
        if not 0.0 <= share < 0.98:
            return
        server.full_until, server.short_at = self.now + FULL_MARK_MS, self.now
        over = 1.0 / max(share, 0.1)
        link, uplink = server.link, server.uplink
        if seen_at < max(link.relieved_at, uplink.relieved_at) + SHORT_MS:
            return
        acted = bool(uplink.feeders) and uplink.told_at <= uplink.relieved_at
        again = acted and uplink.load(self.now) >= link.load(self.now)
        if server.load(self.now) >= over - STEP and not again:
            return
        used = [one for one in self.watched.values() if one.rack == server.rack and one.sessions]
        short = [one for one in used if one.short_at > self.now - SHORT_MS]
        whole_rack = len(short) > 1 and 2 * len(short) >= len(used)
        alone = len(used) == 1 and bool(uplink.feeders)
        link_well = link.fresh(self.now) and link.load(self.now) < MARK
        rack_short = whole_rack or (alone and link_well) or (again and uplink.fresh(self.now))
        (uplink if rack_short else link).hear(over, seen_at, sample=self.settings.report_interval_ms > 0.0)

    # --- 3. Rungs of playing sessions ---

    def _upkeep(self, event: TimerFired) -> None:
        if event.token != UPKEEP_TOKEN:
            return
        self.looked_at = self.now
        self.out.append(SetTimer(UPKEEP_TOKEN, UPKEEP_MS))
        if self.ask_again_at <= self.now:
            self.ask_again_at = inf
            self.out.append(Subscribe(True))
        watched = sorted(self.watched.values(), key=lambda one: one.id)
        for server in watched:
            if server.lost and server.suspect_until <= self.now and server.setting_up == 0:
                self._probe(server)
            self._relieve(server.link, server.sessions)
        for rack in sorted({one.rack for one in watched}):
            self._relieve(self.uplinks[rack], self.in_rack[rack])
        for server in watched:
            if server.sessions:
                self._climb(server)
            elif not server.strikes:
                del self.watched[server.id]

    def _probe(self, server: Server) -> None:
        if self.settings.may_check_health and not server.probing:
            server.probing = True
            self.out.append(CheckHealth(server.id))

    def _relieve(self, meter: Meter, sessions: dict[int, Session]) -> None:
        """Own sessions give up their part of what lies above the mark.

        Then nothing until a report shows how it stood after that: the other fronts heard the same and
        give up their part too, and to count only one's own would give up all of it at every front.
        On an unreported uplink, which is relieved again if it stays short, a draw decides on less
        than a rung; elsewhere a rung too many costs less than a line that stays short.
        """
        load = meter.load(self.now)
        steps = int((load - MARK) / STEP + 1e-9)
        if meter.told_at <= meter.relieved_at or steps < 1:
            return
        meter.relieved_at = self.now
        excess = meter.own_kb * (1.0 - RELIEVED / load)
        least = {rid: one.rung - steps for rid, one in sessions.items()}
        while excess > 0 and (freed := self._step_down(sessions, least, excess if meter.feeders else inf)):
            excess -= freed

    def _step_down(
        self, sessions: dict[int, Session], least: dict[int, int], needed_kb: float = inf
    ) -> float:
        """Steps down the session that loses least worth for the rate it frees; tells that rate."""
        able = [
            one for rid, one in sessions.items()
            if one.playing and one.rung > max(one.kind.lowest_rung, least.get(rid, 0))
        ]  # fmt: skip
        if not able:
            return 0.0
        session = min(able, key=lambda one: (self._price(one, one.rung), one.viewer.session))
        freed = self._rate_kb(session, session.rung) - self._rate_kb(session, session.rung - 1)
        if needed_kb < freed and self.dice.random() * freed > needed_kb:
            return 0.0
        self._set_rung(session, session.rung - 1)
        return freed

    def _price(self, session: Session, rung: int) -> float:
        """Worth lost for each kB a second freed by stepping down from `rung` until the next climb."""
        settings = self.settings
        seconds = (settings.rung_utilities[rung] - settings.rung_utilities[rung - 1]) * CLIMB_MS / 1000.0
        freed = self._rate_kb(session, rung) - self._rate_kb(session, rung - 1)
        return (seconds + settings.switch_cost_s) * session.kind.priority_weight / max(freed, 1e-9)

    def _climb(self, server: Server) -> None:
        """One session a look climbs where all stays under the mark, into this front's part of the room.

        The part goes by own part of the load and lasts until the next note; a draw decides on less
        than a rung. So what many fronts do on one note adds up to the room, not to a rung each.
        """
        choices = [one for one in server.sessions.values() if self._may_climb(one)]
        if not choices or server.load(self.now) >= MARK or self._marked_full(server):
            return
        session = max(choices, key=lambda one: (self._price(one, one.rung + 1), -one.viewer.session))
        lines = (server.link, server.uplink)
        if server.link.told_at > server.climbed_at:
            part = min(one.own_kb * (MARK / max(one.load(self.now), 0.01) - 1.0) for one in lines)
            server.climbed_at, server.climb_kb = server.link.told_at, max(part, 0.0)
        for rung in range(session.top, session.rung, -1):
            kb = self._rate_kb(session, rung) - self._rate_kb(session, session.rung)
            drawn = rung == session.rung + 1 and self.dice.random() * kb < server.climb_kb
            if (drawn or kb <= server.climb_kb) and all(one.after(self.now, kb) < MARK for one in lines):
                server.climb_kb -= kb
                self._set_rung(session, rung)
                return
        server.climb_kb = 0.0

    def _may_climb(self, session: Session) -> bool:
        if not session.playing or session.rung >= session.top or session.server is None:
            return False
        told = all(one.feeders or one.fresh(self.now) for one in (session.server.link, session.server.uplink))
        settled = max(session.climbed_at + CLIMB_MS, session.eased_at + SETTLE_MS) <= self.now
        if not settled and not (session.as_handed and told):
            return False
        left_s = (session.taken_at + (session.viewer.length_ms or inf) - self.now) / 1000.0
        gain = self.settings.rung_utilities[session.rung + 1] - self.settings.rung_utilities[session.rung]
        return gain * left_s > self.settings.switch_cost_s

    def _set_rung(self, session: Session, rung: int) -> None:
        if session.server is None:
            return
        self._count(session, session.server, -1)
        if rung > session.rung:
            session.climbed_at = self.now
        else:
            session.eased_at = self.now
        session.rung, session.as_handed = rung, False
        self._count(session, session.server, 1)
        self.rerung[session.viewer.session] = None
