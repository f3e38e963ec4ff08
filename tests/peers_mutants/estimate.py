"""Mistakes in estimates, budgets, waves and runs of questions. `DAYS`: the drawn day that finds each."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_AT = "fernweir/peers/estimate/"

DAYS: dict[str, str] = {}
MUTANTS: list[Mutant] = []


def _add(day: str, name: str, file: str, old: str, new: str, seeds: int, faults: int = 1) -> None:
    DAYS[name] = day
    MUTANTS.append(Mutant(name, _AT + file, old, new, seeds, faults))


_add(
    "questions_day",
    "a filter read as exact",
    "selectivity.py",
    "return Bound(0.0, summary.rows / max(1, summary.sessions), summary.session_most)",
    "return Bound(1.0, summary.rows / max(1, summary.sessions), summary.session_most)",
    20,
)
_add(
    "questions_day",
    "an upper bound by independence instead of the least marginal",
    "selectivity.py",
    "    return Match(Bound(low, min(max(guess, low), high), high), doubt)",
    "    return Match(Bound(low, guess, max(guess, low)), doubt)",
    20,
)
_add(
    "questions_day",
    "an open shard skipped because its summary has nothing",
    "parts.py",
    "        if found is None and not grows:",
    "        if found is None:",
    10,
)
_add(
    "questions_day",
    "the age of a summary counted from when it was cut, by another's clock",
    "parts.py",
    """        longest = min(query.until, summary.taken + passed + self._rules.lag_ms) - begin""",
    """        longest = min(query.until, now) - begin - (now - summary.taken - passed)""",
    20,
)
_add(
    "questions_day",
    "only the named shard of a front that went on to others",
    "parts.py",
    "            grows and last,\n            rows,",
    "            False,\n            rows,",
    20,
)
_add(
    "questions_day",
    "a summary that was lost taken for a shard that never was",
    "parts.py",
    "        begin, end = last.summary.older.shards, int(last.summary.shard.name)",
    "        begin = end = int(last.summary.shard.name)",
    40,
)
_add(
    "questions_day",
    "shards no longer published left out",
    "parts.py",
    "        if older is not None:",
    "        if older is not None and not wanted:",
    20,
)
_add(
    "questions_day",
    "a bin in which the span ends is not touched",
    "sketches.py",
    "        last_touched = min(last, bisect_left(edges, until))",
    "        last_touched = max(first_touched, bisect_right(edges, until) - 1)",
    20,
)
_add(
    "questions_day",
    "a second answer to one read counted again",
    "runner.py",
    "        out = self._outs.pop(number, None)\n        if out is None:\n            return\n",
    "        out = self._outs.get(number)\n        if out is None:\n            return\n",
    20,
)
_add(
    "questions_day",
    "what is out is not set aside from the budget",
    "runner.py",
    "            self._left = Spend(self._left.rows - most.rows, self._left.bytes - most.bytes)\n"
    "            self._number += 1",
    "            self._number += 1",
    20,
)
_add(
    "questions_day",
    "a front told dead in the middle asked for what is left",
    "runner.py",
    "        self._gone.add(front)\n",
    "",
    40,
    2,
)
_add(
    "questions_day",
    "a shard that nobody gave is not said to be missing",
    "runner.py",
    "            if whom is None:\n                self._unreached[front] = None\n                continue",
    "            if whom is None:\n                continue",
    20,
    2,
)
_add(
    "limits_day",
    "reserved by the likely instead of the upper bound",
    "limits.py",
    "        most = Spend(max(1.0, estimate.rows.high), max(1.0, estimate.bytes.high))",
    "        most = Spend(max(1.0, estimate.rows.guess), max(1.0, estimate.bytes.guess))",
    5,
)
_add(
    "limits_day",
    "a refill that forgets what is out",
    "limits.py",
    "        out_rows = sum(one.most.rows for one in self._reserved.values())",
    "        out_rows = 0.0",
    40,
)
_add(
    "limits_day",
    "pressure that slows the refill and leaves what was saved up",
    "limits.py",
    "        return a_second * self._rules.span_ms / 1e3 * (1.0 - self._pressure)",
    "        return a_second * self._rules.span_ms / 1e3",
    5,
)
_add(
    "limits_day",
    "a narrower form that is as wide elsewhere",
    "narrow.py",
    "    yield msgspec.structs.replace(query, since=since, until=middle)",
    "    yield msgspec.structs.replace(query, since=since - (until - middle), until=middle)",
    40,
)
_add(
    "waves_day",
    "a wave that did more than was estimated is followed by the next at once",
    "waves.py",
    "        elif over > 1.0 or len(left_over) >= len(wave.units):",
    "        elif len(left_over) >= len(wave.units):",
    20,
)
_add(
    "waves_day",
    "units that a wave left over are forgotten",
    "waves.py",
    "        self._units.extend(unit for unit in dict.fromkeys(left_over) if unit in wave.units)\n",
    "",
    20,
)
_add(
    "orders_day",
    "what came since the summaries is not counted",
    "orders.py",
    "    seconds = (front.age_ms + rules.lag_ms) / 1e3\n",
    "    seconds = rules.lag_ms / 1e3\n",
    40,
)
_add(
    "feedback_day",
    "bounds that fail are not widened",
    "feedback.py",
    "                record.factor = min(self._rules.most, grown)",
    "                record.factor = min(self._rules.most, max(1.0, record.factor))",
    2,
)
_add(
    "standing_day",
    "what stood a minute ago stands for certain",
    "parts.py",
    "                left = self._changes(known, now)",
    "                left = 0.0",
    20,
)
_add(
    "standing_day",
    "a session that moved keeps the time at which it first stood",
    "shards.py",
    "        row = Row(now, STANDING, standing.session,",
    "        row = Row(known[1].at if known else now, STANDING, standing.session,",
    20,
)
_add(
    "desk_day",
    "what runs goes on reading while viewers need everything",
    "desk.py",
    "            running.run.hold(now, self._held)\n",
    "            pass\n",
    10,
)
_add(
    "questions_day",
    "a run that stops keeps what still waits",
    "runner.py",
    "        self._outs.clear()\n        self._waiting.clear()\n",
    "        self._outs.clear()\n",
    10,
    2,
)
