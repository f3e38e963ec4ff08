"""How a front reaches sessions that another holds, and under which fence it steers its own. A thin shell."""

from __future__ import annotations

from collections.abc import Callable

from fernweir.front.commands import SessionReply, SessionRequest
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.peering import Peering
from fernweir.interface import Settings
from fernweir.peers.forward.messages import Carried, Carry
from fernweir.peers.program import Peers


class SessionRouting:
    """The core's `Owner` and `Finder`, of a front whose sessions are in channels."""

    def __init__(self, core: Dispatcher, port: Peering, peers: Peers, settings: Settings) -> None:
        self._core, self._port, self._peers, self._settings = core, port, peers, settings

    def fence(self, jti: str) -> tuple[str, int] | None:
        return self._peers.peer.fence(self._core.now(), jti)

    def request_reply(self, ask: SessionRequest, then: Callable[[SessionReply | None], None]) -> None:
        def end(now: float, carried: Carried | None) -> None:
            then(None if carried is None else self._port.to_session_reply(ask, carried))

        request = Carry(
            self._peers.peer.forwarder.number(),
            "ask",
            ask.session_id,
            ask.protocol,
            ask.subject,
            ask.title_name,
            self._settings.classes[ask.class_index].name,
            ask.top_rung,
            ask.tenant,
            ask.max_wait_ms,
        )
        self._peers.peer.find(self._core.now(), request, end)
        self._peers.kick()

    def query_session(self, jti: str, what: str, then: Callable[[bool | None], None]) -> None:
        def end(now: float, carried: Carried | None) -> None:
            then(None if carried is not None and carried.kind == "refused" else carried is not None)

        number, wait_ms = (
            self._peers.peer.forwarder.number(),
            self._core.sessions.limits.blocked_retry_after_ms,
        )
        request = Carry(number, what, jti, "", "", "", "", 0, "", wait_ms)
        self._peers.peer.find(self._core.now(), request, end)
        self._peers.kick()
