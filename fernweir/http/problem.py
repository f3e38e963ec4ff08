"""Problem details (RFC 9457)."""

from __future__ import annotations

import json

MEDIA_TYPE = "application/problem+json"


def problem(status: int, title: str, *, kind: str = "about:blank", **members: object) -> bytes:
    """Encodes a problem document; members that are None are omitted."""
    body: dict[str, object] = {"type": kind, "title": title, "status": status}
    body.update({name: value for name, value in members.items() if value is not None})
    return json.dumps(body).encode()
