"""Tokens: what is taken, and each reason for refusal by its own name."""

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
EC = ECKey.generate_key("P-256", {"kid": "ec", "alg": "ES256"})
KEYS["keys"].append(EC.as_dict(private=True))
RING = Keyring(KEYS, sign_with="new")
GOOD: dict[str, Any] = {
    "iss": "i", "aud": "front", "exp": 1100, "sub": "p", "jti": "s1", "title": "t",
    "cls": "briefing", "top": 3,
}  # fmt: skip


def b64(document: object) -> str:
    return urlsafe_b64encode(json.dumps(document).encode()).rstrip(b"=").decode()


def fault(
    token: str, now: float = 1000.0, audience: str = "front", issuer: str | None = "i"
) -> TokenFault | None:
    try:
        RING.verify(token, SessionClaims, audience=audience, now_s=now, issuer=issuer)
    except TokenError as error:
        return error.fault
    return None


def signed(change: dict[str, Any], header: dict[str, Any] | None = None, key: Any = None) -> str:
    body = {name: value for name, value in {**GOOD, **change}.items() if value is not None}
    head = {"alg": "HS256", "kid": "new", **(header or {})}
    return jwt.encode(head, body, key or OctKey.import_key(KEYS["keys"][1]), algorithms=[head["alg"]])


def test_every_key_in_force_is_taken() -> None:
    old = Keyring(KEYS, sign_with="old")
    curve = Keyring(KEYS, sign_with="ec")
    for ring in (old, RING, curve):
        token = ring.sign(SessionClaims(**GOOD))
        assert fault(token) is None and fault(token) is None  # the second from memory
        assert fault(token, now=1106.0) is TokenFault.EXPIRED  # which forgets no expiry
    retired = Keyring({"keys": KEYS["keys"][1:]})
    with pytest.raises(TokenError) as caught:
        retired.verify(old.sign(GOOD), SessionClaims, audience="front", now_s=1000.0)
    assert caught.value.fault is TokenFault.UNKNOWN_KEY


@pytest.mark.parametrize(
    ("token", "expected"),
    [
        ("", TokenFault.MISSING),
        ("a" * 5000, TokenFault.TOO_LONG),
        ("abc", TokenFault.MALFORMED),
        ("a.b.c", TokenFault.MALFORMED),
        ("e30.e30.", TokenFault.UNSIGNED),
        (f"{b64({'alg': 'none', 'kid': 'new'})}.{b64(GOOD)}.", TokenFault.UNSIGNED),
        (f"{b64({'alg': 'nOnE', 'kid': 'new'})}.{b64(GOOD)}.", TokenFault.UNSIGNED),
        (f"{b64({'alg': 'HS256', 'kid': 'no'})}.{b64(GOOD)}.x", TokenFault.UNKNOWN_KEY),
        (f"{b64({'alg': 'HS256', 'kid': 'new', 'crit': ['b64']})}.{b64(GOOD)}.x", TokenFault.MALFORMED),
        (f"{b64({'alg': 'HS512', 'kid': 'new'})}.{b64(GOOD)}.x", TokenFault.ALGORITHM),
        # The public key of the curve as a shared secret: the classic confusion.
        (f"{b64({'alg': 'HS256', 'kid': 'ec'})}.{b64(GOOD)}.x", TokenFault.ALGORITHM),
        (signed({})[:-4] + "AAAA", TokenFault.SIGNATURE),
        (signed({}, key=OctKey.generate_key(256)), TokenFault.SIGNATURE),
        (signed({"jti": None}), TokenFault.CLAIMS),
        (signed({"top": "3"}), TokenFault.CLAIMS),
        (signed({"top": -1}), TokenFault.CLAIMS),
        (signed({"jti": "../x"}), TokenFault.CLAIMS),
        (signed({"exp": None}), TokenFault.CLAIMS),
        (signed({"iss": "j"}), TokenFault.ISSUER),
        (signed({"aud": ["other", "fronts"]}), TokenFault.AUDIENCE),
        (signed({"exp": 994}), TokenFault.EXPIRED),
        (signed({"nbf": 1006}), TokenFault.NOT_YET),
        (signed({"iat": 2000}), TokenFault.NOT_YET),
        (signed({"exp": 996}), None),  # within the skew of five seconds
        (signed({"nbf": 1004, "aud": ["x", "front"]}), None),
    ],
)
def test_each_fault_by_its_name(token: str, expected: TokenFault | None) -> None:
    assert fault(token) is expected


def test_a_viewers_token_is_no_boxes_token() -> None:
    token = RING.sign(SessionClaims(**GOOD))
    with pytest.raises(TokenError):
        RING.verify(token, ServerClaims, audience="front", now_s=1000.0)


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("no", "not JSON"),
        ("[]", "not a JSON object"),
        ('{"keys": []}', "non-empty"),
        ('{"keys": [{"kty": "oct"}]}', "no kid"),
        ('{"keys": [{"kty": "oct", "kid": "a", "alg": "ES256", "k": "AA"}]}', "alg"),
        ('{"keys": [{"kty": "oct", "kid": "a", "alg": "HS256", "k": "AA"}]}', "under 32 bytes"),
    ],
)
def test_key_sets_that_are_refused(text: str, word: str) -> None:
    with pytest.raises(KeyringError, match=word):
        Keyring.from_json(text)
