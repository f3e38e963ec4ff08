"""The keepers and holders of `peers.lease` themselves, in every order of few events: a model for `explore`.

Time goes in units. Holders' clocks run slow and keepers' fast, or all true, at the bound of a drift made
large, so that it counts in few units. Budgets bound the faults: a message lost, doubled, or late by any time;
a keeper restarted; a holder stopped for any time. Deeds are a holder's: it releases a channel, or hands it
on.

Within a unit messages arrive in any order; or, with `rounds`, as if each took equally long: in any order at
each machine, but what a round's messages bring about arrives after all of that round. What one machine hears
in a round doesn't touch another, so these are gone through in one order of machines. There are far fewer
states, and overtaking by more than a round costs a fault.

Machines are deterministic, so what one does to a message is computed once and remembered: a state is a few
numbers, of machines' states, of messages under way, and of what the observer knows.
"""

from __future__ import annotations

import marshal
import pickle
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

import msgspec

from fernweir.peers.base import Message, Send
from fernweir.peers.lease.events import LeaseLost
from fernweir.peers.lease.holder import Holder
from fernweir.peers.lease.keeper import Keeper
from fernweir.peers.lease.rules import KeeperSet, LeaseRules

CHANNEL = "a:1/0"
UNIT = 10.0
SLOW, TRUE, FAST = 8.0, 10.0, 12.0  # ms of own clock in a unit


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far the model goes: units of time, faults of any kind, restarts and stops among them, and deeds."""

    units: int = 8
    faults: int = 1
    restarts: int = 1
    stops: int = 1
    deeds: int = 0
    keepers: int = 3
    holders: int = 2
    clocks: int = (
        3  # how many of: all keepers fast and holders slow; all true; one holder slow, the rest fast
    )
    rounds: bool = True
    together: bool = False  # all holders begin to want at once, not one unit after the other


class Under(NamedTuple):
    """A message under way."""

    sender: int
    to: int
    message: Message


class State(NamedTuple):
    """Numbers of machines' states and of messages; `highest` and `beliefs` are the observer's.

    `beliefs`: by holder the last fence it believed in, and whether it still did when last seen.
    """

    unit: int
    machines: tuple[int, ...]
    flying: tuple[int, ...]
    coming: tuple[int, ...]  # the next round
    late: tuple[int, ...]
    stopped: int  # the holder that stands still, or -1
    faults: int
    restarts: int
    stops: int
    deeds: int
    highest: int
    beliefs: tuple[tuple[int, bool], ...]
    rates: int
    wrong: str = ""


RULES = LeaseRules(
    lease_ms=60.0,
    longest_ms=60.0,
    drift=0.2,
    renew_ms=24.0,
    resend_ms=1_000.0,
    attempt_ms=24.0,
    promise_ms=48.0,
    backoff_ms=24.0,
    max_backoff_ms=24.0,
    reserve_ms=24.0,
)


class _Least(Random):
    """Draws the lower bound always: a pause drawn is one of the things that orders of events vary anyway."""

    def uniform(self, a: float, b: float) -> float:
        return a


class Leases:
    """The model. Machines are numbered keepers first."""

    def __init__(self, bounds: Bounds, rules: LeaseRules = RULES) -> None:
        self.bounds = bounds
        self._rules = rules
        self._names = [f"k{n}" for n in range(bounds.keepers)] + [f"h{n}" for n in range(bounds.holders)]
        self._numbers = {name: number for number, name in enumerate(self._names)}
        self._sets = (KeeperSet(1, tuple(self._names[: bounds.keepers])),)
        self._machines = _Machines()
        self._under: dict[Under, int] = {}
        self._messages: list[Under] = []
        self._rates = [
            tuple([FAST] * bounds.keepers + [SLOW] * bounds.holders),
            tuple([TRUE] * bounds.keepers + [TRUE] * bounds.holders),
            tuple([FAST] * bounds.keepers + [SLOW] + [FAST] * (bounds.holders - 1)),
        ]
        self._memo: dict[tuple[Any, ...], tuple[int, tuple[int, ...]]] = {}
        self._held: dict[tuple[int, float], int] = {}

    # --- what `explore` asks ---

    def begins(self) -> Iterator[State]:
        bounds = self.bounds
        for rates in range(bounds.clocks):
            machines = []
            for number, name in enumerate(self._names):
                if number < bounds.keepers:
                    machine: Keeper | Holder = Keeper(
                        name, 1, self._rules, -self._rules.silence_ms, self._sets
                    )
                    machine.tick(0.0)
                    machine.take_effects()
                else:
                    machine = self._holder(name)
                    machine.want(self._begins_at(number) * self._rates[rates][number], CHANNEL)
                machines.append(self._machines.number(machine))
            state = State(
                0,
                tuple(machines),
                (),
                (),
                (),
                -1,
                bounds.faults,
                bounds.restarts,
                bounds.stops,
                bounds.deeds,
                0,
                ((0, False),) * bounds.holders,
                rates,
            )
            yield self._tick(state)

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        moving = self._moving(state)
        if not moving and state.coming:
            state = state._replace(flying=_union(state.flying, state.coming), coming=())
            moving = self._moving(state)
        for number in moving:
            under = self._messages[number]
            yield f"{self._say(under)}", self._deliver(state, number)
            if state.faults:
                less = state._replace(faults=state.faults - 1)
                yield f"lost: {self._say(under)}", less._replace(flying=_without(state.flying, number))
                late = less._replace(late=_with(state.late, number))
                yield f"late: {self._say(under)}", late._replace(flying=_without(state.flying, number))
                yield f"doubled: {self._say(under)}", self._deliver(late, number)
        for number in state.late:
            under = self._messages[number]
            if under.to != state.stopped:
                arrives = state._replace(late=_without(state.late, number))
                yield f"late arrives: {self._say(under)}", self._deliver(arrives, number)
        yield from self._faults(state)
        yield from self._deeds(state)
        if not moving and state.unit < self.bounds.units:
            yield "a unit passes", self._tick(state._replace(unit=state.unit + 1))

    def key(self, state: State) -> bytes:
        return marshal.dumps(tuple(state))

    def wrong(self, state: State) -> str:
        return state.wrong

    # --- what may happen ---

    def _moving(self, state: State) -> list[int]:
        """Messages that may arrive next."""
        moving = [number for number in state.flying if self._messages[number].to != state.stopped]
        if not self.bounds.rounds or not moving:
            return moving
        first = min(self._messages[number].to for number in moving)
        return [number for number in moving if self._messages[number].to == first]

    def _faults(self, state: State) -> Iterator[tuple[str, State]]:
        if state.stopped >= 0:
            awake = state._replace(stopped=-1)
            yield f"{self._names[state.stopped]} goes on", self._look(awake)
            yield (
                f"{self._names[state.stopped]} goes on, its timer first",
                self._run(awake, state.stopped, ("tick",)),
            )
        if not state.faults:
            return
        less = state._replace(faults=state.faults - 1)
        if state.restarts:
            for keeper in range(self.bounds.keepers):
                fresh = Keeper(
                    self._names[keeper], 2 + state.unit, self._rules, self._now(state, keeper), self._sets
                )
                machines = _at(state.machines, keeper, self._machines.number(fresh))
                after = less._replace(machines=machines, restarts=state.restarts - 1)
                yield f"{self._names[keeper]} restarts", self._run(after, keeper, ("tick",))
        if state.stops and state.stopped < 0:
            for holder in range(self.bounds.keepers, len(self._names)):
                yield f"{self._names[holder]} stops", less._replace(stopped=holder, stops=state.stops - 1)

    def _deeds(self, state: State) -> Iterator[tuple[str, State]]:
        if not state.deeds:
            return
        for holder in range(self.bounds.keepers, len(self._names)):
            if holder != state.stopped and self._fence(state, holder):
                less = state._replace(deeds=state.deeds - 1)
                other = self._names[-1 if holder == self.bounds.keepers else self.bounds.keepers]
                yield f"{self._names[holder]} releases", self._run(less, holder, ("release",))
                yield f"{self._names[holder]} hands on", self._run(less, holder, ("hand", other))

    def _tick(self, state: State) -> State:
        for machine in range(len(self._names)):
            if machine != state.stopped:
                state = self._run(state, machine, ("tick",))
        return state

    def _deliver(self, state: State, number: int) -> State:
        state = state._replace(flying=_without(state.flying, number))
        return self._run(state, self._messages[number].to, ("heard", number))

    def _begins_at(self, number: int) -> int:
        return 0 if self.bounds.together else number - self.bounds.keepers

    # --- machines ---

    def _holder(self, name: str) -> Holder:
        holder = Holder(name, 1, self._rules, 0, self._sets)
        holder._acquisition._rng = _Least()
        return holder

    def _now(self, state: State, machine: int) -> float:
        return state.unit * self._rates[state.rates][machine]

    def _run(self, state: State, machine: int, what: tuple[Any, ...]) -> State:
        now = self._now(state, machine)
        asked = (machine, state.machines[machine], now, what)
        done = self._memo.get(asked)
        if done is None:
            done = self._memo[asked] = self._do(*asked)
        after, sent = done
        state = state._replace(machines=_at(state.machines, machine, after))
        if self.bounds.rounds:
            return self._look(state._replace(coming=_union(state.coming, sent)))
        return self._look(state._replace(flying=_union(state.flying, sent)))

    def _do(self, number: int, local: int, now: float, what: tuple[Any, ...]) -> tuple[int, tuple[int, ...]]:
        machine = self._machines.copy(local)
        match what:
            case ("tick",):
                due = machine.next_deadline()
                if due is not None and due <= now:
                    machine.tick(now)
            case ("heard", int(message)):
                under = self._messages[message]
                machine.on_message(now, self._names[under.sender], under.message)
            case ("release",):
                machine.release(now, CHANNEL)
            case ("hand", str(other)):
                machine.hand_over(now, CHANNEL, other)
        sent = []
        for effect in machine.take_effects():
            if isinstance(effect, Send) and isinstance(effect.to, str):
                sent.append(self._number(Under(number, self._numbers[effect.to], effect.message)))
            elif isinstance(effect, LeaseLost):
                machine.want(now, CHANNEL)
        return self._machines.number(machine), tuple(sent)

    def _number(self, under: Under) -> int:
        number = self._under.get(under)
        if number is None:
            number = self._under[under] = len(self._messages)
            self._messages.append(under)
        return number

    def _say(self, under: Under) -> str:
        kind = type(under.message).__name__
        return f"{self._names[under.sender]} to {self._names[under.to]}: {kind}"

    # --- the observer ---

    def _fence(self, state: State, holder: int) -> int:
        """The fence under which a holder believes at this moment, stopped or not; 0 for none."""
        now = self._now(state, holder)
        asked = (state.machines[holder], now)
        fence = self._held.get(asked)
        if fence is None:
            lease = self._machines.view(asked[0]).current_lease(now, CHANNEL)
            fence = self._held[asked] = 0 if lease is None else lease.fence
        return fence

    def _look(self, state: State) -> State:
        keepers = self.bounds.keepers
        beliefs = state.beliefs
        highest = state.highest
        wrong = ""
        believing = 0
        for holder in range(self.bounds.holders):
            fence = self._fence(state, keepers + holder)
            last, still = beliefs[holder]
            if not fence:
                if still:
                    beliefs = _at(beliefs, holder, (last, False))
                continue
            believing += 1
            if fence == last and not still:
                wrong = f"{self._names[keepers + holder]} believes again under a fence that lapsed"
            if fence != last:
                if fence <= highest:
                    wrong = f"{self._names[keepers + holder]} got a fence that isn't above all before"
                highest = max(highest, fence)
            beliefs = _at(beliefs, holder, (fence, True))
        if believing > 1:
            wrong = "two holders believe at once"
        if beliefs == state.beliefs and not wrong:
            return state
        return state._replace(beliefs=beliefs, highest=highest, wrong=wrong)


class _Machines:
    """Machines' states by number; alike in content is the same number."""

    def __init__(self) -> None:
        self._numbers: dict[Any, int] = {}
        self._blobs: list[bytes] = []
        self._views: list[Any] = []

    def number(self, machine: Any) -> int:
        content = _content(machine)
        number = self._numbers.get(content)
        if number is None:
            number = self._numbers[content] = len(self._blobs)
            self._blobs.append(pickle.dumps(machine, pickle.HIGHEST_PROTOCOL))
            self._views.append(machine)
        return number

    def copy(self, number: int) -> Any:
        return pickle.loads(self._blobs[number])

    def view(self, number: int) -> Any:
        """Not to be changed."""
        return self._views[number]

    def __len__(self) -> int:
        return len(self._blobs)


def _content(thing: Any) -> Any:
    """A value that is alike for machines that will do alike."""
    if thing is None or isinstance(thing, str | int | float | bytes | msgspec.Struct | KeeperSet):
        return thing
    if isinstance(thing, Random | LeaseRules):
        return None
    if isinstance(thing, dict):
        return frozenset((_content(key), _content(value)) for key, value in thing.items())
    if isinstance(thing, set | frozenset):
        return frozenset(_content(each) for each in thing)
    if isinstance(thing, list | tuple):
        return tuple(_content(each) for each in thing)
    if isinstance(thing, type):
        return thing
    slots = getattr(type(thing), "__slots__", ())
    names = slots if slots else sorted(vars(thing))
    return (type(thing).__name__, *(_content(getattr(thing, name)) for name in names))


def _at(values: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    return (*values[:at], value, *values[at + 1 :])


def _with(numbers: tuple[int, ...], number: int) -> tuple[int, ...]:
    return numbers if number in numbers else tuple(sorted((*numbers, number)))


def _union(numbers: tuple[int, ...], more: tuple[int, ...]) -> tuple[int, ...]:
    return tuple(sorted({*numbers, *more})) if more else numbers


def _without(numbers: tuple[int, ...], number: int) -> tuple[int, ...]:
    return tuple(each for each in numbers if each != number)
