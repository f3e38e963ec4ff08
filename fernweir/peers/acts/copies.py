"""Copies of chains: each block goes to two peers, and what comes from others is proved and kept.

When members change, a new holder gets what it lacks, oldest first, from the owner, or if that is gone from
whoever has it.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping
from math import inf

from fernweir.peers.acts.block import TICK_MS, BlockError, Sealed, read
from fernweir.peers.acts.chain import Chain, Head
from fernweir.peers.acts.heads import Heads, Missing, Shortened, Tampered, from_bytes, to_bytes
from fernweir.peers.acts.line import Line
from fernweir.peers.acts.messages import Keep, Kept
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.sending import Sending
from fernweir.peers.acts.shelf import Put
from fernweir.peers.acts.store import Store
from fernweir.peers.base import Effect, Event, Message, Outbox, Send

_PACK_BYTES = 300  # below this compressing gains less than it costs
_SPANS = 16  # the newest ones are said to whoever sent a block
_TOLD = 256


class Copies:
    """Takes blocks from its front's chain to its store and its holders, and keeps those of others."""

    def __init__(self, me: str, life: int, rules: ActRules, chain: Chain, store: Store) -> None:
        self.me, self.life, self.rules = me, life, rules
        self.chain, self.store, self.heads = chain, store, Heads(rules)
        self.refused = 0  # messages that were no block, or another's
        self.on_kept: Callable[[float, Sealed], None] = lambda now, sealed: None
        self.bytes_sent = 0
        self._names: dict[str, int] = {}
        self._own = Sending(me, life, rules, probe=False)
        self._sending = {(me, life): self._own}
        self._progress: dict[tuple[str, int], float] = {}
        self._told: dict[Event, None] = {}
        self._accused: dict[tuple[str, int], None] = {}
        self._watch_at = -inf
        self._out = Outbox()

    # --- the owner's side ---

    @property
    def holders(self) -> list[str]:
        return list(self._own.lines)

    def members(self, now: float, lives: Mapping[str, int]) -> None:
        """Who is alive, in which life. What is here of chains whose owner is gone is handed on."""
        self._names = {name: life for name, life in lives.items() if name != self.me}
        everybody = {**self._names, self.me: self.life}
        chains = {(shelf.owner, shelf.life) for shelf in self.store.shelves()}
        gone = {(owner, life) for owner, life in chains if everybody.get(owner) != life}
        for chain in [
            chain for chain in self._sending if chain not in gone and chain != (self.me, self.life)
        ]:
            del self._sending[chain]
        for owner, life in sorted(gone - set(self._sending)):
            self._sending[owner, life] = Sending(owner, life, self.rules, probe=True)
        for sending in self._sending.values():
            sending.choose(self.me, everybody)
        self._flow(now)

    def kept_everywhere(self) -> bool:
        """Whether all holders said that they have all of the chain: then an orderly end loses nothing."""
        last = self.chain.number
        lines = self._own.lines.values()
        return all(next(line.acked.missing(line.asked_from, last), None) is None for line in lines)

    def flush(self, now: float, final: bool = False) -> None:
        """Seals what is open and sends it; with `final` as the last block of a front that ends in order."""
        self.chain.seal(now, final)
        self.tick(now)

    def head(self, now: float) -> bytes:
        """What is spread as the fact `acts.head`."""
        shelf = self.store.shelf(self.me, self.life)
        first = shelf.first_kept if shelf is not None else 1
        return to_bytes(Head(self.chain.number, self.chain.digest, now, first, self.chain.final))

    def tick(self, now: float) -> None:
        self.chain.tick(now)
        for sealed in self.chain.take():
            self.store.put(sealed)
            for line in self._own.lines.values():
                if line.has_room(live=True):
                    self._send(now, line, sealed)
        self._flow(now)
        if now >= self._watch_at:
            self._watch_at = now + self.rules.gap_ms / 2
            self._watch(now)

    def next_deadline(self) -> float | None:
        dues = [self.chain.next_deadline(), *(one.next_deadline() for one in self._sending.values())]
        if self._progress:
            dues.append(self._watch_at)
        return min((due for due in dues if due is not None), default=None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    def _flow(self, now: float) -> None:
        for chain, sending in list(self._sending.items()):
            shelf = self.store.shelf(*chain)
            if shelf is not None:
                for line, sealed in sending.flow(now, shelf):
                    self._send(now, line, sealed)
            elif sending is not self._own:
                del self._sending[chain]

    def _send(self, now: float, line: Line, sealed: Sealed) -> None:
        data, packed = sealed.data, False
        if len(data) >= _PACK_BYTES:
            smaller = zlib.compress(data, 1)
            if len(smaller) < len(data):
                data, packed = smaller, True
        line.sent(now, sealed.block.number, len(data))
        self.bytes_sent += len(data)
        block = sealed.block
        owner = "" if (block.front, block.life) == (self.me, self.life) else block.front
        self._out.add(Send(line.name, Keep(block.life, block.number, packed, data, owner), reliable=True))

    # --- the holder's side ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, Kept):
            chain = message.owner or self.me, message.life
            sending, shelf = self._sending.get(chain), self.store.shelf(*chain)
            line = sending.lines.get(sender) if sending is not None else None
            if line is not None and shelf is not None:
                line.kept(message.numbers, message.spans, message.first, shelf.numbers.last)
                self._flow(now)
        elif isinstance(message, Keep):
            self._keep(now, sender, message)

    def _keep(self, now: float, sender: str, message: Keep) -> None:
        sealed = self._read(sender, message)
        if sealed is None:
            self.refused += 1
            return
        owner, life, number = message.owner or sender, message.life, message.number
        put = self.store.put(sealed)
        shelf = self.store.shelf(owner, life)
        if not message.owner:  # nobody is accused on another's word
            if put is Put.WRONG or not self.heads.same(owner, life, number, sealed.digest):
                self._tell(Tampered(owner, life, number))
            newest = self.heads.newest(owner, life)
            if put is Put.NEW and newest is not None and number > newest.number:
                self._compare(owner, life, newest)
        if put is Put.NEW:
            self._progress[owner, life] = now
            self.on_kept(now, sealed)
        first = shelf.first_kept if shelf is not None else number + 1
        spans = tuple(shelf.numbers)[-_SPANS:] if shelf is not None else ()
        # What is wrong is acknowledged too: its like would only come again.
        self._out.add(Send(sender, Kept(life, (number,), first, spans, message.owner), reliable=True))

    def _read(self, sender: str, message: Keep) -> Sealed | None:
        data, most = message.data, 4 * self.rules.block_bytes
        try:
            if message.packed:
                unzip = zlib.decompressobj()
                data = unzip.decompress(data, most + 1)
            sealed = read(data, most, self.rules.block_acts)
        except (zlib.error, BlockError):
            return None
        block, owner = sealed.block, message.owner or sender
        named = (block.front, block.life, block.number) == (owner, message.life, message.number)
        there = {**self._names, self.me: self.life}.get(owner) == message.life
        return sealed if named and (sender == owner != self.me or (message.owner and not there)) else None

    # --- heads ---

    def heard_head(self, now: float, owner: str, life: int, data: bytes) -> None:
        """A head that was spread. It is held against other heads, and against the blocks that are here."""
        head = from_bytes(data)
        if head is None or owner == self.me:
            self.refused += head is None
            return
        for event in self.heads.heard(owner, life, head):
            self._tell(event)
        self._compare(owner, life, head)

    def check(self, owner: str, life: int, number: int, digest: bytes) -> bool:
        """What a peer says is block `number` of a chain: False, and told, if it is known otherwise."""
        shelf = self.store.shelf(owner, life)
        here = shelf.digest(number) if shelf is not None else None
        if here not in (None, digest) or not self.heads.same(owner, life, number, digest):
            self._tell(Tampered(owner, life, number))
            return False
        return True

    def accused(self, owner: str, life: int) -> bool:
        """Whether that chain was found to contradict itself."""
        return (owner, life) in self._accused

    def shortened(self, owner: str, life: int, first: int, last: int) -> None:
        """An owner answers from a chain that ends before `first`, though a head of `last` was spread."""
        self._tell(Shortened(owner, life, first, last))

    def _compare(self, owner: str, life: int, head: Head) -> None:
        shelf = self.store.shelf(owner, life)
        if shelf is None or not shelf.numbers:
            return
        here = shelf.digest(head.number)
        if here not in (None, head.digest):
            self._tell(Tampered(owner, life, head.number))
        last = shelf.block(shelf.numbers.last)
        if last is not None and last.block.number > head.number and last.block.sealed * TICK_MS < head.at - 1:
            self._tell(Shortened(owner, life, head.number + 1, last.block.number))

    def _watch(self, now: float) -> None:
        """Holes that nothing has filled for `gap_ms`."""
        for (owner, life), at in list(self._progress.items()):
            shelf = self.store.shelf(owner, life)
            if shelf is None:
                del self._progress[owner, life]
            elif now - at >= self.rules.gap_ms:
                for first, last in shelf.numbers.missing(shelf.first_kept, shelf.numbers.last):
                    self._tell(Missing(owner, life, first, last))

    def _tell(self, event: Event) -> None:
        """Once each."""
        if event in self._told:
            return
        self._told[event] = None
        if len(self._told) > _TOLD:
            del self._told[next(iter(self._told))]
        self._out.add(event)
        if isinstance(event, Tampered | Shortened):
            self._accused[event.owner, event.life] = None
            if len(self._accused) > _TOLD:
                del self._accused[next(iter(self._accused))]
