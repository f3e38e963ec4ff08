"""The shell of a front's peers: links, one timer, and the way between the front's core and `Peer`.

Any shell that has a `Core` may start them, with its own `Port`.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fernweir.config.ini import ConfigError, Problem
from fernweir.config.peers import PeersSection
from fernweir.front.dispatcher import Dispatcher
from fernweir.journal.store import SegmentStore
from fernweir.peers.acts.desk import FleetQuestions
from fernweir.peers.acts.plan import Question
from fernweir.peers.acts.store import Store
from fernweir.peers.acts.versions import Versions
from fernweir.peers.base import Address, Message, Send
from fernweir.peers.link.links import Links
from fernweir.peers.link.rules import Identity, LinkRules
from fernweir.peers.members.events import Me
from fernweir.peers.peer import KINDS, Forgotten, Peer, PeerRules, Relived, Told
from fernweir.peers.port import Port
from fernweir.peers.settings import formats
from fernweir.peers.wire.codec import Codec, highest_common_format
from fernweir.peers.wire.keys import KeyFileError, read_key

_LOOK_MS = 10.0  # between two looks at what is due: as late as this may be
_LATE_MS = 50.0  # a timer's lateness below this is the loop's usual
_REFUSALS_MS = 10_000.0
_LEAVE_POLL_S = 0.01


def read_keys(section: PeersSection, folder: Path) -> list[bytes]:
    """The fleet keys that the section names. ConfigError when they can't be had."""
    keys = []
    for key, name in (("key", section.key), ("old-key", section.old_key)):
        if name is not None:
            try:
                keys.append(read_key(folder / name))
            except KeyFileError as error:
                raise ConfigError(str(folder / name), [Problem("peers", key, 0, str(error))]) from None
    return keys


@dataclass(frozen=True, slots=True)
class Beginning:
    """What a front's peers begin with. `keys` are the fleet's, of which the first seals."""

    name: str
    seed: int
    section: PeersSection
    keys: list[bytes]
    versions: Versions
    rules: PeerRules
    links: LinkRules
    record: SegmentStore | None = None
    kept: Sequence[tuple[int, int, object]] = ()  # of the record, from earlier lives


class Peers:
    """A running front's peers."""

    def __init__(self, core: Dispatcher) -> None:
        self._core = core
        self.links: Links
        self.peer: Peer
        self._make: Callable[[int], Peer]
        self._store: Store
        self.questions = _Desk(self)  # of operators, to all fronts
        self._seeds: list[Address] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = self._looked_at = 0.0
        self._refusals: dict[str, int] = {}
        self._refusals_at = 0.0
        self._pumping = self._stopped = False

    @classmethod
    async def start(
        cls, core: Dispatcher, port: Port, begin: Beginning, wall_ms: Callable[[], float],
        nonce: Callable[[int], bytes] = os.urandom,
    ) -> Peers:  # fmt: skip
        """Listens and joins. OSError if the address can't be had."""
        peers, section = cls(core), begin.section
        spoken, life = formats(section), int(wall_ms())
        identity = Identity(begin.name, life, begin.keys, nonce, spoken)
        peers.links = await Links.start(
            section.listen, identity, Codec(KINDS, spoken), peers._address, peers._heard,
            rules=begin.links, seed=begin.seed, format_of=peers._format, on_stale=peers._stale,
        )  # fmt: skip
        host, number = section.advertised
        address = (host, number or peers.links.address[1])

        store = peers._store = Store(begin.name, begin.rules.acts, begin.record)
        store.on_trouble = peers._trouble
        if begin.record is not None:
            store.restore(begin.kept)

        def make(life: int) -> Peer:
            return Peer(
                Me(begin.name, address, life, spoken), begin.rules, port, begin.seed, core.now(),
                peers.kick, begin.versions, lambda: wall_ms() - core.now(), store,
            )  # fmt: skip

        peers._make = make
        peers._seeds = [seed for seed in section.seeds if seed != address]
        peers.peer = make(life)
        peers.peer.start(core.now(), peers._seeds)
        peers.kick()
        return peers

    async def leave(self, within_s: float) -> bool:
        """Hands on what stands here, then tells the others; False if some of it found no heir in time."""
        self.peer.leave(self._core.now())
        self.kick()
        end = self._core.loop.time() + within_s
        while not self.peer.left and self._core.loop.time() < end:
            await asyncio.sleep(_LEAVE_POLL_S)
        left = self.peer.left
        self.peer.go(self._core.now())
        self._pump()
        return left

    async def stop(self) -> None:
        self.cut()
        self._store.close()
        await self.links.stop()

    def cut(self) -> None:
        """Ends at once; what was to be sent may not be."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def _trouble(self, why: str) -> None:
        if why:
            self._core.log.error("record of acts is not kept", why=why)
        else:
            self._core.log.info("record of acts is kept again")

    def weigh(self, order: Mapping[str, Any]) -> dict[str, Any]:
        """What an order would touch (`ask-fleet` with `order`)."""
        return self.peer.weigh(self._core.now(), order)

    def _put(self, question: Question, then: Callable[[dict[str, Any]], None]) -> None:
        self.peer.ask(self._core.now(), question, then)
        self.kick()

    # --- the links ---

    def _address(self, name: str) -> Address | None:
        return self.peer.members.address(name)

    def _format(self, name: str) -> int | None:
        member = self.peer.members.table().get(name)
        mine = self.peer.me.formats
        return mine[0] if member is None else highest_common_format(mine, member.formats)

    def _heard(self, sender: str, life: int, message: Message) -> None:
        self.peer.heard(self._core.now(), sender, life, message)
        self.kick()

    def _stale(self, sender: str, life: int, newest: int, address: Address | None) -> None:
        self.peer.stale(self._core.now(), sender, address)
        self.kick()

    # --- time ---

    def kick(self) -> None:
        """Something may be there to be sent: once for all that happens in this turn of the loop."""
        if not self._pumping and not self._stopped:
            self._pumping = True
            self._core.loop.call_soon(self._pump)

    def _pump(self) -> None:
        """Sends what there is. Looking for what is due goes through every table: not too often."""
        self._pumping = False
        if self._stopped:
            return
        self._send()
        if self._core.now() >= self._looked_at + _LOOK_MS:
            self._look()
        else:
            self._wake_by(self._looked_at + _LOOK_MS)

    def _look(self) -> None:
        now = self._looked_at = self._core.now()
        due = self.peer.next_deadline()
        if due is not None and due <= now:
            self.peer.tick(now)
            self._send()
            due = self.peer.next_deadline()
        if due is not None:
            self._wake_by(max(due, now + _LOOK_MS))

    def _send(self) -> None:
        for effect in self.peer.take_effects():
            if isinstance(effect, Send):
                self.links.send(effect)
            elif isinstance(effect, Told):
                self._core.log.info(effect.text, **effect.fields)
            elif isinstance(effect, Forgotten):
                self.links.forget(effect.name)
            elif isinstance(effect, Relived):
                self._relive(effect.life)
                return

    def _relive(self, life: int) -> None:
        """All of this front's state among its peers is of its life, so that it begins again in the new one.

        It happens as it joins. What stood before stays with this front, in no channel that it has.
        """
        self._core.log.info("lives on under a later life", life=life, before=self.peer.me.life)
        self.links.advance_incarnation(life)
        now, sought = self._core.now(), self.peer.end(self._core.now())
        self.peer = self._make(life)
        self.peer.start(now, self._seeds)
        for seeking in sought:
            self.peer.find(now, seeking.request, seeking.then)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.kick()

    def _wake_by(self, due: float) -> None:
        if self._stopped or (self._timer is not None and self._timer_at <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        # As in `Core`: a microsecond late, so that it never wakes just before what is due.
        self._timer = self._core.loop.call_at(due / 1000.0 + 1e-6, self._due)

    def _due(self) -> None:
        self._timer = None
        if self._stopped:
            return
        now = self._core.now()
        late = now - self._timer_at
        self.peer.foresight.felt(now, late)
        if late > _LATE_MS:
            self.peer.stood(now, late)
        if now >= self._refusals_at:
            self._refusals_at = now + _REFUSALS_MS
            self._say_refused()
        self._look()

    def _say_refused(self) -> None:
        """What came and was not opened, by why: with a wrong key it is all, and nothing else shows it."""
        counts = {str(kind): count for kind, count in self.links.seal.counts.items() if count}
        if counts != self._refusals:
            self._refusals = counts
            self._core.log.warning("datagrams of peers are refused", **counts)


class _Desk:
    """What operators ask on the control socket (`control.desk.FleetQueries`): of acts, or of an order."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._questions = FleetQuestions(peers._put)

    def ask(self, question: Mapping[str, Any], then: Callable[[dict[str, Any]], None]) -> None:
        if "order" in question:
            then(self._peers.weigh(question))
        else:
            self._questions.ask(question, then)
