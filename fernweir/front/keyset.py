"""Polls the token issuer's key set over HTTP (RFC 7517), so that the issuer can rotate its keys."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import urlsplit

from fernweir.front.dispatcher import Dispatcher
from fernweir.http.client import Outcome, Pool, Reply
from fernweir.tokens import Keyring, KeyringError

_REQUEST_TIMEOUT_S = 5.0


class KeySetFollower:
    """Polls a key set; a response that cannot be read leaves the known keys valid.

    Args:
        dispatcher: Gives the event loop and the log.
        pool: The HTTP connections.
        keyring: The keys that are updated.
        url: Where the key set is.
        every_s: The time from a response to the next request.
        retired_for_s: How long a key that is no longer in the set still verifies tokens.
        wall_s: Returns the wall time in seconds.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: Pool,
        keyring: Keyring,
        url: str,
        *,
        every_s: float,
        retired_for_s: float,
        wall_s: Callable[[], float],
    ) -> None:
        parts = urlsplit(url)
        self._dispatcher, self._pool, self._keyring = dispatcher, pool, keyring
        self._origin, self._target = (parts.hostname or "", parts.port or 80), parts.path or "/"
        self._interval_s, self._retired_for_s, self._wall_s = every_s, retired_for_s, wall_s
        self._etag = ""
        self._last_keyring: Keyring | None = None

    def start(self) -> None:
        """Sends a request; its response schedules the next one."""
        if self._pool.closed:
            return
        headers = [("accept", "application/jwk-set+json")]
        if self._etag:
            headers.append(("if-none-match", self._etag))
        self._pool.request(
            self._origin, "GET", self._target, self._on_reply, headers=headers, timeout_s=_REQUEST_TIMEOUT_S
        )

    def _on_reply(self, reply: Reply) -> None:
        if self._pool.closed:
            return
        if reply.outcome is Outcome.ANSWERED and reply.status == 200:
            try:
                self._last_keyring = Keyring.from_json(reply.body.decode("utf-8", "replace"))
                self._etag = reply.headers.get("etag")
            except KeyringError as error:
                self._dispatcher.log.warning("key set invalid", why=str(error))
        elif reply.status != 304:
            self._dispatcher.log.warning(
                "key set request failed", why=reply.detail or f"{reply.outcome.value} {reply.status}"
            )
        if self._last_keyring is not None:  # also if the set has not changed, because retired keys expire
            retired = self._keyring.replace_issued_keys(
                self._last_keyring, self._wall_s(), self._retired_for_s
            )
            if retired:
                self._dispatcher.log.debug("keys retired", keys=retired)
        self._dispatcher.loop.call_later(self._interval_s, self.start)
