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
from fernweir.node.buffer import Shell
from fernweir.node.config import Address, NodeConfig
from fernweir.node.course import At, Course
from fernweir.node.endpoint_feed import EndpointFeed
from fernweir.node.frames import Frame, FrameError, FrameReader, FrameType, ParameterCode, encode_frame
from fernweir.node.limits import Remembered, Shares
from fernweir.node.watch import EVERY_MS, Verdict, Watch, broke

_UPKEEP_S = EVERY_MS / 1000.0
_GIVEN_UP = 16
_FAREWELL_S = 1.0  # how long a closing connection waits for its other end
_CONNECTS = 3  # of one set-up whose connections break before it is written, and of one probe
_WRITE_MOST = 256 * 1024
_BEFORE_MOST = 32  # failed attempts of one connection that a late word may be of
_SAID_MOST, _SAID_MS = 64, 1_000.0  # releases that a break may have cost, and for how long
# Other causes before the answer are as a reset; but who says so lives, and may mean an earlier attempt.
_BEFORE = {34: Result.FULL, 41: Result.RESET, 47: Result.ERROR, 102: Result.NOT_SENT}
_AFTER = {16: Result.OK, 31: Result.CANCELLED}
_NOTES = {
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
    conn: Connection | None = None
    written: bool = False
    broke: str = ""  # why its connection did after it was written, until it's known whether the server lives
    connects: int = 0


@dataclass(slots=True, eq=False)
class Test:
    """A probe that is out."""

    sent_at: float
    timer: asyncio.TimerHandle
    data: bytes
    conn: Connection | None = None
    connects: int = 0


@dataclass(slots=True)
class Stay:
    """What a server may hold of a session: the connection of its set-up, and since when."""

    conn: Connection | None
    since: float

    @property
    def heard(self) -> bool:
        """Whether its server still has that connection to speak on."""
        return self.conn is not None and self.conn.usable


@dataclass(eq=False)
class Link:
    """All that this node has with one media server."""

    server: int
    address: Address
    watch: Watch
    conns: list[Connection] = field(default_factory=list)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    stays: dict[str, Stay] = field(default_factory=dict)
    tests: dict[str, Test] = field(default_factory=dict)
    before: Remembered = field(default_factory=lambda: Remembered(_BEFORE_MOST))  # as on each connection
    letters: list[Frame] = field(default_factory=list)  # that found no connection: one is made for them
    kept: list[Frame] = field(default_factory=list)  # of a lost server: for the next that comes up

    def heard_by(self, conn: Connection) -> bool:
        """Whether its sessions are heard on this one alone."""
        return not any(one.usable for one in self.conns if one is not conn)

    @property
    def broken(self) -> list[Attempt]:
        """Those that wait for word whether the server lives."""
        return [one for one in self.attempts.values() if one.broke]


class Servers:
    """Carries out commands towards media servers and tells the host what they say."""

    def __init__(self, core: Dispatcher, feed: EndpointFeed, config: NodeConfig, shares: Shares) -> None:
        self.core, self.feed, self.shares = core, feed, shares
        self.settings = config.settings
        self.connect_s, self.idle_ms = config.connect_timeout_ms / 1000.0, config.idle_timeout_ms
        self.links: dict[int, Link] = {}
        self.stopped = False
        self.hear_viewer: Callable[[str], None] = lambda id: None  # reads what its viewer has sent by now
        self._classes = [one.name.encode() for one in config.settings.classes]
        self._tests = 0
        self._started: dict[int, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        core.server_transport = self
        core.loop.call_later(_UPKEEP_S, self._upkeep)

    # --- commands ---

    def set_up(self, command: SetUp) -> None:
        link = self._link(command.server)
        attempt = Attempt(command, self.core.now())
        if link is None:
            end = SetUpResult(Result.NOT_SENT, 0.0, {}, reason="not listed")
            self.core.loop.call_soon(self._done, command, end)
            return
        link.attempts[command.request.session_id] = attempt
        attempt.timer = self.core.loop.call_later(
            max(command.timeout_ms, 0.0) / 1000.0, self._timed_out, link, attempt
        )
        self._carry(link, attempt)

    def change_rung(self, command: ChangeRung) -> None:
        rung = Frame(FrameType.RATE, command.session_id, {ParameterCode.RUNG: b"%d" % command.rung})
        self._tell(command.server, command.session_id, rung)

    def release(self, command: ReleaseSession) -> None:
        link = self.links.get(command.server)
        if link is None:
            return
        attempt = link.attempts.pop(command.session_id, None)
        if attempt is not None:
            self._settle(attempt)
        if command.session_id not in link.stays:
            return  # never written there, or over by the server's own word
        self._let_go(link, command.session_id)
        stay = link.stays.pop(command.session_id, None)
        if stay is not None and stay.conn is not None:
            stay.conn.close_if_spent()

    def _let_go(self, link: Link, id: str) -> None:
        self._tell(link.server, id, _given_up(id))

    def check_health(self, command: SendHealthCheck) -> None:
        link = self._link(command.server)
        if link is None:
            self.core.loop.call_soon(self._probed, command.server, Result.CONNECT_FAILED, 0.0, {})
            return
        self._tests += 1
        id = f"{self._tests:016x}"
        timer = self.core.loop.call_later(self.connect_s, self._test_over, link, id, Result.TIMEOUT)
        test = Test(
            self.core.now(), timer, encode_frame(Frame(FrameType.PING, id, {ParameterCode.CAUSE: b"\0"}))
        )
        link.tests[id] = test
        self._carry_test(link, test)

    # --- what the rest of the node tells ---

    def take_over(self, ask: SessionRequest, name: str) -> bool:
        """A session that plays at that server already. False if it isn't taken."""
        server, now = number_of(name), self.core.now()
        if server not in self.feed.addresses or not self.core.sessions.adopt_session(now, ask, server):
            return False
        link = self._link(server)
        assert link is not None
        if not link.stays:  # what was found there before says nothing of what plays there now
            link.watch = self._watch()
        link.stays[ask.session_id] = Stay(None, now)
        self.core.schedule_step()
        return True

    def listed(self, update: EndpointListUpdate) -> None:
        """A server that started anew holds nothing of before."""
        for entry in update.entries:
            link, before = self.links.get(entry.server), self._started.get(entry.server, 0.0)
            if entry.state is ServerState.REMOVED:
                self._started.pop(entry.server, None)
                if link is None:
                    self.feed.forget_server(entry.server)
            elif entry.started_at:
                self._started[entry.server] = entry.started_at
            if link is not None and entry.started_at > before:
                for conn in link.conns:
                    if conn.up_at < entry.started_at:
                        conn.course.retire()
                for id, stay in list(link.stays.items()):
                    if stay.since < entry.started_at:
                        self._over(link, id, Result.RESET)
        for link in list(self.links.values()):
            self._relisted(link)
        self.drop_unwanted()
        self.core.schedule_step()

    def _relisted(self, link: Link) -> None:
        """Where it isn't at the address of before, nothing new goes there: another may listen by now."""
        there, gone = self.feed.addresses.get(link.server, link.address), self._gone(link)
        if there == link.address and not gone:
            return
        link.address = there
        for conn in list(link.conns):
            if conn.give_up():
                self._move_on(link, conn, "listed elsewhere")
            elif not gone:
                conn.course.retire()
        if gone:
            self._broken(link, lives=False)
            link.letters.clear()
            link.kept.clear()
        elif (link.broken or link.letters) and not any(one.course.connecting for one in link.conns):
            self._connect(link)
        self._look(link)

    def _gone(self, link: Link) -> bool:
        return self.core.sessions.endpoint_states.get(link.server, ServerState.REMOVED) is ServerState.REMOVED

    def drop_unwanted(self) -> None:
        """What waits for its connection and is wanted no more ends now, not when that comes up."""
        for link in self.links.values():
            for attempt in list(link.attempts.values()):
                if not attempt.written:
                    self._wanted(link, attempt)

    @property
    def owed(self) -> bool:
        """Whether a word to a server, as a release, has not left yet."""
        return any(link.letters or any(one.unsent for one in link.conns) for link in self.links.values())

    def close(self) -> None:
        self.stopped = True
        for link in self.links.values():
            for attempt in link.attempts.values():
                self._settle(attempt)
            for test in link.tests.values():
                test.timer.cancel()
            link.attempts.clear()
            link.tests.clear()
            for conn in list(link.conns):
                conn.abort()

    # --- one attempt ---

    def _wanted(self, link: Link, attempt: Attempt) -> bool:
        """Asked until it is written; what isn't wanted any more ends here."""
        if self.core.sessions.is_attempt_wanted(attempt.command.request.session_id, attempt.command.attempt):
            return True
        took = self.core.now() - attempt.sent_at
        self._finish(link, attempt, SetUpResult(Result.NOT_SENT, took, {}, reason="not wanted any more"))
        return False

    def _wanted_now(self, link: Link, attempt: Attempt) -> bool:
        """At the last moment: its viewer may have left, or its time run out, since the loop looked."""
        self.hear_viewer(attempt.command.request.session_id)
        if self.core.now() - attempt.sent_at > attempt.command.timeout_ms:
            self._timed_out(link, attempt)  # its timer is due, and late as the loop is
            return False
        return self._wanted(link, attempt)

    def _carry(self, link: Link, attempt: Attempt) -> None:
        if not self._wanted_now(link, attempt):
            return
        attempt.connects += 1
        conn = attempt.conn = self._free(link, attempt.command.request.session_id) or self._connect(link)
        conn.attempts[attempt.command.request.session_id] = attempt
        if conn.usable:
            self._write(link, attempt)

    def _write(self, link: Link, attempt: Attempt) -> None:
        command, conn = attempt.command, attempt.conn
        ask, jti = command.request, command.request.session_id
        assert conn is not None and isinstance(ask.body, bytes)
        now = self.core.now()
        left = command.timeout_ms - (now - attempt.sent_at)
        parameters: dict[int, bytes] = {
            ParameterCode.CLASS: self._classes[ask.class_index],
            ParameterCode.WAIT: b"%d" % max(ceil(left), 1),
            ParameterCode.TITLE: ask.title_name.encode(),
            ParameterCode.RUNG: b"%d" % command.rung,
            ParameterCode.DESCRIPTION: ask.body,
        }
        broke = [one for other in link.conns if not other.usable for one in other.unheard(now)]
        for letter in [one for one in (*link.letters, *broke) if one.session == jti]:
            conn.say(letter)
        link.letters = [one for one in link.letters if one.session != jti]
        # What didn't leave never ran: it looks for a new connection when this one's end is told.
        attempt.written = conn.write(encode_frame(Frame(FrameType.SETUP, jti, parameters)))
        if attempt.written:
            link.stays[jti] = Stay(conn, now)

    def _timed_out(self, link: Link, attempt: Attempt) -> None:
        conn = attempt.conn
        if conn is not None and attempt.written:
            conn.course.retire()  # late or silent, spoilt or stuck: nothing new goes there
        result = Result.TIMEOUT if attempt.written else Result.CONNECT_FAILED
        self._finish(link, attempt, SetUpResult(result, self.core.now() - attempt.sent_at, {}))

    def _finish(self, link: Link, attempt: Attempt, end: SetUpResult) -> None:
        jti = attempt.command.request.session_id
        if link.attempts.get(jti) is not attempt:
            return
        del link.attempts[jti]
        if attempt.written and end.result is not Result.OK:
            link.before.add(jti)
        self._settle(attempt, well=end.result is Result.OK)
        self._done(attempt.command, end)

    def _settle(self, attempt: Attempt, well: bool = False) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.conn is not None:
            attempt.conn.attempts.pop(attempt.command.request.session_id, None)
            attempt.conn.used_at = self.core.now()
            if attempt.written and not well:
                attempt.conn.before.add(attempt.command.request.session_id)

    def _done(self, command: SetUp, end: SetUpResult) -> None:
        if end.result is not Result.OK:
            self.core.log.info(
                "set-up failed",
                session=command.request.session_id,
                server=self.feed.names.get(command.server),
                attempt=command.attempt,
                result=RESULT_LABELS[end.result],
                why=end.reason,
            )
        self.core.sessions.on_attempt_finished(
            self.core.now(), command.request.session_id, command.attempt, end
        )
        self.core.schedule_step()

    # --- probes ---

    def _carry_test(self, link: Link, test: Test) -> None:
        test.connects += 1
        conn = test.conn = self._free(link) or self._connect(link)
        if conn.usable:
            conn.write(test.data)

    def _test_over(self, link: Link, id: str, result: Result, report: dict[str, float] | None = None) -> None:
        test = link.tests.pop(id, None)
        if test is None:
            return
        test.timer.cancel()
        if test.conn is not None and result is Result.TIMEOUT:
            test.conn.course.retire()
            test.conn.close_if_spent()
        self._probed(link.server, result, self.core.now() - test.sent_at, report or {})

    def _probed(self, server: int, result: Result, took_ms: float, report: dict[str, float]) -> None:
        self.core.sessions.on_health_check_finished(self.core.now(), server, result, took_ms, report)
        self.core.schedule_step()

    # --- what servers say ---

    def said(self, conn: Connection, frame: Frame) -> None:
        link, id, now = conn.link, frame.session, self.core.now()
        if frame.type is FrameType.PONG:
            result = Result.OK if frame.cause == 1 else Result.ERROR
            self._test_over(link, id, result, frame.load_report())
        elif frame.type is FrameType.ANSWER:
            attempt = self._meant(conn, id)
            if attempt is not None:
                if ParameterCode.DESCRIPTION not in frame.parameters:
                    raise FrameError("an answer without a description")
                took = now - attempt.sent_at
                end = SetUpResult(
                    Result.OK, took, frame.load_report(), frame.text_parameter(ParameterCode.DESCRIPTION)
                )
                self._finish(link, attempt, end)
        elif frame.type is FrameType.RELEASE:
            self._released(conn, frame)
        elif frame.type is FrameType.NOTE:
            kind, level = (
                _NOTES.get(frame.text_parameter(ParameterCode.NOTE)),
                frame.number_parameter(ParameterCode.LEVEL),
            )
            held = self.core.sessions.session(id)
            if kind is not None and held is not None and held.server == link.server:
                self.core.sessions.on_server_notice(now, id, held.attempt, kind, level)
                self.core.schedule_step()
        # A second copy, an answer nobody asked for, a release heard: nothing follows from them.

    def _meant(self, conn: Connection, id: str) -> Attempt | None:
        """The attempt that a word on this connection is of, if one is out.

        Servers speak on the connection of the set-up while it is there, and a session's attempts at one
        server have one id: where an earlier one was carried, a word of the id may be late, and its.
        """
        attempt = conn.link.attempts.get(id)
        if attempt is None or not attempt.written:
            return None
        return attempt if attempt.conn is conn or (attempt.conn is None and id not in conn.before) else None

    def _released(self, conn: Connection, frame: Frame) -> None:
        link, id, cause, report = conn.link, frame.session, frame.cause, frame.load_report()
        attempt, stay = self._meant(conn, id), link.stays.get(id)
        if attempt is not None:
            result = _BEFORE.get(cause if cause is not None else -1)
            if result is None:
                result = broke(lives=True)
            else:
                link.stays.pop(id, None)
            took = self.core.now() - attempt.sent_at
            self._finish(link, attempt, SetUpResult(result, took, report, reason=f"cause {cause}"))
        elif stay is None or id in link.attempts:
            return  # heard already; or an earlier attempt's
        elif stay.conn is conn or id not in conn.before or not stay.heard:
            if stay.conn is not conn and id in link.before:  # whichever it is of, nothing may stay behind
                self._let_go(link, id)
            self._over(link, id, _AFTER.get(cause if cause is not None else -1, Result.RESET))

    def _over(self, link: Link, id: str, result: Result) -> None:
        """A server's own word, or proof, that it holds a session no more."""
        held = self.core.sessions.session(id)
        link.stays.pop(id, None)
        if held is not None and held.server == link.server and held.phase is SessionPhase.PLAYING:
            self.core.sessions.on_session_ended(self.core.now(), id, held.attempt, result)
            self.core.schedule_step()

    # --- connections ---

    def _link(self, server: int) -> Link | None:
        link, there = self.links.get(server), self.feed.addresses.get(server)
        if link is None and there is not None:
            link = self.links[server] = Link(server, there, self._watch())
        return link

    def _watch(self) -> Watch:
        return Watch(self.settings, self.connect_s * 1000.0, self.core.now())

    def _free(self, link: Link, id: str = "") -> Connection | None:
        """One with nothing open on it; where there may be no more, the one with least.

        Never one that carried an earlier attempt of the same session; the one that its release went on.
        """
        now, most = self.core.now(), self.shares.per_server(len(self.links))
        good = [one for one in link.conns if one.good(now) and id not in one.before]
        for conn in good:
            if any(frame.session == id for frame in conn.unheard(now)):
                return conn  # nowhere else would the set-up surely be read after it
        for conn in reversed(good):  # the last used: the others can idle out
            if not conn.attempts:
                return conn
        if good and len(link.conns) >= most:
            return min(good, key=lambda one: len(one.attempts))
        return None

    def _connect(self, link: Link, within_s: float | None = None) -> Connection:
        conn = Connection(self, link, self.connect_s if within_s is None else within_s)
        link.conns.append(conn)
        conn.task = self.core.loop.create_task(self._open(conn))
        self._tasks.add(conn.task)
        conn.task.add_done_callback(self._tasks.discard)
        return conn

    async def _open(self, conn: Connection) -> None:
        try:
            await self.core.loop.create_connection(lambda: conn, *conn.link.address)
        except ConnectionResetError:
            # It came up and broke before the loop saw it, as any connection may: somebody listens there.
            if conn.over():
                self._alive(conn.link)
                self.down(conn, "connection reset while new", broke=True)
        except OSError as error:
            if conn.over():
                self.unmade(conn, error)

    def unmade(self, conn: Connection, error: OSError) -> None:
        """A connection didn't come up: nothing was written on it."""
        link, why = conn.link, str(error.strerror or error)
        if isinstance(error, TimeoutError):
            link.watch.unreachable(conn.begun, self.core.now())
        elif isinstance(error, ConnectionRefusedError):
            link.watch.refused()
            self._nothing_stands(link)
            why = "connection refused"
        self._broken(link, lives=False)
        for attempt in list(conn.attempts.values()):
            took = self.core.now() - attempt.sent_at
            self._finish(link, attempt, SetUpResult(Result.CONNECT_FAILED, took, {}, reason=why))
        for id, test in list(link.tests.items()):
            if test.conn is conn:
                self._test_over(link, id, Result.CONNECT_FAILED)

    def up(self, conn: Connection) -> None:
        """A connection came up: what waited for it goes out."""
        link = conn.link
        link.watch.came_up(self.core.now())
        self._broken(link, lives=True)
        link.letters[:0], link.kept = link.kept, []
        self._post(link, conn)
        for test in link.tests.values():
            if test.conn is conn:
                conn.write(test.data)
        for attempt in list(conn.attempts.values()):
            if self._wanted_now(link, attempt):
                self._write(link, attempt)

    def _post(self, link: Link, conn: Connection) -> None:
        """What found no connection goes out; of a session that is set up anew only just before its set-up."""
        letters, link.letters = link.letters, []
        for letter in letters:
            if letter.session in link.attempts:
                link.letters.append(letter)
            else:
                conn.say(letter)

    def _nothing_stands(self, link: Link) -> None:
        """Its process is over, and with it all that it held: nothing is owed there."""
        link.letters.clear()
        link.kept.clear()
        self._retire(link)
        for attempt in link.broken:
            link.stays.pop(attempt.command.request.session_id, None)

    def _retire(self, link: Link) -> None:
        """Nothing new goes on its connections: their other ends are gone, though nobody may ever say so."""
        for conn in link.conns:
            conn.course.retire()

    def _alive(self, link: Link) -> None:
        link.watch.heard(self.core.now())
        self._broken(link, lives=True)

    def down(self, conn: Connection, why: str, broke: bool) -> None:
        """A connection is over: set-ups that were written on it broke, others look for a new one.

        How they ended depends on whether the server lives, which a new connection tells at once. `broke`
        tells whether its server may have said something that did not come.
        """
        link = conn.link
        for stay in link.stays.values():
            if stay.conn is conn:
                stay.conn = None
        # Said again, and before a set-up that goes on elsewhere; not where its session is set up anew by now.
        link.letters += [one for one in conn.unheard(self.core.now()) if one.session not in link.stays]
        self._move_on(link, conn, why)
        if not self.stopped:
            if link.stays and broke:
                link.watch.missed()
            if self._gone(link):
                self._broken(link, lives=False)  # who listens there by now tells nothing of it
            elif link.broken and not any(one.course.connecting for one in link.conns):
                self._connect(link)
            self._look(link)

    def _move_on(self, link: Link, conn: Connection, why: str) -> None:
        """What was on a connection that is over waits for a verdict, or goes on another."""
        attempts, conn.attempts = list(conn.attempts.values()), {}
        for attempt in attempts:
            attempt.conn = None
            if attempt.written:
                attempt.broke = why
            elif attempt.connects >= _CONNECTS:
                took = self.core.now() - attempt.sent_at
                self._finish(link, attempt, SetUpResult(Result.CONNECT_FAILED, took, {}, reason=why))
            else:
                self._carry(link, attempt)
        for id, test in list(link.tests.items()):
            again = test.connects < _CONNECTS and not self.stopped and not self._gone(link)
            if test.conn is conn and again:
                self._carry_test(link, test)  # a connection that broke says nothing of its server
            elif test.conn is conn:
                self._test_over(link, id, Result.ERROR)

    def _broken(self, link: Link, lives: bool) -> None:
        """A server that lives may have written an answer that was lost: the host has it released there."""
        for attempt in link.broken:
            took = self.core.now() - attempt.sent_at
            self._finish(link, attempt, SetUpResult(broke(lives), took, {}, reason=attempt.broke))

    def _tell(self, server: int, id: str, frame: Frame) -> None:
        """On the connection of the set-up, else on any, else on the next that comes up."""
        link = self.links.get(server)
        if link is None:
            return
        stay = link.stays.get(id)
        conn = stay.conn if stay is not None and stay.heard else self._any(link, id)
        if conn is not None:
            conn.say(frame)
        elif not self._gone(link):
            link.letters.append(frame)
            if not any(one.course.connecting for one in link.conns):
                self._connect(link)

    def _any(self, link: Link, id: str = "") -> Connection | None:
        """One to say something on, if there is any."""
        there = (one for one in link.conns if one.usable and one.course.takes)
        return self._free(link, id) or next(there, None)

    # --- upkeep ---

    def _upkeep(self) -> None:
        if self.stopped:
            return
        self.core.loop.call_later(_UPKEEP_S, self._upkeep)
        now = self.core.now()
        self.drop_unwanted()
        self._make_room()
        for link in list(self.links.values()):
            for conn in list(link.conns):
                if conn.idle(now, link.heard_by(conn)):
                    conn.close()
            self._look(link)
            if self._gone(link) and not (link.stays or link.attempts or link.tests):
                for conn in list(link.conns):
                    conn.close()
                if not link.conns:
                    del self.links[link.server]
                    self.feed.forget_server(link.server)

    def _make_room(self) -> None:
        """Of more connections than servers may have in all, those longest unused go before they idle out."""
        conns = [one for link in self.links.values() for one in link.conns if one.course.at is not At.CLOSING]
        over = len(conns) - self.shares.servers_most
        for conn in sorted(conns, key=lambda one: one.used_at):
            if over <= 0:
                return
            if conn.spare(conn.link.heard_by(conn)):
                conn.close()
                over -= 1

    def _look(self, link: Link) -> None:
        now, gone, conn = self.core.now(), self._gone(link), self._any(link)
        if link.letters and conn is not None:
            self._post(link, conn)
        elif gone:
            link.letters.clear()  # another may listen at its address by now
        # One that a set-up waits for may take far longer than a look: it holds a look up no longer than that.
        recent = [one for one in link.conns if now - one.begun <= link.watch.look_ms]
        connecting = any(one.course.connecting for one in recent)
        holds, connected = bool(link.stays or link.letters), conn is not None
        verdict, why = link.watch.look(now, holds, connected, connecting), link.watch.why
        if holds and gone and not connected:
            verdict, why = Verdict.ENDED, "gone from the list, its connections ended"
        if verdict is Verdict.LOOK:
            self._connect(link, link.watch.look_ms / 1000.0)
        elif verdict in (Verdict.ENDED, Verdict.LOST):
            name = self.feed.names.get(link.server)
            self.core.log.warning("server lost", server=name, held=len(link.stays), why=why)
            self._lost(link, now, cut_off=verdict is Verdict.LOST)

    def _lost(self, link: Link, now: float, cut_off: bool) -> None:
        """All there is over. What is only cut off is released when one comes up; none is made for it."""
        # What was out may be read there yet: the host gives it up, by its stay.
        stays, link.stays = link.stays, {id: one for id, one in link.stays.items() if id in link.attempts}
        if cut_off:
            link.kept += link.letters + [_given_up(id) for id in stays if id not in link.attempts]
        link.letters.clear()
        self._retire(link)
        for attempt in list(link.attempts.values()):
            took, never = now - attempt.sent_at, not attempt.written
            result = Result.CONNECT_FAILED if never else Result.RESET
            self._finish(link, attempt, SetUpResult(result, took, {}, reason="server lost"))
        self.core.sessions.on_server_lost(now, link.server)
        self.core.schedule_step()


def _given_up(id: str) -> Frame:
    return Frame(FrameType.RELEASE, id, {ParameterCode.CAUSE: bytes((_GIVEN_UP,))})


class Connection(Shell):
    """One connection to a media server. Its `course` alone tells where it stands."""

    task: asyncio.Task[None]

    def __init__(self, servers: Servers, link: Link, within_s: float) -> None:
        self.servers, self.link = servers, link
        self.course = Course()
        self.attempts: dict[str, Attempt] = {}
        self.before = Remembered(_BEFORE_MOST)  # sessions whose attempts failed here
        self.whole = False  # whether it ended in order, with all read that its server wrote
        self.begun = self.up_at = self.used_at = servers.core.now()
        self._timer = servers.core.loop.call_later(within_s, self._late)
        self._frames = FrameReader()
        self._said: deque[tuple[float, Frame]] = deque(maxlen=_SAID_MOST)
        self._why = "connection closed"
        self._closed_at = math.inf  # when this side ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if not self.course.came_up():
            transport.abort()  # type: ignore[attr-defined]
            return
        self._timer.cancel()
        self.up_at = self.used_at = self.servers.core.now()
        self.servers.up(self)

    def _late(self) -> None:
        """The connect time is over; what comes up all the same is let go."""
        if self.give_up():
            self.servers.unmade(self, TimeoutError("no connection in time"))

    def give_up(self) -> bool:
        """Ends it while it is being made; False if it is up or over."""
        if not self.course.connecting:
            return False
        self.task.cancel()
        return self.over()

    def over(self) -> bool:
        """Its end, however it shows; True for the first that does."""
        if not self.course.end():
            return False
        self._timer.cancel()
        self.link.conns.remove(self)
        return True

    def bytes_came(self, data: memoryview) -> None:
        servers, why = self.servers, ""
        self.link.watch.heard(servers.core.now())
        try:
            frames = self._frames.feed(data)
        except FrameError as error:
            frames, why = self._frames.complete_frames, str(error)
        try:
            for frame in frames:
                servers.said(self, frame)
        except FrameError as error:
            why = str(error)
        if why:
            self._why = f"spoilt: {why}"
            self.course.retire()
            self.abort()

    def good(self, now: float) -> bool:
        """Whether something new may go out here: one long idle may be closed at its other end by now."""
        return self.course.takes and self.usable and now - self.used_at < 0.8 * self.servers.idle_ms

    def spare(self, last: bool) -> bool:
        """Whether nothing is on it: with sessions there, the last one stays to hear by."""
        tested = any(one.conn is self for one in self.link.tests.values())
        return self.course.carries and not (self.attempts or tested or (last and self.link.stays))

    def idle(self, now: float, last: bool) -> bool:
        """Whether it can go."""
        unused = now - self.used_at > 0.5 * self.servers.idle_ms
        return self.spare(last) and (unused or not self.course.takes)

    def write(self, data: bytes) -> bool:
        """Whether it left, or will unless the connection breaks. False: its last byte never does."""
        if not self.usable:
            return False
        assert self.transport is not None
        self.used_at = self.servers.core.now()
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > _WRITE_MOST:
            self.abort()
        return self.usable

    def say(self, frame: Frame) -> None:
        if frame.type is FrameType.RELEASE:
            self._said.append((self.servers.core.now(), frame))
        self.write(encode_frame(frame))

    def unheard(self, now: float) -> list[Frame]:
        """Releases that its end may have cost. One heard twice does no harm; one unheard leaves a session.

        Where the other end never answered this side's, nothing tells what it read of the time before that.
        """
        return [frame for at, frame in self._said if min(now, self._closed_at) - at < _SAID_MS]

    def close_if_spent(self) -> None:
        if self.course.at is At.RETIRED and not self.attempts:
            self.close()

    @property
    def usable(self) -> bool:
        return self.course.carries and super().usable

    def close(self) -> None:
        """Ends this side. What the server has under way, as the end of a session, is still read."""
        if not self.usable:
            return
        assert self.transport is not None
        self.course.close()
        self._closed_at = self.servers.core.now()
        try:
            self.transport.write_eof()
        except OSError:  # broken already, though the loop has not seen it yet
            self.transport.abort()
            return
        self._timer = self.servers.core.loop.call_later(_FAREWELL_S, self.abort)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        else:
            self.give_up()

    def connection_lost(self, exc: Exception | None) -> None:
        closing = self.course.at is At.CLOSING
        if closing and self.whole:
            self._said.clear()  # both ends were in order: all was heard
        # A server that meets this side's end with a reset has ended the connection, too: what it says from
        # then on goes on another, and what it had said came before.
        answered = closing and exc is not None
        if self.over():
            why = f"connection reset: {exc}" if exc is not None else self._why
            self.servers.down(self, why, broke=not (self.whole or answered))

    def eof_received(self) -> bool:
        self.whole = True
        return False
