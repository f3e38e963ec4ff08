"""A fleet's day for people: rules, who owned what, what the loss of fronts cost, what the network did."""

from __future__ import annotations

from fernweir.audit import render_table
from fernweir.audit.gaps import Cost, Loss
from fernweir.audit.owners import OneOwner
from fernweir.rehearsal.fleet.rig import FleetResult

AIM_PLANNED_MS = 200.0


def render_fleet(result: FleetResult) -> str:
    auditor = result.auditor
    out = [render_table(auditor), ""]
    owners = next(rule for rule in auditor.rules if isinstance(rule, OneOwner))
    out.append(
        f"channels changed their owner {owners.changes} times, "
        f"longest overlap by what boxes took {owners.longest_overlap_ms:.0f} ms"
    )
    head = f"{'front':<10} {'sessions':>8} {'heired':>7} {'ended':>6} {'given up':>9} {'own end':>8}"
    out.append(f"{head} {'woke':>5} {'left':>5} {'gap p50':>8} {'p99':>8} {'max ms':>8}")
    for loss, cost in auditor.gaps.costs.items():
        if cost.sessions:
            out.append(_line(loss, cost))
    out.append(f"sessions set up anew while they ran under another front: {auditor.gaps.anew}")
    broke = ", ".join(f"{why} {count}" for why, count in sorted(auditor.gaps.broke_off.items()))
    out.append(f"sessions that broke off under their viewers, by their box's reason: {broke or 'none'}")
    out.append(planned(auditor.gaps.costs[Loss.PLANNED]))
    passed, faults = result.passed, result.faults
    out.append(
        f"between fronts: {passed.datagrams} datagrams, {passed.lost} lost, {passed.doubled} doubled, "
        f"{passed.overtaken} overtaken; {passed.bytes} bytes on connections"
    )
    out.append(
        f"viewers {len(result.shown)}, played {sum(one.played_s for one in result.shown):.0f} s, "
        f"breaks {sum(one.breaks for one in result.shown)}, "
        f"never played {sum(one.played_s == 0.0 for one in result.shown)}"
    )
    out.append(f"faults {len(faults)}, of them passed over {len(result.passed_over)}")
    out += [f"  {text}" for text in result.problems[:8]]
    out.append("every rule held" if result.good else "BROKEN")
    return "\n".join(out)


def planned(cost: Cost) -> str:
    """What became of sessions whose front was told to stop."""
    if not cost.sessions:
        return "planned restarts: none with sessions"
    ended = "no session ended" if not cost.ended else f"{cost.ended} sessions ENDED"
    within = sum(gap <= AIM_PLANNED_MS for gap in cost.gaps)
    return (
        f"planned restarts: {cost.sessions} sessions, {ended}, "
        f"{within} of {len(cost.gaps)} handed over within {AIM_PLANNED_MS:.0f} ms"
    )


def _line(loss: Loss, cost: Cost) -> str:
    counts = (
        f"{loss.value:<10} {cost.sessions:>8} {len(cost.gaps):>7} {cost.ended:>6} {cost.given_up:>9}"
        f" {cost.own_end:>8} {cost.woke:>5} {cost.left:>5}"
    )
    return f"{counts} {cost.gap(0.5):>8.0f} {cost.gap(0.99):>8.0f} {max(cost.gaps, default=0.0):>8.0f}"
