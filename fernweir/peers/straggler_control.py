"""Applies the decisions of the straggler detection to facts, keepers and the front.

`fernweir.peers.late` decides which fronts are stale and which are shut out. A front that is shut out gets no
lease, and its peers accept no fact from it but the request to return (`PLEA`). The front itself accepts no
new session and hands off its channels.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from fernweir.peers.acts.versions import Versions
from fernweir.peers.base import Effect, Event, Message, Outbox
from fernweir.peers.facts.store import Facts
from fernweir.peers.late.events import (
    Apply,
    BlockSessions,
    CatchUp,
    CaughtUp,
    Readmitted,
    RequestReadmission,
    ShutOut,
    UpdateSuspect,
)
from fernweir.peers.late.messages import Kind, content_of
from fernweir.peers.late.rules import LateRules
from fernweir.peers.late.stragglers import Stragglers
from fernweir.peers.lease.keeper import Keeper
from fernweir.peers.port import Port

VERSIONS, PLEA = "versions", "late.plea"


@dataclass(frozen=True, slots=True)
class NewSessionsBlocked(Event):
    """This front must reject new sessions and hand off its channels; an empty `why` ends that."""

    why: str
    wait_ms: float


@dataclass(frozen=True, slots=True)
class LogRequested(Event):
    """A record for the log; `shut_out` names a front for the audit log."""

    text: str
    fields: Mapping[str, object] = field(default_factory=dict)
    shut_out: str = ""


class StragglerControl:
    """Applies straggler decisions. `now` is in ms. Events: `NewSessionsBlocked`, `LogRequested`."""

    def __init__(
        self, me: str, life: int, rules: LateRules, now: float, facts: Facts, keeper: Keeper | None,
        keepers: tuple[str, ...], port: Port, versions: Versions,
    ) -> None:  # fmt: skip
        self.me = me
        self.stragglers = Stragglers(me, life, rules, now, keepers)
        self._facts, self._keeper, self._port = facts, keeper, port
        self._versions = versions
        self._out = Outbox()

    def update_fronts(self, now: float, lives: Mapping[str, int]) -> None:
        """Sets the live fronts with their incarnations."""
        self.stragglers.set_fleet(now, lives)

    def set_own_versions(self, now: float, versions: Versions, urgent: bool) -> None:
        """Sets and publishes the versions of this front; urgent if servers began to drain or were removed."""
        self._versions = versions
        self._facts.put(now, VERSIONS, msgspec.msgpack.encode(versions), urgent=urgent)
        self.stragglers.on_versions(now, self.me, versions, urgent)

    def on_fact(self, now: float, owner: str, key: str, value: bytes) -> None:
        """Handles a fact of a peer: its versions, or its request to return."""
        versions = _versions(value)
        if versions is not None and key in (VERSIONS, PLEA):
            self.stragglers.on_versions(now, owner, versions)

    def on_peer_versions(self, now: float, owner: str, versions: Versions, age_ms: float) -> None:
        """Handles the versions that an audit record of a peer was based on."""
        self.stragglers.on_evidence(now, owner, versions, age_ms)

    def update_keepers(self, now: float, names: tuple[str, ...]) -> None:
        """Sets the keepers, which vote on shutting fronts out."""
        self.stragglers.set_keepers(now, names)

    def on_lease_status(self, now: float, held: bool) -> None:
        """Sets whether this front holds a lease, or needs none."""
        self.stragglers.set_holds_leases(now, held)

    def shut_out_fronts(self) -> frozenset[str]:
        """Returns the fronts that are shut out, which cannot be successors."""
        return self.stragglers.shut_out()

    # --- base.Part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        self.stragglers.on_message(now, sender, message)

    def tick(self, now: float) -> None:
        self.stragglers.tick(now)

    def next_deadline(self) -> float | None:
        return self.stragglers.next_deadline()

    def run(self, now: float) -> None:
        """Applies the decisions since the last call."""
        while effects := self.stragglers.take_effects():
            for effect in effects:
                if isinstance(effect, Event):
                    self._handle_event(now, effect)
                else:
                    self._out.add(effect)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- decisions ---

    def _handle_event(self, now: float, event: Event) -> None:
        if isinstance(event, CatchUp):
            self._bring_up(now, event)
        elif isinstance(event, Apply):
            self._apply(now, event)
        elif isinstance(event, ShutOut | Readmitted):
            self._apply_shut_out()
            out, why = (event.name, event.reason) if isinstance(event, ShutOut) else ("", "")
            what = "peer is shut out" if out else "peer is back"
            self._out.add(LogRequested(what, {"name": event.name, "why": why}, out))
        elif isinstance(event, BlockSessions):
            self._out.add(NewSessionsBlocked(event.reason, event.wait_ms))
            self._out.add(LogRequested("takes no new sessions" if event.reason else "takes sessions again",
                               {"why": event.reason}))  # fmt: skip
        elif isinstance(event, UpdateSuspect):
            self._out.add(LogRequested("news is suspect" if event.reason else "news is no longer suspect",
                               {"what": str(event.kind), "why": event.reason}))  # fmt: skip
        elif isinstance(event, RequestReadmission):
            if event.data:
                self._facts.put(now, PLEA, event.data, urgent=True)
            else:
                self._facts.drop(now, PLEA)
        else:
            assert isinstance(event, CaughtUp)

    def _bring_up(self, now: float, event: CatchUp) -> None:
        """Sends a stale front the endpoint list. It has to read settings and keys from its own files."""
        if content_of(self._versions, event.kind) != event.content:
            return
        data = self._port.endpoint_list_document() if event.kind is Kind.BOXES else b""
        if event.kind is Kind.BOXES and not data:
            return  # fronts of this kind accept their list from one source only
        self.stragglers.supply(now, event.name, event.kind, event.content, data)
        self._out.add(LogRequested("peer is brought up", {"name": event.name, "what": str(event.kind)}))

    def _apply(self, now: float, event: Apply) -> None:
        applied = event.kind is Kind.BOXES and self._port.adopt_endpoint_list(now, event.data, event.content)
        self._out.add(
            LogRequested("brought up by a peer", {"what": str(event.kind), "by": event.by, "taken": applied})
        )

    def _apply_shut_out(self) -> None:
        names = self.stragglers.shut_out()
        self._facts.restrict_owners({name: frozenset((PLEA,)) for name in names if name != self.me})
        if self._keeper is not None:
            self._keeper.shut_out(names)


def _versions(value: bytes) -> Versions | None:
    try:
        return msgspec.msgpack.decode(value, type=Versions)
    except msgspec.DecodeError:  # a later format, or a faulty peer
        return None
