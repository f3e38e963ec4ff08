"""Rules of the channels' machines. Times in ms, sizes in bytes of the encoded form."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicaRules:
    """`flush_ms` is how long changes are gathered; `beat_ms` how often an owner says that nothing changed.

    A copy dies `keep_ms` after its owner's last word. `window` messages are out to a standby at a time.
    """

    flush_ms: float = 50.0
    beat_ms: float = 1_000.0
    resend_ms: float = 300.0
    refused_retry_ms: float = 5_000.0  # when a standby that refused is asked again
    keep_ms: float = 120_000.0
    max_snapshot_age_ms: float = 10_000.0  # a snapshot is resumed within this, then cut anew
    message_bytes: int = 32_768
    backlog_bytes: int = 262_144  # of deltas, for each channel
    window: int = 8
    max_standbys: int = 8
    drift: float = 0.01
    copies_most: int = 512
    sessions_most: int = 8_192  # of a copy
    bytes_most: int = 16_777_216  # of all copies
    payload_most: int = 1_048_576
    payloads_bytes: int = 16_777_216  # of all payloads kept for others
    serve_ms: float = 10_000.0  # a payload is kept at hand for other standbys that ask


@dataclass(frozen=True, slots=True)
class TakeoverRules:
    """A box that does not answer within `first_ms` is not waited for: its sessions are doubtful.

    It is asked again every `again_ms`, and after `doubt_ms` every `slow_ms`; what is in doubt that long is
    over. With `attempts_told` the front tells `attempted` of all it sets up: a later attempt that a list
    names and that is not its own is then released, else it is left.
    """

    overlap_ms: float = 2_000.0  # that boxes accept a lower fence after a planned claim
    attempts_reported: bool = True
    answer_timeout_ms: float = 300.0
    retry_ms: float = 250.0
    doubt_ms: float = 10_000.0
    slow_retry_ms: float = 5_000.0
    server_timeout_ms: float = 120_000.0  # a box that never answers is left alone after this
    relists_per_s: float = 50.0  # boxes that are asked once more, of a channel


@dataclass(frozen=True, slots=True)
class HandoffRules:
    """Who hands on finishes what is out for `overlap_ms` from when it first said `Yours`, by its own clock.

    The heir counts from when it heard that, for `overlap_ms * (1 + 2 * drift) + late_ms`: its span begins
    after the old owner's and runs longer even if the clocks drift apart, so what it holds to be finished
    is. A `Yours` late by d makes its span end d later than it must, and lengthens nobody's steering.
    """

    overlap_ms: float = 2_000.0
    drift: float = 0.01
    late_ms: float = 2_000.0
    max_overlap_ms: float = 10_000.0  # no peer may ask for more
    resend_ms: float = 100.0
    offer_timeout_ms: float = 400.0  # an heir that has not accepted by then is passed over
    transfer_timeout_ms: float = 3_000.0  # an heir that has not all parts by then is passed over
    idle_timeout_ms: float = 4_000.0  # an heir that accepted and hears nothing forgets it
    lease_ms: float = 4_000.0  # an heir that got no lease by then leaves it
    activation_timeout_ms: float = (
        1_000.0  # an heir that does not act by then is doubted: the lease is asked for again
    )
    reclaim_timeout_ms: float = 15_000.0  # without the lease back by then, the unplanned way
    update_tail_ms: float = 4_000.0  # late changes are repeated so long after the overlap
    at_once: int = 8  # channels on their way from here
    takes_most: int = 16  # channels on their way to here
    sessions_most: int = 8_192
    message_bytes: int = 32_768


@dataclass(frozen=True, slots=True)
class SuccessorRules:
    """No heir gets more than `1 + slack` times the mean; one younger than `ramp_ms` its share of that."""

    slack: float = 0.25
    ramp_ms: float = 30_000.0
    floor: float = 0.1  # of the bound, that the youngest front may have
    stagger_ms: float = 400.0  # between the tries of one heir and the next


@dataclass(frozen=True, slots=True)
class PacingRules:
    """Channels are taken over within `within_ms`, however many; slower only as far as that allows."""

    deadline_ms: float = 500.0
    sessions_per_s: float = 2_000.0  # an heir takes over
    claims_per_s: float = 20.0  # a box hears from all heirs together
    doubtful_per_s: float = 200.0  # sessions that may have to be set up again: the ration of attempts


@dataclass(frozen=True, slots=True)
class DirectoryRules:
    registrars: int = 2
    flush_ms: float = 50.0
    refresh_ms: float = 20_000.0
    keep_ms: float = 60_000.0  # an entry that nobody refreshed is gone
    orphan_ttl_ms: float = 12_000.0  # what stood in a channel whose owner is gone waits so long for its heir
    find_timeout_ms: float = 60.0
    retry_ms: float = 25.0  # a registrar that said nothing is asked once more
    own_most: int = 65_536
    entries_most: int = 131_072
    finds_most: int = 4_096
    message_entries: int = 400
