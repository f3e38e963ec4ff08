"""Turns a server's manifest into the viewer's: validated once, rendered once per rung, completed per session.

Free of I/O. The documents for most sessions of a title differ in two strings only, so parsed and rendered
documents are cached by their content, and a further session costs two replacements.
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

_QUERY_PLACEHOLDER, _LOCATION_PLACEHOLDER = "fernweir-query-goes-here", "http://fernweir-location-goes-here/"


K = TypeVar("K")
V = TypeVar("V")


class ManifestError(ValueError):
    """Raised for a server's manifest that cannot be served to viewers."""


@dataclass(frozen=True, slots=True)
class Manifest:
    """A validated manifest: its bytes and the rungs that it lists."""

    body: bytes
    digest: bytes
    rungs: frozenset[int]


class ManifestCache:
    """Caches validated manifests and rendered documents.

    `rung_count` is the number of rungs of the ladder.
    """

    def __init__(self, rung_count: int, size: int = 4_096) -> None:
        self._rung_count, self._size = rung_count, size
        self._validated: OrderedDict[bytes, Manifest] = OrderedDict()
        self._rendered: OrderedDict[tuple[object, ...], bytes] = OrderedDict()

    def validate(self, body: bytes, lowest: int, highest: int) -> Manifest:
        """Parses a manifest that lists at least the rungs from lowest to highest.

        Raises ManifestError if a rung is missing, or is not on the ladder.
        """
        digest = blake2b(body, digest_size=16).digest()
        manifest = self._validated.get(digest)
        if manifest is None:
            manifest = self._store(self._validated, digest, Manifest(body, digest, self._read_rungs(body)))
        missing = set(range(lowest, highest + 1)) - manifest.rungs
        if missing:
            raise ManifestError(f"rungs {sorted(missing)} are not listed")
        return manifest

    def render(
        self,
        manifest: Manifest,
        lowest: int,
        highest: int,
        base_url: str,
        service_location: str,
        location: str,
        query: str,
    ) -> bytes:
        """Returns the viewer's document: rungs from lowest to highest, at one server.

        `query` is appended to segment requests and carries the token.
        """
        key = (manifest.digest, lowest, highest, base_url, service_location)
        document = self._rendered.get(key)
        if document is None:
            document = self._store(
                self._rendered, key, self._render(manifest, lowest, highest, base_url, service_location)
            )
        document = document.replace(_LOCATION_PLACEHOLDER.encode(), escape_attr(location).encode())
        return document.replace(_QUERY_PLACEHOLDER.encode(), escape_attr(query).encode())

    def _read_rungs(self, body: bytes) -> frozenset[int]:
        try:
            mpd = read_mpd(body)
            found: set[int] = set()
            for period in mpd.periods:
                for adaptation_set in period.adaptation_sets:
                    rungs = [
                        (rung_of(representation.id), representation.bandwidth)
                        for representation in adaptation_set.representations
                    ]
                    rates = [rate for _, rate in sorted(rungs)]
                    if len({rung for rung, _ in rungs}) != len(rungs) or rates != sorted(rates):
                        raise ManifestError("rungs repeat, or their rates don't rise")
                    found |= {rung for rung, _ in rungs}
        except (MpdError, ValueError) as error:
            raise ManifestError(str(error)) from None
        if not found or max(found) >= self._rung_count:
            raise ManifestError(f"lists rungs {sorted(found)} of a ladder of {self._rung_count}")
        return frozenset(found)

    def _render(
        self, manifest: Manifest, lowest: int, highest: int, base_url: str, service_location: str
    ) -> bytes:
        mpd = read_mpd(manifest.body)
        for period in mpd.periods:
            for adaptation_set in period.adaptation_sets:
                adaptation_set.keep_representations({rung_id(rung) for rung in range(lowest, highest + 1)})
        mpd.replace_child("BaseURL", base_url, serviceLocation=service_location)
        mpd.replace_child("Location", _LOCATION_PLACEHOLDER)
        put_query(mpd, _QUERY_PLACEHOLDER)
        return mpd.write()

    def _store(self, cache: OrderedDict[K, V], key: K, value: V) -> V:
        cache[key] = value
        if len(cache) > self._size:
            cache.popitem(last=False)
        return value
