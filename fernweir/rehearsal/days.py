"""What days on virtual time share: playing one, judging its trace, cutting a failing one down."""

from __future__ import annotations

import hashlib
import json
import logging
import tempfile
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any, Protocol, TypeVar

import structlog

from fernweir.audit.auditor import Auditor
from fernweir.audit.records import Terms, read_record
from fernweir.rehearsal.loop import DeadlockError, LivelockError, VirtualLoop, run

F = TypeVar("F")


class Result(Protocol):
    broken: list[str]


class Day(Protocol):
    @property
    def result(self) -> Result: ...

    def run(self) -> Coroutine[Any, Any, Any]: ...


D = TypeVar("D", bound=Day)


def play_day(seed: int, make: Callable[[VirtualLoop, Path], D]) -> D:
    """One day, from nothing to its verdict; time that stands still, or never goes on, is a finding."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    with tempfile.TemporaryDirectory(prefix="fw-") as folder:
        days: list[D] = []

        def begin(loop: VirtualLoop) -> Any:
            days.append(make(loop, Path(folder)))
            return days[0].run()

        try:
            run(seed, begin)
        except (LivelockError, DeadlockError) as error:
            days[0].result.broken.append(f"time: {error}")
    return days[0]


def digest(records: Sequence[dict[str, Any]]) -> str:
    """Of a whole trace: the same for the same day, in any process."""
    plain = [json.dumps(record, separators=(",", ":"), sort_keys=True) for record in records]
    return hashlib.blake2b("\n".join(plain).encode(), digest_size=16).hexdigest()


def audited(records: Sequence[dict[str, Any]]) -> Auditor:
    """The judge, after all of a trace; its lines count from 1."""
    ordered = sorted(enumerate(records), key=lambda one: float(one[1]["t"]))
    terms = read_record(ordered[0][1], 1)
    assert isinstance(terms, Terms)
    auditor = Auditor(terms)
    for line, record in ordered:
        auditor.take(line + 1, read_record(record, line + 1))
    auditor.finish()
    return auditor


def fewer(
    faults: Sequence[F], still: Callable[[tuple[F, ...]], bool], say: Callable[[str], None]
) -> tuple[F, ...]:
    """The faults without any that can be left out, one after the other, with the day still failing."""
    best = tuple(faults)
    changed = True
    while changed:
        changed = False
        for index in range(len(best)):
            candidate = (*best[:index], *best[index + 1 :])
            if still(candidate):
                best, changed = candidate, True
                say(f"  {len(candidate)} faults still do it")
                break
    return best
