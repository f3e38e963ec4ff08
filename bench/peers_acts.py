"""What the record of acts costs a front, and what questions over it take against a plain scan.

python -m bench.peers_acts [--acts 1000000] [--fronts 30] [--seed 1]

All fronts run in this process without a network between them: a question's time is the CPU of all of them
together, `most at one` that of the front that has the most to do. Loads are drawn, simulated.
"""

from __future__ import annotations

import time
import tracemalloc
import zlib
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from random import Random

import click

from fernweir.peers.acts.chain import Chain
from fernweir.peers.acts.clock import Clocks, Relation, Sample
from fernweir.peers.acts.copies import Copies
from fernweir.peers.acts.merge import Answer, Answered
from fernweir.peers.acts.messages import Keep
from fernweir.peers.acts.plan import Acts, AfterDrain, Question, Refusal, Still
from fernweir.peers.acts.questions import Questions
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.store import Store
from fernweir.peers.acts.versions import Versions
from fernweir.peers.base import Send
from fernweir.peers.port import AuditEvent, AuditRecord

RULES = replace(ActRules(), own_bytes=1 << 30, peer_bytes=1 << 30, copies_bytes=1 << 30, rows=1 << 20)
DEEDS = (AuditEvent.SETUP,) * 8 + (AuditEvent.MOVE, AuditEvent.REFUSED)
Plain = tuple[str, AuditRecord, Versions]


def draw(dice: Random, count: int, rate: float, lists: list[Versions]) -> list[tuple[AuditRecord, Versions]]:
    """Acts of one front at `rate` a second: the list changes at its own moment, few boxes drain."""
    at, acts = 0.0, []
    moment = count * (0.5 + 0.1 * dice.random())
    for number in range(count):
        at += dice.expovariate(rate / 1_000)
        if dice.random() < 0.0005:
            act = AuditRecord(at, AuditEvent.DRAIN, box=dice.randrange(130))
        else:
            session = f"{dice.getrandbits(128):032x}"
            act = AuditRecord(at, dice.choice(DEEDS), session, f"lesson-{dice.randrange(40)}",
                      f"t{dice.randrange(5)}", dice.randrange(130), dice.choice(("", "full")))  # fmt: skip
        acts.append((act, lists[number > moment]))
    return acts


def cost(acts: list[tuple[AuditRecord, Versions]], rate: float) -> None:
    """Bytes and time an act adds on the path: chain, store with index, two sends; packed as on the wire."""
    chain = Chain("front-00", 1_800_000_000_000, RULES)
    copies = Copies("front-00", 1_800_000_000_000, RULES, chain, Store("front-00", RULES))
    copies.members(0.0, {"front-01": 1, "front-02": 2})
    began, blocks, due = time.process_time(), 0, float("inf")
    for act, versions in acts:
        if act.at >= due:
            copies.tick(act.at)
            for effect in copies.take_effects():
                if isinstance(effect, Send):  # as if acknowledged at once
                    blocks += 1
                    assert isinstance(effect.message, Keep)
                    copies._own.lines[str(effect.to)].kept((effect.message.number,), (), 1, chain.number)
        chain.add(act, versions)
        due = chain.next_deadline() or float("inf")
    took = (time.process_time() - began) / len(acts) * 1e6
    began = time.process_time()
    plain = Chain("front-00", 1_800_000_000_000, RULES)
    for act, versions in acts:
        plain.tick(act.at)
        plain.add(act, versions)
    sealed = plain.take()
    alone = (time.process_time() - began) / len(acts) * 1e6
    raw = sum(len(one.data) for one in sealed) / len(acts)
    packed = sum(min(len(one.data), len(zlib.compress(one.data, 1))) for one in sealed) / len(acts)
    shelf = copies.store.shelf("front-00", 1_800_000_000_000)
    assert shelf is not None
    held = sum(len(one.data or b"") for one in shelf.segments) / max(
        1, sum(one.acts for one in shelf.segments)
    )
    print(f"{rate:.0f} acts/s: {raw:.1f} B an act in blocks, {packed:.1f} packed as sent to each holder,"
          f" {held:.1f} in segments, {shelf.size / len(acts):.1f} in memory with index;"
          f" {took:.1f} us an act on the path, of that {alone:.1f} chain and sealing")  # fmt: skip


class Fleet:
    """Fronts whose messages arrive at once, each one's CPU counted."""

    def __init__(self, names: list[str], seed: int) -> None:
        self.spent: dict[str, float] = defaultdict(float)
        self.copies: dict[str, Copies] = {}
        self.parts: dict[str, Questions] = {}
        self.bytes = 0
        for name in names:
            chain = Chain(name, 1, RULES)
            copies = self.copies[name] = Copies(name, 1, RULES, chain, Store(name, RULES))
            clocks = Clocks(name, 1, RULES, seed)
            for other in names:  # as exchanges would have told it: within 1 ms, every 5 s
                samples = [Sample(at, at - 0.5, at + 0.5) for at in range(0, 1_500_000, 20_000)]
                clocks._relations[other] = {1: Relation(RULES.drift, RULES.samples, samples)}
            self.parts[name] = Questions(name, 1, RULES, seed, copies, clocks)

    def ask(self, now: float, question: Question) -> Answer:
        me = next(iter(self.parts))
        self.spent.clear()
        self.bytes = 0
        self.parts[me].ask(now, question, dict.fromkeys(self.parts, 1))
        while True:
            for name, part in self.parts.items():
                began = time.process_time()
                while (due := part.next_deadline()) is not None and due <= now:
                    part.tick(now)
                effects = part.take_effects()
                self.spent[name] += time.process_time() - began
                for effect in effects:
                    if isinstance(effect, Answered):
                        return effect.answer
                    assert isinstance(effect, Send)
                    to = str(effect.to)
                    began = time.process_time()
                    self.parts[to].on_message(now, name, effect.message)
                    self.spent[to] += time.process_time() - began


def scans(plain: list[Plain], question: Question) -> Callable[[], int]:
    """The same by a loop over a list of all acts in one place."""

    def filtered(wanted: Callable[[AuditRecord, Versions], bool]) -> int:
        return len([front for front, act, versions in plain if wanted(act, versions)])

    def scan() -> int:
        if isinstance(question, Refusal):
            return filtered(
                lambda act, versions: act.deed is AuditEvent.REFUSED and act.session == question.session
            )
        if isinstance(question, AfterDrain):
            box = question.box
            first = min(act.at for _, act, _ in plain if act.deed is AuditEvent.DRAIN and act.box == box)
            return filtered(
                lambda act, versions: act.deed is AuditEvent.SETUP and act.box == box and act.at >= first
            )
        if isinstance(question, Still):
            last = {front: act.at for front, act, versions in plain if versions.boxes.hex() == question.value}
            return len(last)
        return filtered(
            lambda act, versions: (question.deed in (None, act.deed) and question.title in (None, act.title)
                                   and question.box in (None, act.box) and act.at >= (question.since or 0.0)
                                   and act.at <= (question.until or 1e18))
        )  # fmt: skip

    return scan


@click.command()
@click.option("--acts", default=1_000_000)
@click.option("--fronts", default=30)
@click.option("--seed", default=1)
def main(acts: int, fronts: int, seed: int) -> None:
    dice = Random(seed)
    lists = [
        Versions("0.3.0", b"s" * 16, 1, dice.randbytes(16), 1_800_000_000_000, b"k" * 16, 1) for _ in range(2)
    ]
    for rate in (30.0, 300.0):
        cost(draw(dice, 40_000, rate, lists), rate)
    names = [f"front-{number:02}" for number in range(fronts)]
    fleet, plain = Fleet(names, seed), list[Plain]()
    most = 0.0
    tracemalloc.start()
    counted = 0
    for name in names:
        drawn = draw(dice, acts // fronts, 30.0, lists)
        before = tracemalloc.get_traced_memory()[0]
        copies = fleet.copies[name]
        for act, versions in drawn:
            due = copies.chain.next_deadline()
            if due is not None and act.at >= due:
                copies.tick(act.at)
            copies.chain.add(act, versions)
        copies.flush(drawn[-1][0].at + 1)
        counted += tracemalloc.get_traced_memory()[0] - before
        most = max(most, drawn[-1][0].at)
        plain += [(name, act, versions) for act, versions in drawn]
        if name == names[0]:
            tracemalloc.stop()
            kept = copies.store.size
            print(f"memory of {len(drawn)} acts: {counted / 1e6:.2f} MB, by its own count {kept / 1e6:.2f}")
    now = most + 1_000
    refused = next(act.session for _, act, _ in plain[len(plain) // 2 :] if act.deed is AuditEvent.REFUSED)
    questions: dict[str, Question] = {
        "who still acted on a list": Still(at=now / 2, value=lists[0].boxes.hex()),
        "set-ups after a drain": AfterDrain(box=7),
        "what it knew when it refused": Refusal(session=refused),
        "moves of a lesson from a box": Acts(deed=AuditEvent.MOVE, title="lesson-17", box=7),
        "all acts of a minute": Acts(since=now / 2, until=now / 2 + 60_000),
    }
    print(f"{len(plain)} acts in {fronts} fronts, {most / 60_000:.0f} minutes of 30 acts/s each")
    for what, question in questions.items():
        times, result = [], 0
        for _ in range(3):
            answer = fleet.ask(now, question)
            times.append((sum(fleet.spent.values()), max(fleet.spent.values())))
        scan, plainly = scans(plain, question), []
        for _ in range(3):
            began = time.process_time()
            result = scan()
            plainly.append(time.process_time() - began)
        (total, one), slow = min(times), min(plainly)
        found = len(answer.rows) or len(answer.stills)
        spent = f"{total * 1e3:.1f} ms at all fronts, most at one {one * 1e3:.1f} ms"
        print(
            f"{what}: {spent}; scan {slow * 1e3:.0f} ms; {found} rows, scan {result}; whole: {answer.whole}"
        )


if __name__ == "__main__":
    main()
