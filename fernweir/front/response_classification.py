"""Classifies a server's reply to a set-up or a health check. Free of I/O; see docs/protocols.md.

A set-up counts as one that never ran only if that is proven: there was no connection, no byte was written, or
the server itself states that it rejected the set-up without examining it. Any other set-up may have run.
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
    """Returns the result of an attempt or a health check, and the reason.

    OK states only that the status was a success.
    """
    if reply.outcome is not Outcome.ANSWERED:
        return _BY_OUTCOME[reply.outcome], reply.detail or reply.outcome.value
    if 200 <= reply.status < 300:
        return Result.OK, ""
    type_uri = problem_type(reply) if reply.status in (429, 503) else ""
    if type_uri in (FULL, DRAINING):
        return Result.FULL, type_uri.rpartition(":")[2]
    return Result.ERROR, f"status {reply.status}"


def problem_type(reply: Reply) -> str:
    """Returns the `type` of a problem document (RFC 9457); empty if the reply has none."""
    if not reply.headers.get("content-type").startswith("application/problem+json"):
        return ""
    try:
        body = json.loads(reply.body)
    except (ValueError, RecursionError):
        return ""
    type_uri = body.get("type") if isinstance(body, dict) else None
    return type_uri if isinstance(type_uri, str) else ""


def load_report(reply: Reply) -> dict[str, float]:
    """Returns the metrics of an `endpoint-load-metrics` header (ORCA) in its TEXT or JSON form.

    A malformed header, or a value that is not a finite number of at least 0, is treated as not sent.
    """
    text = reply.headers.get("endpoint-load-metrics").strip()
    text_format, _, content = text.partition(" ")
    report: dict[str, float] = {}
    if text_format == "TEXT":
        for part in content.split(","):
            match = _METRIC.fullmatch(part)
            if match is not None:
                _add_metric(report, match[1], match[2])
    elif text_format == "JSON":
        try:
            body = json.loads(content)
        except (ValueError, RecursionError):
            return {}
        metrics = body.get("named_metrics", {}) if isinstance(body, dict) else {}
        for name, value in metrics.items() if isinstance(metrics, dict) else ():
            _add_metric(report, name, value)
    return report


def _add_metric(report: dict[str, float], name: str, value: object) -> None:
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        return
    if math.isfinite(number) and number >= 0.0:
        report[name] = number
