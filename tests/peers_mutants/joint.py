"""Mutants of the code that connects the parts, and of the port; simulated fleets must detect each.

Leases are short, so that partitions and stalls outlast them. `DAYS` has the options of the simulated fleets
for a mutant. `faults` is the number of faults that must coincide for the mutant to show.
"""

from __future__ import annotations

import importlib
from typing import Any

from tests.peers_mutants import Mutant, broken

_CHANNEL_MANAGER, _PEER = "fernweir/peers/channel_manager.py", "fernweir/peers/peer.py"
_PEERING = "fernweir/front/peering.py"
_TAKEOVER = "fernweir/peers/channel/takeover.py"

_LOSSES = ("kill", "stop")
_APART = ("cut", "stop")

MUTANTS = [
    Mutant(
        "an attempt is sent without assigning its session to a channel", _PEER,
        "            self._touch(self.channels).on_attempt_started(record.at, record.session, record.box)\n",
        "", 2,
    ),
    Mutant(
        "a relinquished channel is not replaced by a new one", _CHANNEL_MANAGER,
        "            self._request_own_channel"
        "(now, parsed.part % self.rules.parts, parsed.part + self.rules.parts)\n",
        "            pass\n", 6,
    ),
    Mutant(
        "sessions that a second list lacks are kept", _TAKEOVER,
        "        if taken.held:\n            return []\n        there",
        "        return []\n        there", 20, faults=2,
    ),
    Mutant(
        "the takeover of a channel ignores the end of a session", _CHANNEL_MANAGER,
        "            self.handoff.takeover.learn(now, channel, session, None)\n", "", 30, faults=2,
    ),
    Mutant(
        "a front keeps the sessions although another front has the lease", _CHANNEL_MANAGER,
        "            self._holder.release(now, channel)\n"
        "            self._relinquish_channel(now, channel, by)\n",
        "            self._holder.release(now, channel)\n", 10,
    ),
    Mutant(
        "a successor does not register the sessions that it takes over", _PEER,
        "self._touch(self.directory).register(now, event.session, event.fence)", "pass", 10,
    ),
    Mutant(
        "a successor opens no notice streams for the sessions that it takes over", _PEERING,
        "            self._client.open_notice_stream(standing.box)\n", "", 12,
    ),
    Mutant(
        "a session moves to a successor and stays with its owner", _CHANNEL_MANAGER,
        "            self._port.relinquish_session(now, session)\n"
        "            self._forget(session)\n            if to:",
        "            self._forget(session)\n            if to:", 6,
    ),
    Mutant(
        "sessions are released under a fence of no channel", _CHANNEL_MANAGER,
        "            under = (event.channel, event.fence)\n", "            under = (event.channel, 1)\n", 20,
    ),
    Mutant(
        "the sessions of an expired channel are relinquished at once", _CHANNEL_MANAGER,
        'if why == "taken" or self._leaving:', "if True:", 10,
    ),
    Mutant(
        "a successor claims no server", _CHANNEL_MANAGER,
        "        self._port.claim_channel(server, event.channel, event.fence, event.overlap_ms, then)\n",
        "", 8,
    ),
    Mutant(
        "the status of sessions is not replicated", _CHANNEL_MANAGER,
        "        self.replica.change(now, channel, status)\n        self.handoff.change",
        "        self.handoff.change", 8,
    ),
    Mutant(
        "ended sessions stay in the table of attempts", _CHANNEL_MANAGER,
        "        self._server_by_session.pop(session, None)\n", "", 1,
    ),
    Mutant(
        "forwarded requests stay in the table after their reply", _PEER,
        "self._forwarded.pop(event.number, None)", "self._forwarded.get(event.number)", 2,
    ),
    Mutant(
        "lookups stay in the table after their end", _PEER,
        "self._pending_lookups.pop(event.session, [])",
        "list(self._pending_lookups.get(event.session, []))", 1,
    ),
]  # fmt: skip

DAYS: dict[str, dict[str, Any]] = {
    "sessions that a second list lacks are kept": {"play_s": (2.0, 6.0)},
    "the takeover of a channel ignores the end of a session": {"play_s": (2.0, 6.0)},
    "a successor does not register the sessions that it takes over": {"kinds": ("kill", "stop")},
    "a successor claims no server": {"kinds": ("kill", "stop")},
    "the status of sessions is not replicated": {"kinds": ("kill", "stop")},
    "a relinquished channel is not replaced by a new one": {"kinds": _APART},
    "a front keeps the sessions although another front has the lease": {"kinds": _APART},
    "a successor opens no notice streams for the sessions that it takes over": {"kinds": _LOSSES},
    "a session moves to a successor and stays with its owner": {"kinds": _APART},
    "the sessions of an expired channel are relinquished at once": {"kinds": _APART},
}


def find(mutant: Mutant) -> tuple[int, str]:
    """Returns the first seed whose simulation violates a rule, and the violation; 0 if none does."""
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
