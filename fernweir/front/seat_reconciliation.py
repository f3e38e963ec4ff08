"""Asks the entitlement server every so often what this front holds, and has it compared. A thin shell."""

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

_PAGES = 1_000


class UseLease(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")

    lease: Annotated[str, Field(min_length=1, max_length=200)]
    key: Annotated[str, Field(min_length=1, max_length=400)]
    session: Annotated[str, Field(min_length=1, max_length=200)]
    fence: Annotated[int, Field(ge=0)]


class UsePlace(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True, extra="ignore", populate_by_name=True)

    tenant: str
    lesson: str
    cls: Annotated[str, Field(alias="class")]
    used: Annotated[int, Field(ge=0)]


class UsePage(BaseModel):
    """`next` is where the following page begins; left out on the last one."""

    model_config = ConfigDict(strict=True, frozen=True, extra="ignore")

    fence: Annotated[int, Field(ge=0)]
    total: Annotated[int, Field(ge=0)]
    leases: list[UseLease]
    places: list[UsePlace] = Field(default_factory=list)
    next: str | None = None


class SeatReconciliation:
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
        self._every_s, self._call_s = every_s, call_s
        self._dice = Random(f"use {seed}")
        self._pages: list[UsePage] = []
        self._timer: asyncio.TimerHandle | None = None
        self.reconciler = Reconciler(gate.seat_manager)
        self.last = ReconciliationResult()
        self.judged = 0
        self._plan()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _plan(self) -> None:
        # Fronts that were started together must not ask together for ever.
        after = self._every_s * self._dice.uniform(0.8, 1.2)
        self._timer = self._gate.core.loop.call_later(after, self._begin)

    def _begin(self) -> None:
        self._pages = []
        self.reconciler.on_report_requested(self._gate.core.now())
        self._ask("")

    def _ask(self, after: str) -> None:
        if self._pool.closed:
            return
        target = f"{self._base}/use" + (f"?after={quote(after, safe='')}" if after else "")
        headers = [("authorization", f"Bearer {self._token()}"), ("accept", "application/json")]
        self._pool.request(self._origin, "GET", target, self._had, headers=headers, timeout_s=self._call_s)

    def _had(self, reply: Reply) -> None:
        core = self._gate.core
        if self._pool.closed:
            return
        page = None
        if reply.outcome is Outcome.ANSWERED and reply.status == 200:
            try:
                page = UsePage.model_validate_json(reply.body)
            except ValidationError as error:
                core.log.warning("use not understood", why=str(error.errors()[0]["msg"]))
        if page is None:
            self._plan()  # no answer says nothing of what is held
            return
        self._pages.append(page)
        if page.next and len(self._pages) < _PAGES:
            self._ask(page.next)
            return
        self._judge()
        self._plan()

    def _judge(self) -> None:
        core, first, last = self._gate.core, self._pages[0], self._pages[-1]
        found = self.reconciler.on_report(core.now(), self._report(first, last))
        self.last, self.judged = found, self.judged + 1
        if found.contradiction:
            core.log.warning("use contradicts itself", why=found.contradiction)
        if found.renewed_sessions or found.released_leases:
            core.log.info(
                "use differs", asked_again=len(found.renewed_sessions), given_back=len(found.released_leases)
            )
        self._gate.schedule_step()

    def _report(self, first: UsePage, last: UsePage) -> UsageReport:
        listed = []
        for page in self._pages:
            for one in page.leases:
                session, _, generation = one.key.removeprefix(self._prefix).rpartition(".")
                if one.key.startswith(self._prefix) and session == one.session and generation.isdecimal():
                    listed.append(ListedLease(one.lease, one.session, int(generation), one.fence))
        rows = sum(len(page.leases) for page in self._pages)
        # Between pages leases come and go: only a report that stood still can contradict itself by its total.
        total = first.total if first.fence == last.fence and first.total == last.total else rows
        listed_total = len(listed) if total == rows else total
        used = {(one.tenant, one.lesson, one.cls): one.used for one in last.places}
        return UsageReport(last.fence, listed_total, tuple(listed), used)
