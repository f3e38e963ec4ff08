"""Encodes the records of the seat log as JSON arrays and rebuilds the table of seats from them."""

from __future__ import annotations

import gc
import json
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import orjson


class RecordError(ValueError):
    """Raised when a record or snapshot with a valid checksum cannot be decoded."""


@dataclass(slots=True)
class SeatRecord:
    """One seat as the log stores it: requested under an idempotency key and, once granted, with a lease.

    Instances are never modified; the class is not frozen because creating frozen instances slows recovery.

    Attributes:
        session_id: The session.
        generation: The number of the acquisition; with the session ID it is the idempotency key.
        tenant: The tenant whose seats are counted.
        title: The title to be played.
        class_name: The session's class.
        subject: The viewer, as the token names it.
        priority_weight: The weight of the session in the send queue.
        lease_id: The server's ID of the lease, or an empty string before the grant.
        fence: The fencing number of the lease.
        expires_at_s: Wall time in seconds when the lease expires, for use after a restart; a running front
            uses monotonic time.
        requested_at_s: Wall time in seconds of the acquisition's first request. If two fronts request a seat
            for the same session, the later request wins.
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

    def with_lease(self, lease_id: str, fence: int) -> SeatRecord:
        """Returns the record after a grant or renewal; an empty `lease_id` keeps the current lease."""
        return SeatRecord(
            self.session_id,
            self.generation,
            self.tenant,
            self.title,
            self.class_name,
            self.subject,
            self.priority_weight,
            lease_id or self.lease_id,
            fence,
            self.expires_at_s,
            self.requested_at_s,
        )

    def with_generation(self, generation: int, requested_at_s: float) -> SeatRecord:
        """Returns the record of a new acquisition of the same seat, which has no lease yet."""
        return SeatRecord(
            self.session_id,
            generation,
            self.tenant,
            self.title,
            self.class_name,
            self.subject,
            self.priority_weight,
            requested_at_s=requested_at_s,
        )


SeatTable = dict[str, SeatRecord]
"""Seats by session ID."""

_DECODE_BATCH_SIZE = 4_096
_LEASE_COLUMN, _FENCE_COLUMN, _EXPIRY_COLUMN = 7, 8, 9
_MAX_QUOTED_BYTES = 40


def encode_requested(record: SeatRecord) -> bytes:
    """Encodes the record that is logged before a seat is requested."""
    return _encode(["ask", *_row(record)])


def encode_granted(session_id: str, lease_id: str, fence: int, expires_at_s: float) -> bytes:
    """Encodes the record of a granted lease; `expires_at_s` is wall time in seconds."""
    return _encode(["held", session_id, lease_id, fence, expires_at_s])


def encode_removed(session_id: str) -> bytes:
    """Encodes the record of a seat that is no longer held."""
    return _encode(["gone", session_id])


def apply_record(table: SeatTable, body: bytes) -> None:
    """Applies one record to the table.

    Raises:
        RecordError: The record cannot be decoded.
    """
    try:
        _apply_decoded(table, json.loads(body))
    except (ValueError, TypeError, LookupError) as error:
        raise RecordError(f"record {body[:_MAX_QUOTED_BYTES]!r}: {error}") from None


def _apply_decoded(table: SeatTable, fields: list[Any]) -> None:
    kind = fields[0]
    if kind == "ask":
        table[fields[1]] = SeatRecord(*fields[1:])
    elif kind == "held":
        _, session_id, lease_id, fence, expires_at_s = fields
        requested = table.get(session_id)
        if requested is not None:
            row = _row(requested)
            row[_LEASE_COLUMN] = lease_id
            row[_FENCE_COLUMN] = fence
            row[_EXPIRY_COLUMN] = expires_at_s
            table[session_id] = SeatRecord(*row)
    elif kind == "gone":
        table.pop(fields[1], None)
    else:
        raise RecordError(f"unknown record {kind!r}")


def encode_table(table: SeatTable) -> bytes:
    """Encodes the table for a snapshot."""
    return _encode([_row(record) for record in table.values()])


def decode_table(body: bytes | None) -> SeatTable:
    """Decodes a snapshot; returns an empty table for None.

    Raises:
        RecordError: The snapshot cannot be decoded.
    """
    if body is None:
        return {}
    try:
        return {row[0]: SeatRecord(*row) for row in json.loads(body)}
    except (ValueError, TypeError, LookupError) as error:
        raise RecordError(f"snapshot: {error}") from None


def rebuild_table(snapshot: bytes | None, log_records: Sequence[tuple[int, bytes]]) -> SeatTable:
    """Returns the table of a recovered log.

    The result is that of `apply_record` for each record, in a third of the time. Records are decoded in
    batches and applied to rows. If a batch fails, all records are applied one by one, so that the error
    names the invalid record.

    Args:
        snapshot: The snapshot, or None.
        log_records: The records after it, with their sequence numbers.

    Raises:
        RecordError: The snapshot or a record cannot be decoded.
    """
    with _paused_garbage_collector():
        rows: dict[str, list[Any]] = {
            record.session_id: _row(record) for record in decode_table(snapshot).values()
        }
        for first in range(0, len(log_records), _DECODE_BATCH_SIZE):
            bodies = [body for _, body in log_records[first : first + _DECODE_BATCH_SIZE]]
            try:
                _apply_to_rows(rows, bodies)
            except (ValueError, TypeError, LookupError):
                return _rebuild_one_by_one(snapshot, log_records)
        try:
            return {session_id: SeatRecord(*row) for session_id, row in rows.items()}
        except TypeError:
            return _rebuild_one_by_one(snapshot, log_records)


def _rebuild_one_by_one(snapshot: bytes | None, log_records: Iterable[tuple[int, bytes]]) -> SeatTable:
    table = decode_table(snapshot)
    for _, body in log_records:
        apply_record(table, body)
    return table


def _apply_to_rows(rows: dict[str, list[Any]], bodies: list[bytes]) -> None:
    batch = orjson.loads(b"[" + b",".join(bodies) + b"]")
    if len(batch) != len(bodies):
        raise ValueError("the batch does not decode into one array for each record")
    for fields in batch:
        kind, session_id = fields[0], fields[1]
        if kind == "held":
            _, _, lease_id, fence, expires_at_s = fields
            row = rows.get(session_id)
            if row is not None:
                # Assigns by index, so that a row that is too short raises an error instead of growing.
                row[_LEASE_COLUMN] = lease_id
                row[_FENCE_COLUMN] = fence
                row[_EXPIRY_COLUMN] = expires_at_s
        elif kind == "ask":
            del fields[0]
            rows[session_id] = fields
        elif kind == "gone":
            rows.pop(session_id, None)
        else:
            raise ValueError("unknown record")


@contextmanager
def _paused_garbage_collector() -> Iterator[None]:
    """Pauses the garbage collector: with a million new rows, none in a cycle, it takes half of the time."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _row(record: SeatRecord) -> list[Any]:
    return [
        record.session_id,
        record.generation,
        record.tenant,
        record.title,
        record.class_name,
        record.subject,
        record.priority_weight,
        record.lease_id,
        record.fence,
        record.expires_at_s,
        record.requested_at_s,
    ]


def _encode(document: list[Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
