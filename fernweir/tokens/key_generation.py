"""Generates secret keys as a JWK Set (RFC 7517)."""

from __future__ import annotations

import json
import secrets
from base64 import urlsafe_b64encode

_SECRET_BYTES = 32


def generate_key_set(*key_ids: str) -> str:
    """Returns the JSON text of a JWK Set with one new HS256 secret for each key ID."""
    keys = [
        {
            "kty": "oct",
            "kid": key_id,
            "alg": "HS256",
            "k": urlsafe_b64encode(secrets.token_bytes(_SECRET_BYTES)).rstrip(b"=").decode(),
        }
        for key_id in key_ids
    ]
    return json.dumps({"keys": keys}, indent=1)
