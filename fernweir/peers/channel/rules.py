"""Timeouts and bounds of the channel state machines. Sizes are in bytes of the encoded form."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicaRules:
    """Rules of the replication of channels.

    Changes are batched for `flush_ms`. An owner without changes sends a heartbeat every `heartbeat_ms`. A
    replica expires `keep_ms` after the last message of its owner. At most `window` messages to a standby are
    unacknowledged at a time.
    """

    flush_ms: float = 50.0
    heartbeat_ms: float = 1_000.0
    resend_ms: float = 300.0
    refused_retry_ms: float = 5_000.0  # delay before a standby that refused is asked again
    keep_ms: float = 120_000.0
    max_snapshot_age_ms: float = 10_000.0  # older snapshots are not resumed but replaced by a new one
    message_bytes: int = 32_768
    backlog_bytes: int = 262_144  # of deltas, per channel
    window: int = 8
    max_standbys: int = 8
    drift: float = 0.01
    max_replicas: int = 512
    max_sessions: int = 8_192  # per replica
    max_bytes: int = 16_777_216  # of all replicas
    max_payload_bytes: int = 1_048_576
    max_payloads_bytes: int = 16_777_216  # of all payloads stored for replicas
    serve_ms: float = 10_000.0  # how long a payload stays cached for requests of other standbys


@dataclass(frozen=True, slots=True)
class TakeoverRules:
    """Rules of a takeover.

    The takeover does not wait longer than `answer_timeout_ms` for a server; the sessions of a server without
    an answer are in doubt. The claim is repeated every `retry_ms`, and after `doubt_ms` every
    `slow_retry_ms`; a session that is in doubt for that long has ended. With `attempts_reported` the front
    calls `on_attempt_started` for every attempt that it starts; a later attempt in a server's list that is
    not its own is then released, otherwise it is left alone.
    """

    overlap_ms: float = 2_000.0  # how long servers accept a lower fence after a planned claim
    attempts_reported: bool = True
    answer_timeout_ms: float = 300.0
    retry_ms: float = 250.0
    doubt_ms: float = 10_000.0
    slow_retry_ms: float = 5_000.0
    server_timeout_ms: float = 120_000.0  # after this, a server that never answered is ignored
    relists_per_s: float = 50.0  # second claims after the hold, per channel


@dataclass(frozen=True, slots=True)
class HandoffRules:
    """Rules of a planned hand-off.

    The source finishes the attempts in flight for `overlap_ms` after its first `HandoffCommit`, by its own
    clock. The target waits for `overlap_ms * (1 + 2 * drift) + late_ms` after it receives that message. Its
    period starts later and lasts longer than that of the source even if the clocks drift apart, so the source
    has finished when it ends. A `HandoffCommit` with a delay of d ends the period of the target d later than
    necessary, but does not extend the time in which the source may steer.
    """

    overlap_ms: float = 2_000.0
    drift: float = 0.01
    late_ms: float = 2_000.0
    max_overlap_ms: float = 10_000.0  # upper bound for the overlap that a peer requests
    resend_ms: float = 100.0
    offer_timeout_ms: float = 400.0  # time for a target to accept
    transfer_timeout_ms: float = 3_000.0  # time for a target to receive all parts
    idle_timeout_ms: float = 4_000.0  # the target drops an accepted offer without messages
    lease_ms: float = 4_000.0  # time for the target to get the lease
    activation_timeout_ms: float = 1_000.0  # then the source requests the lease again
    reclaim_timeout_ms: float = 15_000.0  # then the channel is left to an unplanned takeover
    update_tail_ms: float = 4_000.0  # how long updates are resent after the overlap
    max_outgoing: int = 8  # outgoing hand-offs
    max_incoming: int = 16  # incoming hand-offs
    max_sessions: int = 8_192
    message_bytes: int = 32_768


@dataclass(frozen=True, slots=True)
class SuccessorRules:
    """Rules of the selection of successors.

    The load of a successor is limited to `1 + slack` times the mean. The limit of a front that is younger
    than `ramp_ms` is reduced in proportion to its age.
    """

    slack: float = 0.25
    ramp_ms: float = 30_000.0
    floor: float = 0.1  # least share of the limit, at the start of a front
    stagger_ms: float = 400.0  # between the attempts of consecutive successors


@dataclass(frozen=True, slots=True)
class PacingRules:
    """Rates at which channels are taken over. All takeovers start within `deadline_ms`, at any rate."""

    deadline_ms: float = 500.0
    sessions_per_s: float = 2_000.0  # per successor
    claims_per_s: float = 20.0  # per server, from all successors together
    doubtful_per_s: float = 200.0  # sessions that may need another attempt


@dataclass(frozen=True, slots=True)
class DirectoryRules:
    """Rules of the session directory and its registrars."""

    registrars: int = 2
    flush_ms: float = 50.0
    refresh_ms: float = 20_000.0
    keep_ms: float = 60_000.0  # entries expire without a refresh
    orphan_ttl_ms: float = 12_000.0  # for channel entries whose owner is gone
    find_timeout_ms: float = 60.0
    retry_ms: float = 25.0  # a registrar without an answer is asked a second time
    max_own_sessions: int = 65_536
    max_entries: int = 131_072
    max_lookups: int = 4_096
    message_entries: int = 400
