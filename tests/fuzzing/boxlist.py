"""The list of boxes against a model of the page: whole lists, changes on what is held, nothing by halves."""

from __future__ import annotations

import json
from random import Random
from typing import Any

from fernweir.front.endpoint_list import EndpointList, ListError, ListGapError, read_document
from fernweir.interface import EndpointListKind
from tests.fuzzing import Target, mutate, same
from tests.helpers import SETTINGS

Held = dict[int, dict[str, Any]]
DEFAULTS = {"boot": "", "age_s": None, "kind": 0, "weight": 1.0}


class Model:
    def __init__(self) -> None:
        self.epoch, self.version = "", -1
        self.boxes: Held = {}
        self.lessons: dict[str, tuple[int, int]] = {}
        self.lives: dict[int, tuple[str, float]] = {}

    def take(self, now: float, document: dict[str, Any]) -> Any:
        """What the front is told; None for nothing new, a word for what can't be taken."""
        epoch, version, base = document["epoch"], document["version"], document.get("base")
        if base is None:
            if epoch == self.epoch and version <= self.version:
                return None
        elif epoch != self.epoch or base > self.version:
            return "gap"
        elif version <= self.version:
            return None
        elif base < self.version:
            return "gap"
        boxes, lessons = document.get("boxes", []), document.get("lessons", [])
        if len({one["box"] for one in boxes}) < len(boxes):
            return "wrong"
        if any(one["cell"] >= SETTINGS.zone_count for one in [*boxes, *lessons]):
            return "wrong"
        if any(one["copies"] > SETTINGS.zone_count for one in lessons):
            return "wrong"
        if base is None:
            self.boxes, self.lessons = {}, {}
        self.epoch, self.version = epoch, version
        told = []
        for one in boxes:
            line = DEFAULTS | one
            self.boxes[one["box"]] = line
            told.append((one["box"], line["state"], self.start(now, line), line["cell"], line["weight"]))
        for one in lessons:
            self.lessons[one["title"]] = (one["cell"], one["copies"])
        return told

    def start(self, now: float, line: dict[str, Any]) -> float:
        """Of each life of a box, told by its boot, the first age counts; without a boot each is a life."""
        known = self.lives.get(line["box"])
        if known is not None and line["boot"] and known[0] == line["boot"]:
            return known[1]
        age = line["age_s"]
        start = 0.0 if age is None else max(now - age * 1_000.0, 0.0)
        self.lives[line["box"]] = (line["boot"], start)
        return start


_STATES = {0: "gone", 1: "ready", 2: "draining"}


def _same_held(ours: EndpointList, model: Model, what: object) -> None:
    held = {box: line.model_dump() for box, line in ours.servers.items()}
    fields = set(DEFAULTS) | {"box", "host", "port", "state", "cell"}
    slow = {box: {name: line[name] for name in fields} for box, line in model.boxes.items()}
    same(held, slow, what)
    same({title: (one.first_zone, one.replicas) for title, one in ours.titles.items()}, model.lessons, what)
    same((ours.epoch, ours.version), (model.epoch, model.version), what)


def check(data: bytes) -> None:
    """Documents, one a line; between two of them a second passes."""
    ours, model, now = EndpointList(SETTINGS), Model(), 10_000.0
    for line in data.split(b"\n"):
        now += 1_000.0
        try:
            document = read_document(line)
        except ListError:
            continue
        slow = model.take(now, json.loads(document.model_dump_json(exclude_unset=True)))
        try:
            take = ours.apply_full if document.base is None else ours.apply_delta
            update = take(now, document)
            said: Any = update and [
                (one.server, _STATES[one.state], one.started_at, one.zone, one.weight)
                for one in update.entries
            ]
            if update is not None:
                whole = update.kind is EndpointListKind.FULL
                same((whole, update.version), (document.base is None, document.version % 2**32), line)
        except ListGapError:
            said = "gap"
        except ListError:
            said = "wrong"
        same(said, slow, line)
        _same_held(ours, model, line)
        if model.epoch:  # what is kept is what was held
            again = EndpointList(SETTINGS)
            again.apply_full(0.0, read_document(ours.to_cache()), cached=True)
            same(
                {box: line.model_copy(update={"age_s": None}) for box, line in ours.servers.items()},
                again.servers, line,
            )  # fmt: skip
            same((again.titles, again.last_id), (ours.titles, ours.last_id), line)


_WORDS = [
    b'"', b"{", b"}", b"null", b"0", b"-1", b"1e999", b"4", b"[]", b",", b'""', b'"ready"', b'"boot":"b",',
    b'"age_s":0.5,', b'"base":3,', b"99999999999", b"\\ud800", b'"weight":0.5,', b"\n", b"NaN", b"Infinity",
]  # fmt: skip


def _box(dice: Random) -> dict[str, Any]:
    line: dict[str, Any] = {
        "box": dice.randrange(4), "host": "h", "port": 80, "cell": dice.choice([0, 1, 2, 3, 3, 4]),
        "state": dice.choice(["ready", "draining", "gone"]),
    }  # fmt: skip
    if dice.random() < 0.6:
        line["boot"] = dice.choice(["p", "p", "q", ""])
    if dice.random() < 0.8:
        line["age_s"] = dice.choice([0.0, 0.5, 3.25, 1e6])
    if dice.random() < 0.2:
        line["weight"] = dice.choice([0.5, 2.0])
    return line


def draw(dice: Random) -> bytes:
    lines, version, epoch = [], 1, "e"
    for _ in range(dice.randrange(1, 8)):
        if dice.random() < 0.1:
            epoch, version = dice.choice("efg"), 1
        version += dice.choice([0, 1, 1, 1, 1, 1, 2])
        document: dict[str, Any] = {"epoch": epoch, "version": version}
        if dice.random() < 0.6:
            document["base"] = version - dice.choice([0, 1, 1, 1, 1, 1, 2])
        document["boxes"] = [_box(dice) for _ in range(dice.randrange(4))]
        titles = dice.sample(["a", "b", "c"], dice.randrange(3))
        document["lessons"] = [
            {"title": title, "cell": dice.randrange(4), "copies": dice.randrange(1, 6)} for title in titles
        ]
        text = json.dumps(document).encode()
        lines.append(mutate(dice, text, _WORDS, 2) if dice.random() < 0.3 else text)
    return b"\n".join(lines)


TARGET = Target(check, draw)
