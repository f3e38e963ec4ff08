"""Sends the seat manager's requests to an entitlement server over HTTP, and decodes the replies.

`POST /leases`, `POST /leases/ID/renew`, `DELETE /keys/KEY`, each with an `Idempotency-Key` (IETF
draft-ietf-httpapi-idempotency-key-header) that is the same in every retry. See docs/protocols.md.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Annotated
from urllib.parse import quote, urlsplit

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from fernweir.http.client import Outcome, Pool, Reply
from fernweir.seats.messages import LeaseResponse, Operation, ResponseStatus, SendLeaseRequest

_STATUS_OF_HTTP_CODE = {
    403: ResponseStatus.DENIED,
    404: ResponseStatus.LEASE_UNKNOWN,
    409: ResponseStatus.NO_SEAT_FREE,
    410: ResponseStatus.LEASE_UNKNOWN,
    412: ResponseStatus.FENCED,
}
_DEFAULT_PORT = 80
_MS_PER_S = 1000.0


class LeaseDocument(BaseModel):
    """The JSON body of a reply to an acquisition or renewal."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")

    lease: Annotated[str, Field(min_length=1, max_length=200)]
    fence: Annotated[int, Field(ge=0)]
    expires_in_ms: Annotated[float, Field(gt=0)]


def parse_reply(operation: Operation, reply: Reply) -> LeaseResponse:
    """Returns the response that an HTTP reply represents.

    The status is INDETERMINATE unless the reply proves that the request succeeded, failed or was not run.

    Args:
        operation: The operation that was requested.
        reply: The reply, or how the request failed.
    """
    if reply.outcome.never_ran:
        return LeaseResponse(ResponseStatus.NOT_EXECUTED)
    if reply.outcome is not Outcome.ANSWERED:
        return LeaseResponse(ResponseStatus.INDETERMINATE)
    if reply.status in _STATUS_OF_HTTP_CODE:
        return LeaseResponse(_STATUS_OF_HTTP_CODE[reply.status], retry_after_ms=_retry_after_ms(reply))
    if not 200 <= reply.status < 300:
        return LeaseResponse(ResponseStatus.INDETERMINATE)
    if operation is Operation.RELEASE:
        return LeaseResponse(ResponseStatus.SUCCEEDED)
    try:
        response = LeaseDocument.model_validate_json(reply.body)
    except ValidationError:
        return LeaseResponse(ResponseStatus.INDETERMINATE)
    return LeaseResponse(ResponseStatus.SUCCEEDED, response.lease, response.fence, response.expires_in_ms)


def _retry_after_ms(reply: Reply) -> float:
    """Returns the Retry-After delay of a reply in milliseconds, or 0; dates are ignored."""
    value = reply.headers.get("retry-after")
    return float(value) * _MS_PER_S if value.isdigit() else 0.0


class EntitlementClient:
    """Sends lease requests to an entitlement server.

    Args:
        pool: The connection pool.
        url: The URL of the server; its path is the prefix of the request targets.
        name: The prefix of this front's idempotency keys, unique among the fronts.
        token: Returns a valid control token.
    """

    def __init__(self, pool: Pool, url: str, name: str, token: Callable[[], str]) -> None:
        parts = urlsplit(url)
        self._origin = (parts.hostname or "", parts.port or _DEFAULT_PORT)
        self._base_path = parts.path.rstrip("/")
        self._pool = pool
        self._name = name
        self._token = token

    def send(self, command: SendLeaseRequest, on_reply: Callable[[LeaseResponse], None]) -> None:
        """Sends a request; `on_reply` is called once with its outcome."""
        key = f"{self._name}.{command.idempotency_key}"
        headers = [
            ("authorization", f"Bearer {self._token()}"),
            ("idempotency-key", f'"{key}"'),
            ("content-type", "application/json"),
        ]
        method, target = self._method_and_target(command, key)
        body = _request_body(command)
        self._pool.request(
            self._origin,
            method,
            target,
            lambda reply: on_reply(parse_reply(command.operation, reply)),
            headers=headers,
            body=json.dumps(body).encode() if body else b"",
            timeout_s=command.timeout_ms / _MS_PER_S,
        )

    def _method_and_target(self, command: SendLeaseRequest, key: str) -> tuple[str, str]:
        if command.operation is Operation.ACQUIRE:
            return "POST", f"{self._base_path}/leases"
        if command.operation is Operation.RENEW:
            return "POST", f"{self._base_path}/leases/{quote(command.record.lease_id, safe='')}/renew"
        return "DELETE", f"{self._base_path}/keys/{quote(key, safe='')}"


def _request_body(command: SendLeaseRequest) -> dict[str, object]:
    """Returns the members of the JSON body; empty for a release."""
    seat = command.record
    if command.operation is Operation.ACQUIRE:
        return {
            "session": seat.session_id,
            "tenant": seat.tenant,
            "lesson": seat.title,
            "class": seat.class_name,
            "person": seat.subject,
            "asked_at_ms": round(seat.requested_at_s * _MS_PER_S),
        }
    if command.operation is Operation.RENEW:
        return {"fence": seat.fence, "session": seat.session_id}
    return {}
