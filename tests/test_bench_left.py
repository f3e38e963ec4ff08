"""Clients that disconnect while their request waits: each way at each place of `bench.left` once."""

from __future__ import annotations

import pytest

from bench.left import PLACES, WAYS, one


@pytest.mark.parametrize("way", WAYS)
def test_no_request_of_a_disconnected_client_is_forwarded(way: str) -> None:
    for place in PLACES:
        if place.name != "behind a long burst" and not (way == "time" and place.unread):
            found = one(place, way, f"1 {place.name} {way} 0")
            assert (found.late, found.standing, found.fault) == (0, 0, ""), place.name
