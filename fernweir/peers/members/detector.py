"""Membership: who is alive, at which address, in which life. Free of I/O and clock.

SWIM (Das, Gupta, Motivala 2002) with Lifeguard's refinements (Dadgar, Phillips, Currey 2018): members are
probed in turn, helpers probe for others, suspicions are gossiped, refuted by the suspect, and shorten as
others confirm them; a slow front doubts itself, and a suspect is told first of all. Here the parts meet:
`prober` finds who is gone, `view` has what is known and passes it on, `repair` mends what gossip missed.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from random import Random

from fernweir.peers.base import Address, Effect, Message
from fernweir.peers.members.events import Me
from fernweir.peers.members.messages import Ack, Gossip, Nack, Ping, PingRequest, Rows, Sync
from fernweir.peers.members.prober import Prober
from fernweir.peers.members.repair import Repair
from fernweir.peers.members.rules import MemberRules
from fernweir.peers.members.table import Member
from fernweir.peers.members.view import Voice


class Members:
    """A `base.Part`. All its messages go to addresses that members advertise, never to names.

    `displaced` is true while another living front has this name and the higher life: others do not see this
    one then, and it must not act.
    """

    def __init__(self, me: Me, rules: MemberRules, seed: int) -> None:
        self._rules = rules
        self._voice = Voice(me, rules, Random(seed))
        self._prober = Prober(self._voice)
        self._repair = Repair(self._voice)
        self._in = False
        self._doubted = -math.inf
        self._due: float | None = None

    # --- what others ask ---

    @property
    def displaced(self) -> bool:
        return self._voice.identity.displaced

    @property
    def doubt(self) -> int:
        """0 while this front trusts its own sight."""
        return self._voice.awareness.score

    @property
    def dropped(self) -> int:
        """Messages whose sender is not whom they speak for."""
        return self._prober.dropped + self._repair.dropped

    @property
    def refused(self) -> int:
        """Statements on unknown names for which the table had no room."""
        return self._voice.news.refused

    def alive(self) -> list[str]:
        """Names believed alive, suspects and the own one included, sorted."""
        return sorted([*self._voice.roster.living, self._voice.own.name])

    def address(self, name: str) -> Address | None:
        """What the member advertises, dead or alive; None if it is not known."""
        member = self._voice.roster.rows.get(name)
        return member.address if member is not None else None

    def life(self, name: str) -> int:
        """The highest life known of that name; 0 if none is."""
        known = self._voice.roster.known(name)
        return known.life if known is not None else 0

    def table(self) -> Mapping[str, Member]:
        """All members with oneself, and the dead for `forget`; at most `most`."""
        return self._voice.roster.rows

    # --- coming and going ---

    def join(self, now: float, seeds: Sequence[Address]) -> None:
        """From now on this front is a member; seeds are called until another front is known."""
        voice = self._voice
        voice.now, self._in = now, True
        voice.publish(voice.own)
        self._prober.begin(voice.dice.random() * self._rules.period)
        self._repair.begin(seeds)
        self._plan()

    def leave(self, now: float) -> None:
        """Says goodbye to some at once and to the rest as long as it is ticked; all else ends."""
        if not self._in:
            return
        self._voice.now = now
        self._voice.identity.leave()
        self._prober.end()
        self._repair.end()
        self._voice.spread(2 * self._rules.fanout)
        self._plan()

    def stood(self, now: float, late_ms: float) -> None:
        """This process stood still: nothing that happened, or did not, says anything of others."""
        if self._in and late_ms > self._rules.late_after and self._doubted < now - late_ms:
            self._voice.now = now
            self._doubt(late_ms)
            self._plan()

    def _doubt(self, late: float) -> None:
        voice = self._voice
        self._doubted = voice.now
        if voice.own.living:
            voice.awareness.worse(math.ceil(late / self._rules.period))
            voice.suspicions.again(voice.now)
            voice.identity.stood(voice.now)
            self._prober.begin(self._rules.period)
            self._repair.stood()

    def _awake(self, now: float) -> None:
        self._voice.now = now
        if self._due is not None and now - self._due > self._rules.late_after:
            self._doubt(now - self._due)

    # --- a part's four ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if not self._in or not self._voice.own.living:
            return
        self._awake(now)
        if isinstance(message, Ping):
            self._prober.heard_ping(sender, message)
        elif isinstance(message, Ack):
            self._prober.heard_ack(sender, message)
        elif isinstance(message, PingRequest):
            self._prober.heard_request(sender, message)
        elif isinstance(message, Nack):
            self._prober.heard_nack(sender, message)
        elif isinstance(message, Gossip):
            self._voice.hear(message.news)
        elif isinstance(message, Sync):
            self._repair.heard_sync(sender, message)
        elif isinstance(message, Rows):
            self._repair.heard_rows(sender, message)
        self._plan()

    def tick(self, now: float) -> None:
        if not self._in:
            return
        self._awake(now)
        if self._voice.own.living:
            self._repair.step()
            self._prober.step()
        if self._voice.gossip_due() <= now:
            self._voice.spread(self._rules.fanout)
        self._plan()

    def next_deadline(self) -> float | None:
        return self._due

    def take_effects(self) -> list[Effect]:
        return self._voice.out.take_effects()

    def _plan(self) -> None:
        due = self._voice.gossip_due()
        if self._voice.own.living:
            due = min(due, self._prober.due(), self._repair.due())
        self._due = max(due, self._voice.now) if due < math.inf else None
