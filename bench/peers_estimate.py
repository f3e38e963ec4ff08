"""Estimates of questions against what they touch: q-errors, bounds, and what estimating costs.

python -m bench.peers_estimate [--seed 1] [--questions 2000] [--recorded FOLDER ...] [--sketches]

Loads are drawn (`bench/peers_load.py`), and one is recorded from rehearsals: the journals of hosts that live
through half an hour of churn on a virtual clock. `--recorded` reads journals of real fronts in place of
them, a folder each. What a question touches is counted by running it over all planned shards; what it
should find, by plain dictionaries of all rows.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import click

from bench.peers_load import LoadPlan, Scene, drawn_query, drawn_rows, scene
from fernweir.interface import Idempotency, SessionClass, Settings
from fernweir.journal.disk import JournalFolder
from fernweir.journal.events import Entry
from fernweir.journal.store import Journal
from fernweir.peers.estimate.bounds import Estimate
from fernweir.peers.estimate.catalogue import Catalogue, CatalogueRules
from fernweir.peers.estimate.estimator import Estimator
from fernweir.peers.estimate.feedback import QUANTITIES, Feedback, FeedbackRules, q_error
from fernweir.peers.estimate.question import Query, Row, equalities
from fernweir.peers.estimate.rules import EstimateRules, ShardRules
from fernweir.peers.estimate.runner import Caught, Read, Result, Run, RunRules, Spend
from fernweir.rehearsal.hours import Hours, HoursPlan

PLANS = {
    "5 fronts": LoadPlan(fronts=5, rows=150_000),
    "20 fronts": LoadPlan(fronts=20, rows=400_000),
    "60 fronts": LoadPlan(fronts=60, rows=300_000, span_ms=600_000.0),
    "200 fronts": LoadPlan(fronts=200, rows=600_000, span_ms=600_000.0),
}


SETTINGS = Settings(
    classes=(SessionClass("film", 1_000.0, 4_000.0, 1.0, Idempotency.IDEMPOTENT, 1.0, 0, 3, 0),),
    front_count=1,
    front_index=0,
    batch_period_ms=10.0,
    zone_count=24,
    rack_count=4,
    rung_rates_kbyte_s=(100.0, 200.0, 400.0, 800.0),
    rung_utilities=(0.25, 0.5, 0.8, 1.0),
    streams_by_server_type=(60,),
    link_rate_per_weight_kbyte_s=40_000.0,
    uplink_rate_kbyte_s=200_000.0,
    switch_cost_s=0.5,
    report_delay_ms=500.0,
    report_interval_ms=2_000.0,
    report_fields=("x0", "x1"),
    must_subscribe=False,
    may_check_health=True,
    max_attempts=3,
    max_retry_after_ms=1_000.0,
    reply_slack_ms=40.0,
    drain_grace_ms=1_000.0,
    slow_start=None,
    retry_budget=None,
)  # of the rehearsals


def run(estimate: Estimate, at: Scene) -> Result:
    """Runs a question to its end, without a budget."""
    going = Run(estimate, {}, Spend(1e12, 1e12), RunRules(margin=1e6), 0.0)
    while effects := going.take_effects():
        for effect in effects:
            assert not isinstance(effect, Caught)
            if isinstance(effect, Read):
                going.answered(0.0, effect.number, at.store.read(estimate.query, effect))
    return going.result()


class Oracle:
    """Plain dictionaries of all rows: for every field and value, the numbers of the rows that have it."""

    def __init__(self, rows: Mapping[str, Sequence[Row]]) -> None:
        self.rows = [(front, row) for front in rows for row in rows[front]]
        self._having: dict[tuple[str, str], set[int]] = defaultdict(set)
        for number, (front, row) in enumerate(self.rows):
            self._having["front", front].add(number)
            for name in ("deed", "session", "title", "box", "tenant", "version", "outcome"):
                self._having[name, str(getattr(row, name))].add(number)

    def found(self, query: Query) -> set[int]:
        sets = [self._having.get(pair, set()) for pair in equalities(query)]
        if query.fronts:
            sets.append(set().union(*(self._having["front", front] for front in query.fronts)))
        numbers = set.intersection(*sets) if sets else set(range(len(self.rows)))
        return {n for n in numbers if query.since <= self.rows[n][1].at < query.until}


@dataclass(slots=True)
class Figures:
    """Of one load: q-errors, upper and lower bounds that held, times and bytes."""

    errors: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    high: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    low: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    questions: int = 0
    estimating: float = 0.0
    running: float = 0.0
    told: float = 0.0  # bytes of the summaries
    read: float = 0.0

    def add(self, estimate: Estimate, result: Result) -> None:
        self.questions += 1
        for name in QUANTITIES:
            bound, actual = getattr(estimate, name), getattr(result.actual, name)
            self.errors[name].append(q_error(bound.guess, actual))
            self.high[name] += actual <= bound.high
            self.low[name] += actual >= bound.low

    def quantile(self, name: str, share: float) -> float:
        errors = sorted(self.errors[name])
        return errors[min(len(errors) - 1, int(share * len(errors)))]


def measure(at: Scene, questions: int, seed: int, rules: EstimateRules) -> Figures:
    figures = Figures()
    feedback = Feedback(FeedbackRules())
    estimator = Estimator(rules, feedback)
    oracle = Oracle(at.rows)
    dice = Random(f"questions/{seed}")
    for _ in range(questions):
        query = drawn_query(at, dice)
        begun = time.process_time()
        estimate = estimator.estimate(query, at.catalogue, at.fronts, at.now)
        between = time.process_time()
        result = run(estimate, at)
        figures.estimating += between - begun
        figures.running += time.process_time() - between
        figures.read += result.actual.bytes
        if len(oracle.found(query)) != result.actual.found:
            raise AssertionError(f"{query} found {result.actual.found} rows")
        figures.add(estimate, result)
        feedback.record(estimate, result.actual)
    figures.told = at.summary_bytes
    return figures


def print_figures(name: str, figures: Figures) -> None:
    print(f"\n{name}: {figures.questions} questions")
    print("  quantity   q median   q 90%   q 99%   q most   upper holds   lower holds")
    for quantity in QUANTITIES:
        q = [figures.quantile(quantity, share) for share in (0.5, 0.9, 0.99, 1.0)]
        held = figures.high[quantity] / figures.questions, figures.low[quantity] / figures.questions
        print(
            f"  {quantity:9} {q[0]:9.3f} {q[1]:7.2f} {q[2]:7.2f} {q[3]:8.2f} {held[0]:12.2%} {held[1]:13.2%}"
        )
    print(
        f"  estimating {figures.estimating / figures.questions * 1e3:.3f} ms of CPU a question,"
        f" running {figures.running / figures.questions * 1e3:.1f} ms:"
        f" {figures.estimating / figures.running:.2%}"
    )
    print(
        f"  summaries {figures.told / 1e3:.0f} kB once for all, read by the questions"
        f" {figures.read / 1e6:.0f} MB: {figures.told / figures.read:.3%}"
    )


def recorded_rows(folders: Sequence[Path]) -> dict[str, list[Row]]:
    """Entries of journals, one front each, as rows; what an entry's kind is stands for the deed."""
    entries: dict[str, list[Entry]] = {}
    for number, path in enumerate(folders):
        journal, kept = Journal(), JournalFolder(path)
        journal.segment_store = kept
        journal.restore(*kept.open())
        entries[f"front-{number}"] = list(journal.entries(1))
        kept.close()
    return as_rows(entries)


def rehearsed_rows(fronts: int, seed: int, hours: float = 0.5) -> dict[str, list[Row]]:
    """What the journals of that many fronts have after hours of churn: the host's own entries."""
    entries: dict[str, list[Entry]] = {}
    for number in range(fronts):
        with tempfile.TemporaryDirectory(prefix="fernweir-") as folder:
            plan = HoursPlan(seed=seed * 1000 + number, hours=hours, rate=1.0 + number % 3)
            day = Hours(plan, SETTINGS, Path(folder), lambda text: None)
            kept = entries.setdefault(f"front-{number}", [])
            day.journal.watchers.append(kept.append)
            day.run()
    return as_rows(entries)


def as_rows(entries: Mapping[str, Sequence[Entry]]) -> dict[str, list[Row]]:
    first = min(kept[0].at for kept in entries.values() if kept)
    return {
        front: [
            Row(one.at - first, str(one.what), one.session, one.title, one.server, one.tenant, "", one.why)
            for one in kept
        ]
        for front, kept in entries.items()
    }


_WEIGH = """
import sys, time
def rss():
    return next(int(line.split()[1]) for line in open("/proc/self/status") if line.startswith("VmRSS"))
words = [f"s{n % 4000}" for n in range(8192)]
{before}
before, begun = rss(), time.perf_counter()
{load}
loaded, memory = time.perf_counter() - begun, rss() - before
begun = time.perf_counter()
{fill}
took = time.perf_counter() - begun
print(f"  {sys.argv[1]:34} import {loaded * 1e3:6.1f} ms {memory / 1e3:6.1f} MB,"
      f" 8192 rows in {took * 1e3:6.2f} ms, {size} bytes")
"""

_WAYS = {
    "dict, frequent 24 (plain)": (
        "import msgspec",
        "from collections import Counter",
        """
kept = Counter()
for word in words:
    kept[word] += 1
size = len(msgspec.msgpack.encode(kept.most_common(24)))""",
    ),
    "datasketches frequent_strings": (
        "",
        "import datasketches",
        """
kept = datasketches.frequent_strings_sketch(8)
for word in words:
    kept.update(word)
size = len(kept.serialize())""",
    ),
    "set of hashes (plain)": (
        "from hashlib import blake2b",
        "",
        """
kept = {blake2b(word.encode(), digest_size=8).digest() for word in words}
size = 8 * len(kept)""",
    ),
    "rbloom 1%": (
        "from hashlib import blake2b; from operator import index",
        "import rbloom",
        """
hashed = {blake2b(word.encode(), digest_size=15).digest() for word in words}
kept = rbloom.Bloom(len(hashed), 0.01, index)
kept.update([int.from_bytes(one, "little") for one in hashed])
size = len(kept.save_bytes())""",
    ),
    "dict of sessions (plain, distinct)": ("", "", "kept = dict.fromkeys(words); size = 8"),
    "datasketches hll 12 (distinct)": (
        "",
        "import datasketches",
        """
kept = datasketches.hll_sketch(12)
for word in words:
    kept.update(word)
size = len(kept.serialize_compact())""",
    ),
    "bins of equally many rows (own)": (
        "import msgspec; from fernweir.peers.estimate.sketches import steps",
        "",
        "kept = steps([(float(n), 100) for n in range(8192)], 32); size = len(msgspec.msgpack.encode(kept))",
    ),
    "datasketches kll (time)": (
        "",
        "import datasketches",
        """
kept = datasketches.kll_floats_sketch(64)
for number in range(8192):
    kept.update(float(number))
size = len(kept.serialize())""",
    ),
}


def weigh_sketches() -> None:
    """Each way in a process of its own; a library that isn't installed says so."""
    for name, (before, load, fill) in _WAYS.items():
        code = _WEIGH.replace("{before}", before).replace("{load}", load).replace("{fill}", fill)
        done = subprocess.run([sys.executable, "-c", code, name], capture_output=True, text=True, check=False)
        print(done.stdout.rstrip() if done.returncode == 0 else f"  {name:34} {done.stderr.splitlines()[-1]}")


@click.command()
@click.option("--seed", default=1)
@click.option("--questions", default=2000, help="over all loads")
@click.option("--recorded", type=click.Path(exists=True, path_type=Path), multiple=True)
@click.option("--sketches", is_flag=True, help="weigh ways to sketch instead")
def main(seed: int, questions: int, recorded: tuple[Path, ...], sketches: bool) -> None:
    if sketches:
        weigh_sketches()
        return
    names = ("recorded",) if recorded else (*PLANS, "rehearsed, 4 fronts")
    for name in names:
        if recorded:
            rows = recorded_rows(recorded)
        else:
            rows = drawn_rows(PLANS[name], seed) if name in PLANS else rehearsed_rows(4, seed)
        at = scene(rows, Catalogue(CatalogueRules()), ShardRules(), 60_000.0, seed)
        print_figures(name, measure(at, questions // len(names), seed, EstimateRules()))
        sys.stdout.flush()


if __name__ == "__main__":
    main()
