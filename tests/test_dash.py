"""Tests of the MPD reader and writer against mpegdash, and of the XML that the reader rejects."""

from __future__ import annotations

import xml.etree.ElementTree as ET

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mpegdash.parser import MPEGDASHParser

from fernweir.dash.build import Title, build_mpd
from fernweir.dash.mpd import (
    MpdError,
    base_url,
    format_duration,
    parse_duration,
    read_mpd,
    segment_template,
)
from fernweir.dash.urlparam import put_query, segment_query
from fernweir.dash.xml import Element, XmlError, read_xml, write_xml
from fernweir.front.manifest import ManifestCache, ManifestError

RICH = b"""<?xml version="1.0" encoding="utf-8"?>
<!-- a comment -->
<MPD xmlns="urn:mpeg:dash:schema:mpd:2011" xmlns:x="urn:x" x:own="kept" type="static" minBufferTime="PT1.5S"
     profiles="urn:mpeg:dash:profile:isoff-live:2011" mediaPresentationDuration="PT1M0.5S">
  <ProgramInformation><Title>Caf\xc3\xa9 &amp; <![CDATA[<Tee>]]></Title></ProgramInformation>
  <BaseURL serviceLocation="a">media/</BaseURL>
  <x:Unknown deep="1"><x:Inner>text &#x41;</x:Inner> tail</x:Unknown>
  <Period id="p" duration="PT10S">
    <AdaptationSet mimeType="video/mp4">
      <SupplementalProperty schemeIdUri="urn:own" value="1"/>
      <SegmentTemplate timescale="10" media="$RepresentationID$/$Number%05d$-$Time$-$Bandwidth$$$.m4s">
        <SegmentTimeline><S t="5" d="20" r="1"/><S d="10"/><S t="60" d="20" r="-1"/></SegmentTimeline>
      </SegmentTemplate>
      <Representation id="r0" bandwidth="100"/>
      <Representation id="r1" bandwidth="200"><SegmentTemplate startNumber="7"/></Representation>
    </AdaptationSet>
  </Period>
</MPD>
"""


def test_a_rich_document_is_parsed_and_preserved() -> None:
    mpd = read_mpd(RICH)
    period = mpd.periods[0]
    group = period.adaptation_sets[0]
    first, second = group.representations
    assert mpd.title == "Café & <Tee>" and mpd.period_s(period) == 10.0
    assert mpd.duration("mediaPresentationDuration") == 60.5
    template = segment_template(period, group, second)
    segments = template.segments(mpd.period_s(period))
    assert [(one.number, one.time) for one in segments] == [(7, 5), (8, 25), (9, 45), (10, 60), (11, 80)]
    assert template.address(template.get("media"), second, segments[0]) == "r1/00007-5-200$.m4s"
    assert segment_template(period, group, first).segments(10.0)[0].number == 1
    assert base_url("http://h/x/y.mpd", mpd, period, group, first) == "http://h/x/media/"
    again = read_mpd(mpd.write())
    assert again.write() == mpd.write()
    assert ET.canonicalize(mpd.write(), strip_text=True) == ET.canonicalize(RICH, strip_text=True)


def test_mpegdash_reads_the_same_values() -> None:
    """mpegdash reads the same values from our output and from our input."""
    mpd = build_mpd(Title("a <b> & c", 61.0, 2.0, [100, 200, 400]))
    put_query(mpd, "token=a.b-c&x=1")
    mpd.replace_child("BaseURL", "http://127.0.0.1:1/", serviceLocation="box-1")
    theirs = MPEGDASHParser.parse(mpd.write().decode())
    group = theirs.periods[0].adaptation_sets[0]
    ours = mpd.periods[0].adaptation_sets[0].representations
    assert [(one.id, one.bandwidth) for one in group.representations] == [(r.id, r.bandwidth) for r in ours]
    assert theirs.base_urls[0].base_url_value == "http://127.0.0.1:1/"
    assert theirs.base_urls[0].service_location == "box-1"
    assert group.segment_templates[0].duration == 2000 and theirs.media_presentation_duration == "PT61S"
    rich = MPEGDASHParser.parse(RICH.decode())
    runs = rich.periods[0].adaptation_sets[0].segment_templates[0].segment_timelines[0].Ss
    assert [(run.t, run.d, run.r) for run in runs] == [(5, 20, 1), (None, 10, None), (60, 20, -1)]


TEXT = st.text(st.characters(codec="utf-8", exclude_categories=["Cc", "Cs", "Cn"]), max_size=12)
NAMES = st.from_regex(r"[A-Za-z_][A-Za-z0-9_.-]{0,5}", fullmatch=True).filter(
    lambda name: not name.lower().startswith("xml")
)
ELEMENTS = st.recursive(
    st.builds(Element, NAMES, st.dictionaries(NAMES, TEXT, max_size=3), text=TEXT),
    lambda inner: st.builds(
        Element, NAMES, st.dictionaries(NAMES, TEXT, max_size=2), st.lists(inner, max_size=3), TEXT
    ),
    max_leaves=8,
)


@given(ELEMENTS)
def test_written_documents_are_read_back_here_and_by_elementtree(root: Element) -> None:
    data = write_xml(root)
    assert read_xml(data) == root
    assert ET.fromstring(data).tag == root.name


@given(st.text("<>/a =\"'&;!-[]?#x1:CDAT", max_size=40))
def test_markup_that_elementtree_rejects_is_rejected(markup: str) -> None:
    data = f"<a>{markup}</a>".encode()
    try:
        ours = read_xml(data)
    except XmlError:
        return
    if ":" not in markup and "]]>" not in markup:  # prefixes are kept as written, not resolved
        assert ET.fromstring(data).tag == ours.name


@pytest.mark.parametrize(
    ("data", "word"),
    [
        (b'<!DOCTYPE a [<!ENTITY b "c">]><a/>', "document type"),
        (b"<a>&b;</a>", "entity"),
        (b"<?pi x?><a/>", "processing"),
        (b"<a><b></a>", "unmatched"),
        (b"<a/><b/>", "second root"),
        (b"<a x='1' x='2'/>", "repeated"),
        (b"<a>&#0;</a>", "reference"),
        (b"\xff<a/>", "UTF-8"),
        (b"<a>" * 100, "too deep"),
        (b"<a/>x", "outside"),
        (b"", "no root"),
        (b"<a", "malformed"),
        (b"<a>" + b" " * 5_000_000, "too large"),
    ],
)
def test_unsupported_and_malformed_xml_is_rejected(data: bytes, word: str) -> None:
    with pytest.raises(XmlError, match=word):
        read_xml(data)


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ((b"urn:mpeg:dash:schema:mpd:2011", b"urn:other"), "root element"),
        ((b'bandwidth="100"', b'bandwidth="fast"'), "not a number"),
        ((b'id="r0"', b'id=""'), "without id"),
        ((b"Period", b"Perio"), "without a Period"),
    ],
)
def test_documents_that_are_not_an_mpd_are_rejected(change: tuple[bytes, bytes], word: str) -> None:
    with pytest.raises(MpdError, match=word):
        read_mpd(RICH.replace(*change))


@pytest.mark.parametrize("bad", ["r='x'", "r='-1'", "d='0'", "t='-1' d='2'", "d='1' r='999999999'"])
def test_unbounded_or_invalid_timelines_are_rejected(bad: str) -> None:
    body = RICH.replace(
        b'<S t="5" d="20" r="1"/><S d="10"/><S t="60" d="20" r="-1"/>', f"<S {bad}/>".encode()
    )
    mpd = read_mpd(
        body.replace(b' duration="PT10S"', b"").replace(b' mediaPresentationDuration="PT1M0.5S"', b"")
    )
    period = mpd.periods[0]
    group = period.adaptation_sets[0]
    with pytest.raises(MpdError):
        segment_template(period, group, group.representations[0]).segments(None)


def test_durations() -> None:
    assert [parse_duration(text) for text in ("PT1H2M3.5S", "P1DT1S", "PT0S", "-PT2S")] == [
        3723.5,
        86401,
        0,
        -2,
    ]
    assert format_duration(61.25) == "PT61.25S"
    for bad in ("", "P", "PT", "1S", "P1M", "PT1S1M"):
        with pytest.raises(MpdError):
            parse_duration(bad)


def test_query_parameters_of_annex_i() -> None:
    mpd = build_mpd(Title("t", 10, 2, [100]))
    levels = [mpd, mpd.periods[0], mpd.periods[0].adaptation_sets[0]]
    assert segment_query(list(levels), "m=1") == ""
    put_query(mpd, "token=abc")
    put_query(mpd, "token=abd")
    assert segment_query(list(levels), "m=1") == "token=abd"
    info = mpd.periods[0].adaptation_sets[0].element.first("EssentialProperty").first("UrlQueryInfo")  # type: ignore[union-attr]
    assert info is not None
    info.attrs.update(useMPDUrlQuery="true", queryTemplate="a=$$&$query:m$&$query:none$&$querypart$")
    assert segment_query(list(levels), "m=1%20") == "a=$&m=1%20&none=&m=1%20&token=abd"


def test_a_server_manifest_is_validated_and_reduced_to_the_viewer_s_rungs() -> None:
    cache = ManifestCache(3)
    body = build_mpd(Title("t", 10, 2, [100, 200, 400])).write()
    manifest = cache.validate(body, 1, 2)
    for query in ("token=a", "token=b"):
        text = cache.render(manifest, 1, 1, "http://h/", "box-1", "http://f/?a=1&b=2", query)
        mpd = read_mpd(text)
        group = mpd.periods[0].adaptation_sets[0]
        assert [rep.id for rep in group.representations] == ["r1"]
        assert segment_query([mpd, group], "") == query and mpd.locations == ["http://f/?a=1&b=2"]
    short = build_mpd(Title("t", 10, 2, [100, 200])).write()
    falling = build_mpd(Title("t", 10, 2, [300, 200, 400])).write()
    long = build_mpd(Title("t", 10, 2, [1, 2, 3, 4])).write()
    for bad in (short, falling, long, b"<html/>", body[:200], body.replace(b'"r2"', b'"hd"')):
        with pytest.raises(ManifestError):
            cache.validate(bad, 0, 2)
