"""The stream of notices from one media server: kept open while sessions play there, checked for silence.

A server that refuses the stream, or whose address leads to another one now, has lost its sessions: nothing
else tells of their ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fernweir.front.endpoint_list import ADDRESS_REASSIGNED
from fernweir.front.server_notices import NoticeError, NoticeStreamState, SessionNotice
from fernweir.http.client import Call, Outcome, Reply
from fernweir.http.parse import ResponseHead
from fernweir.http.sse import EventReader

if TYPE_CHECKING:
    from fernweir.front.server_client import ServerClient


class NoticeStream:
    """One server's notice stream, which is reopened for as long as sessions play there."""

    def __init__(self, client: ServerClient, streams: dict[int, NoticeStream], server: int) -> None:
        """Opens the stream.

        Args:
            client: The client whose connections and timeouts the stream uses.
            streams: The open streams by server; this one is in it until it stops.
            server: The number of the server.
        """
        self.client, self.server = client, server
        self._dispatcher, self.session_manager = client.core, client.core.sessions
        self.state = NoticeStreamState()
        self._reader = EventReader()
        self._stream_request: Call | None = None
        self._reconnects = 0
        self._last_received_at = self._last_used_at = self._dispatcher.loop.time()
        self._stopped = self._reported_silent = False
        self._streams = streams
        streams[server] = self  # until `stop`, which `_open` may call
        self._open()
        self._check_silence()

    def stop(self) -> None:
        """Closes the stream for good."""
        self._stopped = True
        self._streams.pop(self.server, None)
        self.session_manager.on_server_silence_changed(self.server, False)
        if self._stream_request is not None:
            self._stream_request.cancel()

    def _open(self) -> None:
        origin = self.client.endpoint_list.address(self.server)
        if self._stopped:
            return
        if origin is None:
            self._report_server_lost("not listed")
            return
        if self.client.endpoint_list.is_reassigned(self.server):
            self._report_server_lost(ADDRESS_REASSIGNED)
            return
        self.state.on_stream_opened(self.session_manager.sessions_playing_at(self.server))
        self._reader = EventReader()
        headers = [
            ("authorization", f"Bearer {self.client.control_token()}"),
            ("accept", "text/event-stream"),
        ]
        self._stream_request = self.client.stream_pool.request(
            origin,
            "GET",
            "/notes",
            self._on_stream_ended,
            headers=headers,
            on_head=self._on_head,
            on_data=self._on_data,
            owner=self.server,
        )

    def _on_head(self, head: ResponseHead) -> None:
        self._on_received()
        if head.status != 200 and self._stream_request is not None:
            self._dispatcher.log.warning("notice stream refused", box=self.server, status=head.status)

    def _on_received(self) -> None:
        self._last_received_at = self._dispatcher.loop.time()
        if self._reported_silent:
            self._reported_silent = False
            self.session_manager.on_server_silence_changed(self.server, False)

    def _on_data(self, data: bytes) -> None:
        self._on_received()
        try:
            events = self._reader.feed(data)
        except ValueError:
            events = []
            if self._stream_request is not None:
                self._stream_request.cancel()
        now = self._dispatcher.now()
        for event in events:
            try:
                updates = self.state.handle(event)
            except NoticeError as error:
                self._dispatcher.log.warning("server notice skipped", box=self.server, why=str(error))
                continue
            if self.state.hello_received:
                self._reconnects = 0
            for update in updates:
                if isinstance(update, SessionNotice):
                    self.session_manager.on_server_notice(
                        now, update.session_id, update.attempt, update.kind, update.level
                    )
                else:
                    self.client.rung_sync.forget(update.session_id, update.attempt)
                    self.session_manager.on_session_ended(
                        now, update.session_id, update.attempt, update.result
                    )
        if events:
            self._dispatcher.schedule_step()

    def _on_stream_ended(self, reply: Reply) -> None:
        self._stream_request = None
        if self._stopped:
            return
        if reply.outcome is Outcome.REFUSED:
            self._report_server_lost(reply.detail)
            return
        timeouts = self.client.timeouts
        backoff_s = min(
            timeouts.reconnect_backoff_s * 2.0**self._reconnects, timeouts.max_reconnect_backoff_s
        )
        self._reconnects += 1
        # A server that stays silent on new streams too keeps its viewers waiting as well.
        if self._reconnects > 2:
            self._report_silent()
        self._dispatcher.loop.call_later(backoff_s * (0.5 + self.client.rng.random()), self._open)

    def _report_server_lost(self, reason: str) -> None:
        """Nothing accepts connections there any more: the process and its sessions are gone."""
        session_count = self.session_manager.on_server_lost(self._dispatcher.now(), self.server)
        self._dispatcher.log.info("server lost", box=self.server, sessions=session_count, why=reason)
        self.stop()
        self._dispatcher.schedule_step()

    def _report_silent(self) -> None:
        if not self._reported_silent:
            self._reported_silent = True
            self.session_manager.on_server_silence_changed(self.server, True)

    def _check_silence(self) -> None:
        if self._stopped:
            return
        now, timeouts = self._dispatcher.loop.time(), self.client.timeouts
        if self.session_manager.sessions_playing_at(self.server):
            self._last_used_at = now
        elif now - self._last_used_at > timeouts.stream_unused_s:
            self.stop()
            return
        if now - self._last_received_at > timeouts.stream_silence_s:
            self._report_silent()
            self._last_received_at = now
            if self._stream_request is not None:
                self._stream_request.cancel()
        self._dispatcher.loop.call_later(timeouts.stream_silence_s / 4.0, self._check_silence)
