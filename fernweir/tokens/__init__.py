"""Signs and verifies session tokens: JWTs (RFC 7519) with explicit keys, claims and rejection reasons."""

from fernweir.tokens.claims import ControlClaims, ServerClaims, SessionClaims, TokenError, TokenFault
from fernweir.tokens.keyring import ExpectedClaims, Keyring, KeyringError

__all__ = [
    "ControlClaims",
    "ExpectedClaims",
    "Keyring",
    "KeyringError",
    "ServerClaims",
    "SessionClaims",
    "TokenError",
    "TokenFault",
]
