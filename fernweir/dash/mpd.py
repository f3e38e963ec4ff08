"""Typed views over the elements of an MPD (ISO/IEC 23009-1, clause 5.3).

A view owns no data: it reads and writes the element below it, so elements and attributes without a view are
preserved when the document is written. Times are in seconds, bandwidths in bits per second.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil
from urllib.parse import urljoin

from fernweir.dash.xml import Element, XmlError, read_xml, write_xml

NAMESPACE = "urn:mpeg:dash:schema:mpd:2011"
PROFILE = "urn:mpeg:dash:profile:isoff-live:2011"
_DURATION = re.compile(
    r"(-)?P(?:(\d+)Y)?(?:(\d+)M)?(?:(\d+)D)?(?:T(?=[\d.])(?:(\d+)H)?(?:(\d+)M)?(?:(\d+(?:\.\d+)?|\.\d+)S)?)?"
)
_IDENTIFIER = re.compile(r"\$(?:(RepresentationID)|(Number|Bandwidth|Time)(?:%0(\d{1,2})d)?|)\$")


class MpdError(ValueError):
    """Raised for a document that is not an MPD, or uses features that are not supported."""


def parse_duration(text: str) -> float:
    """Returns the seconds of an xs:duration. Years and months, which have no fixed length, are rejected."""
    match = _DURATION.fullmatch(text.strip())
    if match is None or text.strip().lstrip("-") in ("P", "PT") or match[2] or match[3]:
        raise MpdError(f"not a duration: {text[:40]}")
    days, hours, minutes, seconds = (float(part or 0) for part in match.group(4, 5, 6, 7))
    total = ((days * 24 + hours) * 60 + minutes) * 60 + seconds
    return -total if match[1] else total


def format_duration(seconds: float) -> str:
    """Returns an xs:duration."""
    return f"PT{seconds:.3f}".rstrip("0").rstrip(".") + "S"


class Node:
    """A view of an element."""

    __slots__ = ("element",)

    def __init__(self, element: Element) -> None:
        self.element = element

    def get(self, name: str, default: str = "") -> str:
        return self.element.attrs.get(name, default)

    def set(self, name: str, value: str | None) -> None:
        if value is None:
            self.element.attrs.pop(name, None)
        else:
            self.element.attrs[name] = value

    def number(self, name: str, default: int | None = None) -> int:
        """Returns an unsigned integer attribute.

        Raises MpdError if the attribute is not an integer, or is missing and has no default.
        """
        text = self.element.attrs.get(name)
        if text is None and default is not None:
            return default
        if text is None or not re.fullmatch(r"\+?\d{1,18}", text.strip()):
            raise MpdError(f"{self.element.name}@{name} is not a number: {str(text)[:40]}")
        return int(text)

    def duration(self, name: str) -> float | None:
        text = self.element.attrs.get(name)
        return None if text is None else parse_duration(text)

    def sub(self, local: str) -> str:
        """Returns the name of a new child, with the prefix that this element uses."""
        prefix, colon, _ = self.element.name.rpartition(":")
        return f"{prefix}{colon}{local}"

    def base_urls(self) -> list[BaseUrl]:
        return [BaseUrl(child) for child in self.element.all("BaseURL")]

    def descriptors(self, local: str) -> list[Descriptor]:
        return [Descriptor(child) for child in self.element.all(local)]

    def template(self) -> SegmentTemplate | None:
        child = self.element.first("SegmentTemplate")
        return SegmentTemplate(child) if child is not None else None


class BaseUrl(Node):
    __slots__ = ()

    @property
    def url(self) -> str:
        return self.element.text.strip()

    @property
    def service_location(self) -> str:
        return self.get("serviceLocation")


class Descriptor(Node):
    """An EssentialProperty or SupplementalProperty (5.8.4)."""

    __slots__ = ()

    @property
    def scheme(self) -> str:
        return self.get("schemeIdUri")


class SegmentTemplate(Node):
    """A SegmentTemplate (5.3.9.4) with `$Number$`; the durations are constant or in a SegmentTimeline."""

    __slots__ = ()

    @property
    def timescale(self) -> int:
        return max(self.number("timescale", 1), 1)

    def segments(self, period_s: float | None, limit: int = 1_000_000) -> list[Segment]:
        """Returns the media segments of a period. Raises MpdError if their number is not bounded."""
        first = self.number("startNumber", 1)
        timeline = self.element.first("SegmentTimeline")
        if timeline is not None:
            return list(self._by_timeline(timeline, first, period_s, limit))
        segment_duration = self.number("duration")
        if not segment_duration or period_s is None:
            raise MpdError("SegmentTemplate without a bound on its segments")
        count = ceil(period_s * self.timescale / segment_duration - 1e-9)
        if count > limit:
            raise MpdError("too many segments")
        return [
            Segment(first + i, i * segment_duration, segment_duration / self.timescale) for i in range(count)
        ]

    def _by_timeline(
        self, timeline: Element, number: int, period_s: float | None, limit: int
    ) -> Iterator[Segment]:
        entries = [Node(child) for child in timeline.all("S")]
        time = 0
        for index, entry in enumerate(entries):
            time, segment_duration = entry.number("t", time), entry.number("d")
            repeat = int(entry.get("r", "0")) if re.fullmatch(r"-?\d{1,9}", entry.get("r", "0")) else None
            if repeat is None or not segment_duration:
                raise MpdError("SegmentTimeline with a bad S")
            if repeat < 0:
                # "Up to the next S, or the end of the period" (5.3.9.6).
                end = entries[index + 1].number("t", 0) if index + 1 < len(entries) else None
                if end is None and period_s is None:
                    raise MpdError("SegmentTimeline without end")
                end_time = end if end is not None else (period_s or 0.0) * self.timescale
                repeat = max(ceil((end_time - time) / segment_duration - 1e-9), 1) - 1
            if repeat > limit:
                raise MpdError("too many segments")
            for _ in range(repeat + 1):
                yield Segment(number, time, segment_duration / self.timescale)
                number, time, limit = number + 1, time + segment_duration, limit - 1
            if limit < 0:
                raise MpdError("too many segments")

    def address(self, pattern: str, representation: Representation, segment: Segment | None = None) -> str:
        """Replaces the identifiers in an address (5.3.9.4.4). Raises MpdError for an unknown one."""

        def fill(match: re.Match[str]) -> str:
            if match[1]:
                return representation.id
            if match[2] is None:
                return "$"
            if match[2] != "Bandwidth" and segment is None:
                raise MpdError(f"${match[2]}$ without a segment")
            value = representation.bandwidth if segment is None else {
                "Number": segment.number, "Time": segment.time, "Bandwidth": representation.bandwidth
            }[match[2]]  # fmt: skip
            return f"{value:0{int(match[3] or 1)}d}"

        if _IDENTIFIER.sub("", pattern).count("$"):
            raise MpdError(f"unknown identifier in {pattern[:60]}")
        return _IDENTIFIER.sub(fill, pattern)


@dataclass(frozen=True, slots=True)
class Segment:
    number: int
    time: int
    length_s: float


class Representation(Node):
    __slots__ = ()

    @property
    def id(self) -> str:
        return self.get("id")

    @property
    def bandwidth(self) -> int:
        return self.number("bandwidth")


class AdaptationSet(Node):
    __slots__ = ()

    @property
    def representations(self) -> list[Representation]:
        return [Representation(child) for child in self.element.all("Representation")]

    def keep_representations(self, ids: set[str]) -> None:
        """Removes all Representations except those with these ids."""
        self.element.children = [
            child
            for child in self.element.children
            if child.local != "Representation" or child.attrs.get("id") in ids
        ]


class Period(Node):
    __slots__ = ()

    @property
    def adaptation_sets(self) -> list[AdaptationSet]:
        return [AdaptationSet(child) for child in self.element.all("AdaptationSet")]


class Mpd(Node):
    __slots__ = ()

    @property
    def periods(self) -> list[Period]:
        return [Period(child) for child in self.element.all("Period")]

    @property
    def program(self) -> Node | None:
        child = self.element.first("ProgramInformation")
        return Node(child) if child is not None else None

    @property
    def title(self) -> str:
        program = self.program
        child = program.element.first("Title") if program is not None else None
        return child.text.strip() if child is not None else ""

    @property
    def locations(self) -> list[str]:
        return [child.text.strip() for child in self.element.all("Location")]

    def period_s(self, period: Period) -> float | None:
        period_duration_s = period.duration("duration")
        return (
            period_duration_s if period_duration_s is not None else self.duration("mediaPresentationDuration")
        )

    def replace_child(self, local: str, text: str, **attrs: str) -> None:
        """Replaces all children of that name with one, at its position in the schema's order (5.3.1.3)."""
        order = ["ProgramInformation", "BaseURL", "Location"]
        remaining = [child for child in self.element.children if child.local != local]
        position = sum(1 for child in remaining if child.local in order[: order.index(local)])
        self.element.children = [
            *remaining[:position],
            Element(self.sub(local), attrs, text=text),
            *remaining[position:],
        ]

    def write(self) -> bytes:
        return write_xml(self.element)


def read_mpd(data: bytes) -> Mpd:
    """Parses and validates a document. Raises MpdError, which names the defect."""
    try:
        root = read_xml(data)
    except XmlError as error:
        raise MpdError(f"not XML: {error}") from None
    prefix, colon, local = root.name.rpartition(":")
    if local != "MPD" or root.attrs.get(f"xmlns:{prefix}" if colon else "xmlns") != NAMESPACE:
        raise MpdError("root element is not an MPD of the DASH namespace")
    mpd = Mpd(root)
    if not mpd.periods:
        raise MpdError("MPD without a Period")
    for period in mpd.periods:
        for adaptation_set in period.adaptation_sets:
            for representation in adaptation_set.representations:
                if not representation.id or representation.bandwidth <= 0:
                    raise MpdError("Representation without id or bandwidth")
    return mpd


def segment_template(
    period: Period, adaptation_set: AdaptationSet, representation: Representation
) -> SegmentTemplate:
    """Returns the effective template of a Representation.

    Lower levels extend and override higher ones (5.3.9.1).
    """
    templates = [
        template
        for level in (period, adaptation_set, representation)
        if (template := level.template()) is not None
    ]
    if not templates:
        raise MpdError("no SegmentTemplate")
    merged = Element(templates[-1].element.name)
    for template in templates:
        merged.attrs.update(template.element.attrs)
        for child in template.element.children:
            merged.children = [existing for existing in merged.children if existing.local != child.local]
            merged.children.append(child)
    return SegmentTemplate(merged)


def base_url(document_url: str, *levels: Node) -> str:
    """Returns the base URL that results from the first BaseURL of each level (5.6.4)."""
    url = document_url
    for level in levels:
        if urls := level.base_urls():
            url = urljoin(url, urls[0].url)
    return url
