"""What a box's reply to a set-up means to the module. A table, free of I/O; see docs/protocols.md.

Only what proves that nothing ran may be told as such: no connection, no byte written, or a box's own word
that it turned the set-up away unexamined. All else may have run, however it looks.
"""

from __future__ import annotations

import json
import math
import re

from fernweir.http.client import Outcome, Reply
from fernweir.interface import Result

FULL = "urn:fernweir:problem:full"
DRAINING = "urn:fernweir:problem:draining"

_BY_OUTCOME = {
    Outcome.REFUSED: Result.CONNECT_FAILED,
    Outcome.UNREACHED: Result.CONNECT_FAILED,
    Outcome.UNSENT: Result.CONNECT_FAILED,
    Outcome.UNWANTED: Result.NOT_SENT,
    Outcome.RESET: Result.RESET,
    Outcome.CUT: Result.RESET,
    Outcome.SILENT: Result.TIMEOUT,
    Outcome.STALLED: Result.TIMEOUT,
    Outcome.GARBLED: Result.ERROR,
    Outcome.CANCELLED: Result.CANCELLED,
}
_METRIC = re.compile(r"\s*(?:named_metrics\.)?([A-Za-z0-9_.-]{1,64})\s*=\s*([0-9.eE+-]{1,32})\s*")


def classify_reply(reply: Reply) -> tuple[Result, str]:
    """The result of an attempt or a probe, and why. OK says only that the status was a success."""
    if reply.outcome is not Outcome.ANSWERED:
        return _BY_OUTCOME[reply.outcome], reply.detail or reply.outcome.value
    if 200 <= reply.status < 300:
        return Result.OK, ""
    kind = problem_type(reply) if reply.status in (429, 503) else ""
    if kind in (FULL, DRAINING):
        return Result.FULL, kind.rpartition(":")[2]
    return Result.ERROR, f"status {reply.status}"


def problem_type(reply: Reply) -> str:
    """The `type` of a problem document (RFC 9457), or nothing."""
    if not reply.headers.get("content-type").startswith("application/problem+json"):
        return ""
    try:
        body = json.loads(reply.body)
    except (ValueError, RecursionError):
        return ""
    kind = body.get("type") if isinstance(body, dict) else None
    return kind if isinstance(kind, str) else ""


def load_report(reply: Reply) -> dict[str, float]:
    """The metrics of an `endpoint-load-metrics` header (ORCA), in its TEXT or JSON form.

    A header that can't be read, or a value that is no finite number of 0 or more, counts as not sent.
    """
    text = reply.headers.get("endpoint-load-metrics").strip()
    form, _, rest = text.partition(" ")
    report: dict[str, float] = {}
    if form == "TEXT":
        for part in rest.split(","):
            match = _METRIC.fullmatch(part)
            if match is not None:
                _add(report, match[1], match[2])
    elif form == "JSON":
        try:
            body = json.loads(rest)
        except (ValueError, RecursionError):
            return {}
        named = body.get("named_metrics", {}) if isinstance(body, dict) else {}
        for name, value in named.items() if isinstance(named, dict) else ():
            _add(report, name, value)
    return report


def _add(report: dict[str, float], name: str, value: object) -> None:
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        return
    if math.isfinite(number) and number >= 0.0:
        report[name] = number
