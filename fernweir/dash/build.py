"""Makes the MPD of a recorded title: one video AdaptationSet with a rung a Representation."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from fernweir.dash.mpd import NAMESPACE, PROFILE, Mpd, format_duration
from fernweir.dash.xml import Element


@dataclass(frozen=True, slots=True)
class Title:
    """What a presentation is made of; bandwidths are bits a second, lowest rung first."""

    name: str
    length_s: float
    segment_s: float
    bandwidths: Sequence[int]


def rung_id(rung: int) -> str:
    """The Representation id of a rung."""
    return f"r{rung}"


def rung_of(rep_id: str) -> int:
    """The rung of a Representation id; ValueError if it is none."""
    if not rep_id.startswith("r") or not rep_id[1:].isdigit() or len(rep_id) > 4:
        raise ValueError(f"not a rung: {rep_id[:20]}")
    return int(rep_id[1:])


def build_mpd(title: Title) -> Mpd:
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
    reps = [
        Element("Representation", {"id": rung_id(rung), "bandwidth": str(rate), "codecs": "avc1.64001f"})
        for rung, rate in enumerate(title.bandwidths)
    ]
    group = Element(
        "AdaptationSet", {"contentType": "video", "mimeType": "video/mp4", "segmentAlignment": "true"}
    )
    group.children = [template, *reps]
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
    root.children = [program, Element("Period", {"id": "1"}, [group])]
    return Mpd(root)
