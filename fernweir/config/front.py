"""The settings of a front, and the module's `Settings` made of them."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path
from typing import Annotated, Literal
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field

from fernweir.config.ini import IniFile, Section, SectionReader, read_file
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


def _http_url(value: str) -> str:
    parts = urlsplit(value)
    try:
        port = parts.port
    except ValueError:
        port = 0
    if parts.scheme != "http" or not parts.hostname or port == 0 or parts.query or parts.fragment:
        raise ValueError("not an address of the form http://host:port/path")
    return value


HttpUrl = Annotated[str, AfterValidator(_http_url)]
Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]


class FrontSection(Section):
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
    url: HttpUrl
    cache: str | None = None
    silence: PositiveMillis = 15_000.0


class TokensSection(Section):
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
    cells: Positive
    racks: Positive
    streams: Counts
    link: RateKb
    uplink: RateKb | None = None


class LadderSection(Section):
    rates: RatesKb
    worths: Ratios
    switch_cost: Millis = 500.0


class ReportsSection(Section):
    fields: Names = Field(default_factory=list)
    tell: Millis = 0.0
    seen_after: Millis = 500.0
    probes: YesNo = True


class RulesSection(Section):
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


class BoxesSection(Section):
    connections: Positive = 64
    connect_time: PositiveMillis = 250.0
    idle_time: PositiveMillis = 15_000.0
    probe_time: PositiveMillis = 250.0
    call_time: PositiveMillis = 1_000.0
    manifest: Size = 1_048_576


class EntitlementSection(Section):
    """Where seats are leased; left out, every good token may play."""

    url: HttpUrl
    ledger: str
    call_time: PositiveMillis = 1_000.0
    longest_lease: PositiveMillis = 600_000.0
    reclaim: PositiveMillis = 10_000.0
    sync: Millis = 4.0
    at_once: Positive = 64
    use_every: PositiveMillis = 60_000.0


class IntrospectionSection(Section):
    """Where tokens are asked about (RFC 7662); left out, a good signature is all that is looked at.

    `tokens` of `all` asks about signed tokens too; `opaque` only about those that carry no claims.
    """

    url: HttpUrl
    tokens: Literal["opaque", "all"] = "opaque"
    believe: Millis = 10_000.0
    disbelieve: Millis = 2_000.0
    stale: Millis = 60_000.0
    call_time: PositiveMillis = 500.0
    at_once: Positive = 64


class ControlSection(Section):
    """The operators' socket, their orders, and the journal; left out, there is none of it.

    `operators` may act, all if none is named; who may look at all is up to `mode`. A `led` front takes its
    orders from a unit, and `orders` is the unit's file then.
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
    format: Literal["json", "text"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, slots=True)
class FrontConfig:
    """All settings of one front; relative paths are resolved against the file's folder."""

    folder: Path
    front: FrontSection
    list: ListSection
    tokens: TokensSection
    http: HttpSection
    boxes: BoxesSection
    log: LogSection
    entitlement: EntitlementSection | None
    introspection: IntrospectionSection | None
    control: ControlSection | None
    peers: PeersSection | None
    plays_unanswered: frozenset[str]
    class_names: dict[str, int]
    settings: Settings
    sections: dict[str, dict[str, str]]  # as they stand in the file

    def path(self, name: str) -> Path:
        return self.folder / name


def load_front(path: Path) -> FrontConfig:
    """Reads and checks a file. ConfigError names every mistake in it."""
    return parse_front(read_file(path), path.parent)


def parse_front(file: IniFile, folder: Path) -> FrontConfig:
    reader = SectionReader(file)
    front = reader.read_section("front", FrontSection)
    box_list = reader.read_section("list", ListSection)
    tokens = reader.read_section("tokens", TokensSection)
    fleet = reader.read_section("fleet", FleetSection)
    ladder = reader.read_section("ladder", LadderSection)
    reports = reader.read_section("reports", ReportsSection, required=False)
    rules = reader.read_section("rules", RulesSection, required=False)
    http = reader.read_section("http", HttpSection, required=False)
    boxes = reader.read_section("boxes", BoxesSection, required=False)
    log = reader.read_section("log", LogSection, required=False)
    entitlement = None
    if "entitlement" in file.sections:
        entitlement = reader.read_section("entitlement", EntitlementSection)
    introspection = None
    if "introspection" in file.sections:
        introspection = reader.read_section("introspection", IntrospectionSection)
    control = None
    if "control" in file.sections:
        control = reader.read_section("control", ControlSection)
    peers = None
    if "peers" in file.sections:
        peers = reader.read_section("peers", PeersSection)
        if peers is not None:
            check_peers(reader, peers, folder)
    classes = reader.read_sections("class", ClassSection)
    if not any(name.startswith("class.") for name in file.sections):
        reader.add_problem("class.NAME", "", "at least one class is needed")
    if front is not None and front.ordinal >= front.fronts:
        reader.add_problem("front", "ordinal", f"counts from 0, and there are {front.fronts} fronts")
    if front is not None and front.listen[1] == 0 and front.public_url is not None:
        reader.add_problem("front", "public-url", "needs a fixed port in listen")
    if ladder is not None:
        _check_ladder(reader, ladder, classes)
    if fleet is not None and fleet.racks > fleet.cells:
        reader.add_problem("fleet", "racks", f"more racks than the {fleet.cells} cells")
    if reports is not None:
        _check_reports(reader, reports)
    reader.raise_problems()
    assert front and box_list and tokens and fleet and ladder and reports and rules and http and boxes and log
    settings = _settings(front, fleet, ladder, reports, rules, classes)
    numbers = {name: index for index, name in enumerate(classes)}
    plays = frozenset(name for name, one in classes.items() if one.when_silent == "play")
    return FrontConfig(
        folder=folder,
        front=front,
        list=box_list,
        tokens=tokens,
        http=http,
        boxes=boxes,
        log=log,
        entitlement=entitlement,
        introspection=introspection,
        control=control,
        peers=peers,
        plays_unanswered=plays,
        class_names=numbers,
        settings=settings,
        sections=file.sections,
    )


def _check_ladder(reader: SectionReader, ladder: LadderSection, classes: dict[str, ClassSection]) -> None:
    rungs = len(ladder.rates)
    if len(ladder.worths) != rungs:
        reader.add_problem("ladder", "worths", f"{len(ladder.worths)} worths for {rungs} rates")
    for key, values in (("rates", ladder.rates), ("worths", ladder.worths)):
        if any(later <= earlier for earlier, later in pairwise(values)):
            reader.add_problem("ladder", key, "must rise from the lowest rung to the highest")
    for name, one in classes.items():
        top = one.top_rung if one.top_rung is not None else rungs - 1
        if top >= rungs:
            reader.add_problem(f"class.{name}", "top-rung", f"counts from 0, and there are {rungs} rungs")
        if one.lowest_rung > top:
            reader.add_problem(f"class.{name}", "lowest-rung", f"is above the highest rung, {top}")
        if one.aim > one.deadline:
            reader.add_problem(f"class.{name}", "aim", "is later than the deadline")


def _check_reports(reader: SectionReader, reports: ReportsSection) -> None:
    known = ("active", "waiting", "cpu", "avg_ms", "rps", "err_rps", "x0", "x1")
    for field in reports.fields:
        if field not in known:
            reader.add_problem("reports", "fields", f"unknown field {field}; known are {', '.join(known)}")


def _settings(
    front: FrontSection,
    fleet: FleetSection,
    ladder: LadderSection,
    reports: ReportsSection,
    rules: RulesSection,
    classes: dict[str, ClassSection],
) -> Settings:
    budget = cold = None
    if rules.budget_span is not None:
        budget = RetryBudget(rules.budget_span, rules.budget_free, rules.budget_share)
    if rules.cold_warm_up is not None:
        cold = SlowStart(rules.cold_warm_up, rules.cold_from, rules.cold_multiple, rules.cold_span)
    return Settings(
        classes=tuple(
            SessionClass(
                name=name,
                latency_objective_ms=one.aim,
                deadline_ms=one.deadline,
                priority_weight=one.gain,
                idempotency=Idempotency(one.effect),
                rate_multiplier=one.scale,
                lowest_rung=one.lowest_rung,
                top_rung=one.top_rung if one.top_rung is not None else len(ladder.rates) - 1,
                seats=one.seats,
            )
            for name, one in classes.items()
        ),
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
        switch_cost_s=ladder.switch_cost / 1000.0,
        report_delay_ms=reports.seen_after,
        report_interval_ms=reports.tell,
        report_fields=tuple(reports.fields),
        must_subscribe=False,
        may_check_health=reports.probes,
        max_attempts=rules.attempts,
        max_retry_after_ms=rules.retry_after_max,
        reply_slack_ms=rules.answer_slack,
        drain_grace_ms=rules.drain_grace,
        slow_start=cold,
        retry_budget=budget,
    )
