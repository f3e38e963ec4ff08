"""What the seat log holds: one JSON array a record, and the state that they fold into."""

from __future__ import annotations

import gc
import json
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import orjson


class RecordError(ValueError):
    """A record or snapshot has a good checksum and says nothing that is known."""


@dataclass(slots=True)
class SeatRecord:
    """One seat as the log knows it: asked for under a key, perhaps held under a lease.

    Treated as a value, never changed; not frozen, as making frozen ones slows recovery. `until` is wall
    time in seconds, for after a restart; while the front runs, monotonic time decides. `asked_at` is wall
    time too, of the first ask under this generation: of two fronts that ask for one session, the later one
    has it.
    """

    session_id: str
    generation: int
    tenant: str
    title: str
    class_name: str
    subject: str
    priority_weight: float
    lease_id: str = ""
    fence: int = 0
    expires_at_s: float = 0.0
    requested_at_s: float = 0.0


SeatTable = dict[str, SeatRecord]
_BATCH = 4_096
_LEASE = 7  # where a row's lease, fence and time begin


def encode_requested(seat: SeatRecord) -> bytes:
    return _encode(["ask", *_row(seat)])


def encode_granted(session: str, lease: str, fence: int, until: float) -> bytes:
    return _encode(["held", session, lease, fence, until])


def encode_removed(session: str) -> bytes:
    return _encode(["gone", session])


def apply_record(table: SeatTable, body: bytes) -> None:
    """Applies one record to the table."""
    try:
        record = json.loads(body)
        kind = record[0]
        if kind == "ask":
            table[record[1]] = SeatRecord(*record[1:])
        elif kind == "held":
            _, session, lease, fence, until = record
            old = table.get(session)
            if old is not None:
                table[session] = SeatRecord(
                    session,
                    old.generation,
                    old.tenant,
                    old.title,
                    old.class_name,
                    old.subject,
                    old.priority_weight,
                    lease,
                    fence,
                    until,
                    old.requested_at_s,
                )
        elif kind == "gone":
            table.pop(record[1], None)
        else:
            raise RecordError(f"unknown record {kind!r}")
    except (ValueError, TypeError, LookupError) as error:
        raise RecordError(f"record {body[:40]!r}: {error}") from None


def encode_table(table: SeatTable) -> bytes:
    return _encode([_row(seat) for seat in table.values()])


def decode_table(body: bytes | None) -> SeatTable:
    if body is None:
        return {}
    try:
        return {row[0]: SeatRecord(*row) for row in json.loads(body)}
    except (ValueError, TypeError, LookupError) as error:
        raise RecordError(f"snapshot: {error}") from None


def rebuild_table(snapshot: bytes | None, records: Sequence[tuple[int, bytes]]) -> SeatTable:
    """The table that a recovered log stands for; as `fold` over all, a third of its time.

    Records are decoded many at once and folded as rows; a batch that doesn't decode into as many arrays as
    it had records is folded one by one, so that the error names the record.
    """
    with _collector_paused():
        rows: dict[str, list[Any]] = {seat.session_id: _row(seat) for seat in decode_table(snapshot).values()}
        for first in range(0, len(records), _BATCH):
            bodies = [body for _, body in records[first : first + _BATCH]]
            try:
                _fold_rows(rows, bodies)
            except (ValueError, TypeError, LookupError):
                return _fold_slowly(snapshot, records)
        try:
            return {session: SeatRecord(*row) for session, row in rows.items()}
        except TypeError:
            return _fold_slowly(snapshot, records)


def _fold_slowly(snapshot: bytes | None, records: Iterable[tuple[int, bytes]]) -> SeatTable:
    table = decode_table(snapshot)
    for _, body in records:
        apply_record(table, body)
    return table


def _fold_rows(rows: dict[str, list[Any]], bodies: list[bytes]) -> None:
    batch = orjson.loads(b"[" + b",".join(bodies) + b"]")
    if len(batch) != len(bodies):
        raise ValueError("not one array a record")
    for record in batch:
        kind, session = record[0], record[1]
        if kind == "held":
            _, _, lease, fence, until = record
            row = rows.get(session)
            if row is not None:
                row[_LEASE], row[_LEASE + 1], row[_LEASE + 2] = lease, fence, until
        elif kind == "ask":
            del record[0]
            rows[session] = record
        elif kind == "gone":
            rows.pop(session, None)
        else:
            raise ValueError("unknown record")


@contextmanager
def _collector_paused() -> Iterator[None]:
    """A million rows made at once hold no cycles; looking for some again and again costs half the time."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()


def _row(seat: SeatRecord) -> list[Any]:
    return [
        seat.session_id,
        seat.generation,
        seat.tenant,
        seat.title,
        seat.class_name,
        seat.subject,
        seat.priority_weight,
        seat.lease_id,
        seat.fence,
        seat.expires_at_s,
        seat.requested_at_s,
    ]


def _encode(document: list[Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
