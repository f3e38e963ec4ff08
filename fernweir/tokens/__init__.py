"""Session tokens: JWTs (RFC 7519) whose keys, claims and reasons for refusal are all explicit."""

from fernweir.tokens.claims import ControlClaims, ServerClaims, SessionClaims, TokenError, TokenFault
from fernweir.tokens.keyring import Keyring, KeyringError

__all__ = [
    "ControlClaims",
    "Keyring",
    "KeyringError",
    "ServerClaims",
    "SessionClaims",
    "TokenError",
    "TokenFault",
]
