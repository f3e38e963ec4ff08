"""Mistakes where the parts are joined, and at the front's side; found by drawn days of whole fleets.

Leases are short, so that cuts and halts outlast them. `DAYS` says for each what days are drawn: fronts, and
the kinds of faults if not all. `faults` is how many must meet for the mistake to show.
"""

from __future__ import annotations

import importlib
from typing import Any

from tests.peers_mutants import Mutant, broken

_OWNING, _PEER = "fernweir/peers/owning.py", "fernweir/peers/peer.py"
_PEERING, _PROGRAM = "fernweir/front/peering.py", "fernweir/peers/program.py"
_FINDING, _TAKEOVER = "fernweir/peers/finding.py", "fernweir/peers/channel/takeover.py"
_HOST = "fernweir/front/host.py"

_LOSSES = ("kill", "stop")
_APART = ("cut", "stop")

MUTANTS = [
    Mutant(
        "an attempt leaves without its session being put into a channel", _PEER,
        "            self._at(self.owning).placed(act.at, act.session, act.box)\n", "", 2,
    ),
    Mutant(
        "a session that stands and has no owner just now begins anew", _FINDING,
        """    if between:
        return To(wait_ms=rules.again_ms)
    if hint is not None and hint != me and alive(hint):
        return To(hint)
    if not asked:
        return None
    if lost:
        return To(wait_ms=rules.again_ms)
""",
        """    if hint is not None and hint != me and alive(hint):
        return To(hint)
    if not asked:
        return None
""", 16,
    ),
    Mutant(
        "a front that was killed and is back counts as if it had lived on", _PEER,
        "        if before != life:\n", "        if False:\n", 16,
    ),
    Mutant(
        "who carried a request to a front's next life takes its word that nothing stands", _PEER,
        'elif answer.kind == "none" and self.owning.stood(now, seeking.request.session):', "elif False:", 24,
        faults=2,
    ),
    Mutant(
        "a lease got for a copy that is gone is kept", _OWNING,
        "            self._holder.release(now, channel)\n        else:\n            self._begin(now, channel",
        "            pass\n        else:\n            self._begin(now, channel", 60, faults=2,
    ),
    Mutant(
        "a channel that was another's is not replaced by a new one", _OWNING,
        "            self._own_anew(now, cut.part % self.rules.parts, cut.part + self.rules.parts)\n",
        "            pass\n", 6,
    ),
    Mutant(
        "a registrar's word that the owner is lost is passed over", _PEER,
        "self._place(now, seeking, event.owner, lost=event.lost, asked=True)",
        "self._place(now, seeking, event.owner, lost=False, asked=True)", 16,
    ),
    Mutant(
        "a try for a channel goes on though its owner lives", _OWNING,
        "elif copy.as_of is not None and copy.as_of > tried.since:", "elif False:", 6,
    ),
    Mutant(
        "what a second list lacks is held on", _TAKEOVER,
        "        if taken.held:\n            return []\n        there",
        "        return []\n        there", 20, faults=2,
    ),
    Mutant(
        "an end seen here is not told to the taking over of its channel", _OWNING,
        "            self.handoff.takeover.learn(now, channel, session, None)\n", "", 30, faults=2,
    ),
    Mutant(
        "an attempt that ends after its channel went is kept", _OWNING,
        "if held is None and not self.handoff.may_finish(now, channel):", "if False:", 20, faults=2,
    ),
    Mutant(
        "who hears that another has the lease keeps the sessions", _OWNING,
        "            self._holder.release(now, channel)\n            self._let_go(now, channel, by)\n",
        "            self._holder.release(now, channel)\n", 10,
    ),
    Mutant(
        "a front goes on naming itself for what it handed on", _PEER,
        "self._at(self.directory).cede(event.session)", "pass", 8,
    ),
    Mutant(
        "an heir does not register what it takes over", _PEER,
        "self._at(self.directory).register(now, event.session, event.fence)", "pass", 2,
    ),
    Mutant(
        "an heir does not listen to the boxes of what it takes over", _PEERING,
        "            self._client.listen(standing.box)\n", "", 12,
    ),
    Mutant(
        "a session goes to its heir and stays with its owner", _OWNING,
        "            self._port.let_go(now, session)\n            self._forget(session)\n            if to:",
        "            self._forget(session)\n            if to:", 6,
    ),
    Mutant(
        "an heir takes over what began anew with it", _OWNING,
        "if self._port.holds(session):", "if False:", 20, faults=2,
    ),
    Mutant(
        "a front that has just started takes sessions before it knows others", _PEER,
        '            self._hold("join", "joining its peers", _STALE_MS)\n', "            pass\n", 20,
    ),
    Mutant(
        "a request carried to who has handed its session on begins anew", _PEER,
        'return carried if hint is None else msgspec.structs.replace(carried, kind="elsewhere", why=hint)',
        "return carried", 20,
    ),
    Mutant(
        "what is sought as a front lives on under a later life is forgotten", _PROGRAM,
        "        for seeking in sought:\n            self.peer.find(now, seeking.request, seeking.then)\n",
        "", 80, faults=2,
    ),
    Mutant(
        "a session is taken over as never answered", _PEERING,
        "told=max(standing.answers, 1)", "told=0", 8,
    ),
    Mutant(
        "a session is taken over under the first attempt whatever it was", _PEERING,
        "attempt=standing.attempt, rung=standing.rung", "attempt=0, rung=standing.rung", 30, faults=2,
    ),
    Mutant(
        "who asks while the front is not joined any more is told it may begin here", _FINDING,
        "return To(registered) if alive(registered) else To(wait_ms=rules.again_ms)",
        "return To()", 6,
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
        "a channel that was got back is not claimed anew", _OWNING,
        "            self._begin(now, channel, fence, self._sessions[channel])\n            return",
        "            return", 20,
    ),
]  # fmt: skip

DAYS: dict[str, dict[str, Any]] = {
    "a front that was killed and is back counts as if it had lived on": {"kinds": ("kill", "term")},
    "who carried a request to a front's next life takes its word that nothing stands": {"kinds": ("kill",)},
    "a channel that was another's is not replaced by a new one": {"kinds": _APART},
    "a try for a channel goes on though its owner lives": {"kinds": _APART},
    "who hears that another has the lease keeps the sessions": {"kinds": _APART},
    "a front goes on naming itself for what it handed on": {"kinds": _APART},
    "an heir does not listen to the boxes of what it takes over": {"kinds": _LOSSES},
    "a session goes to its heir and stays with its owner": {"kinds": _APART},
    "a session is taken over as never answered": {"kinds": ("term", "kill")},
    "a session that stands and has no owner just now begins anew": {"kinds": ("kill", "term")},
    "a registrar's word that the owner is lost is passed over": {"kinds": ("kill", "term")},
    "a lapsed channel's sessions are let go at once": {"kinds": _APART},
}


def find(mutant: Mutant) -> tuple[int, str]:
    """The first seed whose day breaks something, and what; 0 if none of its seeds does."""
    with broken(mutant, "fernweir."):
        plan = importlib.import_module("fernweir.rehearsal.fleet.plan")
        schedule = importlib.import_module("fernweir.rehearsal.fleet.schedule")
        virtual = importlib.import_module("fernweir.rehearsal.fleet.virtual")
        more = dict(DAYS.get(mutant.name, {}))
        if "kinds" in more:
            more["kinds"] = tuple(schedule.Kind(kind) for kind in more["kinds"])
        for seed in range(1, mutant.seeds + 1):
            day = plan.FleetPlan(
                seed=seed, nasty=2.5, seconds=8.0, rate=6.0, play_s=(4.0, 12.0), settle_s=2.0,
                peers=plan.PeerPlan(lease=1_500.0, overlap=500.0), **more
            )  # fmt: skip
            result = virtual.play(day)
            if result.broken:
                return seed, str(result.broken[0])
    return 0, ""
