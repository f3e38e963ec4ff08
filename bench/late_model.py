"""Explores straggler detection completely, with three fronts that are keepers and a bounded number of faults.

Time passes in turns of 1 ms, and the rules are a few turns long. In a turn at most one of all possible
events happens (an update for some fronts, a front that catches up, a message that is lost, duplicated or
delayed, a front that is suspended, resumed, restarted or publishes false facts), then all fronts receive
the messages of the turn before, and evaluate. A front's state is stored with times relative to now; those
too old to matter are equal except for their order. The states are therefore finite, and all are visited.
What a machine does in a turn is computed once for each state and its inputs.
"""

from __future__ import annotations

import pickle
from collections.abc import Iterator
from dataclasses import fields, is_dataclass
from io import BytesIO
from typing import Any, NamedTuple

import msgspec

from bench.late_day import Kit, content
from fernweir.peers.acts.versions import Versions

FRONTS = ("f0", "f1", "f2")
HORIZON = 14.0
GRACE = 5  # turns until a vote in flight has arrived
CAP = 1
KINDS = "lose late double stop restart lie"


def rules(kit: Kit) -> Any:
    """Returns the rules in turns."""
    return kit.rules.LateRules(
        stale_ms=2.0, urgent_ms=2.0, split_ms=4.0, attempt_ms=1.0, attempts=2, retry_ms=1_000.0,
        min_shut_out_ms=3.0, clean_ms=2.0, max_clean_ms=4.0, forget_ms=1_000.0, vote_ms=3.0,
        vote_interval_ms=1.0, settle_ms=5.0, evidence_lag_ms=1.0, max_evidence_age_ms=10.0,
        evidence_keep_ms=4.0, evidence_interval_ms=1.0, minority_ms=1_000.0, suspect_ms=3.0,
        isolation_ms=1_000.0, wait_ms=1.0, evaluation_ms=1.0,
    )  # fmt: skip


BOUND = 4 + 4 + 3 + 5 + 6  # clean for, stay and votes' life, places settling, news' ways


class Env(NamedTuple):
    """The real state of the fleet.

    For each front: the number of the list it has, its life, for how many turns it is suspended (0: it
    runs), whether it publishes false facts, for how many turns it is really behind (up to what shutting out
    takes), and for how many it has been up to date, or just no longer behind. `news` and `faults` are the
    updates and faults that may still happen.
    """

    holds: tuple[int, ...]
    lives: tuple[int, ...]
    still: tuple[int, ...]
    lies: tuple[bool, ...]
    behind_for: tuple[int, ...]
    current_for: tuple[int, ...]
    news: int
    faults: int
    in_flight: tuple[tuple[int, int, int, Any], ...]  # turns to go, from, to, message
    backs: tuple[tuple[int, int, int], ...]  # turns ago, observer, who was let back
    shuts: tuple[tuple[int, int, int], ...]  # turns ago, observer, who was shut out


class State(NamedTuple):
    """`machines`: the number of each front's state; `wrong`: the violations of the last turn."""

    machines: tuple[int, ...]
    env: Env
    wrong: str = ""


class Model:
    def __init__(self, kit: Kit, news: int, faults: int, kinds: str = KINDS) -> None:
        self.kit, self.rules = kit, rules(kit)
        self.kinds = frozenset(kinds.split())
        self.news, self.faults = news, faults
        self._ids: dict[Any, int] = {}
        self._pickles: list[bytes] = []
        self._done: dict[Any, tuple[int, tuple[Any, ...]]] = {}
        self._outs: list[frozenset[str]] = []
        self._suspect: list[bool] = []

    # --- a machine's state ---

    def keep(self, machine: Any) -> int:
        key = freeze(machine, self.rules)
        number = self._ids.get(key)
        if number is None:
            number = self._ids[key] = len(self._pickles)
            self._pickles.append(_dump(machine, self.rules))
            self._outs.append(machine.shut_out())
            self._suspect.append(bool(machine.suspects()))
        return number

    def turn(self, number: int, inputs: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        """Returns the state after a turn with these inputs, and the effects."""
        key = number, inputs
        done = self._done.get(key)
        if done is None:
            machine = _load(self._pickles[number], self.rules)
            now = 1.0
            for what, *args in inputs:
                getattr(machine, what)(now, *args)
            machine.tick(now)
            out = tuple(machine.take_effects())
            shift(machine, now, self.rules)
            done = self._done[key] = self.keep(machine), out
        return done

    # --- the fleet ---

    def start(self) -> State:
        machines = []
        for name in FRONTS:
            machine = self.kit.stragglers.Stragglers(name, 1, self.rules, -HORIZON, FRONTS)
            machine.set_fleet(-HORIZON, dict.fromkeys(FRONTS, 1))
            for other in FRONTS:
                machine.on_versions(-HORIZON, other, versions(0))
            machine.tick(0.0)
            machine.take_effects()
            shift(machine, 0.0, self.rules)
            machines.append(self.keep(machine))
        three = (0,) * 3
        env = Env(
            three, (1,) * 3, three, (False,) * 3, three, (BOUND + 1,) * 3, self.news, self.faults, (), (), ()
        )
        return State(tuple(machines), env)

    def choices(self, env: Env) -> Iterator[tuple[str, Env]]:
        yield "nothing", env
        top = max(env.holds)
        if env.news:
            for told in ((0, 1, 2), (0, 1), (0, 2), (1, 2), (0,), (1,), (2,)):
                holds = tuple(
                    top + 1 if i in told and not env.still[i] else held for i, held in enumerate(env.holds)
                )
                if holds != env.holds:
                    yield f"news to {told}", env._replace(holds=holds, news=env.news - 1)
        for i in range(3):
            for held in {held for held in env.holds if held > env.holds[i]}:
                if not env.still[i]:
                    yield f"{i} catches up to {held}", env._replace(holds=_set(env.holds, i, held))
            if env.still[i]:
                yield f"{i} wakes", env._replace(still=_set(env.still, i, -env.still[i]))
            if env.lies[i]:
                yield f"{i} lies no more", env._replace(lies=_set(env.lies, i, False))
        if env.faults:
            yield from self._faults(env._replace(faults=env.faults - 1, current_for=(0, 0, 0)))

    def _faults(self, env: Env) -> Iterator[tuple[str, Env]]:
        kinds = self.kinds
        for number, item in enumerate(env.in_flight):
            rest = env.in_flight[:number] + env.in_flight[number + 1 :]
            what = f"{type(item[3]).__name__} {item[1]} to {item[2]}"
            if "lose" in kinds:
                yield f"lost: {what}", env._replace(in_flight=rest)
            if "late" in kinds and item[0] == 0:
                yield f"late: {what}", env._replace(in_flight=_sorted([*rest, (2, *item[1:])]))
            if "double" in kinds and item[0] == 0:
                yield f"doubled: {what}", env._replace(in_flight=_sorted([*env.in_flight, (2, *item[1:])]))
        for i in range(3):
            if "stop" in kinds and not env.still[i]:
                yield f"{i} stops", env._replace(still=_set(env.still, i, 1))
            if "lie" in kinds and not env.lies[i]:
                yield f"{i} lies", env._replace(lies=_set(env.lies, i, True))
            if "restart" in kinds and not env.still[i]:
                yield f"{i} begins anew", env._replace(lives=_set(env.lives, i, env.lives[i] + 1))

    def step(self, state: State, env: Env) -> State:
        """Runs the turn of all fronts after a choice."""
        broken: list[str] = []
        top = max(env.holds)
        said = [versions(top if env.lies[i] else env.holds[i]) for i in range(3)]
        true = [versions(env.holds[i]) for i in range(3)]
        old, machines, events = state.env, list(state.machines), []
        sent: list[tuple[int, int, int, Any]] = [
            (go - 1, a, b, _older(m)) for go, a, b, m in env.in_flight if go > 0
        ]
        for i in range(3):
            if env.still[i] > 0:
                continue
            me = FRONTS[i]
            if env.lives[i] != old.lives[i]:
                fresh = self.kit.stragglers.Stragglers(me, env.lives[i], self.rules, 0.0, FRONTS)
                machines[i] = self.keep(fresh)
            lives = {FRONTS[j]: env.lives[j] for j in range(3) if env.still[j] <= 2}
            inputs: list[Any] = [("set_fleet", _Map(lives)), ("on_versions", me, said[i])]
            outs = self._outs[machines[i]]
            for j in range(3):
                if j == i or env.still[j] > 0:
                    continue
                pleads = FRONTS[j] in self._outs[state.machines[j]]
                if FRONTS[j] not in outs or pleads:
                    inputs.append(("on_versions", FRONTS[j], said[j]))
                inputs.append(("on_evidence", FRONTS[j], true[j]))
            for go, a, b, message in env.in_flight:
                if go == 0 and b == i and env.lives[a] == old.lives[a]:
                    inputs.append(("on_message", FRONTS[a], message))
            machines[i], out = self.turn(machines[i], tuple(inputs))
            for effect in out:
                if hasattr(effect, "message"):
                    sent.append((0, i, FRONTS.index(effect.to), _older(effect.message)))
                else:
                    events.append((i, effect))
        # A suspended front keeps its state, but its times continue.
        for i in range(3):
            if env.still[i] > 0:
                machines[i] = self._aged(machines[i])
        after = self._after(env, sent, events, state, machines, broken)
        return State(tuple(machines), after, "; ".join(broken))

    def _aged(self, number: int) -> int:
        key = number, "aged"
        done = self._done.get(key)
        if done is None:
            machine = _load(self._pickles[number], self.rules)
            shift(machine, 1.0, self.rules)
            done = self._done[key] = self.keep(machine), ()
        return done[0]

    def _after(
        self,
        env: Env,
        sent: list[Any],
        events: list[Any],
        state: State,
        machines: list[int],
        broken: list[str],
    ) -> Env:
        most = 2 + 2  # late, and brought up
        behind_for, current_for = list(env.behind_for), list(env.current_for)
        top = max(env.holds)
        words = tuple(top if lies else held for lies, held in zip(env.lies, env.holds, strict=True))
        for i in range(3):
            # False facts count until actions disprove them.
            if behind(env.holds, i) or behind(words, i):
                behind_for[i], current_for[i] = min(behind_for[i] + 1, most), 0
            elif env.still[i] > 0:
                current_for[i] = 0
            else:
                current_for[i] = min(current_for[i] + 1, BOUND + 1)
                behind_for[i] = behind_for[i] if current_for[i] <= GRACE else 0
        backs = [(ago + 1, who, of) for ago, who, of in env.backs if ago < 2]
        shuts = [(ago + 1, who, of) for ago, who, of in env.shuts if ago < 2]
        names = self.kit.events
        for i, event in events:
            if isinstance(event, names.ShutOut):
                j = FRONTS.index(event.name)
                if behind_for[j] < most and not any(
                    event.name in self._outs[number] for number in state.machines
                ):
                    broken.append(f"{i} shuts {j} out, behind for {behind_for[j]} turns")
                if any(who == i and of == j for _, who, of in backs):
                    broken.append(f"{j} is out at {i} again at once")
                shuts.append((0, i, j))
            elif isinstance(event, names.Readmitted) and env.lives == state.env.lives and not any(env.still):
                j = FRONTS.index(event.name)
                backs.append((0, i, j))
                # A vote may be lost, and all are withdrawn when the update is suspect.
                calm = env.faults == self.faults and not any(self._suspect[number] for number in machines)
                if calm and any(who == i and of == j for _, who, of in shuts):
                    broken.append(f"{j} is back at {i} at once")
        running = [i for i in range(3) if env.still[i] <= 0]
        out = {name for i in running for name in self._outs[machines[i]]}
        if len(out) > CAP:
            broken.append(f"{sorted(out)} are out at once")
        for name in out:
            if current_for[FRONTS.index(name)] > BOUND:
                broken.append(f"{name} has been up to date for {BOUND} turns and is out")
        still = tuple(0 if turns < 0 else min(turns + 1, 7) if turns else 0 for turns in env.still)
        return env._replace(
            still=still,
            behind_for=tuple(behind_for),
            current_for=tuple(current_for),
            in_flight=_sorted(sent),
            backs=tuple(sorted(backs)),
            shuts=tuple(sorted(shuts)),
        )

    # --- explore.Model ---

    def begins(self) -> list[State]:
        return [self.start()]

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        for what, env in self.choices(state.env):
            yield what, self.step(state, env)

    def key(self, state: State) -> bytes:
        return repr(state).encode()

    def wrong(self, state: State) -> str:
        return state.wrong

    @property
    def locals(self) -> int:
        """The number of states of one front's machine that were met."""
        return len(self._pickles)


class _Map(dict[str, int]):
    """Lives of fronts, hashable as a part of a key."""

    def __hash__(self) -> int:  # type: ignore[override]
        return hash(tuple(sorted(self.items())))


def versions(number: int) -> Versions:
    return Versions("1", b"s", 1, content("boxes", number + 1), 0, b"k", 1)


def behind(holds: tuple[int, ...], i: int) -> bool:
    """Whether both others really have newer lists, or one that this front has not."""
    others = [held for j, held in enumerate(holds) if j != i]
    return all(held > holds[i] for held in others)


def _older(message: Any) -> Any:
    """Returns the message as it is one turn later."""
    return msgspec.structs.replace(message, at=message.at - 1.0) if hasattr(message, "at") else message


def _set(values: tuple[Any, ...], i: int, value: Any) -> tuple[Any, ...]:
    return (*values[:i], value, *values[i + 1 :])


def _sorted(in_flight: list[Any]) -> tuple[Any, ...]:
    return tuple(sorted(in_flight, key=lambda item: (item[:3], repr(item[3]))))


# --- the state of a machine, with times relative to now ---


def _parts(value: Any) -> Iterator[tuple[str, Any]]:
    if is_dataclass(value):
        for each in fields(value):
            yield each.name, getattr(value, each.name)
    elif hasattr(value, "__dict__"):
        yield from sorted(vars(value).items())
    else:
        for name in value.__slots__:
            yield name, getattr(value, name)


def _plain(value: Any) -> bool:
    return value is None or isinstance(value, str | bytes | int | msgspec.Struct)


def freeze(value: Any, given: Any) -> Any:
    if value is given:
        return None
    if _plain(value) or isinstance(value, float):
        return str(value) if isinstance(value, str) else value
    if isinstance(value, dict):
        return tuple(
            sorted(((str(key), freeze(each, given)) for key, each in value.items()), key=lambda i: i[0])
        )
    if isinstance(value, frozenset | set):
        return tuple(sorted(str(each) for each in value))
    if isinstance(value, list | tuple):
        return tuple(freeze(each, given) for each in value)
    return tuple((name, freeze(each, given)) for name, each in _parts(value))


# After how many turns an age makes no difference any more; 6 for fields that are not listed.
AGES = {
    "Ballots._send_at": 0.0, "Ballots._quiet_until": 0.0, "Ballots._reserved_until": 0.0,
    "Ballots.started_at": 5.0, "Vote.at": 3.0, "Vote.shut_out_at": 3.0, "_KeeperVotes.received_at": 3.0,
    "Lag.since": 4.0, "Lag.passed_at": 2.0, "Peer.stale_at": 2.0, "Peer.clean_at": 4.0,
    "Peer.shut_out_at": 0.0, "Peer.proved_at": 4.0, "Peer.reported_at": 1.0, "Evidence.first": 5.0,
    "Evidence.last": 5.0, "Suspects._until": 0.0, "Suspects._minority_at": 0.0,
    "Stragglers._applying": 0.0, "Stragglers._peak_until": 0.0, "Stragglers._evaluated_at": 5.0,
    "Stragglers._evaluate_at": 0.0, "Stragglers._urgent_at": 0.0,
}  # fmt: skip
OLD = 2.0  # the order of contents counts, too, when they are older than this
_TRACK = ("Track.since", "Track.left")


def shift(machine: Any, by: float, given: Any) -> None:
    """Makes all times earlier; those too old to make a difference become equal."""
    old: set[float] = set()

    def earlier(at: float, of: str) -> float:
        at -= by
        if of in _TRACK:
            if at < -OLD:
                old.add(at)
            return at
        return max(at, -AGES.get(of, 6.0))

    _times(machine, given, "", earlier)
    ranks = {at: -OLD - (rank + 1) / 1_024 for rank, at in enumerate(sorted(old, reverse=True))}
    _times(machine, given, "", lambda at, of: ranks.get(at, at) if of in _TRACK else at)


def _times(value: Any, given: Any, of: str, change: Any) -> Any:
    """Replaces each float in a value by `change` of it, and returns the value to store."""
    if isinstance(value, float):
        return change(value, of)
    if _plain(value) or value is given or isinstance(value, frozenset | set):
        return value
    if isinstance(value, dict):
        value.update({key: _times(each, given, of, change) for key, each in value.items()})
        return value
    if isinstance(value, list):
        value[:] = [_times(each, given, of, change) for each in value]
        return value
    if isinstance(value, tuple):
        return tuple(_times(each, given, of, change) for each in value)
    kind = type(value).__name__
    for name, each in list(_parts(value)):
        object.__setattr__(value, name, _times(each, given, f"{kind}.{name}", change))
    return value


class _Pickler(pickle.Pickler):
    def __init__(self, file: Any, given: Any) -> None:
        super().__init__(file, protocol=5)
        self._given = given

    def persistent_id(self, value: Any) -> Any:
        return "rules" if value is self._given else None


class _Unpickler(pickle.Unpickler):
    def __init__(self, file: Any, given: Any) -> None:
        super().__init__(file)
        self._given = given

    def persistent_load(self, name: str) -> Any:
        return self._given


def _dump(machine: Any, given: Any) -> bytes:
    file = BytesIO()
    _Pickler(file, given).dump(machine)
    return file.getvalue()


def _load(data: bytes, given: Any) -> Any:
    return _Unpickler(BytesIO(data), given).load()
