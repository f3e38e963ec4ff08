"""Runs the peer of a front on the event loop: its links, its timer, and its connection to the dispatcher.

Any program with a `Dispatcher` can start it, with its own `Port`.
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
from fernweir.peers.peer import KINDS, IncarnationSuperseded, LogRecord, Peer, PeerGone, PeerRules
from fernweir.peers.port import Port
from fernweir.peers.settings import formats
from fernweir.peers.wire.codec import Codec, highest_common_format
from fernweir.peers.wire.keys import KeyFileError, read_key

_CHECK_INTERVAL_MS = 10.0  # between two checks of the deadlines, and so the maximum delay
_MIN_STALL_MS = 50.0  # smaller timer delays are normal for the loop
_REJECTION_LOG_INTERVAL_MS = 10_000.0
_LEAVE_POLL_S = 0.01


def read_keys(section: PeersSection, folder: Path) -> list[bytes]:
    """Returns the fleet keys that the section names. Raises ConfigError if one cannot be read."""
    keys = []
    for key, name in (("key", section.key), ("old-key", section.old_key)):
        if name is not None:
            try:
                keys.append(read_key(folder / name))
            except KeyFileError as error:
                raise ConfigError(str(folder / name), [Problem("peers", key, 0, str(error))]) from None
    return keys


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """The arguments for the start of the peers. The first of the fleet `keys` seals messages."""

    name: str
    seed: int
    section: PeersSection
    keys: list[bytes]
    versions: Versions
    rules: PeerRules
    links: LinkRules
    record: SegmentStore | None = None
    stored_segments: Sequence[tuple[int, int, object]] = ()  # audit log of earlier incarnations


class Peers:
    """The peer of a running front with its links and its timer."""

    def __init__(self, core: Dispatcher) -> None:
        self._core = core
        self.links: Links
        self.peer: Peer
        self._create_peer: Callable[[int], Peer]
        self._store: Store
        self.questions = _FleetQueries(self)  # of operators
        self._seeds: list[Address] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = self._checked_at = 0.0
        self._rejections: dict[str, int] = {}
        self._next_rejection_log_at = 0.0
        self._pump_scheduled = self._stopped = False

    @classmethod
    async def start(
        cls, core: Dispatcher, port: Port, config: PeersConfig, wall_ms: Callable[[], float],
        nonce: Callable[[int], bytes] = os.urandom,
    ) -> Peers:  # fmt: skip
        """Listens and joins the peers. Raises OSError if the address is not available."""
        peers, section = cls(core), config.section
        supported_formats, life = formats(section), int(wall_ms())
        identity = Identity(config.name, life, config.keys, nonce, supported_formats)
        peers.links = await Links.start(
            section.listen, identity, Codec(KINDS, supported_formats), peers._address_of, peers._on_message,
            rules=config.links, seed=config.seed, format_of=peers._format_of,
            on_stale=peers._on_stale_sender, name_at=peers._name_at,
        )  # fmt: skip
        host, number = section.advertised
        address = (host, number or peers.links.address[1])

        store = peers._store = Store(config.name, config.rules.acts, config.record)
        store.on_trouble = peers._on_store_error
        if config.record is not None:
            store.restore(config.stored_segments)

        def create_peer(life: int) -> Peer:
            return Peer(
                Me(config.name, address, life, supported_formats), config.rules, port, config.seed,
                core.now(), peers.kick, config.versions, lambda: wall_ms() - core.now(), store,
            )  # fmt: skip

        peers._create_peer = create_peer
        peers._seeds = [seed for seed in section.seeds if seed != address]
        peers.peer = create_peer(life)
        peers.peer.start(core.now(), peers._seeds)
        peers.kick()
        return peers

    async def leave(self, within_s: float) -> bool:
        """Hands off all channels and leaves. Returns False if some had no successor within the time."""
        self.peer.drain(self._core.now())
        self.kick()
        end = self._core.loop.time() + within_s
        while not self.peer.is_drained and self._core.loop.time() < end:
            await asyncio.sleep(_LEAVE_POLL_S)
        is_drained = self.peer.is_drained
        self.peer.shutdown(self._core.now())
        self._pump()
        return is_drained

    async def stop(self) -> None:
        """Stops the timer, and closes the audit log and the links."""
        self.abort()
        self._store.close()
        await self.links.stop()

    def abort(self) -> None:
        """Stops at once; pending messages may not be sent."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def _on_store_error(self, why: str) -> None:
        if why:
            self._core.log.error("record of acts is not kept", why=why)
        else:
            self._core.log.info("record of acts is kept again")

    def estimate_order(self, order: Mapping[str, Any]) -> dict[str, Any]:
        """Returns the estimated impact of an order (`ask-fleet` with `order`)."""
        return self.peer.estimate_order(self._core.now(), order)

    def _query(self, question: Question, then: Callable[[dict[str, Any]], None]) -> None:
        self.peer.query(self._core.now(), question, then)
        self.kick()

    # --- the links ---

    def _address_of(self, name: str) -> Address | None:
        return self.peer.members.address(name)

    def _name_at(self, address: Address) -> str | None:
        return self.peer.members.name_at(address)

    def _format_of(self, name: str) -> int | None:
        member = self.peer.members.table().get(name)
        mine = self.peer.me.formats
        return mine[0] if member is None else highest_common_format(mine, member.formats)

    def _on_message(self, sender: str, life: int, message: Message) -> None:
        self.peer.on_message(self._core.now(), sender, life, message)
        self.kick()

    def _on_stale_sender(self, sender: str, life: int, newest: int, address: Address | None) -> None:
        self.peer.on_stale_sender(self._core.now(), sender, address)
        self.kick()

    # --- time ---

    def kick(self) -> None:
        """Schedules the processing of effects, once per iteration of the loop."""
        if not self._pump_scheduled and not self._stopped:
            self._pump_scheduled = True
            self._core.loop.call_soon(self._pump)

    def _pump(self) -> None:
        """Processes effects. Deadlines are checked less often, since that reads every table."""
        self._pump_scheduled = False
        if self._stopped:
            return
        self._process_effects()
        if self._core.now() >= self._checked_at + _CHECK_INTERVAL_MS:
            self._check_deadlines()
        else:
            self._schedule_timer(self._checked_at + _CHECK_INTERVAL_MS)

    def _check_deadlines(self) -> None:
        now = self._checked_at = self._core.now()
        due = self.peer.next_deadline()
        if due is not None and due <= now:
            self.peer.tick(now)
            self._process_effects()
            due = self.peer.next_deadline()
        if due is not None:
            self._schedule_timer(max(due, now + _CHECK_INTERVAL_MS))

    def _process_effects(self) -> None:
        for effect in self.peer.take_effects():
            if isinstance(effect, Send):
                self.links.send(effect)
            elif isinstance(effect, LogRecord):
                self._core.log.info(effect.text, **effect.fields)
            elif isinstance(effect, PeerGone):
                self.links.forget(effect.name)
            elif isinstance(effect, IncarnationSuperseded):
                self._restart_peer(effect.life)
                return

    def _restart_peer(self, life: int) -> None:
        """Restarts the peer under a new incarnation, since its whole state belongs to the former one.

        This happens while the front joins. Its sessions stay, and belong to no channel.
        """
        self._core.log.info("lives on under a later life", life=life, before=self.peer.me.life)
        self.links.advance_incarnation(life)
        now, pending = self._core.now(), self.peer.close(self._core.now())
        self.peer = self._create_peer(life)
        self.peer.start(now, self._seeds)
        for lookup in pending:
            self.peer.find(now, lookup.request, lookup.then)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.kick()

    def _schedule_timer(self, due: float) -> None:
        if self._stopped or (self._timer is not None and self._timer_at <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        # A microsecond late as in `Dispatcher`, so that the timer never fires just before the deadline.
        self._timer = self._core.loop.call_at(due / 1000.0 + 1e-6, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._stopped:
            return
        now = self._core.now()
        delay_ms = now - self._timer_at
        self.peer.query_planner.on_timer_delay(now, delay_ms)
        if delay_ms > _MIN_STALL_MS:
            self.peer.on_stall(now, delay_ms)
        if now >= self._next_rejection_log_at:
            self._next_rejection_log_at = now + _REJECTION_LOG_INTERVAL_MS
            self._log_rejections()
        self._check_deadlines()

    def _log_rejections(self) -> None:
        """Logs the rejected datagrams by reason: a wrong key causes that all are, without other symptoms."""
        counts = {str(kind): count for kind, count in self.links.seal.counts.items() if count}
        if counts != self._rejections:
            self._rejections = counts
            self._core.log.warning("datagrams of peers are refused", **counts)


class _FleetQueries:
    """Queries of operators on the control socket (`control.desk.FleetQueries`): audit records or an order."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._questions = FleetQuestions(peers._query)

    def ask(self, question: Mapping[str, Any], then: Callable[[dict[str, Any]], None]) -> None:
        if "order" in question:
            then(self._peers.estimate_order(question))
        else:
            self._questions.ask(question, then)
