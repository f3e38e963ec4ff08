"""Query parameters for segment requests: ISO/IEC 23009-1 Annex I, `urn:mpeg:dash:urlparam:2014`."""

from __future__ import annotations

import re
from urllib.parse import parse_qsl, quote

from fernweir.dash.mpd import Mpd, MpdError, Node
from fernweir.dash.xml import Element

SCHEME = "urn:mpeg:dash:urlparam:2014"
NAMESPACE = "urn:mpeg:dash:schema:urlparam:2014"
_PART = re.compile(r"\$querypart\$|\$query:([^$]+)\$|\$\$")


def put_query(mpd: Mpd, query: str) -> None:
    """Adds `query` to every segment request of the presentation.

    The property is added to each AdaptationSet, where it replaces an existing one.
    """
    for period in mpd.periods:
        for adaptation_set in period.adaptation_sets:
            remaining = [
                child
                for child in adaptation_set.element.children
                if not (child.local == "EssentialProperty" and child.attrs.get("schemeIdUri") == SCHEME)
            ]
            info = Element(
                "up:UrlQueryInfo",
                {"xmlns:up": NAMESPACE, "queryTemplate": "$querypart$", "queryString": query},
            )
            descriptor = Element(adaptation_set.sub("EssentialProperty"), {"schemeIdUri": SCHEME}, [info])
            adaptation_set.element.children = [descriptor, *remaining]


def segment_query(levels: list[Node], mpd_query: str) -> str:
    """Returns the query string that a client adds to segment requests.

    It comes from the lowest level that has a property of the scheme.
    """
    for level in reversed(levels):
        for local in ("EssentialProperty", "SupplementalProperty"):
            for descriptor in level.descriptors(local):
                info = descriptor.element.first("UrlQueryInfo")
                if descriptor.scheme == SCHEME and info is not None:
                    return _fill(info, mpd_query)
    return ""


def _fill(info: Element, mpd_query: str) -> str:
    template = info.attrs.get("queryTemplate")
    if template is None:
        raise MpdError("UrlQueryInfo without queryTemplate")
    parts = [info.attrs.get("queryString", "")]
    if info.attrs.get("useMPDUrlQuery") == "true":
        parts.insert(0, mpd_query)
    initial = "&".join(part for part in parts if part)
    values = dict(parse_qsl(initial, keep_blank_values=True))

    def replace(match: re.Match[str]) -> str:
        if match[0] == "$$":
            return "$"
        if match[1] is None:
            return initial
        return f"{match[1]}={quote(values.get(match[1], ''), safe='')}"

    return _PART.sub(replace, template)
