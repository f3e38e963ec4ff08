"""Sends and receives forwarded requests; each ends exactly once, with a reply or without one.

A pure state machine. A duplicate request is executed once. A request without a reply ends with its timeout
and is not sent to another front, because it may have been executed.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass

from fernweir.peers.base import Effect, Event, Message, Outbox, Send
from fernweir.peers.forward.messages import Carried, Carry


@dataclass(frozen=True, slots=True)
class ForwardRules:
    """The settings of a forwarder. Times are in ms.

    `reply_margin_ms` is the part of a viewer's wait that is reserved for returning the reply. The tables of
    sent and received requests hold `max_requests` each.
    """

    reply_margin_ms: float = 30.0
    max_requests: int = 4_096
    min_wait_ms: float = 20.0


@dataclass(frozen=True, slots=True)
class RequestReceived(Event):
    """A request to execute here; pass the reply to `send_reply` with `sender` and the request's number."""

    sender: str
    request: Carry


@dataclass(frozen=True, slots=True)
class RequestEnded(Event):
    """The end of a request of this front; `answer` is None after a timeout, or if the other front is gone."""

    number: int
    answer: Carried | None


@dataclass(slots=True)
class _SentRequest:
    to: str
    due: float


class Forwarder:
    """Sends requests to other fronts, and receives theirs. Times are in ms."""

    def __init__(self, rules: ForwardRules | None = None) -> None:
        self.rules = rules or ForwardRules()
        self.rejected_count = 0
        self._sent: dict[int, _SentRequest] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._received: OrderedDict[tuple[str, int], Carried | None] = OrderedDict()
        self._next_number = 1
        self._effects = Outbox()

    def __len__(self) -> int:
        """Returns the number of requests in flight."""
        return len(self._sent)

    def next_number(self) -> int:
        """Returns a new request number, which is unique for this front."""
        self._next_number += 1
        return self._next_number - 1

    def send_request(self, now: float, to: str, request: Carry) -> bool:
        """Sends a request to the owner of its session.

        Returns False if too many requests are in flight, or if the wait of the viewer is too short.
        """
        wait = request.wait_ms - self.rules.reply_margin_ms
        if len(self._sent) >= self.rules.max_requests or wait < self.rules.min_wait_ms:
            self.rejected_count += 1
            return False
        self._sent[request.number] = _SentRequest(to, now + wait)
        heapq.heappush(self._deadlines, (now + wait, request.number))
        self._effects.add(Send(to, request, reliable=True))
        return True

    def send_reply(self, now: float, sender: str, number: int, answer: Carried) -> None:
        """Sends the reply to a request that was executed here; a second reply is ignored."""
        if self._received.get((sender, number), answer) is None:
            self._received[sender, number] = answer
            self._effects.add(Send(sender, answer, reliable=True))

    def on_front_gone(self, now: float, name: str) -> None:
        """Ends the requests to a dead front, and removes the requests from it."""
        for number in [number for number, sent in self._sent.items() if sent.to == name]:
            del self._sent[number]
            self._effects.add(RequestEnded(number, None))
        for key in [key for key in self._received if key[0] == name]:
            del self._received[key]

    # --- base.Part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, Carry):
            key = (sender, message.number)
            if key in self._received:
                done = self._received[key]
                if done is not None:
                    self._effects.add(Send(sender, done, reliable=True))
                return
            self._received[key] = None
            if len(self._received) > self.rules.max_requests:
                self._received.popitem(last=False)
            self._effects.add(RequestReceived(sender, message))
        elif isinstance(message, Carried):
            sent = self._sent.get(message.number)
            if sent is not None and sent.to == sender:
                del self._sent[message.number]
                self._effects.add(RequestEnded(message.number, message))

    def tick(self, now: float) -> None:
        while self._deadlines and (self._deadlines[0][0] <= now or self._deadlines[0][1] not in self._sent):
            _, number = heapq.heappop(self._deadlines)
            if self._sent.pop(number, None) is not None:
                self._effects.add(RequestEnded(number, None))

    def next_deadline(self) -> float | None:
        while self._deadlines and self._deadlines[0][1] not in self._sent:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def take_effects(self) -> list[Effect]:
        return self._effects.take_effects()
