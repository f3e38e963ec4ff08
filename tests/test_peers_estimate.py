"""Estimates: drawn days against plain dictionaries, the aims on fixed loads, hard cases, mistakes put in."""

from __future__ import annotations

import importlib
from collections import Counter
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from bench.peers_estimate import measure
from bench.peers_load import LoadPlan, Scene, drawn_rows, scene
from fernweir.peers.estimate.bounds import Bound, Estimate
from fernweir.peers.estimate.catalogue import PREFIX, Catalogue, CatalogueRules
from fernweir.peers.estimate.cutting import in_waves, part, units
from fernweir.peers.estimate.estimator import Estimator
from fernweir.peers.estimate.feedback import Feedback, FeedbackRules
from fernweir.peers.estimate.fleet import BoxLoad, ChannelLoad, FleetView, FrontLoad, RackView, Ration
from fernweir.peers.estimate.limits import Granted, LimitRules, Limits, Refused
from fernweir.peers.estimate.loads import Load, Tally, read_load
from fernweir.peers.estimate.narrow import narrower
from fernweir.peers.estimate.orders import (
    DrainRack,
    MoveChannels,
    Order,
    OrderRules,
    RaiseEpoch,
    RestartFront,
    weigh,
)
from fernweir.peers.estimate.question import ACTS, STANDING, Query, Row
from fernweir.peers.estimate.rules import EstimateRules, ShardRules, publish_after
from fernweir.peers.estimate.runner import Answered, Caught, Read, Run, RunRules, Spend
from fernweir.peers.estimate.shards import Summarizer
from fernweir.peers.estimate.sketches import cut, pack_filter, read_filter, steps
from fernweir.peers.estimate.summary import COUNTED, Summary, encode, read
from fernweir.peers.estimate.waves import Cost, Phase, Wave, WaveRules
from fernweir.peers.port import SessionStatus
from tests import peers_estimate_day as days
from tests.peers_mutants import Mutant, broken
from tests.peers_mutants.estimate import DAYS, MUTANTS

FREE = Spend(1e9, 1e9)


def estimator() -> Estimator:
    return Estimator(EstimateRules(), Feedback(FeedbackRules()))


def fresh_scene(fronts: int, rows: int, seed: int, rules: ShardRules) -> Scene:
    """Summaries of this moment."""
    drawn = drawn_rows(LoadPlan(fronts=fronts, rows=rows), seed)
    return scene(drawn, Catalogue(CatalogueRules()), rules, 0.0, seed)


# --- drawn days, and the mistakes they must find ---


_SEEDS = {
    "questions_day": 10,
    "limits_day": 6,
    "feedback_day": 1,
    "standing_day": 12,
    "desk_day": 4,
    "waves_day": 60,
    "orders_day": 60,
}


@pytest.mark.parametrize(("day", "count"), _SEEDS.items(), ids=_SEEDS)
def test_drawn_days(day: str, count: int) -> None:
    assert [(seed, wrong) for seed in range(count) if (wrong := getattr(days, day)(seed))] == []


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_mistakes_are_found(mutant: Mutant) -> None:
    anew = ("fernweir.peers.estimate", "bench.peers_load", "bench.peers_estimate", "tests.peers_estimate_day")
    with broken(mutant, *anew):
        day = getattr(importlib.import_module("tests.peers_estimate_day"), DAYS[mutant.name])
        assert any(day(seed) for seed in range(mutant.seeds))


# --- the aims, on fixed loads: summaries up to 60 s old ---


def test_the_aims_hold_on_drawn_loads() -> None:
    shards = ShardRules(most_rows=1024, kept=6)
    shares = []
    for number, (fronts, rows) in enumerate(((5, 7_000), (20, 9_000), (60, 12_000))):
        drawn = drawn_rows(LoadPlan(fronts=fronts, rows=rows), number)
        at = scene(drawn, Catalogue(CatalogueRules()), shards, 60_000.0, number)
        figures = measure(at, 80, number, EstimateRules(most_rows=1024))
        shares.append(figures.high)
        for quantity in ("shards", "bytes", "rows"):
            assert figures.quantile(quantity, 0.5) <= 1.2
            assert figures.quantile(quantity, 0.98) <= 2.0
        assert figures.quantile("holding", 0.5) <= 1.2
        assert figures.quantile("found", 0.5) <= 1.2
    for quantity in ("fronts", "shards", "rows", "bytes", "holding", "found"):
        assert sum(high[quantity] for high in shares) >= 0.99 * 240


# --- hard cases ---


def test_a_hot_lesson_in_every_shard_is_counted_to_the_row() -> None:
    summaries = Catalogue(CatalogueRules())
    rules = ShardRules(most_rows=200)
    dice = Random(1)
    hot = 0
    for front in "abc":
        summarizer = Summarizer(front, 1, rules, 0.0)
        for number in range(600):
            is_hot = dice.random() < 0.5
            hot += is_hot
            title = "hot" if is_hot else f"t{dice.randrange(300)}"
            summarizer.add(number * 10.0, Row(number * 10.0, "setup", f"{front}{number}", title), 100)
        summarizer.seal(6_000.0)
        for summary in summarizer.summaries(6_000.0):
            assert summaries.told(0.0, front, 1, PREFIX + summary.shard.name, encode(summary))
    told = estimator().estimate(Query(title="hot", until=6_000.0), summaries, ["a", "b", "c"], 0.0)
    assert told.found == Bound(hot, hot, hot)
    assert told.holding.low == told.holding.high == 9


def test_a_filter_is_never_taken_for_certain() -> None:
    """With a quarter false positives most sessions that never were are let by somewhere, and said so."""
    at = fresh_scene(6, 6_000, 3, ShardRules(most_rows=250, false_share=0.25))
    guessed, planned = 0.0, 0
    for number in range(50):
        told = estimator().estimate(
            Query(session=f"never-{number}", until=at.end), at.catalogue, at.fronts, at.now
        )
        assert told.found.low == told.holding.low == 0.0
        guessed += told.holding.guess
        planned += len(told.plan)
    assert planned > 200
    assert guessed < planned / 3


def test_old_summaries_are_widened_and_older_ones_are_none() -> None:
    at = fresh_scene(4, 8_000, 4, ShardRules())
    fresh = estimator().estimate(Query(), at.catalogue, at.fronts, at.now)
    minute = estimator().estimate(Query(), at.catalogue, at.fronts, at.now + 60_000.0)
    assert minute.age_ms >= 60_000.0
    assert minute.rows.high > fresh.rows.high
    assert minute.rows.guess > fresh.rows.guess
    gone = estimator().estimate(Query(), at.catalogue, at.fronts, at.now + 600_000.0)
    assert gone.missing == tuple(at.fronts)
    assert gone.rows.low == 0.0
    assert {planned.shard.name for planned in gone.plan} == {""}


def test_a_front_without_summaries_is_named_and_widens() -> None:
    at = fresh_scene(4, 8_000, 5, ShardRules())
    whole = estimator().estimate(Query(until=at.end), at.catalogue, at.fronts, at.now)
    at.catalogue.gone("front-2")
    told = estimator().estimate(Query(until=at.end), at.catalogue, at.fronts, at.now)
    assert told.missing == ("front-2",)
    assert told.rows.high >= whole.rows.high
    assert told.rows.low < whole.rows.low


def _one_planned(stated: int = 3) -> tuple[Estimate, Summarizer]:
    summaries = Catalogue(CatalogueRules())
    summarizer = Summarizer("a", 1, ShardRules(most_rows=stated), 0.0)
    for number in range(stated):
        summarizer.add(float(number), Row(float(number), "setup", f"s{number}"), 50)
    summarizer.seal(10.0)
    for summary in summarizer.summaries(10.0):
        summaries.told(0.0, "a", 1, PREFIX + summary.shard.name, encode(summary))
    return estimator().estimate(Query(until=10.0), summaries, ["a"], 0.0), summarizer


def _reads(run: Run) -> list[Read]:
    return [effect for effect in run.take_effects() if isinstance(effect, Read)]


def test_a_shard_whose_front_dies_while_it_runs_is_read_from_a_copy() -> None:
    told, _ = _one_planned()
    run = Run(told, {"a": ["b", "c"]}, FREE, RunRules(), 0.0)
    assert [read.whom for read in _reads(run)] == ["a"]
    run.gone(100.0, "a")
    (second,) = _reads(run)
    assert second.whom == "b"
    run.tick(100.0 + RunRules().answer_ms)
    (third,) = _reads(run)
    assert third.whom == "c"
    run.answered(2_200.0, second.number, Answered((), 1, 3, 150, 0, 0))  # too late
    run.answered(2_200.0, third.number, Answered((Row(1.0, "setup"), Row(11.0, "setup")), 1, 3, 150, 1, 9))
    result = run.result()
    assert run.done and result.actual.whole
    assert [row.at for _, row in result.rows] == [1.0]  # the other one isn't asked for
    assert result.by_copy == ("a",)


def test_a_shard_that_nobody_can_give_is_said_to_be_missing() -> None:
    told, _ = _one_planned()
    run = Run(told, {}, FREE, RunRules(), 0.0)
    run.gone(1.0, "a")
    result = run.result()
    assert run.done and result.unreached == ("a",) and not result.actual.whole


def test_a_front_whose_sealed_shard_is_other_than_it_stated_is_caught() -> None:
    told, _ = _one_planned()
    run = Run(told, {}, FREE, RunRules(), 0.0)
    (first,) = _reads(run)
    run.answered(1.0, first.number, Answered((), 1, 4, 200, 0, 0))
    assert run.take_effects() == [Caught("a")]
    summaries = Catalogue(CatalogueRules())
    _tell_one(summaries, "a", 1)
    summaries.caught("a")
    assert estimator().estimate(Query(), summaries, ["a"], 0.0).missing == ("a",)
    _tell_one(summaries, "a", 2)  # a new life is believed again
    assert estimator().estimate(Query(), summaries, ["a"], 0.0).missing == ()


def _tell_one(summaries: Catalogue, front: str, life: int) -> None:
    summarizer = Summarizer(front, life, ShardRules(), 0.0)
    for summary in summarizer.summaries(10.0):
        assert summaries.told(0.0, front, life, PREFIX + summary.shard.name, encode(summary))


def test_answers_that_creep_or_cost_less_than_nothing_end_a_run() -> None:
    told, _ = _one_planned()
    run = Run(told, {}, Spend(10.0, 1_000.0), RunRules(), 0.0)
    reads = 0
    while not run.done:
        (one,) = _reads(run)
        reads += 1
        answer = Answered((), -1, -50, -5_000, -1, -1, upto=max(0.0, one.planned.since) + 1e-6)
        run.answered(float(reads), one.number, answer)
    assert reads <= RunRules().most_parts + 1
    result = run.result()
    assert result.unreached == ("a",)
    assert result.actual.rows == result.actual.bytes == 0


def test_a_run_that_is_held_reads_nothing_new_and_ends_by_its_time() -> None:
    at = fresh_scene(8, 2_000, 6, ShardRules())
    told = estimator().estimate(Query(), at.catalogue, at.fronts, at.now)
    run = Run(told, {}, FREE, RunRules(at_once=2), 0.0)
    reads = _reads(run)
    run.hold(0.0, True)
    for one in reads:
        run.answered(1.0, one.number, at.store.read(told.query, one))
    assert not _reads(run) and not run.done
    run.hold(2.0, False)
    assert len(_reads(run)) == 2
    run.tick(RunRules().whole_ms)
    result = run.result()
    assert run.done and result.stopped == "time"
    assert set(result.unreached) == set(at.fronts) - {"front-0"}


def test_pressure_of_viewers_leaves_nothing_and_gives_it_back() -> None:
    told, _ = _one_planned()
    limits = Limits(LimitRules(rows_s=1.0, bytes_s=100.0), 0.0)
    limits.pressed(0.0, 1.0)
    assert isinstance(limits.ask(0.0, told, lambda query, fits: None), Refused)
    assert limits.left(60_000.0) == Spend(0.0, 0.0)
    limits.pressed(60_000.0, 0.0)
    first = limits.ask(60_000.0, told, lambda query, fits: None)
    assert isinstance(first, Refused) and first.why == "others run" and first.wait_ms
    assert isinstance(limits.ask(60_000.0 + first.wait_ms + 1.0, told, lambda query, fits: None), Granted)


def test_a_refusal_names_the_narrower_form_that_keeps_most() -> None:
    at = fresh_scene(6, 12_000, 7, ShardRules())
    made = estimator()

    def judge(query: Query) -> Estimate:
        return made.estimate(query, at.catalogue, at.fronts, at.now)

    whole = judge(Query(until=at.end))
    for share in (0.6, 0.3, 0.1, 0.02):
        most = whole.rows.high * share

        def fits(one: Estimate, most: float = most) -> bool:
            return one.rows.high <= most

        found = narrower(whole.query, judge, fits, at.catalogue, at.fronts)
        assert found is not None
        assert found[1].rows.high <= most
        assert found[1].found.guess >= most / 6  # and it is no crumb of what might be had


# --- what peers send ---

_LOADS = st.lists(
    st.tuples(st.booleans(), st.integers(0, 12), st.integers(0, 5), st.integers(0, 2)), max_size=60
)


def _summary() -> Summary:
    summarizer = Summarizer("a", 1, ShardRules(), 0.0)
    for number in range(60):
        row = Row(number * 5.0, "setup", f"s{number}", f"t{number % 30}", number % 40, "x", "v", "plays")
        summarizer.add(number * 5.0, row, 80)
    return summarizer.summaries(300.0)[-2]


_BAD = {
    "another's": {"shard": msgspec.structs.replace(_summary().shard, front="b")},
    "name": {"shard": msgspec.structs.replace(_summary().shard, name="007")},
    "name of the other kind": {"of": STANDING},
    "format": {"format": 2},
    "rows": {"rows": 61},
    "size": {"size": -1},
    "rows beyond any": {"rows": 1 << 40},
    "no number": {"taken": float("nan")},
    "rate": {"rate": float("inf")},
    "filter of no bits": {"filter": b"\x05" + bytes(7)},
    "filter too short": {"filter": b"\x05"},
    "filter of many hashes": {"filter": bytes(7) + b"\x7f" + bytes(64)},
    "sample": {"sample": (b"",) * 5},
    "fields": {"fields": _summary().fields[:5]},
    "bins": {"steps": msgspec.structs.replace(_summary().steps, rows=(0, 60))},
    "edges": {"steps": msgspec.structs.replace(_summary().steps, edges=(float("nan"),) * 33)},
}


@pytest.mark.parametrize("change", _BAD.values(), ids=_BAD)
def test_a_summary_that_cannot_be_is_refused(change: dict[str, object]) -> None:
    summaries = Catalogue(CatalogueRules())
    data = encode(msgspec.structs.replace(_summary(), **change))
    assert not summaries.told(0.0, "a", 1, PREFIX + "0", data)
    assert summaries.refused == 1
    assert list(summaries.of("a")) == []


@given(st.integers(0, 2_000), st.integers(1, 255), st.integers(0, 3))
@hypothesis_settings(max_examples=150, derandomize=True, deadline=None)
def test_bytes_of_a_peer_never_break_an_estimate(place: int, flip: int, cut_off: int) -> None:
    data = bytearray(encode(_summary()))
    data[place % len(data)] ^= flip
    summaries = Catalogue(CatalogueRules())
    summaries.told(0.0, "a", 1, PREFIX + "0", bytes(data[: len(data) - cut_off]))
    for query in (Query(), Query(session="s5", title="t3"), Query(since=100.0, until=200.0, box=3)):
        told = estimator().estimate(query, summaries, ["a"], 1_000.0)
        assert 0.0 <= told.rows.low <= told.rows.high < 1e12
        assert len(told.plan) <= 130


def test_a_lone_surrogate_of_a_token_is_told_and_asked_for() -> None:
    summarizer, summaries = Summarizer("a", 1, ShardRules(), 0.0), Catalogue(CatalogueRules())
    for number, title in enumerate(("a\ud800b", "x" * 999, "\u4e16")):
        summarizer.add(1.0, Row(1.0, "setup", f"s\udc00{number}", title), 50)
    for summary in summarizer.summaries(2.0):
        assert summaries.told(0.0, "a", 1, PREFIX + summary.shard.name, encode(summary))
    for query in (Query(title="a\ud800b"), Query(title="\u4e16"), Query(session="s\udc001")):
        assert estimator().estimate(query, summaries, ["a"], 0.0).found.guess > 0.5


def test_hearing_all_summaries_costs_the_same_in_any_fleet() -> None:
    rules = ShardRules()
    assert publish_after(5, 9_000, rules) == rules.publish_ms
    for fronts in (60, 200, 1_000):
        assert fronts * 9_000 / publish_after(fronts, 9_000, rules) * 1e3 == pytest.approx(
            rules.heard_bytes_s
        )


def test_a_table_of_summaries_is_bounded() -> None:
    summaries = Catalogue(CatalogueRules(most_fronts=3, most_shards=2))
    data = _summary()
    for number in range(9):
        front = f"f{number % 5}"
        shard = msgspec.structs.replace(data.shard, front=front, name=str(number))
        summaries.told(0.0, front, 1, f"{PREFIX}{number}", encode(msgspec.structs.replace(data, shard=shard)))
    assert len(summaries.owners()) == 3
    assert all(len(list(summaries.of(front))) <= 2 for front in summaries.owners())


@given(_LOADS)
@hypothesis_settings(max_examples=60, derandomize=True, deadline=None)
def test_a_load_counts_what_stands(deeds: list[tuple[bool, int, int, int]]) -> None:
    kbps = (100.0, 200.0, 400.0)
    tally = Tally("a", 1, lambda session: f"a:1/{int(session) % 3}", kbps, ShardRules(), 0.0)
    standing: dict[str, SessionStatus] = {}
    for number, (stands, session, box, rung) in enumerate(deeds):
        one = SessionStatus(str(session), "v", "w", "t", "c", 3, "x", 0, box, 0, rung)
        if stands:
            tally.stands(float(number), one)
            standing[one.session] = one
        else:
            tally.over(float(number), one.session)
            standing.pop(one.session, None)
    data = tally.load(float(len(deeds)), 3, 5.0)
    told = read_load("a", 1, data, 40.0)
    assert {(one.box, one.sessions, one.kbps) for one in told.boxes} == {
        (box, len(there), sum(kbps[one.rung] for one in there))
        for box in range(6)
        if (there := [one for one in standing.values() if one.box == box])
    }
    assert {one.channel: one.sessions for one in told.channels} == Counter(
        f"a:1/{int(session) % 3}" for session in standing
    )
    assert (told.epoch, told.age_ms, told.ration_left) == (3, 40.0, 5.0)
    for owner, life in (("b", 1), ("a", 2)):
        with pytest.raises(ValueError):
            read_load(owner, life, data, 0.0)


@pytest.mark.parametrize(
    "change",
    [
        {"boxes": ((1, 0, 0),)},
        {"boxes": ((1, 1, 1), (1, 2, 2))},
        {"boxes": tuple((box, 1, 1) for box in range(5_000))},
        {"boxes": ((1, 1 << 40, 0),)},
        {"channels": (("x" * 300, 1),)},
        {"channels": (("a", 1), ("a", 1))},
        {"starts_s": float("nan")},
        {"ration_left": -1.0},
        {"format": 2},
    ],
)
def test_a_load_that_cannot_be_is_refused(change: dict[str, object]) -> None:
    load = Load(1, "a", 1, 1, 0.5, 0.5, 3.0, ((1, 2, 300),), (("a:1/0", 2),))
    assert read_load("a", 1, msgspec.msgpack.encode(load), 0.0).sessions == 2
    with pytest.raises(ValueError):
        read_load("a", 1, msgspec.msgpack.encode(msgspec.structs.replace(load, **change)), 0.0)


# --- summaries against plain dictionaries ---

_TIMES = st.lists(st.integers(0, 60), min_size=1, max_size=80)


@given(_TIMES, st.integers(1, 12), st.integers(-2, 63), st.integers(-2, 63))
@hypothesis_settings(max_examples=200, derandomize=True, deadline=None)
def test_bins_bound_what_lies_between(times: list[int], bins: int, since: int, until: int) -> None:
    rows = sorted((float(at), 10 + at) for at in times)
    low, guess, high, size_low, size_guess, size_high = steps(rows, bins).between(since, until)
    inside = [size for at, size in rows if since <= at < until]
    assert low <= len(inside) <= high
    assert size_low <= sum(inside) <= size_high
    assert 0 <= guess <= len(rows) and 0 <= size_guess <= sum(size for _, size in rows)


@given(st.sets(st.integers(-(2**120), 2**120), max_size=300), st.integers(40, 600))
@hypothesis_settings(max_examples=60, derandomize=True, deadline=None)
def test_filters_deny_nothing_that_is_there(keys: set[int], most: int) -> None:
    data = pack_filter(sorted(keys), 0.01, most)
    assert len(data) <= most
    told = read_filter(data)
    assert (told is None) == (not keys)
    assert told is None or (all(one in told for one in keys) and 0.0 < told.false_share <= 1.0)


_DEEDS = st.lists(
    st.tuples(st.sampled_from(["act", "stands", "over", "seal"]), st.integers(0, 9), st.integers(0, 5)),
    max_size=120,
)


@given(_DEEDS)
@hypothesis_settings(max_examples=60, derandomize=True, deadline=None)
def test_summaries_count_what_dictionaries_count(deeds: list[tuple[str, int, int]]) -> None:
    rules = ShardRules(most_rows=15, kept=2, frequent=3)
    summarizer = Summarizer("a", 1, rules, 0.0)
    acts: dict[str, list[Row]] = {}
    standing: dict[str, SessionStatus] = {}
    for number, (deed, session, value) in enumerate(deeds):
        now = float(number)
        if deed == "act":
            row = Row(now, "setup", f"s{session}", f"t{value}", value, outcome="plays")
            acts.setdefault(summarizer.add(now, row, 10 + value), []).append(row)
        elif deed == "stands":
            one = SessionStatus(f"s{session}", "v", "w", f"t{value}", "c", 3, "x", 0, value, 0, 0)
            summarizer.stands(now, one, 40)
            standing[one.session] = one
        elif deed == "over":
            summarizer.over(now, f"s{session}")
            standing.pop(f"s{session}", None)
        else:
            summarizer.seal(now)
    told = [read("a", 1, encode(summary), 0.0).summary for summary in summarizer.summaries(float(len(deeds)))]
    older = told[-2].older
    assert len(told) <= rules.kept + 2
    assert sum(summary.rows for summary in told[:-1]) + older.rows == sum(len(rows) for rows in acts.values())
    for summary in told[:-1]:
        rows = acts.get(summary.shard.name, [])
        assert summary.rows == len(rows)
        assert summary.sessions == len({row.session for row in rows})
        title = summary.fields[COUNTED.index("title")]
        assert title == cut(Counter(row.title for row in rows), rules.frequent)
    stands = told[-1]
    assert (stands.of, stands.rows, stands.size) == (STANDING, len(standing), 40 * len(standing))
    assert stands.fields[COUNTED.index("box")] == cut(Counter(str(one.box) for one in standing.values()), 3)
    assert all(summary.of == ACTS for summary in told[:-1])


# --- orders in waves ---


class _Rack:
    """A rack of ten boxes, drained in waves; `told` lags behind `here` until `hear`."""

    def __init__(self, sessions: int) -> None:
        self.here = dict.fromkeys(range(10), sessions)
        self.elsewhere = 0
        self.hear()

    def hear(self) -> None:
        self.told = dict(self.here)

    def fleet(self) -> FleetView:
        loads = tuple(BoxLoad(box, count, count * 500.0) for box, count in self.told.items() if count)
        loads += (BoxLoad(20, self.elsewhere, self.elsewhere * 500.0),) if self.elsewhere else ()
        front = FrontLoad(
            "a", 1, 5_000.0, 0.0, 0.0, loads, (ChannelLoad("a:1/0", 1), ChannelLoad("a:1/1", 2))
        )
        racks = (
            RackView("old", frozenset(range(10)), 90_000.0, 0.0),
            RackView("new", frozenset({20}), 900_000.0, self.elsewhere * 500.0),
        )
        return FleetView((front,), racks, Ration(10_000.0, 1_000.0, 0.1), ("a",))

    def drain(self, wave: Wave) -> Cost:
        moved = sum(self.here[int(unit)] for unit in wave.units)
        for unit in wave.units:
            self.here[int(unit)] = 0
        self.elsewhere += moved
        return Cost(moved, moved / 60.0, moved / 6 / 1_000.0, moved * 500.0 / 900_000.0)


_MOST = WaveRules(Cost(sessions=120.0, setups_s=5.0, ration=0.5, uplink=0.9))
_DRAIN = DrainRack("old", 60_000.0)


def test_a_rack_over_the_limit_is_drained_in_waves_each_estimated_anew() -> None:
    rack = _Rack(30)
    waves = in_waves(_DRAIN, rack.fleet, OrderRules(), _MOST)
    sizes = []
    now = 0.0
    while wave := waves.next(now):
        rack.hear()
        did = rack.drain(wave)
        assert did.sessions <= wave.cost.sessions.high <= 120.0
        sizes.append(did.sessions)
        now += 60_000.0
        rack.hear()
        waves.done(now, wave.number, did)
    assert waves.phase is Phase.OVER
    assert sum(sizes) == 300 and len(sizes) >= 3 and sizes[0] < max(sizes)


def test_a_wave_that_did_more_than_was_estimated_pauses_the_order() -> None:
    rack = _Rack(30)
    waves = in_waves(_DRAIN, rack.fleet, OrderRules(), _MOST)
    wave = waves.next(0.0)
    assert wave is not None
    for unit in wave.units:
        rack.here[int(unit)] = 70  # a crowd, since the last summary
    waves.done(60_000.0, wave.number, rack.drain(wave))
    assert waves.phase is Phase.PAUSED
    assert waves.next(60_001.0) is None
    rack.hear()
    again = waves.next(waves.next_deadline() or 0.0)
    assert again is not None and again.cost.sessions.high > wave.cost.sessions.high
    for unit in again.units:
        rack.here[int(unit)] = 900
    waves.done(120_000.0, again.number, rack.drain(again))
    assert waves.phase is Phase.ABORTED and "times its upper bound" in waves.why


def test_a_unit_that_is_over_the_limit_alone_ends_the_order() -> None:
    rack = _Rack(400)
    waves = in_waves(_DRAIN, rack.fleet, OrderRules(), _MOST)
    assert waves.next(0.0) is None
    assert waves.phase is Phase.ABORTED and waves.why == "0 alone is over the limit"


@pytest.mark.parametrize(
    ("order", "expected"),
    [
        (_DRAIN, [str(box) for box in range(10)]),
        (RaiseEpoch(2, 1_000.0), ["a"]),
        (RaiseEpoch(1, 1_000.0), []),
        (RestartFront("a", 1_000.0), ["a:1/0", "a:1/1"]),
        (MoveChannels(("x", "a:1/1"), ("b",), 1_000.0), ["a:1/1", "x"]),
    ],
    ids=repr,
)
def test_orders_are_cut_into_their_units(order: Order, expected: list[str]) -> None:
    fleet = _Rack(30).fleet()
    assert units(order, fleet) == expected
    whole = weigh(order, fleet, OrderRules())
    parts = [weigh(part(order, [unit]), fleet, OrderRules()) for unit in expected]
    assert sum(one.sessions.guess for one in parts) == pytest.approx(whole.sessions.guess)
    assert sum(one.channels.guess for one in parts) == pytest.approx(whole.channels.guess)
    assert all(one.sessions.high <= whole.sessions.high for one in parts)
