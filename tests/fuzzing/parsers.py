"""Parsers without a model: they raise nothing but their own error, and no forged token is taken."""

from __future__ import annotations

import json
from contextlib import suppress
from random import Random

from fernweir.dash.build import Title, build_mpd
from fernweir.dash.mpd import MpdError, read_mpd
from fernweir.front.endpoint_list import ListError, read_document
from fernweir.tokens import Keyring, SessionClaims, TokenError
from fernweir.tokens.key_generation import generate_key_set
from tests.fuzzing import Finding, Target, mutate

_MPD = build_mpd(Title("a & b", 10, 2, [100, 200])).write()
_LIST = json.dumps(
    {"epoch": "e", "version": 1, "lessons": [{"title": "a", "cell": 0, "copies": 1}],
     "boxes": [{"box": 1, "host": "h", "port": 1, "state": "ready", "cell": 0, "age_s": 1.5}]}
).encode()  # fmt: skip
_RING = Keyring.from_json(generate_key_set("k"))
_TOKEN = _RING.sign({"iss": "i", "aud": "a", "exp": 2e9}).encode()


def check(data: bytes) -> None:
    """The first byte says whose bytes the others are."""
    kind, rest = data[:1], data[1:]
    if kind == b"m":
        with suppress(MpdError):
            read_mpd(rest)
    elif kind == b"l":
        with suppress(ListError):
            read_document(rest)
    elif kind == b"t" and rest != _TOKEN:
        with suppress(TokenError):
            _RING.verify(rest.decode("latin-1"), SessionClaims, audience="a", now_s=1.0)
            raise Finding(f"token taken: {rest!r}")


_WORDS = [b"\r\n", b"\0", b" ", b":", b"<", b">", b"/", b'"', b"&", b"]", b"[", b"-", b"\xff", b"1e999", b"."]


def draw(dice: Random) -> bytes:
    kind, data = dice.choice([(b"m", _MPD), (b"l", _LIST), (b"t", _TOKEN)])
    return kind + (mutate(dice, data, _WORDS) or b"x")


TARGET = Target(check, draw)
