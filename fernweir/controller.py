"""The decisions of a front as a pure state machine; fernweir/interface.py defines its events and actions.

A front owns one Controller, passes its events to `Controller.handle` in order, and executes the actions that
this method returns. Times (`now`, `..._at`, `..._until`) are milliseconds of the front's clock, rates
and capacities kB a second, and loads ratios of demand to capacity. docs/design.md explains the design.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from math import inf
from random import Random

from fernweir import interface
from fernweir.controller_state import Server, Session
from fernweir.interface import RESULT_LABELS, Idempotency, NoticeKind, Result, Settings, Viewer
from fernweir.load_estimator import (
    DOWNSWITCH_STEP,
    DOWNSWITCH_TARGET,
    TARGET_UTILIZATION,
    LinkEstimator,
    LoadEstimator,
    TypicalLoad,
)
from fernweir.safety_rules import SafetyRules, exponential_draw
from fernweir.server_table import ServerTable
from fernweir.uplink_capacity import UplinkDivision, UplinkEstimator

FULL_BACKOFF_MS = 5_000.0  # pause in placement after a FULL result or a shortfall; a few report intervals
SHORTFALL_WINDOW_MS = 1_500.0  # shortfalls within it count as simultaneous: reports differ in age
SHORTFALL_RATIO = 0.98  # delivered over demanded; above this the difference is measurement noise
UPSWITCH_INTERVAL_MS = 10_000.0  # minimum between two upswitches of a session: viewers notice each one
DOWNSWITCH_HOLD_MS = 5_000.0  # minimum from a downswitch to the next upswitch of a session
MAINTENANCE_INTERVAL_MS = 250.0  # between two checks of playing sessions and suspected servers
ATTEMPT_TIMEOUT_IN_OBJECTIVES = 0.5  # in latency objectives; leaves time for a retry within the objective
EJECTION_IN_OBJECTIVES = 1.0  # first ejection, in latency objectives; doubles with each failure in a row
MAX_EJECTION_DOUBLINGS = 3  # limits an ejection to eight times the first
FORGET_REMOVED_AFTER_MS = 60_000.0  # longer than a restart of a server takes
MAX_PLAYED_TITLES = 4096  # limits the memory for titles that have played
MAINTENANCE_TOKEN = 1
NEVER_RAN_RESULTS = (Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT)
FAILURE_RESULTS = (Result.ERROR, Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET)
CONNECTION_LOST_RESULTS = (Result.CONNECT_FAILED, Result.RESET)  # taken as the end of the server process


def rendezvous_score(title: int, server: Server) -> tuple[float, int]:
    """Returns the sort key of weighted rendezvous hashing: the lowest ranks first, ties by id."""
    return exponential_draw(title, server.server_id) / server.weight, server.server_id


class Controller:
    """Decides for one front: `handle` processes its events and returns the actions to execute."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.safety_rules = SafetyRules(settings, seed)
        self.rng = Random(seed)
        self.sessions: dict[int, Session] = {}
        self.upswitch_priorities: Counter[float] = Counter()  # count of playing sessions by priority
        self.sessions_by_rack: list[dict[int, Session]] = [{} for _ in range(settings.rack_count)]
        self.awaiting_health_check: dict[int, list[Session]] = {}
        self.played_titles: dict[int, None] = {}  # an ordered set of titles that have played, oldest first
        self.watched_servers: dict[int, Server] = {}  # with own sessions, failures or new reports
        report_cycle_ms = settings.report_interval_ms + settings.report_delay_ms
        self.decay_ms = 2.0 * max(report_cycle_ms, MAINTENANCE_INTERVAL_MS)
        self.report_age_ms = settings.report_delay_ms + MAINTENANCE_INTERVAL_MS
        self.typical_link_load, self.typical_uplink_load = TypicalLoad(), TypicalLoad(first_weight=1.0)
        total_uplink_kbyte_s = (settings.uplink_rate_kbyte_s or inf) * settings.rack_count
        self.uplink_division = UplinkDivision(settings.rack_count, total_uplink_kbyte_s)
        self.uplinks = [self._new_uplink(rack) for rack in range(settings.rack_count)]
        self.server_table = ServerTable(settings.zone_count, self.uplink_division)
        objectives = (session_class.latency_objective_ms for session_class in settings.classes)
        self.shortest_objective_ms = min(objectives, default=1000.0)
        self.handlers: dict[type, Callable[..., None]] = {
            interface.Arrival: self._on_arrival,
            interface.AttemptSucceeded: self._on_attempt_succeeded,
            interface.AttemptEnded: self._on_attempt_ended,
            interface.ClientDisconnected: self._on_client_disconnected,
            interface.ServerNotice: self._on_server_notice,
            interface.SessionRecovered: self._on_session_recovered,
            interface.TimerFired: self._on_timer,
            interface.HealthCheckEnded: self._on_health_check_ended,
            interface.EndpointListUpdate: self._on_endpoint_list,
        }
        self.now, self.maintained_at, self.resubscribe_at, self.stall_ms = -inf, inf, inf, 0.0
        self.actions: list[interface.Action] = []
        self.rung_changes: dict[int, None] = {}  # an ordered set of sessions, by first change

    @property
    def servers(self) -> dict[int, Server]:
        """The known servers by number, with those that were removed from the endpoint list recently."""
        return self.server_table.by_id

    def handle(self, now_ms: float, events: list[interface.Event]) -> list[interface.Action]:
        """Processes the events since the last call, in order, and returns the actions to execute, in order.

        `now_ms` is the front's monotonic clock. Events without a handler are ignored.
        """
        is_first, self.now, self.actions = self.now == -inf, now_ms, []
        # After a stall of the front's process, events may be older than usual by the length of the stall.
        self.stall_ms = max(now_ms - self.maintained_at - 2.0 * MAINTENANCE_INTERVAL_MS, 0.0)
        if is_first:
            self.actions.append(interface.SetTimer(MAINTENANCE_TOKEN, MAINTENANCE_INTERVAL_MS))
            if self.settings.must_subscribe:
                self.actions.append(interface.Subscribe(True))
        for event in events:
            if handler := self.handlers.get(type(event)):
                handler(event)
        for session_id in self.rung_changes:
            if session_id in self.sessions:
                self.actions.append(interface.SetRung(session_id, self.sessions[session_id].rung))
        self.rung_changes.clear()
        return self.actions

    # --- Endpoint list ---

    def _on_endpoint_list(self, update: interface.EndpointListUpdate) -> None:
        if update.kind is interface.EndpointListKind.FAILED:
            self.resubscribe_at = self.now + self.shortest_objective_ms
            return
        if update.kind is not interface.EndpointListKind.DELTA:
            listed = {endpoint.server for endpoint in update.entries}
            self.server_table.remove_unlisted(listed, self.now)
        for endpoint in update.entries:
            self._apply_endpoint(endpoint)
        self._forget_removed_servers()
        self.uplink_division.divide()
        self.safety_rules.ready_servers = max(self.server_table.ready_count, 1)

    def _forget_removed_servers(self) -> None:
        """Forgets the servers that were removed long ago and are not in use, to limit the memory."""
        for server in self.server_table.removed_before(self.now - FORGET_REMOVED_AFTER_MS):
            has_attempts = server.attempts_in_flight or server.is_checking_health
            is_in_use = server.sessions or has_attempts or server.server_id in self.awaiting_health_check
            if not is_in_use:
                self.server_table.forget(server)
                self.watched_servers.pop(server.server_id, None)

    def _apply_endpoint(self, endpoint: interface.Endpoint) -> None:
        server = self.servers.get(endpoint.server)
        if server is None:
            server = self._new_server(endpoint)
            self.server_table.add(server)
            self._on_process_start(server, endpoint.started_at)
        elif endpoint.started_at > server.started_at:
            self._on_process_start(server, endpoint.started_at)
            server.link.forget_report()
        server.weight = max(endpoint.weight, 1e-3)
        self.server_table.set_state(server, endpoint.state, endpoint.zone, self.now)

    def _new_uplink(self, rack: int) -> UplinkEstimator:
        is_reported = "x1" in self.settings.report_fields
        typical = self.typical_uplink_load
        return UplinkEstimator(self.uplink_division, rack, typical, self.decay_ms, is_reported=is_reported)

    def _new_server(self, endpoint: interface.Endpoint) -> Server:
        settings, rack = self.settings, endpoint.zone % self.settings.rack_count
        slots = settings.streams_by_server_type
        stream_slots = slots[endpoint.server_type] if endpoint.server_type < len(slots) else 1
        weight = endpoint.weight if endpoint.weight > 0 else 1.0
        link_kbyte_s = settings.link_rate_per_weight_kbyte_s * weight
        link = LinkEstimator(link_kbyte_s, self.typical_link_load, self.decay_ms, settings.front_count)
        return Server(endpoint.server, link, self.uplinks[rack], stream_slots, rack)

    def _on_process_start(self, server: Server, started_at: float) -> None:
        """Begins the slow start of a server at its start time in the endpoint list; 0 means unknown."""
        server.started_at, server.warming_since = started_at, started_at or -inf
        if self.settings.slow_start is not None:
            server.link.slow_start_until = server.warming_since + self.settings.slow_start.window_ms

    # --- Ranking and placement ---

    def _on_arrival(self, event: interface.Arrival) -> None:
        self.safety_rules.arrivals.append(self.now)
        self._place_session(self._open_session(event.viewer, self.now + event.viewer.remaining_ms))

    def _open_session(self, viewer: Viewer, deadline: float) -> Session:
        session_class = self.settings.classes[viewer.class_index]
        top_rung = max(min(viewer.top_rung, session_class.top_rung), 0)
        session = Session(viewer, session_class, self.now, deadline, session_class.lowest_rung, top_rung)
        self.sessions[viewer.session] = session
        return session

    def _place_session(self, session: Session) -> None:
        """Sends the next attempt of a session, or its final reply if no attempt is possible."""
        may_attempt = self.safety_rules.may_attempt(session, self.now) and session.reply_deadline > self.now
        choice = self._choose_server(session) if may_attempt else None
        if choice is None:
            self._reject_or_fail(session)
            return
        server, rung = choice
        if self._needs_health_check(session, server):
            session.has_awaited_health_check = True
            self.awaiting_health_check.setdefault(server.server_id, []).append(session)
            self._check_health(server)
            return
        self._send_attempt(session, server, rung)

    def _choose_server(self, session: Session) -> tuple[Server, int] | None:
        """Returns the first candidate that fits the top rung, or else the one with the most headroom."""
        usable = [server for server in self._ranked_candidates(session) if self._is_usable(server, session)]
        servers = [server for server in usable if not self._is_full(server)] or usable
        servers = [one for one in servers if one.server_id not in session.attempted_servers] or servers
        for candidate in servers:
            if self._fits(candidate, session, session.top_rung):
                return candidate, self._fair_rung(candidate, session)
        if not servers:
            return None
        fallback = max(servers, key=self._headroom)
        lowest_rung = session.session_class.lowest_rung
        for rung in range(session.top_rung - 1, lowest_rung - 1, -1):
            if self._fits(fallback, session, rung):
                return fallback, rung
        return (fallback, lowest_rung) if self._free_capacity(fallback, session) else None

    def _headroom(self, server: Server) -> tuple[float, float]:
        return server.headroom(self.now, self.safety_rules.slow_start_factor(server, self.now))

    def _needs_health_check(self, session: Session, server: Server) -> bool:
        """Whether to check a server first: no recent data on it and most candidates, as with few sessions."""
        may_check = self.settings.may_check_health and self.settings.front_count > 1
        has_time = session.reply_deadline - self.now >= session.session_class.latency_objective_ms
        if not (may_check and has_time) or session.attempts > 0 or session.has_awaited_health_check:
            return False
        holders, oldest = self._holders(session), self.now - self.decay_ms
        unknown = [one for one in holders if not one.sessions and one.link.reported_at < oldest]
        return server in unknown and 2 * len(unknown) > len(holders)

    def _ranked_candidates(self, session: Session) -> list[Server]:
        """Returns the listed servers that have the title, ordered by rendezvous hashing as on all fronts."""
        return sorted(self._holders(session), key=partial(rendezvous_score, session.viewer.title))

    def _holders(self, session: Session) -> list[Server]:
        """Returns the listed servers that have the session's title."""
        return self.server_table.holders(session.viewer.first_zone, session.viewer.replicas)

    def _fair_rung(self, server: Server, session: Session) -> int:
        """Returns the top rung, or a lower one while most own sessions are below their top rungs.

        The last step up to it has at least the marginal priority, so that a new session takes no rate that
        several others could use. If an overloaded rack keeps most own sessions low, all new ones start low.
        """
        rung, marginal_priority = session.top_rung, self._marginal_priority()
        lowest_rung = session.session_class.lowest_rung
        while rung > lowest_rung and self._priority_per_rate(session, rung) < marginal_priority:
            rung -= 1
        return rung

    def _marginal_priority(self) -> float:
        """Returns the median, over own playing sessions, of the priority of their next upswitch."""
        priorities = sorted((key, count) for key, count in self.upswitch_priorities.items() if count > 0)
        remaining = sum(count for _, count in priorities) // 2
        for priority, count in priorities:
            remaining -= count
            if remaining < 0:
                return priority
        return 0.0

    def _count_priority(self, session: Session, step: int) -> None:
        """Updates the counts for the marginal priority, so that arrivals need not visit all sessions."""
        if session.is_playing:
            is_at_top = session.rung >= session.top_rung
            priority = 0.0 if is_at_top else self._priority_per_rate(session, session.rung + 1)
            self.upswitch_priorities[priority] += step

    def _free_capacity(self, server: Server, session: Session) -> bool:
        """Switches own sessions down until this one fits, instead of rejecting it to keep their rungs."""
        lowest_rung, limit = session.session_class.lowest_rung, TARGET_UTILIZATION + DOWNSWITCH_STEP
        for _ in range(len(self.sessions)):
            if self._fits(server, session, lowest_rung, limit):
                return True
            is_link_busier = server.link.load(self.now) > server.uplink.load(self.now)
            sessions = server.sessions if is_link_busier else self.sessions_by_rack[server.rack]
            if not self._downswitch(sessions, {}, inf):
                return False
        return False

    def _is_usable(self, server: Server, session: Session) -> bool:
        """Whether a server may be chosen; after failures it gets one attempt or health check at a time."""
        is_under_test = server.is_checking_health or server.attempts_in_flight
        if server.ejected_until > self.now or (server.consecutive_failures and is_under_test):
            return False
        has_slot = len(server.sessions) < server.stream_slots
        return has_slot and self.safety_rules.is_eligible(server, session, self.now)

    def _is_full(self, server: Server) -> bool:
        """Whether a server was full recently and no later report shows it below the target."""
        if server.full_until <= self.now:
            return False
        has_later_report = server.link.reported_at > server.full_until - FULL_BACKOFF_MS
        return not (has_later_report and server.load(self.now) < TARGET_UTILIZATION)

    def _fits(self, server: Server, session: Session, rung: int, target: float = TARGET_UTILIZATION) -> bool:
        rate_kbyte_s = self._rate_kbyte_s(session, rung)
        link_target = target * self.safety_rules.slow_start_factor(server, self.now)
        fits_link = server.link.load_with(self.now, rate_kbyte_s) < link_target
        return fits_link and server.uplink.load_with(self.now, rate_kbyte_s) < target

    def _rate_kbyte_s(self, session: Session, rung: int) -> float:
        return self.settings.rung_rates_kbyte_s[rung] * session.session_class.rate_multiplier

    def _send_attempt(self, session: Session, server: Server, rung: int) -> None:
        """Sends an attempt if the safety rules permit it; every attempt is sent by this method."""
        now, session_id, rules = self.now, session.viewer.session, self.safety_rules
        if not (rules.may_attempt(session, now) and rules.is_eligible(server, session, now)):
            self._reject_or_fail(session)
            return
        objective_ms = session.session_class.latency_objective_ms
        timeout_ms = min(objective_ms * ATTEMPT_TIMEOUT_IN_OBJECTIVES, session.reply_deadline - now)
        rules.record_attempt(session, server, now)
        rules.add_seats(session, 1)
        session.attempts += 1
        session.is_in_flight = True
        session.attempted_servers.append(server.server_id)
        session.rung = rung
        self._assign_server(session, server)
        server.attempts_in_flight += 1
        self.actions.append(interface.SetRung(session_id, rung))
        self.actions.append(interface.Place(session_id, server.server_id, timeout_ms))

    def _assign_server(self, session: Session, server: Server) -> None:
        session.server = server
        server.sessions[session.viewer.session] = session
        self.sessions_by_rack[server.rack][session.viewer.session] = session
        self.watched_servers[server.server_id] = server
        self._count_rate(session, server, 1)

    def _count_rate(self, session: Session, server: Server, step: int) -> None:
        """Adds (1) or removes (-1) a session's rate and priority at its current rung."""
        rate_kbyte_s = step * self._rate_kbyte_s(session, session.rung)
        self._count_priority(session, step)
        server.link.add_own_rate(self.now, rate_kbyte_s)
        server.uplink.add_own_rate(self.now, rate_kbyte_s)

    def _release_server(self, session: Session) -> None:
        server = session.server
        if server is not None:
            del server.sessions[session.viewer.session]
            del self.sessions_by_rack[server.rack][session.viewer.session]
            self._count_rate(session, server, -1)
            self.safety_rules.add_seats(session, -1)
            session.server = None

    def _reject_or_fail(self, session: Session) -> None:
        """Sends the final reply: a failure if a non-idempotent attempt may have run, or else a rejection."""
        session_id = session.viewer.session
        self.sessions.pop(session_id, None)
        if session.may_have_run and session.session_class.idempotency is not Idempotency.IDEMPOTENT:
            self.actions.append(interface.Fail(session_id))
        else:
            self.actions.append(interface.Reject(session_id, self.settings.max_retry_after_ms or 0.0))

    def _on_session_recovered(self, event: interface.SessionRecovered) -> None:
        session, server = self._open_session(event.viewer, inf), self.servers.get(event.server)
        session.is_playing = session.may_have_run = session.has_start_report = True
        session.attempts = 1
        self._remember_title(session)
        # The session may switch up once recent reports show headroom, or else after one report cycle.
        session.is_at_recovered_rung = True
        report_cycle_ms = self.settings.report_interval_ms + self.report_age_ms
        session.upswitched_at = self.now + min(report_cycle_ms - UPSWITCH_INTERVAL_MS, 0.0)
        if server is not None:
            self.safety_rules.add_seats(session, 1)
            self._assign_server(session, server)

    # --- Attempts and health ---

    def _on_attempt_succeeded(self, event: interface.AttemptSucceeded) -> None:
        session = self.sessions.get(event.session)
        if session is None or session.server is None:
            return
        session.is_playing, session.is_in_flight, session.upswitched_at = True, False, self.now
        self._remember_title(session)
        self._count_priority(session, 1)
        server = session.server
        server.attempts_in_flight -= 1
        if server.is_presumed_dead:
            server.is_presumed_dead, server.warming_since = False, self.now
        if failures := server.consecutive_failures:
            text = f"server {server.server_id} sets up again after {failures} failures"
            self.actions.append(interface.Log(text))
        server.consecutive_failures, server.ejected_until = 0, -inf

    def _on_attempt_ended(self, event: interface.AttemptEnded) -> None:
        session, server = self.sessions.get(event.session), self.servers.get(event.server)
        is_request_at_fault = False
        if session is not None and event.result is Result.ERROR:
            is_request_at_fault = self._attribute_error_to_request(session, server)
        if server is not None:
            if session is None or not session.is_playing:
                self._observe_report(server, event.report)
            if event.result in FAILURE_RESULTS and not is_request_at_fault:
                self._eject(server, event.result)
            elif event.result is Result.FULL:
                server.full_until = self.now + FULL_BACKOFF_MS
        if session is not None:
            self._end_attempt(session, event, is_request_at_fault)

    def _end_attempt(self, session: Session, event: interface.AttemptEnded, is_request_fault: bool) -> None:
        """Releases the attempt's server, then removes, rejects or places the session."""
        if session.is_in_flight and session.server is not None:
            session.server.attempts_in_flight -= 1
        session.is_in_flight = False
        if event.result not in NEVER_RAN_RESULTS:
            session.may_have_run = True
        self._release_server(session)
        if event.is_final or session.is_playing:
            self.sessions.pop(event.session, None)
        elif is_request_fault and session.attempts > 1:
            self._reject_or_fail(session)
        else:
            self._place_session(session)

    def _attribute_error_to_request(self, session: Session, server: Server | None) -> bool:
        """Whether the request may be the cause of an error: its title never played, or two servers failed it.

        A request for a title that no server has must not eject every server in turn: the first is reinstated.
        """
        first, session.last_error_server = session.last_error_server, server
        if first is not None and first is not server and first.consecutive_failures == 1:
            first.consecutive_failures, first.ejected_until = 0, -inf
        return first not in (None, server) or session.viewer.title not in self.played_titles

    def _remember_title(self, session: Session) -> None:
        self.played_titles[session.viewer.title] = None
        if len(self.played_titles) > MAX_PLAYED_TITLES:
            del self.played_titles[next(iter(self.played_titles))]

    def _eject(self, server: Server, result: Result) -> None:
        """Ejects a failed server, longer with each consecutive failure, regardless of the endpoint list."""
        self.watched_servers[server.server_id] = server
        if result in CONNECTION_LOST_RESULTS:
            self._presume_dead(server)
        if self.now < server.ejected_until or (result is Result.TIMEOUT and self.stall_ms > 0.0):
            return
        doublings = min(server.consecutive_failures, MAX_EJECTION_DOUBLINGS)
        server.consecutive_failures += 1
        server.ejected_until = self.now + self.shortest_objective_ms * EJECTION_IN_OBJECTIVES * 2.0**doublings
        if result in CONNECTION_LOST_RESULTS:
            server.link.forget_report()
        if server.consecutive_failures == 1:
            if result is Result.TIMEOUT:
                self._check_health(server)
            text = f"server {server.server_id} is suspect: {RESULT_LABELS[result]}"
            self.actions.append(interface.Log(text))

    def _presume_dead(self, server: Server) -> None:
        """Marks the server's process as presumably ended, so that its successor has a slow start."""
        if not server.is_presumed_dead:
            server.is_presumed_dead, server.suspected_at = True, self.now

    def _refute_death(self, server: Server, session: Session) -> None:
        """Clears `is_presumed_dead` if an older session still plays: only a connection was lost."""
        is_older = session.arrived_at < server.suspected_at < self._report_time()
        if session.is_playing and session.server is server and is_older:
            server.is_presumed_dead, server.suspected_at = False, -inf
            server.warming_since = server.started_at or -inf

    def _on_health_check_ended(self, event: interface.HealthCheckEnded) -> None:
        server = self.servers.get(event.server)
        if server is None:
            return
        server.is_checking_health = False
        self._observe_report(server, event.report)
        if event.result is not Result.OK:
            if event.result is not Result.ERROR:
                self._presume_dead(server)
            self._eject(server, event.result)
        elif server.is_presumed_dead:
            server.is_presumed_dead, server.warming_since = False, self.now
        elif server.consecutive_failures == 1:
            server.ejected_until = -inf
        for session in self.awaiting_health_check.pop(server.server_id, []):
            if session.viewer.session in self.sessions and not session.is_in_flight:
                self._place_session(session)

    def _on_client_disconnected(self, event: interface.ClientDisconnected) -> None:
        session = self.sessions.get(event.session)
        if session is not None and session.is_in_flight:
            session.reply_deadline = -inf
        elif session is not None:
            self._release_server(session)
            del self.sessions[event.session]

    # --- Load reports ---

    def _report_time(self) -> float:
        """Returns the time of a report that arrives now, assuming the maximum delay."""
        return self.now - self.report_age_ms - self.stall_ms

    def _observe_report(self, server: Server, report: tuple[float, ...]) -> None:
        """Records an attempt's or health check's report, not a session's last, which dates from its start."""
        self.watched_servers[server.server_id] = server
        observed_at = self._report_time()
        for name, value in zip(self.settings.report_fields, report, strict=False):
            if name == "x0" or (name == "cpu" and value < 0.99):
                server.link.observe(value, observed_at)
            elif name == "x1":
                server.uplink.observe(value, observed_at)

    def _on_server_notice(self, notice: interface.ServerNotice) -> None:
        session, server = self.sessions.get(notice.session), self.servers.get(notice.server)
        if notice.kind is NoticeKind.RUNG:
            self._on_rung_notice(session, notice.level)
            return
        if server is None:
            return
        self.watched_servers[server.server_id] = server
        observed_at = self._report_time()
        if session is not None:
            self._refute_death(server, session)
        if notice.kind is NoticeKind.DELIVERED:
            self._on_delivery_notice(server, notice.level, observed_at)
            return
        if session is not None and not session.has_start_report:
            # The first notices of a session arrive at its set-up, without delay; the uplink's is the last.
            is_last = notice.kind is NoticeKind.UPLINK or "x1" not in self.settings.report_fields
            session.has_start_report = is_last
            observed_at = self.now - self.stall_ms
        estimator = server.link if notice.kind is NoticeKind.LINK else server.uplink
        estimator.observe(notice.level, observed_at)

    def _on_rung_notice(self, session: Session | None, rung: float) -> None:
        is_known = 0 <= rung < len(self.settings.rung_rates_kbyte_s)
        if session is not None and session.server is not None and is_known:
            self._count_rate(session, session.server, -1)
            session.rung = int(rung)
            self._count_rate(session, session.server, 1)

    def _on_delivery_notice(self, server: Server, delivered_ratio: float, observed_at: float) -> None:
        """Handles a shortfall: sessions receive less than they demand, so the link or uplink is full.

        If the estimates miss that, a load that shows it is recorded for one of the two, again after each
        shedding. Without load reports it is not counted as typical: shortfalls alone are not representative.
        """
        if not 0.0 <= delivered_ratio < SHORTFALL_RATIO:
            return
        server.full_until, server.shortfall_at = self.now + FULL_BACKOFF_MS, self.now
        load = 1.0 / max(delivered_ratio, 0.1)
        link, uplink = server.link, server.uplink
        if observed_at < max(link.shed_at, uplink.shed_at) + SHORTFALL_WINDOW_MS:
            return
        has_shed_unreported = bool(uplink.member_links) and uplink.reported_at <= uplink.shed_at
        is_repeated = has_shed_unreported and uplink.load(self.now) >= link.load(self.now)
        if server.load(self.now) >= load - DOWNSWITCH_STEP and not is_repeated:
            return
        estimator = uplink if self._is_uplink_short(server, is_repeated) else link
        is_sample = self.settings.report_interval_ms > 0.0
        estimator.observe(load, observed_at, is_sample)

    def _is_uplink_short(self, server: Server, is_repeated: bool) -> bool:
        """Whether the uplink is short: half the rack's used servers are, or its only one on a free link."""
        now, link, uplink = self.now, server.link, server.uplink
        rack = [one for one in self.watched_servers.values() if one.rack == server.rack and one.sessions]
        short = [one for one in rack if one.shortfall_at > now - SHORTFALL_WINDOW_MS]
        is_rack_short = len(short) > 1 and 2 * len(short) >= len(rack)
        is_alone = len(rack) == 1 and bool(uplink.member_links)
        is_link_free = link.has_recent_report(now) and link.load(now) < TARGET_UTILIZATION
        is_uplink_known = is_repeated and uplink.has_recent_report(now)
        return is_rack_short or (is_alone and is_link_free) or is_uplink_known

    # --- Rungs of playing sessions ---

    def _on_timer(self, event: interface.TimerFired) -> None:
        if event.token != MAINTENANCE_TOKEN:
            return
        self.maintained_at = self.now
        self.actions.append(interface.SetTimer(MAINTENANCE_TOKEN, MAINTENANCE_INTERVAL_MS))
        if self.resubscribe_at <= self.now:
            self.resubscribe_at = inf
            self.actions.append(interface.Subscribe(True))
        watched = sorted(self.watched_servers.values(), key=lambda server: server.server_id)
        for server in watched:
            is_idle = server.ejected_until <= self.now and server.attempts_in_flight == 0
            if server.is_presumed_dead and is_idle:
                self._check_health(server)
            self._shed_load(server.link, server.sessions)
        for rack in sorted({server.rack for server in watched}):
            self._shed_load(self.uplinks[rack], self.sessions_by_rack[rack])
        for server in watched:
            if server.sessions:
                self._upswitch(server)
            elif not server.consecutive_failures:
                del self.watched_servers[server.server_id]

    def _check_health(self, server: Server) -> None:
        if self.settings.may_check_health and not server.is_checking_health:
            server.is_checking_health = True
            self.actions.append(interface.CheckHealth(server.server_id))

    def _shed_load(self, estimator: LoadEstimator, sessions: dict[int, Session]) -> None:
        """Switches own sessions down by this front's share of the load above the target, once per report.

        Other fronts get the same report and shed their shares. A remainder below one rung sheds a whole one,
        since too much is better than too little; only at random on an unreported uplink, as it sheds again.
        """
        load = estimator.load(self.now)
        steps = int((load - TARGET_UTILIZATION) / DOWNSWITCH_STEP + 1e-9)
        if estimator.reported_at <= estimator.shed_at or steps < 1:
            return
        estimator.shed_at = self.now
        excess_kbyte_s = estimator.own_kbyte_s * (1.0 - DOWNSWITCH_TARGET / load)
        floors = {session_id: session.rung - steps for session_id, session in sessions.items()}
        while excess_kbyte_s > 0:
            max_kbyte_s = excess_kbyte_s if estimator.member_links else inf
            freed_kbyte_s = self._downswitch(sessions, floors, max_kbyte_s)
            if not freed_kbyte_s:
                return
            excess_kbyte_s -= freed_kbyte_s

    def _downswitch(self, sessions: dict[int, Session], floors: dict[int, int], max_kbyte_s: float) -> float:
        """Switches down the session with the least priority per rate; returns the rate freed, or 0.

        `floors` maps sessions to their lowest rungs. A step of more than `max_kbyte_s` is taken at random.
        """
        able = [
            one
            for session_id, one in sessions.items()
            if one.is_playing and one.rung > max(one.session_class.lowest_rung, floors.get(session_id, 0))
        ]
        if not able:
            return 0.0
        session = min(able, key=lambda one: (self._priority_per_rate(one, one.rung), one.viewer.session))
        freed_kbyte_s = self._step_kbyte_s(session, session.rung)
        if max_kbyte_s < freed_kbyte_s and self.rng.random() * freed_kbyte_s > max_kbyte_s:
            return 0.0
        self._set_rung(session, session.rung - 1)
        return freed_kbyte_s

    def _step_kbyte_s(self, session: Session, rung: int) -> float:
        """Returns the difference in rate between a rung and the one below it."""
        return self._rate_kbyte_s(session, rung) - self._rate_kbyte_s(session, rung - 1)

    def _priority_per_rate(self, session: Session, rung: int) -> float:
        """Returns the weighted utility-seconds lost per kB/s freed by a step down from `rung`."""
        settings = self.settings
        gain = settings.rung_utilities[rung] - settings.rung_utilities[rung - 1]
        utility_s = gain * UPSWITCH_INTERVAL_MS / 1000.0
        rate_kbyte_s = max(self._step_kbyte_s(session, rung), 1e-9)
        return (utility_s + settings.switch_cost_s) * session.session_class.priority_weight / rate_kbyte_s

    def _upswitch(self, server: Server) -> None:
        """Switches one session up if its server stays below the target, within the upswitch budget.

        The budget is this front's share of the headroom until the next report; a remainder below a rung is
        rounded at random. Thus the upswitches of many fronts after a report do not exceed the headroom.
        """
        choices = [session for session in server.sessions.values() if self._may_upswitch(session)]
        if not choices or server.load(self.now) >= TARGET_UTILIZATION or self._is_full(server):
            return
        priority = self._priority_per_rate
        session = max(choices, key=lambda one: (priority(one, one.rung + 1), -one.viewer.session))
        self._renew_upswitch_budget(server)
        for rung in range(session.top_rung, session.rung, -1):
            rate_kbyte_s = self._rate_kbyte_s(session, rung) - self._rate_kbyte_s(session, session.rung)
            budget = server.upswitch_budget_kbyte_s
            is_drawn = rung == session.rung + 1 and self.rng.random() * rate_kbyte_s < budget
            if (is_drawn or rate_kbyte_s <= budget) and self._stays_under_target(server, rate_kbyte_s):
                server.upswitch_budget_kbyte_s -= rate_kbyte_s
                self._set_rung(session, rung)
                return
        server.upswitch_budget_kbyte_s = 0.0

    def _renew_upswitch_budget(self, server: Server) -> None:
        if server.link.reported_at > server.upswitch_report_at:
            budgets = (
                one.own_kbyte_s * (TARGET_UTILIZATION / max(one.load(self.now), 0.01) - 1.0)
                for one in (server.link, server.uplink)
            )
            server.upswitch_report_at = server.link.reported_at
            server.upswitch_budget_kbyte_s = max(min(budgets), 0.0)

    def _stays_under_target(self, server: Server, rate_kbyte_s: float) -> bool:
        loads = (one.load_with(self.now, rate_kbyte_s) for one in (server.link, server.uplink))
        return all(load < TARGET_UTILIZATION for load in loads)

    def _may_upswitch(self, session: Session) -> bool:
        """Whether a session may switch up now and its remaining time justifies the cost of a switch."""
        server = session.server
        if server is None or not session.is_playing or session.rung >= session.top_rung:
            return False
        interval_end = session.upswitched_at + UPSWITCH_INTERVAL_MS
        is_settled = max(interval_end, session.downswitched_at + DOWNSWITCH_HOLD_MS) <= self.now
        if not is_settled and not (session.is_at_recovered_rung and server.has_recent_reports(self.now)):
            return False
        remaining_s = (session.arrived_at + (session.viewer.length_ms or inf) - self.now) / 1000.0
        gain = self.settings.rung_utilities[session.rung + 1] - self.settings.rung_utilities[session.rung]
        return gain * remaining_s > self.settings.switch_cost_s

    def _set_rung(self, session: Session, rung: int) -> None:
        if session.server is None:
            return
        self._count_rate(session, session.server, -1)
        if rung > session.rung:
            session.upswitched_at = self.now
        else:
            session.downswitched_at = self.now
        session.rung, session.is_at_recovered_rung = rung, False
        self._count_rate(session, session.server, 1)
        self.rung_changes[session.viewer.session] = None
