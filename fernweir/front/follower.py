"""Follows the list of boxes by Server-Sent Events and keeps a copy in a file. A thin shell."""

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

_FIRST_PAUSE_S, _LONGEST_PAUSE_S, _CACHE_PAUSE_S = 0.1, 5.0, 0.5


class ListFollower:
    """Resumes by `Last-Event-ID`; a stream that says nothing for `silence_s` seconds is opened anew."""

    def __init__(
        self,
        core: Dispatcher,
        pool: Pool,
        boxes: EndpointList,
        url: str,
        token: Callable[[], str],
        *,
        silence_s: float,
        cache: Path | None,
        seed: int = 0,
    ) -> None:
        parts = urlsplit(url)
        self.core, self.pool, self.boxes = core, pool, boxes
        self.listed = asyncio.Event()
        self._origin = (parts.hostname or "", parts.port or 80)
        self._target = parts.path or "/"
        self._token, self._silence_s, self._cache = token, silence_s, cache
        self._dice = Random(seed)
        self._reader = EventReader()
        self._call: Call | None = None
        self._resume = ""
        self._tries = 0
        self._failed = self._stopped = self._cache_due = False
        self._heard_at = core.loop.time()

    def start(self) -> None:
        """Takes the list in the file, if there is one, and opens the stream."""
        self._read_cache()
        self._open()
        self._watch()

    def stop(self) -> None:
        self._stopped = True
        if self._cache_due:
            self._write_cache()
        if self._call is not None:
            self._call.cancel()

    def _read_cache(self) -> None:
        if self._cache is None:
            return
        try:
            document = read_document(self._cache.read_bytes())
            update = self.boxes.apply_full(self.core.now(), document, cached=True)
        except FileNotFoundError:
            return
        except (OSError, ListError) as error:
            self.core.log.warning("kept list not used", file=str(self._cache), why=str(error))
            return
        if update is not None:
            self.core.log.info("kept list taken", version=document.version, boxes=len(self.boxes.servers))
            self._tell(update)

    def _open(self) -> None:
        if self._stopped:
            return
        self._reader, self._heard_at = EventReader(), self.core.loop.time()
        headers = [("accept", "text/event-stream"), ("authorization", f"Bearer {self._token()}")]
        if self._resume:
            headers.append(("last-event-id", self._resume))
        self._call = self.pool.request(
            self._origin, "GET", self._target, self._ended, headers=headers, on_data=self._data
        )

    def _data(self, data: bytes) -> None:
        self._heard_at = self.core.loop.time()
        try:
            for event in self._reader.feed(data):
                self._take(event)
        except ListGapError as error:
            self.core.log.warning("list has a gap", why=str(error))
            self._resume = ""
            self._break()
        except (ListError, ValueError) as error:
            self.core.log.warning("list refused", why=str(error))
            self._break()

    def _take(self, event: ServerEvent) -> None:
        if event.event not in ("whole", "changes"):
            return
        document = read_document(event.data)
        now = self.core.now()
        if event.event == "whole":
            update = self.boxes.apply_full(now, document)
            if update is None and document.version < self.boxes.version:
                held = self.boxes.version
                self.core.log.warning("list went back", version=document.version, held=held)
        else:
            update = self.boxes.apply_delta(now, document)
        self._tries, self._failed = 0, False
        self._resume = self.boxes.last_id
        if update is not None:
            if not self.boxes.servers:
                self.core.log.warning("list is empty", version=document.version)
            self._tell(update)
            self._cache_later()

    def _tell(self, update: EndpointListUpdate) -> None:
        self.listed.set()
        self.core.sessions.on_endpoint_list(self.core.now(), update)
        self.core.schedule_step()

    def _break(self) -> None:
        if self._call is not None:
            self._call.cancel()

    def _ended(self, reply: Reply) -> None:
        self._call = None
        if self._stopped:
            return
        if not self._failed:
            self._failed = True
            self.core.log.warning("list server away", why=reply.detail or reply.outcome.value)
            self.core.sessions.on_endpoint_list(
                self.core.now(), EndpointListUpdate(EndpointListKind.FAILED, 0, ())
            )
            self.core.schedule_step()
        asked = (self._reader.retry_ms or 0) / 1000.0
        pause = min(_FIRST_PAUSE_S * 2.0**self._tries, _LONGEST_PAUSE_S)
        self._tries += 1
        self.core.loop.call_later(max(pause * (0.5 + self._dice.random()), asked), self._open)

    def _watch(self) -> None:
        if self._stopped:
            return
        if self.core.loop.time() - self._heard_at > self._silence_s:
            self._heard_at = self.core.loop.time()
            self._break()
        self.core.loop.call_later(self._silence_s / 4.0, self._watch)

    def _cache_later(self) -> None:
        if self._cache is not None and not self._cache_due:
            self._cache_due = True
            self.core.loop.call_later(_CACHE_PAUSE_S, self._write_cache)

    def _write_cache(self) -> None:
        if self._cache is None or not self._cache_due:
            return
        self._cache_due = False
        try:
            write_file(self._cache, self.boxes.to_cache())
        except OSError as error:
            self.core.log.error("list not kept", file=str(self._cache), why=str(error))
