"""Keys by id, each bound to one algorithm (RFC 7517, RFC 8725 sections 3.1 and 3.2).

A token names its key; the key, never the token, says which algorithm holds. Several keys are in force at
once, so a new one is added everywhere before anybody signs with it.
"""

from __future__ import annotations

import json
from base64 import urlsafe_b64decode
from binascii import Error as Base64Error
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from joserfc import jwt
from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OctKey, OKPKey, RSAKey
from pydantic import ValidationError

from fernweir.tokens.claims import Claims, TokenError, TokenFault

Key = OctKey | ECKey | OKPKey | RSAKey
_KINDS: dict[str, type[Key]] = {"oct": OctKey, "EC": ECKey, "OKP": OKPKey, "RSA": RSAKey}
_ALGORITHMS = {"HS256": "oct", "ES256": "EC", "Ed25519": "OKP", "RS256": "RSA", "PS256": "RSA"}
_LEAST_SECRET_BYTES = 32  # RFC 7518, 3.2
C = TypeVar("C", bound=Claims)


class KeyringError(ValueError):
    """The key set can't be used; the text says which key and why."""


class Keyring:
    """Verifies tokens by any of its keys and signs with one.

    `skew_s` is how far the clocks of issuer and verifier may lie apart. Signatures and schemas found good
    are remembered for `cache` tokens; times are judged anew at each use.
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
        self.skew_s, self.max_length = skew_s, max_length
        self._keys: dict[str, tuple[Key, str]] = {}
        self._cache_size = cache
        self._cache: OrderedDict[tuple[str, type[Claims]], Claims] = OrderedDict()
        members = keys.get("keys")
        if not isinstance(members, list) or not members:
            raise KeyringError("a key set needs a non-empty list 'keys'")
        for index, member in enumerate(members):
            kid, key, algorithm = self._import(member, index)
            if kid in self._keys:
                raise KeyringError(f"key {kid}: listed twice")
            self._keys[kid] = (key, algorithm)
        self._own = set(self._keys)
        self._issued: set[str] = set()
        self._retired: dict[str, float] = {}
        self.sign_with = sign_with or next(iter(self._keys))
        if self.sign_with not in self._keys:
            raise KeyringError(f"no key {self.sign_with} to sign with")

    @classmethod
    def from_json(cls, text: str, *, sign_with: str | None = None, skew_s: float = 5.0) -> Keyring:
        """From the text of a JWK Set. KeyringError when it is none."""
        try:
            keys = json.loads(text)
        except ValueError:
            raise KeyringError("the key set is not JSON") from None
        if not isinstance(keys, dict):
            raise KeyringError("the key set is not a JSON object")
        return cls(keys, sign_with=sign_with, skew_s=skew_s)

    def replace_issued_keys(self, issued: Keyring, now_s: float, retired_for_s: float) -> list[str]:
        """Takes the keys of a newer set beside the own ones; tells those that it no longer lists.

        A key that left the set still verifies for `retired_for_s`: tokens signed with it are out, and their
        viewers watch. After that, or if the set lists another key of the same id, it is gone.
        """
        for kid in self._issued - set(issued._keys):
            self._retired.setdefault(kid, now_s + retired_for_s)
        for kid in [kid for kid, until in self._retired.items() if until <= now_s or kid in issued._keys]:
            del self._retired[kid]
        own = {kid: key for kid, key in self._keys.items() if kid in self._own}
        kept = {kid: self._keys[kid] for kid in self._retired if kid in self._keys}
        self._keys = {**kept, **issued._keys, **own}
        self._issued = set(issued._keys)
        self._cache.clear()  # what a key vouched for is judged anew by the keys of now
        return list(self._retired)

    @property
    def key_ids(self) -> list[str]:
        return list(self._keys)

    def thumbprints(self) -> list[tuple[str, bytes]]:
        """Each key's id and thumbprint (RFC 7638)."""
        return [(kid, key.thumbprint().encode()) for kid, (key, _) in self._keys.items()]

    @staticmethod
    def _import(member: Any, index: int) -> tuple[str, Key, str]:
        if not isinstance(member, dict) or not isinstance(member.get("kid"), str):
            raise KeyringError(f"key {index}: no kid")
        kid, algorithm = member["kid"], str(member.get("alg"))
        if _ALGORITHMS.get(algorithm) != member.get("kty"):
            raise KeyringError(f"key {kid}: alg {algorithm} is unknown or not of its kty")
        try:
            key = _KINDS[member["kty"]].import_key(member)
        except (JoseError, ValueError, TypeError, KeyError) as error:
            raise KeyringError(f"key {kid}: {error}") from None
        if isinstance(key, OctKey) and len(key.raw_value) < _LEAST_SECRET_BYTES:
            raise KeyringError(f"key {kid}: secret of under {_LEAST_SECRET_BYTES} bytes")
        return kid, key, algorithm

    def sign(self, claims: Claims | Mapping[str, Any]) -> str:
        key, algorithm = self._keys[self.sign_with]
        body = claims.model_dump(exclude_none=True) if isinstance(claims, Claims) else dict(claims)
        return jwt.encode({"alg": algorithm, "kid": self.sign_with}, body, key, algorithms=[algorithm])

    def verify(
        self,
        token: str,
        schema: type[C],
        *,
        audience: str,
        now_s: float,
        issuer: str | None = None,
        may_accept_expired: Callable[[C], bool] | None = None,
    ) -> C:
        """The claims of a good token; TokenError with the reason for any other.

        `covered` is asked about a token that is good but for its expiry: whether something renewed since,
        a lease that is held, stands in for it.
        """
        cached = self._cache.get((token, schema))
        if cached is None:
            claims = self._decode(token, schema)
            self._cache[token, schema] = claims
            if len(self._cache) > self._cache_size:
                self._cache.popitem(last=False)
        else:
            assert isinstance(cached, schema)
            claims = cached
        audiences = [claims.aud] if isinstance(claims.aud, str) else claims.aud
        if issuer is not None and claims.iss != issuer:
            raise TokenError(TokenFault.ISSUER, claims.iss)
        if audience not in audiences:
            raise TokenError(TokenFault.AUDIENCE, ", ".join(audiences))
        lapsed = claims.exp + self.skew_s <= now_s
        if lapsed and not (may_accept_expired is not None and may_accept_expired(claims)):
            raise TokenError(TokenFault.EXPIRED)
        if max(claims.nbf or 0.0, claims.iat or 0.0) - self.skew_s > now_s:
            raise TokenError(TokenFault.NOT_YET)
        return claims

    def _decode(self, token: str, schema: type[C]) -> C:
        if not token:
            raise TokenError(TokenFault.MISSING)
        if len(token) > self.max_length:
            raise TokenError(TokenFault.TOO_LONG)
        header = _header(token)
        algorithm, kid = header.get("alg"), header.get("kid")
        if not isinstance(algorithm, str) or algorithm.lower() == "none":
            raise TokenError(TokenFault.UNSIGNED)
        if not isinstance(kid, str) or kid not in self._keys:
            raise TokenError(TokenFault.UNKNOWN_KEY)
        key, expected = self._keys[kid]
        if algorithm != expected:
            raise TokenError(TokenFault.ALGORITHM, f"{algorithm} with a key of {expected}")
        try:
            body = jwt.decode(token, key, algorithms=[expected]).claims
        except (JoseError, ValueError, TypeError, UnicodeError) as error:
            raise TokenError(TokenFault.SIGNATURE, type(error).__name__) from None
        try:
            return schema.model_validate(body)
        except ValidationError as error:
            fields = ", ".join(sorted({".".join(map(str, one["loc"])) for one in error.errors()}))
            raise TokenError(TokenFault.CLAIMS, fields) from None


def _header(token: str) -> dict[str, Any]:
    parts = token.split(".")
    if len(parts) != 3 or not token.isascii():
        raise TokenError(TokenFault.MALFORMED)
    try:
        header = json.loads(urlsafe_b64decode(parts[0] + "=" * (-len(parts[0]) % 4)))
    except (ValueError, Base64Error, RecursionError):
        raise TokenError(TokenFault.MALFORMED) from None
    if not isinstance(header, dict) or "crit" in header:
        raise TokenError(TokenFault.MALFORMED)
    return header
