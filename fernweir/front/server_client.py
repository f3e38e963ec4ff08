"""The front's client for media servers: set-ups, rungs, releases and health checks.

Does the I/O for the dispatcher's commands and reports each outcome to the session manager.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from urllib.parse import quote

from fernweir.front.commands import ChangeRung, ReleaseSession, SendHealthCheck, SetUp, SetUpResult
from fernweir.front.dispatcher import Dispatcher, InvalidServerReplyError
from fernweir.front.endpoint_list import ADDRESS_REASSIGNED, EndpointList
from fernweir.front.notice_stream import NoticeStream
from fernweir.front.response_classification import classify_reply, load_report
from fernweir.front.rungsync import RungSync, Send
from fernweir.http.client import Outcome, Pool, Reply
from fernweir.interface import RESULT_LABELS, Result

MERGE_PATCH = "application/merge-patch+json"  # RFC 7396
ChannelFence = tuple[str, int]  # the channel and the fence under which a front controls a session


@dataclass(frozen=True, slots=True)
class ServerTimeouts:
    """Timeouts and backoffs of requests to servers, in seconds.

    A notice stream that is silent for `stream_silence_s` is reopened; one whose server has had no playing
    session for `stream_unused_s` is closed.
    """

    health_check_s: float = 0.25
    request_s: float = 1.0
    stream_silence_s: float = 3.0
    stream_unused_s: float = 30.0
    reconnect_backoff_s: float = 0.05
    max_reconnect_backoff_s: float = 2.0


class ServerClient:
    """Carries out commands towards servers and reports their outcome to the session manager."""

    def __init__(
        self,
        core: Dispatcher,
        pool: Pool,
        stream_pool: Pool,
        endpoint_list: EndpointList,
        control_token: Callable[[], str],
        timeouts: ServerTimeouts | None = None,
        seed: int = 0,
    ) -> None:
        self.core, self.pool, self.endpoint_list = core, pool, endpoint_list
        self.stream_pool = stream_pool  # a pool of their own, so that notice streams cannot delay set-ups
        self.timeouts = timeouts or ServerTimeouts()
        self.control_token = control_token
        self.rng = Random(seed)
        self.rung_sync = RungSync()
        self._rung_timer_at: float | None = None
        self._streams: dict[int, NoticeStream] = {}
        self.closed = False

    # --- commands ---

    def set_up(self, command: SetUp) -> None:
        """Sends a set-up and reports its end to the session manager exactly once."""
        core, session_manager, session_id = self.core, self.core.sessions, command.request.session_id
        sent_at = core.now()
        server = command.server
        origin = self.endpoint_list.address(server)
        codec = core.set_up_codecs[command.request.protocol]

        def on_reply(reply: Reply) -> None:
            result, reason = classify_reply(reply)
            payload = None
            if result is Result.OK:
                try:
                    payload = codec.accept(command, reply)
                except InvalidServerReplyError as error:
                    result, reason = Result.ERROR, str(error)
            now = core.now()
            if result is not Result.OK:
                core.log.info(
                    "set-up failed", session=session_id, box=command.server, attempt=command.attempt,
                    result=RESULT_LABELS[result], why=reason,
                )  # fmt: skip
            set_up_result = SetUpResult(result, now - sent_at, load_report(reply), payload, reason)
            session_manager.on_attempt_finished(now, session_id, command.attempt, set_up_result)
            core.schedule_step()
            if result is Result.OK:
                self._open_notice_stream(command.server)

        if origin is None:
            core.loop.call_soon(on_reply, Reply(Outcome.UNWANTED, detail="no address"))
            return
        if self.endpoint_list.is_reassigned(server):
            core.loop.call_soon(on_reply, Reply(Outcome.UNREACHED, detail=ADDRESS_REASSIGNED))
            return
        request = codec.request(command)
        self.pool.request(
            origin,
            request.method,
            request.target,
            on_reply,
            headers=request.headers,
            body=request.body,
            timeout_s=command.timeout_ms / 1000.0,
            wanted=lambda: (
                session_manager.is_attempt_wanted(session_id, command.attempt)
                and not self.endpoint_list.is_reassigned(server)
            ),
            owner=server,
        )

    def change_rung(self, command: ChangeRung) -> None:
        """Sends a session's new rung, now or when the one in flight has ended."""
        send = self.rung_sync.set_rung(command.session_id, command.attempt, command.server, command.rung)
        if send is not None:
            self._send_rung(send)

    def release(self, command: ReleaseSession) -> None:
        """Asks a server to end a session that is no longer wanted."""
        self.rung_sync.forget(command.session_id, command.attempt)
        self._end_session(command, self._channel_fence(command.session_id), may_retry=True)

    def check_health(self, command: SendHealthCheck) -> None:
        """Sends a health check and reports its end to the session manager exactly once."""
        core, sent_at = self.core, self.core.now()

        def on_reply(reply: Reply) -> None:
            if self._is_displaced(command.server):  # another server may have sent the reply
                reply = Reply(Outcome.UNREACHED, detail=ADDRESS_REASSIGNED)
            result, _ = classify_reply(reply)
            now = core.now()
            core.sessions.on_health_check_finished(
                now, command.server, result, now - sent_at, load_report(reply)
            )
            core.schedule_step()

        origin = self.endpoint_list.address(command.server)
        if origin is None or self._is_displaced(command.server):
            core.loop.call_soon(on_reply, Reply(Outcome.UNREACHED, detail="no address"))
            return
        timeout_s = self.timeouts.health_check_s
        self.pool.request(origin, "GET", "/probe", on_reply, timeout_s=timeout_s, owner=command.server)

    def claim_channel(
        self, server: int, channel: str, fence: int, overlap_ms: float, on_reply: Callable[[Reply], None],
        adopt: Sequence[tuple[str, int]] = (),
    ) -> None:  # fmt: skip
        """Claims a channel at a server under a fence; `on_reply` is called once, after this has returned.

        `adopt` has the sessions that this front set up there outside any channel and that join this one.
        """
        if self.endpoint_list.address(server) is None:
            self.core.loop.call_soon(on_reply, Reply(Outcome.UNREACHED, detail="no address"))
            return
        target = f"/channels?channel={quote(channel, safe='')}"
        body = json.dumps({"fence": fence, "overlap_ms": overlap_ms, "adopt": list(adopt)}).encode()
        self._request(server, "PUT", target, on_reply, body)

    def release_unowned_session(
        self, server: int, session_id: str, attempt: int, reason: str, channel_fence: ChannelFence
    ) -> None:
        """Asks a server to end a session that runs there and that this front does not own."""
        self._end_session(ReleaseSession(session_id, attempt, server, reason), channel_fence, may_retry=True)

    def open_notice_stream(self, server: int) -> None:
        """Opens a server's notice stream if it is not open, as for sessions that were taken over there."""
        self._open_notice_stream(server)

    def close(self) -> None:
        """Closes all notice streams and stops all retries."""
        self.closed = True
        for stream in list(self._streams.values()):
            stream.stop()

    # --- rungs, releases and requests ---

    def _send_rung(self, send: Send) -> None:
        core = self.core

        def on_reply(reply: Reply) -> None:
            result, reason = classify_reply(reply)
            is_unknown = reply.status == 404 and reply.outcome is Outcome.ANSWERED
            if is_unknown and not self._is_followed_elsewhere(send.server):
                self.rung_sync.forget(send.session_id, send.attempt)
                core.sessions.on_session_ended(core.now(), send.session_id, send.attempt, Result.RESET)
                core.schedule_step()
                return
            delivered = result is Result.OK
            if not delivered:
                core.log.info("rung change failed", session=send.session_id, box=send.server, why=reason)
            next_send = self.rung_sync.on_send_finished(core.now(), send, delivered)
            if next_send is not None:
                self._send_rung(next_send)
            self._schedule_rung_retries()

        if self.endpoint_list.address(send.server) is None:
            self.rung_sync.forget(send.session_id, send.attempt)
            return
        body = json.dumps({"rung": send.rung}).encode()
        self._request(
            send.server,
            "PATCH",
            _session_target(send.session_id, send.attempt),
            on_reply,
            body,
            self._channel_fence(send.session_id),
        )

    def _schedule_rung_retries(self) -> None:
        deadline = self.rung_sync.next_deadline()
        if deadline is not None and deadline != self._rung_timer_at and not self.closed:
            self._rung_timer_at = deadline
            self.core.loop.call_at(deadline / 1000.0, self._on_rung_timer)

    def _on_rung_timer(self) -> None:
        self._rung_timer_at = None
        for send in [] if self.closed else self.rung_sync.pop_due(self.core.now()):
            self._send_rung(send)
        self._schedule_rung_retries()

    def _end_session(
        self, command: ReleaseSession, channel_fence: ChannelFence | None, may_retry: bool
    ) -> None:
        def on_reply(reply: Reply) -> None:
            # One retry, in case the reply was lost; after that the server's own idle limit ends the session.
            if may_retry and reply.outcome is not Outcome.ANSWERED and not self.closed:
                self.core.loop.call_later(
                    self.timeouts.request_s, self._end_session, command, channel_fence, False
                )

        server, target = command.server, _session_target(command.session_id, command.attempt)
        if self.endpoint_list.address(server) is None:
            return
        if command.may_finish_segment and may_retry:
            body = json.dumps({"end": command.reason}).encode()
            self._request(server, "PATCH", target, on_reply, body, channel_fence)
        else:
            self._request(server, "DELETE", target, on_reply, channel_fence=channel_fence)

    def _request(
        self, server: int, method: str, target: str, on_reply: Callable[[Reply], None], body: bytes = b"",
        channel_fence: ChannelFence | None = None,
    ) -> None:  # fmt: skip
        """Sends a request to a listed server; on a new connection only if its address still leads there."""
        origin = self.endpoint_list.address(server)
        assert origin is not None
        headers = [("authorization", f"Bearer {self.control_token()}")]
        if body:
            headers.append(("content-type", MERGE_PATCH))
        if channel_fence is not None:
            headers.append(("fernweir-fence", f"{channel_fence[0]};{channel_fence[1]}"))
        self.pool.request(
            origin,
            method,
            target,
            on_reply,
            headers=headers,
            body=body,
            timeout_s=self.timeouts.request_s,
            owner=server,
            may_connect=not self.endpoint_list.is_reassigned(server),
        )

    def _is_followed_elsewhere(self, server: int) -> bool:
        """Whether a reply may be from another server, while the notice stream tells which sessions end."""
        stream = self._streams.get(server)
        return self._is_displaced(server) and stream is not None and stream.state.hello_received

    def _is_displaced(self, server: int) -> bool:
        """Whether a new connection to the address of a server may reach another one."""
        return self.endpoint_list.is_removed(server) or self.endpoint_list.is_reassigned(server)

    def _channel_fence(self, session_id: str) -> ChannelFence | None:
        return (
            self.core.channel_ownership.fence(session_id) if self.core.channel_ownership is not None else None
        )

    def _open_notice_stream(self, server: int) -> None:
        if server not in self._streams and not self.closed:
            NoticeStream(self, self._streams, server)


def _session_target(session_id: str, attempt: int) -> str:
    return f"/sessions/{quote(session_id, safe='')}?attempt={attempt}"
