"""The way to the boxes: set-ups, rungs, releases, probes and the streams of notes. A thin shell."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from urllib.parse import quote

from fernweir.front.commands import ChangeRung, ReleaseSession, SendHealthCheck, SetUp, SetUpResult
from fernweir.front.dispatcher import Dispatcher, InvalidServerReplyError
from fernweir.front.endpoint_list import EndpointList
from fernweir.front.response_classification import classify_reply, load_report
from fernweir.front.rungsync import RungSync, Send
from fernweir.front.server_notices import NotesError, NotesState, Told
from fernweir.http.client import Call, Origin, Outcome, Pool, Reply
from fernweir.http.parse import ResponseHead
from fernweir.http.sse import EventReader
from fernweir.interface import RESULT_LABELS, Result

MERGE_PATCH = "application/merge-patch+json"  # RFC 7396
Under = tuple[str, int]  # the channel and the fence by which a session is steered


@dataclass(frozen=True, slots=True)
class BoxTimes:
    """Seconds. A stream of notes that says nothing for `silence_s` is opened anew."""

    probe_s: float = 0.25
    call_s: float = 1.0
    silence_s: float = 3.0
    unused_s: float = 30.0
    retry_s: float = 0.05
    retry_most_s: float = 2.0


class BoxClient:
    """Carries out commands towards boxes and tells the host how they ended."""

    def __init__(
        self,
        core: Dispatcher,
        pool: Pool,
        streams: Pool,
        boxes: EndpointList,
        control_token: Callable[[], str],
        times: BoxTimes | None = None,
        seed: int = 0,
    ) -> None:
        self.core, self.pool, self.boxes = core, pool, boxes
        self.streams = streams  # notes have connections of their own: set-ups can't be kept waiting by them
        self.times = times or BoxTimes()
        self._token = control_token
        self._dice = Random(seed)
        self._rungs = RungSync()
        self._rung_timer_at: float | None = None
        self._streams: dict[int, _NotesStream] = {}
        self.closed = False

    # --- commands ---

    def set_up(self, command: SetUp) -> None:
        core, host, jti = self.core, self.core.sessions, command.request.session_id
        sent_at = core.now()
        origin = self.boxes.address(command.server)
        carrier = core.set_up_codecs[command.request.protocol]

        def done(reply: Reply) -> None:
            result, why = classify_reply(reply)
            payload = None
            if result is Result.OK:
                try:
                    payload = carrier.accept(command, reply)
                except InvalidServerReplyError as error:
                    result, why = Result.ERROR, str(error)
            now = core.now()
            if result is not Result.OK:
                core.log.info(
                    "set-up failed", session=jti, box=command.server, attempt=command.attempt,
                    result=RESULT_LABELS[result], why=why,
                )  # fmt: skip
            end = SetUpResult(result, now - sent_at, load_report(reply), payload, why)
            host.on_attempt_finished(now, jti, command.attempt, end)
            core.schedule_step()
            if result is Result.OK:
                self._listen(command.server)

        if origin is None:
            core.loop.call_soon(done, Reply(Outcome.UNWANTED, detail="no address"))
            return
        request = carrier.request(command)
        self.pool.request(
            origin,
            request.method,
            request.target,
            done,
            headers=request.headers,
            body=request.body,
            timeout_s=command.timeout_ms / 1000.0,
            wanted=lambda: host.is_attempt_wanted(jti, command.attempt),
        )

    def change_rung(self, command: ChangeRung) -> None:
        send = self._rungs.want(command.session_id, command.attempt, command.server, command.rung)
        if send is not None:
            self._send_rung(send)

    def release(self, command: ReleaseSession) -> None:
        self._rungs.forget(command.session_id, command.attempt)
        self._delete(command, self._under(command.session_id), again=True)

    def check_health(self, command: SendHealthCheck) -> None:
        core, sent_at = self.core, self.core.now()

        def done(reply: Reply) -> None:
            result, _ = classify_reply(reply)
            now = core.now()
            core.sessions.on_health_check_finished(
                now, command.server, result, now - sent_at, load_report(reply)
            )
            core.schedule_step()

        origin = self.boxes.address(command.server)
        if origin is None:
            core.loop.call_soon(done, Reply(Outcome.UNREACHED, detail="no address"))
        else:
            self.pool.request(origin, "GET", "/probe", done, timeout_s=self.times.probe_s)

    def claim(
        self, box: int, channel: str, fence: int, overlap_ms: float, done: Callable[[Reply], None],
        adopt: Sequence[tuple[str, int]] = (),
    ) -> None:  # fmt: skip
        """Tells a box that this front owns a channel under a fence; `done` is called once, never at once.

        `adopt`: sessions that this front set up there in no channel, and which are in this one from now on.
        """
        origin = self.boxes.address(box)
        if origin is None:
            self.core.loop.call_soon(done, Reply(Outcome.UNREACHED, detail="no address"))
            return
        target = f"/channels?channel={quote(channel, safe='')}"
        body = json.dumps({"fence": fence, "overlap_ms": overlap_ms, "adopt": list(adopt)}).encode()
        self._call(origin, "PUT", target, done, body)

    def drop(self, box: int, session: str, attempt: int, why: str, under: Under) -> None:
        """Takes back what runs at a box and is no session of this front's."""
        self._delete(ReleaseSession(session, attempt, box, why), under, again=True)

    def listen(self, server: int) -> None:
        """Hears a box's notes, as for sessions that were taken over there."""
        self._listen(server)

    def close(self) -> None:
        self.closed = True
        for stream in list(self._streams.values()):
            stream.stop()

    # --- pieces ---

    def _send_rung(self, send: Send) -> None:
        core = self.core

        def done(reply: Reply) -> None:
            result, why = classify_reply(reply)
            if reply.status == 404 and reply.outcome is Outcome.ANSWERED:
                self._rungs.forget(send.jti, send.attempt)
                core.sessions.on_session_ended(core.now(), send.jti, send.attempt, Result.RESET)
                core.schedule_step()
                return
            arrived = result is Result.OK
            if not arrived:
                core.log.info("rung not set", session=send.jti, box=send.server, why=why)
            following = self._rungs.done(core.now(), send, arrived)
            if following is not None:
                self._send_rung(following)
            self._rungs_later()

        origin = self.boxes.address(send.server)
        if origin is None:
            self._rungs.forget(send.jti, send.attempt)
            return
        body = json.dumps({"rung": send.rung}).encode()
        self._call(origin, "PATCH", _session(send.jti, send.attempt), done, body, self._under(send.jti))

    def _rungs_later(self) -> None:
        due = self._rungs.next_due()
        if due is not None and due != self._rung_timer_at and not self.closed:
            self._rung_timer_at = due
            self.core.loop.call_at(due / 1000.0, self._rungs_due)

    def _rungs_due(self) -> None:
        self._rung_timer_at = None
        for send in [] if self.closed else self._rungs.due(self.core.now()):
            self._send_rung(send)
        self._rungs_later()

    def _delete(self, command: ReleaseSession, under: Under | None, again: bool) -> None:
        def done(reply: Reply) -> None:
            # Once more, for an answer that was lost; after that the box's own idle limit must do.
            if again and reply.outcome is not Outcome.ANSWERED and not self.closed:
                self.core.loop.call_later(self.times.call_s, self._delete, command, under, False)

        origin, target = self.boxes.address(command.server), _session(command.session_id, command.attempt)
        if origin is None:
            return
        if command.may_finish_segment and again:
            body = json.dumps({"end": command.reason}).encode()
            self._call(origin, "PATCH", target, done, body, under)
        else:
            self._call(origin, "DELETE", target, done, under=under)

    def _call(
        self, origin: Origin, method: str, target: str, done: Callable[[Reply], None], body: bytes = b"",
        under: Under | None = None,
    ) -> None:  # fmt: skip
        headers = [("authorization", f"Bearer {self._token()}")]
        if body:
            headers.append(("content-type", MERGE_PATCH))
        if under is not None:
            headers.append(("fernweir-fence", f"{under[0]};{under[1]}"))
        self.pool.request(
            origin, method, target, done, headers=headers, body=body, timeout_s=self.times.call_s
        )

    def _under(self, jti: str) -> Under | None:
        return self.core.channel_ownership.fence(jti) if self.core.channel_ownership is not None else None

    def _listen(self, server: int) -> None:
        if server not in self._streams and not self.closed:
            _NotesStream(self, server)


def _session(jti: str, attempt: int) -> str:
    return f"/sessions/{quote(jti, safe='')}?attempt={attempt}"


class _NotesStream:
    """One box's stream of notes, opened anew for as long as sessions are held there."""

    def __init__(self, client: BoxClient, server: int) -> None:
        self.client, self.server = client, server
        self.core, self.host = client.core, client.core.sessions
        self.state = NotesState()
        self._reader = EventReader()
        self._call: Call | None = None
        self._tries = 0
        self._heard_at = self._used_at = self.core.loop.time()
        self._stopped = self._doubtful = False
        client._streams[server] = self  # until `stop`, which may come before this has begun
        self._open()
        self._watch()

    def stop(self) -> None:
        self._stopped = True
        self.client._streams.pop(self.server, None)
        self.host.on_server_silence_changed(self.server, False)
        if self._call is not None:
            self._call.cancel()

    def _open(self) -> None:
        origin = self.client.boxes.address(self.server)
        if self._stopped:
            return
        if origin is None:
            self._lost("not listed")
            return
        self.state.asked(self.host.sessions_playing_at(self.server))
        self._reader = EventReader()
        headers = [("authorization", f"Bearer {self.client._token()}"), ("accept", "text/event-stream")]
        self._call = self.client.streams.request(
            origin, "GET", "/notes", self._ended, headers=headers, on_head=self._head, on_data=self._data
        )

    def _head(self, head: ResponseHead) -> None:
        self._hear()
        if head.status != 200 and self._call is not None:
            self.core.log.warning("notes refused", box=self.server, status=head.status)

    def _hear(self) -> None:
        self._heard_at = self.core.loop.time()
        if self._doubtful:
            self._doubtful = False
            self.host.on_server_silence_changed(self.server, False)

    def _data(self, data: bytes) -> None:
        self._hear()
        try:
            events = self._reader.feed(data)
        except ValueError:
            events = []
            if self._call is not None:
                self._call.cancel()
        now = self.core.now()
        for event in events:
            try:
                news = self.state.take(event)
            except NotesError as error:
                self.core.log.warning("note passed over", box=self.server, why=str(error))
                continue
            if self.state.greeted:
                self._tries = 0
            for one in news:
                if isinstance(one, Told):
                    self.host.on_server_notice(now, one.jti, one.attempt, one.kind, one.level)
                else:
                    self.client._rungs.forget(one.jti, one.attempt)
                    self.host.on_session_ended(now, one.jti, one.attempt, one.result)
        if events:
            self.core.schedule_step()

    def _ended(self, reply: Reply) -> None:
        self._call = None
        if self._stopped:
            return
        if reply.outcome is Outcome.REFUSED:
            self._lost(reply.detail)
            return
        times = self.client.times
        pause = min(times.retry_s * 2.0**self._tries, times.retry_most_s)
        self._tries += 1
        # A box that says nothing on a new stream either holds its viewers up.
        if self._tries > 2:
            self._doubt()
        self.core.loop.call_later(pause * (0.5 + self.client._dice.random()), self._open)

    def _lost(self, why: str) -> None:
        """Nobody listens there any more: the process is gone, and its sessions with it."""
        count = self.host.on_server_lost(self.core.now(), self.server)
        self.core.log.info("box lost", box=self.server, sessions=count, why=why)
        self.stop()
        self.core.schedule_step()

    def _doubt(self) -> None:
        if not self._doubtful:
            self._doubtful = True
            self.host.on_server_silence_changed(self.server, True)

    def _watch(self) -> None:
        if self._stopped:
            return
        now, times = self.core.loop.time(), self.client.times
        if self.host.sessions_playing_at(self.server):
            self._used_at = now
        elif now - self._used_at > times.unused_s:
            self.stop()
            return
        if now - self._heard_at > times.silence_s:
            self._doubt()
            self._heard_at = now
            if self._call is not None:
                self._call.cancel()
        self.core.loop.call_later(times.silence_s / 4.0, self._watch)
