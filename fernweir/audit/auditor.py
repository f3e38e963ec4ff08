"""Feeds a trace to all rules and tells what came of it."""

from __future__ import annotations

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from fernweir.audit.gaps import Gaps
from fernweir.audit.owners import OWNER_RULES
from fernweir.audit.records import AnyRecord, Terms, ViewerAnswer, ViewerAsk, read_trace
from fernweir.audit.rules import RULES, Finding, OneAnswer, Rule

__all__ = ["Auditor", "Finding", "audit_lines", "render_table"]

_KINDS = {200: "plays", 503: "refused", 502: "failed", 504: "failed"}
_MOST_MS = 60_000


class Auditor:
    """Takes records in the order of time. The first must be the terms.

    Rules of ownership find nothing to check in traces of fronts that don't know one another.
    """

    def __init__(self, terms: Terms) -> None:
        self.rules: list[Rule] = [rule(terms) for rule in (*RULES, *OWNER_RULES)]
        self.gaps = Gaps()
        self._last = terms.t
        self._asked: dict[int, ViewerAsk] = {}
        self.times: dict[tuple[str, str], HdrHistogram] = {}

    def take(self, line: int, record: AnyRecord) -> None:
        self._last = record.t
        for rule in self.rules:
            rule.take(line, record)
        self.gaps.take(record)
        if isinstance(record, ViewerAsk):
            self._asked[record.req] = record
        elif isinstance(record, ViewerAnswer) and record.req in self._asked:
            ask = self._asked.pop(record.req)
            kind = _KINDS.get(record.status, "turned away")
            times = self.times.setdefault((ask.cls, kind), HdrHistogram(1, _MOST_MS * 1000, 3))
            times.record_value(max(round((record.t - ask.t) * 1000.0), 1))

    def finish(self) -> None:
        for rule in self.rules:
            rule.finish(self._last + 1.0)
        self.gaps.finish()

    @property
    def findings(self) -> list[Finding]:
        return [finding for rule in self.rules for finding in rule.findings]

    @property
    def statuses(self) -> dict[int, int]:
        first = self.rules[0]
        return dict(first.by_status) if isinstance(first, OneAnswer) else {}


def audit_lines(lines: Iterable[str]) -> Auditor:
    """Audits a whole trace. TraceError if it can't be read."""
    records = read_trace(lines)
    terms = records[0][1]
    assert isinstance(terms, Terms)
    auditor = Auditor(terms)
    for line, record in records:
        auditor.take(line, record)
    auditor.finish()
    return auditor


def render_table(auditor: Auditor, most: int = 10) -> str:
    """The verdict for people: a line a rule, what broke first, and answers with their times."""
    out = [f"{'rule':<46} {'checked':>8} {'broken':>7}"]
    for rule in auditor.rules:
        if isinstance(rule, OWNER_RULES) and not rule.checked:
            continue
        out.append(f"{rule.name + '. ' + rule.title:<46} {rule.checked:>8} {len(rule.findings):>7}")
    for finding in auditor.findings[:most]:
        out.append(f"  {finding}")
    if len(auditor.findings) > most:
        out.append(f"  and {len(auditor.findings) - most} more")
    out.append("")
    out.append(f"{'class':<12} {'answer':<12} {'count':>6} {'p50 ms':>8} {'p99 ms':>8} {'max ms':>8}")
    for (cls, kind), times in sorted(auditor.times.items()):
        figures = [
            times.get_value_at_percentile(50),
            times.get_value_at_percentile(99),
            times.get_max_value(),
        ]
        cells = " ".join(f"{value / 1000.0:>8.1f}" for value in figures)
        out.append(f"{cls:<12} {kind:<12} {times.get_total_count():>6} {cells}")
    return "\n".join(out)
