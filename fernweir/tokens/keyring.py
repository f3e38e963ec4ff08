"""Signing and verification keys by key ID, each bound to one algorithm (RFC 7517; RFC 8725, 3.1 and 3.2).

A token's header selects the key, and the key alone determines the algorithm. Several keys are valid at the
same time, so a new key can be distributed to all verifiers before any token is signed with it.
"""

from __future__ import annotations

import json
from base64 import urlsafe_b64decode
from binascii import Error as Base64Error
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from joserfc import jwt
from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OctKey, OKPKey, RSAKey
from pydantic import ValidationError

from fernweir.tokens.claims import Claims, TokenError, TokenFault

Key = OctKey | ECKey | OKPKey | RSAKey
_KEY_CLASSES: dict[str, type[Key]] = {"oct": OctKey, "EC": ECKey, "OKP": OKPKey, "RSA": RSAKey}
_KEY_TYPE_OF_ALGORITHM = {"HS256": "oct", "ES256": "EC", "Ed25519": "OKP", "RS256": "RSA", "PS256": "RSA"}
_MIN_SECRET_BYTES = 32  # RFC 7518, section 3.2
_JWT_PARTS = 3  # header, payload, signature
ClaimsT = TypeVar("ClaimsT", bound=Claims)


class KeyringError(ValueError):
    """Raised when a key set cannot be used; the message names the key and the reason."""


@dataclass(frozen=True, slots=True)
class ExpectedClaims:
    """The audience and issuer that a token must have; an issuer of None accepts any."""

    audience: str
    issuer: str | None = None


class Keyring:
    """Verifies tokens with any of its keys and signs with one of them.

    The claims of a token with a valid signature and schema are cached; its times are checked at each use.

    Args:
        keys: A JWK Set as parsed from JSON.
        sign_with: The ID of the signing key; by default that of the first key.
        skew_s: Tolerated difference between the clocks of issuer and verifier, in seconds.
        max_length: Maximum length of a token, in characters.
        cache: Maximum number of verified tokens in the cache.

    Raises:
        KeyringError: The key set has no usable keys, or one of them is invalid.
    """

    def __init__(
        self,
        keys: Mapping[str, Any],
        *,
        sign_with: str | None = None,
        skew_s: float = 5.0,
        max_length: int = 4_096,
        cache: int = 4_096,
    ) -> None:
        self.skew_s = skew_s
        self.max_length = max_length
        self._keys = _import_key_set(keys)
        self._cache_size = cache
        self._cache: OrderedDict[tuple[str, type[Claims]], Claims] = OrderedDict()
        self._own_key_ids = set(self._keys)
        self._issued_key_ids: set[str] = set()
        self._retired_until_s: dict[str, float] = {}
        self.sign_with = sign_with or next(iter(self._keys))
        if self.sign_with not in self._keys:
            raise KeyringError(f"the key set has no key {self.sign_with} to sign with")

    @classmethod
    def from_json(cls, text: str, *, sign_with: str | None = None, skew_s: float = 5.0) -> Keyring:
        """Returns a keyring with the keys of a JWK Set.

        Args:
            text: The JSON text of the JWK Set.
            sign_with: The ID of the signing key; by default that of the first key.
            skew_s: Tolerated clock difference in seconds.

        Raises:
            KeyringError: The text is not a JWK Set, or a key in it cannot be used.
        """
        try:
            keys = json.loads(text)
        except ValueError:
            raise KeyringError("the key set is not JSON") from None
        if not isinstance(keys, dict):
            raise KeyringError("the key set is not a JSON object")
        return cls(keys, sign_with=sign_with, skew_s=skew_s)

    def replace_issued_keys(self, issued: Keyring, now_s: float, retired_for_s: float) -> list[str]:
        """Replaces the issuer's keys with those of its current set; this keyring's own keys are unchanged.

        A key that the set no longer lists still verifies tokens for `retired_for_s`, because sessions with
        tokens signed by it are still active. It is removed after that time, or when the set again lists a key
        with the same ID.

        Args:
            issued: The issuer's current key set.
            now_s: Wall clock time in seconds.
            retired_for_s: How long a key remains valid after its removal from the set, in seconds.

        Returns:
            The IDs of the keys that are retired and still valid.
        """
        for key_id in self._issued_key_ids - set(issued._keys):
            self._retired_until_s.setdefault(key_id, now_s + retired_for_s)
        self._retired_until_s = {
            key_id: until_s
            for key_id, until_s in self._retired_until_s.items()
            if until_s > now_s and key_id not in issued._keys
        }
        own = {key_id: key for key_id, key in self._keys.items() if key_id in self._own_key_ids}
        retired = {key_id: self._keys[key_id] for key_id in self._retired_until_s if key_id in self._keys}
        self._keys = {**retired, **issued._keys, **own}
        self._issued_key_ids = set(issued._keys)
        # A cached token may have been verified with a key that has been removed or replaced.
        self._cache.clear()
        return list(self._retired_until_s)

    @property
    def key_ids(self) -> list[str]:
        """The IDs of all valid keys."""
        return list(self._keys)

    def thumbprints(self) -> list[tuple[str, bytes]]:
        """Returns the ID and the thumbprint (RFC 7638) of each key."""
        return [(key_id, key.thumbprint().encode()) for key_id, (key, _) in self._keys.items()]

    def sign(self, claims: Claims | Mapping[str, Any]) -> str:
        """Returns a token with the claims, signed with the key `sign_with`."""
        key, algorithm = self._keys[self.sign_with]
        payload = claims.model_dump(exclude_none=True) if isinstance(claims, Claims) else dict(claims)
        header = {"alg": algorithm, "kid": self.sign_with}
        return jwt.encode(header, payload, key, algorithms=[algorithm])

    def verify(
        self,
        token: str,
        schema: type[ClaimsT],
        *,
        audience: str,
        now_s: float,
        issuer: str | None = None,
    ) -> ClaimsT:
        """Returns the claims of a valid token.

        Args:
            token: The token in compact serialization.
            schema: The claims that it must have.
            audience: The audience that the token must contain.
            now_s: Wall clock time in seconds.
            issuer: The issuer that it must have; None accepts any.

        Raises:
            TokenError: The token is not valid; the error contains the reason.
        """
        expected = ExpectedClaims(audience, issuer)
        return self.verify_renewable(token, schema, expected, now_s=now_s, is_renewed=_is_never_renewed)

    def verify_renewable(
        self,
        token: str,
        schema: type[ClaimsT],
        expected: ExpectedClaims,
        *,
        now_s: float,
        is_renewed: Callable[[ClaimsT], bool],
    ) -> ClaimsT:
        """Returns the claims of a token that is valid, or is expired but has been renewed.

        Args:
            token: The token in compact serialization.
            schema: The claims that it must have.
            expected: The audience and issuer that it must have.
            now_s: Wall clock time in seconds.
            is_renewed: Whether something else, such as a renewed lease, extends the validity of an expired
                token with these claims.

        Raises:
            TokenError: The token is not valid; the error contains the reason.
        """
        claims = self._authenticate(token, schema)
        audiences = [claims.aud] if isinstance(claims.aud, str) else claims.aud
        if expected.issuer is not None and claims.iss != expected.issuer:
            raise TokenError(TokenFault.ISSUER, claims.iss)
        if expected.audience not in audiences:
            raise TokenError(TokenFault.AUDIENCE, ", ".join(audiences))
        is_expired = claims.exp + self.skew_s <= now_s
        if is_expired and not is_renewed(claims):
            raise TokenError(TokenFault.EXPIRED)
        if max(claims.nbf or 0.0, claims.iat or 0.0) - self.skew_s > now_s:
            raise TokenError(TokenFault.NOT_YET)
        return claims

    def _authenticate(self, token: str, schema: type[ClaimsT]) -> ClaimsT:
        """Returns the claims of a token with a valid signature and schema, from the cache if present."""
        cached = self._cache.get((token, schema))
        if cached is not None:
            assert isinstance(cached, schema)
            return cached
        claims = self._decode(token, schema)
        self._cache[token, schema] = claims
        if len(self._cache) > self._cache_size:
            self._cache.popitem(last=False)
        return claims

    def _decode(self, token: str, schema: type[ClaimsT]) -> ClaimsT:
        if not token:
            raise TokenError(TokenFault.MISSING)
        if len(token) > self.max_length:
            raise TokenError(TokenFault.TOO_LONG)
        key, algorithm = self._select_key(_decode_header(token))
        try:
            payload = jwt.decode(token, key, algorithms=[algorithm]).claims
        except (JoseError, ValueError, TypeError, UnicodeError) as error:
            raise TokenError(TokenFault.SIGNATURE, type(error).__name__) from None
        try:
            return schema.model_validate(payload)
        except ValidationError as error:
            locations = {".".join(map(str, detail["loc"])) for detail in error.errors()}
            raise TokenError(TokenFault.CLAIMS, ", ".join(sorted(locations))) from None

    def _select_key(self, header: Mapping[str, Any]) -> tuple[Key, str]:
        """Returns the key that a token's header selects, and its algorithm."""
        algorithm, key_id = header.get("alg"), header.get("kid")
        if not isinstance(algorithm, str) or algorithm.lower() == "none":
            raise TokenError(TokenFault.UNSIGNED)
        if not isinstance(key_id, str) or key_id not in self._keys:
            raise TokenError(TokenFault.UNKNOWN_KEY)
        key, expected_algorithm = self._keys[key_id]
        if algorithm != expected_algorithm:
            raise TokenError(TokenFault.ALGORITHM, f"{algorithm} with a key of {expected_algorithm}")
        return key, expected_algorithm


def _is_never_renewed(_claims: Claims) -> bool:
    return False


def _import_key_set(key_set: Mapping[str, Any]) -> dict[str, tuple[Key, str]]:
    """Returns key and algorithm by key id."""
    members = key_set.get("keys")
    if not isinstance(members, list) or not members:
        raise KeyringError("a key set needs a non-empty list 'keys'")
    keys: dict[str, tuple[Key, str]] = {}
    for index, member in enumerate(members):
        key_id, key, algorithm = _import_key(member, index)
        if key_id in keys:
            raise KeyringError(f"key {key_id}: listed twice")
        keys[key_id] = (key, algorithm)
    return keys


def _import_key(member: object, index: int) -> tuple[str, Key, str]:
    if not isinstance(member, dict) or not isinstance(member.get("kid"), str):
        raise KeyringError(f"key {index}: no kid, or kid is not a string")
    key_id, algorithm = member["kid"], str(member.get("alg"))
    if _KEY_TYPE_OF_ALGORITHM.get(algorithm) != member.get("kty"):
        raise KeyringError(f"key {key_id}: alg {algorithm} is unknown or does not match the kty")
    try:
        key = _KEY_CLASSES[member["kty"]].import_key(member)
    except (JoseError, ValueError, TypeError, KeyError) as error:
        raise KeyringError(f"key {key_id}: {error}") from None
    if isinstance(key, OctKey) and len(key.raw_value) < _MIN_SECRET_BYTES:
        raise KeyringError(f"key {key_id}: the secret is under {_MIN_SECRET_BYTES} bytes")
    return key_id, key, algorithm


def _decode_header(token: str) -> dict[str, Any]:
    parts = token.split(".")
    if len(parts) != _JWT_PARTS or not token.isascii():
        raise TokenError(TokenFault.MALFORMED)
    padding = "=" * (-len(parts[0]) % 4)
    try:
        header = json.loads(urlsafe_b64decode(parts[0] + padding))
    except (ValueError, Base64Error, RecursionError):
        raise TokenError(TokenFault.MALFORMED) from None
    if not isinstance(header, dict) or "crit" in header:
        raise TokenError(TokenFault.MALFORMED)
    return header
