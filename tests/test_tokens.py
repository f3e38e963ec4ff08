"""Tests of tokens: accepted tokens, and the fault that each rejected token reports."""

from __future__ import annotations

import json
from base64 import urlsafe_b64encode
from typing import Any

import pytest
from joserfc import jwt
from joserfc.jwk import ECKey, OctKey

from fernweir.tokens import Keyring, KeyringError, ServerClaims, SessionClaims, TokenError, TokenFault
from fernweir.tokens.key_generation import generate_key_set

KEYS = json.loads(generate_key_set("old", "new"))
EC_KEY = ECKey.generate_key("P-256", {"kid": "ec", "alg": "ES256"})
KEYS["keys"].append(EC_KEY.as_dict(private=True))
KEYRING = Keyring(KEYS, sign_with="new")
VALID_CLAIMS: dict[str, Any] = {
    "iss": "i", "aud": "front", "exp": 1100, "sub": "p", "jti": "s1", "title": "t",
    "cls": "briefing", "top": 3,
}  # fmt: skip


def encode_part(document: object) -> str:
    return urlsafe_b64encode(json.dumps(document).encode()).rstrip(b"=").decode()


def verification_fault(
    token: str, now_s: float = 1000.0, audience: str = "front", issuer: str | None = "i"
) -> TokenFault | None:
    try:
        KEYRING.verify(token, SessionClaims, audience=audience, now_s=now_s, issuer=issuer)
    except TokenError as error:
        return error.fault
    return None


def signed_token(claims: dict[str, Any], header: dict[str, Any] | None = None, key: Any = None) -> str:
    payload = {name: value for name, value in {**VALID_CLAIMS, **claims}.items() if value is not None}
    token_header = {"alg": "HS256", "kid": "new", **(header or {})}
    return jwt.encode(
        token_header, payload, key or OctKey.import_key(KEYS["keys"][1]), algorithms=[token_header["alg"]]
    )


def test_tokens_of_all_valid_keys_are_accepted() -> None:
    old_keyring = Keyring(KEYS, sign_with="old")
    ec_keyring = Keyring(KEYS, sign_with="ec")
    for keyring in (old_keyring, KEYRING, ec_keyring):
        token = keyring.sign(SessionClaims(**VALID_CLAIMS))
        # The second call uses the cache.
        assert verification_fault(token) is None and verification_fault(token) is None
        # The cache does not extend the expiry.
        assert verification_fault(token, now_s=1106.0) is TokenFault.EXPIRED
    retired = Keyring({"keys": KEYS["keys"][1:]})
    with pytest.raises(TokenError) as caught:
        retired.verify(old_keyring.sign(VALID_CLAIMS), SessionClaims, audience="front", now_s=1000.0)
    assert caught.value.fault is TokenFault.UNKNOWN_KEY


@pytest.mark.parametrize(
    ("token", "expected"),
    [
        ("", TokenFault.MISSING),
        ("a" * 5000, TokenFault.TOO_LONG),
        ("abc", TokenFault.MALFORMED),
        ("a.b.c", TokenFault.MALFORMED),
        ("e30.e30.", TokenFault.UNSIGNED),
        (
            f"{encode_part({'alg': 'none', 'kid': 'new'})}.{encode_part(VALID_CLAIMS)}.",
            TokenFault.UNSIGNED,
        ),
        (
            f"{encode_part({'alg': 'nOnE', 'kid': 'new'})}.{encode_part(VALID_CLAIMS)}.",
            TokenFault.UNSIGNED,
        ),
        (
            f"{encode_part({'alg': 'HS256', 'kid': 'no'})}.{encode_part(VALID_CLAIMS)}.x",
            TokenFault.UNKNOWN_KEY,
        ),
        (
            f"{encode_part({'alg': 'HS256', 'kid': 'new', 'crit': ['b64']})}.{encode_part(VALID_CLAIMS)}.x",
            TokenFault.MALFORMED,
        ),
        (
            f"{encode_part({'alg': 'HS512', 'kid': 'new'})}.{encode_part(VALID_CLAIMS)}.x",
            TokenFault.ALGORITHM,
        ),
        # The EC public key used as an HMAC secret (algorithm confusion).
        (
            f"{encode_part({'alg': 'HS256', 'kid': 'ec'})}.{encode_part(VALID_CLAIMS)}.x",
            TokenFault.ALGORITHM,
        ),
        (signed_token({})[:-4] + "AAAA", TokenFault.SIGNATURE),
        (signed_token({}, key=OctKey.generate_key(256)), TokenFault.SIGNATURE),
        (signed_token({"jti": None}), TokenFault.CLAIMS),
        (signed_token({"top": "3"}), TokenFault.CLAIMS),
        (signed_token({"top": -1}), TokenFault.CLAIMS),
        (signed_token({"jti": "../x"}), TokenFault.CLAIMS),
        (signed_token({"exp": None}), TokenFault.CLAIMS),
        (signed_token({"iss": "j"}), TokenFault.ISSUER),
        (signed_token({"aud": ["other", "fronts"]}), TokenFault.AUDIENCE),
        (signed_token({"exp": 994}), TokenFault.EXPIRED),
        (signed_token({"nbf": 1006}), TokenFault.NOT_YET),
        (signed_token({"iat": 2000}), TokenFault.NOT_YET),
        (signed_token({"exp": 996}), None),  # within the clock skew of 5 seconds
        (signed_token({"nbf": 1004, "aud": ["x", "front"]}), None),
    ],
)
def test_rejected_token_reports_its_fault(token: str, expected: TokenFault | None) -> None:
    assert verification_fault(token) is expected


def test_viewer_token_is_not_accepted_as_a_server_token() -> None:
    token = KEYRING.sign(SessionClaims(**VALID_CLAIMS))
    with pytest.raises(TokenError):
        KEYRING.verify(token, ServerClaims, audience="front", now_s=1000.0)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("no", "not JSON"),
        ("[]", "not a JSON object"),
        ('{"keys": []}', "non-empty"),
        ('{"keys": [{"kty": "oct"}]}', "no kid"),
        ('{"keys": [{"kty": "oct", "kid": "a", "alg": "ES256", "k": "AA"}]}', "alg"),
        ('{"keys": [{"kty": "oct", "kid": "a", "alg": "HS256", "k": "AA"}]}', "under 32 bytes"),
    ],
)
def test_invalid_key_sets_are_rejected(text: str, message: str) -> None:
    with pytest.raises(KeyringError, match=message):
        Keyring.from_json(text)
