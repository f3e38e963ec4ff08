"""Says the book's requests to an entitlement server over HTTP; a thin shell.

`POST /leases`, `POST /leases/ID/renew`, `DELETE /keys/KEY`, each with an `Idempotency-Key` (IETF
draft-ietf-httpapi-idempotency-key-header) that is the same in every repeat. See docs/protocols.md.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Annotated
from urllib.parse import quote, urlsplit

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from fernweir.http.client import Outcome, Pool, Reply
from fernweir.seats.messages import LeaseResponse, Operation, ResponseStatus, SendLeaseRequest

_SAID = {
    403: ResponseStatus.DENIED,
    404: ResponseStatus.LEASE_UNKNOWN,
    409: ResponseStatus.NO_SEAT_FREE,
    410: ResponseStatus.LEASE_UNKNOWN,
    412: ResponseStatus.FENCED,
}


class LeaseDocument(BaseModel):
    """A lease as the server words it."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")

    lease: Annotated[str, Field(min_length=1, max_length=200)]
    fence: Annotated[int, Field(ge=0)]
    expires_in_ms: Annotated[float, Field(gt=0)]


def parse_reply(op: Operation, reply: Reply) -> LeaseResponse:
    """What an HTTP reply says. Whatever does not prove an end is doubtful."""
    if reply.outcome.never_ran:
        return LeaseResponse(ResponseStatus.NOT_EXECUTED)
    if reply.outcome is not Outcome.ANSWERED:
        return LeaseResponse(ResponseStatus.INDETERMINATE)
    if reply.status in _SAID:
        wait = reply.headers.get("retry-after")
        return LeaseResponse(
            _SAID[reply.status], retry_after_ms=float(wait) * 1000.0 if wait.isdigit() else 0.0
        )
    if not 200 <= reply.status < 300:
        return LeaseResponse(ResponseStatus.INDETERMINATE)
    if op is Operation.RELEASE:
        return LeaseResponse(ResponseStatus.SUCCEEDED)
    try:
        lease = LeaseDocument.model_validate_json(reply.body)
    except ValidationError:
        return LeaseResponse(ResponseStatus.INDETERMINATE)
    return LeaseResponse(ResponseStatus.SUCCEEDED, lease.lease, lease.fence, lease.expires_in_ms)


class EntitlementClient:
    """`name` sets this front's keys apart from those of others."""

    def __init__(self, pool: Pool, url: str, name: str, token: Callable[[], str]) -> None:
        parts = urlsplit(url)
        self._origin = (parts.hostname or "", parts.port or 80)
        self._base = parts.path.rstrip("/")
        self._pool, self._name, self._token = pool, name, token

    def send(self, command: SendLeaseRequest, done: Callable[[LeaseResponse], None]) -> None:
        seat = command.record
        key = f"{self._name}.{command.idempotency_key}"
        headers = [
            ("authorization", f"Bearer {self._token()}"),
            ("idempotency-key", f'"{key}"'),
            ("content-type", "application/json"),
        ]
        body: dict[str, object] = {}
        method, target = "POST", f"{self._base}/leases"
        if command.operation is Operation.ACQUIRE:
            body = {
                "session": seat.session_id,
                "tenant": seat.tenant,
                "lesson": seat.title,
                "class": seat.class_name,
                "person": seat.subject,
                "asked_at_ms": round(seat.requested_at_s * 1000.0),
            }
        elif command.operation is Operation.RENEW:
            target += f"/{quote(seat.lease_id, safe='')}/renew"
            body = {"fence": seat.fence, "session": seat.session_id}
        else:
            method, target = "DELETE", f"{self._base}/keys/{quote(key, safe='')}"
        self._pool.request(
            self._origin,
            method,
            target,
            lambda reply: done(parse_reply(command.operation, reply)),
            headers=headers,
            body=json.dumps(body).encode() if body else b"",
            timeout_s=command.timeout_ms / 1000.0,
        )
