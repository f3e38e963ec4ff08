"""Follows the token issuer's key set over HTTP (RFC 7517), so that its keys can be changed. A thin shell."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import urlsplit

from fernweir.front.dispatcher import Dispatcher
from fernweir.http.client import Outcome, Pool, Reply
from fernweir.tokens import Keyring, KeyringError

_CALL_S = 5.0


class KeySetFollower:
    """Asks every so often; an answer that can't be read takes nothing away."""

    def __init__(
        self,
        core: Dispatcher,
        pool: Pool,
        keyring: Keyring,
        url: str,
        *,
        every_s: float,
        retired_for_s: float,
        wall_s: Callable[[], float],
    ) -> None:
        parts = urlsplit(url)
        self._core, self._pool, self._keyring = core, pool, keyring
        self._origin, self._target = (parts.hostname or "", parts.port or 80), parts.path or "/"
        self._every_s, self._retired_for_s, self._wall_s = every_s, retired_for_s, wall_s
        self._tag = ""
        self._last: Keyring | None = None

    def start(self) -> None:
        if self._pool.closed:
            return
        headers = [("accept", "application/jwk-set+json")]
        if self._tag:
            headers.append(("if-none-match", self._tag))
        self._pool.request(self._origin, "GET", self._target, self._done, headers=headers, timeout_s=_CALL_S)

    def _done(self, reply: Reply) -> None:
        if self._pool.closed:
            return
        if reply.outcome is Outcome.ANSWERED and reply.status == 200:
            try:
                self._last = Keyring.from_json(reply.body.decode("utf-8", "replace"))
                self._tag = reply.headers.get("etag")
            except KeyringError as error:
                self._core.log.warning("key set not taken", why=str(error))
        elif reply.status != 304:
            self._core.log.warning(
                "key set not had", why=reply.detail or f"{reply.outcome.value} {reply.status}"
            )
        if self._last is not None:  # also when nothing changed: retired keys run out
            retired = self._keyring.replace_issued_keys(self._last, self._wall_s(), self._retired_for_s)
            if retired:
                self._core.log.debug("keys retired", keys=retired)
        self._core.loop.call_later(self._every_s, self.start)
