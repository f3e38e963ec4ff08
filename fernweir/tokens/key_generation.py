"""Fresh secrets as a JWK Set (RFC 7517)."""

from __future__ import annotations

import json
import secrets
from base64 import urlsafe_b64encode


def generate_key_set(*kids: str) -> str:
    """A JWK Set of fresh HS256 secrets, as text."""
    keys = [
        {
            "kty": "oct",
            "kid": kid,
            "alg": "HS256",
            "k": urlsafe_b64encode(secrets.token_bytes(32)).rstrip(b"=").decode(),
        }
        for kid in kids
    ]
    return json.dumps({"keys": keys}, indent=1)
