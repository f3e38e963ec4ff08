"""Builds the MPD of a recorded title: one video AdaptationSet with one Representation per rung."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fernweir.dash.mpd import NAMESPACE, PROFILE, Mpd, format_duration
from fernweir.dash.xml import Element


@dataclass(frozen=True, slots=True)
class Title:
    """The properties of a presentation; bandwidths are in bits per second, lowest rung first."""

    name: str
    length_s: float
    segment_s: float
    bandwidths: Sequence[int]


def rung_id(rung: int) -> str:
    """Returns the Representation id of a rung."""
    return f"r{rung}"


def rung_of(rep_id: str) -> int:
    """Returns the rung of a Representation id. Raises ValueError if the id is not that of a rung."""
    if not rep_id.startswith("r") or not rep_id[1:].isdigit() or len(rep_id) > 4:
        raise ValueError(f"not a rung: {rep_id[:20]}")
    return int(rep_id[1:])


def build_mpd(title: Title) -> Mpd:
    """Builds a static MPD whose segments are addressed by number."""
    template = Element(
        "SegmentTemplate",
        {
            "timescale": "1000",
            "duration": str(round(title.segment_s * 1000)),
            "startNumber": "1",
            "media": "$RepresentationID$/$Number$.m4s",
            "initialization": "$RepresentationID$/init.mp4",
        },
    )
    representations = [
        Element("Representation", {"id": rung_id(rung), "bandwidth": str(bandwidth), "codecs": "avc1.64001f"})
        for rung, bandwidth in enumerate(title.bandwidths)
    ]
    adaptation_set = Element(
        "AdaptationSet", {"contentType": "video", "mimeType": "video/mp4", "segmentAlignment": "true"}
    )
    adaptation_set.children = [template, *representations]
    root = Element(
        "MPD",
        {
            "xmlns": NAMESPACE,
            "profiles": PROFILE,
            "type": "static",
            "mediaPresentationDuration": format_duration(title.length_s),
            "minBufferTime": format_duration(2 * title.segment_s),
        },
    )
    program = Element("ProgramInformation", children=[Element("Title", text=title.name)])
    root.children = [program, Element("Period", {"id": "1"}, [adaptation_set])]
    return Mpd(root)
