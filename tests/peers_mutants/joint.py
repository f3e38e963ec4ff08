"""Mistakes where the parts are joined, and at the front's side; found by drawn days of whole fleets.

Leases are short, so that cuts and halts outlast them. `DAYS` says for each what days are drawn: fronts, and
the kinds of faults if not all. `faults` is how many must meet for the mistake to show.
"""

from __future__ import annotations

import importlib
from typing import Any

from tests.peers_mutants import Mutant, broken

_OWNING, _PEER = "fernweir/peers/owning.py", "fernweir/peers/peer.py"
_PEERING = "fernweir/front/peering.py"
_TAKEOVER = "fernweir/peers/channel/takeover.py"

_LOSSES = ("kill", "stop")
_APART = ("cut", "stop")

MUTANTS = [
    Mutant(
        "an attempt leaves without its session being put into a channel", _PEER,
        "            self._at(self.owning).placed(act.at, act.session, act.box)\n", "", 2,
    ),
    Mutant(
        "a channel that was another's is not replaced by a new one", _OWNING,
        "            self._own_anew(now, cut.part % self.rules.parts, cut.part + self.rules.parts)\n",
        "            pass\n", 6,
    ),
    Mutant(
        "what a second list lacks is held on", _TAKEOVER,
        "        if takeover.holding:\n            return []\n        listed_attempts",
        "        return []\n        listed_attempts", 20, faults=2,
    ),
    Mutant(
        "an end seen here is not told to the taking over of its channel", _OWNING,
        "            self.handoff.takeover.on_final_status(now, channel, session, None)\n", "", 30, faults=2,
    ),
    Mutant(
        "who hears that another has the lease keeps the sessions", _OWNING,
        "            self._holder.release(now, channel)\n            self._let_go(now, channel, by)\n",
        "            self._holder.release(now, channel)\n", 10,
    ),
    Mutant(
        "an heir does not register what it takes over", _PEER,
        "self._at(self.directory).register(now, event.session, event.fence)", "pass", 10,
    ),
    Mutant(
        "an heir does not listen to the boxes of what it takes over", _PEERING,
        "            self._client.open_notice_stream(standing.box)\n", "", 12,
    ),
    Mutant(
        "a session goes to its heir and stays with its owner", _OWNING,
        "            self._port.relinquish_session(now, session)\n"
        "            self._forget(session)\n            if to:",
        "            self._forget(session)\n            if to:", 6,
    ),
    Mutant(
        "what one front gives up it releases under a fence of no channel", _OWNING,
        "            under = (event.channel, event.fence)\n", "            under = (event.channel, 1)\n", 20,
    ),
    Mutant(
        "a lapsed channel's sessions are let go at once", _OWNING,
        'if why == "taken" or self._leaving:', "if True:", 10,
    ),
    Mutant(
        "an heir claims no box", _OWNING,
        "        self._port.claim_channel(box, event.channel, event.fence, event.overlap_ms, then)\n", "", 8,
    ),
    Mutant(
        "standbys are not told of what stands", _OWNING,
        "        self.replica.change(now, channel, standing)\n        self.handoff.change",
        "        self.handoff.change", 8,
    ),
    Mutant(
        "what is over keeps its place in the table of attempts", _OWNING,
        "        self._placed.pop(session, None)\n", "", 1,
    ),
    Mutant(
        "requests that were answered by another front are kept", _PEER,
        "self._carried.pop(event.number, None)", "self._carried.get(event.number)", 2,
    ),
    Mutant(
        "requests whose place was found are kept", _PEER,
        "self._seeking.pop(event.session, [])", "list(self._seeking.get(event.session, []))", 1,
    ),
]  # fmt: skip

DAYS: dict[str, dict[str, Any]] = {
    "what a second list lacks is held on": {"play_s": (2.0, 6.0)},
    "an end seen here is not told to the taking over of its channel": {"play_s": (2.0, 6.0)},
    "an heir does not register what it takes over": {"kinds": ("kill", "stop")},
    "an heir claims no box": {"kinds": ("kill", "stop")},
    "standbys are not told of what stands": {"kinds": ("kill", "stop")},
    "a channel that was another's is not replaced by a new one": {"kinds": _APART},
    "who hears that another has the lease keeps the sessions": {"kinds": _APART},
    "an heir does not listen to the boxes of what it takes over": {"kinds": _LOSSES},
    "a session goes to its heir and stays with its owner": {"kinds": _APART},
    "a lapsed channel's sessions are let go at once": {"kinds": _APART},
}


def find(mutant: Mutant) -> tuple[int, str]:
    """The first seed whose day breaks something, and what; 0 if none of its seeds does."""
    with broken(mutant, "fernweir."):
        plan = importlib.import_module("fernweir.rehearsal.fleet.plan")
        schedule = importlib.import_module("fernweir.rehearsal.fleet.schedule")
        virtual = importlib.import_module("fernweir.rehearsal.fleet.virtual")
        more: dict[str, Any] = {"play_s": (10.0, 16.0)}
        more |= DAYS.get(mutant.name, {})
        if "kinds" in more:
            more["kinds"] = tuple(schedule.Kind(kind) for kind in more["kinds"])
        for seed in range(1, mutant.seeds + 1):
            day = plan.FleetPlan(
                seed=seed, nasty=2.5, seconds=8.0, rate=6.0, settle_s=2.0,
                peers=plan.PeerPlan(lease=1_500.0, overlap=500.0), **more
            )  # fmt: skip
            result = virtual.play(day)
            if result.broken:
                return seed, str(result.broken[0])
    return 0, ""
