"""What channels cost and how fast they change hands: simulated, on virtual time, no sockets.

python -m bench.peers_channel [--sessions 500] [--channels 8] [--seed 1]
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import click
import msgspec

from fernweir.peers.base import Send
from fernweir.peers.channel.channel_names import channel_of, payload_digest
from fernweir.peers.channel.handoff import Handoff
from fernweir.peers.channel.handoff_source import Freeze, NoSuccessor, OverlapOver, WantLease
from fernweir.peers.channel.payloads import NeedPayload
from fernweir.peers.channel.replication import ChannelReplication
from fernweir.peers.channel.rules import SuccessorRules
from fernweir.peers.channel.successor_selection import Candidate, assign, capacities, wait_ms
from fernweir.peers.channel.takeover import Claim, Inherited
from fernweir.peers.channel.takeover_pacing import LostChannel, schedule_takeovers
from fernweir.peers.port import ClaimResult, SessionStatus

WAY_MS = (0.3, 2.0)  # between fronts, and between a front and a server
BOXES = 30
PAYLOADS = 20  # distinct ones
QUORUM_MS = 4.0  # a lease from a majority of keepers: two round trips


def sessions_of(count: int, parts: int, seed: int) -> dict[str, list[SessionStatus]]:
    """A front's sessions by channel, with names as long as real ones."""
    rng = Random(f"sessions {seed}")
    payloads = [payload_digest(payload_of(n)) for n in range(PAYLOADS)]
    channels: dict[str, list[SessionStatus]] = {}
    for _ in range(count):
        session = rng.randbytes(16).hex()
        one = SessionStatus(
            session, f"10.0.0.{rng.randrange(250)}:40000", f"viewer{rng.randrange(9_999)}@example.org",
            f"lesson-{rng.randrange(60)}", "standard", 4, "lagos", rng.getrandbits(30),
            rng.randrange(BOXES), rng.randrange(3), rng.randrange(5), rng.choice(payloads), 1, 0,
        )  # fmt: skip
        channels.setdefault(channel_of("front-1", 1, session, parts), []).append(one)
    return channels


def payload_of(number: int) -> bytes:
    """Returns the payload of a title, of a usual size."""
    return Random(f"payload {number}").randbytes(6_000)


class Paths:
    """The network with its delays; counts all bytes by message kind and sender."""

    def __init__(self, seed: int) -> None:
        self.rng, self.now, self.count = Random(f"paths {seed}"), 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.bytes: Counter[str] = Counter()
        self.last: dict[tuple[str, str], float] = {}

    def after(self, ms: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + ms, self.count, what))

    def send(self, sender: str, effect: Send, to: Any) -> None:
        self.bytes[f"{sender}: {type(effect.message).__name__}"] += len(
            msgspec.msgpack.encode(effect.message)
        )
        when = max(self.now + self.rng.uniform(*WAY_MS), self.last.get((sender, str(effect.to)), 0.0))
        self.last[(sender, str(effect.to))] = when
        self.after(when - self.now, lambda: to.on_message(self.now, sender, effect.message))

    def step(self, until: float, parts: dict[str, Any]) -> bool:
        """Advances to the next event. Returns False if that is later than `until`."""
        deadlines = [due for part in parts.values() if (due := part.next_deadline()) is not None]
        if self.queue:
            deadlines.append(self.queue[0][0])
        if not deadlines or min(deadlines) > until:
            self.now = until
            return False
        self.now = max(self.now, min(deadlines))
        while self.queue and self.queue[0][0] <= self.now:
            heapq.heappop(self.queue)[2]()
        for part in parts.values():
            due = part.next_deadline()
            if due is not None and due <= self.now:
                part.tick(self.now)
        return True


def measure_replication(count: int, parts_of: int, seed: int, every_s: float) -> None:
    """An owner and two standbys for a minute; each session's rung changes once in `every_s` on average."""
    channels, rng = sessions_of(count, parts_of, seed), Random(f"changes {seed}")
    paths, payloads = Paths(seed), {payload_digest(payload_of(n)): payload_of(n) for n in range(PAYLOADS)}
    parts: dict[str, Any] = {name: ChannelReplication(name, None, seed) for name in ("owner", "b", "c")}
    owner: ChannelReplication = parts["owner"]
    for channel, statuses in channels.items():
        owner.own(0.0, channel, 1, statuses)
        owner.standbys(0.0, channel, ["b", "c"])
    flat = [(channel, number) for channel, statuses in channels.items() for number in range(len(statuses))]

    def change() -> None:
        channel, number = rng.choice(flat)
        one = channels[channel][number]
        channels[channel][number] = one = msgspec.structs.replace(one, rung=(one.rung + 1) % 5)
        owner.change(paths.now, channel, one)
        paths.after(rng.expovariate(count / every_s / 1_000.0), change)

    def run(until: float) -> None:
        while paths.step(until, parts):
            for name, part in parts.items():
                for effect in part.take_effects():
                    if isinstance(effect, Send):
                        paths.send(name, effect, parts[str(effect.to)])
                    elif isinstance(effect, NeedPayload):
                        part.payload(paths.now, effect.digest, payloads[effect.digest])

    run(2_000.0)
    first = Counter(paths.bytes)
    if every_s:
        change()
    run(62_000.0)
    ages = [
        copy.age_ms(paths.now)
        for channel in channels
        if (copy := parts["b"].find_replica(channel)) is not None
    ]
    total = paths.bytes - first
    owner_bytes = sum(size for kind, size in total.items() if kind.startswith("owner"))
    standby_bytes = sum(total.values()) - owner_bytes
    label = f"a rung changed every {every_s:g} s" if every_s else "nothing changed"
    print(
        f"copies, {count} sessions, {len(channels)} channels, 2 standbys, {label}: owner sends "
        f"{owner_bytes / 60.0:,.0f} B/s, standbys answer {standby_bytes / 60.0:,.0f} B/s; at the start "
        f"{sum(first.values()):,} B; oldest copy {max(ages):.0f} ms"
    )


def measure_handoff(count: int, parts_of: int, seed: int) -> None:
    """A front hands all channels off to three targets; a lease takes two round trips, a claim one."""
    channels = sessions_of(count, parts_of, seed)
    paths, rng = Paths(seed), Random(f"handing {seed}")
    targets = ["b", "c", "d"]
    parts: dict[str, Any] = {
        name: Handoff(name, None, seed, listed=lambda: range(BOXES)) for name in ["a", *targets]
    }
    frozen: dict[str, float] = {}
    active: dict[str, float] = {}
    done: dict[str, float] = {}
    for turn, (channel, statuses) in enumerate(channels.items()):
        order = targets[turn % 3 :] + targets[: turn % 3]
        parts["a"].offer(0.0, channel, 1, {one.session: one for one in statuses}, order)

    def claim(name: str, event: Claim, box: int) -> None:
        mine = tuple(
            (one.session, one.attempt, one.rung) for one in channels[event.channel] if one.box == box
        )
        owner_bytes = ClaimResult(box, True, True, event.fence, mine)
        way = rng.uniform(*WAY_MS) + rng.uniform(*WAY_MS)
        paths.after(way, lambda: parts[name].on_claimed(paths.now, event.channel, owner_bytes))

    def event(name: str, effect: Any) -> None:
        if isinstance(effect, Freeze):
            frozen[effect.channel] = paths.now
            parts[name].on_frozen(paths.now, effect.channel, [])
        elif isinstance(effect, WantLease):
            channel, fence = effect.channel, effect.floor + 1
            paths.after(QUORUM_MS, lambda: parts[name].on_lease_acquired(paths.now, channel, fence))
        elif isinstance(effect, Claim):
            for box in effect.boxes:
                claim(name, effect, box)
        elif isinstance(effect, Inherited):
            active[effect.channel] = paths.now
        elif isinstance(effect, OverlapOver):
            done[effect.channel] = paths.now
        elif isinstance(effect, NoSuccessor):
            raise SystemExit(f"nobody took {effect.channel}")

    more = True
    while more:
        for name, part in parts.items():
            for effect in part.take_effects():
                if isinstance(effect, Send):
                    paths.send(name, effect, parts[str(effect.to)])
                else:
                    event(name, effect)
        more = paths.step(10_000.0, parts)
    gaps = [active[channel] - frozen[channel] for channel in channels]
    print(
        f"hand-off, {count} sessions in {len(channels)} channels to 3 heirs: the last heir acts after "
        f"{max(active.values()):.0f} ms, longest without an owner who steers {max(gaps):.0f} ms, overlap at "
        f"most {max(done[one] - frozen[one] for one in channels):.0f} ms, {sum(paths.bytes.values()):,} B"
    )


def measure_succession(count: int, parts_of: int, seed: int) -> None:
    """One of 30 fronts with similar loads is lost: the new owners, and the times of the takeovers."""
    rng, rules = Random(f"inheriting {seed}"), SuccessorRules()
    fronts = [Candidate(f"f{n}", rng.randrange(count - 60, count + 60), 1e6) for n in range(28)]
    fronts += [Candidate("f28", 0, 1_000.0), Candidate("f29", 20, 6_000.0)]
    moved = must = every = 0
    for lost_one in fronts[:28]:
        if lost_one.name == "f7":
            continue
        channels = {f"{lost_one.name}:1/{part}": count // parts_of for part in range(parts_of)}
        others = [one for one in fronts if one is not lost_one]
        before, after = (
            assign(channels, others),
            assign(channels, [one for one in others if one.name != "f7"]),
        )
        must += sum(1 for order in before.values() if order[0] == "f7")
        moved += sum(1 for channel in channels if before[channel][0] != after[channel][0])
        every += len(channels)
    print(
        f"heirs of the {every} channels of 27 fronts, when one more of 30 goes: {moved / every:.2%} have "
        f"another first heir, {must / every:.2%} had that front"
    )
    left = [one for one in fronts if one.name != "f7"]
    lost = {f"f7:1/{part}": count // parts_of for part in range(parts_of)}
    result = assign(lost, left)
    loads = Counter({one.name: one.load for one in left})
    for channel, order in result.items():
        loads[order[0]] += lost[channel]
    bounds = capacities(left, rules, sum(lost.values()))
    gained = {name: loads[name] - next(one.load for one in left if one.name == name) for name in loads}
    fullest = max(loads[name] / bounds[name] for name in loads)
    young = {name: gained[name] for name in ("f28", "f29")}
    print(
        f"a loss of {sum(lost.values())} sessions: {sum(1 for one in gained.values() if one)} heirs, at most "
        f"{max(gained.values())} each, fullest at {fullest:.2f} of its bound, the young get {young}"
    )
    latest = []
    for seed_of in range(1_000):
        inherited: dict[str, list[str]] = {}
        for channel, order in result.items():
            inherited.setdefault(order[0], []).append(channel)
        for name, channels in inherited.items():
            losses = [
                LostChannel(channel, lost[channel], tuple(rng.sample(range(BOXES), 26)), 50.0)
                for channel in channels
            ]
            turns = schedule_takeovers(0.0, losses, None, hash_of(name, seed_of), len(inherited))
            latest.append(turns[-1].at)
    latest.sort()
    print(
        f"spread, 1,000 draws: an heir's last channel begins {latest[len(latest) // 2]:.0f} ms after the "
        f"first could at the median, {latest[int(len(latest) * 0.99)]:.0f} ms at p99; the next in line "
        f"waits {wait_ms(1):.0f} ms"
    )


def hash_of(name: str, seed: int) -> int:
    return Random(f"{name} {seed}").getrandbits(30)


@click.command()
@click.option("--sessions", default=500)
@click.option("--channels", default=8)
@click.option("--seed", default=1)
def main(sessions: int, channels: int, seed: int) -> None:
    print("simulated, bytes of encoded messages without frames and seals")
    for every_s in (0.0, 30.0, 10.0, 2.0):
        measure_replication(sessions, channels, seed, every_s)
    measure_handoff(sessions, channels, seed)
    measure_succession(sessions, channels, seed)


if __name__ == "__main__":
    main()
