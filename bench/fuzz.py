"""Mutates requests, responses, manifests, streams and tokens for as long as asked, from a seed.

    python -m bench.fuzz --seconds 60 --seed 1

A parser must give the same for any split and raise nothing but its own error.
"""

from __future__ import annotations

import json
import time
from contextlib import suppress
from random import Random

import click

from fernweir.dash.build import Title, build_mpd
from fernweir.dash.mpd import MpdError, read_mpd
from fernweir.front.boxlist import ListError, read_document
from fernweir.http.parse import Data, HttpEvent, Limits, RequestParser, ResponseParser
from fernweir.http.sse import EventReader
from fernweir.rehearsal.hostile import PAYLOADS
from fernweir.tokens import Keyring, SessionClaims, TokenError
from fernweir.tokens.newkeys import make_keys

SMALL = Limits(line=200, head=400, fields=8, body=300)


def mutate(dice: Random, data: bytes) -> bytes:
    out = bytearray(data)
    for _ in range(dice.randrange(1, 8)):
        at = dice.randrange(len(out) + 1)
        if dice.random() < 0.2 and len(out) > 4:
            start = dice.randrange(len(out) - 2)
            out[at:at] = out[start : start + dice.randrange(1, 40)]
        else:
            out[at : at + dice.randrange(3)] = bytes(
                dice.choices(b"\r\n\0 :;0aA\xff,<>/\"'&=!-[]", k=dice.randrange(4))
            )
    return bytes(out)


def merged(events: list[HttpEvent]) -> list[HttpEvent]:
    out: list[HttpEvent] = []
    for event in events:
        if isinstance(event, Data) and out and isinstance(out[-1], Data):
            out[-1] = Data(out[-1].body + event.body)
        else:
            out.append(event)
    return out


def split_parse(parser: RequestParser | ResponseParser, data: bytes, cut: int) -> list[HttpEvent]:
    return merged(parser.feed(data[:cut]) + parser.feed(data[cut:]) + parser.eof())


@click.command()
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(seconds: float, seed: int) -> None:
    """Run until the time is over; a finding is raised with its bytes."""
    dice, count, end = Random(seed), 0, time.monotonic() + seconds
    requests = [data[:3000] for data in PAYLOADS.values()]
    replies = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 204 No\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n",
    ]
    mpd = build_mpd(Title("a & b", 10, 2, [100, 200])).write()
    document = json.dumps({"epoch": "e", "version": 1, "boxes": [], "lessons": []}).encode()
    ring = Keyring.read(make_keys("k"))
    token = ring.sign({"iss": "i", "aud": "a", "exp": 2e9}).encode()
    while time.monotonic() < end:
        count += 1
        data = mutate(dice, dice.choice(requests))
        cut = dice.randrange(len(data) + 1)
        if split_parse(RequestParser(SMALL), data, cut) != split_parse(RequestParser(SMALL), data, 0):
            raise SystemExit(f"split {cut} of {data!r}")
        data = mutate(dice, dice.choice(replies))
        cut, parsers = dice.randrange(len(data) + 1), (ResponseParser(SMALL), ResponseParser(SMALL))
        for parser in parsers:
            parser.expect("GET")
            parser.expect("GET")
        if split_parse(parsers[0], data, cut) != split_parse(parsers[1], data, 0):
            raise SystemExit(f"split {cut} of {data!r}")
        with suppress(MpdError):
            read_mpd(mutate(dice, mpd))
        with suppress(ListError):
            read_document(mutate(dice, document))
        try:
            text = mutate(dice, token).decode("latin-1")
            ring.verify(text, SessionClaims, audience="a", now_s=1.0)
            raise SystemExit(f"token taken: {text!r}")
        except TokenError:
            pass
        EventReader().feed(mutate(dice, b"event: a\ndata: b\n\ndata: c\n\n"))
    print(f"{count} rounds from seed {seed}, nothing found")


if __name__ == "__main__":
    main()
