"""Strict parsing of request targets into paths and queries (RFC 3986, RFC 9112 section 3.2)."""

from __future__ import annotations

import re
from urllib.parse import parse_qsl, unquote_to_bytes

_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")


class TargetError(ValueError):
    """Raised for an invalid target; the message gives the reason."""


def split_target(target: str, max_params: int = 32) -> tuple[list[str], dict[str, str]]:
    """Returns the decoded segments of an origin-form path, and its query. A repeated name is an error.

    Dot segments, empty segments, and escapes that would hide a slash, a NUL or a control character are
    rejected rather than repaired, so that the authorised path is the one that is fetched.
    """
    if not target.startswith("/") or "#" in target:
        raise TargetError("target is not in origin form")
    path, _, query = target.partition("?")
    if _BAD_ESCAPE.search(target):
        raise TargetError("malformed percent-encoding")
    segments = []
    for raw in path[1:].split("/"):
        data = unquote_to_bytes(raw)
        try:
            segment = data.decode("utf-8")
        except UnicodeDecodeError:
            raise TargetError("path is not UTF-8") from None
        if segment in ("", ".", "..") or any(ord(char) < 32 or char in "/\\\x7f" for char in segment):
            raise TargetError("path has an empty, dot or hidden segment")
        segments.append(segment)
    try:
        pairs = parse_qsl(query, keep_blank_values=True, max_num_fields=max_params, errors="strict")
    except ValueError:
        raise TargetError("malformed query") from None
    params = dict(pairs)
    if len(params) != len(pairs):
        raise TargetError("repeated query parameter")
    return segments, params
