"""Routes requests for sessions of other fronts, and provides the fences for sessions of this front."""

from __future__ import annotations

from collections.abc import Callable

from fernweir.front.commands import SessionReply, SessionRequest
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.peering import Peering
from fernweir.interface import Settings
from fernweir.peers.forward.messages import Carried, Carry
from fernweir.peers.program import Peers


class SessionRouting:
    """Connects the dispatcher to the peers, for a front whose sessions belong to channels."""

    def __init__(self, core: Dispatcher, port: Peering, peers: Peers, settings: Settings) -> None:
        self._core, self._port, self._peers, self._settings = core, port, peers, settings

    def fence(self, session_id: str) -> tuple[str, int] | None:
        """Returns the channel and fence under which a session may be controlled now, or None."""
        return self._peers.peer.fence(self._core.now(), session_id)

    def request_reply(
        self, session_request: SessionRequest, then: Callable[[SessionReply | None], None]
    ) -> None:
        """Requests a reply of the owner of a session; `then` gets None if the session may be set up here."""

        def on_reply(now: float, carried: Carried | None) -> None:
            then(None if carried is None else self._port.to_session_reply(session_request, carried))

        request = Carry(
            self._peers.peer.forwarder.next_number(),
            "ask",
            session_request.session_id,
            session_request.protocol,
            session_request.subject,
            session_request.title_name,
            self._settings.classes[session_request.class_index].name,
            session_request.top_rung,
            session_request.tenant,
            session_request.max_wait_ms,
        )
        self._peers.peer.find(self._core.now(), request, on_reply)
        self._peers.kick()

    def query_session(self, session_id: str, what: str, then: Callable[[bool | None], None]) -> None:
        """Sends `look` or `end` to the owner of a session; `then` gets None if the owner is unreachable."""

        def on_reply(now: float, carried: Carried | None) -> None:
            then(None if carried is not None and carried.kind == "refused" else carried is not None)

        number, wait_ms = (
            self._peers.peer.forwarder.next_number(),
            self._core.sessions.limits.blocked_retry_after_ms,
        )
        request = Carry(number, what, session_id, "", "", "", "", 0, "", wait_ms)
        self._peers.peer.find(self._core.now(), request, on_reply)
        self._peers.kick()
