"""The judge of ownership can fail: doctored traces of channels that change hands, each found by its rule."""

from __future__ import annotations

import importlib
import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fernweir.audit import Auditor, render_table
from fernweir.audit.gaps import Cost, Loss
from tests.peers_mutants import Mutant
from tests.peers_mutants import broken as with_mistake
from tests.peers_mutants.rig import MUTANTS

Trace = list[dict[str, Any]]
OVERLAP = 1_000.0
TERMS = {
    "t": 0, "kind": "terms", "rungs": 5, "drain_grace_ms": 1000.0, "overlap_ms": OVERLAP,
    "classes": [{"name": "crew", "floor": 0, "seats": 2, "effect": "repeatable"},
                {"name": "free", "floor": 0, "seats": 0, "effect": "repeatable"}],
    "budget": None, "cold": None,
}  # fmt: skip
CHANNEL = "a:1/0"


def box(kind: str, at: float, number: int, **more: Any) -> dict[str, Any]:
    return {"t": at, "kind": f"box.{kind}", "box": number, **more}


def claim(at: float, number: int, front: str, fence: int, accepted: bool = True, highest: int = 0) -> Any:
    return box("claim", at, number, channel=CHANNEL, front=front, fence=fence, accepted=accepted,
               highest=highest or fence)  # fmt: skip


def steer(
    at: float, number: int, front: str, fence: int, session: str = "s1", accepted: bool = True,
    attempt: int = 0,
) -> Any:  # fmt: skip
    return box("steer", at, number, channel=CHANNEL, fence=fence, by=front, session=session, attempt=attempt,
               accepted=accepted)  # fmt: skip


_ids = iter(range(1, 1_000_000))


def runs(
    at: float, session: str, number: int, front: str = "a", fence: int = 10, *, attempt: int = 0,
    cls: str = "free", channel: str = CHANNEL,
) -> Trace:  # fmt: skip
    """A session that a front set up, from its set-up to its answer."""
    who = {"front": front, "session": session, "attempt": attempt, "title": "t", "cls": cls, "rung": 1,
           "id": next(_ids), "channel": channel, "fence": fence}  # fmt: skip
    return [
        *(
            [{**steer(at, number, front, fence, session, attempt=attempt), "channel": channel}]
            * bool(channel)
        ),
        box("setup", at, number, **who),
        box("runs", at + 20, number, **who),
        box("answer", at + 21, number, id=who["id"], status=200, whole=True),
    ]


def ends(at: float, session: str, number: int, why: str, front: str = "a", *, attempt: int = 0) -> Any:
    return box("end", at, number, front=front, session=session, attempt=attempt, title="t", cls="free",
               why=why)  # fmt: skip


def front(what: str, at: float, name: str, **more: Any) -> dict[str, Any]:
    return {"t": at, "kind": f"front.{what}", "front": name, **more}


def good() -> Trace:
    """`a` is killed, `b` inherits, hands over to `c` as planned; `c` is shut out for a while."""
    trace: Trace = [dict(TERMS)]
    trace += [front("up", 1, name) for name in "abc"]
    trace += [box("start", 2, number, boot=f"{number}", cold=False, streams=8) for number in (1, 2, 3)]
    trace += [*runs(1_000.0, "s1", 1), *runs(1_500.0, "s2", 2), steer(2_000.0, 1, "a", 10)]
    trace += [
        front("down", 5_000.0, "a"),
        claim(8_000.0, 1, "b", 20), claim(8_010.0, 2, "b", 20),
        claim(8_020.0, 1, "a", 10, accepted=False, highest=20),
        claim(11_000.0, 1, "a", 10, accepted=False, highest=20),
        steer(8_100.0, 1, "b", 20),
        front("term", 12_000.0, "b"),
        claim(12_050.0, 1, "c", 30), claim(12_060.0, 2, "c", 30),
        steer(12_900.0, 2, "b", 20, "s2"),  # within the overlap
        front("down", 13_000.0, "b", planned=True),
        steer(14_000.0, 1, "b", 20, accepted=False),
        steer(14_000.0, 1, "c", 30),
        {"t": 20_000.0, "kind": "fleet.shutout", "front": "c", "bound_ms": 2_000.0},
        steer(21_500.0, 1, "c", 30),
        {"t": 30_000.0, "kind": "fleet.back", "front": "c"},
        steer(31_000.0, 1, "c", 30),
        ends(40_000.0, "s1", 1, "left", "c"),
    ]  # fmt: skip
    return trace


def judged(trace: Trace) -> Auditor:
    trace.sort(key=lambda record: float(record["t"]))
    auditor = importlib.import_module("fernweir.audit").audit_lines(json.dumps(record) for record in trace)
    assert hasattr(auditor, "gaps")
    return auditor  # type: ignore[no-any-return]


def broken(trace: Trace) -> set[str]:
    return {finding.rule for finding in judged(trace).findings}


def cost(trace: Trace, loss: Loss) -> Cost:
    return judged(trace).gaps.costs[loss]


# --- what must be found ---


def old_owner_past_its_bound(trace: Trace) -> None:
    trace.append(steer(9_200.0, 3, "a", 10, "s3"))


def old_owner_sets_up_past_its_bound(trace: Trace) -> None:
    trace += runs(9_200.0, "s3", 3)[1:]  # the set-up alone shows it


def old_owner_behind_two(trace: Trace) -> None:
    trace.append(steer(12_080.0, 3, "a", 10, "s3"))  # within the bound of the second only


def two_under_one_fence(trace: Trace) -> None:
    trace.append(claim(8_300.0, 3, "c", 20))


def a_lower_fence_after_a_higher(trace: Trace) -> None:
    trace.append(claim(16_000.0, 3, "b", 25))


def a_box_takes_what_it_overtook(trace: Trace) -> None:
    trace += [claim(32_000.0, 1, "c", 40), steer(34_000.0, 1, "c", 30)]


def a_box_accepts_a_lower_claim(trace: Trace) -> None:
    trace.append(claim(12_300.0, 1, "b", 20, highest=30))


def a_box_forgets_its_highest(trace: Trace) -> None:
    trace.append(claim(12_300.0, 1, "b", 20, accepted=False, highest=20))


def a_box_refuses_a_higher_claim(trace: Trace) -> None:
    trace.append(claim(32_000.0, 1, "c", 40, accepted=False, highest=30))


def a_box_refuses_its_owner(trace: Trace) -> None:
    trace.append(claim(32_000.0, 1, "c", 30, accepted=False, highest=30))


def shut_out_and_steering(trace: Trace) -> None:
    trace.append(steer(22_200.0, 2, "c", 30, "s2"))


def shut_out_and_setting_up(trace: Trace) -> None:
    trace += runs(25_000.0, "s9", 2, "c", 30)


DOCTORED: list[tuple[str, Callable[[Trace], None]]] = [
    ("7", old_owner_past_its_bound), ("7", old_owner_sets_up_past_its_bound), ("7", two_under_one_fence),
    ("7", old_owner_behind_two), ("8", a_lower_fence_after_a_higher), ("8", a_box_takes_what_it_overtook),
    ("8", a_box_accepts_a_lower_claim), ("8", a_box_forgets_its_highest), ("8", a_box_refuses_a_higher_claim),
    ("8", a_box_refuses_its_owner), ("9", shut_out_and_steering), ("9", shut_out_and_setting_up),
]  # fmt: skip


@pytest.mark.parametrize(("rule", "doctor"), DOCTORED)
def test_a_doctored_trace_is_caught(rule: str, doctor: Callable[[Trace], None]) -> None:
    trace = good()
    assert broken(trace) == set()
    doctor(trace)
    assert rule in broken(trace)
    auditor = judged(trace)
    finding = next(one for one in auditor.findings if one.rule == rule)
    assert f"line {finding.line}" in render_table(auditor, most=50)


def test_what_is_allowed_is_not_caught() -> None:
    said_before = steer(8_900.0, 2, "a", 10, "s2")  # and delivered after the kill, within the bound
    assert broken([*good(), said_before]) == set()
    another_life = [
        box("stop", 33_000.0, 1, why="killed"),
        box("start", 33_500.0, 1, boot="1-2", cold=False, streams=8),
        claim(34_000.0, 1, "b", 20),
    ]
    assert broken([*good(), *another_life]) == {"7"}, "the box forgot, but an old owner is none again"
    late = good()
    late[0]["way_ms"] = 5_000.0  # all news may be so late
    old_owner_past_its_bound(late)
    shut_out_and_setting_up(late)
    assert broken(late) == set()


def test_a_third_owner_is_none_while_the_second_is_quiet() -> None:
    trace = [one for one in good() if float(one["t"]) < 5_000.0]
    trace += [claim(8_000.0, 1, "b", 20), claim(8_300.0, 1, "c", 30), steer(8_700.0, 1, "a", 10)]
    assert broken(list(trace)) == set()
    assert broken([*trace, steer(8_600.0, 1, "b", 20)]) == {"7"}
    assert broken([*trace, steer(8_800.0, 1, "b", 20)]) == {"7"}


def test_an_owner_under_a_newer_fence_is_no_other_owner() -> None:
    assert broken([*good(), claim(32_000.0, 1, "c", 40), steer(34_000.0, 2, "c", 30, "s2")]) == set()


def test_traces_without_channels_show_no_rule_of_ownership() -> None:
    trace = [dict(TERMS), front("up", 1, "a"), *runs(1_000.0, "s1", 1, channel="")]
    auditor = judged(trace)
    assert not auditor.findings and "one owner" not in render_table(auditor)
    assert "one owner" in render_table(judged(good()))


_ACTS = st.lists(
    st.tuples(st.integers(0, 800), st.sampled_from("abc"), st.integers(1, 4), st.integers(1, 2)), max_size=14
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(_ACTS)
def test_one_owner_finds_what_a_slow_reference_finds(drawn: list[tuple[int, str, int, int]]) -> None:
    """The reference looks at all pairs of acts anew, and remembers nothing."""
    at, acts = 0.0, []
    for wait, name, fence, number in drawn:
        at += wait
        acts.append((at, name, fence, number))
    wrong = set()
    for index, (t, name, fence, _) in enumerate(acts):
        before = acts[:index]
        begun = {other: min(a[0] for a in before if a[2] == other) for other in {a[2] for a in before}}
        first = {other: next(a[1] for a in before if a[2] == other) for other in begun}
        if fence in first and first[fence] != name:
            wrong.add(index)
        if any(t - begun[o] > OVERLAP + 50.0 for o in begun if o > fence and first[o] != name):
            wrong.add(index)
        if any(o > fence and first[o] != name for o in begun):
            top = max(begun)
            beside = {a[1] for a in before if a[0] > begun[top] + 50.0} - {name, first[top]}
            if beside and t > begun[top] + 50.0:
                wrong.add(index)
    trace = [dict(TERMS), *(steer(t, number, name, fence) for t, name, fence, number in acts)]
    found = [finding for finding in judged(trace).findings if finding.rule == "7"]
    assert {finding.line - 2 for finding in found} == wrong


# --- gaps ---


def test_gaps_and_what_became_of_sessions_of_a_lost_front() -> None:
    trace = good()
    trace += [*runs(3_000.0, "s3", 3), *runs(3_000.0, "s4", 3), *runs(3_000.0, "s5", 3)]
    trace += [
        ends(6_000.0, "s3", 3, "left"), ends(7_000.0, "s4", 3, "front is gone"),
        claim(8_500.0, 3, "b", 20), ends(9_000.0, "s5", 3, "released", "b"),
    ]  # fmt: skip
    killed = cost(trace, Loss.KILLED)
    assert (killed.sessions, killed.own_end, killed.ended, killed.given_up) == (5, 1, 1, 1)
    assert sorted(killed.gaps) == [3_000.0, 3_010.0, 3_500.0]
    assert (killed.gap(0.5), killed.gap(0.99)) == (3_010.0, 3_500.0)
    planned = cost(trace, Loss.PLANNED)
    assert (planned.sessions, planned.gaps, planned.ended) == (2, [0.0, 0.0], 0)


def test_a_planned_stop_that_hands_over_late_has_a_gap_and_one_that_never_does_ends_sessions() -> None:
    trace = [one for one in good() if not (one["kind"] == "box.claim" and one["front"] == "c")]
    trace = [one for one in trace if float(one["t"]) < 14_000.0]
    trace += [claim(13_200.0, 1, "c", 30), ends(16_000.0, "s2", 2, "front is gone", "b")]
    planned = cost(trace, Loss.PLANNED)
    assert (planned.gaps, planned.ended) == ([200.0], 1)


def test_a_front_that_stands_still_and_wakes_and_one_whose_heir_acts() -> None:
    still = [one for one in good() if float(one["t"]) < 5_000.0]
    still += [front("stop", 4_000.0, "a"), front("cont", 6_000.0, "a")]
    assert cost(list(still), Loss.STOPPED).woke == 2
    still[-1]["t"] = 20_000.0
    still += [claim(7_000.0, 1, "b", 20), ends(9_000.0, "s1", 1, "released", "b")]
    still += runs(8_900.0, "s1", 3, "b", 20, attempt=1)
    stopped = cost(still, Loss.STOPPED)
    assert (stopped.gaps, stopped.given_up, stopped.woke) == ([3_000.0], 0, 1), "moved, not given up"
    still += runs(9_500.0, "s1", 2, "c", 0, channel="")
    assert judged(still).gaps.anew == 1


def segment(at: float, session: str, number: int, status: int) -> dict[str, Any]:
    return box("segment", at, number, session=session, attempt=0, cls="free", rung=1, status=status)


def test_what_breaks_off_under_its_viewer_counts_once_and_what_moved_or_left_does_not() -> None:
    trace = good()
    trace += [*runs(3_000.0, "s3", 3), *runs(3_010.0, "s4", 3), *runs(3_020.0, "s5", 3)]
    trace += [
        ends(7_000.0, "s3", 3, "front is gone"),
        segment(7_500.0, "s3", 3, 404), segment(8_500.0, "s3", 3, 404),
        ends(7_000.0, "s4", 3, "released"), ends(7_000.0, "s5", 3, "left"), segment(7_100.0, "s2", 2, 200),
    ]  # fmt: skip
    assert judged(trace).gaps.broke_off == {"front is gone": 1}


def test_a_session_set_up_again_at_its_box_in_another_channel_ends_once() -> None:
    trace = [*good(), *runs(9_000.0, "s1", 1, "c", 1, channel="c:1/0"), claim(12_070.0, 1, "c", 30)]
    assert judged(trace).gaps.costs[Loss.PLANNED].sessions == 1


# --- the six rules over owners ---


def ask(at: float, name: str, answered: float | None, cut: bool = False) -> Trace:
    number = next(_ids)
    end: dict[str, Any] = {"t": answered, "req": number, "kind": "viewer.answer", "status": 200, "rungs": [1]}
    if cut:
        end = {"t": answered, "req": number, "kind": "viewer.cut", "outcome": "reset"}
    begin = {"t": at, "kind": "viewer.ask", "req": number, "front": name, "session": "s1", "title": "t",
             "cls": "free", "wait_ms": 1_000.0}  # fmt: skip
    return [begin] if answered is None else [begin, end]


def later(at: float) -> Trace:
    return [{"t": at, "kind": "day", "what": "over"}]


def test_a_front_that_stands_still_owes_no_answer_in_time_and_one_told_to_stop_owes_the_old_ones() -> None:
    head: Trace = [dict(TERMS), front("up", 1, "a")]
    late, never = ask(3_000.0, "a", 9_000.0), ask(4_000.0, "a", None)
    assert broken([*head, *late]) == broken([*head, *never, *later(9_000.0)]) == {"1"}
    still = [front("stop", 3_500.0, "a"), front("cont", 8_900.0, "a")]
    assert broken([*head, *late, *never, *ask(5_000.0, "a", 6_000.0, cut=True), *still]) == set()
    assert broken([*head, *still, *ask(9_000.0, "a", 11_000.0)]) == {"1"}, "it had woken before"
    stopping = [front("term", 5_000.0, "a"), front("down", 6_000.0, "a", planned=True)]
    again = front("up", 7_000.0, "a")
    assert broken([*head, *stopping, again, *ask(4_500.0, "a", 5_500.0, cut=True)]) == {"1"}
    assert broken([*head, *stopping, again, *ask(4_500.0, "a", None), *later(9_000.0)]) == {"1"}
    assert broken([*head, *stopping, again, *ask(5_010.0, "a", 5_500.0, cut=True)]) == set()
    killed = front("down", 5_800.0, "a")
    assert broken([*head, stopping[0], killed, again, *ask(4_500.0, "a", 5_900.0, cut=True)]) == set()


def test_a_drain_told_to_a_front_that_stands_still_counts_from_when_it_wakes() -> None:
    told = {"t": 2_000.0, "kind": "list.told", "front": "a", "box": 1, "state": "draining", "version": 2}
    head: Trace = [dict(TERMS), front("up", 1, "a"), told]
    still = [front("stop", 1_900.0, "a"), front("cont", 6_000.0, "a")]
    assert broken([*head, *still, *runs(6_900.0, "s1", 1, channel="")]) == set()
    assert broken([*head, *still, *runs(7_200.0, "s1", 1, channel="")]) == {"3"}
    still[0]["t"] = 3_500.0  # its grace was over before
    assert broken([*head, *still, *runs(6_100.0, "s1", 1, channel="")]) == {"3"}


def test_seats_move_with_sessions_to_their_heir() -> None:
    head: Trace = [dict(TERMS), *runs(1_000.0, "s1", 1, cls="crew"), *runs(1_100.0, "s2", 1, cls="crew")]
    head += runs(1_200.0, "b1", 2, "b", 1, cls="crew", channel="b:1/0")
    assert broken(list(head)) == set()
    over = [front("down", 5_000.0, "a"), claim(6_000.0, 1, "b", 20)]
    assert broken([*head, *over]) == set(), "what is inherited may be more than the seats"
    fourth = runs(9_000.0, "b2", 2, "b", 1, cls="crew", channel="b:1/0")
    assert broken([*head, *over, *fourth]) == {"5"}, "but nothing may be added"
    freed = [ends(8_500.0, "s1", 1, "left", "b"), ends(8_500.0, "b1", 2, "left", "b")]
    assert broken([*head, *over, *freed, *fourth]) == set()
    moved = [*runs(9_000.0, "s1", 3, "b", 20, attempt=1, cls="crew"), ends(9_050.0, "s1", 1, "released", "b")]
    assert broken([*head, *over, *moved]) == set()
    alive = [claim(6_000.0, 1, "b", 20), *runs(6_100.0, "a3", 3, "a", 1, cls="crew", channel="a:1/1")]
    assert broken([*head, *alive]) == set(), "the old owner has its seats back"


# --- mistakes put in on purpose ---


def every_check() -> None:
    for rule, doctor in DOCTORED:
        test_a_doctored_trace_is_caught(rule, doctor)
    test_what_is_allowed_is_not_caught()
    test_a_third_owner_is_none_while_the_second_is_quiet()
    test_an_owner_under_a_newer_fence_is_no_other_owner()
    test_gaps_and_what_became_of_sessions_of_a_lost_front()
    test_a_planned_stop_that_hands_over_late_has_a_gap_and_one_that_never_does_ends_sessions()
    test_a_front_that_stands_still_and_wakes_and_one_whose_heir_acts()
    test_a_front_that_stands_still_owes_no_answer_in_time_and_one_told_to_stop_owes_the_old_ones()
    test_a_drain_told_to_a_front_that_stands_still_counts_from_when_it_wakes()
    test_seats_move_with_sessions_to_their_heir()


@pytest.mark.parametrize(
    "mutant", [one for one in MUTANTS if "/audit/" in one.file], ids=lambda one: one.name
)
def test_each_mistake_is_found(mutant: Mutant) -> None:
    with with_mistake(mutant, "fernweir.audit"), pytest.raises((AssertionError, StopIteration)):
        every_check()
