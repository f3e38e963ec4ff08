"""The parts that tell servers at one address apart: the registry of addresses, the state of a connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from fernweir.front.address_registry import AddressRegistry
from fernweir.node.connection_liveness import ConnectionLiveness
from fernweir.node.liveness import LivenessStatus, LivenessTimeouts
from tests.helpers import SETTINGS

END_NOTICE_MS = 8_000.0  # PROTOCOL: an end that no release could tell must be announced within this time


def registry(*steps: Callable[[AddressRegistry], None]) -> AddressRegistry:
    made = AddressRegistry()
    for step in steps:
        step(made)
    return made


def listed(
    server: int, event: int, port: int = 1, is_new_process: bool = False
) -> Callable[[AddressRegistry], None]:
    return lambda made: made.announce(server, ("h", port), event, is_new_process=is_new_process)


def removed(server: int) -> Callable[[AddressRegistry], None]:
    return lambda made: made.remove(server)


@pytest.mark.parametrize(
    ("steps", "reassigned"),
    [
        ([listed(1, 1)], [2, 3]),
        ([listed(1, 1), listed(2, 1)], [3]),  # one event: nothing tells which is newer
        ([listed(1, 1), listed(2, 2)], [1, 3]),
        ([listed(1, 1), listed(2, 2), listed(1, 3)], [1, 3]),  # no new start, such as a drain
        ([listed(1, 1), listed(2, 2), listed(1, 3, is_new_process=True)], [2, 3]),
        ([listed(1, 1), listed(2, 2), removed(1)], [1, 3]),
        ([listed(1, 1), listed(2, 2), removed(2)], [2, 3]),
        ([listed(1, 1), listed(2, 2), listed(2, 3, port=2)], [2, 3]),
        ([listed(1, 1), removed(1), listed(2, 2), removed(2), listed(3, 3)], [1, 2]),
        ([listed(1, 1), listed(2, 2), lambda made: made.retain({1})], [2, 3]),
        ([listed(1, 1), listed(2, 2), lambda made: made.retain({2})], [1, 3]),
        ([listed(1, 1), removed(1)], []),
    ],
)
def test_an_address_leads_to_the_server_that_was_announced_last(steps: Any, reassigned: list[int]) -> None:
    made = registry(*steps)
    assert [server for server in (1, 2, 3) if made.is_reassigned(server, ("h", 1))] == reassigned


def test_a_registry_keeps_nothing_of_servers_that_are_gone() -> None:
    made = registry(listed(1, 1), listed(2, 2), listed(2, 3, port=2), removed(1), removed(2), removed(2))
    assert not made._addresses
    assert not made._announced_by
    assert not made._servers


def test_a_silent_connection_is_checked_twice_before_its_process_counts_as_lost() -> None:
    timeouts = LivenessTimeouts.from_settings(SETTINGS, 250.0)
    liveness = ConnectionLiveness(0.0)
    silent = timeouts.silence_ms

    def check(now: float) -> LivenessStatus:
        return liveness.check(now, liveness.last_received_at, timeouts)

    assert check(silent - 1) is LivenessStatus.HEALTHY
    assert check(silent) is LivenessStatus.CHECK
    assert check(silent + 249) is LivenessStatus.HEALTHY
    assert check(silent + 250) is LivenessStatus.CHECK
    assert check(silent + 499) is LivenessStatus.HEALTHY
    assert check(silent + 500) is LivenessStatus.UNREACHABLE
    liveness.on_data_received(silent + 501)
    assert check(silent + 502) is LivenessStatus.HEALTHY
    assert check(2 * silent + 501) is LivenessStatus.CHECK
    evidence_at = 2 * silent + 501
    assert liveness.check(2 * silent + 502, evidence_at, timeouts) is LivenessStatus.HEALTHY


@pytest.mark.parametrize("report_ms", [0.0, 250.0, 2_500.0, 13_000.0])
@pytest.mark.parametrize("connect_ms", [30.0, 250.0, 30_000.0])
def test_a_lost_process_is_detected_in_time_for_any_settings(report_ms: float, connect_ms: float) -> None:
    settings = replace(SETTINGS, report_interval_ms=report_ms)
    timeouts = LivenessTimeouts.from_settings(settings, connect_ms)
    assert 0.0 < timeouts.silence_ms < timeouts.detection_ms < END_NOTICE_MS
