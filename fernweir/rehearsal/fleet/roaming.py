"""Viewers that go to another front when theirs can't be reached; their token is good at any."""

from __future__ import annotations

from random import Random

from fernweir.dash.mpd import read_mpd
from fernweir.http.client import Outcome, Reply
from fernweir.standin.viewer import Player, Shown, Viewers, Wish, fetch


class RoamingViewers(Viewers):
    async def ask(self, front: str, wish: Wish, shown: Shown | None = None) -> Reply:
        """Asks one front after the other, from `front` on, until one takes the connection."""
        others = [name for name in sorted(self.fronts) if name != front]
        Random(f"{wish.session} {front}").shuffle(others)
        reply = await super().ask(front, wish, shown)
        for other in others:
            if reply.outcome not in (Outcome.REFUSED, Outcome.UNREACHED):
                break
            reply = await super().ask(other, wish, shown)
        return reply

    async def leave(self, wish: Wish, reply: Reply) -> None:
        """Ends at its box what a front's answer began."""
        player = Player(read_mpd(reply.body))
        await fetch(self.boxes, player.origin, "DELETE", player.end_target(wish.session), 1.0)
