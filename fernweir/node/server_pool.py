"""Connections to media servers: set-ups, rungs, releases, probes, and what servers say. A thin shell.

A set-up has a connection to itself where the descriptors allow it, so that one that breaks or is spoilt
takes no other set-up along. What a server says of a session that stands may come on any connection.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil

from fernweir.front.commands import (
    ChangeRung,
    ReleaseSession,
    SendHealthCheck,
    SessionRequest,
    SetUp,
    SetUpResult,
)
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.names import number_of
from fernweir.front.session_manager import SessionPhase
from fernweir.interface import RESULT_LABELS, EndpointListUpdate, NoticeKind, Result, ServerState
from fernweir.node.config import Address, NodeConfig
from fernweir.node.connection_state import ConnectionPhase, ConnectionState
from fernweir.node.feed import Feed
from fernweir.node.frames import Code, Frame, FrameError, Frames, Type, encode
from fernweir.node.limits import DescriptorQuota, RecentIds
from fernweir.node.liveness import (
    CHECK_INTERVAL_MS,
    LivenessMonitor,
    LivenessStatus,
    result_of_broken_attempt,
)
from fernweir.node.shared_buffer import SharedBufferProtocol

_UPKEEP_INTERVAL_S = CHECK_INTERVAL_MS / 1000.0
_CAUSE_CANCELLED = 16
_CLOSE_TIMEOUT_S = 1.0  # how long a closing connection waits for its other end
_MAX_CONNECTS = 3  # of one set-up whose connections break before it is written, and of one probe
_MAX_UNSENT_BYTES = 256 * 1024
_MAX_FAILED_ATTEMPTS = 32  # failed attempts of one connection that a late word may be of
_MAX_SENT_RELEASES, _UNCONFIRMED_MS = 64, 1_000.0  # releases that a break may have cost, and for how long
# Other causes before the answer are as a reset; but who says so lives, and may mean an earlier attempt.
_RESULTS_BEFORE_ANSWER = {34: Result.FULL, 41: Result.RESET, 47: Result.ERROR, 102: Result.NOT_SENT}
_RESULTS_AFTER_ANSWER = {16: Result.OK, 31: Result.CANCELLED}
_NOTICE_KINDS = {
    "got": NoticeKind.DELIVERED,
    "level": NoticeKind.RUNG,
    "port": NoticeKind.LINK,
    "spine": NoticeKind.UPLINK,
}


@dataclass(slots=True, eq=False)
class Attempt:
    """A set-up that is out, or waits for its connection."""

    command: SetUp
    sent_at: float
    timer: asyncio.TimerHandle | None = None
    connection: ServerConnection | None = None
    is_written: bool = False
    break_reason: str = (
        ""  # why its connection did after it was written, until it's known whether the server lives
    )
    connect_count: int = 0


@dataclass(slots=True, eq=False)
class HealthCheck:
    """A probe that is out."""

    sent_at: float
    timer: asyncio.TimerHandle
    request: bytes
    connection: ServerConnection | None = None
    connect_count: int = 0


@dataclass(slots=True)
class PlacedSession:
    """What a server may hold of a session: the connection of its set-up, and since when."""

    connection: ServerConnection | None
    placed_at: float

    @property
    def is_connected(self) -> bool:
        """Whether its server still has that connection to speak on."""
        return self.connection is not None and self.connection.is_usable


@dataclass(eq=False)
class ServerEndpoint:
    """All that this node has with one media server."""

    server: int
    address: Address
    liveness: LivenessMonitor
    connections: list[ServerConnection] = field(default_factory=list)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    placed_sessions: dict[str, PlacedSession] = field(default_factory=dict)
    health_checks: dict[str, HealthCheck] = field(default_factory=dict)
    failed_attempts: RecentIds = field(
        default_factory=lambda: RecentIds(_MAX_FAILED_ATTEMPTS)
    )  # as on each connection
    pending_releases: list[Frame] = field(
        default_factory=list
    )  # that found no connection: one is made for them
    deferred_releases: list[Frame] = field(
        default_factory=list
    )  # of a lost server: for the next that comes up

    def is_only_usable(self, conn: ServerConnection) -> bool:
        """Whether its sessions are heard on this one alone."""
        return not any(one.is_usable for one in self.connections if one is not conn)

    @property
    def broken_attempts(self) -> list[Attempt]:
        """Those that wait for word whether the server lives."""
        return [one for one in self.attempts.values() if one.break_reason]


class ServerPool:
    """Carries out commands towards media servers and tells the host what they say."""

    def __init__(self, core: Dispatcher, feed: Feed, config: NodeConfig, shares: DescriptorQuota) -> None:
        self.dispatcher, self.feed, self.descriptor_quota = core, feed, shares
        self.settings = config.settings
        self.connect_timeout_s, self.idle_timeout_ms = config.connect_ms / 1000.0, config.idle_ms
        self.endpoints: dict[int, ServerEndpoint] = {}
        self.is_stopped = False
        self.read_client_input: Callable[[str], None] = lambda id: (
            None
        )  # reads what its viewer has sent by now
        self._class_names = [one.name.encode() for one in config.settings.classes]
        self._health_check_count = 0
        self._started_at: dict[int, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        core.server_transport = self
        core.loop.call_later(_UPKEEP_INTERVAL_S, self._upkeep)

    # --- commands ---

    def set_up(self, command: SetUp) -> None:
        link = self._get_or_create_endpoint(command.server)
        attempt = Attempt(command, self.dispatcher.now())
        if link is None:
            end = SetUpResult(Result.NOT_SENT, 0.0, {}, reason="not listed")
            self.dispatcher.loop.call_soon(self._report, command, end)
            return
        link.attempts[command.request.session_id] = attempt
        attempt.timer = self.dispatcher.loop.call_later(
            max(command.timeout_ms, 0.0) / 1000.0, self._on_attempt_timeout, link, attempt
        )
        self._assign(link, attempt)

    def change_rung(self, command: ChangeRung) -> None:
        rung = Frame(Type.RATE, command.session_id, {Code.RUNG: b"%d" % command.rung})
        self._send_or_queue(command.server, command.session_id, rung)

    def release(self, command: ReleaseSession) -> None:
        link = self.endpoints.get(command.server)
        if link is None:
            return
        attempt = link.attempts.pop(command.session_id, None)
        if attempt is not None:
            self._settle(attempt)
        if command.session_id not in link.placed_sessions:
            return  # never written there, or over by the server's own word
        self._send_release(link, command.session_id)
        stay = link.placed_sessions.pop(command.session_id, None)
        if stay is not None and stay.connection is not None:
            stay.connection.close_if_drained()

    def _send_release(self, link: ServerEndpoint, id: str) -> None:
        self._send_or_queue(link.server, id, _release_frame(id))

    def check_health(self, command: SendHealthCheck) -> None:
        link = self._get_or_create_endpoint(command.server)
        if link is None:
            self.dispatcher.loop.call_soon(
                self._report_health_check, command.server, Result.CONNECT_FAILED, 0.0, {}
            )
            return
        self._health_check_count += 1
        id = f"{self._health_check_count:016x}"
        timer = self.dispatcher.loop.call_later(
            self.connect_timeout_s, self._finish_health_check, link, id, Result.TIMEOUT
        )
        test = HealthCheck(self.dispatcher.now(), timer, encode(Frame(Type.PING, id, {Code.CAUSE: b"\0"})))
        link.health_checks[id] = test
        self._assign_health_check(link, test)

    # --- what the rest of the node tells ---

    def adopt_session(self, ask: SessionRequest, name: str) -> bool:
        """A session that plays at that server already. False if it isn't taken."""
        server, now = number_of(name), self.dispatcher.now()
        if server not in self.feed.addresses or not self.dispatcher.sessions.adopt_session(now, ask, server):
            return False
        link = self._get_or_create_endpoint(server)
        assert link is not None
        if not link.placed_sessions:  # what was found there before says nothing of what plays there now
            link.liveness = self._new_liveness_monitor()
        link.placed_sessions[ask.session_id] = PlacedSession(None, now)
        self.dispatcher.schedule_step()
        return True

    def on_endpoint_list(self, update: EndpointListUpdate) -> None:
        """A server that started anew holds nothing of before."""
        for entry in update.entries:
            link, before = self.endpoints.get(entry.server), self._started_at.get(entry.server, 0.0)
            if entry.state is ServerState.REMOVED:
                self._started_at.pop(entry.server, None)
                if link is None:
                    self.feed.forget(entry.server)
            elif entry.started_at:
                self._started_at[entry.server] = entry.started_at
            if link is not None and entry.started_at > before:
                for conn in link.connections:
                    if conn.connected_at < entry.started_at:
                        conn.state.drain()
                for id, stay in list(link.placed_sessions.items()):
                    if stay.placed_at < entry.started_at:
                        self._on_session_over(link, id, Result.RESET)
        for link in list(self.endpoints.values()):
            self._apply_listing(link)
        self.drop_unwanted_attempts()
        self.dispatcher.schedule_step()

    def _apply_listing(self, link: ServerEndpoint) -> None:
        """Where it isn't at the address of before, nothing new goes there: another may listen by now."""
        there, gone = self.feed.addresses.get(link.server, link.address), self._is_removed(link)
        if there == link.address and not gone:
            return
        link.address = there
        for conn in list(link.connections):
            if conn.cancel_connect():
                self._reassign(link, conn, "listed elsewhere")
            elif not gone:
                conn.state.drain()
        if gone:
            self._fail_broken_attempts(link, lives=False)
            link.pending_releases.clear()
            link.deferred_releases.clear()
        elif (link.broken_attempts or link.pending_releases) and not any(
            one.state.is_connecting for one in link.connections
        ):
            self._connect(link)
        self._check_liveness(link)

    def _is_removed(self, link: ServerEndpoint) -> bool:
        return (
            self.dispatcher.sessions.endpoint_states.get(link.server, ServerState.REMOVED)
            is ServerState.REMOVED
        )

    def drop_unwanted_attempts(self) -> None:
        """What waits for its connection and is wanted no more ends now, not when that comes up."""
        for link in self.endpoints.values():
            for attempt in list(link.attempts.values()):
                if not attempt.is_written:
                    self._check_wanted(link, attempt)

    @property
    def has_unsent_messages(self) -> bool:
        """Whether a word to a server, as a release, has not left yet."""
        return any(
            link.pending_releases or any(one.unsent_bytes for one in link.connections)
            for link in self.endpoints.values()
        )

    def shutdown(self) -> None:
        self.is_stopped = True
        for link in self.endpoints.values():
            for attempt in link.attempts.values():
                self._settle(attempt)
            for test in link.health_checks.values():
                test.timer.cancel()
            link.attempts.clear()
            link.health_checks.clear()
            for conn in list(link.connections):
                conn.abort()

    # --- one attempt ---

    def _check_wanted(self, link: ServerEndpoint, attempt: Attempt) -> bool:
        """Asked until it is written; what isn't wanted any more ends here."""
        if self.dispatcher.sessions.is_attempt_wanted(
            attempt.command.request.session_id, attempt.command.attempt
        ):
            return True
        took = self.dispatcher.now() - attempt.sent_at
        self._finish(link, attempt, SetUpResult(Result.NOT_SENT, took, {}, reason="not wanted any more"))
        return False

    def _check_wanted_now(self, link: ServerEndpoint, attempt: Attempt) -> bool:
        """At the last moment: its viewer may have left, or its time run out, since the loop looked."""
        self.read_client_input(attempt.command.request.session_id)
        if self.dispatcher.now() - attempt.sent_at > attempt.command.timeout_ms:
            self._on_attempt_timeout(link, attempt)  # its timer is due, and late as the loop is
            return False
        return self._check_wanted(link, attempt)

    def _assign(self, link: ServerEndpoint, attempt: Attempt) -> None:
        if not self._check_wanted_now(link, attempt):
            return
        attempt.connect_count += 1
        conn = attempt.connection = self._select_free(
            link, attempt.command.request.session_id
        ) or self._connect(link)
        conn.attempts[attempt.command.request.session_id] = attempt
        if conn.is_usable:
            self._write_set_up(link, attempt)

    def _write_set_up(self, link: ServerEndpoint, attempt: Attempt) -> None:
        command, conn = attempt.command, attempt.connection
        ask, jti = command.request, command.request.session_id
        assert conn is not None and isinstance(ask.body, bytes)
        now = self.dispatcher.now()
        left = command.timeout_ms - (now - attempt.sent_at)
        parameters: dict[int, bytes] = {
            Code.CLASS: self._class_names[ask.class_index],
            Code.WAIT: b"%d" % max(ceil(left), 1),
            Code.TITLE: ask.title_name.encode(),
            Code.RUNG: b"%d" % command.rung,
            Code.DESCRIPTION: ask.body,
        }
        broke = [
            one
            for other in link.connections
            if not other.is_usable
            for one in other.unconfirmed_releases(now)
        ]
        for letter in [one for one in (*link.pending_releases, *broke) if one.session == jti]:
            conn.send(letter)
        link.pending_releases = [one for one in link.pending_releases if one.session != jti]
        # What didn't leave never ran: it looks for a new connection when this one's end is told.
        attempt.is_written = conn.write(encode(Frame(Type.SETUP, jti, parameters)))
        if attempt.is_written:
            link.placed_sessions[jti] = PlacedSession(conn, now)

    def _on_attempt_timeout(self, link: ServerEndpoint, attempt: Attempt) -> None:
        conn = attempt.connection
        if conn is not None and attempt.is_written:
            conn.state.drain()  # late or silent, spoilt or stuck: nothing new goes there
        result = Result.TIMEOUT if attempt.is_written else Result.CONNECT_FAILED
        self._finish(link, attempt, SetUpResult(result, self.dispatcher.now() - attempt.sent_at, {}))

    def _finish(self, link: ServerEndpoint, attempt: Attempt, end: SetUpResult) -> None:
        jti = attempt.command.request.session_id
        if link.attempts.get(jti) is not attempt:
            return
        del link.attempts[jti]
        if attempt.is_written and end.result is not Result.OK:
            link.failed_attempts.add(jti)
        self._settle(attempt, well=end.result is Result.OK)
        self._report(attempt.command, end)

    def _settle(self, attempt: Attempt, well: bool = False) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.connection is not None:
            attempt.connection.attempts.pop(attempt.command.request.session_id, None)
            attempt.connection.last_used_at = self.dispatcher.now()
            if attempt.is_written and not well:
                attempt.connection.failed_attempts.add(attempt.command.request.session_id)

    def _report(self, command: SetUp, end: SetUpResult) -> None:
        if end.result is not Result.OK:
            self.dispatcher.log.info(
                "set-up failed",
                session=command.request.session_id,
                server=self.feed.names.get(command.server),
                attempt=command.attempt,
                result=RESULT_LABELS[end.result],
                why=end.reason,
            )
        self.dispatcher.sessions.on_attempt_finished(
            self.dispatcher.now(), command.request.session_id, command.attempt, end
        )
        self.dispatcher.schedule_step()

    # --- probes ---

    def _assign_health_check(self, link: ServerEndpoint, test: HealthCheck) -> None:
        test.connect_count += 1
        conn = test.connection = self._select_free(link) or self._connect(link)
        if conn.is_usable:
            conn.write(test.request)

    def _finish_health_check(
        self, link: ServerEndpoint, id: str, result: Result, report: dict[str, float] | None = None
    ) -> None:
        test = link.health_checks.pop(id, None)
        if test is None:
            return
        test.timer.cancel()
        if test.connection is not None and result is Result.TIMEOUT:
            test.connection.state.drain()
            test.connection.close_if_drained()
        self._report_health_check(link.server, result, self.dispatcher.now() - test.sent_at, report or {})

    def _report_health_check(
        self, server: int, result: Result, took_ms: float, report: dict[str, float]
    ) -> None:
        self.dispatcher.sessions.on_health_check_finished(
            self.dispatcher.now(), server, result, took_ms, report
        )
        self.dispatcher.schedule_step()

    # --- what servers say ---

    def on_message(self, conn: ServerConnection, frame: Frame) -> None:
        link, id, now = conn.endpoint, frame.session, self.dispatcher.now()
        if frame.type is Type.PONG:
            result = Result.OK if frame.cause == 1 else Result.ERROR
            self._finish_health_check(link, id, result, frame.report())
        elif frame.type is Type.ANSWER:
            attempt = self._find_attempt(conn, id)
            if attempt is not None:
                if Code.DESCRIPTION not in frame.parameters:
                    raise FrameError("an answer without a description")
                took = now - attempt.sent_at
                end = SetUpResult(Result.OK, took, frame.report(), frame.text(Code.DESCRIPTION))
                self._finish(link, attempt, end)
        elif frame.type is Type.RELEASE:
            self._on_release(conn, frame)
        elif frame.type is Type.NOTE:
            kind, level = _NOTICE_KINDS.get(frame.text(Code.NOTE)), frame.number(Code.LEVEL)
            held = self.dispatcher.sessions.session(id)
            if kind is not None and held is not None and held.server == link.server:
                self.dispatcher.sessions.on_server_notice(now, id, held.attempt, kind, level)
                self.dispatcher.schedule_step()
        # A second copy, an answer nobody asked for, a release heard: nothing follows from them.

    def _find_attempt(self, conn: ServerConnection, id: str) -> Attempt | None:
        """The attempt that a word on this connection is of, if one is out.

        Servers speak on the connection of the set-up while it is there, and a session's attempts at one
        server have one id: where an earlier one was carried, a word of the id may be late, and its.
        """
        attempt = conn.endpoint.attempts.get(id)
        if attempt is None or not attempt.is_written:
            return None
        return (
            attempt
            if attempt.connection is conn or (attempt.connection is None and id not in conn.failed_attempts)
            else None
        )

    def _on_release(self, conn: ServerConnection, frame: Frame) -> None:
        link, id, cause, report = conn.endpoint, frame.session, frame.cause, frame.report()
        attempt, stay = self._find_attempt(conn, id), link.placed_sessions.get(id)
        if attempt is not None:
            result = _RESULTS_BEFORE_ANSWER.get(cause if cause is not None else -1)
            if result is None:
                result = result_of_broken_attempt(is_alive=True)
            else:
                link.placed_sessions.pop(id, None)
            took = self.dispatcher.now() - attempt.sent_at
            self._finish(link, attempt, SetUpResult(result, took, report, reason=f"cause {cause}"))
        elif stay is None or id in link.attempts:
            return  # heard already; or an earlier attempt's
        elif stay.connection is conn or id not in conn.failed_attempts or not stay.is_connected:
            if (
                stay.connection is not conn and id in link.failed_attempts
            ):  # whichever it is of, nothing may stay behind
                self._send_release(link, id)
            self._on_session_over(
                link, id, _RESULTS_AFTER_ANSWER.get(cause if cause is not None else -1, Result.RESET)
            )

    def _on_session_over(self, link: ServerEndpoint, id: str, result: Result) -> None:
        """A server's own word, or proof, that it holds a session no more."""
        held = self.dispatcher.sessions.session(id)
        link.placed_sessions.pop(id, None)
        if held is not None and held.server == link.server and held.phase is SessionPhase.PLAYING:
            self.dispatcher.sessions.on_session_ended(self.dispatcher.now(), id, held.attempt, result)
            self.dispatcher.schedule_step()

    # --- connections ---

    def _get_or_create_endpoint(self, server: int) -> ServerEndpoint | None:
        link, there = self.endpoints.get(server), self.feed.addresses.get(server)
        if link is None and there is not None:
            link = self.endpoints[server] = ServerEndpoint(server, there, self._new_liveness_monitor())
        return link

    def _new_liveness_monitor(self) -> LivenessMonitor:
        return LivenessMonitor(self.settings, self.connect_timeout_s * 1000.0, self.dispatcher.now())

    def _select_free(self, link: ServerEndpoint, id: str = "") -> ServerConnection | None:
        """One with nothing open on it; where there may be no more, the one with least.

        Never one that carried an earlier attempt of the same session; the one that its release went on.
        """
        now, most = self.dispatcher.now(), self.descriptor_quota.connections_per_server(len(self.endpoints))
        good = [
            one for one in link.connections if one.may_start_request(now) and id not in one.failed_attempts
        ]
        for conn in good:
            if any(frame.session == id for frame in conn.unconfirmed_releases(now)):
                return conn  # nowhere else would the set-up surely be read after it
        for conn in reversed(good):  # the last used: the others can idle out
            if not conn.attempts:
                return conn
        if good and len(link.connections) >= most:
            return min(good, key=lambda one: len(one.attempts))
        return None

    def _connect(self, link: ServerEndpoint, within_s: float | None = None) -> ServerConnection:
        conn = ServerConnection(self, link, self.connect_timeout_s if within_s is None else within_s)
        link.connections.append(conn)
        conn.task = self.dispatcher.loop.create_task(self._open_connection(conn))
        self._tasks.add(conn.task)
        conn.task.add_done_callback(self._tasks.discard)
        return conn

    async def _open_connection(self, conn: ServerConnection) -> None:
        try:
            await self.dispatcher.loop.create_connection(lambda: conn, *conn.endpoint.address)
        except ConnectionResetError:
            # It came up and broke before the loop saw it, as any connection may: somebody listens there.
            if conn.finish():
                self._on_server_alive(conn.endpoint)
                self.on_connection_lost(conn, "connection reset while new", broke=True)
        except OSError as error:
            if conn.finish():
                self.on_connect_failed(conn, error)

    def on_connect_failed(self, conn: ServerConnection, error: OSError) -> None:
        """A connection didn't come up: nothing was written on it."""
        link, why = conn.endpoint, str(error.strerror or error)
        if isinstance(error, TimeoutError):
            link.liveness.on_connect_timeout(conn.connect_started_at, self.dispatcher.now())
        elif isinstance(error, ConnectionRefusedError):
            link.liveness.on_connection_refused()
            self._on_process_ended(link)
            why = "connection refused"
        self._fail_broken_attempts(link, lives=False)
        for attempt in list(conn.attempts.values()):
            took = self.dispatcher.now() - attempt.sent_at
            self._finish(link, attempt, SetUpResult(Result.CONNECT_FAILED, took, {}, reason=why))
        for id, test in list(link.health_checks.items()):
            if test.connection is conn:
                self._finish_health_check(link, id, Result.CONNECT_FAILED)

    def on_connected(self, conn: ServerConnection) -> None:
        """A connection came up: what waited for it goes out."""
        link = conn.endpoint
        link.liveness.on_connected(self.dispatcher.now())
        self._fail_broken_attempts(link, lives=True)
        link.pending_releases[:0], link.deferred_releases = link.deferred_releases, []
        self._send_pending(link, conn)
        for test in link.health_checks.values():
            if test.connection is conn:
                conn.write(test.request)
        for attempt in list(conn.attempts.values()):
            if self._check_wanted_now(link, attempt):
                self._write_set_up(link, attempt)

    def _send_pending(self, link: ServerEndpoint, conn: ServerConnection) -> None:
        """What found no connection goes out; of a session that is set up anew only just before its set-up."""
        letters, link.pending_releases = link.pending_releases, []
        for letter in letters:
            if letter.session in link.attempts:
                link.pending_releases.append(letter)
            else:
                conn.send(letter)

    def _on_process_ended(self, link: ServerEndpoint) -> None:
        """Its process is over, and with it all that it held: nothing is owed there."""
        link.pending_releases.clear()
        link.deferred_releases.clear()
        self._drain_connections(link)
        for attempt in link.broken_attempts:
            link.placed_sessions.pop(attempt.command.request.session_id, None)

    def _drain_connections(self, link: ServerEndpoint) -> None:
        """Nothing new goes on its connections: their other ends are gone, though nobody may ever say so."""
        for conn in link.connections:
            conn.state.drain()

    def _on_server_alive(self, link: ServerEndpoint) -> None:
        link.liveness.on_data_received(self.dispatcher.now())
        self._fail_broken_attempts(link, lives=True)

    def on_connection_lost(self, conn: ServerConnection, why: str, broke: bool) -> None:
        """A connection is over: set-ups that were written on it broke, others look for a new one.

        How they ended depends on whether the server lives, which a new connection tells at once. `broke`
        tells whether its server may have said something that did not come.
        """
        link = conn.endpoint
        for stay in link.placed_sessions.values():
            if stay.connection is conn:
                stay.connection = None
        # Said again, and before a set-up that goes on elsewhere; not where its session is set up anew by now.
        link.pending_releases += [
            one
            for one in conn.unconfirmed_releases(self.dispatcher.now())
            if one.session not in link.placed_sessions
        ]
        self._reassign(link, conn, why)
        if not self.is_stopped:
            if link.placed_sessions and broke:
                link.liveness.on_connection_broken()
            if self._is_removed(link):
                self._fail_broken_attempts(link, lives=False)  # who listens there by now tells nothing of it
            elif link.broken_attempts and not any(one.state.is_connecting for one in link.connections):
                self._connect(link)
            self._check_liveness(link)

    def _reassign(self, link: ServerEndpoint, conn: ServerConnection, why: str) -> None:
        """What was on a connection that is over waits for a verdict, or goes on another."""
        attempts, conn.attempts = list(conn.attempts.values()), {}
        for attempt in attempts:
            attempt.connection = None
            if attempt.is_written:
                attempt.break_reason = why
            elif attempt.connect_count >= _MAX_CONNECTS:
                took = self.dispatcher.now() - attempt.sent_at
                self._finish(link, attempt, SetUpResult(Result.CONNECT_FAILED, took, {}, reason=why))
            else:
                self._assign(link, attempt)
        for id, test in list(link.health_checks.items()):
            again = test.connect_count < _MAX_CONNECTS and not self.is_stopped and not self._is_removed(link)
            if test.connection is conn and again:
                self._assign_health_check(link, test)  # a connection that broke says nothing of its server
            elif test.connection is conn:
                self._finish_health_check(link, id, Result.ERROR)

    def _fail_broken_attempts(self, link: ServerEndpoint, lives: bool) -> None:
        """A server that lives may have written an answer that was lost: the host has it released there."""
        for attempt in link.broken_attempts:
            took = self.dispatcher.now() - attempt.sent_at
            self._finish(
                link,
                attempt,
                SetUpResult(result_of_broken_attempt(lives), took, {}, reason=attempt.break_reason),
            )

    def _send_or_queue(self, server: int, id: str, frame: Frame) -> None:
        """On the connection of the set-up, else on any, else on the next that comes up."""
        link = self.endpoints.get(server)
        if link is None:
            return
        stay = link.placed_sessions.get(id)
        conn = stay.connection if stay is not None and stay.is_connected else self._select_any(link, id)
        if conn is not None:
            conn.send(frame)
        elif not self._is_removed(link):
            link.pending_releases.append(frame)
            if not any(one.state.is_connecting for one in link.connections):
                self._connect(link)

    def _select_any(self, link: ServerEndpoint, id: str = "") -> ServerConnection | None:
        """One to say something on, if there is any."""
        there = (one for one in link.connections if one.is_usable and one.state.may_start_request)
        return self._select_free(link, id) or next(there, None)

    # --- upkeep ---

    def _upkeep(self) -> None:
        if self.is_stopped:
            return
        self.dispatcher.loop.call_later(_UPKEEP_INTERVAL_S, self._upkeep)
        now = self.dispatcher.now()
        self.drop_unwanted_attempts()
        self._close_surplus()
        for link in list(self.endpoints.values()):
            for conn in list(link.connections):
                if conn.may_close(now, link.is_only_usable(conn)):
                    conn.close()
            self._check_liveness(link)
            if self._is_removed(link) and not (link.placed_sessions or link.attempts or link.health_checks):
                for conn in list(link.connections):
                    conn.close()
                if not link.connections:
                    del self.endpoints[link.server]
                    self.feed.forget(link.server)

    def _close_surplus(self) -> None:
        """Of more connections than servers may have in all, those longest unused go before they idle out."""
        conns = [
            one
            for link in self.endpoints.values()
            for one in link.connections
            if one.state.phase is not ConnectionPhase.CLOSING
        ]
        over = len(conns) - self.descriptor_quota.max_server_connections
        for conn in sorted(conns, key=lambda one: one.last_used_at):
            if over <= 0:
                return
            if conn.is_unused(conn.endpoint.is_only_usable(conn)):
                conn.close()
                over -= 1

    def _check_liveness(self, link: ServerEndpoint) -> None:
        now, gone, conn = self.dispatcher.now(), self._is_removed(link), self._select_any(link)
        if link.pending_releases and conn is not None:
            self._send_pending(link, conn)
        elif gone:
            link.pending_releases.clear()  # another may listen at its address by now
        # One that a set-up waits for may take far longer than a look: it holds a look up no longer than that.
        recent = [
            one for one in link.connections if now - one.connect_started_at <= link.liveness.check_timeout_ms
        ]
        connecting = any(one.state.is_connecting for one in recent)
        holds, connected = bool(link.placed_sessions or link.pending_releases), conn is not None
        verdict, why = link.liveness.check(now, holds, connected, connecting), link.liveness.reason
        if holds and gone and not connected:
            verdict, why = LivenessStatus.TERMINATED, "gone from the list, its connections ended"
        if verdict is LivenessStatus.CHECK:
            self._connect(link, link.liveness.check_timeout_ms / 1000.0)
        elif verdict in (LivenessStatus.TERMINATED, LivenessStatus.UNREACHABLE):
            name = self.feed.names.get(link.server)
            self.dispatcher.log.warning("server lost", server=name, held=len(link.placed_sessions), why=why)
            self._on_server_lost(link, now, cut_off=verdict is LivenessStatus.UNREACHABLE)

    def _on_server_lost(self, link: ServerEndpoint, now: float, cut_off: bool) -> None:
        """All there is over. What is only cut off is released when one comes up; none is made for it."""
        # What was out may be read there yet: the host gives it up, by its stay.
        stays, link.placed_sessions = (
            link.placed_sessions,
            {id: one for id, one in link.placed_sessions.items() if id in link.attempts},
        )
        if cut_off:
            link.deferred_releases += link.pending_releases + [
                _release_frame(id) for id in stays if id not in link.attempts
            ]
        link.pending_releases.clear()
        self._drain_connections(link)
        for attempt in list(link.attempts.values()):
            took, never = now - attempt.sent_at, not attempt.is_written
            result = Result.CONNECT_FAILED if never else Result.RESET
            self._finish(link, attempt, SetUpResult(result, took, {}, reason="server lost"))
        self.dispatcher.sessions.on_server_lost(now, link.server)
        self.dispatcher.schedule_step()


def _release_frame(id: str) -> Frame:
    return Frame(Type.RELEASE, id, {Code.CAUSE: bytes((_CAUSE_CANCELLED,))})


class ServerConnection(SharedBufferProtocol):
    """One connection to a media server. Its `course` alone tells where it stands."""

    task: asyncio.Task[None]

    def __init__(self, servers: ServerPool, link: ServerEndpoint, within_s: float) -> None:
        self.pool, self.endpoint = servers, link
        self.state = ConnectionState()
        self.attempts: dict[str, Attempt] = {}
        self.failed_attempts = RecentIds(_MAX_FAILED_ATTEMPTS)  # sessions whose attempts failed here
        self.has_received_eof = False  # whether it ended in order, with all read that its server wrote
        self.connect_started_at = self.connected_at = self.last_used_at = servers.dispatcher.now()
        self._timer = servers.dispatcher.loop.call_later(within_s, self._on_connect_timeout)
        self._frames = Frames()
        self._sent_releases: deque[tuple[float, Frame]] = deque(maxlen=_MAX_SENT_RELEASES)
        self._close_reason = "connection closed"
        self._close_started_at = math.inf  # when this side ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if not self.state.open():
            transport.abort()  # type: ignore[attr-defined]
            return
        self._timer.cancel()
        self.connected_at = self.last_used_at = self.pool.dispatcher.now()
        self.pool.on_connected(self)

    def _on_connect_timeout(self) -> None:
        """The connect time is over; what comes up all the same is let go."""
        if self.cancel_connect():
            self.pool.on_connect_failed(self, TimeoutError("no connection in time"))

    def cancel_connect(self) -> bool:
        """Ends it while it is being made; False if it is up or over."""
        if not self.state.is_connecting:
            return False
        self.task.cancel()
        return self.finish()

    def finish(self) -> bool:
        """Its end, however it shows; True for the first that does."""
        if not self.state.finish():
            return False
        self._timer.cancel()
        self.endpoint.connections.remove(self)
        return True

    def data_received(self, data: memoryview) -> None:
        servers, why = self.pool, ""
        self.endpoint.liveness.on_data_received(servers.dispatcher.now())
        try:
            frames = self._frames.feed(data)
        except FrameError as error:
            frames, why = self._frames.read, str(error)
        try:
            for frame in frames:
                servers.on_message(self, frame)
        except FrameError as error:
            why = str(error)
        if why:
            self._close_reason = f"spoilt: {why}"
            self.state.drain()
            self.abort()

    def may_start_request(self, now: float) -> bool:
        """Whether something new may go out here: one long idle may be closed at its other end by now."""
        return (
            self.state.may_start_request
            and self.is_usable
            and now - self.last_used_at < 0.8 * self.pool.idle_timeout_ms
        )

    def is_unused(self, last: bool) -> bool:
        """Whether nothing is on it: with sessions there, the last one stays to hear by."""
        tested = any(one.connection is self for one in self.endpoint.health_checks.values())
        return self.state.may_write and not (
            self.attempts or tested or (last and self.endpoint.placed_sessions)
        )

    def may_close(self, now: float, last: bool) -> bool:
        """Whether it can go."""
        unused = now - self.last_used_at > 0.5 * self.pool.idle_timeout_ms
        return self.is_unused(last) and (unused or not self.state.may_start_request)

    def write(self, data: bytes) -> bool:
        """Whether it left, or will unless the connection breaks. False: its last byte never does."""
        if not self.is_usable:
            return False
        assert self.transport is not None
        self.last_used_at = self.pool.dispatcher.now()
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            self.abort()
        return self.is_usable

    def send(self, frame: Frame) -> None:
        if frame.type is Type.RELEASE:
            self._sent_releases.append((self.pool.dispatcher.now(), frame))
        self.write(encode(frame))

    def unconfirmed_releases(self, now: float) -> list[Frame]:
        """Releases that its end may have cost. One heard twice does no harm; one unheard leaves a session.

        Where the other end never answered this side's, nothing tells what it read of the time before that.
        """
        return [
            frame
            for at, frame in self._sent_releases
            if min(now, self._close_started_at) - at < _UNCONFIRMED_MS
        ]

    def close_if_drained(self) -> None:
        if self.state.phase is ConnectionPhase.DRAINING and not self.attempts:
            self.close()

    @property
    def is_usable(self) -> bool:
        return self.state.may_write and super().is_usable

    def close(self) -> None:
        """Ends this side. What the server has under way, as the end of a session, is still read."""
        if not self.is_usable:
            return
        assert self.transport is not None
        self.state.begin_close()
        self._close_started_at = self.pool.dispatcher.now()
        try:
            self.transport.write_eof()
        except OSError:  # broken already, though the loop has not seen it yet
            self.transport.abort()
            return
        self._timer = self.pool.dispatcher.loop.call_later(_CLOSE_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        else:
            self.cancel_connect()

    def connection_lost(self, exc: Exception | None) -> None:
        closing = self.state.phase is ConnectionPhase.CLOSING
        if closing and self.has_received_eof:
            self._sent_releases.clear()  # both ends were in order: all was heard
        # A server that meets this side's end with a reset has ended the connection, too: what it says from
        # then on goes on another, and what it had said came before.
        answered = closing and exc is not None
        if self.finish():
            why = f"connection reset: {exc}" if exc is not None else self._close_reason
            self.pool.on_connection_lost(self, why, broke=not (self.has_received_eof or answered))

    def eof_received(self) -> bool:
        self.has_received_eof = True
        return False
