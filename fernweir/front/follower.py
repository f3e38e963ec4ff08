"""Follows the endpoint list by Server-Sent Events and caches it in a file.

The list itself is in `endpoint_list`; this module does the I/O.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random
from urllib.parse import urlsplit

from fernweir.front.atomic_file import write_file
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.endpoint_list import EndpointList, ListError, ListGapError, read_document
from fernweir.http.client import Call, Pool, Reply
from fernweir.http.sse import EventReader, ServerEvent
from fernweir.interface import EndpointListKind, EndpointListUpdate

_RECONNECT_BACKOFF_S, _MAX_RECONNECT_BACKOFF_S, _CACHE_WRITE_DELAY_S = 0.1, 5.0, 0.5


class ListFollower:
    """Keeps the endpoint list up to date.

    Resumes by `Last-Event-ID`; a stream that is silent for `silence_s` seconds is reopened.
    """

    def __init__(
        self,
        core: Dispatcher,
        pool: Pool,
        endpoint_list: EndpointList,
        url: str,
        token: Callable[[], str],
        *,
        silence_s: float,
        cache_path: Path | None,
        seed: int = 0,
    ) -> None:
        parts = urlsplit(url)
        self.core, self.pool, self.endpoint_list = core, pool, endpoint_list
        self.list_received = asyncio.Event()
        self._origin = (parts.hostname or "", parts.port or 80)
        self._target = parts.path or "/"
        self._token, self._silence_s, self._cache_path = token, silence_s, cache_path
        self._rng = Random(seed)
        self._reader = EventReader()
        self._stream_request: Call | None = None
        self._last_event_id = ""
        self._reconnects = 0
        self._failure_reported = self._stopped = self._cache_write_pending = False
        self._last_received_at = core.loop.time()

    def start(self) -> None:
        """Applies the cached list, if there is one, and opens the stream."""
        self._read_cache()
        self._open()
        self._check_silence()

    def stop(self) -> None:
        """Closes the stream, and writes a pending list to the cache first."""
        self._stopped = True
        if self._cache_write_pending:
            self._write_cache()
        if self._stream_request is not None:
            self._stream_request.cancel()

    def _read_cache(self) -> None:
        if self._cache_path is None:
            return
        try:
            document = read_document(self._cache_path.read_bytes())
            update = self.endpoint_list.apply_full(self.core.now(), document, cached=True)
        except FileNotFoundError:
            return
        except (OSError, ListError) as error:
            self.core.log.warning("cached list not used", file=str(self._cache_path), why=str(error))
            return
        if update is not None:
            self.core.log.info(
                "cached list loaded", version=document.version, boxes=len(self.endpoint_list.servers)
            )
            self._report_update(update)

    def _open(self) -> None:
        if self._stopped:
            return
        self._reader, self._last_received_at = EventReader(), self.core.loop.time()
        headers = [("accept", "text/event-stream"), ("authorization", f"Bearer {self._token()}")]
        if self._last_event_id:
            headers.append(("last-event-id", self._last_event_id))
        self._stream_request = self.pool.request(
            self._origin, "GET", self._target, self._on_stream_ended, headers=headers, on_data=self._on_data
        )

    def _on_data(self, data: bytes) -> None:
        self._last_received_at = self.core.loop.time()
        try:
            for event in self._reader.feed(data):
                self._on_event(event)
        except ListGapError as error:
            self.core.log.warning("endpoint list has a gap", why=str(error))
            self._last_event_id = ""
            self._abort_stream()
        except (ListError, ValueError) as error:
            self.core.log.warning("endpoint list rejected", why=str(error))
            self._abort_stream()

    def _on_event(self, event: ServerEvent) -> None:
        if event.event not in ("whole", "changes"):
            return
        document = read_document(event.data)
        now = self.core.now()
        if event.event == "whole":
            update = self.endpoint_list.apply_full(now, document)
            if update is None and document.version < self.endpoint_list.version:
                current_version = self.endpoint_list.version
                self.core.log.warning(
                    "endpoint list version went back", version=document.version, held=current_version
                )
        else:
            update = self.endpoint_list.apply_delta(now, document)
        self._reconnects, self._failure_reported = 0, False
        self._last_event_id = self.endpoint_list.last_id
        if update is not None:
            if not self.endpoint_list.servers:
                self.core.log.warning("endpoint list is empty", version=document.version)
            self._report_update(update)
            self._schedule_cache_write()

    def _report_update(self, update: EndpointListUpdate) -> None:
        self.list_received.set()
        self.core.sessions.on_endpoint_list(self.core.now(), update)
        self.core.schedule_step()

    def _abort_stream(self) -> None:
        if self._stream_request is not None:
            self._stream_request.cancel()

    def _on_stream_ended(self, reply: Reply) -> None:
        self._stream_request = None
        if self._stopped:
            return
        if not self._failure_reported:
            self._failure_reported = True
            self.core.log.warning("list server unavailable", why=reply.detail or reply.outcome.value)
            self.core.sessions.on_endpoint_list(
                self.core.now(), EndpointListUpdate(EndpointListKind.FAILED, 0, ())
            )
            self.core.schedule_step()
        requested_backoff_s = (self._reader.retry_ms or 0) / 1000.0
        backoff_s = min(_RECONNECT_BACKOFF_S * 2.0**self._reconnects, _MAX_RECONNECT_BACKOFF_S)
        self._reconnects += 1
        self.core.loop.call_later(
            max(backoff_s * (0.5 + self._rng.random()), requested_backoff_s), self._open
        )

    def _check_silence(self) -> None:
        if self._stopped:
            return
        if self.core.loop.time() - self._last_received_at > self._silence_s:
            self._last_received_at = self.core.loop.time()
            self._abort_stream()
        self.core.loop.call_later(self._silence_s / 4.0, self._check_silence)

    def _schedule_cache_write(self) -> None:
        if self._cache_path is not None and not self._cache_write_pending:
            self._cache_write_pending = True
            self.core.loop.call_later(_CACHE_WRITE_DELAY_S, self._write_cache)

    def _write_cache(self) -> None:
        if self._cache_path is None or not self._cache_write_pending:
            return
        self._cache_write_pending = False
        try:
            write_file(self._cache_path, self.endpoint_list.to_cache())
        except OSError as error:
            self.core.log.error("endpoint list not cached", file=str(self._cache_path), why=str(error))
