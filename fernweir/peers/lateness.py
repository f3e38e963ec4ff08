"""What a front and its peers act on: joins stragglers to facts, to keepers and to the front.

`late` decides who is late and who is out; this carries it out. A front that is out is granted no lease and
believed nothing but its plea; the front itself takes nothing new and hands on what stands.
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
class Resign(Event):
    """This front takes nothing new and hands on what stands, for this reason; an empty one ends it."""

    why: str
    wait_ms: float


@dataclass(frozen=True, slots=True)
class Said(Event):
    """For the log, and the record of acts where somebody was shut out."""

    text: str
    fields: Mapping[str, object] = field(default_factory=dict)
    shut_out: str = ""


class Lateness:
    """`now` is ms. Events: `Resign`, `Said`."""

    def __init__(
        self, me: str, life: int, rules: LateRules, now: float, facts: Facts, keeper: Keeper | None,
        keepers: tuple[str, ...], port: Port, versions: Versions,
    ) -> None:  # fmt: skip
        self.me = me
        self.stragglers = Stragglers(me, life, rules, now, keepers)
        self._facts, self._keeper, self._port = facts, keeper, port
        self._versions = versions
        self._out = Outbox()

    def fleet(self, now: float, lives: Mapping[str, int]) -> None:
        self.stragglers.set_fleet(now, lives)

    def mine(self, now: float, versions: Versions, urgent: bool) -> None:
        """What this front acts on from now on; urgent if boxes drain or went by it."""
        self._versions = versions
        self._facts.put(now, VERSIONS, msgspec.msgpack.encode(versions), urgent=urgent)
        self.stragglers.on_versions(now, self.me, versions, urgent)

    def told(self, now: float, owner: str, key: str, value: bytes) -> None:
        """A peer's fact about what it acts on, or its plea to come back."""
        versions = _versions(value)
        if versions is not None and key in (VERSIONS, PLEA):
            self.stragglers.on_versions(now, owner, versions)

    def seen(self, now: float, owner: str, versions: Versions, age_ms: float) -> None:
        """What an act of a peer rested on, by its record."""
        self.stragglers.on_evidence(now, owner, versions, age_ms)

    def keepers(self, now: float, names: tuple[str, ...]) -> None:
        """Who decides on shutting out from now on."""
        self.stragglers.set_keepers(now, names)

    def leases(self, now: float, held: bool) -> None:
        self.stragglers.set_holds_leases(now, held)

    def out(self) -> frozenset[str]:
        """Who takes no part in the choice of heirs."""
        return self.stragglers.shut_out()

    # --- base.Part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        self.stragglers.on_message(now, sender, message)

    def tick(self, now: float) -> None:
        self.stragglers.tick(now)

    def next_deadline(self) -> float | None:
        return self.stragglers.next_deadline()

    def run(self, now: float) -> None:
        """Carries out what was decided since the last call."""
        while effects := self.stragglers.take_effects():
            for effect in effects:
                if isinstance(effect, Event):
                    self._do(now, effect)
                else:
                    self._out.add(effect)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- pieces ---

    def _do(self, now: float, event: Event) -> None:
        if isinstance(event, CatchUp):
            self._bring_up(now, event)
        elif isinstance(event, Apply):
            self._apply(now, event)
        elif isinstance(event, ShutOut | Readmitted):
            self._shut_out()
            out, why = (event.name, event.reason) if isinstance(event, ShutOut) else ("", "")
            what = "peer is shut out" if out else "peer is back"
            self._out.add(Said(what, {"name": event.name, "why": why}, out))
        elif isinstance(event, BlockSessions):
            self._out.add(Resign(event.reason, event.wait_ms))
            self._out.add(Said("takes no new sessions" if event.reason else "takes sessions again",
                               {"why": event.reason}))  # fmt: skip
        elif isinstance(event, UpdateSuspect):
            self._out.add(Said("news is suspect" if event.reason else "news is no longer suspect",
                               {"what": str(event.kind), "why": event.reason}))  # fmt: skip
        elif isinstance(event, RequestReadmission):
            if event.data:
                self._facts.put(now, PLEA, event.data, urgent=True)
            else:
                self._facts.drop(now, PLEA)
        else:
            assert isinstance(event, CaughtUp)

    def _bring_up(self, now: float, event: CatchUp) -> None:
        """The list is given as it is here; settings and keys are files, which the late front has to read."""
        if content_of(self._versions, event.kind) != event.content:
            return
        data = self._port.endpoint_list_document() if event.kind is Kind.BOXES else b""
        if event.kind is Kind.BOXES and not data:
            return  # fronts of this kind have their list from one source alone
        self.stragglers.supply(now, event.name, event.kind, event.content, data)
        self._out.add(Said("peer is brought up", {"name": event.name, "what": str(event.kind)}))

    def _apply(self, now: float, event: Apply) -> None:
        taken = event.kind is Kind.BOXES and self._port.adopt_endpoint_list(now, event.data, event.content)
        self._out.add(Said("brought up by a peer", {"what": str(event.kind), "by": event.by, "taken": taken}))

    def _shut_out(self) -> None:
        names = self.stragglers.shut_out()
        self._facts.restrict_owners({name: frozenset((PLEA,)) for name in names if name != self.me})
        if self._keeper is not None:
            self._keeper.shut_out(names)


def _versions(value: bytes) -> Versions | None:
    try:
        return msgspec.msgpack.decode(value, type=Versions)
    except msgspec.DecodeError:  # a later format, or a peer that is wrong
        return None
