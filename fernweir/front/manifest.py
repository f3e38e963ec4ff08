"""From a box's manifest to a viewer's: judged once, rendered once a rung, filled in a session.

Free of I/O. Most sessions of a title get the same document but for two strings, so what is parsed and
written is kept by its bytes, and a session costs two replacements.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b
from typing import TypeVar

from fernweir.dash.build import rung_id, rung_of
from fernweir.dash.mpd import MpdError, read_mpd
from fernweir.dash.urlparam import put_query
from fernweir.dash.xml import escape_attr

_QUERY, _LOCATION = "fernweir-query-goes-here", "http://fernweir-location-goes-here/"


K = TypeVar("K")
V = TypeVar("V")


class ManifestError(ValueError):
    """A box's manifest can't be served; the text says why."""


@dataclass(frozen=True, slots=True)
class Manifest:
    """A judged manifest: its bytes and the rungs that it lists."""

    body: bytes
    digest: bytes
    rungs: frozenset[int]


class ManifestCache:
    """`ladder` is the number of rungs there are."""

    def __init__(self, ladder: int, size: int = 4_096) -> None:
        self._ladder, self._size = ladder, size
        self._judged: OrderedDict[bytes, Manifest] = OrderedDict()
        self._rendered: OrderedDict[tuple[object, ...], bytes] = OrderedDict()

    def validate(self, body: bytes, lowest: int, highest: int) -> Manifest:
        """Takes a manifest that lists the rungs from lowest to highest, and none that we don't know."""
        digest = blake2b(body, digest_size=16).digest()
        manifest = self._judged.get(digest)
        if manifest is None:
            manifest = self._keep(self._judged, digest, Manifest(body, digest, self._rungs(body)))
        missing = set(range(lowest, highest + 1)) - manifest.rungs
        if missing:
            raise ManifestError(f"rungs {sorted(missing)} are not listed")
        return manifest

    def render(
        self, manifest: Manifest, lowest: int, highest: int, base: str, place: str, location: str, query: str
    ) -> bytes:
        """The viewer's document: rungs from lowest to highest, at one box, with the token for segments."""
        key = (manifest.digest, lowest, highest, base, place)
        text = self._rendered.get(key)
        if text is None:
            text = self._keep(self._rendered, key, self._render(manifest, lowest, highest, base, place))
        text = text.replace(_LOCATION.encode(), escape_attr(location).encode())
        return text.replace(_QUERY.encode(), escape_attr(query).encode())

    def _rungs(self, body: bytes) -> frozenset[int]:
        try:
            mpd = read_mpd(body)
            found: set[int] = set()
            for period in mpd.periods:
                for group in period.sets:
                    reps = [(rung_of(rep.id), rep.bandwidth) for rep in group.representations]
                    rates = [rate for _, rate in sorted(reps)]
                    if len({rung for rung, _ in reps}) != len(reps) or rates != sorted(rates):
                        raise ManifestError("rungs repeat, or their rates don't rise")
                    found |= {rung for rung, _ in reps}
        except (MpdError, ValueError) as error:
            raise ManifestError(str(error)) from None
        if not found or max(found) >= self._ladder:
            raise ManifestError(f"lists rungs {sorted(found)} of a ladder of {self._ladder}")
        return frozenset(found)

    def _render(self, manifest: Manifest, lowest: int, highest: int, base: str, place: str) -> bytes:
        mpd = read_mpd(manifest.body)
        for period in mpd.periods:
            for group in period.sets:
                group.keep({rung_id(rung) for rung in range(lowest, highest + 1)})
        mpd.put_first("BaseURL", base, serviceLocation=place)
        mpd.put_first("Location", _LOCATION)
        put_query(mpd, _QUERY)
        return mpd.write()

    def _keep(self, cache: OrderedDict[K, V], key: K, value: V) -> V:
        cache[key] = value
        if len(cache) > self._size:
            cache.popitem(last=False)
        return value
