"""The control feed against a model: each event once, in order, and nothing changed by anything else."""

from __future__ import annotations

import json
import math
from random import Random
from typing import Any

from fernweir.front.names import number_of
from fernweir.interface import EndpointListKind, EndpointListUpdate
from fernweir.node.endpoint_feed import EndpointFeed, FeedError
from tests.fuzzing import Target, mutate, same

KINDS = ("std", "big")
OFFSET_MS = 1_700_000_000_000.0
Told = tuple[str, int, list[Any]]


class _AskAgain(Exception):
    pass


class Model:
    """What a node knows of the list: the last event's number, and each server's address by its name."""

    def __init__(self) -> None:
        self.last, self.addresses = 0, dict[str, tuple[str, int]]()
        self.unread: bytes | None = None  # an event that could not be read: the same again is taken in part

    def line(self, line: bytes) -> Told | None:
        try:
            body = json.loads(line)
        except (ValueError, RecursionError):
            raise _AskAgain from None
        if type(body) is int:
            if body > self.last:
                raise _AskAgain
            return None
        if not isinstance(body, dict) or type(body.get("n")) is not int:
            raise _AskAgain
        if body["n"] <= self.last:
            return None
        if body["n"] != self.last + 1:
            raise _AskAgain
        again, self.unread = line == self.unread, None
        try:
            told = self.members(body.get("members"))
        except _AskAgain:
            self.unread = line
            if not again:
                raise
            part = self.part(body["members"])
            if part is not None and self.addresses:
                part["snapshot"] = False  # what a list that isn't all there doesn't name stays as it is
            told = self.members(part)
        self.last = body["n"]
        return told

    def members(self, members: Any) -> Told | None:
        if not isinstance(members, dict):
            return None
        if not isinstance(members.get("endpoints"), list) or not isinstance(members.get("index"), int):
            raise _AskAgain
        read = [self.endpoint(one) for one in members["endpoints"]]
        for name, there, _ in read:
            self.addresses[name] = there
        kind = "whole" if members.get("snapshot") is True else "changes"
        return kind, members["index"] % 2**32, [entry for _, _, entry in read]

    def part(self, members: Any) -> Any:
        """What can be read of it; nothing if it is no list of endpoints."""
        if not isinstance(members.get("endpoints"), list) or not isinstance(members.get("index"), int):
            return None
        good = []
        for one in members["endpoints"]:
            try:
                self.endpoint(one)
                good.append(one)
            except _AskAgain:
                continue
        return {**members, "endpoints": good}

    def endpoint(self, line: Any) -> tuple[str, tuple[str, int], Any]:
        if not isinstance(line, dict):
            raise _AskAgain
        name, state, there = line.get("name"), line.get("status"), line.get("address")
        if not isinstance(name, str) or any("\ud800" <= one <= "\udfff" for one in name):
            raise _AskAgain
        if state not in ("up", "draining", "removed") or line.get("type") not in KINDS:
            raise _AskAgain
        try:
            group, weight = int(line["group"]), float(line["weight"])
            since = float(line["since_ms"] or 0)
        except (KeyError, TypeError, ValueError, OverflowError):
            raise _AskAgain from None
        if not math.isfinite(weight) or not math.isfinite(since) or not isinstance(there, str):
            raise _AskAgain
        host, colon, port = there.rpartition(":")
        parts = host.split(".")
        plain = all(one and len(one) <= 3 and all(c in "0123456789" for c in one) for one in parts)
        # Numbers from 0 to 255, without leading zeros (RFC 6943, 3.1.1): there is no DNS to ask for a name.
        good = plain and len(parts) == 4 and all(int(one) < 256 and str(int(one)) == one for one in parts)
        good = good and colon and port and all(one in "0123456789" for one in port)
        if not good or not 0 < int(port[-4_000:]) < 65_536:
            raise _AskAgain
        start = max(since - OFFSET_MS, 0.0) if since > 0.0 else 0.0
        number = {"removed": 0, "up": 1, "draining": 2}[state]
        return name, (host, int(port)), (name, number, start, group, KINDS.index(line["type"]), weight)


def _told(update: EndpointListUpdate | None, names: dict[int, str]) -> Told | None:
    if update is None:
        return None
    kind = "whole" if update.kind is EndpointListKind.FULL else "changes"
    entries = [
        (names[one.server], int(one.state.value), one.started_at, one.zone, one.server_type, one.weight)
        for one in update.entries
    ]
    return kind, update.version, entries


def check(data: bytes) -> None:
    """Lines of a feed, as they came; after a line that asks again the feed goes on from the last number."""
    feed, model = EndpointFeed(KINDS, OFFSET_MS), Model()
    for line in data.split(b"\n"):
        try:
            slow: object = model.line(line)
        except _AskAgain:
            slow = "ask again"
        try:
            update = feed.apply_line(line)
            ours: object = _told(update, feed.names)
        except FeedError:
            ours = "ask again"
        same(repr(ours), repr(slow), line)
        same(feed.last_sequence_number, model.last, line)
        same({feed.names[one]: there for one, there in feed.addresses.items()}, model.addresses, line)
        same(all(number_of(name) == one for one, name in feed.names.items()), True, line)


_WORDS = [
    b'"', b"{", b"}", b"null", b"true", b"0", b"-1", b"1e999", b"NaN", b"\\ud800", b"[]", b",", b"\n",
    b'""', b'"up"', b'"removed"', b'":99999"', b'"a:0"', b"9" * 330, b"1.5", b'"2"', b"\xff", b"7\n",
    b'["std"]',
]  # fmt: skip


def draw(dice: Random) -> bytes:
    lines, n = [], dice.choice([1, 1, 1, 2])
    for _ in range(dice.randrange(1, 8)):
        endpoints = [
            {"name": f"s-{dice.randrange(4)}", "address": f"10.0.0.1:{dice.randrange(70_000)}", "zone": "a",
             "type": dice.choice(["std", "big", "std", "odd"]), "group": dice.randrange(4),
             "status": dice.choice(["up", "draining", "removed"]), "weight": dice.choice([1, 2.5]),
             "since_ms": dice.choice([0, 0, 1_700_000_000_500, 5, None])}
            for _ in range(dice.randrange(3))
        ]  # fmt: skip
        whole = n < 2 or dice.random() < 0.2
        event: dict[str, Any] = {
            "n": n, "members": {"index": n, "snapshot": whole, "endpoints": endpoints}
        }  # fmt: skip
        if dice.random() < 0.1:
            event["members"] = dice.choice([None, 3, {"index": 1}, {"endpoints": [], "index": "1"}])
        text = json.dumps(event).encode()
        lines.append(mutate(dice, text, _WORDS, 2) if dice.random() < 0.4 else text)
        if dice.random() < 0.3:
            lines.append(lines[-1])
        if dice.random() < 0.2:
            lines.append(b"%d" % (n + dice.randrange(-1, 2)))
        n += dice.choice([0, 1, 1, 1, 1, 2])
    return b"\n".join(lines)


TARGET = Target(check, draw)
