"""What must be true inside a fleet's fronts once all is quiet, and what their answers named, at boxes.

Rules of the trace see sockets' ends; this sees tables: two fronts that both believe to have a session, an
entry that outlives what it describes, a channel that nobody took up again.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from fernweir.dash.mpd import read_mpd
from fernweir.front.program import Front
from fernweir.front.session_manager import SessionPhase
from fernweir.http.client import Reply
from fernweir.peers.peer import Peer
from fernweir.rehearsal.fleet.roaming import RoamingViewers
from fernweir.standin.box import Box
from fernweir.standin.viewer import Player, Shown, Wish

LAST = "last-"  # sessions so called begin when all is quiet
KNOWN_MS = 500.0  # a session that stood so long has copies, and registrars know it
GHOST_MS = 2_500.0  # as long as the second lists of a taking over may take; see `peers.channel.takeover`


def unsettled(fronts: Mapping[str, Front], boxes: Iterable[Box], parts: int) -> list[str]:
    """What is wrong now; of a fleet without faults for some seconds it must be nothing."""
    peers = {name: front.peers.peer for name, front in fronts.items() if front.peers is not None}
    holders: dict[str, list[str]] = defaultdict(list)
    for name, front in fronts.items():
        for session, held in front.core.sessions.records().items():
            if held.phase is SessionPhase.PLAYING:
                holders[session].append(name)
    wrong = [f"{one} is held by {' and '.join(names)}" for one, names in holders.items() if len(names) > 1]
    running: set[str] = set()
    for box in boxes:
        for at_box in box.sessions.values():
            running.add(at_box.jti)
            if not at_box.channel and at_box.jti.startswith(LAST):
                wrong.append(f"{at_box.jti} began in a quiet fleet, and is in no channel")
            elif at_box.channel:
                wrong += _owner(peers, at_box.jti, at_box.channel, at_box.front)
    wrong += [
        f"{session} is held by {names[0]} and runs nowhere"
        for session, names in holders.items()
        if session not in running
    ]
    for name, peer in peers.items():
        wrong += [f"{name}: {text}" for text in _tables(peer, fronts[name], parts)]
    return wrong


def _owner(peers: Mapping[str, Peer], session: str, channel: str, front: str) -> list[str]:
    """A session in a channel is its owner's, under the box's eyes, its own, and its registrars'."""
    owners = [
        name for name, peer in peers.items() if session in peer.channels.owned_channels().get(channel, {})
    ]
    if owners != [front]:
        return [f"{session} in {channel} is {front}'s at its box, and held in it by {owners or 'nobody'}"]
    named = {}
    for name in peers[front].directory.registrars(session):
        entry = peers[name].directory._registrar.find(peers[name]._now, session) if name in peers else None
        named[name] = None if entry is None else entry.owner
    if front not in named.values() or set(named.values()) - {front, None}:
        return [f"{session} of {front} is registered as {named}"]
    return []


def _tables(peer: Peer, front: Front, parts: int) -> list[str]:
    """Tables that hold what is dead, or never ends."""
    manager, held = peer.channels, front.core.sessions.records()
    wrong = [f"its table of {what} has {one}, which it does not hold" for what, names in (
        ("channels", manager._channel_by_session), ("attempts", manager._server_by_session),
        ("registered", peer.directory._own),
    ) for one in names if one not in held]  # fmt: skip
    for channel, standings in manager.owned_channels().items():
        wrong += [f"{one} stands in {channel}, and is not held" for one in standings if one not in held]
    mine = [channel for channel in manager.owned_channels() if manager._is_own(channel)]
    if len(mine) != parts:
        wrong.append(f"has {len(mine)} channels of its own, of {parts}")
    for what, table in (
        ("tries", manager._lease_attempts), ("turns", manager._pending_takeovers),
        ("undecided channels", manager._unsettled),
        ("seeking", peer._pending_lookups), ("carried", peer._forwarded), ("finds", peer.directory._finds),
        ("questions", peer.audit._pending_queries), ("stale fronts", peer.stragglers.shut_out_fronts()),
    ):  # fmt: skip
        wrong += [f"{what} left: {', '.join(map(str, table))[:200]}"] if table else []
    if front.core.sessions.observer is None:
        wrong.append("nobody is told of its sessions")
    return wrong


@dataclass(frozen=True, slots=True)
class Named:
    """A front's word to a viewer that its session plays there. `at` is ms."""

    at: float
    front: str
    session: str
    box: int
    attempt: int


class WatchedViewers(RoamingViewers):
    """Notes which box each answer named. `ports` are the boxes', filled by who makes it."""

    def watch_answers(self, ports: Mapping[tuple[str, int], int]) -> list[Named]:
        self.ports, self.named = ports, list[Named]()
        return self.named

    async def ask(self, front: str, wish: Wish, shown: Shown | None = None) -> Reply:
        reply = await super().ask(front, wish, shown)
        if reply.status == 200:
            player = Player(read_mpd(reply.body))
            box = self.ports.get(player.origin, 0)
            attempt = int(player.end_target("").partition("attempt=")[2].partition("&")[0])
            self.named.append(Named(self._loop.time() * 1000.0, front, wish.session, box, attempt))
        return reply


def ghosts(
    named: Iterable[Named], records: Iterable[Mapping[str, Any]], stood: Iterable[tuple[str, float, float]]
) -> list[str]:
    """Answers that name a box at which the session had ended, or never begun, for `GHOST_MS`."""
    begun: set[tuple[int, str, int]] = set()
    ended: dict[tuple[int, str, int], float] = {}
    for record in records:
        if record["kind"] == "box.runs":
            begun.add((record["box"], record["session"], record["attempt"]))
        elif record["kind"] == "box.end":
            ended[record["box"], record["session"], record["attempt"]] = float(record["t"])
    halts, wrong = list(stood), []
    for one in named:
        key = (one.box, one.session, one.attempt)
        since = one.at - ended.get(key, one.at)
        halted = any(begin - GHOST_MS <= one.at <= end + GHOST_MS for _, begin, end in halts)
        if key not in begun or (since > GHOST_MS and not halted):
            ago = f"ended {since:.0f} ms ago" if key in begun else "never began"
            wrong.append(f"{one.front} said that {one.session} plays at box {one.box}, where it {ago}")
    return wrong


def begun_twice(records: Iterable[Mapping[str, Any]]) -> list[str]:
    """Sessions that a front began anew while they ran in another's channel, for long enough to be known.

    Good for days on which every message between fronts arrives: what a registrar and the standbys were told
    is asked before anything begins.
    """
    running: dict[str, Mapping[str, Any]] = {}
    down: dict[str, float] = {}
    wrong: list[str] = []
    for record in records:
        kind, session = record["kind"], str(record.get("session"))
        if kind == "front.down":
            down[record["front"]] = float(record["t"])
        elif kind == "box.runs":
            running[session] = record
        elif kind == "box.end":
            running.pop(session, None)
        elif kind == "box.setup" and (other := running.get(session)) and other["channel"]:
            known = down.get(other["front"], float(record["t"])) - float(other["t"])
            if other["front"] != record["front"] and known > KNOWN_MS:
                wrong.append(f"{session} of {other['front']} was begun anew by {record['front']}")
    return wrong
