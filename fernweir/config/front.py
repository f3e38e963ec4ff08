"""The settings of a front, and the controller's `Settings` derived from them.

Times are in milliseconds, rates in kB/s and sizes in bytes, regardless of the units in the file.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path
from typing import Annotated, Literal
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field

from fernweir.config.ini import IniFile, Section, SectionReader, SectionT, read_file
from fernweir.config.peers import PeersSection, check_peers
from fernweir.config.units import (
    Address,
    Count,
    Counts,
    Millis,
    Mode,
    Names,
    Number,
    Positive,
    PositiveMillis,
    RateKb,
    RatesKb,
    Ratio,
    Ratios,
    Size,
    YesNo,
)
from fernweir.interface import Idempotency, RetryBudget, SessionClass, Settings, SlowStart

_MS_PER_S = 1000.0


def _check_http_url(value: str) -> str:
    parts = urlsplit(value)
    try:
        port = parts.port
    except ValueError:
        port = 0
    if parts.scheme != "http" or not parts.hostname or port == 0 or parts.query or parts.fragment:
        raise ValueError("not an address of the form http://host:port/path")
    return value


HttpUrl = Annotated[str, AfterValidator(_check_http_url)]
Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]


class FrontSection(Section):
    """The front itself: its name, its addresses, its position among the fronts, and its timing."""

    name: Name
    listen: Address
    public_url: HttpUrl | None = None
    ordinal: Count = 0
    fronts: Positive = 1
    seed: Count = 0
    batch: Millis = 0.0
    margin: Millis = 40.0
    linger: Millis = 2_000.0
    stop_within: PositiveMillis = 10_000.0
    record: str | None = None


class ListSection(Section):
    """The endpoint list: its URL, the file that caches it, and the longest silence of its stream."""

    url: HttpUrl
    cache: str | None = None
    silence: PositiveMillis = 15_000.0


class TokensSection(Section):
    """Keys and claims of the tokens of viewers and of the tokens that the front issues for servers."""

    keys: str
    sign_with: str | None = None
    issuer: str | None = None
    audience: str = "fernweir-front"
    box_audience: str = "fernweir-box"
    skew: Millis = 5_000.0
    box_life: PositiveMillis = 14_400_000.0
    longest: Positive = 4_096
    key_set: HttpUrl | None = None
    key_set_every: PositiveMillis = 60_000.0
    retired_for: Millis = 3_600_000.0


class FleetSection(Section):
    """The servers: numbers of zones and racks, streams by type of server, rates of links and uplinks."""

    cells: Positive
    racks: Positive
    streams: Counts
    link: RateKb
    uplink: RateKb | None = None


class LadderSection(Section):
    """The bitrate ladder: rate and utility of each rung, lowest first, and the cost of changing the rung."""

    rates: RatesKb
    worths: Ratios
    switch_cost: Millis = 500.0


class ReportsSection(Section):
    """Load reports: their fields, interval and delay, and whether the front may send health checks."""

    fields: Names = Field(default_factory=list)
    tell: Millis = 0.0
    seen_after: Millis = 500.0
    probes: YesNo = True


class RulesSection(Section):
    """Limits of attempts and retries, the retry budget, and the slow start of servers."""

    attempts: Positive | None = None
    retry_after_max: Millis | None = None
    answer_slack: Millis = 0.0
    drain_grace: Millis | None = None
    budget_span: PositiveMillis | None = None
    budget_free: Number = 0.0
    budget_share: Ratio = 0.0
    cold_warm_up: PositiveMillis | None = None
    cold_from: Ratio = 0.5
    cold_multiple: Number = 3.0
    cold_span: PositiveMillis = 2_000.0


class ClassSection(Section):
    """A class of sessions: its latency objective, deadline, priority weight and rungs."""

    aim: PositiveMillis
    deadline: PositiveMillis
    gain: Number = 1.0
    effect: Literal["repeatable", "by_key", "once"] = "repeatable"
    scale: Annotated[Number, Field(gt=0)] = 1.0
    lowest_rung: Count = 0
    top_rung: Count | None = None
    seats: Count = 0
    when_silent: Literal["play", "refuse"] = "refuse"


class HttpSection(Section):
    """Limits and timeouts of viewers' HTTP connections."""

    line: Size = 8_192
    head: Size = 16_384
    fields: Positive = 100
    body: Size = 65_536
    connections: Positive = 20_000
    pipeline: Positive = 32
    head_time: PositiveMillis = 10_000.0
    body_time: PositiveMillis = 10_000.0
    idle_time: PositiveMillis = 75_000.0
    stalled_time: PositiveMillis = 10_000.0
    waiting: Positive = 10_000


class ServersSection(Section):
    """Limits and timeouts of connections to servers."""

    connections: Positive = 64
    connect_time: PositiveMillis = 250.0
    idle_time: PositiveMillis = 15_000.0
    probe_time: PositiveMillis = 250.0
    call_time: PositiveMillis = 1_000.0
    manifest: Size = 1_048_576


class EntitlementSection(Section):
    """The entitlement server that leases seats; without this section a valid token is sufficient."""

    url: HttpUrl
    ledger: str
    call_time: PositiveMillis = 1_000.0
    longest_lease: PositiveMillis = 600_000.0
    reclaim: PositiveMillis = 10_000.0
    sync: Millis = 4.0
    at_once: Positive = 64
    use_every: PositiveMillis = 60_000.0


class IntrospectionSection(Section):
    """The server for token introspection (RFC 7662); without this section a valid signature is sufficient.

    If `tokens` is `all`, signed tokens are introspected too; if it is `opaque`, only tokens without claims.
    `believe` is the TTL of positive results in the cache and `disbelieve` that of negative results.
    """

    url: HttpUrl
    tokens: Literal["opaque", "all"] = "opaque"
    believe: Millis = 10_000.0
    disbelieve: Millis = 2_000.0
    stale: Millis = 60_000.0
    call_time: PositiveMillis = 500.0
    at_once: Positive = 64


class ControlSection(Section):
    """The control socket, operators' orders and the journal; without this section the front has none of them.

    `operators` lists who may give orders; if it is empty, everybody may. `mode` sets the permissions of the
    socket. A front with `led` follows the orders of a unit; `orders` is the file of the unit in this case.
    """

    socket: str
    mode: Mode = 0o600
    operators: Names = Field(default_factory=list)
    orders: str = "orders.json"
    led: YesNo = False
    journal: str | None = None
    journal_memory: Size = 67_108_864
    journal_disk: Size = 268_435_456
    drain_pace: Millis = 2_000.0
    drains_at_once: Positive = 2


class LogSection(Section):
    """The format and the level of the log."""

    format: Literal["json", "text"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, slots=True)
class FrontConfig:
    """All settings of a front; relative paths are resolved against the folder of the settings file."""

    folder: Path
    front: FrontSection
    list: ListSection
    tokens: TokensSection
    http: HttpSection
    servers: ServersSection
    log: LogSection
    entitlement: EntitlementSection | None
    introspection: IntrospectionSection | None
    control: ControlSection | None
    peers: PeersSection | None
    plays_unanswered: frozenset[str]
    class_names: dict[str, int]
    settings: Settings
    sections: dict[str, dict[str, str]]  # the unparsed values of the file

    def path(self, name: str) -> Path:
        """Returns the path of a file that is named in the settings."""
        return self.folder / name


@dataclass(frozen=True, slots=True)
class _Sections:
    """The sections of a file; a section that is missing or has problems is None."""

    front: FrontSection | None
    endpoint_list: ListSection | None
    tokens: TokensSection | None
    fleet: FleetSection | None
    ladder: LadderSection | None
    reports: ReportsSection | None
    rules: RulesSection | None
    http: HttpSection | None
    servers: ServersSection | None
    log: LogSection | None
    entitlement: EntitlementSection | None
    introspection: IntrospectionSection | None
    control: ControlSection | None
    peers: PeersSection | None
    classes: dict[str, ClassSection]


def load_front(path: Path) -> FrontConfig:
    """Reads and checks the settings file of a front.

    Raises:
        ConfigError: The file cannot be read, or has problems.
    """
    return parse_front(read_file(path), path.parent)


def parse_front(file: IniFile, folder: Path) -> FrontConfig:
    """Checks the settings of a front.

    Args:
        file: The settings.
        folder: The folder against which relative paths are resolved.

    Raises:
        ConfigError: The settings have problems.
    """
    reader = SectionReader(file)
    sections = _read_sections(reader)
    _check_sections(reader, sections, folder)
    reader.raise_problems()
    return FrontConfig(
        folder=folder,
        front=_present(sections.front),
        list=_present(sections.endpoint_list),
        tokens=_present(sections.tokens),
        http=_present(sections.http),
        servers=_present(sections.servers),
        log=_present(sections.log),
        entitlement=sections.entitlement,
        introspection=sections.introspection,
        control=sections.control,
        peers=sections.peers,
        plays_unanswered=frozenset(
            name for name, section in sections.classes.items() if section.when_silent == "play"
        ),
        class_names={name: index for index, name in enumerate(sections.classes)},
        settings=_controller_settings(sections),
        sections=file.sections,
    )


def _read_sections(reader: SectionReader) -> _Sections:
    return _Sections(
        front=reader.read_section("front", FrontSection),
        endpoint_list=reader.read_section("list", ListSection),
        tokens=reader.read_section("tokens", TokensSection),
        fleet=reader.read_section("fleet", FleetSection),
        ladder=reader.read_section("ladder", LadderSection),
        reports=reader.read_section("reports", ReportsSection, required=False),
        rules=reader.read_section("rules", RulesSection, required=False),
        http=reader.read_section("http", HttpSection, required=False),
        servers=reader.read_section("boxes", ServersSection, required=False),
        log=reader.read_section("log", LogSection, required=False),
        entitlement=_read_optional(reader, "entitlement", EntitlementSection),
        introspection=_read_optional(reader, "introspection", IntrospectionSection),
        control=_read_optional(reader, "control", ControlSection),
        peers=_read_optional(reader, "peers", PeersSection),
        classes=reader.read_sections("class", ClassSection),
    )


def _read_optional(reader: SectionReader, name: str, schema: type[SectionT]) -> SectionT | None:
    return reader.read_section(name, schema) if name in reader.file.sections else None


def _present(section: SectionT | None) -> SectionT:
    """Returns a section that is always present in a file without problems."""
    assert section is not None
    return section


def _check_sections(reader: SectionReader, sections: _Sections, folder: Path) -> None:
    """Adds the problems that concern more than one value, in one or several sections."""
    if sections.peers is not None:
        check_peers(reader, sections.peers, folder)
    if not any(name.startswith("class.") for name in reader.file.sections):
        reader.add_problem("class.NAME", "", "at least one class is needed")
    if sections.front is not None:
        _check_front(reader, sections.front)
    if sections.ladder is not None:
        _check_ladder(reader, sections.ladder, sections.classes)
    fleet = sections.fleet
    if fleet is not None and fleet.racks > fleet.cells:
        reader.add_problem("fleet", "racks", f"more racks than the {fleet.cells} cells")
    if sections.reports is not None:
        _check_reports(reader, sections.reports)


def _check_front(reader: SectionReader, front: FrontSection) -> None:
    if front.ordinal >= front.fronts:
        reader.add_problem("front", "ordinal", f"counts from 0, and there are {front.fronts} fronts")
    if front.listen[1] == 0 and front.public_url is not None:
        reader.add_problem("front", "public-url", "needs a fixed port in listen")


def _check_ladder(reader: SectionReader, ladder: LadderSection, classes: dict[str, ClassSection]) -> None:
    rungs = len(ladder.rates)
    if len(ladder.worths) != rungs:
        reader.add_problem("ladder", "worths", f"{len(ladder.worths)} worths for {rungs} rates")
    for key, values in (("rates", ladder.rates), ("worths", ladder.worths)):
        if any(later <= earlier for earlier, later in pairwise(values)):
            reader.add_problem("ladder", key, "must rise from the lowest rung to the highest")
    for name, section in classes.items():
        top = section.top_rung if section.top_rung is not None else rungs - 1
        if top >= rungs:
            reader.add_problem(f"class.{name}", "top-rung", f"counts from 0, and there are {rungs} rungs")
        if section.lowest_rung > top:
            reader.add_problem(f"class.{name}", "lowest-rung", f"is above the highest rung, {top}")
        if section.aim > section.deadline:
            reader.add_problem(f"class.{name}", "aim", "is later than the deadline")


def _check_reports(reader: SectionReader, reports: ReportsSection) -> None:
    known_fields = ("active", "waiting", "cpu", "avg_ms", "rps", "err_rps", "x0", "x1")
    for field in reports.fields:
        if field not in known_fields:
            reader.add_problem(
                "reports", "fields", f"unknown field {field}; known are {', '.join(known_fields)}"
            )


def _controller_settings(sections: _Sections) -> Settings:
    front, fleet = _present(sections.front), _present(sections.fleet)
    ladder, reports, rules = _present(sections.ladder), _present(sections.reports), _present(sections.rules)
    top_rung = len(ladder.rates) - 1
    return Settings(
        classes=tuple(_session_class(name, section, top_rung) for name, section in sections.classes.items()),
        front_count=front.fronts,
        front_index=front.ordinal,
        batch_period_ms=front.batch,
        zone_count=fleet.cells,
        rack_count=fleet.racks,
        rung_rates_kbyte_s=tuple(ladder.rates),
        rung_utilities=tuple(ladder.worths),
        streams_by_server_type=tuple(fleet.streams),
        link_rate_per_weight_kbyte_s=fleet.link,
        uplink_rate_kbyte_s=fleet.uplink,
        switch_cost_s=ladder.switch_cost / _MS_PER_S,
        report_delay_ms=reports.seen_after,
        report_interval_ms=reports.tell,
        report_fields=tuple(reports.fields),
        must_subscribe=False,
        may_check_health=reports.probes,
        max_attempts=rules.attempts,
        max_retry_after_ms=rules.retry_after_max,
        reply_slack_ms=rules.answer_slack,
        drain_grace_ms=rules.drain_grace,
        slow_start=_slow_start(rules),
        retry_budget=_retry_budget(rules),
    )


def _session_class(name: str, section: ClassSection, top_rung: int) -> SessionClass:
    return SessionClass(
        name=name,
        latency_objective_ms=section.aim,
        deadline_ms=section.deadline,
        priority_weight=section.gain,
        idempotency=Idempotency(section.effect),
        rate_multiplier=section.scale,
        lowest_rung=section.lowest_rung,
        top_rung=section.top_rung if section.top_rung is not None else top_rung,
        seats=section.seats,
    )


def _retry_budget(rules: RulesSection) -> RetryBudget | None:
    if rules.budget_span is None:
        return None
    return RetryBudget(rules.budget_span, rules.budget_free, rules.budget_share)


def _slow_start(rules: RulesSection) -> SlowStart | None:
    if rules.cold_warm_up is None:
        return None
    return SlowStart(rules.cold_warm_up, rules.cold_from, rules.cold_multiple, rules.cold_span)
