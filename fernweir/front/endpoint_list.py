"""The list of boxes and lessons as this front has been told it; free of I/O.

Documents come whole or as differences, each with an epoch (one life of the list server) and a version that
grows within it. A difference that doesn't build on what is held, or a version that goes back, is never
applied: the whole list is asked for. What is told is obeyed even if it leaves nothing: the rule on drains
has no exception for a list that looks wrong.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from fernweir.front.names import number_of
from fernweir.interface import Endpoint, EndpointListKind, EndpointListUpdate, ServerState, Settings

_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING, "gone": ServerState.REMOVED}
Slug = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9][A-Za-z0-9._~-]*$")]


class _Strict(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")


class ServerEntry(_Strict):
    """One box. `boot` names one life of its process, `age_s` how long that had lasted when this was sent."""

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
    """Where a lesson lies: `copies` cells in a row from `cell`."""

    title: Slug
    cell: Annotated[int, Field(ge=0, le=65535)]
    copies: Annotated[int, Field(ge=1, le=65535)]


class ListDocument(_Strict):
    epoch: Annotated[str, Field(min_length=1, max_length=64)]
    version: Annotated[int, Field(ge=0)]
    base: Annotated[int, Field(ge=0)] | None = None
    boxes: list[ServerEntry] = []
    lessons: list[TitleEntry] = []


class ListError(ValueError):
    """A list document can't be taken; the text says why. What was held stays."""


class ListGapError(ListError):
    """The document doesn't build on what is held: ask for the whole list."""


def read_document(data: str | bytes) -> ListDocument:
    try:
        return ListDocument.model_validate_json(data)
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(map(str, first["loc"])) or "document"
        raise ListError(f"{where}: {first['msg']} ({error.error_count()} in all)") from None


@dataclass(frozen=True, slots=True)
class TitlePlacement:
    number: int
    first_zone: int
    replicas: int


class EndpointList:
    """What is held, and how a document changes it. Clock values are milliseconds."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.epoch = ""
        self.version = -1
        self.servers: dict[int, ServerEntry] = {}
        self.titles: dict[str, TitlePlacement] = {}
        self._lesson_lines: dict[str, TitleEntry] = {}
        self._started: dict[int, tuple[str, float]] = {}

    @property
    def last_id(self) -> str:
        """What a reconnect sends as `Last-Event-ID`; empty asks for the whole list."""
        return f"{self.epoch}:{self.version}" if self.epoch else ""

    def address(self, box: int) -> tuple[str, int] | None:
        line = self.servers.get(box)
        return (line.host, line.port) if line is not None else None

    def apply_full(
        self, now: float, document: ListDocument, *, cached: bool = False
    ) -> EndpointListUpdate | None:
        """A whole list; None if it is older than what is held of the same epoch, or the same."""
        if document.epoch == self.epoch and document.version <= self.version:
            return None
        self._check(document)
        self.servers = {}
        self._lesson_lines, self.titles = {}, {}
        return self._apply(now, document, EndpointListKind.CACHED if cached else EndpointListKind.FULL)

    def apply_delta(self, now: float, document: ListDocument) -> EndpointListUpdate | None:
        """Differences; None if they are known already. ListGapError if they build on something else."""
        if document.epoch != self.epoch or document.base is None or document.base > self.version:
            raise ListGapError(
                f"changes on {document.epoch}:{document.base}, held is {self.last_id or 'nothing'}"
            )
        if document.version <= self.version:
            return None
        if document.base < self.version:
            raise ListGapError(f"changes on version {document.base}, held is {self.version}")
        self._check(document)
        return self._apply(now, document, EndpointListKind.DELTA)

    def to_cache(self) -> bytes:
        """The held list as a document. Ages are left out: a cached box counts as running for long."""
        document = ListDocument(
            epoch=self.epoch or "none",
            version=max(self.version, 0),
            boxes=[line.model_copy(update={"age_s": None}) for line in self.servers.values()],
            lessons=list(self._lesson_lines.values()),
        )
        return json.dumps(document.model_dump(exclude_none=True), separators=(",", ":")).encode()

    def _check(self, document: ListDocument) -> None:
        numbers = [line.box for line in document.boxes]
        if len(set(numbers)) != len(numbers):
            raise ListError("a box is listed twice")
        for line in document.boxes:
            if line.cell >= self._settings.zone_count:
                raise ListError(f"box {line.box}: cell {line.cell} of {self._settings.zone_count}")
        for lesson in document.lessons:
            if lesson.cell >= self._settings.zone_count or lesson.copies > self._settings.zone_count:
                where = f"cells {lesson.cell}+{lesson.copies} of {self._settings.zone_count}"
                raise ListError(f"lesson {lesson.title}: {where}")

    def _apply(self, now: float, document: ListDocument, kind: EndpointListKind) -> EndpointListUpdate:
        self.epoch, self.version = document.epoch, document.version
        entries = []
        for line in document.boxes:
            self.servers[line.box] = line
            entries.append(
                Endpoint(
                    line.box,
                    _STATES[line.state],
                    self._start_of(now, line),
                    line.cell,
                    line.kind,
                    line.weight,
                )
            )
        for lesson in document.lessons:
            self._lesson_lines[lesson.title] = lesson
            self.titles[lesson.title] = TitlePlacement(number_of(lesson.title), lesson.cell, lesson.copies)
        return EndpointListUpdate(kind, document.version & 0xFFFFFFFF, tuple(entries))

    def _start_of(self, now: float, line: ServerEntry) -> float:
        """When this life of the box began on our clock; 0 is long ago.

        Counted once a life: an age told again, later by the time on the way, would look like a restart.
        """
        boot, started = self._started.get(line.box, ("", 0.0))
        if not line.boot or boot != line.boot:
            old = line.age_s is None or now - line.age_s * 1000.0 <= 0.0
            started = 0.0 if old or line.age_s is None else now - line.age_s * 1000.0
            self._started[line.box] = (line.boot, started)
        return started
