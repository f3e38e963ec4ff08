"""The endpoint list: the servers and titles that the list server last published. Free of I/O.

A document is a full list or a delta. It has an epoch, which names one incarnation of the list server, and a
version that grows within the epoch. A delta that does not build on the current version, or a version that
goes back, is never applied: the follower requests the full list instead. A valid list is applied even if it
is empty: the rule on drains has no exception for a list that looks wrong.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from fernweir.front.address_registry import AddressRegistry
from fernweir.front.names import number_of
from fernweir.interface import Endpoint, EndpointListKind, EndpointListUpdate, ServerState, Settings

ADDRESS_REASSIGNED = "another server is listed at its address"
"""Why a server cannot be reached, for logs and journals."""

_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING, "gone": ServerState.REMOVED}
_LISTS = frozenset(("boxes", "lessons"))  # fields of a document that are encoded entry by entry
Slug = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9][A-Za-z0-9._~-]*$")]


class _Strict(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")


class ServerEntry(_Strict):
    """One server. `boot` names one incarnation of its process, `age_s` is its age when the entry was sent."""

    box: Annotated[int, Field(ge=0, le=0xFFFFFFFF)]
    host: Annotated[str, Field(min_length=1, max_length=255)]
    port: Annotated[int, Field(ge=1, le=65535)]
    state: Literal["ready", "draining", "gone"]
    boot: Annotated[str, Field(max_length=64)] = ""
    age_s: Annotated[float, Field(ge=0)] | None = None
    cell: Annotated[int, Field(ge=0, le=65535)]
    kind: Annotated[int, Field(ge=0, le=255)] = 0
    weight: Annotated[float, Field(gt=0)] = 1.0


class TitleEntry(_Strict):
    """Where a title is stored: in `copies` consecutive zones (cells), starting with `cell`."""

    title: Slug
    cell: Annotated[int, Field(ge=0, le=65535)]
    copies: Annotated[int, Field(ge=1, le=65535)]


class ListDocument(_Strict):
    """A full list, or a delta to version `base` of the same epoch."""

    epoch: Annotated[str, Field(min_length=1, max_length=64)]
    version: Annotated[int, Field(ge=0)]
    base: Annotated[int, Field(ge=0)] | None = None
    boxes: list[ServerEntry] = []
    lessons: list[TitleEntry] = []


class ListError(ValueError):
    """Raised for a list document that cannot be applied; the current list stays as it is."""


class ListGapError(ListError):
    """Raised for a delta that does not build on the current list; the full list has to be requested."""


def read_document(data: str | bytes) -> ListDocument:
    """Parses and validates a list document. Raises ListError."""
    try:
        return ListDocument.model_validate_json(data)
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(map(str, first["loc"])) or "document"
        raise ListError(f"{location}: {first['msg']} ({error.error_count()} errors in total)") from None


@dataclass(frozen=True, slots=True)
class TitlePlacement:
    """The number of a title and the consecutive zones that store it."""

    number: int
    first_zone: int
    replicas: int


class EndpointList:
    """The current list, and how documents change it. Clock values are milliseconds."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.epoch = ""
        self.version = -1
        self.servers: dict[int, ServerEntry] = {}
        self.titles: dict[str, TitlePlacement] = {}
        self.title_revision = 0  # grows with each change of `titles`
        self._title_entries: dict[str, TitleEntry] = {}
        self._incarnations: dict[int, tuple[str, float]] = {}
        self._address_registry = AddressRegistry()
        self._document_count = 0
        # The cached document is made of these texts, so that a change costs one entry and not the list.
        self._cached_servers: dict[int, str] = {}
        self._uncached_servers: dict[int, None] = {}  # an ordered set
        self._cached_titles = ""
        self._cached_title_revision = 0

    @property
    def last_id(self) -> str:
        """Returns the `Last-Event-ID` of a reconnect; an empty one requests the full list."""
        return f"{self.epoch}:{self.version}" if self.epoch else ""

    def address(self, server: int) -> tuple[str, int] | None:
        """Returns the host and port of a server; None if it is not listed."""
        entry = self.servers.get(server)
        return (entry.host, entry.port) if entry is not None else None

    def is_reassigned(self, server: int) -> bool:
        """Returns whether another server is listed at the address of a server now."""
        address = self.address(server)
        return address is not None and self._address_registry.is_reassigned(server, address)

    def is_removed(self, server: int) -> bool:
        """Returns whether a server is not, or no longer, listed as one that runs."""
        entry = self.servers.get(server)
        return entry is None or entry.state == "gone"

    def apply_full(
        self, now: float, document: ListDocument, *, cached: bool = False
    ) -> EndpointListUpdate | None:
        """Replaces the list; returns None if the document's version is not newer within the same epoch."""
        if document.epoch == self.epoch and document.version <= self.version:
            return None
        self._check(document)
        self.servers = {}
        self._title_entries, self.titles = {}, {}
        self._cached_servers, self._uncached_servers = {}, {}
        return self._apply(now, document, EndpointListKind.CACHED if cached else EndpointListKind.FULL)

    def apply_delta(self, now: float, document: ListDocument) -> EndpointListUpdate | None:
        """Applies a delta; returns None if it was applied already.

        Raises ListGapError if it builds on another list.
        """
        if document.epoch != self.epoch or document.base is None or document.base > self.version:
            raise ListGapError(
                f"delta to {document.epoch}:{document.base}, current list is {self.last_id or 'empty'}"
            )
        if document.version <= self.version:
            return None
        if document.base < self.version:
            raise ListGapError(f"delta to version {document.base}, current version is {self.version}")
        self._check(document)
        return self._apply(now, document, EndpointListKind.DELTA)

    def to_cache(self) -> bytes:
        """Returns the current list as a document.

        Ages are left out: a server from the cache counts as one that has been running for a long time.
        """
        for server in self._uncached_servers:
            entry = self.servers[server].model_copy(update={"age_s": None})
            self._cached_servers[server] = _to_json(entry)
        self._uncached_servers.clear()
        if self._cached_title_revision != self.title_revision:
            self._cached_titles = ",".join(map(_to_json, self._title_entries.values()))
            self._cached_title_revision = self.title_revision
        head = _to_json(ListDocument(epoch=self.epoch or "none", version=max(self.version, 0)), _LISTS)
        servers = ",".join(self._cached_servers.values())
        return f'{head[:-1]},"boxes":[{servers}],"lessons":[{self._cached_titles}]}}'.encode()

    def _check(self, document: ListDocument) -> None:
        numbers = [entry.box for entry in document.boxes]
        if len(set(numbers)) != len(numbers):
            raise ListError("a server is listed twice")
        for entry in document.boxes:
            if entry.cell >= self._settings.zone_count:
                raise ListError(
                    f"server {entry.box}: cell {entry.cell} of {self._settings.zone_count} does not exist"
                )
        for title in document.lessons:
            if title.cell >= self._settings.zone_count or title.copies > self._settings.zone_count:
                zones = f"{title.copies} copies from cell {title.cell}, but {self._settings.zone_count} cells"
                raise ListError(f"title {title.title}: {zones}")

    def _apply(self, now: float, document: ListDocument, kind: EndpointListKind) -> EndpointListUpdate:
        self.epoch, self.version = document.epoch, document.version
        endpoints = []
        self._document_count += 1
        if kind is not EndpointListKind.DELTA:
            self._address_registry.retain({entry.box for entry in document.boxes})
        for entry in document.boxes:
            self._register_address(entry)
            self.servers[entry.box] = entry
            self._uncached_servers[entry.box] = None
            endpoints.append(
                Endpoint(
                    entry.box,
                    _STATES[entry.state],
                    self._started_at(now, entry),
                    entry.cell,
                    entry.kind,
                    entry.weight,
                )
            )
        if document.lessons or kind is not EndpointListKind.DELTA:
            self.title_revision += 1
        for title in document.lessons:
            self._title_entries[title.title] = title
            self.titles[title.title] = TitlePlacement(number_of(title.title), title.cell, title.copies)
        return EndpointListUpdate(kind, document.version & 0xFFFFFFFF, tuple(endpoints))

    def _register_address(self, entry: ServerEntry) -> None:
        """Records where a server listens. Has to be called before its incarnation is recorded."""
        if _STATES[entry.state] is ServerState.REMOVED:
            self._address_registry.remove(entry.box)
            return
        boot, _ = self._incarnations.get(entry.box, ("", 0.0))
        is_new_process = bool(entry.boot) and entry.boot != boot
        address = (entry.host, entry.port)
        self._address_registry.announce(
            entry.box, address, self._document_count, is_new_process=is_new_process
        )

    def _started_at(self, now: float, entry: ServerEntry) -> float:
        """Returns when this incarnation of the server started on our clock; 0 is a long time ago.

        Computed once per incarnation: the same age in a later document, shifted by the delay on the way,
        would look like a restart.
        """
        boot, started_at = self._incarnations.get(entry.box, ("", 0.0))
        if not entry.boot or boot != entry.boot:
            long_ago = entry.age_s is None or now - entry.age_s * 1000.0 <= 0.0
            started_at = 0.0 if long_ago or entry.age_s is None else now - entry.age_s * 1000.0
            self._incarnations[entry.box] = (entry.boot, started_at)
        return started_at


def _to_json(model: BaseModel, left_out: frozenset[str] = frozenset()) -> str:
    """Returns a model as JSON, without the fields that are left out or None."""
    content = model.model_dump(exclude_none=True, exclude=set(left_out))
    return json.dumps(content, separators=(",", ":"))
