"""Both ends of a carried request: each gets one answer at the front it came to, or none in its time.

A pure machine. A request that is sent twice is carried out once; one whose owner says nothing is given up
when its time is over, and never asked elsewhere: it may have been carried out.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass

from fernweir.peers.base import Effect, Event, Message, Outbox, Send
from fernweir.peers.forward.messages import Carried, Carry


@dataclass(frozen=True, slots=True)
class ForwardRules:
    """Times in ms. `spare` is kept of a viewer's wait for the way back; tables hold `most` requests each."""

    spare: float = 30.0
    most: int = 4_096
    least_wait: float = 20.0


@dataclass(frozen=True, slots=True)
class Wanted(Event):
    """A request to be carried out here; its end goes to `answer` under this sender and number."""

    sender: str
    request: Carry


@dataclass(frozen=True, slots=True)
class Answered(Event):
    """The end of a request made here; None if the other front said nothing in time, or is gone."""

    number: int
    answer: Carried | None


@dataclass(slots=True)
class _Out:
    to: str
    due: float


class Forwarder:
    """`ask` and `answer` are called by whoever joins it to a front. Times are ms."""

    def __init__(self, rules: ForwardRules | None = None) -> None:
        self.rules = rules or ForwardRules()
        self.turned_down = 0
        self._out: dict[int, _Out] = {}
        self._due: list[tuple[float, int]] = []
        self._in: OrderedDict[tuple[str, int], Carried | None] = OrderedDict()
        self._next = 1
        self._box = Outbox()

    def __len__(self) -> int:
        return len(self._out)

    def number(self) -> int:
        """For the next request; numbers are this front's own, and the other end knows them by its name."""
        self._next += 1
        return self._next - 1

    def ask(self, now: float, to: str, request: Carry) -> bool:
        """Carries a request to its session's owner. False if too many are out, or its time is too short."""
        wait = request.wait_ms - self.rules.spare
        if len(self._out) >= self.rules.most or wait < self.rules.least_wait:
            self.turned_down += 1
            return False
        self._out[request.number] = _Out(to, now + wait)
        heapq.heappush(self._due, (now + wait, request.number))
        self._box.add(Send(to, request, reliable=True))
        return True

    def answer(self, now: float, sender: str, number: int, answer: Carried) -> None:
        """The end of a request that was carried out here; a second one changes nothing."""
        if self._in.get((sender, number), answer) is None:
            self._in[sender, number] = answer
            self._box.add(Send(sender, answer, reliable=True))

    def gone(self, now: float, name: str) -> None:
        """A front is dead: what it was asked has no answer, and what it asked needs none."""
        for number in [number for number, out in self._out.items() if out.to == name]:
            del self._out[number]
            self._box.add(Answered(number, None))
        for key in [key for key in self._in if key[0] == name]:
            del self._in[key]

    # --- base.Part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, Carry):
            key = (sender, message.number)
            if key in self._in:
                done = self._in[key]
                if done is not None:
                    self._box.add(Send(sender, done, reliable=True))
                return
            self._in[key] = None
            if len(self._in) > self.rules.most:
                self._in.popitem(last=False)
            self._box.add(Wanted(sender, message))
        elif isinstance(message, Carried):
            out = self._out.get(message.number)
            if out is not None and out.to == sender:
                del self._out[message.number]
                self._box.add(Answered(message.number, message))

    def tick(self, now: float) -> None:
        while self._due and (self._due[0][0] <= now or self._due[0][1] not in self._out):
            _, number = heapq.heappop(self._due)
            if self._out.pop(number, None) is not None:
                self._box.add(Answered(number, None))

    def next_deadline(self) -> float | None:
        while self._due and self._due[0][1] not in self._out:
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else None

    def take_effects(self) -> list[Effect]:
        return self._box.take_effects()
