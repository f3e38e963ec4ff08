"""What the seat log holds: one JSON array a record, and the state that they fold into."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any


class RecordError(ValueError):
    """A record or snapshot has a good checksum and says nothing that is known."""


@dataclass(slots=True)
class Kept:
    """One seat as the log knows it: asked for under a key, perhaps held under a lease.

    Treated as a value, never changed; not frozen, as making frozen ones slows recovery. `until` is wall
    time in seconds, for after a restart; while the front runs, monotonic time decides.
    """

    session: str
    generation: int
    tenant: str
    lesson: str
    cls: str
    person: str
    worth: float
    lease: str = ""
    fence: int = 0
    until: float = 0.0


Table = dict[str, Kept]


def asked(seat: Kept) -> bytes:
    return _encode(["ask", *_row(seat)])


def held(session: str, lease: str, fence: int, until: float) -> bytes:
    return _encode(["held", session, lease, fence, until])


def gone(session: str) -> bytes:
    return _encode(["gone", session])


def fold(table: Table, body: bytes) -> None:
    """Applies one record to the table."""
    try:
        record = json.loads(body)
        kind = record[0]
        if kind == "ask":
            table[record[1]] = Kept(*record[1:])
        elif kind == "held":
            _, session, lease, fence, until = record
            old = table.get(session)
            if old is not None:
                table[session] = Kept(
                    session, old.generation, old.tenant, old.lesson, old.cls, old.person, old.worth,
                    lease, fence, until,
                )  # fmt: skip
        elif kind == "gone":
            table.pop(record[1], None)
        else:
            raise RecordError(f"unknown record {kind!r}")
    except (ValueError, TypeError, LookupError) as error:
        raise RecordError(f"record {body[:40]!r}: {error}") from None


def encode_table(table: Table) -> bytes:
    return _encode([_row(seat) for seat in table.values()])


def decode_table(body: bytes | None) -> Table:
    if body is None:
        return {}
    try:
        return {row[0]: Kept(*row) for row in json.loads(body)}
    except (ValueError, TypeError, LookupError) as error:
        raise RecordError(f"snapshot: {error}") from None


def fold_all(snapshot: bytes | None, records: Iterable[tuple[int, bytes]]) -> Table:
    """The table that a recovered log stands for."""
    table = decode_table(snapshot)
    for _, body in records:
        fold(table, body)
    return table


def _row(seat: Kept) -> list[object]:
    return [
        seat.session, seat.generation, seat.tenant, seat.lesson, seat.cls, seat.person, seat.worth,
        seat.lease, seat.fence, seat.until,
    ]  # fmt: skip


def _encode(document: list[Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
