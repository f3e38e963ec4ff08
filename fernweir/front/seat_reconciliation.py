"""Polls the entitlement server for usage reports, and reconciles the seats of this front with them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Annotated
from urllib.parse import quote, urlsplit

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from fernweir.front.entitlement_gate import EntitlementGate
from fernweir.http.client import Outcome, Pool, Reply
from fernweir.seats.reconciliation import ListedLease, Reconciler, ReconciliationResult, UsageReport

_MAX_PAGES = 1_000


class UseLease(BaseModel):
    """One lease of this front, as the server lists it."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")

    lease: Annotated[str, Field(min_length=1, max_length=200)]
    key: Annotated[str, Field(min_length=1, max_length=400)]
    session: Annotated[str, Field(min_length=1, max_length=200)]
    fence: Annotated[int, Field(ge=0)]


class UsePlace(BaseModel):
    """How many seats of a class of a title and tenant are used."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore", populate_by_name=True)

    tenant: str
    lesson: str
    cls: Annotated[str, Field(alias="class")]
    used: Annotated[int, Field(ge=0)]


class UsePage(BaseModel):
    """One page of a usage report; `next` is where the following page begins, and absent on the last one."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")

    fence: Annotated[int, Field(ge=0)]
    total: Annotated[int, Field(ge=0)]
    leases: list[UseLease]
    places: list[UsePlace] = Field(default_factory=list)
    next: str | None = None


class SeatReconciliation:
    """Polls the usage report and passes each one to the reconciler.

    Attributes:
        reconciler: Compares reports with the seats of this front.
        last_result: The result of the last report.
        report_count: How many reports were compared.
    """

    def __init__(
        self,
        gate: EntitlementGate,
        pool: Pool,
        url: str,
        name: str,
        token: Callable[[], str],
        *,
        every_s: float,
        call_s: float,
        seed: int,
    ) -> None:
        parts = urlsplit(url)
        self._origin = (parts.hostname or "", parts.port or 80)
        self._base = parts.path.rstrip("/")
        self._gate, self._pool, self._token = gate, pool, token
        self._prefix = f"{name}."
        self._interval_s, self._request_timeout_s = every_s, call_s
        self._rng = Random(f"use {seed}")
        self._pages: list[UsePage] = []
        self._timer: asyncio.TimerHandle | None = None
        self.reconciler = Reconciler(gate.seat_manager)
        self.last_result = ReconciliationResult()
        self.report_count = 0
        self._schedule_report()

    def stop(self) -> None:
        """Requests no further report."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_report(self) -> None:
        # The jitter keeps fronts that were started together from polling together for ever.
        delay_s = self._interval_s * self._rng.uniform(0.8, 1.2)
        self._timer = self._gate.dispatcher.loop.call_later(delay_s, self._request_report)

    def _request_report(self) -> None:
        self._pages = []
        self.reconciler.on_report_requested(self._gate.dispatcher.now())
        self._request_page("")

    def _request_page(self, after: str) -> None:
        if self._pool.closed:
            return
        target = f"{self._base}/use" + (f"?after={quote(after, safe='')}" if after else "")
        headers = [("authorization", f"Bearer {self._token()}"), ("accept", "application/json")]
        self._pool.request(
            self._origin, "GET", target, self._on_page, headers=headers, timeout_s=self._request_timeout_s
        )

    def _on_page(self, reply: Reply) -> None:
        dispatcher = self._gate.dispatcher
        if self._pool.closed:
            return
        page = None
        if reply.outcome is Outcome.ANSWERED and reply.status == 200:
            try:
                page = UsePage.model_validate_json(reply.body)
            except ValidationError as error:
                dispatcher.log.warning("usage report malformed", why=str(error.errors()[0]["msg"]))
        if page is None:
            self._schedule_report()  # a failed request is no evidence about leases
            return
        self._pages.append(page)
        if page.next and len(self._pages) < _MAX_PAGES:
            self._request_page(page.next)
            return
        self._reconcile()
        self._schedule_report()

    def _reconcile(self) -> None:
        dispatcher, first, last = self._gate.dispatcher, self._pages[0], self._pages[-1]
        result = self.reconciler.on_report(dispatcher.now(), self._make_report(first, last))
        self.last_result, self.report_count = result, self.report_count + 1
        if result.contradiction:
            dispatcher.log.warning("usage report contradicts itself", why=result.contradiction)
        if result.renewed_sessions or result.released_leases:
            dispatcher.log.info(
                "usage report differs",
                asked_again=len(result.renewed_sessions),
                given_back=len(result.released_leases),
            )
        self._gate.schedule_step()

    def _make_report(self, first: UsePage, last: UsePage) -> UsageReport:
        listed = []
        for page in self._pages:
            for lease in page.leases:
                session, _, generation = lease.key.removeprefix(self._prefix).rpartition(".")
                if lease.key.startswith(self._prefix) and session == lease.session and generation.isdecimal():
                    listed.append(ListedLease(lease.lease, lease.session, int(generation), lease.fence))
        row_count = sum(len(page.leases) for page in self._pages)
        # Leases are granted and released between pages: the total can contradict the rows only if neither the
        # fence nor the total changed from the first page to the last.
        total = first.total if first.fence == last.fence and first.total == last.total else row_count
        listed_total = len(listed) if total == row_count else total
        used = {(place.tenant, place.lesson, place.cls): place.used for place in last.places}
        return UsageReport(last.fence, listed_total, tuple(listed), used)
